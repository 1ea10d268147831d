//! The scheduling engine of one pool: owns its parts and decides when each of
//! them runs.

use hashbrown::{HashMap, HashSet};
use tamarackproxy::state::{
    clock::ClockReading,
    ids::{AccountId, HostId, PoolId, QueueId, RecordVersion, Term, WorkerId},
};

use super::{
    advice::Advice,
    crashes::Suspects,
    durations::{ArrivalRate, Durations, EndedRate},
    events::{JobKey, PollRequest, PoolAction, WorkerContact, WorkerKey},
    fair_share::FairShare,
    interference::Interference,
    job_table::{Job, JobTable},
    lease::{FormerLeases, LimitCall},
    restarts::LateStarts,
    task::TaskRef,
    trail::Trail,
    workers::{ProgressSequence, Worker, WorkerTable},
    writer::{PoolWrite, Records, WriteResult, Writer},
};
use crate::coordination::control::OUTAGE_MS;
use crate::observability::OUTCOME_TARGET;
use crate::state::{
    AdviceSettings, JobNumber, JobOutcome, JobRecord, JobState, ProgressRecord, RosterEntry,
};

/// Long-poll wait at a worker that runs something, in milliseconds. Progress
/// percentages are at most this old.
const POLL_WAIT_MS: u64 = 1_000;
/// Long-poll wait at an idle worker, in milliseconds.
const IDLE_POLL_WAIT_MS: u64 = 2_000;
/// Long-poll wait at a worker on which best-effort tasks run beside tasks that
/// serve users, in milliseconds: the reported tail latency covers half a
/// second.
const SHARED_POLL_WAIT_MS: u64 = 400;
/// Delay before a worker is polled again whose connection broke, in milliseconds:
/// if it restarts under its name, it carries out late orders until it is told
/// otherwise.
pub(super) const POLL_QUICK_RETRY_MS: u64 = 30;
/// First delay before a worker that did not reply is polled again, in
/// milliseconds; it doubles with each further failure.
pub(super) const POLL_RETRY_MS: u64 = 150;
/// Longest such delay, in milliseconds: bounds the time until a worker that is
/// back is noticed.
pub(super) const POLL_RETRY_MAX_MS: u64 = 1_200;
/// Delay before the next poll after one that reported ended runs, in
/// milliseconds, so that runs which end shortly afterwards share a poll.
pub(super) const POLL_GAP_MS: u64 = 22;
/// Longest delay before the next poll of a worker with ended runs that are not
/// stored yet, in milliseconds. Runs that end meanwhile keep their capacity for
/// that long.
pub(super) const UNSTORED_POLL_GAP_MS: u64 = 120;
/// Interval of the checks that depend on time alone, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;
/// Time for which ended jobs are kept beyond the period in which callers may
/// query them, in milliseconds: the clocks of processes differ by less.
const KEEP_MARGIN_MS: u64 = 30_000;
/// Time for which the records of withdrawn jobs are kept on top of that margin, in
/// milliseconds: several times the longest delay of a write of the job.
const KEEP_WITHDRAWN_MS: u64 = 30_000;

/// Shortest interval between two placement rounds, in milliseconds: events that
/// arrive closer together share a round.
const PLACE_INTERVAL_MS: u64 = 8;
/// Longest time from the request of a call to its timeout, in milliseconds, without
/// the time that a worker may hold a poll.
pub(super) const CALL_MAX_MS: u64 = 2_200;

/// Leases and time limits of a pool's scheduler, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolTiming {
    /// Lease of a worker; it stays valid across a change of control.
    pub worker_lease_ms: u64,
    /// Longest lease that a worker accepts.
    pub worker_lease_max_ms: u64,
    /// Time within which a worker must receive a start order.
    pub start_valid_ms: u64,
    /// Time for which callers may query an ended job.
    pub status_ms: u64,
}

impl PoolTiming {
    /// Derives the times from the longest lease that workers accept, in
    /// milliseconds.
    pub fn new(worker_lease_max_ms: u64, status_ms: u64) -> Self {
        let worker_lease_ms = worker_lease_max_ms.min(10_000) * 6 / 10;
        let start_valid_ms = worker_lease_ms / 3;
        Self { worker_lease_ms, worker_lease_max_ms, start_valid_ms, status_ms }
    }
}

