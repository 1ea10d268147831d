//! The host records known to this entry host.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{ConfigurationMessage, WholePart};
use crate::state::{
    ids::{Epoch, HostId},
    records::HostRecord,
};

/// Maximum number of host records in one message; 1,000 encoded records take
/// less than a third of the maximum size of a control message.
const RECORDS_PER_MESSAGE: usize = 1_000;
/// Maximum number of removals kept; an entry host that missed more receives all
/// records.
const REMOVALS_MAX: usize = 1_024;

/// Hosts by version. Versions are distinct except for 0, which stands for any
/// version of an earlier epoch.
#[derive(Clone, Debug, Default)]
struct VersionIndex(BTreeMap<u64, BTreeSet<HostId>>);

impl VersionIndex {
    fn insert(&mut self, version: u64, host: HostId) {
        self.0.entry(version).or_default().insert(host);
    }

    fn remove(&mut self, version: u64, host: &HostId) {
        if let Some(hosts) = self.0.get_mut(&version) {
            hosts.remove(host);
            if hosts.is_empty() {
                self.0.remove(&version);
            }
        }
    }

    fn pop_first(&mut self) -> Option<(u64, BTreeSet<HostId>)> {
        self.0.pop_first()
    }

    /// Returns the hosts with versions from `from` on, in order of versions.
    fn since(&self, from: u64) -> Vec<(u64, HostId)> {
        let versions = self.0.range(from..);
        versions.flat_map(|(v, hosts)| hosts.iter().map(|host| (*v, host.clone()))).collect()
    }
}

/// Host records by host, with the versions that the store assigned them.
#[derive(Clone, Debug, Default)]
pub(super) struct HostTable {
    version: u64,
    records: BTreeMap<HostId, (u64, HostRecord)>,
    by_version: VersionIndex,
    removed_at: BTreeMap<HostId, u64>,
    removals: VersionIndex,
    /// Highest version of a removal that is no longer kept.
    highest_dropped_removal: u64,
    /// During a full listing, the hosts whose records it has not contained yet.
    unlisted: Option<BTreeSet<HostId>>,
}

impl HostTable {
    /// Returns the version up to which the table is complete; 0 before the
    /// first listing.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn is_loaded(&self) -> bool {
        self.version > 0
    }

    /// Returns all records with their versions.
    pub(super) fn all(&self) -> Arc<Vec<(u64, HostRecord)>> {
        Arc::new(self.records.values().cloned().collect())
    }

    /// Resets all versions, because they do not compare with those of a new
    /// epoch.
    pub(super) fn start_epoch(&mut self) {
        self.version = 0;
        self.highest_dropped_removal = 0;
        self.removals = VersionIndex::default();
        self.removed_at.clear();
        self.by_version = VersionIndex::default();
        for (host, (version, _)) in &mut self.records {
            *version = 0;
            self.by_version.insert(0, host.clone());
        }
        self.unlisted = None;
    }

    /// Inserts or replaces a record, unless the known record or removal is at
    /// least as new; returns whether anything changed.
    pub(super) fn put(&mut self, version: u64, record: HostRecord) -> bool {
        let host = record.host.clone();
        if let Some(unlisted) = &mut self.unlisted {
            unlisted.remove(&host);
        }
        let is_known = self.records.get(&host).is_some_and(|(known, _)| *known >= version);
        let is_removed = self.removed_at.get(&host).is_some_and(|removed| *removed >= version);
        if is_known || is_removed {
            return false;
        }
        if let Some((old, _)) = self.records.insert(host.clone(), (version, record)) {
            self.by_version.remove(old, &host);
        }
        self.by_version.insert(version, host);
        true
    }

    /// Removes the record of a host that was deleted at this version; returns
    /// whether anything changed.
    pub(super) fn remove(&mut self, version: u64, host: HostId) -> bool {
        let Some((known, _)) = self.records.get(&host).filter(|(known, _)| *known < version) else {
            return false;
        };
        self.by_version.remove(*known, &host);
        self.records.remove(&host);
        if let Some(earlier) = self.removed_at.insert(host.clone(), version) {
            self.removals.remove(earlier, &host);
        }
        self.removals.insert(version, host);
        if self.removed_at.len() > REMOVALS_MAX {
            self.drop_oldest_removal();
        }
        true
    }

    fn drop_oldest_removal(&mut self) {
        if let Some((version, hosts)) = self.removals.pop_first() {
            self.highest_dropped_removal = self.highest_dropped_removal.max(version);
            self.removed_at.retain(|host, _| !hosts.contains(host));
        }
    }

    /// Returns the highest version of a record or of a kept removal.
    pub(super) fn highest_record(&self) -> u64 {
        let highest = |index: &VersionIndex| index.0.keys().next_back().copied().unwrap_or(0);
        highest(&self.by_version).max(highest(&self.removals))
    }

    /// Records that the table is complete up to a version.
    pub(super) fn advance_version(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Starts a full listing of the records.
    pub(super) fn begin_full_listing(&mut self) {
        self.unlisted = Some(self.records.keys().cloned().collect());
    }

    /// Ends a full listing: removes records that it did not contain, except
    /// those written after `version`; returns whether any were removed.
    pub(super) fn end_full_listing(&mut self, version: u64) -> bool {
        let unlisted = self.unlisted.take().unwrap_or_default();
        let removed = unlisted
            .into_iter()
            .filter(|host| self.records.get(host).is_some_and(|(known, _)| *known <= version));
        let removed: Vec<_> = removed.collect();
        for host in &removed {
            if let Some((known, _)) = self.records.remove(host) {
                self.by_version.remove(known, host);
            }
        }
        !removed.is_empty()
    }

    /// Returns the messages that take an entry host from version `from` to the
    /// table's version.
    pub(super) fn messages_from(&self, epoch: Epoch, from: u64) -> Vec<ConfigurationMessage> {
        if from >= self.version {
            return Vec::new();
        }
        let is_full_listing = from == 0 || from < self.highest_dropped_removal;
        let (from, first) = if is_full_listing { (0, 0) } else { (from, from + 1) };
        let changed = self.by_version.since(first);
        let mut removed = if is_full_listing { Vec::new() } else { self.removals.since(first) };
        let chunks = changed.chunks(RECORDS_PER_MESSAGE);
        let count = chunks.len().max(1);
        let mut messages = Vec::with_capacity(count);
        let mut base = from;
        for part in 0..count {
            let hosts = changed.chunks(RECORDS_PER_MESSAGE).nth(part).unwrap_or_default();
            let last = part + 1 == count;
            let reached = hosts.last().map_or(base, |(version, _)| *version);
            let fleet_version = if last { self.version } else { reached };
            let records = hosts.iter().filter_map(|(_, host)| self.records.get(host)).cloned();
            messages.push(ConfigurationMessage::Hosts {
                epoch,
                base,
                fleet_version,
                records: records.collect(),
                removed: if last { std::mem::take(&mut removed) } else { Vec::new() },
                whole: is_full_listing.then_some(WholePart { first: part == 0, last }),
            });
            base = fleet_version;
        }
        messages
    }
}
