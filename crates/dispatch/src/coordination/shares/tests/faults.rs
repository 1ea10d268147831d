//! What happens to shares when a controller, a link or the store fails halfway.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{coordination::jobs::Resources, state::ids::RecordVersion};

use super::{
    super::{AccountDemand, ListedShares, ShareCall, ShareEngine, ShareWriteResult},
    world::{APPLY_MS, World, account, cores, pool},
};
use crate::state::{AccountShare, ShareRecord};

/// Returns an engine that has listed its pool's share, with the listing.
fn engine_with_share(held: Resources) -> (ShareEngine, ListedShares) {
    let mut engine = ShareEngine::new(pool(0), APPLY_MS);
    engine.set_limits(0, [(account(), cores(10))]);
    engine.set_current(true);
    let record =
        ShareRecord { accounts: [(account(), AccountShare { held, wanted: held })].into() };
    let pools = [(pool(0), (RecordVersion(1), record))].into();
    let listed = ListedShares { raise: RecordVersion(1), pools };
    assert_eq!(engine.step(1_000), Some(ShareCall::List));
    engine.on_listed(1_010, Some(listed.clone()));
    (engine, listed)
}

/// Returns the demand of an account with blocked tasks of one core.
fn blocked(tasks: u64) -> AccountDemand {
    AccountDemand { running: cores(0), blocked: cores(tasks), unit: cores(1) }
}

/// Guards against a lowering without a reply that no longer counts once a listing
/// does not show it: it may take effect after the listing, and another pool
/// would use the same part of the limit.
#[test]
fn lowering_without_a_reply_counts_until_its_version_is_replaced() {
    let (mut engine, listed) = engine_with_share(cores(10));
    engine.set_demand(1_010, &account(), &AccountDemand::default());
    assert!(matches!(engine.step(1_010), Some(ShareCall::Write(_))));
    engine.on_written(1_600, ShareWriteResult::Unknown);
    assert_eq!(engine.step(1_700), Some(ShareCall::List));
    engine.on_listed(1_710, Some(listed));
    let allowance = engine.set_demand(1_710, &account(), &blocked(5));
    assert_eq!(allowance.usable.cpu_millicores, 0);
    assert!(matches!(engine.step(1_710), Some(ShareCall::Write(_))));
    engine.on_written(1_720, ShareWriteResult::Written(RecordVersion(2)));
    let allowance = engine.set_demand(1_720, &account(), &blocked(5));
    assert!(allowance.usable.cpu_millicores >= 5_000, "{allowance:?}");
}

/// Guards against a raise that is used before the store has confirmed it.
#[test]
fn raise_counts_once_it_is_confirmed() {
    let (mut engine, _) = engine_with_share(cores(0));
    engine.set_demand(1_010, &account(), &blocked(5));
    assert!(matches!(engine.step(1_010), Some(ShareCall::Write(_))));
    let allowance = engine.set_demand(1_015, &account(), &blocked(5));
    assert_eq!(allowance.usable.cpu_millicores, 0);
    engine.on_written(1_020, ShareWriteResult::Written(RecordVersion(2)));
    let allowance = engine.set_demand(1_020, &account(), &blocked(5));
    assert!(allowance.usable.cpu_millicores >= 5_000, "{allowance:?}");
}

/// Guards against two controllers that use the same part of a limit because both
/// found it free.
#[test]
fn concurrent_raises_do_not_exceed_the_limit() {
    let mut world = World::new(5, cores(10));
    for pool in 0..5 {
        world.submit(pool, 10, cores(1), 800);
    }
    world.run_ms(600);
    assert!(world.taken().cpu_millicores >= 8_000, "{:?}", world.taken());
    world.run_ms(8_000);
    assert_eq!(world.controllers.iter().map(|it| it.starts).sum::<u64>(), 50);
}

/// Guards against a raise without a reply that is used before it is known, and
/// against a controller that never raises again after it.
#[test]
fn raise_that_takes_effect_late_is_not_used_twice() {
    let mut world = World::new(2, cores(10));
    world.controllers[0].write_delay_ms = Some(900);
    world.submit(0, 10, cores(1), 3_000);
    world.run_ms(50);
    world.controllers[0].write_delay_ms = None;
    world.submit(1, 10, cores(1), 3_000);
    world.run_ms(2_000);
    assert!(world.taken().cpu_millicores >= 9_000, "{:?}", world.taken());
    world.run_ms(8_000);
    assert_eq!(world.controllers.iter().map(|it| it.starts).sum::<u64>(), 20);
}

