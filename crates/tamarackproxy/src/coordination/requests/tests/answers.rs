//! A caller gets the response to its own request, regardless of the delay and the
//! order of responses (P3, hazard 1).

use rstest::rstest;

use super::support::{Harness, dispatched, ends, peer, remote_load};
use crate::{
    coordination::requests::{AttemptResult, ForwardResult, RequestsAction, RequestsEvent},
    state::ids::RequestId,
};

const ANSWERED: AttemptResult = AttemptResult::Answered { status: 200, leaving: false };

/// Guards against passing on the late response of an abandoned attempt while a
/// later attempt of the same request is in flight.
#[rstest]
#[case(AttemptResult::Lost)]
#[case(AttemptResult::TimedOut)]
fn answers_come_from_the_current_attempt(#[case] first: AttemptResult) {
    let mut harness = Harness::new(&["h1", "h2"], 8);
    let meta = harness.meta();
    harness.submit(1, meta);
    harness.ended(1, 0, first);
    assert_eq!(ends(&harness.ended(1, 0, ANSWERED)), [], "the first attempt was abandoned");
    let actions = harness.ended(1, 1, ANSWERED);
    let answer = RequestsAction::Answer { request: RequestId(1), attempt: Some(1) };
    assert_eq!(actions, [answer]);
}

/// Guards against an answer to a request that has ended.
#[test]
fn answers_after_the_end_are_dropped() {
    let mut harness = Harness::new(&["h1"], 8);
    for id in 1..=2 {
        let meta = harness.meta();
        harness.submit(id, meta);
    }
    harness.cancel(1);
    assert_eq!(ends(&harness.answer(1)), []);
    assert_eq!(ends(&harness.answer(2)), [(2, "answered")]);
    assert_eq!(ends(&harness.answer(2)), []);
}

/// Guards against ending a forwarded request twice, or by the result of an attempt
/// that was never started here.
#[test]
fn answers_of_forwards_end_the_request_once() {
    let mut harness = Harness::new(&["h1"], 1);
    harness.saturate();
    harness.event(remote_load(5));
    let meta = harness.meta();
    let actions = harness.submit(1, meta);
    assert!(
        matches!(&actions[..], [RequestsAction::Forward { to, .. }] if *to == peer("r1")),
        "{actions:?}"
    );
    assert_eq!(ends(&harness.ended(1, 0, ANSWERED)), [], "nothing runs here");
    let answered = RequestsEvent::ForwardEnded {
        request: RequestId(1),
        result: ForwardResult::Answered { status: 200 },
    };
    assert_eq!(ends(&harness.event(answered.clone())), [(1, "answered")]);
    assert_eq!(ends(&harness.event(answered)), []);
}

/// Guards against a second request with an id that is in use replacing the first.
#[test]
fn answers_go_to_the_first_request_of_an_id() {
    let mut harness = Harness::new(&["h1"], 8);
    let meta = harness.meta();
    harness.submit(1, meta.clone());
    assert_eq!(harness.submit(1, meta), []);
    assert_eq!(ends(&harness.answer(1)), [(1, "answered")]);
    assert_eq!(dispatched(&harness.answer(1)), []);
}
