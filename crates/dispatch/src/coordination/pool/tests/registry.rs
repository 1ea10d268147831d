//! Registry entries of other writers: what an entry says of another worker, or of
//! another incarnation of one, counts for nothing until its worker has answered.

use rstest::rstest;
use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{HostId, PoolId, RecordVersion, WorkerId},
};

use super::driver::{BORN, Driver, JOB, entry, report, running};
use crate::coordination::pool::placement::takes_work;
use crate::coordination::pool::{OrderTarget, PollFailure, Recovered, RunningTask, StoredJob};
use crate::replay::pool::{job, queue, step, task};
use crate::state::{JobRecord, JobSpec, JobState, Roster, RosterEntry, WorkerEntry};

/// Has a task of its own started on a worker that answers.
fn start_task(driver: &mut Driver) -> OrderTarget {
    driver.answer("w0", Ok(report(BORN, 500_000, Vec::new())));
    driver.run_ms(60);
    driver.submit(job(vec![step(1, 1_000, 20_000)]));
    driver.run_ms(20);
    let (_, target) = driver.starts[0].clone();
    driver.accept_starts();
    target
}

/// Answers the polls of a worker for `duration_ms`; those of `silent` have no reply.
fn serve(
    driver: &mut Driver,
    name: &str,
    born_unix_ms: u64,
    listed: &[RunningTask],
    silent: &[&str],
    duration_ms: u64,
) {
    for _ in 0..duration_ms / 100 {
        driver.run_ms(100);
        // Another incarnation under the same name does not answer.
        let known = driver.key(name);
        driver.polls.sort_by_key(|(to, _)| Some(to.key) != known);
        let clock_ms = 500_000 + driver.now_ms;
        driver.answer(name, Ok(report(born_unix_ms, clock_ms, listed.to_vec())));
        for other in silent {
            driver.answer(other, Err(PollFailure::Unreachable));
        }
    }
}

/// An entry of another writer that names the host of worker 0.
fn other_entry() -> WorkerEntry {
    WorkerEntry { host: HostId::new("h0"), ..entry(9, BORN + 60_000) }
}

fn in_unknown_pool() -> WorkerEntry {
    WorkerEntry { pool: PoolId::new("elsewhere"), ..other_entry() }
}

fn with_latest_start() -> WorkerEntry {
    WorkerEntry { born_unix_ms: u64::MAX, ..other_entry() }
}

fn with_own_name() -> WorkerEntry {
    let address = "10.0.9.9:1".parse().expect("an address");
    WorkerEntry { address, ..entry(0, u64::MAX) }
}

fn with_own_address() -> WorkerEntry {
    entry(0, BORN + 60_000)
}

/// Guards against a second run of a task whose worker is up, because another
/// writer's entry shows a later start on its host or under its name.
#[rstest]
#[case::unknown_pool(in_unknown_pool())]
#[case::own_pool(other_entry())]
#[case::start_out_of_range(with_latest_start())]
#[case::own_name(with_own_name())]
#[case::own_address(with_own_address())]
fn entry_of_another_writer_ends_no_run(#[case] odd: WorkerEntry) {
    let mut driver = Driver::new(&[entry(0, BORN), entry(1, BORN)]);
    driver.answer("w1", Ok(report(BORN, 500_000, Vec::new())));
    let target = start_task(&mut driver);
    let listed = [running(task(JOB, 0, 0), &target)];
    let (name, host) = match target.worker {
        key if driver.key("w0") == Some(key) => ("w0", "h0"),
        _ => ("w1", "h1"),
    };
    let mut odd = odd;
    if odd.worker.as_str() == "w0" {
        odd.worker = WorkerId::new(name);
    }
    odd.host = HostId::new(host);
    let mut entries = vec![entry(0, BORN), entry(1, BORN)];
    entries.retain(|entry| entry.worker != odd.worker);
    entries.push(odd);
    driver.register(&entries);
    serve(&mut driver, name, BORN, &listed, &["w9"], 8_000);
    assert!(driver.starts.is_empty(), "the task is started again: {:?}", driver.starts);
    assert!(driver.stops.is_empty(), "the run is stopped");
    let key = driver.key(name).and_then(|key| driver.engine.workers.get(key));
    let worker = key.expect("the worker is known");
    assert_eq!((worker.entry.born_unix_ms, worker.runs.len()), (BORN, 1));
    // The worker takes new tasks once its own entry is back.
    driver.register(&[entry(0, BORN), entry(1, BORN)]);
    serve(&mut driver, name, BORN, &listed, &[], 500);
    let worker = driver.key(name).and_then(|key| driver.engine.workers.get(key));
    assert!(worker.is_some_and(|it| takes_work(it, driver.now_ms)));
}

