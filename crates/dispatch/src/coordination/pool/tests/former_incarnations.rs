//! Workers that restart under their names: what calls for a former incarnation still do,
//! and what is known of its runs.

use rstest::rstest;

use super::driver::{BORN, Driver, JOB, entry, report, running};
use crate::coordination::pool::{OrderOutcome, OrderReply, PollFailure, placement::REACHABLE_MS};
use crate::replay::pool::{PoolSimulation, job, step, task};
use crate::state::{JobNumber, JobOutcome, StepSpec, TaskAddress};

/// Index of the worker that restarts.
const AT: usize = 2;
/// Duration of the tasks, in milliseconds: longer than any lease.
const LONG_MS: u32 = 30_000;
/// Time within which all jobs end, in milliseconds.
const END_LIMIT_MS: u64 = 120_000;

/// Creates three workers with slow clocks.
fn slow_workers() -> PoolSimulation {
    let mut simulation = PoolSimulation::new(3, 4);
    simulation.workers.iter_mut().for_each(|worker| worker.has_slow_clock = true);
    simulation.run_ms(2_500);
    simulation
}

/// Restarts the worker under its name and returns once it is back.
fn restart(simulation: &mut PoolSimulation, outage_ms: u64, heartbeat_ms: u64) {
    (simulation.away_ms, simulation.heartbeat_ms) = (outage_ms, Some(heartbeat_ms));
    simulation.crash_worker(AT);
    simulation.run_until(outage_ms + 10, |simulation| !simulation.workers[AT].is_away());
}

/// Submits a job of long tasks that prefer the worker.
fn submit_long(simulation: &mut PoolSimulation) -> JobNumber {
    let data_rack = Some(simulation.workers[AT].entry.rack.clone());
    simulation.submit(job(vec![StepSpec { data_rack, ..step(4, 1_000, LONG_MS) }]))
}

