//! State of each worker: lease, clock, runs, free capacity and unacknowledged
//! ends.

use std::collections::VecDeque;

use hashbrown::HashMap;
use slotmap::SlotMap;
use tamarackproxy::{coordination::jobs::Resources, state::ids::WorkerId};

use super::{
    events::{EndedTask, WorkerKey},
    health::Health,
    task::TaskRef,
};
use crate::state::{Registration, RunNumber, TaskAddress, WorkerEntry};

/// Percentage by which a worker's clock may run slower than the local one; the
/// platform states 2.
const CLOCK_DRIFT_PERCENT: u64 = 3;
/// Time added to the end of a lease before its runs count as ended, in
/// milliseconds: covers the worker's own scheduling delay in ending them.
const LEASE_MARGIN_MS: u64 = 150;

/// Latest reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerClock {
    clock_ms: u64,
    read_ms: u64,
}

impl WorkerClock {
    pub(super) fn new(clock_ms: u64, read_ms: u64) -> Self {
        Self { clock_ms, read_ms }
    }

    /// Estimates the current time on the worker's clock.
    pub(super) fn now_ms(&self, now_ms: u64) -> u64 {
        self.clock_ms + now_ms.saturating_sub(self.read_ms)
    }

    /// Returns the time on the local clock at which the worker's clock has
    /// certainly passed `deadline_ms`.
    fn passes_at_ms(&self, deadline_ms: u64) -> u64 {
        let left_ms = deadline_ms.saturating_sub(self.clock_ms);
        self.read_ms + left_ms + left_ms * CLOCK_DRIFT_PERCENT / 100 + LEASE_MARGIN_MS
    }
}

/// Whether the worker is registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    Registered(Registration),
    /// The registry no longer lists the worker.
    Gone,
}

/// A run that the worker lists and that belongs to no live task.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrphanRun {
    pub(super) number: RunNumber,
    /// Resources that the run takes; none if its job is unknown.
    pub(super) allocation: Option<Resources>,
    pub(super) stop_sent_ms: Option<u64>,
}

/// State of one worker incarnation.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    pub(super) presence: Presence,
    pub(super) clock: Option<WorkerClock>,
    /// Latest end of a lease or time limit of a start that was sent, on the
    /// worker's clock.
    granted_until_ms: u64,
    /// When a poll was last answered, on the local clock.
    pub(super) polled_ms: Option<u64>,
    pub(super) poll_sent_ms: Option<u64>,
    /// Consecutive polls without an answer; the worker may or may not have
    /// received the lease of the first.
    pub(super) missed_polls: u32,
    pub(super) next_poll_ms: u64,
    /// Allocations of all runs that may exist.
    used: Resources,
    pub(super) runs: HashMap<TaskRef, (RunNumber, Resources)>,
    pub(super) orphan_runs: HashMap<TaskAddress, OrphanRun>,
    /// Highest sequence number of an end that was processed.
    pub(super) seen_end: u64,
    /// Ends that were processed and are not acknowledged, with the progress
    /// that must be stored first.
    unacknowledged: VecDeque<(u64, Option<EndMark>)>,
    pub(super) acknowledged: u64,
    pub(super) health: Health,
    /// The stored roster contains the worker.
    pub(super) is_rostered: bool,
    /// Best-effort tasks run here beside tasks that serve users.
    pub(super) is_shared: bool,
    /// Maintenance or a move asks for the worker to be vacated.
    pub(super) is_vacating: bool,
    /// The engine has confirmed that nothing runs on the worker.
    pub(super) is_vacated: bool,
}

/// Progress of a job that must be stored before an end is acknowledged; `mark`
/// is the sequence number of the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndMark {
    pub(super) job: super::events::JobKey,
    pub(super) mark: u64,
}

impl Worker {
    pub(super) fn new(entry: WorkerEntry) -> Self {
        Self {
            presence: Presence::Registered(entry.registration),
            entry,
            clock: None,
            granted_until_ms: 0,
            polled_ms: None,
            poll_sent_ms: None,
            missed_polls: 0,
            next_poll_ms: 0,
            used: Resources::default(),
            runs: HashMap::new(),
            orphan_runs: HashMap::new(),
            seen_end: 0,
            unacknowledged: VecDeque::new(),
            acknowledged: 0,
            health: Health::default(),
            is_rostered: false,
            is_shared: false,
            is_vacating: false,
            is_vacated: false,
        }
    }