/// Scheduling policy of one queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Priority among the queues of the pool; 0 is the highest.
    pub priority: u32,
    /// Failed runs of a task after which its job fails.
    pub attempts_max: u32,
    /// Time that callers expect a job to take, as a multiple of its critical
    /// path.
    pub stretch: f64,
    /// Time on top of that multiple, in milliseconds.
    pub objective_ms: u64,
    /// Settings of the policy service that selects the permitted workers; none
    /// if every worker is permitted.
    pub advice: Option<AdviceSettings>,
}

impl Default for QueuePolicy {
    /// The policy of a queue whose policy is not known.
    fn default() -> Self {
        Self { priority: 0, attempts_max: 2, stretch: 2.0, objective_ms: 1_000, advice: None }
    }
}

/// State of a job for callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobView {
    /// Queue that the job was submitted to.
    pub queue: QueueId,
    /// Client account of the job; none if its queue was public.
    pub account: Option<AccountId>,
    /// A task has started.
    pub has_started: bool,
    /// How the job ended, if that is stored.
    pub outcome: Option<JobOutcome>,
}

/// The term under which the engine controls its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolControl {
    pub pool: PoolId,
    /// Term of this holder of control.
    pub term: Term,
    /// Version of the term key in the store; jobs with a higher version were
    /// accepted after the change of control.
    pub since: RecordVersion,
    /// When every lease and start that a previous controller granted has
    /// expired, on the local clock.
    pub predecessor_until_ms: u64,
}

/// Record of a job that is removed after a time.
#[derive(Clone, Copy, Debug)]
struct Finished {
    version: RecordVersion,
    /// When the record is removed, in milliseconds since 1970.
    remove_unix_ms: u64,
}

/// Assigns the tasks of one pool to its workers.
#[derive(Debug)]
pub struct PoolEngine {
    pub(super) control: PoolControl,
    pub(super) timing: PoolTiming,
    queues: HashMap<QueueId, QueuePolicy>,
    /// A job of a queue without a known policy has arrived.
    has_unknown_queue: bool,
    pub(super) job_table: JobTable,
    pub(super) workers: WorkerTable,
    pub(super) writer: Writer,
    pub(super) durations: Durations,
    pub(super) advice: Advice,
    pub(super) suspects: Suspects,
    /// Idle hosts of the pool can be switched off.
    pub(super) switches_off_hosts: bool,
    pub(super) fair_share: FairShare,
    pub(super) interference: Interference,
    /// Tasks waited for capacity after the last placement round.
    pub(super) is_short: bool,
    /// Some workers are kept for tasks that run alone.
    pub(super) suspects_reserved: bool,
    pub(super) vacating: HashSet<WorkerId>,
    pub(super) vacated: HashSet<WorkerId>,
    /// Start of the newest worker incarnation on each host that has answered a
    /// poll, in milliseconds since 1970.
    pub(super) newest_starts: HashMap<HostId, u64>,
    /// Starts of the incarnations under each name that later ones have replaced, in
    /// milliseconds since 1970.
    pub(super) outdated_starts: HashMap<WorkerId, Vec<u64>>,
    pub(super) late_starts: LateStarts,
    pub(super) former_leases: FormerLeases,
    /// The roster has to be stored again.
    pub(super) roster_due: bool,
    /// No successor can hold control before this time, on the local clock.
    pub(super) confirmed_until_ms: u64,
    /// Stops for maintenance and moves wait until this time, on the local
    /// clock.
    pub(super) handover_grace_until_ms: u64,
    /// Workers that may run tasks of a previous controller and have not been
    /// polled yet; none once reconciliation is finished.
    pub(super) unreconciled: Option<Vec<RosterEntry>>,
    pub(super) arrivals: ArrivalRate,
    pub(super) ended: EndedRate,
    /// Ended and withdrawn jobs, kept until their records are removed. Earlier live
    /// records of these jobs are ignored: a listing may have been read before the
    /// end was stored.
    finished: HashMap<JobNumber, Finished>,
    pub(super) placing_due: bool,
    /// Slow tasks have not been looked for since the last check.
    pub(super) copies_due: bool,
    next_place_ms: u64,
    /// When the engine last made a step, on the local clock.
    pub(super) stepped_ms: u64,
    pub(super) next_check_ms: u64,
    /// Jobs that may have runs which must be stopped.
    pub(super) jobs_to_review: HashSet<JobKey>,
    pub(super) actions: Vec<PoolAction>,
    pub(super) trail: Trail,
}

