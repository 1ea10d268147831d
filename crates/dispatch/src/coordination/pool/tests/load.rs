//! Tests of the load that a pool's controller publishes.

use tamarackproxy::state::ids::QueueId;

use crate::{
    coordination::pool::JobProfile,
    replay::pool::{PoolSimulation, job, pool, queue, step},
    state::{PoolLoad, QueueSettings},
};

fn load(simulation: &PoolSimulation) -> PoolLoad {
    simulation.summary().1.load.clone()
}

/// The queue as `PoolSimulation` sets it.
fn settings() -> QueueSettings {
    QueueSettings {
        queue: queue(),
        authority: "".into(),
        path_prefix: "".into(),
        pool: pool(),
        priority: 0,
        attempts_max: 2,
        stretch: 1.6,
        objective_ms: 600,
        advice: None,
        is_public: false,
    }
}

/// Guards against writes that grow with the load while there is room, and against
/// rejections by a pool that has room.
#[test]
fn pool_with_room_publishes_its_capacity_only() {
    let mut simulation = PoolSimulation::new(2, 16);
    simulation.run_ms(500);
    let before = load(&simulation);
    assert_eq!(before.capacity_millicores, 32_000);
    for _ in 0..10 {
        simulation.submit(job(vec![step(4, 2_000, 300)]));
        simulation.run_ms(400);
        assert_eq!(load(&simulation), before);
    }
}

/// Guards against waiting work that is published as more than there is, which
/// would reject jobs that could be useful.
#[test]
fn overloaded_pool_publishes_its_useful_waiting_work() {
    let mut simulation = PoolSimulation::new(2, 16);
    for _ in 0..16 {
        simulation.submit(job(vec![step(5, 2_000, 1_000)]));
    }
    simulation.run_ms(400);
    let overload = load(&simulation).overload.expect("the pool is overloaded");
    // 16 of the 80 tasks run, one of them beside four that wait in its job.
    let core_ms: u64 = overload.waiting.iter().map(|work| work.core_ms).sum();
    assert_eq!(core_ms, 64 * 2_000);
    assert_eq!(overload.free_millicores, 0);
    assert!(overload.waiting.iter().all(|work| work.useful_ms <= 3 * 2_200 - 1_000));
    simulation.run_ms(12_000);
    assert_eq!(load(&simulation).overload, None);
}

/// Guards against useless work that has new jobs rejected, although they go
/// before it.
#[test]
fn overdue_work_is_not_published() {
    let mut simulation = PoolSimulation::new(1, 2);
    for _ in 0..20 {
        simulation.submit(job(vec![step(1, 2_000, 1_000)]));
    }
    simulation.run_ms(1_000);
    assert!(load(&simulation).overload.is_some());
    simulation.run_ms(7_000);
    assert!(simulation.ended.len() < 10);
    assert_eq!(load(&simulation).overload, None);
}

/// Guards against processes that judge a job by another cost than the controller
/// ranks it by.
#[test]
fn profile_agrees_with_the_rank() {
    let mut simulation = PoolSimulation::new(1, 4);
    for tasks in [1, 6, 3, 2] {
        simulation.submit(job(vec![step(tasks, 2_000, 400), step(1, 1_000, 200)]));
        simulation.run_ms(2_500);
    }
    // Fills the pool, so that the next job waits.
    simulation.submit(job(vec![step(2, 2_000, 5_000)]));
    simulation.run_ms(100);
    let spec = job(vec![step(5, 2_000, 900)]);
    simulation.submit(spec.clone());
    simulation.run_ms(300);
    let overload = load(&simulation).overload.expect("the pool is overloaded");
    let means = overload.queues.iter().find(|means| means.queue == QueueId::new("q"));
    let profile = JobProfile::new(&spec, &settings(), means);
    let limit = overload.waiting.iter().map(|work| work.cost_core_ms).max().expect("work waits");
    // Limits of ranges are rounded up by at most a half, and means by 20 ms.
    assert!(limit * 100 >= profile.cost_core_ms * 95, "{limit} and {profile:?}");
    assert!(limit * 2 <= profile.cost_core_ms * 3 + 100, "{limit} and {profile:?}");
}
