//! Tests of moves between pools: a replay of surges that come in turn, compared
//! with a fleet whose hosts never move.

use hashbrown::HashSet;
use tamarackproxy::state::ids::{PoolId, WorkerId};

use super::*;
use crate::{
    coordination::upkeep::HostOrderReply,
    replay::balance::{
        Fleet, HOST_MILLICORES, HOSTS_PER_POOL, MOVE_MS, POOLS, STANDBY, pool, replay_surges,
        replay_surges_of,
    },
    state::Demand,
};

/// Guards against surges that exceed the capacity of their pool while other
/// hosts are idle.
#[test]
fn hosts_follow_surges_that_come_in_turn() {
    let fixed = replay_surges(false);
    let moved = replay_surges(true);
    println!(
        "late {:.1}% fixed, {:.1}% moved; {} moves, on {} s fixed, {} s moved",
        fixed.late_percent(),
        moved.late_percent(),
        moved.moves,
        fixed.on_ms / 1_000,
        moved.on_ms / 1_000
    );
    // The users' target: most of the work of a surge is in time, where most of
    // it would be late with fixed pools.
    assert!(fixed.late_percent() > 50.0);
    assert!(moved.late_percent() < 15.0);
}

/// Guards against a limit on concurrent moves that only suits small fleets: a
/// fleet of seven times the size must meet the same surges as well.
#[test]
fn large_fleet_follows_surges_like_a_small_one() {
    let small = replay_surges(true);
    let large = Fleet::with_hosts(7 * HOSTS_PER_POOL, 7 * STANDBY);
    let large = replay_surges_of(large, 7 * HOSTS_PER_POOL, true);
    println!("late {:.1}% small, {:.1}% large", small.late_percent(), large.late_percent());
    assert!(large.late_percent() < 15.0);
    assert!(large.late_percent() < small.late_percent() + 2.0);
}

/// Guards against a successor that takes the pool sizes in the middle of a
/// surge for the initial ones and has to learn the order of the surges again.
#[test]
fn successor_knows_first_sizes_and_turns() {
    let peak = (HOSTS_PER_POOL as u64 * HOST_MILLICORES) * 16 / 10;
    let mut fleet = Fleet::default();
    for turn in 0..6 {
        if turn == 5 {
            (fleet.late, fleet.total) = (0.0, 0.0);
        }
        for step in 0..60 {
            // Control changes in the middle of a turn, before hosts move for
            // the next one.
            if (turn, step) == (4, 20) {
                let saved = fleet.saved.clone();
                fleet.engine = BalanceEngine::new(BalanceTiming { move_ms: MOVE_MS });
                fleet.engine.set_pools((0..POOLS.len()).map(pool), Some(PoolId::new("off")));
                fleet.engine.restore(fleet.now(), &saved);
            }
            let mut arriving = [peak / 20; 4];
            arriving[turn % 4] = peak;
            fleet.step(arriving, true);
        }
    }
    let late = fleet.late_percent();
    println!("{late:.1}% late");
    assert!(late < 15.0, "{late:.1}% of the work is late after the change");
}

/// Guards against hosts that stay on while no pool needs them and no surge is
/// due.
#[test]
fn idle_hosts_are_switched_off() {
    let mut fleet = replay_surges(true);
    for _ in 0..120 {
        fleet.step([0; 4], true);
    }
    let off = fleet.hosts.iter().filter(|host| host.pool.as_str() == "off").count();
    assert!(off > STANDBY, "{off} hosts are off");
}

/// Guards against hosts that wait idle for a surge which does not come: a turn
/// that is overdue by two seconds is no longer expected.
#[test]
fn hosts_do_not_wait_for_a_surge_that_does_not_come() {
    let mut fleet = replay_surges(true);
    let mut waiting_steps = 0;
    for _ in 0..150 {
        fleet.step([0; 4], true);
        let mut sizes = (0..POOLS.len()).map(|index| fleet.up(&pool(index)));
        waiting_steps += usize::from(sizes.any(|size| size > HOSTS_PER_POOL));
    }
    println!("{waiting_steps} steps of 100 ms");
    // The hosts join 0.7 s before the turn, wait for 2 s, and are switched off
    // 2.3 s after they were last needed.
    assert!(waiting_steps <= 50, "hosts waited for {waiting_steps} steps");
}

/// Guards against moves under steady demand: each of them requires a drain.
#[test]
fn steady_demand_moves_nothing() {
    let mut fleet = Fleet::default();
    let steady = [HOSTS_PER_POOL as u64 * HOST_MILLICORES * 6 / 10; 4];
    // The start of the demand looks like a surge at first.
    for _ in 0..100 {
        fleet.step(steady, true);
    }
    let moves = fleet.moves;
    for _ in 0..300 {
        fleet.step(steady, true);
    }
    assert_eq!(fleet.moves, moves);
    assert!(fleet.late_percent() < 0.1);
}

/// Guards against a pool that gives away so many hosts that its own surge
/// begins without any.
#[test]
fn pool_whose_turn_may_be_next_keeps_most_of_its_hosts() {
    let mut fleet = Fleet::default();
    let peak = HOSTS_PER_POOL as u64 * HOST_MILLICORES * 3;
    for _ in 0..40 {
        fleet.step([peak, 0, 0, 0], true);
    }
    for index in 1..4 {
        assert!(fleet.up(&pool(index)) >= 6, "{} has too few hosts", pool(index));
    }
}

