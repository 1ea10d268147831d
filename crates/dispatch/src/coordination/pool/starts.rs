//! Placement rounds: starts of waiting tasks, and the replies to them.

use std::{cmp::Reverse, collections::BinaryHeap, fmt::Write};

use hashbrown::{HashMap, HashSet};
use tamarackproxy::{
    coordination::jobs::Resources,
    state::{clock::ClockReading, ids::WorkerId},
};

use super::{
    advice::WORKERS_PER_QUERY,
    crashes::{ALONE_MS, Caution},
    engine::{CALL_MAX_MS, PoolEngine, contact},
    events::{
        AdviceQuestion, JobKey, Order, OrderOutcome, OrderReply, OrderTarget, PoolAction, Refusal,
        StartOrder, WorkerKey,
    },
    interference::RunAt,
    job_table::Job,
    lease::{ClockOrigin, LimitCall},
    occurrences::Occurrence,
    order::{Rank, RankInputs, value},
    placement::{PlaceQuery, REACHABLE_MS, Unplaceable, is_plain, takes_work},
    task::{Run, RunPhase, TaskRef},
    workers::Worker,
};
use crate::state::{RunNumber, StepSpec};

/// Delay before a task is retried after its worker refused it for lack of
/// capacity, in milliseconds: the worker is polled in between.
const NO_ROOM_DELAY_MS: u64 = 200;
/// Delay after any other refusal, in milliseconds.
const REFUSAL_DELAY_MS: u64 = 50;
/// Delay before a start that the worker cannot decode is retried, in
/// milliseconds: a worker of another version may decode it.
const MALFORMED_DELAY_MS: u64 = 5_000;
/// Time that a step takes beyond its tasks, in milliseconds: orders, polls and
/// the write of its last end.
const STEP_OVERHEAD_MS: u64 = 120;
/// Longest time for which the inputs to a job's rank are reused, in
/// milliseconds: expected durations change by a few percent within it.
const RANK_MAX_AGE_MS: u64 = 250;

/// Whether best-effort tasks and tasks that serve users may share a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sharing {
    /// They never share a worker.
    Exclusive,
    /// They may share; the best-effort tasks are throttled.
    Paced,
}

/// Whether a task may be placed on workers that are being vacated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VacatingWorkers {
    Excluded,
    /// On those that cannot become empty at present.
    IfBlocked,
}

/// Which waiting tasks of a step a placement round started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placed {
    /// All that may start now.
    All,
    /// Some, until the step's account reached its entitlement.
    UpToEntitlement,
    /// Not all, for lack of capacity.
    NoRoom,
}

impl PoolEngine {
    /// Starts waiting tasks in rank order as far as free capacity allows.
    pub(super) fn place(&mut self, now_ms: u64) {
        let mut unplaceable = Unplaceable::default();
        let mut waiting = BinaryHeap::from(self.waiting_steps(now_ms));
        while let Some(Reverse((rank, step))) = waiting.pop() {
            if self.is_rank_outdated(rank, step) {
                waiting.push(Reverse((rank.deferred(), step)));
                continue;
            }
            let Some(spec) = self.job_table.spec(step) else { continue };
            let (allocation, is_plain) = (spec.allocation(), is_plain(spec));
            if unplaceable.covers(&allocation) {
                self.note_delay(now_ms, rank, step);
                self.query_policy(now_ms, step);
                continue;
            }
            let placed = if spec.is_gang {
                self.place_gang(now_ms, step, rank)
            } else {
                self.place_step(now_ms, step, rank)
            };
            match placed {
                Placed::All => {}
                Placed::UpToEntitlement => waiting.push(Reverse((rank, step))),
                Placed::NoRoom => {
                    self.note_delay(now_ms, rank, step);
                    unplaceable.add(allocation, is_plain && !self.needs_ticket(step));
                    self.query_policy(now_ms, step);
                }
            }
        }
        self.fair_share.end_round(now_ms, &self.control.pool);
        self.is_short = !unplaceable.is_empty();
        if unplaceable.is_empty() && std::mem::take(&mut self.copies_due) {
            self.place_copies(now_ms);
        }
    }

    /// Returns whether a step's queue has a policy that permits only some
    /// workers.
    pub(super) fn needs_ticket(&self, step: TaskRef) -> bool {
        let job = self.job_table.job(step.job);
        job.is_some_and(|job| self.policy(&job.queue).advice.is_some())
    }

