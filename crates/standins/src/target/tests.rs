//! Tests of the targets: a target that misses an overrun, a cut or a crossed
//! response hides a fault of the library.

use std::sync::{Arc, Mutex};

use hyper::Method;
use tamarackproxy::state::ids::{HostId, ServiceId};

use super::{
    ATTEMPT_HEADER, BodyCheck, CALLER_HEADER, Cut, InstanceAddress, SLOTS, ServiceTimes,
    TargetFaults, TargetHost, TargetRecords, check_body, echo_body, echo_path,
};
use crate::{
    clock::Clock,
    net::{Call, Reply, call},
};

const FILLER_BYTES: usize = 100;

struct Rig {
    host: TargetHost,
    records: Arc<Mutex<TargetRecords>>,
    service: ServiceId,
}

impl Rig {
    async fn start(mean_ms: f64) -> Self {
        let service = ServiceId::new("booking");
        let records = Arc::new(Mutex::new(TargetRecords::default()));
        let services = [InstanceAddress { service: service.clone(), port: 0 }];
        let times = ServiceTimes { urgent_ms: mean_ms, normal_ms: mean_ms, bulk_ms: mean_ms };
        let address = "127.77.0.4".parse().expect("is an address");
        let host = TargetHost::start(
            HostId::new("h1"),
            address,
            &services,
            times,
            records.clone(),
            Clock::start(),
            1,
        );
        Self { host: host.await.expect("starts"), records, service }
    }

    fn request(&self, number: u64) -> Call {
        let address = self.host.address(&self.service).expect("listens");
        Call::new(address, Method::POST, echo_path(number, FILLER_BYTES))
            .with_header(CALLER_HEADER, "rider-app")
            .with_header(ATTEMPT_HEADER, number.to_string())
            .with_header("idempotency-key", "key")
    }

    async fn reply(&self, number: u64) -> Reply {
        call(self.request(number)).await.expect("replies")
    }
}

/// Guards against a body check that takes a foreign or partial body for the
/// caller's own.
#[test]
fn body_check_tells_own_crossed_and_truncated() {
    let own = echo_body("a", 7, FILLER_BYTES);
    assert_eq!(check_body(&own, "a", 7, FILLER_BYTES), BodyCheck::Own);
    assert_eq!(check_body(&own[..50], "a", 7, FILLER_BYTES), BodyCheck::Truncated);
    assert_eq!(check_body(&own, "a", 8, FILLER_BYTES), BodyCheck::Crossed);
    assert_eq!(check_body(&own, "b", 7, FILLER_BYTES), BodyCheck::Crossed);
}

/// Guards against overruns that are run or not counted.
#[tokio::test]
async fn request_above_the_slots_is_refused_and_counted() {
    let rig = Rig::start(1e9).await;
    let mut waiting = tokio::task::JoinSet::new();
    for number in 0..SLOTS as u64 {
        waiting.spawn(call(rig.request(number)));
    }
    while rig.records.lock().expect("locks").runs.len() < SLOTS {
        tokio::task::yield_now().await;
    }
    let reply = rig.reply(99).await;
    assert_eq!(reply.status.as_u16(), 503);
    assert_eq!(reply.headers["tamarack-outcome"], "not-run");
    let records = rig.records.lock().expect("locks");
    assert_eq!((records.slot_overruns, records.runs.len()), (1, SLOTS));
}

/// Guards against runs that a reboot cuts without a record.
#[tokio::test]
async fn stop_records_the_runs_that_it_cuts() {
    let rig = Rig::start(1e9).await;
    let waiting = tokio::spawn(call(rig.request(1)));
    while rig.records.lock().expect("locks").runs.is_empty() {
        tokio::task::yield_now().await;
    }
    assert_eq!(rig.host.stop(Cut::PlannedStop), 1);
    assert!(waiting.await.expect("ends").is_err());
    assert_eq!(rig.records.lock().expect("locks").runs[0].cut, Some(Cut::PlannedStop));
    assert!(call(rig.request(2)).await.is_err());
}

/// Guards against runs without the names that the verdict compares.
#[tokio::test]
async fn run_is_recorded_with_caller_key_and_attempt() {
    let rig = Rig::start(0.0).await;
    let reply = rig.reply(5).await;
    assert_eq!(check_body(&reply.body, "rider-app", 5, FILLER_BYTES), BodyCheck::Own);
    let records = rig.records.lock().expect("locks");
    let run = &records.runs[0];
    assert_eq!((&*run.caller, run.request, run.attempt), ("rider-app", 5, Some(5)));
    assert_eq!((run.key.as_deref(), run.cut), (Some("key"), None));
}

/// Guards against cut responses that arrive whole and leaving signs that are
/// not recorded.
#[tokio::test]
async fn injected_cut_and_leaving_are_seen_by_clients() {
    let rig = Rig::start(0.0).await;
    rig.host.set_faults(TargetFaults { cut_response_share: 1.0, ..TargetFaults::default() });
    assert!(call(rig.request(1)).await.is_err());
    rig.host.set_faults(TargetFaults { leaving: true, ..TargetFaults::default() });
    assert_eq!(rig.reply(2).await.headers["connection"], "close");
    rig.host.set_faults(TargetFaults::default());
    let signs = rig.records.lock().expect("locks").leaving_signals.clone();
    assert!(signs.len() == 1 && signs[0].to_ms.is_some());
}
