//! Table of jobs with their occurrences, steps and tasks.

use std::{collections::BTreeSet, rc::Rc};

use hashbrown::{HashMap, HashSet};
use slotmap::SlotMap;
use tamarackproxy::state::{
    clock::ClockReading,
    ids::{AccountId, QueueId, RecordVersion},
};

use super::{
    accounts::AccountLedger,
    events::{JobKey, WorkerKey},
    occurrences::{Occurrences, OpenTotals, Opening},
    task::{Run, Step, Task, TaskRef},
};
use crate::state::{
    JobNumber, JobOutcome, JobSpec, ProgressRecord, RunNumber, StepProgress, StepSpec, TaskAddress,
    TaskProgress,
};

/// Upper bound on the age computed for an inherited job, in milliseconds: the
/// wall clocks of two processes may differ by seconds.
const INHERITED_AGE_MAX_MS: u64 = 60_000;

/// A job that has not ended, whose outcome is not stored yet, or which still
/// has runs.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) number: JobNumber,
    pub(super) queue: QueueId,
    /// Client account that the job is charged to; none if its queue was public.
    pub(super) account: Option<AccountId>,
    pub(super) spec: Rc<JobSpec>,
    /// Version of the job's record.
    pub(super) version: RecordVersion,
    /// When the engine learned of the job, on the local clock.
    pub(super) arrived_ms: u64,
    /// Age of the job at that time, in milliseconds.
    pub(super) age_at_arrival_ms: u64,
    /// A previous controller may have started its tasks.
    pub(super) is_inherited: bool,
    pub(super) has_started: bool,
    pub(super) outcome: Option<JobOutcome>,
    /// The outcome is stored in the job's record.
    pub(super) is_outcome_stored: bool,
    pub(super) occurrences: Occurrences,
    /// Runs that exist or may still be started by a worker.
    pub(super) live_runs: u32,
}

impl Job {
    pub(super) fn new(
        number: JobNumber,
        queue: QueueId,
        spec: JobSpec,
        version: RecordVersion,
    ) -> Self {
        Self {
            number,
            queue,
            account: None,
            spec: Rc::new(spec),
            version,
            arrived_ms: 0,
            age_at_arrival_ms: 0,
            is_inherited: false,
            has_started: false,
            outcome: None,
            is_outcome_stored: false,
            occurrences: Occurrences::default(),
            live_runs: 0,
        }
    }

    /// Sets the client account that the job is charged to.
    pub(super) fn with_account(mut self, account: Option<AccountId>) -> Self {
        self.account = account;
        self
    }

    /// Sets when the engine learned of the job and how old it was then. The
    /// acceptance time comes from another process's clock, so the age is
    /// bounded.
    pub(super) fn with_arrival(
        mut self,
        now: ClockReading,
        accepted_unix_ms: u64,
        is_inherited: bool,
    ) -> Self {
        self.arrived_ms = now.monotonic_ms;
        let age_ms = now.unix_ms.saturating_sub(accepted_unix_ms);
        self.age_at_arrival_ms = if is_inherited { age_ms.min(INHERITED_AGE_MAX_MS) } else { 0 };
        self.is_inherited = is_inherited;
        self
    }

    /// Returns the declared work of one occurrence, in core-milliseconds.
    pub(super) fn work_core_ms(&self) -> f64 {
        let work = |step: &StepSpec| {
            let millicores = step.need.cpu_millicores as f64;
            f64::from(step.tasks) * millicores / 1_000.0 * f64::from(step.estimate_ms)
        };
        self.spec.steps.iter().map(work).sum()
    }

    pub(super) fn age_ms(&self, now_ms: u64) -> u64 {
        self.age_at_arrival_ms + now_ms.saturating_sub(self.arrived_ms)
    }

    /// Returns for how long callers have waited for an occurrence, and for how long it
    /// could have been started, in milliseconds.
    pub(super) fn occurrence_ages_ms(&self, occurrence: u32, now_ms: u64) -> (u64, u64) {
        match self.occurrences.get(occurrence) {
            Some(state) if self.is_scheduled() => (state.age_ms(now_ms), state.open_ms(now_ms)),
            _ => (self.age_ms(now_ms), self.age_ms(now_ms)),
        }
    }

    /// Returns whether all occurrences are done.
    pub(super) fn is_complete(&self) -> bool {
        self.occurrences.done_count() >= self.spec.occurrences()
    }

