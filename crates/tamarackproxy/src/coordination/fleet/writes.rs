//! Writes of each kind of record, and the decisions made on the current record.

use rand::Rng;

use super::{
    FleetAction,
    budget::{self, BudgetChange, BudgetLimits},
    calls::{Call, HostChange, Update, Write, budget_key, host_key, wave_key, wave_pool_key},
    engine::FleetEngine,
    wave::{self, WavePoolChange},
};
use crate::{
    coordination::record::{RecordUpdate, Stored, UpdateStep},
    state::{
        clock::ClockReading,
        ids::{HostId, OperationId, PoolId, RecordVersion, ServiceId, Term, WaveId},
        records::{
            BudgetRecord, HostPhase, HostRecord, RecentOperations, WavePhase, WavePoolRecord,
            WaveRecord,
        },
    },
};

impl FleetEngine {
    /// Starts a write of a host's record.
    pub(super) fn write_host(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        term: Term,
        host: &HostId,
        change: HostChange,
        actions: &mut Vec<FleetAction>,
    ) {
        let key = host_key(host);
        let operations_of: fn(&HostRecord) -> RecentOperations = |record| record.operations.clone();
        let update = self.update(&key, operations_of);
        let write = Write { update, key, pool: pool.clone(), term, change };
        let wrap = |write| Call::Host { host: host.clone(), write };
        if matches!(write.change, HostChange::Adopt(_)) {
            self.start_creation(now, write, Self::decide_host, wrap, actions);
        } else {
            let known = self.view.host(host).map(|view| Stored {
                record: view.record.clone(),
                version: RecordVersion(view.version),
            });
            self.start_write(now, write, known, Self::decide_host, wrap, actions);
        }
    }

    /// Starts a write of a budget; without changes it only raises the term.
    pub(super) fn write_budget(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        term: Term,
        service: &ServiceId,
        change: Vec<BudgetChange>,
        actions: &mut Vec<FleetAction>,
    ) {
        let key = budget_key(service);
        let operations_of: fn(&BudgetRecord) -> RecentOperations =
            |record| record.operations.clone();
        let update = self.update(&key, operations_of);
        let write = Write { update, key, pool: pool.clone(), term, change };
        let known = self.budgets.get(service).filter(|stored| stored.record.term == term).cloned();
        let wrap = |write| Call::Budget { service: service.clone(), write };
        self.start_write(now, write, known, Self::decide_budget, wrap, actions);
    }

    /// Starts a write that merges the pool's status into the shared record of a
    /// wave.
    pub(super) fn write_wave(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        term: Term,
        wave: &WaveId,
        actions: &mut Vec<FleetAction>,
    ) {
        let key = wave_key(wave);
        let operations_of: fn(&WaveRecord) -> RecentOperations = |record| record.operations.clone();
        let update = self.update(&key, operations_of);
        let write = Write { update, key, pool: pool.clone(), term, change: () };
        let wrap = |write| Call::Wave { wave: wave.clone(), write };
        self.start_write(now, write, None, Self::decide_wave, wrap, actions);
    }

    /// Starts a write of a wave's progress in a pool; without changes it only
    /// raises the term.
    pub(super) fn write_wave_pool(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        term: Term,
        wave: &WaveId,
        change: Vec<WavePoolChange>,
        actions: &mut Vec<FleetAction>,
    ) {
        let key = wave_pool_key(wave, pool);
        let operations_of: fn(&WavePoolRecord) -> RecentOperations =
            |record| record.operations.clone();
        let update = self.update(&key, operations_of);
        let write = Write { update, key, pool: pool.clone(), term, change };
        let known = self
            .wave_pools
            .get(&(wave.clone(), pool.clone()))
            .filter(|stored| stored.record.term == term)
            .cloned();
        let wrap = |write| Call::WavePool { wave: wave.clone(), write };
        self.start_write(now, write, known, Self::decide_wave_pool, wrap, actions);
    }

    /// Continues the write of a host's record after a reply.
    pub(super) fn continue_host_write(
        &mut self,
        now: ClockReading,
        host: HostId,
        write: Write<HostRecord, HostChange>,
        step: UpdateStep<HostRecord>,
        actions: &mut Vec<FleetAction>,
    ) {
        let pool = write.pool.clone();
        let wrap = |write| Call::Host { host: host.clone(), write };
        let done = self.advance_write(now, write, step, Self::decide_host, wrap, actions);
        if let Some(stored) = done {
            let moved = stored.record.pool != pool;
            let pools = self.view.upsert_record(stored.version.0, &stored.record);
            if moved {
                self.mark_pools_dirty(&pools);
            }
        }
        self.wake_host(&pool, &host, 0);
    }

