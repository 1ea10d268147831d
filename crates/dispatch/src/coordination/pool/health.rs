//! Health of a worker, derived from the results of its runs.

use super::events::JobKey;

/// Consecutive failures, of at least [`JOBS_MIN`] jobs, that suspend a worker.
/// With 0.2% to 3% of tasks failing by themselves, a healthy worker has three
/// in a row at most once in 37,000 ended runs.
const FAILURES_MIN: u32 = 3;
/// Distinct jobs among those failures: a single job that always fails suspends
/// no worker.
const JOBS_MIN: usize = 2;
/// First suspension, in milliseconds; the duration doubles with each further
/// one.
const SUSPENSION_MIN_MS: u64 = 1_500;
/// Longest suspension, in milliseconds.
const SUSPENSION_MAX_MS: u64 = 12_000;
/// Average ratio of observed to expected duration above which a worker counts
/// as slow.
const SLOW_RATIO: f64 = 2.5;
/// Weight of the latest duration in the moving average.
const RATIO_WEIGHT: f64 = 0.25;

/// Health of one worker.
#[derive(Clone, Debug)]
pub(super) struct Health {
    failures: u32,
    jobs: Vec<JobKey>,
    suspended_until_ms: u64,
    suspension_ms: u64,
    /// Moving average of observed to expected durations.
    ratio: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            jobs: Vec::new(),
            suspended_until_ms: 0,
            suspension_ms: SUSPENSION_MIN_MS,
            ratio: 1.0,
        }
    }
}

impl Health {
    pub(super) fn on_success(&mut self, observed_ms: u64, expected_ms: u64) {
        self.failures = 0;
        self.jobs.clear();
        self.suspension_ms = SUSPENSION_MIN_MS;
        let ratio = observed_ms as f64 / expected_ms.max(1) as f64;
        self.ratio += RATIO_WEIGHT * (ratio.min(10.0) - self.ratio);
    }

    /// Counts a failed run; returns the duration of the suspension, in
    /// milliseconds, if one begins now.
    pub(super) fn on_failure(&mut self, now_ms: u64, job: JobKey) -> Option<u64> {
        self.failures += 1;
        if !self.jobs.contains(&job) && self.jobs.len() < JOBS_MIN {
            self.jobs.push(job);
        }
        if self.failures < FAILURES_MIN || self.jobs.len() < JOBS_MIN {
            return None;
        }
        Some(self.suspend(now_ms))
    }

    /// Suspends the worker, after it refused work as unhealthy or its runs
    /// stalled; returns the duration in milliseconds.
    pub(super) fn suspend(&mut self, now_ms: u64) -> u64 {
        let suspension_ms = self.suspension_ms;
        self.suspended_until_ms = now_ms + suspension_ms;
        self.suspension_ms = (suspension_ms * 2).min(SUSPENSION_MAX_MS);
        suspension_ms
    }

    pub(super) fn is_suspended(&self, now_ms: u64) -> bool {
        now_ms < self.suspended_until_ms
    }

    /// Returns whether the worker has failed runs since its last success.
    pub(super) fn has_recent_failures(&self) -> bool {
        self.failures > 0
    }

    pub(super) fn is_slow(&self) -> bool {
        self.ratio > SLOW_RATIO
    }
}
