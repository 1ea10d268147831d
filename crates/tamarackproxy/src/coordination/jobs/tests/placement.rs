//! Tests of refusals, quotas, spreading, size estimates and preemption.

use std::collections::BTreeMap;

use proptest::prelude::{any, prop_assert, proptest};
use rstest::rstest;

use super::driver::{Driver, START_UNIX_MS, host, job, size, workers};
use crate::{
    coordination::jobs::{
        JobOutcome, JobRefusal, JobSpec, JobsEvent, JobsReport, Resources, TaskEnd, WorkerCommand,
        index::CapacityIndex,
    },
    state::{
        document::Urgency,
        ids::{JobId, TeamId},
    },
};

fn urgent(name: &str, cores: u64) -> JobSpec {
    JobSpec { urgency: Urgency::Urgent, ..job(name, cores) }
}

fn bulk(name: &str, cores: u64) -> JobSpec {
    JobSpec { urgency: Urgency::Bulk, ..job(name, cores) }
}

/// Guards against jobs that wait forever because they can never run.
#[rstest]
#[case(job("x", 11), JobRefusal::NoWorkerLargeEnough)]
#[case(job("x", 41), JobRefusal::AboveQuota)]
#[case(job("x", 0), JobRefusal::EmptySize)]
#[case(JobSpec { team: TeamId::new("c"), ..job("x", 1) }, JobRefusal::NoQuota)]
fn jobs_that_can_never_run_are_refused(#[case] spec: JobSpec, #[case] refusal: JobRefusal) {
    let mut driver = Driver::new(2);
    driver.submit(spec);
    driver.advance(100);
    assert_eq!((driver.refused, driver.accepted.len()), (vec![refusal], 0));
}

/// Guards against a job that waits without a report after the last worker large
/// enough for it is gone.
#[test]
fn jobs_impossible_after_a_change_are_reported() {
    let mut driver = Driver::new(1);
    driver.start(job("first", 10));
    driver.start(job("second", 10));
    let mut listed = workers(1);
    listed[0].total = size(4, 4);
    driver.handle(JobsEvent::WorkersListed { workers: listed });
    driver.advance(5_000);
    assert_eq!(driver.reports, [JobsReport::Impossible { job: JobId::new("second") }]);
}

/// Guards against a team that exceeds its quota, and against a team at its quota
/// that blocks others.
#[test]
fn jobs_of_a_team_stay_within_its_quota() {
    let mut driver = Driver::new(8);
    for number in 0..6 {
        driver.start(job(&format!("a{number}"), 10));
    }
    let started = |driver: &Driver| driver.commands.iter().filter(|(_, c)| is_start(c)).count();
    assert_eq!(started(&driver), 3, "90% of the quota of 40 cores for normal jobs");
    driver.start(JobSpec { team: TeamId::new("b"), ..job("b", 10) });
    assert_eq!(started(&driver), 4);
    driver.end("a0", TaskEnd::Succeeded);
    assert_eq!(started(&driver), 5);
}

fn is_start(command: &WorkerCommand) -> bool {
    matches!(command, WorkerCommand::Start { .. })
}

/// Guards against an application whose tasks all run in one rack and fail with
/// it.
#[test]
fn jobs_of_one_application_are_spread_over_racks() {
    let mut driver = Driver::new(16);
    let mut racks = BTreeMap::<u32, u32>::new();
    for number in 0..8 {
        let worker = driver.start(job(&format!("j{number}"), 4)).expect("started");
        let number: u32 = worker.as_str()[1..].parse().expect("a number");
        *racks.entry(number / 4).or_default() += 1;
    }
    assert!(racks.len() >= 3 && racks.values().all(|&count| count <= 4), "{racks:?}");
}

/// Guards against reservations that keep the declared size although usage
/// reports show a smaller or larger one.
#[rstest]
#[case(size(2, 2), 3)]
#[case(size(6, 6), 1)]
fn jobs_sizes_follow_usage_reports(#[case] used: Resources, #[case] fitting: usize) {
    let mut driver = Driver::new(1);
    driver.start(job("first", 5));
    driver.report("first", used, 60_000);
    for number in 0..3 {
        driver.start(job(&format!("next{number}"), 2));
    }
    // The 10 cores hold the first job at its corrected size, and further jobs
    // of 2 cores each, scaled by the learnt factor.
    let started = driver.commands.iter().filter(|(_, command)| is_start(command)).count() - 1;
    assert_eq!(started, fitting, "{:?}", driver.commands);
}

/// Guards against stopping tasks for an urgent job where throttling is enough,
/// and against throttles that remain afterwards.
#[test]
fn jobs_urgent_throttles_before_it_stops() {
    let mut driver = Driver::new(1);
    driver.start(JobSpec { declared: size(10, 2), ..bulk("bulk", 10) });
    driver.start(JobSpec { declared: size(4, 2), ..urgent("urgent", 4) });
    let (name, attempt) = (JobId::new("bulk"), 1);
    let throttle =
        |cpu_millicores| WorkerCommand::Throttle { job: name.clone(), attempt, cpu_millicores };
    assert_eq!(driver.commands[1], (host(0), throttle(2_500)));
    assert!(is_start(&driver.commands[2].1));
    driver.end("urgent", TaskEnd::Succeeded);
    assert_eq!(driver.commands.last(), Some(&(host(0), throttle(10_000))));
}

