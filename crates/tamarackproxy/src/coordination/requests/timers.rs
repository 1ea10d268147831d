//! Timers of the engine: a heap whose entries are not removed when their
//! request, attempt or loan ends.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::{
    LoanId,
    keys::{AttemptKey, LoanKey, RequestKey, ServiceKey, TargetKey},
};

/// Kinds of timers. The order of the variants breaks ties between timers that
/// are due at the same time, so that an attempt ends before the loan that it
/// runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The deadline and grace period of an attempt have passed: the target has
    /// certainly finished it.
    AttemptExpired(AttemptKey),
    /// The deadline of a waiting request, or of a forward plus its grace period,
    /// has passed.
    Deadline(RequestKey),
    /// A received loan has ended.
    ReceivedLoanEnded(LoanKey),
    /// A granted loan has certainly ended.
    GrantedLoanEnded(LoanId),
    /// Peers may be asked again for slots for waiting requests.
    Borrow(ServiceKey),
    /// Idle loans of the service are due to be returned.
    ReviewLoans(ServiceKey),
    /// The list of loans held for the service is due to be sent to the lenders.
    ReportHeldLoans(ServiceKey),
    /// An ejected target may be probed.
    Probe(TargetKey),
    /// Slots gained by a change of the number of seats may be used.
    GainedSlotsUsable,
}

/// Priority queue of timers by due time.
#[derive(Debug)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(u64, Timer)>>,
    /// Due time of the first timer, cached because every event checks it.
    next_ms: u64,
}

impl Timers {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), next_ms: u64::MAX }
    }

    /// Adds a timer.
    pub fn add(&mut self, at_ms: u64, timer: Timer) {
        self.heap.push(Reverse((at_ms, timer)));
        self.next_ms = self.next_ms.min(at_ms);
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_due(&mut self, now_ms: u64) -> Option<Timer> {
        (self.next_ms <= now_ms).then(|| self.pop()).flatten()
    }

    fn pop(&mut self) -> Option<Timer> {
        let popped = self.heap.pop();
        self.next_ms = self.heap.peek().map_or(u64::MAX, |Reverse((at_ms, _))| *at_ms);
        popped.map(|Reverse((_, timer))| timer)
    }

    /// Drops timers that are due by `until_ms` from the front of the queue, up to
    /// the first that is not stale.
    pub fn drop_stale<F>(&mut self, until_ms: u64, is_stale: F)
    where
        F: Fn(Timer) -> bool,
    {
        while self.next_ms <= until_ms
            && self.heap.peek().is_some_and(|&Reverse((_, timer))| is_stale(timer))
        {
            self.pop();
        }
    }

    /// Returns the due time of the next timer.
    pub fn next_ms(&self) -> Option<u64> {
        (!self.heap.is_empty()).then_some(self.next_ms)
    }
}
