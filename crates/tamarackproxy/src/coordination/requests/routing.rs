//! Routing of waiting requests to a target or another data centre, and dispatch.

use rand::Rng;

use super::{
    RequestEngine, RequestsAction, ServiceLoad,
    keys::{RequestKey, ServiceKey, TargetKey},
    slots::{ATTEMPT_GRACE_MS, ATTEMPT_MAX_MS, SlotSource},
    state::{Attempt, Capacity, Remote, Stage},
    timers::Timer,
};
use crate::{
    protocol::caller::Refusal,
    state::ids::{DataCentreId, EntryId},
};

/// Round-trip cost of a forward, in milliseconds: 1.4 ms each way.
const FORWARD_COST_MS: f64 = 2.8;
/// Maximum age of another data centre's reported load, in milliseconds: three
/// heartbeats.
const REMOTE_LOAD_MAX_AGE_MS: u64 = 3_000;
/// How long a request waits for slots from peers before it is forwarded, in
/// milliseconds: longer than a message round trip within the data centre.
pub(super) const FORWARD_DELAY_MS: u64 = 3;
/// Maximum age of the cached count of usable slots, in milliseconds.
const CAPACITY_MAX_AGE_MS: u64 = 10;

/// Destination of a request.
enum Route {
    /// A target of this data centre.
    Target { target: TargetKey, source: SlotSource, timeout_ms: u64 },
    /// Another data centre, by its index in `Service::remotes`.
    Remote(usize),
}

impl RequestEngine {
    /// Dispatches waiting requests of a service for as long as there are slots, then
    /// lends idle slots if none is left waiting and otherwise asks peers for some.
    pub(super) fn dispatch_waiting(&mut self, key: ServiceKey) {
        loop {
            let service = &mut self.services[key];
            let costs_us = service.costs_us();
            let Some((entry, waiting)) = service.queue.peek(costs_us) else {
                self.lend_idle(key);
                return;
            };
            let request = waiting.request;
            if self.cannot_meet_deadline(request) {
                self.services[key].queue.remove(entry);
                self.end_not_started(request, Refusal::DeadlineUnreachable);
                continue;
            }
            let Some(route) = self.route(key, request) else { break };
            let service = &mut self.services[key];
            service.queue.serve(entry, costs_us);
            match route {
                Route::Target { target, source, timeout_ms } => {
                    self.dispatch(request, target, source, timeout_ms, costs_us);
                }
                Route::Remote(index) => self.forward(request, index),
            }
        }
        self.borrow(key);
    }

    /// Returns whether a request can no longer meet its deadline. While others wait
    /// for the slot, this includes requests that would probably miss it.
    fn cannot_meet_deadline(&self, key: RequestKey) -> bool {
        let request = &self.requests[key];
        let service = &self.services[request.service];
        let needed_ms = match service.queue.len() > 1 {
            true => service.high_estimate_ms(request.class),
            false => service.expected_ms(request.class).unwrap_or(0.0),
        };
        (request.meta.deadline_at_ms as f64) < self.now_ms as f64 + needed_ms.max(1.0)
    }

    fn route(&mut self, key: ServiceKey, request: RequestKey) -> Option<Route> {
        self.seat?;
        self.local_route(key, request).or_else(|| self.remote_route(key, request))
    }

    /// Chooses the usable target with the lowest utilisation, which includes the new
    /// request and is weighted by the target's slowness; ties are broken at random.
    /// A target at which the request failed is the last choice.
    fn local_route(&mut self, key: ServiceKey, request_key: RequestKey) -> Option<Route> {
        let request = &self.requests[request_key];
        let service = &self.services[key];
        let baseline_ms = service.baseline_ms();
        let wanted_ms = request.meta.deadline_at_ms.saturating_sub(self.now_ms).min(ATTEMPT_MAX_MS);
        let min_ms = service.min_attempt_ms().min(wanted_ms);
        let mut best: Option<(f64, TargetKey, SlotSource)> = None;
        for &target_key in &service.targets {
            let target = &self.targets[target_key];
            let in_flight = target.slots.in_flight;
            if !target.accepts_work
                || !target.health.accepts(self.now_ms, in_flight, request.meta.repeatable)
            {
                continue;
            }
            let limit = target.health.concurrency(target.slots.available(&self.received_loans));
            if in_flight >= limit {
                continue;
            }
            let ends_at_ms = self.now_ms + min_ms + ATTEMPT_GRACE_MS;
            let Some(source) = target.slots.choose(&self.received_loans, ends_at_ms) else {
                continue;
            };
            let mut score = f64::from(in_flight + 1) / f64::from(limit)
                * target.health.slowness(self.now_ms, baseline_ms)
                * self.rng.random_range(1.0..1.01);
            if request.avoid == Some(target_key) {
                score += f64::from(u32::MAX);
            }
            if best.is_none_or(|(other, ..)| score < other) {
                best = Some((score, target_key, source));
            }
        }
        let (_, target, source) = best?;
        let timeout_ms = match source {
            SlotSource::Base => wanted_ms,
            SlotSource::Loan(loan) => {
                let ends_at_ms = self.received_loans[loan].ends_at_ms;
                wanted_ms.min(ends_at_ms.saturating_sub(self.now_ms + ATTEMPT_GRACE_MS))
            }
        };
        Some(Route::Target { target, source, timeout_ms })
    }

