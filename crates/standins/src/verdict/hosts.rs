//! Evaluates moves between pools and planned stops of hosts.

use std::collections::{BTreeSet, HashMap};

use serde::Serialize;
use tamarackproxy::state::{
    ids::{HostId, PoolId, ServiceId},
    records::HostPhase,
};

use super::{NO_NEW_WORK_AFTER_MS, Observations};
use crate::{platform::HostEventKind, target::RunRecord};

/// Counts of host moves, planned stops and maintenance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct HostFigures {
    /// Hosts that changed pool without a drain or ran requests of a service of
    /// another pool.
    pub hosts_in_two_pools: u64,
    /// Requests in flight that planned stops interrupted.
    pub cut_off_in_flight: u64,
    /// Requests started on a host more than [`NO_NEW_WORK_AFTER_MS`] after the
    /// first signal that it is leaving.
    pub work_after_leaving: u64,
    /// Hosts that had a planned reboot and are active again.
    pub hosts_maintained: u64,
}

pub(super) fn evaluate(observations: &Observations) -> HostFigures {
    let cut = observations.host_events.iter().map(|event| match event.kind {
        HostEventKind::Rebooted { in_flight, .. } => in_flight as u64,
        _ => 0,
    });
    HostFigures {
        hosts_in_two_pools: in_two_pools(observations).len() as u64,
        cut_off_in_flight: cut.sum(),
        work_after_leaving: work_after_leaving(observations).len() as u64,
        hosts_maintained: count_maintained(observations),
    }
}

/// Returns the hosts that served two pools at once.
pub(super) fn in_two_pools(observations: &Observations) -> BTreeSet<&HostId> {
    let mut found = BTreeSet::new();
    let mut last: HashMap<&HostId, (&PoolId, HostPhase)> = HashMap::new();
    for change in &observations.host_records {
        let record = &change.record;
        let before = last.insert(&record.host, (&record.pool, record.phase));
        if before.is_some_and(|(pool, phase)| *pool != record.pool && phase != HostPhase::Moving) {
            found.insert(&record.host);
        }
    }
    let pools: HashMap<&ServiceId, &PoolId> =
        observations.services.iter().map(|rule| (&rule.service, &rule.pool)).collect();
    let outside_pool = observations.runs.iter().filter(|run| match pools.get(&run.service) {
        Some(pool) => !was_in_pool(observations, run, pool),
        None => true,
    });
    found.extend(outside_pool.map(|run| &run.host));
    found
}

/// Returns whether the run's host was in the pool when the run started; in the
/// millisecond of a move it counts as in both pools.
fn was_in_pool(observations: &Observations, run: &RunRecord, pool: &PoolId) -> bool {
    let at = |at_ms| observations.record_at(&run.host, at_ms).map(|record| &record.pool);
    at(run.started_ms) == Some(pool) || at(run.started_ms.saturating_sub(1)) == Some(pool)
}

/// An interval in which entry hosts can know that a host is leaving.
struct LeavingInterval<'a> {
    host: &'a HostId,
    from_ms: u64,
    to_ms: u64,
}

/// Returns the runs that started more than [`NO_NEW_WORK_AFTER_MS`] after a
/// signal that the host is leaving.
pub(super) fn work_after_leaving(observations: &Observations) -> Vec<&RunRecord> {
    let leaving: Vec<LeavingInterval<'_>> = by_record(observations)
        .into_iter()
        .chain(by_list(observations))
        .chain(by_target(observations))
        .collect();
    let is_late = |run: &&RunRecord| {
        leaving.iter().any(|leaving| {
            let from_ms = leaving.from_ms + NO_NEW_WORK_AFTER_MS;
            *leaving.host == run.host && (from_ms + 1..leaving.to_ms).contains(&run.started_ms)
        })
    };
    observations.runs.iter().filter(is_late).collect()
}

/// Returns the intervals announced by host records; a partitioned data centre
/// sees the records once it is reconnected.
fn by_record(observations: &Observations) -> Vec<LeavingInterval<'_>> {
    let leaves = observations.host_records.iter().filter(|c| !c.record.phase.accepts_work());
    let interval = leaves.map(|change| {
        let host = &change.record.host;
        let back = observations
            .records_of(host)
            .find(|later| later.at_ms > change.at_ms && later.record.phase.accepts_work());
        let cut = observations.cuts.iter().find(|cut| {
            cut.data_centre == change.record.data_centre
                && (cut.from_ms..cut.to_ms).contains(&change.at_ms)
        });
        LeavingInterval {
            host,
            from_ms: cut.map_or(change.at_ms, |cut| cut.to_ms),
            to_ms: back.map_or(u64::MAX, |back| back.at_ms),
        }
    });
    interval.collect()
}

/// Returns when the data centre of a host could read the platform's list that
/// announces the departure: a partition or an outage of the platform hides the
/// list until it ends.
fn readable_from(observations: &Observations, host: &HostId, visible_ms: u64) -> u64 {
    let record = observations.records_of(host).next();
    let outages = observations.cuts.iter().chain(&observations.list_outages);
    let hiding = outages.filter(|outage| {
        record.is_some_and(|change| change.record.data_centre == outage.data_centre)
            && (outage.from_ms..outage.to_ms).contains(&visible_ms)
    });
    hiding.map(|outage| outage.to_ms).max().unwrap_or(visible_ms)
}

/// Returns the intervals announced by the platform's list.
fn by_list(observations: &Observations) -> Vec<LeavingInterval<'_>> {
    let events = &observations.host_events;
    let interval = events.iter().enumerate().filter_map(|(index, event)| {
        let HostEventKind::Leaving { visible_ms } = event.kind else { return None };
        let stays = events[index..]
            .iter()
            .find(|later| later.host == event.host && later.kind == HostEventKind::Stays);
        let to_ms = stays.map_or(u64::MAX, |stays| stays.at_ms);
        let from_ms = readable_from(observations, &event.host, visible_ms);
        Some(LeavingInterval { host: &event.host, from_ms, to_ms })
    });
    interval.collect()
}

/// Returns the intervals announced by responses of targets.
fn by_target(observations: &Observations) -> Vec<LeavingInterval<'_>> {
    let interval = observations.leaving_signals.iter().map(|sign| LeavingInterval {
        host: &sign.host,
        from_ms: sign.from_ms,
        to_ms: sign.to_ms.unwrap_or(u64::MAX),
    });
    interval.collect()
}

fn count_maintained(observations: &Observations) -> u64 {
    let events = &observations.host_events;
    let rebooted = events.iter().filter(|e| matches!(e.kind, HostEventKind::Rebooted { .. }));
    let hosts: BTreeSet<&HostId> = rebooted.map(|event| &event.host).collect();
    let is_back = |host: &&HostId| {
        let last = observations.records_of(host).last();
        last.is_some_and(|last| last.record.phase == HostPhase::Active)
    };
    hosts.into_iter().filter(is_back).count() as u64
}
