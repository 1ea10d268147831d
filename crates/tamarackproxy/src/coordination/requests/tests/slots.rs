//! Slot shares and loans of one engine (hazard 5).

use slotmap::SlotMap;

use super::support::{Harness, SERVICE, dispatched, ends, peer, services, target};
use crate::{
    coordination::requests::{
        ATTEMPT_GRACE_MS, AttemptResult, LOAN_DURATION_MS, LoanId, RequestsAction, RequestsEvent,
        RequestsMessage, SeatShare,
        keys::{LoanKey, TargetKey},
        slots::{ReceivedLoan, SlotSource, TargetSlots, base_slots},
    },
    state::ids::{HostId, ServiceId},
};

const SEATS_2: Option<SeatShare> = Some(SeatShare { index: 0, seats: 2 });

/// Guards against shares that add up to more or fewer than the slots of a target.
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

/// Guards against reusing a slot whose attempt may still run at the target.
#[test]
fn slots_of_unfinished_attempts_stay_in_use() {
    let mut harness = Harness::new(&["h1"], 1);
    let meta = harness.non_repeatable_meta();
    harness.submit(1, meta);
    harness.advance(1_000);
    assert_eq!(ends(&harness.cancel(1)), [(1, "unknown")]);
    let meta = harness.meta();
    assert_eq!(dispatched(&harness.submit(2, meta)), []);
    assert_eq!(harness.engine.in_flight_on(&HostId::new("h1")), 1);
    // The attempt's deadline is 4 s away, followed by its grace period.
    assert_eq!(dispatched(&harness.advance(4_000 + ATTEMPT_GRACE_MS - 1)), []);
    assert_eq!(dispatched(&harness.advance(1)).len(), 1);
}