    /// Lists open steps with waiting tasks and their ranks.
    fn waiting_steps(&mut self, now_ms: u64) -> Vec<Reverse<(Rank, TaskRef)>> {
        let mut waiting = Vec::new();
        let largest = self.largest_free_capacity(now_ms);
        self.job_table.prune_unstarted();
        self.measure_shares(now_ms);
        for at in self.job_table.unstarted() {
            let Some(job) = self.job_table.job(at.job) else { continue };
            if !self.is_startable(job) {
                continue;
            }
            let (Some(spec), Some(step)) = (self.job_table.spec(at), self.job_table.step(at))
            else {
                continue;
            };
            let waits = spec.allocation().fits_in(&largest)
                && step.tasks.iter().any(|task| task.waits(now_ms));
            if waits {
                let inputs = self.rank_inputs(job, at.occurrence, now_ms);
                let rank = RankInputs { is_lasting: spec.is_lasting, ..inputs }.rank();
                waiting.push(Reverse((self.shared_rank(rank, job), at)));
            }
        }
        waiting
    }

    /// Returns whether the tasks of a job may be started by this controller.
    pub(super) fn is_startable(&self, job: &Job) -> bool {
        // A successor may have started a job that arrived while control was not
        // confirmed, and a previous controller one that was inherited.
        let may_be_started_elsewhere = job.arrived_ms >= self.confirmed_until_ms
            || (job.is_inherited && self.unreconciled.is_some());
        job.outcome.is_none() && !may_be_started_elsewhere
    }

    /// Returns the largest free amount of each resource on any worker. A task
    /// that needs more of one cannot be placed, whatever its rank.
    pub(super) fn largest_free_capacity(&self, now_ms: u64) -> Resources {
        let open = self.workers.iter().filter(|(_, worker)| takes_work(worker, now_ms));
        open.map(|(_, worker)| worker.free_capacity()).fold(
            Resources::default(),
            |largest, free| Resources {
                cpu_millicores: largest.cpu_millicores.max(free.cpu_millicores),
                memory_bytes: largest.memory_bytes.max(free.memory_bytes),
                accelerators: largest.accelerators.max(free.accelerators),
            },
        )
    }

    /// Returns the inputs to the rank of the steps of an occurrence. Apart from the
    /// age they are computed again only after one of its tasks has ended, or when
    /// they are older than [`RANK_MAX_AGE_MS`].
    pub(super) fn rank_inputs(&self, job: &Job, occurrence: u32, now_ms: u64) -> RankInputs {
        let (age_ms, waiting_ms) = job.occurrence_ages_ms(occurrence, now_ms);
        let state = job.occurrences.get(occurrence);
        if let Some((computed_ms, inputs)) = state.and_then(|state| state.rank_inputs.get())
            && now_ms < computed_ms + RANK_MAX_AGE_MS
        {
            return RankInputs { age_ms, waiting_ms, ..inputs };
        }
        let inputs = self.compute_rank_inputs(job, state, (age_ms, waiting_ms));
        if let Some(state) = state {
            state.rank_inputs.set(Some((now_ms, inputs)));
        }
        inputs
    }

    fn compute_rank_inputs(
        &self,
        job: &Job,
        occurrence: Option<&Occurrence>,
        (age_ms, waiting_ms): (u64, u64),
    ) -> RankInputs {
        let policy = self.policy(&job.queue);
        let expected = |step: &StepSpec| self.durations.expected_ms(&job.queue, step.estimate_ms);
        let mut chains: Vec<u64> = Vec::with_capacity(job.spec.steps.len());
        let mut open_paths_ms: Vec<u64> = Vec::with_capacity(job.spec.steps.len());
        let mut remaining_core_ms = 0.0;
        for (index, spec) in job.spec.steps.iter().enumerate() {
            let own_ms = expected(spec);
            let longest = |chains: &[u64]| {
                spec.after.iter().filter_map(|&after| chains.get(usize::from(after))).max().copied()
            };
            let state = occurrence.and_then(|occurrence| occurrence.steps.get(index));
            let is_done = state.is_some_and(|step| step.is_done());
            let open_ms = if is_done { 0 } else { own_ms + STEP_OVERHEAD_MS };
            let open_tasks = spec.tasks - state.map_or(0, |step| step.done_tasks);
            let millicores = spec.need.cpu_millicores as f64;
            remaining_core_ms += f64::from(open_tasks) * millicores / 1_000.0 * own_ms as f64;
            chains.push(longest(&chains).unwrap_or(0) + own_ms);
            open_paths_ms.push(longest(&open_paths_ms).unwrap_or(0) + open_ms);
        }
        let chain_ms = chains.iter().max().copied().unwrap_or(0);
        let relative = self.durations.relative_work(&job.queue, job.work_core_ms());
        RankInputs {
            is_lasting: false,
            priority: policy.priority,
            age_ms,
            waiting_ms,
            critical_path_ms: open_paths_ms.iter().max().copied().unwrap_or(0),
            objective_ms: (policy.stretch * chain_ms as f64) as u64 + policy.objective_ms,
            remaining_core_ms,
            value: value(relative),
        }
    }

