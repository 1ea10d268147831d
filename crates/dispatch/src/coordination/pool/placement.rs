//! Choice of a worker for a task.
//!
//! Load pattern: wide steps arrive together while the pool is nearly full.
//! Tasks go where least room is left after them, so that holes stay large for
//! the next wide task. Lasting tasks spread over racks and workers instead,
//! since the loss of a rack is to cost a step as little as possible.

use tamarackproxy::coordination::jobs::Resources;

use super::{
    events::WorkerKey,
    task::{Step, Task},
    workers::{Presence, Worker, WorkerTable},
};
use crate::state::{Registration, StepSpec};

/// Time within which a worker must have answered a look to get work, in
/// milliseconds: one unanswered look is no sign of a loss, two are.
pub(super) const TOUCH_MS: u64 = 2_600;

/// What a place is chosen for.
pub(super) struct PlaceQuery<'a> {
    pub(super) spec: &'a StepSpec,
    pub(super) step: &'a Step,
    pub(super) task: &'a Task,
    /// A further failure would fail the job.
    pub(super) is_last_attempt: bool,
}

/// Tells whether new tasks may be started on a worker.
pub(super) fn takes_work(worker: &Worker, now_ms: u64) -> bool {
    worker.presence == Presence::Registered(Registration::Ready)
        && worker.is_rostered
        && !worker.is_vacated
        && worker.is_in_touch(now_ms, TOUCH_MS)
        && !worker.health.is_suspended(now_ms)
}

impl PlaceQuery<'_> {
    fn accepts(&self, key: WorkerKey, worker: &Worker, room: &Resources) -> bool {
        let label_fits =
            (self.spec.required_label.as_deref()).is_none_or(|label| worker.has_label(label));
        let spread = self.spec.per_worker_max.map_or(usize::MAX, |max| max as usize);
        label_fits
            && self.spec.charge().fits_in(room)
            && !self.task.runs.iter().any(|run| run.worker == key)
            && (spread == usize::MAX || self.step.tasks_on(key) < spread)
    }

    /// Chooses a worker; `room` tells what is left on each.
    pub(super) fn choose<R, E>(
        &self,
        workers: &WorkerTable,
        now_ms: u64,
        room: R,
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
            let room = room(key, worker);
            self.accepts(key, worker, &room).then_some((key, worker, room))
        });
        let score = |&(key, worker, room): &(WorkerKey, &Worker, Resources)| {
            let doubt = worker.health.is_slow()
                || self.task.failed_on == Some(key)
                || (self.is_last_attempt && worker.health.is_doubtful());
            let off_rack =
                self.spec.data_rack.as_deref().is_some_and(|rack| *rack != *worker.entry.rack);
            let crowding =
                if self.spec.is_lasting { self.crowding(key, worker, workers) } else { (0, 0) };
            let left = room.minus(&self.spec.charge()).dominant_share(&worker.entry.capacity);
            let left = if self.spec.is_lasting { u64::MAX - left } else { left };
            (doubt, off_rack, crowding, left)
        };
        candidates.min_by_key(score).map(|(key, ..)| key)
    }

    /// Counts the step's tasks on the worker's rack and on the worker.
    fn crowding(&self, key: WorkerKey, worker: &Worker, workers: &WorkerTable) -> (usize, usize) {
        let on_rack = |run: &super::task::Run| {
            workers.get(run.worker).is_some_and(|other| other.entry.rack == worker.entry.rack)
        };
        let runs = self.step.tasks.iter().flat_map(|task| &task.runs);
        (runs.filter(|run| on_rack(run)).count(), self.step.tasks_on(key))
    }
}
