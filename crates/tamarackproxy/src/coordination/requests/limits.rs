//! Rate limits of callers, and running estimates of service time.

use super::CallerLimits;

/// Capacity of a caller's token bucket, in seconds of its rate.
const RATE_BURST_S: f64 = 1.0;
/// Weight of the newest sample in the running means of service time.
const SERVICE_TIME_WEIGHT: f64 = 0.02;

/// Mean deviations above the mean that are allowed for a request while others
/// wait; about one request in twenty takes longer.
const DEVIATIONS_ALLOWED: f64 = 2.0;

/// Exponentially weighted mean, initialised with its first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunningMean(Option<f64>);

impl RunningMean {
    /// Adds a sample.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.0 = Some(self.0.map_or(sample, |mean| mean + weight * (sample - mean)));
    }

    /// Returns the mean, if there was a sample.
    pub fn get(self) -> Option<f64> {
        self.0
    }
}

/// Exponentially weighted mean and mean deviation of service time, in
/// milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    mean_ms: RunningMean,
    deviation_ms: RunningMean,
}

impl ServiceTime {
    /// Adds a sample.
    pub fn add(&mut self, sample_ms: f64) {
        if let Some(mean_ms) = self.mean_ms.get() {
            self.deviation_ms.add((sample_ms - mean_ms).abs(), SERVICE_TIME_WEIGHT);
        }
        self.mean_ms.add(sample_ms, SERVICE_TIME_WEIGHT);
    }

    /// Returns the mean, if there was a sample.
    pub fn mean_ms(self) -> Option<f64> {
        self.mean_ms.get()
    }

    /// Returns the time within which most requests are answered: the mean plus
    /// [`DEVIATIONS_ALLOWED`] deviations, or 0 without samples.
    pub fn high_estimate_ms(self) -> f64 {
        let deviation_ms = self.deviation_ms.get().unwrap_or(0.0);
        self.mean_ms.get().unwrap_or(0.0) + DEVIATIONS_ALLOWED * deviation_ms
    }
}

/// Weight and token bucket of a caller, as configured by the document.
#[derive(Debug)]
pub(super) struct Caller {
    /// Weight in fair queueing.
    pub weight: u32,
    rate_per_second: Option<f64>,
    tokens: f64,
    filled_at_ms: u64,
}

impl Caller {
    /// Creates a caller without rate limit and with weight 1.
    pub fn new() -> Self {
        Self { weight: 1, rate_per_second: None, tokens: 0.0, filled_at_ms: 0 }
    }

    /// Applies the document's limits; a changed rate starts with a full bucket.
    pub fn apply(&mut self, limits: &CallerLimits) {
        self.weight = limits.weight.max(1);
        if self.rate_per_second != limits.rate_per_second {
            self.rate_per_second = limits.rate_per_second;
            self.tokens = self.burst();
        }
    }

    fn burst(&self) -> f64 {
        self.rate_per_second.map_or(0.0, |rate| (rate * RATE_BURST_S).max(1.0))
    }

    /// Takes the token of one request out of the bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token is available, in milliseconds.
    pub fn take(&mut self, now_ms: u64) -> Result<(), u64> {
        let Some(rate) = self.rate_per_second else { return Ok(()) };
        let elapsed_s = now_ms.saturating_sub(self.filled_at_ms) as f64 / 1_000.0;
        self.filled_at_ms = now_ms;
        self.tokens = (self.tokens + elapsed_s * rate).min(self.burst());
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(((1.0 - self.tokens) / rate.max(1e-3) * 1_000.0).ceil() as u64)
    }
}
