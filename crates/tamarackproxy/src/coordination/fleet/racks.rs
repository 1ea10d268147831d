//! Instance counts by rack.

use std::collections::BTreeMap;

use super::view::RackKey;

/// Instance counts by rack, with their total and their maximum kept up to date
/// so that a budget check does not iterate over all racks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RackCounts {
    by_rack: BTreeMap<RackKey, u32>,
    racks_by_count: BTreeMap<u32, u32>,
    total: u32,
}

impl RackCounts {
    /// Adds one instance in a rack.
    pub fn add(&mut self, rack: RackKey) {
        let count = self.by_rack.entry(rack).or_default();
        *count += 1;
        self.total += 1;
        let count = *count;
        self.recount(count - 1, count);
    }

    /// Removes one instance from a rack, if it has any.
    pub fn remove(&mut self, rack: &RackKey) {
        let Some(count) = self.by_rack.get_mut(rack).filter(|count| **count > 0) else {
            return;
        };
        *count -= 1;
        self.total -= 1;
        let count = *count;
        self.recount(count + 1, count);
    }

    /// Returns the number of instances in a rack.
    pub fn in_rack(&self, rack: &RackKey) -> u32 {
        self.by_rack.get(rack).copied().unwrap_or(0)
    }

    /// Returns the number of instances in all racks.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Returns the number of instances in the largest rack.
    pub fn largest(&self) -> u32 {
        self.racks_by_count.last_key_value().map_or(0, |(&count, _)| count)
    }

    /// Returns the number of instances in the largest rack after removing one
    /// instance from this rack.
    pub fn largest_without_one_of(&self, rack: &RackKey) -> u32 {
        match self.racks_by_count.last_key_value() {
            Some((&largest, 1)) if self.in_rack(rack) == largest => largest - 1,
            Some((&largest, _)) => largest,
            None => 0,
        }
    }

    /// Updates the number of racks per count after one rack's count changed.
    fn recount(&mut self, from: u32, to: u32) {
        if let Some(racks) = self.racks_by_count.get_mut(&from) {
            *racks -= 1;
            if *racks == 0 {
                self.racks_by_count.remove(&from);
            }
        }
        if to > 0 {
            *self.racks_by_count.entry(to).or_default() += 1;
        }
    }
}
