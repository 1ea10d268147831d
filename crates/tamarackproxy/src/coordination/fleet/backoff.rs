//! Backoff of store writes after failures.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Upper limit of the delay after the first failed store update, in
/// milliseconds; it doubles with each further failure.
const BACKOFF_FIRST_MS: u64 = 200;
/// Upper limit of the delay after repeated failures, in milliseconds.
const BACKOFF_LAST_MS: u64 = 10_000;

/// Exponential backoff with jitter over the upper half of the delay, so that
/// the controllers do not all call the store at once after an outage.
#[derive(Clone, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    until_ms: u64,
}

impl Backoff {
    /// Records a failure and returns the delay, in milliseconds.
    pub fn fail(&mut self, now_ms: u64, rng: &mut ChaCha8Rng) -> u64 {
        let limit =
            BACKOFF_FIRST_MS.saturating_mul(1 << self.failures.min(16)).min(BACKOFF_LAST_MS);
        self.failures = self.failures.saturating_add(1);
        let delay_ms = rng.random_range(limit / 2..=limit);
        self.until_ms = self.until_ms.max(now_ms + delay_ms);
        delay_ms
    }

    /// Resets the failure count after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
        self.until_ms = 0;
    }

    /// Returns the monotonic time before which no write may start, in
    /// milliseconds, if it is in the future.
    pub fn waits_until(&self, now_ms: u64) -> Option<u64> {
        (now_ms < self.until_ms).then_some(self.until_ms)
    }
}
