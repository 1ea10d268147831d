//! Simulated deployment: processes of entry hosts, the network between them, the
//! store and virtual time.

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
    event::{NodeEvent, Scheduled, SimEvent},
    node::Node,
};

/// Index of an entry host within a cluster.
pub type NodeIndex = usize;

/// Size and seed of a cluster.
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
    published: usize,
    /// The simulated store.
    pub store: VirtualStore,
    /// Faults in effect.
    pub faults: Faults,
    /// Observations so far.
    pub observations: Observations,
}

impl Cluster {
    /// Creates a cluster with all entry hosts started and the document in the store;
    /// an empty text stores no document.
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
            published: 0,
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

    /// Writes a key unconditionally, in place of an operator's tool or a controller.
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

    /// Returns the host records that an entry host reported last.
    pub fn records(&self, node: NodeIndex) -> Arc<Vec<(u64, HostRecord)>> {
        self.nodes[node].records.clone()
    }

    /// Returns the size of a stored value, in bytes.
    pub fn stored_bytes(&self, key: &str) -> usize {
        self.store.value(key).map_or(0, Bytes::len)
    }

    /// Returns the number of watches that the store serves.
    pub fn watches(&self) -> usize {
        let alive = self.nodes.iter().filter(|node| node.is_alive());
        alive.map(|node| node.watches.len()).sum()
    }

    /// Returns the virtual time, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Returns the number of events scheduled so far.
    pub fn events(&self) -> u64 {
        self.order
    }

    /// Returns the number of entry hosts.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether there are no entry hosts.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the index of an entry host's data centre.
    pub fn data_centre(&self, node: NodeIndex) -> usize {
        self.nodes[node].data_centre
    }

    /// Returns the position in force on an entry host.
    pub fn position(&self, node: NodeIndex) -> Position {
        self.nodes[node].configuration.position()
    }

    /// Returns the version of the host records on an entry host.
    pub fn fleet_version(&self, node: NodeIndex) -> u64 {
        self.nodes[node].configuration.fleet_version()
    }

    /// Returns whether an entry host reports that it is ready.
    pub fn is_ready(&self, node: NodeIndex) -> bool {
        self.nodes[node].ready
    }

    /// Returns whether a running entry host holds the watches of its data centre.
    pub fn is_watcher(&self, node: NodeIndex) -> bool {
        self.nodes[node].is_alive() && self.nodes[node].configuration.is_watcher()
    }

    /// Returns the index and term of a running entry host's seat, unless the seat is
    /// suspended.
    pub fn seat(&self, node: NodeIndex) -> Option<(u16, Term)> {
        let node = &self.nodes[node];
        node.seats.seat().filter(|_| node.is_alive() && !node.seats.is_suspended())
    }

    /// Returns the gateways of other data centres as known to an entry host.
    pub fn gateways(&self, node: NodeIndex) -> &[(DataCentreId, EntryId)] {
        &self.nodes[node].gateways
    }

    /// Returns the live peers as known to an entry host.
    pub fn peers(&self, node: NodeIndex) -> &[EntryId] {
        &self.nodes[node].peers
    }

    /// Returns the bytes that an entry host exchanged with peers and the store.
    pub fn bytes(&self, node: NodeIndex) -> u64 {
        self.nodes[node].sent_bytes + self.nodes[node].received_bytes
    }

    /// Returns whether an entry host is running.
    pub fn is_running(&self, node: NodeIndex) -> bool {
        self.nodes[node].state == NodeState::Running
    }

    /// Ends the process of an entry host without a graceful stop.
    pub fn kill(&mut self, node: NodeIndex) {
        self.nodes[node].state = NodeState::Dead;
        self.nodes[node].watches.clear();
    }

    /// Starts a new process for a dead entry host, without state in memory.
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