    /// Returns the number of tasks in memory that have no run.
    fn idle_tasks(&self) -> u64 {
        let open = u64::from(self.occurrences.open_count()) * self.spec.tasks();
        open.saturating_sub(self.live_runs.into())
    }

    pub(super) fn step(&self, occurrence: u32, step: u16) -> Option<&Step> {
        self.occurrences.get(occurrence)?.steps.get(usize::from(step))
    }

    pub(super) fn is_scheduled(&self) -> bool {
        self.spec.schedule.is_some()
    }

    /// Returns the progress that a successor must know.
    pub(super) fn progress(&self) -> ProgressRecord {
        let mut steps = Vec::new();
        for (number, occurrence) in self.occurrences.iter() {
            for (index, step) in occurrence.steps.iter().enumerate() {
                let is_done = step.is_done();
                let changed = |task: &(usize, &Task)| !is_done && task.1.has_progress();
                let tasks: Vec<TaskProgress> = (step.tasks.iter().enumerate())
                    .filter(changed)
                    .map(|(index, task)| TaskProgress {
                        index: index as u32,
                        is_done: task.is_done,
                        failed_runs: task.failed_runs.clone(),
                        checkpoint: task.checkpoint.clone(),
                        crashes: task.crashes,
                        lost_run: task.lost_run,
                    })
                    .collect();
                if is_done || !tasks.is_empty() {
                    let step = index as u16;
                    steps.push(StepProgress { occurrence: number, step, is_done, tasks });
                }
            }
        }
        let (ended_below, ended_later) = self.occurrences.ended();
        ProgressRecord { ended_below, steps, ended_later }
    }
}

/// What the end of a task completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Completion {
    /// Only the task; other tasks of the step are open.
    Task,
    /// The step; steps that depend on it may now be open.
    Step,
    /// The whole job.
    Job,
}

/// All jobs of a pool that its engine has to track.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: SlotMap<JobKey, Job>,
    by_number: HashMap<JobNumber, JobKey>,
    schedules: BTreeSet<JobKey>,
    /// Schedules with occurrences that are due and wait until others have started.
    deferred: BTreeSet<JobKey>,
    /// Open steps that may have tasks without a run, each by its first task.
    unstarted: HashSet<TaskRef>,
    accounts: AccountLedger,
}

impl JobTable {
    pub(super) fn insert(&mut self, job: Job) -> JobKey {
        let (number, is_scheduled) = (job.number, job.is_scheduled());
        let key = self.jobs.insert(job);
        if is_scheduled {
            self.schedules.insert(key);
        }
        self.by_number.insert(number, key);
        key
    }

