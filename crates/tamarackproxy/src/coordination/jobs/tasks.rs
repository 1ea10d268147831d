//! Tasks on workers: replies, ends, usage, leases and quarantine.

use super::{
    engine::{CallKind, JobEngine, LEASE_MS, LEASE_OVER_MS, Timer},
    events::{
        JobOutcome, JobsAction, JobsReport, TaskEnd, UsageReport, WorkerCommand, WorkerReply,
    },
    health::Verdict,
    placement::{CHECKPOINT_WAIT_MS, RENEW_MS},
    state::{JobKey, JobPhase},
};
use crate::state::{
    clock::ClockReading,
    ids::{HostId, JobId},
};

/// Distinct healthy workers on which a job must fail to be itself at fault.
const FAULTY_WORKERS: usize = 3;
/// Attempts of one job that may fail in total.
const FAILURES_MAX: usize = 8;
/// Run time after which a task shows that its worker does not fail
/// everything, in milliseconds.
const SURVIVAL_MS: u64 = 30_000;
/// Share of the workers that may be in quarantine, in hundredths; more of
/// them have a common cause that quarantine would only hide.
const QUARANTINE_PERCENT: usize = 5;
/// Ends without memory after which a job is at fault; each raises the memory
/// set aside for its application.
const OUT_OF_MEMORY_MAX: u8 = 5;
/// Calls to start one attempt before another worker is tried.
const START_TRIES: u8 = 3;
/// Delay before a start is sent again, in milliseconds.
const START_RETRY_MS: u64 = 200;
/// Renewals in a row without reply after which the lease is left to end.
const RENEWALS_LOST_MAX: u8 = 2;

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
            // A cancelled task is asked to stop until it has ended.
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
                self.doubt(now, worker, actions);
                self.plan(now.monotonic_ms + START_RETRY_MS, Timer::Start(key, attempt));
            }
            // The task may run; the worker's lease decides.
            WorkerReply::Unknown => self.on_started(now, key, worker),
        }
    }

    fn on_started(&mut self, now: ClockReading, key: JobKey, worker: u32) {
        self.jobs[key].phase = JobPhase::Running { worker, since_ms: now.monotonic_ms };
        self.set_movable(key, true);
        self.reindex(now, worker);
    }

    /// Asks the worker to stop a task, and again until it has ended.
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
        self.plan(now.monotonic_ms + CHECKPOINT_WAIT_MS, Timer::Leave(key, attempt));
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
        let (Some(&number), Some(&key)) = (self.hosts.get(host), self.names.get(name)) else {
            return;
        };
        self.on_contact(now, number);
        let job = &self.jobs[key];
        let started = !matches!(job.phase, JobPhase::Clearing { .. });
        if job.attempt != attempt || job.phase.worker() != Some(number) || !started {
            return;
        }
        self.judge(now, key, number, end, actions);
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

    /// Frees the room of a task that has ended, and starts the job that waits
    /// for it.
    fn end_task(&mut self, now: ClockReading, key: JobKey, actions: &mut Vec<JobsAction>) {
        let phase = self.jobs[key].phase;
        self.release(now, key);
        self.jobs[key].phase = JobPhase::Queued;
        let JobPhase::Leaving { successor, .. } = phase else { return };
        let Some(job) = self.jobs.get_mut(successor) else { return };
        if let JobPhase::Clearing { left, .. } = &mut job.phase {
            *left = left.saturating_sub(1);
            if *left == 0 {
                self.begin_start(now, successor, actions);
            }
        }
    }

    /// Tells whether a job failed on enough healthy workers to be at fault.
    fn is_faulty(&self, key: JobKey) -> bool {
        let failed_on = &self.jobs[key].failed_on;
        let healthy = |&&number: &&u32| !self.workers[number as usize].health.is_quarantined();
        failed_on.iter().filter(healthy).count() >= FAULTY_WORKERS
            || failed_on.len() >= FAILURES_MAX
            || self.jobs[key].out_of_memory >= OUT_OF_MEMORY_MAX
    }

    /// Draws conclusions on worker and application from the end of a task.
    fn judge(
        &mut self,
        now: ClockReading,
        key: JobKey,
        number: u32,
        end: TaskEnd,
        actions: &mut Vec<JobsAction>,
    ) {
        let name = self.jobs[key].spec.application.clone();
        let application = self.application(&name);
        let blame = self.blame.entry(application).or_default();
        let worker = &mut self.workers[number as usize];
        match end {
            TaskEnd::Succeeded => {
                blame.on_success();
                if worker.health.on_success() {
                    self.quarantined -= 1;
                    let host = worker.listed.host.clone();
                    let report = JobsReport::Readmitted { host };
                    actions.push(JobsAction::Report { report });
                }
            }
            TaskEnd::Failed => {
                self.jobs[key].failed_on.push(number);
                let blameless = !blame.is_suspect();
                blame.on_failure(number);
                if blameless || worker.health.is_quarantined() {
                    let survivor = self.has_survivor(now, number);
                    let health = &mut self.workers[number as usize].health;
                    let verdict = health.on_failure(now.monotonic_ms, application, survivor);
                    self.on_verdict(now, number, verdict, actions);
                }
            }
            TaskEnd::OutOfMemory => {
                self.jobs[key].out_of_memory += 1;
                self.sizes.on_out_of_memory(application);
            }
            TaskEnd::Checkpointed | TaskEnd::Stopped => {}
        }
    }

    /// Tells whether a task has run on the worker for so long that the worker
    /// does not fail everything.
    fn has_survivor(&self, now: ClockReading, number: u32) -> bool {
        self.workers[number as usize].tasks.iter().any(|&key| match self.jobs[key].phase {
            JobPhase::Running { since_ms, .. } => now.monotonic_ms - since_ms >= SURVIVAL_MS,
            _ => false,
        })
    }

    fn on_verdict(
        &mut self,
        now: ClockReading,
        number: u32,
        verdict: Verdict,
        actions: &mut Vec<JobsAction>,
    ) {
        let limit = (self.hosts.len() * QUARANTINE_PERCENT / 100).max(1);
        let worker = &mut self.workers[number as usize];
        let host = worker.listed.host.clone();
        let report = match verdict {
            Verdict::Nothing => return,
            Verdict::Suspect if self.quarantined >= limit => JobsReport::QuarantineFull { host },
            Verdict::Suspect => {
                self.quarantined += 1;
                let retry_ms = worker.health.quarantine(now.monotonic_ms);
                JobsReport::Quarantined { host, retry_ms }
            }
            Verdict::Quarantined { retry_ms } => JobsReport::Quarantined { host, retry_ms },
            Verdict::GivenUp => JobsReport::GivenUp { host },
        };
        if let Some(test_ms) = worker.health.test_ms() {
            self.plan(test_ms, Timer::Test(number));
        }
        actions.push(JobsAction::Report { report });
        self.reindex(now, number);
    }

    /// Gives throttled tasks their processors back when there is room again.
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
        let Some(&number) = self.hosts.get(host) else { return };
        self.on_contact(now, number);
        for report in reports {
            let Some(&key) = self.names.get(&report.job) else { continue };
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
            let size = self.sizes.on_report(application, &declared, &reserved, report);
            if size != reserved {
                self.resize(now, key, size);
            }
        }
    }

    /// A worker that was cut off is in touch again.
    fn on_contact(&mut self, now: ClockReading, number: u32) {
        let worker = &mut self.workers[number as usize];
        worker.renewals_lost = 0;
        let was_doubtful = std::mem::replace(&mut worker.doubtful, false);
        if std::mem::replace(&mut worker.cut_off, false) || was_doubtful {
            self.reindex(now, number);
        }
    }

    /// Nothing more is placed on a worker that did not reply to a start, until
    /// a renewal shows that it is in touch.
    fn doubt(&mut self, now: ClockReading, number: u32, actions: &mut Vec<JobsAction>) {
        let worker = &mut self.workers[number as usize];
        if !std::mem::replace(&mut worker.doubtful, true) && !worker.cut_off {
            let command = WorkerCommand::RenewLease { lease_ms: LEASE_MS };
            self.call_worker(number, CallKind::Renew, command, actions);
            self.reindex(now, number);
        }
    }

    fn renew(&mut self, now: ClockReading, number: u32, actions: &mut Vec<JobsAction>) {
        let worker = &mut self.workers[number as usize];
        if worker.tasks.is_empty() && !worker.cut_off {
            worker.renewing = false;
            return;
        }
        self.plan(now.monotonic_ms + RENEW_MS, Timer::Renew(number));
        // While tasks may still run on a worker that does not reply, nothing
        // is sent, so that their lease surely ends.
        let worker = &self.workers[number as usize];
        if !worker.cut_off || worker.tasks.is_empty() {
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
        // Without reply, the renewal may have taken effect up to now.
        worker.lease_over_ms = now.monotonic_ms + LEASE_OVER_MS;
        if reply == WorkerReply::Done {
            return self.on_contact(now, number);
        }
        worker.renewals_lost = worker.renewals_lost.saturating_add(1);
        if worker.renewals_lost >= RENEWALS_LOST_MAX && !worker.cut_off {
            worker.cut_off = true;
            let over_ms = worker.lease_over_ms;
            self.plan(over_ms, Timer::LeaseOver(number));
            self.reindex(now, number);
        } else if !worker.cut_off {
            let command = WorkerCommand::RenewLease { lease_ms: LEASE_MS };
            self.call_worker(number, CallKind::Renew, command, actions);
        }
    }

    /// All tasks of a worker that does not reply have surely ended.
    fn on_lease_over(&mut self, now: ClockReading, number: u32, actions: &mut Vec<JobsAction>) {
        let worker = &self.workers[number as usize];
        if !worker.cut_off {
            return;
        }
        if now.monotonic_ms < worker.lease_over_ms {
            let over_ms = worker.lease_over_ms;
            return self.plan(over_ms, Timer::LeaseOver(number));
        }
        for key in worker.tasks.clone() {
            if matches!(self.jobs[key].phase, JobPhase::Clearing { .. }) {
                // The urgent job has not been sent yet; it looks for a new place.
                self.release(now, key);
                self.enqueue(key, true);
                continue;
            }
            // A mark that is not durable was never followed by a start.
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
            Timer::Leave(key, attempt) => {
                let Some(job) = self.jobs.get_mut(key) else { return };
                let leaving = matches!(job.phase, JobPhase::Leaving { .. });
                if job.attempt == attempt && (leaving || job.cancelled) {
                    self.stop_task(now, key, actions);
                }
            }
            Timer::Start(key, attempt) => {
                let Some(job) = self.jobs.get(key) else { return };
                if job.attempt == attempt && matches!(job.phase, JobPhase::Starting { .. }) {
                    self.send_start(now, key, actions);
                }
            }
            Timer::Renew(number) => self.renew(now, number, actions),
            Timer::LeaseOver(number) => self.on_lease_over(now, number, actions),
            Timer::Test(number) => {
                self.reindex(now, number);
                self.unpark(1);
            }
            Timer::Recovered(key) => self.on_recovered(key, actions),
        }
    }
}
