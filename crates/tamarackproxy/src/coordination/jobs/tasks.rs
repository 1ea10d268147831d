//! Tasks on workers: replies, task ends, usage reports, leases and quarantine.

use super::{
    engine::{CallKind, JobEngine, LEASE_EXPIRY_MS, LEASE_MS, Timer},
    events::{
        JobOutcome, JobsAction, JobsReport, TaskEnd, UsageReport, WorkerCommand, WorkerReply,
    },
    health::FailureAction,
    placement::{CHECKPOINT_WAIT_MS, RENEW_MS},
    state::{JobKey, JobPhase},
};
use crate::state::{
    clock::ClockReading,
    ids::{HostId, JobId},
};

/// Number of distinct healthy workers on which a job must fail to be considered
/// faulty.
const FAULTY_WORKERS: usize = 3;
/// Number of failed attempts on any workers after which a job is considered
/// faulty.
const FAILURES_MAX: usize = 8;
/// Run time after which a task is evidence that its worker does not fail every
/// task, in milliseconds.
const HEALTHY_RUN_MS: u64 = 30_000;
/// Percentage of the workers that may be quarantined. Beyond that, the failures
/// have a common cause that quarantine would only hide.
const QUARANTINE_PERCENT: usize = 5;
/// Number of out-of-memory ends after which a job is considered faulty; each
/// one raises the memory estimate of its application.
const OUT_OF_MEMORY_MAX: u8 = 5;
/// Maximum number of start commands sent for one attempt.
const START_TRIES: u8 = 3;
/// Delay before a start is sent again, in milliseconds.
const START_RETRY_MS: u64 = 200;
/// Consecutive failed renewals after which the lease is left to expire.
const MISSED_RENEWALS_MAX: u8 = 2;

impl JobEngine {
    pub(super) fn on_worker_replied(
        &mut self,
        now: ClockReading,
        number: u32,
        kind: CallKind,
        reply: WorkerReply,
        actions: &mut Vec<JobsAction>,
    ) {
        match kind {
            CallKind::Start(key, attempt) => {
                self.on_start_replied(now, key, attempt, reply, actions);
            }
            CallKind::Renew => self.on_renewed(now, number, reply, actions),
            CallKind::Other => {}
        }
    }

    fn on_start_replied(
        &mut self,
        now: ClockReading,
        key: JobKey,
        attempt: u32,
        reply: WorkerReply,
        actions: &mut Vec<JobsAction>,
    ) {
        let Some(job) = self.jobs.get(key) else { return };
        let JobPhase::Starting { worker } = job.phase else { return };
        if job.attempt != attempt {
            return;
        }
        let (tries, cancelled) = (job.start_tries, job.cancelled);
        match reply {
            // If the job is cancelled, its stop is repeated until the task has
            // ended.
            WorkerReply::Done => self.on_started(now, key, worker),
            WorkerReply::Refused if cancelled => {
                self.release(now, key);
                self.finish(key, JobOutcome::Cancelled, actions);
            }
            WorkerReply::Refused => {
                self.release(now, key);
                self.jobs[key].refused_by = Some(worker);
                self.enqueue(key, true);
            }
            // The command is idempotent, so sending it again is safe even if
            // the first one started the task.
            WorkerReply::Unknown if tries < START_TRIES => {
                self.hold_placements(now, worker, actions);
                self.schedule_timer(
                    now.monotonic_ms + START_RETRY_MS,
                    Timer::RetryStart(key, attempt),
                );
            }
            // The task may run: treat it as running until it ends or the
            // worker's lease expires.
            WorkerReply::Unknown => self.on_started(now, key, worker),
        }
    }

    fn on_started(&mut self, now: ClockReading, key: JobKey, worker: u32) {
        self.jobs[key].phase = JobPhase::Running { worker, since_ms: now.monotonic_ms };
        self.set_preemptible(key, true);
        self.reindex(now, worker);
    }

    /// Asks the worker to stop a task, and repeats this until the task has
    /// ended.
    pub(super) fn stop_task(
        &mut self,
        now: ClockReading,
        key: JobKey,
        actions: &mut Vec<JobsAction>,
    ) {
        let job = &self.jobs[key];
        let Some(worker) = job.phase.worker() else { return };
        let (name, attempt) = (job.spec.job.clone(), job.attempt);
        let command = WorkerCommand::Stop { job: name, attempt };
        self.call_worker(worker, CallKind::Other, command, actions);
        self.schedule_timer(now.monotonic_ms + CHECKPOINT_WAIT_MS, Timer::RetryStop(key, attempt));
    }

