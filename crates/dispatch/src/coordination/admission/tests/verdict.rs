//! Tests of verdicts on submissions.

use rstest::rstest;
use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{AccountId, PoolId, QueueId, RecordVersion},
};

use super::super::{AdmissionEngine, NewJob, Surroundings, Verdict};
use crate::{
    replay::pool::{job, lasting, pool, step},
    state::{
        AccountSettings, Accounts, JobSpec, Overload, PoolLoad, QueueMeans, QueueSettings,
        Schedule, StepSpec, WaitingWork,
    },
};

const CAPACITY_MILLICORES: u64 = 64_000;
/// When the second read of the summaries is sent.
const READ_MS: u64 = 10_000;

fn queue() -> QueueSettings {
    QueueSettings {
        queue: QueueId::new("q"),
        authority: "".into(),
        path_prefix: "".into(),
        pool: pool(),
        priority: 0,
        attempts_max: 2,
        stretch: 1.6,
        objective_ms: 600,
        advice: None,
        is_public: false,
    }
}

/// A job of one task for 500 ms; its objective is 1.4 s.
fn spec() -> JobSpec {
    job(vec![step(1, 2_000, 500)])
}

/// Work that takes the pool this long and goes before the job.
fn waiting(account: Option<&str>, time_ms: u64) -> WaitingWork {
    WaitingWork {
        account: account.map(AccountId::new),
        priority: 0,
        cost_core_ms: 1,
        task_millicores: 2_000,
        timely_ms: 60_000,
        useful_ms: 60_000,
        core_ms: time_ms * CAPACITY_MILLICORES / 1_000,
    }
}

fn load(waiting: Vec<WaitingWork>) -> PoolLoad {
    let accounts = waiting.iter().filter_map(|work| work.account.clone()).collect();
    let overload = Overload {
        clock_s: 0,
        ended_millicores: 0,
        free_millicores: 1_000,
        largest_worker: Resources::new(16_000, 64 << 30, 0),
        queues: Vec::<QueueMeans>::new(),
        accounts,
        waiting,
    };
    PoolLoad {
        capacity_millicores: CAPACITY_MILLICORES,
        joining_millicores: 0,
        overload: Some(overload),
    }
}

/// Returns an engine that has read two summaries, the latter of them with this
/// load.
fn engine(load: PoolLoad) -> AdmissionEngine {
    let mut engine = AdmissionEngine::default();
    engine.on_summaries(READ_MS - 1_000, [(pool(), RecordVersion(1), load.clone())]);
    engine.on_summaries(READ_MS, [(pool(), RecordVersion(2), load)]);
    engine
}

fn alone() -> Surroundings<'static> {
    Surroundings { accounts: None, has_other_pools: false, random: 0.0 }
}

fn decide(engine: &AdmissionEngine, now_ms: u64, spec: &JobSpec) -> Verdict {
    engine.decide(now_ms, &NewJob { queue: &queue(), account: None, spec }, &alone())
}

fn is_rejected(load: PoolLoad, spec: &JobSpec) -> bool {
    matches!(decide(&engine(load), READ_MS, spec), Verdict::Reject(_))
}

/// Guards against work that ends too late for its callers without benefit.
#[test]
fn job_behind_more_work_than_callers_wait_for_is_rejected() {
    let Verdict::Reject(rejection) =
        decide(&engine(load(vec![waiting(None, 5_000)])), READ_MS, &spec())
    else {
        panic!("the job is accepted")
    };
    // Of the 5 s, 300 ms may have passed before the summary was read.
    assert_eq!(rejection.end_ms, 5_200);
    assert_eq!(rejection.objective_ms, 1_400);
    assert_eq!(rejection.retry_after_ms, 4_000);
    assert_eq!(rejection.age_ms, 1_000);
}

/// Guards against the rejection of a job that callers still benefit from.
#[test]
fn late_job_is_accepted() {
    let verdict = decide(&engine(load(vec![waiting(None, 3_500)])), READ_MS, &spec());
    assert_eq!(verdict, Verdict::Admit { retry_after_ms: Some(3_000) });
    let verdict = decide(&engine(load(vec![waiting(None, 500)])), READ_MS, &spec());
    assert_eq!(verdict, Verdict::Admit { retry_after_ms: None });
}

