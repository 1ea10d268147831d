//! Faults and service times of one host's instances.

use rand::Rng;
use tamarackproxy::state::document::Urgency;

/// Longest service time, as a multiple of the mean.
const LONGEST_MULTIPLE: f64 = 4.0;

/// Mean service time by class, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimes {
    /// Of urgent requests.
    pub urgent_ms: f64,
    /// Of normal requests.
    pub normal_ms: f64,
    /// Of bulk requests.
    pub bulk_ms: f64,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self { urgent_ms: 20.0, normal_ms: 40.0, bulk_ms: 80.0 }
    }
}

impl ServiceTimes {
    /// Draws an exponentially distributed service time, in milliseconds.
    pub(super) fn draw_ms<R>(&self, urgency: Urgency, random: &mut R) -> f64
    where
        R: Rng,
    {
        let mean_ms = match urgency {
            Urgency::Urgent => self.urgent_ms,
            Urgency::Normal => self.normal_ms,
            Urgency::Bulk => self.bulk_ms,
        };
        let multiple = -(1.0 - random.random::<f64>()).ln();
        mean_ms * multiple.min(LONGEST_MULTIPLE)
    }
}

/// Faults of all instances on one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetFaults {
    /// Every request is answered with status 500 at once.
    pub fails_everything: bool,
    /// Every request is refused before it starts.
    pub refuses: bool,
    /// Service times are multiplied by this.
    pub slowness: f64,
    /// Share of the responses that end in the middle, from 0 to 1.
    pub cut_response_share: f64,
    /// Responses say `Connection: close`.
    pub leaving: bool,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            fails_everything: false,
            refuses: false,
            slowness: 1.0,
            cut_response_share: 0.0,
            leaving: false,
        }
    }
}
