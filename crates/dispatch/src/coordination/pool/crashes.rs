//! Tasks under which workers crashed.
//!
//! Load pattern: a few tasks crash each worker that starts them. The worker was
//! running twenty other tasks and is away for seconds. The others must not be
//! given up, and most of them must not wait for a worker of their own: the loss
//! of a rack makes a hundred tasks suspects, and each of them is innocent.
//!
//! A crash counts against every task whose run had been up for less than
//! [`TRIAL_MS`]. A task whose run had only just begun, or under which a second
//! worker crashed, runs alone next if a worker is clear in time, so that the next
//! crash tells whether it is the cause. The others are started again beside other
//! work, but apart from each other. The count is stored before the task is started
//! again, since a successor has to know it.

use std::{collections::VecDeque, fmt::Write};

use hashbrown::HashMap;
use tamarackproxy::state::ids::HostId;

use super::{
    engine::PoolEngine,
    events::WorkerKey,
    placement::takes_work,
    task::{Run, RunPhase, Task, TaskRef},
    workers::{ProgressSequence, Worker},
};
use crate::state::{CrashRecord, JobOutcome, RunNumber};

/// Time after which a run that is still up is not the cause of a crash, in
/// milliseconds.
const TRIAL_MS: u64 = 5_000;
/// Time for which a run that is placed alone keeps its worker to itself, in
/// milliseconds: most tasks end within it.
pub(super) const ALONE_MS: u64 = 2_000;
/// Time for which a task waits for a worker of its own, in milliseconds. The
/// platform allows three seconds while there is room for the task.
const ALONE_WAIT_MS: u64 = 1_000;
/// The same for a long-running task, which has to be up six seconds after it was
/// lost with its worker.
const LASTING_ALONE_WAIT_MS: u64 = 2_500;
/// Time between the start of a run and the loss of its worker below which the
/// start may have caused the crash, in milliseconds: a few replies of a busy
/// worker.
const START_MS: u64 = 100;
/// Time between the losses of two workers below which they have a common cause
/// outside of the tasks, such as the loss of a rack, in milliseconds.
const COMMON_MS: u64 = 20;
/// Time for which the losses of workers are remembered, in milliseconds: longer
/// than a worker takes to restart.
const LOSSES_MEMORY_MS: u64 = 15_000;
/// Crashed workers after which a task is given up if the last two crashed right
/// after its start.
const CRASHES_AT_START_MAX: u32 = 2;
/// Crashed workers after which a task is given up if no other task could be the
/// cause of the last two crashes.
const CRASHES_ALONE_MAX: u32 = 3;
/// Starts that ended with a crash, or may have, after which a task is given up in
/// any case, unless it is long-running: those are lost with a worker more often,
/// and giving one up stops others that are up.
const STARTS_MAX: u32 = 5;
/// While other tasks wait for capacity, one in this many workers may be kept for
/// tasks that run alone, or run one.
const ALONE_SHARE: usize = 3;
/// Time for which runs are remembered that were given up with their worker's
/// lease, in milliseconds: if the worker turns out to have restarted, it crashed
/// under them.
const GIVEN_UP_MEMORY_MS: u64 = 30_000;
/// Longest list of tasks in a log line, in bytes.
const LIST_MAX_BYTES: usize = 2_000;

/// Consecutive polls without an answer after which a worker's runs are stored as
/// possibly lost: single polls go unanswered without a crash.
pub(super) const LOST_POLLS: u32 = 2;

/// How a task is placed with regard to the crashes that count against it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Caution {
    /// Like any other task.
    None,
    /// Preferably not beside another task whose worker crashed or was lost.
    Apart,
    /// On a worker with no other run that could crash it.
    Alone,
}

impl Task {
    pub(super) fn caution(&self) -> Caution {
        match self.crashes.crashes {
            0 if self.lost_run.is_none() => Caution::None,
            0 => Caution::Apart,
            1 if !self.crash_sign.at_start => Caution::Apart,
            _ if self.has_waited_alone => Caution::Apart,
            _ => Caution::Alone,
        }
    }
}

impl CrashRecord {
    /// Returns whether the last two crashes prove that the task is their cause.
    fn is_proven(&self, [earlier, latest]: [CrashSign; 2]) -> bool {
        (earlier.at_start && latest.at_start && self.crashes >= CRASHES_AT_START_MAX)
            || (earlier.alone && latest.alone && self.crashes >= CRASHES_ALONE_MAX)
    }

