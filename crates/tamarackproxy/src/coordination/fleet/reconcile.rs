//! Reconciliation of one pool: derives the next writes from the records.

use std::collections::BTreeMap;

use super::{
    FleetAction, FleetReport,
    budget::BudgetChange,
    calls::{HostChange, budget_key, host_key, wave_pool_key},
    engine::FleetEngine,
    view::{HostView, RackKey},
    wave::WavePoolChange,
};
use crate::state::{
    clock::ClockReading,
    document::Document,
    ids::{HostId, OperationId, PoolId, ServiceId, Term, WaveId},
    records::{HostPhase, HostRecord, Reservation, WaveStop},
};

/// Interval at which a pool with a running wave or a rejected write is
/// reconciled without an event, in milliseconds.
pub(super) const RECHECK_MS: u64 = 5_000;

/// Writes collected during one reconciliation.
#[derive(Debug, Default)]
pub(super) struct PendingWrites {
    pub hosts: Vec<(HostId, HostChange)>,
    pub budgets: BTreeMap<ServiceId, Vec<BudgetChange>>,
    pub waves: BTreeMap<WaveId, Vec<WavePoolChange>>,
    /// Whether a failure is being counted; no host is stopped before that.
    pub failure: bool,
}

impl PendingWrites {
    pub fn host(&mut self, host: &HostId, change: HostChange) {
        self.hosts.push((host.clone(), change));
    }

    pub fn budget(&mut self, service: &ServiceId, change: BudgetChange) {
        self.budgets.entry(service.clone()).or_default().push(change);
    }

    pub fn wave(&mut self, wave: &WaveId, change: WavePoolChange) {
        self.waves.entry(wave.clone()).or_default().push(change);
    }
}

/// State of one host that its next step depends on.
#[derive(Clone, Debug)]
pub(super) struct HostSnapshot {
    pub record: HostRecord,
    pub version: u64,
    /// Services of the pool, each with the host's reservation in its budget.
    pub reserved: Vec<(ServiceId, Option<Reservation>)>,
    /// The wave that has selected the host, with the stop.
    pub stop: Option<(WaveId, WaveStop)>,
}

impl HostSnapshot {
    pub(super) fn host(&self) -> &HostId {
        &self.record.host
    }

    pub fn rack(&self) -> RackKey {
        (self.record.data_centre.clone(), self.record.rack.clone())
    }

    /// Returns the services whose budgets have no reservation for the host.
    pub(super) fn unreserved(&self) -> impl Iterator<Item = &ServiceId> {
        self.reserved.iter().filter(|(_, known)| known.is_none()).map(|(service, _)| service)
    }

    pub(super) fn is_fully_reserved(&self) -> bool {
        self.unreserved().next().is_none()
    }

    pub(super) fn reservation(&self) -> Option<&Reservation> {
        self.reserved.iter().find_map(|(_, known)| known.as_ref())
    }

    /// Returns whether a previous controller may have a write of the host's
    /// record in flight, because it reserved the host or set its phase.
    pub fn is_inherited(&self, term: Term) -> bool {
        let reserved = self.reserved.iter().filter_map(|(_, known)| known.as_ref());
        self.record.term != term
            && (self.record.phase != HostPhase::Active
                || reserved.into_iter().any(|known| known.term != term))
    }

    /// Returns the pool that the host is reserved to move to.
    pub(super) fn next_pool(&self) -> Option<&PoolId> {
        self.reservation().and_then(|known| known.next_pool.as_ref())
    }

    /// Returns the id of the stop, move or failure that the host is part of.
    pub(super) fn operation(&self) -> Option<OperationId> {
        let stop = self.stop.as_ref().map(|(_, stop)| stop.operation);
        stop.or_else(|| self.reservation().map(|known| known.operation))
    }
}

impl FleetEngine {
    /// Reconciles a pool: takes every step that is possible without waiting for
    /// a reply.
    pub(super) fn reconcile(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(control) = self.controls.get_mut(pool) else {
            return;
        };
        control.dirty = false;
        control.wake_ms = None;
        control.due_hosts.clear();
        let (Some(term), Some(document)) =
            (control.lease.held_at(now.monotonic_ms), self.document.clone())
        else {
            return;
        };
        if let Some(until_ms) = self.backoff.waits_until(now.monotonic_ms) {
            self.wake_pool(pool, until_ms);
            return;
        }
        if !self.view.records_read() || !self.fence_records(now, pool, term, actions) {
            self.wake_pool(pool, now.monotonic_ms + RECHECK_MS);
            return;
        }
        self.refresh_available(pool);
        let mut writes = PendingWrites::default();
        let unsettled = self.unsettled_hosts(pool);
        if !unsettled.is_empty() {
            self.wake_pool(pool, now.monotonic_ms + RECHECK_MS);
        }
        for snapshot in unsettled {
            self.step(now, &document, term, &snapshot, &mut writes, actions);
        }
        self.release_departed(pool, &mut writes);
        self.report_budgets(&document, pool, actions);
        self.plan_waves(now, &document, pool, term, &mut writes, actions);
        self.plan_moves(now, &document, pool, &mut writes, actions);
        self.submit(now, pool, term, writes, actions);
        self.adopt(now, &document, pool, term, actions);
    }

