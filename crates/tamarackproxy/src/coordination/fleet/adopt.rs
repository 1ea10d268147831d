//! Adoption of hosts that the platform lists but that have no record yet.

use std::collections::BTreeMap;

use super::{
    FleetAction,
    calls::{HostChange, host_key},
    engine::FleetEngine,
    reconcile::RECHECK_MS,
};
use crate::{
    protocol::platform::{ListedHost, ListedState},
    state::{
        clock::ClockReading,
        document::Document,
        ids::{DataCentreId, PoolId, Term},
        records::{HostPhase, HostRecord, RecentOperations},
    },
};

/// Maximum number of hosts assigned to pools in one pass; further hosts are
/// assigned once the records of these exist.
const ADOPTED_PER_PASS: usize = 64;
/// Interval between adoptions by one entry host, in milliseconds. The
/// controllers of 26 pools together then write about 200 records per second,
/// which leaves store capacity for other calls.
const ADOPTION_INTERVAL_MS: u64 = 125;
/// Adoptions that may be made back to back after an idle period.
const ADOPTION_BURST: u64 = 16;

impl FleetEngine {
    /// Creates records for the listed hosts that are assigned to this pool.
    pub(super) fn adopt(
        &mut self,
        now: ClockReading,
        document: &Document,
        pool: &PoolId,
        term: Term,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.view.all_recorded() {
            return;
        }
        self.wake_pool(pool, now.monotonic_ms + RECHECK_MS);
        let burst_ms = ADOPTION_BURST * ADOPTION_INTERVAL_MS;
        self.next_adoption_ms =
            self.next_adoption_ms.max(now.monotonic_ms.saturating_sub(burst_ms));
        for listed in self.hosts_to_adopt(document, pool) {
            if self.calls.is_busy(&host_key(&listed.host)) {
                continue;
            }
            if self.next_adoption_ms >= now.monotonic_ms + ADOPTION_INTERVAL_MS {
                self.wake_pool(pool, self.next_adoption_ms);
                break;
            }
            self.next_adoption_ms += ADOPTION_INTERVAL_MS;
            let host = listed.host.clone();
            let record = adopted_record(listed, pool, term, now.unix_ms);
            let change = HostChange::Adopt(Box::new(record));
            self.write_host(now, pool, term, &host, change, actions);
        }
    }

    /// Returns the hosts without a record that are assigned to this pool. Each
    /// host goes to the pool with the largest deficit in its data centre, or to
    /// the spare pool if no pool has a deficit. Controllers compute the same
    /// assignment from the same records; if their records differ, only the
    /// first creation of the host's record succeeds.
    fn hosts_to_adopt(&self, document: &Document, pool: &PoolId) -> Vec<ListedHost> {
        let mut sizes: BTreeMap<(&PoolId, &DataCentreId), u32> = BTreeMap::new();
        let mut own = Vec::new();
        let live = self.view.unrecorded().filter(|listed| listed.state == ListedState::Live);
        for listed in live.take(ADOPTED_PER_PASS) {
            let data_centre = &listed.data_centre;
            let mut best: Option<(u32, &PoolId)> = None;
            for (candidate, section) in &document.pools {
                let wanted = section.size.get(data_centre).copied().unwrap_or(0);
                let size = *sizes
                    .entry((candidate, data_centre))
                    .or_insert_with(|| self.view.size(candidate, data_centre));
                let deficit = wanted.saturating_sub(size);
                if deficit > best.map_or(0, |(largest, _)| largest) {
                    best = Some((deficit, candidate));
                }
            }
            let spare = || document.pools.iter().find(|(_, section)| section.spare);
            let Some(chosen) = best.map(|(_, pool)| pool).or_else(|| Some(spare()?.0)) else {
                continue;
            };
            *sizes.entry((chosen, data_centre)).or_default() += 1;
            if chosen == pool {
                own.push(listed.clone());
            }
        }
        own
    }
}

fn adopted_record(listed: ListedHost, pool: &PoolId, term: Term, unix_ms: u64) -> HostRecord {
    HostRecord {
        host: listed.host,
        data_centre: listed.data_centre,
        rack: listed.rack,
        address: listed.address,
        pool: pool.clone(),
        next_pool: None,
        phase: HostPhase::Active,
        term,
        phase_since_unix_ms: unix_ms,
        operations: RecentOperations::default(),
    }
}
