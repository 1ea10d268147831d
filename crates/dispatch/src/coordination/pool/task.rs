//! Tasks and their runs.

use strum::Display;

use super::{
    crashes::CrashSign,
    events::{JobKey, WorkerKey},
    pacing::Pace,
};
use crate::state::{CrashRecord, RunNumber, StepSpec};

/// Reference to a task by the engine's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct TaskRef {
    pub(super) job: JobKey,
    pub(super) occurrence: u32,
    pub(super) step: u16,
    pub(super) index: u32,
}

/// State of a run as far as the engine knows it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub(super) enum RunPhase {
    /// The start was sent.
    Ordered,
    /// The start had no reply; the worker may still carry it out until its time
    /// limit.
    Unanswered { since_ms: u64 },
    /// The worker confirmed the start or lists the run.
    Running { since_ms: u64 },
    /// A stop was sent; `confirmed_ms` is when the worker accepted it.
    Stopping { asked_ms: u64, confirmed_ms: Option<u64> },
}

/// One run of a task that exists on a worker, or may still be started there.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) worker: WorkerKey,
    pub(super) number: RunNumber,
    pub(super) phase: RunPhase,
    /// The worker's incarnation is known to have begun the run, by a poll or by the
    /// clock in its reply, so the run ends with that incarnation.
    pub(super) is_settled: bool,
    /// A worker has confirmed or listed the run, so its start is not carried out
    /// again.
    pub(super) has_begun: bool,
    /// When the start was sent or the run was adopted, on the local clock.
    pub(super) since_ms: u64,
    /// Time limit of the start on the worker's clock, in milliseconds; the maximum
    /// if it refers to the clock of a former incarnation.
    pub(super) start_until_ms: u64,
    pub(super) percent: u8,
    /// When `percent` last rose, on the local clock.
    pub(super) percent_since_ms: u64,
    /// Pace of the run; none if it was never throttled.
    pub(super) pace: Option<Pace>,
}

impl Run {
    /// Returns whether a long-running task is up in this run.
    pub(super) fn is_up(&self) -> bool {
        matches!(self.phase, RunPhase::Running { .. }) && self.percent >= 100
    }

    pub(super) fn is_stopping(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping { .. })
    }
}

/// State of one task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) runs: Vec<Run>,
    pub(super) is_done: bool,
    /// Failed runs, each recorded once although workers report an end until it
    /// is acknowledged.
    pub(super) failed_runs: Vec<RunNumber>,
    /// Failures of a long-running task in this term.
    pub(super) lasting_failures: u32,
    /// Starts in this term.
    pub(super) starts: u32,
    pub(super) checkpoint: Box<str>,
    /// Runs that were stopped because they made no progress, in this term.
    pub(super) stalls: u32,
    /// Worker on which the latest failed or stalled run was.
    pub(super) failed_on: Option<WorkerKey>,
    /// Earliest time of the next start, on the local clock.
    pub(super) not_before_ms: u64,
    pub(super) crashes: CrashRecord,
    /// Run whose worker no longer answers.
    pub(super) lost_run: Option<RunNumber>,
    /// Sign of the latest of these crashes that this controller counted.
    pub(super) crash_sign: CrashSign,
    /// Since when the task has waited for a worker of its own, on the local
    /// clock.
    pub(super) waits_alone_since_ms: Option<u64>,
    /// It has waited for long enough.
    pub(super) has_waited_alone: bool,
}

impl Task {
    pub(super) fn waits(&self, now_ms: u64) -> bool {
        self.is_unstarted() && now_ms >= self.not_before_ms
    }

    /// Returns whether the task still has to run and has no run.
    pub(super) fn is_unstarted(&self) -> bool {
        !self.is_done && self.runs.is_empty()
    }

    pub(super) fn run_mut(&mut self, worker: WorkerKey, number: RunNumber) -> Option<&mut Run> {
        self.runs.iter_mut().find(|run| run.worker == worker && run.number == number)
    }

    pub(super) fn take_run(&mut self, worker: WorkerKey, number: RunNumber) -> Option<Run> {
        let at = self.runs.iter().position(|run| run.worker == worker && run.number == number)?;
        Some(self.runs.swap_remove(at))
    }

    /// Returns whether the task's progress differs from that of a new task and
    /// must be stored.
    pub(super) fn has_progress(&self) -> bool {
        self.is_done
            || !self.failed_runs.is_empty()
            || !self.checkpoint.is_empty()
            || self.crashes.crashes > 0
            || self.lost_run.is_some()
    }
}

/// State of one step of one occurrence.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) tasks: Vec<Task>,
    /// Dependencies that are not complete yet.
    pub(super) open_dependencies: usize,
    pub(super) done_tasks: u32,
    /// Failed runs of a gang; all members of one run count as one failure.
    pub(super) gang_failures: u32,
    pub(super) gang_failed_run: RunNumber,
}

impl Step {
    pub(super) fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![Task::default(); spec.tasks as usize],
            open_dependencies: spec.after.len(),
            done_tasks: 0,
            gang_failures: 0,
            gang_failed_run: RunNumber::default(),
        }
    }

    pub(super) fn is_open(&self) -> bool {
        self.open_dependencies == 0
    }

    pub(super) fn is_done(&self) -> bool {
        self.done_tasks as usize == self.tasks.len()
    }

    /// Counts tasks of the step on a worker.
    pub(super) fn tasks_on(&self, worker: WorkerKey) -> usize {
        let runs_there = |task: &&Task| task.runs.iter().any(|run| run.worker == worker);
        self.tasks.iter().filter(runs_there).count()
    }
}
