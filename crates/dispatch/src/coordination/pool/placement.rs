//! Choice of a worker for a task.
//!
//! Load pattern: large steps arrive together while the pool is nearly full.
//! Tasks are placed best-fit, on the worker with the least capacity left
//! afterwards, so that large gaps stay free for the next large task.
//! Long-running tasks are spread over racks and workers instead, so that the
//! loss of a rack affects as few tasks of a step as possible. Where idle hosts
//! can be switched off, tasks of different long-running steps share workers:
//! spread over all of them they would keep most hosts of an idle pool on.

use hashbrown::HashMap;
use tamarackproxy::coordination::jobs::Resources;

use super::{
    crashes::Suspects,
    events::WorkerKey,
    interference::Avoided,
    job_table::JobTable,
    task::{Step, Task},
    workers::{Presence, Worker, WorkerTable},
};
use crate::state::{Registration, StepSpec};

/// Time within which a worker must have answered a poll to get work, in
/// milliseconds: one unanswered poll does not indicate a failure, two do.
pub(super) const REACHABLE_MS: u64 = 2_600;

/// Workers with a bad neighbour that are passed over for each placement in search
/// of one without, beginning with the best fit: bounds the cost of a placement in a
/// pool where nearly every worker has one.
const PASSED_OVER_MAX: usize = 8;
/// Emptiest workers that are looked at after those, which are the least likely to
/// have a bad neighbour.
const EMPTIEST_MAX: usize = 4;

/// Returns whether a step's tasks may run on any worker that has the capacity.
pub(super) fn is_plain(spec: &StepSpec) -> bool {
    let has_choice = spec.required_label.is_none() && spec.per_worker_max.is_none();
    let shares_workers = spec.uses_leftover || spec.tail_goal_ms.is_some();
    has_choice && !shares_workers && !spec.is_gang
}

/// Allocations for which a placement round found no worker. Capacity only
/// shrinks within a round, so tasks that need as much need not be tried again.
#[derive(Debug, Default)]
pub(super) struct Unplaceable {
    plain: Vec<Resources>,
    has_others: bool,
}

impl Unplaceable {
    /// Adds an allocation; `is_plain` tells that any worker would have done.
    pub(super) fn add(&mut self, allocation: Resources, is_plain: bool) {
        if is_plain {
            self.plain.retain(|known| !allocation.fits_in(known));
            self.plain.push(allocation);
        } else {
            self.has_others = true;
        }
    }

    /// Returns whether no worker has the capacity for an allocation.
    pub(super) fn covers(&self, allocation: &Resources) -> bool {
        self.plain.iter().any(|known| known.fits_in(allocation))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.plain.is_empty() && !self.has_others
    }
}

/// Task for which a worker is chosen.
pub(super) struct PlaceQuery<'a> {
    pub(super) spec: &'a StepSpec,
    pub(super) step: &'a Step,
    pub(super) task: &'a Task,
    /// Another failure would fail the job.
    pub(super) is_last_attempt: bool,
    /// Tasks beside which this one should not run.
    pub(super) suspects: Option<&'a Suspects>,
    /// Jobs whose long-running tasks a long-running task is placed beside; none
    /// if idle hosts are never switched off.
    pub(super) shared_with: Option<&'a JobTable>,
    /// Kinds of tasks beside which it is placed only if there is no other room.
    pub(super) avoided: Option<Avoided<'a>>,
}

/// Returns whether new tasks may be started on a worker.
pub(super) fn takes_work(worker: &Worker, now_ms: u64) -> bool {
    worker.presence == Presence::Registered(Registration::Ready)
        && worker.is_rostered
        && !worker.is_claimed
        && !worker.is_vacated
        && worker.is_reachable(now_ms, REACHABLE_MS)
        && !worker.health.is_suspended(now_ms)
        && worker.fits_capacity()
}

