//! Classification and counts of good and bad events.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

use crate::{protocol::caller::Refusal, state::units::Share};

/// Causes of bad events, which consume the error budget.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumCount,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum BadCause {
    /// A target, an entry host or the platform failed.
    Failure,
    /// No instance was available while hosts of the pool were stopped for
    /// planned maintenance.
    Wave,
    /// More requests arrived than the pool could serve in time.
    Flood,
    /// The caller exceeded its own share.
    Refusal,
}

/// Outcome of a request with respect to its service's objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Answered within the objective's latency.
    Good,
    /// Refused, unknown or late.
    Bad(BadCause),
}

impl Event {
    /// Classifies a refusal; returns `None` for errors of the caller, such as a
    /// malformed request, which do not count. `stops_planned` states whether a
    /// host of the service's pool is stopped for planned maintenance.
    pub fn of_refusal(refusal: &Refusal, stops_planned: bool) -> Option<Self> {
        match refusal {
            Refusal::Malformed(_)
            | Refusal::Unauthenticated
            | Refusal::Forbidden
            | Refusal::UnknownService
            | Refusal::BodyTooLarge(_)
            | Refusal::KeyConflict
            | Refusal::KeyMissing
            | Refusal::KeyUnusable
            | Refusal::KeyInProgress
            | Refusal::Cancelled => None,
            Refusal::ShareExceeded => Some(Self::Bad(BadCause::Refusal)),
            Refusal::QueueFull | Refusal::DeadlineUnreachable | Refusal::DeadlinePassed => {
                Some(Self::Bad(BadCause::Flood))
            }
            Refusal::NoTarget | Refusal::Stopping if stops_planned => {
                Some(Self::Bad(BadCause::Wave))
            }
            Refusal::NoTarget
            | Refusal::Stopping
            | Refusal::ResponseForgotten
            | Refusal::OutcomeLost
            | Refusal::TargetTimeout
            | Refusal::ResponseLost
            | Refusal::HomeUnreachable
            | Refusal::ClaimUnavailable
            | Refusal::NotReady => Some(Self::Bad(BadCause::Failure)),
        }
    }
}

/// Number of events of one period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCounts {
    /// Good events.
    pub good: u64,
    /// Bad events by [`BadCause`], in its order.
    pub bad: [u64; BadCause::COUNT],
}

impl BurnCounts {
    /// Counts one event.
    pub fn add_event(&mut self, event: Event) {
        match event {
            Event::Good => self.good += 1,
            Event::Bad(cause) => self.bad[cause as usize] += 1,
        }
    }

    /// Adds the counts of another period or entry host.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad.iter_mut().zip(other.bad).for_each(|(sum, more)| *sum += more);
    }

    /// Returns the number of bad events.
    pub fn bad_total(&self) -> u64 {
        self.bad.iter().sum()
    }

    /// Returns the number of all events.
    pub fn total(&self) -> u64 {
        self.good + self.bad_total()
    }

    /// Returns the burn rate: at 1, the error budget is consumed exactly within
    /// the objective's window; 0 without events.
    pub fn burn_rate(&self, objective: Share) -> f64 {
        let allowed = 1.0 - objective.as_fraction();
        if self.total() == 0 || allowed <= 0.0 {
            return 0.0;
        }
        self.bad_total() as f64 / self.total() as f64 / allowed
    }
}
