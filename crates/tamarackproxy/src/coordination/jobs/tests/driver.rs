//! Test driver: a job engine with an in-memory store and workers that reply
//! immediately.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
};

use bytes::Bytes;

use crate::{
    coordination::jobs::{
        JobEngine, JobOutcome, JobRefusal, JobSpec, JobsAction, JobsEvent, JobsReport,
        ListedWorker, Resources, TaskEnd, TeamQuota, UsageReport, WorkerCommand, WorkerReply,
    },
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        document::Urgency,
        ids::{
            CallId, DataCentreId, HostId, JobId, PoolId, RackId, RecordVersion, RequestId, TeamId,
            Term,
        },
    },
};

pub const START_UNIX_MS: u64 = 1_800_000_000_000;
pub const GIB: u64 = 1 << 30;

/// In-memory store, shared by the controllers of one test.
#[derive(Debug, Default)]
pub struct Store {
    keys: BTreeMap<Box<str>, (Bytes, RecordVersion)>,
    version: u64,
    pub writes: u64,
}

impl Store {
    fn get(&self, key: &str) -> Option<KeyValue> {
        let (value, version) = self.keys.get(key)?;
        Some(KeyValue { key: key.into(), value: value.clone(), version: *version })
    }

    fn apply(&mut self, request: &StoreRequest) -> StoreReply {
        let (key, expected, value) = match request {
            StoreRequest::Get { key } => return StoreReply::Value(self.get(key)),
            StoreRequest::List { .. } => {
                let items = self.keys.keys().filter_map(|key| self.get(key)).collect();
                return StoreReply::Values { items, more: false };
            }
            StoreRequest::CompareAndSwap { key, expected, value, .. } => {
                (key, expected, Some(value))
            }
            StoreRequest::CompareAndDelete { key, expected } => (key, expected, None),
            _ => return StoreReply::Revoked,
        };
        let present = self.get(key);
        if present.as_ref().map_or(RecordVersion(0), |item| item.version) != *expected {
            return StoreReply::Conflict(present);
        }
        self.version += 1;
        self.writes += 1;
        match value {
            Some(value) => {
                let stored = (value.clone(), RecordVersion(self.version));
                self.keys.insert(key.clone(), stored);
            }
            None => {
                self.keys.remove(key);
            }
        }
        StoreReply::Swapped(RecordVersion(self.version))
    }
}

#[derive(Debug)]
pub struct Driver {
    pub engine: JobEngine,
    pub store: Rc<RefCell<Store>>,
    pub now_ms: u64,
    /// Writes take effect, but their replies are lost.
    pub lose_replies: bool,
    /// Writes and listings are held back until [`Driver::release_held`].
    pub hold_writes: bool,
    pub store_down: bool,
    pub held: Vec<(CallId, StoreRequest)>,
    /// Workers that do not reply.
    pub silent: BTreeSet<HostId>,
    pub commands: Vec<(HostId, WorkerCommand)>,
    pub accepted: Vec<RequestId>,
    pub refused: Vec<JobRefusal>,
    pub ended: Vec<(JobId, JobOutcome)>,
    pub reports: Vec<JobsReport>,
    requests: u64,
}

pub fn size(cores: u64, gib: u64) -> Resources {
    Resources::new(cores * 1_000, gib * GIB, 0)
}

pub fn host(number: u32) -> HostId {
    HostId::new(format!("w{number}"))
}

/// Returns a repeatable job of team `a`.
pub fn job(name: &str, cores: u64) -> JobSpec {
    JobSpec {
        job: JobId::new(name),
        team: TeamId::new("a"),
        application: "app".into(),
        declared: size(cores, cores),
        expected_run_ms: 60_000,
        urgency: Urgency::Normal,
        repeatable: true,
        checkpoints: false,
        due_unix_ms: None,
    }
}

pub fn workers(count: u32) -> Vec<ListedWorker> {
    let listed = |number: u32| ListedWorker {
        host: host(number),
        data_centre: DataCentreId::new(format!("dc{}", number % 2)),
        rack: RackId::new(format!("r{}", number / 4)),
        total: size(10, 10),
        accepts_tasks: true,
    };
    (0..count).map(listed).collect()
}

impl Driver {
    /// Creates a controller of `count` workers with 10 cores and 10 GiB each, and
    /// of the teams `a` and `b` with quotas of 40 cores and 40 GiB.
    pub fn new(count: u32) -> Self {
        Self::with_store(count, 1, Rc::default())
    }

