//! Requests to the platform's key-value store and its replies.

use bytes::Bytes;
use displaydoc::Display;

use crate::state::ids::{LeaseId, RecordVersion};

/// Largest value that the store accepts, in bytes.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// One call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads one key.
    Get { key: Box<str> },
    /// Reads up to `limit` keys with a prefix in key order, starting after
    /// `after` if given.
    List { prefix: Box<str>, after: Option<Box<str>>, limit: u32 },
    /// Writes one key if its version is still `expected`; version 0 means that
    /// the key must not exist.
    CompareAndSwap { key: Box<str>, expected: RecordVersion, value: Bytes, lease: Option<LeaseId> },
    /// Removes one key if its version is still `expected`.
    CompareAndDelete { key: Box<str>, expected: RecordVersion },
    /// Requests a lease; the keys bound to it are removed if it is not renewed in
    /// time.
    GrantLease { ttl_ms: u64 },
    /// Renews a lease.
    KeepAlive { lease: LeaseId },
    /// Revokes a lease and removes its keys.
    RevokeLease { lease: LeaseId },
}

/// A key, its value and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    pub key: Box<str>,
    pub value: Bytes,
    /// Version of the last write.
    pub version: RecordVersion,
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// Reply to `Get`.
    Value(Option<KeyValue>),
    /// Reply to `List`; `more` tells whether more keys follow.
    Values { items: Vec<KeyValue>, more: bool },
    /// The write or removal took effect, at this version.
    Swapped(RecordVersion),
    /// The write or removal did not take effect; contains the key's current state.
    Conflict(Option<KeyValue>),
    /// Reply to `GrantLease` and `KeepAlive`.
    Lease { lease: LeaseId, ttl_ms: u64 },
    /// The lease is unknown or has expired.
    LeaseLost,
    /// Reply to `RevokeLease`.
    Revoked,
}

/// Reasons why a call to the store has no reply.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum StoreError {
    /// the store cannot be reached and nothing was sent; the call is tried again after a delay
    NotSent,
    /// the store did not reply and the call may have taken effect; read the key back by operation id
    Unknown,
    /// the store refuses the call, as above its rate or not ready, and did nothing; the call is tried again after a delay
    Throttled,
    /// the store's reply cannot be read: {0}; check that the address is that of the store
    Malformed(Box<str>),
}

impl std::error::Error for StoreError {}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was written.
    Put(KeyValue),
    /// The key was removed.
    Deleted { key: Box<str>, version: RecordVersion },
    /// The watch was interrupted and events may be missing; the prefix must be
    /// read again.
    Interrupted,
}
