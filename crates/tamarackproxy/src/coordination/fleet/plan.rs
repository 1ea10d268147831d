//! Planning of maintenance waves: which hosts to stop next, and the pool's
//! status in the shared record of the wave.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;

use super::{
    FleetAction, FleetReport,
    budget::BudgetLimits,
    calls::{host_key, wave_key, wave_pool_key},
    engine::FleetEngine,
    racks::RackCounts,
    reconcile::{PendingWrites, RECHECK_MS},
    view::{HostView, RackKey},
    wave::{PoolWaveStatus, WavePoolChange, merge_pool_status},
};
use crate::state::{
    clock::ClockReading,
    document::{Document, WaveSection},
    ids::{DataCentreId, HostId, OperationId, PoolId, Term, WaveId},
    records::{HostPhase, HostRecord, WavePhase, WavePoolRecord, WaveRecord},
};

/// Age at which the shared record of an unfinished wave is read again, in
/// milliseconds. Updates by other pools only change its phase and the remaining
/// parallelism.
const WAVE_READ_MS: u64 = 5_000;
/// Time after which a pool returns the unused part of its grant, in
/// milliseconds; longer than the gap between one host and the next.
const UNUSED_GRANT_TIMEOUT_MS: u64 = 10_000;

/// Stops that the budget of one service still allows.
pub(super) struct BudgetHeadroom {
    limits: BudgetLimits,
    available: RackCounts,
    stopped: usize,
}

impl BudgetHeadroom {
    pub fn allows_stop(&self, rack: &RackKey) -> bool {
        self.limits.allows_stop(&self.available, self.stopped, rack)
    }

    /// Returns the number of available instances in a rack.
    pub fn instances(&self, rack: &RackKey) -> u32 {
        self.available.in_rack(rack)
    }

    fn reserve(&mut self, rack: &RackKey) {
        self.available.remove(rack);
        self.stopped += 1;
    }
}

