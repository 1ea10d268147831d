//! Retries with the same key in every state of the key, and under every kind of
//! fault.

use rstest::rstest;

use super::driver::{Driver, Writes};
use crate::{
    coordination::once::{
        CLOCK_TOLERANCE_MS, KEPT_RESPONSE_BYTES_MAX, KEY_RETENTION_MS, OnceAction, OnceEvent,
        RunResult, copies::CopiedClaims,
    },
    protocol::caller::Refusal,
    state::ids::{RequestId, Term},
};

const ANSWERED: RunResult = RunResult::Answered { size_bytes: 100 };

fn end_run(driver: &mut Driver, engine: usize, request: u64, result: RunResult) {
    driver.handle(engine, OnceEvent::RunEnded { request: RequestId(request), result });
}

/// Returns two entry hosts and one seat, which the first holds.
fn one_seat() -> Driver {
    let mut driver = Driver::new(2, 1);
    driver.take_seat(0, 0, 1);
    driver
}

fn take_over(driver: &mut Driver) {
    driver.stopped.insert(0);
    driver.advance(16_000);
    driver.take_seat(1, 0, 2);
}

/// Guards against a second run or a wrong answer when a retry reaches the same home.
#[rstest]
#[case(None, Some(("unknown", &Refusal::KeyInProgress)), 1)]
#[case(Some(ANSWERED), None, 1)]
#[case(Some(RunResult::Unknown), Some(("unknown", &Refusal::OutcomeLost)), 1)]
#[case(Some(RunResult::NotRun), None, 2)]
fn once_repeat_at_the_same_home(
    #[case] ended: Option<RunResult>,
    #[case] refusal: Option<(&str, &Refusal)>,
    #[case] starts: usize,
) {
    let mut driver = one_seat();
    let claim = driver.claim(1, 0, 1, 0);
    driver.submit(0, 1, claim);
    let answered = ended == Some(ANSWERED);
    if let Some(result) = ended {
        end_run(&mut driver, 0, 1, result);
    }
    driver.submit(0, 2, claim);
    assert_eq!(driver.refusal(2), refusal);
    assert_eq!(driver.runs.len(), starts);
    let replay = OnceAction::Replay { request: RequestId(2), first: RequestId(1) };
    assert_eq!(driver.ended.get(&RequestId(2)) == Some(&replay), answered);
}

/// Guards against running a different request under a key that was used before.
#[test]
fn once_other_body_is_a_conflict() {
    let mut driver = one_seat();
    let mut claim = driver.claim(1, 0, 1, 0);
    driver.submit(0, 1, claim);
    claim.body.0[0] ^= 1;
    driver.submit(0, 2, claim);
    assert_eq!(driver.refusal(2), Some(("not-run", &Refusal::KeyConflict)));
}

/// Guards against accepting keys that are expired or come from a caller with a wrong
/// clock, and could run again once they are deleted from the log.
#[rstest]
#[case(-(KEY_RETENTION_MS as i64) - 1_000, false)]
#[case(-(KEY_RETENTION_MS as i64) + 1_000, true)]
#[case(CLOCK_TOLERANCE_MS as i64 - 1_000, true)]
#[case(CLOCK_TOLERANCE_MS as i64 + 1_000, false)]
fn once_key_outside_its_time_is_refused(#[case] offset_ms: i64, #[case] runs: bool) {
    let mut driver = one_seat();
    let claim = driver.claim(1, 0, 1, offset_ms);
    driver.submit(0, 1, claim);
    assert_eq!(driver.runs.len(), usize::from(runs));
    assert_eq!(driver.refusal(1).is_none(), runs);
}

/// Guards against a run before its claim is durable: the home dies while the claim is
/// being written, and the successor may run a retry.
#[test]
fn once_home_dies_before_the_claim() {
    let mut driver = one_seat();
    let claim = driver.claim(1, 0, 1, 0);
    driver.writes = Writes::Held;
    driver.submit(0, 1, claim);
    assert!(driver.runs.is_empty());
    driver.drop_held();
    take_over(&mut driver);
    driver.submit(1, 2, claim);
    assert_eq!(driver.runs, [(1, RequestId(2))]);
}

