//! Scheduling of jobs on workers: team quotas, placement, leases, preemption
//! and quarantine.

mod engine;
mod events;
mod health;
mod index;
mod placement;
mod recovery;
mod report;
mod resources;
mod segments;
mod sizes;
mod state;
mod store;
mod tasks;

pub use self::{
    engine::{JOBS_MAX, JobEngine, LEASE_MS},
    events::{
        JobOutcome, JobRefusal, JobSpec, JobsAction, JobsEvent, JobsReport, ListedWorker, TaskEnd,
        TeamQuota, UsageReport, WorkerCallId, WorkerCommand, WorkerReply,
    },
    resources::Resources,
};

#[cfg(test)]
mod tests;
