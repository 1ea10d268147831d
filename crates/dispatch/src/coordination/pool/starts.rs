//! Starts of tasks and what becomes of them.

use hashbrown::HashMap;
use tamarackproxy::{
    coordination::jobs::Resources,
    state::{clock::ClockReading, ids::WorkerId},
};

use super::{
    advice::WORKERS_PER_QUESTION,
    engine::{PoolEngine, contact},
    events::{
        AdviceQuestion, JobKey, Order, OrderReply, OrderTarget, PoolAction, Refusal, StartOrder,
        WorkerKey,
    },
    ledger::Job,
    order::{Rank, Waiting},
    placement::{PlaceQuery, TOUCH_MS, takes_work},
    task::{Run, RunPhase, TaskRef},
    workers::Worker,
};
use crate::state::{RunNumber, StepSpec};

/// Delay before a task is tried again after its worker refused it for want of
/// room, in milliseconds: the worker is looked at in between.
const NO_ROOM_DELAY_MS: u64 = 200;
/// Delay after any other refusal, in milliseconds.
const REFUSAL_DELAY_MS: u64 = 50;
/// Delay before a start that the worker cannot read is tried again, in
/// milliseconds: another version of the worker may read it.
const MALFORMED_DELAY_MS: u64 = 5_000;
/// Multiple of the expected duration after which a copy may pay.
const COPY_FACTOR: u64 = 2;
/// Time on top of that multiple, in milliseconds.
const COPY_SLACK_MS: u64 = 250;
/// Largest value of a job relative to others of its queue; the users' own cap.
const VALUE_MAX: f64 = 4.0;

/// Whether leftover tasks and tasks that serve may share a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sharing {
    /// They keep apart.
    Apart,
    /// They share, and the leftover tasks are slowed down.
    Paced,
}

impl PoolEngine {
    /// Starts what waits, in order, as far as there is room.
    pub(super) fn place(&mut self, now_ms: u64) {
        let mut lacks_room = false;
        for (_, step) in self.waiting_steps(now_ms) {
            let Some(spec) = self.ledger.spec(step) else { continue };
            let is_placed = if spec.is_gang {
                self.place_gang(now_ms, step)
            } else {
                self.place_step(now_ms, step)
            };
            if !is_placed {
                lacks_room = true;
                self.ask_advice(now_ms, step);
            }
        }
        if !lacks_room {
            self.place_copies(now_ms);
        }
    }

    /// Lists open steps with waiting tasks, in the order of their ranks.
    fn waiting_steps(&self, now_ms: u64) -> Vec<(Rank, TaskRef)> {
        let mut waiting = Vec::new();
        let largest = self.largest_room(now_ms);
        for (key, job) in self.ledger.iter() {
            // A successor may have started a job that arrived while control was
            // not confirmed.
            let may_be_anothers = job.arrived_ms >= self.confirmed_until_ms
                || (job.is_inherited && self.unsettled.is_some());
            if job.outcome.is_some() || may_be_anothers {
                continue;
            }
            let mut common = None;
            for (&occurrence, state) in &job.occurrences {
                for (index, step) in state.steps.iter().enumerate() {
                    let fits = job.spec.steps[index].charge().fits_in(&largest);
                    let waits =
                        fits && step.is_open() && step.tasks.iter().any(|task| task.waits(now_ms));
                    if !waits {
                        continue;
                    }
                    let view = *common.get_or_insert_with(|| self.view(job, now_ms));
                    let is_lasting = job.spec.steps[index].is_lasting;
                    let rank = Waiting { is_lasting, ..view }.rank();
                    let task = TaskRef { job: key, occurrence, step: index as u16, index: 0 };
                    waiting.push((rank, task));
                }
            }
        }
        waiting.sort_unstable();
        waiting
    }

    /// Returns the largest room in each part, on whatever worker: a task that
    /// needs more finds no place, whatever its rank.
    fn largest_room(&self, now_ms: u64) -> Resources {
        let open = self.workers.iter().filter(|(_, worker)| takes_work(worker, now_ms));
        open.map(|(_, worker)| worker.room()).fold(Resources::default(), |largest, room| {
            Resources {
                cpu_millicores: largest.cpu_millicores.max(room.cpu_millicores),
                memory_bytes: largest.memory_bytes.max(room.memory_bytes),
                accelerators: largest.accelerators.max(room.accelerators),
            }
        })
    }

