//! Moves of hosts between pools.

use std::collections::BTreeMap;

use rand::Rng;

use super::{
    FleetAction, ServiceDemand,
    budget::BudgetChange,
    calls::{HostChange, host_key},
    demand::{BufferPolicy, BufferPolicyKind, LoadSample, PoolState, STAY_MS, ServiceLoad},
    engine::FleetEngine,
    reconcile::{Facts, Wants},
    view::{HostView, RackKey},
};
use crate::state::{
    clock::ClockReading,
    document::{Document, PoolSection},
    ids::{HostId, OperationId, PoolId, ServiceId, Term},
    records::{HostPhase, ReservationKind},
};

/// Policy that measures best; see docs/decisions/buffer.md.
const POLICY: BufferPolicyKind = BufferPolicyKind::Replay;
/// Interval between plans of a pool's moves, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 10_000;
/// Hosts of one pool that move at once at most: the hosts of a rack.
const MOVES_AT_ONCE: u32 = 4;

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

    /// Starts moves of the pool's hosts: the spare pool lends to pools that
    /// hold too few, and another pool returns what it holds too many of.
    pub(super) fn plan_moves(
        &mut self,
        now: ClockReading,
        document: &Document,
        pool: &PoolId,
        wants: &mut Wants,
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
        if now.monotonic_ms < control.moves_ms {
            let at_ms = control.moves_ms;
            self.wake_pool(pool, at_ms);
            return;
        }
        control.moves_ms = now.monotonic_ms + PLAN_INTERVAL_MS;
        self.wake_pool(pool, now.monotonic_ms + PLAN_INTERVAL_MS);
        let mut room = MOVES_AT_ONCE.saturating_sub(self.moving(pool).count() as u32);
        let mut taken = Vec::new();
        let lendable = self.held_hosts(pool).saturating_sub(section.minimum);
        let receivers = if pool == spare {
            self.receivers(now, document, pool)
        } else {
            let surplus = self.held_hosts(pool).saturating_sub(self.target(now, document, pool));
            vec![(spare.clone(), surplus)]
        };
        room = room.min(lendable);
        if room > 0 && receivers.iter().any(|(_, wanted)| *wanted > 0) {
            let silent = self.silent_data_centres(now, self.view.hosts_of(pool));
            self.probe_all(now, pool, silent, actions);
        }
        for (receiver, wanted) in receivers {
            for _ in 0..wanted.min(room) {
                let Some(host) = self.movable(now, pool, &taken) else {
                    return;
                };
                room -= 1;
                self.start_move(pool, &host, &receiver, wants);
                taken.push(host);
            }
        }
    }

    /// Returns the pools that hold too few hosts and how many they lack, the
    /// neediest first.
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
            let coming = self.moving(spare).filter(|next| **next == pool).count() as u32;
            let target = self.target(now, document, &pool);
            let lacking = target.saturating_sub(self.held_hosts(&pool) + coming);
            if lacking > 0 {
                receivers.push((pool, lacking));
            }
        }
        receivers.sort_by_key(|(_, lacking)| std::cmp::Reverse(*lacking));
        receivers
    }

    /// Returns the target pools of the pool's hosts that are about to move.
    fn moving(&self, pool: &PoolId) -> impl Iterator<Item = &PoolId> {
        self.view.hosts_of(pool).filter_map(|view| {
            let reserved = self.services.get(pool).into_iter().flatten().find_map(|service| {
                self.budget(service)?.reservations.get(&view.record.host)?.next_pool.as_ref()
            });
            view.record.next_pool.as_ref().or(reserved)
        })
    }

    /// Counts the hosts that serve the pool, or will after maintenance.
    fn held_hosts(&self, pool: &PoolId) -> u32 {
        let held =
            |view: &&HostView| !matches!(view.record.phase, HostPhase::Failed | HostPhase::Moving);
        self.view.hosts_of(pool).filter(held).count() as u32
    }

    /// Returns how many hosts the pool should hold, within the limits of the
    /// document.
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

    /// Counts the hosts in the largest racks whose loss the buffer covers.
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

    /// Returns a host that may leave the pool: one that has stayed for the
    /// minimum time, from the rack with the most instances.
    fn movable(&self, now: ClockReading, pool: &PoolId, taken: &[HostId]) -> Option<HostId> {
        let rooms = self.rooms(pool);
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
                    && now.unix_ms >= record.phase_since_unix_ms + STAY_MS
                    && self.in_contact(now, &record.data_centre)
                    && !stopping
                    && !in_wave
                    && !taken.contains(&record.host)
                    && !self.is_suspect(&record.host)
                    && !self.calls.is_busy(&host_key(&record.host))
                    && rooms.iter().all(|room| room.allows(&rack(view)))
            })
            .max_by_key(|view| rooms.first().map_or(0, |room| room.instances(&rack(view))))
            .map(|view| view.record.host.clone())
    }

    /// Reserves the move in every budget of the pool; a pool without services
    /// has none to reserve.
    fn start_move(&mut self, pool: &PoolId, host: &HostId, next_pool: &PoolId, wants: &mut Wants) {
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
            wants.host(host, change);
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
            wants.budget(&service, change);
        }
    }

    /// Reserves the missing budgets of a move, then sets the host to drain;
    /// gives the move up if a budget does not allow it or the data centre is
    /// cut off.
    pub(super) fn begin_move(
        &mut self,
        now: ClockReading,
        document: &Document,
        facts: &Facts,
        next_pool: PoolId,
        term: Term,
        wants: &mut Wants,
    ) {
        let possible = document.pools.contains_key(&next_pool)
            && next_pool != facts.record.pool
            && self.in_contact(now, &facts.record.data_centre);
        if possible && facts.is_reserved() && self.budgets_hold(&facts.record.pool) {
            let change = HostChange::Phase {
                from: HostPhase::Active,
                to: HostPhase::Moving,
                next_pool: Some(next_pool),
            };
            wants.host(facts.host(), change);
        } else if let (true, true, Some(operation)) =
            (possible && !facts.is_reserved(), self.budgets_allow(facts), facts.operation())
        {
            for service in facts.unreserved() {
                let change = BudgetChange::Reserve {
                    host: facts.host().clone(),
                    rack: facts.rack(),
                    kind: ReservationKind::Move,
                    operation,
                    wave: None,
                    next_pool: Some(next_pool.clone()),
                };
                wants.budget(service, change);
            }
        } else {
            self.release(facts, term, wants);
        }
    }
}
