//! Admission and refusal of requests, deadlines, cancellation and stopping.

use super::{
    RequestEngine, RequestMeta, RequestsAction,
    keys::{CallerKey, RequestKey, ServiceKey},
    queue::{Entry, class_index},
    routing::FORWARD_DELAY_MS,
    state::{Request, Stage},
    timers::Timer,
};
use crate::{protocol::caller::Refusal, state::ids::RequestId};

/// Minimum and maximum `Retry-After` of a refusal, in milliseconds.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 30_000);
/// Maximum expected wait as a share of the time left until the deadline. More
/// urgent or less busy callers that arrive later lengthen the wait, and a request
/// that misses its deadline after waiting has taken up queue space for nothing.
const WAIT_SHARE_MAX: f64 = 0.5;
/// `Retry-After` where the wait cannot be estimated, in milliseconds: about the
/// time that a seat's takeover or a target's restart takes.
const RETRY_AFTER_UNKNOWN_MS: u64 = 1_000;

impl RequestEngine {
    /// Admits or refuses a request. A request with an id that is in use is ignored,
    /// because a refusal would end the other request.
    pub(super) fn submit(&mut self, id: RequestId, meta: RequestMeta) {
        // Ids usually increase, in which case no look-up is needed.
        if id <= self.highest_id && self.request_keys.contains_key(&id) {
            return;
        }
        self.highest_id = self.highest_id.max(id);
        match self.admit(&meta) {
            Ok((service, caller)) => self.enqueue_admitted(id, meta, service, caller),
            Err((refusal, retry_after_ms)) => self.refuse(id, refusal, retry_after_ms),
        }
    }

    /// Decides whether to admit a request, without storing it.
    fn admit(
        &mut self,
        meta: &RequestMeta,
    ) -> Result<(ServiceKey, CallerKey), (Refusal, Option<u64>)> {
        let service = self.service_keys.get(&meta.service).copied();
        let limits = service.and_then(|key| self.services[key].limits.as_ref());
        let (Some(service), Some(limits)) = (service, limits) else {
            return Err((Refusal::UnknownService, None));
        };
        let queue_limit = limits.queue_limit;
        if self.stopping {
            return Err((Refusal::Stopping, Some(RETRY_AFTER_RANGE_MS.0)));
        }
        if self.seat.is_none() {
            return Err((Refusal::NotReady, Some(RETRY_AFTER_UNKNOWN_MS)));
        }
        if meta.deadline_at_ms <= self.now_ms {
            return Err((Refusal::DeadlinePassed, None));
        }
        let caller = self.caller_key(&meta.caller);
        if !meta.forwarded {
            let taken = self.callers[caller].take(self.now_ms);
            taken.map_err(|wait_ms| (Refusal::ShareExceeded, Some(clamp_retry_after(wait_ms))))?;
        }
        let class = class_index(meta.urgency);
        self.check_deadline(service, caller, class, meta.deadline_at_ms)?;
        if self.services[service].queue.len() >= queue_limit {
            self.make_room(service, caller, class, queue_limit)?;
        }
        Ok((service, caller))
    }

    /// Refuses a request that is not expected to end before its deadline.
    fn check_deadline(
        &mut self,
        key: ServiceKey,
        caller: CallerKey,
        class: usize,
        deadline_at_ms: u64,
    ) -> Result<(), (Refusal, Option<u64>)> {
        let wait_ms = self.expected_wait_ms(key, caller, class);
        let service = &self.services[key];
        let (expected, needed_ms) = match wait_ms > 0.0 {
            true => (wait_ms / WAIT_SHARE_MAX, service.high_estimate_ms(class)),
            false => (0.0, service.expected_ms(class).unwrap_or(0.0)),
        };
        let remaining_ms = (deadline_at_ms - self.now_ms) as f64;
        if expected + needed_ms <= remaining_ms {
            return Ok(());
        }
        if wait_ms.is_infinite() {
            return Err((Refusal::NoTarget, Some(RETRY_AFTER_UNKNOWN_MS)));
        }
        let excess_ms = (expected + needed_ms - remaining_ms) as u64;
        Err((Refusal::DeadlineUnreachable, Some(clamp_retry_after(excess_ms))))
    }

    /// Estimates how long a new request would wait, in milliseconds. The wait is
    /// infinite if there is no usable target here and no other data centre to
    /// forward to.
    pub(super) fn expected_wait_ms(
        &mut self,
        key: ServiceKey,
        caller: CallerKey,
        class: usize,
    ) -> f64 {
        let capacity = self.capacity(key);
        let weight = self.callers[caller].weight;
        let service = &self.services[key];
        if capacity.slots == 0 {
            // Peers may return or lend slots, or another data centre may have some.
            let may_get_slots = capacity.usable_targets > 0 || !service.remotes.is_empty();
            return if may_get_slots { 0.0 } else { f64::INFINITY };
        }
        let ahead = service.queue.requests_ahead(class, caller, weight);
        if ahead == 0.0 {
            return 0.0;
        }
        let expected = service.expected_ms(class).unwrap_or(0.0);
        ahead * expected / (f64::from(capacity.slots) * service.queue.class_share(class))
    }

    /// Sheds a waiting request from a full queue, or refuses the new one if its
    /// caller uses more of the queue than the others.
    fn make_room(
        &mut self,
        key: ServiceKey,
        caller: CallerKey,
        class: usize,
        limit: u32,
    ) -> Result<(), (Refusal, Option<u64>)> {
        let service = &mut self.services[key];
        let Some(victim) = service.queue.shed_candidate((class, caller), limit) else {
            let wait_ms = self.expected_wait_ms(key, caller, class);
            return Err((Refusal::QueueFull, Some(clamp_retry_after(wait_ms as u64))));
        };
        if let Some(entry) = service.queue.remove(victim) {
            self.end_not_started(entry.request, Refusal::QueueFull);
        }
        Ok(())
    }

