//! Log writer: writes one batch at a time at a limited rate, reads a batch back when
//! its reply was lost, and deletes expired batches.

use bytes::Bytes;

use super::{
    batch::{BATCH_ENTRIES_MAX, Batch, LogEntry, batch_key},
    engine::{CallPurpose, OnceEngine, Phase},
    events::{Claim, OnceAction},
    ledger::KeyState,
};
use crate::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        ids::{OperationId, RecordVersion},
    },
};

/// Initial backoff after a failed call, in milliseconds; it doubles with each
/// failure.
const BACKOFF_MIN_MS: u64 = 50;
/// Maximum backoff after a failed call, in milliseconds.
const BACKOFF_MAX_MS: u64 = 2_000;
/// Minimum interval between two deletions of expired batches, in milliseconds. At 8
/// a second they keep up with the 4.6 claims a second that fit into memory.
/// Deletions count as writes, so each delays the next batch by one interval.
const DELETION_INTERVAL_MS: u64 = 125;
/// Additional delay of a batch that holds releases only, in milliseconds. Usually a
/// claim arrives in this time and shares the write.
const RELEASE_DELAY_MS: u64 = 1_000;

/// The write in flight.
#[derive(Clone, Debug)]
pub(super) struct Write {
    pub sequence: u64,
    pub batch: Batch,
    /// Encoded batch.
    pub value: Bytes,
    /// Whether this is the batch that opens the log.
    pub opening: bool,
    /// Whether the next call reads the key instead of creating it, because the reply
    /// to the last call was lost.
    read_back: bool,
    /// When the write was first sent.
    sent_ms: u64,
    /// When the next call is due; `None` while a call is in flight.
    due_ms: Option<u64>,
}

impl OnceEngine {
    pub(super) fn call(
        &mut self,
        purpose: CallPurpose,
        request: StoreRequest,
        actions: &mut Vec<OnceAction>,
    ) {
        self.last_call = self.last_call.next();
        self.calls.insert(self.last_call, purpose);
        actions.push(OnceAction::Store { call: self.last_call, request });
    }

    /// Returns the time of the next retry after a failure: exponential backoff with a
    /// jitter of a quarter, so that entry hosts do not all retry at once after an
    /// outage.
    pub(super) fn backoff_until(&mut self, now: ClockReading) -> u64 {
        let first_ms = BACKOFF_MIN_MS.max(self.write_interval_ms);
        let delay_ms = (first_ms << self.failures.min(10)).min(BACKOFF_MAX_MS);
        self.failures += 1;
        self.jitter_state ^= self.jitter_state << 13;
        self.jitter_state ^= self.jitter_state >> 7;
        self.jitter_state ^= self.jitter_state << 17;
        now.monotonic_ms + delay_ms + self.jitter_state % (delay_ms / 4 + 1)
    }

    pub(super) fn write_due_ms(&self) -> Option<u64> {
        if let Some(write) = &self.write {
            return write.due_ms;
        }
        self.batch_due_ms()
    }

    /// Returns when the next batch is due, or `None` if there is nothing to write.
    fn batch_due_ms(&self) -> Option<u64> {
        if !matches!(self.phase, Phase::Open) {
            return None;
        }
        if self.must_close() || self.queued_claims > 0 {
            Some(self.next_write_ms)
        } else if !self.queue.is_empty() {
            Some(self.next_write_ms + RELEASE_DELAY_MS)
        } else {
            None
        }
    }

    fn must_close(&self) -> bool {
        self.stopping && !self.suspended && self.in_progress.is_empty()
    }

    pub(super) fn continue_writing(&mut self, now: ClockReading, actions: &mut Vec<OnceAction>) {
        if self.write_due_ms().is_none_or(|due_ms| now.monotonic_ms < due_ms) {
            return;
        }
        match &mut self.write {
            Some(write) => {
                write.due_ms = None;
                self.send_write(actions);
            }
            None => self.write_next_batch(now, actions),
        }
    }

