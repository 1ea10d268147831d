//! Placement of waiting jobs, and preemption for urgent ones.

use super::{
    engine::{CallKind, JobEngine, LEASE_EXPIRY_MS, LEASE_MS, Timer},
    events::{JobsAction, JobsReport, WorkerCommand},
    resources::Resources,
    state::{Job, JobKey, JobPhase, Team, Worker, urgency_class},
    store::Pending,
};
use crate::state::{clock::ClockReading, document::Urgency, ids::TeamId};

/// Maximum number of placement attempts per event, which bounds the cost of an
/// event; the next tick continues.
const PLACEMENTS_PER_EVENT: usize = 32;
/// Number of failed placement attempts after which an event stops trying
/// further teams.
const MISSES_PER_EVENT: usize = 8;
/// Maximum number of jobs with excluded workers that are skipped in a team's
/// queue.
const RESTRICTED_PER_EVENT: usize = 8;
/// Parked teams per urgency class that are tried again when resources are
/// released.
const UNPARKED_PER_RELEASE: usize = 4;
/// Time that a task has to save its checkpoint before it is stopped, in
/// milliseconds. It leaves an urgent job one second of its 1.5 s start
/// objective.
pub(super) const CHECKPOINT_WAIT_MS: u64 = 500;
/// Percentage of a team's processor and memory quota that jobs may use, by
/// urgency class (urgent, normal, bulk). The reserve lets a team start urgent
/// jobs at once even if it fills its quota with less urgent ones.
const QUOTA_PERCENT: [u64; 3] = [100, 90, 80];
/// Percentage of its processors that a throttled task keeps.
const THROTTLED_PERCENT: u64 = 25;
/// Interval between renewals of a worker's lease, in milliseconds.
pub(super) const RENEW_MS: u64 = LEASE_MS / 3;

/// Returns the free capacity of a worker if the preemptible tasks of its
/// `classes` least urgent classes were stopped.
fn capacity_after_preemption(worker: &Worker, classes: usize) -> Resources {
    worker.preemptible[2 - classes..]
        .iter()
        .fold(worker.free(), |capacity, part| capacity.plus(part))
}

impl JobEngine {
    /// Queues a team in an urgency class if it has waiting jobs and is not
    /// parked.
    pub(super) fn enqueue_team(&mut self, team: &TeamId, class: usize) {
        let Some(state) = self.teams.get(team) else { return };
        if !state.waiting[class].is_empty() && !self.parked_teams[class].contains(team) {
            self.team_queue[class].insert((state.used.dominant_share(&state.quota), team.clone()));
        }
    }

    /// Queues up to `limit` parked teams of each urgency class again.
    pub(super) fn unpark_teams(&mut self, limit: usize) {
        for class in 0..3 {
            for _ in 0..limit {
                let Some(team) = self.parked_teams[class].pop_first() else { break };
                self.enqueue_team(&team, class);
            }
        }
    }

    /// Updates the usage of a team and its position in the queue, which depends
    /// on its share.
    fn use_quota(&mut self, team: &TeamId, added: &Resources, removed: &Resources) {
        let Some(state) = self.teams.get_mut(team) else { return };
        let freed = !removed.fits_in(added);
        let before = state.used.dominant_share(&state.quota);
        state.used = state.used.plus(added).minus(removed);
        for class in 0..3 {
            let was_waiting = self.team_queue[class].remove(&(before, team.clone()));
            if was_waiting || freed {
                self.parked_teams[class].remove(team);
                self.enqueue_team(team, class);
            }
        }
    }

    /// Updates the capacity indexes after a change to a worker.
    pub(super) fn reindex(&mut self, now: ClockReading, number: u32) {
        let worker = &self.workers[number as usize];
        let takes = worker.takes_tasks(now.monotonic_ms);
        let quarantined = worker.health.is_quarantined();
        let free = takes.then(|| worker.free());
        let preempting_bulk = (takes && !quarantined).then(|| capacity_after_preemption(worker, 1));
        let preempting_all = (takes && !quarantined).then(|| capacity_after_preemption(worker, 2));
        self.free.set(number, free.as_ref());
        self.preempting_bulk.set(number, preempting_bulk.as_ref());
        self.preempting_all.set(number, preempting_all.as_ref());
    }

