//! Orders for hosts around a change of control, where the receiver does and does
//! not reject old terms.

use tamarackproxy::{
    coordination::control::{ControlLease, LeaseTiming},
    protocol::store::StoreError,
    state::{clock::ClockReading, ids::EntryId},
};

use crate::{
    coordination::control::{Fencing, HOST_ORDER_MAX_MS, OrderWindow},
    node::fake::{LEASE_TTL_MS as TTL_MS, LeaseStore},
};

const OUTAGE_MS: u64 = 6_000;
const STEP_MS: u64 = 10;

struct Candidate {
    lease: ControlLease,
    acquired_ms: Option<u64>,
    term: u64,
    is_cut_off: bool,
}

impl Candidate {
    fn new(name: &str, fencing: Fencing) -> Self {
        let timing = LeaseTiming {
            ttl_ms: TTL_MS,
            renew_ms: 900,
            retry_ms: 500,
            outage_ms: fencing.outage_ms(OUTAGE_MS),
        };
        let lease = ControlLease::new("upkeep", EntryId::new(name)).with_timing(timing);
        Self { lease, acquired_ms: None, term: 0, is_cut_off: false }
    }

    /// Returns the term of an order sent now, if the holder may send one.
    fn order(&mut self, now_ms: u64, fencing: Fencing, store: &mut LeaseStore) -> Option<u64> {
        let now = ClockReading::new(now_ms, 0);
        let mut request = self.lease.tick(now);
        while let Some(call) = request {
            let result = if self.is_cut_off {
                Err(StoreError::Unknown)
            } else {
                Ok(store.call(now_ms, &call))
            };
            request = self.lease.on_store_reply(now, result);
        }
        let Some(tenure) = self.lease.acting(now) else {
            self.acquired_ms = None;
            return None;
        };
        self.term = tenure.term.0;
        let acquired_ms = *self.acquired_ms.get_or_insert(now_ms);
        let window = OrderWindow::new(fencing, acquired_ms);
        window.permit(now_ms, self.lease.valid_until_ms()).map(|_| self.term)
    }
}

/// Plays a holder that is cut off from the store but not from the hosts, and
/// returns the orders of both processes with their times.
fn play_cut(fencing: Fencing) -> Vec<(u64, u64)> {
    let mut store = LeaseStore::default();
    let mut first = Candidate::new("a", fencing);
    let mut second = Candidate::new("b", fencing);
    let mut orders = Vec::new();
    for now_ms in (1_000..25_000).step_by(STEP_MS as usize) {
        first.is_cut_off = now_ms >= 8_000;
        orders.extend(first.order(now_ms, fencing, &mut store).map(|term| (now_ms, term)));
        if now_ms >= 2_000 {
            orders.extend(second.order(now_ms, fencing, &mut store).map(|term| (now_ms, term)));
        }
    }
    orders
}

/// Guards against two holders whose orders for a host overlap where the host
/// service accepts every term: the last order of the first holder must be
/// over before the first order of its successor.
#[test]
fn orders_of_two_holders_do_not_overlap_without_a_fence() {
    let orders = play_cut(Fencing::Holder);
    let last = orders.iter().filter(|(_, term)| *term == 1).map(|&(at, _)| at).max();
    let first = orders.iter().filter(|(_, term)| *term == 2).map(|&(at, _)| at).min();
    let (last, first) = (last.expect("orders of term 1"), first.expect("orders of term 2"));
    assert!(
        first >= last + HOST_ORDER_MAX_MS,
        "order of term 1 at {last} ms, of term 2 at {first} ms"
    );
}

/// Guards against a holder that gives up its scope with the lease although
/// receivers reject its old term: work would stop in each outage.
#[test]
fn holder_goes_on_through_an_outage_behind_a_fence() {
    let orders = play_cut(Fencing::Receiver);
    let last = orders.iter().filter(|(_, term)| *term == 1).map(|&(at, _)| at).max();
    assert!(last.is_some_and(|at_ms| at_ms > 8_000 + OUTAGE_MS), "last order at {last:?}");
}

/// Guards against an order that was decided before a pause and is sent after
/// it, when the lease is over.
#[test]
fn permit_expires_while_the_process_is_paused() {
    let window = OrderWindow::new(Fencing::Holder, 1_000);
    let permit = window.permit(4_000, 6_700).expect("the lease is valid");
    assert!(permit.is_valid(4_010));
    assert!(!permit.is_valid(6_700 - HOST_ORDER_MAX_MS), "the order could arrive too late");
    assert!(!permit.is_valid(11_000));
}

/// Guards against a successor that orders while an order of its predecessor
/// is under way.
#[test]
fn successor_waits_for_orders_under_way() {
    let window = OrderWindow::new(Fencing::Holder, 1_000);
    assert_eq!(window.permit(1_000 + HOST_ORDER_MAX_MS - 1, 10_000), None);
    assert!(window.permit(1_000 + HOST_ORDER_MAX_MS, 10_000).is_some());
}
