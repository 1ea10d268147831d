//! Health of workers and blame for failures.
//!
//! A worker is quarantined after failures in a row of several applications.
//! Only applications that succeed elsewhere count, so a faulty application
//! puts no worker into quarantine.

/// Failures in a row that lead to quarantine. Where 3% of the tasks fail by
/// themselves, a healthy worker has five in a row once in 40 million starts.
const FAILURES_MAX: u32 = 5;
/// Failures in a row that do so although another task runs well.
const FAILURES_WITH_SURVIVOR_MAX: u32 = 10;
/// Applications that must be among them.
const APPLICATIONS_MIN: usize = 3;
/// First time in quarantine, in milliseconds; it doubles with each failed test.
const QUARANTINE_MIN_MS: u64 = 60_000;
/// Tests after which a worker stays in quarantine.
const TESTS_MAX: u32 = 6;

/// Health of one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    applications: Vec<u32>,
    /// When the next test may run, and the tests that failed.
    quarantine: Option<(u64, u32)>,
}

/// What a failure leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    Nothing,
    Suspect,
    Quarantined { retry_ms: u64 },
    GivenUp,
}

impl Health {
    pub fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    /// A quarantined worker takes one task at a time as its test.
    pub fn takes_tasks(&self, now_ms: u64, tasks: usize) -> bool {
        match self.quarantine {
            None => true,
            Some((_, tests)) if tests >= TESTS_MAX => false,
            Some((test_ms, _)) => now_ms >= test_ms && tasks == 0,
        }
    }

    /// Time of the next test.
    pub fn test_ms(&self) -> Option<u64> {
        self.quarantine.filter(|&(_, tests)| tests < TESTS_MAX).map(|(test_ms, _)| test_ms)
    }

    /// Returns whether the worker leaves quarantine.
    pub fn on_success(&mut self) -> bool {
        self.failures = 0;
        self.applications.clear();
        self.quarantine.take().is_some()
    }

    pub fn on_failure(&mut self, now_ms: u64, application: u32, survivor: bool) -> Verdict {
        if let Some((test_ms, tests)) = &mut self.quarantine {
            *tests += 1;
            if *tests >= TESTS_MAX {
                return Verdict::GivenUp;
            }
            let retry_ms = QUARANTINE_MIN_MS << *tests;
            *test_ms = now_ms + retry_ms;
            return Verdict::Quarantined { retry_ms };
        }
        self.failures += 1;
        if !self.applications.contains(&application) && self.applications.len() < APPLICATIONS_MIN {
            self.applications.push(application);
        }
        let failures_max = if survivor { FAILURES_WITH_SURVIVOR_MAX } else { FAILURES_MAX };
        let suspect = self.failures >= failures_max && self.applications.len() >= APPLICATIONS_MIN;
        if suspect { Verdict::Suspect } else { Verdict::Nothing }
    }

    /// Puts the worker into quarantine; returns the time until its test.
    pub fn quarantine(&mut self, now_ms: u64) -> u64 {
        self.quarantine = Some((now_ms + QUARANTINE_MIN_MS, 0));
        QUARANTINE_MIN_MS
    }
}

/// Failures of one application on distinct workers in a row.
#[derive(Clone, Debug, Default)]
pub(super) struct Blame {
    workers: Vec<u32>,
    has_succeeded: bool,
}

impl Blame {
    /// Distinct workers on which an application failed without a success in
    /// between that make the application suspect, not the workers.
    const WORKERS_MAX: usize = 3;

    pub fn on_failure(&mut self, worker: u32) {
        if self.workers.len() < Self::WORKERS_MAX && !self.workers.contains(&worker) {
            self.workers.push(worker);
        }
    }

    pub fn on_success(&mut self) {
        self.workers.clear();
        self.has_succeeded = true;
    }

    /// Tells whether a failure of the application is more likely its own
    /// fault than that of the worker.
    pub fn is_suspect(&self) -> bool {
        !self.has_succeeded || self.workers.len() >= Self::WORKERS_MAX
    }
}
