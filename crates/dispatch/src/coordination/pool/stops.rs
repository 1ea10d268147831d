//! Stops of runs, and the expiry of workers' incarnations and leases.

use std::fmt::Write;

use tamarackproxy::state::clock::ClockReading;

use super::{
    engine::{PoolEngine, contact},
    events::{Order, OrderOutcome, OrderReply, OrderTarget, PoolAction, Refusal, WorkerKey},
    placement::REACHABLE_MS,
    task::{Run, RunPhase, TaskRef},
    workers::{Presence, Worker},
};
use crate::state::{RunNumber, TaskAddress};

/// Delay before a stop without reply is sent again, in milliseconds.
pub(super) const STOP_RETRY_MS: u64 = 400;
/// Delay before a confirmed stop is sent again if the end of the run is not
/// reported, in milliseconds: above the longest time that the platform allows
/// for a stop.
const STOP_CONFIRM_MS: u64 = 1_500;
/// Time after a change of control in which no run is stopped for maintenance or
/// a move, in milliseconds: stops that the previous controller ordered are
/// still being carried out.
pub(super) const HANDOVER_GRACE_MS: u64 = 1_500;
/// Time without progress after which a run counts as stalled, in milliseconds:
/// percentages are up to a second old, and one report may be lost.
const STALL_MIN_MS: u64 = 3_000;
/// Multiple of the expected duration after which a run whose percentage has not
/// changed counts as stalled.
const STALL_FACTOR: u64 = 2;
/// Time that a long-running task may take to come up, in milliseconds.
const LASTING_START_MS: u64 = 6_000;
/// Longest list of runs in a log line, in bytes.
const UNLISTED_MAX_BYTES: usize = 1_000;

impl PoolEngine {
    /// Stops runs that are no longer needed (tasks of ended jobs, copies of
    /// done tasks) and runs on workers that are draining or being vacated.
    pub(super) fn stop_obsolete_runs(&mut self, now_ms: u64) {
        for key in std::mem::take(&mut self.jobs_to_review) {
            let Some(job) = self.job_table.job(key) else { continue };
            if job.live_runs == 0 {
                continue;
            }
            let has_ended = job.outcome.is_some();
            let mut obsolete = Vec::new();
            for (occurrence, state) in job.occurrences.iter() {
                for (step, steps) in state.steps.iter().enumerate() {
                    for (index, task) in steps.tasks.iter().enumerate() {
                        let (step, index) = (step as u16, index as u32);
                        let at = TaskRef { job: key, occurrence, step, index };
                        let is_needed = !has_ended && !task.is_done;
                        let runs = task.runs.iter().filter(|run| !is_needed && !run.is_stopping());
                        obsolete.extend(runs.map(|run| (at, run.worker, run.number)));
                    }
                }
            }
            for (task, worker, number) in obsolete {
                self.stop_run(now_ms, task, worker, number);
            }
        }
        self.vacate_workers(now_ms);
    }

    /// Stops all runs of a step.
    pub(super) fn stop_step(&mut self, now_ms: u64, task: TaskRef) {
        let Some(step) = self.job_table.step(task) else { return };
        let mut runs = Vec::new();
        for (index, state) in step.tasks.iter().enumerate() {
            let at = TaskRef { index: index as u32, ..task };
            runs.extend(state.runs.iter().map(|run| (at, run.worker, run.number)));
        }
        for (task, worker, number) in runs {
            self.stop_run(now_ms, task, worker, number);
        }
    }

    /// Sends a stop of a run, unless one was sent.
    pub(super) fn stop_run(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        worker: WorkerKey,
        number: RunNumber,
    ) {
        let run = self.job_table.task_mut(task).and_then(|task| task.run_mut(worker, number));
        if let Some(run) = run
            && !run.is_stopping()
        {
            run.phase = RunPhase::Stopping { asked_ms: now_ms, confirmed_ms: None };
            self.order_stop(task, worker, number);
        }
    }

