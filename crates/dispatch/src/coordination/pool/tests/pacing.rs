//! Best-effort tasks beside tasks that serve users, under a varying serving
//! load.

use rstest::rstest;

use super::super::pacing::Pace;
use crate::{
    replay::pool::{PoolSimulation, job, lasting, step},
    state::StepSpec,
};

const GOAL_MS: u32 = 80;

/// Creates a simulation of one worker with a serving task and two best-effort
/// tasks.
fn shared_worker() -> PoolSimulation {
    let mut simulation = PoolSimulation::new(1, 32);
    simulation.submit(job(vec![StepSpec { tail_goal_ms: Some(GOAL_MS), ..lasting(1) }]));
    simulation.run_ms(500);
    simulation.submit(job(vec![StepSpec { uses_leftover: true, ..step(2, 4_000, 60_000) }]));
    simulation.run_ms(1_500);
    simulation
}

fn latest(simulation: &PoolSimulation) -> Option<u8> {
    simulation.workers[0].paces.last().map(|(_, percent)| *percent)
}

/// Guards against best-effort tasks that never run because every worker serves
/// users, and against full pace before the tail latency is known.
#[test]
fn leftover_tasks_begin_slowly_beside_tasks_that_serve() {
    let simulation = shared_worker();
    assert_eq!(simulation.workers[0].runs().len(), 3);
    assert_eq!(simulation.workers[0].paces.first().map(|(_, percent)| *percent), Some(20));
}

/// Guards against best-effort tasks that keep their pace while users wait: the
/// tail latency is over its goal for four seconds, then far below.
#[test]
fn pace_falls_fast_and_rises_slowly() {
    let mut simulation = shared_worker();
    simulation.workers[0].tail_ms = GOAL_MS * 2;
    simulation.run_ms(4_000);
    let low = latest(&simulation).expect("a pace was ordered");
    assert!(low <= 5, "the pace is {low}% after four seconds over the goal");
    simulation.workers[0].tail_ms = GOAL_MS / 4;
    simulation.run_ms(4_000);
    let risen = latest(&simulation).expect("a pace was ordered");
    assert!(risen > low && risen <= low + 40, "{low}% rose to {risen}% in four seconds");
}

/// Guards against a task that stays throttled after the serving task has left,
/// and against a wrong direction of the pace.
#[rstest]
#[case::never_slowed(None, None, None)]
#[case::slowed(Some(10), None, Some(100))]
#[case::near_the_goal(Some(40), Some(90), Some(20))]
#[case::between(Some(40), Some(70), Some(40))]
#[case::far_below(Some(40), Some(20), Some(50))]
fn pace_follows_the_worst_tail(
    #[case] percent: Option<u8>,
    #[case] tail_percent: Option<u64>,
    #[case] expected: Option<u8>,
) {
    let first = |percent| Pace::new(percent, 0);
    let next = Pace::next(percent.map(first), 5_000, tail_percent);
    assert_eq!(next.map(|pace| pace.percent), expected);
}
