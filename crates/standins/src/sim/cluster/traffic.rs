//! Messages between entry hosts and calls to the store, with latency and faults.

use rand::Rng;
use tamarackproxy::{
    coordination::{
        configuration::{ConfigurationEvent, HEAD_KEY, Position},
        seats::SeatsEvent,
    },
    protocol::{
        peer::PeerMessage,
        store::{KeyValue, StoreError, StoreReply, StoreRequest, WatchEvent},
    },
    state::{
        ids::{CallId, EntryId},
        records::HeadRecord,
    },
};

use super::{Cluster, NodeIndex};
use crate::sim::event::{CallingEngine, NodeEvent, SimEvent};

/// Timeout of a store call, in microseconds.
const STORE_TIMEOUT_US: u64 = 1_000_000;
/// One-way latency of the store, in microseconds: a call takes 4 ms.
pub(super) const STORE_LATENCY_US: u64 = 2_000;
/// One-way latency between data centres, in microseconds.
const REMOTE_LATENCY_US: u64 = 1_400;
/// One-way latency within a data centre, in microseconds.
const LOCAL_LATENCY_US: u64 = 200;
/// Overhead of a control message, in bytes: the HTTP/2 frame header.
const FRAME_BYTES: u64 = 9;
/// Overhead of a store call besides key and value, in bytes: HTTP and JSON.
const CALL_BYTES: u64 = 300;

impl Cluster {
    pub(super) fn send(&mut self, from: NodeIndex, to: &EntryId, message: PeerMessage) {
        let Some(&to) = self.index.get(to) else { return };
        let (here, there) = (self.nodes[from].data_centre, self.nodes[to].data_centre);
        if !self.faults.connected(here, there) {
            return;
        }
        let latency_us = if here == there { LOCAL_LATENCY_US } else { REMOTE_LATENCY_US };
        let at_us = self.now_us + latency_us;
        if !self.nodes[to].is_alive() {
            let peer = self.nodes[to].address.entry.clone();
            let refused = NodeEvent::Seats(SeatsEvent::PeerRefused { peer });
            self.push_node(at_us + latency_us, from, refused);
            return;
        }
        let encoded = bincode::serde::encode_to_vec(&message, bincode::config::standard());
        let bytes = encoded.map_or(0, |encoded| encoded.len() as u64) + FRAME_BYTES;
        self.nodes[from].sent_bytes += bytes;
        if self.faults.lost_messages > 0.0 && self.random.random_bool(self.faults.lost_messages) {
            return;
        }
        self.nodes[to].received_bytes += bytes;
        let from = self.nodes[from].address.entry.clone();
        let event = match message {
            PeerMessage::Seats(message) => NodeEvent::Seats(SeatsEvent::Received { from, message }),
            PeerMessage::Configuration(message) => {
                NodeEvent::Configuration(ConfigurationEvent::Received { from, message })
            }
            _ => return,
        };
        self.push_node(at_us, to, event);
    }

    pub(super) fn call_store(
        &mut self,
        node: NodeIndex,
        engine: CallingEngine,
        call: CallId,
        request: StoreRequest,
    ) {
        if !self.faults.store_reachable(self.nodes[node].data_centre) {
            let at_us = self.now_us + STORE_TIMEOUT_US;
            self.reply(at_us, node, engine, call, Err(StoreError::NotSent));
            return;
        }
        self.nodes[node].sent_bytes += request_bytes(&request);
        let incarnation = self.nodes[node].incarnation;
        let event = SimEvent::StoreCall { node, incarnation, engine, call, request };
        self.push(self.now_us + STORE_LATENCY_US, event);
    }

    fn reply(
        &mut self,
        at_us: u64,
        node: NodeIndex,
        engine: CallingEngine,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        let event = match engine {
            CallingEngine::Seats => NodeEvent::Seats(SeatsEvent::StoreReplied { call, result }),
            CallingEngine::Configuration => {
                NodeEvent::Configuration(ConfigurationEvent::StoreReplied { call, result })
            }
        };
        self.push_node(at_us, node, event);
    }

