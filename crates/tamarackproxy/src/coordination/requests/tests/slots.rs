//! Slot shares of one engine (hazard 5).

use super::support::{Bench, SERVICE, dispatched, ends, peer, services, target};
use crate::{
    coordination::requests::{
        ATTEMPT_GRACE_MS, AttemptResult, LOAN_DURATION_MS, LoanId, RequestsAction, RequestsEvent,
        RequestsMessage, SeatShare, slots::base_slots,
    },
    state::ids::{HostId, ServiceId},
};

const SEATS_2: Option<SeatShare> = Some(SeatShare { index: 0, seats: 2 });

/// Guards against shares that add up to more (overrun) or less (waste) than
/// the slots of a target.
#[test]
fn slots_shares_add_up() {
    for seats in [1, 2, 3, 7, 8, 32] {
        for host in 0..20 {
            let target = target(&format!("h{host}"));
            let limits = services(8, 1).remove(0);
            let base = |index| base_slots(&limits, &target, SeatShare { index, seats });
            assert_eq!((0..seats).map(base).sum::<u16>(), 8, "{seats} seats");
        }
    }
}

/// Guards against reuse of a slot whose attempt may still run at the target.
#[test]
fn slots_of_unfinished_attempts_stay_in_use() {
    let mut bench = Bench::new(&["h1"], 1);
    let meta = bench.once();
    bench.submit(1, meta);
    bench.advance(1_000);
    assert_eq!(ends(&bench.cancel(1)), [(1, "unknown")]);
    let meta = bench.meta();
    assert_eq!(dispatched(&bench.submit(2, meta)), []);
    assert_eq!(bench.engine.in_flight_on(&HostId::new("h1")), 1);
    // The attempt's deadline is 4 s away; its grace follows.
    assert_eq!(dispatched(&bench.advance(4_000 + ATTEMPT_GRACE_MS - 1)), []);
    assert_eq!(dispatched(&bench.advance(1)).len(), 1);
}

/// Guards against holding the slot of an aborted attempt that has ended.
#[test]
fn slots_of_answered_aborted_attempts_are_free() {
    let mut bench = Bench::new(&["h1"], 1);
    let meta = bench.once();
    bench.submit(1, meta);
    bench.cancel(1);
    let meta = bench.meta();
    bench.submit(2, meta);
    assert_eq!(dispatched(&bench.ended(1, 0, AttemptResult::Lost)), []);
    assert_eq!(dispatched(&bench.answer(1)).len(), 1);
}

fn lends(actions: &[RequestsAction]) -> Vec<(LoanId, u16)> {
    let lend = |action: &RequestsAction| match action {
        RequestsAction::Send { message: RequestsMessage::Lend { loan, slots, .. }, .. } => {
            Some((*loan, *slots))
        }
        _ => None,
    };
    actions.iter().filter_map(lend).collect()
}

fn borrow(bench: &mut Bench) -> Vec<RequestsAction> {
    let service = ServiceId::new(SERVICE);
    let message = RequestsMessage::Borrow { service, wanted: 10, asked_at_ms: 5 };
    bench.event(RequestsEvent::Received { from: peer("e2"), message })
}

/// Guards against a lender that uses lent slots before the loan has certainly
/// ended, and against a drain that ignores them.
#[test]
fn slots_lent_are_in_use_until_the_loan_ends() {
    let mut bench = Bench::without_seat(&["h1"], 8);
    bench.event(RequestsEvent::SeatChanged { seat: SEATS_2 });
    assert_eq!(lends(&borrow(&mut bench)).iter().map(|lend| lend.1).sum::<u16>(), 4);
    assert_eq!(bench.engine.in_flight_on(&HostId::new("h1")), 4);
    let meta = bench.meta();
    assert_eq!(dispatched(&bench.submit(1, meta)), []);
    bench.advance(4_000);
    bench.cancel(1);
    bench.advance(LOAN_DURATION_MS - 4_000);
    let meta = bench.meta();
    assert_eq!(dispatched(&bench.submit(2, meta)), [], "clocks drift by up to 10%");
    assert_eq!(dispatched(&bench.advance(LOAN_DURATION_MS / 10)).len(), 1);
}

fn lend_to(bench: &mut Bench, asked_at_ms: u64) -> Vec<RequestsAction> {
    let message = RequestsMessage::Lend {
        loan: LoanId(9),
        target: target("h1"),
        slots: 2,
        duration_ms: LOAN_DURATION_MS,
        asked_at_ms,
    };
    bench.event(RequestsEvent::Received { from: peer("e2"), message })
}

/// Guards against an attempt that outlives the loan it runs on, also when the
/// message that lends was delayed.
#[test]
fn slots_borrowed_are_used_within_the_loan() {
    let mut bench = Bench::without_seat(&["h1"], 1);
    bench.event(RequestsEvent::PeersChanged { peers: vec![peer("e2")] });
    // The seat of index 1 or 0 owns the only slot; take the one that does not.
    let limits = services(1, 1).remove(0);
    let owner = base_slots(&limits, &target("h1"), SeatShare { index: 0, seats: 2 });
    let seat = Some(SeatShare { index: owner, seats: 2 });
    bench.event(RequestsEvent::SeatChanged { seat });
    let meta = bench.meta();
    assert_eq!(dispatched(&bench.submit(1, meta)), []);
    let asked_at_ms = bench.now_ms;
    bench.now_ms += 2_000;
    let actions = lend_to(&mut bench, asked_at_ms);
    assert_eq!(dispatched(&actions).len(), 1);
    // The loan ends 12 s from now: a request of 5 s fits, until 6.5 s are left.
    bench.now_ms += LOAN_DURATION_MS - 2_000 - 1_200;
    bench.answer(1);
    let meta = bench.meta();
    assert_eq!(dispatched(&bench.submit(2, meta)), [], "it may outlive the loan");
}

/// Guards against starting work without a confirmed seat, on the own share or
/// on loans.
#[test]
fn slots_are_unused_without_a_seat() {
    let mut bench = Bench::new(&["h1"], 1);
    for id in 1..=2 {
        let meta = bench.meta();
        bench.submit(id, meta);
    }
    bench.event(RequestsEvent::SeatChanged { seat: None });
    assert_eq!(dispatched(&bench.answer(1)), []);
    let now_ms = bench.now_ms;
    let actions = lend_to(&mut bench, now_ms);
    assert!(matches!(
        actions[..],
        [RequestsAction::Send { message: RequestsMessage::Return { kept: 0, .. }, .. }]
    ));
    assert_eq!(lends(&borrow(&mut bench)), []);
    let seat = Some(SeatShare { index: 0, seats: 1 });
    assert_eq!(dispatched(&bench.event(RequestsEvent::SeatChanged { seat })).len(), 1);
}

/// Guards against use of slots that their former owner may still use after
/// the number of seats changed.
#[test]
fn slots_gained_by_resizing_are_held_back() {
    let mut bench = Bench::without_seat(&["h1"], 8);
    bench.event(RequestsEvent::SeatChanged { seat: SEATS_2 });
    bench.event(RequestsEvent::SeatChanged { seat: Some(SeatShare { index: 0, seats: 1 }) });
    for id in 0..6 {
        let meta = bench.meta();
        bench.submit(id, meta);
    }
    assert_eq!(bench.engine.in_flight_on(&HostId::new("h1")), 4);
}
