//! Vacating of workers for maintenance or a move, and of workers that drain.
//!
//! Failure pattern: a long-running task is stopped on a worker that never becomes
//! empty, because another one there may not be stopped, and has no room elsewhere.
//! Nothing is therefore stopped on a worker that cannot become empty at present, and
//! tasks without room elsewhere are stopped only together with all others there.

use super::{
    engine::PoolEngine,
    events::{PoolAction, WorkerKey},
    placement::REACHABLE_MS,
    task::{Run, RunPhase, Task, TaskRef},
    workers::{Presence, Worker},
};
use crate::state::{Registration, RunNumber};

/// Run time before which a run that saves checkpoints is not stopped on a
/// worker that is being vacated, in milliseconds; most tasks end by themselves
/// within it.
const CHECKPOINT_GRACE_MS: u64 = 2_500;
/// Age of the latest poll up to which a worker's long-running tasks count as
/// available, in milliseconds: polls of busy workers wait for a second.
const AVAILABLE_MAX_AGE_MS: u64 = 1_300;
/// Interval at which a worker that is being vacated is reviewed, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 40;
/// Time for which a worker has to be unable to become empty before tasks without
/// other room are placed there, in milliseconds. Tasks that have just been stopped
/// start elsewhere within it.
const BLOCKED_MS: u64 = 1_000;

/// Progress of a worker that is being vacated.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Vacating {
    /// When it is reviewed next, on the local clock.
    next_review_ms: u64,
    /// Since when it cannot become empty, on the local clock.
    blocked_since_ms: Option<u64>,
}

impl Vacating {
    /// Returns whether the worker takes tasks that have no other room.
    pub(super) fn takes_tasks(&self, now_ms: u64) -> bool {
        self.blocked_since_ms.is_some_and(|since_ms| now_ms >= since_ms + BLOCKED_MS)
    }
}

/// Runs of one long-running step on a worker that is being vacated.
struct StepRuns {
    /// Runs in which tasks are up, each with whether the task has room elsewhere.
    runs: Vec<(TaskRef, RunNumber, bool)>,
    /// Some tasks are still starting here and are not stopped yet.
    has_starting: bool,
    /// Most tasks of the step that may be unavailable.
    unavailable_max: usize,
    /// Tasks of the step that are unavailable, on any worker.
    unavailable: usize,
    /// Those of them that are neither starting nor being stopped.
    stuck: usize,
}

impl StepRuns {
    /// Returns how many runs may be stopped now.
    fn allowed(&self) -> usize {
        self.unavailable_max.saturating_sub(self.unavailable)
    }

    /// Returns whether the runs cannot all be stopped while the tasks that are stuck
    /// stay unavailable.
    fn is_blocked(&self) -> bool {
        let without_room = self.runs.iter().filter(|(.., has_room)| !has_room).count();
        let allowed = self.unavailable_max.saturating_sub(self.stuck);
        allowed == 0 || without_room > allowed
    }
}

impl PoolEngine {
    /// Stops runs on workers that are draining or being vacated, so that they
    /// restart elsewhere.
    pub(super) fn vacate_workers(&mut self, now_ms: u64) {
        let leaving = |worker: &Worker| {
            let is_draining = worker.presence == Presence::Registered(Registration::Draining);
            let is_vacating = worker.is_vacating;
            (is_draining || is_vacating).then_some(is_draining)
        };
        let leaving: Vec<_> = (self.workers.iter())
            .filter_map(|(key, worker)| Some((key, leaving(worker)?)))
            .collect();
        for (key, is_draining) in leaving {
            if is_draining {
                self.stop_lasting(now_ms, key);
            } else {
                self.vacate(now_ms, key);
            }
            self.confirm_vacancy(now_ms, key);
        }
    }

    /// Stops all long-running tasks on a worker that drains.
    fn stop_lasting(&mut self, now_ms: u64, key: WorkerKey) {
        for (task, number) in self.runs_on(key) {
            let is_lasting = self.job_table.spec(task).is_some_and(|spec| spec.is_lasting);
            let is_running = self.run_on(task, key, number).is_some_and(is_running);
            if is_lasting && is_running {
                self.stop_run(now_ms, task, key, number);
            }
        }
    }

    /// Stops runs on a worker that is being vacated, as far as it can become empty.
    fn vacate(&mut self, now_ms: u64, key: WorkerKey) {
        let is_settling = self.unreconciled.is_some() || now_ms < self.handover_grace_until_ms;
        let Some(worker) = self.workers.get_mut(key) else { return };
        if now_ms < worker.vacating.next_review_ms {
            return;
        }
        worker.vacating.next_review_ms = now_ms + REVIEW_INTERVAL_MS;
        // The tasks of a previous controller are not known yet, or its stops are still
        // being carried out.
        let steps = if is_settling { Vec::new() } else { self.lasting_steps_on(now_ms, key) };
        let is_blocked = steps.iter().any(StepRuns::is_blocked);
        self.note_blocked_worker(now_ms, key, is_blocked);
        if is_blocked {
            return;
        }
        let others: Vec<_> = (self.runs_on(key).into_iter())
            .filter(|&(task, _)| self.job_table.spec(task).is_some_and(|spec| !spec.is_lasting))
            .collect();
        let may_stop_all = others.is_empty()
            && steps.iter().all(|step| !step.has_starting && step.runs.len() <= step.allowed());
        for (task, number) in others {
            if self.is_past_grace(now_ms, task, key, number) {
                self.stop_run(now_ms, task, key, number);
            }
        }
        for step in steps {
            let allowed = step.allowed();
            let stoppable =
                step.runs.into_iter().filter(|(.., has_room)| *has_room || may_stop_all);
            for (task, number, _) in stoppable.take(allowed) {
                self.stop_run(now_ms, task, key, number);
            }
        }
    }

