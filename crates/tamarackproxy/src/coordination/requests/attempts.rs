//! Handling of ended attempts and forwards: answers, retries and freed slots.

use super::{
    AttemptResult, ForwardResult, RequestEngine, RequestsAction,
    keys::{AttemptKey, RequestKey, ServiceKey, TargetKey},
    retry::ATTEMPTS_MAX,
    slots::SlotSource,
    state::{Attempt, Stage},
    timers::Timer,
};
use crate::{
    protocol::caller::Refusal,
    state::ids::{DataCentreId, RequestId},
};

/// Lowest HTTP status that counts as a failure of the target.
const SERVER_ERROR_STATUS: u16 = 500;

impl RequestEngine {
    pub(super) fn attempt_ended(&mut self, id: RequestId, number: u32, result: AttemptResult) {
        let Some(key) = self.running(id, number) else {
            self.abandoned_ended(id, number, &result);
            return;
        };
        let Some(attempt) = self.attempts.get(key) else { return };
        let Some(request) = attempt.request else { return };
        let target = attempt.target;
        let service = self.requests[request].service;
        self.record_result(key, &result);
        match result {
            AttemptResult::Answered { leaving, .. } => {
                self.handle_leaving_signal(target, leaving);
                self.remove_request(request);
                self.counters.answered += 1;
                self.actions.push(RequestsAction::Answer { request: id, attempt: Some(number) });
                self.finish(key);
            }
            AttemptResult::RefusedBeforeStart { leaving } => {
                self.handle_leaving_signal(target, leaving);
                self.finish(key);
                self.retry_after_not_run(request, target);
            }
            AttemptResult::NotSent => {
                self.finish(key);
                self.retry_after_not_run(request, target);
            }
            AttemptResult::Lost => {
                self.abandon(key);
                self.retry_after_possible_run(request, target, Refusal::ResponseLost);
            }
            AttemptResult::TimedOut => {
                self.abandon(key);
                self.retry_after_possible_run(request, target, Refusal::TargetTimeout);
            }
        }
        self.dispatch_waiting(service);
    }

    fn running(&self, id: RequestId, number: u32) -> Option<AttemptKey> {
        let request = &self.requests[*self.request_keys.get(&id)?];
        match request.stage {
            Stage::Running(key) if self.attempts.get(key)?.number == number => Some(key),
            _ => None,
        }
    }

    /// Handles the end of an abandoned attempt. Its slot is freed if the target has
    /// certainly finished it or never started it.
    fn abandoned_ended(&mut self, id: RequestId, number: u32, result: &AttemptResult) {
        let Some(&key) = self.abandoned.get(&(id, number)) else { return };
        let target = self.attempts[key].target;
        match *result {
            AttemptResult::Answered { leaving, .. }
            | AttemptResult::RefusedBeforeStart { leaving } => {
                self.handle_leaving_signal(target, leaving)
            }
            AttemptResult::NotSent => {}
            AttemptResult::Lost | AttemptResult::TimedOut => return,
        }
        let service = self.targets[target].service;
        self.finish(key);
        self.dispatch_waiting(service);
    }

    fn handle_leaving_signal(&mut self, target: TargetKey, leaving: bool) {
        if leaving {
            let host = self.targets[target].id.host.clone();
            self.host_leaving(&host, true);
        }
    }

    /// Updates the target's health and the service time estimates.
    fn record_result(&mut self, key: AttemptKey, result: &AttemptResult) {
        let attempt = &self.attempts[key];
        let (now_ms, target_key) = (self.now_ms, attempt.target);
        let took_ms = now_ms.saturating_sub(attempt.started_ms) as f64;
        let service_key = self.targets[target_key].service;
        let service = &mut self.services[service_key];
        let failed = match *result {
            AttemptResult::Answered { status, .. } => status >= SERVER_ERROR_STATUS,
            AttemptResult::RefusedBeforeStart { leaving } => !leaving,
            _ => true,
        };
        if !failed {
            service.class_time[attempt.class].add(took_ms);
            service.service_time.add(took_ms);
        }
        service.errors.add(now_ms, failed);
        let (errors, baseline_ms) = (service.errors, service.baseline_ms());
        let may_eject = self.may_eject(service_key);
        let health = &mut self.targets[target_key].health;
        let ejected_until = health.ejected_until_ms();
        health.add_result(now_ms, failed, errors, may_eject);
        if !failed {
            health.add_latency(now_ms, took_ms, baseline_ms);
        } else if *result == AttemptResult::TimedOut {
            health.add_timeout();
        }
        let until = health.ejected_until_ms();
        if let Some(until_ms) = until.filter(|_| until != ejected_until) {
            self.counters.ejections += 1;
            self.timers.add(until_ms, Timer::Probe(target_key));
        }
    }

    /// Returns whether one more target may be ejected; at most half of them may be
    /// out of rotation.
    fn may_eject(&self, key: ServiceKey) -> bool {
        let targets = &self.services[key].targets;
        let out = targets
            .iter()
            .filter(|&&target| self.targets[target].health.is_out_of_rotation())
            .count();
        2 * (out + 1) <= targets.len()
    }