    /// Starts the waiting tasks of a step, as long as its rank stays the same.
    fn place_step(&mut self, now_ms: u64, step: TaskRef, rank: Rank) -> Placed {
        let tasks = self.job_table.step(step).map_or(0, |step| step.tasks.len());
        let mut places = Vec::new();
        let mut placed = Placed::All;
        for index in 0..tasks as u32 {
            let task = TaskRef { index, ..step };
            let is_placed_alone = self.caution(task) == Caution::Alone;
            if self.job_table.task(task).is_none_or(|task| !task.waits(now_ms))
                || is_placed_alone
                || !self.is_crash_stored(task)
            {
                continue;
            }
            if self.is_rank_outdated(rank, step) {
                placed = Placed::UpToEntitlement;
                break;
            }
            if !self.may_start(task, 1) {
                self.note_blocked(now_ms, task, self.waiting_from(now_ms, task));
                break;
            }
            let Some(worker) = self.choose(now_ms, task) else {
                placed = Placed::NoRoom;
                break;
            };
            let starts = self.job_table.task(task).map_or(0, |task| task.starts);
            places.push((index, worker));
            self.start(now_ms, task, worker, starts);
            self.on_shared_start(rank, step);
        }
        self.log_starts(now_ms, step, &places);
        placed
    }

    /// Counts the waiting tasks of a step from `task` on.
    fn waiting_from(&self, now_ms: u64, task: TaskRef) -> u64 {
        let Some(step) = self.job_table.step(task) else { return 0 };
        let later = step.tasks.iter().skip(task.index as usize);
        later.filter(|task| task.waits(now_ms)).count() as u64
    }

    /// Adds the starts of a step's tasks to the trail: the step with the age of
    /// its job, then each task's index, run and worker.
    pub(super) fn log_starts(&mut self, now_ms: u64, step: TaskRef, places: &[(u32, WorkerKey)]) {
        if places.is_empty() || !log::log_enabled!(log::Level::Info) {
            return;
        }
        let Some(job) = self.job_table.job(step.job) else { return };
        let mut starts = String::new();
        for &(index, key) in places {
            let task = self.job_table.task(TaskRef { index, ..step });
            let run = task.and_then(|task| task.runs.iter().find(|run| run.worker == key));
            if let (Some(run), Some(worker)) = (run, self.workers.get(key)) {
                // Writing to a string cannot fail.
                let _ = write!(starts, " {index}:{}@{}", run.number, worker.entry.worker.as_str());
            }
        }
        let (number, age_ms) = (job.number, job.age_ms(now_ms));
        let TaskRef { occurrence, step, .. } = step;
        self.trail
            .add_starts(format_args!("{number}.{occurrence}.{step} after {age_ms} ms:{starts}"));
        if self.trail.is_full() {
            self.trail.flush(&self.control.pool, self.control.term);
        }
    }

    pub(super) fn choose(&self, now_ms: u64, task: TaskRef) -> Option<WorkerKey> {
        let found = self.choose_not_vacating(now_ms, task);
        if found.is_some() || !self.has_open_vacating(now_ms) {
            return found;
        }
        let query = self.place_query(task)?;
        let excluded = self.exclusion(now_ms, task, Sharing::Exclusive, VacatingWorkers::IfBlocked);
        query.choose(&self.workers, now_ms, |_, worker| worker.free_capacity(), excluded)
    }

    /// Returns whether some workers that are being vacated take tasks without other
    /// room.
    fn has_open_vacating(&self, now_ms: u64) -> bool {
        !self.vacating.is_empty()
            && self.workers.iter().any(|(_, worker)| worker.vacating.takes_tasks(now_ms))
    }