/// Guards against a task that waits for the end of a lease although a later
/// incarnation on its worker's host answers and the worker does not.
#[test]
fn confirmed_incarnation_supersedes_a_silent_one() {
    let mut driver = Driver::new(&[entry(0, BORN)]);
    start_task(&mut driver);
    driver.run_ms(100);
    driver.answer("w0", Err(PollFailure::Unreachable));
    let later = WorkerEntry { host: HostId::new("h0"), ..entry(1, BORN + 2_000) };
    driver.register(&[entry(0, BORN), later]);
    driver.run_ms(20);
    assert!(driver.starts.is_empty(), "the later incarnation has not answered");
    driver.answer("w1", Ok(report(BORN + 2_000, 100, Vec::new())));
    driver.run_ms(100);
    assert_eq!(driver.starts.len(), 1, "the task waits");
    assert_eq!(driver.starts[0].0.worker.as_str(), "w1");
}

/// Guards against a run that is given up because the entry of a worker that is up
/// names a host on which another worker is up as well.
#[test]
fn worker_that_answers_is_not_superseded() {
    let mut driver = Driver::new(&[entry(0, BORN)]);
    let target = start_task(&mut driver);
    let listed = [running(task(JOB, 0, 0), &target)];
    let other = WorkerEntry { host: HostId::new("h0"), ..entry(1, BORN + 2_000) };
    driver.register(&[entry(0, BORN), other.clone()]);
    driver.run_ms(20);
    driver.answer("w1", Ok(report(BORN + 2_000, 100, Vec::new())));
    serve(&mut driver, "w0", BORN, &listed, &[], 2_000);
    driver.register(&[entry(0, BORN), WorkerEntry { host: HostId::new("h1"), ..other }]);
    serve(&mut driver, "w0", BORN, &listed, &[], 500);
    assert!(driver.starts.is_empty(), "the task is started again: {:?}", driver.starts);
    let worker = driver.key("w0").and_then(|key| driver.engine.workers.get(key));
    assert!(worker.is_some_and(|it| takes_work(it, driver.now_ms)));
}

fn waiting_job(spec: JobSpec) -> StoredJob {
    let state = JobState::Live(spec);
    let record = JobRecord { queue: queue(), account: None, accepted_unix_ms: BORN, state };
    StoredJob { number: JOB, version: RecordVersion(1), record }
}

/// Guards against a new controller that starts nothing for seconds because an entry
/// in its pool names a worker that never answers.
#[test]
fn entry_without_a_worker_does_not_delay_a_successor() {
    let rostered =
        RosterEntry { worker: entry(0, BORN).worker, host: HostId::new("h0"), born_unix_ms: BORN };
    let recovered = Recovered {
        jobs: vec![waiting_job(job(vec![step(1, 1_000, 2_000)]))],
        roster: Roster { workers: vec![rostered] },
        ..Recovered::default()
    };
    let mut driver = Driver::recovered(&[entry(0, BORN), other_entry()], recovered);
    driver.answer("w9", Err(PollFailure::Unreachable));
    serve(&mut driver, "w0", BORN, &[], &["w9"], 500);
    assert_eq!(driver.starts.len(), 1, "the task waits for a worker that does not exist");
    let stored = driver.engine.roster();
    assert!(stored.workers.iter().all(|it| it.worker.as_str() == "w0"), "{stored:?}");
}

/// Guards against capacity in the pool's load that no worker has.
#[test]
fn entry_without_a_worker_adds_no_capacity() {
    let mut driver = Driver::new(&[entry(0, BORN)]);
    driver.answer("w0", Ok(report(BORN, 500_000, Vec::new())));
    driver.run_ms(100);
    let before = driver.engine.load(driver.now_ms);
    let largest = Resources::new(u64::MAX, u64::MAX, u32::MAX);
    driver.register(&[entry(0, BORN), WorkerEntry { capacity: largest, ..other_entry() }]);
    serve(&mut driver, "w0", BORN, &[], &["w9"], 300);
    assert_eq!(driver.engine.load(driver.now_ms), before);
    driver.submit(job(vec![step(40, 8_000, 20_000)]));
    driver.run_ms(300);
    let overload = driver.engine.load(driver.now_ms).overload;
    let largest = overload.map(|overload| overload.largest_worker);
    assert_eq!(largest, Some(entry(0, BORN).capacity));
}