    /// Gathers what the order of a job's steps depends on.
    fn view(&self, job: &Job, now_ms: u64) -> Waiting {
        let policy = self.policy(&job.queue);
        let expected = |step: &StepSpec| self.durations.expected_ms(&job.queue, step.estimate_ms);
        let mut chains: Vec<u64> = Vec::with_capacity(job.spec.steps.len());
        let mut open_chains: Vec<u64> = Vec::with_capacity(job.spec.steps.len());
        let mut remaining_core_ms = 0.0;
        let occurrence = job.occurrences.values().next_back();
        for (index, spec) in job.spec.steps.iter().enumerate() {
            let own_ms = expected(spec);
            let longest = |chains: &[u64]| {
                spec.after.iter().filter_map(|&after| chains.get(usize::from(after))).max().copied()
            };
            let state = occurrence.and_then(|occurrence| occurrence.steps.get(index));
            let is_done = state.is_some_and(|step| step.is_done());
            let open_ms = if is_done { 0 } else { own_ms };
            let open_tasks = spec.tasks - state.map_or(0, |step| step.done_tasks);
            let millicores = spec.need.cpu_millicores as f64;
            remaining_core_ms += f64::from(open_tasks) * millicores / 1_000.0 * own_ms as f64;
            chains.push(longest(&chains).unwrap_or(0) + own_ms);
            open_chains.push(longest(&open_chains).unwrap_or(0) + open_ms);
        }
        let chain_ms = chains.iter().max().copied().unwrap_or(0);
        let relative = self.durations.relative_work(&job.queue, job.work_core_ms());
        Waiting {
            is_lasting: false,
            priority: policy.priority,
            age_ms: job.age_ms(now_ms),
            remaining_chain_ms: open_chains.iter().max().copied().unwrap_or(0),
            objective_ms: (policy.stretch * chain_ms as f64) as u64 + policy.objective_ms,
            remaining_core_ms,
            // The users' own measure: a base for each job and the rest by size.
            value: (0.3 + 0.7 * relative).min(VALUE_MAX),
        }
    }

    /// Starts the waiting tasks of a step; tells whether all found a place.
    fn place_step(&mut self, now_ms: u64, step: TaskRef) -> bool {
        let tasks = self.ledger.step(step).map_or(0, |step| step.tasks.len());
        for index in 0..tasks as u32 {
            let task = TaskRef { index, ..step };
            if self.ledger.task(task).is_none_or(|task| !task.waits(now_ms)) {
                continue;
            }
            let Some(worker) = self.choose(now_ms, task) else { return false };
            let starts = self.ledger.task(task).map_or(0, |task| task.starts);
            self.start(now_ms, task, worker, starts);
        }
        true
    }

    fn choose(&self, now_ms: u64, task: TaskRef) -> Option<WorkerKey> {
        let query = self.place_query(task)?;
        let room = |_, worker: &Worker| worker.room();
        let apart = self.exclusion(now_ms, task, Sharing::Apart);
        let found = query.choose(&self.workers, now_ms, room, apart);
        if found.is_some() || !(query.spec.uses_leftover || query.spec.tail_goal_ms.is_some()) {
            return found;
        }
        let paced = self.exclusion(now_ms, task, Sharing::Paced);
        query.choose(&self.workers, now_ms, room, paced)
    }

    /// Returns what tells whether a worker with room must not get a task.
    fn exclusion(
        &self,
        now_ms: u64,
        task: TaskRef,
        sharing: Sharing,
    ) -> impl Fn(WorkerKey, &Worker) -> bool {
        let spec = self.ledger.spec(task);
        let needs_ticket =
            self.ledger.job(task.job).is_some_and(|job| self.policy(&job.queue).advice.is_some());
        move |key, worker| {
            worker.is_vacating
                || (needs_ticket && self.advice.ticket(now_ms, task, key).is_none())
                || spec.is_none_or(|spec| {
                    sharing == Sharing::Apart && self.would_disturb(spec, worker)
                })
        }
    }