    /// Records whether a worker that is being vacated can become empty.
    fn note_blocked_worker(&mut self, now_ms: u64, key: WorkerKey, is_blocked: bool) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let was_blocked = worker.vacating.blocked_since_ms.is_some();
        if is_blocked != was_blocked {
            worker.vacating.blocked_since_ms = is_blocked.then_some(now_ms);
            log::info!(host = worker.entry.host.as_str(), worker = worker.entry.worker.as_str(),
                runs = worker.runs.len(), can_become_empty = !is_blocked;
                "review of a worker that is being vacated has another result");
        }
    }

    /// Returns the long-running steps with runs on a worker that are not being
    /// stopped.
    fn lasting_steps_on(&self, now_ms: u64, key: WorkerKey) -> Vec<StepRuns> {
        let runs = self.runs_on(key).into_iter();
        let mut lasting: Vec<_> = runs
            .filter(|&(task, number)| {
                self.job_table.spec(task).is_some_and(|spec| spec.is_lasting)
                    && self.run_on(task, key, number).is_some_and(|run| !run.is_stopping())
            })
            .collect();
        lasting.sort_unstable();
        let same_step = |one: &(TaskRef, RunNumber), other: &(TaskRef, RunNumber)| {
            TaskRef { index: 0, ..one.0 } == TaskRef { index: 0, ..other.0 }
        };
        lasting.chunk_by(same_step).map(|runs| self.step_runs(now_ms, key, runs)).collect()
    }

    /// Describes runs of one step on a worker.
    fn step_runs(&self, now_ms: u64, key: WorkerKey, own: &[(TaskRef, RunNumber)]) -> StepRuns {
        let step = own.first().and_then(|&(task, _)| self.job_table.step(task));
        let spec = own.first().and_then(|&(task, _)| self.job_table.spec(task));
        let tasks = step.map_or(&[][..], |step| &step.tasks);
        let (mut unavailable, mut stuck) = (0, 0);
        for task in tasks.iter().filter(|task| !self.is_available(now_ms, task)) {
            unavailable += 1;
            stuck += usize::from(self.is_stuck(now_ms, task));
        }
        let (up, starting): (Vec<_>, Vec<_>) = own
            .iter()
            .partition(|&&(task, number)| self.run_on(task, key, number).is_some_and(Run::is_up));
        let has_room = |task| self.choose_not_vacating(now_ms, task).is_some();
        StepRuns {
            runs: up.into_iter().map(|(task, run)| (task, run, has_room(task))).collect(),
            has_starting: !starting.is_empty(),
            unavailable_max: spec.map_or(1, |spec| spec.unavailable_max.max(1) as usize),
            unavailable,
            stuck,
        }
    }

    /// Returns whether a run that saves checkpoints has run for so long that it is
    /// stopped on a worker that is being vacated.
    fn is_past_grace(&self, now_ms: u64, task: TaskRef, key: WorkerKey, number: RunNumber) -> bool {
        let saves = self.job_table.spec(task).is_some_and(|spec| spec.saves_checkpoints);
        let run = self.run_on(task, key, number).filter(|run| is_running(run));
        saves && run.is_some_and(|run| now_ms.saturating_sub(run.since_ms) > CHECKPOINT_GRACE_MS)
    }

    fn runs_on(&self, key: WorkerKey) -> Vec<(TaskRef, RunNumber)> {
        let worker = self.workers.get(key);
        let runs = worker.into_iter().flat_map(|worker| &worker.runs);
        runs.map(|(&task, &(number, _))| (task, number)).collect()
    }

    fn run_on(&self, task: TaskRef, key: WorkerKey, number: RunNumber) -> Option<&Run> {
        let task = self.job_table.task(task)?;
        task.runs.iter().find(|run| run.worker == key && run.number == number)
    }

    /// Returns whether a long-running task is known to be up now.
    fn is_available(&self, now_ms: u64, task: &Task) -> bool {
        task.runs.iter().any(|run| run.is_up() && self.is_heard(now_ms, run.worker))
    }

    /// Returns whether an unavailable task is neither starting nor being stopped.
    fn is_stuck(&self, now_ms: u64, task: &Task) -> bool {
        !task.runs.iter().any(|run| self.is_heard(now_ms, run.worker))
    }

    fn is_heard(&self, now_ms: u64, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        worker.is_some_and(|worker| worker.is_reachable(now_ms, AVAILABLE_MAX_AGE_MS))
    }

    /// Confirms that a worker is vacated: it has no runs, and all of its ended
    /// runs are stored.
    fn confirm_vacancy(&mut self, now_ms: u64, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let is_over = worker.is_empty()
            && !worker.has_unstored_ends()
            && (worker.is_reachable(now_ms, REACHABLE_MS)
                || (worker.polled_ms.is_some() && worker.is_lease_over(now_ms)));
        let is_asked = worker.is_vacating;
        if is_asked && is_over && !worker.is_vacated && self.unreconciled.is_none() {
            worker.is_vacated = true;
            worker.is_rostered = false;
            log::info!(host = worker.entry.host.as_str(), worker = worker.entry.worker.as_str();
                "host is vacated");
            self.actions.push(PoolAction::Vacated(worker.entry.worker.clone()));
            self.roster_changed();
        }
    }
}

fn is_running(run: &Run) -> bool {
    matches!(run.phase, RunPhase::Running { .. })
}