    /// Places waiting jobs by urgency class, and within a class first those of
    /// the team that uses the smallest share of its quota.
    pub(super) fn place_waiting(&mut self, now: ClockReading, actions: &mut Vec<JobsAction>) {
        self.more_to_place = false;
        if !self.loaded {
            return;
        }
        let (mut tries, mut misses) = (0, 0);
        for class in 0..3 {
            while let Some((share, team)) = self.team_queue[class].first().cloned() {
                if tries == PLACEMENTS_PER_EVENT || misses == MISSES_PER_EVENT {
                    self.more_to_place = true;
                    return;
                }
                let Some(key) = self.first_waiting(&team, class) else {
                    self.team_queue[class].remove(&(share, team));
                    continue;
                };
                tries += 1;
                if self.place(now, key, actions) {
                    if let Some(state) = self.teams.get_mut(&team) {
                        state.waiting[class].pop_if_front(key);
                    }
                    let state = &self.teams[&team];
                    if state.waiting[class].is_empty() {
                        let share = state.used.dominant_share(&state.quota);
                        self.team_queue[class].remove(&(share, team));
                    }
                } else {
                    misses += 1;
                    if self.rotate_past_restricted(&team, class, key) {
                        continue;
                    }
                    self.team_queue[class].remove(&(share, team.clone()));
                    self.parked_teams[class].insert(team);
                }
            }
        }
    }

    /// Moves a job with excluded workers behind others of its team, so that it
    /// does not block them; returns whether an unrestricted job is at the front
    /// now.
    fn rotate_past_restricted(&mut self, team: &TeamId, class: usize, key: JobKey) -> bool {
        if !self.is_restricted(key) {
            return false;
        }
        for _ in 0..RESTRICTED_PER_EVENT {
            let Some(state) = self.teams.get_mut(team) else { return false };
            state.waiting[class].rotate_left(1);
            match self.first_waiting(team, class) {
                Some(next) if next == key => return false,
                Some(next) if self.is_restricted(next) => {}
                next => return next.is_some(),
            }
        }
        false
    }

    /// Returns whether workers are excluded for a job because it failed or was
    /// refused there.
    fn is_restricted(&self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        !job.failed_on.is_empty() || job.refused_by.is_some()
    }

