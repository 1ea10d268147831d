//! In-memory table of claims, and index of the cached responses.

use std::collections::{HashMap, VecDeque};

use super::{
    batch::{Batch, LogEntry},
    events::{BodyDigest, Claim, KeyDigest},
    key::{CLOCK_TOLERANCE_MS, KEY_RETENTION_MS},
};
use crate::state::ids::{RecordVersion, RequestId};

/// Maximum number of claims that one entry host holds. At about 80 bytes each they
/// take 32 MB, a quarter of the memory of an entry host, and allow for 4.6 claims a
/// second on average over 24 hours. When the table is full, new keys are refused as
/// not run.
pub const CLAIMS_MAX: usize = 400_000;
/// Maximum total size of the responses that one entry host caches, in bytes. Beyond
/// it, the oldest response is discarded.
pub const KEPT_RESPONSE_BYTES_MAX: u64 = 16 << 20;
/// Maximum number of responses that one entry host caches.
pub const KEPT_RESPONSES_MAX: usize = 8_192;

/// State of a claimed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyState {
    /// The claim is not durable yet.
    Pending { request: RequestId },
    /// The request was handed to the request engine.
    Running { request: RequestId },
    /// The target answered `first` and the response is cached.
    Kept { first: RequestId },
    /// The target answered and the response is no longer cached.
    Forgotten,
    /// The request may have run.
    OutcomeUnknown,
}

/// Where a claim is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimLocation {
    /// Number of its entry in the queue. A key that was released and claimed again
    /// has a new number, so the write of the first claim does not count for it.
    Queued(u64),
    /// Sequence number of its batch in the log.
    Logged(u64),
}

/// Claim of one key in memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyEntry {
    pub body: BodyDigest,
    pub state: KeyState,
    location: ClaimLocation,
}

/// A batch in the log whose claims are in memory.
#[derive(Clone, Debug)]
pub(super) struct LoggedBatch {
    pub sequence: u64,
    pub version: RecordVersion,
    expires_unix_ms: u64,
    keys: Box<[KeyDigest]>,
}

/// All claims of one seat.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    keys: HashMap<KeyDigest, KeyEntry>,
    /// Batches in the log, in order of their sequence numbers.
    batches: VecDeque<LoggedBatch>,
    /// Cached responses from the oldest on: key, request and size in bytes.
    kept: VecDeque<(KeyDigest, RequestId, u64)>,
    kept_bytes: u64,
}

impl Ledger {
    pub fn get(&self, key: &KeyDigest) -> Option<&KeyEntry> {
        self.keys.get(key)
    }

    pub fn is_full(&self) -> bool {
        self.keys.len() >= CLAIMS_MAX
    }

    /// Adds the claim of a request, which is entry `number` of the queue.
    pub fn insert_pending(&mut self, claim: &Claim, request: RequestId, number: u64) {
        let (state, location) = (KeyState::Pending { request }, ClaimLocation::Queued(number));
        self.keys.insert(claim.key, KeyEntry { body: claim.body, state, location });
    }

    pub fn set_state(&mut self, key: &KeyDigest, state: KeyState) {
        if let Some(entry) = self.keys.get_mut(key) {
            entry.state = state;
        }
    }

    pub fn remove(&mut self, key: &KeyDigest) {
        self.keys.remove(key);
    }

    /// Applies a batch read from the log or written to open it. The outcomes of its
    /// claims are unknown, since a previous holder may have run them.
    pub fn apply_batch(&mut self, sequence: u64, version: RecordVersion, batch: &Batch) {
        for entry in &batch.entries {
            match entry {
                LogEntry::Claim(claim) => {
                    let (state, location) =
                        (KeyState::OutcomeUnknown, ClaimLocation::Logged(sequence));
                    self.keys.insert(claim.key, KeyEntry { body: claim.body, state, location });
                }
                LogEntry::Release(key) => self.remove(key),
            }
        }
        self.add_batch(sequence, version, batch);
    }

    /// Records that a batch of this holder, whose first entry has the number
    /// `first_number`, is in the store. Returns the keys whose current claim is in it.
    pub fn mark_logged(
        &mut self,
        sequence: u64,
        version: RecordVersion,
        batch: &Batch,
        first_number: u64,
    ) -> Vec<KeyDigest> {
        let mut logged = Vec::new();
        for (position, claim) in batch.claims() {
            if let Some(entry) = self.keys.get_mut(&claim.key)
                && entry.location == ClaimLocation::Queued(first_number + position)
            {
                entry.location = ClaimLocation::Logged(sequence);
                logged.push(claim.key);
            }
        }
        self.add_batch(sequence, version, batch);
        logged
    }

    fn add_batch(&mut self, sequence: u64, version: RecordVersion, batch: &Batch) {
        let keys = batch.claims().map(|(_, claim)| claim.key).collect();
        let expires_unix_ms = batch.newest_unix_ms() + KEY_RETENTION_MS + CLOCK_TOLERANCE_MS;
        self.batches.push_back(LoggedBatch { sequence, version, expires_unix_ms, keys });
    }

    /// Removes and returns the oldest batch if all its keys have expired. The newest
    /// batch stays, because it holds the last sequence number.
    pub fn expire_batch(&mut self, unix_ms: u64) -> Option<LoggedBatch> {
        if self.batches.len() < 2 || self.batches.front()?.expires_unix_ms >= unix_ms {
            return None;
        }
        let batch = self.batches.pop_front()?;
        for key in &batch.keys {
            // A key that was released and claimed again is in a later batch.
            if self
                .keys
                .get(key)
                .is_some_and(|entry| entry.location == ClaimLocation::Logged(batch.sequence))
            {
                self.keys.remove(key);
            }
        }
        Some(batch)
    }

    /// Records that the response of a request is cached; returns the requests whose
    /// responses must be discarded for it.
    pub fn keep(&mut self, key: KeyDigest, first: RequestId, size_bytes: u64) -> Vec<RequestId> {
        self.set_state(&key, KeyState::Kept { first });
        self.kept.push_back((key, first, size_bytes));
        self.kept_bytes += size_bytes;
        let mut forgotten = Vec::new();
        while self.kept.len() > KEPT_RESPONSES_MAX || self.kept_bytes > KEPT_RESPONSE_BYTES_MAX {
            let Some((key, first, size_bytes)) = self.kept.pop_front() else { break };
            self.kept_bytes -= size_bytes;
            if self.keys.get(&key).is_some_and(|entry| entry.state == KeyState::Kept { first }) {
                self.set_state(&key, KeyState::Forgotten);
            }
            forgotten.push(first);
        }
        forgotten
    }

    /// Returns the requests whose responses are cached.
    pub fn into_kept(self) -> impl Iterator<Item = RequestId> {
        self.kept.into_iter().map(|(_, first, _)| first)
    }
}