/// Returns whether a long-running task runs on a worker.
fn has_lasting(jobs: &JobTable, worker: &Worker) -> bool {
    worker.runs.keys().any(|&task| jobs.spec(task).is_some_and(|spec| spec.is_lasting))
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
        let need = self.spec.allocation().cpu_millicores;
        let candidate = |(key, worker)| {
            if !takes_work(worker, now_ms) || excluded(key, worker) {
                return None;
            }
            let free = free_capacity(key, worker);
            self.accepts(key, worker, &free).then_some((key, worker, free))
        };
        let mut candidates = workers.with_unallocated(need).filter_map(candidate);
        if self.spec.is_lasting {
            let on_racks = self.runs_on_racks(workers);
            let score = |&(key, worker, free): &(WorkerKey, &Worker, Resources)| {
                let on_rack = on_racks.get(&*worker.entry.rack).copied().unwrap_or(0);
                let left = free.minus(&self.spec.allocation());
                let left = u64::MAX - left.dominant_share(&worker.entry.capacity);
                let opens_worker = self.shared_with.is_some_and(|jobs| !has_lasting(jobs, worker));
                (self.drawbacks(key, worker), on_rack, self.step.tasks_on(key), opens_worker, left)
            };
            return candidates.min_by_key(score).map(|(key, ..)| key);
        }
        // Those with the least unallocated processors come first, so the first
        // one without a drawback is the best fit.
        let mut best: Option<(Drawbacks, WorkerKey)> = None;
        let mut passed_over = 0;
        let is_enough = |(key, worker, _): (WorkerKey, &Worker, Resources)| {
            let drawbacks = self.drawbacks(key, worker);
            if best.is_none_or(|(known, _)| drawbacks < known) {
                best = Some((drawbacks, key));
            }
            passed_over += usize::from(drawbacks == Drawbacks::BAD_NEIGHBOUR);
            drawbacks == Drawbacks::default() || passed_over > PASSED_OVER_MAX
        };
        if candidates.any(is_enough) && passed_over > PASSED_OVER_MAX {
            let emptiest = workers.with_unallocated(need).rev().take(EMPTIEST_MAX);
            let with_drawbacks = emptiest
                .filter_map(candidate)
                .map(|(key, worker, _)| (self.drawbacks(key, worker), key));
            best = with_drawbacks.chain(best).min_by_key(|&(drawbacks, _)| drawbacks);
        }
        best.map(|(_, key)| key)
    }

    fn drawbacks(&self, key: WorkerKey, worker: &Worker) -> Drawbacks {
        let is_suspect = worker.health.is_slow()
            || self.task.failed_on == Some(key)
            || (self.is_last_attempt && worker.health.has_recent_failures());
        let data_rack = self.spec.data_rack.as_deref();
        let is_off_rack = data_rack.is_some_and(|rack| *rack != *worker.entry.rack);
        let suspects = self.suspects.map_or(0, |suspects| {
            worker.runs.keys().filter(|task| suspects.contains(task)).count()
        });
        let has_bad_neighbour = self.avoided.is_some_and(|avoided| avoided.is_on(key));
        Drawbacks { is_suspect, suspects, has_bad_neighbour, is_off_rack }
    }

    /// Counts the step's runs on each rack.
    fn runs_on_racks<'w>(&self, workers: &'w WorkerTable) -> HashMap<&'w str, usize> {
        let mut counts = HashMap::new();
        for run in self.step.tasks.iter().flat_map(|task| &task.runs) {
            if let Some(worker) = workers.get(run.worker) {
                *counts.entry(&*worker.entry.rack).or_default() += 1;
            }
        }
        counts
    }
}

impl Drawbacks {
    /// The only drawback of a worker is a bad neighbour.
    const BAD_NEIGHBOUR: Self =
        Self { is_suspect: false, suspects: 0, has_bad_neighbour: true, is_off_rack: false };
}

/// Reasons to prefer other workers; fewer are better.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Drawbacks {
    is_suspect: bool,
    /// Runs there of other tasks under which workers crashed.
    suspects: usize,
    /// A task runs there whose kind and the task's slow each other down.
    has_bad_neighbour: bool,
    /// The task's data is on another rack.
    is_off_rack: bool,
}
