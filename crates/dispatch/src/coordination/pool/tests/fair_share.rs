//! Fair share of a full pool among client accounts.

use crate::replay::{
    fair_share::{AccountLoad, FloodPhase, FloodReplay, TASK_MAX_MS},
    pool::{PoolSimulation, job, step, task},
};

/// Creates a pool of 8 cores with two accounts of the given weights.
fn shared_pool(weights: [f64; 2]) -> PoolSimulation {
    let mut simulation = PoolSimulation::new(2, 4);
    simulation.set_accounts(&[("first", weights[0]), ("second", weights[1])]);
    simulation
}

/// Guards against an account that gets a full pool in the order of work alone: the
/// smaller jobs of the other account would all go first.
#[test]
fn full_pool_is_shared_by_weight() {
    let mut simulation = shared_pool([3.0, 1.0]);
    for _ in 0..20 {
        simulation.submit_as("first", job(vec![step(2, 1_000, 2_000)]));
        simulation.submit_as("second", job(vec![step(1, 1_000, 2_000)]));
    }
    simulation.run_ms(200);
    assert_eq!(simulation.running_of("first"), 6);
    assert_eq!(simulation.running_of("second"), 2);
}

/// Guards against a step that takes more than its account's entitlement because
/// all of its tasks are placed at once.
#[test]
fn large_step_stops_at_the_entitlement() {
    let mut simulation = shared_pool([1.0, 1.0]);
    simulation.submit_as("first", job(vec![step(8, 1_000, 2_000)]));
    simulation.submit_as("second", job(vec![step(8, 1_000, 2_500)]));
    simulation.run_ms(200);
    assert_eq!(simulation.running_of("first"), 4);
    assert_eq!(simulation.running_of("second"), 4);
}

/// Guards against capacity that stays idle because its account does not use it.
#[test]
fn unused_share_goes_to_the_others() {
    let mut simulation = shared_pool([1.0, 1.0]);
    simulation.submit_as("first", job(vec![step(1, 1_000, 5_000)]));
    simulation.submit_as("second", job(vec![step(12, 1_000, 5_000)]));
    simulation.run_ms(200);
    assert_eq!(simulation.running_of("second"), 7);
}

/// Guards against an account that waits for room although the pool has some.
#[test]
fn pool_with_room_starts_everything() {
    let mut simulation = shared_pool([1.0, 100.0]);
    simulation.submit_as("first", job(vec![step(7, 1_000, 5_000)]));
    simulation.submit_as("second", job(vec![step(1, 1_000, 5_000)]));
    simulation.run_ms(100);
    assert_eq!(simulation.running(), 8);
}

/// Guards against public work that waits for accounts above their entitlement.
#[test]
fn public_work_goes_before_accounts_above_their_entitlement() {
    let mut simulation = shared_pool([1.0, 1.0]);
    simulation.submit_as("second", job(vec![step(1, 1_000, 5_000)]));
    simulation.submit_as("first", job(vec![step(7, 1_000, 600)]));
    simulation.run_ms(100);
    for _ in 0..8 {
        simulation.submit_as("first", job(vec![step(1, 1_000, 600)]));
    }
    let public = simulation.submit(job(vec![step(3, 1_000, 650)]));
    simulation.run_ms(700);
    assert_eq!(simulation.running_of("first"), 4);
    assert!((0..3).all(|index| simulation.is_running(task(public, 0, index))));
}

/// Guards against a successor that takes an account's adopted runs for unused
/// entitlement.
#[test]
fn successor_counts_the_runs_that_it_finds() {
    let mut simulation = shared_pool([1.0, 1.0]);
    simulation.submit_as("first", job(vec![step(6, 1_000, 20_000)]));
    simulation.run_ms(500);
    simulation.kill(0);
    simulation.add_controller();
    simulation.run_ms(1_000);
    // The jobs of the first account are worth more per work, and would go first.
    for _ in 0..4 {
        simulation.submit_as("first", job(vec![step(1, 1_000, 2_000)]));
        simulation.submit_as("second", job(vec![step(2, 1_000, 2_000)]));
    }
    simulation.run_ms(200);
    assert_eq!(simulation.running_of("second"), 2);
}

/// Guards against runs in excess of its entitlement that an account loses to
/// another.
#[test]
fn nothing_is_preempted() {
    let mut simulation = shared_pool([1.0, 1.0]);
    simulation.submit_as("first", job(vec![step(8, 1_000, 3_000)]));
    simulation.run_ms(100);
    simulation.submit_as("second", job(vec![step(4, 1_000, 500)]));
    simulation.run_ms(1_000);
    assert_eq!(simulation.running_of("first"), 8);
}

/// Guards against operators who are not told that an account's work is delayed, or
/// that it is no longer.
#[test]
fn delay_by_the_entitlement_is_shown_until_it_ends() {
    let mut simulation = shared_pool([1.0, 1.0]);
    let is_delayed = |simulation: &mut PoolSimulation| {
        let shares = simulation.engine(0).account_statuses();
        shares.iter().any(|share| share.account.as_str() == "first" && share.is_delayed)
    };
    for _ in 0..20 {
        simulation.submit_as("first", job(vec![step(1, 1_000, 600)]));
    }
    simulation.run_ms(300);
    assert!(!is_delayed(&mut simulation), "no other account waits");
    simulation.submit_as("second", job(vec![step(6, 1_000, 600)]));
    simulation.run_ms(500);
    assert!(is_delayed(&mut simulation));
    simulation.submit_as("first", job(vec![step(1, 1_000, 5_000)]));
    simulation.run_ms(2_500);
    assert!(!is_delayed(&mut simulation), "the pool has room");
}

