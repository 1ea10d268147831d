//! Choice of a worker for a task.
//!
//! Load pattern: large steps arrive together while the pool is nearly full.
//! Tasks are placed best-fit, on the worker with the least capacity left
//! afterwards, so that large gaps stay free for the next large task.
//! Long-running tasks are spread over racks and workers instead, so that the
//! loss of a rack affects as few tasks of a step as possible.

use tamarackproxy::coordination::jobs::Resources;

use super::{
    events::WorkerKey,
    task::{Step, Task},
    workers::{Presence, Worker, WorkerTable},
};
use crate::state::{Registration, StepSpec};

/// Time within which a worker must have answered a poll to get work, in
/// milliseconds: one unanswered poll does not indicate a failure, two do.
pub(super) const REACHABLE_MS: u64 = 2_600;

/// Task for which a worker is chosen.
pub(super) struct PlaceQuery<'a> {
    pub(super) spec: &'a StepSpec,
    pub(super) step: &'a Step,
    pub(super) task: &'a Task,
    /// Another failure would fail the job.
    pub(super) is_last_attempt: bool,
}

/// Returns whether new tasks may be started on a worker.
pub(super) fn takes_work(worker: &Worker, now_ms: u64) -> bool {
    worker.presence == Presence::Registered(Registration::Ready)
        && worker.is_rostered
        && !worker.is_vacated
        && worker.is_reachable(now_ms, REACHABLE_MS)
        && !worker.health.is_suspended(now_ms)
}

impl PlaceQuery<'_> {
    fn accepts(&self, key: WorkerKey, worker: &Worker, free: &Resources) -> bool {
        let label_fits =
            (self.spec.required_label.as_deref()).is_none_or(|label| worker.has_label(label));
        let spread = self.spec.per_worker_max.map_or(usize::MAX, |max| max as usize);
        label_fits
            && self.spec.allocation().fits_in(free)
            && !self.task.runs.iter().any(|run| run.worker == key)
            && (spread == usize::MAX || self.step.tasks_on(key) < spread)
    }

    /// Chooses a worker that takes work and is not `excluded`; `free_capacity`
    /// returns the unused resources of each.
    pub(super) fn choose<R, E>(
        &self,
        workers: &WorkerTable,
        now_ms: u64,
        free_capacity: R,
        excluded: E,
    ) -> Option<WorkerKey>
    where
        R: Fn(WorkerKey, &Worker) -> Resources,
        E: Fn(WorkerKey, &Worker) -> bool,
    {
        let candidates = workers
            .iter()
            .filter(|&(key, worker)| takes_work(worker, now_ms) && !excluded(key, worker));
        let candidates = candidates.filter_map(|(key, worker)| {
            let free = free_capacity(key, worker);
            self.accepts(key, worker, &free).then_some((key, worker, free))
        });
        let score = |&(key, worker, free): &(WorkerKey, &Worker, Resources)| {
            let is_suspect = worker.health.is_slow()
                || self.task.failed_on == Some(key)
                || (self.is_last_attempt && worker.health.has_recent_failures());
            let is_off_rack =
                self.spec.data_rack.as_deref().is_some_and(|rack| *rack != *worker.entry.rack);
            let colocated =
                if self.spec.is_lasting { self.colocated(key, worker, workers) } else { (0, 0) };
            let left = free.minus(&self.spec.allocation()).dominant_share(&worker.entry.capacity);
            let left = if self.spec.is_lasting { u64::MAX - left } else { left };
            (is_suspect, is_off_rack, colocated, left)
        };
        candidates.min_by_key(score).map(|(key, ..)| key)
    }

    /// Counts the step's runs on the worker's rack and its tasks on the worker.
    fn colocated(&self, key: WorkerKey, worker: &Worker, workers: &WorkerTable) -> (usize, usize) {
        let on_rack = |run: &super::task::Run| {
            workers.get(run.worker).is_some_and(|other| other.entry.rack == worker.entry.rack)
        };
        let runs = self.step.tasks.iter().flat_map(|task| &task.runs);
        (runs.filter(|run| on_rack(run)).count(), self.step.tasks_on(key))
    }
}
