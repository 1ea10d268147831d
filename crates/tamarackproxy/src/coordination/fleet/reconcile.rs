//! Steps of the hosts of one pool, derived from the records.

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

/// Interval at which a pool with a running wave or a rejected write looks
/// again without an event, in milliseconds.
pub(super) const RECHECK_MS: u64 = 5_000;

/// Writes that a reconciliation wants.
#[derive(Debug, Default)]
pub(super) struct Wants {
    pub hosts: Vec<(HostId, HostChange)>,
    pub budgets: BTreeMap<ServiceId, Vec<BudgetChange>>,
    pub waves: BTreeMap<WaveId, Vec<WavePoolChange>>,
}

impl Wants {
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

/// What a step of one host looks at.
#[derive(Clone, Debug)]
pub(super) struct Facts {
    pub record: HostRecord,
    pub version: u64,
    /// Services of the pool, each with the host's reservation.
    pub reserved: Vec<(ServiceId, Option<Reservation>)>,
    /// The wave that has started to stop the host.
    pub stop: Option<(WaveId, WaveStop)>,
}

impl Facts {
    pub(super) fn host(&self) -> &HostId {
        &self.record.host
    }

    pub fn rack(&self) -> RackKey {
        (self.record.data_centre.clone(), self.record.rack.clone())
    }

    /// Services that do not count the host as stopped.
    pub(super) fn unreserved(&self) -> impl Iterator<Item = &ServiceId> {
        self.reserved.iter().filter(|(_, known)| known.is_none()).map(|(service, _)| service)
    }

    pub(super) fn is_reserved(&self) -> bool {
        self.unreserved().next().is_none()
    }

    pub(super) fn reservation(&self) -> Option<&Reservation> {
        self.reserved.iter().find_map(|(_, known)| known.as_ref())
    }

    /// Pool that the host is reserved to move to.
    pub(super) fn next_pool(&self) -> Option<&PoolId> {
        self.reservation().and_then(|known| known.next_pool.as_ref())
    }

    /// Id of the whole operation.
    pub(super) fn operation(&self) -> Option<OperationId> {
        let stop = self.stop.as_ref().map(|(_, stop)| stop.operation);
        stop.or_else(|| self.reservation().map(|known| known.operation))
    }
}

impl FleetEngine {
    /// Brings a pool forward as far as possible without waiting.
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
        if !self.view.records_read() || !self.take_over(now, pool, term, actions) {
            self.wake_pool(pool, now.monotonic_ms + RECHECK_MS);
            return;
        }
        self.refresh_available(pool);
        let mut wants = Wants::default();
        let unsettled = self.unsettled_hosts(pool);
        if !unsettled.is_empty() {
            self.wake_pool(pool, now.monotonic_ms + RECHECK_MS);
        }
        for facts in unsettled {
            self.step(now, &document, term, &facts, &mut wants, actions);
        }
        self.release_departed(pool, &mut wants);
        self.report_budgets(&document, pool, actions);
        self.plan_waves(now, &document, pool, term, &mut wants, actions);
        self.plan_moves(now, &document, pool, &mut wants, actions);
        self.submit(now, pool, term, wants, actions);
        self.adopt(now, &document, pool, term, actions);
    }

    /// Takes the due steps of single hosts.
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
            self.mark_pool(pool);
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
        let mut wants = Wants::default();
        for facts in self.unsettled_among(pool, due.iter()) {
            self.step(now, &document, term, &facts, &mut wants, actions);
        }
        self.submit(now, pool, term, wants, actions);
    }

    /// Tells whether every record that the controller spends from carries its
    /// term.
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

    /// Raises the term in every record that the controller spends from, so
    /// that delayed writes of predecessors fail; returns whether it is done.
    fn take_over(
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
    fn unsettled_hosts(&self, pool: &PoolId) -> Vec<Facts> {
        let hosts = self.view.hosts_of(pool).map(|view| &view.record.host);
        self.unsettled_among(pool, hosts)
    }

    /// Returns those of the given hosts of the pool that need a step.
    fn unsettled_among<'a>(
        &self,
        pool: &PoolId,
        hosts: impl Iterator<Item = &'a HostId>,
    ) -> Vec<Facts> {
        let services: &[ServiceId] = self.services.get(pool).map_or(&[], |known| known);
        let waves: &[WaveId] = self.pool_waves.get(pool).map_or(&[], |known| known);
        hosts
            .filter_map(|host| self.view.host(host))
            .filter(|view| view.record.pool == *pool)
            .filter_map(|view| self.facts(view, services, waves))
            .filter(|facts| !self.calls.is_busy(&host_key(facts.host())))
            .collect()
    }

    fn facts(&self, view: &HostView, services: &[ServiceId], waves: &[WaveId]) -> Option<Facts> {
        let host = &view.record.host;
        let pool = &view.record.pool;
        let touched = view.record.phase != HostPhase::Active
            || self.is_suspect(host)
            || self.is_relocated(&view.record)
            || services.iter().any(|service| self.reservation(service, host).is_some())
            || waves.iter().any(|wave| self.is_in_wave(wave, pool, host));
        touched.then(|| Facts {
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

    /// Ends reservations and wave entries of hosts that are in another pool
    /// now, or whose record is gone.
    fn release_departed(&mut self, pool: &PoolId, wants: &mut Wants) {
        for service in self.services.get(pool).into_iter().flatten() {
            let Some(budget) = self.budget(service) else {
                continue;
            };
            for host in budget.reservations.keys() {
                if let Some(version) = self.departed(pool, host) {
                    let departed = Some(version);
                    wants.budget(service, BudgetChange::Release { host: host.clone(), departed });
                }
            }
        }
        for wave in self.pool_waves.get(pool).into_iter().flatten() {
            let Some(progress) = self.wave_progress(wave, pool) else {
                continue;
            };
            for host in progress.in_progress.keys().chain(progress.failed.keys()) {
                if self.departed(pool, host).is_some() {
                    wants.wave(wave, WavePoolChange::Withdraw { host: host.clone() });
                    wants.wave(wave, WavePoolChange::Recovered { host: host.clone() });
                }
            }
        }
    }

    /// Returns the version of the record that names another pool.
    fn departed(&self, pool: &PoolId, host: &HostId) -> Option<u64> {
        self.view.host(host).filter(|view| view.record.pool != *pool).map(|view| view.version)
    }

    fn report_budgets(
        &mut self,
        document: &Document,
        pool: &PoolId,
        actions: &mut Vec<FleetAction>,
    ) {
        // A pool that is still being filled is short of instances.
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

    /// Starts the wanted writes; what cannot start now is wanted again by the
    /// reconciliation that the reply of the present write brings about.
    fn submit(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        term: Term,
        wants: Wants,
        actions: &mut Vec<FleetAction>,
    ) {
        for (service, changes) in wants.budgets {
            if !self.calls.is_busy(&budget_key(&service)) {
                self.write_budget(now, pool, term, &service, changes, actions);
            }
        }
        for (wave, changes) in wants.waves {
            if !self.calls.is_busy(&wave_pool_key(&wave, pool)) {
                self.write_wave_pool(now, pool, term, &wave, changes, actions);
            }
        }
        for (host, change) in wants.hosts {
            self.write_host(now, pool, term, &host, change, actions);
        }
    }
}