    /// Continues the write of a budget after a reply.
    pub(super) fn continue_budget_write(
        &mut self,
        now: ClockReading,
        service: ServiceId,
        write: Write<BudgetRecord, Vec<BudgetChange>>,
        step: UpdateStep<BudgetRecord>,
        actions: &mut Vec<FleetAction>,
    ) {
        let pool = write.pool.clone();
        let wrap = |write| Call::Budget { service: service.clone(), write };
        let done = self.advance_write(now, write, step, Self::decide_budget, wrap, actions);
        if let Some(stored) = done {
            self.budgets.insert(service, stored);
        }
        self.mark_pool_dirty(&pool);
    }

    /// Continues the write of a wave's shared record after a reply.
    pub(super) fn continue_wave_write(
        &mut self,
        now: ClockReading,
        wave: WaveId,
        write: Write<WaveRecord, ()>,
        step: UpdateStep<WaveRecord>,
        actions: &mut Vec<FleetAction>,
    ) {
        let pool = write.pool.clone();
        let wrap = |write| Call::Wave { wave: wave.clone(), write };
        let done = self.advance_write(now, write, step, Self::decide_wave, wrap, actions);
        if let Some(stored) = done {
            self.cache_wave(now, &pool, &wave, stored);
        }
        self.mark_pool_dirty(&pool);
    }

    /// Continues the write of a wave's progress in a pool after a reply.
    pub(super) fn continue_wave_pool_write(
        &mut self,
        now: ClockReading,
        wave: WaveId,
        write: Write<WavePoolRecord, Vec<WavePoolChange>>,
        step: UpdateStep<WavePoolRecord>,
        actions: &mut Vec<FleetAction>,
    ) {
        let pool = write.pool.clone();
        let wrap = |write| Call::WavePool { wave: wave.clone(), write };
        let done = self.advance_write(now, write, step, Self::decide_wave_pool, wrap, actions);
        if let Some(stored) = done {
            self.wave_pools.insert((wave, pool.clone()), stored);
        }
        self.mark_pool_dirty(&pool);
    }

    fn update<R>(&mut self, key: &str, operations_of: fn(&R) -> RecentOperations) -> Update<R>
    where
        R: Clone + serde::Serialize + serde::de::DeserializeOwned,
    {
        RecordUpdate::new(key, OperationId(self.rng.random()), operations_of)
    }

    fn cache_host(&mut self, stored: &Stored<HostRecord>) {
        let pools = self.view.upsert_record(stored.version.0, &stored.record);
        self.mark_pools_dirty(&pools);
    }

    fn cache_wave(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        wave: &WaveId,
        stored: Stored<WaveRecord>,
    ) {
        if let Some(control) = self.controls.get_mut(pool) {
            control.wave_read_ms.insert(wave.clone(), now.monotonic_ms);
        }
        let newer = self.waves.get(wave).is_none_or(|known| known.version <= stored.version);
        if newer {
            self.waves.insert(wave.clone(), stored);
        }
    }

    /// Checks the lease at the time of the write, so that a holder that was
    /// paused or replaced does not write.
    fn may_write(&self, now: ClockReading, pool: &PoolId, term: Term, in_record: Term) -> bool {
        in_record <= term && self.held(now, pool) == Some(term)
    }

    fn decide_host(
        &mut self,
        now: ClockReading,
        write: &Write<HostRecord, HostChange>,
        stored: Option<Stored<HostRecord>>,
    ) -> Option<HostRecord> {
        if let Some(stored) = &stored {
            self.cache_host(stored);
        }
        let present = stored.map(|stored| stored.record);
        let in_record = present.as_ref().map_or(Term::default(), |record| record.term);
        let own_pool = present.as_ref().is_none_or(|record| record.pool == write.pool);
        if !own_pool || !self.may_write(now, &write.pool, write.term, in_record) {
            return None;
        }
        let mut record = self.changed_host(present, write, now.unix_ms)?;
        record.operations.push(write.update.operation());
        Some(record)
    }

    fn changed_host(
        &self,
        present: Option<HostRecord>,
        write: &Write<HostRecord, HostChange>,
        unix_ms: u64,
    ) -> Option<HostRecord> {
        let mut record = match (&write.change, present) {
            (HostChange::Adopt(record), None) => return Some(HostRecord::clone(record)),
            (HostChange::Adopt(_), Some(_)) | (_, None) => return None,
            (_, Some(record)) => record,
        };
        match &write.change {
            HostChange::Phase { from, to, next_pool } => {
                if record.phase != *from {
                    return None;
                }
                record.phase = *to;
                record.next_pool = next_pool.clone();
                record.phase_since_unix_ms = unix_ms;
            }
            HostChange::Transfer => {
                if record.phase != HostPhase::Moving {
                    return None;
                }
                record.pool = record.next_pool.take()?;
                record.phase = HostPhase::Active;
                record.phase_since_unix_ms = unix_ms;
            }
            HostChange::Relocate => {
                let listed = self.view.listed(&record.host)?;
                record.address = listed.address.clone();
                record.rack = listed.rack.clone();
                record.data_centre = listed.data_centre.clone();
            }
            HostChange::Fence | HostChange::Adopt(_) => {}
        }
        // Terms of different pools do not compare, so the record starts at term
        // 0, which is below that of the new pool's controller.
        let transferred = matches!(write.change, HostChange::Transfer);
        record.term = if transferred { Term::default() } else { write.term };
        Some(record)
    }

