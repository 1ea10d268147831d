//! Restarts of workers under their names.
//!
//! Orders name the worker, not its incarnation, and a new incarnation knows
//! nothing of the former one: neither the highest term, nor the runs that were
//! stopped, nor the clock that time limits refer to. It therefore carries out
//! starts that were meant for the former incarnation, be it because they were
//! sent before the restart was noticed, or because they arrive late.
//!
//! A run that the former incarnation is known to have begun has ended with it. Any
//! other run is carried over to the new incarnation: it goes on there if that lists
//! it, and otherwise its task waits until the start can no longer be carried out
//! there.

use hashbrown::HashMap;
use tamarackproxy::state::ids::WorkerId;

use super::{
    crashes::LostRun,
    engine::{PoolEngine, PoolTiming},
    events::{OrderTarget, WorkerKey},
    interference::RunAt,
    lease::lease_end_ms,
    stops::STOP_RETRY_MS,
    task::{Run, RunPhase, TaskRef},
    workers::Presence,
};
use crate::state::{RunNumber, TaskAddress, WorkerEntry};

/// Time after which an order without a reply is no longer carried out, in
/// milliseconds.
const LATE_ORDER_MAX_MS: u64 = 15_000;
/// Time after which a new incarnation receives no call with a time limit that was
/// meant for a former one, in milliseconds on its clock: a restart goes unnoticed
/// for 5 s at most, then the last call may be late.
const FORMER_LIMITS_MS: u64 = 5_000 + LATE_ORDER_MAX_MS;

/// A start without a reply whose run was given up.
#[derive(Clone, Debug)]
struct LateStart {
    task: TaskAddress,
    number: RunNumber,
    /// When the order is no longer carried out, on the local clock.
    until_ms: u64,
    /// Later incarnation that was last told to stop the run, and when, on the
    /// local clock.
    asked: Option<(u64, u64)>,
    /// Incarnation that will not start the run any more.
    stopped_in: Option<u64>,
}

/// Starts without a reply by the worker's name. The incarnation that they were
/// meant for refuses them, later ones have to be told.
#[derive(Debug, Default)]
pub(super) struct LateStarts {
    by_worker: HashMap<WorkerId, Vec<LateStart>>,
}

impl LateStarts {
    /// Adds a start; `is_stopped` tells that the current incarnation of the worker
    /// has accepted a stop of the run.
    fn add(
        &mut self,
        now_ms: u64,
        worker: &WorkerEntry,
        task: TaskAddress,
        run: &Run,
        is_stopped: bool,
    ) {
        let is_own_limit = run.start_until_ms != u64::MAX;
        let start = LateStart {
            task,
            number: run.number,
            until_ms: now_ms + LATE_ORDER_MAX_MS,
            asked: None,
            stopped_in: (is_stopped || is_own_limit).then_some(worker.born_unix_ms),
        };
        self.by_worker.entry(worker.worker.clone()).or_default().push(start);
    }

    /// Lists the runs that a worker has to be told to stop now.
    fn take_due(&mut self, now_ms: u64, worker: &WorkerEntry) -> Vec<(TaskAddress, RunNumber)> {
        let born_unix_ms = worker.born_unix_ms;
        let Some(starts) = self.by_worker.get_mut(&worker.worker) else { return Vec::new() };
        let is_due = |start: &&mut LateStart| {
            let was_asked = start.asked.is_some_and(|(asked, at_ms)| {
                asked == born_unix_ms && now_ms < at_ms + STOP_RETRY_MS
            });
            start.stopped_in != Some(born_unix_ms) && !was_asked
        };
        let due = starts.iter_mut().filter(is_due).map(|start| {
            start.asked = Some((born_unix_ms, now_ms));
            (start.task, start.number)
        });
        due.collect()
    }

    /// Records that an incarnation has accepted the stop of a run.
    fn on_stopped(&mut self, worker: &WorkerEntry, task: TaskAddress, number: RunNumber) {
        let starts = self.by_worker.get_mut(&worker.worker);
        let same = |start: &&mut LateStart| start.task == task && start.number == number;
        for start in starts.into_iter().flatten().filter(same) {
            start.stopped_in = Some(worker.born_unix_ms);
        }
    }

