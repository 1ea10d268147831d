//! Tests of durable acceptance and of controller changes.

use std::rc::Rc;

use rstest::rstest;

use super::driver::{Driver, job, size};
use crate::{
    coordination::jobs::{
        JobOutcome, JobRefusal, JobSpec, JobsEvent, JobsReport, LEASE_MS, TaskEnd, UsageReport,
    },
    state::ids::JobId,
};

/// Guards against an accepted job that is lost when its controller dies.
#[test]
fn jobs_are_accepted_only_when_durable() {
    let mut driver = Driver::new(1);
    driver.hold_writes = true;
    driver.submit(job("job", 1));
    driver.advance(1_000);
    assert!(driver.accepted.is_empty() && driver.commands.is_empty());
    driver.release_held();
    driver.advance(100);
    assert_eq!((driver.accepted.len(), driver.commands.len()), (1, 1));
}

/// Guards against a separate store write per submission.
#[test]
fn jobs_submitted_together_share_a_write() {
    let mut driver = Driver::new(1);
    let before = driver.store.borrow().writes;
    for number in 0..100 {
        driver.submit(job(&format!("j{number}"), 1));
    }
    driver.advance(200);
    assert_eq!(driver.accepted.len(), 100);
    assert!(driver.store.borrow().writes - before <= 2);
}

/// Guards against a submission that is refused, or written twice, when the
/// reply to its write is lost.
#[test]
fn jobs_lost_reply_of_a_write_is_read_back() {
    let mut driver = Driver::new(1);
    driver.lose_replies = true;
    let before = driver.store.borrow().writes;
    driver.submit(job("job", 1));
    driver.advance(500);
    assert_eq!(driver.accepted.len(), 1);
    assert_eq!(driver.store.borrow().writes - before, 1);
}

/// Guards against submissions that hang or are accepted while the store is
/// down, and against a refused resubmission of a job that was saved.
#[test]
fn jobs_submitted_while_the_store_is_down_are_refused() {
    let mut driver = Driver::new(1);
    driver.store_down = true;
    driver.submit(job("first", 1));
    driver.advance(10_000);
    driver.submit(job("second", 1));
    assert_eq!(driver.refused, [JobRefusal::StoreUnavailable; 2]);
    driver.store_down = false;
    driver.advance(5_000);
    driver.submit(job("first", 1));
    assert_eq!((driver.accepted.len(), driver.starts(&JobId::new("first")).len()), (1, 1));
}

/// Guards against a new controller that runs a job twice or loses it after the
/// previous one died.
#[rstest]
#[case(true, true)]
#[case(true, false)]
#[case(false, true)]
#[case(false, false)]
fn jobs_of_a_former_controller(#[case] repeatable: bool, #[case] reported: bool) {
    let mut previous = Driver::new(2);
    let name = JobId::new("job");
    let worker = previous.start(JobSpec { repeatable, ..job("job", 5) }).expect("started");
    let mut driver = Driver::with_store(2, 2, Rc::clone(&previous.store));
    if reported {
        let used = size(5, 5);
        let reports = vec![UsageReport { job: name.clone(), attempt: 1, used, ran_ms: 5_000 }];
        driver.handle(JobsEvent::UsageReported { host: worker.clone(), reports });
    }
    driver.advance(LEASE_MS);
    assert!(driver.starts(&name).is_empty(), "the previous lease may still be valid");
    driver.advance(LEASE_MS);
    match (reported, repeatable) {
        (true, _) => {
            let end = TaskEnd::Succeeded;
            let event = JobsEvent::TaskEnded { host: worker, job: name.clone(), attempt: 1, end };
            driver.handle(event);
            assert_eq!(driver.ended, [(name, JobOutcome::Succeeded)]);
        }
        (false, true) => assert_eq!(driver.starts(&name).len(), 1),
        (false, false) => assert_eq!(driver.ended, [(name, JobOutcome::Unknown)]),
    }
}

/// Guards against a paused controller that starts a job which its successor
/// starts too.
#[test]
fn jobs_paused_controller_starts_nothing_that_its_successor_starts() {
    let mut previous = Driver::new(1);
    let name = JobId::new("once");
    previous.start(job("block", 10));
    previous.start(JobSpec { repeatable: false, ..job("once", 10) });
    previous.hold_writes = true;
    previous.end("block", TaskEnd::Succeeded);
    previous.advance(100);
    let mut driver = Driver::with_store(1, 2, Rc::clone(&previous.store));
    previous.release_held();
    previous.advance(1_000);
    driver.advance(3 * LEASE_MS);
    assert_eq!((previous.starts(&name).len(), driver.starts(&name).len()), (0, 1));
    assert_eq!(previous.reports, [JobsReport::Fenced]);
}

/// Guards against ended jobs that stay in the store forever.
#[test]
fn jobs_that_ended_leave_the_store() {
    let mut driver = Driver::new(4);
    for number in 0..300 {
        let name = format!("j{number}");
        assert!(driver.start(job(&name, 1)).is_some());
        driver.end(&name, TaskEnd::Succeeded);
    }
    driver.advance(5_000);
    let mut next = Driver::with_store(4, 2, Rc::clone(&driver.store));
    next.advance(3 * LEASE_MS);
    assert!(next.commands.is_empty());
    assert_eq!(next.start(job("j0", 1)).map(|_| ()), Some(()), "the name is free again");
}
