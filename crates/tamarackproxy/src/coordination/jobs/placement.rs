//! Placement of waiting jobs, and room made for urgent ones.

use super::{
    engine::{CallKind, JobEngine, LEASE_MS, LEASE_OVER_MS, Timer},
    events::{JobsAction, JobsReport, WorkerCommand},
    resources::Resources,
    state::{Job, JobKey, JobPhase, Team, Worker, level},
    store::Pending,
};
use crate::state::{clock::ClockReading, document::Urgency, ids::TeamId};

/// Jobs that one event tries to place, so that an event has a bounded cost;
/// the rest follows with the next tick.
const PLACEMENTS_PER_EVENT: usize = 32;
/// Jobs that do not fit at which an event stops to try further teams.
const MISSES_PER_EVENT: usize = 8;
/// Jobs that may not go to some workers which an event passes over.
const CHOOSY_PER_EVENT: usize = 8;
/// Parked teams that are tried again when room becomes free.
const UNPARKED_PER_EVENT: usize = 4;
/// Time in which a task may save its state before it is stopped, in
/// milliseconds: it leaves an urgent job a second of its 1.5 s.
pub(super) const CHECKPOINT_WAIT_MS: u64 = 500;
/// Share of a team's processors and memory that jobs may use, in hundredths,
/// by class (urgent, normal, bulk): a team that fills its quota with less
/// urgent work still starts urgent work at once.
const QUOTA_PERCENT: [u64; 3] = [100, 90, 80];
/// Share of its processors that a throttled task keeps, in hundredths.
const THROTTLED_PERCENT: u64 = 25;
/// Time between two renewals of a lease, in milliseconds.
pub(super) const RENEW_MS: u64 = LEASE_MS / 3;

/// Room that tasks up to a level would leave.
fn room_over(worker: &Worker, classes: usize) -> Resources {
    worker.movable[2 - classes..].iter().fold(worker.free(), |room, part| room.plus(part))
}

impl JobEngine {
    /// Puts a team into the order of a class if it has waiting jobs.
    pub(super) fn enter_order(&mut self, team: &TeamId, class: usize) {
        let Some(state) = self.teams.get(team) else { return };
        if !state.waiting[class].is_empty() && !self.parked[class].contains(team) {
            self.order[class].insert((state.used.dominant_share(&state.quota), team.clone()));
        }
    }

    /// Lets parked teams try again.
    pub(super) fn unpark(&mut self, limit: usize) {
        for class in 0..3 {
            for _ in 0..limit {
                let Some(team) = self.parked[class].pop_first() else { break };
                self.enter_order(&team, class);
            }
        }
    }

    /// Changes what a team's tasks use, and its place in the order.
    fn use_quota(&mut self, team: &TeamId, added: &Resources, removed: &Resources) {
        let Some(state) = self.teams.get_mut(team) else { return };
        let freed = !removed.fits_in(added);
        let before = state.used.dominant_share(&state.quota);
        state.used = state.used.plus(added).minus(removed);
        for class in 0..3 {
            let was_waiting = self.order[class].remove(&(before, team.clone()));
            if was_waiting || freed {
                self.parked[class].remove(team);
                self.enter_order(team, class);
            }
        }
    }

    /// Updates the indexes after a change of a worker.
    pub(super) fn reindex(&mut self, now: ClockReading, number: u32) {
        let worker = &self.workers[number as usize];
        let takes = worker.takes_tasks(now.monotonic_ms);
        let quarantined = worker.health.is_quarantined();
        let free = takes.then(|| worker.free());
        let over_bulk = (takes && !quarantined).then(|| room_over(worker, 1));
        let over_all = (takes && !quarantined).then(|| room_over(worker, 2));
        self.free.set(number, free.as_ref());
        self.over_bulk.set(number, over_bulk.as_ref());
        self.over_all.set(number, over_all.as_ref());
    }