    /// Chooses a worker that is not being vacated.
    pub(super) fn choose_not_vacating(&self, now_ms: u64, task: TaskRef) -> Option<WorkerKey> {
        let query = self.place_query(task)?;
        let free_capacity = |_, worker: &Worker| worker.free_capacity();
        let exclusive = self.exclusion(now_ms, task, Sharing::Exclusive, VacatingWorkers::Excluded);
        if self.caution(task) == Caution::Alone {
            let occupied = |key, worker: &Worker| !worker.is_empty() || exclusive(key, worker);
            let found = query.choose(&self.workers, now_ms, free_capacity, occupied);
            if found.is_some() {
                return found;
            }
        }
        let found = query.choose(&self.workers, now_ms, free_capacity, exclusive);
        if found.is_some() || !(query.spec.uses_leftover || query.spec.tail_goal_ms.is_some()) {
            return found;
        }
        let paced = self.exclusion(now_ms, task, Sharing::Paced, VacatingWorkers::Excluded);
        query.choose(&self.workers, now_ms, free_capacity, paced)
    }

    /// Returns a predicate for workers that must not get a task although they
    /// have free capacity.
    fn exclusion(
        &self,
        now_ms: u64,
        task: TaskRef,
        sharing: Sharing,
        vacating: VacatingWorkers,
    ) -> impl Fn(WorkerKey, &Worker) -> bool {
        let spec = self.job_table.spec(task);
        let needs_ticket = self.needs_ticket(task);
        let runs_alone = self.caution(task) == Caution::Alone;
        let is_kept_apart = move |worker: &Worker| {
            if runs_alone {
                worker.is_taken_alone(now_ms) || !self.is_clear(worker)
            } else {
                !worker.is_shareable(now_ms)
            }
        };
        move |key, worker| {
            let is_closed =
                vacating == VacatingWorkers::Excluded || !worker.vacating.takes_tasks(now_ms);
            (worker.is_vacating && is_closed)
                || is_kept_apart(worker)
                || (needs_ticket && self.advice.ticket(now_ms, task, key).is_none())
                || spec.is_none_or(|spec| {
                    sharing == Sharing::Exclusive && self.would_interfere(spec, worker)
                })
        }
    }

    /// Returns whether a best-effort task would share a worker with one that
    /// serves users: the slowdown that this causes cannot be predicted.
    fn would_interfere(&self, spec: &StepSpec, worker: &Worker) -> bool {
        let serves = |spec: &StepSpec| spec.tail_goal_ms.is_some();
        if !spec.uses_leftover && !serves(spec) {
            return false;
        }
        worker.runs.keys().filter_map(|&task| self.job_table.spec(task)).any(|other| {
            (spec.uses_leftover && serves(other)) || (serves(spec) && other.uses_leftover)
        })
    }

    /// Queries the policy service for the workers that may run a step, if the
    /// step's queue requires it.
    fn query_policy(&mut self, now_ms: u64, step: TaskRef) {
        let Some(job) = self.job_table.job(step.job) else { return };
        if self.policy(&job.queue).advice.is_none() {
            return;
        }
        let Some(allocation) = self.job_table.spec(step).map(StepSpec::allocation) else { return };
        let open = self.workers.iter().filter(|&(key, worker)| {
            takes_work(worker, now_ms)
                && allocation.fits_in(&worker.free_capacity())
                && self.advice.needs_query(now_ms, step, key)
        });
        let mut workers: Vec<_> = open.map(|(_, worker)| worker.entry.worker.clone()).collect();
        workers.truncate(WORKERS_PER_QUERY);
        let Some(address) = self.job_table.address(step) else { return };
        if !workers.is_empty() && self.advice.begin_query(now_ms, step, address) {
            let question = AdviceQuestion { step: address, workers };
            self.actions.push(PoolAction::Advise(question));
        }
    }

    /// Handles the policy service's answer: the permitted workers with their
    /// tickets, or none if there was no answer.
    pub fn on_advice(
        &mut self,
        now: ClockReading,
        question: &AdviceQuestion,
        allowed: Option<Vec<(WorkerId, Box<str>)>>,
    ) {
        let job = self.job_table.find(question.step.job).and_then(|key| self.job_table.job(key));
        let advice = job.and_then(|job| self.policy(&job.queue).advice);
        let valid_ms = advice.map_or(0, |advice| advice.valid_ms);
        log::info!(step:display = question.step, asked = question.workers.len(),
            allowed = allowed.as_ref().map(Vec::len); "policy query completed");
        let answers = allowed.map(|mut allowed| {
            let answer = |name: &WorkerId| {
                let at = allowed.iter().position(|(worker, _)| worker == name);
                let ticket = at.map(|at| allowed.swap_remove(at).1);
                Some((self.workers.find(name)?, ticket))
            };
            question.workers.iter().filter_map(answer).collect::<Vec<_>>()
        });
        self.advice.on_answer(now.monotonic_ms, question.step, valid_ms, answers);
        self.placing_due = true;
    }