    pub fn with_store(count: u32, term: u64, store: Rc<RefCell<Store>>) -> Self {
        let mut driver = Self {
            engine: JobEngine::new(PoolId::new("pool")),
            store,
            now_ms: 1_000,
            lose_replies: false,
            hold_writes: false,
            store_down: false,
            held: Vec::new(),
            silent: BTreeSet::new(),
            commands: Vec::new(),
            accepted: Vec::new(),
            refused: Vec::new(),
            ended: Vec::new(),
            reports: Vec::new(),
            requests: 0,
        };
        let quota = |team: &str| TeamQuota { team: TeamId::new(team), quota: size(40, 40) };
        driver.handle(JobsEvent::WorkersListed { workers: workers(count) });
        driver.handle(JobsEvent::TeamsChanged { teams: vec![quota("a"), quota("b")] });
        driver.handle(JobsEvent::ControlChanged { term: Some(Term(term)) });
        driver.advance(100);
        driver
    }

    pub fn submit(&mut self, spec: JobSpec) {
        self.requests += 1;
        self.handle(JobsEvent::Submitted { request: RequestId(self.requests), spec });
    }

    /// Submits a job and advances time until it can start; returns its worker.
    pub fn start(&mut self, spec: JobSpec) -> Option<HostId> {
        let name = spec.job.clone();
        self.submit(spec);
        self.advance(100);
        self.worker_of(&name)
    }

    /// Returns the worker of a job's last start.
    pub fn worker_of(&self, name: &JobId) -> Option<HostId> {
        self.starts(name).last().map(|(host, _)| host.clone())
    }

    pub fn starts(&self, name: &JobId) -> Vec<(HostId, u32)> {
        let start = |(host, command): &(HostId, WorkerCommand)| match command {
            WorkerCommand::Start { job, attempt, .. } if job == name => {
                Some((host.clone(), *attempt))
            }
            _ => None,
        };
        self.commands.iter().filter_map(start).collect()
    }

    pub fn end(&mut self, name: &str, end: TaskEnd) {
        let job = JobId::new(name);
        let (host, attempt) = self.starts(&job).pop().expect("the job was started");
        self.handle(JobsEvent::TaskEnded { host, job, attempt, end });
        self.advance(10);
    }

    pub fn report(&mut self, name: &str, used: Resources, ran_ms: u64) {
        let job = JobId::new(name);
        let (host, attempt) = self.starts(&job).pop().expect("the job was started");
        let reports = vec![UsageReport { job, attempt, used, ran_ms }];
        self.handle(JobsEvent::UsageReported { host, reports });
    }

    pub fn advance(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms = (self.now_ms + 5).min(until_ms);
            if self.engine.next_tick_ms().is_some_and(|at_ms| at_ms <= self.now_ms) {
                self.handle(JobsEvent::Tick);
            }
        }
    }

    pub fn handle(&mut self, event: JobsEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            let now = ClockReading::new(self.now_ms, START_UNIX_MS + self.now_ms);
            self.engine.handle(now, event, &mut actions);
            for action in actions {
                self.carry_out(action, &mut events);
            }
        }
    }

    fn carry_out(&mut self, action: JobsAction, events: &mut VecDeque<JobsEvent>) {
        match action {
            JobsAction::Accepted { request } => self.accepted.push(request),
            JobsAction::Refused { refusal, .. } => self.refused.push(refusal),
            JobsAction::Ended { job, outcome } => self.ended.push((job, outcome)),
            JobsAction::Report { report } => self.reports.push(report),
            JobsAction::Worker { call, host, command } => {
                let silent = self.silent.contains(&host);
                let reply = if silent { WorkerReply::Unknown } else { WorkerReply::Done };
                self.commands.push((host, command));
                events.push_back(JobsEvent::WorkerReplied { call, reply });
            }
            JobsAction::Store { call, request } => {
                let writes = !matches!(request, StoreRequest::Get { .. });
                if self.hold_writes && writes {
                    self.held.push((call, request));
                    return;
                }
                let result = if self.store_down {
                    Err(StoreError::NotSent)
                } else {
                    let reply = self.store.borrow_mut().apply(&request);
                    let lost = self.lose_replies && writes;
                    if lost { Err(StoreError::Unknown) } else { Ok(reply) }
                };
                events.push_back(JobsEvent::StoreReplied { call, result });
            }
        }
    }

    pub fn release_held(&mut self) {
        self.hold_writes = false;
        for (call, request) in std::mem::take(&mut self.held) {
            let reply = self.store.borrow_mut().apply(&request);
            self.handle(JobsEvent::StoreReplied { call, result: Ok(reply) });
        }
    }

    pub fn quarantined(&self) -> Vec<HostId> {
        let host = |report: &JobsReport| match report {
            JobsReport::Quarantined { host, .. } => Some(host.clone()),
            _ => None,
        };
        self.reports.iter().filter_map(host).collect()
    }
}