    /// Takes the due steps of individual hosts without reconciling the pool.
    pub(super) fn reconcile_hosts(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        actions: &mut Vec<FleetAction>,
    ) {
        let ready = self.view.records_read()
            && self.backoff.waits_until(now.monotonic_ms).is_none()
            && self.held(now, pool).is_some_and(|term| self.is_fenced(pool, term));
        let (true, Some(term), Some(document)) =
            (ready, self.held(now, pool), self.document.clone())
        else {
            self.mark_pool_dirty(pool);
            self.reconcile(now, pool, actions);
            return;
        };
        let Some(control) = self.controls.get_mut(pool) else {
            return;
        };
        let due: Vec<HostId> = control
            .due_hosts
            .iter()
            .filter(|&(_, &at_ms)| at_ms <= now.monotonic_ms)
            .map(|(host, _)| host.clone())
            .collect();
        due.iter().for_each(|host| {
            control.due_hosts.remove(host);
        });
        self.refresh_available(pool);
        let mut writes = PendingWrites::default();
        for snapshot in self.unsettled_among(pool, due.iter()) {
            self.step(now, &document, term, &snapshot, &mut writes, actions);
        }
        self.submit(now, pool, term, writes, actions);
    }

    /// Returns whether every budget and wave record of the pool carries the
    /// controller's term.
    fn is_fenced(&self, pool: &PoolId, term: Term) -> bool {
        let budgets = self.services.get(pool).into_iter().flatten().all(|service| {
            self.budget(service).is_some_and(|known| known.term == term && known.pool == *pool)
        });
        let waves = self
            .pool_waves
            .get(pool)
            .into_iter()
            .flatten()
            .all(|wave| self.wave_progress(wave, pool).is_some_and(|known| known.term == term));
        budgets && waves
    }

    /// Raises the term in every budget and wave record of the pool, so that
    /// delayed writes of previous controllers fail; returns whether all records
    /// carry the term already.
    fn fence_records(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        term: Term,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        let mut ready = true;
        for service in self.services.get(pool).cloned().unwrap_or_default() {
            let fenced = self
                .budgets
                .get(&service)
                .is_some_and(|known| known.record.term == term && known.record.pool == *pool);
            if !fenced {
                ready = false;
                self.budgets.remove(&service);
                self.write_budget(now, pool, term, &service, Vec::new(), actions);
            }
        }
        for wave in self.pool_waves.get(pool).cloned().unwrap_or_default() {
            let key = (wave.clone(), pool.clone());
            if self.wave_pools.get(&key).is_none_or(|known| known.record.term != term) {
                ready = false;
                self.wave_pools.remove(&key);
                self.write_wave_pool(now, pool, term, &wave, Vec::new(), actions);
            }
        }
        ready
    }

    /// Returns the hosts of the pool that need a step.
    fn unsettled_hosts(&self, pool: &PoolId) -> Vec<HostSnapshot> {
        let hosts = self.view.hosts_of(pool).map(|view| &view.record.host);
        self.unsettled_among(pool, hosts)
    }

