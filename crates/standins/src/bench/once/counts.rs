//! What one schedule showed.

/// Counts of one schedule.
#[derive(Clone, Debug, Default)]
pub struct OnceCounts {
    /// Charges sent.
    pub charges: u64,
    /// Most runs of one key.
    pub runs_per_key_max: u32,
    /// Keys that ran.
    pub keys_run: u64,
    /// Requests that were reported as not run although their key had run.
    pub false_not_run: u64,
    /// Requests that received the response to another key.
    pub wrong_replays: u64,
    /// Runs with a body that conflicts with the first one of the key.
    pub conflicting_runs: u64,
    /// Charges with at least one answer.
    pub answered: u64,
    /// Charges whose outcome stayed unknown to the caller.
    pub unknown: u64,
    /// Charges that an injected fault may have left unknown.
    pub exposed: u64,
    /// Charges unknown although no injected fault explains it.
    pub unexplained: u64,
    /// Charges whose last outcome was not run.
    pub not_run: u64,
    /// Attempts of callers.
    pub attempts: u64,
    /// Attempts whose outcome was unknown.
    pub unknown_attempts: u64,
    /// Takeovers of seats.
    pub takeovers: u64,
    /// Calls that may change a key of the store, by second.
    pub writes_by_second: Vec<u64>,
    /// Charges first sent, by second.
    pub charges_by_second: Vec<u64>,
}

impl OnceCounts {
    pub(super) fn note_store_writes(&mut self, second: usize, writes: u64) {
        if self.writes_by_second.len() <= second {
            self.writes_by_second.resize(second + 1, 0);
        }
        self.writes_by_second[second] += writes;
    }

    /// Returns all calls that may have changed a key of the store.
    pub fn store_writes(&self) -> u64 {
        self.writes_by_second.iter().sum()
    }

    /// Returns the highest rate over ten seconds, per second.
    pub fn peak_per_second(by_second: &[u64]) -> f64 {
        let sums = by_second.windows(10).map(|window| window.iter().sum::<u64>());
        sums.max().unwrap_or_else(|| by_second.iter().sum()) as f64 / 10.0
    }
}
