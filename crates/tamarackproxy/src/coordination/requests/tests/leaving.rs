//! A leaving target receives no new requests from the first signal of any source on
//! (P6).

use rstest::rstest;

use super::support::{Harness, dispatched, ends, peer, targets};
use crate::{
    coordination::requests::{
        AttemptResult, RequestsAction, RequestsEvent, RequestsMessage, TargetState,
    },
    state::ids::HostId,
};

fn leaving_messages(actions: &[RequestsAction]) -> usize {
    let is_leaving = |action: &&RequestsAction| {
        matches!(action, RequestsAction::Send { message: RequestsMessage::Leaving { .. }, .. })
    };
    actions.iter().filter(is_leaving).count()
}

/// Occupies both targets with one request each, and returns the host of the first.
fn harness_with_peers() -> (Harness, HostId) {
    let mut harness = Harness::new(&["h1", "h2"], 1);
    harness.event(RequestsEvent::PeersChanged { peers: vec![peer("e2"), peer("e3")] });
    let meta = harness.meta();
    let host = dispatched(&harness.submit(1, meta)).remove(0).2;
    let meta = harness.meta();
    harness.submit(2, meta);
    (harness, host)
}

fn record_says_leaving(host: &HostId) -> RequestsEvent {
    let states = targets(&["h1", "h2"]).into_iter();
    let state =
        |state: TargetState| TargetState { accepts_work: state.target.host != *host, ..state };
    RequestsEvent::TargetsChanged { targets: states.map(state).collect() }
}

/// Guards against new requests to a leaving target, whatever the source of the
/// signal, and against signals that are not passed on to the peers.
#[rstest]
#[case::platform_list(|host| RequestsEvent::HostLeaving { host }, 2)]
#[case::host_record(|host| record_says_leaving(&host), 2)]
#[case::peer(
    |host| RequestsEvent::Received { from: peer("e2"), message: RequestsMessage::Leaving { host } },
    0
)]
fn leaving_target_gets_no_new_work(
    #[case] event: fn(HostId) -> RequestsEvent,
    #[case] peers_told: usize,
) {
    let (mut harness, host) = harness_with_peers();
    let actions = harness.event(event(host.clone()));
    assert_eq!(leaving_messages(&actions), peers_told);
    assert_eq!(ends(&actions), [], "P7: requests in flight continue");
    let meta = harness.meta();
    harness.submit(3, meta);
    assert_eq!(dispatched(&harness.answer(1)), [], "the freed slot is not used");
    assert_eq!(harness.engine.in_flight_on(&host), 0);
    harness.event(RequestsEvent::TargetsChanged { targets: targets(&["h1", "h2"]) });
}

/// Guards against ignoring the signal in a target's own response or refusal.
#[rstest]
#[case(AttemptResult::Answered { status: 200, leaving: true })]
#[case(AttemptResult::RefusedBeforeStart { leaving: true })]
fn leaving_target_says_so_itself(#[case] result: AttemptResult) {
    let (mut harness, host) = harness_with_peers();
    let actions = harness.ended(1, 0, result);
    assert_eq!(leaving_messages(&actions), 2);
    let meta = harness.meta();
    let after = harness.submit(3, meta);
    assert_eq!(dispatched(&actions), []);
    assert_eq!(dispatched(&after), [], "only the other target is usable, and it is busy");
    // An outdated list of targets does not bring the target back.
    harness.event(RequestsEvent::TargetsChanged { targets: targets(&["h1", "h2"]) });
    assert_eq!(harness.engine.in_flight_on(&host), 0);
}

/// Guards against a host that receives no requests after it came back.
#[test]
fn leaving_target_comes_back_with_its_record() {
    let (mut harness, host) = harness_with_peers();
    harness.answer(1);
    harness.event(RequestsEvent::HostLeaving { host: host.clone() });
    harness.event(record_says_leaving(&host));
    harness.advance(1_000);
    harness.event(RequestsEvent::TargetsChanged { targets: targets(&["h1", "h2"]) });
    let meta = harness.meta();
    assert_eq!(dispatched(&harness.submit(3, meta)), [(3, 0, host)]);
}