    /// Forgets the start of a run that goes on.
    pub(super) fn forget(&mut self, worker: &WorkerId, task: TaskAddress, number: RunNumber) {
        if let Some(starts) = self.by_worker.get_mut(worker) {
            starts.retain(|start| start.task != task || start.number != number);
        }
    }

    fn prune(&mut self, now_ms: u64) {
        self.by_worker.retain(|_, starts| {
            starts.retain(|start| now_ms < start.until_ms);
            !starts.is_empty()
        });
    }
}

impl PoolEngine {
    /// Replaces an incarnation of a worker by a later one of the same name, and
    /// carries over the runs that the former one may not have begun; returns the key of
    /// the later one.
    pub(super) fn restart(&mut self, key: WorkerKey, entry: WorkerEntry, sign: &str) -> WorkerKey {
        let now_ms = self.stepped_ms;
        self.log_ended(key, sign);
        let former = self.workers.get(key);
        if let Some(former) = former.filter(|it| it.entry.born_unix_ms != entry.born_unix_ms) {
            let outdated = self.outdated_starts.entry(entry.worker.clone()).or_default();
            outdated.push(former.entry.born_unix_ms);
            outdated.retain(|&born_unix_ms| born_unix_ms != entry.born_unix_ms);
        }
        let carried: Vec<_> = (former.into_iter())
            .flat_map(|worker| worker.runs.iter().map(|(&task, &(number, _))| (task, number)))
            .filter(|&(task, number)| {
                let until_ms = self.may_begin_until_ms(key, task, number);
                until_ms.is_some_and(|until_ms| now_ms < until_ms)
            })
            .collect();
        // Crashes are counted by the former key, so before the runs change theirs.
        let lost_before = self.workers.get_mut(key).map(|it| std::mem::take(&mut it.lost_before));
        self.suspects.note_lost(lost_before.unwrap_or_default());
        let lost = self.note_crash(key, |task| carried.iter().any(|&(other, _)| other == task));
        let successor = self.insert_worker(entry);
        for &(task, number) in &carried {
            let lost = lost.iter().find(|lost| lost.task == task).copied();
            self.carry_over(now_ms, RunAt { worker: key, task, number }, successor, lost);
        }
        self.drop_all_runs(key);
        self.remove_worker(key);
        self.stop_late_starts(now_ms, successor);
        successor
    }

    /// Replaces an incarnation by the one that answered a poll. It takes work once
    /// the registry shows it: its capacity may be another one.
    pub(super) fn restart_at_poll(&mut self, key: WorkerKey, born_unix_ms: u64) -> WorkerKey {
        let Some(worker) = self.workers.get(key) else { return key };
        let claimant = self.workers.claimant(&worker.entry.worker);
        let claimed = claimant.and_then(|claimant| self.workers.get(claimant));
        let registered = claimed.map(|claimed| &claimed.entry);
        let registered = registered.filter(|entry| entry.born_unix_ms == born_unix_ms).cloned();
        let is_registered = registered.is_some();
        let entry =
            registered.unwrap_or_else(|| WorkerEntry { born_unix_ms, ..worker.entry.clone() });
        if let Some(claimant) = claimant {
            self.workers.remove(claimant);
        }
        let successor = self.restart(key, entry, "the worker restarted");
        if let Some(worker) = self.workers.get_mut(successor)
            && !is_registered
        {
            worker.presence = Presence::Unregistered;
        }
        successor
    }

    /// Returns until when a run may begin in a later incarnation of its worker, in
    /// milliseconds on the local clock; none if it has ended with this one.
    fn may_begin_until_ms(&self, key: WorkerKey, task: TaskRef, number: RunNumber) -> Option<u64> {
        let runs = &self.job_table.task(task)?.runs;
        let run = runs.iter().find(|run| run.worker == key && run.number == number)?;
        (!run.is_settled).then_some(run.since_ms + LATE_ORDER_MAX_MS)
    }