    /// Pauses a process; events that arrive meanwhile are delivered when it
    /// resumes.
    pub fn pause(&mut self, node: NodeIndex, duration_ms: u64) {
        let until_us = self.now_us + duration_ms * 1_000;
        self.nodes[node].state = NodeState::Paused { until_us };
    }

    /// Restores the store from a backup and interrupts all watches.
    pub fn restore_store(&mut self, snapshot: StoreSnapshot) {
        self.store.restore(snapshot);
        self.published = 0;
        self.interrupt_watches(|_| true);
    }

    /// Interrupts the watches of the entry hosts in selected data centres, as a lost
    /// connection does.
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

    /// Sends a put of sections to an entry host.
    pub fn put(&mut self, node: NodeIndex, team: &str, edits: Vec<SectionEdit>) -> OperatorCall {
        self.put_with(node, team, edits, false)
    }

    /// Sends a put of sections to an entry host; `raise_epoch` makes it start a new
    /// epoch.
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

    /// Delivers an event to the configuration engine of an entry host.
    pub fn configuration_event<E>(&mut self, node: NodeIndex, event: E) -> OperatorCall
    where
        E: FnOnce(OperatorCall) -> ConfigurationEvent,
    {
        let call = self.operator_call();
        let event = event(call);
        self.push_node(self.now_us, node, NodeEvent::Configuration(event));
        call
    }

    /// Delivers an event to the seat engine of an entry host.
    pub fn seats_event(&mut self, node: NodeIndex, event: SeatsEvent) {
        self.push_node(self.now_us, node, NodeEvent::Seats(event));
    }

    fn operator_call(&mut self) -> OperatorCall {
        self.next_operator_call += 1;
        OperatorCall(self.next_operator_call)
    }

    /// Advances the virtual time by `duration_ms` and processes all events that are
    /// due.
    pub fn run_ms(&mut self, duration_ms: u64) {
        let end_us = self.now_us + duration_ms * 1_000;
        while self.queue.peek().is_some_and(|next| next.at_us <= end_us) {
            let Some(Scheduled { at_us, event, .. }) = self.queue.pop() else { break };
            self.now_us = self.now_us.max(at_us);
            self.process(event);
        }
        self.now_us = end_us;
    }

    /// Runs until the condition holds, checked every 10 ms; returns whether it held
    /// within `limit_ms`.
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

    fn push(&mut self, at_us: u64, event: SimEvent) {
        self.order += 1;
        self.queue.push(Scheduled { at_us, order: self.order, event });
    }

    fn push_node(&mut self, at_us: u64, node: NodeIndex, event: NodeEvent) {
        let incarnation = self.nodes[node].incarnation;
        self.push(at_us, SimEvent::Node { node, incarnation, event });
    }

    fn schedule_tick(&mut self, node: NodeIndex) {
        let Some(due_us) = self.nodes[node].next_due_us() else { return };
        let at_us = due_us.max(self.now_us + 1_000);
        if self.nodes[node].next_tick_us.is_none_or(|next_us| at_us < next_us) {
            self.nodes[node].next_tick_us = Some(at_us);
            self.push_node(at_us, node, NodeEvent::Tick);
        }
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::Node { node, incarnation, event } => {
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
            SimEvent::StoreCall { node, incarnation, engine, call, request } => {
                self.on_store_call(node, incarnation, engine, call, &request);
            }
        }
    }

    fn on_node_event(&mut self, node: NodeIndex, event: NodeEvent) {
        match event {
            NodeEvent::Tick => {
                self.nodes[node].next_tick_us = None;
                self.deliver_to_seats(node, SeatsEvent::Tick);
                self.deliver_to_configuration(node, ConfigurationEvent::Tick);
            }
            NodeEvent::Seats(event) => self.deliver_to_seats(node, event),
            NodeEvent::Configuration(event) => self.deliver_to_configuration(node, event),
            NodeEvent::Watched { prefix, event } => {
                let event = ConfigurationEvent::Watched { prefix, event };
                self.deliver_to_configuration(node, event);
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