    pub(super) fn on_task_ended(
        &mut self,
        now: ClockReading,
        host: &HostId,
        name: &JobId,
        attempt: u32,
        end: TaskEnd,
        actions: &mut Vec<JobsAction>,
    ) {
        let (Some(&number), Some(&key)) =
            (self.workers_by_host.get(host), self.keys_by_job.get(name))
        else {
            return;
        };
        self.on_contact(now, number);
        let job = &self.jobs[key];
        let started = !matches!(job.phase, JobPhase::AwaitingEvictions { .. });
        if job.attempt != attempt || job.phase.worker() != Some(number) || !started {
            return;
        }
        self.update_health(now, key, number, end, actions);
        self.end_task(now, key, actions);
        let job = &mut self.jobs[key];
        if end == TaskEnd::Checkpointed {
            job.has_checkpoint = true;
        }
        let may_run_again = job.spec.repeatable || end == TaskEnd::Checkpointed;
        match end {
            TaskEnd::Succeeded => self.finish(key, JobOutcome::Succeeded, actions),
            _ if job.cancelled => self.finish(key, JobOutcome::Cancelled, actions),
            TaskEnd::Failed | TaskEnd::OutOfMemory if !may_run_again || self.is_faulty(key) => {
                self.finish(key, JobOutcome::Faulty, actions);
            }
            _ if !may_run_again => self.finish(key, JobOutcome::Unknown, actions),
            _ => {
                self.jobs[key].marked_started &= end != TaskEnd::Checkpointed;
                self.enqueue(key, end != TaskEnd::Failed);
            }
        }
        self.relax_throttles(now, number, actions);
    }

    /// Releases the resources of a task that has ended, and starts the job that
    /// preempted it once all its victims have ended.
    fn end_task(&mut self, now: ClockReading, key: JobKey, actions: &mut Vec<JobsAction>) {
        let phase = self.jobs[key].phase;
        self.release(now, key);
        self.jobs[key].phase = JobPhase::Queued;
        let JobPhase::Evicting { preemptor, .. } = phase else { return };
        let Some(job) = self.jobs.get_mut(preemptor) else { return };
        if let JobPhase::AwaitingEvictions { remaining, .. } = &mut job.phase {
            *remaining = remaining.saturating_sub(1);
            if *remaining == 0 {
                self.begin_start(now, preemptor, actions);
            }
        }
    }

    /// Returns whether the failures of a job are attributed to the job itself.
    fn is_faulty(&self, key: JobKey) -> bool {
        let failed_on = &self.jobs[key].failed_on;
        let healthy = |&&number: &&u32| !self.workers[number as usize].health.is_quarantined();
        failed_on.iter().filter(healthy).count() >= FAULTY_WORKERS
            || failed_on.len() >= FAILURES_MAX
            || self.jobs[key].out_of_memory >= OUT_OF_MEMORY_MAX
    }

    /// Updates the health of the worker and the application after the end of a
    /// task.
    fn update_health(
        &mut self,
        now: ClockReading,
        key: JobKey,
        number: u32,
        end: TaskEnd,
        actions: &mut Vec<JobsAction>,
    ) {
        let name = self.jobs[key].spec.application.clone();
        let application = self.application(&name);
        let application_health = self.application_health.entry(application).or_default();
        let worker = &mut self.workers[number as usize];
        match end {
            TaskEnd::Succeeded => {
                application_health.on_success();
                if worker.health.on_success() {
                    self.quarantined_count -= 1;
                    let host = worker.listed.host.clone();
                    let report = JobsReport::Readmitted { host };
                    actions.push(JobsAction::Report { report });
                }
            }
            TaskEnd::Failed => {
                self.jobs[key].failed_on.push(number);
                let application_is_healthy = !application_health.is_likely_at_fault();
                application_health.on_failure(number);
                if application_is_healthy || worker.health.is_quarantined() {
                    let has_healthy_task = self.has_healthy_task(now, number);
                    let health = &mut self.workers[number as usize].health;
                    let action = health.on_failure(now.monotonic_ms, application, has_healthy_task);
                    self.apply_failure_action(now, number, action, actions);
                }
            }
            TaskEnd::OutOfMemory => {
                self.jobs[key].out_of_memory += 1;
                self.size_estimates.on_out_of_memory(application);
            }
            TaskEnd::Checkpointed | TaskEnd::Stopped => {}
        }
    }

