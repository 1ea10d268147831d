//! Steps of individual hosts through stops and moves, derived from the records.

use rand::Rng;

use super::{
    FleetAction, FleetReport,
    budget::BudgetChange,
    calls::{HostChange, budget_key, wave_pool_key},
    drain::{Drain, phase_change},
    engine::FleetEngine,
    reconcile::{HostSnapshot, PendingWrites},
    wave::WavePoolChange,
};
use crate::{
    protocol::platform::ListedState,
    state::{
        clock::ClockReading,
        document::Document,
        ids::{OperationId, PoolId, Term, WaveId},
        records::{HostPhase, ReservationKind, WaveStop},
    },
};

/// Default time within which a rebooted host must return if no wave sets one,
/// in milliseconds.
const RETURN_DEADLINE_MS: u64 = 600_000;
/// Default time after which a drain is reported as overdue if no wave sets one,
/// in milliseconds.
const DRAIN_DEADLINE_MS: u64 = 60_000;

impl FleetEngine {
    /// Takes the next step of a host.
    pub(super) fn step(
        &mut self,
        now: ClockReading,
        document: &Document,
        term: Term,
        snapshot: &HostSnapshot,
        writes: &mut PendingWrites,
        actions: &mut Vec<FleetAction>,
    ) {
        if snapshot.is_inherited(term) {
            writes.host(snapshot.host(), HostChange::Fence);
            return;
        }
        match snapshot.record.phase {
            HostPhase::Active => self.step_active(now, document, term, snapshot, writes, actions),
            HostPhase::Draining => self.step_draining(now, document, snapshot, writes, actions),
            HostPhase::Moving => self.step_moving(now, document, snapshot, writes, actions),
            HostPhase::Rebooting => {
                let change = match snapshot.operation() {
                    Some(operation) => {
                        self.reboot(now, &snapshot.record, snapshot.version, operation, actions)
                    }
                    // Without a record of the stop there is no operation id to
                    // reboot with, so only the health of the host is checked.
                    None => Some(phase_change(HostPhase::Rebooting, HostPhase::Returning)),
                };
                if let Some(change) = change {
                    writes.host(snapshot.host(), change);
                }
            }
            HostPhase::Returning => self.step_returning(now, document, snapshot, writes, actions),
            HostPhase::Failed => self.step_failed(now, document, snapshot, writes, actions),
        }
    }

    fn step_active(
        &mut self,
        now: ClockReading,
        document: &Document,
        term: Term,
        snapshot: &HostSnapshot,
        writes: &mut PendingWrites,
        actions: &mut Vec<FleetAction>,
    ) {
        self.forget_progress(snapshot.host());
        self.resolve_report(&format!("drain/{}", snapshot.host()));
        self.resolve_report(&format!("return/{}", snapshot.host()));
        if self.is_suspect(snapshot.host())
            && self.is_lost(now, &snapshot.record, snapshot.version, actions)
        {
            if snapshot.is_fully_reserved() {
                writes.host(snapshot.host(), phase_change(HostPhase::Active, HostPhase::Failed));
            } else {
                self.reserve_failure(snapshot, writes);
            }
            return;
        }
        if self.is_relocated(&snapshot.record) && snapshot.stop.is_none() {
            writes.host(snapshot.host(), HostChange::Relocate);
            return;
        }
        self.recover_in_waves(snapshot, writes);
        // An outstanding write may remove the reservation that the cached
        // record still contains; its reply triggers the next step.
        if self.budgets_busy(&snapshot.record.pool) || writes.failure {
            return;
        }
        match (&snapshot.stop, snapshot.next_pool().cloned()) {
            (Some((wave, stop)), _) => self.advance_stop(snapshot, wave, stop, term, writes),
            (None, Some(next_pool)) => {
                self.advance_move(now, document, snapshot, next_pool, term, writes);
            }
            (None, None) => self.release(snapshot, term, writes),
        }
    }

    /// Returns whether a write of a budget of the pool is outstanding.
    fn budgets_busy(&self, pool: &PoolId) -> bool {
        let mut services = self.services.get(pool).into_iter().flatten();
        services.any(|service| self.calls.is_busy(&budget_key(service)))
    }