/// Guards against lost work where a task can save a checkpoint, and against an
/// urgent job that waits forever for a checkpoint that is not saved.
#[rstest]
#[case(true)]
#[case(false)]
fn jobs_urgent_lets_tasks_save_their_state_then_stops_them(#[case] saves: bool) {
    let mut driver = Driver::new(1);
    driver.start(JobSpec { checkpoints: true, ..bulk("bulk", 10) });
    driver.start(urgent("urgent", 8));
    let (job, attempt) = (JobId::new("bulk"), 1);
    let checkpoint = WorkerCommand::Checkpoint { job: job.clone(), attempt };
    assert_eq!(driver.commands.last(), Some(&(host(0), checkpoint)));
    if !saves {
        driver.advance(500);
        let stop = WorkerCommand::Stop { job: job.clone(), attempt };
        assert_eq!(driver.commands.last(), Some(&(host(0), stop)));
    }
    driver.end("bulk", if saves { TaskEnd::Checkpointed } else { TaskEnd::Stopped });
    assert_eq!(driver.starts(&JobId::new("urgent")).len(), 1);
    driver.end("urgent", TaskEnd::Succeeded);
    let restart = driver.commands.iter().rev().find(|(_, command)| is_start(command));
    assert!(matches!(restart, Some((_, WorkerCommand::Start { job: name, from_checkpoint, .. }))
        if *name == job && *from_checkpoint == saves));
}

/// Guards against stopping tasks that cannot run again.
#[test]
fn jobs_urgent_leaves_unrepeatable_tasks_alone() {
    let mut driver = Driver::new(1);
    driver.start(JobSpec { repeatable: false, ..bulk("bulk", 10) });
    driver.start(urgent("urgent", 8));
    driver.advance(5_000);
    assert!(driver.starts(&JobId::new("urgent")).is_empty());
    assert_eq!(driver.commands.iter().filter(|(_, c)| !is_start(c)).count(), 0);
}

/// Guards against a job with a due time, such as a nightly payout, that misses it
/// without a report.
#[test]
fn jobs_overdue_work_is_reported_once() {
    let mut driver = Driver::new(1);
    driver.start(JobSpec { repeatable: false, ..job("long", 10) });
    let due_unix_ms = Some(START_UNIX_MS + driver.now_ms + 90_000);
    driver.start(JobSpec { due_unix_ms, ..job("payout", 5) });
    driver.advance(25_000);
    assert!(driver.reports.is_empty());
    driver.advance(200_000);
    let report = JobsReport::Overdue { job: JobId::new("payout"), running: 0 };
    assert_eq!(driver.reports, [report]);
}

/// Guards against cancelled jobs that keep running when the cancellation races
/// with their start, and against jobs that end more than once.
#[test]
fn jobs_cancelled_in_a_wave_end_once_at_every_stage() {
    let mut driver = Driver::new(3);
    for number in 0..6 {
        driver.start(job(&format!("j{number}"), 10));
    }
    driver.silent.insert(host(9));
    driver.submit(job("late", 10));
    let names = (0..6).map(|number| JobId::new(format!("j{number}")));
    let jobs: Vec<JobId> = names.chain([JobId::new("late")]).collect();
    let before = driver.commands.len();
    driver.handle(JobsEvent::Cancelled { jobs: jobs.clone() });
    driver.advance(100);
    assert_eq!(driver.commands.len() - before, 3, "one stop for each running task");
    for number in 0..3 {
        driver.end(&format!("j{number}"), TaskEnd::Stopped);
    }
    driver.handle(JobsEvent::Cancelled { jobs: jobs.clone() });
    driver.advance(2_000);
    let mut ended = driver.ended.clone();
    ended.sort();
    let expected: Vec<_> = jobs.into_iter().map(|job| (job, JobOutcome::Cancelled)).collect();
    assert_eq!(ended, expected);
}

proptest! {
    /// Guards against an index that loses workers when their capacity changes.
    #[test]
    fn jobs_index_finds_room_after_any_changes(
        changes in proptest::collection::vec((0u32..20, any::<bool>(), 1u64..64), 1..200),
    ) {
        let mut index = CapacityIndex::new();
        let mut capacities = BTreeMap::new();
        for (worker, present, cores) in changes {
            let capacity = size(cores, 64);
            index.set(worker, present.then_some(&capacity));
            capacities.insert(worker, present.then_some(capacity));
        }
        for (&worker, capacity) in &capacities {
            let Some(capacity) = capacity else { continue };
            // A quarter of the capacity is in a lower size class, so sampling cannot
            // miss the worker.
            let demand = size(capacity.cpu_millicores / 4_000, 1);
            let found = index.search(&demand, worker as usize, |number| {
                capacities[&number].as_ref().is_some_and(|capacity| demand.fits_in(capacity))
            });
            prop_assert!(!found.is_empty());
        }
    }
}
