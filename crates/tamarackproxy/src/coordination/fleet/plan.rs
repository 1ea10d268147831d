//! Which hosts a wave stops next, and the pool's part in the shared record.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;

use super::{
    FleetAction, FleetReport,
    budget::BudgetLimits,
    calls::{host_key, wave_key, wave_pool_key},
    engine::FleetEngine,
    racks::RackCounts,
    reconcile::{RECHECK_MS, Wants},
    view::{HostView, RackKey},
    wave::{PoolShare, WavePoolChange, settle},
};
use crate::state::{
    clock::ClockReading,
    document::{Document, WaveSection},
    ids::{DataCentreId, HostId, OperationId, PoolId, Term, WaveId},
    records::{HostPhase, HostRecord, WavePhase, WavePoolRecord, WaveRecord},
};

/// Age at which the shared record of an unfinished wave is read again, in
/// milliseconds; news of other pools only change its phase and what is left of
/// its parallelism.
const WAVE_READ_MS: u64 = 5_000;
/// Time after which a pool returns the part of its grant that it cannot use,
/// in milliseconds; it is longer than the gap between one host and the next.
const GRANT_KEPT_MS: u64 = 10_000;

/// Room that the budget of one service leaves.
pub(super) struct Room {
    limits: BudgetLimits,
    available: RackCounts,
    stopped: usize,
}

impl Room {
    pub fn allows(&self, rack: &RackKey) -> bool {
        self.limits.allows_stop(&self.available, self.stopped, rack)
    }

    /// Returns the available instances in a rack.
    pub fn instances(&self, rack: &RackKey) -> u32 {
        self.available.in_rack(rack)
    }

    fn take(&mut self, rack: &RackKey) {
        self.available.take(rack);
        self.stopped += 1;
    }
}

