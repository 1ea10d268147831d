//! Digests of a claim and the home of a key.

use sha2::{Digest, Sha256};

use super::{
    events::{BodyDigest, Claim, KeyDigest},
    key::IdempotencyKey,
};
use crate::state::ids::{CallerId, DataCentreId};

fn first_16<const N: usize>(parts: [&[u8]; N]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        // The length keeps parts apart, so "ab"+"c" differs from "a"+"bc".
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut first = [0; 16];
    first.copy_from_slice(&digest[..16]);
    first
}

fn weight<const N: usize>(parts: [&[u8]; N]) -> u64 {
    let digest = first_16(parts);
    digest[..8].iter().fold(0, |value, &byte| value << 8 | u64::from(byte))
}

impl Claim {
    /// Makes the claim of a request. Digests are the first 16 bytes of
    /// SHA-256.
    pub fn new(
        caller: &CallerId,
        key: &IdempotencyKey,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Self {
        Self {
            key: KeyDigest(first_16([caller.as_str().as_bytes(), key.as_bytes()])),
            body: BodyDigest(first_16([method.as_bytes(), path.as_bytes(), body])),
            created_unix_ms: key.created_unix_ms(),
        }
    }
}

/// Returns the home of a key among the seats of its home data centre, from 0;
/// 0 if there are no seats.
pub fn home_seat(claim: &Claim, seats: u16) -> u16 {
    let bytes = claim.key.0;
    let value = bytes[..8].iter().fold(0u64, |value, &byte| value << 8 | u64::from(byte));
    (value % u64::from(seats.max(1))) as u16
}

/// Chooses the home data centre of a caller by rendezvous hashing, so that a
/// data centre that is added or removed moves only its own share of callers.
///
/// Returns none if there are no candidates.
pub fn home_data_centre<'a, C>(caller: &CallerId, candidates: C) -> Option<&'a DataCentreId>
where
    C: IntoIterator<Item = &'a DataCentreId>,
{
    let weight_of =
        |centre: &DataCentreId| weight([caller.as_str().as_bytes(), centre.as_str().as_bytes()]);
    candidates.into_iter().max_by_key(|centre| (weight_of(centre), (*centre).clone()))
}
