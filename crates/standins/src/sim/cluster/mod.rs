//! A deployment: processes, links, the store and virtual time.

mod traffic;
mod wiring;

use std::{
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
};

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{
    coordination::{
        configuration::{ConfigurationEvent, HEAD_KEY, OperatorCall, Position, SectionEdit},
        seats::{EntryAddress, SeatsEvent},
    },
    protocol::store::{StoreReply, StoreRequest, WatchEvent},
    state::{
        document::DocumentText,
        ids::{DataCentreId, EntryId, Revision, TeamId, Term},
        records::{HeadRecord, HostRecord, RevisionChange},
    },
};

use self::traffic::STORE_LATENCY_US;
use super::{
    Faults, NodeState, Observations, StoreSnapshot, VirtualStore,
    event::{NodeEvent, Occurrence, Scheduled},
    node::Node,
};

/// Number of a node within a cluster.
pub type NodeIndex = usize;

/// Shape of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterOptions {
    /// Number of data centres.
    pub data_centres: usize,
    /// Entry hosts in each data centre.
    pub entries: usize,
    /// Seed of all random choices.
    pub seed: u64,
}

/// A simulated deployment.
pub struct Cluster {
    options: ClusterOptions,
    now_us: u64,
    order: u64,
    queue: BinaryHeap<Scheduled>,
    nodes: Vec<Node>,
    index: BTreeMap<EntryId, NodeIndex>,
    random: ChaCha8Rng,
    next_operator_call: u64,
    seen_log: usize,
    /// The store.
    pub store: VirtualStore,
    /// Faults in effect.
    pub faults: Faults,
    /// What was seen.
    pub observations: Observations,
}

impl Cluster {
    /// Makes a cluster with all nodes started and the document in the store.
    pub fn new(options: ClusterOptions, document: &str) -> Self {
        let mut cluster = Self {
            options,
            now_us: 1_000_000,
            order: 0,
            queue: BinaryHeap::new(),
            nodes: Vec::new(),
            index: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            next_operator_call: 0,
            seen_log: 0,
            store: VirtualStore::default(),
            faults: Faults::default(),
            observations: Observations::default(),
        };
        for data_centre in 0..options.data_centres {
            for entry in 0..options.entries {
                let address = address(data_centre, entry);
                cluster.index.insert(address.entry.clone(), cluster.nodes.len());
                let seed = cluster.random.random();
                let peers = cluster.settings_peers();
                cluster.nodes.push(Node::new(address, data_centre, peers, seed));
            }
        }
        cluster.write_first_head(document);
        (0..cluster.nodes.len()).for_each(|node| cluster.schedule_tick(node));
        cluster
    }

    fn settings_peers(&self) -> Vec<EntryAddress> {
        (0..self.options.data_centres).map(|data_centre| address(data_centre, 0)).collect()
    }

    fn write_first_head(&mut self, document: &str) {
        if document.is_empty() {
            return;
        }
        let text = DocumentText::parse(document).unwrap_or_default().to_text();
        let head = HeadRecord {
            epoch: Default::default(),
            revision: Revision(1),
            text: text.into(),
            changed: BTreeMap::new(),
            change: RevisionChange {
                author: TeamId::new("operations"),
                at_unix_ms: 0,
                operation: Default::default(),
                before: Vec::new(),
                before_omitted: false,
            },
            operations: Default::default(),
        };
        let value = serde_json::to_vec(&head).map(Bytes::from).unwrap_or_default();
        self.write_record(HEAD_KEY, value);
    }

    /// Writes a key as the operators' tools or a controller would.
    pub fn write_record(&mut self, key: &str, value: Bytes) {
        let read = self.store.apply(self.now_us / 1_000, &StoreRequest::Get { key: key.into() });
        let expected = match read {
            StoreReply::Value(Some(found)) => found.version,
            _ => Default::default(),
        };
        let request =
            StoreRequest::CompareAndSwap { key: key.into(), expected, value, lease: None };
        self.store.apply(self.now_us / 1_000, &request);
        self.publish();
    }

    /// Removes a key.
    pub fn remove_record(&mut self, key: &str) {
        let read = self.store.apply(self.now_us / 1_000, &StoreRequest::Get { key: key.into() });
        if let StoreReply::Value(Some(found)) = read {
            let expected = found.version;
            let request = StoreRequest::CompareAndDelete { key: key.into(), expected };
            self.store.apply(self.now_us / 1_000, &request);
        }
        self.publish();
    }

    /// Host records that a node reported last.
    pub fn records(&self, node: NodeIndex) -> Arc<Vec<(u64, HostRecord)>> {
        self.nodes[node].records.clone()
    }

