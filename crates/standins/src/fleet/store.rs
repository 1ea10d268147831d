//! The platform's key-value service in virtual time.

use std::collections::BTreeMap;

use tamarackproxy::{
    protocol::store::{KeyValue, StoreReply, StoreRequest},
    state::ids::{LeaseId, RecordVersion},
};

struct Entry {
    value: bytes::Bytes,
    version: RecordVersion,
    lease: Option<LeaseId>,
}

struct Lease {
    ttl_ms: u64,
    ends_ms: u64,
}

/// In-memory store; each call receives the current time.
#[derive(Default)]
pub struct VirtualStore {
    entries: BTreeMap<Box<str>, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
    revision: u64,
    next_lease: u64,
}

impl VirtualStore {
    /// Executes a call at `now_ms`.
    pub fn call(&mut self, now_ms: u64, request: &StoreRequest) -> StoreReply {
        self.expire(now_ms);
        match request {
            StoreRequest::Get { key } => StoreReply::Value(self.get(key)),
            StoreRequest::List { prefix, after, limit } => {
                self.list(prefix, after.as_deref(), *limit)
            }
            StoreRequest::CompareAndSwap { key, expected, value, lease } => {
                self.swap(key, *expected, value.clone(), *lease)
            }
            StoreRequest::CompareAndDelete { key, expected } => {
                if self.version(key) != *expected {
                    return StoreReply::Conflict(self.get(key));
                }
                self.entries.remove(key);
                self.revision += 1;
                StoreReply::Swapped(RecordVersion(self.revision))
            }
            StoreRequest::GrantLease { ttl_ms } => {
                self.next_lease += 1;
                let lease = LeaseId(self.next_lease);
                self.leases.insert(lease, Lease { ttl_ms: *ttl_ms, ends_ms: now_ms + ttl_ms });
                StoreReply::Lease { lease, ttl_ms: *ttl_ms }
            }
            StoreRequest::KeepAlive { lease } => match self.leases.get_mut(lease) {
                Some(known) => {
                    known.ends_ms = now_ms + known.ttl_ms;
                    StoreReply::Lease { lease: *lease, ttl_ms: known.ttl_ms }
                }
                None => StoreReply::LeaseLost,
            },
            StoreRequest::RevokeLease { lease } => {
                self.leases.remove(lease);
                self.entries.retain(|_, entry| entry.lease != Some(*lease));
                StoreReply::Revoked
            }
        }
    }

    /// Reads a record; `None` if it does not exist.
    ///
    /// # Panics
    ///
    /// Panics if the record cannot be decoded.
    pub fn record<R>(&self, key: &str) -> Option<R>
    where
        R: serde::de::DeserializeOwned,
    {
        let entry = self.entries.get(key)?;
        Some(serde_json::from_slice(&entry.value).expect("a record decodes"))
    }

    /// Returns the keys that start with `prefix`, with their versions.
    pub fn keys(&self, prefix: &str) -> Vec<(Box<str>, RecordVersion)> {
        self.entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| (key.clone(), entry.version))
            .collect()
    }

    fn expire(&mut self, now_ms: u64) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.leases.remove(&lease);
            self.entries.retain(|_, entry| entry.lease != Some(lease));
        }
    }

    fn version(&self, key: &str) -> RecordVersion {
        self.entries.get(key).map_or(RecordVersion(0), |entry| entry.version)
    }

    fn get(&self, key: &str) -> Option<KeyValue> {
        self.entries.get(key).map(|entry| KeyValue {
            key: key.into(),
            value: entry.value.clone(),
            version: entry.version,
        })
    }

    fn list(&self, prefix: &str, after: Option<&str>, limit: u32) -> StoreReply {
        let keys: Vec<&Box<str>> = self
            .entries
            .keys()
            .filter(|key| key.starts_with(prefix) && after.is_none_or(|after| &***key > after))
            .take(limit as usize + 1)
            .collect();
        let more = keys.len() > limit as usize;
        let items = keys.into_iter().take(limit as usize).filter_map(|key| self.get(key)).collect();
        StoreReply::Values { items, more }
    }

    fn swap(
        &mut self,
        key: &str,
        expected: RecordVersion,
        value: bytes::Bytes,
        lease: Option<LeaseId>,
    ) -> StoreReply {
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return StoreReply::LeaseLost;
        }
        if self.version(key) != expected {
            return StoreReply::Conflict(self.get(key));
        }
        self.revision += 1;
        let version = RecordVersion(self.revision);
        self.entries.insert(key.into(), Entry { value, version, lease });
        StoreReply::Swapped(version)
    }
}