    /// Returns whether the task was started too often to be started again, be it
    /// the cause or not.
    fn is_exhausted(&self) -> bool {
        self.crashes >= CRASHES_AT_START_MAX && self.crashes + self.unseen_starts >= STARTS_MAX
    }
}

/// What connects a crash with a task that the worker ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CrashSign {
    /// No other run there could have caused the crash.
    alone: bool,
    /// The worker was lost right after the start, and no other one with it.
    at_start: bool,
}

/// A run that was lost with its worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostRun {
    pub(super) task: TaskRef,
    number: RunNumber,
    /// Time between the start of the run and the last answer of its worker.
    survived_ms: u64,
    sign: CrashSign,
}

/// Runs that were given up with the lease of an unreachable worker.
#[derive(Debug)]
struct GivenUp {
    at_ms: u64,
    born_unix_ms: u64,
    runs: Vec<LostRun>,
}

/// Tasks under which workers crashed, and crashes that are not counted yet.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    /// Each task with the progress that must be stored before it is started
    /// again; none if a previous controller stored it.
    tasks: HashMap<TaskRef, Option<ProgressSequence>>,
    /// Crashes of workers, each with the runs that may have caused it.
    lost: Vec<Vec<LostRun>>,
    given_up: HashMap<HostId, GivenUp>,
    /// When workers were lost that have ended since, on the local clock.
    losses_ms: VecDeque<u64>,
}

impl Suspects {
    pub(super) fn contains(&self, task: &TaskRef) -> bool {
        self.tasks.contains_key(task)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Notes the runs that may have caused the crash of one worker.
    pub(super) fn note_lost(&mut self, lost: Vec<LostRun>) {
        self.lost.push(lost);
    }

    /// Adds a task whose crashes a previous controller has counted.
    pub(super) fn restore(&mut self, task: TaskRef) {
        self.tasks.insert(task, None);
    }
}

impl Worker {
    /// Returns whether the worker may take tasks that need not run alone.
    pub(super) fn is_shareable(&self, now_ms: u64) -> bool {
        !self.is_reserved && !self.is_taken_alone(now_ms)
    }

    /// Returns whether a task that runs alone still has the worker to itself. It
    /// may have crashed a worker that does not answer.
    pub(super) fn is_taken_alone(&self, now_ms: u64) -> bool {
        self.alone.is_some_and(|(_, until_ms)| now_ms < until_ms || self.lost_ms.is_some())
    }
}

impl PoolEngine {
    /// Notes which runs are lost with a worker incarnation that has ended; returns
    /// those of tasks for which `is_uncertain` tells that they may not have begun
    /// there. A worker that announced its end has not crashed.
    pub(super) fn note_crash<F>(&mut self, key: WorkerKey, is_uncertain: F) -> Vec<LostRun>
    where
        F: Fn(TaskRef) -> bool,
    {
        let Some(worker) = self.workers.get(key).filter(|worker| !worker.is_leaving) else {
            return Vec::new();
        };
        let lost_ms = worker.lost_ms.unwrap_or(self.stepped_ms);
        let runs = self.runs_on_trial(key, lost_ms);
        let (uncertain, lost) = runs.into_iter().partition(|lost| is_uncertain(lost.task));
        self.suspects.lost.push(lost);
        self.suspects.losses_ms.push_back(lost_ms);
        uncertain
    }

    /// Remembers the runs that are given up because the lease of their worker is
    /// over.
    pub(super) fn note_given_up(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        given_up: &[(TaskRef, RunNumber)],
    ) {
        let lost_ms = self.workers.get(key).and_then(|worker| worker.lost_ms);
        let mut runs = self.runs_on_trial(key, lost_ms.unwrap_or(now_ms));
        runs.retain(|lost| given_up.contains(&(lost.task, lost.number)));
        if let Some(worker) = self.workers.get(key)
            && !worker.is_leaving
            && !runs.is_empty()
        {
            let born_unix_ms = worker.entry.born_unix_ms;
            let tasks: Vec<_> = runs.iter().map(|lost| lost.task).collect();
            let host = worker.entry.host.clone();
            // The runs of one worker may be given up in two parts.
            let earlier = self.suspects.given_up.remove(&host);
            let earlier = earlier.filter(|earlier| earlier.born_unix_ms == born_unix_ms);
            runs.extend(earlier.into_iter().flat_map(|earlier| earlier.runs));
            let given_up = GivenUp { at_ms: now_ms, born_unix_ms, runs };
            self.suspects.given_up.insert(host, given_up);
            for task in tasks {
                let Some(state) = self.job_table.task(task) else { continue };
                let record = state.crashes;
                if !state.is_done && self.is_exhausted(task, record) {
                    self.give_up(now_ms, task, record);
                }
            }
        }
    }

