//! Requests of callers and requests forwarded by other entry hosts.

use std::collections::HashSet;

use super::{
    Completion, Effect, NodeCore,
    pending::{Origin, Pending, decode_answer, decode_headers, strip_hop_by_hop},
    view::View,
};
use crate::{
    coordination::{
        once::{Claim, IdempotencyKey, OnceEvent, RunResult, home_data_centre, home_seat},
        requests::{AttemptResult, ForwardResult, RequestMeta, RequestsAction, RequestsEvent},
    },
    protocol::{
        caller::{
            DEADLINE_HEADER, DEADLINE_MAX_MS, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, Outcome,
            Refusal,
        },
        http::{CallerRequest, TargetRequest, TargetResponse},
        peer::{ForwardFailure, ForwardKind, ForwardRequest, ForwardResponse, PeerMessage},
    },
    state::{
        document::{CallerSection, KeyRule, ServiceSection, Urgency},
        ids::{CallerId, EntryId, RequestId, ServiceId, TargetId},
    },
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};

/// Header that names the authenticated caller to targets.
const CALLER_HEADER: HeaderName = HeaderName::from_static("tamarack-caller");
const PRIORITY_HEADER: &str = "priority";
/// Times that a request may be forwarded to its home: to the home data centre,
/// and there to the holder of the key's seat.
const HOME_HOPS_MAX: u8 = 2;
/// `Retry-After` of an entry host that is not ready or is stopping, in
/// milliseconds.
const NOT_READY_RETRY_MS: u64 = 1_000;

/// Returns the value of a header as text.
fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

fn is_repeatable(method: &Method, rule: KeyRule) -> bool {
    let by_method =
        [Method::GET, Method::HEAD, Method::PUT, Method::DELETE, Method::OPTIONS].contains(method);
    by_method || rule == KeyRule::Repeatable
}

fn deadline_ms(headers: &HeaderMap, service: &ServiceSection) -> Result<u64, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(service.deadline.as_ms());
    };
    let value = value.to_str().ok().and_then(|value| value.trim().parse().ok());
    value.filter(|ms| (1..=DEADLINE_MAX_MS).contains(ms)).ok_or_else(|| {
        let message = format!("{DEADLINE_HEADER} must be from 1 to {DEADLINE_MAX_MS} milliseconds");
        Refusal::Malformed(message.into())
    })
}

/// Returns the headers that the target receives: the caller's token and headers
/// that only the proxy reads are removed, the caller's name is added.
fn target_headers(headers: HeaderMap, caller: &CallerId) -> HeaderMap {
    let mut headers = strip_hop_by_hop(headers);
    headers.remove(header::HOST);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::EXPECT);
    headers.remove(OUTCOME_HEADER);
    if let Ok(name) = HeaderValue::from_str(caller.as_str()) {
        headers.insert(CALLER_HEADER, name);
    }
    headers
}

/// Authenticates and checks a caller's request against the document; returns
/// caller, service, urgency, deadline in milliseconds and whether the request is
/// repeatable.
fn admit(
    view: &View,
    received: &CallerRequest,
) -> Result<(CallerId, ServiceId, Urgency, u64, bool), Refusal> {
    let (caller, section) = view.authenticate_caller(&received.headers)?;
    let (service, service_section) = view.service(&received.service)?;
    check_allowed(section, service)?;
    let requested = header_text(&received.headers, PRIORITY_HEADER).map(Urgency::from_priority);
    // Classes are ordered from the most urgent to the least.
    let urgency = requested.unwrap_or_default().max(section.most_urgent);
    let deadline_ms = deadline_ms(&received.headers, service_section)?;
    let repeatable = is_repeatable(&received.method, service_section.idempotency_key);
    let has_key = received.headers.contains_key(IDEMPOTENCY_KEY_HEADER);
    if !repeatable && !has_key && service_section.idempotency_key == KeyRule::Required {
        return Err(Refusal::KeyMissing);
    }
    Ok((caller.clone(), service.clone(), urgency, deadline_ms, repeatable))
}

fn check_allowed(caller: &CallerSection, service: &ServiceId) -> Result<(), Refusal> {
    let is_allowed = caller.services.is_empty() || caller.services.contains(service);
    is_allowed.then_some(()).ok_or(Refusal::Forbidden)
}

/// Entry host that holds the claim of a non-repeatable request.
enum Home {
    Here,
    Entry(EntryId),
    Unreachable,
}