/// Guards against keeping the slot of an aborted attempt occupied after the target
/// has answered.
#[test]
fn slots_of_answered_aborted_attempts_are_free() {
    let mut harness = Harness::new(&["h1"], 1);
    let meta = harness.non_repeatable_meta();
    harness.submit(1, meta);
    harness.cancel(1);
    let meta = harness.meta();
    harness.submit(2, meta);
    assert_eq!(dispatched(&harness.ended(1, 0, AttemptResult::Lost)), []);
    assert_eq!(dispatched(&harness.answer(1)).len(), 1);
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

fn borrow(harness: &mut Harness) -> Vec<RequestsAction> {
    let service = ServiceId::new(SERVICE);
    let message = RequestsMessage::Borrow { service, wanted: 10, asked_at_ms: 5 };
    harness.event(RequestsEvent::Received { from: peer("e2"), message })
}

/// Guards against a lender that uses lent slots before the loan has certainly
/// ended, and against a host drain that ignores lent slots.
#[test]
fn slots_lent_are_in_use_until_the_loan_ends() {
    let mut harness = Harness::without_seat(&["h1"], 8);
    harness.event(RequestsEvent::SeatChanged { seat: SEATS_2 });
    assert_eq!(lends(&borrow(&mut harness)).iter().map(|lend| lend.1).sum::<u16>(), 4);
    assert_eq!(harness.engine.in_flight_on(&HostId::new("h1")), 4);
    let meta = harness.meta();
    assert_eq!(dispatched(&harness.submit(1, meta)), []);
    harness.advance(4_000);
    harness.cancel(1);
    harness.advance(LOAN_DURATION_MS - 4_000);
    let meta = harness.meta();
    assert_eq!(dispatched(&harness.submit(2, meta)), [], "clocks drift by up to 10%");
    assert_eq!(dispatched(&harness.advance(LOAN_DURATION_MS / 10)).len(), 1);
}

fn lend_to(harness: &mut Harness, asked_at_ms: u64) -> Vec<RequestsAction> {
    let message = RequestsMessage::Lend {
        loan: LoanId(9),
        target: target("h1"),
        slots: 2,
        duration_ms: LOAN_DURATION_MS,
        asked_at_ms,
    };
    harness.event(RequestsEvent::Received { from: peer("e2"), message })
}

/// Guards against an attempt that outlives the loan it runs on, including when the
/// loan message was delayed.
#[test]
fn slots_borrowed_are_used_within_the_loan() {
    let mut harness = Harness::without_seat(&["h1"], 1);
    harness.event(RequestsEvent::PeersChanged { peers: vec![peer("e2")] });
    // One of the two seats owns the only slot; take the other one.
    let limits = services(1, 1).remove(0);
    let owner = base_slots(&limits, &target("h1"), SeatShare { index: 0, seats: 2 });
    let seat = Some(SeatShare { index: owner, seats: 2 });
    harness.event(RequestsEvent::SeatChanged { seat });
    let meta = harness.meta();
    assert_eq!(dispatched(&harness.submit(1, meta)), []);
    let asked_at_ms = harness.now_ms;
    harness.advance(15);
    let actions = lend_to(&mut harness, asked_at_ms);
    assert_eq!(dispatched(&actions).len(), 1);
    // Requests with a deadline of 5 s follow each other on the loan.
    let mut last_start_left_ms = 0;
    for (id, left_ms) in (2..).zip((0..LOAN_DURATION_MS - 100).rev().step_by(100)) {
        harness.now_ms = asked_at_ms + LOAN_DURATION_MS - left_ms;
        let meta = harness.meta();
        harness.submit(id, meta);
        let timeout = |action: &RequestsAction| match action {
            RequestsAction::Dispatch { timeout_ms, .. } => Some(*timeout_ms),
            _ => None,
        };
        let Some(timeout_ms) = harness.answer(id - 1).iter().find_map(timeout) else { break };
        assert!(timeout_ms + ATTEMPT_GRACE_MS <= left_ms, "it may outlive the loan");
        last_start_left_ms = left_ms;
    }
    assert!((1_500..1_700).contains(&last_start_left_ms), "{last_start_left_ms}");
}

/// Guards against choosing a loan that ends before the attempt does.
#[test]
fn slots_are_chosen_from_loans_that_last() {
    let (mut loans, mut slots) =
        (SlotMap::<LoanKey, ReceivedLoan>::with_key(), TargetSlots::default());
    for ends_at_ms in [1_000, 3_000, 2_000] {
        slots.loans.push(loans.insert(ReceivedLoan {
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

/// Guards against using a loan that arrives so late that the lender has reclaimed
/// it, because the borrower's report of held loans did not list it.
#[test]
fn slots_lent_late_are_returned() {
    let mut harness = Harness::new(&["h1"], 1);
    harness.event(RequestsEvent::PeersChanged { peers: vec![peer("e2")] });
    for id in 1..=2 {
        let meta = harness.meta();
        harness.submit(id, meta);
    }
    let asked_at_ms = harness.now_ms;
    harness.advance(1_000);
    let actions = lend_to(&mut harness, asked_at_ms);
    let kept = |action: &RequestsAction| match action {
        RequestsAction::Send { message: RequestsMessage::Return { kept, .. }, .. } => Some(*kept),
        _ => None,
    };
    assert_eq!(actions.iter().filter_map(kept).collect::<Vec<_>>(), [0]);
}

/// Guards against slots that stay unused after the message that lends or returns
/// them was lost.
#[test]
fn slots_lost_on_the_way_are_taken_back() {
    let mut harness = Harness::without_seat(&["h1"], 8);
    harness.event(RequestsEvent::SeatChanged { seat: SEATS_2 });
    let loan = lends(&borrow(&mut harness)).remove(0).0;
    let held = |asked_before_ms, loans| {
        let service = ServiceId::new(SERVICE);
        let message = RequestsMessage::Held { service, asked_before_ms, loans };
        RequestsEvent::Received { from: peer("e2"), message }
    };
    let lent = |harness: &Harness| harness.engine.in_flight_on(&HostId::new("h1"));
    harness.advance(1_000);
    harness.event(held(5, Vec::new()));
    assert_eq!(lent(&harness), 4, "the loan may still be on its way");
    harness.event(held(6, vec![(loan, 3)]));
    assert_eq!(lent(&harness), 3);
    harness.event(held(7, Vec::new()));
    assert_eq!(lent(&harness), 0);
}

/// Guards against starting attempts on a loan that was received before the seat was
/// suspended.
#[test]
fn slots_borrowed_are_unused_without_a_seat() {
    let mut harness = Harness::new(&["h1"], 1);
    harness.event(RequestsEvent::PeersChanged { peers: vec![peer("e2")] });
    for id in 1..=5 {
        let meta = harness.meta();
        harness.submit(id, meta);
    }
    let now_ms = harness.now_ms;
    assert_eq!(dispatched(&lend_to(&mut harness, now_ms)).len(), 2);
    harness.event(RequestsEvent::SeatChanged { seat: None });
    for id in 1..=3 {
        assert_eq!(dispatched(&harness.answer(id)), []);
    }
}

/// Guards against starting attempts without a confirmed seat, on the own share or
/// on loans.
#[test]
fn slots_are_unused_without_a_seat() {
    let mut harness = Harness::new(&["h1"], 1);
    for id in 1..=2 {
        let meta = harness.meta();
        harness.submit(id, meta);
    }
    harness.event(RequestsEvent::SeatChanged { seat: None });
    assert_eq!(dispatched(&harness.answer(1)), []);
    let now_ms = harness.now_ms;
    let actions = lend_to(&mut harness, now_ms);
    assert!(matches!(
        actions[..],
        [RequestsAction::Send { message: RequestsMessage::Return { kept: 0, .. }, .. }]
    ));
    assert_eq!(lends(&borrow(&mut harness)), []);
    let seat = Some(SeatShare { index: 0, seats: 1 });
    assert_eq!(dispatched(&harness.event(RequestsEvent::SeatChanged { seat })).len(), 1);
}

/// Guards against using gained slots that their former owner may still use after
/// the number of seats changed.
#[test]
fn slots_gained_by_resizing_are_held_back() {
    let mut harness = Harness::without_seat(&["h1"], 8);
    harness.event(RequestsEvent::SeatChanged { seat: SEATS_2 });
    harness.event(RequestsEvent::SeatChanged { seat: Some(SeatShare { index: 0, seats: 1 }) });
    for id in 0..6 {
        let meta = harness.meta();
        harness.submit(id, meta);
    }
    assert_eq!(harness.engine.in_flight_on(&HostId::new("h1")), 4);
}