    /// Tells whether a task that uses leftover capacity would share a worker
    /// with one that serves users: the one slows the other by amounts that
    /// nobody knows beforehand.
    fn would_disturb(&self, spec: &StepSpec, worker: &Worker) -> bool {
        let serves = |spec: &StepSpec| spec.tail_goal_ms.is_some();
        if !spec.uses_leftover && !serves(spec) {
            return false;
        }
        worker.runs.keys().filter_map(|&task| self.ledger.spec(task)).any(|other| {
            (spec.uses_leftover && serves(other)) || (serves(spec) && other.uses_leftover)
        })
    }

    /// Asks which workers may run a step, if its queue's policy is to be asked.
    fn ask_advice(&mut self, now_ms: u64, step: TaskRef) {
        let Some(job) = self.ledger.job(step.job) else { return };
        if self.policy(&job.queue).advice.is_none() {
            return;
        }
        let Some(charge) = self.ledger.spec(step).map(StepSpec::charge) else { return };
        let open = self.workers.iter().filter(|&(key, worker)| {
            takes_work(worker, now_ms)
                && charge.fits_in(&worker.room())
                && self.advice.is_open(now_ms, step, key)
        });
        let mut workers: Vec<_> = open.map(|(_, worker)| worker.entry.worker.clone()).collect();
        workers.truncate(WORKERS_PER_QUESTION);
        let Some(address) = self.ledger.address(step) else { return };
        if !workers.is_empty() && self.advice.ask(now_ms, step) {
            let question = AdviceQuestion { step: address, workers };
            self.actions.push(PoolAction::Advise(question));
        }
    }

    /// Takes in the policy service's answer: permissions of the workers that
    /// were named and may run the step; none if there was no answer.
    pub fn on_advice(
        &mut self,
        now: ClockReading,
        question: &AdviceQuestion,
        allowed: Option<Vec<(WorkerId, Box<str>)>>,
    ) {
        let Some(task) = self.ledger.resolve(question.step) else { return };
        let Some(job) = self.ledger.job(task.job) else { return };
        let valid_ms = self.policy(&job.queue).advice.map_or(0, |advice| advice.valid_ms);
        log::info!(step:display = question.step, asked = question.workers.len(),
            allowed = allowed.as_ref().map(Vec::len); "policy was asked for workers");
        let answers = allowed.map(|mut allowed| {
            let answer = |name: &WorkerId| {
                let at = allowed.iter().position(|(worker, _)| worker == name);
                let ticket = at.map(|at| allowed.swap_remove(at).1);
                Some((self.workers.find(name)?, ticket))
            };
            question.workers.iter().filter_map(answer).collect::<Vec<_>>()
        });
        self.advice.on_answer(now.monotonic_ms, task, valid_ms, answers);
        self.placing_due = true;
    }

