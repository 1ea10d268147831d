//! In-memory state of jobs, workers and teams.

use std::collections::VecDeque;

use slotmap::new_key_type;

use super::{
    events::{JobSpec, ListedWorker},
    health::Health,
    resources::Resources,
};
use crate::state::{document::Urgency, ids::TeamId};

new_key_type! {
    /// Key of a job in the engine's slot map.
    pub(super) struct JobKey;
}

/// Lifecycle phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobPhase {
    /// The record of the submission is being written.
    Writing,
    /// The job may run under the lease of the previous controller until this
    /// time.
    Recovering { until_ms: u64 },
    /// The job waits for a worker.
    Queued,
    /// The job waits until `remaining` less urgent tasks on the worker have
    /// ended.
    AwaitingEvictions { worker: u32, remaining: u32 },
    /// The job has its reservation; its start is sent once any start marker is
    /// durable.
    Starting { worker: u32 },
    /// The task runs.
    Running { worker: u32, since_ms: u64 },
    /// The task was asked to stop for the more urgent job `preemptor`.
    Evicting { worker: u32, preemptor: JobKey, without_checkpoint: bool },
}

impl JobPhase {
    pub fn worker(self) -> Option<u32> {
        match self {
            JobPhase::AwaitingEvictions { worker, .. }
            | JobPhase::Starting { worker }
            | JobPhase::Running { worker, .. }
            | JobPhase::Evicting { worker, .. } => Some(worker),
            _ => None,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Job {
    pub spec: JobSpec,
    pub phase: JobPhase,
    pub segment: u64,
    pub attempt: u32,
    /// Resources reserved for the job on its worker.
    pub reserved: Resources,
    /// Millicores that were reserved before the task was throttled.
    pub throttled_from: Option<u64>,
    pub has_checkpoint: bool,
    pub cancelled: bool,
    /// Workers on which the job failed.
    pub failed_on: Vec<u32>,
    /// Number of attempts that ran out of memory.
    pub out_of_memory: u8,
    /// Worker that refused the last start.
    pub refused_by: Option<u32>,
    /// Starts sent for the present attempt.
    pub start_tries: u8,
    /// Whether the record has a start marker, which is written only for
    /// non-repeatable jobs.
    pub marked_started: bool,
    pub reported_overdue: bool,
    pub reported_impossible: bool,
}

impl Job {
    pub fn new(spec: JobSpec, segment: u64) -> Self {
        Self {
            spec,
            phase: JobPhase::Writing,
            segment,
            attempt: 0,
            reserved: Resources::default(),
            throttled_from: None,
            has_checkpoint: false,
            cancelled: false,
            failed_on: Vec::new(),
            out_of_memory: 0,
            refused_by: None,
            start_tries: 0,
            marked_started: false,
            reported_overdue: false,
            reported_impossible: false,
        }
    }

    /// Returns whether the task may be stopped for a more urgent one.
    pub fn is_preemptible(&self) -> bool {
        self.spec.urgency != Urgency::Urgent && (self.spec.repeatable || self.spec.checkpoints)
    }
}

#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub listed: ListedWorker,
    /// Whether the latest inventory lists the worker.
    pub present: bool,
    pub data_centre: u32,
    pub rack: u32,
    pub reserved: Resources,
    /// Resources reserved by preemptible running tasks, by urgency class
    /// (normal, bulk).
    pub preemptible: [Resources; 2],
    pub tasks: Vec<JobKey>,
    pub health: Health,
    /// Monotonic time at which all tasks have ended unless the lease is
    /// renewed; includes clock drift.
    pub lease_expires_ms: u64,
    /// Consecutive renewals that failed.
    pub missed_renewals: u8,
    /// Whether a renewal timer is set.
    pub renewal_scheduled: bool,
    /// Whether a start got no reply; nothing is placed until the next contact.
    pub start_unconfirmed: bool,
    /// Whether the worker stopped replying, so that its lease is left to
    /// expire.
    pub unreachable: bool,
}

impl Worker {
    pub fn free(&self) -> Resources {
        self.listed.total.minus(&self.reserved)
    }

    pub fn takes_tasks(&self, now_ms: u64) -> bool {
        self.present
            && self.listed.accepts_tasks
            && !self.unreachable
            && !self.start_unconfirmed
            && self.health.takes_tasks(now_ms, self.tasks.len())
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Team {
    pub quota: Resources,
    pub used: Resources,
    /// Waiting jobs by urgency class (urgent, normal, bulk), in order of
    /// placement.
    pub waiting: [VecDeque<JobKey>; 3],
}

/// Returns the index of an urgency class; 0 is the most urgent.
pub(super) fn urgency_class(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Bulk => 2,
    }
}

/// Position of a team in the queue of an urgency class: the smallest dominant
/// share first.
pub(super) type TeamRank = (u64, TeamId);