    fn enqueue_admitted(
        &mut self,
        id: RequestId,
        meta: RequestMeta,
        service: ServiceKey,
        caller: CallerKey,
    ) {
        let class = class_index(meta.urgency);
        let deadline_at_ms = meta.deadline_at_ms;
        let request = Request {
            id,
            meta,
            service,
            caller,
            class,
            stage: Stage::Waiting(Default::default()),
            arrived_ms: self.now_ms,
            attempts: 0,
            may_have_run: None,
            avoid: None,
            was_forwarded: false,
        };
        let key = self.requests.insert(request);
        self.request_keys.insert(id, key);
        self.counters.admitted += 1;
        self.enqueue(key, false);
        self.dispatch_waiting(service);
        if self.requests.get(key).is_some_and(|request| matches!(request.stage, Stage::Waiting(_)))
        {
            self.timers.add(deadline_at_ms, Timer::Deadline(key));
            let remotes = &self.services[service].remotes;
            if remotes.iter().any(|remote| remote.load.idle_slots > 0) {
                self.schedule_borrow(service, self.now_ms + FORWARD_DELAY_MS);
            }
        }
    }

    /// Puts a request into the queue, behind or with `at_front` before the others of
    /// its caller.
    pub(super) fn enqueue(&mut self, key: RequestKey, at_front: bool) {
        let request = &mut self.requests[key];
        let weight = self.callers[request.caller].weight;
        let entry = Entry { request: key, caller: request.caller, class: request.class };
        let queue = &mut self.services[request.service].queue;
        request.stage = Stage::Waiting(queue.push(entry, weight, at_front));
    }

    pub(super) fn deadline_passed(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else { return };
        if request.meta.deadline_at_ms > self.now_ms {
            return;
        }
        match request.stage.clone() {
            Stage::Waiting(entry) => {
                let service = request.service;
                self.services[service].queue.remove(entry);
                self.end_not_started(key, Refusal::DeadlinePassed);
            }
            Stage::Forwarded(_) => self.forward_lost(key),
            Stage::Running(_) => {}
        }
    }

    pub(super) fn cancel(&mut self, id: RequestId) {
        let Some(&key) = self.request_keys.get(&id) else { return };
        let request = &mut self.requests[key];
        let service = request.service;
        match request.stage.clone() {
            Stage::Waiting(entry) => {
                self.services[service].queue.remove(entry);
                self.end_not_started(key, Refusal::Cancelled);
            }
            Stage::Running(attempt) => {
                let number = self.attempts[attempt].number;
                self.actions.push(RequestsAction::AbortAttempt { request: id, attempt: number });
                self.abandon(attempt);
                self.end_unknown(key, Refusal::Cancelled);
            }
            Stage::Forwarded(data_centre) => {
                self.forward_finished(service, &data_centre);
                self.end_unknown(key, Refusal::Cancelled);
            }
        }
    }

    pub(super) fn stop(&mut self) {
        self.stopping = true;
        let waiting: Vec<RequestKey> =
            self.services.values().flat_map(|service| service.queue.requests()).collect();
        for key in waiting {
            if let Stage::Waiting(entry) = self.requests[key].stage {
                let service = self.requests[key].service;
                self.services[service].queue.remove(entry);
            }
            self.end_not_started(key, Refusal::Stopping);
        }
        let services: Vec<ServiceKey> = self.services.keys().collect();
        for service in services {
            self.review_loans(service);
        }
    }

    /// Ends a request that has no attempt in flight: as not run, unless an earlier
    /// attempt may have run.
    pub(super) fn end_not_started(&mut self, key: RequestKey, refusal: Refusal) {
        let Some(request) = self.remove_request(key) else { return };
        match request.may_have_run {
            Some(cause) => self.report_unknown(request.id, cause),
            None => {
                let retry_after_ms = self.retry_after_ms(&request, &refusal);
                self.refuse(request.id, refusal, retry_after_ms);
            }
        }
    }

    fn retry_after_ms(&mut self, request: &Request, refusal: &Refusal) -> Option<u64> {
        match refusal {
            Refusal::Cancelled | Refusal::DeadlinePassed => None,
            Refusal::Stopping => Some(RETRY_AFTER_RANGE_MS.0),
            _ => {
                let wait_ms = self.expected_wait_ms(request.service, request.caller, request.class);
                let known = wait_ms.is_finite();
                Some(if known { clamp_retry_after(wait_ms as u64) } else { RETRY_AFTER_UNKNOWN_MS })
            }
        }
    }

    /// Ends a request that may have run with an unknown outcome.
    pub(super) fn end_unknown(&mut self, key: RequestKey, refusal: Refusal) {
        if let Some(request) = self.remove_request(key) {
            self.report_unknown(request.id, refusal);
        }
    }

    /// Removes a request that has ended.
    pub(super) fn remove_request(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(key)?;
        self.request_keys.remove(&request.id);
        Some(request)
    }

    fn report_unknown(&mut self, request: RequestId, refusal: Refusal) {
        self.counters.count_unknown(&refusal);
        self.actions.push(RequestsAction::Unknown { request, refusal });
    }

    fn refuse(&mut self, request: RequestId, refusal: Refusal, retry_after_ms: Option<u64>) {
        self.counters.count_refusal(&refusal);
        self.actions.push(RequestsAction::NotRun { request, refusal, retry_after_ms });
    }
}

fn clamp_retry_after(wait_ms: u64) -> u64 {
    wait_ms.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1)
}
