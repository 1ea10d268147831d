//! Specifications of submitted jobs.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use tamarackproxy::coordination::jobs::Resources;

/// Most tasks of one job, over all steps; a larger job is refused so that one
/// submission cannot exhaust the memory of its controller.
pub const TASKS_MAX: u32 = 20_000;
/// Most steps of one job.
pub const STEPS_MAX: usize = 1_000;

/// Reasons why a job specification is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum InvalidJob {
    /// the job has no steps; give at least one
    NoSteps,
    /// the job has more than 1000 steps; split it
    TooManySteps,
    /// step {0} has no tasks; give a count of at least 1
    NoTasks(usize),
    /// the job has more than 20000 tasks; split it
    TooManyTasks,
    /// step {step} waits for step {after}; name only steps before it
    ForwardDependency { step: usize, after: u16 },
    /// the job is scheduled {0} times without an interval; give an interval above 0
    NoInterval(u32),
}

impl std::error::Error for InvalidJob {}

/// Specification of a job: its steps and its schedule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text for the workers, passed on unchanged.
    pub payload: Box<str>,
    /// Steps in the order of their indexes.
    pub steps: Vec<StepSpec>,
    /// Times at which the steps run; without a schedule they run once,
    /// immediately.
    pub schedule: Option<Schedule>,
}

/// Specification of a step: tasks of one kind within a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Declared resource needs of one task.
    pub need: Resources,
    /// Declared duration of one task, in milliseconds; a rough guess.
    pub estimate_ms: u32,
    /// Indexes of earlier steps whose tasks must all have succeeded.
    pub after: Vec<u16>,
    /// The tasks save checkpoints.
    pub saves_checkpoints: bool,
    /// The tasks form a gang: they make progress only while all of them run.
    pub is_gang: bool,
    /// The tasks are slower when they span racks.
    pub prefers_one_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<Box<str>>,
    /// Rack with the step's data; tasks on other racks are slower.
    pub data_rack: Option<Box<str>>,
    /// Most tasks of the step on one worker at a time.
    pub per_worker_max: Option<u32>,
    /// Speculative copies of a task may run at the same time.
    pub allows_copies: bool,
    /// The tasks are long-running: they run until the job is cancelled and are
    /// restarted whenever they end.
    pub is_lasting: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    pub image: Option<Box<str>>,
    /// Goal for the tail latency of tasks that serve users, in milliseconds;
    /// none for other tasks.
    pub tail_goal_ms: Option<u32>,
    /// The tasks are best-effort: they use the processors that others leave
    /// unused, so theirs are not allocated.
    pub uses_leftover: bool,
    /// Most tasks of a long-running step that orders may make unavailable at
    /// once.
    pub unavailable_max: u32,
}

impl StepSpec {
    /// Returns the resources that one task takes of a worker's capacity.
    pub fn allocation(&self) -> Resources {
        let cpu_millicores = if self.uses_leftover { 0 } else { self.need.cpu_millicores };
        Resources { cpu_millicores, ..self.need }
    }
}

/// Schedule of a job that runs repeatedly or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time of the first occurrence, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub occurrences: u32,
}

impl Schedule {
    /// Returns when an occurrence is due, in milliseconds since 1970.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms.saturating_add(self.interval_ms.saturating_mul(occurrence.into()))
    }
}

impl JobSpec {
    /// Checks constraints that decoding does not enforce.
    ///
    /// # Errors
    ///
    /// Returns the first reason why the job cannot run.
    pub fn check(&self) -> Result<(), InvalidJob> {
        if self.steps.is_empty() {
            return Err(InvalidJob::NoSteps);
        }
        if self.steps.len() > STEPS_MAX {
            return Err(InvalidJob::TooManySteps);
        }
        let mut tasks = 0_u32;
        for (index, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Err(InvalidJob::NoTasks(index));
            }
            tasks = tasks.saturating_add(step.tasks);
            if let Some(&after) = step.after.iter().find(|&&after| usize::from(after) >= index) {
                return Err(InvalidJob::ForwardDependency { step: index, after });
            }
        }
        if tasks > TASKS_MAX {
            return Err(InvalidJob::TooManyTasks);
        }
        match self.schedule {
            Some(Schedule { interval_ms: 0, occurrences, .. }) if occurrences > 1 => {
                Err(InvalidJob::NoInterval(occurrences))
            }
            _ => Ok(()),
        }
    }

    /// Returns the memory that the steps take, which may be many times their size in
    /// a request.
    pub fn steps_bytes(&self) -> usize {
        self.steps.len() * size_of::<StepSpec>()
    }

    /// Returns the number of tasks of one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }

    /// Returns the number of occurrences; 1 for a job without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns whether any step is long-running.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.is_lasting)
    }
}
