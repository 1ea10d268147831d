//! Histogram of delays.

use hdrhistogram::Histogram;

/// Histogram of delays, recorded in microseconds.
pub(super) struct Lags {
    histogram: Histogram<u64>,
}

impl Lags {
    pub(super) fn new() -> Self {
        Self { histogram: Histogram::new_with_max(3_600_000_000, 3).expect("valid range") }
    }

    pub(super) fn record(&mut self, lag_us: u64) {
        self.histogram.saturating_record(lag_us);
    }

    pub(super) fn samples(&self) -> u64 {
        self.histogram.len()
    }

    pub(super) fn max_ms(&self) -> f64 {
        self.histogram.max() as f64 / 1_000.0
    }

    pub(super) fn p99_ms(&self) -> f64 {
        self.histogram.value_at_quantile(0.99) as f64 / 1_000.0
    }
}
