//! Tests of the platform: a stand-in that reboots twice for one key or lists changes
//! without lag does not behave like the real platform.

use tamarackproxy::{
    protocol::platform::{ListedHost, ListedState},
    state::ids::{DataCentreId, HostId, RackId},
};

use super::{
    Condition, HostEventKind, PlatformState, RebootAnswer, StartTask, TaskBehaviour, TaskRefusal,
    TaskState, WorkersState, tasks,
};

const LAG_MS: u64 = 2_000;
const REBOOT_MS: u64 = 1_000;

fn platform() -> (PlatformState, HostId) {
    let host = HostId::new("h1");
    let listed = ListedHost {
        host: host.clone(),
        data_centre: DataCentreId::new("a"),
        rack: RackId::new("a-1"),
        address: "127.0.0.1".into(),
        cpu_millicores: 32_000,
        memory_bytes: 128 << 30,
        accelerators: 0,
        state: ListedState::Live,
    };
    (PlatformState::new([(listed, None)], LAG_MS, REBOOT_MS), host)
}

/// Guards against a second reboot due to a retried call, and against reboots that
/// never end.
#[test]
fn reboot_is_idempotent_by_key_and_ends() {
    let (mut platform, host) = platform();
    assert_eq!(platform.reboot(0, &host, "1"), RebootAnswer::Accepted);
    assert_eq!(platform.reboot(1, &host, "2"), RebootAnswer::NotRunning);
    platform.advance(REBOOT_MS - 1);
    assert_eq!(platform.condition(&host), Some(Condition::Rebooting { until_ms: REBOOT_MS }));
    platform.advance(REBOOT_MS);
    assert_eq!(platform.condition(&host), Some(Condition::Up));
    assert_eq!(platform.reboot(REBOOT_MS, &host, "1"), RebootAnswer::Accepted);
    let reboots = platform.events().iter();
    let reboots = reboots.filter(|event| matches!(event.kind, HostEventKind::Rebooted { .. }));
    assert_eq!(reboots.count(), 1);
}

/// Guards against a list without lag, which hides decisions based on stale state.
#[test]
fn announcement_is_listed_after_the_lag() {
    let (mut platform, host) = platform();
    platform.announce(100, &host, ListedState::Leaving);
    assert_eq!(platform.list(100 + LAG_MS - 1).hosts[0].state, ListedState::Live);
    assert_eq!(platform.list(100 + LAG_MS).hosts[0].state, ListedState::Leaving);
}

const LEASE_MS: u64 = 1_000;

fn task(name: &str, checkpoint: Option<&str>) -> StartTask {
    StartTask {
        task: name.into(),
        lease_ms: LEASE_MS,
        cpu_millicores: 1_000,
        memory_bytes: 1 << 30,
        accelerators: 0,
        checkpoint: checkpoint.map(Into::into),
    }
}

/// A worker with one task of 5 s of work, started at 0 ms.
fn worker() -> (WorkersState, HostId) {
    let (mut workers, host) = (WorkersState::default(), HostId::new("h1"));
    let behaviour =
        TaskBehaviour { work_ms: 5_000, cpu_millicores: 2_000, memory_bytes: 1, fails: false };
    workers.set_behaviour("t", behaviour);
    workers.start(0, &host, &task("t", None)).expect("starts");
    (workers, host)
}

/// Guards against tasks that outlive their lease, which would hide jobs that
/// run twice.
#[test]
fn task_ends_with_its_lease_unless_it_is_renewed() {
    let (mut workers, host) = worker();
    workers.renew(900, &host, "t").expect("runs");
    assert_eq!(workers.report(1_899, &host)[0].state, TaskState::Running);
    assert_eq!(workers.report(1_900, &host)[0].state, TaskState::LeaseLapsed);
    assert_eq!(workers.renew(1_901, &host, "t"), Err(TaskRefusal::Ended));
}

/// Guards against progress that ignores throttling or is lost by a checkpoint: the
/// task is limited to one of the two cores that it uses, then to half a core.
#[test]
fn checkpoint_keeps_throttled_progress() {
    let (mut workers, host) = worker();
    workers.throttle(400, &host, "t", 500).expect("runs");
    let checkpoint = workers.checkpoint(800, &host, "t").expect("runs");
    workers.stop(800, &host, "t").expect("runs");
    let other = HostId::new("h2");
    workers.start(800, &other, &task("u", Some(&checkpoint))).expect("starts");
    assert_eq!(workers.report(800, &other)[0].progress_ms, 200 + 100);
}

/// Guards against failing workers that run tasks, and against usage without lag.
#[test]
fn failing_worker_fails_tasks_and_usage_lags() {
    let (mut workers, host) = worker();
    workers.usage_lag_ms = 500;
    assert_eq!(workers.report(499, &host)[0].cpu_millicores, 0);
    assert_eq!(workers.report(500, &host)[0].cpu_millicores, 1_000);
    workers.set_failing(&host, true);
    workers.start(500, &host, &task("u", None)).expect("starts");
    assert_eq!(workers.report(500, &host)[1].state, TaskState::Failed);
}

/// Guards against a reboot that does not stop the tasks of the host.
#[test]
fn reboot_stops_tasks_over_http_calls() {
    let (mut platform, host) = platform();
    let body = serde_json::to_vec(&task("t", None)).expect("encodes");
    let path = "/v1/workers/h1/tasks";
    let answer = tasks::serve(&mut platform, 0, &hyper::Method::POST, path, &body);
    assert_eq!(answer.status.as_u16(), 201);
    platform.reboot(10, &host, "1");
    let reboot = HostEventKind::Rebooted { in_flight: 0, tasks: 1 };
    assert_eq!(platform.events()[0].kind, reboot);
    assert_eq!(platform.workers.report(10, &host)[0].state, TaskState::HostStopped);
    let answer = tasks::serve(&mut platform, 20, &hyper::Method::POST, path, &body);
    assert_eq!(answer.status.as_u16(), 503, "a host that reboots does not answer");
}
