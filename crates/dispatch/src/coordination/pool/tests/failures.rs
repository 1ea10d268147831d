//! Workers that are cut off, restart, fail, stall or lose replies.

use crate::replay::pool::{World, job, lasting, step, task};
use crate::state::{JobOutcome, StepSpec};

/// Guards against a lost worker whose tasks are never run again, and against a
/// second run before its lease is over.
#[test]
fn tasks_of_a_cut_off_worker_run_elsewhere_after_its_lease() {
    let mut world = World::new(2, 32);
    let number = world.submit(job(vec![lasting(2)]));
    world.run_ms(500);
    world.workers[0].cut_from.insert(0);
    world.run_ms(9_000);
    assert_eq!(world.running(), 2);
    assert!(world.workers[1].runs().contains(&task(number, 0, 0)));
    assert!(world.workers[1].runs().contains(&task(number, 0, 1)));
}

/// Guards against looks that extend the lease of a worker that does not answer:
/// its tasks would wait for good.
#[test]
fn unanswered_looks_do_not_extend_the_lease() {
    let mut world = World::new(2, 32);
    world.submit(job(vec![lasting(1)]));
    world.run_ms(500);
    let at = usize::from(!world.workers[0].runs().is_empty());
    let at = 1 - at;
    world.workers[at].cut_from.insert(0);
    world.run_until(8_000, |world| !world.workers[1 - at].runs().is_empty());
}

/// Guards against tasks of an earlier life that count as running.
#[test]
fn restarted_worker_loses_its_runs_at_once() {
    let mut world = World::new(2, 32);
    let number = world.submit(job(vec![step(4, 1_000, 2_000)]));
    world.run_ms(500);
    world.restart_worker(0);
    world.restart_worker(1);
    world.run_until(3_500, |world| world.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(world.starts, 8);
}

/// Guards against a second run of a start whose reply was lost.
#[test]
fn start_without_reply_is_found_in_the_list() {
    let mut world = World::new(1, 32);
    world.workers[0].loses_replies = true;
    let number = world.submit(job(vec![step(3, 1_000, 2_500)]));
    world.run_until(8_000, |world| world.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(world.starts, 3);
}

/// Guards against a worker that fails all and, being empty, attracts all.
#[test]
fn failing_worker_is_suspended() {
    let mut world = World::new(3, 32);
    world.workers[0].fails_all = true;
    let jobs: Vec<_> = (0..30)
        .map(|_| {
            world.run_ms(100);
            world.submit(job(vec![step(2, 4_000, 200)]))
        })
        .collect();
    world.run_ms(4_000);
    let failed = jobs.iter().filter(|&&job| world.outcome(job) == Some(JobOutcome::Failed)).count();
    assert!(failed <= 1, "{failed} of 30 jobs failed with one failing worker");
}

/// Guards against a task that stands still for good.
#[test]
fn stalled_run_moves_to_another_worker() {
    let mut world = World::new(2, 32);
    let number = world.submit(job(vec![step(1, 1_000, 400)]));
    world.run_ms(50);
    let at = usize::from(world.workers[0].runs().is_empty());
    world.workers[at].stands_still = true;
    world.run_until(8_000, |world| world.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against a job that fails everywhere and runs for good.
#[test]
fn hopeless_job_ends_after_its_attempts() {
    let mut world = World::new(2, 32);
    world.workers.iter_mut().for_each(|worker| worker.fails_all = true);
    let number = world.submit(job(vec![step(1, 1_000, 100)]));
    world.run_until(2_000, |world| world.outcome(number) == Some(JobOutcome::Failed));
    assert_eq!(world.starts, 2);
}

/// Guards against a failure that counts twice: a successor finds it stored and
/// listed by the worker, and would give the job up.
#[test]
fn failure_counts_once_across_a_change_of_control() {
    let mut world = World::new(2, 32);
    world.workers.iter_mut().for_each(|worker| worker.fails_all = true);
    let number = world.submit(job(vec![step(1, 1_000, 600)]));
    world.run_until(2_000, |world| world.has_progress(number));
    world.workers.iter_mut().for_each(|worker| worker.fails_all = false);
    world.kill(0);
    world.add_controller();
    world.run_until(3_000, |world| world.outcome(number).is_some());
    assert_eq!(world.outcome(number), Some(JobOutcome::Done));
}

/// Guards against a slow worker that holds up a step which allows copies.
#[test]
fn copy_ends_a_slow_step() {
    let mut world = World::new(2, 32);
    world.allow_copies();
    world.workers[0].slowness = 20;
    let spec = StepSpec { allows_copies: true, ..step(20, 2_000, 500) };
    let number = world.submit(job(vec![spec]));
    world.run_until(4_500, |world| world.outcome(number) == Some(JobOutcome::Done));
}
