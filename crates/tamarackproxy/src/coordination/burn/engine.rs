//! Persists one seat's ledger in the store.

use super::{BurnLedger, Event};
use crate::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        document::Urgency,
        ids::{CallId, DataCentreId, RecordVersion, ServiceId},
    },
};

/// Interval between writes of the ledger, in milliseconds. If an entry host
/// fails, at most the counts of one interval are lost.
pub const SAVE_INTERVAL_MS: u64 = 60_000;
/// Delay before a failed store call is repeated, in milliseconds.
const RETRY_MS: u64 = 10_000;

/// Prefix of the ledgers' keys.
pub const BURN_PREFIX: &str = "burn/";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The seat's stored ledger has not been read yet.
    Unread,
    Reading,
    Idle,
    Writing,
}

/// Counts events and stores the counts in `burn/<data centre>/<seat>`.
#[derive(Debug)]
pub struct BurnEngine {
    data_centre: DataCentreId,
    ledger: BurnLedger,
    seat: Option<u16>,
    phase: Phase,
    version: RecordVersion,
    next_call: CallId,
    next_at_ms: u64,
    is_changed: bool,
}

impl BurnEngine {
    /// Creates the engine of an entry host in this data centre.
    pub fn new(data_centre: DataCentreId) -> Self {
        Self {
            data_centre,
            ledger: BurnLedger::default(),
            seat: None,
            phase: Phase::Unread,
            version: RecordVersion(0),
            next_call: CallId(0),
            next_at_ms: 0,
            is_changed: false,
        }
    }

    /// Counts an event.
    pub fn add_event(
        &mut self,
        now: ClockReading,
        service: &ServiceId,
        urgency: Urgency,
        event: Event,
    ) {
        self.ledger.add_event(now.unix_ms, service, urgency, event);
        self.is_changed = true;
    }

    /// Returns the counts of this seat.
    pub fn ledger(&self) -> &BurnLedger {
        &self.ledger
    }

    /// Returns the key of this seat's ledger, if the entry host has had a seat.
    pub fn key(&self) -> Option<Box<str>> {
        let seat = self.seat?;
        Some(format!("{BURN_PREFIX}{}/{seat}", self.data_centre).into())
    }

    /// Takes over the ledger of a new seat. Without a seat, the engine keeps the
    /// last one.
    pub fn seat_changed(&mut self, seat: Option<u16>) {
        if seat.is_some() && seat != self.seat {
            self.seat = seat;
            self.phase = Phase::Unread;
            self.next_at_ms = 0;
        }
    }

    /// Returns the monotonic time at which [`BurnEngine::tick`] is next needed,
    /// in milliseconds.
    pub fn next_tick_ms(&self) -> Option<u64> {
        let waits = matches!(self.phase, Phase::Reading | Phase::Writing);
        (self.seat.is_some() && !waits).then_some(self.next_at_ms)
    }

    /// Returns the next store call, if one is due.
    pub fn tick(&mut self, now: ClockReading) -> Option<(CallId, StoreRequest)> {
        let key = self.key()?;
        if now.monotonic_ms < self.next_at_ms {
            return None;
        }
        let request = match self.phase {
            Phase::Unread => {
                self.phase = Phase::Reading;
                StoreRequest::Get { key }
            }
            Phase::Idle if self.is_changed => {
                self.phase = Phase::Writing;
                self.is_changed = false;
                let value = serde_json::to_vec(&self.ledger).ok()?.into();
                StoreRequest::CompareAndSwap { key, expected: self.version, value, lease: None }
            }
            Phase::Idle => {
                self.next_at_ms = now.monotonic_ms + SAVE_INTERVAL_MS;
                return None;
            }
            Phase::Reading | Phase::Writing => return None,
        };
        self.next_call = self.next_call.next();
        Some((self.next_call, request))
    }

    /// Handles the reply to the last call.
    pub fn store_replied(
        &mut self,
        now: ClockReading,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        if call != self.next_call {
            return;
        }
        self.next_at_ms = now.monotonic_ms + SAVE_INTERVAL_MS;
        match (self.phase, result) {
            (Phase::Reading, Ok(StoreReply::Value(value))) => self.merge_stored(value),
            (Phase::Writing, Ok(StoreReply::Swapped(version))) => {
                self.version = version;
                self.phase = Phase::Idle;
            }
            (Phase::Writing, Ok(StoreReply::Conflict(value))) => {
                // The previous holder wrote late, or the reply to this engine's
                // own write was lost: the next write replaces the stored value.
                self.version = value.map_or(RecordVersion(0), |value| value.version);
                self.retry(now, Phase::Idle);
            }
            (Phase::Writing, _) => self.retry(now, Phase::Idle),
            (Phase::Reading, _) => self.retry(now, Phase::Unread),
            (Phase::Unread | Phase::Idle, _) => {}
        }
    }

    fn merge_stored(&mut self, value: Option<KeyValue>) {
        self.version = value.as_ref().map_or(RecordVersion(0), |value| value.version);
        let stored = value.and_then(|value| serde_json::from_slice(&value.value).ok());
        if let Some(stored) = stored {
            self.ledger.merge(&stored);
        }
        self.phase = Phase::Idle;
    }

    fn retry(&mut self, now: ClockReading, phase: Phase) {
        self.phase = phase;
        self.is_changed = true;
        self.next_at_ms = now.monotonic_ms + RETRY_MS;
    }
}
