//! State of each worker: lease, clock, runs, free capacity and unacknowledged
//! ends.

use std::collections::{BTreeSet, VecDeque};

use hashbrown::HashMap;
use slotmap::{KeyData, SlotMap};
use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{AccountId, WorkerId},
};

use super::{
    crashes::LostRun,
    events::{EndedTask, WorkerKey},
    health::Health,
    lease::WorkerLease,
    task::TaskRef,
    vacating::Vacating,
};
use crate::state::{Registration, RunNumber, TaskAddress, WorkerEntry};

/// Time within which a poll fails if its connection is refused or reset, in
/// milliseconds.
const QUICK_FAILURE_MS: u64 = 100;
/// Most polls in a row that are repeated at once.
const QUICK_RETRIES_MAX: u32 = 6;

/// Whether the worker is registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    Registered(Registration),
    /// The incarnation has answered a poll, and the registry has not listed it yet.
    Unregistered,
    /// The registry no longer lists the worker.
    Gone,
}

/// A run that the worker lists and that belongs to no live task.
#[derive(Clone, Debug)]
pub(super) struct OrphanRun {
    pub(super) number: RunNumber,
    /// Resources that the run takes; none if its job is unknown.
    pub(super) allocation: Option<Resources>,
    /// Client account of the run's job and the need that counts for it; none if
    /// the job is unknown or has no account.
    pub(super) charge: Option<(AccountId, Resources)>,
    pub(super) stop_sent_ms: Option<u64>,
}

/// State of one worker incarnation.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    pub(super) presence: Presence,
    pub(super) lease: WorkerLease,
    /// When a poll was last answered, on the local clock.
    pub(super) polled_ms: Option<u64>,
    /// When a poll or a start was last answered, on the local clock.
    pub(super) heard_ms: u64,
    /// When a poll or a start first had no reply since the last answered poll, on
    /// the local clock.
    pub(super) lost_ms: Option<u64>,
    poll_sent_ms: Option<u64>,
    /// The last poll had no reply of any kind.
    pub(super) is_unreachable: bool,
    /// Consecutive polls without an answer; the worker may or may not have
    /// received the lease of the first.
    pub(super) missed_polls: u32,
    next_poll_ms: u64,
    /// Allocations of all runs that may exist.
    used: Resources,
    pub(super) runs: HashMap<TaskRef, (RunNumber, Resources)>,
    pub(super) orphan_runs: HashMap<TaskAddress, OrphanRun>,
    /// Highest sequence number of an end that was processed.
    pub(super) seen_end: u64,
    /// Ends that were processed and are not acknowledged, with the progress
    /// that must be stored first.
    unacknowledged: VecDeque<(u64, Option<ProgressSequence>)>,
    pub(super) acknowledged: u64,
    /// Time for which the worker may hold the latest poll, in milliseconds.
    pub(super) poll_wait_ms: u64,
    /// Consecutive polls that were repeated at once.
    quick_retries: u32,
    /// The acknowledgement in the poll in flight.
    acknowledgement_sent: u64,
    /// Highest acknowledgement in a poll that was answered.
    acknowledgement_confirmed: u64,
    /// Runs that a former incarnation under the worker's name may not have begun and
    /// this one has not listed yet, with what is to be counted if the former
    /// incarnation crashed under them.
    pub(super) carried_over: HashMap<TaskRef, Option<LostRun>>,
    /// Runs that were carried over and are not here: the former incarnation may
    /// have crashed under them.
    pub(super) lost_before: Vec<LostRun>,
    pub(super) health: Health,
    /// The registry shows another incarnation under the worker's name, and it is not
    /// known yet which of them runs.
    pub(super) is_claimed: bool,
    /// The stored roster contains the worker.
    pub(super) is_rostered: bool,
    /// Some of its runs were given up with its lease, and others not yet.
    pub(super) is_given_up_in_part: bool,
    /// Best-effort tasks run here beside tasks that serve users.
    pub(super) is_shared: bool,
    /// Maintenance or a move asks for the worker to be vacated.
    pub(super) is_vacating: bool,
    pub(super) vacating: Vacating,
    /// The engine has confirmed that nothing runs on the worker.
    pub(super) is_vacated: bool,
    /// The worker has announced that it leaves.
    pub(super) is_leaving: bool,
    /// The worker takes only tasks that run alone.
    pub(super) is_reserved: bool,
    /// Task that runs alone here, and until when, on the local clock.
    pub(super) alone: Option<(TaskRef, u64)>,
}