    /// Returns the first queued job of a team; jobs in front that are no longer
    /// queued are removed.
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
        let mut size = self.size_estimates.expected(application, &declared, &state.quota);
        if !self.fits_any_worker(&size) {
            size = declared;
        }
        if !within_quota(state, &size, urgency_class(urgency)) {
            return false;
        }
        self.search_offset = self.search_offset.wrapping_add(1);
        if let Some(worker) = self.choose_worker(now, key, application, &size, 0) {
            self.reserve(now, key, worker, size);
            self.begin_start(now, key, actions);
            return true;
        }
        if urgency == Urgency::Urgent {
            for classes in 1..=2 {
                if let Some(worker) = self.choose_worker(now, key, application, &size, classes) {
                    self.preempt_for(now, key, worker, size, actions);
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
        if !self.jobs[key].reported_impossible && !self.fits_any_worker(declared) {
            self.jobs[key].reported_impossible = true;
            let job = self.jobs[key].spec.job.clone();
            actions.push(JobsAction::Report { report: JobsReport::Impossible { job } });
        }
    }

    /// Chooses the suitable worker whose rack, then data centre, runs the
    /// fewest tasks of the application. `classes` is the number of least urgent
    /// classes that may be preempted.
    fn choose_worker(
        &self,
        now: ClockReading,
        key: JobKey,
        application: u32,
        size: &Resources,
        classes: usize,
    ) -> Option<u32> {
        let index = [&self.free, &self.preempting_bulk, &self.preempting_all][classes];
        let job = &self.jobs[key];
        let fits = |number: u32| {
            let worker = &self.workers[number as usize];
            let capacity = if classes == 0 {
                worker.free()
            } else {
                capacity_after_preemption(worker, classes)
            };
            size.fits_in(&capacity)
                && worker.takes_tasks(now.monotonic_ms)
                && !job.failed_on.contains(&number)
                && job.refused_by != Some(number)
                && (!worker.health.is_quarantined() || may_probe(job))
        };
        let found = index.search(size, self.search_offset, fits);
        found.into_iter().min_by_key(|&number| {
            let worker = &self.workers[number as usize];
            let in_rack = self.tasks_by_rack.get(&(application, worker.rack)).copied().unwrap_or(0);
            let centre = (application, worker.data_centre);
            (in_rack, self.tasks_by_data_centre.get(&centre).copied().unwrap_or(0))
        })
    }

    /// Reserves `size` on a worker and moves the job to `Starting`.
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
        *self.tasks_by_rack.entry((application, worker.rack)).or_default() += 1;
        *self.tasks_by_data_centre.entry((application, worker.data_centre)).or_default() += 1;
        self.use_quota(&team, &size, &Resources::default());
        self.reindex(now, number);
    }

    /// Releases the reservation of a job on its worker.
    pub(super) fn release(&mut self, now: ClockReading, key: JobKey) {
        let Some(number) = self.jobs[key].phase.worker() else { return };
        let name = self.jobs[key].spec.application.clone();
        let application = self.application(&name);
        self.set_preemptible(key, false);
        let job = &mut self.jobs[key];
        let (team, size) = (job.spec.team.clone(), job.reserved);
        job.reserved = Resources::default();
        job.throttled_from = None;
        let worker = &mut self.workers[number as usize];
        worker.reserved = worker.reserved.minus(&size);
        worker.tasks.retain(|&task| task != key);
        decrease(&mut self.tasks_by_rack, (application, worker.rack));
        decrease(&mut self.tasks_by_data_centre, (application, worker.data_centre));
        self.use_quota(&team, &Resources::default(), &size);
        self.reindex(now, number);
        self.unpark_teams(UNPARKED_PER_RELEASE);
    }

    /// Adds the reservation of a running task to its worker's preemptible
    /// total, or removes it.
    pub(super) fn set_preemptible(&mut self, key: JobKey, preemptible: bool) {
        let job = &self.jobs[key];
        let JobPhase::Running { worker, .. } = job.phase else { return };
        if !job.is_preemptible() {
            return;
        }
        let part =
            &mut self.workers[worker as usize].preemptible[urgency_class(job.spec.urgency) - 1];
        *part = if preemptible { part.plus(&job.reserved) } else { part.minus(&job.reserved) };
    }

    /// Changes the reservation of a running task.
    pub(super) fn resize(&mut self, now: ClockReading, key: JobKey, size: Resources) {
        let Some(number) = self.jobs[key].phase.worker() else { return };
        self.set_preemptible(key, false);
        let before = std::mem::replace(&mut self.jobs[key].reserved, size);
        self.set_preemptible(key, true);
        let worker = &mut self.workers[number as usize];
        worker.reserved = worker.reserved.minus(&before).plus(&size);
        let team = self.jobs[key].spec.team.clone();
        self.use_quota(&team, &size, &before);
        self.reindex(now, number);
    }

    /// Starts a job whose resources are reserved. For a non-repeatable job, a
    /// start marker is written durably first.
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

    /// Reserves the resources of a task that already runs on the worker, and
    /// renews its lease.
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
        self.set_preemptible(key, true);
        self.reindex(now, number);
        self.renew_soon(now, number, 0);
        if cancelled {
            self.stop_task(now, key, actions);
        }
    }

