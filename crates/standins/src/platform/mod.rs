//! Stand-in for the platform: host list, reboots, announcements of leaving hosts
//! and tasks of workers.

mod server;
mod state;
mod tasks;
mod workers;

pub use self::{
    server::PlatformServer,
    state::{Condition, HostEvent, HostEventKind, PlatformState, RebootAnswer},
    workers::{StartTask, TaskBehaviour, TaskRefusal, TaskReport, TaskState, WorkersState},
};

#[cfg(test)]
mod tests;
