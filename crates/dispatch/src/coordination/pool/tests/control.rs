//! Changes of control: no task runs twice and none is lost.

use crate::replay::pool::{PoolSimulation, job, lasting, step, task};
use crate::state::{JobOutcome, JobSpec, Schedule};

/// Guards against a successor that starts tasks again which the previous
/// controller started.
#[test]
fn successor_adopts_what_runs() {
    let mut simulation = PoolSimulation::new(4, 32);
    let number = simulation.submit(job(vec![step(8, 1_000, 2_000), step(4, 1_000, 500)]));
    simulation.run_ms(500);
    simulation.kill(0);
    simulation.add_controller();
    simulation.run_until(6_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(simulation.starts, 12);
}

/// Guards against a task that is started while an unreachable worker may still
/// run it, and against a task that is never started again.
#[test]
fn successor_waits_for_a_worker_that_may_run_the_task() {
    let mut simulation = PoolSimulation::new(2, 32);
    let number = simulation.submit(job(vec![lasting(2)]));
    simulation.run_ms(500);
    simulation.workers[0].partitioned_from.insert(1);
    simulation.add_controller();
    // The previous controller can still reach the worker and extends its lease.
    simulation.run_ms(5_000);
    simulation.kill(0);
    simulation.run_ms(14_000);
    assert!(simulation.is_running(task(number, 0, 0)) && simulation.is_running(task(number, 0, 1)));
}

/// Guards against a previous controller that considers a lease expired which
/// its successor has extended: the task would run twice.
#[test]
fn partitioned_previous_controller_starts_nothing_elsewhere() {
    let mut simulation = PoolSimulation::new(2, 32);
    simulation.submit(job(vec![lasting(4)]));
    simulation.run_ms(500);
    // The previous controller keeps worker 0, the successor has worker 1.
    simulation.workers[1].partitioned_from.insert(0);
    let confirmed_until_ms = simulation.now_ms + 2_700;
    simulation.engine(0).confirm_control(confirmed_until_ms);
    simulation.run_ms(3_000);
    simulation.workers[0].partitioned_from.insert(1);
    simulation.add_controller();
    simulation.run_ms(9_000);
    assert!(!simulation.is_fenced(0));
    assert_eq!(simulation.running(), 4);
}

/// Guards against jobs accepted after the change of control that wait for an
/// unreachable worker.
#[test]
fn new_job_starts_while_old_ones_wait() {
    let mut simulation = PoolSimulation::new(3, 32);
    simulation.submit(job(vec![lasting(3)]));
    simulation.run_ms(500);
    simulation.kill(0);
    simulation.workers[0].partitioned_from.insert(1);
    simulation.add_controller();
    let number = simulation.submit(job(vec![step(2, 1_000, 300)]));
    simulation.run_until(1_500, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against an end that is acknowledged before it is stored: the task
/// would run again after a change of control.
#[test]
fn ends_are_not_acknowledged_while_the_store_is_away() {
    let mut simulation = PoolSimulation::new(2, 32);
    let number = simulation.submit(job(vec![step(4, 1_000, 300), step(1, 1_000, 6_000)]));
    simulation.store_is_up = false;
    simulation.run_ms(2_000);
    simulation.kill(0);
    simulation.store_is_up = true;
    simulation.add_controller();
    simulation.run_until(9_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(simulation.starts, 5);
}

/// Guards against a controller that continues after a worker refused its term.
#[test]
fn holder_stops_after_a_refused_term() {
    let mut simulation = PoolSimulation::new(2, 32);
    simulation.submit(job(vec![lasting(2)]));
    simulation.run_ms(500);
    simulation.add_controller();
    simulation.run_ms(3_000);
    assert!(simulation.is_fenced(0));
    assert!(!simulation.is_fenced(1));
}

/// Guards against a previous holder that starts a job which its successor has
/// already started: its connection to the store recovers before it learns of
/// the successor.
#[test]
fn job_that_arrives_under_unconfirmed_control_waits() {
    let mut simulation = PoolSimulation::new(2, 32);
    let confirmed_until_ms = simulation.now_ms + 500;
    simulation.engine(0).confirm_control(confirmed_until_ms);
    simulation.run_ms(1_000);
    let number = simulation.submit(job(vec![step(1, 1_000, 300)]));
    simulation.run_ms(1_000);
    assert_eq!(simulation.starts, 0);
    simulation.engine(0).confirm_control(u64::MAX);
    simulation.run_until(1_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against a listing that was read before a job's end was stored but
/// arrives later: the ended job must not count as new.
#[test]
fn listing_from_before_an_end_starts_nothing_again() {
    let mut simulation = PoolSimulation::new(2, 8);
    let job = simulation.submit(job(vec![step(2, 1_000, 300)]));
    simulation.run_ms(50);
    let stale = simulation.stored_job(job);
    simulation.run_until(3_000, |simulation| simulation.outcome(job).is_some());
    simulation.run_ms(200);
    let now = simulation.now();
    simulation.engine(0).reread(now, vec![stale]);
    simulation.run_ms(300);
    assert_eq!(simulation.running(), 0, "a job that has ended runs again");
}

/// Guards against a write without a reply that the store carries out late: it
/// would replace the progress that a later write stored, and a successor would
/// start the ended tasks again.
#[test]
fn late_write_does_not_replace_newer_progress() {
    let mut simulation = PoolSimulation::new(2, 32);
    simulation.duration_ms = Some(|task| match (task.step, task.index) {
        (0, 0) => 200,
        (0, _) => 1_500,
        _ => 6_000,
    });
    let number = simulation.submit(job(vec![step(2, 1_000, 500), step(1, 1_000, 6_000)]));
    simulation.run_ms(400);
    simulation.write_delay_ms = Some(2_500);
    simulation.run_ms(600);
    simulation.write_delay_ms = None;
    // The second task's end is stored and acknowledged, then the late writes of
    // the first one's arrive.
    simulation.run_ms(3_000);
    simulation.kill(0);
    simulation.add_controller();
    simulation.run_until(12_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(simulation.starts, 3, "a task that had ended was started again");
}

/// Guards against a controller that never stores anything again after a write
/// without a reply took effect.
#[test]
fn writes_go_on_after_a_lost_reply() {
    let mut simulation = PoolSimulation::new(2, 32);
    let number = simulation.submit(job(vec![step(2, 1_000, 300), step(1, 1_000, 2_000)]));
    simulation.run_ms(200);
    simulation.write_delay_ms = Some(50);
    simulation.run_ms(800);
    simulation.write_delay_ms = None;
    simulation.run_until(6_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(simulation.starts, 3);
}

/// Guards against a controller that was paused for seconds and goes on under its
/// old term: its successor has started the tasks that were waiting.
#[test]
fn paused_controller_starts_nothing_after_its_term() {
    let mut simulation = PoolSimulation::new(2, 8);
    let first = simulation.submit(job(vec![step(2, 8_000, 2_000)]));
    simulation.run_ms(300);
    let waiting = simulation.submit(job(vec![step(2, 8_000, 500)]));
    simulation.run_ms(100);
    simulation.set_paused(0, true);
    simulation.run_ms(1_000);
    simulation.add_controller();
    simulation.run_ms(1_000);
    simulation.set_paused(0, false);
    let is_done =
        |simulation: &PoolSimulation, number| simulation.outcome(number) == Some(JobOutcome::Done);
    simulation.run_until(6_000, |simulation| is_done(simulation, first));
    simulation.run_until(6_000, |simulation| is_done(simulation, waiting));
    assert!(simulation.is_fenced(0));
    assert_eq!(simulation.starts, 4, "a task was started by both controllers");
}

/// Guards against a worker that has left and is in use again after a restart of
/// the controller: the registry lists it for seconds beside its host's next
/// worker.
#[test]
fn restarted_controller_does_not_use_a_worker_that_has_left() {
    let mut simulation = PoolSimulation::new(2, 8);
    simulation.restart_worker(0);
    simulation.kill(0);
    let mut left = simulation.workers[0].entry.clone();
    left.worker = tamarackproxy::state::ids::WorkerId::new("left");
    left.born_unix_ms -= 1;
    let current: Vec<_> = simulation.workers.iter().map(|it| it.entry.clone()).collect();
    let successor = simulation.add_controller();
    let listed: Vec<_> = [left].into_iter().chain(current).collect();
    simulation.engine(successor).on_registry(&listed);
    let number = simulation.submit(job(vec![step(4, 4_000, 300)]));
    // The simulation panics if a worker that does not exist is told to run a task.
    simulation.run_until(2_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against a controller that was paused until its control had run out,
/// and then orders workers that its successor has not reached: what it starts
/// there may run elsewhere already.
#[test]
fn controller_does_nothing_after_its_control_has_run_out() {
    let mut simulation = PoolSimulation::new(2, 8);
    simulation.submit(job(vec![step(2, 8_000, 3_000)]));
    simulation.run_ms(50);
    let number = simulation.submit(job(vec![step(2, 8_000, 500)]));
    simulation.run_ms(50);
    let confirmed_until_ms = simulation.now_ms + 2_700;
    simulation.engine(0).confirm_control(confirmed_until_ms);
    simulation.set_paused(0, true);
    simulation.run_ms(10_000);
    simulation.set_paused(0, false);
    let starts = simulation.starts;
    simulation.run_ms(2_000);
    assert_eq!(simulation.starts, starts);
    assert_eq!(simulation.outcome(number), None);
}

/// Guards against a successor that starts occurrences again which were done and
/// have been forgotten, because they are due when it reads the job.
#[test]
fn successor_does_not_repeat_ended_occurrences() {
    let mut simulation = PoolSimulation::new(2, 8);
    let spec = JobSpec {
        schedule: Some(Schedule {
            occurrences: 4,
            first_unix_ms: simulation.now().unix_ms,
            interval_ms: 1_000,
        }),
        ..job(vec![step(1, 1_000, 200)])
    };
    let number = simulation.submit(spec);
    simulation.run_ms(2_500);
    assert_eq!(simulation.starts, 3);
    simulation.kill(0);
    simulation.add_controller();
    simulation.run_until(4_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(simulation.starts, 4, "an occurrence was started again");
}