    /// Returns the resources that new runs may use. This is nothing while a run
    /// of an unknown job exists, since its allocation is unknown.
    pub(super) fn free_capacity(&self) -> Resources {
        let mut used = self.used;
        for orphan in self.orphan_runs.values() {
            match orphan.allocation {
                Some(allocation) => used = used.plus(&allocation),
                None => return Resources::default(),
            }
        }
        self.entry.capacity.minus(&used)
    }

    pub(super) fn allocate(&mut self, task: TaskRef, number: RunNumber, allocation: Resources) {
        if let Some((_, old)) = self.runs.insert(task, (number, allocation)) {
            self.used = self.used.minus(&old);
        }
        self.used = self.used.plus(&allocation);
    }

    /// Releases the allocation of a run.
    pub(super) fn release(&mut self, task: TaskRef, number: RunNumber) {
        if self.runs.get(&task).is_some_and(|&(allocated, _)| allocated == number)
            && let Some((_, allocation)) = self.runs.remove(&task)
        {
            self.used = self.used.minus(&allocation);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.orphan_runs.is_empty()
    }

    /// Records the end of a lease or the time limit of a start before it is
    /// sent.
    pub(super) fn grant(&mut self, until_ms: u64) {
        self.granted_until_ms = self.granted_until_ms.max(until_ms);
    }

    /// Returns whether every lease and start that was granted has certainly
    /// expired.
    pub(super) fn is_lease_over(&self, now_ms: u64) -> bool {
        self.clock.is_none_or(|clock| now_ms >= clock.passes_at_ms(self.granted_until_ms))
    }

    /// Returns whether the worker answered a poll within the last `within_ms`.
    pub(super) fn is_reachable(&self, now_ms: u64, within_ms: u64) -> bool {
        self.polled_ms.is_some_and(|polled_ms| now_ms < polled_ms + within_ms)
    }

    /// Registers the sequence number of an end; returns whether it is new.
    pub(super) fn accept_end(&mut self, end: &EndedTask) -> bool {
        if end.number <= self.seen_end {
            return false;
        }
        self.seen_end = end.number;
        true
    }

    /// Queues an end for acknowledgement once the progress at `mark` is stored.
    pub(super) fn push_unacknowledged(&mut self, number: u64, mark: Option<EndMark>) {
        self.unacknowledged.push_back((number, mark));
    }

    /// Advances the acknowledged sequence number past all ends whose progress
    /// is stored.
    pub(super) fn acknowledge<F>(&mut self, is_stored: F)
    where
        F: Fn(EndMark) -> bool,
    {
        while let Some(&(number, mark)) = self.unacknowledged.front() {
            if mark.is_some_and(|mark| !is_stored(mark)) {
                break;
            }
            self.acknowledged = number;
            self.unacknowledged.pop_front();
        }
    }

    /// Returns whether some processed ends are not stored yet.
    pub(super) fn has_unstored_ends(&self) -> bool {
        !self.unacknowledged.is_empty()
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|own| &**own == label)
    }
}

/// All workers of a pool that are registered or may still run something.
#[derive(Debug, Default)]
pub(super) struct WorkerTable {
    workers: SlotMap<WorkerKey, Worker>,
    by_name: HashMap<WorkerId, WorkerKey>,
}

impl WorkerTable {
    pub(super) fn insert(&mut self, entry: WorkerEntry) -> WorkerKey {
        let name = entry.worker.clone();
        let key = self.workers.insert(Worker::new(entry));
        self.by_name.insert(name, key);
        key
    }

    pub(super) fn remove(&mut self, key: WorkerKey) -> Option<Worker> {
        let worker = self.workers.remove(key)?;
        if self.by_name.get(&worker.entry.worker) == Some(&key) {
            self.by_name.remove(&worker.entry.worker);
        }
        Some(worker)
    }

    pub(super) fn find(&self, name: &WorkerId) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    pub(super) fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    pub(super) fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (WorkerKey, &mut Worker)> {
        self.workers.iter_mut()
    }

    pub(super) fn keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }
}