    /// Returns whether a task has run on the worker for at least
    /// `HEALTHY_RUN_MS`.
    fn has_healthy_task(&self, now: ClockReading, number: u32) -> bool {
        self.workers[number as usize].tasks.iter().any(|&key| match self.jobs[key].phase {
            JobPhase::Running { since_ms, .. } => now.monotonic_ms - since_ms >= HEALTHY_RUN_MS,
            _ => false,
        })
    }

    /// Applies the result of a failure to the worker and reports it.
    fn apply_failure_action(
        &mut self,
        now: ClockReading,
        number: u32,
        action: FailureAction,
        actions: &mut Vec<JobsAction>,
    ) {
        let limit = (self.workers_by_host.len() * QUARANTINE_PERCENT / 100).max(1);
        let worker = &mut self.workers[number as usize];
        let host = worker.listed.host.clone();
        let report = match action {
            FailureAction::None => return,
            FailureAction::Quarantine if self.quarantined_count >= limit => {
                JobsReport::QuarantineFull { host }
            }
            FailureAction::Quarantine => {
                self.quarantined_count += 1;
                let retry_ms = worker.health.quarantine(now.monotonic_ms);
                JobsReport::Quarantined { host, retry_ms }
            }
            FailureAction::ExtendQuarantine { retry_ms } => {
                JobsReport::Quarantined { host, retry_ms }
            }
            FailureAction::GiveUp => JobsReport::GivenUp { host },
        };
        if let Some(probe_ms) = worker.health.probe_ms() {
            self.schedule_timer(probe_ms, Timer::Probe(number));
        }
        actions.push(JobsAction::Report { report });
        self.reindex(now, number);
    }

    /// Restores the processors of throttled tasks when enough are free again.
    fn relax_throttles(&mut self, now: ClockReading, number: u32, actions: &mut Vec<JobsAction>) {
        let tasks = self.workers[number as usize].tasks.clone();
        for key in tasks {
            let job = &self.jobs[key];
            let Some(wanted) = job.throttled_from else { continue };
            let missing = wanted.saturating_sub(job.reserved.cpu_millicores);
            let free = self.workers[number as usize].free().cpu_millicores;
            if matches!(job.phase, JobPhase::Running { .. }) && missing <= free {
                self.limit_processors(now, key, wanted, actions);
            }
        }
    }

    pub(super) fn on_usage(
        &mut self,
        now: ClockReading,
        host: &HostId,
        reports: &[UsageReport],
        actions: &mut Vec<JobsAction>,
    ) {
        let Some(&number) = self.workers_by_host.get(host) else { return };
        self.on_contact(now, number);
        for report in reports {
            let Some(&key) = self.keys_by_job.get(&report.job) else { continue };
            self.adopt(now, key, number, report, actions);
            let job = &self.jobs[key];
            let JobPhase::Running { worker, .. } = job.phase else { continue };
            if worker != number || job.attempt != report.attempt || job.throttled_from.is_some() {
                continue;
            }
            let name = job.spec.application.clone();
            let application = self.application(&name);
            let job = &self.jobs[key];
            let (declared, reserved) = (job.spec.declared, job.reserved);
            let size = self.size_estimates.on_report(application, &declared, &reserved, report);
            if size != reserved {
                self.resize(now, key, size);
            }
        }
    }

    /// Records contact with a worker; placement resumes if it was suspended.
    fn on_contact(&mut self, now: ClockReading, number: u32) {
        let worker = &mut self.workers[number as usize];
        worker.missed_renewals = 0;
        let was_unconfirmed = std::mem::replace(&mut worker.start_unconfirmed, false);
        if std::mem::replace(&mut worker.unreachable, false) || was_unconfirmed {
            self.reindex(now, number);
        }
    }

    /// Suspends placement on a worker that did not reply to a start, until a
    /// lease renewal succeeds.
    fn hold_placements(&mut self, now: ClockReading, number: u32, actions: &mut Vec<JobsAction>) {
        let worker = &mut self.workers[number as usize];
        if !std::mem::replace(&mut worker.start_unconfirmed, true) && !worker.unreachable {
            let command = WorkerCommand::RenewLease { lease_ms: LEASE_MS };
            self.call_worker(number, CallKind::Renew, command, actions);
            self.reindex(now, number);
        }
    }