    /// Forgets the runs that were given up with the lease of a worker that answers
    /// again: they ended without a crash.
    pub(super) fn forget_given_up(&mut self, key: WorkerKey) {
        let Some(Worker { entry, .. }) = self.workers.get(key) else { return };
        let given_up = self.suspects.given_up.get(&entry.host);
        if given_up.is_some_and(|given_up| given_up.born_unix_ms == entry.born_unix_ms) {
            self.suspects.given_up.remove(&entry.host);
        }
    }

    /// Notes the crashes of workers whose leases were over before their hosts
    /// registered a newer incarnation.
    pub(super) fn note_late_restarts(&mut self) {
        let newest = &self.newest_starts;
        let restarted = self.suspects.given_up.extract_if(|host, given_up| {
            newest.get(host).is_some_and(|&born| born > given_up.born_unix_ms)
        });
        self.suspects.lost.extend(restarted.map(|(_, given_up)| given_up.runs));
    }

    /// Stores which runs may be lost with a worker that does not answer: whether
    /// it has crashed is seen seconds later, perhaps by a successor.
    pub(super) fn note_lost_runs(&mut self, now_ms: u64, key: WorkerKey) {
        let is_leaving = self.workers.get(key).is_some_and(|worker| worker.is_leaving);
        if is_leaving || now_ms >= self.confirmed_until_ms {
            return;
        }
        let lost_ms = self.workers.get(key).and_then(|worker| worker.lost_ms);
        for lost in self.runs_on_trial(key, lost_ms.unwrap_or(now_ms)) {
            if let Some(task) = self.job_table.task_mut(lost.task) {
                task.lost_run = Some(lost.number);
                let sequence = self.mark_progress(now_ms, lost.task);
                self.suspects.tasks.insert(lost.task, Some(sequence));
            }
        }
    }

    /// Clears what [`note_lost_runs`](Self::note_lost_runs) noted of a worker that
    /// answers again.
    pub(super) fn clear_lost_runs(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        for task in worker.runs.keys().copied().collect::<Vec<_>>() {
            self.clear_lost_run(task);
        }
    }

    pub(super) fn clear_lost_run(&mut self, task: TaskRef) {
        if let Some(state) = self.job_table.task_mut(task) {
            state.lost_run = None;
            if state.crashes.crashes == 0 {
                self.suspects.tasks.remove(&task);
            }
        }
    }

    /// Lists the runs on a worker that have not been up for long enough to rule
    /// them out as the cause of a crash.
    fn runs_on_trial(&self, key: WorkerKey, lost_ms: u64) -> Vec<LostRun> {
        let Some(worker) = self.workers.get(key) else { return Vec::new() };
        let others = self.workers.iter().filter(|&(other, _)| other != key);
        let others = others.filter_map(|(_, worker)| worker.lost_ms);
        let mut losses = self.suspects.losses_ms.iter().copied().chain(others);
        let is_common = losses.any(|other_ms| other_ms.abs_diff(lost_ms) <= COMMON_MS);
        let lost = worker.runs.iter().filter_map(|(&task, &(number, _))| {
            let runs = &self.job_table.task(task)?.runs;
            let run = runs.iter().find(|run| run.worker == key && run.number == number)?;
            // A start that was sent after the worker was lost did not reach it.
            let was_reached = run.since_ms <= lost_ms
                || matches!(run.phase, RunPhase::Running { .. } | RunPhase::Stopping { .. });
            if !was_reached {
                return None;
            }
            let survived_ms = worker.heard_ms.saturating_sub(run.since_ms);
            // A worker that was lost before the start did not crash because of it.
            let at_start = (run.since_ms..=run.since_ms + START_MS).contains(&lost_ms);
            let sign = CrashSign { alone: false, at_start: at_start && !is_common };
            Some(LostRun { task, number, survived_ms, sign })
        });
        let mut lost: Vec<_> = lost.filter(|lost| lost.survived_ms < TRIAL_MS).collect();
        if let [only] = &mut lost[..] {
            only.sign.alone = worker.orphan_runs.is_empty() && !worker.is_given_up_in_part;
        }
        lost
    }