impl PoolEngine {
    /// Creates the engine of a pool; call [`recover`](Self::recover) next.
    pub fn new(control: PoolControl, timing: PoolTiming) -> Self {
        Self {
            control,
            timing,
            queues: HashMap::new(),
            has_unknown_queue: false,
            job_table: JobTable::default(),
            workers: WorkerTable::default(),
            writer: Writer::default(),
            durations: Durations::default(),
            advice: Advice::default(),
            suspects: Suspects::default(),
            switches_off_hosts: false,
            fair_share: FairShare::default(),
            interference: Interference::default(),
            is_short: false,
            suspects_reserved: false,
            vacating: HashSet::new(),
            vacated: HashSet::new(),
            newest_starts: HashMap::new(),
            outdated_starts: HashMap::new(),
            late_starts: LateStarts::default(),
            former_leases: FormerLeases::default(),
            roster_due: false,
            confirmed_until_ms: 0,
            handover_grace_until_ms: 0,
            unreconciled: Some(Vec::new()),
            arrivals: ArrivalRate::default(),
            ended: EndedRate::default(),
            finished: HashMap::new(),
            placing_due: false,
            copies_due: false,
            next_place_ms: 0,
            stepped_ms: 0,
            next_check_ms: 0,
            jobs_to_review: HashSet::new(),
            actions: Vec::new(),
            trail: Trail::default(),
        }
    }

    /// Returns the engine without the detection of kinds that slow each other down,
    /// as the baseline of measurements.
    #[must_use]
    pub fn without_interference(mut self) -> Self {
        self.interference = Interference::disabled();
        self
    }

    /// Sets the time before which no successor can hold control, in
    /// milliseconds on the local clock.
    pub fn confirm_control(&mut self, until_ms: u64) {
        self.confirmed_until_ms = until_ms;
    }

    /// Returns the control that the engine acts under.
    pub fn control(&self) -> &PoolControl {
        &self.control
    }

    /// Applies the stored policies of queues that the configuration need not have.
    pub fn set_stored_queues<I>(&mut self, queues: I)
    where
        I: IntoIterator<Item = (QueueId, QueuePolicy)>,
    {
        for (queue, policy) in queues {
            self.queues.entry(queue).or_insert(policy);
        }
        self.placing_due = true;
    }

    /// Returns whether a job arrived, since the last call, of a queue whose policy is
    /// not known.
    pub fn take_unknown_queue(&mut self) -> bool {
        std::mem::take(&mut self.has_unknown_queue)
    }

    /// Applies the queues of a configuration.
    pub fn set_queues<I>(&mut self, queues: I)
    where
        I: IntoIterator<Item = (QueueId, QueuePolicy)>,
    {
        // Removed queues keep their last policy, since their accepted jobs
        // still run.
        self.queues.extend(queues);
        self.placing_due = true;
    }

    /// Sets whether idle hosts of the pool can be switched off.
    pub fn set_switches_off_hosts(&mut self, switches_off_hosts: bool) {
        self.switches_off_hosts = switches_off_hosts;
    }

    /// Applies the client accounts of a configuration with their weights; none if
    /// the deployment has no accounts.
    pub fn set_accounts<I>(&mut self, weights: I)
    where
        I: IntoIterator<Item = (AccountId, f64)>,
    {
        self.fair_share.set_weights(weights);
        self.placing_due = true;
    }

    pub(super) fn policy(&self, queue: &QueueId) -> QueuePolicy {
        self.queues.get(queue).cloned().unwrap_or_default()
    }

    /// Applies a job's record as read from the store.
    pub fn on_job(
        &mut self,
        now: ClockReading,
        number: JobNumber,
        version: RecordVersion,
        record: JobRecord,
    ) {
        if let Some(key) = self.apply_job(now, number, version, record) {
            self.job_table.open_due(key, now);
            self.placing_due = true;
        }
    }

