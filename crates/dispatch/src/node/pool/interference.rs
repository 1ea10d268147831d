//! Metrics of the kinds of tasks that are kept apart in a pool.

use hashbrown::HashSet;
use tamarackproxy::state::ids::PoolId;

use crate::coordination::pool::InterferingPair;

/// Interval at which the metrics are updated, in milliseconds: that at which
/// metrics are commonly collected.
const PUBLISH_INTERVAL_MS: u64 = 5_000;

/// Gauges of a pool's confirmed pairs, for as long as this process controls the
/// pool.
pub(super) struct InterferenceGauges {
    pool: PoolId,
    published: HashSet<(Box<str>, Box<str>)>,
    due_ms: u64,
}

impl InterferenceGauges {
    pub(super) fn new(pool: PoolId) -> Self {
        Self { pool, published: HashSet::new(), due_ms: 0 }
    }

    /// Returns whether the gauges are to be updated, and schedules the next time.
    pub(super) fn is_due(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.due_ms;
        if is_due {
            self.due_ms = now_ms + PUBLISH_INTERVAL_MS;
        }
        is_due
    }

    /// Sets the gauges of the listed pairs, and those of pairs that are no longer
    /// listed to 0.
    pub(super) fn publish(&mut self, pairs: Vec<InterferingPair>) {
        let mut gone = std::mem::take(&mut self.published);
        for pair in pairs {
            self.set(&pair.slowed, &pair.beside, pair.slowdown, pair.runs);
            let key = (pair.slowed, pair.beside);
            gone.remove(&key);
            self.published.insert(key);
        }
        for (slowed, beside) in &gone {
            self.set(slowed, beside, 0.0, 0.0);
        }
    }

    fn set(&self, slowed: &str, beside: &str, slowdown: f64, runs: f64) {
        let labels = [
            ("pool", self.pool.as_str().to_owned()),
            ("slowed", slowed.to_owned()),
            ("beside", beside.to_owned()),
        ];
        metrics::gauge!("interference_slowdown", &labels).set(slowdown);
        metrics::gauge!("interference_runs", &labels).set(runs);
    }
}

impl Drop for InterferenceGauges {
    fn drop(&mut self) {
        self.publish(Vec::new());
    }
}
