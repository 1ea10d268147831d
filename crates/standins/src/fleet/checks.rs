//! Checks of the invariants against the store and the hosts.

use std::collections::BTreeMap;

use tamarackproxy::state::{
    document::{Document, FailureReserve},
    ids::{DataCentreId, HostId, PoolId, RackId, ServiceId, Term},
    records::{BudgetRecord, HostPhase, HostRecord, ReservationKind},
};

use super::store::VirtualStore;

/// Violations and counters of one simulation.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    /// Planned stops that violated a budget.
    pub budget: Vec<String>,
    /// Reboots and pool changes of hosts that a seat still used.
    pub interrupted: Vec<String>,
    /// Writes by a controller that had been replaced.
    pub stale: Vec<String>,
    /// Reboots of each host.
    pub reboots: BTreeMap<HostId, u32>,
    /// Completed moves of hosts between pools.
    pub transfers: u32,
    /// Effective writes of host, budget and wave records.
    pub writes: u64,
    terms: BTreeMap<PoolId, Term>,
}

impl Checks {
    /// Returns whether no invariant was violated.
    pub fn hold(&self) -> bool {
        self.budget.is_empty() && self.interrupted.is_empty() && self.stale.is_empty()
    }

    /// Checks a budget record that was written.
    pub(super) fn on_budget(&mut self, record: &BudgetRecord) {
        self.on_term(&record.pool, record.term, "a budget");
    }

    fn on_term(&mut self, pool: &PoolId, term: Term, what: &str) {
        let newest = self.terms.entry(pool.clone()).or_default();
        if term < *newest {
            self.stale.push(format!("{what} of {pool} was written with term {term} < {newest}"));
        }
        *newest = term.max(*newest);
    }

    /// Checks a host record that was written: a host that leaves `active` for a
    /// planned stop needs a reservation in the budget of every service of its
    /// pool, and those budgets must not be exceeded.
    pub(super) fn on_host(
        &mut self,
        store: &VirtualStore,
        records: &BTreeMap<HostId, HostRecord>,
        document: &Document,
        before: Option<&HostRecord>,
        after: &HostRecord,
    ) {
        if after.term != Term::default() && before.is_none_or(|old| old.pool == after.pool) {
            self.on_term(&after.pool, after.term, "a host");
        }
        let was_active = before.is_some_and(|old| old.phase == HostPhase::Active);
        if was_active && matches!(after.phase, HostPhase::Draining | HostPhase::Moving) {
            for (service, section) in &document.services {
                if section.pool == after.pool {
                    self.check_budget(store, records, document, service, after);
                }
            }
        }
    }

    fn check_budget(
        &mut self,
        store: &VirtualStore,
        records: &BTreeMap<HostId, HostRecord>,
        document: &Document,
        service: &ServiceId,
        stopped: &HostRecord,
    ) {
        let Some(budget) = store.record::<BudgetRecord>(&format!("budget/{service}")) else {
            self.budget.push(format!("{service} has no budget record"));
            return;
        };
        if !budget.reservations.contains_key(&stopped.host) {
            self.budget.push(format!("{} stops without a reservation", stopped.host));
        }
        let Some(section) = document.budgets.get(service) else {
            return;
        };
        let mut racks: BTreeMap<(&DataCentreId, &RackId), u32> = BTreeMap::new();
        for record in records.values() {
            let counts = record.pool == stopped.pool
                && record.phase == HostPhase::Active
                && !budget.reservations.contains_key(&record.host);
            if counts {
                *racks.entry((&record.data_centre, &record.rack)).or_default() += 1;
            }
        }
        let available: u32 = racks.values().sum();
        let reserve = match section.failure_reserve {
            FailureReserve::Rack => racks.values().max().copied().unwrap_or(0),
            FailureReserve::None => 0,
        };
        let planned = budget
            .reservations
            .values()
            .filter(|known| known.kind != ReservationKind::Failure)
            .count() as u32;
        if available < section.min_available + reserve || planned > section.max_stopped {
            self.budget.push(format!(
                "{service}: {available} instances with {reserve} in the largest rack and \
                 {planned} stopped after {} stopped",
                stopped.host
            ));
        }
    }
}
