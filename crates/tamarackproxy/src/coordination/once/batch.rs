//! Encoding of batches of claims and of the layout record in the store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::events::{Claim, KeyDigest};
use crate::state::ids::{DataCentreId, EntryId, OperationId, Term};

/// Maximum number of entries in a batch. An encoded claim takes at most 43 bytes,
/// so 20,000 claims stay below the store's limit of 1 MB per value.
pub(super) const BATCH_ENTRIES_MAX: usize = 20_000;

/// Version of the encoding; the first byte of a batch.
const ENCODING_VERSION: u8 = 1;

/// One entry of the log. Entries take effect in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum LogEntry {
    /// The request of this claim may run once.
    Claim(Claim),
    /// The claimed request certainly did not run, so the key may be claimed again.
    Release(KeyDigest),
}

/// Value of `once/<data centre>/<seat>/<sequence>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Batch {
    encoding: u8,
    /// Term of the seat holder that wrote the batch.
    pub term: Term,
    /// Entry host that wrote the batch.
    pub writer: EntryId,
    /// Number of the write, unique within the writer's term.
    pub operation: OperationId,
    /// Time of writing, in milliseconds since the Unix epoch.
    pub written_unix_ms: u64,
    /// Keys that were created before this time and are missing in the log may have
    /// run, in milliseconds since the Unix epoch.
    pub gap_until_unix_ms: u64,
    /// Whether the holder closed the log: no request ran that is missing in it.
    pub closed: bool,
    /// Claims and releases, in order.
    pub entries: Vec<LogEntry>,
}

impl Batch {
    pub fn new(term: Term, writer: EntryId, operation: OperationId, written_unix_ms: u64) -> Self {
        Self {
            encoding: ENCODING_VERSION,
            term,
            writer,
            operation,
            written_unix_ms,
            gap_until_unix_ms: 0,
            closed: false,
            entries: Vec::new(),
        }
    }

    /// Returns whether both batches come from the same write.
    pub fn is_same_write(&self, other: &Batch) -> bool {
        (self.term, &self.writer, self.operation) == (other.term, &other.writer, other.operation)
    }

    /// Encodes the batch. Returns an empty value if the encoder fails, which no batch
    /// causes.
    pub fn encode(&self) -> Bytes {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default().into()
    }

    /// Decodes a batch; returns `None` if the value does not have this encoding.
    pub fn decode(value: &[u8]) -> Option<Batch> {
        let (batch, _): (Batch, usize) =
            bincode::serde::decode_from_slice(value, bincode::config::standard()).ok()?;
        (batch.encoding == ENCODING_VERSION).then_some(batch)
    }

    /// Returns the claims with their positions in the batch.
    pub fn claims(&self) -> impl Iterator<Item = (u64, &Claim)> {
        (0..).zip(&self.entries).filter_map(|(position, entry)| match entry {
            LogEntry::Claim(claim) => Some((position, claim)),
            LogEntry::Release(_) => None,
        })
    }

    /// Returns the creation time of the newest claim, or the time of writing if that
    /// is later.
    pub fn newest_unix_ms(&self) -> u64 {
        let created = self.claims().map(|(_, claim)| claim.created_unix_ms);
        created.max().unwrap_or(0).max(self.written_unix_ms)
    }
}

/// Returns the key prefix of all batches of a seat.
pub(super) fn seat_prefix(data_centre: &DataCentreId, seat: u16) -> Box<str> {
    format!("once/{data_centre}/{seat}/").into()
}

/// Returns the key of a batch, zero-padded so that keys sort by sequence number.
pub(super) fn batch_key(data_centre: &DataCentreId, seat: u16, sequence: u64) -> Box<str> {
    format!("once/{data_centre}/{seat}/{sequence:020}").into()
}

/// Returns the key of a data centre's layout record.
pub(super) fn layout_key(data_centre: &DataCentreId) -> Box<str> {
    format!("once/{data_centre}/layout").into()
}

/// Returns the sequence number in a batch's key, or `None` for any other key.
pub(super) fn sequence_of(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

/// Value of `once/<data centre>/layout`: the number of seats, which determines the
/// home of each key, and when it last changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Layout {
    /// Number of seats.
    pub seats: u16,
    /// Time of the last change, in milliseconds since the Unix epoch; 0 for
    /// the first layout.
    pub changed_unix_ms: u64,
}
