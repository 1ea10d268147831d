//! A leaving target gets nothing new, from the first sign of any source (P6).

use rstest::rstest;

use super::support::{Bench, dispatched, ends, peer, targets};
use crate::{
    coordination::requests::{
        AttemptResult, RequestsAction, RequestsEvent, RequestsMessage, TargetState,
    },
    state::ids::HostId,
};

fn told(actions: &[RequestsAction]) -> usize {
    let is_leaving = |action: &&RequestsAction| {
        matches!(action, RequestsAction::Send { message: RequestsMessage::Leaving { .. }, .. })
    };
    actions.iter().filter(is_leaving).count()
}

/// Makes both targets busy with one request, and returns the host of the first.
fn bench_with_peers() -> (Bench, HostId) {
    let mut bench = Bench::new(&["h1", "h2"], 1);
    bench.event(RequestsEvent::PeersChanged { peers: vec![peer("e2"), peer("e3")] });
    let meta = bench.meta();
    let host = dispatched(&bench.submit(1, meta)).remove(0).2;
    let meta = bench.meta();
    bench.submit(2, meta);
    (bench, host)
}

fn record_says_leaving(host: &HostId) -> RequestsEvent {
    let states = targets(&["h1", "h2"]).into_iter();
    let state =
        |state: TargetState| TargetState { accepts_work: state.target.host != *host, ..state };
    RequestsEvent::TargetsChanged { targets: states.map(state).collect() }
}

/// Guards against new work on a leaving target, whatever told of it, and
/// against signs that the peers do not learn.
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
    let (mut bench, host) = bench_with_peers();
    let actions = bench.event(event(host.clone()));
    assert_eq!(told(&actions), peers_told);
    assert_eq!(ends(&actions), [], "P7: what is in flight goes on");
    let meta = bench.meta();
    bench.submit(3, meta);
    assert_eq!(dispatched(&bench.answer(1)), [], "the freed slot is not used");
    assert_eq!(bench.engine.in_flight_on(&host), 0);
    bench.event(RequestsEvent::TargetsChanged { targets: targets(&["h1", "h2"]) });
}

/// Guards against ignoring the sign in a target's own response or refusal.
#[rstest]
#[case(AttemptResult::Answered { status: 200, leaving: true })]
#[case(AttemptResult::RefusedBeforeStart { leaving: true })]
fn leaving_target_says_so_itself(#[case] result: AttemptResult) {
    let (mut bench, host) = bench_with_peers();
    let actions = bench.ended(1, 0, result);
    assert_eq!(told(&actions), 2);
    let meta = bench.meta();
    let after = bench.submit(3, meta);
    assert_eq!(dispatched(&actions), []);
    assert_eq!(dispatched(&after), [], "only the other target is usable, and it is busy");
    // A list that has not caught up does not bring the target back.
    bench.event(RequestsEvent::TargetsChanged { targets: targets(&["h1", "h2"]) });
    assert_eq!(bench.engine.in_flight_on(&host), 0);
}

/// Guards against a host that stays out of use after its reboot.
#[test]
fn leaving_target_comes_back_with_its_record() {
    let (mut bench, host) = bench_with_peers();
    bench.answer(1);
    bench.event(RequestsEvent::HostLeaving { host: host.clone() });
    bench.event(record_says_leaving(&host));
    bench.advance(1_000);
    bench.event(RequestsEvent::TargetsChanged { targets: targets(&["h1", "h2"]) });
    let meta = bench.meta();
    assert_eq!(dispatched(&bench.submit(3, meta)), [(3, 0, host)]);
}