/// Guards against a rejection by knowledge that may be outdated.
#[test]
fn stale_knowledge_rejects_nothing() {
    let load = load(vec![waiting(None, 60_000)]);
    let mut engine = engine(load.clone());
    assert!(matches!(decide(&engine, READ_MS + 1_000, &spec()), Verdict::Reject(_)));
    assert!(matches!(decide(&engine, READ_MS + 1_001, &spec()), Verdict::Admit { .. }));
    // A controller that is gone leaves its last summary.
    engine.on_summaries(READ_MS + 1_000, [(pool(), RecordVersion(2), load.clone())]);
    assert!(matches!(decide(&engine, READ_MS + 1_001, &spec()), Verdict::Admit { .. }));
    engine.on_summaries(READ_MS + 2_000, [(pool(), RecordVersion(3), load.clone())]);
    assert!(matches!(decide(&engine, READ_MS + 2_001, &spec()), Verdict::Reject(_)));
    // The age of the first summary read is unknown.
    let mut first = AdmissionEngine::default();
    first.on_summaries(READ_MS, [(pool(), RecordVersion(2), load)]);
    assert!(matches!(decide(&first, READ_MS, &spec()), Verdict::Admit { .. }));
}

/// Guards against a rejection while there is room for the job, and without any
/// knowledge of its pool.
#[test]
fn free_room_and_unknown_pools_reject_nothing() {
    let mut with_room = load(vec![waiting(None, 60_000)]);
    with_room.overload.as_mut().expect("an overload").free_millicores = 2_000;
    assert!(!is_rejected(with_room, &spec()));
    assert!(!is_rejected(PoolLoad { overload: None, ..load(Vec::new()) }, &spec()));
    let nothing = AdmissionEngine::default();
    assert_eq!(decide(&nothing, READ_MS, &spec()), Verdict::Admit { retry_after_ms: None });
}

/// Guards against the rejection of jobs whose end is not a matter of load.
#[rstest]
#[case(job(vec![lasting(1)]))]
#[case(JobSpec {
    schedule: Some(Schedule { first_unix_ms: 0, interval_ms: 1, occurrences: 2 }),
    ..spec()
})]
#[case(job(vec![step(1, 32_000, 500)]))]
#[case(job(vec![StepSpec { required_label: Some("a".into()), ..step(1, 2_000, 500) }]))]
fn lasting_scheduled_and_hopeless_jobs_are_accepted(#[case] spec: JobSpec) {
    assert!(!is_rejected(load(vec![waiting(None, 60_000)]), &spec));
}

/// Guards against a rejection while the workers that will do the work are on
/// their way, or while work ends faster than was expected.
#[test]
fn workers_on_their_way_and_fast_work_count() {
    let work = || vec![waiting(None, 6_000)];
    assert!(is_rejected(load(work()), &spec()));
    let joining = PoolLoad { joining_millicores: CAPACITY_MILLICORES, ..load(work()) };
    assert!(!is_rejected(joining, &spec()));
    let mut fast = load(work());
    fast.overload.as_mut().expect("an overload").ended_millicores = 2 * CAPACITY_MILLICORES;
    assert!(!is_rejected(fast, &spec()));
    let mut engine = engine(load(work()));
    let other = PoolLoad { capacity_millicores: CAPACITY_MILLICORES, ..PoolLoad::default() };
    let summaries =
        [(pool(), RecordVersion(3), load(work())), (PoolId::new("other"), RecordVersion(3), other)];
    engine.on_summaries(READ_MS + 500, summaries);
    let (queue, spec) = (queue(), spec());
    let new = NewJob { queue: &queue, account: None, spec: &spec };
    let moving = Surroundings { has_other_pools: true, ..alone() };
    assert!(matches!(engine.decide(READ_MS + 500, &new, &alone()), Verdict::Reject(_)));
    assert!(matches!(engine.decide(READ_MS + 500, &new, &moving), Verdict::Admit { .. }));
}

