//! Changes of control: nothing runs twice, nothing is forgotten.

use crate::replay::pool::{World, job, lasting, step, task};
use crate::state::JobOutcome;

/// Guards against a second run of what the predecessor started.
#[test]
fn successor_adopts_what_runs() {
    let mut world = World::new(4, 32);
    let number = world.submit(job(vec![step(8, 1_000, 2_000), step(4, 1_000, 500)]));
    world.run_ms(500);
    world.kill(0);
    world.add_controller();
    world.run_until(6_000, |world| world.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(world.starts, 12);
}

/// Guards against a task that is started while a worker that the successor
/// cannot reach may run it, and against a task that is never started again.
#[test]
fn successor_waits_for_a_worker_that_may_run_the_task() {
    let mut world = World::new(2, 32);
    let number = world.submit(job(vec![lasting(2)]));
    world.run_ms(500);
    world.workers[0].cut_from.insert(1);
    world.add_controller();
    // The predecessor still reaches the worker and extends its lease.
    world.run_ms(5_000);
    world.kill(0);
    world.run_ms(14_000);
    assert!(world.is_running(task(number, 0, 0)) && world.is_running(task(number, 0, 1)));
}

/// Guards against a predecessor that counts a lease as over which its
/// successor has extended: both would run the task.
#[test]
fn cut_off_predecessor_starts_nothing_elsewhere() {
    let mut world = World::new(2, 32);
    world.submit(job(vec![lasting(4)]));
    world.run_ms(500);
    // The predecessor keeps worker 0, the successor has worker 1.
    world.workers[1].cut_from.insert(0);
    let confirmed_until_ms = world.now_ms + 2_700;
    world.engine(0).confirm_control(confirmed_until_ms);
    world.run_ms(3_000);
    world.workers[0].cut_from.insert(1);
    world.add_controller();
    world.run_ms(9_000);
    assert!(!world.is_fenced(0));
    assert_eq!(world.running(), 4);
}

/// Guards against jobs accepted since the change of control that wait for a
/// worker nobody reaches.
#[test]
fn new_job_starts_while_old_ones_wait() {
    let mut world = World::new(3, 32);
    world.submit(job(vec![lasting(3)]));
    world.run_ms(500);
    world.kill(0);
    world.workers[0].cut_from.insert(1);
    world.add_controller();
    let number = world.submit(job(vec![step(2, 1_000, 300)]));
    world.run_until(1_500, |world| world.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against an end that is acknowledged before it is stored: after a
/// change of control the task would run again.
#[test]
fn ends_are_not_acknowledged_while_the_store_is_away() {
    let mut world = World::new(2, 32);
    let number = world.submit(job(vec![step(4, 1_000, 300), step(1, 1_000, 6_000)]));
    world.store_is_up = false;
    world.run_ms(2_000);
    world.kill(0);
    world.store_is_up = true;
    world.add_controller();
    world.run_until(9_000, |world| world.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(world.starts, 5);
}

/// Guards against a controller that goes on after a worker refused its term.
#[test]
fn refused_holder_goes_quiet() {
    let mut world = World::new(2, 32);
    world.submit(job(vec![lasting(2)]));
    world.run_ms(500);
    world.add_controller();
    world.run_ms(3_000);
    assert!(world.is_fenced(0));
    assert!(!world.is_fenced(1));
}

/// Guards against a former holder that learns of a job which its successor has
/// started already: the cut between it and the store heals before it learns of
/// the successor.
#[test]
fn job_that_arrives_under_unconfirmed_control_waits() {
    let mut world = World::new(2, 32);
    let confirmed_until_ms = world.now_ms + 500;
    world.engine(0).confirm_control(confirmed_until_ms);
    world.run_ms(1_000);
    let number = world.submit(job(vec![step(1, 1_000, 300)]));
    world.run_ms(1_000);
    assert_eq!(world.starts, 0);
    world.engine(0).confirm_control(u64::MAX);
    world.run_until(1_000, |world| world.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against a listing that was read before a job's end was stored and
/// arrives after it: the job is not a new one.
#[test]
fn listing_from_before_an_end_starts_nothing_again() {
    let mut world = World::new(2, 8);
    let job = world.submit(job(vec![step(2, 1_000, 300)]));
    world.run_ms(50);
    let stale = world.stored_job(job);
    world.run_until(3_000, |world| world.outcome(job).is_some());
    world.run_ms(200);
    let now = world.now();
    world.engine(0).reread(now, vec![stale]);
    world.run_ms(300);
    assert_eq!(world.running(), 0, "a job that has ended runs again");
}
