//! Placement of tasks.

use rstest::rstest;

use super::super::QueuePolicy;
use crate::{
    replay::pool::{PoolSimulation, job, lasting, queue, step},
    state::{AdviceSettings, JobOutcome, StepSpec},
};

/// Guards against members of a gang that start although there is no capacity
/// for the others.
#[test]
fn gang_starts_whole_or_not_at_all() {
    let mut simulation = PoolSimulation::new(2, 8);
    simulation.submit(job(vec![step(1, 8_000, 2_000)]));
    simulation.run_ms(100);
    let gang = StepSpec { is_gang: true, ..step(4, 4_000, 500) };
    let number = simulation.submit(job(vec![gang]));
    simulation.run_ms(1_000);
    assert_eq!(simulation.running(), 1);
    simulation.run_until(3_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against more tasks of a step on a worker than the job allows.
#[test]
fn tasks_per_worker_are_bounded() {
    let mut simulation = PoolSimulation::new(3, 32);
    simulation.submit(job(vec![StepSpec { per_worker_max: Some(1), ..step(5, 1_000, 5_000) }]));
    simulation.run_ms(500);
    assert!(simulation.workers.iter().all(|worker| worker.runs().len() == 1));
}

/// Guards against a long-running step that is lost as a whole with one rack.
#[test]
fn long_running_tasks_spread_over_racks() {
    let mut simulation = PoolSimulation::new(6, 32);
    simulation.submit(job(vec![lasting(3)]));
    simulation.run_ms(500);
    let racks: std::collections::BTreeSet<_> = (simulation.workers.iter())
        .filter(|worker| !worker.runs().is_empty())
        .map(|worker| worker.entry.rack.clone())
        .collect();
    assert_eq!(racks.len(), 3);
}

/// Guards against long-running tasks of several steps that each keep a host of
/// their own on, although hosts that are idle can be switched off.
#[rstest]
#[case(true, 6)]
#[case(false, 12)]
fn long_running_steps_share_workers(#[case] switches_off: bool, #[case] used: usize) {
    let mut simulation = PoolSimulation::new(12, 32);
    simulation.engine(0).set_switches_off_hosts(switches_off);
    for _ in 0..2 {
        simulation.submit(job(vec![StepSpec { per_worker_max: Some(1), ..lasting(6) }]));
        simulation.run_ms(500);
    }
    let workers = simulation.workers.iter().filter(|worker| !worker.runs().is_empty());
    assert_eq!(workers.count(), used);
}

/// Guards against a step that starts before the steps that it depends on.
#[test]
fn steps_wait_for_the_steps_before_them() {
    let mut simulation = PoolSimulation::new(2, 32);
    let second = StepSpec { after: vec![0], ..step(2, 1_000, 300) };
    let number = simulation.submit(job(vec![step(2, 1_000, 1_000), second]));
    simulation.run_ms(900);
    assert_eq!(simulation.starts, 2);
    simulation.run_until(2_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
    assert!(simulation.took_ms(number).is_some_and(|took_ms| took_ms < 1_450));
}

/// Guards against a task on a worker without the required label.
#[test]
fn labels_are_required() {
    let mut simulation = PoolSimulation::new(2, 32);
    let spec = StepSpec { required_label: Some("r9".into()), ..step(1, 1_000, 100) };
    simulation.submit(job(vec![spec]));
    simulation.run_ms(1_000);
    assert_eq!(simulation.starts, 0);
}

/// Guards against tasks that start without a permission of their queue's
/// policy, and against one policy query for each task.
#[test]
fn policy_is_asked_once_for_a_step() {
    let mut simulation = PoolSimulation::new(4, 32);
    simulation.needs_tickets = true;
    let advice = AdviceSettings { question_ms: 5, per_worker_ms: 1, valid_ms: 3_000 };
    let policy = QueuePolicy { advice: Some(advice), ..QueuePolicy::default() };
    simulation.engine(0).set_queues([(queue(), policy)]);
    let number = simulation.submit(job(vec![step(20, 2_000, 500)]));
    simulation.run_until(2_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(simulation.questions, 1);
    assert!(simulation.workers[1].runs().is_empty());
}

/// Guards against best-effort tasks beside tasks that serve users while other
/// workers are free: they would push the tail latency over its goal.
#[test]
fn best_effort_tasks_avoid_workers_with_serving_tasks() {
    let mut simulation = PoolSimulation::new(2, 32);
    simulation.submit(job(vec![StepSpec { tail_goal_ms: Some(80), ..lasting(1) }]));
    simulation.run_ms(500);
    let serving = usize::from(simulation.workers[0].runs().is_empty());
    simulation.submit(job(vec![StepSpec { uses_leftover: true, ..step(6, 4_000, 2_000) }]));
    simulation.run_ms(500);
    assert_eq!(simulation.workers[serving].runs().len(), 1);
    assert_eq!(simulation.workers[1 - serving].runs().len(), 6);
}
