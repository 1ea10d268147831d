//! Job engines: one for each pool whose jobs this entry host controls.
//!
//! One gateway at a time controls the jobs of a pool.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Effect, Engine, NodeCore};
use crate::{
    coordination::{
        configuration::OperatorCall,
        control::ControlLease,
        jobs::{
            JobEngine, JobsAction, JobsEvent, ListedWorker, Resources, TaskEnd, TeamQuota,
            UsageReport, WorkerCommand,
        },
    },
    protocol::{
        jobs::{JobRequest, JobsMessage},
        peer::PeerMessage,
        platform::{ListedHost, TaskReport, TaskState},
        store::{StoreError, StoreReply, StoreRequest},
    },
    state::{
        document::Document,
        ids::{CallId, EntryId, HostId, JobId, PoolId, RequestId},
    },
};

/// Interval at which the tasks of busy workers are read, in milliseconds.
const TASK_POLL_INTERVAL_MS: u64 = 1_000;
/// Timeout of an operator's request, in milliseconds.
const OPERATOR_TIMEOUT_MS: u64 = 5_000;
/// Times that an operator's request may be passed on: to the gateway of the
/// data centre and to the controller that it names.
const HOPS_MAX: u8 = 2;

/// Part of the job handling that sent a call to the store.
#[derive(Clone, Copy, Debug)]
enum StoreCallSource {
    Lease,
    /// Release of a lease; the reply is ignored.
    Released,
    Engine(CallId),
}

/// Jobs of one pool.
struct PoolJobs {
    lease: ControlLease,
    /// Present while this entry host controls the pool's jobs: the indexes of
    /// an engine take some 7 MB before the first worker, and at 26 pools those
    /// of all pools would exceed the memory of an entry host.
    engine: Option<JobEngine>,
    /// Names of the tasks that were started on each worker and are not known to
    /// have ended.
    tasks: BTreeMap<HostId, BTreeSet<Box<str>>>,
}

/// A submission that is not acknowledged yet.
struct PendingSubmission {
    origin: EntryId,
    call: u64,
}

/// Jobs of all pools.
#[derive(Default)]
pub(super) struct JobsState {
    pools: BTreeMap<PoolId, PoolJobs>,
    calls: HashMap<CallId, (PoolId, StoreCallSource)>,
    teams: Vec<TeamQuota>,
    last_call: CallId,
    last_request: RequestId,
    submissions: HashMap<RequestId, PendingSubmission>,
    /// Operators' calls at this entry host, with the monotonic time at which
    /// they time out, in milliseconds.
    operator_deadlines: BTreeMap<u64, u64>,
    next_poll_ms: u64,
}

fn task_name(job: &JobId, attempt: u32) -> Box<str> {
    format!("{job}.{attempt}").into()
}

fn parse_task(name: &str) -> Option<(JobId, u32)> {
    let (job, attempt) = name.rsplit_once('.')?;
    Some((job.parse().ok()?, attempt.parse().ok()?))
}

/// Returns how a task ended, or `None` while it runs.
fn task_end(state: TaskState) -> Option<TaskEnd> {
    match state {
        TaskState::Running => None,
        TaskState::Done => Some(TaskEnd::Succeeded),
        TaskState::Failed => Some(TaskEnd::Failed),
        TaskState::Stopped | TaskState::LeaseLapsed | TaskState::HostStopped => {
            Some(TaskEnd::Stopped)
        }
    }
}

impl NodeCore {
    /// Applies the pools and quotas of the document.
    pub(super) fn configure_jobs(&mut self, document: &Document) {
        let entry = &self.entry;
        self.jobs.pools.retain(|pool, _| document.pools.contains_key(pool));
        for pool in document.pools.keys() {
            self.jobs.pools.entry(pool.clone()).or_insert_with(|| PoolJobs {
                lease: ControlLease::new(format!("jobs-{pool}"), entry.clone()),
                engine: None,
                tasks: BTreeMap::new(),
            });
        }
        let quota = |(team, section): (&_, &crate::state::document::TeamSection)| TeamQuota {
            team: Clone::clone(team),
            quota: Resources::new(
                section.quota_cpu_millicores,
                section.quota_memory_bytes,
                section.quota_accelerators,
            ),
        };
        let teams: Vec<TeamQuota> = document.teams.iter().map(quota).collect();
        self.jobs.teams = teams.clone();
        let pools: Vec<PoolId> = self.jobs.pools.keys().cloned().collect();
        for pool in pools {
            self.on_pool_jobs(&pool, JobsEvent::TeamsChanged { teams: teams.clone() });
        }
    }

