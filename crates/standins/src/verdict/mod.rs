//! Compares what callers, targets, the platform and the store saw,
//! independently of the library's own records.

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

/// Time within which an accepted configuration is in force everywhere, in
/// milliseconds (promise P8).
pub const IN_FORCE_WITHIN_MS: u64 = 6_000;
/// Time after the first sign of leaving from which a host gets no new work,
/// in milliseconds (promise P6).
pub const NO_NEW_WORK_AFTER_MS: u64 = 2_000;

/// Figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// What happened to requests.
    #[serde(flatten)]
    pub requests: RequestFigures,
    /// Planned stops that took more instances than a budget allows.
    pub budget_violations: u64,
    /// What happened to hosts.
    #[serde(flatten)]
    pub hosts: HostFigures,
    /// What happened to the configuration.
    #[serde(flatten)]
    pub configuration: ConfigurationFigures,
}

impl Verdict {
    /// Compares the observations of a run.
    pub fn of(observations: &Observations) -> Self {
        Self {
            requests: requests::judge(observations),
            budget_violations: budgets::violations(observations),
            hosts: hosts::judge(observations),
            configuration: configuration::judge(observations),
        }
    }

    /// Describes some of the cases behind the broken promises, one a line.
    pub fn evidence(observations: &Observations) -> Vec<String> {
        evidence::describe(observations)
    }

    /// Returns the figures that break a promise, with their values.
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
