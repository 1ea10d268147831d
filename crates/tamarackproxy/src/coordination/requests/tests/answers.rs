//! A caller gets the response to its own request, however late and in
//! whatever order responses arrive (P3, hazard 1).

use rstest::rstest;

use super::support::{Bench, dispatched, ends, peer, remote_load};
use crate::{
    coordination::requests::{AttemptResult, ForwardResult, RequestsAction, RequestsEvent},
    state::ids::RequestId,
};

const ANSWERED: AttemptResult = AttemptResult::Answered { status: 200, leaving: false };

/// Guards against passing on the late response of an attempt that was given
/// up, while a later attempt of the same request runs.
#[rstest]
#[case(AttemptResult::Lost)]
#[case(AttemptResult::TimedOut)]
fn answers_come_from_the_current_attempt(#[case] first: AttemptResult) {
    let mut bench = Bench::new(&["h1", "h2"], 8);
    let meta = bench.meta();
    bench.submit(1, meta);
    bench.ended(1, 0, first);
    assert_eq!(ends(&bench.ended(1, 0, ANSWERED)), [], "the first attempt was given up");
    let actions = bench.ended(1, 1, ANSWERED);
    let answer = RequestsAction::Answer { request: RequestId(1), attempt: Some(1) };
    assert_eq!(actions, [answer]);
}

/// Guards against an answer to a request that has ended.
#[test]
fn answers_after_the_end_are_dropped() {
    let mut bench = Bench::new(&["h1"], 8);
    for id in 1..=2 {
        let meta = bench.meta();
        bench.submit(id, meta);
    }
    bench.cancel(1);
    assert_eq!(ends(&bench.answer(1)), []);
    assert_eq!(ends(&bench.answer(2)), [(2, "answered")]);
    assert_eq!(ends(&bench.answer(2)), []);
}

/// Guards against ending a request by an event that belongs to its forward
/// after the caller went away, or to an attempt that never was.
#[test]
fn answers_of_forwards_end_the_request_once() {
    let mut bench = Bench::new(&["h1"], 1);
    bench.saturate();
    bench.event(remote_load(5));
    let meta = bench.meta();
    let actions = bench.submit(1, meta);
    assert!(
        matches!(&actions[..], [RequestsAction::Forward { to, .. }] if *to == peer("r1")),
        "{actions:?}"
    );
    assert_eq!(ends(&bench.ended(1, 0, ANSWERED)), [], "nothing runs here");
    let answered = RequestsEvent::ForwardEnded {
        request: RequestId(1),
        result: ForwardResult::Answered { status: 200 },
    };
    assert_eq!(ends(&bench.event(answered.clone())), [(1, "answered")]);
    assert_eq!(ends(&bench.event(answered)), []);
}

/// Guards against a second request under an id that is in use taking the
/// place of the first.
#[test]
fn answers_go_to_the_first_request_of_an_id() {
    let mut bench = Bench::new(&["h1"], 8);
    let meta = bench.meta();
    bench.submit(1, meta.clone());
    assert_eq!(bench.submit(1, meta), []);
    assert_eq!(ends(&bench.answer(1)), [(1, "answered")]);
    assert_eq!(dispatched(&bench.answer(1)), []);
}
