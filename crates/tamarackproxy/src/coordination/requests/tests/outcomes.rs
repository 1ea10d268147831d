//! A request ends with the exact outcome at every stage (P4, hazard 2).

use rstest::rstest;

use super::support::{Harness, dispatched, ends};
use crate::coordination::requests::{AttemptResult, RequestsEvent};

const NOT_SENT: AttemptResult = AttemptResult::NotSent;
const REFUSED: AttemptResult = AttemptResult::RefusedBeforeStart { leaving: false };
const LOST: AttemptResult = AttemptResult::Lost;
const TIMED_OUT: AttemptResult = AttemptResult::TimedOut;

/// Guards against reporting `not-run` for a request that a target may have
/// run, or `unknown` for one that certainly did not start.
#[rstest]
#[case::lost(LOST, "unknown")]
#[case::timed_out(TIMED_OUT, "unknown")]
#[case::answered(AttemptResult::Answered { status: 500, leaving: false }, "answered")]
fn outcomes_of_a_single_attempt(#[case] result: AttemptResult, #[case] outcome: &str) {
    let mut harness = Harness::new(&["h1", "h2"], 8);
    let meta = harness.non_repeatable_meta();
    assert_eq!(dispatched(&harness.submit(1, meta)).len(), 1);
    let actions = harness.ended(1, 0, result);
    assert_eq!(ends(&actions), [(1, outcome)]);
    assert_eq!(dispatched(&actions), []);
}

/// Guards against ignoring an earlier attempt that may have run when a later one
/// certainly did not.
#[rstest]
#[case(LOST, NOT_SENT, "unknown")]
#[case(TIMED_OUT, REFUSED, "unknown")]
#[case(NOT_SENT, REFUSED, "not-run")]
#[case(REFUSED, LOST, "unknown")]
fn outcomes_of_two_attempts(
    #[case] first: AttemptResult,
    #[case] second: AttemptResult,
    #[case] outcome: &str,
) {
    let mut harness = Harness::new(&["h1", "h2"], 8);
    let meta = harness.meta();
    harness.submit(1, meta);
    assert_eq!(dispatched(&harness.ended(1, 0, first)).len(), 1, "the budget allows one retry");
    assert_eq!(ends(&harness.ended(1, 1, second)), [(1, outcome)], "and no second one");
}

/// Guards against a wrong outcome of a cancelled request: waiting requests have not
/// run, and requests in flight may have.
#[test]
fn outcomes_of_cancelled_requests() {
    let mut harness = Harness::new(&["h1"], 1);
    for id in 1..=2 {
        let meta = harness.meta();
        harness.submit(id, meta);
    }
    assert_eq!(ends(&harness.cancel(2)), [(2, "not-run")], "it waited");
    assert_eq!(ends(&harness.cancel(1)), [(1, "unknown")], "it was sent");
    assert_eq!(ends(&harness.cancel(1)), [], "a request ends once");
}

/// Guards against losing requests in flight or starting new ones while the entry
/// host stops.
#[test]
fn outcomes_while_stopping() {
    let mut harness = Harness::new(&["h1"], 1);
    for id in 1..=2 {
        let meta = harness.meta();
        harness.submit(id, meta);
    }
    assert_eq!(ends(&harness.event(RequestsEvent::Stopping)), [(2, "not-run")]);
    let meta = harness.meta();
    assert_eq!(ends(&harness.submit(3, meta)), [(3, "not-run")]);
    assert_eq!(ends(&harness.answer(1)), [(1, "answered")], "requests in flight continue");
    assert_eq!(harness.engine.open_requests(), 0);
}