/// Guards against a lowering without a reply that takes effect after the listing
/// that follows it: the controller would go on to use what another pool has
/// raised meanwhile.
#[test]
fn lowering_that_takes_effect_late_is_not_used() {
    for delay_ms in [300, 700, 1_500, 3_000] {
        let mut world = World::new(2, cores(10));
        world.submit(0, 10, cores(1), 300);
        world.run_ms(250);
        world.controllers[0].write_delay_ms = Some(delay_ms);
        // The share of the ended tasks is given back by writes without a reply.
        world.run_ms(900);
        world.submit(0, 10, cores(1), 2_000);
        world.submit(1, 10, cores(1), 2_000);
        world.run_ms(4_000);
        world.controllers[0].write_delay_ms = None;
        world.run_ms(6_000);
        assert_eq!(world.controllers.iter().map(|it| it.starts).sum::<u64>(), 30, "{delay_ms}");
    }
}

/// Guards against a controller that is cut off from the store while the limit
/// falls and starts tasks by the earlier limit.
#[test]
fn controller_that_is_cut_off_starts_nothing_once_the_limit_may_have_fallen() {
    let mut world = World::new(2, cores(20));
    world.submit(0, 2_000, cores(1), 400);
    world.run_ms(1_000);
    world.controllers[0].is_cut_off = true;
    world.set_limit(cores(5));
    world.run_ms(APPLY_MS + 1_000);
    assert_eq!(world.controllers[0].taken(), cores(0));
    world.controllers[0].is_cut_off = false;
    world.run_ms(1_500);
    assert!(world.controllers[0].taken().cpu_millicores >= 4_000);
}

/// Guards against starts after a fall of the limit while tasks that began under
/// the earlier limit still run in another pool.
#[test]
fn nothing_starts_until_the_account_is_below_a_lowered_limit() {
    let mut world = World::new(2, cores(40));
    world.submit(0, 20, cores(1), 9_000);
    world.submit(1, 30, cores(1), 200);
    world.run_ms(100);
    world.set_limit(cores(10));
    world.submit(1, 100, cores(1), 200);
    // Long after the window in which the earlier limit counts.
    world.run_ms(APPLY_MS + 500);
    let before = world.controllers[1].starts;
    world.run_ms(2_000);
    assert_eq!(world.controllers[1].starts, before);
    world.run_ms(5_000);
    assert!(world.controllers[1].starts > before, "nothing started below the limit");
}

/// Guards against a process that raises its share by the earlier limit within
/// the time that it has to apply the lower one, unseen by the others.
#[test]
fn late_raise_by_the_earlier_limit_is_seen_by_the_others() {
    let mut world = World::new(2, cores(40));
    world.submit(0, 5, cores(1), 20_000);
    world.run_ms(1_000);
    world.apply_delays_ms.insert(1, APPLY_MS - 50);
    world.set_limit(cores(10));
    world.run_ms(APPLY_MS - 200);
    world.submit(1, 30, cores(1), 20_000);
    // The first pool's spare share was listed before this raise. The listing that
    // shows it is under way when the time has passed.
    world.run_ms(205);
    assert!(world.held(0).cpu_millicores >= 6_000 && world.taken().cpu_millicores > 30_000);
    world.submit(0, 6, cores(1), 1_000);
    world.run_ms(3_000);
}

/// Guards against shares that stay low, or are used twice, when a limit falls and
/// rises again before all shares were lowered.
#[test]
fn limit_that_falls_and_rises_is_used_in_full() {
    let mut world = World::new(3, cores(30));
    for pool in 0..3 {
        world.submit(pool, 300, cores(1), 300);
    }
    for pause_ms in [20, 60, 110, 250, 900, 4_000] {
        world.run_ms(1_000);
        world.set_limit(cores(6));
        world.run_ms(pause_ms);
        world.set_limit(cores(30));
        world.run_ms(1_500);
        assert!(world.taken().cpu_millicores >= 24_000, "{pause_ms} ms: {:?}", world.taken());
        for pool in 0..3 {
            world.submit(pool, 100, cores(1), 300);
        }
    }
}

