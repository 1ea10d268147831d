//! Workers that are partitioned, restart, fail, stall or lose replies.

use rstest::rstest;
use tamarackproxy::state::ids::QueueId;

use super::driver::{BORN, Driver, JOB, entry, report};
use crate::coordination::pool::{EndKind, EndedTask, OrderTarget, PollReport, QueuePolicy};
use crate::replay::pool::{PoolSimulation, job, lasting, step, task};
use crate::state::{JobOutcome, StepSpec};

/// Guards against tasks of a partitioned worker that are never run again, or
/// that run again before its lease has expired.
#[test]
fn tasks_of_a_partitioned_worker_run_elsewhere_after_its_lease() {
    let mut simulation = PoolSimulation::new(2, 32);
    let number = simulation.submit(job(vec![lasting(2)]));
    simulation.run_ms(500);
    simulation.workers[0].partitioned_from.insert(0);
    simulation.run_ms(9_000);
    assert_eq!(simulation.running(), 2);
    assert!(simulation.workers[1].runs().contains(&task(number, 0, 0)));
    assert!(simulation.workers[1].runs().contains(&task(number, 0, 1)));
}

/// Guards against polls that extend the lease of a worker that does not answer:
/// its tasks would never be rescheduled.
#[test]
fn unanswered_looks_do_not_extend_the_lease() {
    let mut simulation = PoolSimulation::new(2, 32);
    simulation.submit(job(vec![lasting(1)]));
    simulation.run_ms(500);
    let at = usize::from(!simulation.workers[0].runs().is_empty());
    let at = 1 - at;
    simulation.workers[at].partitioned_from.insert(0);
    simulation.run_until(8_000, |simulation| !simulation.workers[1 - at].runs().is_empty());
}

