//! State machine of a pool's jobs: submissions, cancellations, inventory
//! changes and timers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use slotmap::SlotMap;

use super::{
    events::{
        JobOutcome, JobRefusal, JobSpec, JobsAction, JobsEvent, JobsReport, ListedWorker,
        TeamQuota, WorkerCallId, WorkerCommand,
    },
    health::ApplicationHealth,
    index::CapacityIndex,
    resources::Resources,
    segments::Segments,
    sizes::SizeEstimates,
    state::{Job, JobKey, JobPhase, Team, TeamRank, Worker, urgency_class},
    store::{Pending, StoreState},
};
use crate::state::{
    clock::ClockReading,
    ids::{DataCentreId, HostId, JobId, PoolId, RackId, RequestId, TeamId, Term},
};

/// Maximum number of jobs in a pool; further submissions are refused.
pub const JOBS_MAX: usize = 50_000;
/// Duration of the lease on a worker's tasks, in milliseconds.
pub const LEASE_MS: u64 = 30_000;
/// Time after which a lease has expired on any clock, in milliseconds: the
/// lease and 10% of clock drift.
pub(super) const LEASE_EXPIRY_MS: u64 = LEASE_MS + LEASE_MS / 10;
/// Maximum number of applications tracked separately; further ones share one
/// entry.
const APPLICATIONS_MAX: usize = 10_000;
/// Interval between periodic checks, in milliseconds.
const HOUSEKEEPING_MS: u64 = 1_000;

/// A timer on the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Stops a task that is being evicted or cancelled and has not ended.
    RetryStop(JobKey, u32),
    /// Sends a start again that got no reply.
    RetryStart(JobKey, u32),
    /// Renews the lease of a worker's tasks.
    RenewLease(u32),
    /// The lease of an unreachable worker has expired.
    LeaseExpired(u32),
    /// A quarantined worker may run a probe task.
    Probe(u32),
    /// The lease that the previous controller may have granted to a job has
    /// expired.
    RecoveryTimeout(JobKey),
}

/// Purpose of a call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Start(JobKey, u32),
    Renew,
    Other,
}

/// State machine of the jobs of one pool.
///
/// Memory is bounded by [`JOBS_MAX`] jobs (further submissions are refused),
/// one entry per listed worker and team, and 10,000 applications (further ones
/// share one entry). The cost of an event does not depend on the number of
/// workers and jobs, except for events that list workers or teams.
#[derive(Clone, Debug)]
pub struct JobEngine {
    pub(super) pool: PoolId,
    pub(super) term: Option<Term>,
    pub(super) loaded: bool,
    pub(super) jobs: SlotMap<JobKey, Job>,
    pub(super) keys_by_job: HashMap<JobId, JobKey>,
    pub(super) workers: Vec<Worker>,
    pub(super) workers_by_host: HashMap<HostId, u32>,
    racks: HashMap<(DataCentreId, RackId), u32>,
    data_centres: HashMap<DataCentreId, u32>,
    pub(super) teams: BTreeMap<TeamId, Team>,
    /// Teams whose first waiting job may be placed, by urgency class.
    pub(super) team_queue: [BTreeSet<TeamRank>; 3],
    /// Teams whose first waiting job did not fit, by urgency class.
    pub(super) parked_teams: [BTreeSet<TeamId>; 3],
    applications: HashMap<Box<str>, u32>,
    pub(super) application_health: HashMap<u32, ApplicationHealth>,
    pub(super) size_estimates: SizeEstimates,
    /// Number of tasks by application and rack, and by application and data
    /// centre.
    pub(super) tasks_by_rack: HashMap<(u32, u32), u32>,
    pub(super) tasks_by_data_centre: HashMap<(u32, u32), u32>,
    /// Workers indexed by free capacity, by free capacity after preempting bulk
    /// tasks, by free capacity after preempting all preemptible tasks, and by
    /// total capacity.
    pub(super) free: CapacityIndex,
    pub(super) preempting_bulk: CapacityIndex,
    pub(super) preempting_all: CapacityIndex,
    pub(super) total: CapacityIndex,
    pub(super) quarantined_count: usize,
    /// Offset into the index's buckets, advanced with each placement to vary
    /// the sample.
    pub(super) search_offset: usize,
    pub(super) timers: BTreeSet<(u64, Timer)>,
    /// Times in Unix milliseconds at which jobs are checked for being overdue:
    /// the latest start that meets the due time, then the due time.
    overdue_checks: BTreeSet<(u64, JobKey)>,
    pub(super) calls: HashMap<WorkerCallId, (u32, CallKind)>,
    last_call: WorkerCallId,
    pub(super) segments: Segments,
    pub(super) store: StoreState,
    pub(super) more_to_place: bool,
    next_housekeeping_ms: u64,
}

