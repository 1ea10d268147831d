//! State of the store, independent of sockets: keys, revisions, leases and the
//! history of changes.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Bound,
};

use bytes::Bytes;
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::ids::{LeaseId, RecordVersion},
};

use super::{
    faults::{CallCounts, CallLimits, CallWindow, ReplyDelivery, StoreFaults},
    leases::Leases,
};

/// Largest number of changes that are kept for watches and for the verdict; older
/// ones are compacted.
const HISTORY_CHANGES: usize = 200_000;

/// A key's value with its revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredKey {
    pub value: Bytes,
    /// Revision in which the key was created.
    pub create_revision: u64,
    /// Revision of the latest write.
    pub mod_revision: u64,
    /// Number of writes since the creation.
    pub version: u64,
    /// Lease that the key is bound to.
    pub lease: Option<u64>,
}

/// One write or removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Revision of the change.
    pub revision: u64,
    /// Time of the change, in milliseconds on the store's clock.
    pub at_ms: u64,
    pub key: Box<[u8]>,
    /// The new value; `None` after a removal.
    pub stored: Option<StoredKey>,
}

/// Condition of a transaction on one key; for an absent key all numbers are 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The revision of the latest write equals this one.
    ModRevision(u64),
    /// The revision of the creation equals this one.
    CreateRevision(u64),
    /// The number of writes since the creation equals this one.
    Version(u64),
}

/// Effect of a transaction whose condition holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Writes the value, bound to the lease if there is one.
    Put { value: Bytes, lease: Option<u64> },
    /// Removes the key.
    Delete,
}

/// Copy of the keys, the revision and the leases.
#[derive(Clone, Debug)]
pub struct StoreSnapshot {
    revision: u64,
    keys: BTreeMap<Box<[u8]>, StoredKey>,
    leases: Leases,
}

/// The store without sockets. Each call receives the current time, so that
/// simulations can run the store in virtual time.
#[derive(Clone, Debug)]
pub struct StoreState {
    present: StoreSnapshot,
    history: VecDeque<Change>,
    compacted_revision: u64,
    undone: Vec<Change>,
    restores: u64,
    counts: CallCounts,
    limits: CallLimits,
    reads: CallWindow,
    writes: CallWindow,
    /// Injected faults.
    pub faults: StoreFaults,
}

impl StoreState {
    /// Creates an empty store at revision 1; `seed` determines which replies are
    /// lost.
    pub fn new(seed: u64) -> Self {
        Self {
            present: StoreSnapshot {
                revision: 1,
                keys: BTreeMap::new(),
                leases: Leases::default(),
            },
            history: VecDeque::new(),
            compacted_revision: 0,
            undone: Vec::new(),
            restores: 0,
            counts: CallCounts::default(),
            limits: CallLimits::default(),
            reads: CallWindow::default(),
            writes: CallWindow::default(),
            faults: StoreFaults::new(seed),
        }
    }

    /// Sets the call limits.
    #[must_use]
    pub fn with_limits(mut self, limits: CallLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the revision of the latest change.
    pub fn revision(&self) -> u64 {
        self.present.revision
    }

    /// Returns the number of restores.
    pub fn restores(&self) -> u64 {
        self.restores
    }

    /// Returns the counts of calls.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    pub(super) fn counts_mut(&mut self) -> &mut CallCounts {
        &mut self.counts
    }

    /// Counts a read, lease call or new watch; returns false if it must be rejected
    /// because of the call limit.
    pub(super) fn admit_read(&mut self, now_ms: u64) -> bool {
        let waiting = u32::try_from(self.counts.waiting_watches).unwrap_or(u32::MAX);
        let limit = self.limits.reads_per_s.saturating_sub(waiting);
        let admitted = self.reads.accept(now_ms, limit);
        self.counts.throttled += u64::from(!admitted);
        admitted
    }

    /// Counts a write; returns false if it must be rejected because of the call
    /// limit.
    pub(super) fn admit_write(&mut self, now_ms: u64) -> bool {
        let admitted = self.writes.accept(now_ms, self.limits.writes_per_s);
        self.counts.throttled += u64::from(!admitted);
        admitted
    }

