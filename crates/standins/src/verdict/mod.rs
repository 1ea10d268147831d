//! Checks the invariants of one run against the observations of callers,
//! targets, the platform and the store, without using the records that the
//! entry hosts keep about themselves.

mod budgets;
mod configuration;
mod evidence;
mod hosts;
mod observations;
mod requests;

pub use self::{
    configuration::{AcceptedPut, ConfigurationFigures, Sighting},
    hosts::HostFigures,
    observations::{
        DataCentreCut, EntryOutage, HeadChange, HostRecordChange, Observations, ServiceRule,
    },
    requests::RequestFigures,
};

use serde::Serialize;

/// Time within which an accepted configuration must be in force on every entry
/// host, in milliseconds (invariant P8).
pub const IN_FORCE_WITHIN_MS: u64 = 6_000;
/// Time after the first signal that a host is leaving from which it must not
/// receive new work, in milliseconds (invariant P6).
pub const NO_NEW_WORK_AFTER_MS: u64 = 2_000;

/// Counts and violations of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Outcomes of requests.
    #[serde(flatten)]
    pub requests: RequestFigures,
    /// Planned stops that left a service fewer instances than its budget
    /// requires.
    pub budget_violations: u64,
    /// Moves and maintenance of hosts.
    #[serde(flatten)]
    pub hosts: HostFigures,
    /// Propagation of configuration changes.
    #[serde(flatten)]
    pub configuration: ConfigurationFigures,
}

impl Verdict {
    /// Evaluates the observations of a run.
    pub fn of(observations: &Observations) -> Self {
        Self {
            requests: requests::evaluate(observations),
            budget_violations: budgets::count_violations(observations),
            hosts: hosts::evaluate(observations),
            configuration: configuration::evaluate(observations),
        }
    }

    /// Describes some of the cases behind the violated invariants, one per
    /// line.
    pub fn evidence(observations: &Observations) -> Vec<String> {
        evidence::describe(observations)
    }

    /// Returns the figures that violate an invariant, with their values.
    pub fn broken(&self) -> Vec<(&'static str, u64)> {
        let late_ms = self.configuration.config_in_force_max_ms;
        let is_late = late_ms > IN_FORCE_WITHIN_MS;
        let figures = [
            ("crossed", self.requests.crossed),
            ("truncated", self.requests.truncated),
            ("doubled", self.requests.doubled),
            ("false_not_run", self.requests.false_not_run),
            ("slot_overruns", self.requests.slot_overruns),
            ("budget_violations", self.budget_violations),
            ("hosts_in_two_pools", self.hosts.hosts_in_two_pools),
            ("cut_off_in_flight", self.hosts.cut_off_in_flight),
            ("work_after_leaving", self.hosts.work_after_leaving),
            ("config_reverts", self.configuration.config_reverts),
            ("config_in_force_max_ms", if is_late { late_ms } else { 0 }),
        ];
        figures.into_iter().filter(|(_, value)| *value > 0).collect()
    }
}

#[cfg(test)]
mod tests;
