//! Tests of budgets and of the shared record of a wave.

use rstest::rstest;

use crate::{
    coordination::fleet::{
        budget::{BudgetChange, BudgetLimits, apply},
        racks::RackCounts,
        view::RackKey,
        wave::{PoolWaveStatus, merge_pool_status},
    },
    state::{
        document::{FailureReserve, WaveSection},
        ids::{DataCentreId, HostId, OperationId, PoolId, RackId, ServiceId, TeamId, Term, WaveId},
        records::{BudgetRecord, ReservationKind, WavePhase, WaveRecord},
        units::DurationMs,
    },
};

fn rack(name: &str) -> RackKey {
    (DataCentreId::new("d"), RackId::new(name))
}

fn counts(racks: &[(&str, u32)]) -> RackCounts {
    let mut counts = RackCounts::default();
    for (name, count) in racks {
        (0..*count).for_each(|_| counts.add(rack(name)));
    }
    counts
}

/// Guards against a stop that leaves too few instances, too few after the loss
/// of the largest remaining rack, or too many stopped at once.
#[rstest]
#[case::room(&[("a", 4), ("b", 4), ("c", 4)], 0, 7, FailureReserve::Rack, true)]
#[case::rack_would_break_it(&[("a", 4), ("b", 4), ("c", 4)], 0, 8, FailureReserve::Rack, false)]
#[case::without_reserve(&[("a", 4), ("b", 4), ("c", 4)], 0, 11, FailureReserve::None, true)]
#[case::too_few(&[("a", 4), ("b", 4), ("c", 4)], 0, 12, FailureReserve::None, false)]
#[case::stop_shrinks_largest(&[("a", 4), ("b", 1)], 0, 1, FailureReserve::Rack, true)]
#[case::too_many_stopped(&[("a", 4), ("b", 4), ("c", 4)], 3, 0, FailureReserve::None, false)]
#[case::not_available(&[("b", 4)], 0, 0, FailureReserve::None, false)]
fn budget_allows_stop_only_with_room(
    #[case] racks: &[(&str, u32)],
    #[case] stopped: usize,
    #[case] min_available: u32,
    #[case] failure_reserve: FailureReserve,
    #[case] allowed: bool,
) {
    let limits = BudgetLimits { min_available, max_stopped: 3, failure_reserve };
    assert_eq!(limits.allows_stop(&counts(racks), stopped, &rack("a")), allowed);
}

/// Guards against granting several stops in one write that only together break
/// a budget, and against not counting a failure because the budget is used up.
#[test]
fn budget_counts_changes_one_after_another() {
    let limits =
        BudgetLimits { min_available: 3, max_stopped: 9, failure_reserve: FailureReserve::None };
    let reserve = |host: &str, kind| BudgetChange::Reserve {
        host: HostId::new(host),
        rack: rack("a"),
        kind,
        operation: OperationId(1),
        wave: None,
        next_pool: None,
    };
    let mut record = BudgetRecord::new(ServiceId::new("s"), PoolId::new("p"));
    let changes = [
        reserve("h1", ReservationKind::Planned),
        reserve("h2", ReservationKind::Planned),
        reserve("h3", ReservationKind::Failure),
    ];
    let mut available = counts(&[("a", 4)]);
    assert!(apply(&mut record, &changes, limits, &mut available, Term(1), 0));
    let reserved: Vec<&str> = record.reservations.keys().map(HostId::as_str).collect();
    assert_eq!(reserved, ["h1", "h3"]);
}

fn section(max_parallel: u32) -> WaveSection {
    WaveSection {
        owner: TeamId::new("t"),
        pools: vec![PoolId::new("p1"), PoolId::new("p2")],
        paused: false,
        max_parallel,
        return_deadline: DurationMs::new(1),
        drain_deadline: DurationMs::new(1),
        pause_after_failures: 2,
    }
}

fn status(pool: &str, requested: u32, failed: u32) -> PoolWaveStatus {
    PoolWaveStatus {
        pool: PoolId::new(pool),
        term: Term(1),
        in_progress: 0,
        requested,
        failed: Some(failed),
        finished: false,
    }
}

/// Guards against two pools that together stop more hosts than the wave allows.
#[test]
fn wave_grants_stay_within_its_parallelism() {
    let record = WaveRecord::new(WaveId::new("w"), 0);
    let record = merge_pool_status(&record, &section(5), &status("p1", 4, 0));
    let record = merge_pool_status(&record, &section(5), &status("p2", 4, 0));
    assert_eq!(record.granted.values().sum::<u32>(), 5);
}

/// Guards against a wave that goes on because the failures of each pool alone
/// stay below the limit, and against a resumed wave that pauses again on
/// failures already acknowledged.
#[test]
fn wave_pauses_on_failures_of_all_pools_until_it_is_resumed() {
    let mut limits = section(5);
    let record = WaveRecord::new(WaveId::new("w"), 0);
    let record = merge_pool_status(&record, &limits, &status("p1", 0, 1));
    assert_eq!(record.phase, WavePhase::Running);
    let record = merge_pool_status(&record, &limits, &status("p2", 0, 1));
    assert_eq!(record.phase, WavePhase::PausedByFailures);
    limits.paused = true;
    let record = merge_pool_status(&record, &limits, &status("p2", 0, 1));
    assert_eq!(record.phase, WavePhase::Paused);
    limits.paused = false;
    let record =
        merge_pool_status(&record, &limits, &PoolWaveStatus { failed: None, ..status("p2", 0, 0) });
    assert_eq!((record.phase, record.resumptions), (WavePhase::Running, 1));
}
