//! Retries, forwards and ejection of failing targets (hazards 4 and 7).

use std::collections::BTreeMap;

use rstest::rstest;

use super::support::{Harness, dispatched, ends, peer, remote_load, targets};
use crate::coordination::requests::{
    AttemptResult, ForwardResult, RequestMeta, RequestsAction, RequestsEvent,
};
use crate::protocol::caller::Refusal;
use crate::state::ids::RequestId;

const FAILED: AttemptResult = AttemptResult::NotSent;

/// Guards against retries that multiply the load of failing targets: they are at
/// most 10% of the requests plus 1 a second.
#[test]
fn retry_budget_bounds_retries() {
    let mut harness = Harness::new(&["h1", "h2"], 8);
    let (mut retries, seconds) = (0, 10);
    for id in 0..1_000 {
        let meta = harness.meta();
        if dispatched(&harness.submit(id, meta)).is_empty() {
            continue;
        }
        retries += dispatched(&harness.ended(id, 0, FAILED)).len();
        harness.ended(id, 1, FAILED);
        harness.advance(seconds * 1_000 / 1_000);
    }
    assert!((90..=100 + seconds as usize).contains(&retries), "{retries} retries");
}

/// Guards against a budget that forbids the only retry of a service with few
/// requests, and against one that accumulates retries without requests.
#[test]
fn retry_budget_has_a_minimum() {
    let mut harness = Harness::new(&["h1", "h2"], 8);
    harness.advance(100_000);
    let mut retry = |id| {
        let meta = harness.meta();
        harness.submit(id, meta);
        let retried = dispatched(&harness.ended(id, 0, FAILED)).len();
        harness.answer(id);
        harness.ended(id, 1, AttemptResult::Answered { status: 200, leaving: false });
        (retried, harness.advance(400)).0
    };
    // The fourth request falls into the next second.
    assert_eq!([retry(1), retry(2), retry(3), retry(4)], [1, 0, 0, 1]);
}

/// Guards against running a request twice that is not repeatable, and against
/// retries of a forwarded request at more than one hop.
#[rstest]
#[case::may_have_run(false, false, AttemptResult::Lost, 0, "unknown")]
#[case::did_not_run(false, false, FAILED, 1, "")]
#[case::repeatable(true, false, AttemptResult::Lost, 1, "")]
#[case::forwarded(true, true, AttemptResult::Lost, 0, "unknown")]
#[case::forwarded_did_not_run(true, true, FAILED, 0, "not-run")]
fn retry_only_where_it_is_safe(
    #[case] repeatable: bool,
    #[case] forwarded: bool,
    #[case] result: AttemptResult,
    #[case] retries: usize,
    #[case] outcome: &str,
) {
    let mut harness = Harness::new(&["h1", "h2"], 8);
    let meta = RequestMeta { repeatable, forwarded, ..harness.meta() };
    let first = dispatched(&harness.submit(1, meta)).remove(0).2;
    let actions = harness.ended(1, 0, result);
    assert_eq!(dispatched(&actions).len(), retries);
    assert!(dispatched(&actions).iter().all(|retry| retry.2 != first), "on another target");
    assert_eq!(ends(&actions).first().map_or("", |end| end.1), outcome);
}

fn forwards(actions: &[RequestsAction]) -> usize {
    actions.iter().filter(|action| matches!(action, RequestsAction::Forward { .. })).count()
}

/// Guards against forwarding over more than one hop, beyond the idle slots of the
/// other data centre, or based on an outdated load.
#[test]
fn retry_hops_are_bounded() {
    let mut harness = Harness::new(&["h1"], 1);
    harness.saturate();
    harness.event(remote_load(1));
    let meta = RequestMeta { forwarded: true, ..harness.meta() };
    assert_eq!(forwards(&harness.submit(1, meta)), 0, "it was forwarded here");
    harness.cancel(1);
    for (id, expected) in [(2, 1), (3, 0)] {
        let meta = harness.meta();
        assert_eq!(forwards(&harness.submit(id, meta)), expected);
    }
    let result = ForwardResult::NotRun(Refusal::QueueFull);
    let ended = RequestsEvent::ForwardEnded { request: RequestId(2), result };
    let actions = harness.event(ended);
    assert_eq!((forwards(&actions), ends(&actions)), (0, vec![]), "2 waits here");
    harness.event(remote_load(5));
    harness.advance(3_500);
    let meta = harness.meta();
    assert_eq!(forwards(&harness.submit(4, meta)), 0);
}

/// Guards against forwarding while a peer of the same data centre may have a slot,
/// and against waiting too long for the peers.
#[test]
fn retry_forwards_after_asking_the_peers() {
    let mut harness = Harness::new(&["h1"], 1);
    harness.event(RequestsEvent::PeersChanged { peers: vec![peer("e2")] });
    harness.saturate();
    harness.event(remote_load(5));
    let meta = harness.meta();
    assert_eq!(forwards(&harness.submit(1, meta)), 0);
    assert_eq!(forwards(&harness.advance(3)), 1);
}

/// Submits one request per millisecond for `ms` milliseconds. Hosts whose name starts
/// with `bad` answer with status 500. Returns the attempts by host in the second
/// half.
fn drive(harness: &mut Harness, first_id: u64, ms: u64) -> BTreeMap<String, u32> {
    let mut attempts = BTreeMap::new();
    for step in 0..ms {
        let meta = harness.meta();
        let mut actions = harness.submit(first_id + step, meta);
        while let Some((id, number, host)) = dispatched(&actions).pop() {
            if step > ms / 2 {
                *attempts.entry(host.as_str().to_owned()).or_default() += 1;
            }
            let result = match host.as_str().starts_with("bad") {
                true => AttemptResult::Answered { status: 500, leaving: false },
                false => AttemptResult::Answered { status: 200, leaving: false },
            };
            actions = harness.ended(id, number, result);
        }
        harness.advance(1);
    }
    attempts
}

/// Guards against a target that fails fast and therefore attracts requests, because
/// it looks idle.
#[test]
fn retry_avoids_a_failing_target() {
    let mut harness = Harness::new(&["bad1", "h2", "h3", "h4"], 8);
    let attempts = drive(&mut harness, 0, 2_000);
    let bad = attempts.get("bad1").copied().unwrap_or(0);
    assert!(bad <= 2, "{attempts:?}: probes only");
    assert!(harness.engine.counters().ejections >= 1);
}

/// Guards against ejecting so many targets that the others are overloaded.
#[test]
fn retry_ejects_half_of_the_targets_at_most() {
    let mut harness = Harness::new(&["bad1", "bad2", "bad3", "h4"], 8);
    let attempts = drive(&mut harness, 0, 2_000);
    let used = attempts.values().filter(|&&attempts| attempts > 10).count();
    assert_eq!(used, 2, "{attempts:?}");
}

/// Guards against a recovered target that is not readmitted.
#[test]
fn retry_admits_a_recovered_target() {
    let mut harness = Harness::new(&["h1", "h2"], 8);
    for id in 0..40 {
        let meta = harness.meta();
        let host = dispatched(&harness.submit(id, meta)).remove(0).2;
        let status = if host.as_str() == "h1" { 500 } else { 200 };
        harness.ended(id, 0, AttemptResult::Answered { status, leaving: false });
        harness.advance(10);
    }
    assert_eq!(harness.engine.counters().ejections, 1);
    harness.event(RequestsEvent::TargetsChanged { targets: targets(&["h1", "h2"]) });
    let attempts = drive(&mut harness, 1_000, 4_000);
    assert!(attempts.get("h1").is_some_and(|&attempts| attempts > 500), "{attempts:?}");
}
