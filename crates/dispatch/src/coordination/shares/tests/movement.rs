//! How shares move between pools without faults.

use super::world::{APPLY_MS, STEP_MS, World, cores, pool};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::coordination::jobs::Resources;

/// Guards against a visible wait of the first work of an account.
#[test]
fn first_share_is_raised_at_once() {
    let mut world = World::new(2, cores(100));
    world.submit(0, 20, cores(1), 1_000);
    world.run_ms(60);
    assert_eq!(world.controllers[0].starts, 20);
    assert!(world.controllers[0].waited_max_ms <= 40);
}

/// Guards against calls, records and computation in a deployment without
/// limits.
#[test]
fn nothing_is_called_without_limits() {
    let mut engine = super::super::ShareEngine::new(pool(0), APPLY_MS);
    engine.set_limits(0, []);
    assert_eq!(engine.step(1_000), None);
    assert_eq!(engine.next_step_ms(1_000), None);
}

/// Guards against unused parts of a limit that stay in a pool after its surge.
#[test]
fn unused_share_is_given_back() {
    let mut world = World::new(2, cores(10));
    world.submit(0, 10, cores(1), 500);
    world.run_ms(1_000);
    world.submit(1, 10, cores(1), 500);
    world.run_ms(700);
    assert_eq!(world.controllers[1].starts, 10);
    assert!(world.controllers[1].waited_max_ms <= 600, "{}", world.controllers[1].waited_max_ms);
}

/// Guards against a pool that keeps the whole limit while another pool's work
/// waits.
#[test]
fn limit_is_divided_when_pools_want_more() {
    let mut world = World::new(2, cores(20));
    world.submit(0, 400, cores(1), 400);
    world.run_ms(500);
    world.submit(1, 400, cores(1), 400);
    world.run_ms(3_000);
    let shares = [world.controllers[0].taken(), world.controllers[1].taken()];
    for share in shares {
        assert!((8_000..=12_000).contains(&share.cpu_millicores), "{shares:?}");
    }
    assert!(world.taken().cpu_millicores >= 18_000, "the limit is not used: {shares:?}");
}

/// Guards against pools that each hold a part of the limit that no task fits
/// into, so that nothing starts.
#[test]
fn parts_that_no_task_fits_into_are_not_held() {
    let mut world = World::new(3, cores(4));
    for pool in 0..3 {
        world.submit(pool, 20, cores(3), 200);
    }
    world.run_ms(10_000);
    for controller in &world.controllers {
        assert!(controller.starts >= 5, "a pool starved: {}", controller.starts);
    }
}

/// Guards against a share that is held for tasks which the whole limit has no
/// room for.
#[test]
fn task_above_the_whole_limit_holds_nothing() {
    let mut world = World::new(2, cores(4));
    world.submit(0, 5, cores(8), 300);
    world.run_ms(500);
    assert_eq!(world.held(0), cores(0));
    world.submit(1, 4, cores(1), 300);
    world.run_ms(60);
    assert_eq!(world.controllers[1].starts, 4);
}

/// Guards against a resource other than processors that is treated differently,
/// and against a limit of 0 that blocks instead of allowing everything.
#[test]
fn every_resource_is_limited_and_zero_means_unlimited() {
    let mut world = World::new(2, Resources::new(0, 8 << 30, 0));
    world.controllers.iter_mut().for_each(|it| it.capacity = Resources::new(1 << 40, 1 << 40, 9));
    world.submit(0, 20, Resources::new(64_000, 1 << 30, 0), 300);
    world.submit(1, 20, Resources::new(64_000, 1 << 30, 0), 300);
    world.run_ms(4_400);
    assert_eq!(world.peak.memory_bytes, 8 << 30);
    assert_eq!(world.controllers.iter().map(|it| it.starts).sum::<u64>(), 40);
}

/// Guards against more calls than the controller's budget, with and without
/// blocked work.
#[test]
fn calls_stay_within_their_rate() {
    let mut world = World::new(2, cores(10));
    world.controllers.iter_mut().for_each(|it| it.calls.clear());
    world.submit(0, 3, cores(1), 10_000);
    world.run_ms(10_000);
    let idle = &world.controllers[0];
    assert!(idle.listings() <= 12, "{} listings while nothing is blocked", idle.listings());
    assert!(world.controllers[1].calls.is_empty(), "a pool without work calls the store");
    world.submit(0, 1_000, cores(1), 300);
    world.submit(1, 1_000, cores(1), 300);
    world.controllers.iter_mut().for_each(|it| it.calls.clear());
    world.run_ms(10_000);
    for controller in &world.controllers {
        let exchanges = controller.calls.windows(2).filter(|pair| {
            // A write directly after its listing belongs to the same exchange.
            let follows = pair[0].1 && !pair[1].1;
            assert!(follows || pair[1].0 >= pair[0].0 + 80, "{pair:?}");
            !follows
        });
        assert!(exchanges.count() <= 100);
    }
}