    fn decide_budget(
        &mut self,
        now: ClockReading,
        write: &Write<BudgetRecord, Vec<BudgetChange>>,
        stored: Option<Stored<BudgetRecord>>,
    ) -> Option<BudgetRecord> {
        let service: ServiceId = write.key.strip_prefix("budget/")?.parse().ok()?;
        let present = stored.as_ref().map(|stored| stored.record.clone());
        let mut record =
            present.unwrap_or_else(|| BudgetRecord::new(service.clone(), write.pool.clone()));
        if record.pool != write.pool {
            record.pool = write.pool.clone();
            record.term = Term::default();
        }
        if !self.may_write(now, &write.pool, write.term, record.term) {
            return None;
        }
        let raises_term = record.term != write.term;
        record.term = write.term;
        let limits = self.budget_limits(&service);
        let mut available = self.view.available_by_rack(&write.pool, &record);
        let (term, unix_ms) = (write.term, now.unix_ms);
        let changed =
            budget::apply(&mut record, &write.change, limits, &mut available, term, unix_ms);
        if !changed && !raises_term {
            if let Some(stored) = stored {
                self.budgets.insert(service, stored);
            }
            return None;
        }
        record.operations.push(write.update.operation());
        Some(record)
    }

    /// Returns the limits of a service's budget in the document in force.
    pub(super) fn budget_limits(&self, service: &ServiceId) -> BudgetLimits {
        BudgetLimits::new(self.document.as_ref().and_then(|document| document.budgets.get(service)))
    }

    fn decide_wave(
        &mut self,
        now: ClockReading,
        write: &Write<WaveRecord, ()>,
        stored: Option<Stored<WaveRecord>>,
    ) -> Option<WaveRecord> {
        let wave: WaveId = write.key.strip_prefix("wave/")?.parse().ok()?;
        let document = self.document.clone()?;
        let section = document.waves.get(&wave)?;
        let present = stored.as_ref().map(|stored| stored.record.clone());
        if let Some(stored) = stored {
            self.cache_wave(now, &write.pool, &wave, stored);
        }
        let known = present.is_some();
        let record = present.unwrap_or_else(|| WaveRecord::new(wave.clone(), now.unix_ms));
        let in_record = record.terms.get(&write.pool).copied().unwrap_or_default();
        if !self.may_write(now, &write.pool, write.term, in_record) {
            return None;
        }
        self.refresh_available(&write.pool);
        let limit = self.max_parallel(&wave);
        let candidates = self.candidates(now, &write.pool, &wave, limit).len() as u32;
        let status =
            self.pool_wave_status(now, &write.pool, write.term, &wave, &record, candidates);
        let mut next = wave::merge_pool_status(&record, section, &status);
        if known && next == record {
            return None;
        }
        next.operations.push(write.update.operation());
        Some(next)
    }

    fn decide_wave_pool(
        &mut self,
        now: ClockReading,
        write: &Write<WavePoolRecord, Vec<WavePoolChange>>,
        stored: Option<Stored<WavePoolRecord>>,
    ) -> Option<WavePoolRecord> {
        let rest = write.key.strip_prefix("wave/")?;
        let wave: WaveId = rest.split_once('/')?.0.parse().ok()?;
        let present = stored.as_ref().map(|stored| stored.record.clone());
        let mut record =
            present.unwrap_or_else(|| WavePoolRecord::new(wave.clone(), write.pool.clone()));
        if !self.may_write(now, &write.pool, write.term, record.term) {
            return None;
        }
        let raises_term = record.term != write.term;
        record.term = write.term;
        let startable = self.startable(&wave, &write.pool);
        let changed = wave::apply(&mut record, &write.change, startable, now.unix_ms);
        if !changed && !raises_term {
            if let Some(stored) = stored {
                self.wave_pools.insert((wave, write.pool.clone()), stored);
            }
            return None;
        }
        record.operations.push(write.update.operation());
        Some(record)
    }

    /// Returns the maximum number of the pool's hosts that the wave may have in
    /// progress.
    pub(super) fn startable(&self, wave: &WaveId, pool: &PoolId) -> u32 {
        match self.waves.get(wave) {
            Some(stored) if stored.record.phase == WavePhase::Running => {
                stored.record.granted.get(pool).copied().unwrap_or(0)
            }
            _ => 0,
        }
    }
}