    /// Decides whether the reply to an effective write is lost.
    pub(super) fn decide_reply_delivery(&mut self) -> ReplyDelivery {
        let delivery = self.faults.decide_reply_delivery();
        self.counts.lost_replies += u64::from(delivery == ReplyDelivery::Lost);
        delivery
    }

    /// Returns the changes that are not compacted, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Change> {
        self.history.iter()
    }

    /// Returns the changes that were undone by restores, oldest first.
    pub fn undone(&self) -> &[Change] {
        &self.undone
    }

    /// Returns the changes from `start_revision` on.
    ///
    /// # Errors
    ///
    /// Returns the oldest revision that can still be watched if changes from
    /// `start_revision` on are compacted.
    pub fn changes_from(&self, start_revision: u64) -> Result<Vec<Change>, u64> {
        if start_revision <= self.compacted_revision {
            return Err(self.compacted_revision + 1);
        }
        let first = self.history.partition_point(|change| change.revision < start_revision);
        Ok(self.history.range(first..).cloned().collect())
    }

    /// Returns one key.
    pub fn get(&self, key: &[u8]) -> Option<&StoredKey> {
        self.present.keys.get(key)
    }

    /// Returns the keys from `key` up to, but not including, `range_end`. An empty
    /// `range_end` selects only `key`, and a single zero byte selects all keys
    /// from `key` on.
    pub fn range<'a>(
        &'a self,
        key: &'a [u8],
        range_end: &'a [u8],
    ) -> impl Iterator<Item = (&'a [u8], &'a StoredKey)> {
        let end = match range_end {
            [] => Bound::Included(key),
            [0] => Bound::Unbounded,
            end => Bound::Excluded(end),
        };
        // The map panics if the end is before the start.
        let empty = matches!(end, Bound::Excluded(end) if end <= key);
        let bounds = if empty {
            (Bound::Excluded(key), Bound::Included(key))
        } else {
            (Bound::Included(key), end)
        };
        let keys = (!empty).then(|| self.present.keys.range::<[u8], _>(bounds));
        keys.into_iter().flatten().map(|(key, stored)| (&**key, stored))
    }

    /// Applies `write` to `key` if the condition holds and returns whether it did.
    ///
    /// # Errors
    ///
    /// Returns the id of the lease if the write names one that has expired.
    pub fn swap(
        &mut self,
        now_ms: u64,
        key: &[u8],
        compare: Compare,
        write: Write,
    ) -> Result<bool, u64> {
        self.expire(now_ms);
        let stored = self.get(key);
        let holds = match compare {
            Compare::ModRevision(wanted) => stored.map_or(0, |s| s.mod_revision) == wanted,
            Compare::CreateRevision(wanted) => stored.map_or(0, |s| s.create_revision) == wanted,
            Compare::Version(wanted) => stored.map_or(0, |s| s.version) == wanted,
        };
        if !holds {
            return Ok(false);
        }
        match write {
            Write::Put { value, lease } => self.put(now_ms, key, value, lease)?,
            Write::Delete => _ = self.delete(now_ms, key, &[]),
        }
        Ok(true)
    }

    /// Applies all writes at one revision if every key in `expected` has the given
    /// revision, 0 for an absent key. Returns the new revision, or `None` if a key
    /// has another revision.
    ///
    /// # Errors
    ///
    /// Returns the id of a lease that a write names and that has expired.
    pub fn transact(
        &mut self,
        now_ms: u64,
        expected: &[(Box<[u8]>, u64)],
        writes: Vec<(Box<[u8]>, Write)>,
    ) -> Result<Option<u64>, u64> {
        self.expire(now_ms);
        let revision_of = |key: &[u8]| self.get(key).map_or(0, |stored| stored.mod_revision);
        if expected.iter().any(|(key, revision)| revision_of(key) != *revision) {
            return Ok(None);
        }
        let leases = writes.iter().filter_map(|(_, write)| match write {
            Write::Put { lease, .. } => *lease,
            Write::Delete => None,
        });
        if let Some(expired) = leases.into_iter().find(|id| !self.present.leases.contains(*id)) {
            return Err(expired);
        }
        let before = self.present.revision;
        for (key, write) in writes {
            // Every write increments the revision: reset it, so that all writes share
            // the next one.
            self.present.revision = before;
            match write {
                Write::Put { value, lease } => self.put(now_ms, &key, value, lease)?,
                Write::Delete => self.remove(now_ms, key),
            }
        }
        let is_changed = self.history.back().is_some_and(|change| change.revision > before);
        self.present.revision = before + u64::from(is_changed);
        Ok(Some(self.present.revision))
    }

    /// Writes a key unconditionally.
    ///
    /// # Errors
    ///
    /// Returns the id of the lease if it has expired.
    pub fn put(
        &mut self,
        now_ms: u64,
        key: &[u8],
        value: Bytes,
        lease: Option<u64>,
    ) -> Result<(), u64> {
        if let Some(lease) = lease.filter(|id| !self.present.leases.contains(*id)) {
            return Err(lease);
        }
        let revision = self.present.revision + 1;
        let before = self.present.keys.get(key);
        let stored = StoredKey {
            value,
            create_revision: before.map_or(revision, |stored| stored.create_revision),
            mod_revision: revision,
            version: before.map_or(1, |stored| stored.version + 1),
            lease,
        };
        if let Some(bound) = before.and_then(|stored| stored.lease) {
            self.present.leases.unbind(bound, key);
        }
        if let Some(lease) = lease {
            self.present.leases.bind(lease, key);
        }
        self.present.keys.insert(key.into(), stored.clone());
        self.record(now_ms, key.into(), Some(stored));
        Ok(())
    }

    /// Removes the keys selected as by [`StoreState::range`] and returns their
    /// number.
    pub fn delete(&mut self, now_ms: u64, key: &[u8], range_end: &[u8]) -> u64 {
        self.expire(now_ms);
        let keys: Vec<Box<[u8]>> = self.range(key, range_end).map(|(key, _)| key.into()).collect();
        let removed = keys.len() as u64;
        for key in keys {
            self.remove(now_ms, key);
        }
        removed
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, now_ms: u64, ttl_ms: u64) -> u64 {
        self.expire(now_ms);
        self.present.leases.grant(now_ms, ttl_ms)
    }

    /// Renews a lease and returns its time to live in milliseconds; `None` if it
    /// has expired.
    pub fn keep_alive(&mut self, now_ms: u64, lease: u64) -> Option<u64> {
        self.expire(now_ms);
        self.present.leases.renew(now_ms, lease)
    }

    /// Ends a lease, removes its keys and returns whether it existed.
    pub fn revoke(&mut self, now_ms: u64, lease: u64) -> bool {
        let Some(ended) = self.present.leases.remove(lease) else { return false };
        for key in ended.keys {
            self.remove(now_ms, key);
        }
        true
    }

    /// Ends the leases that have expired and removes their keys.
    pub fn expire(&mut self, now_ms: u64) {
        for lease in self.present.leases.expired(now_ms) {
            self.revoke(now_ms, lease);
        }
    }

    /// Copies the current state.
    pub fn snapshot(&self) -> StoreSnapshot {
        self.present.clone()
    }

    /// Restores an older state, as from a backup: revisions continue from the
    /// older one.
    pub fn restore(&mut self, snapshot: StoreSnapshot) {
        let revision = snapshot.revision;
        self.present = snapshot;
        let kept = self.history.partition_point(|change| change.revision <= revision);
        self.undone.extend(self.history.drain(kept..));
        self.restores += 1;
    }

    /// Executes one call as seen by the library's store client, subject to the
    /// injected faults and the call limits. `delay_ms` of the faults is not
    /// applied here; whoever calls this function applies it.
    ///
    /// # Errors
    ///
    /// Returns the error that the client would report.
    pub fn call(&mut self, now_ms: u64, request: &StoreRequest) -> Result<StoreReply, StoreError> {
        if self.faults.down {
            return Err(StoreError::NotSent);
        }
        let writes = matches!(
            request,
            StoreRequest::CompareAndSwap { .. } | StoreRequest::CompareAndDelete { .. }
        );
        let admitted = if writes { self.admit_write(now_ms) } else { self.admit_read(now_ms) };
        if !admitted {
            return Err(StoreError::Throttled);
        }
        self.expire(now_ms);
        let revision = self.present.revision;
        let reply = self.serve(now_ms, request);
        let effective = self.present.revision != revision;
        if effective && self.decide_reply_delivery() == ReplyDelivery::Lost {
            return Err(StoreError::Unknown);
        }
        Ok(reply)
    }

    fn serve(&mut self, now_ms: u64, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Get { key } => {
                self.counts.ranges += 1;
                StoreReply::Value(self.key_value(key))
            }
            StoreRequest::List { prefix, after, limit } => {
                self.counts.ranges += 1;
                self.list(prefix, after.as_deref(), *limit)
            }
            StoreRequest::CompareAndSwap { key, expected, value, lease } => {
                self.counts.swaps += 1;
                let lease = lease.map(|lease| lease.0);
                let write = Write::Put { value: value.clone(), lease };
                self.swap_call(now_ms, key, *expected, write)
            }
            StoreRequest::CompareAndDelete { key, expected } => {
                self.counts.swaps += 1;
                self.swap_call(now_ms, key, *expected, Write::Delete)
            }
            StoreRequest::GrantLease { ttl_ms } => {
                self.counts.lease_calls += 1;
                let lease = LeaseId(self.grant(now_ms, *ttl_ms));
                StoreReply::Lease { lease, ttl_ms: *ttl_ms }
            }
            StoreRequest::KeepAlive { lease } => {
                self.counts.lease_calls += 1;
                match self.keep_alive(now_ms, lease.0) {
                    Some(ttl_ms) => StoreReply::Lease { lease: *lease, ttl_ms },
                    None => StoreReply::LeaseLost,
                }
            }
            StoreRequest::RevokeLease { lease } => {
                self.counts.lease_calls += 1;
                if self.revoke(now_ms, lease.0) {
                    StoreReply::Revoked
                } else {
                    StoreReply::LeaseLost
                }
            }
        }
    }

    fn swap_call(
        &mut self,
        now_ms: u64,
        key: &str,
        expected: RecordVersion,
        write: Write,
    ) -> StoreReply {
        match self.swap(now_ms, key.as_bytes(), Compare::ModRevision(expected.0), write) {
            Ok(true) => StoreReply::Swapped(RecordVersion(self.present.revision)),
            Ok(false) => StoreReply::Conflict(self.key_value(key)),
            Err(_) => StoreReply::LeaseLost,
        }
    }

    fn list(&self, prefix: &str, after: Option<&str>, limit: u32) -> StoreReply {
        let first = after.map_or(prefix.as_bytes(), str::as_bytes);
        let mut items: Vec<KeyValue> = self
            .range(first, &[0])
            .skip_while(|(key, _)| after.is_some_and(|after| *key <= after.as_bytes()))
            .take_while(|(key, _)| key.starts_with(prefix.as_bytes()))
            .take(limit as usize + 1)
            .map(|(key, stored)| to_key_value(key, stored))
            .collect();
        let more = items.len() > limit as usize;
        items.truncate(limit as usize);
        StoreReply::Values { items, more }
    }

    fn key_value(&self, key: &str) -> Option<KeyValue> {
        self.get(key.as_bytes()).map(|stored| to_key_value(key.as_bytes(), stored))
    }

    fn remove(&mut self, now_ms: u64, key: Box<[u8]>) {
        let Some(removed) = self.present.keys.remove(&key) else { return };
        if let Some(lease) = removed.lease {
            self.present.leases.unbind(lease, &key);
        }
        self.record(now_ms, key, None);
    }

    fn record(&mut self, at_ms: u64, key: Box<[u8]>, stored: Option<StoredKey>) {
        self.present.revision += 1;
        if self.history.len() == HISTORY_CHANGES
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted_revision = oldest.revision;
        }
        self.history.push_back(Change { revision: self.present.revision, at_ms, key, stored });
    }
}

fn to_key_value(key: &[u8], stored: &StoredKey) -> KeyValue {
    KeyValue {
        key: String::from_utf8_lossy(key).into(),
        value: stored.value.clone(),
        version: RecordVersion(stored.mod_revision),
    }
}