    fn renew(&mut self, now: ClockReading, number: u32, actions: &mut Vec<JobsAction>) {
        let worker = &mut self.workers[number as usize];
        if worker.tasks.is_empty() && !worker.unreachable {
            worker.renewal_scheduled = false;
            return;
        }
        self.schedule_timer(now.monotonic_ms + RENEW_MS, Timer::RenewLease(number));
        // While tasks may still run on an unreachable worker, no renewal is
        // sent, so that their lease expires.
        let worker = &self.workers[number as usize];
        if !worker.unreachable || worker.tasks.is_empty() {
            let command = WorkerCommand::RenewLease { lease_ms: LEASE_MS };
            self.call_worker(number, CallKind::Renew, command, actions);
        }
    }

    fn on_renewed(
        &mut self,
        now: ClockReading,
        number: u32,
        reply: WorkerReply,
        actions: &mut Vec<JobsAction>,
    ) {
        let worker = &mut self.workers[number as usize];
        // Even without a reply, the renewal may have taken effect at any time
        // until now.
        worker.lease_expires_ms = now.monotonic_ms + LEASE_EXPIRY_MS;
        if reply == WorkerReply::Done {
            return self.on_contact(now, number);
        }
        worker.missed_renewals = worker.missed_renewals.saturating_add(1);
        if worker.missed_renewals >= MISSED_RENEWALS_MAX && !worker.unreachable {
            worker.unreachable = true;
            let expires_ms = worker.lease_expires_ms;
            self.schedule_timer(expires_ms, Timer::LeaseExpired(number));
            self.reindex(now, number);
        } else if !worker.unreachable {
            let command = WorkerCommand::RenewLease { lease_ms: LEASE_MS };
            self.call_worker(number, CallKind::Renew, command, actions);
        }
    }

    /// Handles the expiry of an unreachable worker's lease: all its tasks have
    /// ended.
    fn on_lease_expired(&mut self, now: ClockReading, number: u32, actions: &mut Vec<JobsAction>) {
        let worker = &self.workers[number as usize];
        if !worker.unreachable {
            return;
        }
        if now.monotonic_ms < worker.lease_expires_ms {
            let expires_ms = worker.lease_expires_ms;
            return self.schedule_timer(expires_ms, Timer::LeaseExpired(number));
        }
        for key in worker.tasks.clone() {
            if matches!(self.jobs[key].phase, JobPhase::AwaitingEvictions { .. }) {
                // The urgent job was not started yet; place it elsewhere.
                self.release(now, key);
                self.enqueue(key, true);
                continue;
            }
            // The start is sent once the start marker is durable, so without a
            // start sent the task never ran.
            let unsent = self.jobs[key].start_tries == 0;
            self.end_task(now, key, actions);
            let job = &self.jobs[key];
            if job.cancelled {
                self.finish(key, JobOutcome::Cancelled, actions);
            } else if job.spec.repeatable || unsent {
                self.enqueue(key, true);
            } else {
                self.finish(key, JobOutcome::Unknown, actions);
            }
        }
    }

    pub(super) fn on_timer(
        &mut self,
        now: ClockReading,
        timer: Timer,
        actions: &mut Vec<JobsAction>,
    ) {
        match timer {
            Timer::RetryStop(key, attempt) => {
                let Some(job) = self.jobs.get_mut(key) else { return };
                let evicting = matches!(job.phase, JobPhase::Evicting { .. });
                if job.attempt == attempt && (evicting || job.cancelled) {
                    self.stop_task(now, key, actions);
                }
            }
            Timer::RetryStart(key, attempt) => {
                let Some(job) = self.jobs.get(key) else { return };
                if job.attempt == attempt && matches!(job.phase, JobPhase::Starting { .. }) {
                    self.send_start(now, key, actions);
                }
            }
            Timer::RenewLease(number) => self.renew(now, number, actions),
            Timer::LeaseExpired(number) => self.on_lease_expired(now, number, actions),
            Timer::Probe(number) => {
                self.reindex(now, number);
                self.unpark_teams(1);
            }
            Timer::RecoveryTimeout(key) => self.on_recovery_timeout(key, actions),
        }
    }
}