    /// Reserves a planned stop in the remaining budgets, then starts the drain;
    /// cancels the stop if a budget does not allow it.
    fn advance_stop(
        &mut self,
        snapshot: &HostSnapshot,
        wave: &WaveId,
        stop: &WaveStop,
        term: Term,
        writes: &mut PendingWrites,
    ) {
        if snapshot.is_fully_reserved() && self.budgets_are_met(&snapshot.record.pool) {
            writes.host(snapshot.host(), phase_change(HostPhase::Active, HostPhase::Draining));
        } else if !snapshot.is_fully_reserved() && self.budgets_allow_stop(snapshot) {
            for service in snapshot.unreserved() {
                let change = BudgetChange::Reserve {
                    host: snapshot.host().clone(),
                    rack: snapshot.rack(),
                    kind: ReservationKind::Planned,
                    operation: stop.operation,
                    wave: Some(wave.clone()),
                    next_pool: None,
                };
                writes.budget(service, change);
            }
        } else if snapshot.reservation().is_some() {
            self.release(snapshot, term, writes);
        } else {
            writes.wave(wave, WavePoolChange::Withdraw { host: snapshot.host().clone() });
        }
    }

    /// Returns whether every budget without a reservation for the host allows
    /// it to be stopped.
    pub(super) fn budgets_allow_stop(&self, snapshot: &HostSnapshot) -> bool {
        let rack = snapshot.rack();
        snapshot.unreserved().all(|service| {
            let (Some(budget), Some(known)) = (self.budget(service), self.available.get(service))
            else {
                return false;
            };
            let stopped = budget.reservations.len();
            self.budget_limits(service).allows_stop(&known.counts, stopped, &rack)
        })
    }

    /// Returns whether the budgets of the pool's services are met with all
    /// current reservations; a failure after a reservation can break them.
    pub(super) fn budgets_are_met(&self, pool: &PoolId) -> bool {
        self.services.get(pool).into_iter().flatten().all(|service| {
            self.available
                .get(service)
                .is_some_and(|known| self.budget_limits(service).are_met(&known.counts))
        })
    }

    /// Releases the reservations of a host in service. The host's record must
    /// carry this controller's term first: otherwise a delayed write of a
    /// previous controller could drain the host after its reservation is gone.
    pub(super) fn release(
        &mut self,
        snapshot: &HostSnapshot,
        term: Term,
        writes: &mut PendingWrites,
    ) {
        if snapshot.reservation().is_none() {
            return;
        }
        if snapshot.record.term != term {
            writes.host(snapshot.host(), HostChange::Fence);
            return;
        }
        for (service, known) in &snapshot.reserved {
            if known.is_some() {
                let host = snapshot.host().clone();
                writes.budget(service, BudgetChange::Release { host, departed: None });
            }
        }
    }

    fn reserve_failure(&mut self, snapshot: &HostSnapshot, writes: &mut PendingWrites) {
        writes.failure = true;
        let operation = snapshot.operation().unwrap_or_else(|| OperationId(self.rng.random()));
        for service in snapshot.unreserved() {
            let change = BudgetChange::Reserve {
                host: snapshot.host().clone(),
                rack: snapshot.rack(),
                kind: ReservationKind::Failure,
                operation,
                wave: None,
                next_pool: None,
            };
            writes.budget(service, change);
        }
    }

    fn recover_in_waves(&mut self, snapshot: &HostSnapshot, writes: &mut PendingWrites) {
        let pool = &snapshot.record.pool;
        for wave in self.pool_waves.get(pool).into_iter().flatten() {
            let failed = self
                .wave_progress(wave, pool)
                .is_some_and(|progress| progress.failed.contains_key(snapshot.host()));
            if failed {
                writes.wave(wave, WavePoolChange::Recovered { host: snapshot.host().clone() });
            }
        }
    }

    fn step_draining(
        &mut self,
        now: ClockReading,
        document: &Document,
        snapshot: &HostSnapshot,
        writes: &mut PendingWrites,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.is_suspect(snapshot.host())
            && self.is_lost(now, &snapshot.record, snapshot.version, actions)
        {
            writes.host(snapshot.host(), phase_change(HostPhase::Draining, HostPhase::Failed));
            return;
        }
        let Some((wave, _)) = snapshot.stop.clone() else {
            writes.host(snapshot.host(), phase_change(HostPhase::Draining, HostPhase::Active));
            return;
        };
        // A service placed on the pool in the meantime has not granted the
        // stop, and a later failure may require the host to stay in service.
        if !snapshot.is_fully_reserved() || !self.budgets_are_met(&snapshot.record.pool) {
            writes.wave(&wave, WavePoolChange::Withdraw { host: snapshot.host().clone() });
            return;
        }
        match self.drain(now, &snapshot.record, snapshot.version, actions) {
            // The outstanding write may withdraw the stop.
            Drain::Complete if self.calls.is_busy(&wave_pool_key(&wave, &snapshot.record.pool)) => {
            }
            Drain::Complete => {
                writes
                    .host(snapshot.host(), phase_change(HostPhase::Draining, HostPhase::Rebooting));
            }
            Drain::Pending { seats } => {
                let deadline_ms = document
                    .waves
                    .get(&wave)
                    .map_or(DRAIN_DEADLINE_MS, |section| section.drain_deadline.as_ms());
                if self.drain_overdue(now, snapshot, deadline_ms, seats, actions) {
                    writes.wave(&wave, WavePoolChange::Withdraw { host: snapshot.host().clone() });
                }
            }
        }
    }