    fn write_next_batch(&mut self, now: ClockReading, actions: &mut Vec<OnceAction>) {
        let mut batch = self.new_batch(now);
        let count = self.queue.len().min(BATCH_ENTRIES_MAX);
        batch.entries = self.queue.drain(..count).collect();
        self.queued_claims -= batch.claims().count();
        batch.closed = self.must_close() && self.queue.is_empty();
        self.next_write_ms = now.monotonic_ms + self.write_interval_ms;
        self.start_write(now, batch, false, actions);
    }

    pub(super) fn new_batch(&mut self, now: ClockReading) -> Batch {
        self.operations += 1;
        let term = self.tenure.map(|tenure| tenure.term).unwrap_or_default();
        let operation = OperationId(self.operations);
        let mut batch = Batch::new(term, self.entry.clone(), operation, now.unix_ms);
        batch.gap_until_unix_ms = self.gap_until_unix_ms;
        batch
    }

    pub(super) fn start_write(
        &mut self,
        now: ClockReading,
        batch: Batch,
        opening: bool,
        actions: &mut Vec<OnceAction>,
    ) {
        let value = batch.encode();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let sent_ms = now.monotonic_ms;
        let (read_back, due_ms) = (false, None);
        self.write = Some(Write { sequence, batch, value, opening, read_back, sent_ms, due_ms });
        self.send_write(actions);
    }

    fn send_write(&mut self, actions: &mut Vec<OnceAction>) {
        let (Some(write), Some(tenure)) = (&self.write, self.tenure) else { return };
        let key = batch_key(&self.data_centre, tenure.index, write.sequence);
        if write.read_back {
            self.call(CallPurpose::ReadBack, StoreRequest::Get { key }, actions);
        } else {
            let value = write.value.clone();
            let expected = RecordVersion(0);
            let request = StoreRequest::CompareAndSwap { key, expected, value, lease: None };
            self.call(CallPurpose::Write, request, actions);
        }
    }

    pub(super) fn on_store_replied(
        &mut self,
        now: ClockReading,
        purpose: CallPurpose,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<OnceAction>,
    ) {
        match purpose {
            CallPurpose::Layout => self.on_layout_replied(now, result, actions),
            CallPurpose::List => self.on_listed(now, result, actions),
            CallPurpose::Write => self.on_written(now, result, actions),
            CallPurpose::ReadBack => self.on_read_back(now, result, actions),
            CallPurpose::Delete => self.on_deleted(now, result),
        }
    }

    fn on_written(
        &mut self,
        now: ClockReading,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<OnceAction>,
    ) {
        match result {
            Ok(StoreReply::Swapped(version)) => self.on_write_done(version, actions),
            Ok(StoreReply::Conflict(Some(present))) => {
                self.on_sequence_taken(now, present, actions)
            }
            Err(StoreError::NotSent | StoreError::Throttled) => self.retry_write(now, false),
            _ => self.retry_write(now, true),
        }
    }

    fn on_read_back(
        &mut self,
        now: ClockReading,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<OnceAction>,
    ) {
        match result {
            Ok(StoreReply::Value(Some(present))) => self.on_sequence_taken(now, present, actions),
            // The first write may still be in flight; creating the same value again
            // either takes effect or conflicts with that write, which is recognised.
            Ok(StoreReply::Value(None)) => {
                self.failures = 0;
                if let Some(write) = &mut self.write {
                    write.read_back = false;
                }
                self.send_write(actions);
            }
            _ => self.retry_write(now, true),
        }
    }

    fn retry_write(&mut self, now: ClockReading, read_back: bool) {
        let due_ms = if read_back && self.failures == 0 {
            self.failures = 1;
            now.monotonic_ms
        } else {
            self.backoff_until(now)
        };
        if let Some(write) = &mut self.write {
            write.read_back = read_back;
            write.due_ms = Some(due_ms);
        }
    }

