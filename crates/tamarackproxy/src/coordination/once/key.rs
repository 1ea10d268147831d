//! Idempotency keys sent by callers.

use std::str::FromStr;

use displaydoc::Display;
use uuid::Uuid;

use crate::state::clock::ClockReading;

/// Retention period of a key, counted from its creation, in milliseconds.
pub const KEY_RETENTION_MS: u64 = 24 * 3_600_000;
/// Maximum accepted clock skew between a caller and an entry host, in
/// milliseconds.
pub const CLOCK_TOLERANCE_MS: u64 = 5 * 60_000;

/// Reasons for which an idempotency key is rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum KeyError {
    /// the idempotency key is not a UUID; send a UUID version 7
    NotAUuid,
    /// the idempotency key is a UUID of another version; send a UUID version 7
    NotVersion7,
    /// the idempotency key is older than 24 hours; make a new key
    Expired,
    /// the idempotency key lies more than 5 minutes in the future; set the caller's clock
    InFuture,
}

impl std::error::Error for KeyError {}

/// A caller's idempotency key: a UUID version 7, which carries its creation
/// time.
///
/// ```
/// use tamarackproxy::{coordination::once::IdempotencyKey, state::clock::ClockReading};
///
/// let key: IdempotencyKey = "\"01890a5d-ac96-774b-bcce-b302099a8057\"".parse().unwrap();
/// assert!(key.check(ClockReading::new(0, key.created_unix_ms() + 1_000)).is_ok());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Returns the creation time, in milliseconds since the Unix epoch.
    pub fn created_unix_ms(&self) -> u64 {
        // The first 48 bits of a UUID version 7 hold its creation time (RFC 9562).
        (self.0.as_u128() >> 80) as u64
    }

    /// Returns the 16 bytes of the key.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// Checks that the key may be used at the time `now`.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::Expired`] if the key is older than
    /// [`KEY_RETENTION_MS`], and [`KeyError::InFuture`] if its creation time is
    /// more than [`CLOCK_TOLERANCE_MS`] ahead of `now`.
    pub fn check(&self, now: ClockReading) -> Result<(), KeyError> {
        check_created(self.created_unix_ms(), now)
    }
}

/// Checks a key's creation time as [`IdempotencyKey::check`] does.
pub(super) fn check_created(created_unix_ms: u64, now: ClockReading) -> Result<(), KeyError> {
    if created_unix_ms.saturating_add(KEY_RETENTION_MS) < now.unix_ms {
        return Err(KeyError::Expired);
    }
    if created_unix_ms > now.unix_ms.saturating_add(CLOCK_TOLERANCE_MS) {
        return Err(KeyError::InFuture);
    }
    Ok(())
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let text = text.trim();
        let bare = text.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')).unwrap_or(text);
        let id = Uuid::try_parse(bare).map_err(|_| KeyError::NotAUuid)?;
        if id.get_version_num() != 7 {
            return Err(KeyError::NotVersion7);
        }
        Ok(Self(id))
    }
}
