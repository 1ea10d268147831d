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
#[derive(Debug, Default)]
pub(super) struct Timers(BinaryHeap<Reverse<(u64, Timer)>>);

impl Timers {
    /// Adds a timer.
    pub fn add(&mut self, at_ms: u64, timer: Timer) {
        self.0.push(Reverse((at_ms, timer)));
    }

    /// Removes and returns a timer that is due.
    pub fn pop_due(&mut self, now_ms: u64) -> Option<Timer> {
        let Reverse((at_ms, _)) = self.0.peek()?;
        if *at_ms > now_ms {
            return None;
        }
        self.0.pop().map(|Reverse((_, timer))| timer)
    }

    /// Drops the next timers that are due by `until_ms`, for as long as they
    /// are of no use any more.
    pub fn drop_stale<F>(&mut self, until_ms: u64, is_stale: F)
    where
        F: Fn(Timer) -> bool,
    {
        let goes =
            |&Reverse((at_ms, timer)): &Reverse<(u64, Timer)>| at_ms <= until_ms && is_stale(timer);
        while self.0.peek().is_some_and(goes) {
            self.0.pop();
        }
    }

    /// Time of the next timer.
    pub fn next_ms(&self) -> Option<u64> {
        self.0.peek().map(|Reverse((at_ms, _))| *at_ms)
    }
}
