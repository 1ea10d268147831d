//! Synchronisation of the layout record, which holds the number of seats and so
//! determines the home of each key.

use super::batch::Layout;
use crate::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::ids::RecordVersion,
};

/// Next step for the owner of a [`LayoutSync`].
#[derive(Clone, Debug, PartialEq)]
pub(super) enum LayoutStep {
    /// Send this request to the store.
    Send(StoreRequest),
    /// The record holds the wanted number of seats.
    Done(Layout),
    /// Start over after a delay.
    Retry,
}

/// Reads the layout record, and replaces it by compare-and-swap if it holds a
/// different number of seats.
#[derive(Clone, Debug)]
pub(super) struct LayoutSync {
    key: Box<str>,
    seats: u16,
    /// When this entry host received the number of seats, in milliseconds since the
    /// Unix epoch.
    configured_unix_ms: u64,
    /// Layout in the compare-and-swap in flight.
    written: Option<Layout>,
}

impl LayoutSync {
    pub fn new(key: Box<str>, seats: u16, configured_unix_ms: u64) -> Self {
        Self { key, seats, configured_unix_ms, written: None }
    }

    pub fn start(&mut self) -> StoreRequest {
        self.written = None;
        StoreRequest::Get { key: self.key.clone() }
    }

    pub fn on_result(&mut self, result: Result<StoreReply, StoreError>) -> LayoutStep {
        match (result, self.written) {
            (Ok(StoreReply::Swapped(_)), Some(layout)) => LayoutStep::Done(layout),
            (Ok(StoreReply::Value(value) | StoreReply::Conflict(value)), _) => self.decide(value),
            // After a lost reply, reading the record again shows whether it holds
            // the wanted number, so no operation id is needed.
            _ => LayoutStep::Retry,
        }
    }

    fn decide(&mut self, value: Option<KeyValue>) -> LayoutStep {
        let present: Option<Layout> =
            value.as_ref().and_then(|stored| serde_json::from_slice(&stored.value).ok());
        if let Some(layout) = present
            && layout.seats == self.seats
        {
            return LayoutStep::Done(layout);
        }
        // An entry host that writes late must not move the time of the last change
        // back.
        let changed_unix_ms = match (&value, present) {
            (None, _) => 0,
            (Some(_), None) => self.configured_unix_ms,
            (Some(_), Some(layout)) => layout.changed_unix_ms.max(self.configured_unix_ms),
        };
        let layout = Layout { seats: self.seats, changed_unix_ms };
        let Ok(encoded) = serde_json::to_vec(&layout) else { return LayoutStep::Retry };
        self.written = Some(layout);
        LayoutStep::Send(StoreRequest::CompareAndSwap {
            key: self.key.clone(),
            expected: value.map_or(RecordVersion(0), |stored| stored.version),
            value: encoded.into(),
            lease: None,
        })
    }
}
