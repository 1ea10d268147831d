//! Steps of single hosts through stops and moves, derived from the records.

use rand::Rng;

use super::{
    FleetAction, FleetReport,
    budget::BudgetChange,
    calls::{HostChange, budget_key, wave_pool_key},
    drain::{Drain, phase_change},
    engine::FleetEngine,
    reconcile::{Facts, Wants},
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

/// Time that a rebooted host gets to return when no wave states one, in
/// milliseconds.
const RETURN_DEADLINE_MS: u64 = 600_000;
/// Time that a drain gets before it is reported when no wave states one, in
/// milliseconds.
const DRAIN_DEADLINE_MS: u64 = 60_000;

impl FleetEngine {
    /// Takes one step of a host.
    pub(super) fn step(
        &mut self,
        now: ClockReading,
        document: &Document,
        term: Term,
        facts: &Facts,
        wants: &mut Wants,
        actions: &mut Vec<FleetAction>,
    ) {
        match facts.record.phase {
            HostPhase::Active => self.step_active(now, document, term, facts, wants, actions),
            HostPhase::Draining => self.step_draining(now, document, facts, wants, actions),
            HostPhase::Moving => self.step_moving(now, document, facts, wants, actions),
            HostPhase::Rebooting => {
                let change = match facts.operation() {
                    Some(operation) => {
                        self.reboot(now, &facts.record, facts.version, operation, actions)
                    }
                    // Without any record of the stop, the host is only checked.
                    None => Some(phase_change(HostPhase::Rebooting, HostPhase::Returning)),
                };
                if let Some(change) = change {
                    wants.host(facts.host(), change);
                }
            }
            HostPhase::Returning => self.step_returning(now, document, facts, wants, actions),
            HostPhase::Failed => self.step_failed(now, document, facts, wants, actions),
        }
    }

    fn step_active(
        &mut self,
        now: ClockReading,
        document: &Document,
        term: Term,
        facts: &Facts,
        wants: &mut Wants,
        actions: &mut Vec<FleetAction>,
    ) {
        self.forget_progress(facts.host());
        self.resolve_report(&format!("drain/{}", facts.host()));
        self.resolve_report(&format!("return/{}", facts.host()));
        if self.is_suspect(facts.host()) && self.is_lost(now, &facts.record, facts.version, actions)
        {
            if facts.is_reserved() {
                wants.host(facts.host(), phase_change(HostPhase::Active, HostPhase::Failed));
            } else {
                self.reserve_failure(facts, wants);
            }
            return;
        }
        if self.is_relocated(&facts.record) && facts.stop.is_none() {
            wants.host(facts.host(), HostChange::Relocate);
            return;
        }
        self.recover_in_waves(facts, wants);
        // A write that is on its way may end the reservation that the known
        // record still shows; its reply brings about the next step.
        if self.budgets_busy(&facts.record.pool) {
            return;
        }
        match (&facts.stop, facts.next_pool().cloned()) {
            (Some((wave, stop)), _) => self.begin_stop(facts, wave, stop, term, wants),
            (None, Some(next_pool)) => {
                self.begin_move(now, document, facts, next_pool, term, wants);
            }
            (None, None) => self.release(facts, term, wants),
        }
    }

    /// Tells whether a write of a budget of the pool is on its way.
    fn budgets_busy(&self, pool: &PoolId) -> bool {
        let mut services = self.services.get(pool).into_iter().flatten();
        services.any(|service| self.calls.is_busy(&budget_key(service)))
    }

    /// Reserves the missing budgets of a planned stop, then drains; gives the
    /// stop up if a budget does not allow it.
    fn begin_stop(
        &mut self,
        facts: &Facts,
        wave: &WaveId,
        stop: &WaveStop,
        term: Term,
        wants: &mut Wants,
    ) {
        if facts.is_reserved() && self.budgets_hold(&facts.record.pool) {
            wants.host(facts.host(), phase_change(HostPhase::Active, HostPhase::Draining));
        } else if !facts.is_reserved() && self.budgets_allow(facts) {
            for service in facts.unreserved() {
                let change = BudgetChange::Reserve {
                    host: facts.host().clone(),
                    rack: facts.rack(),
                    kind: ReservationKind::Planned,
                    operation: stop.operation,
                    wave: Some(wave.clone()),
                    next_pool: None,
                };
                wants.budget(service, change);
            }
        } else if facts.reservation().is_some() {
            self.release(facts, term, wants);
        } else {
            wants.wave(wave, WavePoolChange::Withdraw { host: facts.host().clone() });
        }
    }

    /// Tells whether every budget that does not count the host as stopped
    /// allows it to be stopped.
    pub(super) fn budgets_allow(&self, facts: &Facts) -> bool {
        let rack = facts.rack();
        facts.unreserved().all(|service| {
            let (Some(budget), Some(known)) = (self.budget(service), self.available.get(service))
            else {
                return false;
            };
            let stopped = budget.reservations.len();
            self.budget_limits(service).allows_stop(&known.counts, stopped, &rack)
        })
    }

    /// Tells whether the budgets of the pool's services hold with all present
    /// reservations; a failure after a reservation can break them.
    pub(super) fn budgets_hold(&self, pool: &PoolId) -> bool {
        self.services.get(pool).into_iter().flatten().all(|service| {
            self.available
                .get(service)
                .is_some_and(|known| self.budget_limits(service).holds(&known.counts))
        })
    }

    /// Ends the reservations of a host that runs. The host's record must carry
    /// this controller's term first: a delayed write of a predecessor could
    /// otherwise drain the host after its reservation is gone.
    pub(super) fn release(&mut self, facts: &Facts, term: Term, wants: &mut Wants) {
        if facts.reservation().is_none() {
            return;
        }
        if facts.record.term != term {
            wants.host(facts.host(), HostChange::Fence);
            return;
        }
        for (service, known) in &facts.reserved {
            if known.is_some() {
                let host = facts.host().clone();
                wants.budget(service, BudgetChange::Release { host, departed: None });
            }
        }
    }

    fn reserve_failure(&mut self, facts: &Facts, wants: &mut Wants) {
        let operation = facts.operation().unwrap_or_else(|| OperationId(self.rng.random()));
        for service in facts.unreserved() {
            let change = BudgetChange::Reserve {
                host: facts.host().clone(),
                rack: facts.rack(),
                kind: ReservationKind::Failure,
                operation,
                wave: None,
                next_pool: None,
            };
            wants.budget(service, change);
        }
    }

    fn recover_in_waves(&mut self, facts: &Facts, wants: &mut Wants) {
        let pool = &facts.record.pool;
        for wave in self.pool_waves.get(pool).into_iter().flatten() {
            let failed = self
                .wave_progress(wave, pool)
                .is_some_and(|progress| progress.failed.contains_key(facts.host()));
            if failed {
                wants.wave(wave, WavePoolChange::Recovered { host: facts.host().clone() });
            }
        }
    }

    fn step_draining(
        &mut self,
        now: ClockReading,
        document: &Document,
        facts: &Facts,
        wants: &mut Wants,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.is_suspect(facts.host()) && self.is_lost(now, &facts.record, facts.version, actions)
        {
            wants.host(facts.host(), phase_change(HostPhase::Draining, HostPhase::Failed));
            return;
        }
        let Some((wave, _)) = facts.stop.clone() else {
            wants.host(facts.host(), phase_change(HostPhase::Draining, HostPhase::Active));
            return;
        };
        // A service that was placed on the pool meanwhile has not granted the
        // stop, and a failure since may need the host back.
        if !facts.is_reserved() || !self.budgets_hold(&facts.record.pool) {
            wants.wave(&wave, WavePoolChange::Withdraw { host: facts.host().clone() });
            return;
        }
        match self.drain(now, &facts.record, facts.version, actions) {
            // A withdrawal may be on its way.
            Drain::Complete if self.calls.is_busy(&wave_pool_key(&wave, &facts.record.pool)) => {}
            Drain::Complete => {
                wants.host(facts.host(), phase_change(HostPhase::Draining, HostPhase::Rebooting));
            }
            Drain::Waits { seats } => {
                let deadline_ms = document
                    .waves
                    .get(&wave)
                    .map_or(DRAIN_DEADLINE_MS, |section| section.drain_deadline.as_ms());
                if self.drain_overdue(now, facts, deadline_ms, seats, actions) {
                    wants.wave(&wave, WavePoolChange::Withdraw { host: facts.host().clone() });
                }
            }
        }
    }

    /// Reports an overdue drain; returns whether it is hopeless, since the
    /// data centre is cut off.
    fn drain_overdue(
        &mut self,
        now: ClockReading,
        facts: &Facts,
        deadline_ms: u64,
        seats: u32,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        if now.unix_ms < facts.record.phase_since_unix_ms.saturating_add(deadline_ms) {
            return false;
        }
        self.report_drain(&facts.record, seats, actions);
        !self.in_contact(now, &facts.record.data_centre)
    }

    fn step_moving(
        &mut self,
        now: ClockReading,
        document: &Document,
        facts: &Facts,
        wants: &mut Wants,
        actions: &mut Vec<FleetAction>,
    ) {
        let lost = self.is_suspect(facts.host())
            && self.is_lost(now, &facts.record, facts.version, actions);
        if lost {
            wants.host(facts.host(), phase_change(HostPhase::Moving, HostPhase::Failed));
            return;
        }
        let next_pool = facts.record.next_pool.as_ref();
        let possible = next_pool.is_some_and(|next| document.pools.contains_key(next))
            && facts.is_reserved()
            && self.budgets_hold(&facts.record.pool);
        if !possible {
            wants.host(facts.host(), phase_change(HostPhase::Moving, HostPhase::Active));
            return;
        }
        match self.drain(now, &facts.record, facts.version, actions) {
            Drain::Complete => wants.host(facts.host(), HostChange::Transfer),
            Drain::Waits { seats } => {
                if self.drain_overdue(now, facts, DRAIN_DEADLINE_MS, seats, actions) {
                    wants.host(facts.host(), phase_change(HostPhase::Moving, HostPhase::Active));
                }
            }
        }
    }

    fn step_returning(
        &mut self,
        now: ClockReading,
        document: &Document,
        facts: &Facts,
        wants: &mut Wants,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.check_return(now, &facts.record, facts.version, actions) {
            match &facts.stop {
                // The wave counts the host before it becomes active, so an
                // active host in progress has not been rebooted yet.
                Some((wave, _)) => {
                    wants.wave(wave, WavePoolChange::Done { host: facts.host().clone() });
                }
                None => {
                    wants.host(facts.host(), phase_change(HostPhase::Returning, HostPhase::Active))
                }
            }
            return;
        }
        let deadline_ms = facts
            .stop
            .as_ref()
            .and_then(|(wave, _)| document.waves.get(wave))
            .map_or(RETURN_DEADLINE_MS, |section| section.return_deadline.as_ms());
        if now.unix_ms >= facts.record.phase_since_unix_ms.saturating_add(deadline_ms) {
            let report = FleetReport::NotReturned { host: facts.host().clone() };
            self.report(format!("return/{}", facts.host()), report, actions);
            wants.host(facts.host(), phase_change(HostPhase::Returning, HostPhase::Failed));
        }
    }

    /// Counts a failed host in every budget and wave, and checks whether it
    /// runs again.
    fn step_failed(
        &mut self,
        now: ClockReading,
        document: &Document,
        facts: &Facts,
        wants: &mut Wants,
        actions: &mut Vec<FleetAction>,
    ) {
        self.health.remove(facts.host());
        if !facts.is_reserved() {
            self.reserve_failure(facts, wants);
        }
        self.fail_in_waves(document, facts, wants);
        let listed = self.view.listed_state(facts.host());
        let gone = matches!(listed, Some(None | Some(ListedState::Leaving)));
        if !gone && self.check_return(now, &facts.record, facts.version, actions) {
            wants.host(facts.host(), phase_change(HostPhase::Failed, HostPhase::Active));
        }
    }

    fn fail_in_waves(&mut self, document: &Document, facts: &Facts, wants: &mut Wants) {
        let pool = &facts.record.pool;
        for wave in self.pool_waves.get(pool).into_iter().flatten() {
            let Some(progress) = self.wave_progress(wave, pool) else {
                continue;
            };
            let planned = progress.in_progress.contains_key(facts.host());
            let counted = progress.failed.contains_key(facts.host());
            if document.waves.contains_key(wave) && !counted {
                let host = facts.host().clone();
                wants.wave(wave, WavePoolChange::Failed { host, planned });
            }
        }
    }
}