/// Progress of a job that must be stored before an end is acknowledged.
/// `sequence` is the sequence number of the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProgressSequence {
    pub(super) job: super::events::JobKey,
    pub(super) sequence: u64,
}

impl ProgressSequence {
    /// Returns a sequence that is stored once the job's outcome is.
    pub(super) fn of_outcome(job: super::events::JobKey) -> Self {
        Self { job, sequence: u64::MAX }
    }
}

impl Worker {
    pub(super) fn new(entry: WorkerEntry) -> Self {
        Self {
            presence: Presence::Registered(entry.registration),
            entry,
            lease: WorkerLease::default(),
            polled_ms: None,
            heard_ms: 0,
            lost_ms: None,
            poll_sent_ms: None,
            is_unreachable: false,
            missed_polls: 0,
            next_poll_ms: 0,
            used: Resources::default(),
            runs: HashMap::new(),
            orphan_runs: HashMap::new(),
            seen_end: 0,
            unacknowledged: VecDeque::new(),
            acknowledged: 0,
            poll_wait_ms: 0,
            quick_retries: 0,
            acknowledgement_sent: 0,
            acknowledgement_confirmed: 0,
            carried_over: HashMap::new(),
            lost_before: Vec::new(),
            health: Health::default(),
            is_claimed: false,
            is_rostered: false,
            is_given_up_in_part: false,
            is_shared: false,
            is_vacating: false,
            vacating: Vacating::default(),
            is_vacated: false,
            is_leaving: false,
            is_reserved: false,
            alone: None,
        }
    }

    /// Returns the resources that all runs take which may exist; none while a
    /// run of an unknown job exists, since its allocation is unknown.
    fn total_used(&self) -> Option<Resources> {
        let orphans = self.orphan_runs.values();
        orphans
            .map(|orphan| orphan.allocation)
            .try_fold(self.used, |sum, allocation| Some(sum.plus(&allocation?)))
    }

    /// Returns the resources that new runs may use; nothing while the use of
    /// earlier ones is unknown.
    pub(super) fn free_capacity(&self) -> Resources {
        self.total_used().map(|used| self.entry.capacity.minus(&used)).unwrap_or_default()
    }

    /// Returns whether all runs that may exist fit into the capacity, which may
    /// have shrunk since they began.
    pub(super) fn fits_capacity(&self) -> bool {
        self.total_used().is_some_and(|used| used.fits_in(&self.entry.capacity))
    }

    /// Returns the processors that no run was allocated, in thousandths of a
    /// core: an upper bound of those that new runs may use.
    fn unallocated_millicores(&self) -> u64 {
        self.entry.capacity.minus(&self.used).cpu_millicores
    }

    fn allocate(&mut self, task: TaskRef, number: RunNumber, allocation: Resources) {
        if let Some((_, old)) = self.runs.insert(task, (number, allocation)) {
            self.used = self.used.minus(&old);
        }
        self.used = self.used.plus(&allocation);
    }

