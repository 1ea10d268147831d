//! Tests of failing workers, faulty jobs, lost workers and lost replies.

use rstest::rstest;

use super::driver::{Driver, host, job, workers};
use crate::{
    coordination::jobs::{
        JobOutcome, JobSpec, JobsEvent, JobsReport, LEASE_MS, TaskEnd, WorkerCommand,
    },
    state::ids::JobId,
};

fn of_application(name: &str, application: u32) -> JobSpec {
    JobSpec { application: format!("app{application}").into(), ..job(name, 1) }
}

/// Makes all workers but worker 0 refuse new tasks.
fn only_worker_0(driver: &mut Driver, count: u32) {
    let mut listed = workers(count);
    listed.iter_mut().skip(1).for_each(|worker| worker.accepts_tasks = false);
    driver.handle(JobsEvent::WorkersListed { workers: listed });
}

/// Runs one successful task of each of four applications, then leaves only
/// worker 0 accepting tasks.
fn with_known_applications() -> Driver {
    let mut driver = Driver::new(4);
    for application in 0..4 {
        let name = format!("ok{application}");
        driver.start(of_application(&name, application));
        driver.end(&name, TaskEnd::Succeeded);
    }
    only_worker_0(&mut driver, 4);
    driver
}

fn fail_on_worker_0(driver: &mut Driver, count: u32) {
    for number in 0..count {
        let name = format!("fails{number}");
        if driver.start(of_application(&name, number % 4)).is_some() {
            driver.end(&name, TaskEnd::Failed);
        }
    }
}

/// Guards against a worker that fails every task and keeps getting more because
/// it always has free capacity.
#[test]
fn jobs_failing_worker_is_quarantined_and_readmitted_by_a_test() {
    let mut driver = with_known_applications();
    fail_on_worker_0(&mut driver, 8);
    assert_eq!(driver.quarantined(), [host(0)]);
    let starts = driver.commands.len();
    driver.advance(59_000);
    assert_eq!(driver.commands.len(), starts, "nothing runs in quarantine");
    driver.advance(3_000);
    let probes = driver.starts(&JobId::new("fails5")).len();
    assert_eq!(probes, 1, "one waiting job is the probe");
    driver.end("fails5", TaskEnd::Succeeded);
    assert!(driver.reports.contains(&JobsReport::Readmitted { host: host(0) }));
}

/// Guards against probing a broken worker forever.
#[test]
fn jobs_broken_worker_is_given_up_after_bounded_tests() {
    let mut driver = with_known_applications();
    fail_on_worker_0(&mut driver, 5);
    for test in 0..20 {
        let name = format!("test{test}");
        driver.start(of_application(&name, test % 4));
        driver.advance(60_000 << test.min(6));
        if !driver.starts(&JobId::new(&name)).is_empty() {
            driver.end(&name, TaskEnd::Failed);
        }
        if driver.reports.contains(&JobsReport::GivenUp { host: host(0) }) {
            break;
        }
    }
    assert!(driver.reports.contains(&JobsReport::GivenUp { host: host(0) }));
    assert_eq!(driver.quarantined().len(), 6);
}

/// Guards against faulty applications whose failures quarantine healthy
/// workers.
#[rstest]
#[case(1)]
#[case(5)]
fn jobs_faulty_applications_quarantine_no_worker(#[case] applications: u32) {
    let mut driver = Driver::new(8);
    for number in 0..20 {
        let name = format!("bad{number}");
        driver.start(of_application(&name, number % applications));
        for _ in 0..3 {
            driver.end(&name, TaskEnd::Failed);
        }
        assert_eq!(driver.ended.last(), Some(&(JobId::new(&name), JobOutcome::Faulty)));
        let mut hosts: Vec<_> =
            driver.starts(&JobId::new(&name)).into_iter().map(|(host, _)| host).collect();
        hosts.sort();
        hosts.dedup();
        assert_eq!(hosts.len(), 3, "each attempt on another worker");
    }
    assert!(driver.reports.is_empty());
}

