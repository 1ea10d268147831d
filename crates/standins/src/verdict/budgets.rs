//! Checks that planned stops leave each service the instances that its budget
//! requires.

use tamarackproxy::state::{
    ids::HostId,
    records::{HostPhase, HostRecord},
};

use super::{Observations, ServiceRule};
use crate::platform::HostEventKind;

/// Time after which the controllers must know of a host failure, in
/// milliseconds: the lag of the platform's list and one read of it. A shortage
/// of instances due to a more recent failure is not a violation.
const FAILURE_KNOWN_AFTER_MS: u64 = 5_000;

/// Counts the planned stops after which a service had fewer instances than its
/// budget requires, where failures that had to be known by then reduce the
/// number of instances.
///
/// Only planned stops are checked: at any other time the number of instances
/// falls because of a failure, which the budget does not prevent.
pub(super) fn count_violations(observations: &Observations) -> u64 {
    let drains = observations.planned_stops().map(|change| (change.at_ms, &change.record));
    let reboots = observations.host_events.iter().filter_map(|event| {
        let record = observations.record_at(&event.host, event.at_ms)?;
        let is_reboot = matches!(event.kind, HostEventKind::Rebooted { .. });
        (is_reboot && record.phase == HostPhase::Active).then_some((event.at_ms, record))
    });
    let stops: Vec<(u64, &HostRecord)> = drains.chain(reboots).collect();
    let is_violated = |rule: &ServiceRule, at_ms: u64| {
        available_instances(observations, rule, at_ms) < rule.min_available
    };
    let count = |rule: &ServiceRule| {
        let of_pool = stops.iter().filter(|(_, record)| record.pool == rule.pool);
        of_pool.filter(|(at_ms, _)| is_violated(rule, *at_ms)).count() as u64
    };
    observations.services.iter().map(count).sum()
}

/// Returns the number of instances of a service that accept work at `at_ms`.
fn available_instances(observations: &Observations, rule: &ServiceRule, at_ms: u64) -> u32 {
    let mut hosts: Vec<&HostId> =
        observations.host_records.iter().map(|change| &change.record.host).collect();
    hosts.sort_unstable();
    hosts.dedup();
    let is_available = |host: &&HostId| {
        let record = observations.record_at(host, at_ms);
        record.is_some_and(|record| record.pool == rule.pool && record.phase == HostPhase::Active)
            && counts_as_running(observations, host, at_ms)
    };
    hosts.into_iter().filter(is_available).count() as u32
}

/// Returns whether a host counts as running: a failure counts only once the
/// controllers must know of it.
fn counts_as_running(observations: &Observations, host: &HostId, at_ms: u64) -> bool {
    let events = observations.host_events.iter();
    let mut events = events.filter(|event| event.host == *host && event.at_ms <= at_ms).rev();
    let latest = events.find(|event| {
        use HostEventKind::{CameBack, Died, Rebooted};
        matches!(event.kind, CameBack | Died | Rebooted { .. })
    });
    latest.is_none_or(|event| match event.kind {
        HostEventKind::Rebooted { .. } => false,
        HostEventKind::Died => at_ms < event.at_ms + FAILURE_KNOWN_AFTER_MS,
        _ => true,
    })
}