/// Has a start carried out late by an incarnation that no poll has shown and that is cut
/// off before.
fn check_late_start(delay_ms: u64, partitioned_after_ms: u64) {
    let mut simulation = slow_workers();
    simulation.loses_resets = true;
    simulation.workers[AT].order_delay_ms = Some(delay_ms);
    let number = submit_long(&mut simulation);
    simulation.run_ms(20);
    simulation.workers[AT].order_delay_ms = None;
    restart(&mut simulation, 50, 3_000);
    simulation.run_ms(partitioned_after_ms);
    simulation.partition(AT, 16_000);
    simulation
        .run_until(END_LIMIT_MS, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against a second run while a start that was late is under way on an
/// incarnation that no poll has shown.
#[rstest]
fn start_after_an_unnoticed_restart_runs_no_task_twice(
    #[values(1_000, 2_000, 3_000)] delay_ms: u64,
    #[values(50, 400)] partitioned_after_ms: u64,
) {
    check_late_start(delay_ms, partitioned_after_ms);
}

/// Guards against the same with a start that arrives after its timeout by seconds.
#[rstest]
#[ignore = "known failure: see KNOWN-RED.txt"]
fn very_late_start_after_an_unnoticed_restart_runs_no_task_twice(
    #[values(4_000, 6_000)] delay_ms: u64,
    #[values(50, 400)] partitioned_after_ms: u64,
) {
    check_late_start(delay_ms, partitioned_after_ms);
}

/// Has a poll for the former incarnation extend the lease of a new one that no poll has
/// shown and that is cut off by then.
fn check_late_poll(delay_ms: u64) {
    let mut simulation = slow_workers();
    simulation.loses_resets = true;
    simulation.late_polls_have_arrived = true;
    simulation.workers[AT].poll_delay_ms = Some(delay_ms);
    simulation.run_until(2_100, |simulation| simulation.has_late_poll(AT));
    simulation.workers[AT].poll_delay_ms = None;
    restart(&mut simulation, 50, 3_000);
    let number = submit_long(&mut simulation);
    simulation.run_ms(100);
    assert!(!simulation.workers[AT].runs().is_empty(), "the tasks run elsewhere");
    simulation.partition(AT, 20_000);
    simulation
        .run_until(END_LIMIT_MS, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against a second run under a lease that a late poll extended in an
/// incarnation that no poll has shown.
#[rstest]
fn poll_after_an_unnoticed_restart_runs_no_task_twice(#[values(1_500, 3_000)] delay_ms: u64) {
    check_late_poll(delay_ms);
}

/// Guards against the same with a poll that arrives after its timeout by seconds.
#[rstest]
#[ignore = "known failure: see KNOWN-RED.txt"]
fn very_late_poll_after_an_unnoticed_restart_runs_no_task_twice(
    #[values(4_000, 6_000, 8_000)] delay_ms: u64,
) {
    check_late_poll(delay_ms);
}

/// Has the previous controller start a task, while it cannot reach the store, on a worker
/// that its successor cannot reach.
fn check_start_by_a_cut_off_predecessor(restarts: bool) {
    let mut simulation = PoolSimulation::new(3, 4);
    simulation.workers.iter_mut().for_each(|worker| worker.has_slow_clock = true);
    simulation.run_ms(2_500);
    simulation.submit(job(vec![step(3, 4_000, 5_000)]));
    simulation.run_ms(100);
    let number = simulation.submit(job(vec![step(1, 4_000, LONG_MS)]));
    simulation.run_ms(50);
    assert!(simulation.workers.iter().all(|worker| worker.runs().len() == 1));
    let confirmed_until_ms = simulation.now_ms;
    simulation.engine(0).confirm_control(confirmed_until_ms);
    for at in [0, 2] {
        simulation.workers[at].partitioned_from.insert(0);
    }
    simulation.workers[1].partitioned_from.insert(1);
    simulation.add_controller();
    // The previous controller cannot reach the store; its successor need not yet.
    simulation.store_is_up = false;
    simulation.loses_resets = true;
    simulation.latency_ms = 20;
    (simulation.away_ms, simulation.heartbeat_ms) = (10, Some(3_000));
    simulation.run_until(6_000, |simulation| simulation.workers[1].runs().is_empty());
    if restarts {
        simulation.crash_worker(1);
    }
    simulation.run_until(1_000, |it| it.is_running(task(number, 0, 0)));
    simulation.run_ms(500);
    simulation.kill(0);
    simulation.store_is_up = true;
    simulation.partition(1, 20_000);
    simulation
        .run_until(END_LIMIT_MS, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against a successor that does not wait for the starts of a previous
/// controller which cannot reach the store.
#[test]
fn start_by_a_cut_off_predecessor_runs_once() {
    check_start_by_a_cut_off_predecessor(false);
}

/// Guards against the same on a worker that has just restarted and is not registered
/// again.
#[test]
#[ignore = "known failure: see KNOWN-RED.txt"]
fn start_by_a_cut_off_predecessor_on_a_restarted_worker_runs_once() {
    check_start_by_a_cut_off_predecessor(true);
}

/// Guards against an acknowledgement for the former incarnation that the new one
/// receives late, so that it forgets an end which was never listed.
#[rstest]
#[ignore = "known failure: see KNOWN-RED.txt"]
fn late_acknowledgement_for_the_former_incarnation_forgets_no_end(
    #[values(1_500, 2_500, 3_500, 5_000)] delay_ms: u64,
) {
    let mut simulation = PoolSimulation::new(3, 4);
    simulation.run_ms(2_500);
    let data_rack = Some(simulation.workers[AT].entry.rack.clone());
    simulation.submit(job(vec![StepSpec { data_rack: data_rack.clone(), ..step(90, 20, 500) }]));
    simulation.run_until(600, |it| it.workers[AT].runs().is_empty() && it.starts > 0);
    simulation.workers[AT].poll_delay_ms = Some(delay_ms);
    simulation.run_until(2_100, |simulation| simulation.has_late_poll(AT));
    simulation.workers[AT].poll_delay_ms = None;
    restart(&mut simulation, 50, 0);
    simulation.run_ms(100);
    simulation.duration_ms = Some(|task: TaskAddress| 500 + u64::from(task.index) * 70);
    let number = simulation.submit(job(vec![StepSpec { data_rack, ..step(90, 20, 500) }]));
    simulation
        .run_until(END_LIMIT_MS, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against an incarnation whose registry entry was away for a moment, and that
/// counts as a later one of itself: its tasks would wait for seconds without need.
#[test]
fn incarnation_that_was_unregistered_for_a_moment_holds_no_former_lease() {
    let mut driver = Driver::new(&[entry(0, BORN), entry(1, BORN)]);
    driver.answer("w0", Ok(report(BORN, 500_000, Vec::new())));
    driver.answer("w1", Ok(report(BORN, 500_000, Vec::new())));
    driver.run_ms(20);
    driver.register(&[entry(1, BORN)]);
    driver.run_ms(200);
    assert!(driver.key("w0").is_none(), "the worker is not removed");
    driver.register(&[entry(0, BORN), entry(1, BORN)]);
    let key = driver.key("w0").expect("known");
    driver.polls.retain(|(to, _)| to.worker.as_str() != "w0" || to.key == key);
    driver.run_ms(20);
    driver.answer("w0", Ok(report(BORN, 500_240, Vec::new())));
    let worker = driver.engine.workers.get(driver.key("w0").expect("known")).expect("known");
    assert!(worker.is_lease_over(driver.now_ms + 6_700));
}

/// Guards against a crash that counts against a task as if it had run alone, because
/// another run of the worker was given up earlier.
#[test]
fn runs_given_up_in_two_parts_were_not_alone() {
    let mut driver = Driver::new(&[entry(0, BORN)]);
    driver.answer("w0", Ok(report(BORN, 500_000, Vec::new())));
    driver.run_ms(60);
    driver.submit(job(vec![step(2, 1_000, 20_000)]));
    driver.run_ms(20);
    let starts = std::mem::take(&mut driver.starts);
    assert_eq!(starts.len(), 2);
    driver.engine.on_start_reply(driver.now(), starts[0].1, OrderReply::Accepted);
    driver.engine.on_start_reply(driver.now(), starts[1].1, OrderReply::Unknown);
    let listed = vec![running(task(JOB, 0, starts[0].1.task.index), &starts[0].1)];
    driver.answer("w0", Ok(report(BORN, 500_100, listed)));
    let mut counts = Vec::new();
    for _ in 0..160 {
        driver.run_ms(100);
        driver.answer("w0", Err(PollFailure::Unreachable));
        let key = driver.key("w0").expect("known");
        let count = driver.engine.workers.get(key).expect("known").runs.len();
        if counts.last() != Some(&count) {
            counts.push(count);
        }
    }
    assert_eq!(counts, [2, 1, 0]);
    let born = BORN + driver.now_ms;
    while driver.polls.is_empty() {
        driver.run_ms(10);
    }
    driver.answer("w0", Ok(report(born, 300, Vec::new())));
    driver.run_ms(100);
    for index in 0..2 {
        let at = driver.engine.job_table.resolve(task(JOB, 0, index)).expect("the task exists");
        let state = driver.engine.job_table.task(at).expect("the task exists");
        let sign = format!("{:?}", state.crash_sign);
        assert!(!sign.contains("alone: true"), "task {index} was not alone: {sign}");
    }
}

/// Guards against the same if the worker restarts between the two parts.
#[test]
fn run_of_a_worker_that_restarts_between_the_two_parts_was_not_alone() {
    let mut driver = Driver::new(&[entry(0, BORN)]);
    driver.answer("w0", Ok(report(BORN, 500_000, Vec::new())));
    driver.run_ms(60);
    driver.submit(job(vec![step(2, 1_000, 20_000)]));
    driver.run_ms(20);
    let starts = std::mem::take(&mut driver.starts);
    for (_, target) in &starts {
        driver.engine.on_start_reply(driver.now(), *target, OrderReply::Accepted);
    }
    let listed = vec![running(task(JOB, 0, starts[0].1.task.index), &starts[0].1)];
    driver.answer("w0", Ok(report(BORN, 500_100, listed)));
    let runs = |driver: &Driver| {
        let key = driver.key("w0").expect("the worker is known");
        driver.engine.workers.get(key).expect("the worker is known").runs.len()
    };
    while runs(&driver) == 2 {
        driver.run_ms(100);
        driver.answer("w0", Err(PollFailure::Unreachable));
        assert!(driver.now_ms < 12_000, "no run was given up");
    }
    assert_eq!(runs(&driver), 1);
    let born = BORN + driver.now_ms;
    for clock_ms in (100..2_000).step_by(100) {
        while driver.polls.is_empty() {
            driver.run_ms(10);
        }
        driver.answer("w0", Ok(report(born, clock_ms, Vec::new())));
    }
    for index in 0..2 {
        let at = driver.engine.job_table.resolve(task(JOB, 0, index)).expect("the task exists");
        let state = driver.engine.job_table.task(at).expect("the task exists");
        let sign = format!("{:?}", state.crash_sign);
        assert_eq!(state.crashes.crashes, 1, "task {index}");
        assert!(!sign.contains("alone: true"), "task {index} was not alone: {sign}");
    }
}

/// Guards against a lease by calls for an incarnation that is forgotten together with
/// it when it leaves the registry.
#[test]
fn lease_of_a_removed_worker_is_remembered_by_its_name() {
    let mut driver = Driver::new(&[entry(0, BORN), entry(1, BORN)]);
    driver.answer("w0", Ok(report(BORN, 500_000, Vec::new())));
    driver.answer("w1", Ok(report(BORN, 500_000, Vec::new())));
    driver.run_ms(20);
    driver.register(&[entry(1, BORN)]);
    driver.run_ms(200);
    assert!(driver.key("w0").is_none(), "the worker is not removed");
    let born = BORN + driver.now_ms;
    driver.register(&[entry(0, born), entry(1, BORN)]);
    let key = driver.key("w0").expect("known");
    driver.polls.retain(|(to, _)| to.worker.as_str() != "w0" || to.key == key);
    driver.run_ms(20);
    driver.answer("w0", Ok(report(born, 100, Vec::new())));
    let worker = driver.engine.workers.get(driver.key("w0").expect("known")).expect("known");
    assert!(!worker.is_lease_over(driver.now_ms + 14_000 + 9_900));
}

/// Guards against further starts on a worker whose reply is that of an incarnation
/// which no poll has shown.
#[test]
fn reply_of_another_incarnation_ends_placement_there() {
    let mut driver = Driver::new(&[entry(0, BORN)]);
    driver.run_ms(4_000);
    driver.answer("w0", Ok(report(BORN, 500_000, Vec::new())));
    driver.run_ms(60);
    driver.submit(job(vec![step(1, 1_000, 2_000), step(1, 1_000, 2_000)]));
    driver.run_ms(20);
    let (_, target) = driver.starts.remove(0);
    let outcome = OrderOutcome { reply: OrderReply::Accepted, clock_ms: Some(120) };
    driver.engine.on_start_reply(driver.now(), target, outcome);
    let worker = driver.engine.workers.get(target.worker).expect("known");
    assert!(!worker.is_reachable(driver.now_ms, REACHABLE_MS));
}

/// Guards against a successor that expects late calls of its predecessor for a shorter
/// time than they may take.
#[rstest]
#[case(15_000, 9_900)]
#[case(19_500, 9_900)]
fn successor_assumes_the_longest_lease_of_a_young_incarnation(
    #[case] clock_ms: u64,
    #[case] after_ms: u64,
) {
    let mut driver = Driver::new(&[entry(0, BORN)]);
    driver.answer("w0", Ok(report(BORN, clock_ms, Vec::new())));
    let key = driver.key("w0").expect("known");
    let worker = driver.engine.workers.get(key).expect("known");
    assert!(!worker.is_lease_over(driver.now_ms + after_ms));
}

/// Guards against runs that are given up while control is not confirmed, between two
/// parts.
#[test]
fn runs_given_up_in_two_parts_wait_for_control() {
    let mut driver = Driver::new(&[entry(0, BORN)]);
    driver.answer("w0", Ok(report(BORN, 500_000, Vec::new())));
    driver.run_ms(60);
    driver.submit(job(vec![step(2, 1_000, 20_000)]));
    driver.run_ms(20);
    let starts = std::mem::take(&mut driver.starts);
    driver.engine.on_start_reply(driver.now(), starts[0].1, OrderReply::Accepted);
    driver.engine.on_start_reply(driver.now(), starts[1].1, OrderReply::Unknown);
    let listed = vec![running(task(JOB, 0, starts[0].1.task.index), &starts[0].1)];
    driver.answer("w0", Ok(report(BORN, 500_100, listed)));
    driver.register(&[]);
    let count = |driver: &Driver| {
        driver.key("w0").and_then(|key| driver.engine.workers.get(key)).map(|it| it.runs.len())
    };
    let mut counts = vec![count(&driver)];
    for _ in 0..400 {
        driver.run_ms(50);
        driver.answer("w0", Err(PollFailure::Unreachable));
        if counts.last() != Some(&count(&driver)) {
            counts.push(count(&driver));
            if counts.len() == 2 {
                driver.engine.confirm_control(driver.now_ms);
            }
        }
        if driver.now_ms > 17_000 {
            driver.engine.confirm_control(u64::MAX);
        } else if counts.len() == 2 {
            let until_ms = driver.now_ms;
            driver.engine.confirm_control(until_ms);
        }
    }
    assert_eq!(counts, [Some(2), Some(1), None]);
}

/// Guards against a gang that never starts again because one of its members is given up
/// later than the others.
#[test]
fn gang_given_up_in_two_parts_starts_again() {
    let mut simulation = slow_workers();
    simulation.workers[AT].delays_one_in = 2;
    simulation.workers[AT].order_delay_ms = Some(50);
    let data_rack = Some(simulation.workers[AT].entry.rack.clone());
    let gang = StepSpec { is_gang: true, data_rack, ..step(3, 1_000, LONG_MS) };
    let number = simulation.submit(job(vec![gang]));
    simulation.run_ms(30);
    simulation.partition(AT, 60_000);
    let starts = simulation.starts;
    simulation.run_until(40_000, |it| it.starts > starts + 1);
    simulation
        .run_until(END_LIMIT_MS, |simulation| simulation.outcome(number) == Some(JobOutcome::Done));
}

/// Guards against crashes that are lost, or counted twice, for runs that are given up in
/// two parts.
#[test]
fn runs_given_up_in_two_parts_count_once_each() {
    let mut driver = Driver::new(&[entry(0, BORN)]);
    driver.answer("w0", Ok(report(BORN, 500_000, Vec::new())));
    driver.run_ms(60);
    driver.submit(job(vec![step(2, 1_000, 20_000)]));
    driver.run_ms(20);
    let starts = std::mem::take(&mut driver.starts);
    assert_eq!(starts.len(), 2);
    driver.engine.on_start_reply(driver.now(), starts[0].1, OrderReply::Accepted);
    driver.engine.on_start_reply(driver.now(), starts[1].1, OrderReply::Unknown);
    let listed = vec![running(task(JOB, 0, starts[0].1.task.index), &starts[0].1)];
    driver.answer("w0", Ok(report(BORN, 500_100, listed)));
    let mut counts = Vec::new();
    for _ in 0..160 {
        driver.run_ms(100);
        driver.answer("w0", Err(PollFailure::Unreachable));
        let key = driver.key("w0").expect("known");
        let count = driver.engine.workers.get(key).expect("known").runs.len();
        if counts.last() != Some(&count) {
            counts.push(count);
        }
    }
    assert_eq!(counts, [2, 1, 0]);
    let born = BORN + driver.now_ms;
    while driver.polls.is_empty() {
        driver.run_ms(10);
    }
    driver.answer("w0", Ok(report(born, 300, Vec::new())));
    driver.run_ms(100);
    for index in 0..2 {
        let at = driver.engine.job_table.resolve(task(JOB, 0, index)).expect("the task exists");
        let state = driver.engine.job_table.task(at).expect("the task exists");
        assert_eq!(state.crashes.crashes, 1, "task {index}");
    }
}
