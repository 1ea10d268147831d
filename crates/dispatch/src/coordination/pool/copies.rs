//! Speculative copies: second runs of tasks that are far behind.

use super::{
    engine::PoolEngine,
    placement::REACHABLE_MS,
    task::{Run, TaskRef},
};

/// Multiple of the expected duration after which a speculative copy may pay
/// off.
const COPY_FACTOR: u64 = 2;
/// Time on top of that multiple, in milliseconds.
const COPY_SLACK_MS: u64 = 250;
impl PoolEngine {
    /// Starts speculative copies of tasks that take far longer than expected,
    /// where the step allows it and no other task waits for the capacity.
    pub(super) fn place_copies(&mut self, now_ms: u64) {
        let mut slow = Vec::new();
        for (key, job) in self.job_table.iter().filter(|(_, job)| job.outcome.is_none()) {
            for (occurrence, state) in job.occurrences.iter() {
                for (index, (step, spec)) in state.steps.iter().zip(&job.spec.steps).enumerate() {
                    if !spec.allows_copies || !step.is_open() || step.is_done() {
                        continue;
                    }
                    let expected_ms = self.durations.expected_ms(&job.queue, spec.estimate_ms);
                    for (number, task) in step.tasks.iter().enumerate() {
                        let [run] = &task.runs[..] else { continue };
                        // A copy of a task on a worker that does not answer ends
                        // seconds earlier, one of a task that crashes its workers
                        // only crashes another.
                        let is_suspect = task.crashes.crashes > 0 || self.is_lost_at_start(run);
                        if !task.is_done && !is_suspect && self.is_behind(run, expected_ms, now_ms)
                        {
                            let (step, index) = (index as u16, number as u32);
                            slow.push(TaskRef { job: key, occurrence, step, index });
                        }
                    }
                }
            }
        }
        slow.retain(|&task| self.is_crash_stored(task));
        for task in slow {
            if !self.may_start(task, 1) {
                continue;
            }
            if let Some(worker) = self.choose(now_ms, task) {
                let starts = self.job_table.task(task).map_or(0, |task| task.starts);
                log::info!(task:? = self.job_table.address(task);
                    "starting a speculative copy of a slow task");
                self.start(now_ms, task, worker, starts);
                self.log_starts(now_ms, task, &[(task.index, worker)]);
            }
        }
    }

    fn is_behind(&self, run: &Run, expected_ms: u64, now_ms: u64) -> bool {
        if run.is_stopping() {
            return false;
        }
        let is_unreachable = self
            .workers
            .get(run.worker)
            .is_none_or(|worker| !worker.is_reachable(now_ms, REACHABLE_MS));
        let elapsed_ms = now_ms.saturating_sub(run.since_ms);
        let percent = u64::from(run.percent.clamp(1, 100));
        let left_ms = elapsed_ms * (100 - percent) / percent;
        is_unreachable
            || (elapsed_ms > expected_ms * COPY_FACTOR + COPY_SLACK_MS && left_ms > expected_ms)
    }
}
