//! The engine of one pool: connects its parts and decides when they act.

use hashbrown::{HashMap, HashSet};
use tamarackproxy::state::{
    clock::ClockReading,
    ids::{HostId, PoolId, QueueId, RecordVersion, Term, WorkerId},
};

use super::{
    advice::Advice,
    durations::{ArrivalRate, Durations},
    events::{JobKey, PollRequest, PoolAction, WorkerContact, WorkerKey},
    ledger::{Job, Ledger},
    task::TaskRef,
    workers::{EndMark, Worker, WorkerTable},
    writer::{PoolWrite, Records, WriteResult, Writer},
};
use crate::state::{
    AdviceSettings, JobNumber, JobOutcome, JobRecord, JobState, ProgressRecord, RosterEntry,
};

/// Time that a look waits at a worker that runs something, in milliseconds:
/// also how old the known percentages get.
const LOOK_WAIT_MS: u64 = 1_000;
/// Time that a look waits at an idle worker, in milliseconds.
const IDLE_LOOK_WAIT_MS: u64 = 2_000;
/// Time that a look waits at a worker on which leftover tasks share with tasks
/// that serve, in milliseconds: their tail covers half a second.
const SHARED_LOOK_WAIT_MS: u64 = 400;
/// First delay before a worker is asked again after no reply, in milliseconds;
/// it doubles with each further one.
pub(super) const LOOK_RETRY_MS: u64 = 150;
/// Longest such delay, in milliseconds: a worker that returns is noticed within
/// it.
pub(super) const LOOK_RETRY_MAX_MS: u64 = 1_200;
/// Delay before the next look after one with ends, so that ends which follow
/// closely share it, in milliseconds.
pub(super) const LOOK_GAP_MS: u64 = 22;
/// Interval of checks that depend on time alone, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;
/// Time for which ended jobs are kept beyond the time for which callers may
/// ask, in milliseconds: clocks of processes differ by less.
const KEEP_MARGIN_MS: u64 = 30_000;

/// Shortest interval between two rounds of placing, in milliseconds: events
/// that come closer share a round.
const PLACE_INTERVAL_MS: u64 = 8;
/// Times of a pool's control, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolTiming {
    /// Lease of a worker: survives a change of control.
    pub worker_lease_ms: u64,
    /// Time limit of a start.
    pub start_valid_ms: u64,
    /// Time for which callers may ask for an ended job.
    pub status_ms: u64,
}

impl PoolTiming {
    /// Chooses times below the longest lease that workers accept, in
    /// milliseconds.
    pub fn new(worker_lease_max_ms: u64, status_ms: u64) -> Self {
        let worker_lease_ms = worker_lease_max_ms.min(10_000) * 6 / 10;
        Self { worker_lease_ms, start_valid_ms: worker_lease_ms / 3, status_ms }
    }
}

/// What a queue asks of the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Rank among the queues of the pool; 0 goes first.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub attempts_max: u32,
    /// Multiple of a job's longest chain that its callers expect it to take.
    pub stretch: f64,
    /// Time on top of that multiple, in milliseconds.
    pub objective_ms: u64,
    /// The policy allows only some workers; a service names them.
    pub advice: Option<AdviceSettings>,
}

impl Default for QueuePolicy {
    /// The policy of a queue that was removed: its accepted jobs still run.
    fn default() -> Self {
        Self { priority: 0, attempts_max: 2, stretch: 2.0, objective_ms: 1_000, advice: None }
    }
}

/// Control of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolControl {
    /// The pool.
    pub pool: PoolId,
    /// Term of the holder.
    pub term: Term,
    /// Version of the term key; jobs with a higher one were accepted since.
    pub since: RecordVersion,
    /// When everything that a predecessor granted is over, on the own clock.
    pub predecessor_until_ms: u64,
}

