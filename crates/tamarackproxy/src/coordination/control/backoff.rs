//! Delays between attempts.

use rand::Rng;

/// Exponential delay with jitter.
///
/// Each delay is drawn between half of the present limit and the limit, so
/// that calls of many entry hosts spread after an outage.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_ms: u64,
    max_ms: u64,
    limit_ms: u64,
}

impl Backoff {
    /// Makes a backoff whose limit grows from `min_ms` to `max_ms`.
    pub const fn new(min_ms: u64, max_ms: u64) -> Self {
        Self { min_ms, max_ms, limit_ms: min_ms }
    }

    /// Returns the next delay in milliseconds and doubles the limit.
    pub fn next_delay_ms<R>(&mut self, random: &mut R) -> u64
    where
        R: Rng,
    {
        let limit_ms = self.limit_ms;
        self.limit_ms = (limit_ms * 2).min(self.max_ms);
        random.random_range(limit_ms / 2..=limit_ms)
    }

    /// Starts again from the shortest delay after a success.
    pub fn reset(&mut self) {
        self.limit_ms = self.min_ms;
    }
}
