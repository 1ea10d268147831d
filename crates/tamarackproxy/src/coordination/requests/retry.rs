//! Retry budget of one service on this entry host.

/// Retry tokens added to the budget by one request.
pub(super) const RETRY_TOKENS_PER_REQUEST: f64 = 0.1;
/// Retries per second that are allowed regardless of the number of requests.
const RETRIES_MIN_PER_SECOND: f64 = 1.0;
/// Capacity of the budget. Bounds the burst after a time without failures to what
/// an instance of 8 slots loses when it fails, with some margin.
const RETRY_TOKENS_MAX: f64 = 20.0;
/// Maximum number of attempts of one request, including the first.
pub(super) const ATTEMPTS_MAX: u32 = 3;

/// Token bucket of retries, filled with 10% of the requests and at least 1 token a
/// second.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    second: u64,
    earned_in_second: f64,
}

impl RetryBudget {
    /// Creates a budget that allows one retry immediately.
    pub fn new() -> Self {
        Self { tokens: RETRIES_MIN_PER_SECOND, second: 0, earned_in_second: 0.0 }
    }

    /// Adds the tokens by which past seconds fell short of the minimum.
    fn refill_minimum(&mut self, now_ms: u64) {
        let second = now_ms / 1_000;
        if second > self.second {
            let missing = (RETRIES_MIN_PER_SECOND - self.earned_in_second).max(0.0);
            let idle_seconds = (second - self.second - 1) as f64;
            let added = missing + idle_seconds * RETRIES_MIN_PER_SECOND;
            // Without requests, no more than one second's minimum accumulates.
            if self.tokens < RETRIES_MIN_PER_SECOND {
                self.tokens = (self.tokens + added).min(RETRIES_MIN_PER_SECOND);
            }
            self.second = second;
            self.earned_in_second = 0.0;
        }
    }

    /// Adds the tokens of a request that is sent for the first time.
    pub fn earn(&mut self, now_ms: u64) {
        self.refill_minimum(now_ms);
        self.earned_in_second += RETRY_TOKENS_PER_REQUEST;
        self.tokens = (self.tokens + RETRY_TOKENS_PER_REQUEST).min(RETRY_TOKENS_MAX);
    }

    /// Takes one retry; returns `false` if the budget is exhausted.
    pub fn spend(&mut self, now_ms: u64) -> bool {
        self.refill_minimum(now_ms);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