    /// Releases the allocation of a run.
    fn release(&mut self, task: TaskRef, number: RunNumber) {
        if self.runs.get(&task).is_some_and(|&(allocated, _)| allocated == number)
            && let Some((_, allocation)) = self.runs.remove(&task)
        {
            self.used = self.used.minus(&allocation);
            self.alone = self.alone.filter(|&(alone, _)| alone != task);
            self.carried_over.remove(&task);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.orphan_runs.is_empty()
    }

    /// Returns whether every lease and start that was granted has certainly
    /// expired.
    pub(super) fn is_lease_over(&self, now_ms: u64) -> bool {
        self.lease.is_over(now_ms)
    }

    /// Returns whether the incarnation has answered a poll. Until then it is known
    /// from the registry only, whose entries others can write.
    pub(super) fn is_confirmed(&self) -> bool {
        self.polled_ms.is_some()
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

    /// Queues an end for acknowledgement once the progress at `sequence` is stored.
    pub(super) fn push_unacknowledged(&mut self, number: u64, sequence: Option<ProgressSequence>) {
        self.unacknowledged.push_back((number, sequence));
    }

    /// Advances the acknowledged sequence number past all ends whose progress
    /// is stored.
    pub(super) fn acknowledge<F>(&mut self, is_stored: F)
    where
        F: Fn(ProgressSequence) -> bool,
    {
        while let Some(&(number, sequence)) = self.unacknowledged.front() {
            if sequence.is_some_and(|sequence| !is_stored(sequence)) {
                break;
            }
            self.acknowledged = number;
            self.unacknowledged.pop_front();
        }
    }

    /// Returns the number up to which the next poll acknowledges ends; 0 if it need
    /// not acknowledge any, or if the worker may have restarted: numbers start anew
    /// then, and ends that were never listed would be forgotten.
    pub(super) fn take_acknowledgement(&mut self) -> u64 {
        let is_due = self.acknowledged > self.acknowledgement_confirmed && self.missed_polls == 0;
        self.acknowledgement_sent = if is_due { self.acknowledged } else { 0 };
        self.acknowledgement_sent
    }

    /// Returns whether a poll that failed after `took_ms` is repeated at once: the
    /// connection broke before the worker's time to reply was over, and not too
    /// often in a row.
    pub(super) fn takes_quick_retry(&mut self, took_ms: u64) -> bool {
        let is_broken = took_ms < self.poll_wait_ms.max(QUICK_FAILURE_MS);
        let is_quick = is_broken && self.quick_retries < QUICK_RETRIES_MAX;
        self.quick_retries += u32::from(is_quick);
        is_quick
    }

    /// Records that the poll in flight was answered.
    pub(super) fn on_poll_answered(&mut self) {
        self.quick_retries = 0;
        self.acknowledgement_confirmed =
            self.acknowledgement_confirmed.max(self.acknowledgement_sent);
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
///
/// Load pattern: a surge starts and ends thousands of runs a second on hundreds
/// of workers. The workers with enough capacity, and those whose poll is due,
/// are found without looking at the others.
#[derive(Debug, Default)]
pub(super) struct WorkerTable {
    workers: SlotMap<WorkerKey, Worker>,
    by_name: HashMap<WorkerId, WorkerKey>,
    /// Incarnations that the registry shows under the name of a known worker and
    /// that have not answered a poll.
    claimants: HashMap<WorkerId, WorkerKey>,
    /// Workers by unallocated processors, in thousandths of a core.
    by_unallocated: BTreeSet<(u64, WorkerKey)>,
    /// Workers without a poll in flight, by the time of the next one.
    by_next_poll: BTreeSet<(u64, WorkerKey)>,
}

impl WorkerTable {
    pub(super) fn insert(&mut self, entry: WorkerEntry) -> WorkerKey {
        let name = entry.worker.clone();
        let key = self.add(entry);
        self.by_name.insert(name, key);
        key
    }

    /// Adds an incarnation that the registry shows under the name of a known
    /// worker.
    pub(super) fn insert_claimant(&mut self, entry: WorkerEntry) -> WorkerKey {
        let name = entry.worker.clone();
        let key = self.add(entry);
        self.set_claimed(&name, true);
        self.claimants.insert(name, key);
        key
    }

    fn set_claimed(&mut self, name: &WorkerId, is_claimed: bool) {
        let known = self.by_name.get(name).and_then(|&key| self.workers.get_mut(key));
        if let Some(worker) = known {
            worker.is_claimed = is_claimed;
        }
    }

    fn add(&mut self, entry: WorkerEntry) -> WorkerKey {
        let worker = Worker::new(entry);
        let (unallocated, next_poll_ms) = (worker.unallocated_millicores(), worker.next_poll_ms);
        let key = self.workers.insert(worker);
        self.by_unallocated.insert((unallocated, key));
        self.by_next_poll.insert((next_poll_ms, key));
        key
    }

    /// Replaces the registry entry of a worker.
    pub(super) fn set_entry(&mut self, key: WorkerKey, entry: WorkerEntry) {
        self.change(key, |worker| worker.entry = entry);
    }

    /// Allocates resources to a run.
    pub(super) fn allocate(
        &mut self,
        key: WorkerKey,
        task: TaskRef,
        number: RunNumber,
        allocation: Resources,
    ) {
        self.change(key, |worker| worker.allocate(task, number, allocation));
    }

    /// Releases the allocation of a run.
    pub(super) fn release(&mut self, key: WorkerKey, task: TaskRef, number: RunNumber) {
        self.change(key, |worker| worker.release(task, number));
    }

    /// Changes a worker and updates its place among the unallocated processors.
    fn change<F>(&mut self, key: WorkerKey, change: F)
    where
        F: FnOnce(&mut Worker),
    {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let before = worker.unallocated_millicores();
        change(worker);
        let after = worker.unallocated_millicores();
        if before != after {
            self.by_unallocated.remove(&(before, key));
            self.by_unallocated.insert((after, key));
        }
    }

    /// Returns the workers with at least `millicores` unallocated processors, in
    /// thousandths of a core; those with the least come first.
    pub(super) fn with_unallocated(
        &self,
        millicores: u64,
    ) -> impl DoubleEndedIterator<Item = (WorkerKey, &Worker)> {
        let lowest = WorkerKey::from(KeyData::from_ffi(0));
        let found = self.by_unallocated.range((millicores, lowest)..);
        found.filter_map(|&(_, key)| Some((key, self.workers.get(key)?)))
    }

    /// Returns a worker whose poll is due.
    pub(super) fn next_poll(&self, now_ms: u64) -> Option<WorkerKey> {
        self.by_next_poll.first().filter(|&&(at_ms, _)| now_ms >= at_ms).map(|&(_, key)| key)
    }

    /// Returns when the next poll is due, in milliseconds on the local clock.
    pub(super) fn next_poll_ms(&self) -> Option<u64> {
        self.by_next_poll.first().map(|&(at_ms, _)| at_ms)
    }

    /// Records that a poll of a worker was sent.
    pub(super) fn begin_poll(&mut self, now_ms: u64, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        self.by_next_poll.remove(&(worker.next_poll_ms, key));
        worker.poll_sent_ms = Some(now_ms);
    }

    /// Records that the poll of a worker is over, and schedules the next one at
    /// once; returns when the poll was sent, or none if there was none.
    pub(super) fn end_poll(&mut self, now_ms: u64, key: WorkerKey) -> Option<u64> {
        let worker = self.workers.get_mut(key)?;
        let sent_ms = worker.poll_sent_ms.take()?;
        worker.next_poll_ms = now_ms;
        self.by_next_poll.insert((now_ms, key));
        Some(sent_ms)
    }

    /// Sets the time of the next poll, in milliseconds on the local clock,
    /// unless one is in flight.
    pub(super) fn schedule_poll(&mut self, at_ms: u64, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.poll_sent_ms.is_none() {
            self.by_next_poll.remove(&(worker.next_poll_ms, key));
            worker.next_poll_ms = at_ms;
            self.by_next_poll.insert((at_ms, key));
        }
    }

    /// Schedules the next poll no later than `at_ms`, in milliseconds on the
    /// local clock.
    pub(super) fn poll_by(&mut self, at_ms: u64, key: WorkerKey) {
        if self.workers.get(key).is_some_and(|worker| worker.next_poll_ms > at_ms) {
            self.schedule_poll(at_ms, key);
        }
    }

    pub(super) fn remove(&mut self, key: WorkerKey) -> Option<Worker> {
        let worker = self.workers.remove(key)?;
        let name = &worker.entry.worker;
        if self.claimants.get(name) == Some(&key) {
            self.claimants.remove(name);
            self.set_claimed(name, false);
        }
        if self.by_name.get(name) == Some(&key) {
            self.by_name.remove(name);
            if let Some((name, claimant)) = self.claimants.remove_entry(name) {
                self.by_name.insert(name, claimant);
            }
        }
        self.by_unallocated.remove(&(worker.unallocated_millicores(), key));
        self.by_next_poll.remove(&(worker.next_poll_ms, key));
        Some(worker)
    }

    pub(super) fn find(&self, name: &WorkerId) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the incarnation that claims the name of a known worker.
    pub(super) fn claimant(&self, name: &WorkerId) -> Option<WorkerKey> {
        self.claimants.get(name).copied()
    }

    /// Lists the incarnations that claim the names of known workers.
    pub(super) fn claimants(&self) -> Vec<WorkerKey> {
        self.claimants.values().copied().collect()
    }

    /// Returns the known worker whose name an incarnation claims.
    pub(super) fn claimed_from(&self, key: WorkerKey) -> Option<WorkerKey> {
        let name = &self.workers.get(key)?.entry.worker;
        let is_claimant = self.claimants.get(name) == Some(&key);
        is_claimant.then(|| self.find(name)).flatten()
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