    /// Applies a job's record; returns the job if it is a new one, whose occurrences
    /// still have to be opened.
    pub(super) fn apply_job(
        &mut self,
        now: ClockReading,
        number: JobNumber,
        version: RecordVersion,
        record: JobRecord,
    ) -> Option<JobKey> {
        let known = self.job_table.find(number).and_then(|key| self.job_table.job(key));
        if known.is_some_and(|job| version < job.version) {
            return None;
        }
        let is_older = self.finished.get(&number).is_some_and(|it| version <= it.version);
        match (self.job_table.find(number), record.state) {
            (None, JobState::Live(_)) if is_older => {
                log::info!(job:display = number, version = version.0;
                    "ignored a job record that is older than the job's end");
            }
            (None, JobState::Live(spec)) => {
                self.finished.remove(&number);
                self.writer.keep_record(number);
                self.has_unknown_queue |= !self.queues.contains_key(&record.queue);
                let is_inherited = version <= self.control.since;
                let job = Job::new(number, record.queue, spec, version)
                    .with_account(record.account)
                    .with_arrival(now, record.accepted_unix_ms, is_inherited);
                self.durations.on_job(&job.queue, job.work_core_ms());
                if !self.is_limit_reached(&job) {
                    let work_core_ms = self.batch_work_core_ms(&job, None);
                    self.arrivals.add(now.monotonic_ms, work_core_ms);
                }
                return Some(self.job_table.insert(job));
            }
            (Some(key), JobState::Live(_)) => {
                if let Some(job) = self.job_table.job_mut(key) {
                    job.version = version;
                }
            }
            (found, JobState::Ended { outcome, ended_unix_ms }) => {
                self.set_finished(number, version, ended_unix_ms, self.timing.status_ms);
                if let Some(key) = found {
                    self.on_ended_record(key, version, outcome);
                }
            }
            (found, JobState::Withdrawn { withdrawn_unix_ms }) => {
                self.set_finished(number, version, withdrawn_unix_ms, KEEP_WITHDRAWN_MS);
                if let Some(key) = found {
                    self.on_ended_record(key, version, JobOutcome::Cancelled);
                }
            }
        }
        None
    }

    /// Schedules the removal of a record, `keep_ms` and a margin after a time in
    /// milliseconds since 1970.
    fn set_finished(
        &mut self,
        number: JobNumber,
        version: RecordVersion,
        since_unix_ms: u64,
        keep_ms: u64,
    ) {
        let known = self.finished.get(&number);
        if known.is_none_or(|known| known.version <= version) {
            let remove_unix_ms = since_unix_ms.saturating_add(keep_ms + KEEP_MARGIN_MS);
            self.finished.insert(number, Finished { version, remove_unix_ms });
        }
    }

    /// Applies an outcome that is stored in a job's record.
    fn on_ended_record(&mut self, key: JobKey, version: RecordVersion, outcome: JobOutcome) {
        let Some(job) = self.job_table.job_mut(key) else { return };
        job.version = version;
        job.is_outcome_stored = true;
        if job.outcome != Some(outcome) {
            log::info!(job:display = job.number, outcome:display = outcome,
                runs = job.live_runs; "job was ended by its stored record");
        }
        job.outcome = Some(outcome);
        self.jobs_to_review.insert(key);
        self.writer.discard_job(key);
        self.placing_due = true;
        self.remove_if_over(key);
    }

    /// Removes a job whose outcome is stored and which has no runs left.
    pub(super) fn remove_if_over(&mut self, key: JobKey) {
        let is_over =
            self.job_table.job(key).is_some_and(|job| job.is_outcome_stored && job.live_runs == 0);
        if is_over {
            self.job_table.remove(key);
            self.writer.discard_job(key);
        }
    }

    /// Ends a job; the outcome takes effect once it is stored.
    pub(super) fn end_job(&mut self, now_ms: u64, key: JobKey, outcome: JobOutcome) {
        let Some(job) = self.job_table.job_mut(key) else { return };
        if job.outcome.is_none() {
            job.outcome = Some(outcome);
            self.jobs_to_review.insert(key);
            log::info!(target: OUTCOME_TARGET, job:display = job.number,
                queue = job.queue.as_str(), outcome:display = outcome,
                age_ms = job.age_ms(now_ms), term = self.control.term.0; "job ended");
            self.writer.end(key);
        }
    }