    fn carry_over(&mut self, now_ms: u64, at: RunAt, successor: WorkerKey, lost: Option<LostRun>) {
        let RunAt { worker: key, task, number } = at;
        let allocated = self.workers.get(key).and_then(|worker| worker.runs.get(&task)).copied();
        let Some((_, allocation)) = allocated else { return };
        self.workers.release(key, task, number);
        self.workers.allocate(successor, task, number, allocation);
        self.interference.on_over(now_ms, at);
        if let Some(worker) = self.workers.get_mut(successor) {
            worker.carried_over.insert(task, lost);
        }
        let run = self.job_table.task_mut(task).and_then(|task| task.run_mut(key, number));
        let Some(run) = run else { return };
        run.worker = successor;
        // The limit is on the clock of the former incarnation.
        run.start_until_ms = u64::MAX;
        let must_stop = run.is_stopping();
        run.phase = match run.phase {
            RunPhase::Ordered | RunPhase::Unanswered { .. } => {
                RunPhase::Unanswered { since_ms: now_ms }
            }
            RunPhase::Stopping { .. } => {
                RunPhase::Stopping { asked_ms: now_ms, confirmed_ms: None }
            }
            RunPhase::Running { since_ms } => RunPhase::Running { since_ms },
        };
        self.note_begin(now_ms, RunAt { worker: successor, task, number }, false);
        if must_stop && let Some(address) = self.job_table.address(task) {
            self.order_stop_of(address, successor, number);
        }
    }