impl FleetEngine {
    /// Starts hosts of the pool's waves and keeps their records in line.
    pub(super) fn plan_waves(
        &mut self,
        now: ClockReading,
        document: &Document,
        pool: &PoolId,
        term: Term,
        wants: &mut Wants,
        actions: &mut Vec<FleetAction>,
    ) {
        for wave in self.pool_waves.get(pool).cloned().unwrap_or_default() {
            let Some(section) = document.waves.get(&wave) else {
                continue;
            };
            self.plan_wave(now, section, pool, term, &wave, wants, actions);
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
        wants: &mut Wants,
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
            wants.wave(wave, WavePoolChange::Seen { resumptions: shared.resumptions });
        }
        self.report_pause(&shared, pool, actions);
        self.probe_silent_data_centres(now, pool, wave, actions);
        let candidates = self.candidates(now, pool, wave, section.max_parallel);
        self.note_unused_grant(now, pool, wave, &shared, &progress, candidates.len() as u32);
        let startable = candidates.len() as u32;
        let share = self.pool_share(now, pool, term, wave, &shared, startable);
        let stale = self.wave_is_stale(now, pool, wave, &shared);
        if (stale || settle(&shared, section, &share) != shared)
            && !self.calls.is_busy(&wave_key(wave))
        {
            self.write_wave(now, pool, term, wave, actions);
        }
        let room = self.startable(wave, pool).saturating_sub(progress.in_progress.len() as u32);
        if !self.calls.is_busy(&wave_pool_key(wave, pool)) {
            for host in candidates.into_iter().take(room as usize) {
                let operation = OperationId(self.rng.random());
                wants.wave(wave, WavePoolChange::Start { host, operation });
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

    /// Remembers since when the pool holds more of the grant than it can use.
    fn note_unused_grant(
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
            control.unused_since_ms.remove(wave);
        } else {
            control.unused_since_ms.entry(wave.clone()).or_insert(now.monotonic_ms);
        }
    }

    /// Computes what the pool wants the shared record of a wave to say.
    pub(super) fn pool_share(
        &self,
        now: ClockReading,
        pool: &PoolId,
        term: Term,
        wave: &WaveId,
        shared: &WaveRecord,
        candidates: u32,
    ) -> PoolShare {
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
            .and_then(|control| control.unused_since_ms.get(wave))
            .copied()
            .unwrap_or(now.monotonic_ms);
        let keeps = running && now.monotonic_ms < unused_since + GRANT_KEPT_MS;
        PoolShare {
            pool: pool.clone(),
            term,
            in_progress,
            wanted: if keeps { usable.max(granted) } else { usable },
            failed: (shared.resumptions == progress.resumptions)
                .then(|| progress.unseen_failures()),
            finished,
        }
    }

    /// Returns how many hosts a wave may stop at once.
    pub(super) fn max_parallel(&self, wave: &WaveId) -> u32 {
        self.document
            .as_ref()
            .and_then(|document| document.waves.get(wave))
            .map_or(0, |section| section.max_parallel)
    }

    /// Returns hosts that could be stopped now, all of them together, in the
    /// order in which they should be: the rack with the most instances first,
    /// since the largest rack decides what the budgets must hold back, then
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
            } else if self.is_eligible(progress, view) && self.in_contact(now, &record.data_centre)
            {
                let rack = (record.data_centre.clone(), record.rack.clone());
                eligible.entry(rack).or_default().push_back(&record.host);
            }
        }
        let mut rooms = self.rooms(pool);
        let mut chosen = Vec::new();
        while chosen.len() < limit as usize {
            let best = eligible
                .iter()
                .filter(|(rack, hosts)| {
                    !hosts.is_empty() && rooms.iter().all(|room| room.allows(rack))
                })
                .max_by_key(|(rack, hosts)| {
                    let instances =
                        rooms.first().map_or(hosts.len() as u32, |room| room.instances(rack));
                    (instances, std::cmp::Reverse(stopped.get(&rack.0).copied().unwrap_or(0)))
                })
                .map(|(rack, _)| rack.clone());
            let Some(rack) = best else {
                break;
            };
            rooms.iter_mut().for_each(|room| room.take(&rack));
            if let Some(host) = eligible.get_mut(&rack).and_then(VecDeque::pop_front) {
                if let Some(view) = self.view.host(host) {
                    *stopped.entry(&view.record.data_centre).or_default() += 1;
                }
                chosen.push(host.clone());
            }
        }
        chosen
    }

    /// Returns the room in the budget of each service of the pool, less the
    /// hosts that waves have started and that are not reserved yet.
    pub(super) fn rooms(&self, pool: &PoolId) -> Vec<Room> {
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
                let mut room = Room {
                    limits: self.budget_limits(service),
                    available: self.available.get(service)?.counts.clone(),
                    stopped: budget.reservations.len(),
                };
                for record in &started {
                    let unreserved = !budget.reservations.contains_key(&record.host);
                    if unreserved && record.phase == HostPhase::Active {
                        room.take(&(record.data_centre.clone(), record.rack.clone()));
                    }
                }
                Some(room)
            })
            .collect()
    }

    /// Tells whether the wave may stop the host, as far as the host goes.
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

    /// Asks data centres with hosts left to maintain for a sign of life.
    fn probe_silent_data_centres(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        wave: &WaveId,
        actions: &mut Vec<FleetAction>,
    ) {
        if let Some(progress) = self.wave_progress(wave, pool) {
            let left = self.view.hosts_of(pool).filter(|view| self.is_eligible(progress, view));
            let silent = self.silent_data_centres(now, left);
            self.probe_all(now, pool, silent, actions);
        }
    }

    /// Returns one host with its version for each data centre of the given
    /// hosts that has not answered lately.
    pub(super) fn silent_data_centres<'a>(
        &self,
        now: ClockReading,
        hosts: impl Iterator<Item = &'a HostView>,
    ) -> Vec<(HostRecord, u64)> {
        let mut silent: BTreeMap<&DataCentreId, &HostView> = BTreeMap::new();
        for view in hosts {
            let data_centre = &view.record.data_centre;
            if !silent.contains_key(data_centre) && !self.in_contact(now, data_centre) {
                silent.insert(data_centre, view);
            }
        }
        silent.into_values().map(|view| (view.record.clone(), view.version)).collect()
    }

    /// Asks the seats of these hosts' data centres for a sign of life.
    pub(super) fn probe_all(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        silent: Vec<(HostRecord, u64)>,
        actions: &mut Vec<FleetAction>,
    ) {
        for (record, version) in silent {
            let next_ms = self.probe(now, &record, version, actions);
            self.wake_pool(pool, next_ms);
        }
    }
}