    pub(super) fn remove(&mut self, key: JobKey) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        self.by_number.remove(&job.number);
        self.schedules.remove(&key);
        self.deferred.remove(&key);
        Some(job)
    }

    pub(super) fn find(&self, number: JobNumber) -> Option<JobKey> {
        self.by_number.get(&number).copied()
    }

    pub(super) fn job(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Returns whether a job's outcome has yet to be stored.
    pub(super) fn is_live(&self, key: JobKey) -> bool {
        self.job(key).is_some_and(|job| !job.is_outcome_stored)
    }

    pub(super) fn job_mut(&mut self, key: JobKey) -> Option<&mut Job> {
        self.jobs.get_mut(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        self.jobs.iter()
    }

    /// Opens the occurrences of a job that are due, as far as they may be kept in
    /// memory; returns whether there were any.
    pub(super) fn open_due(&mut self, key: JobKey, now: ClockReading) -> bool {
        let mut totals = self.open_totals();
        self.open_within(key, now, &mut totals)
    }

    /// Does the same for all schedules.
    pub(super) fn open_all_due(&mut self, now: ClockReading) -> bool {
        let schedules: Vec<_> = self.schedules.iter().copied().collect();
        self.open_each(schedules, now)
    }

    /// Does the same for the schedules with occurrences that were due before.
    pub(super) fn open_deferred(&mut self, now: ClockReading) -> bool {
        let deferred: Vec<_> = self.deferred.iter().copied().collect();
        self.open_each(deferred, now)
    }

    fn open_each(&mut self, keys: Vec<JobKey>, now: ClockReading) -> bool {
        if keys.is_empty() {
            return false;
        }
        let mut totals = self.open_totals();
        let mut opened = false;
        for key in keys {
            opened |= self.open_within(key, now, &mut totals);
        }
        opened
    }

    fn open_totals(&self) -> OpenTotals {
        let schedules = self.schedules.iter().filter_map(|&key| self.jobs.get(key));
        let idle_tasks = schedules.map(Job::idle_tasks).sum();
        OpenTotals { schedules: self.schedules.len() as u32, idle_tasks }
    }

    fn open_within(&mut self, key: JobKey, now: ClockReading, totals: &mut OpenTotals) -> bool {
        let Some(job) = self.jobs.get_mut(key) else { return false };
        let spec = Rc::clone(&job.spec);
        let mut opened = false;
        let was_deferred = self.deferred.remove(&key);
        while job.outcome.is_none() {
            let number = match job.occurrences.open_next(&spec, now, totals) {
                Opening::Opened(number) => number,
                Opening::Deferred => {
                    if !was_deferred {
                        log::info!(job:display = job.number,
                            open = job.occurrences.open_count();
                            "due occurrences of a schedule wait until others have started");
                    }
                    self.deferred.insert(key);
                    break;
                }
                Opening::NoneDue => break,
            };
            totals.idle_tasks += spec.tasks();
            let steps = job.occurrences.get(number).map_or(&[][..], |state| &state.steps);
            self.unstarted.extend(open_steps(key, number, steps));
            opened = true;
        }
        opened
    }

    /// Opens the occurrence of a task that a worker lists, unless it has ended: a
    /// previous controller may have started tasks of occurrences that this one has
    /// not opened yet.
    pub(super) fn open_listed(&mut self, address: TaskAddress, now: ClockReading) {
        let Some(key) = self.find(address.job) else { return };
        self.open_begun(key, address.occurrence, now);
    }

    fn open_begun(&mut self, key: JobKey, number: u32, now: ClockReading) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.occurrences.open_begun(&job.spec, number, now)
            && let Some(state) = job.occurrences.get(number)
        {
            self.unstarted.extend(open_steps(key, number, &state.steps));
        }
    }

    /// Returns the open steps that may have tasks without a run, each by its
    /// first task.
    pub(super) fn unstarted(&self) -> impl Iterator<Item = TaskRef> {
        self.unstarted.iter().copied()
    }

    /// Forgets the steps of which every task has a run or is done.
    pub(super) fn prune_unstarted(&mut self) {
        let jobs = &self.jobs;
        self.unstarted.retain(|at| {
            let step = jobs.get(at.job).and_then(|job| job.step(at.occurrence, at.step));
            step.is_some_and(|step| step.tasks.iter().any(Task::is_unstarted))
        });
    }

    /// Returns the use by client accounts.
    pub(super) fn accounts(&self) -> &AccountLedger {
        &self.accounts
    }

    pub(super) fn accounts_mut(&mut self) -> &mut AccountLedger {
        &mut self.accounts
    }

    /// Adds a run of a task and charges it to the job's account.
    pub(super) fn add_run(&mut self, task: TaskRef, run: Run) {
        let Some(state) = self.task_mut(task) else { return };
        state.runs.push(run);
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        job.live_runs += 1;
        job.has_started = true;
        job.occurrences.note_start(task.occurrence);
        if let (Some(account), Some(spec)) =
            (&job.account, job.spec.steps.get(usize::from(task.step)))
        {
            self.accounts.charge(account, &spec.need);
        }
    }

    /// Records that the added run of a task was started by a previous controller.
    pub(super) fn note_adopted(&mut self, task: TaskRef) {
        let Some(job) = self.jobs.get(task.job) else { return };
        if let (Some(account), Some(spec)) =
            (&job.account, job.spec.steps.get(usize::from(task.step)))
        {
            self.accounts.note_adopted(account, &spec.need);
        }
    }

    /// Removes a run that has ended or was never started.
    pub(super) fn take_run(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        number: RunNumber,
    ) -> Option<Run> {
        let run = self.task_mut(task)?.take_run(worker, number)?;
        let job = self.jobs.get_mut(task.job)?;
        if let (Some(account), Some(spec)) =
            (&job.account, job.spec.steps.get(usize::from(task.step)))
        {
            self.accounts.release(account, &spec.need);
        }
        if job.is_scheduled() {
            job.occurrences.retire(task.occurrence);
        }
        self.unstarted.insert(TaskRef { index: 0, ..task });
        Some(run)
    }

    /// Restores progress that a previous controller stored. To be called before the
    /// job's occurrences are opened.
    pub(super) fn restore(&mut self, key: JobKey, now: ClockReading, progress: &ProgressRecord) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.occurrences.restore_ended(progress);
        let spec = Rc::clone(&job.spec);
        for restored in &progress.steps {
            self.open_begun(key, restored.occurrence, now);
        }
        for restored in &progress.steps {
            let occurrence = restored.occurrence;
            if restored.is_done {
                let tasks = spec.steps.get(usize::from(restored.step)).map_or(0, |step| step.tasks);
                for index in 0..tasks {
                    self.complete(TaskRef { job: key, occurrence, step: restored.step, index });
                }
            }
            for saved in &restored.tasks {
                let index = saved.index;
                let task = TaskRef { job: key, occurrence, step: restored.step, index };
                if let Some(task) = self.task_mut(task) {
                    task.failed_runs.clone_from(&saved.failed_runs);
                    task.checkpoint = saved.checkpoint.clone();
                    task.crashes = saved.crashes;
                    task.lost_run = saved.lost_run;
                }
                if saved.is_done {
                    self.complete(task);
                }
            }
        }
    }

    pub(super) fn spec(&self, task: TaskRef) -> Option<&StepSpec> {
        self.jobs.get(task.job)?.spec.steps.get(usize::from(task.step))
    }

    pub(super) fn step(&self, task: TaskRef) -> Option<&Step> {
        self.jobs.get(task.job)?.step(task.occurrence, task.step)
    }

    pub(super) fn step_mut(&mut self, task: TaskRef) -> Option<&mut Step> {
        let job = self.jobs.get_mut(task.job)?;
        job.occurrences.get_mut(task.occurrence)?.steps.get_mut(usize::from(task.step))
    }

    pub(super) fn task(&self, task: TaskRef) -> Option<&Task> {
        self.step(task)?.tasks.get(task.index as usize)
    }

    pub(super) fn task_mut(&mut self, task: TaskRef) -> Option<&mut Task> {
        self.step_mut(task)?.tasks.get_mut(task.index as usize)
    }

    /// Finds a task by its address; returns none for occurrences that have ended or
    /// were not opened.
    pub(super) fn resolve(&self, address: TaskAddress) -> Option<TaskRef> {
        let job = self.find(address.job)?;
        let TaskAddress { occurrence, step, index, .. } = address;
        let task = TaskRef { job, occurrence, step, index };
        self.task(task).map(|_| task)
    }

    pub(super) fn address(&self, task: TaskRef) -> Option<TaskAddress> {
        let job = self.jobs.get(task.job)?.number;
        let TaskRef { occurrence, step, index, .. } = task;
        Some(TaskAddress { job, occurrence, step, index })
    }

    /// Marks a task as done.
    pub(super) fn complete(&mut self, task: TaskRef) -> Completion {
        let Some(state) = self.task_mut(task) else { return Completion::Task };
        if state.is_done {
            return Completion::Task;
        }
        state.is_done = true;
        self.invalidate_rank(task);
        let Some(step) = self.step_mut(task) else { return Completion::Task };
        step.done_tasks += 1;
        if !step.is_done() {
            return Completion::Task;
        }
        self.close_step(task)
    }

    fn close_step(&mut self, task: TaskRef) -> Completion {
        let Some(job) = self.jobs.get_mut(task.job) else { return Completion::Task };
        let spec = Rc::clone(&job.spec);
        let Some(occurrence) = job.occurrences.get_mut(task.occurrence) else {
            return Completion::Task;
        };
        for (step, state) in spec.steps.iter().zip(&mut occurrence.steps) {
            let waits_for = step.after.iter().filter(|&&after| after == task.step).count();
            state.open_dependencies = state.open_dependencies.saturating_sub(waits_for);
        }
        occurrence.rank_inputs.set(None);
        self.unstarted.extend(open_steps(task.job, task.occurrence, &occurrence.steps));
        if !occurrence.is_done() {
            return Completion::Step;
        }
        job.occurrences.note_done(task.occurrence);
        if job.is_scheduled() {
            job.occurrences.retire(task.occurrence);
        }
        if job.is_complete() { Completion::Job } else { Completion::Step }
    }

    fn invalidate_rank(&self, task: TaskRef) {
        let job = self.jobs.get(task.job);
        if let Some(occurrence) = job.and_then(|job| job.occurrences.get(task.occurrence)) {
            occurrence.rank_inputs.set(None);
        }
    }
}

/// Returns the steps of an occurrence that are open and not done, each by its
/// first task.
fn open_steps(job: JobKey, occurrence: u32, steps: &[Step]) -> impl Iterator<Item = TaskRef> {
    let open = steps.iter().enumerate().filter(|(_, step)| step.is_open() && !step.is_done());
    open.map(move |(step, _)| TaskRef { job, occurrence, step: step as u16, index: 0 })
}
