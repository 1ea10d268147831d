//! Kinds of tasks that slow each other down, and are kept apart where there is
//! room.

use tamarackproxy::coordination::jobs::Resources;

use crate::{
    replay::pool::{PoolSimulation, job, lasting, step},
    state::{JobOutcome, StepSpec},
};

/// Describes one task of an image that takes a core.
fn task(image: &str, estimate_ms: u32) -> StepSpec {
    StepSpec { image: Some(image.into()), ..step(1, 1_000, estimate_ms) }
}

/// Submits a job of one task for each image, in this order.
fn submit(simulation: &mut PoolSimulation, images: &[&str], estimate_ms: u32) {
    for image in images {
        simulation.submit(job(vec![task(image, estimate_ms)]));
    }
}

/// Creates a pool of workers with four cores and runs tasks of image `a` beside
/// those of image `b` and without them; `slowdown` is the factor between them.
fn trained(slowdown: fn(&str, &str) -> f64) -> PoolSimulation {
    let mut simulation = PoolSimulation::new(6, 4);
    simulation.slowdown_beside = Some(slowdown);
    for round in 0..24 {
        let group: &[&str] =
            if round % 3 == 0 { &["a", "b", "c", "c"] } else { &["a", "c", "c", "c"] };
        for _ in 0..6 {
            submit(&mut simulation, group, 500);
        }
        simulation.run_ms(2_000);
    }
    simulation
}

fn pairs(simulation: &mut PoolSimulation) -> Vec<(Box<str>, Box<str>)> {
    let now_ms = simulation.now_ms;
    let pairs = simulation.engine(0).interfering_pairs(now_ms);
    pairs.into_iter().map(|pair| (pair.slowed, pair.beside)).collect()
}

fn a_by_b(slowed: &str, beside: &str) -> f64 {
    if (slowed, beside) == ("a", "b") { 2.0 } else { 1.0 }
}

/// Guards against tasks that are placed beside those that slow them although
/// other workers have room; the best fit is beside them.
#[test]
fn kinds_that_interfere_are_kept_apart() {
    let mut simulation = trained(a_by_b);
    assert_eq!(pairs(&mut simulation), vec![("image a".into(), "image b".into())]);
    submit(&mut simulation, &["a"], 60_000);
    simulation.run_ms(50);
    let own = simulation.workers.iter().position(|worker| !worker.runs().is_empty());
    let own = own.expect("the task runs");
    submit(&mut simulation, &["b", "b", "b"], 60_000);
    simulation.run_ms(50);
    assert_eq!(simulation.running(), 4);
    // One of 32 starts ignores the preference.
    assert!(simulation.workers[own].runs().len() <= 2);
    let mut undisturbed = trained(|_, _| 1.0);
    assert_eq!(pairs(&mut undisturbed), vec![]);
    submit(&mut undisturbed, &["a"], 60_000);
    undisturbed.run_ms(50);
    submit(&mut undisturbed, &["b", "b", "b"], 60_000);
    undisturbed.run_ms(50);
    let most = undisturbed.workers.iter().map(|worker| worker.runs().len()).max();
    assert_eq!(most, Some(4), "the best fit is the worker that is partly used");
}

/// Guards against tasks that wait for a better neighbour while there is room
/// beside a bad one.
#[test]
fn full_pool_is_filled_as_before() {
    let mut simulation = trained(a_by_b);
    assert!(!pairs(&mut simulation).is_empty());
    for _ in 0..6 {
        submit(&mut simulation, &["a", "a", "b", "b"], 60_000);
    }
    simulation.run_ms(50);
    assert_eq!(simulation.running(), 24);
}

/// Guards against a task of another kind that is refused a worker because of a pair
/// that does not concern it.
#[test]
fn other_kinds_are_placed_on_the_best_fit() {
    let mut simulation = trained(a_by_b);
    submit(&mut simulation, &["a"], 60_000);
    simulation.run_ms(50);
    submit(&mut simulation, &["c", "c", "c"], 60_000);
    simulation.run_ms(50);
    let most = simulation.workers.iter().map(|worker| worker.runs().len()).max();
    assert_eq!(most, Some(4));
}

/// Guards against the distance to a step's data that is blamed on the kind beside
/// its tasks.
#[test]
fn tasks_on_a_remote_rack_are_not_counted() {
    let mut simulation = PoolSimulation::new(6, 4);
    simulation.remote_factor = 3;
    // The workers of the other racks run image `b`.
    let beside = StepSpec { required_label: Some("r1".into()), ..task("b", 900_000) };
    simulation.submit(job(vec![beside.clone()]));
    simulation.submit(job(vec![beside]));
    simulation.run_ms(50);
    for round in 0..60 {
        // Two of three rounds fit on the rack with the data.
        let tasks = if round % 3 == 0 { 12 } else { 5 };
        for _ in 0..tasks {
            let mut near = task("a", 500);
            near.data_rack = Some("r0".into());
            simulation.submit(job(vec![near]));
            simulation.submit(job(vec![StepSpec {
                required_label: Some("r0".into()),
                need: Resources::new(100, 1 << 20, 0),
                ..task("c", 500)
            }]));
        }
        simulation.run_ms(2_000);
    }
    assert_eq!(pairs(&mut simulation), vec![]);
}

/// Guards against runs that are kept in the books of a worker that crashed.
#[test]
fn crashed_workers_are_forgotten() {
    let mut simulation = trained(a_by_b);
    submit(&mut simulation, &["b", "b", "b"], 3_000);
    simulation.submit(job(vec![lasting(2)]));
    simulation.run_ms(100);
    for worker in 0..6 {
        simulation.crash_worker(worker);
    }
    simulation.run_ms(20_000);
    assert_eq!(simulation.running(), 2);
    let last = simulation.submit(job(vec![task("a", 500)]));
    simulation.run_until(3_000, |simulation| simulation.outcome(last) == Some(JobOutcome::Done));
    let now_ms = simulation.now_ms;
    assert_eq!(simulation.engine(0).interfering_pairs(now_ms).len(), 1);
    assert_eq!(simulation.engine(0).watched_runs(), 2);
}
