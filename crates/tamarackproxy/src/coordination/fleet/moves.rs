//! Moves of hosts between pools.

use std::collections::BTreeMap;

use rand::Rng;

use super::{
    FleetAction, ServiceDemand,
    budget::BudgetChange,
    calls::{HostChange, host_key},
    demand::{BufferPolicy, BufferPolicyKind, LoadSample, MIN_STAY_MS, PoolState, ServiceLoad},
    engine::FleetEngine,
    reconcile::{HostSnapshot, PendingWrites},
    view::{HostView, RackKey},
};
use crate::state::{
    clock::ClockReading,
    document::{Document, PoolSection},
    ids::{HostId, OperationId, PoolId, ServiceId, Term},
    records::{HostPhase, ReservationKind},
};

/// The policy with the best measured results; see docs/decisions/buffer.md.
const POLICY: BufferPolicyKind = BufferPolicyKind::Replay;
/// Interval between plans of a pool's moves, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 10_000;
/// Maximum number of hosts of one pool that move at the same time: the hosts of
/// one rack.
const MAX_CONCURRENT_MOVES: u32 = 4;

impl FleetEngine {
    /// Adds the demand of all data centres to the history of each service.
    pub(super) fn on_demand(&mut self, now: ClockReading, demand: &[ServiceDemand]) {
        let mut sums: BTreeMap<&ServiceId, (LoadSample, u64)> = BTreeMap::new();
        for reported in demand {
            let (sample, weighted_ms) = sums.entry(&reported.service).or_default();
            let requests = reported.in_flight + reported.queued;
            sample.in_flight += reported.in_flight;
            sample.queued += reported.queued;
            sample.service_ms = sample.service_ms.max(reported.service_ms);
            *weighted_ms += u64::from(requests) * u64::from(reported.service_ms);
        }
        let Some(document) = self.document.clone() else {
            return;
        };
        self.histories.retain(|service, _| document.services.contains_key(service));
        for (service, (mut sample, weighted_ms)) in sums {
            let requests = u64::from(sample.in_flight + sample.queued);
            if let Some(mean_ms) = weighted_ms.checked_div(requests) {
                sample.service_ms = mean_ms as u32;
            }
            if document.services.contains_key(service) {
                let history = self.histories.entry(service.clone()).or_default();
                history.push(now.monotonic_ms, sample);
            }
        }
    }

    /// Starts moves of the pool's hosts: the spare pool gives hosts to pools
    /// below their target, and other pools return surplus hosts to it.
    pub(super) fn plan_moves(
        &mut self,
        now: ClockReading,
        document: &Document,
        pool: &PoolId,
        writes: &mut PendingWrites,
        actions: &mut Vec<FleetAction>,
    ) {
        let spare = document.pools.iter().find(|(_, section)| section.spare);
        let (Some((spare, _)), Some(section)) = (spare, document.pools.get(pool)) else {
            return;
        };
        let Some(control) = self.controls.get_mut(pool) else {
            return;
        };
        if self.histories.is_empty() {
            return;
        }
        if now.monotonic_ms < control.next_move_plan_ms {
            let at_ms = control.next_move_plan_ms;
            self.wake_pool(pool, at_ms);
            return;
        }
        control.next_move_plan_ms = now.monotonic_ms + PLAN_INTERVAL_MS;
        self.wake_pool(pool, now.monotonic_ms + PLAN_INTERVAL_MS);
        let mut free_moves = MAX_CONCURRENT_MOVES.saturating_sub(self.moving(pool).count() as u32);
        let mut selected = Vec::new();
        let removable = self.held_hosts(pool).saturating_sub(section.minimum);
        let receivers = if pool == spare {
            self.receivers(now, document, pool)
        } else {
            let surplus = self.held_hosts(pool).saturating_sub(self.target(now, document, pool));
            vec![(spare.clone(), surplus)]
        };
        free_moves = free_moves.min(removable);
        if free_moves > 0 && receivers.iter().any(|(_, wanted)| *wanted > 0) {
            let unresponsive = self.unresponsive_data_centres(now, self.view.hosts_of(pool));
            self.probe_all(now, pool, unresponsive, actions);
        }
        for (receiver, wanted) in receivers {
            for _ in 0..wanted.min(free_moves) {
                let Some(host) = self.movable_host(now, pool, &selected) else {
                    return;
                };
                free_moves -= 1;
                self.reserve_move(pool, &host, &receiver, writes);
                selected.push(host);
            }
        }
    }

