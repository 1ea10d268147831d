//! Connects the at-most-once engine and keeps the responses that it replays.

use std::collections::{HashMap, VecDeque};

use super::{Completion, Engine, NodeCore};
use crate::{
    coordination::{
        once::{OnceAction, OnceEvent},
        requests::RequestsEvent,
    },
    protocol::{caller::Refusal, http::TargetResponse, peer::PeerMessage},
    state::ids::RequestId,
};

/// First responses to idempotency keys, bounded in bytes.
///
/// Beyond the bound the oldest is dropped; a retry then gets the outcome
/// unknown.
pub(super) struct KeptResponses {
    responses: HashMap<RequestId, TargetResponse>,
    order: VecDeque<RequestId>,
    kept_bytes: u64,
    max_bytes: u64,
}

impl KeptResponses {
    pub(super) fn new(max_bytes: u64) -> Self {
        Self { responses: HashMap::new(), order: VecDeque::new(), kept_bytes: 0, max_bytes }
    }

    pub(super) fn insert(&mut self, request: RequestId, response: TargetResponse) {
        self.kept_bytes += response.body.len() as u64;
        self.responses.insert(request, response);
        self.order.push_back(request);
        while self.kept_bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else { break };
            self.forget(oldest);
        }
    }

    fn forget(&mut self, request: RequestId) {
        if let Some(response) = self.responses.remove(&request) {
            self.kept_bytes -= response.body.len() as u64;
        }
        // Removes requests without a kept response from the front of the order.
        while self.order.front().is_some_and(|first| !self.responses.contains_key(first)) {
            self.order.pop_front();
        }
    }
}

impl NodeCore {
    pub(super) fn on_once(&mut self, event: OnceEvent) {
        let mut actions = Vec::new();
        self.once.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_once(action);
        }
    }

    fn apply_once(&mut self, action: OnceAction) {
        match action {
            OnceAction::Run { request } => {
                if let Some(pending) = self.pending.get(&request) {
                    let meta = pending.meta.clone();
                    self.on_requests(RequestsEvent::Submitted { request, meta });
                }
            }
            OnceAction::Replay { request, first } => {
                let completion = match self.kept.responses.get(&first) {
                    Some(response) => Completion::Answered(response.clone()),
                    None => Completion::unknown(Refusal::ResponseForgotten),
                };
                self.finish_without_run(request, completion);
            }
            OnceAction::Forget { first } => self.kept.forget(first),
            OnceAction::NotRun { request, refusal, retry_after_ms } => {
                self.finish_without_run(request, Completion::not_run(refusal, retry_after_ms));
            }
            OnceAction::Unknown { request, refusal } => {
                self.finish_without_run(request, Completion::unknown(refusal));
            }
            OnceAction::Send { to, message } => self.send(&to, PeerMessage::Once(message)),
            OnceAction::Store { call, request } => self.call_store(Engine::Once, call, request),
            OnceAction::LogOpen { open } => {
                log::info!(open = open; "log of claims was opened or closed");
            }
        }
    }

    /// Ends a request that the at-most-once engine did not run. Its claim is
    /// dropped first, so that no end of a run is reported to the engine.
    fn finish_without_run(&mut self, request: RequestId, completion: Completion) {
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.claim = None;
        }
        self.finish(request, completion);
    }
}
