//! Health of one target: outlier ejection, adaptive concurrency, and signals that
//! it is leaving.

/// Half-life of the weight of past results, in milliseconds.
const RESULT_HALF_LIFE_MS: f64 = 5_000.0;
/// Minimum weighted number of results before a target may be ejected.
const RESULTS_MIN: f64 = 5.0;
/// Error rate at which a target is ejected.
const EJECT_ERROR_RATE: f64 = 0.5;
/// Minimum difference to the error rate of the other targets for an ejection:
/// errors that all targets return are caused by the requests.
const EJECT_ERROR_RATE_MARGIN: f64 = 0.25;
/// Duration of a target's first ejection, in milliseconds; it doubles each time
/// that a probe fails.
const EJECT_MS: u64 = 1_000;
/// Maximum duration of an ejection, in milliseconds.
const EJECT_MAX_MS: u64 = 30_000;
/// Number of consecutive successful probes before a target is readmitted.
const PROBES_NEEDED: u32 = 3;
/// How long a target that signalled that it is leaving gets no work although the
/// fleet state lists it as usable, in milliseconds. The host record and the
/// platform's list lag behind by less.
pub(super) const LEAVING_HOLD_MS: u64 = 60_000;
/// Weight of the newest sample in a target's mean latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Time without an answer after which the mean latency is ignored, in
/// milliseconds.
const LATENCY_STALE_MS: u64 = 5_000;
/// Ratio to the service's mean latency above which a target counts as slow.
const SLOW_RATIO: f64 = 2.0;
/// Ratio to the service's mean latency below which a target is not treated as
/// slower than others.
const SLOWNESS_MIN: f64 = 1.25;
/// Factor applied to the concurrency share after a slow target's answer.
const CONCURRENCY_DECREASE: f64 = 0.95;
/// Factor applied to the concurrency share after a timeout.
const CONCURRENCY_TIMEOUT_DECREASE: f64 = 0.7;
/// Increase of the concurrency share with each answer of a target that is not
/// slow.
const CONCURRENCY_INCREASE: f64 = 0.02;
/// Minimum concurrency share.
const CONCURRENCY_MIN: f64 = 0.05;

/// Error rate with exponential decay of past results.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ErrorRate {
    results: f64,
    errors: f64,
    at_ms: u64,
}

impl ErrorRate {
    /// Adds one result.
    pub fn add(&mut self, now_ms: u64, failed: bool) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        if elapsed_ms > 0.0 {
            let factor = 0.5_f64.powf(elapsed_ms / RESULT_HALF_LIFE_MS);
            self.results *= factor;
            self.errors *= factor;
            self.at_ms = now_ms;
        }
        self.results += 1.0;
        self.errors += f64::from(u8::from(failed));
    }

    fn rate(self) -> f64 {
        if self.results < 0.5 { 0.0 } else { (self.errors / self.results).clamp(0.0, 1.0) }
    }

    /// Returns the error rate of the results in `self` that are not in `part`.
    fn rate_excluding(self, part: ErrorRate) -> f64 {
        let rest = ErrorRate {
            results: self.results - part.results,
            errors: (self.errors - part.errors).max(0.0),
            at_ms: self.at_ms,
        };
        rest.rate()
    }
}

/// State of a target's outlier ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EjectionState {
    /// In rotation.
    Admitted,
    /// Receives no work until this monotonic time, in milliseconds; `times` counts
    /// failed probes.
    Ejected { until_ms: u64, times: u32 },
    /// On probation: receives one request at a time.
    Probing { succeeded: u32, times: u32 },
}

/// Health of a target as observed by this entry host.
#[derive(Debug)]
pub(super) struct TargetHealth {
    errors: ErrorRate,
    ejection: EjectionState,
    latency_ms: Option<f64>,
    answered_at_ms: u64,
    /// Share of the available slots that may be used at once.
    concurrency_share: f64,
    /// Monotonic time in milliseconds until which the target counts as leaving.
    leaving_until_ms: Option<u64>,
}

impl TargetHealth {
    /// Creates the state of a target without observations.
    pub fn new() -> Self {
        Self {
            errors: ErrorRate::default(),
            ejection: EjectionState::Admitted,
            latency_ms: None,
            answered_at_ms: 0,
            concurrency_share: 1.0,
            leaving_until_ms: None,
        }
    }

    /// Records a signal that the target is leaving; returns whether it was not
    /// leaving before.
    pub fn mark_leaving(&mut self, now_ms: u64) -> bool {
        let first = !self.is_leaving(now_ms);
        self.leaving_until_ms = Some(now_ms + LEAVING_HOLD_MS);
        first
    }

    /// Clears the leaving state after the host came back.
    pub fn clear_leaving(&mut self) {
        self.leaving_until_ms = None;
    }

    /// Returns whether the target counts as leaving.
    pub fn is_leaving(&self, now_ms: u64) -> bool {
        self.leaving_until_ms.is_some_and(|until| now_ms < until)
    }

