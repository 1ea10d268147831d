//! Exponential backoff.

use rand::Rng;

/// Exponential backoff with jitter.
///
/// Each delay is random between half of the current limit and the limit, so
/// that the calls of many entry hosts spread out after an outage.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_ms: u64,
    max_ms: u64,
    limit_ms: u64,
}

impl Backoff {
    /// Creates a backoff whose limit grows from `min_ms` to `max_ms`.
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

    /// Resets the limit to `min_ms`, after a success.
    pub fn reset(&mut self) {
        self.limit_ms = self.min_ms;
    }
}