    /// Returns the pools below their target with the number of missing hosts,
    /// largest deficit first.
    fn receivers(
        &mut self,
        now: ClockReading,
        document: &Document,
        spare: &PoolId,
    ) -> Vec<(PoolId, u32)> {
        let others: Vec<PoolId> = document
            .pools
            .keys()
            .filter(|pool| *pool != spare && self.services.contains_key(*pool))
            .cloned()
            .collect();
        let mut receivers: Vec<(PoolId, u32)> = Vec::new();
        for pool in others {
            let arriving = self.moving(spare).filter(|next| **next == pool).count() as u32;
            let target = self.target(now, document, &pool);
            let lacking = target.saturating_sub(self.held_hosts(&pool) + arriving);
            if lacking > 0 {
                receivers.push((pool, lacking));
            }
        }
        receivers.sort_by_key(|(_, lacking)| std::cmp::Reverse(*lacking));
        receivers
    }

    /// Returns the destination pool of each of the pool's hosts that is moving
    /// or reserved to move.
    fn moving(&self, pool: &PoolId) -> impl Iterator<Item = &PoolId> {
        self.view.hosts_of(pool).filter_map(|view| {
            let reserved = self.services.get(pool).into_iter().flatten().find_map(|service| {
                self.budget(service)?.reservations.get(&view.record.host)?.next_pool.as_ref()
            });
            view.record.next_pool.as_ref().or(reserved)
        })
    }

    /// Counts the hosts that serve the pool now or will after maintenance.
    fn held_hosts(&self, pool: &PoolId) -> u32 {
        let held =
            |view: &&HostView| !matches!(view.record.phase, HostPhase::Failed | HostPhase::Moving);
        self.view.hosts_of(pool).filter(held).count() as u32
    }

    /// Returns the number of hosts that the pool should have, within the limits
    /// of the document.
    fn target(&mut self, now: ClockReading, document: &Document, pool: &PoolId) -> u32 {
        let hosts = self.held_hosts(pool);
        let Some(section) = document.pools.get(pool) else {
            return hosts;
        };
        let loads: Vec<ServiceLoad<'_>> = self
            .services
            .get(pool)
            .into_iter()
            .flatten()
            .filter_map(|service| {
                let known = document.services.get(service)?;
                Some(ServiceLoad {
                    history: self.histories.get(service)?,
                    slots_per_host: u32::from(known.slots),
                    deadline_ms: known.deadline.as_ms(),
                })
            })
            .collect();
        if loads.is_empty() {
            return hosts;
        }
        let state = PoolState {
            hosts,
            rack_hosts: self.rack_hosts(pool, section),
            size: section.size.values().sum(),
        };
        let policy = self.policies.entry(pool.clone()).or_insert_with(|| BufferPolicy::new(POLICY));
        let target = policy.target(now.monotonic_ms, state, &loads);
        target.clamp(section.minimum.min(section.maximum), section.maximum)
    }

    /// Counts the hosts in the largest racks, as many racks as the buffer must
    /// be able to lose.
    fn rack_hosts(&self, pool: &PoolId, section: &PoolSection) -> u32 {
        let mut racks: BTreeMap<RackKey, u32> = BTreeMap::new();
        for view in self.view.hosts_of(pool) {
            let record = &view.record;
            *racks.entry((record.data_centre.clone(), record.rack.clone())).or_default() += 1;
        }
        let mut counts: Vec<u32> = racks.into_values().collect();
        counts.sort_unstable_by_key(|&count| std::cmp::Reverse(count));
        counts.iter().take(section.buffer_racks as usize).sum()
    }