/// Guards against failures with a common cause that quarantine the whole fleet.
#[test]
fn jobs_quarantine_is_limited() {
    let mut driver = Driver::new(4);
    for application in 0..4 {
        let name = format!("ok{application}");
        driver.start(of_application(&name, application));
        driver.end(&name, TaskEnd::Succeeded);
    }
    for number in 0..60 {
        let name = format!("j{number}");
        driver.start(of_application(&name, number % 4));
        let attempts = driver.starts(&JobId::new(&name)).len();
        if attempts > 0 {
            driver.end(&name, TaskEnd::Failed);
        }
    }
    assert!(driver.quarantined().len() <= 1, "{:?}", driver.reports);
}

/// Guards against a second run while the first may still go on, and against any
/// second run of a non-repeatable job.
#[rstest]
#[case(true)]
#[case(false)]
fn jobs_of_a_lost_worker_run_again_only_after_its_lease(#[case] repeatable: bool) {
    let mut driver = Driver::new(2);
    let name = JobId::new("job");
    let lost = driver.start(JobSpec { repeatable, ..job("job", 5) }).expect("started");
    driver.silent.insert(lost.clone());
    driver.advance(LEASE_MS);
    assert_eq!(driver.starts(&name).len(), 1);
    driver.advance(2 * LEASE_MS);
    let hosts: Vec<_> = driver.starts(&name).into_iter().map(|(host, _)| host).collect();
    if repeatable {
        assert!(hosts.len() == 2 && hosts[1] != lost);
    } else {
        assert_eq!(hosts, [lost]);
        assert_eq!(driver.ended, [(name, JobOutcome::Unknown)]);
    }
}

/// Guards against a cancellation that has no effect because it overtakes the
/// start.
#[test]
fn jobs_cancelled_while_starting_are_stopped_until_they_end() {
    let mut driver = Driver::new(1);
    let name = JobId::new("job");
    driver.silent.insert(host(0));
    driver.start(job("job", 5));
    driver.handle(JobsEvent::Cancelled { jobs: vec![name.clone()] });
    driver.silent.clear();
    let stops = |driver: &Driver| {
        let is_stop = |command: &WorkerCommand| matches!(command, WorkerCommand::Stop { .. });
        driver.commands.iter().filter(|(_, command)| is_stop(command)).count()
    };
    assert_eq!(stops(&driver), 1);
    driver.advance(1_100);
    assert_eq!(stops(&driver), 3, "again every half second");
    driver.end("job", TaskEnd::Stopped);
    assert_eq!(driver.ended, [(name, JobOutcome::Cancelled)]);
    driver.advance(5_000);
    assert_eq!(stops(&driver), 3);
}

/// Guards against the timer of an earlier lease that is taken for the expiry of
/// a renewed one.
#[test]
fn jobs_of_a_worker_lost_twice_wait_for_its_last_lease() {
    let mut driver = Driver::new(2);
    let name = JobId::new("job");
    let lost = driver.start(job("job", 5)).expect("started");
    driver.silent.insert(lost.clone());
    driver.advance(15_000);
    driver.silent.clear();
    driver.report("job", super::driver::size(5, 5), 15_000);
    driver.advance(12_000);
    driver.silent.insert(lost);
    let last_contact_ms = driver.now_ms;
    driver.advance(LEASE_MS);
    assert_eq!(driver.starts(&name).len(), 1, "contact at {last_contact_ms} ms");
    driver.advance(2 * LEASE_MS);
    assert_eq!(driver.starts(&name).len(), 2);
}

/// Guards against a worker that was briefly unreachable and loses its tasks or
/// gets no new ones.
#[test]
fn jobs_of_a_worker_that_returns_in_time_go_on() {
    let mut driver = Driver::new(1);
    driver.start(job("job", 5));
    driver.silent.insert(host(0));
    driver.advance(15_000);
    driver.silent.clear();
    driver.report("job", super::driver::size(5, 5), 15_000);
    driver.advance(3 * LEASE_MS);
    assert_eq!(driver.starts(&JobId::new("job")).len(), 1);
    assert!(driver.start(job("next", 4)).is_some());
}