    /// Places waiting jobs: urgent ones first, then by the smallest share of
    /// the team's quota.
    pub(super) fn place_waiting(&mut self, now: ClockReading, actions: &mut Vec<JobsAction>) {
        self.more_to_place = false;
        if !self.loaded {
            return;
        }
        let (mut tries, mut misses) = (0, 0);
        for class in 0..3 {
            while let Some((share, team)) = self.order[class].first().cloned() {
                if tries == PLACEMENTS_PER_EVENT || misses == MISSES_PER_EVENT {
                    self.more_to_place = true;
                    return;
                }
                let Some(key) = self.first_waiting(&team, class) else {
                    self.order[class].remove(&(share, team));
                    continue;
                };
                tries += 1;
                if self.place(now, key, actions) {
                    if let Some(state) = self.teams.get_mut(&team) {
                        state.waiting[class].retain_first(key);
                    }
                    let state = &self.teams[&team];
                    if state.waiting[class].is_empty() {
                        let share = state.used.dominant_share(&state.quota);
                        self.order[class].remove(&(share, team));
                    }
                } else {
                    misses += 1;
                    if self.let_next_go_first(&team, class, key) {
                        continue;
                    }
                    self.order[class].remove(&(share, team.clone()));
                    self.parked[class].insert(team);
                }
            }
        }
    }

    /// Moves a job that may not go to some workers behind the others of its
    /// team, so that it does not hold them back; returns whether one that may
    /// go anywhere follows.
    fn let_next_go_first(&mut self, team: &TeamId, class: usize, key: JobKey) -> bool {
        if !self.is_choosy(key) {
            return false;
        }
        for _ in 0..CHOOSY_PER_EVENT {
            let Some(state) = self.teams.get_mut(team) else { return false };
            state.waiting[class].rotate_left(1);
            match self.first_waiting(team, class) {
                Some(next) if next == key => return false,
                Some(next) if self.is_choosy(next) => {}
                next => return next.is_some(),
            }
        }
        false
    }

    fn is_choosy(&self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        !job.failed_on.is_empty() || job.refused_by.is_some()
    }

    /// First job that still waits; ended ones are dropped on the way.
    fn first_waiting(&mut self, team: &TeamId, class: usize) -> Option<JobKey> {
        let waiting = &mut self.teams.get_mut(team)?.waiting[class];
        while let Some(&key) = waiting.front() {
            if self.jobs.get(key).is_some_and(|job| job.phase == JobPhase::Queued) {
                return Some(key);
            }
            waiting.pop_front();
        }
        None
    }

    /// Tries to place one job; returns whether it left the queue.
    fn place(&mut self, now: ClockReading, key: JobKey, actions: &mut Vec<JobsAction>) -> bool {
        let name = self.jobs[key].spec.application.clone();
        let application = self.application(&name);
        let spec = &self.jobs[key].spec;
        let (team, declared, urgency) = (spec.team.clone(), spec.declared, spec.urgency);
        let state = &self.teams[&team];
        let mut size = self.sizes.expected(application, &declared, &state.quota);
        if !self.fits_somewhere(&size) {
            size = declared;
        }
        if !within_quota(state, &size, level(urgency)) {
            return false;
        }
        self.turn = self.turn.wrapping_add(1);
        if let Some(worker) = self.choose(now, key, application, &size, 0) {
            self.reserve(now, key, worker, size);
            self.begin_start(now, key, actions);
            return true;
        }
        if urgency == Urgency::Urgent {
            for classes in 1..=2 {
                if let Some(worker) = self.choose(now, key, application, &size, classes) {
                    self.clear(now, key, worker, size, actions);
                    return true;
                }
            }
        }
        self.report_impossible(key, &declared, actions);
        false
    }

    fn report_impossible(
        &mut self,
        key: JobKey,
        declared: &Resources,
        actions: &mut Vec<JobsAction>,
    ) {
        if !self.jobs[key].reported_impossible && !self.fits_somewhere(declared) {
            self.jobs[key].reported_impossible = true;
            let job = self.jobs[key].spec.job.clone();
            actions.push(JobsAction::Report { report: JobsReport::Impossible { job } });
        }
    }

