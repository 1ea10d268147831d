//! Tests of the earliest start of a new job.

use super::super::bound::Contest;
use crate::state::WaitingWork;

fn contest() -> Contest {
    Contest {
        cores: 10.0,
        priority: 1,
        cost_core_ms: 1_000,
        task_millicores: 2_000,
        arrives_ms: 0,
        timely_ms: 1_000,
    }
}

/// Work of 4 s for the pool that goes before the job for as long as is given.
fn work(timely_ms: u64, useful_ms: u64) -> WaitingWork {
    WaitingWork {
        account: None,
        priority: 1,
        cost_core_ms: 1_000,
        task_millicores: 2_000,
        timely_ms,
        useful_ms,
        core_ms: 40_000,
    }
}

fn assert_start(contest: &Contest, waiting: &[WaitingWork], expected_ms: f64) {
    let start_ms = contest.start_ms(waiting);
    assert!((start_ms - expected_ms).abs() < 1.0, "{start_ms} instead of {expected_ms}");
}

/// Guards against a wait that leaves out work which certainly goes first.
#[test]
fn work_before_the_job_is_served_first() {
    assert_start(&contest(), &[work(9_000, 9_000)], 4_000.0);
    assert_start(&contest(), &[work(9_000, 9_000), work(9_000, 9_000)], 8_000.0);
}

/// Guards against a job that counts as waiting behind work which it passes: it can
/// still meet its objective and that work cannot.
#[test]
fn timely_job_passes_late_work() {
    assert_start(&contest(), &[work(0, 9_000)], 0.0);
    assert_start(&contest(), &[work(600, 9_000)], 600.0);
}

/// Guards against late work that is left out once the job is late as well.
#[test]
fn late_job_waits_for_late_work() {
    assert_start(&contest(), &[work(1_000, 9_000)], 4_000.0);
}

/// Guards against waiting for work that stands aside when it is overdue.
#[test]
fn overdue_work_stands_aside() {
    assert_start(&contest(), &[work(1_000, 2_500)], 2_500.0);
}

/// Guards against waiting for work that does not certainly go before the job: of
/// lower priority, dearer, or of tasks that fit into none of the gaps.
#[test]
fn work_behind_the_job_does_not_count() {
    let work = work(9_000, 9_000);
    assert_start(&contest(), &[WaitingWork { priority: 2, cost_core_ms: 1, ..work.clone() }], 0.0);
    assert_start(&contest(), &[WaitingWork { cost_core_ms: 1_001, ..work.clone() }], 0.0);
    assert_start(&contest(), &[WaitingWork { task_millicores: 3_000, ..work.clone() }], 0.0);
    let dear = WaitingWork { priority: 0, cost_core_ms: 9_000, ..work };
    assert_start(&contest(), &[dear], 4_000.0);
}

/// Guards against work that counts although it was served before the job arrived.
#[test]
fn work_is_served_before_the_job_arrives() {
    let later = Contest { arrives_ms: 1_500, timely_ms: 500, ..contest() };
    assert_start(&later, &[work(9_000, 9_000)], 4_000.0);
    assert_start(&Contest { arrives_ms: 5_000, ..later }, &[work(9_000, 9_000)], 5_000.0);
}
