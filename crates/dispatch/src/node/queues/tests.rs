//! Jobs of queues that versions of the configuration send to other pools.

use std::rc::Rc;

use rstest::rstest;
use tamarackproxy::{
    protocol::store::KeyValue,
    state::ids::{PoolId, QueueId, RecordVersion},
};

use super::{
    super::{
        callers::{CallerRequest, CallerResponse, serve},
        fake::{Reach, StoredValues, Workers, block_on, shared},
        keys::summary_key,
        shared::Shared,
    },
    *,
};
use crate::{
    coordination::access::Caller,
    replay::pool::{job, step},
    state::{JobNumber, JobOutcome, JobState, ServingDocument, Summary, decode, encode},
};

const JOB: JobNumber = JobNumber(7);

fn queue(pool: &str) -> QueueSettings {
    QueueSettings {
        queue: QueueId::new("q"),
        authority: "".into(),
        path_prefix: "".into(),
        pool: PoolId::new(pool),
        priority: 0,
        attempts_max: 4,
        stretch: 1.6,
        objective_ms: 600,
        advice: None,
        is_public: true,
    }
}

/// A process that shares a store with others, under a version of the configuration.
struct Process {
    shared: Rc<Shared<Workers>>,
    queue: QueueSettings,
}

impl Process {
    fn new(stored: &StoredValues) -> Self {
        let platform = Workers { stored: Rc::clone(stored), ..Workers::default() };
        platform.reach.set(Reach::Up);
        Self { shared: shared(platform), queue: queue("none") }
    }

    fn configure(&mut self, version: u64, pool: &str) {
        self.queue = queue(pool);
        let document = ServingDocument {
            revision: version,
            record: RecordVersion(version),
            queues: vec![self.queue.clone()],
            ..ServingDocument::default()
        };
        self.shared.document.send_replace(Some(Rc::new(document)));
    }

    async fn call(&self, request: CallerRequest) -> CallerResponse {
        // A reply of the store tells that it is reachable.
        self.shared.read("any").await.expect("the store answers");
        serve(&self.shared, &Caller::Public, request, None).await
    }

    async fn submit(&self) -> CallerResponse {
        let spec = job(vec![step(1, 1_000, 100)]);
        self.call(CallerRequest::Submit { queue: self.queue.clone(), job: JOB, spec }).await
    }

    async fn state(&self) -> CallerResponse {
        self.call(CallerRequest::State { queue: self.queue.clone(), job: JOB }).await
    }

    async fn cancel(&self) -> CallerResponse {
        self.call(CallerRequest::Cancel { queue: self.queue.clone(), job: JOB }).await
    }
}

/// Returns the stored records of the job, by the pools that have them.
fn copies(stored: &StoredValues) -> Vec<(Box<str>, JobRecord)> {
    let stored = stored.borrow();
    let jobs = stored.values().filter(|item| item.key.starts_with("jobs/"));
    jobs.map(|item| (item.key.clone(), decode(&item.value).expect("a record"))).collect()
}

const LIVE: CallerResponse = CallerResponse::State { has_started: false, outcome: None };

/// Guards against an accepted job that is not found, runs twice after a repeated
/// request or cannot be cancelled, after its queue was sent to other pools; with
/// `restarts`, all processes end before each change.
#[rstest]
#[case::moved(&["b"])]
#[case::moved_and_back(&["b", "a"])]
#[case::moved_twice(&["b", "c"])]
#[case::moved_twice_and_back(&["b", "c", "a", "c"])]
fn job_outlasts_moves_of_its_queue(
    #[case] pools: &[&str],
    #[values(false, true)] restarts: bool,
    #[values(false, true)] repeats: bool,
) {
    block_on(async {
        let stored = StoredValues::default();
        let mut process = Process::new(&stored);
        process.configure(1, "a");
        assert_eq!(process.submit().await, CallerResponse::Accepted);
        for (pool, version) in pools.iter().zip(2..) {
            if restarts {
                process = Process::new(&stored);
            }
            process.configure(version, pool);
            assert_eq!(process.state().await, LIVE, "version {version}");
            if repeats {
                assert_eq!(process.submit().await, CallerResponse::Accepted);
            }
        }
        let found = copies(&stored);
        assert_eq!(found.len(), 1, "{found:?}");
        assert_eq!(process.cancel().await, CallerResponse::Cancelled);
        let found = copies(&stored);
        let cancelled = |state: &JobState| {
            matches!(state, JobState::Ended { outcome: JobOutcome::Cancelled, .. })
        };
        assert!(found.len() == 1 && cancelled(&found[0].1.state), "{found:?}");
    });
}