    /// Frees the slot of an attempt that the target has finished, and charges
    /// the caller for the time that it was occupied.
    fn finish(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.remove(key) {
            self.abandoned.remove(&(attempt.id, attempt.number));
            self.free_slot(&attempt);
        }
    }

    fn free_slot(&mut self, attempt: &Attempt) {
        let target = &mut self.targets[attempt.target];
        target.slots.free(&mut self.received_loans, attempt.source);
        let service = &mut self.services[target.service];
        service.in_flight = service.in_flight.saturating_sub(1);
        let held_us = self.now_ms.saturating_sub(attempt.started_ms) as f64 * 1_000.0;
        let difference_us = (held_us - attempt.charged_us) as i64;
        service.queue.correct_charge(attempt.class, attempt.caller, difference_us);
        if let SlotSource::Loan(loan) = attempt.source {
            self.loan_slot_freed(loan);
        }
    }

    /// Detaches an attempt from its request. Its slot stays occupied until the
    /// deadline and grace period have passed, since the target may still run it.
    pub(super) fn abandon(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.request = None;
            self.abandoned.insert((attempt.id, attempt.number), key);
        }
    }

    /// Handles the end of an attempt's deadline and grace period.
    pub(super) fn attempt_expired(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let (id, number, request, target) =
            (attempt.id, attempt.number, attempt.request, attempt.target);
        let service = self.targets[target].service;
        if let Some(request) = request {
            // The transport has not reported the end of the attempt in time.
            self.record_result(key, &AttemptResult::TimedOut);
            self.actions.push(RequestsAction::AbortAttempt { request: id, attempt: number });
            self.finish(key);
            self.retry_after_possible_run(request, target, Refusal::TargetTimeout);
        } else {
            self.finish(key);
        }
        self.dispatch_waiting(service);
    }

    /// Retries, or ends as not run, a request whose attempt did not start at the
    /// target.
    fn retry_after_not_run(&mut self, key: RequestKey, target: TargetKey) {
        if !self.retry(key, target) {
            self.end_not_started(key, Refusal::NoTarget);
        }
    }

    /// Retries a repeatable request whose attempt may have run, and otherwise ends it
    /// with an unknown outcome.
    fn retry_after_possible_run(&mut self, key: RequestKey, target: TargetKey, cause: Refusal) {
        let request = &mut self.requests[key];
        request.may_have_run = Some(cause.clone());
        if !request.meta.repeatable || !self.retry(key, target) {
            self.end_unknown(key, cause);
        }
    }

    /// Queues a request again, to be sent to a target other than `avoid` if
    /// possible. Returns `false` if it must not be retried.
    fn retry(&mut self, key: RequestKey, avoid: TargetKey) -> bool {
        self.requests[key].avoid = Some(avoid);
        self.requeue(key)
    }

    /// Queues a request again within the retry budget; returns `false` if it must
    /// not be retried. A request that another data centre forwarded is not retried
    /// here, since its first entry host does that.
    fn requeue(&mut self, key: RequestKey) -> bool {
        let request = &self.requests[key];
        let service = &mut self.services[request.service];
        let expected = service.expected_ms(request.class).unwrap_or(0.0);
        let in_time = request.meta.deadline_at_ms as f64 >= self.now_ms as f64 + expected.max(1.0);
        if self.stopping
            || request.meta.forwarded
            || request.attempts >= ATTEMPTS_MAX
            || !in_time
            || !service.retries.spend(self.now_ms)
        {
            return false;
        }
        self.counters.retries += 1;
        self.timers.add(request.meta.deadline_at_ms, Timer::Deadline(key));
        self.enqueue(key, true);
        true
    }

    pub(super) fn forward_ended(&mut self, id: RequestId, result: ForwardResult) {
        let Some(&key) = self.request_keys.get(&id) else { return };
        let request = &mut self.requests[key];
        let Stage::Forwarded(data_centre) = request.stage.clone() else { return };
        let service = request.service;
        self.forward_finished(service, &data_centre);
        match result {
            ForwardResult::Answered { .. } => {
                self.remove_request(key);
                self.counters.answered += 1;
                self.actions.push(RequestsAction::Answer { request: id, attempt: None });
            }
            ForwardResult::NotRun(refusal) => {
                if !self.requeue(key) {
                    self.end_not_started(key, refusal);
                }
            }
            ForwardResult::Unknown(refusal) => {
                let request = &mut self.requests[key];
                request.may_have_run = Some(refusal.clone());
                if !request.meta.repeatable || !self.requeue(key) {
                    self.end_unknown(key, refusal);
                }
            }
        }
        self.dispatch_waiting(service);
    }

    /// Ends a request whose forward received no reply in time.
    pub(super) fn forward_lost(&mut self, key: RequestKey) {
        let request = &self.requests[key];
        let Stage::Forwarded(data_centre) = request.stage.clone() else { return };
        let service = request.service;
        self.forward_finished(service, &data_centre);
        self.end_unknown(key, Refusal::TargetTimeout);
    }

    pub(super) fn forward_finished(&mut self, service: ServiceKey, data_centre: &DataCentreId) {
        let remotes = &mut self.services[service].remotes;
        if let Some(remote) = remotes.iter_mut().find(|r| r.data_centre == *data_centre) {
            remote.outstanding = remote.outstanding.saturating_sub(1);
        }
    }
}
