//! Tests of the choice of peers and of the answers to forwarded requests.

use rstest::rstest;
use tamarackproxy::state::ids::{DataCentreId, EntryId};

use super::{
    AttemptResult, ForwardOutcome, ForwardedRequest, Forwarding, IN_FLIGHT_MAX, Question,
    RequestKind, ResponseKind, Verdict,
};
use crate::coordination::relay::Member;

const DEADLINE_MS: u64 = 3_000;

fn peer(name: &str, data_centre: &str) -> Member {
    let address = ([127, 0, 0, 1], 1).into();
    let (entry, data_centre) = (EntryId::new(name), DataCentreId::new(data_centre));
    Member { entry, address, millicores: 500, data_centre }
}

fn forwarding(peers: &[Member]) -> Forwarding {
    let mut forwarding = Forwarding::new(DataCentreId::new("own"), 0);
    forwarding.set_peers(peers.to_vec());
    forwarding
}

fn begin(
    forwarding: &mut Forwarding,
    kind: RequestKind,
    may_take_effect: bool,
) -> ForwardedRequest {
    forwarding.begin(kind, may_take_effect, DEADLINE_MS).expect("the request is forwarded")
}

fn name(question: Result<Question, ForwardOutcome>) -> Result<Box<str>, ForwardOutcome> {
    question.map(|question| question.peer.entry.as_str().into())
}

/// Asks peers one after the other with the same result; returns their names and
/// the outcome.
fn ask_all(
    forwarding: &mut Forwarding,
    now_ms: u64,
    result: AttemptResult,
) -> (Vec<Box<str>>, ForwardOutcome) {
    let mut request = begin(forwarding, RequestKind::Submit, false);
    let mut asked = Vec::new();
    loop {
        match forwarding.next(now_ms, &mut request) {
            Ok(question) => {
                let entry = question.peer.entry;
                forwarding.on_result(now_ms, &entry, &mut request, result);
                asked.push(entry.as_str().into());
            }
            Err(outcome) => {
                forwarding.end();
                return (asked, outcome);
            }
        }
    }
}

/// Guards against a peer that is paused and takes half of the time of every
/// request, and against a peer that is given up because one answer was lost.
#[test]
fn peer_that_lost_an_answer_is_asked_last() {
    let mut forwarding = forwarding(&[peer("a", "own"), peer("b", "far")]);
    let mut request = begin(&mut forwarding, RequestKind::Read, false);
    let first = forwarding.next(0, &mut request).expect("a peer").peer.entry;
    forwarding.on_result(0, &first, &mut request, AttemptResult::Lost);
    let (asked, _) = ask_all(&mut forwarding, 1, AttemptResult::Overloaded);
    assert_eq!(*asked, ["b".into(), "a".into()]);
}

/// Guards against requests that cross between data centres although a peer is
/// near, and against one peer that gets all of them.
#[test]
fn near_peers_come_first_and_take_turns() {
    let mut forwarding = forwarding(&[peer("a", "far"), peer("b", "own"), peer("c", "own")]);
    let mut chosen: Vec<Box<str>> = (0..6)
        .map(|_| {
            let mut request = begin(&mut forwarding, RequestKind::Read, false);
            name(forwarding.next(0, &mut request)).expect("a peer")
        })
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(*chosen, ["b".into(), "c".into()]);
}

/// Guards against a request that asks only peers behind the same cut as the
/// process: the second peer is in another data centre.
#[test]
fn second_peer_is_in_another_data_centre() {
    let mut forwarding = forwarding(&[peer("a", "own"), peer("b", "own"), peer("z", "far")]);
    let (asked, _) = ask_all(&mut forwarding, 0, AttemptResult::NoStore);
    assert_eq!(asked.last().map(|name| &**name), Some("z"));
}

/// Guards against a request that goes through all peers while its caller waits,
/// and against one that asks a peer twice.
#[test]
fn two_peers_are_asked_at_most() {
    let peers = [peer("a", "own"), peer("b", "own"), peer("c", "own"), peer("d", "far")];
    let mut forwarding = forwarding(&peers);
    let (asked, outcome) = ask_all(&mut forwarding, 0, AttemptResult::Overloaded);
    assert_eq!(asked.len(), 2);
    assert_ne!(asked[0], asked[1]);
    assert_eq!(outcome, ForwardOutcome::Overloaded);
}

/// Guards against requests that each spend their time on a peer that is known to
/// be of no help, and against a peer that is forgotten for good.
#[rstest]
#[case(AttemptResult::NoStore, true)]
#[case(AttemptResult::NotConnected, true)]
#[case(AttemptResult::Rejected, true)]
#[case(AttemptResult::Overloaded, false)]
fn failed_peer_is_avoided_for_a_second(#[case] result: AttemptResult, #[case] is_avoided: bool) {
    let mut forwarding = forwarding(&[peer("a", "own")]);
    assert_eq!(ask_all(&mut forwarding, 0, result).0.len(), 1);
    let (asked, outcome) = ask_all(&mut forwarding, 999, result);
    assert_eq!(asked.is_empty(), is_avoided);
    if is_avoided {
        assert_eq!(outcome, ForwardOutcome::PeersAvoided);
    }
    assert_eq!(ask_all(&mut forwarding, 2_000, result).0.len(), 1);
}

/// Guards against a list that is read again and makes the process ask peers that
/// have just failed.
#[test]
fn new_list_keeps_what_is_known_of_peers() {
    let mut forwarding = forwarding(&[peer("a", "own")]);
    ask_all(&mut forwarding, 0, AttemptResult::NoStore);
    forwarding.set_peers(vec![peer("a", "own"), peer("b", "far")]);
    let (asked, _) = ask_all(&mut forwarding, 500, AttemptResult::NoStore);
    assert_eq!(*asked, ["b".into()]);
}

