//! Calls to workers from this process, for its own pools or for another
//! process's.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use tokio::sync::Semaphore;

use super::{clock, platform::Platform};
use crate::coordination::pool::{
    Order, OrderOutcome, OrderReply, OrderTarget, PollFailure, PollReport, PollRequest,
    WorkerContact,
};

/// Orders to one worker that may be in flight at once. The number of connections
/// to workers is limited, but one lost reply must not block all other orders.
const CONCURRENT_ORDERS_MAX: usize = 3;

/// Age from which an order is not sent any more, in milliseconds: the engine may
/// have decided otherwise meanwhile, or this process was paused.
const ORDER_AGE_MAX_MS: u64 = 600;

/// Limits the calls to each worker.
#[derive(Debug, Default)]
pub(super) struct WorkerCalls {
    /// Limits of concurrent orders by worker address.
    permits: RefCell<HashMap<SocketAddr, Rc<Semaphore>>>,
}

impl WorkerCalls {
    fn permits(&self, address: SocketAddr) -> Rc<Semaphore> {
        let mut permits = self.permits.borrow_mut();
        let permits = permits.entry(address);
        Rc::clone(permits.or_insert_with(|| Rc::new(Semaphore::new(CONCURRENT_ORDERS_MAX))))
    }

    /// Sends an order that was requested at `requested_ms`, on the local clock, to
    /// a worker.
    pub(super) async fn order<P>(
        &self,
        platform: &P,
        requested_ms: u64,
        contact: &WorkerContact,
        target: &OrderTarget,
        order: &Order,
    ) -> OrderOutcome
    where
        P: Platform,
    {
        let permits = self.permits(contact.address);
        let Ok(_permit) = permits.acquire().await else {
            return OrderReply::NotSent.into();
        };
        let sent_ms = clock::read().monotonic_ms;
        if sent_ms >= requested_ms + ORDER_AGE_MAX_MS {
            return OrderReply::NotSent.into();
        }
        let outcome = platform.send_order(contact, target, order).await;
        let took_ms = clock::read().monotonic_ms.saturating_sub(sent_ms);
        metrics::histogram!("worker_order_ms").record(took_ms as f64);
        outcome
    }

    /// Polls a worker.
    pub(super) async fn poll<P>(
        &self,
        platform: &P,
        contact: &WorkerContact,
        request: &PollRequest,
    ) -> Result<PollReport, PollFailure>
    where
        P: Platform,
    {
        platform.poll_worker(contact, request).await
    }
}

#[cfg(test)]
mod tests;
