//! Whether planned stops left enough instances available.

use tamarackproxy::state::{
    ids::HostId,
    records::{HostPhase, HostRecord},
};

use super::{Observations, ServiceRule};
use crate::platform::HostEventKind;

/// Time after which a failure must be known to whoever plans stops, in
/// milliseconds: the list's lag and one read of it. A younger failure
/// explains a lack of instances.
const FAILURE_KNOWN_AFTER_MS: u64 = 5_000;

/// Returns the number of planned stops after which a service had fewer
/// instances than its budget, failures included that were known by then.
///
/// Only a planned stop can break the budget: at any other moment the number
/// of instances falls because of a failure.
pub(super) fn violations(observations: &Observations) -> u64 {
    let drains = observations.planned_stops().map(|change| (change.at_ms, &change.record));
    let reboots = observations.host_events.iter().filter_map(|event| {
        let record = observations.record_at(&event.host, event.at_ms)?;
        let is_reboot = matches!(event.kind, HostEventKind::Rebooted { .. });
        (is_reboot && record.phase == HostPhase::Active).then_some((event.at_ms, record))
    });
    let stops: Vec<(u64, &HostRecord)> = drains.chain(reboots).collect();
    let broken =
        |rule: &ServiceRule, at_ms: u64| available(observations, rule, at_ms) < rule.min_available;
    let count = |rule: &ServiceRule| {
        let of_pool = stops.iter().filter(|(_, record)| record.pool == rule.pool);
        of_pool.filter(|(at_ms, _)| broken(rule, *at_ms)).count() as u64
    };
    observations.services.iter().map(count).sum()
}

/// Returns the instances of a service that take work at a moment.
fn available(observations: &Observations, rule: &ServiceRule, at_ms: u64) -> u32 {
    let mut hosts: Vec<&HostId> =
        observations.host_records.iter().map(|change| &change.record.host).collect();
    hosts.sort_unstable();
    hosts.dedup();
    let is_available = |host: &&HostId| {
        let record = observations.record_at(host, at_ms);
        record.is_some_and(|record| record.pool == rule.pool && record.phase == HostPhase::Active)
            && runs(observations, host, at_ms)
    };
    hosts.into_iter().filter(is_available).count() as u32
}

/// Tells whether a host runs, as far as it must be known.
fn runs(observations: &Observations, host: &HostId, at_ms: u64) -> bool {
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