    /// Updates the workers of each pool from the platform's host list and the
    /// host records.
    pub(super) fn update_workers(&mut self, hosts: &[ListedHost]) {
        let mut workers: BTreeMap<PoolId, Vec<ListedWorker>> = BTreeMap::new();
        for host in hosts {
            let Some((_, record)) = self.fleet_state.record(&host.host) else { continue };
            workers.entry(record.pool.clone()).or_default().push(ListedWorker {
                host: host.host.clone(),
                data_centre: host.data_centre.clone(),
                rack: host.rack.clone(),
                total: Resources::new(host.cpu_millicores, host.memory_bytes, host.accelerators),
                accepts_tasks: record.phase.accepts_work(),
            });
        }
        for (pool, workers) in workers {
            self.on_pool_jobs(&pool, JobsEvent::WorkersListed { workers });
        }
    }

    pub(super) fn next_jobs_tick_ms(&self) -> Option<u64> {
        if !self.peers.is_gateway() {
            return self.jobs.operator_deadlines.values().min().copied();
        }
        let pools = self.jobs.pools.values();
        let engines = pools.flat_map(|jobs| {
            let engine_ms = jobs.engine.as_ref().and_then(JobEngine::next_tick_ms);
            [jobs.lease.next_tick_ms(), engine_ms]
        });
        let operator_deadlines = self.jobs.operator_deadlines.values().min().copied();
        engines.chain([operator_deadlines, Some(self.jobs.next_poll_ms)]).flatten().min()
    }

    pub(super) fn tick_jobs(&mut self) {
        let now_ms = self.now.monotonic_ms;
        let timed_out =
            self.jobs.operator_deadlines.iter().filter(|(_, until_ms)| **until_ms <= now_ms);
        let timed_out: Vec<u64> = timed_out.map(|(call, _)| *call).collect();
        for call in timed_out {
            let text = "the controller of the pool's jobs does not answer; \
                        repeat the request under the same name";
            self.answer_operator(call, Err(text.into()));
        }
        if !self.peers.is_gateway() {
            return;
        }
        let pools: Vec<PoolId> = self.jobs.pools.keys().cloned().collect();
        for pool in &pools {
            let Some(jobs) = self.jobs.pools.get_mut(pool) else { continue };
            let request = jobs.lease.tick(self.now);
            self.call_store_for_lease(pool, request);
            self.publish_control(pool);
            self.on_pool_jobs(pool, JobsEvent::Tick);
        }
        if now_ms >= self.jobs.next_poll_ms {
            self.jobs.next_poll_ms = now_ms + TASK_POLL_INTERVAL_MS;
            self.poll_workers();
        }
    }

    /// Releases the control of all pools' jobs.
    pub(super) fn release_jobs(&mut self) {
        let entry = self.entry.clone();
        let pools: Vec<PoolId> = self.jobs.pools.keys().cloned().collect();
        for pool in pools {
            let Some(jobs) = self.jobs.pools.get_mut(&pool) else { continue };
            let request = jobs.lease.release();
            jobs.lease = ControlLease::new(format!("jobs-{pool}"), entry.clone());
            self.publish_control(&pool);
            if let Some(request) = request {
                self.call_jobs_store(&pool, StoreCallSource::Released, request);
            }
        }
    }

    fn poll_workers(&mut self) {
        let controlled = self.jobs.pools.iter();
        let controlled = controlled.filter_map(|(pool, jobs)| Some((pool, jobs.engine.as_ref()?)));
        for (pool, engine) in controlled {
            let hosts = engine.busy_hosts();
            self.effects.extend(
                hosts.map(|host| Effect::ListTasks { pool: pool.clone(), host: host.clone() }),
            );
        }
    }

