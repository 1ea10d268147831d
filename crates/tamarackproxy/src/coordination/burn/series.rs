//! Time series of event counts at three resolutions, so that 28 days fit into
//! one record.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use strum::{EnumIter, IntoEnumIterator};

use super::{BurnCounts, Event};

/// Length and number of the periods of one ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum Resolution {
    /// 72 periods of 5 minutes: 6 hours.
    FiveMinutes,
    /// 72 periods of one hour: 3 days.
    Hour,
    /// 28 periods of one day.
    Day,
}

impl Resolution {
    /// Returns the length of one period, in milliseconds.
    pub const fn period_ms(self) -> u64 {
        match self {
            Resolution::FiveMinutes => 5 * 60_000,
            Resolution::Hour => 3_600_000,
            Resolution::Day => 24 * 3_600_000,
        }
    }

    const fn periods(self) -> u64 {
        match self {
            Resolution::FiveMinutes | Resolution::Hour => 72,
            Resolution::Day => 28,
        }
    }

    /// Returns the finest resolution that covers a window.
    fn covering(window_ms: u64) -> Self {
        Self::iter()
            .find(|resolution| resolution.period_ms() * resolution.periods() >= window_ms)
            .unwrap_or(Resolution::Day)
    }
}

/// Periods with events, oldest first, each with its index since the Unix epoch.
type Ring = VecDeque<(u64, BurnCounts)>;

/// Event counts of one service, or of one urgency class of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnSeries {
    rings: [Ring; 3],
}

impl BurnSeries {
    /// Counts an event at a time in milliseconds since the Unix epoch.
    pub fn add_event(&mut self, unix_ms: u64, event: Event) {
        let mut counts = BurnCounts::default();
        counts.add_event(event);
        for resolution in Resolution::iter() {
            self.add_counts(resolution, unix_ms / resolution.period_ms(), &counts);
        }
    }

    fn add_counts(&mut self, resolution: Resolution, period: u64, counts: &BurnCounts) {
        let ring = &mut self.rings[resolution as usize];
        match ring.iter_mut().rev().find(|(number, _)| *number <= period) {
            Some((number, sum)) if *number == period => sum.add(counts),
            _ => {
                let position = ring.partition_point(|(number, _)| *number < period);
                ring.insert(position, (period, *counts));
            }
        }
        let newest = ring.back().map_or(0, |(number, _)| *number);
        while ring.front().is_some_and(|(number, _)| number + resolution.periods() <= newest) {
            ring.pop_front();
        }
    }

    /// Adds the counts of another entry host.
    pub fn merge(&mut self, other: &Self) {
        for resolution in Resolution::iter() {
            for (period, counts) in &other.rings[resolution as usize] {
                self.add_counts(resolution, *period, counts);
            }
        }
    }

    /// Sums the events of the window that ends now; the oldest period is
    /// included completely.
    pub fn window(&self, now_unix_ms: u64, window_ms: u64) -> BurnCounts {
        let resolution = Resolution::covering(window_ms);
        let first = now_unix_ms.saturating_sub(window_ms) / resolution.period_ms();
        let mut sum = BurnCounts::default();
        let ring = &self.rings[resolution as usize];
        ring.iter().filter(|(period, _)| *period >= first).for_each(|(_, counts)| sum.add(counts));
        sum
    }

    /// Returns the periods of one resolution with their start, in milliseconds
    /// since the Unix epoch.
    pub fn periods(&self, resolution: Resolution) -> Vec<(u64, BurnCounts)> {
        let ring = self.rings[resolution as usize].iter();
        ring.map(|(period, counts)| (period * resolution.period_ms(), *counts)).collect()
    }
}
