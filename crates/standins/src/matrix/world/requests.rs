//! Runs of requests on targets, and responses to callers.

use rand::Rng;
use tamarackproxy::{
    coordination::requests::AttemptResult,
    node::core::{Completion, Input},
    protocol::{
        caller::Outcome,
        http::{TargetRequest, TargetResponse},
    },
    state::ids::{HostId, RequestId, TargetId},
};

use crate::matrix::{
    step::Step,
    targets::AttemptId,
    traffic::{BODY_BYTES, LogicalRequest},
};
use crate::{
    caller::AttemptEnd,
    platform::Condition,
    target::{ATTEMPT_HEADER, Cut, RunRecord, check_body, echo_body},
};

use super::{Event, LOCAL_MS, LONG_SERVICE_MS, LONG_SHARE, SERVICE_MS, Simulation};

impl Simulation {
    pub(in crate::matrix) fn interrupt_runs(&mut self, host: &HostId, cut: Cut) {
        for run in self.targets.interrupt_host(host, self.now_ms(), cut) {
            self.attempt_ended(run, AttemptResult::Lost, None);
        }
    }

    pub(in crate::matrix) fn dispatch(
        &mut self,
        id: AttemptId,
        target: &TargetId,
        request: &TargetRequest,
        timeout_ms: u64,
    ) {
        let is_charge = request.headers.contains_key("idempotency-key");
        let step = if is_charge { Step::ChargeDispatched } else { Step::RequestDispatched };
        self.reached_steps.push((step, Some(id.node), Some(target.host.clone())));
        let ended = |result, response| Input::AttemptEnded {
            request: id.request,
            attempt: id.attempt,
            result,
            response,
        };
        if self.platform.condition(&target.host) != Some(Condition::Up) {
            return self.schedule(id.node, 2 * LOCAL_MS, ended(AttemptResult::NotSent, None));
        }
        let now_ms = self.now_ms();
        let text = |name: &str| request.headers.get(name).and_then(|value| value.to_str().ok());
        let path = request.path.path();
        let run = RunRecord {
            service: target.service.clone(),
            host: target.host.clone(),
            caller: text("tamarack-caller").unwrap_or_default().into(),
            request: path.strip_prefix("/echo/").and_then(|n| n.parse().ok()).unwrap_or(0),
            attempt: text(ATTEMPT_HEADER).and_then(|number| number.parse().ok()),
            key: text("idempotency-key").map(Into::into),
            repeatable: request.repeatable,
            started_ms: now_ms,
            ended_ms: None,
            cut: None,
        };
        let Some(run) = self.targets.start(target, run, id) else {
            let leaving = false;
            let refused = AttemptResult::RefusedBeforeStart { leaving };
            return self.schedule(id.node, 2 * LOCAL_MS, ended(refused, None));
        };
        let step = if is_charge { Step::ChargeRunning } else { Step::RequestRunning };
        self.reached_steps.push((step, Some(id.node), Some(target.host.clone())));
        let is_failing = self.targets.failing.contains(&target.host);
        let service_ms = if self.random.random_bool(LONG_SHARE) {
            LONG_SERVICE_MS
        } else {
            self.random.random_range(SERVICE_MS.0..=SERVICE_MS.1)
        };
        self.queue.push_in(if is_failing { 1 } else { service_ms }, Event::RunEnds { run });
        // When the attempt times out, the client closes the connection and the target
        // stops the run. The engine ignores a second end of an attempt.
        self.queue.push_in(timeout_ms + LOCAL_MS, Event::ConnectionClosed { attempt: id });
        self.schedule(id.node, timeout_ms, ended(AttemptResult::TimedOut, None));
    }

    pub(in crate::matrix) fn run_ends(&mut self, run: usize) {
        let now_ms = self.now_ms();
        if !self.targets.end(run, now_ms, None) {
            return;
        }
        let record = &self.targets.runs[run];
        if self.targets.truncating.contains(&record.host) {
            return self.attempt_ended(run, AttemptResult::Lost, None);
        }
        let status = if self.targets.failing.contains(&record.host) { 500 } else { 200 };
        let body = echo_body(&record.caller, record.request, BODY_BYTES);
        let host = record.host.clone();
        let response = TargetResponse {
            status: http::StatusCode::from_u16(status).unwrap_or_default(),
            headers: http::HeaderMap::new(),
            body: body.into(),
        };
        let leaving = self.targets.signals_leaving(&host, now_ms);
        self.attempt_ended(run, AttemptResult::Answered { status, leaving }, Some(response));
    }