    /// Creates or drops the engine as the control of the pool's jobs begins or
    /// ends.
    fn publish_control(&mut self, pool: &PoolId) {
        let Some(jobs) = self.jobs.pools.get_mut(pool) else { return };
        let term = jobs.lease.held();
        if jobs.engine.is_some() != term.is_some() {
            if term.is_none() {
                jobs.engine = None;
                jobs.tasks.clear();
                return;
            }
            jobs.engine = Some(JobEngine::new(pool.clone()));
            let teams = self.jobs.teams.clone();
            self.on_pool_jobs(pool, JobsEvent::TeamsChanged { teams });
            self.on_pool_jobs(pool, JobsEvent::ControlChanged { term });
        }
    }

    fn call_jobs_store(&mut self, pool: &PoolId, source: StoreCallSource, request: StoreRequest) {
        self.jobs.last_call = self.jobs.last_call.next();
        let call = self.jobs.last_call;
        self.jobs.calls.insert(call, (pool.clone(), source));
        self.call_store(Engine::Jobs, call, request);
    }

    fn call_store_for_lease(&mut self, pool: &PoolId, request: Option<StoreRequest>) {
        if let Some(request) = request {
            self.call_jobs_store(pool, StoreCallSource::Lease, request);
        }
    }

    pub(super) fn on_jobs_store_reply(
        &mut self,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        let Some((pool, source)) = self.jobs.calls.remove(&call) else { return };
        match source {
            StoreCallSource::Lease => {
                let Some(jobs) = self.jobs.pools.get_mut(&pool) else { return };
                let request = jobs.lease.on_store_reply(self.now, result);
                self.call_store_for_lease(&pool, request);
                self.publish_control(&pool);
            }
            StoreCallSource::Released => {}
            StoreCallSource::Engine(call) => {
                self.on_pool_jobs(&pool, JobsEvent::StoreReplied { call, result });
            }
        }
    }

