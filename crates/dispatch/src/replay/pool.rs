//! Simulation of one or more pool engines with fake workers and a fake store.
//!
//! The workers follow the platform's rules for runs, leases and terms. The
//! simulation panics when a task runs twice at once, when it starts again after a
//! run was done whose end is acknowledged then or later, when it starts again after
//! several workers crashed under it, when a worker exceeds its capacity, or when a
//! start leaves a worker over the capacity that the registry has shown. Only a
//! worker whose capacity shrank may be over it, and only with runs that began
//! before.

mod worker;

use std::collections::{BTreeMap, HashSet as StdHashSet};

use hashbrown::HashMap;
use tamarackproxy::{
    coordination::jobs::Resources,
    state::{
        clock::ClockReading,
        ids::{AccountId, PoolId, QueueId, RecordVersion, Term, WorkerId},
    },
};

use crate::{
    coordination::pool::{
        EndKind, EndedTask, Order, OrderOutcome, OrderReply, OrderTarget, PollFailure, PollRequest,
        PoolAction, PoolControl, PoolEngine, PoolTiming, PoolWrite, QueuePolicy, Recovered,
        Refusal, StoredJob, WorkerContact, WorkerKey, WriteResult,
    },
    state::{
        JobNumber, JobOutcome, JobRecord, JobSpec, JobState, ProgressRecord, Roster, StepSpec,
        Summary, TaskAddress, WorkerEntry,
    },
};

pub use self::worker::FakeWorker;
use self::worker::{FakeRun, report};

/// Step of virtual time, in milliseconds.
const STEP_MS: u64 = 10;
/// Time after which the result of an order without reply is unknown, in
/// milliseconds.
const ORDER_TIMEOUT_MS: u64 = 600;
/// Workers that may crash under one task, and starts of it after that.
const CRASHES_MAX: u32 = 3;
const STARTS_AFTER_CRASHES_MAX: u32 = 2;
/// Time after which a poll on a connection that died without a reset counts as
/// unanswered, in milliseconds after the longest time that it may take.
const POLL_TIMEOUT_MS: u64 = 700;
/// Start of virtual wall-clock time, in milliseconds since 1970.
const UNIX_ORIGIN_MS: u64 = 1_700_000_000_000;

pub fn pool() -> PoolId {
    PoolId::new("p")
}

pub fn queue() -> QueueId {
    QueueId::new("q")
}

/// Describes a step whose tasks need 1 GiB of memory each.
pub fn step(tasks: u32, cpu_millicores: u64, estimate_ms: u32) -> StepSpec {
    let need = Resources::new(cpu_millicores, 1 << 30, 0);
    StepSpec { tasks, need, estimate_ms, ..StepSpec::default() }
}

pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { payload: "text".into(), steps, schedule: None }
}

/// Describes a long-running step of which one task may be unavailable at once.
pub fn lasting(tasks: u32) -> StepSpec {
    StepSpec { is_lasting: true, unavailable_max: 1, ..step(tasks, 1_000, 0) }
}

/// Order that is carried out later, by whichever incarnation then has the
/// worker's name.
struct DelayedOrder {
    at_ms: u64,
    /// Index of the worker.
    at: usize,
    term: Term,
    target: OrderTarget,
    order: Order,
    /// It takes longer than the latency.
    is_held_up: bool,
    /// Index of the controller that gets the reply; none if the reply is lost.
    reply_to: Option<usize>,
}

/// Poll in flight.
struct Poll {
    /// Index of the worker.
    at: usize,
    key: WorkerKey,
    /// Its contents until it arrives.
    request: Option<PollRequest>,
    /// When it arrives, in milliseconds of virtual time.
    arrives_ms: u64,
    /// Incarnation at which it arrived.
    born_unix_ms: u64,
    /// The worker was up when it arrived.
    is_received: bool,
    /// It is carried out late, and its reply is lost.
    is_late: bool,
    /// Latest time of the answer, in milliseconds of virtual time.
    until_ms: u64,
    term: Term,
}

/// Poll that is carried out later, by whichever incarnation then has the worker's
/// name; its reply is lost.
struct LatePoll {
    at_ms: u64,
    /// Index of the controller that sent it.
    from: usize,
    /// Index of the worker.
    at: usize,
    term: Term,
    request: PollRequest,
}

struct Controller {
    engine: PoolEngine,
    is_alive: bool,
    is_paused: bool,
    is_fenced: bool,
    polls: Vec<Poll>,
    replies: Vec<(u64, OrderTarget, bool, OrderOutcome)>,
}

