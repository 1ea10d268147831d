//! Simulation in virtual time of a pool of workers, its store and the teams that
//! submit jobs.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{
    coordination::jobs::{
        JobEngine, JobsAction, JobsEvent, JobsReport, TaskEnd, UsageReport, WorkerCallId,
        WorkerCommand, WorkerReply,
    },
    protocol::store::StoreError,
    state::{
        clock::ClockReading,
        document::Urgency,
        ids::{HostId, JobId, PoolId, RequestId, Term},
    },
};

use super::{
    first_fit::FirstFit,
    setup::{JobBehaviour, JobsSetup},
};
use crate::bench::{key_values::KeyValues, virtual_time::EventQueue};

const START_UNIX_MS: u64 = 1_800_000_000_000;
/// Warm-up time in which the pool fills up; start times count after it, in
/// milliseconds.
const WARM_UP_MS: u64 = 90_000;
/// Interval and delay of usage reports, in milliseconds.
const USAGE_MS: u64 = 10_000;
/// Time after which a call to a worker is given up, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Scheduler under measurement.
#[derive(Debug)]
pub enum Scheduler {
    /// The library's engine.
    Engine(Box<JobEngine>),
    /// The baseline.
    FirstFit(FirstFit),
}

#[derive(Debug)]
enum Event {
    Submit(Urgency),
    Deliver(JobsEvent),
    Command { call: WorkerCallId, worker: usize, command: WorkerCommand },
    End { worker: usize, job: JobId, version: u64, end: TaskEnd },
    Usage { worker: usize },
    LeaseCheck { worker: usize },
    CutOff { worker: usize, until_ms: u64 },
    CancelWave,
    Tick { planned_ms: u64 },
}

#[derive(Debug)]
struct Task {
    attempt: u32,
    since_ms: u64,
    started_ms: u64,
    left_ms: f64,
    rate: f64,
    version: u64,
}

#[derive(Debug, Default)]
struct SimWorker {
    fails: bool,
    unreachable_until_ms: u64,
    lease_until_ms: u64,
    tasks: HashMap<JobId, Task>,
}

#[derive(Debug)]
struct SimJob {
    behaviour: JobBehaviour,
    urgency: Urgency,
    cores: f64,
    repeatable: bool,
    cancelled: bool,
    submitted_ms: u64,
    started: bool,
    left_ms: f64,
    runs: u32,
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct JobsCounts {
    /// Times from submission to the start on a worker, of urgent jobs after
    /// the warm-up, in milliseconds.
    pub urgent_start_ms: Vec<u64>,
    /// Urgent jobs that never started.
    pub urgent_not_started: u64,
    /// Core time of work that was lost, in milliseconds.
    pub lost_core_ms: f64,
    /// Core time of all work done, in milliseconds.
    pub done_core_ms: f64,
    /// Healthy workers that were put into quarantine.
    pub wrong_quarantines: u64,
    /// Failing workers that were put into quarantine.
    pub found_failing: u64,
    /// All failing workers.
    pub failing: u64,
    /// Tasks that failed because of their worker.
    pub failed_by_worker: u64,
    /// Tasks that were killed because their worker had no memory left.
    pub out_of_memory: u64,
    /// Non-repeatable jobs that ran more than once.
    pub repeated_wrongly: u64,
    /// Task starts.
    pub starts: u64,
    /// Jobs refused at submission.
    pub refused: u64,
    /// Jobs that succeeded.
    pub succeeded: u64,
    /// Events that the scheduler handled.
    pub events: u64,
    /// Time that these events took.
    pub time: Duration,
    /// Writes to the store.
    pub store_writes: u64,
}

/// Simulated pool with its scheduler.
#[derive(Debug)]
pub struct Pool {
    setup: JobsSetup,
    rng: ChaCha8Rng,
    queue: EventQueue<Event>,
    scheduler: Scheduler,
    store: KeyValues,
    workers: Vec<SimWorker>,
    hosts: HashMap<HostId, usize>,
    jobs: HashMap<JobId, SimJob>,
    live: Vec<JobId>,
    quarantined: HashSet<usize>,
    submitted: u64,
    tick_ms: Option<u64>,
    version: u64,
    counts: JobsCounts,
}

impl Pool {
    /// Creates the pool and schedules its load and faults.
    pub fn new(setup: JobsSetup, scheduler: Scheduler) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let count = setup.workers as usize;
        let mut workers: Vec<SimWorker> = (0..count).map(|_| SimWorker::default()).collect();
        let failing = (f64::from(setup.workers) * setup.failing_workers_share).ceil() as usize;
        while workers.iter().filter(|worker| worker.fails).count() < failing {
            workers[rng.random_range(0..count)].fails = true;
        }
        let listed = setup.listed_workers();
        let hosts = listed.iter().enumerate().map(|(n, w)| (w.host.clone(), n)).collect();
        let mut pool = Self {
            rng,
            queue: EventQueue::new(),
            scheduler,
            store: KeyValues::default(),
            workers,
            hosts,
            jobs: HashMap::new(),
            live: Vec::new(),
            quarantined: HashSet::new(),
            submitted: 0,
            tick_ms: None,
            version: 0,
            counts: JobsCounts { failing: failing as u64, ..JobsCounts::default() },
            setup,
        };
        pool.deliver(JobsEvent::ControlChanged { term: Some(Term(1)) });
        pool.deliver(JobsEvent::TeamsChanged { teams: pool.setup.quotas() });
        pool.deliver(JobsEvent::WorkersListed { workers: listed });
        pool.schedule_events();
        pool.counts.events = 0;
        pool.counts.time = Duration::ZERO;
        pool
    }

