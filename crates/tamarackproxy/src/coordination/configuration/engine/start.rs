//! Start of an entry host: loads the newest reachable state, then reports
//! readiness.

use rand::Rng;

use super::ConfigurationEngine;
use crate::{
    coordination::{
        configuration::{ConfigurationAction, HEAD_KEY, Position},
        control::Backoff,
    },
    protocol::store::{StoreError, StoreReply, StoreRequest},
    state::{clock::ClockReading, ids::CallId, records::HeadRecord},
};

/// Maximum delay of the first read, in milliseconds; spreads the calls of entry
/// hosts that start together.
const FIRST_READ_WITHIN_MS: u64 = 200;
/// Time for which a starting entry host waits to discover peers, in
/// milliseconds: two heartbeats and the setup of a connection.
const PEERS_WAIT_MS: u64 = 2_500;
/// Time after which a starting entry host stops waiting for a peer's answer and
/// for the highest position seen in heartbeats, in milliseconds.
const ANSWER_WAIT_MS: u64 = 10_000;
/// Upper limit of the first delay after a failed read, in milliseconds.
const BACKOFF_MIN_MS: u64 = 500;
/// Upper limit of the delay after repeated failures, in milliseconds.
const BACKOFF_MAX_MS: u64 = 8_000;

/// Progress of the start.
#[derive(Clone, Debug)]
pub(super) struct Start {
    started_ms: Option<u64>,
    pub(super) call: Option<CallId>,
    next_read_ms: Option<u64>,
    /// At least one read of the store has ended, successfully or not.
    store_asked: bool,
    /// A peer has answered a pull.
    pub(super) has_answer: bool,
    /// Highest position seen in a peer's heartbeat.
    pub(super) highest_seen: Position,
    ready: bool,
    reported_ready: Option<bool>,
    next_pull_ms: u64,
    backoff: Backoff,
}

impl Default for Start {
    fn default() -> Self {
        Self {
            started_ms: None,
            call: None,
            next_read_ms: None,
            store_asked: false,
            has_answer: false,
            highest_seen: Position::default(),
            ready: false,
            reported_ready: None,
            next_pull_ms: 0,
            backoff: Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS),
        }
    }
}

impl Start {
    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    pub(super) fn next_tick_ms(&self) -> Option<u64> {
        if self.ready {
            return None;
        }
        let read_ms = self.call.is_none().then_some(self.next_read_ms).flatten();
        [read_ms, Some(self.next_pull_ms)].into_iter().flatten().min()
    }
}

impl ConfigurationEngine {
    /// Records the time of the first event and schedules the first calls.
    pub(super) fn begin_start(&mut self, now_ms: u64) {
        if self.start.started_ms.is_none() {
            let jitter_ms = self.rng.random_range(0..=FIRST_READ_WITHIN_MS);
            self.start.started_ms = Some(now_ms);
            self.start.next_read_ms = Some(now_ms + jitter_ms);
            self.schedule_watcher(now_ms);
        }
    }

    pub(super) fn on_start_reply(
        &mut self,
        now: ClockReading,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        self.start.call = None;
        self.start.store_asked = true;
        match result {
            Ok(StoreReply::Value(value)) => {
                let head = value.and_then(|value| serde_json::from_slice(&value.value).ok());
                let head: Option<HeadRecord> = head;
                if let Some(head) = head {
                    self.apply_head(now, &head, actions);
                }
            }
            _ => {
                let delay_ms = self.start.backoff.next_delay_ms(&mut self.rng);
                self.start.next_read_ms = Some(now.monotonic_ms + delay_ms);
            }
        }
    }

    /// Reads the head, pulls from a peer, and reports readiness.
    pub(super) fn advance_start(&mut self, now_ms: u64, actions: &mut Vec<ConfigurationAction>) {
        if !self.start.ready {
            if self.start.call.is_none()
                && self.start.next_read_ms.take_if(|read_ms| now_ms >= *read_ms).is_some()
            {
                let request = StoreRequest::Get { key: HEAD_KEY.into() };
                self.start.call = Some(self.call_store(request, actions));
            }
            self.pull_at_start(now_ms, actions);
            self.start.ready = self.is_caught_up(now_ms);
        }
        let ready = self.start.ready;
        if self.start.reported_ready.replace(ready) != Some(ready) {
            actions.push(ConfigurationAction::Ready { ready });
        }
    }

    /// Pulls from a random peer once per second, or from a gateway if the data
    /// centre has no other entry host.
    fn pull_at_start(&mut self, now_ms: u64, actions: &mut Vec<ConfigurationAction>) {
        if now_ms < self.start.next_pull_ms {
            return;
        }
        self.start.next_pull_ms = now_ms + 1_000;
        let gateways = self.gateways.iter().map(|(_, gateway)| gateway);
        let candidates: Vec<_> = match self.peers.is_empty() {
            true => gateways.collect(),
            false => self.peers.iter().collect(),
        };
        if !candidates.is_empty() {
            let chosen = self.rng.random_range(0..candidates.len());
            let peer = candidates[chosen].clone();
            self.send_pull(now_ms, peer, actions);
        }
    }

    /// Returns whether the newest reachable state is in force.
    fn is_caught_up(&self, now_ms: u64) -> bool {
        let waited_ms = now_ms.saturating_sub(self.start.started_ms.unwrap_or(now_ms));
        let has_state = self.in_force.document().is_some() && self.hosts.is_loaded();
        let no_peers = self.peers.is_empty() && waited_ms >= PEERS_WAIT_MS;
        let is_newest = self.position() >= self.start.highest_seen;
        let has_asked = self.start.store_asked && (self.start.has_answer || no_peers) && is_newest;
        has_state && (has_asked || waited_ms >= ANSWER_WAIT_MS)
    }
}