    fn order_stop(&mut self, task: TaskRef, worker: WorkerKey, number: RunNumber) {
        if let Some(address) = self.job_table.address(task) {
            self.order_stop_of(address, worker, number);
        }
    }

    pub(super) fn order_stop_of(&mut self, task: TaskAddress, key: WorkerKey, number: RunNumber) {
        let Some(worker) = self.workers.get(key) else { return };
        let contact = contact(key, worker, self.control.term);
        log::info!(task:display = task, run:display = number, worker = contact.worker.as_str();
            "stop ordered");
        let target = OrderTarget { worker: key, task, run: number };
        self.actions.push(PoolAction::Order { contact, target, order: Order::Stop });
    }

    /// Handles the result of a stop order.
    pub fn on_stop_reply<O>(&mut self, now: ClockReading, target: OrderTarget, outcome: O)
    where
        O: Into<OrderOutcome>,
    {
        let OrderOutcome { reply, clock_ms } = outcome.into();
        self.check_origin(now.monotonic_ms, &target, clock_ms);
        match reply {
            OrderReply::Refused(Refusal::OldTerm) => {
                self.fence("a worker has seen a higher term");
            }
            OrderReply::Refused(Refusal::OtherLife) => {
                self.end_incarnation(target.worker, "another incarnation answers at its address");
            }
            OrderReply::Accepted => {
                self.on_stop_accepted(&target);
                let task = self.job_table.resolve(target.task);
                if let Some(run) = task.and_then(|task| self.run_mut(task, &target))
                    && let RunPhase::Stopping { confirmed_ms, .. } = &mut run.phase
                {
                    *confirmed_ms = Some(now.monotonic_ms);
                }
                if task.is_some_and(|task| self.is_carried_over(target.worker, task)) {
                    self.workers.poll_by(now.monotonic_ms, target.worker);
                }
            }
            OrderReply::Refused(_) | OrderReply::NotSent | OrderReply::Unknown => {
                log::info!(task:display = target.task, run:display = target.run, reply:? = reply;
                    "stop was not confirmed; it will be sent again");
            }
        }
    }