    /// Reports an overdue drain; returns whether it is overdue and cannot
    /// complete because the data centre is unreachable.
    fn drain_overdue(
        &mut self,
        now: ClockReading,
        snapshot: &HostSnapshot,
        deadline_ms: u64,
        seats: u32,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        if now.unix_ms < snapshot.record.phase_since_unix_ms.saturating_add(deadline_ms) {
            return false;
        }
        self.report_drain(&snapshot.record, seats, actions);
        !self.is_reachable(now, &snapshot.record.data_centre)
    }

    fn step_moving(
        &mut self,
        now: ClockReading,
        document: &Document,
        snapshot: &HostSnapshot,
        writes: &mut PendingWrites,
        actions: &mut Vec<FleetAction>,
    ) {
        let lost = self.is_suspect(snapshot.host())
            && self.is_lost(now, &snapshot.record, snapshot.version, actions);
        if lost {
            writes.host(snapshot.host(), phase_change(HostPhase::Moving, HostPhase::Failed));
            return;
        }
        let next_pool = snapshot.record.next_pool.as_ref();
        let possible = next_pool.is_some_and(|next| document.pools.contains_key(next))
            && snapshot.is_fully_reserved()
            && self.budgets_are_met(&snapshot.record.pool);
        if !possible {
            writes.host(snapshot.host(), phase_change(HostPhase::Moving, HostPhase::Active));
            return;
        }
        match self.drain(now, &snapshot.record, snapshot.version, actions) {
            Drain::Complete => writes.host(snapshot.host(), HostChange::Transfer),
            Drain::Pending { seats } => {
                if self.drain_overdue(now, snapshot, DRAIN_DEADLINE_MS, seats, actions) {
                    writes
                        .host(snapshot.host(), phase_change(HostPhase::Moving, HostPhase::Active));
                }
            }
        }
    }

    fn step_returning(
        &mut self,
        now: ClockReading,
        document: &Document,
        snapshot: &HostSnapshot,
        writes: &mut PendingWrites,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.check_return(now, &snapshot.record, snapshot.version, actions) {
            match &snapshot.stop {
                // The wave records the host as done before it becomes active,
                // so an active host in progress has not been rebooted yet.
                Some((wave, _)) => {
                    writes.wave(wave, WavePoolChange::Done { host: snapshot.host().clone() });
                }
                None => writes
                    .host(snapshot.host(), phase_change(HostPhase::Returning, HostPhase::Active)),
            }
            return;
        }
        let deadline_ms = snapshot
            .stop
            .as_ref()
            .and_then(|(wave, _)| document.waves.get(wave))
            .map_or(RETURN_DEADLINE_MS, |section| section.return_deadline.as_ms());
        if now.unix_ms >= snapshot.record.phase_since_unix_ms.saturating_add(deadline_ms) {
            let report = FleetReport::NotReturned { host: snapshot.host().clone() };
            self.report(format!("return/{}", snapshot.host()), report, actions);
            writes.host(snapshot.host(), phase_change(HostPhase::Returning, HostPhase::Failed));
        }
    }

    /// Records a failed host in every budget and wave, and checks whether it is
    /// healthy again.
    fn step_failed(
        &mut self,
        now: ClockReading,
        document: &Document,
        snapshot: &HostSnapshot,
        writes: &mut PendingWrites,
        actions: &mut Vec<FleetAction>,
    ) {
        self.health.remove(snapshot.host());
        if !snapshot.is_fully_reserved() {
            self.reserve_failure(snapshot, writes);
        }
        self.fail_in_waves(document, snapshot, writes);
        let listed = self.view.listed_state(snapshot.host());
        let gone = matches!(listed, Some(None | Some(ListedState::Leaving)));
        if !gone && self.check_return(now, &snapshot.record, snapshot.version, actions) {
            writes.host(snapshot.host(), phase_change(HostPhase::Failed, HostPhase::Active));
        }
    }

    fn fail_in_waves(
        &mut self,
        document: &Document,
        snapshot: &HostSnapshot,
        writes: &mut PendingWrites,
    ) {
        let pool = &snapshot.record.pool;
        for wave in self.pool_waves.get(pool).into_iter().flatten() {
            let Some(progress) = self.wave_progress(wave, pool) else {
                continue;
            };
            let planned = progress.in_progress.contains_key(snapshot.host());
            let counted = progress.failed.contains_key(snapshot.host());
            if document.waves.contains_key(wave) && !counted {
                let host = snapshot.host().clone();
                writes.wave(wave, WavePoolChange::Failed { host, planned });
            }
        }
    }
}
