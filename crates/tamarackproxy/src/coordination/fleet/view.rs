//! Cached host records and the platform's list, indexed by pool and data centre.

use std::collections::{BTreeMap, BTreeSet};

use super::racks::RackCounts;
use crate::{
    protocol::platform::{ListedHost, ListedState},
    state::{
        ids::{DataCentreId, HostId, PoolId, RackId},
        records::{BudgetRecord, HostPhase, HostRecord},
    },
};

/// A rack within its data centre.
pub(super) type RackKey = (DataCentreId, RackId);

/// A host record with its version in the store.
#[derive(Clone, Debug)]
pub(super) struct HostView {
    pub version: u64,
    pub record: HostRecord,
}

/// Host records and the platform's list, with indexes.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetView {
    hosts: BTreeMap<HostId, HostView>,
    pools: BTreeMap<PoolId, BTreeSet<HostId>>,
    sizes: BTreeMap<PoolId, BTreeMap<DataCentreId, u32>>,
    generations: BTreeMap<PoolId, u64>,
    listed: BTreeMap<HostId, ListedHost>,
    unrecorded: BTreeSet<HostId>,
    records_read: bool,
    list_read: bool,
}

impl FleetView {
    /// Replaces all host records; returns the pools whose hosts changed.
    pub fn replace_records(&mut self, records: &[(u64, HostRecord)]) -> BTreeSet<PoolId> {
        self.records_read = true;
        let mut changed = BTreeSet::new();
        let newest = records.iter().map(|(version, _)| *version).max().unwrap_or(0);
        let present: BTreeSet<&HostId> = records.iter().map(|(_, record)| &record.host).collect();
        let removed: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(host, view)| view.version <= newest && !present.contains(host))
            .map(|(host, _)| host.clone())
            .collect();
        for host in removed {
            changed.extend(self.remove(&host));
        }
        for (version, record) in records {
            changed.extend(self.upsert_record(*version, record));
        }
        changed
    }

    /// Inserts or replaces one record if it is newer than the cached one;
    /// returns the affected pools.
    pub fn upsert_record(&mut self, version: u64, record: &HostRecord) -> BTreeSet<PoolId> {
        if self.hosts.get(&record.host).is_some_and(|known| known.version >= version) {
            return BTreeSet::new();
        }
        let mut changed = self.remove(&record.host);
        changed.insert(record.pool.clone());
        *self.generations.entry(record.pool.clone()).or_default() += 1;
        self.pools.entry(record.pool.clone()).or_default().insert(record.host.clone());
        *self
            .sizes
            .entry(record.pool.clone())
            .or_default()
            .entry(record.data_centre.clone())
            .or_default() += 1;
        self.unrecorded.remove(&record.host);
        self.hosts.insert(record.host.clone(), HostView { version, record: record.clone() });
        changed
    }

    fn remove(&mut self, host: &HostId) -> BTreeSet<PoolId> {
        let Some(HostView { record, .. }) = self.hosts.remove(host) else {
            return BTreeSet::new();
        };
        *self.generations.entry(record.pool.clone()).or_default() += 1;
        if let Some(hosts) = self.pools.get_mut(&record.pool) {
            hosts.remove(host);
        }
        let size =
            self.sizes.get_mut(&record.pool).and_then(|sizes| sizes.get_mut(&record.data_centre));
        if let Some(size) = size {
            *size = size.saturating_sub(1);
        }
        if self.listed.contains_key(host) {
            self.unrecorded.insert(host.clone());
        }
        BTreeSet::from([record.pool])
    }

    /// Replaces the platform's list; returns the pools with hosts whose listed
    /// state changed.
    pub fn replace_list(&mut self, hosts: Vec<ListedHost>) -> BTreeSet<PoolId> {
        self.list_read = true;
        let unchanged = hosts.len() == self.listed.len()
            && hosts.iter().all(|new| self.listed.get(&new.host) == Some(new));
        if unchanged {
            return BTreeSet::new();
        }
        let listed: BTreeMap<HostId, ListedHost> =
            hosts.into_iter().map(|listed| (listed.host.clone(), listed)).collect();
        let differs = |host: &HostId| {
            self.listed.get(host).map(|old| old.state) != listed.get(host).map(|new| new.state)
        };
        let changed = self
            .hosts
            .values()
            .filter(|view| differs(&view.record.host))
            .map(|view| view.record.pool.clone())
            .collect();
        self.unrecorded =
            listed.keys().filter(|host| !self.hosts.contains_key(*host)).cloned().collect();
        self.listed = listed;
        changed
    }

    /// Returns whether host records have been read at least once.
    pub fn records_read(&self) -> bool {
        self.records_read
    }

    /// Returns a host's cached record, if it has one.
    pub fn host(&self, host: &HostId) -> Option<&HostView> {
        self.hosts.get(host)
    }

    /// Returns the hosts of a pool, ordered by name.
    pub fn hosts_of(&self, pool: &PoolId) -> impl Iterator<Item = &HostView> {
        self.pools.get(pool).into_iter().flatten().filter_map(|host| self.hosts.get(host))
    }

    /// Returns the number of hosts of a pool in a data centre.
    pub fn size(&self, pool: &PoolId, data_centre: &DataCentreId) -> u32 {
        self.sizes.get(pool).and_then(|sizes| sizes.get(data_centre)).copied().unwrap_or(0)
    }

    /// Returns a number that increases with each change of the pool's hosts.
    pub fn generation(&self, pool: &PoolId) -> u64 {
        self.generations.get(pool).copied().unwrap_or(0)
    }

    /// Returns the entry of a host in the platform's list.
    pub fn listed(&self, host: &HostId) -> Option<&ListedHost> {
        self.listed.get(host)
    }

    /// Returns the state of a host in the platform's list: `None` if the list
    /// was not read yet, and `Some(None)` if the host is missing from it.
    pub fn listed_state(&self, host: &HostId) -> Option<Option<ListedState>> {
        self.list_read.then(|| self.listed.get(host).map(|listed| listed.state))
    }

    /// Returns listed hosts that have no record.
    pub fn unrecorded(&self) -> impl Iterator<Item = &ListedHost> {
        self.unrecorded.iter().filter_map(|host| self.listed.get(host))
    }

    /// Returns whether every listed host has a record.
    pub fn all_recorded(&self) -> bool {
        self.unrecorded.is_empty()
    }

    /// Counts the available instances of a service by rack: hosts of its pool
    /// that are active, have no reservation in the budget, and have not
    /// departed from the pool.
    pub fn available_by_rack(&self, pool: &PoolId, budget: &BudgetRecord) -> RackCounts {
        let mut racks = RackCounts::default();
        for view in self.hosts_of(pool).filter(|view| self.is_available(view, budget)) {
            let record = &view.record;
            racks.add((record.data_centre.clone(), record.rack.clone()));
        }
        racks
    }

    fn is_available(&self, view: &HostView, budget: &BudgetRecord) -> bool {
        let host = &view.record.host;
        view.record.phase == HostPhase::Active
            && !budget.reservations.contains_key(host)
            && budget.departed.get(host).is_none_or(|&version| view.version >= version)
    }
}
