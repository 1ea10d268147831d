//! What the engine tells about runs, and what it reports to operators.

use super::{Belief, InterferingPair, PairChange, RunAt, RunKind};
use crate::{
    coordination::pool::{
        engine::PoolEngine,
        events::WorkerKey,
        task::{RunPhase, TaskRef},
    },
    state::RunNumber,
};

/// Time since the engine's last step after which a noticed end is no evidence, in
/// milliseconds: the engine makes a step every 100 ms, unless the process was
/// paused.
const STEP_LATE_MS: u64 = 500;

impl PoolEngine {
    /// Notes a run that begins. `is_comparable` tells whether its duration may be
    /// compared with that of other runs: it is neither adopted nor a copy, and
    /// does not resume from a checkpoint.
    pub(in super::super) fn note_begin(&mut self, now_ms: u64, at: RunAt, is_comparable: bool) {
        let (Some(job), Some(worker)) =
            (self.job_table.job(at.task.job), self.workers.get(at.worker))
        else {
            return;
        };
        let Some(spec) = job.spec.steps.get(usize::from(at.task.step)) else { return };
        let is_remote = spec.data_rack.as_ref().is_some_and(|rack| *rack != worker.entry.rack);
        let run = RunKind {
            spec,
            queue: &job.queue,
            capacity: &worker.entry.capacity,
            is_comparable: is_comparable && !is_remote,
        };
        self.interference.on_begin(now_ms, at, &run);
    }

    /// Notes the successful end of a run, before the run is removed.
    pub(in super::super) fn note_done(
        &mut self,
        now_ms: u64,
        worker: WorkerKey,
        task: TaskRef,
        number: RunNumber,
    ) {
        let run = self.job_table.task(task).and_then(|task| {
            task.runs.iter().find(|run| run.worker == worker && run.number == number)
        });
        let is_undisturbed = run.is_some_and(|run| {
            run.pace.is_none() && matches!(run.phase, RunPhase::Ordered | RunPhase::Running { .. })
        });
        if is_undisturbed && now_ms <= self.stepped_ms + STEP_LATE_MS {
            let changes = self.interference.on_done(now_ms, RunAt { worker, task, number });
            self.log_changes(&changes);
        }
    }

    /// Judges the pairs of kinds again whose evidence has decayed.
    pub(in super::super) fn review_interference(&mut self, now_ms: u64) {
        let changes = self.interference.review(now_ms);
        self.log_changes(&changes);
    }

    fn log_changes(&self, changes: &[PairChange]) {
        for PairChange { belief, pair } in changes {
            let message = match belief {
                Belief::Suspected => "kinds of tasks are suspected of interference",
                Belief::Confirmed => "kinds of tasks interfere and are kept apart",
                Belief::Unsuspected => "kinds of tasks are cleared of interference",
            };
            log::info!(pool = self.control.pool.as_str(), slowed = &*pair.slowed,
                beside = &*pair.beside, slowdown = pair.slowdown, runs = pair.runs; "{message}");
        }
    }

    /// Returns the number of runs whose neighbours are watched.
    #[cfg(test)]
    pub(in super::super) fn watched_runs(&self) -> usize {
        self.interference.watched_runs()
    }

    /// Lists the pairs of kinds that are kept apart, those with the largest
    /// slowdown first.
    pub fn interfering_pairs(&mut self, now_ms: u64) -> Vec<InterferingPair> {
        self.interference.confirmed(now_ms)
    }
}
