//! Digests in claims, and the mapping of keys to their homes.

use sha2::{Digest, Sha256};

use super::{
    events::{BodyDigest, Claim, KeyDigest},
    key::IdempotencyKey,
};
use crate::state::ids::{CallerId, DataCentreId};

/// Returns the first 16 bytes of the SHA-256 of `parts`.
fn truncated_sha256<const N: usize>(parts: [&[u8]; N]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        // The length prefix makes "ab" + "c" differ from "a" + "bc".
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut first = [0; 16];
    first.copy_from_slice(&digest[..16]);
    first
}

/// Returns the rendezvous hashing weight of `parts`.
fn rendezvous_weight<const N: usize>(parts: [&[u8]; N]) -> u64 {
    let digest = truncated_sha256(parts);
    digest[..8].iter().fold(0, |value, &byte| value << 8 | u64::from(byte))
}

impl Claim {
    /// Creates the claim of a request. Digests are the first 16 bytes of
    /// SHA-256.
    pub fn new(
        caller: &CallerId,
        key: &IdempotencyKey,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Self {
        Self {
            key: KeyDigest(truncated_sha256([caller.as_str().as_bytes(), key.as_bytes()])),
            body: BodyDigest(truncated_sha256([method.as_bytes(), path.as_bytes(), body])),
            created_unix_ms: key.created_unix_ms(),
        }
    }
}

/// Returns the zero-based index of the seat that is the home of a claim's key in its
/// home data centre; 0 if there are no seats.
pub fn home_seat(claim: &Claim, seats: u16) -> u16 {
    let bytes = claim.key.0;
    let value = bytes[..8].iter().fold(0u64, |value, &byte| value << 8 | u64::from(byte));
    (value % u64::from(seats.max(1))) as u16
}

/// Chooses the home data centre of a caller by rendezvous hashing, so that adding or
/// removing a data centre moves only its own share of callers.
///
/// Returns `None` if there are no candidates.
pub fn home_data_centre<'a, C>(caller: &CallerId, candidates: C) -> Option<&'a DataCentreId>
where
    C: IntoIterator<Item = &'a DataCentreId>,
{
    let weight_of = |centre: &DataCentreId| {
        rendezvous_weight([caller.as_str().as_bytes(), centre.as_str().as_bytes()])
    };
    candidates.into_iter().max_by_key(|centre| (weight_of(centre), (*centre).clone()))
}
