//! Handling of poll results: ended runs, and reconciliation of the listed runs
//! with the expected ones.

use std::fmt::Write;

use hashbrown::HashMap;
use tamarackproxy::state::clock::ClockReading;

use super::{
    crashes::LOST_POLLS,
    engine::{
        POLL_GAP_MS, POLL_QUICK_RETRY_MS, POLL_RETRY_MAX_MS, POLL_RETRY_MS, PoolEngine,
        UNSTORED_POLL_GAP_MS,
    },
    events::{EndKind, EndedTask, PollFailure, PollReport, RunningTask, WorkerKey},
    interference::RunAt,
    job_table::Completion,
    lease::WorkerClock,
    registry::SUPERSEDED,
    task::{Run, RunPhase, TaskRef},
    workers::{OrphanRun, ProgressSequence},
};
use crate::state::{JobOutcome, RunNumber, StepSpec, TaskAddress};

/// First delay before a failed long-running task is restarted, in milliseconds.
const LASTING_RETRY_MIN_MS: u64 = 100;
/// Longest delay, in milliseconds: well below the six seconds within which a
/// long-running task has to run again.
const LASTING_RETRY_MAX_MS: u64 = 1_600;

/// Ends that a worker lists in one report; it lists further ones once these are
/// acknowledged.
const ENDS_LISTED_MAX: usize = 500;

impl PoolEngine {
    /// Handles the result of the poll of a worker.
    pub fn on_poll(
        &mut self,
        now: ClockReading,
        key: WorkerKey,
        result: Result<PollReport, PollFailure>,
    ) {
        let now_ms = now.monotonic_ms;
        let Some(sent_ms) = self.workers.end_poll(now_ms, key) else { return };
        let key = match (&result, self.workers.claimed_from(key)) {
            (Ok(report), Some(known)) => {
                let Some(key) = self.settle_claim(key, known, report.born_unix_ms) else { return };
                key
            }
            (Err(PollFailure::OtherLife), Some(_)) => return self.drop_claimant(key),
            _ => key,
        };
        let Some(worker) = self.workers.get_mut(key) else { return };
        let report = match result {
            Ok(report) => report,
            Err(PollFailure::OldTerm) => return self.fence("a worker has seen a higher term"),
            Err(PollFailure::OtherLife) => {
                return self.end_incarnation(key, "another incarnation answers at its address");
            }
            Err(failure @ (PollFailure::Refused | PollFailure::Unreachable)) => {
                worker.lost_ms.get_or_insert(now_ms);
                worker.is_unreachable = failure == PollFailure::Unreachable;
                if self.is_superseded(key) {
                    return self.end_incarnation(key, SUPERSEDED);
                }
                let Some(worker) = self.workers.get_mut(key) else { return };
                if worker.missed_polls == 0 {
                    let age_ms = worker.polled_ms.map(|polled_ms| now_ms.saturating_sub(polled_ms));
                    log::info!(worker = worker.entry.worker.as_str(), failure:display = failure,
                        age_ms = age_ms.unwrap_or(0); "worker poll failed");
                }
                if worker.takes_quick_retry(now_ms.saturating_sub(sent_ms)) {
                    worker.missed_polls = worker.missed_polls.max(1);
                    self.workers.schedule_poll(now_ms + POLL_QUICK_RETRY_MS, key);
                    return;
                }
                let delay_ms = POLL_RETRY_MS << worker.missed_polls.min(4);
                worker.missed_polls += 1;
                let is_lost = worker.missed_polls == LOST_POLLS;
                self.workers.schedule_poll(now_ms + delay_ms.min(POLL_RETRY_MAX_MS), key);
                if is_lost {
                    self.note_lost_runs(now_ms, key);
                }
                return;
            }
        };
        let key = if report.born_unix_ms == worker.entry.born_unix_ms {
            key
        } else {
            self.restart_at_poll(key, report.born_unix_ms)
        };
        self.hold_former_lease(key, report.clock_ms);
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.lease.set_clock(WorkerClock::new(report.clock_ms, now_ms));
        let was_reachable = worker.is_reachable(now_ms, super::placement::REACHABLE_MS);
        let was_confirmed = worker.is_confirmed();
        (worker.is_unreachable, worker.is_given_up_in_part) = (false, false);
        worker.polled_ms = Some(now_ms);
        (worker.heard_ms, worker.lost_ms) = (now_ms, None);
        worker.on_poll_answered();
        let missed_polls = std::mem::take(&mut worker.missed_polls);
        if !was_confirmed {
            self.on_confirmed(key);
        }
        let was_lost = missed_polls >= LOST_POLLS;
        self.placing_due |= !was_reachable || !report.ended.is_empty();
        if missed_polls > 0 || !was_reachable {
            self.interference.on_unanswered(key);
        }
        if was_lost {
            self.clear_lost_runs(key);
        }
        if !was_reachable {
            self.forget_given_up(key);
        }
        let mut ends = String::new();
        for end in &report.ended {
            self.on_end(now, key, end, &mut ends);
        }
        if !ends.is_empty() {
            let worker = self.workers.get(key).map_or("", |worker| worker.entry.worker.as_str());
            self.trail.add_ends(format_args!("{worker}: {ends}"));
            if self.trail.is_full() {
                self.trail.flush(&self.control.pool, self.control.term);
            }
        }
        self.reconcile(now, key, sent_ms, &report);
        self.pace_best_effort(now_ms, key, &report);
        self.acknowledge(key);
        if !report.ended.is_empty() {
            // A worker replies at once while it has ends that are not
            // acknowledged, so the next poll waits until they are stored.
            let is_stored = self.workers.get(key).is_none_or(|it| !it.has_unstored_ends());
            let gap_ms = if is_stored { POLL_GAP_MS } else { UNSTORED_POLL_GAP_MS };
            self.workers.schedule_poll(now_ms + gap_ms, key);
        } else if self.workers.get(key).is_some_and(|worker| !worker.carried_over.is_empty()) {
            self.workers.schedule_poll(now_ms + POLL_GAP_MS, key);
        }
        self.try_finish_reconciliation(now_ms);
    }

