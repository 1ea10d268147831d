//! Slot shares of one engine (hazard 5).

use slotmap::SlotMap;

use super::support::{Bench, SERVICE, dispatched, ends, peer, services, target};
use crate::{
    coordination::requests::{
        ATTEMPT_GRACE_MS, AttemptResult, LOAN_DURATION_MS, LoanId, RequestsAction, RequestsEvent,
        RequestsMessage, SeatShare,
        keys::{LoanKey, TargetKey},
        slots::{LoanIn, SlotSource, TargetSlots, base_slots},
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
    bench.advance(15);
    let actions = lend_to(&mut bench, asked_at_ms);
    assert_eq!(dispatched(&actions).len(), 1);
    // Requests with a deadline of 5 s follow each other on the loan.
    let mut last_start_left_ms = 0;
    for (id, left_ms) in (2..).zip((0..LOAN_DURATION_MS - 100).rev().step_by(100)) {
        bench.now_ms = asked_at_ms + LOAN_DURATION_MS - left_ms;
        let meta = bench.meta();
        bench.submit(id, meta);
        let timeout = |action: &RequestsAction| match action {
            RequestsAction::Dispatch { timeout_ms, .. } => Some(*timeout_ms),
            _ => None,
        };
        let Some(timeout_ms) = bench.answer(id - 1).iter().find_map(timeout) else { break };
        assert!(timeout_ms + ATTEMPT_GRACE_MS <= left_ms, "it may outlive the loan");
        last_start_left_ms = left_ms;
    }
    assert!((1_500..1_700).contains(&last_start_left_ms), "{last_start_left_ms}");
}

/// Guards against the choice of a loan that ends before the attempt does.
#[test]
fn slots_are_chosen_from_loans_that_last() {
    let (mut loans, mut slots) = (SlotMap::<LoanKey, LoanIn>::with_key(), TargetSlots::default());
    for ends_at_ms in [1_000, 3_000, 2_000] {
        slots.loans.push(loans.insert(LoanIn {
            lender: peer("e2"),
            id: LoanId(ends_at_ms),
            target: TargetKey::default(),
            slots: 1,
            used: 0,
            ends_at_ms,
            recalled: false,
        }));
    }
    let choice = |ends_at_ms| match slots.choose(&loans, ends_at_ms) {
        Some(SlotSource::Loan(key)) => loans[key].ends_at_ms,
        _ => 0,
    };
    assert_eq!([500, 1_001, 2_001, 3_001].map(choice), [1_000, 2_000, 3_000, 0]);
}

/// Guards against use of a loan that the lender has taken back because the
/// list of loans held did not name it.
#[test]
fn slots_lent_late_are_returned() {
    let mut bench = Bench::new(&["h1"], 1);
    bench.event(RequestsEvent::PeersChanged { peers: vec![peer("e2")] });
    for id in 1..=2 {
        let meta = bench.meta();
        bench.submit(id, meta);
    }
    let asked_at_ms = bench.now_ms;
    bench.advance(1_000);
    let actions = lend_to(&mut bench, asked_at_ms);
    let kept = |action: &RequestsAction| match action {
        RequestsAction::Send { message: RequestsMessage::Return { kept, .. }, .. } => Some(*kept),
        _ => None,
    };
    assert_eq!(actions.iter().filter_map(kept).collect::<Vec<_>>(), [0]);
}

/// Guards against slots that stay out of use after the message that lends or
/// returns them was lost.
#[test]
fn slots_lost_on_the_way_are_taken_back() {
    let mut bench = Bench::without_seat(&["h1"], 8);
    bench.event(RequestsEvent::SeatChanged { seat: SEATS_2 });
    let loan = lends(&borrow(&mut bench)).remove(0).0;
    let held = |asked_before_ms, loans| {
        let service = ServiceId::new(SERVICE);
        let message = RequestsMessage::Held { service, asked_before_ms, loans };
        RequestsEvent::Received { from: peer("e2"), message }
    };
    let lent = |bench: &Bench| bench.engine.in_flight_on(&HostId::new("h1"));
    bench.advance(1_000);
    bench.event(held(5, Vec::new()));
    assert_eq!(lent(&bench), 4, "the loan may still be on its way");
    bench.event(held(6, vec![(loan, 3)]));
    assert_eq!(lent(&bench), 3);
    bench.event(held(7, Vec::new()));
    assert_eq!(lent(&bench), 0);
}

/// Guards against starting work on a loan that was received before the seat
/// was suspended.
#[test]
fn slots_borrowed_are_unused_without_a_seat() {
    let mut bench = Bench::new(&["h1"], 1);
    bench.event(RequestsEvent::PeersChanged { peers: vec![peer("e2")] });
    for id in 1..=5 {
        let meta = bench.meta();
        bench.submit(id, meta);
    }
    let now_ms = bench.now_ms;
    assert_eq!(dispatched(&lend_to(&mut bench, now_ms)).len(), 2);
    bench.event(RequestsEvent::SeatChanged { seat: None });
    for id in 1..=3 {
        assert_eq!(dispatched(&bench.answer(id)), []);
    }
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
