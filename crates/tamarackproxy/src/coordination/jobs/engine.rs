//! The job engine: submissions, cancellations, inventory and timers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use slotmap::SlotMap;

use super::{
    events::{
        JobOutcome, JobRefusal, JobSpec, JobsAction, JobsEvent, JobsReport, ListedWorker,
        TeamQuota, WorkerCallId, WorkerCommand,
    },
    health::Blame,
    index::RoomIndex,
    resources::Resources,
    segments::Segments,
    sizes::Sizes,
    state::{Job, JobKey, JobPhase, Team, TeamOrder, Worker, level},
    store::{Pending, StoreState},
};
use crate::state::{
    clock::ClockReading,
    ids::{DataCentreId, HostId, JobId, PoolId, RackId, RequestId, TeamId, Term},
};

/// Jobs that a pool keeps; further submissions are refused.
pub const JOBS_MAX: usize = 50_000;
/// Lease of a worker's tasks, in milliseconds.
pub const LEASE_MS: u64 = 30_000;
/// Time after which a lease has surely ended: the lease and 10% of drift.
pub(super) const LEASE_OVER_MS: u64 = LEASE_MS + LEASE_MS / 10;
/// Applications that are told apart; further ones share one entry.
const APPLICATIONS_MAX: usize = 10_000;
/// Time between the engine's periodic checks, in milliseconds.
const HOUSEKEEPING_MS: u64 = 1_000;

/// Something that is due at a time on the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A task that was asked to leave, or is cancelled, has not ended.
    Leave(JobKey, u32),
    /// A start that was refused or lost is sent again.
    Start(JobKey, u32),
    /// The lease of a worker's tasks is renewed.
    Renew(u32),
    /// The lease of a worker that does not reply has ended.
    LeaseOver(u32),
    /// A quarantined worker may be tested.
    Test(u32),
    /// A job that may run under a former controller may run again.
    Recovered(JobKey),
}

/// What a call to a worker is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Start(JobKey, u32),
    Renew,
    Other,
}

/// State machine of the jobs of one pool.
///
/// Bounds: [`JOBS_MAX`] jobs (further submissions are refused), one entry for
/// each listed worker and team, 10,000 applications (further ones share one
/// entry). An event costs the same at any number of workers and jobs, except
/// for those that list workers or teams.
#[derive(Clone, Debug)]
pub struct JobEngine {
    pub(super) pool: PoolId,
    pub(super) term: Option<Term>,
    pub(super) loaded: bool,
    pub(super) jobs: SlotMap<JobKey, Job>,
    pub(super) names: HashMap<JobId, JobKey>,
    pub(super) workers: Vec<Worker>,
    pub(super) hosts: HashMap<HostId, u32>,
    racks: HashMap<(DataCentreId, RackId), u32>,
    centres: HashMap<DataCentreId, u32>,
    pub(super) teams: BTreeMap<TeamId, Team>,
    /// Teams with waiting jobs, by level, that may have one placed.
    pub(super) order: [BTreeSet<TeamOrder>; 3],
    /// Teams whose first waiting job did not fit, by level.
    pub(super) parked: [BTreeSet<TeamId>; 3],
    applications: HashMap<Box<str>, u32>,
    pub(super) blame: HashMap<u32, Blame>,
    pub(super) sizes: Sizes,
    /// Running tasks by application and rack, and by application and centre.
    pub(super) in_rack: HashMap<(u32, u32), u32>,
    pub(super) in_centre: HashMap<(u32, u32), u32>,
    /// Workers by free room, by room without bulk tasks, by room without all
    /// tasks that may leave, and by size.
    pub(super) free: RoomIndex,
    pub(super) over_bulk: RoomIndex,
    pub(super) over_all: RoomIndex,
    pub(super) whole: RoomIndex,
    pub(super) quarantined: usize,
    pub(super) turn: usize,
    pub(super) timers: BTreeSet<(u64, Timer)>,
    due: BTreeSet<(u64, JobKey)>,
    pub(super) calls: HashMap<WorkerCallId, (u32, CallKind)>,
    last_call: WorkerCallId,
    pub(super) segments: Segments,
    pub(super) store: StoreState,
    pub(super) more_to_place: bool,
    next_housekeeping_ms: u64,
}

