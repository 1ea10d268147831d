//! Leases and the keys bound to them.

use std::collections::{BTreeMap, BTreeSet};

/// A granted lease with the keys bound to it.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) ttl_ms: u64,
    pub(super) expires_at_ms: u64,
    pub(super) keys: BTreeSet<Box<[u8]>>,
}

/// All leases, by id.
#[derive(Clone, Debug, Default)]
pub(super) struct Leases {
    by_id: BTreeMap<u64, Lease>,
    last_id: u64,
}

impl Leases {
    pub(super) fn grant(&mut self, now_ms: u64, ttl_ms: u64) -> u64 {
        self.last_id += 1;
        let lease = Lease { ttl_ms, expires_at_ms: now_ms + ttl_ms, keys: BTreeSet::new() };
        self.by_id.insert(self.last_id, lease);
        self.last_id
    }

    /// Renews a lease and returns its time to live in milliseconds; `None` if it
    /// does not exist.
    pub(super) fn renew(&mut self, now_ms: u64, id: u64) -> Option<u64> {
        let lease = self.by_id.get_mut(&id)?;
        lease.expires_at_ms = now_ms + lease.ttl_ms;
        Some(lease.ttl_ms)
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(super) fn bind(&mut self, id: u64, key: &[u8]) {
        if let Some(lease) = self.by_id.get_mut(&id) {
            lease.keys.insert(key.into());
        }
    }

    pub(super) fn unbind(&mut self, id: u64, key: &[u8]) {
        if let Some(lease) = self.by_id.get_mut(&id) {
            lease.keys.remove(key);
        }
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<Lease> {
        self.by_id.remove(&id)
    }

    pub(super) fn expired(&self, now_ms: u64) -> Vec<u64> {
        let expired = |(id, lease): (&u64, &Lease)| (lease.expires_at_ms <= now_ms).then_some(*id);
        self.by_id.iter().filter_map(expired).collect()
    }
}
