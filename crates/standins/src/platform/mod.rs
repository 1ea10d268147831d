//! The platform's host list, reboots, announcements and workers' tasks.

mod server;
mod state;
mod tasks;
mod workers;

pub use self::{
    server::PlatformServer,
    state::{Condition, HostEvent, HostEventKind, PlatformState, RebootAnswer},
    workers::{StartTask, TaskNature, TaskRefusal, TaskReport, TaskState, WorkersState},
};

#[cfg(test)]
mod tests;