/// Controllers of one pool with their workers and store, on virtual time.
pub struct PoolSimulation {
    pub now_ms: u64,
    pub workers: Vec<FakeWorker>,
    controllers: Vec<Controller>,
    version: u64,
    jobs: BTreeMap<JobNumber, (RecordVersion, JobRecord)>,
    progress: BTreeMap<JobNumber, ProgressRecord>,
    roster: Roster,
    /// The stored summary with its version.
    summary: (RecordVersion, Summary),
    /// Index of the controller whose writes are accepted.
    holder: usize,
    pub store_is_up: bool,
    /// Delay after which the store carries out a write whose reply is lost, in
    /// milliseconds; none if replies arrive.
    pub write_delay_ms: Option<u64>,
    /// Orders in flight.
    delayed_orders: Vec<DelayedOrder>,
    late_polls: Vec<LatePoll>,
    /// Late polls are carried out although their worker is cut off: they have reached
    /// it before.
    pub late_polls_have_arrived: bool,
    /// Writes without a reply: time, index of the controller and write.
    delayed_writes: Vec<(u64, usize, PoolWrite)>,
    last_write: RecordVersion,
    /// Tasks whose successful end was acknowledged.
    acknowledged_tasks: StdHashSet<TaskAddress>,
    /// Time and outcome of each job's stored end.
    pub ended: BTreeMap<JobNumber, (u64, JobOutcome)>,
    accepted_ms: BTreeMap<JobNumber, u64>,
    /// When a task of each job was first started.
    first_started_ms: BTreeMap<JobNumber, u64>,
    /// When each task was last started.
    last_started_ms: HashMap<TaskAddress, u64>,
    /// Starts that workers carried out.
    pub starts: u64,
    /// Queries to the policy service.
    pub questions: u64,
    /// Workers refuse starts without a ticket of the policy service.
    pub needs_tickets: bool,
    pub vacated: Vec<WorkerId>,
    /// Actual duration of a task in milliseconds, if it differs from the
    /// estimate.
    pub duration_ms: Option<fn(TaskAddress) -> u64>,
    /// Factor by which tasks take longer on another rack than that of their data.
    pub remote_factor: u64,
    /// Factor by which a task of the first image is slowed while one of the second
    /// runs beside it.
    pub slowdown_beside: Option<fn(&str, &str) -> f64>,
    /// Job whose tasks make no progress on any worker.
    pub stalled_job: Option<JobNumber>,
    /// Tasks that crash each worker that runs them, with the run time before
    /// the crash in milliseconds.
    pub crashing: HashMap<TaskAddress, u64>,
    /// Workers that crashed under each of these tasks, and the task's starts
    /// after as many as may.
    crashes: HashMap<TaskAddress, (u32, u32)>,
    /// Incarnations that ended while they ran each of these tasks, until the end of
    /// its job was stored.
    lost_runs: HashMap<TaskAddress, u32>,
    /// Crashes of workers that tasks caused.
    pub crash_count: u32,
    /// Time for which a crashed worker is away, in milliseconds.
    pub away_ms: u64,
    /// Time from the return of a crashed worker to its registration, in
    /// milliseconds. None if it registers at once, and returns with its settings
    /// reset.
    pub heartbeat_ms: Option<u64>,
    /// Time that orders and polls take to arrive, in milliseconds.
    pub latency_ms: u64,
    /// Polls in flight at a restart fail once they time out, not at once.
    pub loses_resets: bool,
    /// Delayed orders are lost when their worker restarts.
    pub restarts_drop_orders: bool,
    copies_allowed: bool,
    /// Client accounts with their weights.
    accounts: Vec<(AccountId, f64)>,
    next_job: u64,
}

impl PoolSimulation {
    pub fn new(workers: usize, cores: u64) -> Self {
        let mut simulation = Self {
            now_ms: 1_000,
            workers: (0..workers).map(|index| FakeWorker::new(index, cores)).collect(),
            controllers: Vec::new(),
            version: 10,
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            roster: Roster::default(),
            summary: (RecordVersion(0), Summary::default()),
            holder: 0,
            store_is_up: true,
            write_delay_ms: None,
            delayed_orders: Vec::new(),
            late_polls: Vec::new(),
            late_polls_have_arrived: false,
            delayed_writes: Vec::new(),
            last_write: RecordVersion(0),
            acknowledged_tasks: StdHashSet::new(),
            ended: BTreeMap::new(),
            accepted_ms: BTreeMap::new(),
            first_started_ms: BTreeMap::new(),
            last_started_ms: HashMap::new(),
            starts: 0,
            questions: 0,
            needs_tickets: false,
            vacated: Vec::new(),
            duration_ms: None,
            remote_factor: 1,
            slowdown_beside: None,
            stalled_job: None,
            crashing: HashMap::new(),
            crashes: HashMap::new(),
            lost_runs: HashMap::new(),
            crash_count: 0,
            away_ms: 3_300,
            heartbeat_ms: None,
            latency_ms: 0,
            loses_resets: false,
            restarts_drop_orders: false,
            copies_allowed: false,
            accounts: Vec::new(),
            next_job: 1,
        };
        simulation.add_controller();
        simulation.run_ms(100);
        simulation
    }