    /// Counts the noted crashes against the tasks that were lost, and gives up
    /// the jobs whose tasks crash their workers.
    pub(super) fn count_crashes(&mut self, now_ms: u64) {
        for lost in std::mem::take(&mut self.suspects.lost) {
            self.count_crash(now_ms, &lost);
            self.placing_due = true;
        }
    }

    /// Counts the crash of one worker, which one task has caused at most.
    fn count_crash(&mut self, now_ms: u64, lost: &[LostRun]) {
        let mut counted = String::new();
        let mut proven = Vec::new();
        for run in lost {
            let Some(job) = self.job_table.job(run.task.job) else { continue };
            let (is_over, is_inherited) = (job.outcome.is_some(), job.is_inherited);
            let Some(task) = self.job_table.task_mut(run.task) else { continue };
            if is_over || task.is_done {
                continue;
            }
            if is_inherited && task.crashes == CrashRecord::default() && task.starts > 0 {
                // A worker may have crashed under it just before the change of
                // control.
                task.crashes.unseen_starts = 1;
            }
            task.crashes.crashes += 1;
            task.lost_run = None;
            let earlier = std::mem::replace(&mut task.crash_sign, run.sign);
            let record = task.crashes;
            let sequence = self.mark_progress(now_ms, run.task);
            self.suspects.tasks.insert(run.task, Some(sequence));
            if counted.len() < LIST_MAX_BYTES
                && let Some(address) = self.job_table.address(run.task)
            {
                // Writing to a string cannot fail.
                let _ = write!(counted, " {address}:{} {}", run.number, record.crashes);
            }
            let is_lasting = self.job_table.spec(run.task).is_some_and(|spec| spec.is_lasting);
            let may_be_cause = !is_lasting || run.sign.alone;
            if may_be_cause && record.is_proven([earlier, run.sign]) {
                proven.push((run.task, record));
            } else if self.is_exhausted(run.task, record) {
                self.give_up(now_ms, run.task, record);
            }
        }
        // One task caused the crash. In a tie it is not known which.
        let most = proven.iter().map(|(_, record)| record.crashes).max();
        let is_tie = proven.iter().filter(|(_, record)| Some(record.crashes) == most).count() > 1;
        for (task, record) in proven {
            let is_cause = !is_tie && Some(record.crashes) == most;
            if is_cause || self.is_exhausted(task, record) {
                self.give_up(now_ms, task, record);
            }
        }
        if !counted.is_empty() {
            log::info!(pool = self.control.pool.as_str(), term = self.control.term.0,
                tasks = counted.trim_start(); "a crash counts against tasks");
        }
    }

    /// Returns whether a task was started too often. Runs that were given up with
    /// their leases count: whether their workers crashed is seen at a restart.
    fn is_exhausted(&self, task: TaskRef, mut record: CrashRecord) -> bool {
        let given_up = self.suspects.given_up.values().flat_map(|given_up| &given_up.runs);
        record.unseen_starts += given_up.filter(|lost| lost.task == task).count() as u32;
        record.is_exhausted() && self.job_table.spec(task).is_some_and(|spec| !spec.is_lasting)
    }

    /// Ends the job of a task that crashes its workers.
    fn give_up(&mut self, now_ms: u64, task: TaskRef, record: CrashRecord) {
        let Some(address) = self.job_table.address(task) else { return };
        log::warn!(job:display = address.job, task:display = address,
            crashes = record.crashes, unseen_starts = record.unseen_starts;
            "job is given up: workers crashed while they ran its task");
        self.end_job(now_ms, task.job, JobOutcome::Failed);
    }