/// Guards against peers of the own data centre that take the first attempt of
/// every request during a long cut, only because they are near.
#[test]
fn peer_that_failed_is_asked_last() {
    let mut forwarding = forwarding(&[peer("a", "own"), peer("b", "far")]);
    let mut request = begin(&mut forwarding, RequestKind::Read, false);
    let first = forwarding.next(0, &mut request).expect("a peer").peer.entry;
    assert_eq!(first.as_str(), "a");
    forwarding.on_result(0, &first, &mut request, AttemptResult::NoStore);
    let mut request = begin(&mut forwarding, RequestKind::Read, false);
    assert_eq!(name(forwarding.next(1_500, &mut request)), Ok("b".into()));
    let begun = forwarding.begin(RequestKind::Read, false, 10_500 + DEADLINE_MS);
    let mut request = begun.expect("the request is forwarded");
    assert_eq!(name(forwarding.next(10_500, &mut request)), Ok("a".into()));
}

/// Guards against a cut that makes a process flood its peers, and against places
/// that are never released.
#[test]
fn requests_in_flight_are_bounded() {
    let mut forwarding = forwarding(&[peer("a", "own")]);
    for _ in 0..IN_FLIGHT_MAX {
        begin(&mut forwarding, RequestKind::Submit, false);
    }
    let refused = forwarding.begin(RequestKind::Submit, false, DEADLINE_MS);
    assert_eq!(refused.err(), Some(ForwardOutcome::AtLimit));
    forwarding.end();
    begin(&mut forwarding, RequestKind::Submit, false);
}

/// Guards against a first peer that uses up the caller's time, so that the second
/// one cannot answer, and against peers that are asked when no time is left.
#[test]
fn time_is_kept_for_the_second_peer() {
    let mut forwarding = forwarding(&[peer("a", "own"), peer("b", "far")]);
    let mut request = begin(&mut forwarding, RequestKind::Submit, false);
    let first = forwarding.next(1_000, &mut request).expect("a peer");
    assert_eq!(first.limit_ms, 1_000);
    forwarding.on_result(2_000, &first.peer.entry, &mut request, AttemptResult::Lost);
    let second = forwarding.next(2_000, &mut request).expect("a peer");
    assert_eq!(second.limit_ms, 1_000);
    let mut late = begin(&mut forwarding, RequestKind::Submit, false);
    assert_eq!(forwarding.next(2_901, &mut late), Err(ForwardOutcome::TimeOver));
    let mut over = begin(&mut forwarding, RequestKind::Submit, false);
    assert_eq!(forwarding.next(4_000, &mut over), Err(ForwardOutcome::TimeOver));
}

const NO_EFFECT: AttemptResult = AttemptResult::Answered(ResponseKind::NoEffect);
const SETTLED: AttemptResult = AttemptResult::Answered(ResponseKind::Settled);
const UNKNOWN: AttemptResult = AttemptResult::Answered(ResponseKind::Unknown);

/// Guards against "not accepted" for a job whose earlier write may still take
/// effect, and against a definite answer that is withheld.
#[rstest]
#[case::accepted(RequestKind::Submit, false, SETTLED, Verdict::UseResponse)]
#[case::accepted_in_doubt(RequestKind::Submit, true, SETTLED, Verdict::UseResponse)]
#[case::refused(RequestKind::Submit, false, NO_EFFECT, Verdict::UseResponse)]
#[case::refused_in_doubt(RequestKind::Submit, true, NO_EFFECT, Verdict::Unknown)]
#[case::unknown(RequestKind::Submit, false, UNKNOWN, Verdict::Unknown)]
#[case::no_state(RequestKind::Read, false, NO_EFFECT, Verdict::AskNext)]
#[case::cancelled_in_doubt(RequestKind::Cancel, true, SETTLED, Verdict::UseResponse)]
#[case::not_cancelled(RequestKind::Cancel, false, NO_EFFECT, Verdict::AskNext)]
#[case::no_store(RequestKind::Submit, true, AttemptResult::NoStore, Verdict::AskNext)]
fn answer_is_truthful(
    #[case] kind: RequestKind,
    #[case] may_take_effect: bool,
    #[case] result: AttemptResult,
    #[case] expected: Verdict,
) {
    let mut forwarding = forwarding(&[peer("a", "own")]);
    let mut request = begin(&mut forwarding, kind, may_take_effect);
    let asked = forwarding.next(0, &mut request).expect("a peer").peer.entry;
    assert_eq!(forwarding.on_result(0, &asked, &mut request, result), expected);
}

/// Guards against a lost answer of the first peer that a "not accepted" of the
/// second one hides: the first peer's write may still take effect.
#[rstest]
#[case(RequestKind::Submit, Verdict::Unknown, true)]
#[case(RequestKind::Cancel, Verdict::AskNext, true)]
#[case(RequestKind::Read, Verdict::AskNext, false)]
fn lost_answer_leaves_a_doubt(
    #[case] kind: RequestKind,
    #[case] expected: Verdict,
    #[case] may_take_effect: bool,
) {
    let mut forwarding = forwarding(&[peer("a", "own"), peer("b", "own")]);
    let mut request = begin(&mut forwarding, kind, false);
    let first = forwarding.next(0, &mut request).expect("a peer").peer.entry;
    forwarding.on_result(0, &first, &mut request, AttemptResult::Lost);
    let second = forwarding.next(0, &mut request).expect("a peer").peer.entry;
    assert_eq!(forwarding.on_result(0, &second, &mut request, NO_EFFECT), expected);
    assert_eq!(request.may_take_effect(), may_take_effect);
}