/// Guards against a limit that is exceeded, not used, or lets pools starve while
/// pools surge in turn to four times their mean: the users' usual load.
#[test]
fn surges_in_turn_use_the_limit_without_exceeding_it() {
    let seed = 11;
    println!("seed {seed}");
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let pools = 4;
    // The mean use is 20 cores over all pools.
    let mut world = World::new(pools, cores(38));
    let (mut offered, begin_ms) = (0, world.now_ms);
    let mut used_core_ms = 0;
    while world.now_ms < begin_ms + 40_000 {
        let surging = ((world.now_ms - begin_ms) / 4_000) as usize % pools;
        for pool in 0..pools {
            // Four times the mean of 5 cores, and a twentieth of it otherwise.
            let mean_cores = if pool == surging { 20.0 } else { 0.25 };
            let duration_ms = random.random_range(200..800);
            let chance = mean_cores * STEP_MS as f64 / 500.0;
            if random.random_bool(chance.min(1.0)) {
                world.submit(pool, 1, cores(1), duration_ms);
                offered += 1;
            }
        }
        world.run_ms(STEP_MS);
        used_core_ms += world.taken().cpu_millicores / 1_000 * STEP_MS;
    }
    let starts: u64 = world.controllers.iter().map(|it| it.starts).sum();
    let waited_ms = world.controllers.iter().map(|it| it.waited_max_ms).max().unwrap_or(0);
    let calls: usize = world.controllers.iter().map(|it| it.calls.len()).sum();
    println!("{calls} calls of {pools} controllers in 40 s");
    println!(
        "{offered} tasks, {starts} starts, longest wait {waited_ms} ms, {used_core_ms} core-ms"
    );
    assert!(starts + 40 >= offered, "{starts} of {offered} tasks started");
    assert!(waited_ms <= 600, "a task waited for {waited_ms} ms although the limit had room");
}

/// Guards against a limit that is not used, or work that waits for longer than
/// 3 s, when surges overlap and together want more than the limit.
#[test]
fn overlapping_surges_use_the_whole_limit() {
    let mut world = World::new(6, cores(30));
    for round in 0..8 {
        for pool in [round % 6, (round + 1) % 6, (round + 2) % 6] {
            world.submit(pool, 60, cores(1), 400);
        }
        world.run_ms(500);
        let mut used = 0;
        for _ in 0..300 {
            world.run_ms(STEP_MS);
            used += world.taken().cpu_millicores;
        }
        assert!(used / 300 >= 24_000, "round {round}: {} used of 30000", used / 300);
        world.run_ms(2_000);
    }
}

/// Returns the mean use of the limit, in percent, over the steps in which work
/// waited at their beginning, while pools surge in turn to four times their mean
/// for 4 s under a limit of 1.9 times the mean use of all.
fn use_while_work_waits(pools: usize, seed: u64) -> u64 {
    const MEAN_CORES: f64 = 10.0;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let limit = (1.9 * MEAN_CORES * pools as f64 / 2.0) as u64;
    let mut world = World::new(pools, cores(limit));
    let begin_ms = world.now_ms;
    let (mut used, mut steps) = (0, 0);
    while world.now_ms < begin_ms + 48_000 {
        // Two neighbours surge at once, so that their surges overlap.
        let surging = ((world.now_ms - begin_ms) / 4_000) as usize % pools;
        for pool in 0..pools {
            let is_surging = pool == surging || pool == (surging + 1) % pools;
            let mean_cores = MEAN_CORES * if is_surging { 4.0 } else { 0.05 };
            if random.random_bool((mean_cores * STEP_MS as f64 / 500.0).min(1.0)) {
                world.submit(pool, 1, cores(1), random.random_range(200..800));
            }
        }
        let waits = world.controllers.iter().any(|it| !it.waiting.is_empty());
        world.run_ms(STEP_MS);
        if waits {
            used += world.taken().cpu_millicores;
            steps += 1;
        }
    }
    let calls: usize = world.controllers.iter().map(|it| it.calls.len()).sum();
    let percent = used / steps.max(1) / (limit * 10);
    println!("{pools} pools: {percent}% of the limit in {steps} steps, {calls} calls in 51 s");
    percent
}

/// Guards against parts of a limit that are unused while work waits, because they
/// move too slowly between pools.
#[test]
fn limit_is_used_while_work_waits() {
    for (pools, least_percent) in [(1, 90), (2, 85), (4, 85), (8, 80)] {
        let percent = use_while_work_waits(pools, 3);
        assert!(percent >= least_percent, "{pools} pools use {percent}%");
    }
}
