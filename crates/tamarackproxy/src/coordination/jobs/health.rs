//! Health of workers and applications, derived from task failures.
//!
//! A worker is quarantined after consecutive failures of several applications.
//! Only applications that succeed elsewhere count, so a faulty application does
//! not quarantine workers.

/// Consecutive failures that lead to quarantine. If 3% of the tasks fail
/// independently of the worker, a healthy worker sees five in a row once in 40
/// million starts.
const FAILURES_MAX: u32 = 5;
/// Consecutive failures that lead to quarantine while another task on the
/// worker runs well.
const FAILURES_WITH_HEALTHY_TASK_MAX: u32 = 10;
/// Number of distinct applications that must be among the failures.
const APPLICATIONS_MIN: usize = 3;
/// First quarantine period, in milliseconds; it doubles with each failed probe.
const QUARANTINE_MIN_MS: u64 = 60_000;
/// Number of failed probes after which a worker stays in quarantine.
const PROBES_MAX: u32 = 6;

/// Health of one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Failures since the last success.
    failures: u32,
    /// Distinct applications among the failures, at most `APPLICATIONS_MIN`.
    applications: Vec<u32>,
    /// Earliest time of the next probe in monotonic milliseconds, and the
    /// number of failed probes.
    quarantine: Option<(u64, u32)>,
}

/// What the engine does with a worker after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureAction {
    None,
    /// The worker should be quarantined.
    Quarantine,
    /// A probe failed; the next one follows after `retry_ms`.
    ExtendQuarantine {
        retry_ms: u64,
    },
    /// All probes failed.
    GiveUp,
}

impl Health {
    pub fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    /// Returns whether the worker may get a task; a quarantined one takes one
    /// task at a time as a probe.
    pub fn takes_tasks(&self, now_ms: u64, tasks: usize) -> bool {
        match self.quarantine {
            None => true,
            Some((_, failed_probes)) if failed_probes >= PROBES_MAX => false,
            Some((probe_ms, _)) => now_ms >= probe_ms && tasks == 0,
        }
    }

    /// Returns the time of the next probe, if the worker is quarantined and not
    /// given up.
    pub fn probe_ms(&self) -> Option<u64> {
        self.quarantine
            .filter(|&(_, failed_probes)| failed_probes < PROBES_MAX)
            .map(|(probe_ms, _)| probe_ms)
    }

    /// Records a success; returns whether the worker leaves quarantine.
    pub fn on_success(&mut self) -> bool {
        self.failures = 0;
        self.applications.clear();
        self.quarantine.take().is_some()
    }

    /// Records a failure; `has_healthy_task` tells that another task on the
    /// worker runs well.
    pub fn on_failure(
        &mut self,
        now_ms: u64,
        application: u32,
        has_healthy_task: bool,
    ) -> FailureAction {
        if let Some((probe_ms, failed_probes)) = &mut self.quarantine {
            *failed_probes += 1;
            if *failed_probes >= PROBES_MAX {
                return FailureAction::GiveUp;
            }
            let retry_ms = QUARANTINE_MIN_MS << *failed_probes;
            *probe_ms = now_ms + retry_ms;
            return FailureAction::ExtendQuarantine { retry_ms };
        }
        self.failures += 1;
        if !self.applications.contains(&application) && self.applications.len() < APPLICATIONS_MIN {
            self.applications.push(application);
        }
        let failures_max =
            if has_healthy_task { FAILURES_WITH_HEALTHY_TASK_MAX } else { FAILURES_MAX };
        let quarantine =
            self.failures >= failures_max && self.applications.len() >= APPLICATIONS_MIN;
        if quarantine { FailureAction::Quarantine } else { FailureAction::None }
    }

    /// Quarantines the worker; returns the time until its first probe, in
    /// milliseconds.
    pub fn quarantine(&mut self, now_ms: u64) -> u64 {
        self.quarantine = Some((now_ms + QUARANTINE_MIN_MS, 0));
        QUARANTINE_MIN_MS
    }
}

/// Distinct workers on which one application failed since its last success.
#[derive(Clone, Debug, Default)]
pub(super) struct ApplicationHealth {
    workers: Vec<u32>,
    has_succeeded: bool,
}

impl ApplicationHealth {
    /// Number of distinct workers on which an application must fail without a
    /// success in between for the failures to be attributed to the application.
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

    /// Returns whether a failure is more likely caused by the application than
    /// by the worker.
    pub fn is_likely_at_fault(&self) -> bool {
        !self.has_succeeded || self.workers.len() >= Self::WORKERS_MAX
    }
}