    pub fn allow_copies(&mut self) {
        self.copies_allowed = true;
    }

    pub fn now(&self) -> ClockReading {
        ClockReading::new(self.now_ms, UNIX_ORIGIN_MS + self.now_ms)
    }

    /// Starts a controller that takes over the pool from the stored records.
    pub fn add_controller(&mut self) -> usize {
        self.version += 1;
        let index = self.controllers.len();
        let control = PoolControl {
            pool: pool(),
            term: Term(index as u64 + 1),
            since: RecordVersion(self.version),
            predecessor_until_ms: self.now_ms + 12_000,
        };
        let mut engine = PoolEngine::new(control, PoolTiming::new(10_000, 120_000));
        let policy = QueuePolicy {
            priority: 0,
            attempts_max: 2,
            stretch: 1.6,
            objective_ms: 600,
            advice: None,
        };
        engine.set_queues([(queue(), policy)]);
        engine.set_accounts(self.accounts.iter().cloned());
        engine.confirm_control(u64::MAX);
        engine.on_registry(registry(&self.workers));
        self.workers.iter_mut().for_each(FakeWorker::on_shown);
        let jobs = self.jobs.iter().map(|(&number, (version, record))| StoredJob {
            number,
            version: *version,
            record: record.clone(),
        });
        let recovered = Recovered {
            jobs: jobs.collect(),
            progress: self.progress.iter().map(|(&job, record)| (job, record.clone())).collect(),
            roster: self.roster.clone(),
            last_write: self.last_write,
        };
        engine.recover(self.now(), recovered);
        let (polls, replies) = (Vec::new(), Vec::new());
        self.controllers.push(Controller {
            engine,
            is_alive: true,
            is_paused: false,
            is_fenced: false,
            polls,
            replies,
        });
        self.holder = index;
        index
    }

    pub fn engine(&mut self, controller: usize) -> &mut PoolEngine {
        &mut self.controllers[controller].engine
    }

    /// Stops a controller without a handover.
    pub fn kill(&mut self, controller: usize) {
        self.controllers[controller].is_alive = false;
    }

    /// Pauses a controller, or lets it go on with what it knew.
    pub fn set_paused(&mut self, controller: usize, is_paused: bool) {
        self.controllers[controller].is_paused = is_paused;
    }

    pub fn is_fenced(&self, controller: usize) -> bool {
        self.controllers[controller].is_fenced
    }

    /// Cuts a worker off from all controllers, including later ones, and from the
    /// registry.
    pub fn partition(&mut self, index: usize, duration_ms: u64) {
        self.workers[index].partitioned_until_ms = self.now_ms + duration_ms;
    }

    /// Returns whether an order to a worker is in flight.
    pub fn has_delayed_order(&self, index: usize) -> bool {
        self.delayed_orders.iter().any(|late| late.at == index)
    }

    /// Returns whether a poll of a worker is to be carried out late.
    pub fn has_late_poll(&self, index: usize) -> bool {
        self.late_polls.iter().any(|late| late.at == index)
    }

    /// Passes client accounts with their weights to all engines.
    pub fn set_accounts(&mut self, accounts: &[(&str, f64)]) {
        let ids = accounts.iter().map(|&(account, weight)| (AccountId::new(account), weight));
        self.accounts = ids.collect();
        for controller in &mut self.controllers {
            controller.engine.set_accounts(self.accounts.iter().cloned());
        }
    }

    /// Submits a job that is charged to no account.
    pub fn submit(&mut self, spec: JobSpec) -> JobNumber {
        self.submit_for(None, spec)
    }

    /// Submits a job that is charged to an account.
    pub fn submit_as(&mut self, account: &str, spec: JobSpec) -> JobNumber {
        self.submit_for(Some(&AccountId::new(account)), spec)
    }

    /// Stores a job of a client account and passes its record to all live engines.
    pub fn submit_for(&mut self, account: Option<&AccountId>, spec: JobSpec) -> JobNumber {
        let number = JobNumber(self.next_job);
        self.next_job += 1;
        self.submit_to(number, queue(), account.cloned(), spec);
        number
    }

    /// Stores a job of a queue and an account under a number of the caller's
    /// choice, and passes its record to all live engines.
    pub fn submit_to(
        &mut self,
        number: JobNumber,
        queue: QueueId,
        account: Option<AccountId>,
        spec: JobSpec,
    ) {
        spec.check().expect("the job can run");
        let accepted_unix_ms = self.now().unix_ms;
        let record = JobRecord { queue, account, accepted_unix_ms, state: JobState::Live(spec) };
        self.accepted_ms.insert(number, self.now_ms);
        self.store_job(number, record);
    }

