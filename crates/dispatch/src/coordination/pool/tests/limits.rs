//! Limits of client accounts in one pool.

use tamarackproxy::{coordination::jobs::Resources, state::ids::AccountId};

use crate::{
    coordination::shares::Allowance,
    replay::pool::{PoolSimulation, job, lasting, step, task},
    state::{JobOutcome, StepSpec},
};

fn account(name: &str) -> AccountId {
    AccountId::new(name)
}

fn cores(cores: u64) -> Resources {
    Resources::new(cores * 1_000, u64::MAX, u32::MAX)
}

/// Lets account `a` use some cores, under a limit that has no more room.
fn limit(simulation: &mut PoolSimulation, controller: usize, usable: u64) {
    let held = Resources::new(usable * 1_000, 0, 0);
    let allowance = Allowance { usable: cores(usable), inherited: held, is_limit_reached: false };
    let engine = simulation.engine(controller);
    engine.set_limited_accounts([account("a")]);
    engine.set_allowance(&account("a"), allowance);
}

/// Guards against starts above an account's limit, against blocked work that
/// stops other accounts' work, and against work that is not resumed.
#[test]
fn limit_blocks_only_its_account() {
    let mut simulation = PoolSimulation::new(4, 16);
    limit(&mut simulation, 0, 3);
    let flood = simulation.submit_for(Some(&account("a")), job(vec![step(40, 1_000, 400)]));
    simulation.run_ms(50);
    let other = simulation.submit_for(Some(&account("b")), job(vec![step(10, 1_000, 400)]));
    let public = simulation.submit(job(vec![step(10, 1_000, 400)]));
    simulation.run_ms(50);
    assert_eq!(simulation.running(), 3 + 10 + 10);
    let demand = simulation.engine(0).account_demand(&account("a"));
    assert_eq!(demand.running.cpu_millicores, 3_000);
    assert_eq!(demand.blocked.cpu_millicores, 37_000);
    assert_eq!(demand.unit.cpu_millicores, 1_000);
    let is_done =
        |simulation: &PoolSimulation, number| simulation.outcome(number) == Some(JobOutcome::Done);
    simulation.run_until(1_000, |it| is_done(it, other) && is_done(it, public));
    simulation.run_until(12_000, |it| is_done(it, flood));
}

/// Guards against tasks that are reported as startable although the pool has no
/// room for them: another pool's tasks would wait for that part of the limit.
#[test]
fn work_without_room_is_not_reported_as_wanted() {
    let mut simulation = PoolSimulation::new(1, 8);
    limit(&mut simulation, 0, 3);
    simulation.submit_for(Some(&account("a")), job(vec![step(40, 1_000, 5_000)]));
    simulation.run_ms(100);
    let demand = simulation.engine(0).account_demand(&account("a"));
    assert_eq!(demand.blocked.cpu_millicores, 5_000);
    simulation.submit(job(vec![step(5, 1_000, 5_000)]));
    simulation.run_ms(200);
    let demand = simulation.engine(0).account_demand(&account("a"));
    assert_eq!(demand.blocked.cpu_millicores, 0);
}