    /// Returns those of the given hosts of the pool that need a step, suspected
    /// hosts first, so that failures are counted before hosts are stopped.
    fn unsettled_among<'a>(
        &self,
        pool: &PoolId,
        hosts: impl Iterator<Item = &'a HostId>,
    ) -> Vec<HostSnapshot> {
        let services: &[ServiceId] = self.services.get(pool).map_or(&[], |known| known);
        let waves: &[WaveId] = self.pool_waves.get(pool).map_or(&[], |known| known);
        let mut unsettled: Vec<HostSnapshot> = hosts
            .filter_map(|host| self.view.host(host))
            .filter(|view| view.record.pool == *pool)
            .filter_map(|view| self.snapshot(view, services, waves))
            .filter(|snapshot| !self.calls.is_busy(&host_key(snapshot.host())))
            .collect();
        unsettled.sort_by_key(|snapshot| !self.is_suspect(snapshot.host()));
        unsettled
    }

    fn snapshot(
        &self,
        view: &HostView,
        services: &[ServiceId],
        waves: &[WaveId],
    ) -> Option<HostSnapshot> {
        let host = &view.record.host;
        let pool = &view.record.pool;
        let needs_step = view.record.phase != HostPhase::Active
            || self.is_suspect(host)
            || self.is_relocated(&view.record)
            || services.iter().any(|service| self.reservation(service, host).is_some())
            || waves.iter().any(|wave| self.is_in_wave(wave, pool, host));
        needs_step.then(|| HostSnapshot {
            record: view.record.clone(),
            version: view.version,
            reserved: services
                .iter()
                .map(|service| (service.clone(), self.reservation(service, host).cloned()))
                .collect(),
            stop: waves.iter().find_map(|wave| {
                let progress = self.wave_progress(wave, pool)?;
                Some((wave.clone(), progress.in_progress.get(host)?.clone()))
            }),
        })
    }

    fn reservation(&self, service: &ServiceId, host: &HostId) -> Option<&Reservation> {
        self.budget(service)?.reservations.get(host)
    }

    fn is_in_wave(&self, wave: &WaveId, pool: &PoolId, host: &HostId) -> bool {
        self.wave_progress(wave, pool).is_some_and(|progress| {
            progress.in_progress.contains_key(host) || progress.failed.contains_key(host)
        })
    }

    pub(super) fn is_relocated(&self, record: &HostRecord) -> bool {
        self.view
            .listed(&record.host)
            .is_some_and(|listed| listed.address != record.address || listed.rack != record.rack)
    }

    /// Releases reservations and wave entries of hosts that are now in another
    /// pool.
    fn release_departed(&mut self, pool: &PoolId, writes: &mut PendingWrites) {
        for service in self.services.get(pool).into_iter().flatten() {
            let Some(budget) = self.budget(service) else {
                continue;
            };
            for host in budget.reservations.keys() {
                if let Some(version) = self.departed(pool, host) {
                    let departed = Some(version);
                    writes.budget(service, BudgetChange::Release { host: host.clone(), departed });
                }
            }
        }
        for wave in self.pool_waves.get(pool).into_iter().flatten() {
            let Some(progress) = self.wave_progress(wave, pool) else {
                continue;
            };
            for host in progress.in_progress.keys().chain(progress.failed.keys()) {
                if self.departed(pool, host).is_some() {
                    writes.wave(wave, WavePoolChange::Withdraw { host: host.clone() });
                    writes.wave(wave, WavePoolChange::Recovered { host: host.clone() });
                }
            }
        }
    }

    /// Returns the version of the host's record if it names another pool.
    fn departed(&self, pool: &PoolId, host: &HostId) -> Option<u64> {
        self.view.host(host).filter(|view| view.record.pool != *pool).map(|view| view.version)
    }

    fn report_budgets(
        &mut self,
        document: &Document,
        pool: &PoolId,
        actions: &mut Vec<FleetAction>,
    ) {
        // While hosts are still being adopted, a shortage is expected.
        if !self.view.all_recorded() {
            return;
        }
        for service in self.services.get(pool).cloned().unwrap_or_default() {
            let (Some(section), Some(known)) =
                (document.budgets.get(&service), self.available.get(&service))
            else {
                continue;
            };
            let available = known.counts.total();
            let min_available = section.min_available;
            let key = format!("budget/{service}");
            if available < min_available {
                let report = FleetReport::BudgetBroken { service, available, min_available };
                self.report(key, report, actions);
            } else {
                self.resolve_report(&key);
            }
        }
    }

    /// Starts the collected writes. A write whose key is busy is dropped; the
    /// reply to the outstanding write triggers a reconciliation that collects
    /// it again.
    fn submit(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        term: Term,
        writes: PendingWrites,
        actions: &mut Vec<FleetAction>,
    ) {
        for (service, changes) in writes.budgets {
            if !self.calls.is_busy(&budget_key(&service)) {
                self.write_budget(now, pool, term, &service, changes, actions);
            }
        }
        for (wave, changes) in writes.waves {
            if !self.calls.is_busy(&wave_pool_key(&wave, pool)) {
                self.write_wave_pool(now, pool, term, &wave, changes, actions);
            }
        }
        for (host, change) in writes.hosts {
            self.write_host(now, pool, term, &host, change, actions);
        }
    }
}