    /// Returns the processors of the pool that no run uses, in thousandths of a
    /// core.
    pub fn free_millicores(&self) -> u64 {
        let free = |worker: &FakeWorker| worker.entry.capacity.minus(&worker.used()).cpu_millicores;
        self.workers.iter().map(free).sum()
    }

    /// Returns the stored summary with its version.
    pub fn summary(&self) -> (RecordVersion, &Summary) {
        (self.summary.0, &self.summary.1)
    }

    /// Returns a job's record as stored.
    pub fn stored_job(&self, number: JobNumber) -> StoredJob {
        let (version, record) = self.jobs[&number].clone();
        StoredJob { number, version, record }
    }

    pub fn cancel(&mut self, job: JobNumber) {
        let (outcome, ended_unix_ms) = (JobOutcome::Cancelled, self.now().unix_ms);
        let record = JobRecord {
            account: None,
            queue: queue(),
            accepted_unix_ms: 0,
            state: JobState::Ended { outcome, ended_unix_ms },
        };
        self.store_job(job, record);
    }

    fn store_job(&mut self, number: JobNumber, record: JobRecord) {
        self.version += 1;
        let version = RecordVersion(self.version);
        self.jobs.insert(number, (version, record.clone()));
        let now = self.now();
        for controller in self.controllers.iter_mut().filter(|controller| controller.is_alive) {
            controller.engine.on_job(now, number, version, record.clone());
        }
    }

    /// Passes the registry to all live engines.
    pub fn register(&mut self) {
        for controller in self.controllers.iter_mut().filter(|controller| controller.is_alive) {
            controller.engine.on_registry(registry(&self.workers));
        }
        self.workers.iter_mut().for_each(FakeWorker::on_shown);
    }

    /// Restarts a worker at once under its name and without any runs; the registry
    /// shows its former incarnation until `heartbeat_ms` have passed.
    pub fn restart_unregistered(&mut self, index: usize, heartbeat_ms: u64) {
        self.crash_worker(index);
        let now_ms = self.now_ms;
        self.workers[index].restart(index, now_ms, now_ms + heartbeat_ms);
    }

