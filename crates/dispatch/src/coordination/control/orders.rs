//! Times at which the holder of a scope may send orders.
//!
//! Failure pattern: a holder that is cut off from the store, paused or slow
//! keeps ordering while its successor has begun. Workers and the store reject
//! the older term. Where the receiver of an order compares no terms, the holder
//! itself stops early enough that its last order is over before its lease is,
//! and the successor waits for the orders that were under way when the scope
//! changed hands.

/// Longest time that an order for a host may take, in milliseconds. An order
/// without a reply by then is abandoned, and its connection reset.
pub const HOST_ORDER_MAX_MS: u64 = 1_500;

/// Who keeps the orders of a former holder from taking effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// The receiver rejects an order with a term below the highest it has seen.
    Receiver,
    /// The receiver accepts orders with any term, so the holder must not send
    /// one that could arrive after the end of its lease.
    Holder,
}

impl Fencing {
    /// Returns the time after the end of its lease for which a holder without
    /// contact to the store goes on, in milliseconds, if receivers that reject
    /// old terms permit `outage_ms`.
    pub fn outage_ms(self, outage_ms: u64) -> u64 {
        match self {
            Self::Receiver => outage_ms,
            Self::Holder => 0,
        }
    }
}

/// Permission to send one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderPermit {
    /// Time from which the order must not be sent any more, in milliseconds on
    /// the local clock; none if the receiver rejects orders that are too late.
    pub expires_ms: Option<u64>,
}

impl OrderPermit {
    /// Returns whether the order may be sent at `now_ms`.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        self.expires_ms.is_none_or(|expires_ms| now_ms < expires_ms)
    }
}

/// Decides when a holder may send orders for hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderWindow {
    fencing: Fencing,
    /// When the scope was acquired, in milliseconds on the local clock.
    acquired_ms: u64,
}

impl OrderWindow {
    /// Creates the window of a holder that acquired its scope at `acquired_ms`,
    /// in milliseconds on the local clock.
    pub fn new(fencing: Fencing, acquired_ms: u64) -> Self {
        Self { fencing, acquired_ms }
    }

    /// Returns the permission to send an order now; none if it could be carried
    /// out beside an order of another holder. No successor can hold the scope
    /// before `confirmed_until_ms`, on the local clock.
    pub fn permit(&self, now_ms: u64, confirmed_until_ms: u64) -> Option<OrderPermit> {
        match self.fencing {
            Fencing::Receiver => Some(OrderPermit { expires_ms: None }),
            Fencing::Holder => {
                let permit = OrderPermit {
                    expires_ms: Some(confirmed_until_ms.saturating_sub(HOST_ORDER_MAX_MS)),
                };
                let is_open = now_ms >= self.acquired_ms + HOST_ORDER_MAX_MS;
                (is_open && permit.is_valid(now_ms)).then_some(permit)
            }
        }
    }
}
