//! What a process can tell about a new job from its specification and the
//! averages that the pool's controller published.
//!
//! Load pattern: during a surge each entry host judges tens of new jobs a second
//! by the same figures as the pool's controller, without asking it.

use tamarackproxy::coordination::jobs::Resources;

use super::{
    durations::QueueAverages,
    order::{LATE_FACTOR, value},
};
use crate::state::{JobSpec, QueueMeans, QueueSettings, StepSpec};

/// Expected work, duration and objective of a job of which no task has run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct JobProfile {
    /// Expected work per unit of value, in core-milliseconds.
    pub(crate) cost_core_ms: u64,
    /// Expected work, in core-milliseconds.
    pub(crate) work_core_ms: f64,
    /// Expected duration of the critical path, in milliseconds.
    pub(crate) critical_path_ms: u64,
    /// Time from submission within which callers expect the end, in
    /// milliseconds.
    pub(crate) objective_ms: u64,
    /// Time from submission after which nobody benefits, in milliseconds.
    pub(crate) useful_ms: u64,
    /// Processors of the smallest and of the largest task, in thousandths of a
    /// core.
    pub(crate) task_millicores: (u64, u64),
}

/// Returns whether a task fits on a worker and needs a larger part of its
/// processors than of its other resources. The waits of other tasks do not follow
/// from the work that processors do.
pub(crate) fn is_limited_by_processors(need: &Resources, worker: &Resources) -> bool {
    // The parts are compared without division.
    let of_processors = u128::from(need.cpu_millicores) * u128::from(worker.memory_bytes);
    let of_memory = u128::from(need.memory_bytes) * u128::from(worker.cpu_millicores);
    need.fits_in(worker) && need.accelerators == 0 && of_processors >= of_memory
}

impl JobProfile {
    /// Computes the profile; it agrees with the controller's rank of the job.
    pub(crate) fn new(spec: &JobSpec, queue: &QueueSettings, means: Option<&QueueMeans>) -> Self {
        let averages = means.map(QueueAverages::published).unwrap_or_default();
        let mut chains_ms: Vec<u64> = Vec::with_capacity(spec.steps.len());
        let (mut work_core_ms, mut declared_core_ms) = (0.0, 0.0);
        for step in &spec.steps {
            let own_ms = averages.expected_ms(step.estimate_ms);
            let cores = f64::from(step.tasks) * step.need.cpu_millicores as f64 / 1_000.0;
            work_core_ms += cores * own_ms as f64;
            declared_core_ms += cores * f64::from(step.estimate_ms);
            let before = step.after.iter().filter_map(|&at| chains_ms.get(usize::from(at))).max();
            chains_ms.push(before.copied().unwrap_or(0) + own_ms);
        }
        let critical_path_ms = chains_ms.into_iter().max().unwrap_or(0);
        let objective_ms = (queue.stretch * critical_path_ms as f64) as u64 + queue.objective_ms;
        let value = value(averages.relative_work(declared_core_ms));
        let needs = || spec.steps.iter().map(StepSpec::allocation).map(|need| need.cpu_millicores);
        Self {
            cost_core_ms: (work_core_ms / value) as u64,
            work_core_ms,
            critical_path_ms,
            objective_ms,
            useful_ms: objective_ms * LATE_FACTOR,
            task_millicores: (needs().min().unwrap_or(0), needs().max().unwrap_or(0)),
        }
    }
}
