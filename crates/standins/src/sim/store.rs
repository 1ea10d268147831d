//! The platform's key-value service in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

use bytes::Bytes;
use tamarackproxy::{
    protocol::store::{KeyValue, StoreReply, StoreRequest, WatchEvent},
    state::ids::{LeaseId, RecordVersion},
};

#[derive(Clone, Debug)]
struct Entry {
    value: Bytes,
    version: u64,
    lease: Option<LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: u64,
    expires_ms: u64,
}

/// A change as it is reported to watches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRecord {
    /// Version of the change.
    pub version: u64,
    /// Key that changed.
    pub key: Box<str>,
    /// Event that is sent to the watches.
    pub event: WatchEvent,
}

/// Backup of a store.
#[derive(Clone, Debug)]
pub struct StoreSnapshot {
    keys: BTreeMap<Box<str>, Entry>,
    revision: u64,
}

/// Store with versioned keys, leases and a log of changes for watches.
#[derive(Clone, Debug, Default)]
pub struct VirtualStore {
    keys: BTreeMap<Box<str>, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
    revision: u64,
    next_lease: u64,
    log: Vec<WatchRecord>,
    reads: u64,
    writes: u64,
}

impl VirtualStore {
    /// Returns the number of read calls.
    pub fn reads(&self) -> u64 {
        self.reads
    }

    /// Returns the number of write and lease calls.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Returns the value of a key without counting a call.
    pub fn value(&self, key: &str) -> Option<&Bytes> {
        self.keys.get(key).map(|entry| &entry.value)
    }

    /// Takes a backup, without leases and the keys bound to them.
    pub fn snapshot(&self) -> StoreSnapshot {
        let keys = self.keys.iter().filter(|(_, entry)| entry.lease.is_none());
        let keys = keys.map(|(key, entry)| (key.clone(), entry.clone())).collect();
        StoreSnapshot { keys, revision: self.revision }
    }

    /// Replaces the state by a backup; versions continue from the version of the
    /// backup.
    pub fn restore(&mut self, snapshot: StoreSnapshot) {
        (self.keys, self.revision) = (snapshot.keys, snapshot.revision);
        self.leases.clear();
        self.log.clear();
    }

    /// Ends expired leases.
    pub fn expire(&mut self, now_ms: u64) {
        let expired: BTreeSet<_> =
            self.leases.iter().filter(|(_, l)| now_ms >= l.expires_ms).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let bound = self.keys.iter().filter(|(_, entry)| entry.lease == Some(lease));
        let bound: Vec<_> = bound.map(|(key, _)| key.clone()).collect();
        bound.iter().for_each(|key| self.delete(key));
    }

    fn delete(&mut self, key: &str) {
        self.keys.remove(key);
        self.revision += 1;
        let version = RecordVersion(self.revision);
        let event = WatchEvent::Deleted { key: key.into(), version };
        self.log.push(WatchRecord { version: self.revision, key: key.into(), event });
    }

    /// Executes one request.
    pub fn apply(&mut self, now_ms: u64, request: &StoreRequest) -> StoreReply {
        self.expire(now_ms);
        let reads = matches!(request, StoreRequest::Get { .. } | StoreRequest::List { .. });
        *(if reads { &mut self.reads } else { &mut self.writes }) += 1;
        match request {
            StoreRequest::Get { key } => StoreReply::Value(self.key_value(key)),
            StoreRequest::List { prefix, after, limit } => {
                self.list(prefix, after.as_deref(), *limit as usize)
            }
            StoreRequest::CompareAndSwap { key, expected, value, lease } => {
                self.swap(key, *expected, value, *lease)
            }
            StoreRequest::CompareAndDelete { key, expected } => {
                if self.version(key) != *expected {
                    return StoreReply::Conflict(self.key_value(key));
                }
                self.delete(key);
                StoreReply::Swapped(RecordVersion(self.revision))
            }
            StoreRequest::GrantLease { ttl_ms } => {
                self.next_lease += 1;
                let lease = LeaseId(self.next_lease);
                let (ttl_ms, expires_ms) = (*ttl_ms, now_ms + ttl_ms);
                self.leases.insert(lease, Lease { ttl_ms, expires_ms });
                StoreReply::Lease { lease, ttl_ms }
            }
            StoreRequest::KeepAlive { lease } => match self.leases.get_mut(lease) {
                Some(found) => {
                    found.expires_ms = now_ms + found.ttl_ms;
                    StoreReply::Lease { lease: *lease, ttl_ms: found.ttl_ms }
                }
                None => StoreReply::LeaseLost,
            },
            StoreRequest::RevokeLease { lease } => {
                self.end_lease(*lease);
                StoreReply::Revoked
            }
        }
    }

    fn version(&self, key: &str) -> RecordVersion {
        RecordVersion(self.keys.get(key).map_or(0, |entry| entry.version))
    }

    fn key_value(&self, key: &str) -> Option<KeyValue> {
        let entry = self.keys.get(key)?;
        Some(KeyValue {
            key: key.into(),
            value: entry.value.clone(),
            version: RecordVersion(entry.version),
        })
    }

    fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> StoreReply {
        let start = after.map_or(Bound::Included(prefix), Bound::Excluded);
        let keys = self.keys.range::<str, _>((start, Bound::Unbounded)).map(|(key, _)| key);
        let mut keys = keys.take_while(|key| key.starts_with(prefix));
        let items = keys.by_ref().take(limit).filter_map(|key| self.key_value(key)).collect();
        StoreReply::Values { items, more: keys.next().is_some() }
    }

    fn swap(
        &mut self,
        key: &str,
        expected: RecordVersion,
        value: &Bytes,
        lease: Option<LeaseId>,
    ) -> StoreReply {
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return StoreReply::LeaseLost;
        }
        if self.version(key) != expected {
            return StoreReply::Conflict(self.key_value(key));
        }
        self.revision += 1;
        let version = self.revision;
        self.keys.insert(key.into(), Entry { value: value.clone(), version, lease });
        let key_value =
            KeyValue { key: key.into(), value: value.clone(), version: RecordVersion(version) };
        let event = WatchEvent::Put(key_value);
        self.log.push(WatchRecord { version, key: key.into(), event });
        StoreReply::Swapped(RecordVersion(version))
    }

    /// Returns the logged changes under a prefix, from a version on.
    pub fn changes(&self, prefix: &str, from_version: u64) -> impl Iterator<Item = &WatchRecord> {
        let start = self.log.partition_point(|record| record.version < from_version);
        self.log[start..].iter().filter(move |record| record.key.starts_with(prefix))
    }

    /// Returns the number of logged changes.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Returns the logged changes from an index in the log.
    pub fn log_from(&self, position: usize) -> &[WatchRecord] {
        self.log.get(position..).unwrap_or_default()
    }
}
