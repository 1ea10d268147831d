//! The platform's host list, reboots and announcements.

mod server;
mod state;

pub use self::{
    server::PlatformServer,
    state::{Condition, HostEvent, HostEventKind, PlatformState, RebootAnswer},
};

#[cfg(test)]
mod tests;