/// Returns the entitlement of each account, in percent, by name.
fn entitlements(simulation: &mut PoolSimulation) -> Vec<(Box<str>, u64)> {
    let shares = simulation.engine(0).account_statuses();
    let mut found: Vec<(Box<str>, u64)> = (shares.into_iter())
        .map(|share| (share.account.as_str().into(), (share.entitlement * 100.0).round() as u64))
        .collect();
    found.sort();
    found
}

/// Guards against an account that competes with a flood for what a third account
/// leaves unused: each of them has an equal part of that.
#[test]
fn unused_entitlement_is_divided_by_weight() {
    let mut simulation = PoolSimulation::new(4, 5);
    simulation.set_accounts(&[("first", 2.0), ("second", 1.0), ("third", 1.0)]);
    simulation.submit_as("third", job(vec![step(2, 1_000, 5_000)]));
    simulation.submit_as("first", job(vec![step(40, 1_000, 5_000)]));
    simulation.submit_as("second", job(vec![step(40, 1_000, 4_000)]));
    simulation.run_ms(200);
    let expected = [("first", 60), ("second", 30), ("third", 30)];
    assert_eq!(entitlements(&mut simulation), expected.map(|(name, it)| (name.into(), it)));
    assert_eq!(simulation.running_of("first"), 12);
    assert_eq!(simulation.running_of("second"), 6);
    assert_eq!(simulation.running_of("third"), 2);
}

/// Guards against public work that takes away the accounts' proportional parts:
/// its demand only reduces what they leave unused.
#[test]
fn public_flood_leaves_the_accounts_their_proportions() {
    let mut simulation = shared_pool([1.0, 1.0]);
    simulation.submit(job(vec![step(40, 1_000, 5_000)]));
    simulation.run_ms(100);
    simulation.submit_as("first", job(vec![step(8, 1_000, 5_000)]));
    simulation.submit_as("second", job(vec![step(1, 1_000, 5_000)]));
    simulation.run_ms(100);
    let expected = [("first", 50), ("second", 50)];
    assert_eq!(entitlements(&mut simulation), expected.map(|(name, it)| (name.into(), it)));
}

/// Guards against an accepted job that never runs because its account was removed
/// from the configuration.
#[test]
fn job_of_a_removed_account_runs() {
    let mut simulation = shared_pool([1.0, 1.0]);
    simulation.submit_as("first", job(vec![step(40, 1_000, 2_000)]));
    simulation.run_ms(100);
    let removed = simulation.submit_as("removed", job(vec![step(1, 1_000, 2_000)]));
    simulation.run_ms(300);
    // The first account is entitled to what the waiting core leaves of 8.
    let expected = [("first", 88), ("removed", 88)];
    assert_eq!(entitlements(&mut simulation), expected.map(|(name, it)| (name.into(), it)));
    simulation.run_ms(2_000);
    assert!(simulation.is_running(task(removed, 0, 0)));
}

/// Guards against a pool whose order changes although the deployment has no
/// accounts: jobs that carry an account are in today's order then.
#[test]
fn order_is_unchanged_without_accounts() {
    let mut simulation = PoolSimulation::new(2, 4);
    simulation.submit_as("first", job(vec![step(8, 1_000, 1_000)]));
    simulation.run_ms(100);
    simulation.submit_as("second", job(vec![step(8, 1_000, 1_000)]));
    simulation.submit_as("first", job(vec![step(4, 1_000, 1_000)]));
    simulation.run_ms(1_000);
    assert_eq!(simulation.running_of("first"), 4);
    assert!(simulation.engine(0).account_statuses().is_empty());
}

const FLOODING: AccountLoad = AccountLoad { account: "flooding", weight: 1.0, load: 0.65 };
const STEADY: AccountLoad = AccountLoad { account: "steady", weight: 1.0, load: 0.30 };
const PHASES: [FloodPhase; 2] = [FloodPhase::During, FloodPhase::After];

/// Guards against a flood of one account that delays the jobs of another, during
/// the flood or while its backlog is worked off, and against a flooding account
/// whose accepted jobs never end. Without the fair share the load shows the fault.
#[test]
fn flood_delays_other_accounts_by_at_most_one_task() {
    for seed in [1, 2] {
        println!("seed {seed}");
        let replay = FloodReplay::new(&[FLOODING, STEADY], seed);
        let unshared = replay.run();
        let replay = replay.with_fair_share();
        let (shared, quiet) = (replay.run(), replay.without_flood().run());
        for phase in PHASES {
            let extra_ms = shared.extra_wait_ms(&quiet, phase, 100);
            assert!(extra_ms <= u64::from(TASK_MAX_MS), "{phase:?}: {extra_ms} ms");
            assert!(shared.timely_share(phase) >= quiet.timely_share(phase) - 0.01, "{phase:?}");
        }
        assert_eq!(shared.flood_ended, shared.flood_jobs);
        assert!(unshared.timely_share(FloodPhase::During) < 0.5);
    }
}

/// Guards against a small third account whose unused part protects nobody: the
/// second account needs more than a third of the pool.
#[test]
fn flood_does_not_take_what_a_third_account_leaves_unused() {
    let loads = [
        AccountLoad { load: 0.45, ..FLOODING },
        AccountLoad { load: 0.40, ..STEADY },
        AccountLoad { account: "small", load: 0.10, ..STEADY },
    ];
    for seed in [1, 2] {
        println!("seed {seed}");
        let replay = FloodReplay::new(&loads, seed).with_fair_share();
        let (shared, quiet) = (replay.run(), replay.without_flood().run());
        for phase in PHASES {
            let extra_ms = shared.extra_wait_ms(&quiet, phase, 95);
            assert!(extra_ms <= u64::from(TASK_MAX_MS), "{phase:?}: {extra_ms} ms");
        }
    }
}