    pub(super) fn on_pool_jobs(&mut self, pool: &PoolId, event: JobsEvent) {
        let engine = self.jobs.pools.get_mut(pool).and_then(|jobs| jobs.engine.as_mut());
        let Some(engine) = engine else { return };
        let mut actions = Vec::new();
        engine.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_jobs(pool, action);
        }
    }

    fn apply_jobs(&mut self, pool: &PoolId, action: JobsAction) {
        match action {
            JobsAction::Accepted { request } => {
                self.answer_submission(request, Ok("the job is accepted and durable".into()))
            }
            JobsAction::Refused { request, refusal } => {
                self.answer_submission(request, Err(refusal.to_string().into()));
            }
            JobsAction::Ended { job, outcome } => {
                log::info!(pool = pool.as_str(), job = job.as_str(); "{outcome}");
            }
            JobsAction::Worker { call, host, command } => {
                let Some(jobs) = self.jobs.pools.get_mut(pool) else { return };
                let tasks = jobs.tasks.entry(host.clone()).or_default();
                if let WorkerCommand::Start { job, attempt, .. } = &command {
                    tasks.insert(task_name(job, *attempt));
                }
                let tasks = tasks.iter().cloned().collect();
                let pool = pool.clone();
                self.effects.push(Effect::CallWorker { pool, call, host, command, tasks });
            }
            JobsAction::Store { call, request } => {
                self.call_jobs_store(pool, StoreCallSource::Engine(call), request);
            }
            JobsAction::Report { report } => log::warn!(pool = pool.as_str(); "{report}"),
        }
    }

    /// Handles a worker's report of its tasks.
    pub(super) fn on_tasks(
        &mut self,
        pool: &PoolId,
        host: &HostId,
        tasks: Option<Vec<TaskReport>>,
    ) {
        let Some(tasks) = tasks else { return };
        let mut reports = Vec::new();
        for task in tasks {
            let Some((job, attempt)) = parse_task(&task.task) else { continue };
            let Some(end) = task_end(task.state) else {
                let used = Resources::new(task.cpu_millicores, task.memory_bytes, 0);
                reports.push(UsageReport { job, attempt, used, ran_ms: task.progress_ms });
                continue;
            };
            let known = self.jobs.pools.get_mut(pool).and_then(|jobs| jobs.tasks.get_mut(host));
            if known.is_some_and(|known| known.remove(&task.task)) {
                let host = host.clone();
                self.on_pool_jobs(pool, JobsEvent::TaskEnded { host, job, attempt, end });
            }
        }
        if !reports.is_empty() {
            let host = host.clone();
            self.on_pool_jobs(pool, JobsEvent::UsageReported { host, reports });
        }
    }

    /// Handles an operator's request at this entry host.
    pub(super) fn on_job_request(&mut self, call: OperatorCall, pool: PoolId, request: JobRequest) {
        self.jobs.operator_deadlines.insert(call.0, self.now.monotonic_ms + OPERATOR_TIMEOUT_MS);
        let origin = self.entry.clone();
        self.route_request(origin, call.0, 0, pool, request);
    }

    pub(super) fn on_jobs_message(&mut self, message: JobsMessage) {
        match message {
            JobsMessage::Request { origin, call, hops, pool, request } => {
                self.route_request(origin, call, hops, pool, request);
            }
            JobsMessage::Answer { call, result } => self.answer_operator(call, result),
        }
    }

    /// Serves a request as the controller, or passes it on to the controller or
    /// to the gateway that knows it.
    fn route_request(
        &mut self,
        origin: EntryId,
        call: u64,
        hops: u8,
        pool: PoolId,
        request: JobRequest,
    ) {
        let Some(jobs) = self.jobs.pools.get(&pool) else {
            let text = format!("there is no pool {pool}; see the list of pools");
            return self.answer(&origin, call, Err(text.into()));
        };
        if jobs.engine.is_some() {
            return self.serve_request(origin, call, &pool, request);
        }
        let next = match self.peers.is_gateway() {
            true => jobs.lease.other_holder().cloned(),
            false => self.peers.local_gateway().cloned(),
        };
        match next.filter(|next| hops < HOPS_MAX && *next != self.entry) {
            Some(next) => {
                let hops = hops + 1;
                let message = JobsMessage::Request { origin, call, hops, pool, request };
                self.send(&next, PeerMessage::Jobs(message));
            }
            None => {
                let text = "no entry host controls the pool's jobs now; repeat the request";
                self.answer(&origin, call, Err(text.into()));
            }
        }
    }

    fn serve_request(&mut self, origin: EntryId, call: u64, pool: &PoolId, request: JobRequest) {
        match request {
            JobRequest::Submit(spec) => {
                self.jobs.last_request = self.jobs.last_request.next();
                let request = self.jobs.last_request;
                self.jobs.submissions.insert(request, PendingSubmission { origin, call });
                self.on_pool_jobs(pool, JobsEvent::Submitted { request, spec });
            }
            JobRequest::Cancel { job, team } => {
                let engine = self.jobs.pools.get(pool).and_then(|jobs| jobs.engine.as_ref());
                let result = match engine.and_then(|engine| engine.team_of(&job)) {
                    Some(owner) if *owner == team => Ok("the job is being cancelled".into()),
                    Some(owner) => Err(format!("the job belongs to team {owner}").into()),
                    None => Err("there is no such job; see the list of jobs".into()),
                };
                if result.is_ok() {
                    self.on_pool_jobs(pool, JobsEvent::Cancelled { jobs: vec![job] });
                }
                self.answer(&origin, call, result);
            }
            JobRequest::Explain(job) => {
                let engine = self.jobs.pools.get(pool).and_then(|jobs| jobs.engine.as_ref());
                let text = engine.and_then(|engine| engine.explain(&job));
                let missing = || "there is no such job; it may have ended".into();
                self.answer(&origin, call, text.ok_or_else(missing));
            }
        }
    }

    fn answer_submission(&mut self, request: RequestId, result: Result<Box<str>, Box<str>>) {
        if let Some(PendingSubmission { origin, call }) = self.jobs.submissions.remove(&request) {
            self.answer(&origin, call, result);
        }
    }

    fn answer(&mut self, origin: &EntryId, call: u64, result: Result<Box<str>, Box<str>>) {
        self.send(origin, PeerMessage::Jobs(JobsMessage::Answer { call, result }));
    }

    fn answer_operator(&mut self, call: u64, result: Result<Box<str>, Box<str>>) {
        if self.jobs.operator_deadlines.remove(&call).is_some() {
            let call = OperatorCall(call);
            self.effects.push(Effect::JobAnswered { call, result });
        }
    }
}
