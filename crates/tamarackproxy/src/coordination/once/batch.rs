//! Batches of claims as they stand in the store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::events::{Claim, KeyDigest};
use crate::state::ids::{DataCentreId, EntryId, OperationId, Term};

/// Entries of one batch. A claim takes at most 43 bytes encoded, so 20,000
/// claims stay below the store's limit of 1 MB.
pub(super) const BATCH_ENTRIES_MAX: usize = 20_000;

/// Version of the encoding, the first byte of a batch.
const ENCODING: u8 = 1;

/// One entry of the log; entries apply in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum LogEntry {
    /// The request may run once.
    Claim(Claim),
    /// The claim's request provably did not run.
    Release(KeyDigest),
}

/// Value of `once/<data centre>/<seat>/<sequence>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Batch {
    encoding: u8,
    /// Term of the holder that wrote the batch.
    pub term: Term,
    /// The holder that wrote the batch.
    pub writer: EntryId,
    /// Number of the write, unique for the writer and term.
    pub operation: OperationId,
    /// Time of writing, in milliseconds since the Unix epoch.
    pub written_unix_ms: u64,
    /// Keys created before this time and missing in the log may have run.
    pub gap_until_unix_ms: u64,
    /// Whether the holder closed the log: nothing ran that is not in it.
    pub closed: bool,
    /// Claims and releases.
    pub entries: Vec<LogEntry>,
}

impl Batch {
    pub fn new(term: Term, writer: EntryId, operation: OperationId, written_unix_ms: u64) -> Self {
        Self {
            encoding: ENCODING,
            term,
            writer,
            operation,
            written_unix_ms,
            gap_until_unix_ms: 0,
            closed: false,
            entries: Vec::new(),
        }
    }

    /// Tells whether both are the same write.
    pub fn is_same_write(&self, other: &Batch) -> bool {
        (self.term, &self.writer, self.operation) == (other.term, &other.writer, other.operation)
    }

    /// Encodes the batch; empty if the encoder fails, which no batch causes.
    pub fn encode(&self) -> Bytes {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default().into()
    }

    /// Decodes a batch; none if the value is not one of this encoding.
    pub fn decode(value: &[u8]) -> Option<Batch> {
        let (batch, _): (Batch, usize) =
            bincode::serde::decode_from_slice(value, bincode::config::standard()).ok()?;
        (batch.encoding == ENCODING).then_some(batch)
    }

    /// Returns the claims with their positions in the batch.
    pub fn claims(&self) -> impl Iterator<Item = (u64, &Claim)> {
        (0..).zip(&self.entries).filter_map(|(position, entry)| match entry {
            LogEntry::Claim(claim) => Some((position, claim)),
            LogEntry::Release(_) => None,
        })
    }

    /// Creation time of the newest claim, or the time of writing if later.
    pub fn newest_unix_ms(&self) -> u64 {
        let created = self.claims().map(|(_, claim)| claim.created_unix_ms);
        created.max().unwrap_or(0).max(self.written_unix_ms)
    }
}

/// Prefix of all batches of a seat.
pub(super) fn seat_prefix(data_centre: &DataCentreId, seat: u16) -> Box<str> {
    format!("once/{data_centre}/{seat}/").into()
}

/// Key of one batch; padded, so that keys sort by sequence.
pub(super) fn batch_key(data_centre: &DataCentreId, seat: u16, sequence: u64) -> Box<str> {
    format!("once/{data_centre}/{seat}/{sequence:020}").into()
}

/// Key of the record of the number of seats.
pub(super) fn layout_key(data_centre: &DataCentreId) -> Box<str> {
    format!("once/{data_centre}/layout").into()
}

/// Sequence of a batch's key; none for another key.
pub(super) fn sequence_of(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

/// Value of `once/<data centre>/layout`: since when the number of seats, and
/// with it the home of each key, is as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Layout {
    /// Number of seats.
    pub seats: u16,
    /// Time of the last change, in milliseconds since the Unix epoch; 0 for
    /// the first layout.
    pub changed_unix_ms: u64,
}
