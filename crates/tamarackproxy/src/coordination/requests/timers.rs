//! Timers of the engine: one heap, with entries that outlive their cause.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::{
    LoanId,
    keys::{AttemptKey, LoanKey, RequestKey, ServiceKey, TargetKey},
};

/// What is due. Variants are ordered so that, at the same time, an attempt
/// ends before the loan that it runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The target has certainly finished the attempt.
    AttemptOver(AttemptKey),
    /// The deadline of a waiting request, or of a forward with its grace.
    Deadline(RequestKey),
    /// A received loan has ended.
    LoanInOver(LoanKey),
    /// A given loan has certainly ended.
    LoanOutOver(LoanId),
    /// Waiting requests may ask peers for slots again.
    Borrow(ServiceKey),
    /// Idle loans of the service are returned.
    ReviewLoans(ServiceKey),
    /// Lenders are told which loans of the service are held.
    TellHeld(ServiceKey),
    /// An ejected target may be probed.
    Probe(TargetKey),
    /// Slots gained by a change of the number of seats are free.
    SeatsSettled,
}

/// Due times in order.
#[derive(Debug)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(u64, Timer)>>,
    /// Time of the first, kept beside the heap since every event looks at it.
    next_ms: u64,
}

impl Timers {
    /// Makes an empty list.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), next_ms: u64::MAX }
    }

    /// Adds a timer.
    pub fn add(&mut self, at_ms: u64, timer: Timer) {
        self.heap.push(Reverse((at_ms, timer)));
        self.next_ms = self.next_ms.min(at_ms);
    }

    /// Removes and returns a timer that is due.
    pub fn pop_due(&mut self, now_ms: u64) -> Option<Timer> {
        (self.next_ms <= now_ms).then(|| self.pop()).flatten()
    }

    fn pop(&mut self) -> Option<Timer> {
        let popped = self.heap.pop();
        self.next_ms = self.heap.peek().map_or(u64::MAX, |Reverse((at_ms, _))| *at_ms);
        popped.map(|Reverse((_, timer))| timer)
    }

    /// Drops the next timers that are due by `until_ms`, for as long as they
    /// are of no use any more.
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

    /// Time of the next timer.
    pub fn next_ms(&self) -> Option<u64> {
        (!self.heap.is_empty()).then_some(self.next_ms)
    }
}
