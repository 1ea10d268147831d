//! Delay of store writes after failures.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// First delay after a failed store update, in milliseconds.
const BACKOFF_FIRST_MS: u64 = 200;
/// Longest delay after failed store updates, in milliseconds.
const BACKOFF_LAST_MS: u64 = 10_000;

/// Exponential backoff with full jitter, so that the calls of all controllers
/// spread out after an outage.
#[derive(Clone, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    until_ms: u64,
}

impl Backoff {
    /// Counts a failure and returns the delay, in milliseconds.
    pub fn fail(&mut self, now_ms: u64, rng: &mut ChaCha8Rng) -> u64 {
        let limit =
            BACKOFF_FIRST_MS.saturating_mul(1 << self.failures.min(16)).min(BACKOFF_LAST_MS);
        self.failures = self.failures.saturating_add(1);
        let delay_ms = rng.random_range(limit / 2..=limit);
        self.until_ms = self.until_ms.max(now_ms + delay_ms);
        delay_ms
    }

    /// Forgets the failures after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
        self.until_ms = 0;
    }

    /// Returns the time until which no write starts, if it is in the future.
    pub fn waits_until(&self, now_ms: u64) -> Option<u64> {
        (now_ms < self.until_ms).then_some(self.until_ms)
    }
}
