//! Jobs, workers and teams in memory.

use std::collections::VecDeque;

use slotmap::new_key_type;

use super::{
    events::{JobSpec, ListedWorker},
    health::Health,
    resources::Resources,
};
use crate::state::{document::Urgency, ids::TeamId};

new_key_type! {
    /// A job in memory.
    pub(super) struct JobKey;
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobPhase {
    /// The submission, or the mark that it starts, is being written.
    Writing,
    /// It may run under the lease of a former controller until this time.
    Recovering { until_ms: u64 },
    /// It waits for a worker.
    Queued,
    /// It waits until less urgent tasks have left the worker.
    Clearing { worker: u32, left: u32 },
    /// The start was sent.
    Starting { worker: u32 },
    /// It runs.
    Running { worker: u32, since_ms: u64 },
    /// It was asked to leave for the more urgent job `successor`.
    Leaving { worker: u32, successor: JobKey, hard: bool },
}

impl JobPhase {
    pub fn worker(self) -> Option<u32> {
        match self {
            JobPhase::Clearing { worker, .. }
            | JobPhase::Starting { worker }
            | JobPhase::Running { worker, .. }
            | JobPhase::Leaving { worker, .. } => Some(worker),
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
    /// What is set aside for it on its worker.
    pub reserved: Resources,
    /// Processors that it had before it was throttled.
    pub throttled_from: Option<u64>,
    pub has_checkpoint: bool,
    pub cancelled: bool,
    /// Workers on which it failed.
    pub failed_on: Vec<u32>,
    /// Times that its worker had no memory left for it.
    pub out_of_memory: u8,
    /// Worker that refused the last start.
    pub refused_by: Option<u32>,
    pub start_tries: u8,
    /// Whether the record says that it was started, which is written only for
    /// jobs that may not be repeated.
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

    /// Tells whether the task may be stopped for a more urgent one.
    pub fn may_leave(&self) -> bool {
        self.spec.urgency != Urgency::Urgent && (self.spec.repeatable || self.spec.checkpoints)
    }
}

#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub listed: ListedWorker,
    /// Whether the inventory still lists it.
    pub present: bool,
    pub data_centre: u32,
    pub rack: u32,
    pub reserved: Resources,
    /// What tasks that may leave have reserved, by urgency (normal, bulk).
    pub movable: [Resources; 2],
    pub tasks: Vec<JobKey>,
    pub health: Health,
    /// When all tasks have surely ended if the lease is not renewed.
    pub lease_over_ms: u64,
    /// Renewals in a row without reply.
    pub renewals_lost: u8,
    /// Whether a renewal is planned.
    pub renewing: bool,
    /// Whether a start had no reply; nothing is placed until the next contact.
    pub doubtful: bool,
    /// Whether the worker does not reply, so that its lease is left to end.
    pub cut_off: bool,
}

impl Worker {
    pub fn free(&self) -> Resources {
        self.listed.total.minus(&self.reserved)
    }

    pub fn takes_tasks(&self, now_ms: u64) -> bool {
        self.present
            && self.listed.accepts_tasks
            && !self.cut_off
            && !self.doubtful
            && self.health.takes_tasks(now_ms, self.tasks.len())
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Team {
    pub quota: Resources,
    pub used: Resources,
    /// Waiting jobs by urgency (urgent, normal, bulk), oldest first.
    pub waiting: [VecDeque<JobKey>; 3],
}

pub(super) fn level(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Bulk => 2,
    }
}

/// Position of a team in the order of a class: the smallest share first.
pub(super) type TeamOrder = (u64, TeamId);
