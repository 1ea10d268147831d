//! Outcomes are exact at each step of a request's life (P4, hazard 2).

use rstest::rstest;

use super::support::{Bench, dispatched, ends};
use crate::coordination::requests::{AttemptResult, RequestsEvent};

const NOT_SENT: AttemptResult = AttemptResult::NotSent;
const REFUSED: AttemptResult = AttemptResult::RefusedBeforeStart { leaving: false };
const LOST: AttemptResult = AttemptResult::Lost;
const TIMED_OUT: AttemptResult = AttemptResult::TimedOut;

/// Guards against reporting `not-run` for a request that a target may have
/// run, and `unknown` for one that provably never started.
#[rstest]
#[case::lost(LOST, "unknown")]
#[case::timed_out(TIMED_OUT, "unknown")]
#[case::answered(AttemptResult::Answered { status: 500, leaving: false }, "answered")]
fn outcomes_of_a_single_attempt(#[case] result: AttemptResult, #[case] outcome: &str) {
    let mut bench = Bench::new(&["h1", "h2"], 8);
    let meta = bench.once();
    assert_eq!(dispatched(&bench.submit(1, meta)).len(), 1);
    let actions = bench.ended(1, 0, result);
    assert_eq!(ends(&actions), [(1, outcome)]);
    assert_eq!(dispatched(&actions), []);
}

/// Guards against forgetting an earlier attempt that may have run when a later
/// one provably did not.
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
    let mut bench = Bench::new(&["h1", "h2"], 8);
    let meta = bench.meta();
    bench.submit(1, meta);
    assert_eq!(dispatched(&bench.ended(1, 0, first)).len(), 1, "the budget allows one retry");
    assert_eq!(ends(&bench.ended(1, 1, second)), [(1, outcome)], "and no second one");
}

/// Guards against an outcome that does not fit the stage at which the caller
/// went away.
#[test]
fn outcomes_of_cancelled_requests() {
    let mut bench = Bench::new(&["h1"], 1);
    for id in 1..=2 {
        let meta = bench.meta();
        bench.submit(id, meta);
    }
    assert_eq!(ends(&bench.cancel(2)), [(2, "not-run")], "it waited");
    assert_eq!(ends(&bench.cancel(1)), [(1, "unknown")], "it was sent");
    assert_eq!(ends(&bench.cancel(1)), [], "a request ends once");
}

/// Guards against work that is lost or started while the entry host stops.
#[test]
fn outcomes_while_stopping() {
    let mut bench = Bench::new(&["h1"], 1);
    for id in 1..=2 {
        let meta = bench.meta();
        bench.submit(id, meta);
    }
    assert_eq!(ends(&bench.event(RequestsEvent::Stopping)), [(2, "not-run")]);
    let meta = bench.meta();
    assert_eq!(ends(&bench.submit(3, meta)), [(3, "not-run")]);
    assert_eq!(ends(&bench.answer(1)), [(1, "answered")], "what is in flight goes on");
    assert_eq!(bench.engine.open_requests(), 0);
}
