//! Workers that are emptied for upkeep, or leave.

use hashbrown::HashSet;

use crate::replay::pool::{World, job, lasting, step};
use crate::state::{JobOutcome, Registration};

/// Guards against upkeep that makes more tasks of a lasting step unavailable
/// than the job allows: two workers are emptied at once.
#[test]
fn lasting_tasks_move_one_after_the_other() {
    let mut world = World::new(4, 32);
    world.submit(job(vec![lasting(4)]));
    world.run_ms(2_000);
    let names: HashSet<_> =
        world.workers[..2].iter().map(|worker| worker.entry.worker.clone()).collect();
    world.engine(0).set_vacating(names.clone());
    for _ in 0..600 {
        world.run_ms(10);
        assert!(world.running() >= 3, "two tasks are away at once");
    }
    assert_eq!(world.vacated.iter().cloned().collect::<HashSet<_>>(), names);
    assert_eq!(world.running(), 4);
}

/// Guards against a start on a worker that was confirmed to be empty.
#[test]
fn emptied_worker_gets_nothing() {
    let mut world = World::new(1, 32);
    let name = world.workers[0].entry.worker.clone();
    world.engine(0).set_vacating([name.clone()].into());
    world.run_ms(500);
    assert_eq!(world.vacated, [name]);
    world.submit(job(vec![step(1, 1_000, 100)]));
    world.run_ms(1_000);
    assert_eq!(world.starts, 0);
    world.engine(0).set_vacating(HashSet::new());
    world.run_ms(500);
    assert_eq!(world.starts, 1);
}

/// Guards against a successor that stops a lasting task while its predecessor's
/// stop of another one is still under way.
#[test]
fn successor_stops_nothing_as_planned_at_first() {
    let mut world = World::new(5, 32);
    world.submit(job(vec![lasting(4)]));
    world.run_ms(2_000);
    world.kill(0);
    // A worker that is not listed yet keeps the successor from knowing all.
    let idle = (0..5).find(|&at| world.workers[at].runs().is_empty()).expect("an idle worker");
    let busy = usize::from(idle == 0);
    world.workers[idle].cut_from.insert(1);
    let successor = world.add_controller();
    let name = world.workers[busy].entry.worker.clone();
    world.engine(successor).set_vacating([name].into());
    world.run_ms(3_000);
    assert_eq!(world.running(), 4);
    world.workers[idle].cut_from.clear();
    world.run_until(4_000, |world| world.workers[busy].runs().is_empty());
}

/// Guards against a successor that waits for a worker which was emptied and has
/// left with its host's move.
#[test]
fn successor_does_not_wait_for_an_emptied_worker() {
    let mut world = World::new(3, 32);
    let number = world.submit(job(vec![step(2, 1_000, 4_000), step(2, 1_000, 300)]));
    world.run_ms(300);
    let at = (0..3).find(|&at| world.workers[at].runs().is_empty()).expect("an idle worker");
    let name = world.workers[at].entry.worker.clone();
    world.engine(0).set_vacating([name].into());
    world.run_ms(500);
    world.kill(0);
    world.workers.remove(at);
    world.add_controller();
    world.run_until(5_000, |world| world.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against a successor that waits for a worker which has left with its
/// host's move and is still in the registry.
#[test]
fn successor_takes_a_predecessors_vacancy_for_granted() {
    let mut world = World::new(3, 32);
    let number = world.submit(job(vec![step(2, 1_000, 4_000), step(2, 1_000, 300)]));
    world.run_ms(300);
    let at = (0..3).find(|&at| world.workers[at].runs().is_empty()).expect("an idle worker");
    let name = world.workers[at].entry.worker.clone();
    world.workers[at].cut_from.insert(1);
    world.kill(0);
    let successor = world.add_controller();
    world.engine(successor).set_vacating([name.clone()].into());
    world.engine(successor).set_vacated([name].into());
    world.run_until(5_000, |world| world.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against work for a worker that drains, and against lasting tasks that
/// wait there for its end.
#[test]
fn draining_worker_loses_its_lasting_tasks() {
    let mut world = World::new(2, 32);
    world.submit(job(vec![lasting(2)]));
    world.run_ms(500);
    world.workers[0].entry.registration = Registration::Draining;
    world.register();
    world.submit(job(vec![step(4, 1_000, 300)]));
    world.run_ms(1_000);
    assert!(world.workers[0].runs().is_empty());
    assert_eq!(world.running(), 2);
}

/// Guards against a vacancy that is confirmed before the ends of the worker's
/// tasks are stored: a successor would not wait for its list and start them
/// again.
#[test]
fn vacancy_waits_until_ends_are_stored() {
    let mut world = World::new(1, 32);
    world.submit(job(vec![step(1, 1_000, 300), step(1, 40_000, 300)]));
    world.run_ms(100);
    world.store_is_up = false;
    let name = world.workers[0].entry.worker.clone();
    world.engine(0).set_vacating([name.clone()].into());
    world.run_ms(1_000);
    assert!(world.workers[0].runs().is_empty(), "the task has ended");
    assert!(world.vacated.is_empty(), "its end is not stored");
    world.store_is_up = true;
    world.run_ms(1_500);
    assert_eq!(world.vacated, [name]);
}
