//! Health of one target: errors, ejection, latency and signs of leaving.

/// Time in which the weight of past results halves, in milliseconds.
const RESULT_HALF_LIFE_MS: f64 = 5_000.0;
/// Weighted results below which a target is not judged.
const RESULTS_MIN: f64 = 5.0;
/// Error share at which a target is ejected.
const EJECT_ERROR_SHARE: f64 = 0.5;
/// Distance to the other targets' error share below which a target is kept:
/// errors that all targets share come from the requests.
const EJECT_ERROR_DISTANCE: f64 = 0.25;
/// First time for which a target is ejected, in milliseconds; doubles each
/// time that its probes fail.
const EJECT_MS: u64 = 1_000;
/// Longest time for which a target is ejected, in milliseconds.
const EJECT_MAX_MS: u64 = 30_000;
/// Probes that must succeed in a row before a target is readmitted.
const PROBES_NEEDED: u32 = 3;
/// Time for which a target that gave a sign of leaving gets no work although
/// the fleet state calls it usable, in milliseconds. The host record and the
/// platform's list lag by less.
pub(super) const LEAVING_HOLD_MS: u64 = 60_000;
/// Weight of the newest sample in a target's mean latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Time without an answer after which the mean latency is out of date.
const LATENCY_STALE_MS: u64 = 5_000;
/// Ratio to the service's mean latency above which a target counts as slow.
const SLOW_RATIO: f64 = 2.0;
/// Ratio to the service's mean latency below which a target is as good as any.
const SLOWNESS_MIN: f64 = 1.25;
/// Factor of the concurrency share after an answer of a slow target.
const CONCURRENCY_DECREASE: f64 = 0.95;
/// Factor of the concurrency share after a timeout.
const CONCURRENCY_TIMEOUT_DECREASE: f64 = 0.7;
/// Growth of the concurrency share with each answer in time.
const CONCURRENCY_INCREASE: f64 = 0.02;
/// Lowest concurrency share.
const CONCURRENCY_MIN: f64 = 0.05;

/// Share of failed results, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ErrorShare {
    results: f64,
    errors: f64,
    at_ms: u64,
}

impl ErrorShare {
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

    fn share(self) -> f64 {
        if self.results < 0.5 { 0.0 } else { (self.errors / self.results).clamp(0.0, 1.0) }
    }

    /// Share of the results that belong to `self` and not to `part`.
    fn share_without(self, part: ErrorShare) -> f64 {
        let rest = ErrorShare {
            results: self.results - part.results,
            errors: (self.errors - part.errors).max(0.0),
            at_ms: self.at_ms,
        };
        rest.share()
    }
}

/// Whether a target receives work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It receives work.
    Admitted,
    /// It receives none until this time, in monotonic milliseconds.
    Ejected { until_ms: u64, times: u32 },
    /// It receives one request at a time.
    Probed { succeeded: u32, times: u32 },
}

/// What this entry host has seen of a target.
#[derive(Debug)]
pub(super) struct TargetHealth {
    errors: ErrorShare,
    standing: Standing,
    latency_ms: Option<f64>,
    answered_at_ms: u64,
    concurrency_share: f64,
    /// Until when signs of leaving count, in monotonic milliseconds.
    leaving_until_ms: Option<u64>,
}

impl TargetHealth {
    /// Makes the state of a target of which nothing is known.
    pub fn new() -> Self {
        Self {
            errors: ErrorShare::default(),
            standing: Standing::Admitted,
            latency_ms: None,
            answered_at_ms: 0,
            concurrency_share: 1.0,
            leaving_until_ms: None,
        }
    }

    /// Notes a sign of leaving; true if it is the first.
    pub fn mark_leaving(&mut self, now_ms: u64) -> bool {
        let first = !self.is_leaving(now_ms);
        self.leaving_until_ms = Some(now_ms + LEAVING_HOLD_MS);
        first
    }

    /// Forgets the signs of leaving, after the host came back.
    pub fn clear_leaving(&mut self) {
        self.leaving_until_ms = None;
    }

    /// Whether a sign of leaving counts.
    pub fn is_leaving(&self, now_ms: u64) -> bool {
        self.leaving_until_ms.is_some_and(|until| now_ms < until)
    }

    /// Whether the target is ejected or on probation.
    pub fn is_out(&self) -> bool {
        self.standing != Standing::Admitted
    }