impl JobEngine {
    /// Makes the engine of a pool's jobs; it acts once it holds the control.
    pub fn new(pool: PoolId) -> Self {
        Self {
            pool,
            term: None,
            loaded: false,
            jobs: SlotMap::with_key(),
            names: HashMap::new(),
            workers: Vec::new(),
            hosts: HashMap::new(),
            racks: HashMap::new(),
            centres: HashMap::new(),
            teams: BTreeMap::new(),
            order: Default::default(),
            parked: Default::default(),
            applications: HashMap::new(),
            blame: HashMap::new(),
            sizes: Sizes::default(),
            in_rack: HashMap::new(),
            in_centre: HashMap::new(),
            free: RoomIndex::new(),
            over_bulk: RoomIndex::new(),
            over_all: RoomIndex::new(),
            whole: RoomIndex::new(),
            quarantined: 0,
            turn: 0,
            timers: BTreeSet::new(),
            due: BTreeSet::new(),
            calls: HashMap::new(),
            last_call: WorkerCallId(0),
            segments: Segments::default(),
            store: StoreState::default(),
            more_to_place: false,
            next_housekeeping_ms: 0,
        }
    }

    /// Takes an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: ClockReading, event: JobsEvent, actions: &mut Vec<JobsAction>) {
        match event {
            JobsEvent::ControlChanged { term } => self.on_control_changed(now, term, actions),
            JobsEvent::WorkersListed { workers } => self.on_listed(now, workers),
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

    /// Monotonic time in milliseconds at which `Tick` is next needed.
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
            self.unpark(usize::MAX);
            self.report_overdue(now, actions);
        }
        self.place_waiting(now, actions);
        self.continue_storing(now, actions);
    }

    pub(super) fn plan(&mut self, at_ms: u64, timer: Timer) {
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

    /// Number of an application; those above the bound share number 0.
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

    fn on_listed(&mut self, now: ClockReading, workers: Vec<ListedWorker>) {
        for worker in &mut self.workers {
            worker.present = false;
        }
        for listed in workers {
            let number = match self.hosts.get(&listed.host) {
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
            self.whole.set(number, total.as_ref());
            self.reindex(now, number);
        }
        self.unpark(usize::MAX);
    }

    fn add_worker(&mut self, listed: &ListedWorker) -> u32 {
        let number = self.workers.len() as u32;
        let centres = self.centres.len() as u32;
        let data_centre = *self.centres.entry(listed.data_centre.clone()).or_insert(centres);
        let racks = self.racks.len() as u32;
        let rack_name = (listed.data_centre.clone(), listed.rack.clone());
        let rack = *self.racks.entry(rack_name).or_insert(racks);
        self.hosts.insert(listed.host.clone(), number);
        self.workers.push(Worker {
            listed: listed.clone(),
            present: true,
            data_centre,
            rack,
            reserved: Resources::default(),
            movable: Default::default(),
            tasks: Vec::new(),
            health: Default::default(),
            lease_over_ms: 0,
            renewals_lost: 0,
            renewing: false,
            doubtful: false,
            cut_off: false,
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
        self.order = Default::default();
        self.parked = Default::default();
        for team in names {
            for class in 0..3 {
                self.enter_order(&team, class);
            }
        }
    }

    fn on_submitted(&mut self, request: RequestId, spec: JobSpec, actions: &mut Vec<JobsAction>) {
        if let Some(&key) = self.names.get(&spec.job)
            && self.jobs.get(key).is_some_and(|job| job.spec == spec && !job.cancelled)
        {
            // A repeat after a lost reply: answered when the job is durable.
            return self.answer_repeat(request, key, actions);
        }
        if let Err(refusal) = self.check(&spec) {
            actions.push(JobsAction::Refused { request, refusal });
            return;
        }
        let segment = self.segments.add(&spec);
        let key = self.add_job(Job::new(spec, segment));
        self.store.pending.entry(segment).or_default().push(Pending::Accept(request, key));
    }

    fn answer_repeat(&mut self, request: RequestId, key: JobKey, actions: &mut Vec<JobsAction>) {
        let job = &self.jobs[key];
        if job.phase == JobPhase::Writing {
            let pending = Pending::Accept(request, key);
            self.segments.urgent.insert(job.segment);
            self.store.pending.entry(job.segment).or_default().push(pending);
        } else {
            actions.push(JobsAction::Accepted { request });
        }
    }

    /// Refuses what can never run.
    fn check(&self, spec: &JobSpec) -> Result<(), JobRefusal> {
        if !self.loaded {
            return Err(JobRefusal::NotController);
        }
        if self.names.contains_key(&spec.job) {
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
        if !self.fits_somewhere(&spec.declared) {
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

    /// Tells whether a worker of the inventory is large enough.
    pub(super) fn fits_somewhere(&self, size: &Resources) -> bool {
        let fits = |worker: u32| size.fits_in(&self.workers[worker as usize].listed.total);
        !self.whole.search(size, 0, fits).is_empty()
    }

    pub(super) fn add_job(&mut self, job: Job) -> JobKey {
        let name = job.spec.job.clone();
        let due = job.spec.due_unix_ms.map(|due| due.saturating_sub(job.spec.expected_run_ms));
        let key = self.jobs.insert(job);
        self.names.insert(name, key);
        if let Some(latest_start_unix_ms) = due {
            self.due.insert((latest_start_unix_ms, key));
        }
        key
    }

    /// Ends a job for good.
    pub(super) fn finish(
        &mut self,
        key: JobKey,
        outcome: JobOutcome,
        actions: &mut Vec<JobsAction>,
    ) {
        let Some(job) = self.jobs.remove(key) else { return };
        self.names.remove(&job.spec.job);
        self.segments.remove(job.segment, &job.spec.job);
        actions.push(JobsAction::Ended { job: job.spec.job, outcome });
    }

    fn cancel(&mut self, now: ClockReading, name: &JobId, actions: &mut Vec<JobsAction>) {
        let Some(&key) = self.names.get(name) else { return };
        let job = &mut self.jobs[key];
        job.cancelled = true;
        match job.phase {
            // It ends when the write is done, or when its task has ended.
            JobPhase::Writing => {}
            JobPhase::Starting { .. } | JobPhase::Running { .. } | JobPhase::Leaving { .. } => {
                self.stop_task(now, key, actions);
            }
            JobPhase::Clearing { .. } => {
                self.release(now, key);
                self.finish(key, JobOutcome::Cancelled, actions);
            }
            JobPhase::Queued => self.finish(key, JobOutcome::Cancelled, actions),
            JobPhase::Recovering { .. } => {}
        }
    }

    /// Puts a job into its team's queue, in front if it ran before.
    pub(super) fn enqueue(&mut self, key: JobKey, in_front: bool) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.phase = JobPhase::Queued;
        let (team, class) = (job.spec.team.clone(), level(job.spec.urgency));
        let waiting = &mut self.teams.entry(team.clone()).or_default().waiting[class];
        if in_front {
            waiting.push_front(key);
        } else {
            waiting.push_back(key);
        }
        self.parked[class].remove(&team);
        self.enter_order(&team, class);
    }

    /// Reports jobs that cannot end by the time they are due, once each.
    fn report_overdue(&mut self, now: ClockReading, actions: &mut Vec<JobsAction>) {
        while let Some(&(at_unix_ms, key)) = self.due.first()
            && at_unix_ms <= now.unix_ms
        {
            self.due.pop_first();
            let Some(job) = self.jobs.get_mut(key) else { continue };
            let Some(due_unix_ms) = job.spec.due_unix_ms else { continue };
            let running = matches!(job.phase, JobPhase::Running { .. });
            if running && now.unix_ms < due_unix_ms {
                self.due.insert((due_unix_ms, key));
            } else if !std::mem::replace(&mut job.reported_overdue, true) {
                let (job, running) = (job.spec.job.clone(), u8::from(running));
                let report = JobsReport::Overdue { job, running };
                actions.push(JobsAction::Report { report });
            }
        }
    }
}