    pub(in crate::matrix) fn attempt_ended(
        &mut self,
        run: usize,
        result: AttemptResult,
        response: Option<TargetResponse>,
    ) {
        let id = self.targets.attempts[run];
        let step = if self.targets.runs[run].key.is_some() {
            Step::ChargeAnswered
        } else {
            Step::RequestAnswered
        };
        let host = self.targets.runs[run].host.clone();
        self.reached_steps.push((step, Some(id.node), Some(host)));
        let input =
            Input::AttemptEnded { request: id.request, attempt: id.attempt, result, response };
        let (node, incarnation, input) = (id.node, id.incarnation, Box::new(input));
        self.queue.push_in(LOCAL_MS, Event::Input { node, incarnation, input });
    }

    pub(in crate::matrix) fn reply(
        &mut self,
        node: usize,
        incarnation: u32,
        request: RequestId,
        completion: Completion,
    ) {
        let key = (node, incarnation, request);
        if let Some(from) = self.forwarded.remove(&key) {
            if self.is_reachable(from.node, node) {
                let delay_ms = self.latency_ms(from.node, node);
                self.forward_ended(&from, delay_ms, Ok(completion.into_forward_response()));
            }
            return;
        }
        let Some((attempt, logical)) = self.traffic.open.remove(&key) else { return };
        let end = match completion {
            Completion::Answered(response) => {
                let check = check_body(&response.body, logical.caller, logical.request, BODY_BYTES);
                AttemptEnd::Response {
                    status: response.status.as_u16(),
                    outcome: Some(Outcome::Answered),
                    body: (response.status.as_u16() == 200).then_some(check),
                }
            }
            Completion::Refused { outcome, refusal, .. } => AttemptEnd::Response {
                status: refusal.status().as_u16(),
                outcome: Some(outcome),
                body: None,
            },
        };
        self.end_attempt(attempt, logical, end);
    }

    pub(in crate::matrix) fn end_attempt(
        &mut self,
        attempt: usize,
        mut logical: LogicalRequest,
        end: AttemptEnd,
    ) {
        let now_ms = self.now_ms();
        if self.traffic.end(attempt, &logical, now_ms, end) {
            logical.attempts += 1;
            let delay_ms = 200 * u64::from(logical.attempts) + self.random.random_range(0..100);
            self.queue.push_in(delay_ms, Event::Send { logical });
        }
    }

    /// Sends a request to `entry` if it is running, else to a random running entry
    /// host.
    pub(in crate::matrix) fn send(&mut self, logical: LogicalRequest, entry: Option<usize>) {
        let live: Vec<usize> =
            (0..self.nodes.len()).filter(|&node| self.nodes[node].core.is_some()).collect();
        let (attempt, received) = self.traffic.begin(&logical, self.queue.now_ms());
        if live.is_empty() {
            return self.end_attempt(attempt, logical, AttemptEnd::NotConnected);
        }
        let chosen = entry.filter(|entry| live.contains(entry));
        let node = chosen.unwrap_or_else(|| live[self.random.random_range(0..live.len())]);
        self.nodes[node].next_request += 1;
        let request = RequestId(self.nodes[node].next_request);
        let incarnation = self.nodes[node].incarnation;
        let step = if logical.key.is_some() { Step::ChargeArrived } else { Step::RequestArrived };
        self.reached_steps.push((step, Some(node), None));
        self.traffic.open.insert((node, incarnation, request), (attempt, logical));
        let received = Box::new(received);
        self.schedule(node, LOCAL_MS, Input::CallerRequest { request, received });
    }

    /// Disconnects all callers with open requests.
    pub(in crate::matrix) fn cancel_all(&mut self) {
        let mut open: Vec<_> = self.traffic.open.keys().copied().collect();
        open.sort_unstable();
        let now_ms = self.now_ms();
        for (node, incarnation, request) in open {
            if let Some((attempt, _)) = self.traffic.open.remove(&(node, incarnation, request)) {
                let record = &mut self.traffic.attempts[attempt];
                record.ended_ms = Some(now_ms);
                record.end = AttemptEnd::Disconnected;
                let input = Box::new(Input::CallerGone { request });
                self.queue.push_in(LOCAL_MS, Event::Input { node, incarnation, input });
            }
        }
    }
}