    /// Counts the runs that the previous controller lost and that were not found
    /// since. It may have started a suspect without a lost run once more.
    pub(super) fn count_unseen_crashes(&mut self, now_ms: u64) {
        let restored = self.suspects.tasks.iter().filter(|(_, sequence)| sequence.is_none());
        for task in restored.map(|(&task, _)| task).collect::<Vec<_>>() {
            let Some(state) = self.job_table.task_mut(task) else { continue };
            let was_lost = state.lost_run.take().is_some();
            if state.is_unstarted() {
                let crashes = &mut state.crashes;
                let count =
                    if was_lost { &mut crashes.crashes } else { &mut crashes.unseen_starts };
                *count += 1;
                let record = state.crashes;
                let sequence = self.mark_progress(now_ms, task);
                self.suspects.tasks.insert(task, Some(sequence));
                if self.is_exhausted(task, record) {
                    self.give_up(now_ms, task, record);
                }
            }
        }
    }

    /// Clears tasks that have been up for long enough, and forgets ended ones.
    pub(super) fn clear_suspects(&mut self, now_ms: u64) {
        self.suspects.given_up.retain(|_, it| now_ms < it.at_ms + GIVEN_UP_MEMORY_MS);
        self.suspects.losses_ms.retain(|&lost_ms| now_ms < lost_ms + LOSSES_MEMORY_MS);
        let mut cleared = Vec::new();
        let (job_table, workers) = (&self.job_table, &self.workers);
        self.suspects.tasks.retain(|&task, _| {
            let is_live = job_table.job(task.job).is_some_and(|job| job.outcome.is_none());
            let Some(state) = job_table.task(task).filter(|state| is_live && !state.is_done) else {
                return false;
            };
            let has_survived = state.runs.iter().any(|run| {
                let worker = workers.get(run.worker);
                matches!(run.phase, RunPhase::Running { .. })
                    && worker.is_some_and(|it| it.heard_ms >= run.since_ms + TRIAL_MS)
            });
            if has_survived {
                cleared.push(task);
            }
            !has_survived
        });
        for task in cleared {
            if let Some(state) = self.job_table.task_mut(task) {
                state.crashes = CrashRecord::default();
                log::info!(task:? = self.job_table.address(task);
                    "task has been up for long enough; earlier crashes no longer count");
                self.mark_progress(now_ms, task);
            }
        }
    }

    /// Returns whether the crashes of a task, if any, are stored. Until then it
    /// is not started: a successor would not know of the crash.
    pub(super) fn is_crash_stored(&self, task: TaskRef) -> bool {
        let sequence = self.suspects.tasks.get(&task).copied().flatten();
        sequence.is_none_or(|sequence| {
            self.writer.is_stored(sequence, self.job_table.job(sequence.job).is_some())
        })
    }

    /// Returns whether a run's worker was lost right after its start, so that the
    /// start may have crashed it.
    pub(super) fn is_lost_at_start(&self, run: &Run) -> bool {
        let lost_ms = self.workers.get(run.worker).and_then(|worker| worker.lost_ms);
        lost_ms.is_some_and(|lost_ms| lost_ms <= run.since_ms + START_MS)
    }

    pub(super) fn caution(&self, task: TaskRef) -> Caution {
        self.job_table.task(task).map_or(Caution::None, Task::caution)
    }

    /// Returns whether a worker has no runs but long-running ones that have been
    /// up for long enough: it does not become emptier by waiting.
    pub(super) fn is_clear(&self, worker: &Worker) -> bool {
        worker.orphan_runs.is_empty()
            && worker.runs.iter().all(|(&task, &(number, _))| {
                let is_lasting = self.job_table.spec(task).is_some_and(|spec| spec.is_lasting);
                let runs = self.job_table.task(task).map_or(&[][..], |task| &task.runs);
                let run = runs.iter().find(|run| run.number == number);
                is_lasting && run.is_some_and(|run| worker.heard_ms >= run.since_ms + TRIAL_MS)
            })
    }