    /// Registers the restarted workers whose heartbeat is due.
    fn advance_heartbeats(&mut self) {
        let now_ms = self.now_ms;
        let mut is_due = false;
        for worker in &mut self.workers {
            let is_connected = worker.back_ms.is_none() && now_ms >= worker.partitioned_until_ms;
            if is_connected && worker.shown_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                (worker.shown_ms, worker.former_entry) = (None, None);
                is_due = true;
            }
        }
        if is_due {
            self.register();
        }
    }

    /// Crashes a worker; it is back without any runs after
    /// [`away_ms`](Self::away_ms).
    pub fn crash_worker(&mut self, index: usize) {
        let back_ms = self.now_ms + self.away_ms;
        self.drop_delayed_orders(index);
        self.count_lost_runs(index);
        let worker = &mut self.workers[index];
        worker.back_ms = Some(back_ms);
        worker.ended.clear();
        let lost = std::mem::take(&mut worker.running);
        for task in lost.iter().filter(|(_, run)| run.is_gang).map(|(task, _)| task) {
            self.break_gang(*task);
        }
    }

    /// Counts the runs that end with a worker's incarnation.
    fn count_lost_runs(&mut self, index: usize) {
        let tasks = self.workers[index].running.keys();
        for &task in tasks.filter(|task| !self.ended.contains_key(&task.job)) {
            *self.lost_runs.entry(task).or_default() += 1;
        }
    }

    fn drop_delayed_orders(&mut self, index: usize) {
        if self.restarts_drop_orders {
            self.delayed_orders.retain(|late| late.at != index || !late.is_held_up);
        }
    }

    /// Ends the runs of the other members of a task's gang.
    fn break_gang(&mut self, task: TaskAddress) {
        for worker in &mut self.workers {
            let is_member = |other: &TaskAddress| {
                (other.job, other.occurrence, other.step) == (task.job, task.occurrence, task.step)
            };
            for member in worker.runs().into_iter().filter(is_member) {
                worker.end(member, EndKind::Broken);
            }
        }
    }

    /// Crashes the workers on which a crashing task has run long enough, and
    /// restarts those that are due.
    fn advance_crashes(&mut self) {
        let now_ms = self.now_ms;
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            let fatal: Vec<_> = (worker.running.iter())
                .filter(|(task, run)| {
                    self.crashing.get(*task).is_some_and(|&after| now_ms >= run.began_ms + after)
                })
                .map(|(&task, _)| task)
                .collect();
            if !fatal.is_empty() {
                self.crash_count += 1;

                for task in fatal {
                    self.crashes.entry(task).or_default().0 += 1;
                }
                self.crash_worker(index);
            } else if worker.back_ms.is_some_and(|back_ms| now_ms >= back_ms) {
                match self.heartbeat_ms {
                    Some(heartbeat_ms) => {
                        self.workers[index].restart(index, now_ms, now_ms + heartbeat_ms);
                    }
                    None => self.restart_worker(index),
                }
            }
        }
    }

    /// Restarts a worker after a crash, without any runs.
    pub fn restart_worker(&mut self, index: usize) {
        self.drop_delayed_orders(index);
        self.count_lost_runs(index);
        let cores = self.workers[index].entry.capacity.cpu_millicores / 1_000;
        let mut worker = FakeWorker::new(index, cores);
        worker.entry.born_unix_ms = UNIX_ORIGIN_MS + self.now_ms;
        self.workers[index] = worker;
        self.register();
    }

    /// Runs until the condition holds; panics if it does not within `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) {
        let end_ms = self.now_ms + limit_ms;
        while !condition(self) {
            assert!(self.now_ms < end_ms, "the condition does not hold after {limit_ms} ms");
            self.run_ms(STEP_MS);
        }
    }

    pub fn run_ms(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for worker in &mut self.workers {
                if let Some(slowdown) = self.slowdown_beside {
                    worker.interfere(slowdown);
                }
                worker.advance(self.now_ms);
            }
            self.advance_crashes();
            self.advance_heartbeats();
            let now_ms = self.now_ms;
            let due: Vec<_> =
                self.delayed_writes.extract_if(.., |(at_ms, ..)| now_ms >= *at_ms).collect();
            for (_, holder, write) in due {
                if holder == self.holder {
                    self.apply(write);
                }
            }
            let due: Vec<_> =
                self.delayed_orders.extract_if(.., |late| now_ms >= late.at_ms).collect();
            for DelayedOrder { at, term, target, order, reply_to, .. } in due {
                let outcome = if self.workers[at].is_away() {
                    OrderReply::Unknown.into()
                } else {
                    self.execute(at, term, target, &order)
                };
                if let Some(index) = reply_to {
                    let is_start = matches!(order, Order::Start(_));
                    self.controllers[index].replies.push((now_ms, target, is_start, outcome));
                }
            }
            self.deliver_polls();
            for index in 0..self.controllers.len() {
                self.run_controller(index);
            }
            self.check_invariants();
        }
    }

    fn run_controller(&mut self, index: usize) {
        let controller = &self.controllers[index];
        if !controller.is_alive || controller.is_paused || controller.is_fenced {
            return;
        }
        self.answer_polls(index);
        let now = self.now();
        let controller = &mut self.controllers[index];
        let due: Vec<_> =
            controller.replies.extract_if(.., |(at_ms, ..)| *at_ms <= now.monotonic_ms).collect();
        for (_, target, is_start, outcome) in due {
            if is_start {
                controller.engine.on_start_reply(now, target, outcome);
            } else {
                controller.engine.on_stop_reply(now, target, outcome);
            }
        }
        for action in controller.engine.step(now) {
            self.carry_out(index, action);
        }
    }

    fn answer_polls(&mut self, index: usize) {
        let now = self.now();
        let polls = std::mem::take(&mut self.controllers[index].polls);
        for poll in polls {
            if poll.request.is_some() {
                self.controllers[index].polls.push(poll);
                continue;
            }
            let now_ms = self.now_ms;
            let worker = &self.workers[poll.at];
            let is_reset = worker.entry.born_unix_ms != poll.born_unix_ms && !self.loses_resets;
            let is_silent = worker.is_partitioned(index, now_ms)
                || poll.is_late
                || worker.back_ms.is_some()
                || worker.entry.born_unix_ms != poll.born_unix_ms;
            let is_refused = worker.back_ms.is_some() && !(self.loses_resets && poll.is_received);
            let result = if is_refused || is_reset {
                Err(PollFailure::Unreachable)
            } else if is_silent {
                if self.now_ms < poll.until_ms + POLL_TIMEOUT_MS {
                    self.controllers[index].polls.push(poll);
                    continue;
                }
                Err(PollFailure::Unreachable)
            } else if poll.term < worker.term {
                Err(PollFailure::OldTerm)
            } else if worker.ended.is_empty() && self.now_ms < poll.until_ms {
                self.controllers[index].polls.push(poll);
                continue;
            } else {
                Ok(report(worker, self.now_ms, self.stalled_job))
            };
            self.controllers[index].engine.on_poll(now, poll.key, result);
        }
    }

    fn carry_out(&mut self, index: usize, action: PoolAction) {
        match action {
            PoolAction::Order { contact, target, order } => {
                self.order(index, &contact, target, order);
            }
            PoolAction::Poll { contact, request } => self.poll(index, &contact, request),
            PoolAction::Write(write) => self.write(index, write),
            PoolAction::Advise(question) => {
                // The policy permits every second worker.
                let allowed = question.workers.iter().step_by(2);
                let allowed = allowed.map(|worker| (worker.clone(), "ticket".into())).collect();
                let now = self.now();
                self.questions += 1;
                self.controllers[index].engine.on_advice(now, &question, Some(allowed));
            }
            PoolAction::Vacated(worker) => self.vacated.push(worker),
            PoolAction::Fenced => self.controllers[index].is_fenced = true,
        }
    }

    fn worker_of(&self, contact: &WorkerContact) -> usize {
        self.find_worker(contact).expect("the worker exists")
    }

    fn find_worker(&self, contact: &WorkerContact) -> Option<usize> {
        self.workers.iter().position(|worker| worker.entry.worker == contact.worker)
    }

    fn poll(&mut self, index: usize, contact: &WorkerContact, request: PollRequest) {
        let Some(at) = self.find_worker(contact) else {
            let now = self.now();
            let result = Err(PollFailure::Unreachable);
            return self.controllers[index].engine.on_poll(now, contact.key, result);
        };
        let arrives_ms = self.now_ms + self.latency_ms;
        let worker = &mut self.workers[at];
        let is_reached = !worker.is_away() && !worker.is_partitioned(index, self.now_ms);
        let delay_ms = worker.next_poll_delay_ms().filter(|_| is_reached);
        if let Some(delay_ms) = delay_ms {
            let (at_ms, term) = (self.now_ms + delay_ms, contact.term);
            self.late_polls.push(LatePoll { at_ms, from: index, at, term, request });
        }
        self.controllers[index].polls.push(Poll {
            at,
            key: contact.key,
            request: delay_ms.is_none().then_some(request),
            arrives_ms,
            born_unix_ms: self.workers[at].entry.born_unix_ms,
            is_received: delay_ms.is_some(),
            is_late: delay_ms.is_some(),
            until_ms: arrives_ms + request.wait_ms,
            term: contact.term,
        });
        self.deliver_polls();
    }

    /// Applies the polls that have arrived.
    fn deliver_polls(&mut self) {
        let now_ms = self.now_ms;
        let late: Vec<_> = self.late_polls.extract_if(.., |late| now_ms >= late.at_ms).collect();
        for LatePoll { from, at, term, request, .. } in late {
            let until_ms = self.workers[at].partitioned_until_ms;
            if self.late_polls_have_arrived {
                self.workers[at].partitioned_until_ms = 0;
            }
            self.deliver_poll(from, at, term, request);
            self.workers[at].partitioned_until_ms = until_ms;
        }
        for index in 0..self.controllers.len() {
            let mut polls = std::mem::take(&mut self.controllers[index].polls);
            for poll in polls.iter_mut().filter(|poll| now_ms >= poll.arrives_ms) {
                if let Some(request) = poll.request.take() {
                    poll.born_unix_ms = self.workers[poll.at].entry.born_unix_ms;
                    poll.is_received = !self.workers[poll.at].is_away();
                    self.deliver_poll(index, poll.at, poll.term, request);
                }
            }
            self.controllers[index].polls = polls;
        }
    }

    fn deliver_poll(&mut self, index: usize, at: usize, term: Term, request: PollRequest) {
        let worker = &mut self.workers[at];
        let is_reached = worker.back_ms.is_none() && !worker.is_partitioned(index, self.now_ms);
        if !is_reached || term < worker.term {
            return;
        }
        worker.term = term;
        worker.extend_lease(self.now_ms, request.lease_until_ms.unwrap_or(0));
        let is_acknowledged = |end: &EndedTask| end.number <= request.acknowledged;
        for end in worker.ended.iter().filter(|end| is_acknowledged(end)) {
            if end.how == EndKind::Done {
                self.acknowledged_tasks.insert(end.task);
            }
            let last_start_ms = self.last_started_ms.get(&end.task).copied().unwrap_or(0);
            if let Some(done_ms) = worker.done_ms.remove(&end.number) {
                assert!(
                    last_start_ms <= done_ms || self.copies_allowed,
                    "{} was started again after it was done",
                    end.task
                );
            }
        }
        worker.ended.retain(|end| !is_acknowledged(end));
    }

    fn order(&mut self, index: usize, contact: &WorkerContact, target: OrderTarget, order: Order) {
        let at = self.worker_of(contact);
        let is_partitioned = self.workers[at].is_partitioned(index, self.now_ms);
        let delay_ms = self.workers[at].next_delay_ms();
        let is_lost = is_partitioned || self.workers[at].loses_replies || delay_ms.is_some();
        let is_start = matches!(order, Order::Start(_));
        let outcome = if is_partitioned {
            OrderReply::Unknown.into()
        } else if self.workers[at].back_ms.is_some() {
            OrderReply::NotSent.into()
        } else if delay_ms.is_some() || self.latency_ms > 0 {
            let (at_ms, term) = (self.now_ms + delay_ms.unwrap_or(self.latency_ms), contact.term);
            let reply_to = (!is_lost).then_some(index);
            let is_held_up = delay_ms.is_some();
            self.delayed_orders.push(DelayedOrder {
                at_ms,
                at,
                term,
                target,
                order,
                is_held_up,
                reply_to,
            });
            if !is_lost {
                return;
            }
            OrderReply::Unknown.into()
        } else {
            self.execute(at, contact.term, target, &order)
        };
        let (at_ms, outcome) = if is_lost {
            (self.now_ms + ORDER_TIMEOUT_MS, OrderReply::Unknown.into())
        } else {
            (self.now_ms, outcome)
        };
        self.controllers[index].replies.push((at_ms, target, is_start, outcome));
    }

    /// Has a worker carry out an order; returns its reply with its clock.
    fn execute(
        &mut self,
        at: usize,
        term: Term,
        target: OrderTarget,
        order: &Order,
    ) -> OrderOutcome {
        let reply = self.reply(at, term, target, order);
        OrderOutcome { reply, clock_ms: Some(self.workers[at].clock_ms(self.now_ms)) }
    }

    fn reply(&mut self, at: usize, term: Term, target: OrderTarget, order: &Order) -> OrderReply {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[at];
        if term < worker.term {
            return OrderReply::Refused(Refusal::OldTerm);
        }
        worker.term = term;
        match order {
            Order::Start(start) => {
                if self.needs_tickets && start.ticket.is_empty() {
                    return OrderReply::Refused(Refusal::NoTicket);
                }
                if worker.clock_ms(now_ms) > start.valid_until_ms {
                    return OrderReply::Refused(Refusal::Late);
                }
                let highest = worker.highest.get(&target.task).copied().unwrap_or_default();
                if target.run <= highest {
                    worker.extend_lease(now_ms, start.valid_until_ms);
                    return OrderReply::Refused(Refusal::OldRun);
                }
                assert!(
                    self.copies_allowed || !self.acknowledged_tasks.contains(&target.task),
                    "{} starts after its end was acknowledged",
                    target.task
                );
                worker.extend_lease(now_ms, start.valid_until_ms);
                let spec = &start.job.steps[usize::from(target.task.step)];
                let declared_ms = u64::from(spec.estimate_ms);
                let lasts_ms =
                    self.duration_ms.map_or(declared_ms, |duration| duration(target.task));
                let is_remote =
                    spec.data_rack.as_ref().is_some_and(|rack| *rack != worker.entry.rack);
                let lasts_ms = if is_remote { lasts_ms * self.remote_factor } else { lasts_ms };
                let lasts_ms = if spec.is_lasting { 1 << 40 } else { lasts_ms * worker.slowdown };
                let allocation = spec.allocation();
                let (number, ends_ms) = (target.run, now_ms + lasts_ms);
                let is_gang = spec.is_gang;
                let (began_ms, stops_ms) = (now_ms, None);
                let (image, delay_ms) = (spec.image.clone(), 0.0);
                let run = FakeRun {
                    number,
                    allocation,
                    ends_ms,
                    began_ms,
                    is_gang,
                    image,
                    delay_ms,
                    stops_ms,
                };
                let earlier = worker.running.insert(target.task, run);
                assert!(earlier.is_none() || self.copies_allowed, "{} runs twice", target.task);
                let (used, shown) = (worker.used(), worker.shown_capacity);
                assert!(
                    used.fits_in(&shown),
                    "{} leaves {} at {used:?} of {shown:?}",
                    target.task,
                    worker.entry.worker
                );
                worker.highest.insert(target.task, target.run);
                self.starts += 1;
                self.first_started_ms.entry(target.task.job).or_insert(now_ms);
                self.last_started_ms.insert(target.task, now_ms);
                if let Some((crashes, starts)) = self.crashes.get_mut(&target.task)
                    && *crashes >= CRASHES_MAX
                {
                    *starts += 1;
                    assert!(
                        *starts <= STARTS_AFTER_CRASHES_MAX,
                        "{} is started again after {crashes} workers crashed under it",
                        target.task
                    );
                }
            }
            Order::Stop => {
                let highest = worker.highest.entry(target.task).or_default();
                *highest = target.run.max(*highest);
                let stop_ms = worker.stop_ms;
                let run = worker.running.get_mut(&target.task);
                if let Some(run) = run.filter(|run| run.number == target.run) {
                    run.stops_ms.get_or_insert(now_ms + stop_ms);
                    if stop_ms == 0 {
                        worker.end(target.task, EndKind::Stopped);
                    }
                }
            }
            Order::Pace(percent) => worker.paces.push((target.task, *percent)),
        }
        OrderReply::Accepted
    }

    fn write(&mut self, index: usize, write: PoolWrite) {
        let now = self.now();
        let result = if !self.store_is_up {
            WriteResult::Failed
        } else if let Some(delay_ms) = self.write_delay_ms {
            self.delayed_writes.push((self.now_ms + delay_ms, index, write));
            WriteResult::Failed
        } else if index != self.holder {
            WriteResult::OldTerm
        } else {
            self.apply(write)
        };
        self.controllers[index].engine.on_write(now, result);
    }

    fn apply(&mut self, write: PoolWrite) -> WriteResult {
        if write.previous != self.last_write {
            return WriteResult::Superseded(self.last_write);
        }
        let ended = write.ended.iter().map(|(job, version, _)| (*job, *version));
        let changed: Vec<_> = (ended.chain(write.expired.iter().copied()))
            .filter_map(|(job, expected)| match self.jobs.get(&job) {
                Some((version, _)) if *version == expected => None,
                Some((version, record)) => Some((job, *version, Some(record.clone()))),
                None => Some((job, RecordVersion(0), None)),
            })
            .collect();
        if !changed.is_empty() {
            return WriteResult::Conflict(changed);
        }
        self.version += 1;
        let version = RecordVersion(self.version);
        self.last_write = version;
        for (job, _, record) in write.ended {
            if let JobState::Ended { outcome, .. } = record.state {
                self.ended.insert(job, (self.now_ms, outcome));
            }
            self.jobs.insert(job, (version, record));
            self.progress.remove(&job);
        }
        self.progress.extend(write.progress);
        for (job, _) in write.expired {
            self.jobs.remove(&job);
        }
        if let Some(roster) = write.roster {
            self.roster = roster;
        }
        if let Some(summary) = write.summary {
            self.summary = (version, summary);
        }
        WriteResult::Written(version)
    }

    /// Checks the invariants that must always hold.
    fn check_invariants(&self) {
        let mut running: HashMap<TaskAddress, &FakeWorker> = HashMap::new();
        for worker in &self.workers {
            let fits = worker.used().fits_in(&worker.entry.capacity);
            assert!(fits || worker.has_shrunk, "{} is over", worker.entry.worker);
            for &task in worker.running.keys() {
                let other = running.insert(task, worker);
                if let Some(other) = other.filter(|_| !self.copies_allowed) {
                    let [first, second] =
                        [other, worker].map(|it| it.describe_run(task, self.now_ms));
                    panic!("{task} runs twice at {} ms: {first}; {second}", self.now_ms);
                }
            }
        }
    }

    /// Counts the runs of an account's jobs.
    pub fn running_of(&self, account: &str) -> usize {
        let account = AccountId::new(account);
        let tasks = self.workers.iter().flat_map(|worker| worker.running.keys());
        tasks.filter(|task| self.jobs[&task.job].1.account.as_ref() == Some(&account)).count()
    }

    pub fn is_running(&self, task: TaskAddress) -> bool {
        self.workers.iter().any(|worker| worker.running.contains_key(&task))
    }

    pub fn running(&self) -> usize {
        self.workers.iter().map(|worker| worker.running.len()).sum()
    }

    pub fn outcome(&self, job: JobNumber) -> Option<JobOutcome> {
        self.ended.get(&job).map(|&(_, outcome)| outcome)
    }

    /// Returns the highest number of incarnations that ended while they ran one and
    /// the same task of a job, before the job's end was stored.
    pub fn lost_runs_max(&self, job: JobNumber) -> u32 {
        let lost = self.lost_runs.iter().filter(|(task, _)| task.job == job);
        lost.map(|(_, &count)| count).max().unwrap_or(0)
    }

    pub fn has_progress(&self, job: JobNumber) -> bool {
        self.progress.get(&job).is_some_and(|progress| !progress.steps.is_empty())
    }

    pub fn is_cancelled(&self, job: JobNumber) -> bool {
        let state = &self.jobs[&job].1.state;
        matches!(state, JobState::Ended { outcome: JobOutcome::Cancelled, .. })
    }

    /// Returns the time from a job's acceptance to the first start of a task, in
    /// milliseconds.
    pub fn waited_ms(&self, job: JobNumber) -> Option<u64> {
        Some(self.first_started_ms.get(&job)? - self.accepted_ms[&job])
    }

    /// Returns the time from a job's acceptance to its stored end, in
    /// milliseconds.
    pub fn took_ms(&self, job: JobNumber) -> Option<u64> {
        Some(self.ended.get(&job)?.0 - self.accepted_ms[&job])
    }
}

/// Lists the entries that the registry shows.
fn registry(workers: &[FakeWorker]) -> impl Iterator<Item = &WorkerEntry> + Clone {
    workers.iter().filter(|worker| !worker.is_unlisted).map(FakeWorker::shown_entry)
}

/// Returns the address of a task of an unscheduled job.
pub fn task(job: JobNumber, step: u16, index: u32) -> TaskAddress {
    TaskAddress { job, occurrence: 0, step, index }
}
