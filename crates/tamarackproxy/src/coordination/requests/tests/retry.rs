//! Retries, forwards and ejection of failing targets (hazards 4 and 7).

use std::collections::BTreeMap;

use rstest::rstest;

use super::support::{Bench, dispatched, ends, peer, remote_load, targets};
use crate::coordination::requests::{
    AttemptResult, ForwardResult, RequestMeta, RequestsAction, RequestsEvent,
};
use crate::protocol::caller::Refusal;
use crate::state::ids::RequestId;

const FAILED: AttemptResult = AttemptResult::NotSent;

/// Guards against retries that multiply the load of targets that fail: at most
/// 10% of the requests and 1 a second.
#[test]
fn retry_budget_bounds_retries() {
    let mut bench = Bench::new(&["h1", "h2"], 8);
    let (mut retries, seconds) = (0, 10);
    for id in 0..1_000 {
        let meta = bench.meta();
        if dispatched(&bench.submit(id, meta)).is_empty() {
            continue;
        }
        retries += dispatched(&bench.ended(id, 0, FAILED)).len();
        bench.ended(id, 1, FAILED);
        bench.advance(seconds * 1_000 / 1_000);
    }
    assert!((90..=100 + seconds as usize).contains(&retries), "{retries} retries");
}

/// Guards against a budget that forbids the only retry of a quiet service, and
/// against one that saves up retries without requests.
#[test]
fn retry_budget_has_a_minimum() {
    let mut bench = Bench::new(&["h1", "h2"], 8);
    bench.advance(100_000);
    let mut retry = |id| {
        let meta = bench.meta();
        bench.submit(id, meta);
        let retried = dispatched(&bench.ended(id, 0, FAILED)).len();
        bench.answer(id);
        bench.ended(id, 1, AttemptResult::Answered { status: 200, leaving: false });
        (retried, bench.advance(400)).0
    };
    // The fourth falls into the next second.
    assert_eq!([retry(1), retry(2), retry(3), retry(4)], [1, 0, 0, 1]);
}

/// Guards against running a request twice that may not be repeated, and
/// against a chain of retries over several hops.
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
    let mut bench = Bench::new(&["h1", "h2"], 8);
    let meta = RequestMeta { repeatable, forwarded, ..bench.meta() };
    let first = dispatched(&bench.submit(1, meta)).remove(0).2;
    let actions = bench.ended(1, 0, result);
    assert_eq!(dispatched(&actions).len(), retries);
    assert!(dispatched(&actions).iter().all(|retry| retry.2 != first), "on another target");
    assert_eq!(ends(&actions).first().map_or("", |end| end.1), outcome);
}

fn forwards(actions: &[RequestsAction]) -> usize {
    actions.iter().filter(|action| matches!(action, RequestsAction::Forward { .. })).count()
}

/// Guards against more than one hop, against forwards beyond the idle slots of
/// the other data centre, and against forwards on old news.
#[test]
fn retry_hops_are_bounded() {
    let mut bench = Bench::new(&["h1"], 1);
    bench.saturate();
    bench.event(remote_load(1));
    let meta = RequestMeta { forwarded: true, ..bench.meta() };
    assert_eq!(forwards(&bench.submit(1, meta)), 0, "it was forwarded here");
    bench.cancel(1);
    for (id, expected) in [(2, 1), (3, 0)] {
        let meta = bench.meta();
        assert_eq!(forwards(&bench.submit(id, meta)), expected);
    }
    let result = ForwardResult::NotRun(Refusal::QueueFull);
    let ended = RequestsEvent::ForwardEnded { request: RequestId(2), result };
    let actions = bench.event(ended);
    assert_eq!((forwards(&actions), ends(&actions)), (0, vec![]), "2 waits here");
    bench.event(remote_load(5));
    bench.advance(3_500);
    let meta = bench.meta();
    assert_eq!(forwards(&bench.submit(4, meta)), 0);
}

/// Guards against forwards while a peer of the data centre may have a slot, and
/// against a request that waits for the peers for long.
#[test]
fn retry_forwards_after_asking_the_peers() {
    let mut bench = Bench::new(&["h1"], 1);
    bench.event(RequestsEvent::PeersChanged { peers: vec![peer("e2")] });
    bench.saturate();
    bench.event(remote_load(5));
    let meta = bench.meta();
    assert_eq!(forwards(&bench.submit(1, meta)), 0);
    assert_eq!(forwards(&bench.advance(3)), 1);
}

/// Answers, or fails on hosts whose name begins with `bad`, for a while; returns
/// the attempts by host in the second half.
fn drive(bench: &mut Bench, first_id: u64, ms: u64) -> BTreeMap<String, u32> {
    let mut attempts = BTreeMap::new();
    for step in 0..ms {
        let meta = bench.meta();
        let mut actions = bench.submit(first_id + step, meta);
        while let Some((id, number, host)) = dispatched(&actions).pop() {
            if step > ms / 2 {
                *attempts.entry(host.as_str().to_owned()).or_default() += 1;
            }
            let result = match host.as_str().starts_with("bad") {
                true => AttemptResult::Answered { status: 500, leaving: false },
                false => AttemptResult::Answered { status: 200, leaving: false },
            };
            actions = bench.ended(id, number, result);
        }
        bench.advance(1);
    }
    attempts
}

/// Guards against a failing target that draws requests because it looks idle,
/// and against its staying out after it has recovered.
#[test]
fn retry_avoids_a_failing_target() {
    let mut bench = Bench::new(&["bad1", "h2", "h3", "h4"], 8);
    let attempts = drive(&mut bench, 0, 2_000);
    let bad = attempts.get("bad1").copied().unwrap_or(0);
    assert!(bad <= 2, "{attempts:?}: probes only");
    assert!(bench.engine.counters().ejections >= 1);
}

/// Guards against ejecting so many targets that the rest is overloaded.
#[test]
fn retry_ejects_half_of_the_targets_at_most() {
    let mut bench = Bench::new(&["bad1", "bad2", "bad3", "h4"], 8);
    let attempts = drive(&mut bench, 0, 2_000);
    let used = attempts.values().filter(|&&attempts| attempts > 10).count();
    assert_eq!(used, 2, "{attempts:?}");
}

/// Guards against a target that is never admitted again.
#[test]
fn retry_admits_a_recovered_target() {
    let mut bench = Bench::new(&["h1", "h2"], 8);
    for id in 0..40 {
        let meta = bench.meta();
        let host = dispatched(&bench.submit(id, meta)).remove(0).2;
        let status = if host.as_str() == "h1" { 500 } else { 200 };
        bench.ended(id, 0, AttemptResult::Answered { status, leaving: false });
        bench.advance(10);
    }
    assert_eq!(bench.engine.counters().ejections, 1);
    bench.event(RequestsEvent::TargetsChanged { targets: targets(&["h1", "h2"]) });
    let attempts = drive(&mut bench, 1_000, 4_000);
    assert!(attempts.get("h1").is_some_and(|&attempts| attempts > 500), "{attempts:?}");
}
