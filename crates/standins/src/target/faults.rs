//! Injected faults and service times of the instances on one host.

use rand::Rng;
use tamarackproxy::state::document::Urgency;

/// Upper bound of the service time, as a multiple of the mean.
const LONGEST_MULTIPLE: f64 = 4.0;

/// Mean service time by urgency class, in milliseconds.
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
    /// Samples an exponentially distributed service time, in milliseconds.
    pub(super) fn sample_ms<R>(&self, urgency: Urgency, random: &mut R) -> f64
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

/// Injected faults of all instances on one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetFaults {
    /// Every request is answered with status 500 immediately.
    pub fails_everything: bool,
    /// Every request is rejected before it starts.
    pub refuses: bool,
    /// Factor of the service times.
    pub slowness: f64,
    /// Share of truncated responses, from 0 to 1.
    pub truncated_response_share: f64,
    /// Responses say `Connection: close`.
    pub leaving: bool,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            fails_everything: false,
            refuses: false,
            slowness: 1.0,
            truncated_response_share: 0.0,
            leaving: false,
        }
    }
}
