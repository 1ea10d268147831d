//! Cancellations.

use crate::replay::pool::{PoolSimulation, job, lasting, step};

/// Guards against a cancelled job that keeps running or starts its next step.
#[test]
fn cancelled_job_stops_and_starts_nothing() {
    let mut simulation = PoolSimulation::new(2, 32);
    let number = simulation.submit(job(vec![lasting(3), step(1, 1_000, 100)]));
    simulation.run_ms(50);
    simulation.cancel(number);
    simulation.run_ms(1_000);
    let starts = simulation.starts;
    assert_eq!(simulation.running(), 0);
    simulation.run_ms(2_000);
    assert_eq!(simulation.starts, starts);
}

/// Guards against an outcome that overwrites a cancellation which was
/// acknowledged just before it.
#[test]
fn cancellation_wins_over_an_end_that_is_not_stored() {
    let mut simulation = PoolSimulation::new(1, 32);
    let number = simulation.submit(job(vec![step(1, 1_000, 300)]));
    simulation.store_is_up = false;
    simulation.run_ms(500);
    simulation.cancel(number);
    simulation.store_is_up = true;
    simulation.run_ms(1_000);
    assert_eq!(simulation.outcome(number), None);
}

/// Guards against a successor that leaves the runs of a cancelled job running.
#[test]
fn successor_stops_runs_of_a_cancelled_job() {
    let mut simulation = PoolSimulation::new(2, 32);
    let number = simulation.submit(job(vec![lasting(2)]));
    simulation.run_ms(500);
    simulation.kill(0);
    simulation.cancel(number);
    simulation.add_controller();
    simulation.run_ms(1_500);
    assert_eq!(simulation.running(), 0);
}