/// Guards against a flood of one account that has the jobs of others rejected,
/// and against an account that is judged by the whole pool's rate while it shares
/// the pool.
#[test]
fn accounts_wait_for_their_own_work_only() {
    let account = |name: &str, weight: f64| AccountSettings {
        account: AccountId::new(name),
        keys: Vec::new(),
        weight,
        limit: Resources::default(),
    };
    let accounts = Accounts::new(vec![account("one", 1.0), account("other", 3.0)]);
    let surroundings = Surroundings { accounts: Some(&accounts), ..alone() };
    let (queue, spec) = (queue(), spec());
    let one = AccountId::new("one");
    let new = NewJob { queue: &queue, account: Some(&one), spec: &spec };
    let verdict = |waiting| engine(load(waiting)).decide(READ_MS, &new, &surroundings);
    let admitted = |verdict| matches!(verdict, Verdict::Admit { .. });
    assert!(admitted(verdict(vec![waiting(Some("other"), 60_000)])));
    // A quarter of the pool takes 6 s for what the whole pool does in 1.5 s.
    let own = waiting(Some("one"), 1_500);
    assert!(admitted(verdict(vec![own.clone()])));
    assert!(admitted(verdict(vec![own.clone(), waiting(Some("other"), 1_000)])));
    assert!(!admitted(verdict(vec![own, waiting(Some("other"), 60_000)])));
}

/// Guards against a burst that one process accepts as a whole between two reads,
/// and against jobs that count twice once the summary contains them.
#[test]
fn jobs_accepted_since_the_summary_count_until_the_next() {
    let mut engine = engine(load(vec![waiting(None, 3_500)]));
    let (queue, spec, large) = (queue(), spec(), job(vec![step(40, 2_000, 500)]));
    let patient = QueueSettings { objective_ms: 20_000, ..queue.clone() };
    // Small jobs of the same cost as the new one, whose callers wait for longer.
    assert!(matches!(decide(&engine, READ_MS + 10, &spec), Verdict::Admit { .. }));
    for _ in 0..128 {
        engine.on_accepted(READ_MS + 5, &NewJob { queue: &patient, account: None, spec: &spec });
    }
    assert!(matches!(decide(&engine, READ_MS + 10, &spec), Verdict::Reject(_)));
    assert!(matches!(decide(&engine, READ_MS + 10, &large), Verdict::Reject(_)));
    let next = load(vec![waiting(None, 3_500)]);
    engine.on_summaries(READ_MS + 900, [(pool(), RecordVersion(3), next)]);
    assert!(matches!(decide(&engine, READ_MS + 910, &spec), Verdict::Admit { .. }));
}

/// Guards against a delay without end, and rejections, while all workers of a pool
/// are away for a moment.
#[test]
fn pool_without_capacity_rejects_nothing() {
    let busy = load(vec![waiting(None, 5_000)]);
    assert!(!is_rejected(PoolLoad { capacity_millicores: 0, ..busy }, &spec()));
}

/// Guards against a second wave of callers who all return in the same second.
#[test]
fn delays_are_spread() {
    let engine = engine(load(vec![waiting(None, 10_000)]));
    let (queue, spec) = (queue(), spec());
    let new = NewJob { queue: &queue, account: None, spec: &spec };
    let mut seconds = [0_u32; 32];
    for random in 0..100 {
        let surroundings = Surroundings { random: f64::from(random) / 100.0, ..alone() };
        let Verdict::Reject(rejection) = engine.decide(READ_MS, &new, &surroundings) else {
            panic!("the job is accepted")
        };
        assert_eq!(rejection.retry_after_ms % 1_000, 0);
        seconds[(rejection.retry_after_ms / 1_000) as usize] += 1;
    }
    // The job could end in time after 8.8 s; the delay is up to half longer.
    let first = seconds.iter().position(|&count| count > 0);
    let last = seconds.iter().rposition(|&count| count > 0);
    assert_eq!((first, last), (Some(9), Some(14)));
    assert!(seconds.iter().all(|&count| count <= 30), "{seconds:?}");
}