    /// Chooses among suitable workers the one whose rack and data centre run
    /// the fewest tasks of the application.
    fn choose(
        &self,
        now: ClockReading,
        key: JobKey,
        application: u32,
        size: &Resources,
        classes: usize,
    ) -> Option<u32> {
        let index = [&self.free, &self.over_bulk, &self.over_all][classes];
        let job = &self.jobs[key];
        let fits = |number: u32| {
            let worker = &self.workers[number as usize];
            let room = if classes == 0 { worker.free() } else { room_over(worker, classes) };
            size.fits_in(&room)
                && worker.takes_tasks(now.monotonic_ms)
                && !job.failed_on.contains(&number)
                && job.refused_by != Some(number)
                && (!worker.health.is_quarantined() || is_test(job))
        };
        let found = index.search(size, self.turn, fits);
        found.into_iter().min_by_key(|&number| {
            let worker = &self.workers[number as usize];
            let in_rack = self.in_rack.get(&(application, worker.rack)).copied().unwrap_or(0);
            let centre = (application, worker.data_centre);
            (in_rack, self.in_centre.get(&centre).copied().unwrap_or(0))
        })
    }

    fn reserve(&mut self, now: ClockReading, key: JobKey, number: u32, size: Resources) {
        let name = self.jobs[key].spec.application.clone();
        let application = self.application(&name);
        let job = &mut self.jobs[key];
        job.reserved = size;
        job.phase = JobPhase::Starting { worker: number };
        let team = job.spec.team.clone();
        let worker = &mut self.workers[number as usize];
        worker.reserved = worker.reserved.plus(&size);
        worker.tasks.push(key);
        *self.in_rack.entry((application, worker.rack)).or_default() += 1;
        *self.in_centre.entry((application, worker.data_centre)).or_default() += 1;
        self.use_quota(&team, &size, &Resources::default());
        self.reindex(now, number);
    }

    /// Gives back what a job has reserved on its worker.
    pub(super) fn release(&mut self, now: ClockReading, key: JobKey) {
        let Some(number) = self.jobs[key].phase.worker() else { return };
        let name = self.jobs[key].spec.application.clone();
        let application = self.application(&name);
        self.set_movable(key, false);
        let job = &mut self.jobs[key];
        let (team, size) = (job.spec.team.clone(), job.reserved);
        job.reserved = Resources::default();
        job.throttled_from = None;
        let worker = &mut self.workers[number as usize];
        worker.reserved = worker.reserved.minus(&size);
        worker.tasks.retain(|&task| task != key);
        decrease(&mut self.in_rack, (application, worker.rack));
        decrease(&mut self.in_centre, (application, worker.data_centre));
        self.use_quota(&team, &Resources::default(), &size);
        self.reindex(now, number);
        self.unpark(UNPARKED_PER_EVENT);
    }

    /// Counts a running task among those that may leave, or no longer.
    pub(super) fn set_movable(&mut self, key: JobKey, movable: bool) {
        let job = &self.jobs[key];
        let JobPhase::Running { worker, .. } = job.phase else { return };
        if !job.may_leave() {
            return;
        }
        let part = &mut self.workers[worker as usize].movable[level(job.spec.urgency) - 1];
        *part = if movable { part.plus(&job.reserved) } else { part.minus(&job.reserved) };
    }

    /// Changes the reservation of a running task.
    pub(super) fn resize(&mut self, now: ClockReading, key: JobKey, size: Resources) {
        let Some(number) = self.jobs[key].phase.worker() else { return };
        self.set_movable(key, false);
        let before = std::mem::replace(&mut self.jobs[key].reserved, size);
        self.set_movable(key, true);
        let worker = &mut self.workers[number as usize];
        worker.reserved = worker.reserved.minus(&before).plus(&size);
        let team = self.jobs[key].spec.team.clone();
        self.use_quota(&team, &size, &before);
        self.reindex(now, number);
    }