    /// Starts the tasks that run alone, oldest jobs first, and reserves workers
    /// for those that found none. Those that have waited for long enough are left
    /// to be placed beside other work.
    pub(super) fn place_alone(&mut self, now_ms: u64) {
        if self.suspects.is_empty() && !self.suspects_reserved {
            return;
        }
        let mut waiting: Vec<_> = (self.suspects.tasks.keys().copied())
            .filter(|&task| self.waits_alone(now_ms, task))
            .filter_map(|task| {
                Some((u64::MAX - self.job_table.job(task.job)?.age_ms(now_ms), task))
            })
            .collect();
        waiting.sort_unstable();
        let mut free = self.workers_for_alone(now_ms);
        let mut unplaced = Vec::new();
        for (_, task) in waiting {
            if !self.may_start(task, 1) {
                self.note_blocked(now_ms, task, 1);
                continue;
            }
            let is_gang = self.job_table.spec(task).is_none_or(|spec| spec.is_gang);
            let worker = if is_gang || free == 0 { None } else { self.choose(now_ms, task) };
            match worker {
                Some(worker) => {
                    free -= 1;
                    let starts = self.job_table.task(task).map_or(0, |task| task.starts);
                    self.start(now_ms, task, worker, starts);
                    self.log_starts(now_ms, task, &[(task.index, worker)]);
                }
                None if self.waits_on(now_ms, task) => unplaced.push(task),
                None => {}
            }
        }
        self.reserve_workers(now_ms, &unplaced);
    }

    /// Returns whether a task goes on waiting for a worker of its own.
    fn waits_on(&mut self, now_ms: u64, task: TaskRef) -> bool {
        let is_lasting = self.job_table.spec(task).is_some_and(|spec| spec.is_lasting);
        let wait_ms = if is_lasting { LASTING_ALONE_WAIT_MS } else { ALONE_WAIT_MS };
        let Some(state) = self.job_table.task_mut(task) else { return false };
        let since_ms = *state.waits_alone_since_ms.get_or_insert(now_ms);
        state.has_waited_alone = now_ms >= since_ms + wait_ms;
        !state.has_waited_alone
    }

    /// Returns how many more workers may run one task alone.
    fn workers_for_alone(&self, now_ms: u64) -> usize {
        let open = self.workers.iter().filter(|(_, worker)| takes_work(worker, now_ms));
        let (mut count, mut taken) = (0, 0);
        for (_, worker) in open {
            count += 1;
            taken += usize::from(worker.is_taken_alone(now_ms));
        }
        let share = if self.is_short { ALONE_SHARE } else { 1 };
        (count / share).max(1).saturating_sub(taken)
    }

    fn waits_alone(&self, now_ms: u64, task: TaskRef) -> bool {
        let is_open = self.job_table.step(task).is_some_and(|step| step.is_open());
        let job = self.job_table.job(task.job);
        is_open
            && job.is_some_and(|job| self.is_startable(job))
            && self.job_table.task(task).is_some_and(|it| it.waits(now_ms))
            && self.caution(task) == Caution::Alone
            && self.is_crash_stored(task)
    }

    /// Keeps as many workers for the tasks as may be kept: other tasks are no
    /// longer started there.
    fn reserve_workers(&mut self, now_ms: u64, tasks: &[TaskRef]) {
        let limit = self.workers_for_alone(now_ms).min(tasks.len());
        let mut reserved = 0;
        for (_, worker) in self.workers.iter_mut() {
            worker.is_reserved &= takes_work(worker, now_ms) && reserved < limit;
            reserved += usize::from(worker.is_reserved);
        }
        for &task in tasks.iter().take(limit).skip(reserved) {
            let Some(key) = self.choose_reserve(now_ms, task) else { break };
            if let Some(worker) = self.workers.get_mut(key) {
                worker.is_reserved = true;
                reserved += 1;
                log::info!(worker = worker.entry.worker.as_str(), runs = worker.runs.len(),
                    waiting = tasks.len(); "worker is kept for a task that runs alone");
            }
        }
        self.suspects_reserved = reserved > 0;
    }

    /// Chooses the worker that is cleared soonest for a task: one without
    /// long-running tasks and with the fewest others.
    fn choose_reserve(&self, now_ms: u64, task: TaskRef) -> Option<WorkerKey> {
        let spec = self.job_table.spec(task)?;
        let fits = |worker: &Worker| {
            takes_work(worker, now_ms)
                && worker.is_shareable(now_ms)
                && !worker.is_vacating
                && spec.allocation().fits_in(&worker.entry.capacity)
                && spec.required_label.as_deref().is_none_or(|label| worker.has_label(label))
        };
        let lasting = |worker: &Worker| {
            let specs = worker.runs.keys().filter_map(|&task| self.job_table.spec(task));
            specs.filter(|spec| spec.is_lasting).count()
        };
        let fitting = self.workers.iter().filter(|(_, worker)| fits(worker));
        fitting.min_by_key(|(_, worker)| (lasting(worker), worker.runs.len())).map(|(key, _)| key)
    }
}