    /// Whether it may receive a request now that `in_flight` run there. The
    /// first probe is a repeatable request, or any if there is none for long.
    pub fn accepts(&self, now_ms: u64, in_flight: u16, repeatable: bool) -> bool {
        match self.standing {
            _ if self.is_leaving(now_ms) => false,
            Standing::Admitted => true,
            Standing::Ejected { until_ms, .. } => {
                let probe_at_ms = if repeatable { until_ms } else { until_ms + EJECT_MAX_MS };
                in_flight == 0 && now_ms >= probe_at_ms
            }
            Standing::Probed { .. } => in_flight == 0,
        }
    }

    /// Part of `available` slots that may be used at once, at least 1.
    pub fn concurrency(&self, available: u16) -> u16 {
        let limit = (f64::from(available) * self.concurrency_share).ceil() as u16;
        limit.clamp(1, available.max(1))
    }

    /// Ratio of the target's latency to the usual one, 1 unless it is clearly
    /// slower: small differences are noise, and following them would send
    /// everything to one target.
    pub fn slowness(&self, now_ms: u64, usual_ms: f64) -> f64 {
        let ratio = self.latency_ms(now_ms, usual_ms) / usual_ms;
        if ratio < SLOWNESS_MIN { 1.0 } else { ratio }
    }

    /// Expected latency, or `usual_ms` if nothing recent is known.
    fn latency_ms(&self, now_ms: u64, usual_ms: f64) -> f64 {
        match self.latency_ms {
            Some(latency) if now_ms < self.answered_at_ms + LATENCY_STALE_MS => latency,
            _ => usual_ms,
        }
    }

    /// Adds the latency of an answer and adapts the concurrency.
    pub fn add_latency(&mut self, now_ms: u64, sample_ms: f64, usual_ms: f64) {
        let previous = self.latency_ms(now_ms, usual_ms);
        let latency = previous + LATENCY_WEIGHT * (sample_ms - previous);
        self.latency_ms = Some(latency);
        self.answered_at_ms = now_ms;
        self.concurrency_share = if latency > SLOW_RATIO * usual_ms {
            (self.concurrency_share * CONCURRENCY_DECREASE).max(CONCURRENCY_MIN)
        } else {
            (self.concurrency_share + CONCURRENCY_INCREASE).min(1.0)
        };
    }

    /// Adapts the concurrency to a timeout.
    pub fn add_timeout(&mut self) {
        self.concurrency_share =
            (self.concurrency_share * CONCURRENCY_TIMEOUT_DECREASE).max(CONCURRENCY_MIN);
    }

    /// Adds a result. `all` is the share of the whole service, and `may_eject`
    /// tells whether enough targets remain.
    pub fn add_result(&mut self, now_ms: u64, failed: bool, all: ErrorShare, may_eject: bool) {
        self.errors.add(now_ms, failed);
        match self.standing {
            Standing::Admitted => {
                let share = self.errors.share();
                let outlier = share >= EJECT_ERROR_SHARE
                    && share >= all.share_without(self.errors) + EJECT_ERROR_DISTANCE;
                if failed && may_eject && outlier && self.errors.results >= RESULTS_MIN {
                    self.eject(now_ms, 0);
                }
            }
            Standing::Ejected { times, until_ms } => {
                // Results of requests sent before the ejection say nothing new.
                if now_ms >= until_ms {
                    self.add_probe(now_ms, failed, 0, times);
                }
            }
            Standing::Probed { succeeded, times } => {
                self.add_probe(now_ms, failed, succeeded, times);
            }
        }
    }

    fn add_probe(&mut self, now_ms: u64, failed: bool, succeeded: u32, times: u32) {
        if failed {
            self.eject(now_ms, times + 1);
        } else if succeeded + 1 >= PROBES_NEEDED {
            self.standing = Standing::Admitted;
            self.errors = ErrorShare::default();
        } else {
            self.standing = Standing::Probed { succeeded: succeeded + 1, times };
        }
    }

    fn eject(&mut self, now_ms: u64, times: u32) {
        let duration_ms = EJECT_MAX_MS.min(EJECT_MS << times.min(10));
        self.standing = Standing::Ejected { until_ms: now_ms + duration_ms, times };
    }

    /// End of the current ejection, if the target is ejected.
    pub fn ejected_until_ms(&self) -> Option<u64> {
        match self.standing {
            Standing::Ejected { until_ms, .. } => Some(until_ms),
            _ => None,
        }
    }
}
