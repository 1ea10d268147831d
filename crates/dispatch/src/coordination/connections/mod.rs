//! Places for connections of callers.
//!
//! Load pattern: ordinary callers keep connections open between requests, or
//! open one for each. Clients that nobody controls take all places, with
//! requests that they do not finish or without any, and connect again when they
//! are closed. [`Connections`] chooses which connection gives way to a new one: the
//! one whose request has been incomplete for the longest time, otherwise the one
//! that has been idle for the longest time. A connection whose request is being
//! served never gives way.

use std::collections::BTreeSet;

use slotmap::{SlotMap, new_key_type};

#[cfg(test)]
mod tests;

new_key_type! {
    /// Identifies a connection.
    pub struct ConnectionKey;
}

/// What a connection is doing, in the order in which connections give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// The body of a request is incomplete.
    Receiving,
    /// There is no request, or its head is incomplete.
    Idle,
    /// A whole request is being served.
    Serving,
}

#[derive(Debug)]
struct Place<T> {
    activity: Activity,
    /// Number of the change to this activity.
    since: u64,
    handle: T,
}

/// Open connections, each with a handle that can end it.
#[derive(Debug)]
pub struct Connections<T> {
    max: usize,
    places: SlotMap<ConnectionKey, Place<T>>,
    /// Connections that may give way, the next one first.
    replaceable: BTreeSet<(Activity, u64, ConnectionKey)>,
    changes: u64,
}

impl<T> Connections<T> {
    /// Creates a set of at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self { max, places: SlotMap::with_key(), replaceable: BTreeSet::new(), changes: 0 }
    }

    /// Returns whether all places are taken.
    pub fn is_full(&self) -> bool {
        self.places.len() >= self.max
    }

    /// Adds an idle connection.
    pub fn insert(&mut self, handle: T) -> ConnectionKey {
        self.changes += 1;
        let place = Place { activity: Activity::Idle, since: self.changes, handle };
        let key = self.places.insert(place);
        self.replaceable.insert((Activity::Idle, self.changes, key));
        key
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: ConnectionKey) {
        if let Some(place) = self.places.remove(key) {
            self.replaceable.remove(&(place.activity, place.since, key));
        }
    }

    /// Changes what a connection is doing.
    pub fn set_activity(&mut self, key: ConnectionKey, activity: Activity) {
        let Some(place) = self.places.get_mut(key) else { return };
        self.replaceable.remove(&(place.activity, place.since, key));
        self.changes += 1;
        (place.activity, place.since) = (activity, self.changes);
        if activity != Activity::Serving {
            self.replaceable.insert((activity, self.changes, key));
        }
    }

    /// Removes the connection that gives way to a new one and returns its handle;
    /// none if all are being served.
    pub fn take_replaceable(&mut self) -> Option<T> {
        let (_, _, key) = self.replaceable.pop_first()?;
        self.places.remove(key).map(|place| place.handle)
    }
}