    /// Returns a host that may leave the pool: one that has been active for the
    /// minimum stay, from the rack with the most instances.
    fn movable_host(
        &self,
        now: ClockReading,
        pool: &PoolId,
        selected: &[HostId],
    ) -> Option<HostId> {
        let headrooms = self.budget_headrooms(pool);
        let rack = |view: &HostView| (view.record.data_centre.clone(), view.record.rack.clone());
        self.view
            .hosts_of(pool)
            .filter(|view| {
                let record = &view.record;
                let stopping = self.services.get(pool).into_iter().flatten().any(|service| {
                    self.budget(service)
                        .is_some_and(|budget| budget.reservations.contains_key(&record.host))
                });
                let in_wave = self.pool_waves.get(pool).into_iter().flatten().any(|wave| {
                    self.wave_progress(wave, pool)
                        .is_some_and(|known| known.in_progress.contains_key(&record.host))
                });
                record.phase == HostPhase::Active
                    && now.unix_ms >= record.phase_since_unix_ms + MIN_STAY_MS
                    && self.is_reachable(now, &record.data_centre)
                    && !stopping
                    && !in_wave
                    && !selected.contains(&record.host)
                    && !self.is_suspect(&record.host)
                    && !self.calls.is_busy(&host_key(&record.host))
                    && headrooms.iter().all(|headroom| headroom.allows_stop(&rack(view)))
            })
            .max_by_key(|view| {
                headrooms.first().map_or(0, |headroom| headroom.instances(&rack(view)))
            })
            .map(|view| view.record.host.clone())
    }

    /// Reserves the move in every budget of the pool. A pool without services
    /// has no budgets, so its host starts to move immediately.
    fn reserve_move(
        &mut self,
        pool: &PoolId,
        host: &HostId,
        next_pool: &PoolId,
        writes: &mut PendingWrites,
    ) {
        let Some(view) = self.view.host(host) else {
            return;
        };
        let rack = (view.record.data_centre.clone(), view.record.rack.clone());
        let operation = OperationId(self.rng.random());
        self.counts.moves += 1;
        let services = self.services.get(pool).cloned().unwrap_or_default();
        if services.is_empty() {
            let change = HostChange::Phase {
                from: HostPhase::Active,
                to: HostPhase::Moving,
                next_pool: Some(next_pool.clone()),
            };
            writes.host(host, change);
        }
        for service in services {
            let change = BudgetChange::Reserve {
                host: host.clone(),
                rack: rack.clone(),
                kind: ReservationKind::Move,
                operation,
                wave: None,
                next_pool: Some(next_pool.clone()),
            };
            writes.budget(&service, change);
        }
    }

    /// Reserves the move in the remaining budgets, then sets the host to drain;
    /// cancels the move if a budget does not allow it or the data centre is
    /// unreachable.
    pub(super) fn advance_move(
        &mut self,
        now: ClockReading,
        document: &Document,
        snapshot: &HostSnapshot,
        next_pool: PoolId,
        term: Term,
        writes: &mut PendingWrites,
    ) {
        let possible = document.pools.contains_key(&next_pool)
            && next_pool != snapshot.record.pool
            && self.is_reachable(now, &snapshot.record.data_centre);
        if possible && snapshot.is_fully_reserved() && self.budgets_are_met(&snapshot.record.pool) {
            let change = HostChange::Phase {
                from: HostPhase::Active,
                to: HostPhase::Moving,
                next_pool: Some(next_pool),
            };
            writes.host(snapshot.host(), change);
        } else if let (true, true, Some(operation)) = (
            possible && !snapshot.is_fully_reserved(),
            self.budgets_allow_stop(snapshot),
            snapshot.operation(),
        ) {
            for service in snapshot.unreserved() {
                let change = BudgetChange::Reserve {
                    host: snapshot.host().clone(),
                    rack: snapshot.rack(),
                    kind: ReservationKind::Move,
                    operation,
                    wave: None,
                    next_pool: Some(next_pool.clone()),
                };
                writes.budget(service, change);
            }
        } else {
            self.release(snapshot, term, writes);
        }
    }
}