/// Guards against the share of a dead controller that another pool uses while
/// the dead controller's tasks still run.
#[test]
fn share_of_a_dead_controller_stays_reserved() {
    let mut world = World::new(2, cores(10));
    world.submit(0, 8, cores(1), 5_000);
    world.run_ms(100);
    world.controllers[0].is_alive = false;
    world.submit(1, 10, cores(1), 500);
    world.run_ms(3_000);
    assert!(world.controllers[1].taken().cpu_millicores <= 2_000);
    // The successor sees no runs until the workers are listed.
    world.take_over(0);
    world.submit(0, 10, cores(1), 500);
    world.run_ms(1_000);
    world.reveal(0);
    world.run_ms(6_000);
    assert_eq!(world.controllers[1].starts, 10);
    assert_eq!(world.controllers[0].starts, 10);
}

/// Guards against a write of a former controller that takes effect after its
/// successor has read the shares.
#[test]
fn late_write_of_a_former_controller_has_no_effect() {
    let mut world = World::new(2, cores(10));
    world.submit(0, 10, cores(1), 300);
    world.run_ms(250);
    world.controllers[0].write_delay_ms = Some(800);
    world.run_ms(500);
    world.take_over(0);
    world.submit(0, 10, cores(1), 2_000);
    world.submit(1, 10, cores(1), 2_000);
    world.run_ms(8_000);
    assert_eq!(world.controllers.iter().map(|it| it.starts).sum::<u64>(), 20);
}

/// Guards against the share of a pool that is no longer configured, which would
/// be lost to the other pools for ever, and against its use while the pool's
/// tasks may still run.
#[test]
fn share_of_a_removed_pool_is_used_again() {
    let mut world = World::new(2, cores(10));
    world.submit(1, 8, cores(1), 12_000);
    world.run_ms(100);
    world.submit(0, 400, cores(1), 500);
    world.remove_pool();
    world.release(1);
    world.run_ms(10_000);
    assert!(world.controllers[0].taken().cpu_millicores <= 2_000);
    world.run_ms(10_000);
    assert!(!world.records.contains_key(&pool(1)));
    assert!(world.controllers[0].taken().cpu_millicores >= 9_000, "{:?}", world.held(0));
}

/// Guards against an order of faults that no other test has: starts above the
/// limit, and controllers that never start anything again.
#[test]
fn random_faults_neither_exceed_the_limit_nor_stop_the_account() {
    for seed in 0..24 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let pools = random.random_range(2..6);
        let limit = |random: &mut ChaCha8Rng| {
            Resources::new(random.random_range(4..40) * 1_000, random.random_range(4..60) << 30, 0)
        };
        let first = limit(&mut random);
        let mut world = World::new(pools, first);
        for controller in &mut world.controllers {
            controller.capacity = Resources::new(24_000, 64 << 30, 0);
        }
        for _ in 0..60 {
            let pool = random.random_range(0..pools);
            match random.random_range(0..16) {
                0 => world.set_limit(limit(&mut random)),
                1 => world.controllers[pool].is_cut_off = true,
                2 | 3 => {
                    let delay_ms = random.random_range(10..4_000);
                    world.controllers[pool].write_delay_ms = Some(delay_ms);
                }
                4 => world.take_over(pool),
                5 => drop(world.apply_delays_ms.insert(pool, random.random_range(0..APPLY_MS))),
                6..9 => {
                    world.controllers[pool].is_cut_off = false;
                    world.controllers[pool].write_delay_ms = None;
                    world.reveal(pool);
                }
                _ => {
                    let need = Resources::new(
                        random.random_range(1..4) * 1_000,
                        random.random_range(0..4) << 30,
                        0,
                    );
                    let (tasks, lasts_ms) =
                        (random.random_range(1..12), random.random_range(50..1_500));
                    world.submit(pool, tasks, need, lasts_ms);
                }
            }
            world.run_ms(random.random_range(5..700));
        }
        for pool in 0..pools {
            world.controllers[pool].is_cut_off = false;
            world.controllers[pool].write_delay_ms = None;
            world.reveal(pool);
        }
        world.run_ms(120_000);
        let waiting: Vec<_> = world.controllers.iter().map(|it| it.waiting.len()).collect();
        assert!(waiting.iter().all(|&waiting| waiting == 0), "seed {seed}: {waiting:?} wait");
    }
}