impl FleetEngine {
    /// Selects hosts of the pool for its waves and updates the waves' records.
    pub(super) fn plan_waves(
        &mut self,
        now: ClockReading,
        document: &Document,
        pool: &PoolId,
        term: Term,
        writes: &mut PendingWrites,
        actions: &mut Vec<FleetAction>,
    ) {
        for wave in self.pool_waves.get(pool).cloned().unwrap_or_default() {
            let Some(section) = document.waves.get(&wave) else {
                continue;
            };
            self.plan_wave(now, section, pool, term, &wave, writes, actions);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the context of one reconciliation")]
    fn plan_wave(
        &mut self,
        now: ClockReading,
        section: &WaveSection,
        pool: &PoolId,
        term: Term,
        wave: &WaveId,
        writes: &mut PendingWrites,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(shared) = self.waves.get(wave).map(|stored| stored.record.clone()) else {
            self.write_wave(now, pool, term, wave, actions);
            return;
        };
        let Some(progress) = self.wave_progress(wave, pool).cloned() else {
            return;
        };
        if shared.resumptions != progress.resumptions {
            writes.wave(wave, WavePoolChange::Resumed { resumptions: shared.resumptions });
        }
        self.report_pause(&shared, pool, actions);
        self.probe_unresponsive_data_centres(now, pool, wave, actions);
        let candidates = self.candidates(now, pool, wave, section.max_parallel);
        self.track_unused_grant(now, pool, wave, &shared, &progress, candidates.len() as u32);
        let startable = candidates.len() as u32;
        let status = self.pool_wave_status(now, pool, term, wave, &shared, startable);
        let stale = self.wave_is_stale(now, pool, wave, &shared);
        if (stale || merge_pool_status(&shared, section, &status) != shared)
            && !self.calls.is_busy(&wave_key(wave))
        {
            self.write_wave(now, pool, term, wave, actions);
        }
        let remaining =
            self.startable(wave, pool).saturating_sub(progress.in_progress.len() as u32);
        if !self.calls.is_busy(&wave_pool_key(wave, pool)) {
            for host in candidates.into_iter().take(remaining as usize) {
                let operation = OperationId(self.rng.random());
                writes.wave(wave, WavePoolChange::Start { host, operation });
            }
        }
        if shared.phase != WavePhase::Finished {
            self.wake_pool(pool, now.monotonic_ms + RECHECK_MS);
        }
    }

    fn report_pause(&mut self, shared: &WaveRecord, pool: &PoolId, actions: &mut Vec<FleetAction>) {
        let key = format!("wave/{}/{pool}", shared.wave);
        if shared.phase == WavePhase::PausedByFailures {
            let failures = shared.failed.values().sum();
            let report = FleetReport::WavePaused { pool: pool.clone(), failures };
            self.report(key, report, actions);
        } else {
            self.resolve_report(&key);
        }
    }

    fn wave_is_stale(
        &self,
        now: ClockReading,
        pool: &PoolId,
        wave: &WaveId,
        shared: &WaveRecord,
    ) -> bool {
        let read_ms =
            self.controls.get(pool).and_then(|control| control.wave_read_ms.get(wave)).copied();
        shared.phase != WavePhase::Finished
            && read_ms.is_none_or(|read_ms| now.monotonic_ms >= read_ms + WAVE_READ_MS)
    }

    /// Records since when the pool's grant exceeds what it can use.
    fn track_unused_grant(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        wave: &WaveId,
        shared: &WaveRecord,
        progress: &WavePoolRecord,
        candidates: u32,
    ) {
        let usable = progress.in_progress.len() as u32 + candidates;
        let granted = shared.granted.get(pool).copied().unwrap_or(0);
        let Some(control) = self.controls.get_mut(pool) else {
            return;
        };
        if usable >= granted {
            control.unused_grant_since_ms.remove(wave);
        } else {
            control.unused_grant_since_ms.entry(wave.clone()).or_insert(now.monotonic_ms);
        }
    }

    /// Computes the pool's status for the shared record of a wave.
    pub(super) fn pool_wave_status(
        &self,
        now: ClockReading,
        pool: &PoolId,
        term: Term,
        wave: &WaveId,
        shared: &WaveRecord,
        candidates: u32,
    ) -> PoolWaveStatus {
        let empty = WavePoolRecord::new(wave.clone(), pool.clone());
        let progress = self.wave_progress(wave, pool).unwrap_or(&empty);
        let in_progress = progress.in_progress.len() as u32;
        let finished = progress.in_progress.is_empty()
            && self.view.hosts_of(pool).all(|view| progress.done.contains(&view.record.host));
        let running = shared.phase == WavePhase::Running && !finished;
        let usable = if running { in_progress + candidates } else { in_progress };
        let granted = shared.granted.get(pool).copied().unwrap_or(0);
        let unused_since = self
            .controls
            .get(pool)
            .and_then(|control| control.unused_grant_since_ms.get(wave))
            .copied()
            .unwrap_or(now.monotonic_ms);
        let keeps_grant = running && now.monotonic_ms < unused_since + UNUSED_GRANT_TIMEOUT_MS;
        PoolWaveStatus {
            pool: pool.clone(),
            term,
            in_progress,
            requested: if keeps_grant { usable.max(granted) } else { usable },
            failed: (shared.resumptions == progress.resumptions)
                .then(|| progress.unseen_failures()),
            finished,
        }
    }

    /// Returns how many hosts a wave may stop at the same time.
    pub(super) fn max_parallel(&self, wave: &WaveId) -> u32 {
        self.document
            .as_ref()
            .and_then(|document| document.waves.get(wave))
            .map_or(0, |section| section.max_parallel)
    }

    /// Returns hosts that could all be stopped together now, in order of
    /// preference: from the rack with the most instances first, because the
    /// largest rack determines the failure reserve of the budgets, then from
    /// the data centre with the fewest stopped hosts.
    pub(super) fn candidates(
        &self,
        now: ClockReading,
        pool: &PoolId,
        wave: &WaveId,
        limit: u32,
    ) -> Vec<HostId> {
        let Some(progress) = self.wave_progress(wave, pool) else {
            return Vec::new();
        };
        let mut eligible: BTreeMap<RackKey, VecDeque<&HostId>> = BTreeMap::new();
        let mut stopped: BTreeMap<&DataCentreId, u32> = BTreeMap::new();
        for view in self.view.hosts_of(pool) {
            let record = &view.record;
            if progress.in_progress.contains_key(&record.host) {
                *stopped.entry(&record.data_centre).or_default() += 1;
            } else if self.is_eligible(progress, view)
                && self.is_reachable(now, &record.data_centre)
            {
                let rack = (record.data_centre.clone(), record.rack.clone());
                eligible.entry(rack).or_default().push_back(&record.host);
            }
        }
        let mut headrooms = self.budget_headrooms(pool);
        let mut chosen = Vec::new();
        while chosen.len() < limit as usize {
            let best = eligible
                .iter()
                .filter(|(rack, hosts)| {
                    !hosts.is_empty() && headrooms.iter().all(|headroom| headroom.allows_stop(rack))
                })
                .max_by_key(|(rack, hosts)| {
                    let instances = headrooms
                        .first()
                        .map_or(hosts.len() as u32, |headroom| headroom.instances(rack));
                    (instances, std::cmp::Reverse(stopped.get(&rack.0).copied().unwrap_or(0)))
                })
                .map(|(rack, _)| rack.clone());
            let Some(rack) = best else {
                break;
            };
            headrooms.iter_mut().for_each(|headroom| headroom.reserve(&rack));
            if let Some(host) = eligible.get_mut(&rack).and_then(VecDeque::pop_front) {
                if let Some(view) = self.view.host(host) {
                    *stopped.entry(&view.record.data_centre).or_default() += 1;
                }
                chosen.push(host.clone());
            }
        }
        chosen
    }

    /// Returns the headroom in the budget of each service of the pool, less the
    /// hosts that waves have selected but that are not reserved yet.
    pub(super) fn budget_headrooms(&self, pool: &PoolId) -> Vec<BudgetHeadroom> {
        let started: Vec<&HostRecord> = self
            .pool_waves
            .get(pool)
            .into_iter()
            .flatten()
            .filter_map(|wave| self.wave_progress(wave, pool))
            .flat_map(|progress| progress.in_progress.keys())
            .filter_map(|host| self.view.host(host).map(|view| &view.record))
            .collect();
        let services = self.services.get(pool).into_iter().flatten();
        services
            .filter_map(|service| {
                let budget = self.budget(service)?;
                let mut headroom = BudgetHeadroom {
                    limits: self.budget_limits(service),
                    available: self.available.get(service)?.counts.clone(),
                    stopped: budget.reservations.len(),
                };
                for record in &started {
                    let unreserved = !budget.reservations.contains_key(&record.host);
                    if unreserved && record.phase == HostPhase::Active {
                        headroom.reserve(&(record.data_centre.clone(), record.rack.clone()));
                    }
                }
                Some(headroom)
            })
            .collect()
    }

    /// Returns whether the state of the host allows the wave to stop it;
    /// budgets and reachability are checked separately.
    fn is_eligible(&self, progress: &WavePoolRecord, view: &HostView) -> bool {
        let host = &view.record.host;
        let pool = &view.record.pool;
        let started_elsewhere = self.pool_waves.get(pool).into_iter().flatten().any(|wave| {
            self.wave_progress(wave, pool).is_some_and(|other| other.in_progress.contains_key(host))
        });
        let reserved = self.services.get(pool).into_iter().flatten().any(|service| {
            self.budget(service).is_some_and(|budget| budget.reservations.contains_key(host))
        });
        view.record.phase == HostPhase::Active
            && !progress.done.contains(host)
            && !progress.failed.contains_key(host)
            && !started_elsewhere
            && !reserved
            && !self.is_suspect(host)
            && !self.calls.is_busy(&host_key(host))
    }

    /// Probes unreachable data centres that still have hosts to maintain.
    fn probe_unresponsive_data_centres(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        wave: &WaveId,
        actions: &mut Vec<FleetAction>,
    ) {
        if let Some(progress) = self.wave_progress(wave, pool) {
            let left = self.view.hosts_of(pool).filter(|view| self.is_eligible(progress, view));
            let unresponsive = self.unresponsive_data_centres(now, left);
            self.probe_all(now, pool, unresponsive, actions);
        }
    }

    /// Returns one host with its record version for each unreachable data
    /// centre among those of the given hosts.
    pub(super) fn unresponsive_data_centres<'a>(
        &self,
        now: ClockReading,
        hosts: impl Iterator<Item = &'a HostView>,
    ) -> Vec<(HostRecord, u64)> {
        let mut unresponsive: BTreeMap<&DataCentreId, &HostView> = BTreeMap::new();
        for view in hosts {
            let data_centre = &view.record.data_centre;
            if !unresponsive.contains_key(data_centre) && !self.is_reachable(now, data_centre) {
                unresponsive.insert(data_centre, view);
            }
        }
        unresponsive.into_values().map(|view| (view.record.clone(), view.version)).collect()
    }

    /// Probes the seats of these hosts' data centres.
    pub(super) fn probe_all(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        unresponsive: Vec<(HostRecord, u64)>,
        actions: &mut Vec<FleetAction>,
    ) {
        for (record, version) in unresponsive {
            let next_ms = self.probe(now, &record, version, actions);
            self.wake_pool(pool, next_ms);
        }
    }
}