    /// Starts a job that has its room: at once, or when the mark that it was
    /// started is durable if it may not be repeated.
    pub(super) fn begin_start(
        &mut self,
        now: ClockReading,
        key: JobKey,
        actions: &mut Vec<JobsAction>,
    ) {
        let job = &mut self.jobs[key];
        let Some(worker) = job.phase.worker() else { return };
        job.phase = JobPhase::Starting { worker };
        job.attempt += 1;
        job.start_tries = 0;
        if job.spec.repeatable || job.marked_started {
            return self.send_start(now, key, actions);
        }
        let segment = self.segments.mark_started(job.segment, &job.spec);
        job.segment = segment;
        self.store.pending.entry(segment).or_default().push(Pending::Start(key));
    }

    /// Reserves the room of a task that runs already, and renews its lease.
    pub(super) fn adopt_on(
        &mut self,
        now: ClockReading,
        key: JobKey,
        number: u32,
        size: Resources,
        actions: &mut Vec<JobsAction>,
    ) {
        self.reserve(now, key, number, size);
        let job = &mut self.jobs[key];
        job.phase = JobPhase::Running { worker: number, since_ms: now.monotonic_ms };
        job.start_tries = 1;
        let cancelled = job.cancelled;
        self.set_movable(key, true);
        self.reindex(now, number);
        self.renew_soon(now, number, 0);
        if cancelled {
            self.stop_task(now, key, actions);
        }
    }

    fn renew_soon(&mut self, now: ClockReading, number: u32, delay_ms: u64) {
        let worker = &mut self.workers[number as usize];
        worker.lease_over_ms = worker.lease_over_ms.max(now.monotonic_ms + LEASE_OVER_MS);
        if !std::mem::replace(&mut worker.renewing, true) {
            self.plan(now.monotonic_ms + delay_ms, Timer::Renew(number));
        }
    }

    pub(super) fn send_start(
        &mut self,
        now: ClockReading,
        key: JobKey,
        actions: &mut Vec<JobsAction>,
    ) {
        let job = &mut self.jobs[key];
        let Some(number) = job.phase.worker() else { return };
        job.start_tries += 1;
        let (attempt, size) = (job.attempt, job.reserved);
        let command = WorkerCommand::Start {
            job: job.spec.job.clone(),
            attempt,
            size,
            lease_ms: LEASE_MS,
            from_checkpoint: job.has_checkpoint,
        };
        self.renew_soon(now, number, RENEW_MS);
        self.call_worker(number, CallKind::Start(key, attempt), command, actions);
    }

    /// Makes room for an urgent job: throttles, then lets tasks save their
    /// state, then stops them; bulk tasks first.
    fn clear(
        &mut self,
        now: ClockReading,
        key: JobKey,
        number: u32,
        size: Resources,
        actions: &mut Vec<JobsAction>,
    ) {
        let missing = size.minus(&self.workers[number as usize].free());
        self.reserve(now, key, number, size);
        if missing.memory_bytes == 0
            && missing.accelerators == 0
            && self.throttle(now, number, missing.cpu_millicores, actions)
        {
            return self.begin_start(now, key, actions);
        }
        let leaving = self.choose_leaving(number, &missing);
        let left = leaving.len() as u32;
        for victim in leaving {
            self.ask_to_leave(now, victim, key, actions);
        }
        if left == 0 {
            return self.begin_start(now, key, actions);
        }
        self.jobs[key].phase = JobPhase::Clearing { worker: number, left };
    }

    /// Takes processors from tasks that may leave; returns whether that is
    /// enough. Nothing changes if it is not.
    fn throttle(
        &mut self,
        now: ClockReading,
        number: u32,
        missing: u64,
        actions: &mut Vec<JobsAction>,
    ) -> bool {
        let mut chosen = Vec::new();
        let mut gained = 0;
        for (victim, _) in self.tasks_that_may_leave(number) {
            if gained >= missing {
                break;
            }
            let job = &self.jobs[victim];
            if job.throttled_from.is_none() {
                let kept = job.reserved.cpu_millicores * THROTTLED_PERCENT / 100;
                gained += job.reserved.cpu_millicores - kept;
                chosen.push((victim, kept));
            }
        }
        if gained < missing {
            return false;
        }
        for (victim, kept) in chosen {
            self.limit_processors(now, victim, kept, actions);
        }
        true
    }