    /// Handles the result of the latest write.
    pub fn on_write(&mut self, now: ClockReading, result: WriteResult) {
        match result {
            WriteResult::Written(version) => self.on_written(now, version),
            WriteResult::OldTerm => self.fence("the store has a higher term"),
            WriteResult::Failed => self.writer.on_failed(now.monotonic_ms),
            WriteResult::Superseded(version) => {
                log::info!(pool = self.control.pool.as_str(), version = version.0;
                    "an earlier write of the pool's state took effect late; writing again");
                self.writer.set_previous(version);
                self.writer.on_failed(now.monotonic_ms);
            }
            WriteResult::Conflict(records) => {
                self.writer.on_failed(now.monotonic_ms);
                for (number, version, record) in records {
                    self.writer.keep_record(number);
                    match (record, self.job_table.find(number)) {
                        (Some(record), _) => self.on_job(now, number, version, record),
                        (None, Some(key)) => {
                            log::error!(job:display = number;
                                "job record is missing from the store; job counts as cancelled");
                            self.on_ended_record(key, version, JobOutcome::Cancelled);
                        }
                        (None, None) => {}
                    }
                }
            }
        }
    }

    fn on_written(&mut self, now: ClockReading, version: RecordVersion) {
        let (ended, roster) = self.writer.on_written(version);
        for key in ended {
            if let Some(job) = self.job_table.job_mut(key) {
                job.is_outcome_stored = true;
                job.version = version;
                let number = job.number;
                self.set_finished(number, version, now.unix_ms, self.timing.status_ms);
            }
            self.writer.discard_job(key);
            self.remove_if_over(key);
        }
        self.placing_due |= !self.suspects.is_empty();
        if let Some(stored) = roster {
            for (_, worker) in self.workers.iter_mut() {
                let incarnation = (worker.entry.worker.clone(), worker.entry.born_unix_ms);
                worker.is_rostered |= stored.contains(&incarnation);
            }
            self.placing_due = true;
        }
        let (job_table, writer) = (&self.job_table, &self.writer);
        let mut stored = Vec::new();
        for (key, worker) in self.workers.iter_mut().filter(|(_, it)| it.has_unstored_ends()) {
            worker.acknowledge(|sequence| {
                writer.is_stored(sequence, job_table.is_live(sequence.job))
            });
            if !worker.has_unstored_ends() {
                stored.push(key);
            }
        }
        for key in stored {
            self.workers.poll_by(now.monotonic_ms, key);
        }
    }

    /// Gives up control after evidence of a higher term.
    pub(super) fn fence(&mut self, sign: &str) {
        log::warn!(pool = self.control.pool.as_str(), term = self.control.term.0, sign = sign;
            "control was taken over");
        self.actions.push(PoolAction::Fenced);
    }

    /// Returns the actions that follow from all events since the last call; none
    /// once control has run out.
    pub fn step(&mut self, now: ClockReading) -> Vec<PoolAction> {
        let now_ms = now.monotonic_ms;
        if now_ms >= self.confirmed_until_ms.saturating_add(OUTAGE_MS) {
            // The process was paused: what it knew would let it act on workers
            // that a successor has not reached yet.
            self.actions.clear();
            return Vec::new();
        }
        self.stepped_ms = now_ms;
        if now_ms >= self.next_check_ms {
            self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
            self.check(now);
        }
        self.count_crashes(now_ms);
        if self.placing_due && now_ms >= self.next_place_ms {
            self.placing_due = false;
            self.next_place_ms = now_ms + PLACE_INTERVAL_MS;
            self.stop_obsolete_runs(now_ms);
            self.begin_limits();
            self.place_alone(now_ms);
            self.place(now_ms);
            self.placing_due |= self.job_table.open_deferred(now);
            self.end_limits(now_ms);
            self.summarize(now_ms);
            self.trail.flush(&self.control.pool, self.control.term);
        }
        self.send_polls(now_ms);
        if let Some(write) = self.next_write(now) {
            self.actions.push(PoolAction::Write(write));
        }
        std::mem::take(&mut self.actions)
    }

    /// Runs the checks that depend on time alone.
    fn check(&mut self, now: ClockReading) {
        self.job_table.open_all_due(now);
        let job_table = &self.job_table;
        self.advice.retain(|step| job_table.step(step).is_some());
        self.copies_due = true;
        self.try_finish_reconciliation(now.monotonic_ms);
        self.expire_leases(now.monotonic_ms);
        self.resend_stops(now.monotonic_ms);
        self.review_late_starts(now.monotonic_ms);
        self.former_leases.prune(now.monotonic_ms);
        self.stop_stalled(now.monotonic_ms);
        self.clear_suspects(now.monotonic_ms);
        self.review_interference(now.monotonic_ms);
        // Suspensions, retry delays and reachability change with time.
        self.placing_due = true;
        let old = self.finished.extract_if(|_, it| it.remove_unix_ms < now.unix_ms);
        self.writer.remove_records(old.map(|(number, it)| (number, it.version)));
    }

