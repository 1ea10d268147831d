//! Event queue of a simulation in virtual time.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

#[derive(Debug)]
struct Entry<E> {
    at_ms: u64,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}

/// Queue that returns events in order of time; events of the same millisecond are
/// returned in the order in which they were added.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    added: u64,
    now_ms: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue at time 0.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), added: 0, now_ms: 0 }
    }

    /// Returns the virtual time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Schedules an event at a time; a time in the past counts as now.
    pub fn push_at(&mut self, at_ms: u64, event: E) {
        self.added += 1;
        let at_ms = at_ms.max(self.now_ms);
        self.heap.push(Reverse(Entry { at_ms, number: self.added, event }));
    }

    /// Schedules an event after a delay.
    pub fn push_in(&mut self, delay_ms: u64, event: E) {
        self.push_at(self.now_ms + delay_ms, event);
    }

    /// Removes the next event and advances the virtual time to it.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse(entry) = self.heap.pop()?;
        self.now_ms = entry.at_ms;
        Some(entry.event)
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self::new()
    }
}