/// Guards against tasks of an earlier worker incarnation that still count as
/// running.
#[test]
fn restarted_worker_loses_its_runs_at_once() {
    let mut simulation = PoolSimulation::new(2, 32);
    let number = simulation.submit(job(vec![step(4, 1_000, 2_000)]));
    simulation.run_ms(500);
    simulation.restart_worker(0);
    simulation.restart_worker(1);
    simulation.run_until(3_500, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(simulation.starts, 8);
}

/// Guards against a second start of a task after the reply to the first was
/// lost.
#[test]
fn start_without_reply_is_found_in_the_list() {
    let mut simulation = PoolSimulation::new(1, 32);
    simulation.workers[0].loses_replies = true;
    let number = simulation.submit(job(vec![step(3, 1_000, 2_500)]));
    simulation.run_until(8_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(simulation.starts, 3);
}

/// Guards against a worker that fails every task and, being idle, attracts all
/// further ones.
#[test]
fn failing_worker_is_suspended() {
    let mut simulation = PoolSimulation::new(3, 32);
    simulation.workers[0].fails_all = true;
    let jobs: Vec<_> = (0..30)
        .map(|_| {
            simulation.run_ms(100);
            simulation.submit(job(vec![step(2, 4_000, 200)]))
        })
        .collect();
    simulation.run_ms(4_000);
    let failed =
        jobs.iter().filter(|&&job| simulation.outcome(job) == Some(JobOutcome::Failed)).count();
    assert!(failed <= 1, "{failed} of 30 jobs failed with one failing worker");
}

/// Guards against a task that stays stalled forever.
#[test]
fn stalled_run_moves_to_another_worker() {
    let mut simulation = PoolSimulation::new(2, 32);
    let number = simulation.submit(job(vec![step(1, 1_000, 400)]));
    simulation.run_ms(50);
    let at = usize::from(simulation.workers[0].runs().is_empty());
    simulation.workers[at].is_stalled = true;
    simulation.run_until(8_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against a job that fails on every worker and is retried forever.
#[test]
fn job_that_fails_everywhere_ends_after_its_attempts() {
    let mut simulation = PoolSimulation::new(2, 32);
    simulation.workers.iter_mut().for_each(|worker| worker.fails_all = true);
    let number = simulation.submit(job(vec![step(1, 1_000, 100)]));
    simulation
        .run_until(2_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Failed));
    assert_eq!(simulation.starts, 2);
}

/// Guards against a failure that counts twice: a successor finds it both in the
/// store and in the worker's report, and would fail the job.
#[test]
fn failure_counts_once_across_a_change_of_control() {
    let mut simulation = PoolSimulation::new(2, 32);
    simulation.workers.iter_mut().for_each(|worker| worker.fails_all = true);
    let number = simulation.submit(job(vec![step(1, 1_000, 600)]));
    simulation.run_until(2_000, |simulation| simulation.has_progress(number));
    simulation.workers.iter_mut().for_each(|worker| worker.fails_all = false);
    simulation.kill(0);
    simulation.add_controller();
    simulation.run_until(3_000, |simulation| simulation.outcome(number).is_some());
    assert_eq!(simulation.outcome(number), Some(JobOutcome::Done));
}

/// Guards against a slow worker that delays a step which allows speculative
/// copies.
#[test]
fn copy_ends_a_slow_step() {
    let mut simulation = PoolSimulation::new(2, 32);
    simulation.allow_copies();
    simulation.workers[0].slowdown = 20;
    let spec = StepSpec { allows_copies: true, ..step(20, 2_000, 500) };
    let number = simulation.submit(job(vec![spec]));
    simulation.run_until(4_500, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against one task that stalls wherever it runs and takes one worker
/// after another out of use: other jobs of the pool would wait for seconds.
#[test]
fn task_that_stalls_everywhere_leaves_the_pool_in_use() {
    let mut simulation = PoolSimulation::new(4, 32);
    let stalled = simulation.submit(job(vec![lasting(1)]));
    simulation.stalled_job = Some(stalled);
    simulation.run_ms(60_000);
    // It needs all four workers at once to end in time.
    let number = simulation.submit(job(vec![step(15, 8_000, 700)]));
    simulation.run_until(1_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against runs that are given up or started elsewhere because their
/// worker was silent for less than its lease.
#[test]
fn briefly_silent_worker_keeps_its_runs() {
    let mut simulation = PoolSimulation::new(3, 8);
    let number = simulation.submit(job(vec![step(3, 8_000, 6_500), step(1, 1_000, 300)]));
    simulation.run_ms(300);
    simulation.workers[0].partitioned_from.insert(0);
    simulation.run_ms(4_500);
    simulation.workers[0].partitioned_from.clear();
    simulation.run_until(6_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(simulation.starts, 4, "a run of the silent worker was started again");
}

/// Guards against a task that is started again because its end was not among
/// those that its worker listed at once.
#[test]
fn task_whose_end_is_not_listed_yet_is_not_started_again() {
    let mut simulation = PoolSimulation::new(1, 1_000);
    simulation.workers[0].entry.capacity.memory_bytes = 1_000 << 30;
    simulation.register();
    simulation.run_ms(2_500);
    let number = simulation.submit(job(vec![step(700, 1_000, 300)]));
    simulation.run_ms(100);
    simulation.store_is_up = false;
    simulation.run_ms(2_000);
    simulation.store_is_up = true;
    simulation.run_until(8_000, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
    assert_eq!(simulation.starts, 700);
}

/// Guards against a second run beside one whose start or stop was carried out
/// late.
#[rstest]
fn order_that_is_carried_out_late_runs_no_task_twice(
    #[values(200, 700, 1_300, 1_990, 2_500, 5_000)] delay_ms: u64,
    #[values(300, 900, 3_000)] task_ms: u32,
) {
    let mut simulation = PoolSimulation::new(3, 4);
    simulation.workers[0].order_delay_ms = Some(delay_ms);
    let jobs = [
        simulation.submit(job(vec![step(9, 1_000, task_ms)])),
        simulation.submit(job(vec![step(6, 1_000, task_ms)])),
    ];
    simulation.run_ms(1_000);
    simulation.workers[1].order_delay_ms = Some(delay_ms);
    let cancelled = simulation.submit(job(vec![step(6, 1_000, task_ms)]));
    simulation.run_ms(1_500);
    simulation.cancel(cancelled);
    simulation.run_ms(1_000);
    simulation.workers[0].order_delay_ms = None;
    simulation.workers[1].order_delay_ms = None;
    simulation.run_until(30_000, |simulation| {
        jobs.iter().all(|&job| simulation.outcome(job) == Some(JobOutcome::Done))
    });
    simulation.run_ms(6_000);
    assert_eq!(simulation.running(), 0);
}

/// Guards against a job that fails after the default number of attempts, because its
/// queue was removed before its controller read the configuration.
#[test]
fn stored_policy_of_a_removed_queue_counts() {
    let mut driver = Driver::new(&[entry(0, BORN)]);
    let removed = QueueId::new("removed");
    driver.answer("w0", Ok(report(BORN, 500_000, Vec::new())));
    assert!(!driver.engine.take_unknown_queue());
    driver.submit_to(&removed, job(vec![step(1, 1_000, 2_000)]));
    assert!(driver.engine.take_unknown_queue(), "the policy is not asked for");
    let policy = QueuePolicy { attempts_max: 4, ..QueuePolicy::default() };
    driver.engine.set_stored_queues([(removed.clone(), policy.clone())]);
    for number in 1..=4 {
        driver.run_ms(3_000);
        assert_eq!(driver.starts.len(), 1, "attempt {number}");
        let (_, OrderTarget { task, run, .. }) = driver.starts[0].clone();
        driver.accept_starts();
        let end = EndedTask { number, task, run, how: EndKind::Failed, checkpoint: "".into() };
        let clock_ms = 500_000 + driver.now_ms;
        let ended = PollReport { ended: vec![end], ..report(BORN, clock_ms, Vec::new()) };
        driver.answer("w0", Ok(ended));
    }
    driver.run_ms(3_000);
    assert!(driver.starts.is_empty(), "a fifth attempt");
    let view = driver.engine.job_state(JOB);
    assert!(view.is_none_or(|view| view.outcome == Some(JobOutcome::Failed)));
    // The configuration goes before a stored policy.
    let newer = QueuePolicy { attempts_max: 7, ..policy.clone() };
    driver.engine.set_queues([(removed.clone(), newer)]);
    driver.engine.set_stored_queues([(removed.clone(), policy)]);
    assert_eq!(driver.engine.policy(&removed).attempts_max, 7);
}
