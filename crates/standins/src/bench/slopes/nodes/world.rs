//! Node cores, the store and the platform's list on virtual time, without
//! faults and without requests.

use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use bytes::Bytes;
use tamarackproxy::{
    node::core::{Effect, Engine, Input, NodeCore},
    protocol::{
        peer::{CONTROL_MESSAGE_MAX_BYTES, Hello, PeerMessage},
        platform::ListedHost,
        store::{KeyValue, StoreRequest, WatchEvent},
    },
    state::{
        clock::ClockReading,
        ids::{CallId, EntryId, RecordVersion},
    },
    transport::frame,
};

use crate::{
    bench::{slopes::deployment::Shape, virtual_time::EventQueue},
    store::{CallCounts, CallLimits, StoreState},
};

/// Wall-clock time of the start, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_780_000_000_000;
/// One way to a peer, to the store and to the platform, in milliseconds.
const ONE_WAY_MS: u64 = 2;
/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;
/// Limits that the start of a large deployment does not meet; the calls at
/// rest are what is measured.
const NO_LIMITS: CallLimits = CallLimits { reads_per_s: 1_000_000, writes_per_s: 1_000_000 };

enum Event {
    Input { node: usize, input: Box<Input> },
    StoreCall { node: usize, engine: Engine, call: CallId, request: StoreRequest },
}

/// Kinds of control messages, in the order of [`kind_of`].
pub(super) const KINDS: [&str; 6] =
    ["seats", "requests", "once", "configuration", "loads", "others"];

fn kind_of(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::Seats(_) => 0,
        PeerMessage::Requests(_) => 1,
        PeerMessage::Once(_) => 2,
        PeerMessage::Configuration(_) => 3,
        PeerMessage::Load { .. } => 4,
        _ => 5,
    }
}

/// What one node took since the last look.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NodeCost {
    /// Time in decisions, in nanoseconds.
    pub(super) cpu_ns: u128,
    /// Control messages sent, in bytes, by kind.
    pub(super) sent: [usize; KINDS.len()],
    /// Control messages received, in bytes, by kind.
    pub(super) received: [usize; KINDS.len()],
    /// Whether it read the platform's list.
    pub(super) is_gateway: bool,
}

impl NodeCost {
    /// Keeps the lesser time and the sum of the bytes of two windows.
    pub(super) fn merge(&mut self, window: Self) {
        self.cpu_ns = self.cpu_ns.min(window.cpu_ns);
        for kind in 0..KINDS.len() {
            self.sent[kind] += window.sent[kind];
            self.received[kind] += window.received[kind];
        }
        self.is_gateway |= window.is_gateway;
    }

    /// Control messages sent and received, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.sent.iter().chain(&self.received).sum()
    }
}

struct Node {
    core: NodeCore,
    hello: Hello,
    tick_at_ms: Option<u64>,
    watches: BTreeMap<Box<str>, (u64, u64)>,
    cost: NodeCost,
}

/// A deployment without faults.
pub(super) struct World {
    queue: EventQueue<Event>,
    nodes: Vec<Node>,
    index: HashMap<EntryId, usize>,
    store: StoreState,
    pushed_revision: u64,
    hosts: Vec<ListedHost>,
}

impl World {
    /// Makes nodes that start, and a store that holds document and hosts.
    pub(super) fn new(shape: Shape, seed: u64) -> Self {
        let mut store = StoreState::new(seed).with_limits(NO_LIMITS);
        let mut put = |key: &str, value: Vec<u8>| {
            // Without a lease the write cannot fail.
            let _ = store.put(0, key.as_bytes(), Bytes::from(value), None);
        };
        put("document/head", serde_json::to_vec(&shape.first_head()).unwrap_or_default());
        let mut hosts = Vec::new();
        for (listed, record) in shape.hosts() {
            let key = format!("host/{}", listed.host);
            put(&key, serde_json::to_vec(&record).unwrap_or_default());
            hosts.push(listed);
        }
        let (nodes, index) = (Vec::new(), HashMap::new());
        let queue = EventQueue::new();
        let mut world = Self { queue, nodes, index, store, pushed_revision: 0, hosts };
        for number in 0..shape.nodes() {
            let settings = shape.settings(number);
            let core = NodeCore::new(&settings, &settings.listen.peers.to_string());
            let hello = Hello { entry: settings.entry.clone(), data_centre: settings.data_centre };
            let (watches, cost) = (BTreeMap::new(), NodeCost::default());
            world.nodes.push(Node { core, hello, tick_at_ms: None, watches, cost });
            world.index.insert(settings.entry, number);
            // Processes do not start in the same millisecond.
            world.schedule(number, 7 * number as u64 % 1_000, Input::Tick);
        }
        world
    }