/// Guards against a gang of which only some members start because the limit has
/// no room for the others.
#[test]
fn gang_starts_whole_or_not_at_all_under_a_limit() {
    let mut simulation = PoolSimulation::new(2, 16);
    limit(&mut simulation, 0, 7);
    let gang = StepSpec { is_gang: true, ..step(4, 2_000, 500) };
    let number = simulation.submit_for(Some(&account("a")), job(vec![gang]));
    simulation.run_ms(500);
    assert_eq!(simulation.running(), 0);
    let demand = simulation.engine(0).account_demand(&account("a"));
    assert_eq!(demand.unit.cpu_millicores, 8_000);
    limit(&mut simulation, 0, 8);
    simulation.run_until(1_500, |it| it.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against speculative copies that exceed an account's limit.
#[test]
fn copies_count_against_the_limit() {
    for (usable, starts) in [(1, 1), (2, 2)] {
        let mut simulation = PoolSimulation::new(2, 8);
        simulation.allow_copies();
        limit(&mut simulation, 0, usable);
        simulation.workers[0].slowdown = 20;
        simulation.workers[1].slowdown = 20;
        let copied = StepSpec { allows_copies: true, ..step(1, 1_000, 300) };
        simulation.submit_for(Some(&account("a")), job(vec![copied]));
        simulation.run_ms(3_000);
        assert_eq!(simulation.starts, starts);
    }
}

/// Guards against a task that crashed its workers and starts alone on one above
/// the account's limit.
#[test]
fn task_that_runs_alone_counts_against_the_limit() {
    let mut simulation = PoolSimulation::new(4, 8);
    limit(&mut simulation, 0, 1);
    let number = simulation.submit_for(Some(&account("a")), job(vec![step(1, 1_000, 3_000)]));
    simulation.crashing.insert(task(number, 0, 0), 200);
    simulation.run_until(30_000, |simulation| simulation.crash_count == 2);
    limit(&mut simulation, 0, 0);
    simulation.run_ms(20_000);
    assert_eq!(simulation.crash_count, 2, "the task was started above the limit");
    limit(&mut simulation, 0, 1);
    simulation.run_until(30_000, |simulation| simulation.crash_count == 3);
}

/// Guards against runs that are being stopped and no longer count.
#[test]
fn stopping_runs_count_until_they_have_ended() {
    let mut simulation = PoolSimulation::new(1, 8);
    limit(&mut simulation, 0, 2);
    simulation.workers[0].stop_ms = 1_000;
    let number = simulation.submit_for(Some(&account("a")), job(vec![lasting(2)]));
    simulation.run_ms(300);
    simulation.cancel(number);
    simulation.submit_for(Some(&account("a")), job(vec![step(2, 1_000, 300)]));
    simulation.run_ms(500);
    assert_eq!(simulation.starts, 2, "a task started while the account's runs went on");
    simulation.run_ms(2_000);
    assert_eq!(simulation.starts, 4);
}

/// Guards against starts that got no reply and no longer count, although the
/// worker may carry them out.
#[test]
fn unanswered_starts_count() {
    let mut simulation = PoolSimulation::new(2, 8);
    limit(&mut simulation, 0, 2);
    simulation.workers[0].order_delay_ms = Some(1_500);
    simulation.workers[1].order_delay_ms = Some(1_500);
    simulation.submit_for(Some(&account("a")), job(vec![step(8, 1_000, 2_000)]));
    simulation.run_ms(1_400);
    let demand = simulation.engine(0).account_demand(&account("a"));
    assert_eq!(demand.running.cpu_millicores, 2_000);
    simulation.run_ms(600);
    assert!(simulation.running() <= 2);
}

/// Guards against a successor that starts tasks up to its share while a worker
/// that it has not reached still runs its predecessor's tasks.
#[test]
fn successor_counts_runs_on_silent_workers() {
    let mut simulation = PoolSimulation::new(3, 8);
    limit(&mut simulation, 0, 10);
    simulation.submit_for(Some(&account("a")), job(vec![step(10, 1_000, 30_000)]));
    simulation.run_ms(300);
    assert_eq!(simulation.running(), 10);
    let is_silent = |runs: usize| (1..8).contains(&runs);
    let silent = simulation.workers.iter().position(|it| is_silent(it.runs().len()));
    simulation.workers[silent.expect("a worker")].partitioned_from.insert(1);
    simulation.kill(0);
    let successor = simulation.add_controller();
    limit(&mut simulation, successor, 10);
    let new = job(vec![step(8, 1_000, 300)]);
    simulation.submit_for(Some(&account("a")), new);
    simulation.run_ms(3_000);
    let demand = simulation.engine(successor).account_demand(&account("a"));
    assert_eq!(demand.running.cpu_millicores, 10_000, "the silent worker's runs are not counted");
    assert_eq!(simulation.starts, 10);
    // The leases on the silent worker lapse.
    simulation.run_ms(14_000);
    assert!(simulation.starts > 10);
}

/// Guards against a successor that starts nothing for as long as a worker is
/// silent: a part of the limit that it raised itself is not in use there.
#[test]
fn successor_uses_what_it_adds_to_the_inherited_share() {
    let mut simulation = PoolSimulation::new(3, 8);
    limit(&mut simulation, 0, 6);
    simulation.submit_for(Some(&account("a")), job(vec![step(6, 1_000, 30_000)]));
    simulation.run_ms(300);
    let silent = simulation.workers.iter().position(|it| !it.runs().is_empty());
    simulation.workers[silent.expect("a worker")].partitioned_from.insert(1);
    simulation.kill(0);
    let successor = simulation.add_controller();
    limit(&mut simulation, successor, 6);
    let inherited = Resources::new(6_000, 0, 0);
    let raised = Allowance { usable: cores(10), inherited, is_limit_reached: false };
    simulation.engine(successor).set_allowance(&account("a"), raised);
    simulation.submit_for(Some(&account("a")), job(vec![step(20, 1_000, 30_000)]));
    simulation.run_ms(1_000);
    assert_eq!(simulation.starts, 6 + 4);
}

/// Guards against a successor that reserves its whole share although the workers
/// that it has not reached could not run that much.
#[test]
fn successor_reserves_no_more_than_silent_workers_hold() {
    let mut simulation = PoolSimulation::new(4, 4);
    limit(&mut simulation, 0, 14);
    simulation.submit_for(Some(&account("a")), job(vec![step(2, 1_000, 30_000)]));
    simulation.run_ms(300);
    simulation.workers[3].partitioned_from.insert(1);
    simulation.kill(0);
    let successor = simulation.add_controller();
    limit(&mut simulation, successor, 14);
    simulation.run_ms(500);
    let before = simulation.starts;
    simulation.submit_for(Some(&account("a")), job(vec![step(12, 1_000, 30_000)]));
    simulation.run_ms(500);
    let started = simulation.starts - before;
    // Of 14 cores, 2 are taken and 4 may be on the silent worker.
    assert!((8..=10).contains(&started), "{started} tasks started");
}

/// Guards against blocked work that counts as demand for more hosts, or that
/// marks the pool as short of capacity.
#[test]
fn blocked_work_is_no_demand() {
    let mut simulation = PoolSimulation::new(4, 16);
    limit(&mut simulation, 0, 1);
    simulation.submit_for(Some(&account("a")), job(vec![step(1, 1_000, 60_000)]));
    simulation.run_ms(100);
    let usable = cores(1);
    let held = Resources::new(1_000, 0, 0);
    let allowance = Allowance { usable, inherited: held, is_limit_reached: true };
    simulation.engine(0).set_allowance(&account("a"), allowance);
    let now_ms = simulation.now_ms;
    let before = simulation.engine(0).demand(now_ms);
    for _ in 0..20 {
        simulation.submit_for(Some(&account("a")), job(vec![step(40, 1_000, 60_000)]));
        simulation.submit_for(Some(&account("a")), job(vec![lasting(20)]));
    }
    simulation.run_ms(300);
    let now_ms = simulation.now_ms;
    let after = simulation.engine(0).demand(now_ms);
    assert!(!simulation.engine(0).is_short);
    assert_eq!(after.backlog_core_ms, before.backlog_core_ms);
    assert_eq!(after.lasting_millicores, before.lasting_millicores);
    assert!(after.arriving_millicores <= before.arriving_millicores);
    let other = simulation.submit_for(Some(&account("b")), job(vec![step(4, 1_000, 60_000)]));
    simulation.run_ms(100);
    assert!(simulation.is_running(task(other, 0, 3)));
}

/// Guards against an account that starts tasks before its share is known.
#[test]
fn nothing_starts_before_the_share_is_known() {
    let mut simulation = PoolSimulation::new(1, 8);
    simulation.engine(0).set_limited_accounts([account("a")]);
    simulation.submit_for(Some(&account("a")), job(vec![step(1, 1_000, 300)]));
    simulation.run_ms(500);
    assert_eq!(simulation.starts, 0);
    // The limit was withdrawn.
    simulation.engine(0).set_limited_accounts([]);
    simulation.run_ms(100);
    assert_eq!(simulation.starts, 1);
}
