//! Cancellations.

use crate::replay::pool::{World, job, lasting, step};

/// Guards against a cancelled job that runs on or starts its next step.
#[test]
fn cancelled_job_stops_and_starts_nothing() {
    let mut world = World::new(2, 32);
    let number = world.submit(job(vec![lasting(3), step(1, 1_000, 100)]));
    world.run_ms(50);
    world.cancel(number);
    world.run_ms(1_000);
    let starts = world.starts;
    assert_eq!(world.running(), 0);
    world.run_ms(2_000);
    assert_eq!(world.starts, starts);
}

/// Guards against an outcome that overwrites a cancellation which was
/// acknowledged a moment before.
#[test]
fn cancellation_wins_over_an_end_that_is_not_stored() {
    let mut world = World::new(1, 32);
    let number = world.submit(job(vec![step(1, 1_000, 300)]));
    world.store_is_up = false;
    world.run_ms(500);
    world.cancel(number);
    world.store_is_up = true;
    world.run_ms(1_000);
    assert_eq!(world.outcome(number), None);
}

/// Guards against a successor that lets a cancelled job's runs go on.
#[test]
fn successor_stops_runs_of_a_cancelled_job() {
    let mut world = World::new(2, 32);
    let number = world.submit(job(vec![lasting(2)]));
    world.run_ms(500);
    world.kill(0);
    world.cancel(number);
    world.add_controller();
    world.run_ms(1_500);
    assert_eq!(world.running(), 0);
}