/// Guards against a second run by the successor of a home that died after claiming or
/// after running the request.
#[rstest]
#[case(false)]
#[case(true)]
fn once_home_dies_after_the_claim(#[case] ran: bool) {
    let mut driver = one_seat();
    let claim = driver.claim(1, 0, 1, 0);
    driver.submit(0, 1, claim);
    if ran {
        end_run(&mut driver, 0, 1, ANSWERED);
    }
    take_over(&mut driver);
    driver.submit(1, 2, claim);
    assert_eq!(driver.refusal(2), Some(("unknown", &Refusal::OutcomeLost)));
    assert_eq!(driver.runs.len(), 1);
}

/// Guards against a successor that runs a key whose claim was released, although the
/// first home has claimed and run it again.
#[test]
fn once_released_key_that_ran_again_is_not_run_by_the_successor() {
    let mut driver = one_seat();
    let claim = driver.claim(1, 0, 1, 0);
    driver.submit(0, 1, claim);
    end_run(&mut driver, 0, 1, RunResult::NotRun);
    driver.submit(0, 2, claim);
    end_run(&mut driver, 0, 2, ANSWERED);
    driver.advance(3_000);
    take_over(&mut driver);
    driver.submit(1, 3, claim);
    assert_eq!(driver.runs.len(), 2);
    assert_eq!(driver.refusal(3), Some(("unknown", &Refusal::OutcomeLost)));
}

/// Guards against a run by a holder that was paused while another took over: its
/// write conflicts, and the key runs only at the successor.
#[test]
fn once_paused_holder_collides_with_its_successor() {
    let mut driver = one_seat();
    let claim = driver.claim(1, 0, 1, 0);
    driver.writes = Writes::Held;
    driver.submit(0, 1, claim);
    driver.stopped.insert(0);
    driver.writes = Writes::Answered;
    driver.advance(16_000);
    driver.take_seat(1, 0, 2);
    driver.submit(1, 2, claim);
    driver.stopped.clear();
    driver.release_held();
    driver.advance(10_000);
    assert_eq!(driver.runs, [(1, RequestId(2))]);
    assert_eq!(driver.refusal(1).map(|(outcome, _)| outcome), Some("unknown"));
    assert_eq!(driver.open.get(&0), Some(&false));
}

/// Guards against writing a second batch or giving up a claim when the reply to a
/// successful write is lost.
#[test]
fn once_lost_reply_is_read_back() {
    let mut driver = one_seat();
    let before = driver.created;
    driver.writes = Writes::ReplyLost;
    let claim = driver.claim(1, 0, 1, 0);
    driver.submit(0, 1, claim);
    assert_eq!(driver.runs, [(0, RequestId(1))]);
    assert_eq!(driver.created, before + 1);
}

/// Guards against several writes in flight, and against one write per claim.
#[test]
fn once_claims_share_a_write() {
    let mut driver = one_seat();
    let before = driver.created;
    for request in 0..100 {
        let claim = driver.claim(request, 0, 1, 0);
        driver.handle(0, OnceEvent::Submitted { request: RequestId(request), claim });
    }
    driver.advance(100);
    assert_eq!(driver.runs.len(), 100);
    assert_eq!(driver.created, before + 2, "one write immediately and one for the rest");
}

/// Guards against a request that hangs or ends with a wrong outcome while the store is
/// unreachable but the data centre is not in detached mode.
#[test]
fn once_claim_that_cannot_be_written_ends_as_not_run() {
    let mut driver = one_seat();
    driver.store_up = false;
    let claim = driver.claim(1, 0, 1, 0);
    driver.submit(0, 1, claim);
    driver.advance(6_000);
    assert_eq!(driver.refusal(1), Some(("not-run", &Refusal::ClaimUnavailable)));
    driver.store_up = true;
    driver.advance(5_000);
    driver.submit(0, 2, claim);
    assert_eq!(driver.runs, [(0, RequestId(2))]);
}