    fn place_query(&self, task: TaskRef) -> Option<PlaceQuery<'_>> {
        let job = self.job_table.job(task.job)?;
        let spec = self.job_table.spec(task)?;
        let step = self.job_table.step(task)?;
        let state = step.tasks.get(task.index as usize)?;
        let attempts_max = self.policy(&job.queue).attempts_max;
        let is_last_attempt =
            !spec.is_lasting && state.failed_runs.len() as u32 + 1 >= attempts_max;
        let suspects = (state.caution() == Caution::Apart).then_some(&self.suspects);
        // Tasks whose tail latency counts, and those that raise it, keep the
        // workers with the most room.
        let is_sensitive = spec.tail_goal_ms.is_some() || spec.uses_leftover;
        let shares_hosts = self.switches_off_hosts && !is_sensitive;
        let shared_with = shares_hosts.then_some(&self.job_table);
        let avoided = self.interference.avoided(spec, &job.queue);
        Some(PlaceQuery {
            spec,
            step,
            task: state,
            is_last_attempt,
            suspects,
            shared_with,
            avoided,
        })
    }

    /// Starts all members of a gang or none.
    fn place_gang(&mut self, now_ms: u64, step: TaskRef, rank: Rank) -> Placed {
        let Some(state) = self.job_table.step(step) else { return Placed::All };
        // The gang waits until the earlier runs of all members have certainly
        // ended.
        if !state.tasks.iter().all(|task| task.waits(now_ms)) {
            return Placed::All;
        }
        let members = state.tasks.len() as u32;
        if !(0..members).all(|index| self.is_crash_stored(TaskRef { index, ..step })) {
            return Placed::All;
        }
        let starts = state.tasks.iter().map(|task| task.starts).max().unwrap_or(0);
        let is_allowed = self.may_start(step, members.into());
        let Some(spec) = self.job_table.spec(step) else { return Placed::All };
        let (allocation, spread) = (spec.allocation(), spec.per_worker_max);
        let mut planned: HashMap<WorkerKey, (u32, Resources)> = HashMap::new();
        let mut planned_alone: HashSet<WorkerKey> = HashSet::new();
        let mut places = Vec::with_capacity(members as usize);
        for index in 0..members {
            let Some(query) = self.place_query(TaskRef { index, ..step }) else {
                return Placed::All;
            };
            let runs_alone = self.caution(TaskRef { index, ..step }) == Caution::Alone;
            let free_capacity = |key: WorkerKey, worker: &Worker| match planned.get(&key) {
                Some(_) if runs_alone || planned_alone.contains(&key) => Resources::default(),
                Some((count, _)) if spread.is_some_and(|max| *count >= max) => Resources::default(),
                Some((_, taken)) => worker.free_capacity().minus(taken),
                None => worker.free_capacity(),
            };
            let task = TaskRef { index, ..step };
            let choose = |vacating| {
                let excluded = self.exclusion(now_ms, task, Sharing::Exclusive, vacating);
                query.choose(&self.workers, now_ms, free_capacity, excluded)
            };
            let last_resort = || {
                let is_open = self.has_open_vacating(now_ms);
                is_open.then(|| choose(VacatingWorkers::IfBlocked)).flatten()
            };
            let Some(worker) = choose(VacatingWorkers::Excluded).or_else(last_resort) else {
                return if is_allowed { Placed::NoRoom } else { Placed::All };
            };
            let (count, taken) = planned.entry(worker).or_default();
            *count += 1;
            *taken = taken.plus(&allocation);
            if runs_alone {
                planned_alone.insert(worker);
            }
            places.push(worker);
        }
        if !is_allowed {
            self.note_blocked(now_ms, step, members.into());
            return Placed::All;
        }
        let places: Vec<_> = (0..).zip(places).collect();
        for &(index, worker) in &places {
            self.start(now_ms, TaskRef { index, ..step }, worker, starts);
        }
        self.on_shared_start(rank, step);
        self.log_starts(now_ms, step, &places);
        Placed::All
    }

    pub(super) fn start(&mut self, now_ms: u64, task: TaskRef, key: WorkerKey, starts: u32) {
        let number = RunNumber::in_term(self.control.term, starts);
        let Some(address) = self.job_table.address(task) else { return };
        let Some(allocation) = self.job_table.spec(task).map(StepSpec::allocation) else { return };
        let caution = self.caution(task);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(clock) = worker.lease.clock() else { return };
        if caution == Caution::Alone {
            (worker.is_reserved, worker.alone) = (false, Some((task, now_ms + ALONE_MS)));
        }
        let valid_until_ms = clock.now_ms(now_ms) + self.timing.start_valid_ms;
        let call = LimitCall { sent_ms: now_ms, arrives_by_ms: now_ms + CALL_MAX_MS };
        worker.lease.send(call, valid_until_ms, self.timing.worker_lease_max_ms);
        let contact = contact(key, worker, self.control.term);
        self.workers.allocate(key, task, number, allocation);
        let Some(state) = self.job_table.task_mut(task) else { return };
        if state.runs.is_empty() {
            state.lost_run = None;
        }
        (state.waits_alone_since_ms, state.has_waited_alone) = (None, false);
        state.starts = starts + 1;
        let checkpoint = state.checkpoint.clone();
        let is_comparable = state.runs.is_empty() && checkpoint.is_empty();
        let run = Run {
            worker: key,
            number,
            phase: RunPhase::Ordered,
            is_settled: false,
            has_begun: false,
            since_ms: now_ms,
            start_until_ms: valid_until_ms,
            percent: 0,
            percent_since_ms: now_ms,
            pace: None,
        };
        self.job_table.add_run(task, run);
        self.note_begin(now_ms, RunAt { worker: key, task, number }, is_comparable);
        let ticket = self.advice.ticket(now_ms, task, key).unwrap_or_default().into();
        let Some(job) = self.job_table.job(task.job) else { return };
        let order =
            StartOrder { job: std::rc::Rc::clone(&job.spec), valid_until_ms, checkpoint, ticket };
        let target = OrderTarget { worker: key, task: address, run: number };
        self.actions.push(PoolAction::Order { contact, target, order: Order::Start(order) });
    }

    /// Handles the result of a start order.
    pub fn on_start_reply<O>(&mut self, now: ClockReading, target: OrderTarget, outcome: O)
    where
        O: Into<OrderOutcome>,
    {
        let OrderOutcome { reply, clock_ms } = outcome.into();
        let now_ms = now.monotonic_ms;
        let origin = self.check_origin(now_ms, &target, clock_ms);
        if reply != OrderReply::Accepted {
            let worker = self.workers.get(target.worker);
            let worker = worker.map_or("", |worker| worker.entry.worker.as_str());
            log::info!(task:display = target.task, run:display = target.run, worker = worker,
                reply:? = reply; "start was not confirmed");
        }
        let task = self.job_table.resolve(target.task);
        let current = self.current_target(target);
        match reply {
            OrderReply::Accepted => {
                if let Some(worker) = self.workers.get_mut(target.worker) {
                    worker.heard_ms = now_ms;
                }
                if let Some(run) = task.and_then(|task| self.run_mut(task, &current)) {
                    run.has_begun = true;
                    run.is_settled |= origin == ClockOrigin::Known;
                    if matches!(run.phase, RunPhase::Ordered | RunPhase::Unanswered { .. }) {
                        run.phase = RunPhase::Running { since_ms: now_ms };
                    }
                }
            }
            OrderReply::Refused(refusal) => self.on_start_refused(now, target, task, refusal),
            OrderReply::NotSent => {
                self.mark_lost(now_ms, target.worker);
                self.drop_unstarted(now_ms + REFUSAL_DELAY_MS, current, task);
            }
            OrderReply::Unknown => {
                self.mark_lost(now_ms, target.worker);
                if let Some(run) = task.and_then(|task| self.run_mut(task, &target))
                    && run.phase == RunPhase::Ordered
                {
                    run.phase = RunPhase::Unanswered { since_ms: now_ms };
                }
            }
        }
        self.placing_due = true;
    }

    /// Returns which incarnation of its worker replied to an order. If it is another
    /// one than the order was meant for, the worker gets no further orders until a
    /// poll shows that one.
    pub(super) fn check_origin(
        &mut self,
        now_ms: u64,
        target: &OrderTarget,
        clock_ms: Option<u64>,
    ) -> ClockOrigin {
        let worker = self.workers.get(target.worker);
        let clock = worker.and_then(|worker| worker.lease.clock());
        let (Some(worker), Some(clock), Some(clock_ms)) = (worker, clock, clock_ms) else {
            return ClockOrigin::Ambiguous;
        };
        let origin = clock.origin(now_ms, clock_ms);
        if origin == ClockOrigin::Other {
            log::warn!(worker = worker.entry.worker.as_str(),
                born_unix_ms = worker.entry.born_unix_ms, task:display = target.task,
                run:display = target.run, clock_ms = clock_ms,
                expected_clock_ms = clock.now_ms(now_ms);
                "order was received by another incarnation of the worker");
            metrics::counter!("orders_to_other_incarnations").increment(1);
            self.mark_unreachable(now_ms, target.worker);
        }
        origin
    }

    fn on_start_refused(
        &mut self,
        now: ClockReading,
        target: OrderTarget,
        task: Option<TaskRef>,
        refusal: Refusal,
    ) {
        let now_ms = now.monotonic_ms;
        let current = self.current_target(target);
        let delay_ms = match refusal {
            Refusal::OldTerm => return self.fence("a worker has seen a higher term"),
            Refusal::OtherLife if current == target => {
                return self
                    .end_incarnation(target.worker, "another incarnation answers at its address");
            }
            Refusal::OtherLife => REFUSAL_DELAY_MS,
            Refusal::NoRoom => {
                self.mark_unreachable(now_ms, target.worker);
                NO_ROOM_DELAY_MS
            }
            Refusal::Unhealthy => {
                if let Some(worker) = self.workers.get_mut(target.worker) {
                    worker.health.suspend(now_ms);
                }
                0
            }
            Refusal::Malformed => MALFORMED_DELAY_MS,
            Refusal::NoTicket => {
                if let Some(task) = task {
                    self.advice.on_refused(task, target.worker);
                }
                REFUSAL_DELAY_MS
            }
            Refusal::OldRun | Refusal::Late => REFUSAL_DELAY_MS,
        };
        self.drop_unstarted(now_ms + delay_ms, current, task);
    }

    /// Records that an order to a worker had no reply.
    fn mark_lost(&mut self, now_ms: u64, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.lost_ms.get_or_insert(now_ms);
        }
        self.mark_unreachable(now_ms, key);
    }

    /// Treats a worker as unreachable until it answers the next poll, which is
    /// sent at once.
    fn mark_unreachable(&mut self, now_ms: u64, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.polled_ms = worker
                .polled_ms
                .map(|polled_ms| polled_ms.min(now_ms.saturating_sub(REACHABLE_MS)));
        }
        self.workers.poll_by(now_ms, key);
    }

    /// Reverts a start that was certainly not carried out.
    fn drop_unstarted(&mut self, not_before_ms: u64, target: OrderTarget, task: Option<TaskRef>) {
        let Some(task) = task else { return };
        self.drop_run(task, target.worker, target.run);
        if let Some(state) = self.job_table.task_mut(task) {
            state.not_before_ms = state.not_before_ms.max(not_before_ms);
        }
        if self.job_table.spec(task).is_some_and(|spec| spec.is_gang) {
            // Members that did start would wait for the others until they time
            // out.
            self.stop_step(not_before_ms, task);
        }
    }

    pub(super) fn run_mut(&mut self, task: TaskRef, target: &OrderTarget) -> Option<&mut Run> {
        self.job_table.task_mut(task)?.run_mut(target.worker, target.run)
    }

    /// Removes a run that has ended, or was never started and cannot be any
    /// more.
    pub(super) fn drop_run(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        number: RunNumber,
    ) -> Option<Run> {
        self.workers.release(worker, task, number);
        self.note_former_crash(worker);
        self.interference.on_over(self.stepped_ms, RunAt { worker, task, number });
        let run = self.job_table.take_run(task, worker, number)?;
        self.placing_due = true;
        self.on_run_over(task.job);
        Some(run)
    }

    fn on_run_over(&mut self, key: JobKey) {
        if let Some(job) = self.job_table.job_mut(key) {
            job.live_runs = job.live_runs.saturating_sub(1);
            self.remove_if_over(key);
        }
    }
}
