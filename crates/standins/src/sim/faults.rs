//! Faults of the network and of the store.

use std::collections::BTreeSet;

/// Faults that are in effect.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// No call reaches the store.
    pub store_down: bool,
    /// Share of store calls that take effect and whose replies are lost.
    pub lost_replies: f64,
    /// Share of peer messages that are lost.
    pub lost_messages: f64,
    /// Data centres that do not reach the store.
    pub without_platform: BTreeSet<usize>,
    /// Data centres that do not reach the other data centres.
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