/// Guards against starting a retry when the write of an abandoned claim succeeds: the
/// retry has claimed the same key again, and its own claim is not durable yet.
#[test]
fn once_claim_given_up_does_not_start_its_repeat() {
    let mut driver = one_seat();
    let claim = driver.claim(1, 0, 1, 0);
    driver.writes = Writes::Held;
    driver.submit(0, 1, claim);
    driver.advance(6_000);
    assert_eq!(driver.refusal(1), Some(("not-run", &Refusal::ClaimUnavailable)));
    driver.submit(0, 2, claim);
    driver.release_held();
    assert!(driver.runs.is_empty());
    driver.writes = Writes::Answered;
    driver.release_held();
    driver.advance(2_000);
    assert_eq!(driver.runs, [(0, RequestId(2))]);
}

/// Guards against acknowledging a copy after a successor has fetched the copies, so
/// that it would miss this one.
#[test]
fn once_copies_of_a_fenced_holder_are_refused() {
    let driver = one_seat();
    let claim = driver.claim(1, 0, 1, 0);
    let mut keeper = CopiedClaims::default();
    assert!(keeper.keep(0, Term(1), 1, vec![claim]));
    assert_eq!(keeper.fetch(0, Term(2)).0, [claim]);
    assert!(!keeper.keep(0, Term(1), 2, vec![claim]));
}

/// Returns three entry hosts, of which the first two hold the two seats.
fn two_seats() -> Driver {
    let mut driver = Driver::new(3, 2);
    driver.set_peers(&[0, 1]);
    driver.take_seat(0, 0, 1);
    driver.take_seat(1, 1, 1);
    driver
}

fn run_detached(driver: &mut Driver) -> crate::coordination::once::Claim {
    driver.set_detached(true, &[0, 1]);
    let claim = driver.claim(1, 0, 2, 0);
    driver.submit(0, 1, claim);
    assert_eq!(driver.runs, [(0, RequestId(1))], "a copy makes the claim durable");
    claim
}

/// Guards against a key that ran in detached mode and runs again at the successor of
/// its dead home. With the peer's copies, the successor still accepts other keys.
#[test]
fn once_detached_claim_survives_the_death_of_its_home() {
    let mut driver = two_seats();
    let claim = run_detached(&mut driver);
    driver.stopped.insert(0);
    driver.set_detached(false, &[1]);
    driver.set_peers(&[1, 2]);
    driver.advance(16_000);
    driver.take_seat(2, 0, 2);
    driver.submit(2, 2, claim);
    assert_eq!(driver.refusal(2), Some(("unknown", &Refusal::OutcomeLost)));
    let fresh = driver.claim(2, 0, 2, 0);
    driver.submit(2, 3, fresh);
    assert_eq!(driver.runs.last(), Some(&(2, RequestId(3))));
}

/// Guards against a second run when both the home and the only holder of its copies
/// die before the claims are written to the log.
#[test]
fn once_detached_and_both_hosts_die() {
    let mut driver = two_seats();
    let claim = run_detached(&mut driver);
    driver.stopped.extend([0, 1]);
    driver.store_up = true;
    driver.set_peers(&[2]);
    driver.advance(16_000);
    driver.take_seat(2, 0, 2);
    driver.submit(2, 2, claim);
    assert_eq!(driver.refusal(2), Some(("unknown", &Refusal::OutcomeLost)));
    driver.advance(CLOCK_TOLERANCE_MS + 60_000);
    let fresh = driver.claim(2, 0, 2, 0);
    driver.submit(2, 3, fresh);
    assert_eq!(driver.runs, [(0, RequestId(1)), (2, RequestId(3))]);
}