    /// Acknowledges a worker's ended runs up to the first one that still has to
    /// be stored.
    fn acknowledge(&mut self, key: WorkerKey) {
        let (job_table, writer) = (&self.job_table, &self.writer);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.acknowledge(|sequence| {
                writer.is_stored(sequence, job_table.is_live(sequence.job))
            });
        }
    }

    /// Handles an end that a worker lists, and appends it to `ends` as its task,
    /// run, kind and duration.
    fn on_end(&mut self, now: ClockReading, key: WorkerKey, end: &EndedTask, ends: &mut String) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if !worker.accept_end(end) {
            return;
        }
        worker.orphan_runs.remove(&end.task);
        self.job_table.open_listed(end.task, now);
        let sequence = match self.job_table.resolve(end.task) {
            Some(task) => self.on_task_end(now.monotonic_ms, key, task, end, ends),
            None => None,
        };
        if let Some(worker) = self.workers.get_mut(key) {
            worker.push_unacknowledged(end.number, sequence);
        }
    }

    /// Handles the end of a run of a known task; returns the progress that has
    /// to be stored before the end is acknowledged.
    fn on_task_end(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        task: TaskRef,
        end: &EndedTask,
        ends: &mut String,
    ) -> Option<ProgressSequence> {
        self.settle_listed(key, task, end.run);
        if end.how == EndKind::Done {
            self.note_done(now_ms, key, task, end.run);
        }
        let run = self.drop_run(task, key, end.run);
        let ran_ms = run.map(|run| now_ms.saturating_sub(run.since_ms));
        // The job may have been removed together with its last run.
        let spec = self.job_table.spec(task)?.clone();
        let job = self.job_table.job(task.job)?;
        let separator = if ends.is_empty() { "" } else { ", " };
        // Writing to a string cannot fail.
        let _ = write!(ends, "{separator}{}:{} {}", end.task, end.run, end.how);
        if let Some(ran_ms) = ran_ms {
            let _ = write!(ends, " {ran_ms} ms");
        }
        if job.outcome.is_some() {
            // Until the outcome is stored, a successor would start the task again.
            let is_stored = job.is_outcome_stored;
            return (!is_stored).then_some(ProgressSequence::of_outcome(task.job));
        }
        let queue = job.queue.clone();
        if !end.checkpoint.is_empty()
            && let Some(state) = self.job_table.task_mut(task)
        {
            state.checkpoint = end.checkpoint.clone();
        }
        match end.how {
            EndKind::Done if spec.is_lasting => None,
            EndKind::Done => {
                if let Some(ran_ms) = ran_ms {
                    let expected_ms = self.durations.expected_ms(&queue, spec.estimate_ms);
                    self.durations.on_task(&queue, ran_ms);
                    let cores = spec.allocation().cpu_millicores as f64 / 1_000.0;
                    self.ended.add(now_ms, cores * expected_ms as f64);
                    if let Some(worker) = self.workers.get_mut(key) {
                        worker.health.on_success(ran_ms, expected_ms);
                    }
                }
                Some(self.on_done(now_ms, task, &spec))
            }
            EndKind::Failed => self.on_failed(now_ms, key, task, end.run, &spec),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {
                (!end.checkpoint.is_empty()).then(|| self.mark_progress(now_ms, task))
            }
        }
    }

    fn on_done(&mut self, now_ms: u64, task: TaskRef, spec: &StepSpec) -> ProgressSequence {
        let members = if spec.is_gang { 0..spec.tasks } else { task.index..task.index + 1 };
        let mut is_job_done = false;
        for index in members {
            let member = TaskRef { index, ..task };
            is_job_done |= self.job_table.complete(member) == Completion::Job;
        }
        let sequence = self.mark_progress(now_ms, task);
        if spec.allows_copies || spec.is_gang {
            self.jobs_to_review.insert(task.job);
        }
        if is_job_done {
            self.end_job(now_ms, task.job, JobOutcome::Done);
        }
        sequence
    }

    fn on_failed(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        task: TaskRef,
        run: RunNumber,
        spec: &StepSpec,
    ) -> Option<ProgressSequence> {
        if let Some(worker) = self.workers.get_mut(key)
            && let Some(suspension_ms) = worker.health.on_failure(now_ms, task.job)
        {
            log::warn!(worker = worker.entry.worker.as_str(), suspension_ms = suspension_ms;
                "worker is suspended after consecutive task failures");
        }
        if spec.is_gang
            && let Some(step) = self.job_table.step_mut(task)
            && step.gang_failed_run != run
        {
            step.gang_failed_run = run;
            step.gang_failures += 1;
        }
        let attempts_max = self.policy(&self.job_table.job(task.job)?.queue).attempts_max;
        let gang_failures = self.job_table.step(task)?.gang_failures;
        let state = self.job_table.task_mut(task)?;
        if state.is_done || state.failed_runs.contains(&run) {
            return None;
        }
        state.failed_on = Some(key);
        if spec.is_lasting {
            state.lasting_failures += 1;
            let delay_ms = LASTING_RETRY_MIN_MS << (state.lasting_failures - 1).min(4);
            state.not_before_ms = now_ms + delay_ms.min(LASTING_RETRY_MAX_MS);
            return None;
        }
        state.failed_runs.push(run);
        if (state.failed_runs.len() as u32).max(gang_failures) >= attempts_max {
            self.end_job(now_ms, task.job, JobOutcome::Failed);
        }
        Some(self.mark_progress(now_ms, task))
    }

    /// Compares the runs that a worker lists with the expected ones.
    fn reconcile(&mut self, now: ClockReading, key: WorkerKey, sent_ms: u64, report: &PollReport) {
        let now_ms = now.monotonic_ms;
        let mut listed: HashMap<TaskAddress, &RunningTask> =
            report.running.iter().map(|running| (running.task, running)).collect();
        // A run that is missing from a full report may have ended.
        let is_complete = report.ended.len() < ENDS_LISTED_MAX;
        let Some(worker) = self.workers.get(key) else { return };
        let known: Vec<_> = worker.runs.iter().map(|(&task, &(run, _))| (task, run)).collect();
        for (task, number) in known {
            let Some(address) = self.job_table.address(task) else { continue };
            match listed.get(&address) {
                Some(running) if running.run == number => {
                    let running = listed.remove(&address);
                    self.on_listed(now_ms, key, task, number, running);
                }
                _ if is_complete => {
                    self.on_unlisted(now_ms, key, task, number, sent_ms, report.clock_ms);
                }
                _ => {}
            }
        }
        for (address, running) in listed {
            self.job_table.open_listed(address, now);
            self.on_unknown(now_ms, key, address, running);
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.orphan_runs.retain(|task, orphan| {
            report.running.iter().any(|run| run.task == *task && run.run == orphan.number)
        });
    }

    fn on_listed(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        task: TaskRef,
        number: RunNumber,
        running: Option<&RunningTask>,
    ) {
        let Some(running) = running else { return };
        let Some(state) = self.job_table.task_mut(task) else { return };
        if !running.checkpoint.is_empty() {
            state.checkpoint = running.checkpoint.clone();
        }
        let Some(run) = state.run_mut(key, number) else { return };
        (run.is_settled, run.has_begun) = (true, true);
        if running.percent != run.percent {
            run.percent = running.percent;
            run.percent_since_ms = now_ms;
        }
        if let RunPhase::Unanswered { .. } = run.phase {
            run.phase = RunPhase::Running { since_ms: now_ms };
        }
        self.settle_listed(key, task, number);
    }

    /// Handles a run that the worker does not list.
    fn on_unlisted(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        task: TaskRef,
        number: RunNumber,
        sent_ms: u64,
        clock_ms: u64,
    ) {
        let run = self.job_table.task_mut(task).and_then(|task| task.run_mut(key, number));
        let Some(Run { phase, start_until_ms, .. }) = run else { return };
        let is_past_limit = clock_ms > *start_until_ms;
        match *phase {
            RunPhase::Ordered => {}
            // The poll may have been answered before the run began.
            RunPhase::Running { since_ms } if sent_ms <= since_ms => {}
            RunPhase::Running { .. } => {
                // A run that was carried over was confirmed by the former incarnation.
                if !self.is_carried_over(key, task) {
                    log::warn!(task:? = self.job_table.address(task), run:display = number;
                        "worker lost a confirmed run: it is neither running nor reported as ended");
                }
                self.drop_unlisted(now_ms, key, task, number);
            }
            RunPhase::Unanswered { .. } if is_past_limit => {
                self.drop_unlisted(now_ms, key, task, number);
            }
            RunPhase::Unanswered { since_ms } => {
                if sent_ms >= since_ms {
                    self.stop_run(now_ms, task, key, number);
                }
            }
            RunPhase::Stopping { confirmed_ms, .. } => {
                if confirmed_ms.is_some_and(|confirmed_ms| sent_ms >= confirmed_ms) {
                    self.drop_unlisted(now_ms, key, task, number);
                }
            }
        }
    }

    /// Handles a run that this engine does not expect: a previous controller
    /// started it, or the worker carried out an order that the engine had given
    /// up. The run is adopted or stopped.
    fn on_unknown(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        address: TaskAddress,
        running: &RunningTask,
    ) {
        let task = self.job_table.resolve(address);
        let worker = self.workers.get(key);
        let has_other_run = |task| worker.is_some_and(|worker| worker.runs.contains_key(&task));
        let is_wanted = task.is_some_and(|task| self.may_adopt(task) && !has_other_run(task));
        if let Some(task) = task.filter(|_| is_wanted) {
            self.adopt(now_ms, key, task, running);
            return;
        }
        let allocation = task.and_then(|task| self.job_table.spec(task)).map(StepSpec::allocation);
        let charge = task.and_then(|task| {
            let account = self.job_table.job(task.job)?.account.clone()?;
            Some((account, self.job_table.spec(task)?.need))
        });
        let Some(worker) = self.workers.get_mut(key) else { return };
        let stop_sent_ms = Some(now_ms);
        let orphan = OrphanRun { number: running.run, allocation, charge, stop_sent_ms };
        let known =
            worker.orphan_runs.get(&address).is_some_and(|known| known.number == running.run);
        if !known {
            worker.orphan_runs.insert(address, orphan);
            log::info!(task:display = address, run:display = running.run,
                worker = worker.entry.worker.as_str(); "stopping an orphan run");
            self.order_stop_of(address, key, running.run);
        }
    }

    fn may_adopt(&self, task: TaskRef) -> bool {
        let is_live = self.job_table.job(task.job).is_some_and(|job| job.outcome.is_none());
        let is_copy_allowed = self.job_table.spec(task).is_some_and(|spec| spec.allows_copies);
        let is_free =
            self.job_table.task(task).is_some_and(|task| !task.is_done && task.runs.is_empty());
        is_live
            && (is_free
                || (is_copy_allowed && self.job_table.task(task).is_some_and(|task| !task.is_done)))
    }

    fn adopt(&mut self, now_ms: u64, key: WorkerKey, task: TaskRef, running: &RunningTask) {
        let Some(allocation) = self.job_table.spec(task).map(StepSpec::allocation) else { return };
        log::info!(task:display = running.task, run:display = running.run,
            percent = running.percent; "adopted a run that an earlier order started");
        if let Some(worker) = self.workers.get(key) {
            self.late_starts.forget(&worker.entry.worker, running.task, running.run);
        }
        let Some(state) = self.job_table.task_mut(task) else { return };
        if !running.checkpoint.is_empty() {
            state.checkpoint = running.checkpoint.clone();
        }
        let run = Run {
            worker: key,
            number: running.run,
            phase: RunPhase::Running { since_ms: now_ms },
            is_settled: true,
            has_begun: true,
            since_ms: now_ms,
            start_until_ms: 0,
            percent: running.percent,
            percent_since_ms: now_ms,
            pace: None,
        };
        self.job_table.add_run(task, run);
        if running.run < RunNumber::in_term(self.control.term, 0) {
            self.job_table.note_adopted(task);
        }
        self.jobs_to_review.insert(task.job);
        self.workers.allocate(key, task, running.run, allocation);
        self.note_begin(now_ms, RunAt { worker: key, task, number: running.run }, false);
        self.placing_due = true;
    }
}