    /// Returns whether the target is ejected or on probation.
    pub fn is_out_of_rotation(&self) -> bool {
        self.ejection != EjectionState::Admitted
    }

    /// Returns whether the target may receive a request while `in_flight` others
    /// run there. The first probe after an ejection is a repeatable request, or any
    /// request once `EJECT_MAX_MS` have passed without one.
    pub fn accepts(&self, now_ms: u64, in_flight: u16, repeatable: bool) -> bool {
        match self.ejection {
            _ if self.is_leaving(now_ms) => false,
            EjectionState::Admitted => true,
            EjectionState::Ejected { until_ms, .. } => {
                let probe_at_ms = if repeatable { until_ms } else { until_ms + EJECT_MAX_MS };
                in_flight == 0 && now_ms >= probe_at_ms
            }
            EjectionState::Probing { .. } => in_flight == 0,
        }
    }

    /// Returns how many of the `available` slots may be used at once, at least 1.
    pub fn concurrency(&self, available: u16) -> u16 {
        let limit = (f64::from(available) * self.concurrency_share).ceil() as u16;
        limit.clamp(1, available.max(1))
    }

    /// Returns the ratio of the target's latency to the baseline, or 1 unless it is
    /// clearly slower: small differences are noise, and following them would send
    /// everything to one target.
    pub fn slowness(&self, now_ms: u64, baseline_ms: f64) -> f64 {
        let ratio = self.latency_ms(now_ms, baseline_ms) / baseline_ms;
        if ratio < SLOWNESS_MIN { 1.0 } else { ratio }
    }

    /// Returns the mean latency, or `baseline_ms` without a recent answer.
    fn latency_ms(&self, now_ms: u64, baseline_ms: f64) -> f64 {
        match self.latency_ms {
            Some(latency) if now_ms < self.answered_at_ms + LATENCY_STALE_MS => latency,
            _ => baseline_ms,
        }
    }

    /// Adds the latency of an answer and adapts the concurrency share.
    pub fn add_latency(&mut self, now_ms: u64, sample_ms: f64, baseline_ms: f64) {
        let previous = self.latency_ms(now_ms, baseline_ms);
        let latency = previous + LATENCY_WEIGHT * (sample_ms - previous);
        self.latency_ms = Some(latency);
        self.answered_at_ms = now_ms;
        self.concurrency_share = if latency > SLOW_RATIO * baseline_ms {
            (self.concurrency_share * CONCURRENCY_DECREASE).max(CONCURRENCY_MIN)
        } else {
            (self.concurrency_share + CONCURRENCY_INCREASE).min(1.0)
        };
    }

    /// Reduces the concurrency share after a timeout.
    pub fn add_timeout(&mut self) {
        self.concurrency_share =
            (self.concurrency_share * CONCURRENCY_TIMEOUT_DECREASE).max(CONCURRENCY_MIN);
    }

    /// Adds a result. `all` is the error rate of the whole service; `may_eject` says
    /// whether enough targets would remain.
    pub fn add_result(&mut self, now_ms: u64, failed: bool, all: ErrorRate, may_eject: bool) {
        self.errors.add(now_ms, failed);
        match self.ejection {
            EjectionState::Admitted => {
                let rate = self.errors.rate();
                let outlier = rate >= EJECT_ERROR_RATE
                    && rate >= all.rate_excluding(self.errors) + EJECT_ERROR_RATE_MARGIN;
                if failed && may_eject && outlier && self.errors.results >= RESULTS_MIN {
                    self.eject(now_ms, 0);
                }
            }
            EjectionState::Ejected { times, until_ms } => {
                // Ignore results of requests that were sent before the ejection.
                if now_ms >= until_ms {
                    self.add_probe(now_ms, failed, 0, times);
                }
            }
            EjectionState::Probing { succeeded, times } => {
                self.add_probe(now_ms, failed, succeeded, times);
            }
        }
    }

    fn add_probe(&mut self, now_ms: u64, failed: bool, succeeded: u32, times: u32) {
        if failed {
            self.eject(now_ms, times + 1);
        } else if succeeded + 1 >= PROBES_NEEDED {
            self.ejection = EjectionState::Admitted;
            self.errors = ErrorRate::default();
        } else {
            self.ejection = EjectionState::Probing { succeeded: succeeded + 1, times };
        }
    }

    fn eject(&mut self, now_ms: u64, times: u32) {
        let duration_ms = EJECT_MAX_MS.min(EJECT_MS << times.min(10));
        self.ejection = EjectionState::Ejected { until_ms: now_ms + duration_ms, times };
    }

    /// Returns the end of the current ejection, if the target is ejected.
    pub fn ejected_until_ms(&self) -> Option<u64> {
        match self.ejection {
            EjectionState::Ejected { until_ms, .. } => Some(until_ms),
            _ => None,
        }
    }
}
