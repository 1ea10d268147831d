//! Tests of the buffer policies.

use crate::coordination::fleet::demand::{
    BufferPolicy, BufferPolicyKind, DemandHistory, LoadSample, PoolState, ServiceLoad,
};

/// Returns a history with surges of `surge_slots` for 6 s of every 30 s on a
/// pool of this capacity.
fn history(hours: u64, surge_slots: f64, capacity: f64) -> DemandHistory {
    let mut history = DemandHistory::default();
    let mut queued = 0.0_f64;
    for second in 0..hours * 3_600 {
        let offered = if second % 30 < 6 { surge_slots } else { 1.0 };
        let total = offered + queued;
        let in_flight = total.min(capacity);
        queued = total - in_flight;
        let sample =
            LoadSample { in_flight: in_flight as u32, queued: queued as u32, service_ms: 1_000 };
        history.push(second * 1_000, sample);
    }
    history
}

fn target(kind: BufferPolicyKind, history: &DemandHistory, hosts: u32) -> u32 {
    let load = ServiceLoad { history, slots_per_host: 8, deadline_ms: 10_000 };
    let pool = PoolState { hosts, rack_hosts: 1, size: 10 };
    BufferPolicy::new(kind).target(0, pool, &[load])
}

/// Guards against sizing for the peak although requests may queue, and against
/// sizing so small that the replayed surges would be late: 100 slots for 6 s
/// with 6.75 s of queueing need at least 100 * 6 / 12.75 slots, 6 hosts.
#[test]
fn moves_shrink_to_what_replayed_surges_need() {
    let history = history(1, 100.0, 80.0);
    let hosts = target(BufferPolicyKind::Replay, &history, 13);
    assert!((7..=8).contains(&hosts), "{hosts}");
    let peak = target(BufferPolicyKind::StaticPeak, &history, 13);
    assert!(peak >= 13, "{peak}");
}

/// Guards against shrinking a pool after a history of only a few minutes.
#[test]
fn moves_wait_for_a_learned_history() {
    let mut history = DemandHistory::default();
    for second in 0..600 {
        history.push(second * 1_000, LoadSample { in_flight: 1, queued: 0, service_ms: 500 });
    }
    assert_eq!(target(BufferPolicyKind::Replay, &history, 10), 10);
}

/// Guards against a pool that does not grow although its surges are late
/// repeatedly.
#[test]
fn moves_grow_when_late_requests_cost_more_than_hosts() {
    let history = history(1, 100.0, 24.0);
    assert!(target(BufferPolicyKind::Replay, &history, 3) >= 6);
}

/// Guards against mistaking the requests in flight of a saturated pool for its
/// demand: the growth of the queue counts as well.
#[test]
fn moves_see_demand_beyond_capacity() {
    let unlimited = history(1, 100.0, 1_000.0);
    let saturated = history(1, 100.0, 40.0);
    let of = |history| target(BufferPolicyKind::Replay, history, 13);
    assert!(of(&saturated).abs_diff(of(&unlimited)) <= 1);
}