/// Guards against claims made in detached mode that are not written to the store once
/// it is reachable again.
#[test]
fn once_detached_claims_are_flushed_after_healing() {
    let mut driver = two_seats();
    let claim = run_detached(&mut driver);
    end_run(&mut driver, 0, 1, ANSWERED);
    driver.set_detached(false, &[0, 1]);
    driver.advance(5_000);
    driver.stopped.extend([0, 1]);
    driver.set_peers(&[2]);
    driver.advance(16_000);
    let before = driver.batches();
    driver.take_seat(2, 0, 2);
    driver.submit(2, 2, claim);
    assert_eq!(driver.refusal(2), Some(("unknown", &Refusal::OutcomeLost)));
    assert_eq!((before, driver.batches()), (3, 4));
}

/// Guards against running claims that are not durable, in detached mode without
/// peers.
#[test]
fn once_detached_without_peers_is_refused() {
    let mut driver = one_seat();
    driver.set_detached(true, &[0]);
    let claim = driver.claim(1, 0, 1, 0);
    driver.submit(0, 1, claim);
    assert_eq!(driver.refusal(1), Some(("not-run", &Refusal::ClaimUnavailable)));
    assert!(driver.runs.is_empty());
}

/// Guards against a key that ran at its previous home and runs again at its new home
/// after a change of the number of seats.
#[test]
fn once_change_of_seats_leaves_moved_keys_unknown() {
    let mut driver = one_seat();
    let claim = driver.claim(1, 1, 2, 0);
    driver.submit(0, 1, claim);
    for engine in [0, 1] {
        driver.handle(engine, OnceEvent::SeatsConfigured { seats: 2 });
    }
    driver.take_seat(1, 1, 2);
    driver.submit(1, 2, claim);
    assert_eq!(driver.refusal(2), Some(("unknown", &Refusal::OutcomeLost)));
    driver.advance(CLOCK_TOLERANCE_MS + 60_000);
    let fresh = driver.claim(2, 1, 2, 0);
    driver.submit(1, 3, fresh);
    assert_eq!(driver.runs, [(0, RequestId(1)), (1, RequestId(3))]);
}

/// Guards against a log that grows without bound, and against deleting batches whose
/// keys may still be retried.
#[test]
fn once_old_batches_are_removed_after_retention() {
    let mut driver = one_seat();
    for request in 0..20 {
        let claim = driver.claim(request, 0, 1, 0);
        driver.submit(0, request, claim);
        end_run(&mut driver, 0, request, ANSWERED);
    }
    let batches = driver.batches();
    driver.advance(KEY_RETENTION_MS);
    assert_eq!(driver.batches(), batches);
    driver.advance(CLOCK_TOLERANCE_MS + 60_000);
    assert_eq!(driver.batches(), 1, "the newest batch holds the last sequence number");
}

/// Guards against caching responses without bound, and against a second run after a
/// response was discarded.
#[test]
fn once_forgotten_response_is_unknown() {
    let mut driver = one_seat();
    let claims: Vec<_> = (0..2).map(|number| driver.claim(number, 0, 1, 0)).collect();
    for (request, claim) in (0..).zip(&claims) {
        driver.submit(0, request, *claim);
        let size_bytes = KEPT_RESPONSE_BYTES_MAX * 2 / 3;
        end_run(&mut driver, 0, request, RunResult::Answered { size_bytes });
    }
    assert_eq!(driver.forgotten, [RequestId(0)]);
    driver.submit(0, 7, claims[0]);
    assert_eq!(driver.refusal(7), Some(("unknown", &Refusal::ResponseForgotten)));
}

/// Guards against stopping without closing the log, after which a successor could not
/// tell whether claims are missing.
#[test]
fn once_stopping_closes_the_log() {
    let mut driver = one_seat();
    let claim = driver.claim(1, 0, 1, 0);
    driver.submit(0, 1, claim);
    driver.handle(0, OnceEvent::Stopping);
    let late = driver.claim(2, 0, 1, 0);
    driver.submit(0, 2, late);
    assert_eq!(driver.refusal(2), Some(("not-run", &Refusal::Stopping)));
    assert_eq!(driver.open.get(&0), Some(&true), "a run is still in progress");
    end_run(&mut driver, 0, 1, ANSWERED);
    driver.advance(100);
    assert_eq!(driver.open.get(&0), Some(&false));
}