/// Guards against a job of an earlier version of this program, which stored no
/// records of queues, that is not found or stored again after its queue has moved.
#[rstest]
fn job_of_an_earlier_version_outlasts_a_move(#[values(false, true)] is_asked_first: bool) {
    block_on(async {
        let stored = StoredValues::default();
        let record = JobRecord {
            queue: QueueId::new("q"),
            account: None,
            accepted_unix_ms: 1,
            state: JobState::Live(job(vec![step(1, 1_000, 100)])),
        };
        let key = JobRecord::key("a", JOB);
        let value = encode(&record).expect("a record").into();
        let item = KeyValue { key: key.clone(), value, version: RecordVersion(1) };
        stored.borrow_mut().insert(key, item);
        let mut process = Process::new(&stored);
        process.configure(2, "b");
        if is_asked_first {
            assert_eq!(process.state().await, LIVE);
        }
        assert_eq!(process.submit().await, CallerResponse::Accepted);
        assert_eq!(process.state().await, LIVE);
        let found = copies(&stored);
        assert_eq!(found.len(), 1, "{found:?}");
    });
}

/// Guards against two copies of a job that is sent to two processes with different
/// configurations, in either order.
#[rstest]
fn processes_with_different_configurations_store_one_copy(
    #[values(false, true)] older_first: bool,
    #[values(false, true)] older_knows_queue: bool,
) {
    block_on(async {
        let stored = StoredValues::default();
        let (mut older, mut newer) = (Process::new(&stored), Process::new(&stored));
        older.configure(1, "a");
        newer.configure(2, "b");
        if older_knows_queue {
            prepare(&older.shared, &older.queue).await.expect("the store answers");
        }
        let order = if older_first { [&older, &newer] } else { [&newer, &older] };
        for process in order {
            assert_eq!(process.submit().await, CallerResponse::Accepted);
        }
        assert_eq!(copies(&stored).len(), 1);
        for process in order {
            assert_eq!(process.state().await, LIVE);
        }
    });
}

/// Guards against a refusal in the place of a definite answer while other processes
/// change the records of queues at the same time.
#[test]
fn concurrent_first_submissions_are_accepted() {
    block_on(async {
        let stored = StoredValues::default();
        let mut processes = [Process::new(&stored), Process::new(&stored)];
        for (process, pool) in processes.iter_mut().zip(["a", "b"]) {
            process.configure(1, pool);
        }
        let [first, second] = &processes;
        let answers = tokio::join!(first.submit(), second.submit());
        assert_eq!(answers, (CallerResponse::Accepted, CallerResponse::Accepted));
        assert_eq!(copies(&stored).len(), 1);
    });
}

/// Guards against further calls to the store for each job of a queue whose record
/// is known.
#[test]
fn known_queue_costs_one_write_a_job() {
    block_on(async {
        let stored = StoredValues::default();
        let platform = Workers { stored: Rc::clone(&stored), ..Workers::default() };
        platform.reach.set(Reach::Up);
        let (transactions, lists) = (Rc::clone(&platform.transactions), Rc::clone(&platform.lists));
        let mut process = Process { shared: shared(platform), queue: queue("a") };
        process.configure(1, "a");
        process.submit().await;
        let before = (transactions.borrow().len(), lists.borrow().len());
        let spec = job(vec![step(1, 1_000, 100)]);
        let next = CallerRequest::Submit { queue: queue("a"), job: JobNumber(8), spec };
        assert_eq!(process.call(next).await, CallerResponse::Accepted);
        let prefixes = lists.borrow();
        let added = prefixes[before.1..].iter().filter(|prefix| !prefix.starts_with("summary/"));
        assert_eq!((transactions.borrow().len(), added.count()), (before.0 + 1, 0));
    });
}

