//! Results of one run.

/// Counts of one run.
#[derive(Clone, Debug, Default)]
pub struct OnceCounts {
    /// Charges sent.
    pub charges: u64,
    /// Maximum number of runs of one key.
    pub runs_per_key_max: u32,
    /// Keys that ran.
    pub keys_run: u64,
    /// Requests that were reported as not run although their key had run.
    pub false_not_run: u64,
    /// Requests that received the response to another key.
    pub wrong_replays: u64,
    /// Keys that ran with a body other than that of their first request.
    pub conflicting_runs: u64,
    /// Charges that were answered at least once.
    pub answered: u64,
    /// Charges whose outcome stayed unknown to the caller.
    pub unknown: u64,
    /// Charges whose outcome an injected fault may have left unknown.
    pub exposed: u64,
    /// Charges whose outcome is unknown although no injected fault explains it.
    pub unexplained: u64,
    /// Charges whose last outcome was `not-run`.
    pub not_run: u64,
    /// Attempts of callers.
    pub attempts: u64,
    /// Attempts whose outcome was unknown.
    pub unknown_attempts: u64,
    /// Takeovers of seats.
    pub takeovers: u64,
    /// Calls that may change a key of the store, by second.
    pub writes_by_second: Vec<u64>,
    /// Charges by the second of their first attempt.
    pub charges_by_second: Vec<u64>,
}

impl OnceCounts {
    pub(super) fn record_store_writes(&mut self, second: usize, writes: u64) {
        if self.writes_by_second.len() <= second {
            self.writes_by_second.resize(second + 1, 0);
        }
        self.writes_by_second[second] += writes;
    }

    /// Returns the number of calls that may have changed a key of the store.
    pub fn store_writes(&self) -> u64 {
        self.writes_by_second.iter().sum()
    }

    /// Returns the highest rate per second, averaged over ten seconds.
    pub fn peak_per_second(by_second: &[u64]) -> f64 {
        let sums = by_second.windows(10).map(|window| window.iter().sum::<u64>());
        sums.max().unwrap_or_else(|| by_second.iter().sum()) as f64 / 10.0
    }
}
