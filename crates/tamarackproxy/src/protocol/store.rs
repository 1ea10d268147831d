//! Requests to the platform's key-value service and its replies.

use bytes::Bytes;
use displaydoc::Display;

use crate::state::ids::{LeaseId, RecordVersion};

/// Largest value that the store holds, in bytes.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// One call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads one key.
    Get { key: Box<str> },
    /// Reads keys with a prefix in order, after `after` if given.
    List { prefix: Box<str>, after: Option<Box<str>>, limit: u32 },
    /// Writes one key if its version is still `expected`; version 0 stands
    /// for a key that does not exist.
    CompareAndSwap { key: Box<str>, expected: RecordVersion, value: Bytes, lease: Option<LeaseId> },
    /// Removes one key if its version is still `expected`.
    CompareAndDelete { key: Box<str>, expected: RecordVersion },
    /// Asks for a lease whose keys vanish when it is not renewed in time.
    GrantLease { ttl_ms: u64 },
    /// Renews a lease.
    KeepAlive { lease: LeaseId },
    /// Ends a lease and removes its keys.
    RevokeLease { lease: LeaseId },
}

/// A key, its value and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Box<str>,
    /// The value.
    pub value: Bytes,
    /// Version of the last write.
    pub version: RecordVersion,
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// Reply to `Get`.
    Value(Option<KeyValue>),
    /// Reply to `List`, with a mark whether more keys follow.
    Values { items: Vec<KeyValue>, more: bool },
    /// The swap or removal took effect; the key has this version now.
    Swapped(RecordVersion),
    /// The swap or removal did not take effect; the key's present state.
    Conflict(Option<KeyValue>),
    /// Reply to `GrantLease` and `KeepAlive`.
    Lease { lease: LeaseId, ttl_ms: u64 },
    /// The lease is unknown or has lapsed.
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

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was written.
    Put(KeyValue),
    /// The key was removed.
    Deleted { key: Box<str>, version: RecordVersion },
    /// The watch was interrupted; read the prefix again before relying on it.
    Interrupted,
}