    /// Notes the crash of a worker's former incarnation once it is known which runs
    /// were not carried over to this one.
    pub(super) fn note_former_crash(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key)
            && worker.carried_over.is_empty()
            && !worker.lost_before.is_empty()
        {
            self.suspects.note_lost(std::mem::take(&mut worker.lost_before));
        }
    }

    /// Records that a worker lists a run, or its end, that may have been carried over.
    pub(super) fn settle_listed(&mut self, key: WorkerKey, task: TaskRef, number: RunNumber) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let is_same = worker.runs.get(&task).is_some_and(|&(known, _)| known == number);
        if is_same && worker.carried_over.remove(&task).is_some() {
            self.clear_lost_run(task);
            self.note_former_crash(key);
        }
    }

    /// Removes a run that a worker does not list and will not start any more.
    pub(super) fn drop_unlisted(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        task: TaskRef,
        number: RunNumber,
    ) {
        let run = self.job_table.task_mut(task).and_then(|task| task.run_mut(key, number));
        let has_begun = run.is_some_and(|run| run.has_begun);
        let mut was_carried = false;
        if let Some(worker) = self.workers.get_mut(key)
            && let Some(lost) = worker.carried_over.get(&task)
        {
            was_carried = true;
            // A start that nobody confirmed was hardly the cause of the crash.
            worker.lost_before.extend(lost.filter(|_| has_begun));
        }
        self.note_late_start(now_ms, key, task, number);
        self.drop_run(task, key, number);
        if was_carried && self.job_table.spec(task).is_some_and(|spec| spec.is_gang) {
            // The other members would wait for this one until they time out.
            self.stop_step(now_ms, task);
        }
    }

    /// Remembers the start of a run that is given up, unless it was carried out.
    pub(super) fn note_late_start(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        task: TaskRef,
        number: RunNumber,
    ) {
        let run = self.job_table.task(task).and_then(|task| {
            task.runs.iter().find(|run| run.worker == key && run.number == number)
        });
        if let Some(run) = run
            && !run.has_begun
            && let Some(address) = self.job_table.address(task)
            && let Some(worker) = self.workers.get(key)
        {
            let is_stopped = matches!(run.phase, RunPhase::Stopping { confirmed_ms: Some(_), .. });
            self.late_starts.add(now_ms, &worker.entry, address, run, is_stopped);
        }
    }

    pub(super) fn is_carried_over(&self, key: WorkerKey, task: TaskRef) -> bool {
        self.workers.get(key).is_some_and(|worker| worker.carried_over.contains_key(&task))
    }

    /// Stops starts that were given up at a worker that restarted since.
    fn stop_late_starts(&mut self, now_ms: u64, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        for (task, number) in self.late_starts.take_due(now_ms, &worker.entry) {
            self.order_stop_of(task, key, number);
        }
    }

    /// Stops late starts at all workers that have to be told, and forgets those
    /// that are no longer carried out.
    pub(super) fn review_late_starts(&mut self, now_ms: u64) {
        self.late_starts.prune(now_ms);
        let names: Vec<_> = self.late_starts.by_worker.keys().cloned().collect();
        for name in names {
            if let Some(key) = self.workers.find(&name) {
                self.stop_late_starts(now_ms, key);
            }
        }
    }

    /// Records that a worker has accepted a stop.
    pub(super) fn on_stop_accepted(&mut self, target: &OrderTarget) {
        if let Some(worker) = self.workers.get(target.worker) {
            self.late_starts.on_stopped(&worker.entry, target.task, target.run);
        }
    }

    /// Records the lease that a worker may hold, beyond what this engine has granted
    /// it, when it reports with a reading of its clock.
    pub(super) fn hold_former_lease(&mut self, key: WorkerKey, clock_ms: u64) {
        let PoolTiming { worker_lease_ms, worker_lease_max_ms, .. } = self.timing;
        let Some(worker) = self.workers.get_mut(key) else { return };
        if !worker.is_confirmed() {
            let WorkerEntry { worker: name, born_unix_ms, .. } = &worker.entry;
            worker.lease.hold_former(self.former_leases.until_ms(name, *born_unix_ms));
            // Until its first report under this term, the worker accepts the limits of
            // previous controllers.
            let by_former_ms = clock_ms.min(FORMER_LIMITS_MS) + worker_lease_max_ms;
            worker.lease.grant(by_former_ms.max(clock_ms + worker_lease_ms));
        }
    }

    /// Remembers, by the worker's name, the lease that calls for an incarnation may
    /// grant to later ones.
    pub(super) fn note_former_lease(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        let Some(sent_ms) = worker.lease.limit_sent_ms() else { return };
        let lease_max_ms = self.timing.worker_lease_max_ms;
        let until_ms = lease_end_ms(sent_ms + LATE_ORDER_MAX_MS, lease_max_ms);
        let WorkerEntry { worker, born_unix_ms, .. } = &worker.entry;
        self.former_leases.note(worker, *born_unix_ms, until_ms);
    }

    /// Returns the target of an order with the incarnation that its run belongs to
    /// now.
    pub(super) fn current_target(&self, target: OrderTarget) -> OrderTarget {
        let task = self.job_table.resolve(target.task).and_then(|task| self.job_table.task(task));
        let run = task.and_then(|task| task.runs.iter().find(|run| run.number == target.run));
        run.map_or(target, |run| OrderTarget { worker: run.worker, ..target })
    }

    /// Treats an incarnation that the registry has not listed in this pool as gone
    /// once it lists it in another one.
    pub(super) fn note_elsewhere(&mut self, entry: &WorkerEntry) {
        let key = self.workers.find(&entry.worker);
        if let Some(worker) = key.and_then(|key| self.workers.get_mut(key))
            && worker.presence == Presence::Unregistered
            && worker.entry.born_unix_ms == entry.born_unix_ms
        {
            worker.presence = Presence::Gone;
        }
    }

    /// Returns the worker of the same name and pool as a registry entry that names
    /// another incarnation of it.
    pub(super) fn other_incarnation(&self, entry: &WorkerEntry) -> Option<WorkerKey> {
        let key = self.workers.find(&entry.worker)?;
        let known = &self.workers.get(key)?.entry;
        let is_other = entry.pool == self.control.pool
            && known.host == entry.host
            && known.born_unix_ms != entry.born_unix_ms;
        is_other.then_some(key)
    }

    /// Returns whether a registry entry is that of an incarnation that a later one
    /// of the same name has replaced.
    pub(super) fn is_outdated(&self, entry: &WorkerEntry) -> bool {
        let outdated = self.outdated_starts.get(&entry.worker);
        outdated.is_some_and(|outdated| outdated.contains(&entry.born_unix_ms))
    }
}