    /// Runs for a time.
    pub(super) fn run_ms(&mut self, duration_ms: u64) {
        let end_ms = self.queue.now_ms() + duration_ms;
        while self.queue.now_ms() < end_ms {
            match self.queue.pop() {
                Some(Event::Input { node, input }) => self.input(node, *input),
                Some(Event::StoreCall { node, engine, call, request }) => {
                    let result = self.store.call(self.queue.now_ms(), &request);
                    self.schedule(node, ONE_WAY_MS, Input::StoreReplied { engine, call, result });
                    self.push_watches();
                }
                None => return,
            }
        }
    }

    /// Returns the number of nodes that hold a seat and take requests.
    pub(super) fn serving(&self) -> usize {
        self.nodes.iter().filter(|node| node.core.is_serving()).count()
    }

    /// Returns what each node took since the last call.
    pub(super) fn take_costs(&mut self) -> Vec<NodeCost> {
        self.nodes.iter_mut().map(|node| std::mem::take(&mut node.cost)).collect()
    }

    /// Returns the counts of the store's calls so far.
    pub(super) fn store_counts(&self) -> CallCounts {
        *self.store.counts()
    }

    fn schedule(&mut self, node: usize, delay_ms: u64, input: Input) {
        self.queue.push_in(delay_ms, Event::Input { node, input: Box::new(input) });
    }

    fn input(&mut self, index: usize, input: Input) {
        let now_ms = self.queue.now_ms();
        let node = &mut self.nodes[index];
        if matches!(input, Input::Tick) {
            if node.tick_at_ms.is_some_and(|at_ms| at_ms > now_ms) {
                return;
            }
            node.tick_at_ms = None;
        }
        let clock = ClockReading::new(now_ms, START_UNIX_MS + now_ms);
        let before = Instant::now();
        let effects = node.core.handle(clock, input);
        let tick_ms = node.core.next_tick_ms();
        node.cost.cpu_ns += before.elapsed().as_nanos();
        if node.tick_at_ms.is_none_or(|at_ms| tick_ms < at_ms) {
            node.tick_at_ms = Some(tick_ms);
            let input = Box::new(Input::Tick);
            self.queue.push_at(tick_ms, Event::Input { node: index, input });
        }
        effects.into_iter().for_each(|effect| self.carry_out(index, effect));
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::CallStore { engine, call, request } => {
                let event = Event::StoreCall { node, engine, call, request };
                self.queue.push_in(ONE_WAY_MS, event);
            }
            Effect::Watch { prefix, from_version, generation } => {
                self.nodes[node].watches.insert(prefix, (generation, from_version));
                self.pushed_revision = 0;
                self.push_watches();
            }
            Effect::Unwatch { prefix } => {
                self.nodes[node].watches.remove(&prefix);
            }
            Effect::SendPeer { to, message } => self.send_peer(node, &to, message),
            Effect::ListHosts => {
                self.nodes[node].cost.is_gateway = true;
                let hosts = Some(self.hosts.clone());
                self.schedule(node, 2 * ONE_WAY_MS, Input::HostsListed { hosts });
            }
            Effect::CheckHealth { host, asked_by, .. } => {
                let input = Input::HealthChecked { host, healthy: true, asked_by };
                self.schedule(node, 2 * ONE_WAY_MS, input);
            }
            _ => {}
        }
    }

    fn send_peer(&mut self, from: usize, to: &EntryId, message: PeerMessage) {
        let encoded = frame::encode(&message, CONTROL_MESSAGE_MAX_BYTES);
        let bytes = encoded.map_or(0, |bytes| bytes.len() + LENGTH_BYTES);
        let Some(&to) = self.index.get(to) else { return };
        let kind = kind_of(&message);
        self.nodes[from].cost.sent[kind] += bytes;
        self.nodes[to].cost.received[kind] += bytes;
        let hello = self.nodes[from].hello.clone();
        self.schedule(to, ONE_WAY_MS, Input::PeerMessage { hello, message });
    }

    fn push_watches(&mut self) {
        if self.store.revision() == self.pushed_revision {
            return;
        }
        self.pushed_revision = self.store.revision();
        for index in 0..self.nodes.len() {
            for (prefix, (generation, from)) in self.nodes[index].watches.clone() {
                let changes = self.store.changes_from(from).unwrap_or_default();
                let Some(last) = changes.last().map(|change| change.revision) else { continue };
                self.nodes[index].watches.insert(prefix.clone(), (generation, last + 1));
                for change in changes {
                    if !change.key.starts_with(prefix.as_bytes()) {
                        continue;
                    }
                    let key: Box<str> = String::from_utf8_lossy(&change.key).into();
                    let version = RecordVersion(change.revision);
                    let event = match change.stored {
                        Some(stored) => {
                            WatchEvent::Put(KeyValue { key, value: stored.value, version })
                        }
                        None => WatchEvent::Deleted { key, version },
                    };
                    let prefix = prefix.clone();
                    self.schedule(index, ONE_WAY_MS, Input::Watched { prefix, generation, event });
                }
            }
        }
    }
}
