//! Retry budget of one service at this hop.

/// Retries earned by one request.
pub(super) const RETRY_SHARE: f64 = 0.1;
/// Retries that are allowed in a second whatever the number of requests.
const RETRIES_MIN_PER_SECOND: f64 = 1.0;
/// Retries that may be saved up; bounds the burst after a quiet failure-free
/// time to what an instance of 8 slots loses when it fails, with some room.
const RETRIES_SAVED_MAX: f64 = 20.0;
/// Attempts of one request, the first one included.
pub(super) const ATTEMPTS_MAX: u32 = 3;

/// Token bucket filled with 10% of the requests, at least 1 a second.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    second: u64,
    earned_in_second: f64,
}

impl RetryBudget {
    /// Makes a budget that allows one retry at once.
    pub fn new() -> Self {
        Self { tokens: RETRIES_MIN_PER_SECOND, second: 0, earned_in_second: 0.0 }
    }

    /// Tops up what the past second earned to the minimum.
    fn advance(&mut self, now_ms: u64) {
        let second = now_ms / 1_000;
        if second > self.second {
            let missing = (RETRIES_MIN_PER_SECOND - self.earned_in_second).max(0.0);
            let idle_seconds = (second - self.second - 1) as f64;
            let added = missing + idle_seconds * RETRIES_MIN_PER_SECOND;
            // Only requests save up more than one second's minimum.
            if self.tokens < RETRIES_MIN_PER_SECOND {
                self.tokens = (self.tokens + added).min(RETRIES_MIN_PER_SECOND);
            }
            self.second = second;
            self.earned_in_second = 0.0;
        }
    }

    /// Counts a request that was sent for the first time.
    pub fn earn(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.earned_in_second += RETRY_SHARE;
        self.tokens = (self.tokens + RETRY_SHARE).min(RETRIES_SAVED_MAX);
    }

    /// Takes one retry; false if the budget is spent.
    pub fn spend(&mut self, now_ms: u64) -> bool {
        self.advance(now_ms);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