    /// Chooses another data centre with idle slots for a request that would wait
    /// here for longer than a forward's round trip.
    fn remote_route(&mut self, key: ServiceKey, request: RequestKey) -> Option<Route> {
        let capacity = self.capacity(key).slots;
        let request = &self.requests[request];
        let wait_for_peers = !self.peers.is_empty() && capacity > 0;
        if request.meta.forwarded
            || request.was_forwarded
            || self.stopping
            || wait_for_peers && self.now_ms < request.arrived_ms + FORWARD_DELAY_MS
        {
            return None;
        }
        let service = &self.services[key];
        let expected = service.expected_ms(request.class).unwrap_or(0.0);
        let remaining_ms = request.meta.deadline_at_ms.saturating_sub(self.now_ms) as f64;
        let next_slot_ms =
            if capacity == 0 { f64::INFINITY } else { expected / f64::from(capacity) };
        let wait_ms = next_slot_ms * f64::from(service.queue.len().max(1));
        if wait_ms < FORWARD_COST_MS || remaining_ms < FORWARD_COST_MS + expected {
            return None;
        }
        let room = |remote: &Remote| {
            let fresh = self.now_ms < remote.received_at_ms + REMOTE_LOAD_MAX_AGE_MS;
            let room = (remote.load.idle_slots + remote.outstanding_at_receipt)
                .saturating_sub(remote.outstanding);
            if fresh { room } else { 0 }
        };
        (0..service.remotes.len())
            .map(|index| (room(&service.remotes[index]), index))
            .max()
            .filter(|&(room, _)| room > 0)
            .map(|(_, index)| Route::Remote(index))
    }

    fn dispatch(
        &mut self,
        key: RequestKey,
        target_key: TargetKey,
        source: SlotSource,
        timeout_ms: u64,
        costs_us: [f64; 3],
    ) {
        let request = &mut self.requests[key];
        let number = request.attempts;
        request.attempts += 1;
        let target = &mut self.targets[target_key];
        target.slots.take(&mut self.received_loans, source);
        let attempt = self.attempts.insert(Attempt {
            id: request.id,
            number,
            request: Some(key),
            target: target_key,
            source,
            started_ms: self.now_ms,
            class: request.class,
            caller: request.caller,
            charged_us: costs_us[request.class],
        });
        request.stage = Stage::Running(attempt);
        let service = &mut self.services[request.service];
        service.in_flight += 1;
        if number == 0 {
            service.retries.earn(self.now_ms);
        }
        self.counters.dispatched += 1;
        self.timers
            .add(self.now_ms + timeout_ms + ATTEMPT_GRACE_MS, Timer::AttemptExpired(attempt));
        let (request, target) = (request.id, target.id.clone());
        let action = RequestsAction::Dispatch { request, attempt: number, target, timeout_ms };
        self.actions.push(action);
    }

    fn forward(&mut self, key: RequestKey, index: usize) {
        let request = &mut self.requests[key];
        let service = &mut self.services[request.service];
        let remote = &mut service.remotes[index];
        remote.outstanding += 1;
        request.stage = Stage::Forwarded(remote.data_centre.clone());
        request.was_forwarded = true;
        if request.attempts == 0 {
            service.retries.earn(self.now_ms);
        }
        request.attempts += 1;
        self.counters.forwarded += 1;
        let deadline_at_ms = request.meta.deadline_at_ms;
        self.timers.add(deadline_at_ms + ATTEMPT_GRACE_MS, Timer::Deadline(key));
        self.actions.push(RequestsAction::Forward {
            request: request.id,
            to: remote.gateway.clone(),
            timeout_ms: deadline_at_ms - self.now_ms,
        });
    }

    /// Returns the slots of a service that this entry host may use now. The count is
    /// cached for `CAPACITY_MAX_AGE_MS`, so that refusals do not each scan all
    /// targets.
    pub(super) fn capacity(&mut self, key: ServiceKey) -> Capacity {
        let service = &self.services[key];
        let counted_at_ms = service.capacity.counted_at_ms;
        if counted_at_ms.is_some_and(|at_ms| self.now_ms < at_ms + CAPACITY_MAX_AGE_MS) {
            return service.capacity;
        }
        let mut capacity = Capacity { counted_at_ms: Some(self.now_ms), ..Capacity::default() };
        for &target in &service.targets {
            let target = &self.targets[target];
            if target.takes_work(self.now_ms) {
                let available = target.slots.available(&self.received_loans);
                capacity.usable_targets += 1;
                capacity.slots += u32::from(target.health.concurrency(available).min(available));
            }
        }
        self.services[key].capacity = capacity;
        capacity
    }

    pub(super) fn remote_load(
        &mut self,
        data_centre: &DataCentreId,
        gateway: &EntryId,
        loads: Vec<ServiceLoad>,
    ) {
        if *data_centre == self.data_centre {
            return;
        }
        for load in loads {
            let key = self.service_key(&load.service);
            let received_at_ms = self.now_ms;
            let remotes = &mut self.services[key].remotes;
            match remotes.iter_mut().find(|remote| remote.data_centre == *data_centre) {
                Some(remote) => {
                    remote.load = load;
                    remote.gateway = gateway.clone();
                    remote.received_at_ms = received_at_ms;
                    remote.outstanding_at_receipt = remote.outstanding;
                }
                None => remotes.push(Remote {
                    data_centre: data_centre.clone(),
                    gateway: gateway.clone(),
                    load,
                    received_at_ms,
                    outstanding: 0,
                    outstanding_at_receipt: 0,
                }),
            }
            if !self.services[key].queue.is_empty() {
                self.dispatch_waiting(key);
            }
        }
    }
}
