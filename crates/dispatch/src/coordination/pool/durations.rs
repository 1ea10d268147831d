//! Estimates of task durations and of the rate of arriving work.

use hashbrown::HashMap;
use tamarackproxy::state::ids::QueueId;

use crate::state::QueueMeans;

/// Weight of the latest task in the moving averages.
const WEIGHT: f64 = 0.05;
/// A declared duration is clamped to this factor above and below the queue's
/// average.
const DECLARED_FACTOR_MAX: f64 = 3.0;

/// Time constant of the average of arriving work, in milliseconds: two arrivals
/// of the queue with the largest jobs, and a tenth of a surge.
const ARRIVAL_WINDOW_MS: f64 = 400.0;

/// Unit to which published means are rounded up, in milliseconds and in
/// core-milliseconds: a few percent of a usual task and job.
const MEAN_TASK_UNIT_MS: u64 = 20;
const MEAN_WORK_UNIT_CORE_MS: u64 = 100;
/// Time constant of the average of ended work, in milliseconds: several tasks of
/// usual duration, and less than a surge.
const ENDED_WINDOW_MS: f64 = 1_500.0;

/// Exponentially decaying average of the rate at which expected work ends.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EndedRate {
    core_ms: f64,
    at_ms: u64,
}

impl EndedRate {
    /// Adds the expected work of a task that ended.
    pub(super) fn add(&mut self, now_ms: u64, core_ms: f64) {
        self.core_ms = self.decayed(now_ms) + core_ms;
        self.at_ms = now_ms;
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.core_ms * (-age_ms / ENDED_WINDOW_MS).exp()
    }

    /// Returns the rate in thousandths of a core.
    pub(super) fn millicores(&self, now_ms: u64) -> u64 {
        (self.decayed(now_ms) / ENDED_WINDOW_MS * 1_000.0) as u64
    }
}

/// Exponentially decaying average of the rate of arriving work.
///
/// The largest recent job is left out: a single job does not predict further
/// ones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ArrivalRate {
    core_ms: f64,
    largest_core_ms: f64,
    at_ms: u64,
}

impl ArrivalRate {
    pub(super) fn add(&mut self, now_ms: u64, core_ms: f64) {
        let kept = self.decay(now_ms);
        self.core_ms = self.core_ms * kept + core_ms;
        self.largest_core_ms = (self.largest_core_ms * kept).max(core_ms);
        self.at_ms = now_ms;
    }

    fn decay(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        (-age_ms / ARRIVAL_WINDOW_MS).exp()
    }

    /// Returns the rate in thousandths of a core.
    pub(super) fn millicores(&self, now_ms: u64) -> u64 {
        let core_ms = (self.core_ms - self.largest_core_ms) * self.decay(now_ms);
        (core_ms / ARRIVAL_WINDOW_MS * 1_000.0) as u64
    }
}

/// Moving averages of task duration and job size in one queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QueueAverages {
    task_ms: Option<f64>,
    work_core_ms: Option<f64>,
}

impl QueueAverages {
    /// Returns the averages that a controller published.
    pub(super) fn published(means: &QueueMeans) -> Self {
        let mean = |mean: Option<u64>| mean.map(|mean| mean as f64);
        Self { task_ms: mean(means.task_ms), work_core_ms: mean(means.work_core_ms) }
    }

    /// Returns the expected duration of a task, in milliseconds.
    pub(super) fn expected_ms(&self, declared_ms: u32) -> u64 {
        let declared = f64::from(declared_ms.max(1));
        match self.task_ms {
            Some(seen) => {
                let believed =
                    declared.clamp(seen / DECLARED_FACTOR_MAX, seen * DECLARED_FACTOR_MAX);
                f64::midpoint(seen, believed) as u64
            }
            None => declared as u64,
        }
    }

    /// Returns a job's declared work as a multiple of the average.
    pub(super) fn relative_work(&self, work_core_ms: f64) -> f64 {
        match self.work_core_ms {
            Some(seen) if seen > 0.0 => work_core_ms / seen,
            _ => 1.0,
        }
    }
}

/// Averages of each queue, used to correct the durations that jobs declare.
#[derive(Clone, Debug, Default)]
pub(super) struct Durations {
    queues: HashMap<QueueId, QueueAverages>,
}

fn average(old: Option<f64>, latest: f64) -> Option<f64> {
    Some(old.map_or(latest, |old| old + WEIGHT * (latest - old)))
}

impl Durations {
    /// Adds the duration of a task that succeeded.
    pub(super) fn on_task(&mut self, queue: &QueueId, observed_ms: u64) {
        let averages = self.queues.entry(queue.clone()).or_default();
        averages.task_ms = average(averages.task_ms, observed_ms as f64);
    }

    /// Adds the declared work of a job, in core-milliseconds.
    pub(super) fn on_job(&mut self, queue: &QueueId, work_core_ms: f64) {
        let averages = self.queues.entry(queue.clone()).or_default();
        averages.work_core_ms = average(averages.work_core_ms, work_core_ms);
    }

    /// Returns the expected duration of a task, in milliseconds: the mean of
    /// the queue's average and the clamped declaration, which may be far off.
    pub(super) fn expected_ms(&self, queue: &QueueId, declared_ms: u32) -> u64 {
        self.queue(queue).expected_ms(declared_ms)
    }

    fn queue(&self, queue: &QueueId) -> QueueAverages {
        self.queues.get(queue).copied().unwrap_or_default()
    }

    /// Lists the averages of all queues, rounded so that small changes cost no
    /// write.
    pub(super) fn means(&self) -> Vec<QueueMeans> {
        let rounded =
            |mean: Option<f64>, unit: u64| mean.map(|mean| (mean as u64).next_multiple_of(unit));
        let mut means: Vec<_> = (self.queues.iter())
            .map(|(queue, averages)| QueueMeans {
                queue: queue.clone(),
                task_ms: rounded(averages.task_ms, MEAN_TASK_UNIT_MS),
                work_core_ms: rounded(averages.work_core_ms, MEAN_WORK_UNIT_CORE_MS),
            })
            .collect();
        means.sort_unstable_by(|one, other| one.queue.cmp(&other.queue));
        means
    }

    /// Returns a job's declared work as a multiple of its queue's average.
    pub(super) fn relative_work(&self, queue: &QueueId, work_core_ms: f64) -> f64 {
        self.queue(queue).relative_work(work_core_ms)
    }
}
