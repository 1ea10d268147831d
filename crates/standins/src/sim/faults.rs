//! Faults of the network and the store.

use std::collections::BTreeSet;

/// Faults in effect.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// No call reaches the store.
    pub store_down: bool,
    /// Share of store calls whose replies are lost after the call took effect, from
    /// 0 to 1.
    pub lost_replies: f64,
    /// Share of lost peer messages, from 0 to 1.
    pub lost_messages: f64,
    /// Data centres partitioned from the store.
    pub without_platform: BTreeSet<usize>,
    /// Data centres partitioned from the other data centres.
    pub isolated: BTreeSet<usize>,
}

impl Faults {
    pub(super) fn store_reachable(&self, data_centre: usize) -> bool {
        !self.store_down && !self.without_platform.contains(&data_centre)
    }

    pub(super) fn connected(&self, one: usize, other: usize) -> bool {
        one == other || !self.isolated.contains(&one) && !self.isolated.contains(&other)
    }
}
