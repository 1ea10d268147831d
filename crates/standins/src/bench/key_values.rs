//! In-memory key-value store that injects no faults itself.

use std::{collections::BTreeMap, ops::Bound};

use bytes::Bytes;
use tamarackproxy::{
    protocol::store::{KeyValue, StoreReply, StoreRequest, VALUE_MAX_BYTES},
    state::ids::RecordVersion,
};

/// Keys with their values and versions. Leases are granted but never expire.
#[derive(Clone, Debug, Default)]
pub struct KeyValues {
    keys: BTreeMap<Box<str>, (Bytes, RecordVersion)>,
    version: RecordVersion,
    /// Number of calls that may change a key, including those that conflict.
    pub writes: u64,
}

impl KeyValues {
    /// Returns the keys in order.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.keys.keys().map(|key| &**key)
    }

    /// Removes a key without a new version, as a restore from a backup does.
    pub fn remove(&mut self, key: &str) {
        self.keys.remove(key);
    }

    /// Executes one call.
    ///
    /// # Panics
    ///
    /// Panics if a value exceeds the size limit of the store, which the library
    /// must respect.
    pub fn apply(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Get { key } => StoreReply::Value(self.get(key)),
            StoreRequest::List { prefix, after, limit } => self.list(prefix, after, *limit),
            StoreRequest::CompareAndSwap { key, expected, value, .. } => {
                assert!(value.len() <= VALUE_MAX_BYTES, "{key} has {} bytes", value.len());
                self.writes += 1;
                if self.version_of(key) != *expected {
                    return StoreReply::Conflict(self.get(key));
                }
                self.version = self.version.next();
                self.keys.insert(key.clone(), (value.clone(), self.version));
                StoreReply::Swapped(self.version)
            }
            StoreRequest::CompareAndDelete { key, expected } => {
                self.writes += 1;
                if self.version_of(key) != *expected {
                    return StoreReply::Conflict(self.get(key));
                }
                self.keys.remove(key);
                self.version = self.version.next();
                StoreReply::Swapped(self.version)
            }
            StoreRequest::GrantLease { ttl_ms } => {
                StoreReply::Lease { lease: Default::default(), ttl_ms: *ttl_ms }
            }
            StoreRequest::KeepAlive { lease } => StoreReply::Lease { lease: *lease, ttl_ms: 0 },
            StoreRequest::RevokeLease { .. } => StoreReply::Revoked,
        }
    }

    fn version_of(&self, key: &str) -> RecordVersion {
        self.keys.get(key).map_or(RecordVersion(0), |(_, version)| *version)
    }

    fn get(&self, key: &str) -> Option<KeyValue> {
        let (value, version) = self.keys.get(key)?;
        Some(KeyValue { key: key.into(), value: value.clone(), version: *version })
    }

    fn list(&self, prefix: &str, after: &Option<Box<str>>, limit: u32) -> StoreReply {
        let start = match after {
            Some(after) => Bound::Excluded(&**after),
            None => Bound::Included(prefix),
        };
        let mut items: Vec<KeyValue> = self
            .keys
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit as usize + 1)
            .filter_map(|(key, _)| self.get(key))
            .collect();
        let more = items.len() > limit as usize;
        items.truncate(limit as usize);
        StoreReply::Values { items, more }
    }
}