    /// Repeats stops that were not confirmed or whose run has not ended.
    pub(super) fn resend_stops(&mut self, now_ms: u64) {
        let mut due = Vec::new();
        for (key, worker) in self.workers.iter() {
            for (&task, &(number, _)) in &worker.runs {
                let run = self.job_table.task(task).and_then(|task| {
                    task.runs.iter().find(|run| run.worker == key && run.number == number)
                });
                if let Some(Run { phase: RunPhase::Stopping { asked_ms, confirmed_ms }, .. }) = run
                {
                    let since_ms = confirmed_ms.map_or(asked_ms + STOP_RETRY_MS, |confirmed_ms| {
                        confirmed_ms.max(*asked_ms) + STOP_CONFIRM_MS
                    });
                    if now_ms >= since_ms {
                        due.push((task, key, number));
                    }
                }
            }
        }
        for (task, worker, number) in due {
            let run = self.job_table.task_mut(task).and_then(|task| task.run_mut(worker, number));
            if let Some(run) = run {
                let confirmed_ms = match run.phase {
                    RunPhase::Stopping { confirmed_ms, .. } => confirmed_ms,
                    _ => None,
                };
                run.phase = RunPhase::Stopping { asked_ms: now_ms, confirmed_ms };
                self.order_stop(task, worker, number);
            }
        }
        let mut orphans = Vec::new();
        for (key, worker) in self.workers.iter_mut() {
            for (&task, run) in &mut worker.orphan_runs {
                if run.stop_sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + STOP_RETRY_MS) {
                    run.stop_sent_ms = Some(now_ms);
                    orphans.push((task, key, run.number));
                }
            }
        }
        for (task, worker, number) in orphans {
            self.order_stop_of(task, worker, number);
        }
    }

    /// Stops stalled runs, so that their tasks restart on other workers.
    pub(super) fn stop_stalled(&mut self, now_ms: u64) {
        let mut stalled = Vec::new();
        for (key, worker) in self.workers.iter() {
            if !worker.is_reachable(now_ms, REACHABLE_MS) {
                continue;
            }
            for (&task, &(number, _)) in &worker.runs {
                if self.is_stalled(now_ms, task, key, number) {
                    stalled.push((task, key, number));
                }
            }
        }
        for (task, key, number) in stalled {
            let Some(state) = self.job_table.task_mut(task) else { continue };
            // A task that stalls on one worker after another is stalled by
            // itself, and must not take the pool's workers out of use.
            let is_first = state.stalls == 0;
            state.stalls += 1;
            state.failed_on = Some(key);
            let stalls = state.stalls;
            if let Some(worker) = self.workers.get_mut(key) {
                let suspension_ms = if is_first { worker.health.suspend(now_ms) } else { 0 };
                log::warn!(task:? = self.job_table.address(task), run:display = number,
                    stalls = stalls, suspension_ms = suspension_ms,
                    worker = worker.entry.worker.as_str(); "stopping a run that makes no progress");
            }
            self.stop_run(now_ms, task, key, number);
        }
    }

    fn is_stalled(&self, now_ms: u64, task: TaskRef, key: WorkerKey, number: RunNumber) -> bool {
        let (Some(job), Some(spec)) = (self.job_table.job(task.job), self.job_table.spec(task))
        else {
            return false;
        };
        let run = self.job_table.task(task).and_then(|task| {
            task.runs.iter().find(|run| run.worker == key && run.number == number)
        });
        let Some(run) = run else { return false };
        if !matches!(run.phase, RunPhase::Running { .. }) || run.percent >= 100 {
            return false;
        }
        let limit_ms = if spec.is_lasting {
            LASTING_START_MS
        } else {
            let expected_ms = self.durations.expected_ms(&job.queue, spec.estimate_ms);
            // A run that is throttled to pace 0 is not stalled.
            let pace = run.pace.map_or(100, |pace| u64::from(pace.percent));
            let Some(paced_ms) = (expected_ms * STALL_FACTOR * 100).checked_div(pace) else {
                return false;
            };
            paced_ms.max(STALL_MIN_MS)
        };
        now_ms >= run.percent_since_ms + limit_ms
    }

    /// Removes the runs of unreachable workers whose leases have certainly
    /// expired.
    ///
    /// A successor may have extended those leases, so nothing is removed while
    /// control is not confirmed.
    pub(super) fn expire_leases(&mut self, now_ms: u64) {
        if now_ms >= self.confirmed_until_ms {
            return;
        }
        for key in self.workers.keys() {
            let Some(worker) = self.workers.get(key) else { continue };
            let is_left = worker.presence == Presence::Gone
                && worker.is_empty()
                && !worker.has_unstored_ends()
                && worker.polled_ms.is_some();
            if is_left {
                self.remove_worker(key);
                continue;
            }
            if worker.is_reachable(now_ms, REACHABLE_MS) || !worker.is_lease_over(now_ms) {
                continue;
            }
            let given_up = self.expired_runs(now_ms, key, worker);
            let is_partial = given_up.len() < worker.runs.len();
            if given_up.is_empty() && is_partial {
                continue;
            }
            if !worker.is_empty() {
                let entry = &worker.entry;
                log::warn!(worker = entry.worker.as_str(), born_unix_ms = entry.born_unix_ms,
                    runs = worker.runs.len(), given_up = given_up.len(),
                    unlisted = &*self.describe_unlisted(key),
                    reported_age_ms = worker.polled_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
                    heard_age_ms = now_ms.saturating_sub(worker.heard_ms);
                    "worker is unreachable and its lease expired; its tasks will be rescheduled");
            }
            let is_gone = !matches!(worker.presence, Presence::Registered(_));
            self.note_given_up(now_ms, key, &given_up);
            for &(task, number) in &given_up {
                self.note_late_start(now_ms, key, task, number);
                self.drop_run(task, key, number);
            }
            if let Some(worker) = self.workers.get_mut(key) {
                worker.is_given_up_in_part = is_partial;
            }
            if is_partial {
                continue;
            }
            self.drop_all_runs(key);
            if is_gone {
                self.remove_worker(key);
            }
        }
    }

    /// Lists the runs on a worker whose leases have certainly expired, given that its
    /// own lease has. A run that the known incarnation may not have begun may be
    /// under a lease of a later one.
    fn expired_runs(
        &self,
        now_ms: u64,
        key: WorkerKey,
        worker: &Worker,
    ) -> Vec<(TaskRef, RunNumber)> {
        let is_over_later = worker.lease.is_over_for_later(now_ms);
        let is_settled = |task: TaskRef, number: RunNumber| {
            let runs = self.job_table.task(task).map_or(&[][..], |task| &task.runs);
            let run = runs.iter().find(|run| run.worker == key && run.number == number);
            run.is_none_or(|run| run.is_settled)
        };
        let runs = worker.runs.iter().map(|(&task, &(number, _))| (task, number));
        runs.filter(|&(task, number)| is_over_later || is_settled(task, number)).collect()
    }

    /// Removes a worker incarnation that has certainly ended.
    pub(super) fn end_incarnation(&mut self, key: WorkerKey, sign: &str) {
        if self.workers.get(key).is_none() {
            return;
        }
        self.log_ended(key, sign);
        self.note_crash(key, |_| false);
        self.drop_all_runs(key);
        self.remove_worker(key);
    }

    pub(super) fn log_ended(&self, key: WorkerKey, sign: &str) {
        let Some(worker) = self.workers.get(key) else { return };
        let entry = &worker.entry;
        log::warn!(worker = entry.worker.as_str(), host = entry.host.as_str(),
            born_unix_ms = entry.born_unix_ms, runs = worker.runs.len(),
            unlisted = &*self.describe_unlisted(key),
            heard_age_ms = self.stepped_ms.saturating_sub(worker.heard_ms), sign = sign;
            "worker incarnation has ended; its tasks will be rescheduled");
        metrics::counter!("worker_incarnations_ended").increment(1);
    }

    /// Describes the runs that a worker is not known to have begun: task, run, phase
    /// and age in milliseconds of each.
    fn describe_unlisted(&self, key: WorkerKey) -> String {
        let mut text = String::new();
        let Some(worker) = self.workers.get(key) else { return text };
        for &task in worker.runs.keys() {
            let runs = self.job_table.task(task).map_or(&[][..], |task| &task.runs);
            let unlisted = runs.iter().filter(|run| run.worker == key && !run.is_settled);
            let Some(address) = self.job_table.address(task) else { continue };
            for run in unlisted {
                if text.len() >= UNLISTED_MAX_BYTES {
                    text.push_str(" ...");
                    return text;
                }
                let separator = if text.is_empty() { "" } else { ", " };
                let age_ms = self.stepped_ms.saturating_sub(run.since_ms);
                // Writing to a string cannot fail.
                let _ =
                    write!(text, "{separator}{address}:{} {} {age_ms} ms", run.number, run.phase);
            }
        }
        text
    }

    /// Removes a worker on which nothing runs any more.
    pub(super) fn remove_worker(&mut self, key: WorkerKey) {
        self.note_former_lease(key);
        self.workers.remove(key);
        self.interference.on_worker_gone(key);
        self.roster_changed();
    }

    pub(super) fn drop_all_runs(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.orphan_runs.clear();
        let runs: Vec<_> = worker.runs.iter().map(|(&task, &(run, _))| (task, run)).collect();
        for (task, number) in runs {
            self.drop_run(task, key, number);
        }
    }
}