impl NodeCore {
    pub(super) fn submit_caller_request(&mut self, request: RequestId, received: CallerRequest) {
        let Some(view) = self.view.as_ref().filter(|_| self.is_ready) else {
            return self
                .reply(request, Completion::not_run(Refusal::NotReady, Some(NOT_READY_RETRY_MS)));
        };
        if self.is_stopping {
            return self
                .reply(request, Completion::not_run(Refusal::Stopping, Some(NOT_READY_RETRY_MS)));
        }
        let admitted = admit(view, &received).and_then(|admitted| {
            let path = received.path.parse::<Uri>().map_err(|_| {
                Refusal::Malformed("the path is not a valid URL path; encode it".into())
            })?;
            Ok((admitted, path))
        });
        let ((caller, service, urgency, deadline_ms, repeatable), path) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => return self.reply(request, Completion::not_run(refusal, None)),
        };
        let key = header_text(&received.headers, IDEMPOTENCY_KEY_HEADER).map(Box::from);
        let headers = target_headers(received.headers, &caller);
        let meta = RequestMeta {
            service,
            caller,
            urgency,
            deadline_at_ms: self.now.monotonic_ms + deadline_ms,
            repeatable,
            forwarded: false,
        };
        let target_request = TargetRequest {
            method: received.method,
            path,
            headers,
            body: received.body,
            repeatable,
        };
        let now_ms = self.now.monotonic_ms;
        self.submit(request, new_pending(Origin::Caller, meta, target_request, key, 0, now_ms));
    }

    /// Handles a request that another entry host forwarded.
    pub(super) fn submit_forwarded(&mut self, request: RequestId, forwarded: ForwardRequest) {
        let rule = self.view.as_ref().and_then(|view| {
            view.service(&forwarded.service.to_string()).ok().map(|(_, s)| s.idempotency_key)
        });
        let method = forwarded.method.parse::<Method>();
        let path = forwarded.path.parse::<Uri>();
        let (Some(rule), Ok(method), Ok(path)) = (rule, method, path) else {
            return self
                .reply(request, Completion::not_run(Refusal::NotReady, Some(NOT_READY_RETRY_MS)));
        };
        let repeatable = is_repeatable(&method, rule);
        let meta = RequestMeta {
            service: forwarded.service,
            caller: forwarded.caller,
            urgency: forwarded.urgency,
            deadline_at_ms: self.now.monotonic_ms + forwarded.remaining_ms,
            repeatable,
            forwarded: forwarded.kind == ForwardKind::Run,
        };
        let target_request = TargetRequest {
            method,
            path,
            headers: decode_headers(&forwarded.headers),
            body: forwarded.body.into(),
            repeatable,
        };
        let (key, hops, now_ms) = (forwarded.key, forwarded.hops, self.now.monotonic_ms);
        let pending = new_pending(Origin::Peer, meta, target_request, key, hops, now_ms);
        self.submit(request, pending);
    }

    fn submit(&mut self, request: RequestId, mut pending: Pending) {
        // A request forwarded to be run was claimed by its home already.
        let needs_claim = !pending.meta.repeatable && !pending.meta.forwarded;
        let Some(key) = pending.key.clone().filter(|_| needs_claim) else {
            return self.start_request(request, pending);
        };
        let Ok(key) = key.parse::<IdempotencyKey>() else {
            return self.reply(request, Completion::not_run(Refusal::KeyUnusable, None));
        };
        if key.check(self.now).is_err() {
            // The claim of an earlier run under a key outside the accepted time
            // may have been discarded.
            return self.reply(request, Completion::unknown(Refusal::KeyUnusable));
        }
        let claim = Claim::new(
            &pending.meta.caller,
            &key,
            pending.target_request.method.as_str(),
            &pending.target_request.path.to_string(),
            &pending.target_request.body,
        );
        match self.home(&pending.meta.caller, &claim, pending.hops) {
            Home::Here => {
                pending.claim = Some(claim);
                self.pending.insert(request, pending);
                self.on_once(OnceEvent::Submitted { request, claim });
            }
            Home::Entry(entry) => {
                pending.is_started = true;
                self.pending.insert(request, pending);
                self.forward(request, &entry, ForwardKind::Home);
            }
            Home::Unreachable => self.reply(request, Completion::unknown(Refusal::HomeUnreachable)),
        }
    }

    fn start_request(&mut self, request: RequestId, pending: Pending) {
        let meta = pending.meta.clone();
        self.pending.insert(request, pending);
        self.on_requests(RequestsEvent::Submitted { request, meta });
    }

    /// Returns the entry host that decides whether a request with this key may
    /// run.
    fn home(&self, caller: &CallerId, claim: &Claim, hops: u8) -> Home {
        let Some(view) = &self.view else { return Home::Unreachable };
        let document = view.document();
        let configured = document.callers.get(caller).and_then(|section| section.home.as_ref());
        let home = configured.or_else(|| home_data_centre(caller, document.data_centres.keys()));
        let Some(home) = home else { return Home::Unreachable };
        if *home != self.data_centre {
            return match self.peers.gateway_of(home) {
                Some(gateway) if hops < HOME_HOPS_MAX => Home::Entry(gateway.clone()),
                _ => Home::Unreachable,
            };
        }
        let seats = document.data_centres.get(home).map_or(1, |section| section.seats);
        let seat = home_seat(claim, seats);
        if self.peers.usable_seat() == Some(seat) {
            return Home::Here;
        }
        match self.peers.holder_of(seat) {
            Some(holder) if hops < HOME_HOPS_MAX => Home::Entry(holder.clone()),
            _ => Home::Unreachable,
        }
    }

    /// Cancels a request whose caller disconnected.
    ///
    /// A claimed request that was started continues, so that a retry with the
    /// same key gets its response.
    pub(super) fn on_caller_gone(&mut self, request: RequestId) {
        let Some(pending) = self.pending.get(&request) else { return };
        if pending.claim.is_none() || !pending.is_started {
            self.on_requests(RequestsEvent::Cancelled { request });
        }
    }

    pub(super) fn on_requests(&mut self, event: RequestsEvent) {
        for action in self.requests.handle(self.now, event) {
            self.apply_requests(action);
        }
    }

    fn apply_requests(&mut self, action: RequestsAction) {
        match action {
            RequestsAction::Dispatch { request, attempt, target, timeout_ms } => {
                self.dispatch(request, attempt, &target, timeout_ms);
            }
            RequestsAction::AbortAttempt { request, attempt } => {
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.attempts.remove(&attempt);
                }
                self.effects.push(Effect::Abort { request, attempt });
            }
            RequestsAction::Forward { request, to, .. } => {
                self.forward(request, &to, ForwardKind::Run);
            }
            RequestsAction::Answer { request, .. } => {
                let response = self.pending.get_mut(&request).and_then(|p| p.response.take());
                self.finish(
                    request,
                    match response {
                        Some(response) => Completion::Answered(response),
                        None => Completion::unknown(Refusal::ResponseLost),
                    },
                );
            }
            RequestsAction::NotRun { request, refusal, retry_after_ms } => {
                self.finish(request, Completion::not_run(refusal, retry_after_ms));
            }
            RequestsAction::Unknown { request, refusal } => {
                self.finish(request, Completion::unknown(refusal));
            }
            RequestsAction::Send { to, message } => {
                self.send(&to, PeerMessage::Requests(message));
            }
        }
    }

    fn dispatch(&mut self, request: RequestId, attempt: u32, target: &TargetId, timeout_ms: u64) {
        let address = self.fleet_state.address_of(target);
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.is_started = true;
        let Some(address) = address else {
            return self.unsent_attempts.push((request, attempt));
        };
        pending.attempts.insert(attempt);
        let target_request = pending.target_request.clone();
        let target = target.clone();
        self.effects.push(Effect::Dispatch {
            request,
            attempt,
            target,
            address,
            target_request,
            timeout_ms,
        });
    }

    pub(super) fn on_attempt_end(
        &mut self,
        request: RequestId,
        attempt: u32,
        result: AttemptResult,
        response: Option<TargetResponse>,
    ) {
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.attempts.remove(&attempt);
            if response.is_some() {
                pending.response = response;
            }
        }
        self.on_requests(RequestsEvent::AttemptEnded { request, attempt, result });
    }

    /// Forwards a request to another entry host.
    fn forward(&mut self, request: RequestId, to: &EntryId, kind: ForwardKind) {
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.is_started = true;
        let message = pending.to_forward(kind, self.now.monotonic_ms);
        let timeout_ms = message.remaining_ms;
        self.effects.push(Effect::Forward { request, to: to.clone(), message, timeout_ms });
    }

    pub(super) fn on_forward_end(
        &mut self,
        request: RequestId,
        reply: Result<ForwardResponse, ForwardFailure>,
    ) {
        let (result, retry_after_ms, response) = read_forward_reply(reply);
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.response = response.or(pending.response.take());
        let is_home_forward = !pending.meta.repeatable && pending.claim.is_none();
        if !is_home_forward || pending.key.is_none() || pending.meta.forwarded {
            return self.on_requests(RequestsEvent::ForwardEnded { request, result });
        }
        let response = pending.response.take();
        self.finish(
            request,
            match (result, response) {
                (ForwardResult::Answered { .. }, Some(response)) => Completion::Answered(response),
                (ForwardResult::NotRun(Refusal::HomeUnreachable), _) => {
                    Completion::unknown(Refusal::HomeUnreachable)
                }
                (ForwardResult::NotRun(refusal), _) => Completion::not_run(refusal, retry_after_ms),
                (ForwardResult::Unknown(refusal), _) => Completion::unknown(refusal),
                (ForwardResult::Answered { .. }, None) => {
                    Completion::unknown(Refusal::ResponseLost)
                }
            },
        );
    }

    /// Ends a request: informs the at-most-once engine and sends the response.
    pub(super) fn finish(&mut self, request: RequestId, completion: Completion) {
        let Some(pending) = self.pending.remove(&request) else { return };
        self.count(&pending, &completion);
        // A forwarded request is counted by the entry host that its caller
        // sent it to.
        if pending.origin == Origin::Caller {
            self.count_burn(&pending, &completion);
        }
        if pending.claim.is_some() {
            let result = match &completion {
                Completion::Answered(response) => {
                    self.kept.insert(request, response.clone());
                    RunResult::Answered { size_bytes: response.body.len() as u64 }
                }
                Completion::Refused { outcome: Outcome::NotRun, .. } => RunResult::NotRun,
                Completion::Refused { .. } => RunResult::Unknown,
            };
            self.on_once(OnceEvent::RunEnded { request, result });
        }
        let aborts = pending.attempts.into_iter();
        self.effects.extend(aborts.map(|attempt| Effect::Abort { request, attempt }));
        self.reply(request, completion);
    }

    fn reply(&mut self, request: RequestId, completion: Completion) {
        self.effects.push(Effect::Reply { request, completion });
    }

    fn count(&self, pending: &Pending, completion: &Completion) {
        let outcome: &'static str = completion.outcome().into();
        let urgency: &'static str = pending.meta.urgency.into();
        let service = pending.meta.service.to_string();
        metrics::counter!(
            "tamarack_requests_total",
            "service" => service, "class" => urgency, "outcome" => outcome,
        )
        .increment(1);
    }
}

