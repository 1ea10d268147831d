//! An engine that is driven directly, event by event.

use tamarackproxy::{
    coordination::jobs::Resources,
    state::{
        clock::ClockReading,
        ids::{DataCentreId, HostId, QueueId, RecordVersion, Term, WorkerId},
    },
};

use crate::coordination::pool::{
    AdviceQuestion, Order, OrderReply, OrderTarget, PollFailure, PollReport, PollRequest,
    PoolAction, PoolControl, PoolEngine, PoolTiming, PoolWrite, QueuePolicy, Recovered,
    RunningTask, WorkerContact, WorkerKey, WriteResult,
};
use crate::replay::pool::{pool, queue};
use crate::state::{
    JobNumber, JobRecord, JobSpec, JobState, Registration, TaskAddress, WorkerEntry,
};

pub(super) const UNIX_ORIGIN_MS: u64 = 1_700_000_000_000;
pub(super) const BORN: u64 = UNIX_ORIGIN_MS;
pub(super) const JOB: JobNumber = JobNumber(1);

pub(super) fn entry(index: u8, born_unix_ms: u64) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId::new(format!("w{index}")),
        host: HostId::new(format!("h{index}")),
        pool: pool(),
        address: format!("10.0.0.{}:1", index + 1).parse().expect("an address"),
        data_centre: DataCentreId::new("d"),
        registration: Registration::Ready,
        born_unix_ms,
        capacity: Resources::new(8_000, 64 << 30, 0),
        labels: vec!["a".into(), "r0".into()],
        rack: "r0".into(),
    }
}

/// An engine with all actions that it has requested.
pub(super) struct Driver {
    pub(super) engine: PoolEngine,
    pub(super) now_ms: u64,
    pub(super) version: u64,
    pub(super) polls: Vec<(WorkerContact, PollRequest)>,
    pub(super) starts: Vec<(WorkerContact, OrderTarget)>,
    pub(super) stops: Vec<OrderTarget>,
    pub(super) questions: Vec<AdviceQuestion>,
    /// Writes stay without a result.
    pub(super) holds_writes: bool,
    pub(super) held: Vec<PoolWrite>,
}

impl Driver {
    pub(super) fn new(entries: &[WorkerEntry]) -> Self {
        Self::recovered(entries, Recovered::default())
    }

    /// Returns an engine that has recovered the state of a previous controller.
    pub(super) fn recovered(entries: &[WorkerEntry], recovered: Recovered) -> Self {
        let control = PoolControl {
            pool: pool(),
            term: Term(1),
            since: RecordVersion(1),
            predecessor_until_ms: 12_000,
        };
        let mut engine = PoolEngine::new(control, PoolTiming::new(10_000, 120_000));
        engine.set_queues([(queue(), QueuePolicy::default())]);
        engine.confirm_control(u64::MAX);
        let mut driver = Self {
            engine,
            now_ms: 1_000,
            version: 10,
            polls: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            questions: Vec::new(),
            holds_writes: false,
            held: Vec::new(),
        };
        driver.engine.on_registry(entries.iter());
        driver.engine.recover(driver.now(), recovered);
        driver.step();
        driver
    }

    pub(super) fn now(&self) -> ClockReading {
        ClockReading::new(self.now_ms, UNIX_ORIGIN_MS + self.now_ms)
    }

    pub(super) fn step(&mut self) {
        let now = self.now();
        for action in self.engine.step(now) {
            match action {
                PoolAction::Order { contact, target, order: Order::Start(_) } => {
                    self.starts.push((contact, target));
                }
                PoolAction::Order { target, order: Order::Stop, .. } => self.stops.push(target),
                PoolAction::Poll { contact, request } => self.polls.push((contact, request)),
                PoolAction::Write(write) => {
                    self.held.push(write);
                    if !self.holds_writes {
                        self.written();
                    }
                }
                PoolAction::Advise(question) => self.questions.push(question),
                _ => {}
            }
        }
    }

    /// Reports the write in flight as successful.
    pub(super) fn written(&mut self) {
        self.version += 1;
        let now = self.now();
        if self.held.pop().is_some() {
            self.engine.on_write(now, WriteResult::Written(RecordVersion(self.version)));
        }
    }

    pub(super) fn run_ms(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / 10 {
            self.now_ms += 10;
            self.step();
        }
    }

    pub(super) fn submit(&mut self, spec: JobSpec) {
        self.submit_to(&queue(), spec);
    }

    /// Submits a job to a queue.
    pub(super) fn submit_to(&mut self, queue: &QueueId, spec: JobSpec) {
        let record = JobRecord {
            queue: queue.clone(),
            account: None,
            accepted_unix_ms: self.now().unix_ms,
            state: JobState::Live(spec),
        };
        self.version += 1;
        self.engine.on_job(self.now(), JOB, RecordVersion(self.version), record);
    }

    pub(super) fn register(&mut self, entries: &[WorkerEntry]) {
        self.engine.on_registry(entries.iter());
        self.step();
    }

    /// Answers the poll of a worker that is in flight, if there is one.
    pub(super) fn answer(&mut self, name: &str, result: Result<PollReport, PollFailure>) {
        let Some(at) = self.polls.iter().position(|(to, _)| to.worker.as_str() == name) else {
            return;
        };
        let (contact, _) = self.polls.remove(at);
        let now = self.now();
        self.engine.on_poll(now, contact.key, result);
        self.step();
    }

    pub(super) fn accept_starts(&mut self) {
        for (_, target) in std::mem::take(&mut self.starts) {
            self.engine.on_start_reply(self.now(), target, OrderReply::Accepted);
        }
    }

    pub(super) fn key(&self, name: &str) -> Option<WorkerKey> {
        self.engine.workers.find(&WorkerId::new(name))
    }
}

/// A report whose clock began at the worker's start.
pub(super) fn report(born_unix_ms: u64, clock_ms: u64, running: Vec<RunningTask>) -> PollReport {
    PollReport { born_unix_ms, clock_ms, running, ended: Vec::new() }
}

pub(super) fn running(address: TaskAddress, target: &OrderTarget) -> RunningTask {
    RunningTask { task: address, run: target.run, checkpoint: "".into(), percent: 5, gauge: 0 }
}