    pub(super) fn on_store_call(
        &mut self,
        node: NodeIndex,
        incarnation: u32,
        engine: CallingEngine,
        call: CallId,
        request: &StoreRequest,
    ) {
        let reply = self.store.apply(self.now_us / 1_000, request);
        self.publish();
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        let lost = self.faults.lost_replies > 0.0
            && self.random.random_bool(self.faults.lost_replies)
            || !self.faults.store_reachable(self.nodes[node].data_centre);
        if lost {
            let at_us = self.now_us + STORE_TIMEOUT_US;
            self.reply(at_us, node, engine, call, Err(StoreError::Unknown));
            return;
        }
        self.nodes[node].received_bytes += reply_bytes(&reply);
        self.reply(self.now_us + STORE_LATENCY_US, node, engine, call, Ok(reply));
    }

    pub(super) fn start_watch(&mut self, node: NodeIndex, prefix: Box<str>, from_version: u64) {
        if !self.faults.store_reachable(self.nodes[node].data_centre) {
            let event = WatchEvent::Interrupted;
            self.push_node(
                self.now_us + STORE_TIMEOUT_US,
                node,
                NodeEvent::Watched { prefix, event },
            );
            return;
        }
        let missed: Vec<_> = self.store.changes(&prefix, from_version).cloned().collect();
        for record in missed {
            let event = record.event;
            let at_us = self.now_us + 2 * STORE_LATENCY_US;
            self.push_node(at_us, node, NodeEvent::Watched { prefix: prefix.clone(), event });
        }
        self.nodes[node].watches.insert(prefix, from_version);
    }

    /// Delivers new changes of the store to the watches.
    pub(super) fn publish(&mut self) {
        let records = self.store.log_from(self.published).to_vec();
        self.published = self.store.log_len();
        for record in records {
            self.record_accepted_head(&record.key, &record.event);
            for node in 0..self.nodes.len() {
                let prefixes: Vec<_> = self.nodes[node].watches.keys().cloned().collect();
                for prefix in prefixes.into_iter().filter(|p| record.key.starts_with(&**p)) {
                    if !self.nodes[node].is_alive()
                        || !self.faults.store_reachable(self.nodes[node].data_centre)
                    {
                        continue;
                    }
                    let event = record.event.clone();
                    self.nodes[node].received_bytes += CALL_BYTES + event_bytes(&event);
                    let at_us = self.now_us + STORE_LATENCY_US;
                    self.push_node(at_us, node, NodeEvent::Watched { prefix, event });
                }
            }
        }
    }

    fn record_accepted_head(&mut self, key: &str, event: &WatchEvent) {
        let WatchEvent::Put(value) = event else { return };
        if key != HEAD_KEY {
            return;
        }
        if let Ok(head) = serde_json::from_slice::<HeadRecord>(&value.value) {
            let position = Position { epoch: head.epoch, revision: head.revision };
            self.observations.accepted_us.entry(position).or_insert(self.now_us);
        }
    }
}

/// Returns the length in base64, which encodes three bytes as four.
fn encoded_bytes(length: usize) -> u64 {
    (length as u64).div_ceil(3) * 4
}

fn request_bytes(request: &StoreRequest) -> u64 {
    CALL_BYTES
        + match request {
            StoreRequest::CompareAndSwap { key, value, .. } => {
                encoded_bytes(key.len()) + encoded_bytes(value.len())
            }
            _ => 0,
        }
}

fn event_bytes(event: &WatchEvent) -> u64 {
    match event {
        WatchEvent::Put(value) => encoded_bytes(value.key.len()) + encoded_bytes(value.value.len()),
        _ => 0,
    }
}

fn reply_bytes(reply: &StoreReply) -> u64 {
    let value = |item: &KeyValue| encoded_bytes(item.key.len()) + encoded_bytes(item.value.len());
    CALL_BYTES
        + match reply {
            StoreReply::Value(Some(item)) | StoreReply::Conflict(Some(item)) => value(item),
            StoreReply::Values { items, .. } => items.iter().map(value).sum(),
            _ => 0,
        }
}
