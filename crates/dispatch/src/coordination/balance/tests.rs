//! Tests of moves between pools: a replay of surges that come in turn, with a
//! fleet that never moves beside it in the same run.

use hashbrown::HashSet;
use tamarackproxy::state::ids::PoolId;

use super::*;
use crate::{
    coordination::upkeep::HostOrderReply,
    replay::balance::{
        Fleet, HOST_MILLICORES, HOSTS_PER_POOL, MOVE_MS, POOLS, STANDBY, pool, replay_surges,
        replay_surges_of,
    },
    state::Demand,
};

/// Guards against surges that outgrow their pool while other hosts idle.
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
    // The users' target: most work of a surge in time, where fixed pools have
    // most of it late.
    assert!(fixed.late_percent() > 50.0);
    assert!(moved.late_percent() < 15.0);
}

/// Guards against a number of moves at once that fits a small fleet only: at
/// seven times the size the same surges are met as well.
#[test]
fn large_fleet_follows_surges_like_a_small_one() {
    let small = replay_surges(true);
    let large = Fleet::with_hosts(7 * HOSTS_PER_POOL, 7 * STANDBY);
    let large = replay_surges_of(large, 7 * HOSTS_PER_POOL, true);
    println!("late {:.1}% small, {:.1}% large", small.late_percent(), large.late_percent());
    assert!(large.late_percent() < 15.0);
    assert!(large.late_percent() < small.late_percent() + 2.0);
}

/// Guards against a successor that takes the pools' sizes in the middle of a
/// surge for their first ones and has to learn all turns again.
#[test]
fn successor_knows_first_sizes_and_turns() {
    let peak = (HOSTS_PER_POOL as u64 * HOST_MILLICORES) * 16 / 10;
    let mut fleet = Fleet::default();
    for turn in 0..6 {
        if turn == 5 {
            (fleet.late, fleet.total) = (0.0, 0.0);
        }
        for step in 0..60 {
            // The change comes in the middle of a turn, before hosts move for
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

/// Guards against hosts that stay on while nothing needs them and no pool's
/// turn is near.
#[test]
fn idle_hosts_are_switched_off() {
    let mut fleet = replay_surges(true);
    for _ in 0..120 {
        fleet.step([0; 4], true);
    }
    let off = fleet.hosts.iter().filter(|host| host.pool.as_str() == "off").count();
    assert!(off > STANDBY, "{off} hosts are off");
}

/// Guards against moves on days without surges: each costs a drain.
#[test]
fn steady_demand_moves_nothing() {
    let mut fleet = Fleet::default();
    let steady = [HOSTS_PER_POOL as u64 * HOST_MILLICORES * 6 / 10; 4];
    // Demand that begins looks like a surge at first.
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

/// Guards against a pool that gives so much away that its own surge begins with
/// nothing.
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

/// Guards against an order without reply that is forgotten: the host may have
/// left its pool.
#[test]
fn order_without_reply_is_sent_again() {
    let mut fleet = Fleet::default();
    fleet.engine.on_list(fleet.now_ms, &fleet.list());
    fleet.engine.on_workers(&fleet.workers());
    let demand = Demand { backlog_core_ms: 1_000_000, ..Demand::default() };
    fleet.engine.on_demand(fleet.now(), pool(0), demand);
    let empty = HashSet::new();
    let first = fleet.engine.step(fleet.now(), &empty, |_| false);
    let is_move = |action: &&BalanceAction| matches!(action, BalanceAction::Move(..));
    let Some(BalanceAction::Move(host, to)) = first.iter().find(is_move).cloned() else {
        panic!("expected a move of a host that is off, got {first:?}")
    };
    let now = fleet.now();
    fleet.engine.on_reply(now, &host, HostOrderReply::Unknown);
    fleet.now_ms += 500;
    let again = fleet.engine.step(fleet.now(), &empty, |_| false);
    assert!(again.contains(&BalanceAction::Move(host, to)));
}