/// Guards against a move order without reply that is dropped although the host
/// may have left its pool.
#[test]
fn order_without_reply_is_sent_again() {
    let mut fleet = Fleet::default();
    fleet.engine.on_list(fleet.now_ms, &fleet.list());
    fleet.engine.on_workers(&fleet.workers());
    let demand = Demand { backlog_core_ms: 1_000_000, ..Demand::default() };
    fleet.engine.on_demand(fleet.now(), pool(0), demand);
    let empty = HashSet::new();
    let first = fleet.engine.step(fleet.now(), true, &empty, |_| false);
    let is_move = |action: &&BalanceAction| matches!(action, BalanceAction::Move(..));
    let Some(BalanceAction::Move(host, to)) = first.iter().find(is_move).cloned() else {
        panic!("expected a move of a host that is off, got {first:?}")
    };
    let now = fleet.now();
    fleet.engine.on_reply(now, &host, HostOrderReply::Unknown);
    fleet.now_ms += 500;
    let again = fleet.engine.step(fleet.now(), true, &empty, |_| false);
    assert!(again.contains(&BalanceAction::Move(host, to)));
}

/// Guards against hosts that work off what is too late for its callers while
/// another pool's work could still end in time: the surge of one pool begins
/// when a burst at another is over, but its backlog is not.
#[test]
fn overdue_work_gives_its_hosts_to_a_surge() {
    let mut fleet = Fleet::with_hosts(HOSTS_PER_POOL, 0);
    fleet.engine.on_list(fleet.now_ms, &fleet.list());
    let workers = fleet.workers();
    fleet.engine.on_workers(&workers);
    let working = POOLS.map(PoolId::new);
    fleet.engine.set_pools(working, Some(PoolId::new("off")));
    let busy = workers.iter().filter(|entry| entry.pool == pool(0));
    let busy: Vec<WorkerId> = busy.map(|entry| entry.worker.clone()).collect();
    let capacity_core_ms = HOSTS_PER_POOL as u64 * HOST_MILLICORES;
    let burst =
        Demand { overdue_core_ms: capacity_core_ms * 3, ending: busy.clone(), ..Demand::default() };
    let surge = Demand { backlog_core_ms: capacity_core_ms * 8, ..Demand::default() };
    fleet.engine.on_demand(fleet.now(), pool(0), burst);
    fleet.engine.on_demand(fleet.now(), pool(1), surge);
    let actions = fleet.engine.step(fleet.now(), true, &HashSet::new(), |_| false);
    let is_vacated = |action: &&BalanceAction| matches!(action, BalanceAction::Vacate(worker) if busy.contains(worker));
    let vacated = actions.iter().filter(is_vacated).count();
    // The pool keeps what a surge of its own begins with.
    assert!(vacated >= HOSTS_PER_POOL / 4, "{vacated} hosts are vacated");
}

/// Guards against hosts that are taken from work which can still end in time.
#[test]
fn timely_work_keeps_its_hosts() {
    let mut fleet = Fleet::with_hosts(HOSTS_PER_POOL, 0);
    fleet.engine.on_list(fleet.now_ms, &fleet.list());
    let workers = fleet.workers();
    fleet.engine.on_workers(&workers);
    fleet.engine.set_pools(POOLS.map(PoolId::new), Some(PoolId::new("off")));
    let capacity_core_ms = HOSTS_PER_POOL as u64 * HOST_MILLICORES;
    let ending = workers.iter().map(|entry| entry.worker.clone()).collect();
    let busy = Demand { backlog_core_ms: capacity_core_ms * 8, ending, ..Demand::default() };
    for index in 0..POOLS.len() {
        fleet.engine.on_demand(fleet.now(), pool(index), busy.clone());
    }
    let actions = fleet.engine.step(fleet.now(), true, &HashSet::new(), |_| false);
    let is_vacate = |action: &BalanceAction| matches!(action, BalanceAction::Vacate(_));
    assert!(!actions.iter().any(is_vacate), "{actions:?}");
}

/// Guards against an entry of another writer that names the host of a registered
/// worker: its capacity, pool and worker are not those of the host.
#[rstest::rstest]
#[case::working_pool(pool(1))]
#[case::standby_pool(PoolId::new("off"))]
#[case::unknown_pool(PoolId::new("elsewhere"))]
fn entry_of_another_writer_changes_no_host(#[case] other_pool: PoolId) {
    let mut fleet = Fleet::default();
    fleet.engine.on_list(fleet.now_ms, &fleet.list());
    fleet.engine.on_workers(&fleet.workers());
    let before = format!("{:?}", fleet.engine);
    let mut workers = fleet.workers();
    let largest = tamarackproxy::coordination::jobs::Resources::new(u64::MAX, u64::MAX, 0);
    let odd = crate::state::WorkerEntry {
        worker: WorkerId::new("odd"),
        pool: other_pool,
        capacity: largest,
        ..workers[0].clone()
    };
    workers.push(odd);
    fleet.engine.on_workers(&workers);
    assert_eq!(format!("{:?}", fleet.engine), before);
}