    /// Size of a stored value, in bytes.
    pub fn stored_bytes(&self, key: &str) -> usize {
        self.store.value(key).map_or(0, Bytes::len)
    }

    /// Number of watches that the store serves.
    pub fn watches(&self) -> usize {
        let alive = self.nodes.iter().filter(|node| node.is_alive());
        alive.map(|node| node.watches.len()).sum()
    }

    /// Virtual time in microseconds.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Number of events that were scheduled.
    pub fn events(&self) -> u64 {
        self.order
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Tells whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Data centre of a node.
    pub fn data_centre(&self, node: NodeIndex) -> usize {
        self.nodes[node].data_centre
    }

    /// Position in force on a node.
    pub fn position(&self, node: NodeIndex) -> Position {
        self.nodes[node].configuration.position()
    }

    /// Version of the host records on a node.
    pub fn fleet_version(&self, node: NodeIndex) -> u64 {
        self.nodes[node].configuration.fleet_version()
    }

    /// Whether a node reports itself ready.
    pub fn is_ready(&self, node: NodeIndex) -> bool {
        self.nodes[node].ready
    }

    /// Whether a node holds the watches of its data centre.
    pub fn is_watcher(&self, node: NodeIndex) -> bool {
        self.nodes[node].is_alive() && self.nodes[node].configuration.is_watcher()
    }

    /// Index and term of the seat of a running node, unless it is suspended.
    pub fn seat(&self, node: NodeIndex) -> Option<(u16, Term)> {
        let node = &self.nodes[node];
        node.seats.seat().filter(|_| node.is_alive() && !node.seats.is_suspended())
    }

    /// Gateways of other data centres as a node knows them.
    pub fn gateways(&self, node: NodeIndex) -> &[(DataCentreId, EntryId)] {
        &self.nodes[node].gateways
    }

    /// Live peers as a node knows them.
    pub fn peers(&self, node: NodeIndex) -> &[EntryId] {
        &self.nodes[node].peers
    }

    /// Bytes that a node sent to and received from peers and the store.
    pub fn bytes(&self, node: NodeIndex) -> u64 {
        self.nodes[node].sent_bytes + self.nodes[node].received_bytes
    }

    /// Whether a node is running.
    pub fn is_running(&self, node: NodeIndex) -> bool {
        self.nodes[node].state == NodeState::Running
    }

    /// Ends the process of a node.
    pub fn kill(&mut self, node: NodeIndex) {
        self.nodes[node].state = NodeState::Dead;
        self.nodes[node].watches.clear();
    }

    /// Starts the process of a dead node anew, with nothing in memory.
    pub fn restart(&mut self, node: NodeIndex) {
        let seed = self.random.random();
        let peers = self.settings_peers();
        let old = &self.nodes[node];
        let incarnation = old.incarnation + 1;
        let mut fresh = Node::new(old.address.clone(), old.data_centre, peers, seed);
        fresh.incarnation = incarnation;
        (fresh.sent_bytes, fresh.received_bytes) = (old.sent_bytes, old.received_bytes);
        self.nodes[node] = fresh;
        self.schedule_tick(node);
    }

    /// Stops a process for a time; what reaches it meanwhile waits.
    pub fn pause(&mut self, node: NodeIndex, duration_ms: u64) {
        let until_us = self.now_us + duration_ms * 1_000;
        self.nodes[node].state = NodeState::Paused { until_us };
    }

    /// Takes the store back to a backup and interrupts all watches.
    pub fn restore_store(&mut self, snapshot: StoreSnapshot) {
        self.store.restore(snapshot);
        self.seen_log = 0;
        self.interrupt_watches(|_| true);
    }

    /// Interrupts the watches of nodes that the predicate selects by data
    /// centre, as a lost connection does.
    pub fn interrupt_watches<P>(&mut self, selects: P)
    where
        P: Fn(usize) -> bool,
    {
        for node in 0..self.nodes.len() {
            if !selects(self.nodes[node].data_centre) {
                continue;
            }
            for prefix in std::mem::take(&mut self.nodes[node].watches).into_keys() {
                let event = WatchEvent::Interrupted;
                let at_us = self.now_us + STORE_LATENCY_US;
                self.push_node(at_us, node, NodeEvent::Watched { prefix, event });
            }
        }
    }

    /// Puts sections through a node.
    pub fn put(&mut self, node: NodeIndex, team: &str, edits: Vec<SectionEdit>) -> OperatorCall {
        self.put_with(node, team, edits, false)
    }

    /// Puts sections through a node, as the base of a new epoch if asked.
    pub fn put_with(
        &mut self,
        node: NodeIndex,
        team: &str,
        edits: Vec<SectionEdit>,
        raise_epoch: bool,
    ) -> OperatorCall {
        let call = self.operator_call();
        let team = TeamId::new(team);
        let event = ConfigurationEvent::Put { call, team, edits, raise_epoch };
        self.push_node(self.now_us, node, NodeEvent::Configuration(event));
        call
    }

    /// Delivers an event to a node's configuration engine.
    pub fn configuration_event<E>(&mut self, node: NodeIndex, event: E) -> OperatorCall
    where
        E: FnOnce(OperatorCall) -> ConfigurationEvent,
    {
        let call = self.operator_call();
        let event = event(call);
        self.push_node(self.now_us, node, NodeEvent::Configuration(event));
        call
    }

    /// Delivers an event to a node's seat engine.
    pub fn seats_event(&mut self, node: NodeIndex, event: SeatsEvent) {
        self.push_node(self.now_us, node, NodeEvent::Seats(event));
    }

    fn operator_call(&mut self) -> OperatorCall {
        self.next_operator_call += 1;
        OperatorCall(self.next_operator_call)
    }

    /// Runs for a time.
    pub fn run_ms(&mut self, duration_ms: u64) {
        let end_us = self.now_us + duration_ms * 1_000;
        while self.queue.peek().is_some_and(|next| next.at_us <= end_us) {
            let Some(Scheduled { at_us, occurrence, .. }) = self.queue.pop() else { break };
            self.now_us = self.now_us.max(at_us);
            self.occur(occurrence);
        }
        self.now_us = end_us;
    }

    /// Runs until the condition holds; returns whether it did within the time.
    pub fn run_until<P>(&mut self, limit_ms: u64, mut holds: P) -> bool
    where
        P: FnMut(&Self) -> bool,
    {
        for _ in 0..limit_ms.div_ceil(10) {
            if holds(self) {
                return true;
            }
            self.run_ms(10);
        }
        holds(self)
    }

    fn push(&mut self, at_us: u64, occurrence: Occurrence) {
        self.order += 1;
        self.queue.push(Scheduled { at_us, order: self.order, occurrence });
    }

    fn push_node(&mut self, at_us: u64, node: NodeIndex, event: NodeEvent) {
        let incarnation = self.nodes[node].incarnation;
        self.push(at_us, Occurrence::Node { node, incarnation, event });
    }

    fn schedule_tick(&mut self, node: NodeIndex) {
        let Some(due_us) = self.nodes[node].due_us() else { return };
        let at_us = due_us.max(self.now_us + 1_000);
        if self.nodes[node].next_tick_us.is_none_or(|next_us| at_us < next_us) {
            self.nodes[node].next_tick_us = Some(at_us);
            self.push_node(at_us, node, NodeEvent::Tick);
        }
    }

    fn occur(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Node { node, incarnation, event } => {
                if self.nodes[node].incarnation != incarnation || !self.nodes[node].is_alive() {
                    return;
                }
                if let NodeState::Paused { until_us } = self.nodes[node].state {
                    if self.now_us < until_us {
                        self.push_node(until_us, node, event);
                        return;
                    }
                    self.nodes[node].state = NodeState::Running;
                }
                self.on_node_event(node, event);
            }
            Occurrence::StoreCall { node, incarnation, caller, call, request } => {
                self.on_store_call(node, incarnation, caller, call, &request);
            }
        }
    }

    fn on_node_event(&mut self, node: NodeIndex, event: NodeEvent) {
        match event {
            NodeEvent::Tick => {
                self.nodes[node].next_tick_us = None;
                self.give_seats(node, SeatsEvent::Tick);
                self.give_configuration(node, ConfigurationEvent::Tick);
            }
            NodeEvent::Seats(event) => self.give_seats(node, event),
            NodeEvent::Configuration(event) => self.give_configuration(node, event),
            NodeEvent::Watched { prefix, event } => {
                let event = ConfigurationEvent::Watched { prefix, event };
                self.give_configuration(node, event);
            }
        }
        self.schedule_tick(node);
    }
}

fn address(data_centre: usize, entry: usize) -> EntryAddress {
    EntryAddress {
        entry: EntryId::new(format!("e{data_centre:02}-{entry}")),
        data_centre: DataCentreId::new(format!("dc{data_centre:02}")),
        peer_address: format!("10.0.{data_centre}.{entry}:7000").into(),
    }
}