    pub(super) fn limit_processors(
        &mut self,
        now: ClockReading,
        key: JobKey,
        cpu_millicores: u64,
        actions: &mut Vec<JobsAction>,
    ) {
        let job = &mut self.jobs[key];
        let Some(number) = job.phase.worker() else { return };
        let before = job.reserved.cpu_millicores;
        job.throttled_from = (cpu_millicores < before).then_some(before);
        let (name, attempt) = (job.spec.job.clone(), job.attempt);
        let size = Resources { cpu_millicores, ..job.reserved };
        self.resize(now, key, size);
        let command = WorkerCommand::Throttle { job: name, attempt, cpu_millicores };
        self.call_worker(number, CallKind::Other, command, actions);
    }

    /// Running tasks that may leave, bulk before normal, those that can save
    /// their state first, then those that have run for the shortest time.
    fn tasks_that_may_leave(&self, number: u32) -> Vec<(JobKey, u64)> {
        let tasks = &self.workers[number as usize].tasks;
        let mut found: Vec<(usize, bool, u64, JobKey)> = tasks
            .iter()
            .filter_map(|&key| {
                let job = &self.jobs[key];
                let JobPhase::Running { since_ms, .. } = job.phase else { return None };
                let rank = 2 - level(job.spec.urgency).min(2);
                job.may_leave().then_some((rank, !job.spec.checkpoints, u64::MAX - since_ms, key))
            })
            .collect();
        found.sort_unstable();
        found.into_iter().map(|(_, _, since, key)| (key, u64::MAX - since)).collect()
    }

    fn choose_leaving(&self, number: u32, missing: &Resources) -> Vec<JobKey> {
        let mut missing = *missing;
        let mut chosen = Vec::new();
        for (key, _) in self.tasks_that_may_leave(number) {
            if missing == Resources::default() {
                break;
            }
            let reserved = self.jobs[key].reserved;
            let rest = missing.minus(&reserved);
            if rest != missing {
                missing = rest;
                chosen.push(key);
            }
        }
        chosen
    }

    fn ask_to_leave(
        &mut self,
        now: ClockReading,
        key: JobKey,
        successor: JobKey,
        actions: &mut Vec<JobsAction>,
    ) {
        let JobPhase::Running { worker, .. } = self.jobs[key].phase else { return };
        self.set_movable(key, false);
        let job = &mut self.jobs[key];
        job.phase = JobPhase::Leaving { worker, successor, hard: !job.spec.checkpoints };
        let (name, attempt) = (job.spec.job.clone(), job.attempt);
        let command = if job.spec.checkpoints {
            WorkerCommand::Checkpoint { job: name, attempt }
        } else {
            WorkerCommand::Stop { job: name, attempt }
        };
        self.reindex(now, worker);
        self.call_worker(worker, CallKind::Other, command, actions);
        self.plan(now.monotonic_ms + CHECKPOINT_WAIT_MS, Timer::Leave(key, attempt));
    }
}

/// Tells whether a team may use so much more. A job alone may use the whole
/// quota.
fn within_quota(team: &Team, size: &Resources, class: usize) -> bool {
    let part = |amount: u64| amount / 100 * QUOTA_PERCENT[class];
    let limit = Resources {
        cpu_millicores: part(team.quota.cpu_millicores),
        memory_bytes: part(team.quota.memory_bytes),
        accelerators: team.quota.accelerators,
    };
    let alone = team.used == Resources::default() && size.fits_in(&team.quota);
    alone || team.used.plus(size).fits_in(&limit)
}

/// A quarantined worker is tested with work that loses nothing.
fn is_test(job: &Job) -> bool {
    job.spec.repeatable && job.spec.urgency != Urgency::Urgent
}

fn decrease(counts: &mut std::collections::HashMap<(u32, u32), u32>, key: (u32, u32)) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}

/// Removal of a queue's first element if it is still the expected one.
trait RetainFirst {
    fn retain_first(&mut self, key: JobKey);
}

impl RetainFirst for std::collections::VecDeque<JobKey> {
    fn retain_first(&mut self, key: JobKey) {
        if self.front() == Some(&key) {
            self.pop_front();
        }
    }
}
