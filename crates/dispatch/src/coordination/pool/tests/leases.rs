//! Leases of workers, and the clocks that they are measured on.

use rstest::rstest;
use tamarackproxy::state::ids::RecordVersion;

use super::driver::{BORN, Driver, JOB, UNIX_ORIGIN_MS, entry, report};
use crate::coordination::pool::{
    PollFailure, Recovered, StoredJob,
    lease::{ClockOrigin, WorkerClock},
};
use crate::replay::pool::{job, queue, step};
use crate::state::{JobRecord, JobState, Roster, RosterEntry};

/// Guards against a reply of a new incarnation, whose clock starts anew, that is
/// taken for one of the known incarnation, and against the reverse.
#[rstest]
#[case::in_step(500_000, 2_000, 502_000, ClockOrigin::Known)]
#[case::slow_clock(500_000, 2_000, 501_960, ClockOrigin::Known)]
#[case::overtaken_by_the_report(500_000, 0, 499_400, ClockOrigin::Known)]
#[case::restarted(500_000, 2_000, 300, ClockOrigin::Other)]
#[case::ahead(500_000, 2_000, 600_000, ClockOrigin::Other)]
#[case::young_and_restarted(1_500, 2_000, 400, ClockOrigin::Other)]
#[case::young(1_500, 2_000, 2_900, ClockOrigin::Ambiguous)]
fn clock_tells_the_incarnation(
    #[case] reported_ms: u64,
    #[case] after_ms: u64,
    #[case] clock_ms: u64,
    #[case] expected: ClockOrigin,
) {
    let clock = WorkerClock::new(reported_ms, 10_000);
    assert_eq!(clock.origin(10_000 + after_ms, clock_ms), expected);
}

/// Guards against a successor that starts a task of a worker which it never reaches
/// while that worker, restarted under its name, runs it under the longest lease; and
/// against a longer wait for other workers.
#[rstest]
#[case::restarted(BORN + 1_000, 18_600)]
#[case::not_restarted(BORN, 12_000)]
fn successor_waits_for_the_lease_of_a_worker_that_it_never_reaches(
    #[case] born_unix_ms: u64,
    #[case] until_ms: u64,
) {
    let lost = entry(0, born_unix_ms);
    let (worker, host) = (lost.worker.clone(), lost.host.clone());
    let roster = Roster { workers: vec![RosterEntry { worker, host, born_unix_ms: BORN }] };
    let record = JobRecord {
        queue: queue(),
        account: None,
        accepted_unix_ms: UNIX_ORIGIN_MS,
        state: JobState::Live(job(vec![step(1, 1_000, 2_000)])),
    };
    let jobs = vec![StoredJob { number: JOB, version: RecordVersion(1), record }];
    let recovered = Recovered { jobs, roster, ..Recovered::default() };
    let mut driver = Driver::recovered(&[lost, entry(1, BORN)], recovered);
    while driver.starts.is_empty() {
        driver.run_ms(100);
        driver.answer("w0", Err(PollFailure::Unreachable));
        driver.answer("w1", Ok(report(BORN, 500_000 + driver.now_ms, Vec::new())));
        assert!(driver.now_ms < 20_000, "the task is not started");
    }
    assert!((until_ms..until_ms + 300).contains(&driver.now_ms), "{}", driver.now_ms);
}