    fn place_query(&self, task: TaskRef) -> Option<PlaceQuery<'_>> {
        let job = self.ledger.job(task.job)?;
        let spec = self.ledger.spec(task)?;
        let step = self.ledger.step(task)?;
        let state = step.tasks.get(task.index as usize)?;
        let attempts_max = self.policy(&job.queue).attempts_max;
        let is_last_attempt =
            !spec.is_lasting && state.failed_runs.len() as u32 + 1 >= attempts_max;
        Some(PlaceQuery { spec, step, task: state, is_last_attempt })
    }

    /// Starts all members of a gang or none; tells whether there was room.
    fn place_gang(&mut self, now_ms: u64, step: TaskRef) -> bool {
        let Some(state) = self.ledger.step(step) else { return true };
        // Members whose runs are not surely over hold the others back.
        if !state.tasks.iter().all(|task| task.waits(now_ms)) {
            return true;
        }
        let members = state.tasks.len() as u32;
        let starts = state.tasks.iter().map(|task| task.starts).max().unwrap_or(0);
        let Some(spec) = self.ledger.spec(step) else { return true };
        let (charge, spread) = (spec.charge(), spec.per_worker_max);
        let mut planned: HashMap<WorkerKey, (u32, Resources)> = HashMap::new();
        let mut places = Vec::with_capacity(members as usize);
        for index in 0..members {
            let Some(query) = self.place_query(TaskRef { index, ..step }) else {
                return true;
            };
            let room = |key: WorkerKey, worker: &Worker| match planned.get(&key) {
                Some((count, _)) if spread.is_some_and(|max| *count >= max) => Resources::default(),
                Some((_, taken)) => worker.room().minus(taken),
                None => worker.room(),
            };
            let task = TaskRef { index, ..step };
            let excluded = self.exclusion(now_ms, task, Sharing::Apart);
            let Some(worker) = query.choose(&self.workers, now_ms, room, excluded) else {
                return false;
            };
            let (count, taken) = planned.entry(worker).or_default();
            *count += 1;
            *taken = taken.plus(&charge);
            places.push(worker);
        }
        for (index, worker) in places.into_iter().enumerate() {
            self.start(now_ms, TaskRef { index: index as u32, ..step }, worker, starts);
        }
        true
    }

    /// Starts copies of tasks that take far longer than expected, where the
    /// step allows it and nothing else waits for the room.
    fn place_copies(&mut self, now_ms: u64) {
        let mut slow = Vec::new();
        for (key, job) in self.ledger.iter().filter(|(_, job)| job.outcome.is_none()) {
            for (&occurrence, state) in &job.occurrences {
                for (index, (step, spec)) in state.steps.iter().zip(&job.spec.steps).enumerate() {
                    if !spec.allows_copies || !step.is_open() || step.is_done() {
                        continue;
                    }
                    let expected_ms = self.durations.expected_ms(&job.queue, spec.estimate_ms);
                    for (number, task) in step.tasks.iter().enumerate() {
                        let [run] = &task.runs[..] else { continue };
                        if !task.is_done && self.is_behind(run, expected_ms, now_ms) {
                            let (step, index) = (index as u16, number as u32);
                            slow.push(TaskRef { job: key, occurrence, step, index });
                        }
                    }
                }
            }
        }
        for task in slow {
            if let Some(worker) = self.choose(now_ms, task) {
                let starts = self.ledger.task(task).map_or(0, |task| task.starts);
                log::info!(task:? = self.ledger.address(task); "starting a copy of a slow task");
                self.start(now_ms, task, worker, starts);
            }
        }
    }

    fn is_behind(&self, run: &Run, expected_ms: u64, now_ms: u64) -> bool {
        if run.is_stopping() {
            return false;
        }
        let out_of_touch =
            self.workers.get(run.worker).is_none_or(|worker| !worker.is_in_touch(now_ms, TOUCH_MS));
        let elapsed_ms = now_ms.saturating_sub(run.since_ms);
        let percent = u64::from(run.percent.clamp(1, 100));
        let left_ms = elapsed_ms * (100 - percent) / percent;
        out_of_touch
            || (elapsed_ms > expected_ms * COPY_FACTOR + COPY_SLACK_MS && left_ms > expected_ms)
    }

    fn start(&mut self, now_ms: u64, task: TaskRef, key: WorkerKey, starts: u32) {
        let number = RunNumber::in_term(self.control.term, starts);
        let Some(address) = self.ledger.address(task) else { return };
        let Some(charge) = self.ledger.spec(task).map(StepSpec::charge) else { return };
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(clock) = worker.clock else { return };
        let valid_until_ms = clock.now_ms(now_ms) + self.timing.start_valid_ms;
        worker.grant(valid_until_ms);
        worker.charge(task, number, charge);
        let contact = contact(key, worker, self.control.term);
        let Some(state) = self.ledger.task_mut(task) else { return };
        state.starts = starts + 1;
        state.runs.push(Run {
            worker: key,
            number,
            phase: RunPhase::Ordered,
            since_ms: now_ms,
            start_until_ms: valid_until_ms,
            percent: 0,
            percent_since_ms: now_ms,
            pace: None,
        });
        let checkpoint = state.checkpoint.clone();
        let ticket = self.advice.ticket(now_ms, task, key).unwrap_or_default().into();
        let Some(job) = self.ledger.job_mut(task.job) else { return };
        job.live_runs += 1;
        job.has_started = true;
        let age_ms = job.age_ms(now_ms);
        let order =
            StartOrder { job: std::rc::Rc::clone(&job.spec), valid_until_ms, checkpoint, ticket };
        log::info!(task:display = address, run:display = number,
            worker = contact.worker.as_str(), term = self.control.term.0, age_ms = age_ms;
            "start ordered");
        let target = OrderTarget { worker: key, task: address, run: number };
        self.actions.push(PoolAction::Order { contact, target, order: Order::Start(order) });
    }

    /// Takes in the result of a start.
    pub fn on_start_reply(&mut self, now: ClockReading, target: OrderTarget, reply: OrderReply) {
        let now_ms = now.monotonic_ms;
        if reply != OrderReply::Accepted {
            log::info!(task:display = target.task, run:display = target.run, reply:? = reply;
                "start was not confirmed");
        }
        let task = self.ledger.resolve(target.task);
        match reply {
            OrderReply::Accepted => {
                if let Some(run) = task.and_then(|task| self.run_mut(task, &target))
                    && matches!(run.phase, RunPhase::Ordered | RunPhase::Unanswered { .. })
                {
                    run.phase = RunPhase::Running { since_ms: now_ms };
                }
            }
            OrderReply::Refused(refusal) => self.on_start_refused(now, target, task, refusal),
            OrderReply::NotSent => {
                self.lose_touch(now_ms, target.worker);
                self.drop_unstarted(now_ms + REFUSAL_DELAY_MS, target, task);
            }
            OrderReply::Unknown => {
                self.lose_touch(now_ms, target.worker);
                if let Some(run) = task.and_then(|task| self.run_mut(task, &target))
                    && run.phase == RunPhase::Ordered
                {
                    run.phase = RunPhase::Unanswered { since_ms: now_ms };
                }
            }
        }
        self.placing_due = true;
    }

    fn on_start_refused(
        &mut self,
        now: ClockReading,
        target: OrderTarget,
        task: Option<TaskRef>,
        refusal: Refusal,
    ) {
        let now_ms = now.monotonic_ms;
        let delay_ms = match refusal {
            Refusal::OldTerm => return self.fence("a worker has seen a higher term"),
            Refusal::OtherLife => {
                return self.end_life(target.worker, "another life answers at its address");
            }
            Refusal::NoRoom => {
                self.lose_touch(now_ms, target.worker);
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
        self.drop_unstarted(now_ms + delay_ms, target, task);
    }

    /// Lets a worker get no work until it has answered a look again.
    fn lose_touch(&mut self, now_ms: u64, worker: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.looked_ms =
                worker.looked_ms.map(|looked_ms| looked_ms.min(now_ms.saturating_sub(TOUCH_MS)));
            worker.next_look_ms = worker.next_look_ms.min(now_ms);
        }
    }

    /// Takes back a start that was surely not carried out.
    fn drop_unstarted(&mut self, not_before_ms: u64, target: OrderTarget, task: Option<TaskRef>) {
        let Some(task) = task else { return };
        self.drop_run(task, target.worker, target.run);
        if let Some(state) = self.ledger.task_mut(task) {
            state.not_before_ms = state.not_before_ms.max(not_before_ms);
        }
        if self.ledger.spec(task).is_some_and(|spec| spec.is_gang) {
            // Members that did start would wait in vain.
            self.stop_step(not_before_ms, task);
        }
    }

    pub(super) fn run_mut(&mut self, task: TaskRef, target: &OrderTarget) -> Option<&mut Run> {
        self.ledger.task_mut(task)?.run_mut(target.worker, target.run)
    }

    /// Forgets a run that does not exist and cannot come to exist.
    pub(super) fn drop_run(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        number: RunNumber,
    ) -> Option<Run> {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.release(task, number);
        }
        let run = self.ledger.task_mut(task)?.take_run(worker, number)?;
        self.placing_due = true;
        self.on_run_over(task.job);
        Some(run)
    }

    fn on_run_over(&mut self, key: JobKey) {
        if let Some(job) = self.ledger.job_mut(key) {
            job.live_runs = job.live_runs.saturating_sub(1);
            self.remove_if_over(key);
        }
    }
}