/// Decides what runs where in one pool.
#[derive(Debug)]
pub struct PoolEngine {
    pub(super) control: PoolControl,
    pub(super) timing: PoolTiming,
    queues: HashMap<QueueId, QueuePolicy>,
    pub(super) ledger: Ledger,
    pub(super) workers: WorkerTable,
    pub(super) writer: Writer,
    pub(super) durations: Durations,
    pub(super) advice: Advice,
    pub(super) vacating: HashSet<WorkerId>,
    pub(super) vacated: HashSet<WorkerId>,
    /// Start of the latest life on each host of the registry, whatever its
    /// pool, in milliseconds since 1970.
    pub(super) host_lives: HashMap<HostId, u64>,
    /// Until then no successor can hold control, on the own clock.
    pub(super) confirmed_until_ms: u64,
    /// Planned stops wait until then, on the own clock.
    pub(super) quiet_until_ms: u64,
    /// Workers that may run what a predecessor started and have not been
    /// listed; none once that is settled.
    pub(super) unsettled: Option<Vec<RosterEntry>>,
    pub(super) arrivals: ArrivalRate,
    /// Ended jobs with the time of their end, for their removal. They are never
    /// new again: a listing may have been read before their end was stored.
    finished: HashMap<JobNumber, u64>,
    pub(super) placing_due: bool,
    next_place_ms: u64,
    pub(super) next_check_ms: u64,
    /// Jobs of which runs may have to be stopped.
    pub(super) unwanted: HashSet<JobKey>,
    pub(super) actions: Vec<PoolAction>,
}

impl PoolEngine {
    /// Takes control of a pool; [`recover`](Self::recover) follows.
    pub fn new(control: PoolControl, timing: PoolTiming) -> Self {
        Self {
            control,
            timing,
            queues: HashMap::new(),
            ledger: Ledger::default(),
            workers: WorkerTable::default(),
            writer: Writer::default(),
            durations: Durations::default(),
            advice: Advice::default(),
            vacating: HashSet::new(),
            vacated: HashSet::new(),
            host_lives: HashMap::new(),
            confirmed_until_ms: 0,
            quiet_until_ms: 0,
            unsettled: Some(Vec::new()),
            arrivals: ArrivalRate::default(),
            finished: HashMap::new(),
            placing_due: false,
            next_place_ms: 0,
            next_check_ms: 0,
            unwanted: HashSet::new(),
            actions: Vec::new(),
        }
    }

    /// Notes until when no successor can hold control, in milliseconds on the
    /// own clock.
    pub fn confirm_control(&mut self, until_ms: u64) {
        self.confirmed_until_ms = until_ms;
    }

    /// Returns the control that the engine acts under.
    pub fn control(&self) -> &PoolControl {
        &self.control
    }

    /// Takes over the queues of a configuration.
    pub fn set_queues<I>(&mut self, queues: I)
    where
        I: IntoIterator<Item = (QueueId, QueuePolicy)>,
    {
        // Queues that were removed keep their last policy for accepted jobs.
        self.queues.extend(queues);
        self.placing_due = true;
    }

    pub(super) fn policy(&self, queue: &QueueId) -> QueuePolicy {
        self.queues.get(queue).cloned().unwrap_or_default()
    }

    /// Takes in a job's record as the store has it.
    pub fn on_job(
        &mut self,
        now: ClockReading,
        number: JobNumber,
        version: RecordVersion,
        record: JobRecord,
    ) {
        match (self.ledger.find(number), record.state) {
            (None, JobState::Live(_)) if self.finished.contains_key(&number) => {
                log::info!(job:display = number, version = version.0;
                    "record from before the job's end is left out");
            }
            (None, JobState::Live(spec)) => {
                let is_inherited = version <= self.control.since;
                let job = Job::new(number, record.queue, spec, version).with_arrival(
                    now,
                    record.accepted_unix_ms,
                    is_inherited,
                );
                self.durations.on_job(&job.queue, job.work_core_ms());
                let work_core_ms = self.batch_work_core_ms(&job);
                self.arrivals.add(now.monotonic_ms, work_core_ms);
                let key = self.ledger.insert(job);
                self.ledger.open_due(key, now.unix_ms);
                self.placing_due = true;
            }
            (Some(key), JobState::Live(_)) => {
                if let Some(job) = self.ledger.job_mut(key) {
                    job.version = version;
                }
            }
            (found, JobState::Ended { outcome, ended_unix_ms }) => {
                self.finished.insert(number, ended_unix_ms);
                if let Some(key) = found {
                    self.on_ended_record(key, version, outcome);
                }
            }
        }
    }