    /// Handles an existing value under the sequence number, from either this write or
    /// another holder.
    fn on_sequence_taken(
        &mut self,
        now: ClockReading,
        present: KeyValue,
        actions: &mut Vec<OnceAction>,
    ) {
        let Some(write) = &self.write else { return };
        let found = Batch::decode(&present.value);
        if found.as_ref().is_some_and(|found| found.is_same_write(&write.batch)) {
            self.on_write_done(present.version, actions);
        } else if write.opening {
            self.on_opening_conflict(now, &present, found, actions);
        } else {
            self.on_log_lost(actions);
        }
    }

    fn on_write_done(&mut self, version: RecordVersion, actions: &mut Vec<OnceAction>) {
        let Some(write) = self.write.take() else { return };
        self.failures = 0;
        self.confirm_seat(write.sent_ms);
        if write.opening {
            self.ledger.apply_batch(write.sequence, version, &write.batch);
            return self.on_opened(actions);
        }
        let first_number = self.logged_total;
        self.logged_total += write.batch.entries.len() as u64;
        let logged = self.ledger.mark_logged(write.sequence, version, &write.batch, first_number);
        if write.batch.closed {
            self.phase = Phase::Ended;
            actions.push(OnceAction::LogOpen { open: false });
            return;
        }
        if !self.suspended {
            for key in logged {
                self.run_if_pending(&key, actions);
            }
        }
        if first_number < self.copied_until {
            self.send_flushed(actions);
        }
    }

    /// Handles the loss of the log to another holder: no further requests are started.
    /// Requests whose claims are in the log may still end, since the other holder has
    /// read those claims.
    pub(super) fn on_log_lost(&mut self, actions: &mut Vec<OnceAction>) {
        self.end_waiters(actions);
        self.reset_log();
        self.phase = Phase::Ended;
        actions.push(OnceAction::LogOpen { open: false });
    }

    /// Drops all state that belongs to the log of an earlier term.
    pub(super) fn reset_log(&mut self) {
        self.write = None;
        self.queue.clear();
        self.queued_claims = 0;
        self.copies_in_flight.clear();
        self.uncopied_claims.clear();
        self.calls.clear();
        self.layout = None;
        self.layout_retry_ms = None;
        self.deleting = None;
    }

    /// Returns the claims that are not durable yet, in log order.
    pub(super) fn pending_claims(&self) -> Vec<Claim> {
        let written = self.write.iter().flat_map(|write| &write.batch.entries);
        let is_pending = |claim: &&Claim| {
            let state = self.ledger.get(&claim.key).map(|entry| entry.state);
            matches!(state, Some(KeyState::Pending { .. }))
        };
        let claims = written.chain(&self.queue).filter_map(|entry| match entry {
            LogEntry::Claim(claim) => Some(claim),
            LogEntry::Release(_) => None,
        });
        claims.filter(is_pending).copied().collect()
    }

    pub(super) fn continue_deleting(&mut self, now: ClockReading, actions: &mut Vec<OnceAction>) {
        let Some(tenure) = self.tenure else { return };
        if !self.is_open() || self.detached || now.monotonic_ms < self.next_delete_ms {
            return;
        }
        if self.deleting.is_none() {
            self.deleting = self.ledger.expire_batch(now.unix_ms).map(|batch| (batch, false));
        }
        let Some((batch, in_flight)) = &mut self.deleting else { return };
        if std::mem::replace(in_flight, true) {
            return;
        }
        let key = batch_key(&self.data_centre, tenure.index, batch.sequence);
        let request = StoreRequest::CompareAndDelete { key, expected: batch.version };
        self.next_delete_ms =
            now.monotonic_ms + DELETION_INTERVAL_MS.max(2 * self.write_interval_ms);
        self.next_write_ms = self.next_write_ms.max(now.monotonic_ms) + self.write_interval_ms;
        self.call(CallPurpose::Delete, request, actions);
    }

    fn on_deleted(&mut self, now: ClockReading, result: Result<StoreReply, StoreError>) {
        match (&mut self.deleting, result) {
            (Some((_, in_flight)), Err(_)) => {
                *in_flight = false;
                self.next_delete_ms = now.monotonic_ms + BACKOFF_MAX_MS;
            }
            _ => self.deleting = None,
        }
    }
}