impl JobEngine {
    /// Creates the engine of a pool's jobs; it stays passive until it holds the
    /// control lease.
    pub fn new(pool: PoolId) -> Self {
        Self {
            pool,
            term: None,
            loaded: false,
            jobs: SlotMap::with_key(),
            keys_by_job: HashMap::new(),
            workers: Vec::new(),
            workers_by_host: HashMap::new(),
            racks: HashMap::new(),
            data_centres: HashMap::new(),
            teams: BTreeMap::new(),
            team_queue: Default::default(),
            parked_teams: Default::default(),
            applications: HashMap::new(),
            application_health: HashMap::new(),
            size_estimates: SizeEstimates::default(),
            tasks_by_rack: HashMap::new(),
            tasks_by_data_centre: HashMap::new(),
            free: CapacityIndex::new(),
            preempting_bulk: CapacityIndex::new(),
            preempting_all: CapacityIndex::new(),
            total: CapacityIndex::new(),
            quarantined_count: 0,
            search_offset: 0,
            timers: BTreeSet::new(),
            overdue_checks: BTreeSet::new(),
            calls: HashMap::new(),
            last_call: WorkerCallId(0),
            segments: Segments::default(),
            store: StoreState::default(),
            more_to_place: false,
            next_housekeeping_ms: 0,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: ClockReading, event: JobsEvent, actions: &mut Vec<JobsAction>) {
        match event {
            JobsEvent::ControlChanged { term } => self.on_control_changed(now, term, actions),
            JobsEvent::WorkersListed { workers } => self.on_workers_listed(now, workers),
            JobsEvent::TeamsChanged { teams } => self.on_teams_changed(teams),
            JobsEvent::Submitted { request, spec } => self.on_submitted(request, spec, actions),
            JobsEvent::Cancelled { jobs } => {
                for job in &jobs {
                    self.cancel(now, job, actions);
                }
            }
            JobsEvent::WorkerReplied { call, reply } => {
                if let Some((worker, kind)) = self.calls.remove(&call) {
                    self.on_worker_replied(now, worker, kind, reply, actions);
                }
            }
            JobsEvent::TaskEnded { host, job, attempt, end } => {
                self.on_task_ended(now, &host, &job, attempt, end, actions);
            }
            JobsEvent::UsageReported { host, reports } => {
                self.on_usage(now, &host, &reports, actions);
            }
            JobsEvent::StoreReplied { call, result } => {
                self.on_store_replied(now, call, result, actions);
            }
            JobsEvent::Tick => {}
        }
        self.run_timers(now, actions);
    }

    /// Returns the monotonic time in milliseconds at which the next `Tick` is
    /// needed.
    pub fn next_tick_ms(&self) -> Option<u64> {
        self.term?;
        if self.more_to_place {
            return Some(0);
        }
        let timer_ms = self.timers.first().map(|(at_ms, _)| *at_ms);
        let store_ms = self.store_due_ms();
        timer_ms.into_iter().chain(store_ms).chain([self.next_housekeeping_ms]).min()
    }

    fn run_timers(&mut self, now: ClockReading, actions: &mut Vec<JobsAction>) {
        if self.term.is_none() {
            return;
        }
        while let Some(&(at_ms, timer)) = self.timers.first()
            && at_ms <= now.monotonic_ms
        {
            self.timers.pop_first();
            self.on_timer(now, timer, actions);
        }
        if now.monotonic_ms >= self.next_housekeeping_ms {
            self.next_housekeeping_ms = now.monotonic_ms + HOUSEKEEPING_MS;
            self.unpark_teams(usize::MAX);
            self.report_overdue(now, actions);
        }
        self.place_waiting(now, actions);
        self.continue_storing(now, actions);
    }

    pub(super) fn schedule_timer(&mut self, at_ms: u64, timer: Timer) {
        self.timers.insert((at_ms, timer));
    }

    pub(super) fn call_worker(
        &mut self,
        worker: u32,
        kind: CallKind,
        command: WorkerCommand,
        actions: &mut Vec<JobsAction>,
    ) {
        self.last_call = WorkerCallId(self.last_call.0 + 1);
        let host = self.workers[worker as usize].listed.host.clone();
        self.calls.insert(self.last_call, (worker, kind));
        actions.push(JobsAction::Worker { call: self.last_call, host, command });
    }

    /// Returns the number of an application; those above `APPLICATIONS_MAX`
    /// share number 0.
    pub(super) fn application(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.applications.get(name) {
            return number;
        }
        if self.applications.len() >= APPLICATIONS_MAX {
            return 0;
        }
        let number = self.applications.len() as u32 + 1;
        self.applications.insert(name.into(), number);
        number
    }

    fn on_workers_listed(&mut self, now: ClockReading, workers: Vec<ListedWorker>) {
        for worker in &mut self.workers {
            worker.present = false;
        }
        for listed in workers {
            let number = match self.workers_by_host.get(&listed.host) {
                Some(&number) => number,
                None => self.add_worker(&listed),
            };
            let worker = &mut self.workers[number as usize];
            worker.present = true;
            worker.listed = listed;
        }
        for number in 0..self.workers.len() as u32 {
            let worker = &self.workers[number as usize];
            let total = worker.present.then_some(worker.listed.total);
            self.total.set(number, total.as_ref());
            self.reindex(now, number);
        }
        self.unpark_teams(usize::MAX);
    }

    fn add_worker(&mut self, listed: &ListedWorker) -> u32 {
        let number = self.workers.len() as u32;
        let centres = self.data_centres.len() as u32;
        let data_centre = *self.data_centres.entry(listed.data_centre.clone()).or_insert(centres);
        let racks = self.racks.len() as u32;
        let rack_name = (listed.data_centre.clone(), listed.rack.clone());
        let rack = *self.racks.entry(rack_name).or_insert(racks);
        self.workers_by_host.insert(listed.host.clone(), number);
        self.workers.push(Worker {
            listed: listed.clone(),
            present: true,
            data_centre,
            rack,
            reserved: Resources::default(),
            preemptible: Default::default(),
            tasks: Vec::new(),
            health: Default::default(),
            lease_expires_ms: 0,
            missed_renewals: 0,
            renewal_scheduled: false,
            start_unconfirmed: false,
            unreachable: false,
        });
        number
    }

    fn on_teams_changed(&mut self, teams: Vec<TeamQuota>) {
        for team in self.teams.values_mut() {
            team.quota = Resources::default();
        }
        for TeamQuota { team, quota } in teams {
            self.teams.entry(team).or_default().quota = quota;
        }
        let names: Vec<TeamId> = self.teams.keys().cloned().collect();
        self.team_queue = Default::default();
        self.parked_teams = Default::default();
        for team in names {
            for class in 0..3 {
                self.enqueue_team(&team, class);
            }
        }
    }

    fn on_submitted(&mut self, request: RequestId, spec: JobSpec, actions: &mut Vec<JobsAction>) {
        if let Some(&key) = self.keys_by_job.get(&spec.job)
            && self.jobs.get(key).is_some_and(|job| job.spec == spec && !job.cancelled)
        {
            // A resubmission after a lost reply is accepted once the job is
            // durable.
            return self.answer_resubmission(request, key, actions);
        }
        if let Err(refusal) = self.validate(&spec) {
            actions.push(JobsAction::Refused { request, refusal });
            return;
        }
        let segment = self.segments.add(&spec);
        let key = self.add_job(Job::new(spec, segment));
        self.store.pending.entry(segment).or_default().push(Pending::Accept(request, key));
    }

    fn answer_resubmission(
        &mut self,
        request: RequestId,
        key: JobKey,
        actions: &mut Vec<JobsAction>,
    ) {
        let job = &self.jobs[key];
        if job.phase == JobPhase::Writing {
            let pending = Pending::Accept(request, key);
            self.segments.urgent.insert(job.segment);
            self.store.pending.entry(job.segment).or_default().push(pending);
        } else {
            actions.push(JobsAction::Accepted { request });
        }
    }

    /// Refuses jobs that can never run, and those that cannot be accepted now.
    fn validate(&self, spec: &JobSpec) -> Result<(), JobRefusal> {
        if !self.loaded {
            return Err(JobRefusal::NotController);
        }
        if self.keys_by_job.contains_key(&spec.job) {
            return Err(JobRefusal::NameTaken);
        }
        if spec.declared.cpu_millicores == 0 && spec.declared.accelerators == 0 {
            return Err(JobRefusal::EmptySize);
        }
        let quota = self.teams.get(&spec.team).map(|team| team.quota).unwrap_or_default();
        if quota == Resources::default() {
            return Err(JobRefusal::NoQuota);
        }
        if !spec.declared.fits_in(&quota) {
            return Err(JobRefusal::AboveQuota);
        }
        if !self.fits_any_worker(&spec.declared) {
            return Err(JobRefusal::NoWorkerLargeEnough);
        }
        if self.jobs.len() >= JOBS_MAX {
            return Err(JobRefusal::Full);
        }
        if self.store_is_down() {
            return Err(JobRefusal::StoreUnavailable);
        }
        Ok(())
    }

    /// Returns whether any listed worker is large enough in total for `size`.
    pub(super) fn fits_any_worker(&self, size: &Resources) -> bool {
        let fits = |worker: u32| size.fits_in(&self.workers[worker as usize].listed.total);
        !self.total.search(size, 0, fits).is_empty()
    }

    pub(super) fn add_job(&mut self, job: Job) -> JobKey {
        let name = job.spec.job.clone();
        let due = job.spec.due_unix_ms.map(|due| due.saturating_sub(job.spec.expected_run_ms));
        let key = self.jobs.insert(job);
        self.keys_by_job.insert(name, key);
        if let Some(latest_start_unix_ms) = due {
            self.overdue_checks.insert((latest_start_unix_ms, key));
        }
        key
    }

    /// Removes a job and reports its outcome.
    pub(super) fn finish(
        &mut self,
        key: JobKey,
        outcome: JobOutcome,
        actions: &mut Vec<JobsAction>,
    ) {
        let Some(job) = self.jobs.remove(key) else { return };
        self.keys_by_job.remove(&job.spec.job);
        self.segments.remove(job.segment, &job.spec.job);
        actions.push(JobsAction::Ended { job: job.spec.job, outcome });
    }

    fn cancel(&mut self, now: ClockReading, name: &JobId, actions: &mut Vec<JobsAction>) {
        let Some(&key) = self.keys_by_job.get(name) else { return };
        let job = &mut self.jobs[key];
        job.cancelled = true;
        match job.phase {
            // Finished by `on_durable` once the write completes.
            JobPhase::Writing => {}
            JobPhase::Starting { .. } | JobPhase::Running { .. } | JobPhase::Evicting { .. } => {
                self.stop_task(now, key, actions);
            }
            JobPhase::AwaitingEvictions { .. } => {
                self.release(now, key);
                self.finish(key, JobOutcome::Cancelled, actions);
            }
            JobPhase::Queued => self.finish(key, JobOutcome::Cancelled, actions),
            JobPhase::Recovering { .. } => {}
        }
    }

    /// Adds a job to its team's queue, at the front if `in_front` is set.
    pub(super) fn enqueue(&mut self, key: JobKey, in_front: bool) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.phase = JobPhase::Queued;
        let (team, class) = (job.spec.team.clone(), urgency_class(job.spec.urgency));
        let waiting = &mut self.teams.entry(team.clone()).or_default().waiting[class];
        if in_front {
            waiting.push_front(key);
        } else {
            waiting.push_back(key);
        }
        self.parked_teams[class].remove(&team);
        self.enqueue_team(&team, class);
    }

    /// Reports jobs that cannot finish by their due time, once each.
    fn report_overdue(&mut self, now: ClockReading, actions: &mut Vec<JobsAction>) {
        while let Some(&(at_unix_ms, key)) = self.overdue_checks.first()
            && at_unix_ms <= now.unix_ms
        {
            self.overdue_checks.pop_first();
            let Some(job) = self.jobs.get_mut(key) else { continue };
            let Some(due_unix_ms) = job.spec.due_unix_ms else { continue };
            let running = matches!(job.phase, JobPhase::Running { .. });
            if running && now.unix_ms < due_unix_ms {
                self.overdue_checks.insert((due_unix_ms, key));
            } else if !std::mem::replace(&mut job.reported_overdue, true) {
                let (job, running) = (job.spec.job.clone(), u8::from(running));
                let report = JobsReport::Overdue { job, running };
                actions.push(JobsAction::Report { report });
            }
        }
    }
}