    fn send_polls(&mut self, now_ms: u64) {
        let PoolTiming { worker_lease_ms: lease_ms, worker_lease_max_ms: lease_max_ms, .. } =
            self.timing;
        let term = self.control.term;
        while let Some(key) = self.workers.next_poll(now_ms) {
            self.workers.begin_poll(now_ms, key);
            let Some(worker) = self.workers.get_mut(key) else { continue };
            // The lease of a worker that does not answer is not extended, so
            // that the time at which its runs have certainly ended stays fixed.
            let clock = worker.lease.clock().filter(|_| worker.missed_polls == 0);
            let lease_until_ms = clock.map(|clock| clock.now_ms(now_ms) + lease_ms);
            let wait_ms = match (&clock, worker.is_empty()) {
                (None, _) => 0,
                _ if !worker.carried_over.is_empty() => 0,
                (Some(_), true) => IDLE_POLL_WAIT_MS,
                (Some(_), false) if worker.is_shared => SHARED_POLL_WAIT_MS,
                (Some(_), false) => POLL_WAIT_MS,
            };
            if let Some(until_ms) = lease_until_ms {
                let arrives_by_ms = now_ms + wait_ms + CALL_MAX_MS;
                let call = LimitCall { sent_ms: now_ms, arrives_by_ms };
                worker.lease.send(call, until_ms, lease_max_ms);
            }
            let acknowledged = worker.take_acknowledgement();
            worker.poll_wait_ms = wait_ms;
            let contact = contact(key, worker, term);
            let request = PollRequest { acknowledged, lease_until_ms, wait_ms };
            self.actions.push(PoolAction::Poll { contact, request });
        }
    }

    fn next_write(&mut self, now: ClockReading) -> Option<PoolWrite> {
        if std::mem::take(&mut self.roster_due) {
            let roster = self.roster();
            self.writer.set_roster(roster);
        }
        let records = JobTableRecords { job_table: &self.job_table, unix_ms: now.unix_ms };
        self.writer.next_write(now.monotonic_ms, &records)
    }

    /// Returns when [`step`](Self::step) is due without an event, in
    /// milliseconds on the local clock.
    pub fn next_step_ms(&self) -> u64 {
        let placing = self.placing_due.then_some(self.next_place_ms);
        let times = [self.workers.next_poll_ms(), self.writer.due_ms(), placing];
        times.into_iter().flatten().fold(self.next_check_ms, u64::min)
    }

    /// Returns a job's state for callers.
    pub fn job_state(&self, number: JobNumber) -> Option<JobView> {
        let job = self.job_table.job(self.job_table.find(number)?)?;
        Some(JobView {
            queue: job.queue.clone(),
            account: job.account.clone(),
            has_started: job.has_started,
            outcome: job.outcome.filter(|_| job.is_outcome_stored),
        })
    }

    pub(super) fn mark_progress(&mut self, now_ms: u64, task: TaskRef) -> ProgressSequence {
        self.writer.mark_dirty(now_ms, task.job)
    }
}

/// Returns the address and term for orders to a worker.
pub(super) fn contact(key: WorkerKey, worker: &Worker, term: Term) -> WorkerContact {
    let (name, address) = (worker.entry.worker.clone(), worker.entry.address);
    WorkerContact { key, worker: name, address, term }
}

struct JobTableRecords<'a> {
    job_table: &'a JobTable,
    unix_ms: u64,
}

impl Records for JobTableRecords<'_> {
    fn progress(&self, job: JobKey) -> Option<(JobNumber, ProgressRecord)> {
        let job = self.job_table.job(job)?;
        Some((job.number, job.progress()))
    }

    fn ended(&self, job: JobKey) -> Option<(JobNumber, RecordVersion, JobRecord)> {
        let job = self.job_table.job(job)?;
        let state = JobState::Ended { outcome: job.outcome?, ended_unix_ms: self.unix_ms };
        let accepted_unix_ms = self.unix_ms;
        Some((
            job.number,
            job.version,
            JobRecord {
                queue: job.queue.clone(),
                account: job.account.clone(),
                accepted_unix_ms,
                state,
            },
        ))
    }
}