    fn schedule_events(&mut self) {
        for worker in 0..self.workers.len() {
            let at_ms = self.rng.random_range(0..USAGE_MS);
            self.queue.push_at(at_ms, Event::Usage { worker });
            if self.rng.random_bool(self.setup.cut_off_share) {
                let at_ms = self.rng.random_range(WARM_UP_MS..self.setup.duration_ms);
                let until_ms = at_ms + self.rng.random_range(5_000..=90_000);
                self.queue.push_at(at_ms, Event::CutOff { worker, until_ms });
            }
        }
        self.queue.push_at(5_000, Event::Submit(Urgency::Bulk));
        self.queue.push_at(5_000, Event::Submit(Urgency::Urgent));
        self.queue.push_at(60_000, Event::CancelWave);
    }

    /// Runs the simulation to its end and returns the results.
    pub fn run(mut self) -> JobsCounts {
        while let Some(event) = self.queue.pop() {
            if self.queue.now_ms() >= self.setup.duration_ms {
                break;
            }
            self.handle(event);
        }
        let last_ms = self.setup.duration_ms - 5_000;
        let waiting = self.jobs.values().filter(|job| {
            job.urgency == Urgency::Urgent
                && !job.started
                && (WARM_UP_MS..last_ms).contains(&job.submitted_ms)
        });
        self.counts.urgent_not_started = waiting.count() as u64;
        self.counts.store_writes = self.store.writes;
        self.counts
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(urgency) => self.submit(urgency),
            Event::Deliver(event) => self.deliver(event),
            Event::Command { call, worker, command } => self.execute_command(call, worker, command),
            Event::End { worker, job, version, end } => self.end_task(worker, &job, version, end),
            Event::Usage { worker } => self.report_usage(worker),
            Event::LeaseCheck { worker } => self.check_lease(worker),
            Event::CutOff { worker, until_ms } => {
                self.workers[worker].unreachable_until_ms = until_ms
            }
            Event::CancelWave => self.cancel_wave(),
            Event::Tick { planned_ms } if self.tick_ms == Some(planned_ms) => {
                self.tick_ms = None;
                self.deliver(JobsEvent::Tick);
            }
            Event::Tick { .. } => {}
        }
    }

    fn deliver(&mut self, event: JobsEvent) {
        let now_ms = self.queue.now_ms();
        let now = ClockReading::new(now_ms, START_UNIX_MS + now_ms);
        let mut actions = Vec::new();
        let before = Instant::now();
        let next_ms = match &mut self.scheduler {
            Scheduler::Engine(engine) => {
                engine.handle(now, event, &mut actions);
                engine.next_tick_ms()
            }
            Scheduler::FirstFit(first_fit) => {
                first_fit.handle(event, &mut actions);
                None
            }
        };
        self.counts.time += before.elapsed();
        self.counts.events += 1;
        if let Some(at_ms) = next_ms.map(|at_ms| at_ms.max(now_ms + 1))
            && self.tick_ms.is_none_or(|planned_ms| at_ms < planned_ms)
        {
            self.tick_ms = Some(at_ms);
            self.queue.push_at(at_ms, Event::Tick { planned_ms: at_ms });
        }
        for action in actions {
            self.execute_action(action);
        }
    }

    fn execute_action(&mut self, action: JobsAction) {
        match action {
            JobsAction::Accepted { .. } | JobsAction::Ended { .. } => {}
            JobsAction::Refused { request, .. } => {
                self.counts.refused += 1;
                self.jobs.remove(&JobId::new(format!("j{}", request.0)));
            }
            JobsAction::Worker { call, host, command } => {
                let worker = self.hosts[&host];
                let delay_ms = self.rng.random_range(1..=5);
                self.queue.push_in(delay_ms, Event::Command { call, worker, command });
            }
            JobsAction::Store { call, request } => {
                let lost = self.rng.random_bool(0.005);
                let reply = self.store.apply(&request);
                let result = if lost { Err(StoreError::Unknown) } else { Ok(reply) };
                let delay_ms = if lost { 500 } else { self.rng.random_range(2..=6) };
                self.queue
                    .push_in(delay_ms, Event::Deliver(JobsEvent::StoreReplied { call, result }));
            }
            JobsAction::Report { report: JobsReport::Quarantined { host, .. } } => {
                let worker = self.hosts[&host];
                if self.quarantined.insert(worker) {
                    let fails = self.workers[worker].fails;
                    self.counts.found_failing += u64::from(fails);
                    self.counts.wrong_quarantines += u64::from(!fails);
                }
            }
            JobsAction::Report { .. } => {}
        }
    }

    fn submit(&mut self, urgency: Urgency) {
        let now_ms = self.queue.now_ms();
        let urgent = urgency == Urgency::Urgent;
        let warming_up = now_ms < WARM_UP_MS;
        let flood = urgent && now_ms % 60_000 < 20_000 && !warming_up;
        let rate =
            if urgent { self.setup.urgent_per_second() } else { self.setup.jobs_per_second() };
        let factor = if flood {
            5.0
        } else if !urgent && warming_up {
            2.5
        } else {
            1.1
        };
        let mean_ms = 1_000.0 / (rate * factor);
        let delay_ms = (-mean_ms * (1.0 - self.rng.random::<f64>()).ln()).round() as u64;
        self.queue.push_in(delay_ms, Event::Submit(urgency));
        let normal = !urgent && self.rng.random_bool(0.4);
        let urgency = if normal { Urgency::Normal } else { urgency };
        self.submitted += 1;
        let (spec, behaviour) = self.setup.random_job(&mut self.rng, self.submitted, urgency);
        let job = SimJob {
            left_ms: behaviour.run_ms as f64,
            cores: spec.declared.cpu_millicores as f64 / 1_000.0,
            behaviour,
            urgency,
            repeatable: spec.repeatable,
            cancelled: false,
            submitted_ms: now_ms,
            started: false,
            runs: 0,
        };
        self.jobs.insert(spec.job.clone(), job);
        self.live.push(spec.job.clone());
        self.deliver(JobsEvent::Submitted { request: RequestId(self.submitted), spec });
    }

    /// Cancels up to 2% of all jobs at once, in whatever state they are, except
    /// urgent ones.
    fn cancel_wave(&mut self) {
        self.queue.push_in(60_000, Event::CancelWave);
        let count = self.live.len() / 50;
        let mut jobs = Vec::with_capacity(count);
        for _ in 0..count {
            let number = self.rng.random_range(0..self.live.len());
            let job = self.live.swap_remove(number);
            if let Some(state) = self.jobs.get_mut(&job)
                && state.urgency != Urgency::Urgent
            {
                state.cancelled = true;
                jobs.push(job);
            }
        }
        self.deliver(JobsEvent::Cancelled { jobs });
    }

    fn reply(&mut self, call: WorkerCallId, reply: WorkerReply) {
        let delay_ms = if reply == WorkerReply::Unknown {
            CALL_TIMEOUT_MS
        } else {
            self.rng.random_range(1..=5)
        };
        self.queue.push_in(delay_ms, Event::Deliver(JobsEvent::WorkerReplied { call, reply }));
    }

    fn execute_command(&mut self, call: WorkerCallId, worker: usize, command: WorkerCommand) {
        let now_ms = self.queue.now_ms();
        if now_ms < self.workers[worker].unreachable_until_ms {
            return self.reply(call, WorkerReply::Unknown);
        }
        match command {
            WorkerCommand::Start { job, attempt, lease_ms, .. } => {
                self.extend_lease(worker, lease_ms);
                self.start(worker, job, attempt);
            }
            WorkerCommand::RenewLease { lease_ms } => self.extend_lease(worker, lease_ms),
            WorkerCommand::Throttle { job, cpu_millicores, .. } => {
                self.throttle(worker, &job, cpu_millicores);
            }
            WorkerCommand::Checkpoint { job, attempt } => {
                self.end_after_delay(worker, job, attempt, TaskEnd::Checkpointed, 50..=700);
            }
            WorkerCommand::Stop { job, attempt } => {
                self.end_after_delay(worker, job, attempt, TaskEnd::Stopped, 20..=150);
            }
        }
        self.reply(call, WorkerReply::Done);
    }

    fn extend_lease(&mut self, worker: usize, lease_ms: u64) {
        let until_ms = self.queue.now_ms().saturating_add(lease_ms);
        self.workers[worker].lease_until_ms = until_ms;
        if until_ms < u64::MAX {
            self.queue.push_at(until_ms, Event::LeaseCheck { worker });
        }
    }

    /// Ends all tasks of a worker whose lease has expired, as the worker itself does.
    fn check_lease(&mut self, worker: usize) {
        if self.queue.now_ms() < self.workers[worker].lease_until_ms {
            return;
        }
        let mut tasks: Vec<JobId> = self.workers[worker].tasks.keys().cloned().collect();
        tasks.sort();
        for job in tasks {
            let task = self.workers[worker].tasks.remove(&job);
            self.count_work(&job, task.as_ref(), true);
        }
    }

    fn start(&mut self, worker: usize, name: JobId, attempt: u32) {
        let now_ms = self.queue.now_ms();
        let Some(job) = self.jobs.get_mut(&name) else { return };
        if self.workers[worker].tasks.contains_key(&name) {
            return; // The command is idempotent.
        }
        self.counts.starts += 1;
        // A start on a worker that fails all tasks does not count.
        if !self.workers[worker].fails
            && !std::mem::replace(&mut job.started, true)
            && job.urgency == Urgency::Urgent
            && job.submitted_ms >= WARM_UP_MS
        {
            self.counts.urgent_start_ms.push(now_ms - job.submitted_ms);
        }
        job.runs += 1;
        if !job.repeatable && job.runs > 1 && job.left_ms >= job.behaviour.run_ms as f64 {
            self.counts.repeated_wrongly += 1;
        }
        let fails = self.workers[worker].fails || job.behaviour.fails;
        self.counts.failed_by_worker += u64::from(self.workers[worker].fails);
        let (left_ms, end) =
            if fails { (200.0, TaskEnd::Failed) } else { (job.left_ms, TaskEnd::Succeeded) };
        // A worker without enough memory for all its tasks kills the newest one.
        let used_by =
            |name: &JobId| self.jobs.get(name).map_or(0, |job| job.behaviour.used.memory_bytes);
        let memory: u64 = self.workers[worker].tasks.keys().chain([&name]).map(used_by).sum();
        let out_of_memory = memory > self.setup.worker_size(worker as u32).memory_bytes;
        self.counts.out_of_memory += u64::from(out_of_memory && !fails);
        let (left_ms, end) =
            if out_of_memory && !fails { (5_000.0, TaskEnd::OutOfMemory) } else { (left_ms, end) };
        self.version += 1;
        let version = self.version;
        let (since_ms, started_ms, rate) = (now_ms, now_ms, 1.0);
        let task = Task { attempt, since_ms, started_ms, left_ms, rate, version };
        self.workers[worker].tasks.insert(name.clone(), task);
        self.queue.push_in(left_ms as u64, Event::End { worker, job: name, version, end });
    }

    fn throttle(&mut self, worker: usize, name: &JobId, cpu_millicores: u64) {
        let now_ms = self.queue.now_ms();
        let (Some(task), Some(job)) =
            (self.workers[worker].tasks.get_mut(name), self.jobs.get(name))
        else {
            return;
        };
        task.left_ms -= (now_ms - task.since_ms) as f64 * task.rate;
        task.since_ms = now_ms;
        task.rate = (cpu_millicores as f64 / job.behaviour.used.cpu_millicores.max(1) as f64)
            .clamp(0.05, 1.0);
        self.version += 1;
        task.version = self.version;
        let end = if job.behaviour.fails || self.workers[worker].fails {
            TaskEnd::Failed
        } else {
            TaskEnd::Succeeded
        };
        let version = self.version;
        let task = &self.workers[worker].tasks[name];
        let delay_ms = (task.left_ms.max(0.0) / task.rate) as u64;
        self.queue.push_in(delay_ms, Event::End { worker, job: name.clone(), version, end });
    }

    fn end_after_delay(
        &mut self,
        worker: usize,
        job: JobId,
        attempt: u32,
        end: TaskEnd,
        delays_ms: std::ops::RangeInclusive<u64>,
    ) {
        let Some(task) = self.workers[worker].tasks.get(&job) else { return };
        if task.attempt == attempt {
            let delay_ms = self.rng.random_range(delays_ms);
            let version = task.version;
            self.queue.push_in(delay_ms, Event::End { worker, job, version, end });
        }
    }

    fn end_task(&mut self, worker: usize, name: &JobId, version: u64, end: TaskEnd) {
        let now_ms = self.queue.now_ms();
        let tasks = &mut self.workers[worker].tasks;
        if tasks.get(name).is_none_or(|task| task.version != version) {
            return;
        }
        let Some(task) = tasks.remove(name) else { return };
        let host = HostId::new(format!("w{worker}"));
        let lost = matches!(end, TaskEnd::Stopped | TaskEnd::Failed | TaskEnd::OutOfMemory);
        self.count_work(name, Some(&task), lost);
        self.counts.succeeded += u64::from(end == TaskEnd::Succeeded);
        if end == TaskEnd::Checkpointed
            && let Some(job) = self.jobs.get_mut(name)
        {
            let done_ms = (now_ms - task.since_ms) as f64 * task.rate;
            job.left_ms = (task.left_ms - done_ms).max(1.0);
        }
        let event = JobsEvent::TaskEnded { host, job: name.clone(), attempt: task.attempt, end };
        let seen_ms = now_ms.max(self.workers[worker].unreachable_until_ms) + 2;
        self.queue.push_at(seen_ms, Event::Deliver(event));
    }

    fn count_work(&mut self, name: &JobId, task: Option<&Task>, lost: bool) {
        let (Some(task), Some(job)) = (task, self.jobs.get(name)) else { return };
        let ran_ms = (self.queue.now_ms() - task.started_ms) as f64;
        self.counts.done_core_ms += ran_ms * job.cores;
        self.counts.lost_core_ms += if lost && !job.cancelled { ran_ms * job.cores } else { 0.0 };
    }

    fn report_usage(&mut self, worker: usize) {
        self.queue.push_in(USAGE_MS, Event::Usage { worker });
        let now_ms = self.queue.now_ms();
        if now_ms < self.workers[worker].unreachable_until_ms
            || self.workers[worker].tasks.is_empty()
        {
            return;
        }
        let report = |(name, task): (&JobId, &Task)| {
            let used = self.jobs.get(name)?.behaviour.used;
            let ran_ms = now_ms - task.started_ms;
            Some(UsageReport { job: name.clone(), attempt: task.attempt, used, ran_ms })
        };
        let mut reports: Vec<_> = self.workers[worker].tasks.iter().filter_map(report).collect();
        reports.sort_by(|a, b| a.job.cmp(&b.job));
        let host = HostId::new(format!("w{worker}"));
        self.queue.push_in(USAGE_MS, Event::Deliver(JobsEvent::UsageReported { host, reports }));
    }
}

/// Creates the job engine of the library.
pub fn engine() -> Scheduler {
    Scheduler::Engine(Box::new(JobEngine::new(PoolId::new("pool"))))
}