    /// Schedules a lease renewal after `delay_ms` unless one is scheduled
    /// already.
    fn renew_soon(&mut self, now: ClockReading, number: u32, delay_ms: u64) {
        let worker = &mut self.workers[number as usize];
        worker.lease_expires_ms = worker.lease_expires_ms.max(now.monotonic_ms + LEASE_EXPIRY_MS);
        if !std::mem::replace(&mut worker.renewal_scheduled, true) {
            self.schedule_timer(now.monotonic_ms + delay_ms, Timer::RenewLease(number));
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

    /// Frees resources for an urgent job, from bulk tasks first: throttles
    /// tasks if that is enough, otherwise checkpoints and stops them.
    fn preempt_for(
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
        let victims = self.choose_victims(number, &missing);
        let remaining = victims.len() as u32;
        for victim in victims {
            self.evict(now, victim, key, actions);
        }
        if remaining == 0 {
            return self.begin_start(now, key, actions);
        }
        self.jobs[key].phase = JobPhase::AwaitingEvictions { worker: number, remaining };
    }

    /// Throttles preemptible tasks to free `missing` millicores; returns
    /// whether that is enough. Nothing changes if it is not.
    fn throttle(
        &mut self,
        now: ClockReading,
        number: u32,
        missing: u64,
        actions: &mut Vec<JobsAction>,
    ) -> bool {
        let mut chosen = Vec::new();
        let mut gained = 0;
        for (victim, _) in self.preemptible_tasks(number) {
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

    /// Returns the preemptible running tasks of a worker with their start
    /// times: bulk before normal, then those that can save a checkpoint, then
    /// those that have run for the shortest time.
    fn preemptible_tasks(&self, number: u32) -> Vec<(JobKey, u64)> {
        let tasks = &self.workers[number as usize].tasks;
        let mut found: Vec<(usize, bool, u64, JobKey)> = tasks
            .iter()
            .filter_map(|&key| {
                let job = &self.jobs[key];
                let JobPhase::Running { since_ms, .. } = job.phase else { return None };
                let rank = 2 - urgency_class(job.spec.urgency).min(2);
                job.is_preemptible().then_some((
                    rank,
                    !job.spec.checkpoints,
                    u64::MAX - since_ms,
                    key,
                ))
            })
            .collect();
        found.sort_unstable();
        found.into_iter().map(|(_, _, since, key)| (key, u64::MAX - since)).collect()
    }

    /// Chooses tasks to evict until `missing` is covered.
    fn choose_victims(&self, number: u32, missing: &Resources) -> Vec<JobKey> {
        let mut missing = *missing;
        let mut chosen = Vec::new();
        for (key, _) in self.preemptible_tasks(number) {
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

    /// Checkpoints or stops a running task to make room for `preemptor`.
    fn evict(
        &mut self,
        now: ClockReading,
        key: JobKey,
        preemptor: JobKey,
        actions: &mut Vec<JobsAction>,
    ) {
        let JobPhase::Running { worker, .. } = self.jobs[key].phase else { return };
        self.set_preemptible(key, false);
        let job = &mut self.jobs[key];
        job.phase =
            JobPhase::Evicting { worker, preemptor, without_checkpoint: !job.spec.checkpoints };
        let (name, attempt) = (job.spec.job.clone(), job.attempt);
        let command = if job.spec.checkpoints {
            WorkerCommand::Checkpoint { job: name, attempt }
        } else {
            WorkerCommand::Stop { job: name, attempt }
        };
        self.reindex(now, worker);
        self.call_worker(worker, CallKind::Other, command, actions);
        self.schedule_timer(now.monotonic_ms + CHECKPOINT_WAIT_MS, Timer::RetryStop(key, attempt));
    }
}

/// Returns whether a job of `size` stays within the team's quota for its
/// urgency class. A job may use the full quota if the team runs nothing else.
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

/// Returns whether a job may probe a quarantined worker: only repeatable,
/// non-urgent jobs, so that a failure loses nothing.
fn may_probe(job: &Job) -> bool {
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

/// Removes the front element of a queue if it is the expected one.
trait PopIfFront {
    fn pop_if_front(&mut self, key: JobKey);
}

impl PopIfFront for std::collections::VecDeque<JobKey> {
    fn pop_if_front(&mut self, key: JobKey) {
        if self.front() == Some(&key) {
            self.pop_front();
        }
    }
}