    /// Takes in that the store has a job's outcome.
    fn on_ended_record(&mut self, key: JobKey, version: RecordVersion, outcome: JobOutcome) {
        let Some(job) = self.ledger.job_mut(key) else { return };
        job.version = version;
        job.is_outcome_stored = true;
        if job.outcome != Some(outcome) {
            log::info!(job:display = job.number, outcome:display = outcome,
                runs = job.live_runs; "job was ended by its record");
        }
        job.outcome = Some(outcome);
        self.unwanted.insert(key);
        self.writer.forget_job(key);
        self.placing_due = true;
        self.remove_if_over(key);
    }

    /// Forgets a job whose outcome is stored and of which nothing runs.
    pub(super) fn remove_if_over(&mut self, key: JobKey) {
        let is_over =
            self.ledger.job(key).is_some_and(|job| job.is_outcome_stored && job.live_runs == 0);
        if is_over {
            self.ledger.remove(key);
            self.writer.forget_job(key);
        }
    }

    /// Ends a job; the outcome counts once it is stored.
    pub(super) fn end_job(&mut self, key: JobKey, outcome: JobOutcome) {
        let Some(job) = self.ledger.job_mut(key) else { return };
        if job.outcome.is_none() {
            job.outcome = Some(outcome);
            self.unwanted.insert(key);
            log::info!(job:display = job.number, queue = job.queue.as_str(),
                outcome:display = outcome, term = self.control.term.0; "job ended");
            self.writer.end(key);
        }
    }

    /// Takes in the result of the write that was asked for last.
    pub fn on_write(&mut self, now: ClockReading, result: WriteResult) {
        match result {
            WriteResult::Written(version) => self.on_written(now, version),
            WriteResult::OldTerm => self.fence("the store has a higher term"),
            WriteResult::Failed => self.writer.on_failed(now.monotonic_ms),
            WriteResult::Conflict(records) => {
                self.writer.on_failed(now.monotonic_ms);
                for (number, version, record) in records {
                    match (record, self.ledger.find(number)) {
                        (Some(record), _) => self.on_job(now, number, version, record),
                        (None, Some(key)) => {
                            log::error!(job:display = number; "the job's record is gone");
                            self.on_ended_record(key, version, JobOutcome::Cancelled);
                        }
                        (None, None) => {}
                    }
                }
            }
        }
    }

    fn on_written(&mut self, now: ClockReading, version: RecordVersion) {
        let (ended, roster) = self.writer.on_written();
        for key in ended {
            if let Some(job) = self.ledger.job_mut(key) {
                job.is_outcome_stored = true;
                job.version = version;
                self.finished.insert(job.number, now.unix_ms);
            }
            self.writer.forget_job(key);
            self.remove_if_over(key);
        }
        if let Some(names) = roster {
            for (_, worker) in self.workers.iter_mut() {
                worker.is_rostered |= names.contains(&worker.entry.worker);
            }
            self.placing_due = true;
        }
        let (ledger, writer) = (&self.ledger, &self.writer);
        for (_, worker) in self.workers.iter_mut() {
            worker.acknowledge(|mark| writer.is_stored(mark, ledger.job(mark.job).is_some()));
        }
    }

    /// Ends the tenure after a sign of a higher term.
    pub(super) fn fence(&mut self, sign: &str) {
        log::warn!(pool = self.control.pool.as_str(), term = self.control.term.0, sign = sign;
            "control was taken over");
        self.actions.push(PoolAction::Fenced);
    }

    /// Decides what follows from all events since the last call.
    pub fn step(&mut self, now: ClockReading) -> Vec<PoolAction> {
        let now_ms = now.monotonic_ms;
        if now_ms >= self.next_check_ms {
            self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
            self.check(now);
        }
        if self.placing_due && now_ms >= self.next_place_ms {
            self.placing_due = false;
            self.next_place_ms = now_ms + PLACE_INTERVAL_MS;
            self.stop_unwanted(now_ms);
            self.place(now_ms);
            self.summarize(now_ms);
        }
        self.look(now_ms);
        if let Some(write) = self.next_write(now) {
            self.actions.push(PoolAction::Write(write));
        }
        std::mem::take(&mut self.actions)
    }