fn new_pending(
    origin: Origin,
    meta: RequestMeta,
    target_request: TargetRequest,
    key: Option<Box<str>>,
    hops: u8,
    now_ms: u64,
) -> Pending {
    Pending {
        origin,
        meta,
        target_request,
        key,
        claim: None,
        received_at_ms: now_ms,
        is_started: false,
        hops,
        attempts: HashSet::new(),
        response: None,
    }
}

/// Maps a peer's reply to the result of a forward, the delay after which the
/// caller may retry in milliseconds, and the response.
fn read_forward_reply(
    reply: Result<ForwardResponse, ForwardFailure>,
) -> (ForwardResult, Option<u64>, Option<TargetResponse>) {
    let response = match reply {
        Ok(response) => response,
        Err(ForwardFailure::NotSent) => {
            return (ForwardResult::NotRun(Refusal::HomeUnreachable), None, None);
        }
        Err(ForwardFailure::Lost) => {
            return (ForwardResult::Unknown(Refusal::ResponseLost), None, None);
        }
    };
    let refusal = response.refusal.clone().unwrap_or(Refusal::ResponseLost);
    let retry_after_ms = response.retry_after_ms;
    match response.outcome {
        Outcome::NotRun => (ForwardResult::NotRun(refusal), retry_after_ms, None),
        Outcome::Unknown => (ForwardResult::Unknown(refusal), None, None),
        Outcome::Answered => match decode_answer(response) {
            Some(answer) => {
                (ForwardResult::Answered { status: answer.status.as_u16() }, None, Some(answer))
            }
            None => (ForwardResult::Unknown(Refusal::ResponseLost), None, None),
        },
    }
}