/// Guards against a count of waiting jobs that leaves out those that wait in the
/// pool that the queue had before.
#[test]
fn waiting_jobs_of_all_pools_are_counted() {
    block_on(async {
        let stored = StoredValues::default();
        let mut process = Process::new(&stored);
        process.configure(1, "a");
        process.submit().await;
        for (pool, count) in [("a", 3), ("b", 4)] {
            let waiting = vec![(QueueId::new("q"), count), (QueueId::new("other"), 9)];
            let summary = Summary { waiting, ..Summary::default() };
            let key = summary_key(&PoolId::new(pool));
            let value = encode(&summary).expect("a record").into();
            let item = KeyValue { key: key.clone(), value, version: RecordVersion(1) };
            stored.borrow_mut().insert(key, item);
        }
        process.configure(2, "b");
        let count = process.call(CallerRequest::CountWaiting { queue: process.queue.clone() });
        assert_eq!(count.await, CallerResponse::Waiting(7));
    });
}

/// Guards against a read of the record for each count of waiting jobs, and against a
/// count that leaves out a pool which another process has added after a change of the
/// configuration.
#[rstest]
#[case::settled(10_000, 0)]
#[case::changed(0, 3)]
fn record_is_read_for_counts_after_a_change_only(#[case] age_ms: u64, #[case] reads: usize) {
    block_on(async {
        let stored = StoredValues::default();
        let platform = Workers { stored: Rc::clone(&stored), ..Workers::default() };
        platform.reach.set(Reach::Up);
        let keys = Rc::clone(&platform.reads);
        let mut process = Process { shared: shared(platform), queue: queue("a") };
        process.configure(1, "a");
        process.submit().await;
        let now_ms = clock::read().monotonic_ms;
        process.shared.queues.on_configuration(now_ms.saturating_sub(age_ms));
        keys.borrow_mut().clear();
        for _ in 0..3 {
            let count = process.call(CallerRequest::CountWaiting { queue: process.queue.clone() });
            assert_eq!(count.await, CallerResponse::Waiting(0));
        }
        let of_queues = keys.borrow().iter().filter(|key| key.starts_with("queues/")).count();
        assert_eq!(of_queues, reads);
    });
}

/// Guards against the default number of attempts for a job whose queue was removed
/// before its controller read the configuration.
#[test]
fn policy_of_a_removed_queue_is_stored() {
    block_on(async {
        let stored = StoredValues::default();
        let mut process = Process::new(&stored);
        process.configure(1, "a");
        process.submit().await;
        let successor = Process::new(&stored);
        let policies = stored_policies(&successor.shared).await;
        let found: Vec<_> =
            policies.iter().map(|(queue, policy)| (queue.as_str(), policy.attempts_max)).collect();
        assert_eq!(found, [("q", 4)]);
    });
}

/// Guards against records that two processes with different configurations replace
/// in turns.
#[test]
fn older_configuration_does_not_replace_a_policy() {
    let (old, new) = (queue("a"), QueueSettings { attempts_max: 2, ..queue("a") });
    let record = QueueRecord::new(&old, RecordVersion(1), []);
    let updated = record.updated(&new, RecordVersion(2)).expect("the policy has changed");
    assert_eq!(updated.policy.attempts_max, 2);
    assert_eq!(updated.updated(&old, RecordVersion(1)), None);
    let moved = updated.updated(&queue("b"), RecordVersion(1)).expect("the pool is new");
    assert_eq!((moved.pools.len(), moved.policy.attempts_max), (2, 2));
}