    /// Checks what depends on time alone.
    fn check(&mut self, now: ClockReading) {
        for key in self.ledger.keys() {
            if self.ledger.job(key).is_some_and(Job::is_scheduled) {
                self.placing_due |= self.ledger.open_due(key, now.unix_ms);
            }
        }
        let ledger = &self.ledger;
        self.advice.retain(|step| ledger.job(step.job).is_some());
        self.settle(now.monotonic_ms);
        self.expire_leases(now.monotonic_ms);
        self.resend_stops(now.monotonic_ms);
        self.stop_stalled(now.monotonic_ms);
        // Suspensions, retries and touch change with time.
        self.placing_due = true;
        let keep_ms = self.timing.status_ms + KEEP_MARGIN_MS;
        if let Some(before) = now.unix_ms.checked_sub(keep_ms) {
            let old = self.finished.extract_if(|_, ended| *ended < before);
            self.writer.forget(old.map(|(number, _)| number));
        }
    }

    fn look(&mut self, now_ms: u64) {
        let (term, lease_ms) = (self.control.term, self.timing.worker_lease_ms);
        for (key, worker) in self.workers.iter_mut() {
            if worker.look_sent_ms.is_some() || now_ms < worker.next_look_ms {
                continue;
            }
            // A worker that does not answer gets no longer lease, so that the
            // time after which its runs are surely over stays fixed.
            let clock = worker.clock.filter(|_| worker.missed_looks == 0);
            let lease_until_ms = clock.map(|clock| clock.now_ms(now_ms) + lease_ms);
            if let Some(until_ms) = lease_until_ms {
                worker.grant(until_ms);
            }
            worker.look_sent_ms = Some(now_ms);
            let wait_ms = match (&clock, worker.is_empty()) {
                (None, _) => 0,
                (Some(_), true) => IDLE_LOOK_WAIT_MS,
                (Some(_), false) if worker.is_shared => SHARED_LOOK_WAIT_MS,
                (Some(_), false) => LOOK_WAIT_MS,
            };
            let acknowledged = worker.acknowledged;
            let contact = contact(key, worker, term);
            let request = PollRequest { acknowledged, lease_until_ms, wait_ms };
            self.actions.push(PoolAction::Poll { contact, request });
        }
    }

    fn next_write(&mut self, now: ClockReading) -> Option<PoolWrite> {
        let records = LedgerRecords { ledger: &self.ledger, unix_ms: now.unix_ms };
        self.writer.next_write(now.monotonic_ms, &records)
    }

    /// Returns when [`step`](Self::step) is due without an event, in
    /// milliseconds on the own clock.
    pub fn next_step_ms(&self) -> u64 {
        let looks = self.workers.iter().filter(|(_, worker)| worker.look_sent_ms.is_none());
        let looks = looks.map(|(_, worker)| worker.next_look_ms);
        let placing = self.placing_due.then_some(self.next_place_ms);
        let times = looks.chain(self.writer.due_ms()).chain(placing);
        times.fold(self.next_check_ms, u64::min)
    }

    /// Returns a job's state for callers: whether a task has started, or how
    /// it ended if that is stored.
    pub fn job_state(&self, number: JobNumber) -> Option<(bool, Option<JobOutcome>)> {
        let job = self.ledger.job(self.ledger.find(number)?)?;
        Some((job.has_started, job.outcome.filter(|_| job.is_outcome_stored)))
    }

    pub(super) fn mark(&mut self, now_ms: u64, task: TaskRef) -> EndMark {
        self.writer.touch(now_ms, task.job)
    }
}

/// Makes the contact for orders to a worker.
pub(super) fn contact(key: WorkerKey, worker: &Worker, term: Term) -> WorkerContact {
    let (name, address) = (worker.entry.worker.clone(), worker.entry.address);
    WorkerContact { key, worker: name, address, term }
}

struct LedgerRecords<'a> {
    ledger: &'a Ledger,
    unix_ms: u64,
}

impl Records for LedgerRecords<'_> {
    fn progress(&self, job: JobKey) -> Option<(JobNumber, ProgressRecord)> {
        let job = self.ledger.job(job)?;
        Some((job.number, job.progress()))
    }

    fn ended(&self, job: JobKey) -> Option<(JobNumber, RecordVersion, JobRecord)> {
        let job = self.ledger.job(job)?;
        let state = JobState::Ended { outcome: job.outcome?, ended_unix_ms: self.unix_ms };
        let accepted_unix_ms = self.unix_ms;
        Some((
            job.number,
            job.version,
            JobRecord { queue: job.queue.clone(), accepted_unix_ms, state },
        ))
    }
}
