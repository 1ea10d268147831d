//! Whole nodes, store, platform and targets on virtual time.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{
    coordination::requests::AttemptResult,
    node::core::{Effect, End, Engine, Input, NodeCore},
    protocol::{
        caller::Outcome,
        http::{TargetRequest, TargetResponse},
        peer::{ForwardFailure, ForwardRequest, Hello, PeerMessage},
        store::{KeyValue, StoreError, StoreReply, StoreRequest, WatchEvent},
    },
    state::{
        clock::ClockReading,
        ids::{CallId, DataCentreId, EntryId, HostId, RackId, RecordVersion, RequestId, TargetId},
        settings::Settings,
    },
};

use super::{
    deployment::{self, ORDERS},
    step::Step,
    targets::{AttemptOf, Targets},
    traffic::{BODY_BYTES, Order, Traffic},
};
use crate::{
    bench::virtual_time::EventQueue,
    caller::AttemptEnd,
    platform::{Condition, PlatformState, RebootAnswer},
    store::StoreState,
    target::{ATTEMPT_HEADER, Cut, RunRecord, check_body, echo_body},
    verdict::{AcceptedPut, DataCentreCut, EntryOutage, Observations, ServiceRule, Sighting},
};

/// Wall-clock time of the start, in milliseconds since the Unix epoch.
pub(super) const START_UNIX_MS: u64 = 1_780_000_000_000;
/// One way within a data centre, in milliseconds.
const LOCAL_MS: u64 = 1;
/// One way between data centres, in milliseconds: 1.4 rounded up.
const REMOTE_MS: u64 = 2;
/// One way to store and platform, in milliseconds.
const PLATFORM_MS: u64 = 2;
/// Time after which a client of the store gives up, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 1_000;
/// Age of the platform's list, in milliseconds.
const LIST_LAG_MS: u64 = 1_000;
/// Time that a reboot takes, in milliseconds.
const REBOOT_MS: u64 = 3_000;
/// Shortest and longest time that a request takes on its target, in
/// milliseconds.
const SERVICE_MS: (u64, u64) = (20, 120);
/// Share of requests that take most of their deadline, and their time in
/// milliseconds; without them no drain would wait for a request.
const LONG_SHARE: f64 = 0.03;
const LONG_SERVICE_MS: u64 = 3_500;
/// Interval at which positions are sampled and reboots end, in milliseconds.
const SAMPLE_MS: u64 = 100;

/// What happens at a moment.
pub(super) enum Event {
    Input { node: usize, incarnation: u32, input: Box<Input> },
    StoreCall { node: usize, incarnation: u32, engine: Engine, call: CallId, request: StoreRequest },
    RunEnds { run: usize },
    ConnectionClosed { attempt: AttemptOf },
    Sample,
    Send { order: Order },
    Script(Script),
}

/// What the cell does at a moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Script {
    Traffic,
    Step,
    Heal(usize),
    StopEntry,
    RestartEntry(usize),
    Put { number: u32, entry: usize, section: &'static str },
    Cut,
    HealCut,
}

pub(super) struct Node {
    pub(super) settings: Settings,
    pub(super) core: Option<NodeCore>,
    pub(super) incarnation: u32,
    boot_ms: u64,
    tick_at_ms: Option<u64>,
    pub(super) paused_until_ms: u64,
    watches: BTreeMap<Box<str>, (u64, u64)>,
    next_request: u64,
}

/// A forwarded request on its way.
struct Forwarded {
    node: usize,
    incarnation: u32,
    request: RequestId,
}

pub(super) struct World {
    pub(super) queue: EventQueue<Event>,
    pub(super) random: ChaCha8Rng,
    pub(super) nodes: Vec<Node>,
    pub(super) store: StoreState,
    pub(super) platform: PlatformState,
    pub(super) platform_down: bool,
    pub(super) targets: Targets,
    pub(super) traffic: Traffic,
    pub(super) observations: Observations,
    /// Data centres cut off from the others.
    pub(super) cut: BTreeSet<DataCentreId>,
    /// Data centres cut off from store and platform.
    pub(super) platform_cut: BTreeSet<DataCentreId>,
    /// Share of control messages that are lost.
    pub(super) message_loss: f64,
    forwarded: HashMap<(usize, u32, RequestId), Forwarded>,
    put_lines: HashMap<u64, (Box<str>, Box<str>)>,
    /// Steps that were seen since the last look, each with its node and host.
    pub(super) seen: Vec<(Step, Option<usize>, Option<HostId>)>,
    racks: BTreeMap<HostId, (DataCentreId, RackId)>,
}

impl World {
    pub(super) fn new(seed: u64) -> Self {
        let hosts = deployment::hosts();
        let racks = hosts
            .iter()
            .map(|host| (host.host.clone(), (host.data_centre.clone(), host.rack.clone())));
        let racks = racks.collect();
        let targets = hosts.into_iter().map(|host| (host, None));
        let platform = PlatformState::new(targets, LIST_LAG_MS, REBOOT_MS);
        let mut world = Self {
            queue: EventQueue::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            store: StoreState::new(seed),
            platform,
            platform_down: false,
            targets: Targets::default(),
            traffic: Traffic::default(),
            observations: Observations::default(),
            cut: BTreeSet::new(),
            platform_cut: BTreeSet::new(),
            message_loss: 0.0,
            forwarded: HashMap::new(),
            put_lines: HashMap::new(),
            seen: Vec::new(),
            racks,
        };
        world.install_document();
        for index in 0..deployment::entries().len() {
            world.nodes.push(Node {
                settings: deployment::settings(index),
                core: None,
                incarnation: 0,
                boot_ms: 0,
                tick_at_ms: None,
                paused_until_ms: 0,
                watches: BTreeMap::new(),
                next_request: 0,
            });
            world.start_node(index);
        }
        world.queue.push_at(SAMPLE_MS, Event::Sample);
        world
    }

    fn install_document(&mut self) {
        let head = serde_json::to_vec(&deployment::first_head()).unwrap_or_default();
        // Without a lease the write cannot fail.
        let _ = self.store.put(0, b"document/head", head.into(), None);
        let rule = |service: &str, pool: &str, min_available| ServiceRule {
            service: tamarackproxy::state::ids::ServiceId::new(service),
            pool: tamarackproxy::state::ids::PoolId::new(pool),
            min_available,
        };
        self.observations.services = vec![rule(ORDERS, "orders", 7), rule("reports", "spare", 3)];
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.queue.now_ms()
    }

    /// Starts a process with nothing.
    pub(super) fn start_node(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let node = &mut self.nodes[index];
        let peer_address = node.settings.listen.peers.to_string();
        node.core = Some(NodeCore::new(&node.settings, &peer_address));
        node.incarnation += 1;
        node.boot_ms = now_ms;
        node.tick_at_ms = None;
        node.paused_until_ms = 0;
        node.watches.clear();
        node.next_request = u64::from(node.incarnation) << 32;
        let entry = node.settings.entry.clone();
        let mut outages = self.observations.outages.iter_mut().rev();
        if let Some(outage) = outages.find(|outage| outage.entry == entry && outage.to_ms.is_none())
        {
            outage.to_ms = Some(now_ms);
        }
        self.schedule(index, 0, Input::Tick);
    }

    /// Ends a process at once, as a crash does.
    pub(super) fn kill_node(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let node = &mut self.nodes[index];
        if node.core.take().is_none() {
            return;
        }
        let (entry, incarnation) = (node.settings.entry.clone(), node.incarnation);
        self.targets.process_gone(index, incarnation, now_ms);
        self.observations.outages.push(EntryOutage { entry, from_ms: now_ms, to_ms: None });
        let mut open: Vec<_> = self
            .traffic
            .open
            .keys()
            .filter(|(node, number, _)| (*node, *number) == (index, incarnation))
            .copied()
            .collect();
        open.sort_unstable();
        for key in open {
            if let Some((attempt, order)) = self.traffic.open.remove(&key) {
                self.end_attempt(attempt, order, AttemptEnd::Broken);
            }
        }
        let mut lost: Vec<_> = self
            .forwarded
            .keys()
            .filter(|(node, number, _)| (*node, *number) == (index, incarnation))
            .copied()
            .collect();
        lost.sort_unstable();
        for key in lost {
            if let Some(from) = self.forwarded.remove(&key) {
                self.forward_ended(&from, LOCAL_MS, Err(ForwardFailure::Lost));
            }
        }
    }

    /// Pauses a process; inputs wait.
    pub(super) fn pause_node(&mut self, index: usize, for_ms: u64) {
        let now_ms = self.now_ms();
        let node = &mut self.nodes[index];
        node.paused_until_ms = now_ms + for_ms;
        let entry = node.settings.entry.clone();
        let to_ms = Some(now_ms + for_ms);
        self.observations.outages.push(EntryOutage { entry, from_ms: now_ms, to_ms });
    }

    /// Notes that an entry host could not learn of changes until now.
    pub(super) fn note_outage(&mut self, data_centre: &DataCentreId, from_ms: u64) {
        let to_ms = self.now_ms();
        let nodes = self.nodes.iter().filter(|node| node.settings.data_centre == *data_centre);
        let outages = nodes.map(|node| EntryOutage {
            entry: node.settings.entry.clone(),
            from_ms,
            to_ms: Some(to_ms),
        });
        self.observations.outages.extend(outages);
        let data_centre = data_centre.clone();
        self.observations.cuts.push(DataCentreCut { data_centre, from_ms, to_ms });
    }

    /// Notes that a data centre could not read the platform's list until now.
    pub(super) fn note_list_outage(&mut self, data_centre: &DataCentreId, from_ms: u64) {
        let (data_centre, to_ms) = (data_centre.clone(), self.now_ms());
        self.observations.list_outages.push(DataCentreCut { data_centre, from_ms, to_ms });
    }

    pub(super) fn data_centre_of(&self, node: usize) -> &DataCentreId {
        &self.nodes[node].settings.data_centre
    }

    /// Hosts of the rack that the host stands in.
    pub(super) fn rack_mates(&self, host: &HostId) -> Vec<HostId> {
        let rack = self.racks.get(host);
        let mates = self.racks.iter().filter(|(_, other)| Some(*other) == rack);
        mates.map(|(host, _)| host.clone()).collect()
    }

    pub(super) fn kill_host(&mut self, host: &HostId) {
        let now_ms = self.now_ms();
        if self.platform.condition(host) == Some(Condition::Up) {
            self.platform.kill(now_ms, host);
            self.cut_runs(host, Cut::Died);
        }
    }

    pub(super) fn revive_host(&mut self, host: &HostId) {
        if self.platform.condition(host) == Some(Condition::Dead) {
            self.platform.revive(self.now_ms(), host);
        }
    }

    fn cut_runs(&mut self, host: &HostId, cut: Cut) {
        for run in self.targets.cut_host(host, self.now_ms(), cut) {
            self.attempt_ended(run, AttemptResult::Lost, None);
        }
    }

    pub(super) fn is_reachable(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.data_centre_of(from), self.data_centre_of(to));
        from == to || !(self.cut.contains(from) || self.cut.contains(to))
    }

    fn reaches_platform(&self, node: usize) -> bool {
        let data_centre = self.data_centre_of(node);
        !(self.cut.contains(data_centre) || self.platform_cut.contains(data_centre))
    }

    fn latency_ms(&self, from: usize, to: usize) -> u64 {
        if self.data_centre_of(from) == self.data_centre_of(to) { LOCAL_MS } else { REMOTE_MS }
    }

    fn schedule(&mut self, node: usize, delay_ms: u64, input: Input) {
        let incarnation = self.nodes[node].incarnation;
        let input = Box::new(input);
        self.queue.push_in(delay_ms, Event::Input { node, incarnation, input });
    }

    /// Handles one event of the world; scripts are the cell's.
    pub(super) fn apply(&mut self, event: Event) -> Option<Script> {
        match event {
            Event::Input { node, incarnation, input } => self.input(node, incarnation, *input),
            Event::StoreCall { node, incarnation, engine, call, request } => {
                self.store_call(node, incarnation, engine, call, &request);
            }
            Event::RunEnds { run } => self.run_ends(run),
            Event::ConnectionClosed { attempt } => {
                self.targets.client_gone(&attempt, self.queue.now_ms());
            }
            Event::Sample => self.sample(),
            Event::Send { order } => self.send(order, None),
            Event::Script(script) => return Some(script),
        }
        None
    }

    fn input(&mut self, index: usize, incarnation: u32, input: Input) {
        let now_ms = self.now_ms();
        let node = &mut self.nodes[index];
        if node.incarnation != incarnation {
            return;
        }
        if now_ms < node.paused_until_ms {
            let at_ms = node.paused_until_ms;
            let input = Box::new(input);
            return self.queue.push_at(at_ms, Event::Input { node: index, incarnation, input });
        }
        let Some(core) = &mut node.core else { return };
        if matches!(input, Input::Tick) {
            node.tick_at_ms = None;
        }
        let clock = ClockReading::new(now_ms - node.boot_ms, START_UNIX_MS + now_ms);
        self.seen.extend(step_of_input(&input).map(|step| (step, Some(index), None)));
        let effects = core.handle(clock, input);
        let tick_ms = node.boot_ms + core.next_tick_ms();
        if core.has_ended() {
            node.core = None;
            let entry = node.settings.entry.clone();
            self.observations.outages.push(EntryOutage { entry, from_ms: now_ms, to_ms: None });
        } else if node.tick_at_ms.is_none_or(|at_ms| tick_ms < at_ms) {
            node.tick_at_ms = Some(tick_ms);
            let input = Box::new(Input::Tick);
            self.queue.push_at(tick_ms, Event::Input { node: index, incarnation, input });
        }
        for effect in effects {
            self.carry_out(index, incarnation, effect);
        }
    }

    fn carry_out(&mut self, node: usize, incarnation: u32, effect: Effect) {
        match effect {
            Effect::CallStore { engine, call, request } => {
                self.call_store(node, incarnation, engine, call, request);
            }
            Effect::Watch { prefix, from_version, generation } => {
                self.nodes[node].watches.insert(prefix, (generation, from_version));
                self.push_watches();
            }
            Effect::Unwatch { prefix } => {
                self.nodes[node].watches.remove(&prefix);
            }
            Effect::SendPeer { to, message } => self.send_peer(node, &to, message),
            Effect::Forward { request, to, message, time_ms } => {
                self.forward(node, incarnation, request, &to, message, time_ms);
            }
            Effect::Dispatch { request, attempt, target, address, target_request, time_ms } => {
                let of = AttemptOf { node, incarnation, request, attempt };
                let host = deployment::host_at(address.ip());
                let target = TargetId { host: host.unwrap_or(target.host), ..target };
                self.dispatch(of, &target, &target_request, time_ms);
            }
            Effect::Abort { request, attempt } => {
                let attempt = AttemptOf { node, incarnation, request, attempt };
                self.queue.push_in(LOCAL_MS, Event::ConnectionClosed { attempt });
            }
            Effect::Reply { request, end } => self.reply(node, incarnation, request, end),
            Effect::ListHosts => {
                let hosts = (!self.platform_down && self.reaches_platform(node))
                    .then(|| self.platform.list(self.queue.now_ms()).hosts);
                self.schedule(node, 2 * PLATFORM_MS, Input::Listed { hosts });
            }
            Effect::Reboot { host, operation } => self.reboot(node, host, &operation.to_string()),
            Effect::CheckHealth { host, addresses, asked_by } => {
                let is_up = |address: &std::net::SocketAddr| {
                    let host = deployment::host_at(address.ip());
                    host.is_some_and(|host| self.platform.condition(&host) == Some(Condition::Up))
                };
                let healthy = addresses.iter().all(is_up);
                let input = Input::HealthChecked { host, healthy, asked_by };
                self.schedule(node, 2 * LOCAL_MS, input);
            }
            Effect::PutEnded { call, result } => {
                if let (Ok(position), Some((section, line))) =
                    (result, self.put_lines.remove(&call.0))
                {
                    let position = (position.epoch.0, position.revision.0);
                    let at_ms = self.now_ms();
                    self.observations.puts.push(AcceptedPut { at_ms, position, section, line });
                }
            }
            Effect::CallWorker { pool, call, .. } => {
                let reply = tamarackproxy::coordination::jobs::WorkerReply::Unknown;
                let input = Input::WorkerReplied { pool, call, reply };
                self.schedule(node, STORE_TIMEOUT_MS, input);
            }
            Effect::ListTasks { pool, host } => {
                let input = Input::TasksListed { pool, host, tasks: None };
                self.schedule(node, STORE_TIMEOUT_MS, input);
            }
            Effect::JobAnswered { .. }
            | Effect::Connect { .. }
            | Effect::TargetsKnown { .. }
            | Effect::WaitEnded { .. } => {}
        }
    }

    fn call_store(
        &mut self,
        node: usize,
        incarnation: u32,
        engine: Engine,
        call: CallId,
        request: StoreRequest,
    ) {
        if let StoreRequest::CompareAndSwap { key, .. } = &request {
            let step = match (engine, &**key) {
                (Engine::Once, key) if key.starts_with("once/") => Some(Step::ChargeClaiming),
                (Engine::Configuration, "document/head") => Some(Step::PutWriting),
                _ => None,
            };
            self.seen.extend(step.map(|step| (step, Some(node), None)));
        }
        let lost = |error| Input::StoreReplied { engine, call, result: Err(error) };
        if !self.reaches_platform(node) {
            return self.schedule(node, STORE_TIMEOUT_MS, lost(StoreError::NotSent));
        }
        if self.platform_down {
            return self.schedule(node, PLATFORM_MS, lost(StoreError::NotSent));
        }
        let delay_ms = PLATFORM_MS + self.store.faults.delay_ms;
        if delay_ms >= STORE_TIMEOUT_MS {
            self.schedule(node, STORE_TIMEOUT_MS, lost(StoreError::Unknown));
        }
        let event = Event::StoreCall { node, incarnation, engine, call, request };
        self.queue.push_in(delay_ms, event);
    }

    fn store_call(
        &mut self,
        node: usize,
        incarnation: u32,
        engine: Engine,
        call: CallId,
        request: &StoreRequest,
    ) {
        let result = self.store.call(self.queue.now_ms(), request);
        if let (StoreRequest::CompareAndSwap { key, .. }, Ok(StoreReply::Swapped(_))) =
            (request, &result)
        {
            self.see_write(node, key);
        }
        let is_late = self.store.faults.delay_ms + PLATFORM_MS >= STORE_TIMEOUT_MS;
        if self.nodes[node].incarnation == incarnation && !is_late {
            let reached = self.reaches_platform(node);
            let result = if reached { result } else { Err(StoreError::Unknown) };
            let delay_ms = if reached { PLATFORM_MS } else { STORE_TIMEOUT_MS };
            self.schedule(node, delay_ms, Input::StoreReplied { engine, call, result });
        }
        self.push_watches();
    }

    fn see_write(&mut self, node: usize, key: &str) {
        if key.starts_with("once/") {
            self.seen.push((Step::ChargeClaimed, Some(node), None));
        } else if key == "document/head" {
            self.seen.push((Step::PutWritten, Some(node), None));
        } else if key.starts_with("budget/") {
            self.seen.push((Step::HostReserved, Some(node), None));
        } else if let Some(host) = key.strip_prefix("host/") {
            let record = self.store.get(key.as_bytes());
            let record = record.map(|stored| stored.value.clone()).unwrap_or_default();
            let record: serde_json::Value = serde_json::from_slice(&record).unwrap_or_default();
            let was_rebooted = self.platform.events().iter().any(|e| e.host.as_str() == host);
            let step = match record["phase"].as_str() {
                Some("draining") => Some(Step::HostDraining),
                Some("active") if was_rebooted => Some(Step::HostActive),
                _ => None,
            };
            let host = host.parse().ok();
            self.seen.extend(step.map(|step| (step, Some(node), host)));
        }
    }

    /// Passes new changes of the store to its watchers.
    fn push_watches(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].core.is_none() {
                continue;
            }
            let is_up = !self.platform_down && self.reaches_platform(index);
            let watches = self.nodes[index].watches.clone();
            for (prefix, (generation, from)) in watches {
                if !is_up {
                    self.nodes[index].watches.remove(&prefix);
                    let event = WatchEvent::Interrupted;
                    let input = Input::Watched { prefix, generation, event };
                    self.schedule(index, PLATFORM_MS, input);
                    continue;
                }
                let changes = self.store.changes_from(from).unwrap_or_default();
                let Some(last) = changes.last().map(|change| change.revision) else { continue };
                self.nodes[index].watches.insert(prefix.clone(), (generation, last + 1));
                let of_prefix =
                    changes.into_iter().filter(|change| change.key.starts_with(prefix.as_bytes()));
                for change in of_prefix.collect::<Vec<_>>() {
                    let key: Box<str> = String::from_utf8_lossy(&change.key).into();
                    let version = RecordVersion(change.revision);
                    let event = match change.stored {
                        Some(stored) => {
                            WatchEvent::Put(KeyValue { key, value: stored.value, version })
                        }
                        None => WatchEvent::Deleted { key, version },
                    };
                    let prefix = prefix.clone();
                    let input = Input::Watched { prefix, generation, event };
                    self.schedule(index, PLATFORM_MS, input);
                }
            }
        }
    }

    fn index_of(&self, entry: &EntryId) -> Option<usize> {
        self.nodes.iter().position(|node| node.settings.entry == *entry)
    }

    fn send_peer(&mut self, from: usize, to: &EntryId, message: PeerMessage) {
        let step = match &message {
            PeerMessage::Configuration(_) => Some(Step::PutPushed),
            PeerMessage::Fleet(tamarackproxy::coordination::fleet::FleetMessage::DrainStatus {
                ..
            }) => Some(Step::HostDrained),
            _ => None,
        };
        self.seen.extend(step.map(|step| (step, Some(from), None)));
        let Some(to) = self.index_of(to) else { return };
        if !self.is_reachable(from, to) || self.random.random_bool(self.message_loss) {
            return;
        }
        let delay_ms = self.latency_ms(from, to);
        if self.nodes[to].core.is_none() {
            let peer = self.nodes[to].settings.entry.clone();
            return self.schedule(from, 2 * delay_ms, Input::PeerRefused { peer });
        }
        let settings = &self.nodes[from].settings;
        let hello =
            Hello { entry: settings.entry.clone(), data_centre: settings.data_centre.clone() };
        self.schedule(to, delay_ms, Input::PeerMessage { hello, message });
    }

    fn forward(
        &mut self,
        node: usize,
        incarnation: u32,
        request: RequestId,
        to: &EntryId,
        message: ForwardRequest,
        time_ms: u64,
    ) {
        if message.key.is_some() {
            self.seen.push((Step::ChargeForwarded, Some(node), None));
        }
        let from = Forwarded { node, incarnation, request };
        let Some(to) = self.index_of(to) else {
            return self.forward_ended(&from, LOCAL_MS, Err(ForwardFailure::NotSent));
        };
        if !self.is_reachable(node, to) {
            return self.forward_ended(&from, time_ms, Err(ForwardFailure::Lost));
        }
        let delay_ms = self.latency_ms(node, to);
        if self.nodes[to].core.is_none() {
            return self.forward_ended(&from, 2 * delay_ms, Err(ForwardFailure::NotSent));
        }
        self.nodes[to].next_request += 1;
        let number = RequestId(self.nodes[to].next_request);
        // The sender gives up at its deadline even if nothing comes back.
        self.forward_ended(&from, time_ms + 1, Err(ForwardFailure::Lost));
        self.forwarded.insert((to, self.nodes[to].incarnation, number), from);
        let message = Box::new(message);
        self.schedule(to, delay_ms, Input::Forwarded { request: number, message });
    }

    fn forward_ended(
        &mut self,
        from: &Forwarded,
        delay_ms: u64,
        reply: Result<tamarackproxy::protocol::peer::ForwardResponse, ForwardFailure>,
    ) {
        let input = Box::new(Input::ForwardEnded { request: from.request, reply });
        let (node, incarnation) = (from.node, from.incarnation);
        self.queue.push_in(delay_ms, Event::Input { node, incarnation, input });
    }

    fn dispatch(
        &mut self,
        of: AttemptOf,
        target: &TargetId,
        request: &TargetRequest,
        time_ms: u64,
    ) {
        let is_charge = request.headers.contains_key("idempotency-key");
        let step = if is_charge { Step::ChargeDispatched } else { Step::RequestDispatched };
        self.seen.push((step, Some(of.node), Some(target.host.clone())));
        let ended = |result, response| Input::AttemptEnded {
            request: of.request,
            attempt: of.attempt,
            result,
            response,
        };
        if self.platform.condition(&target.host) != Some(Condition::Up) {
            return self.schedule(of.node, 2 * LOCAL_MS, ended(AttemptResult::NotSent, None));
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
        let Some(run) = self.targets.start(target, run, of) else {
            let leaving = false;
            let refused = AttemptResult::RefusedBeforeStart { leaving };
            return self.schedule(of.node, 2 * LOCAL_MS, ended(refused, None));
        };
        let step = if is_charge { Step::ChargeRunning } else { Step::RequestRunning };
        self.seen.push((step, Some(of.node), Some(target.host.clone())));
        let is_failing = self.targets.failing.contains(&target.host);
        let service_ms = if self.random.random_bool(LONG_SHARE) {
            LONG_SERVICE_MS
        } else {
            self.random.random_range(SERVICE_MS.0..=SERVICE_MS.1)
        };
        self.queue.push_in(if is_failing { 1 } else { service_ms }, Event::RunEnds { run });
        // The client closes the connection when the attempt's time runs out; the
        // target stops then. The engine ignores a second end of an attempt.
        self.queue.push_in(time_ms + LOCAL_MS, Event::ConnectionClosed { attempt: of });
        self.schedule(of.node, time_ms, ended(AttemptResult::TimedOut, None));
    }

    fn run_ends(&mut self, run: usize) {
        let now_ms = self.now_ms();
        if !self.targets.end(run, now_ms, None) {
            return;
        }
        let record = &self.targets.runs[run];
        if self.targets.cutting.contains(&record.host) {
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
        let leaving = self.targets.sign_leaving(&host, now_ms);
        self.attempt_ended(run, AttemptResult::Answered { status, leaving }, Some(response));
    }

    fn attempt_ended(
        &mut self,
        run: usize,
        result: AttemptResult,
        response: Option<TargetResponse>,
    ) {
        let of = self.targets.attempts[run];
        let step = if self.targets.runs[run].key.is_some() {
            Step::ChargeAnswered
        } else {
            Step::RequestAnswered
        };
        let host = self.targets.runs[run].host.clone();
        self.seen.push((step, Some(of.node), Some(host)));
        let input =
            Input::AttemptEnded { request: of.request, attempt: of.attempt, result, response };
        let (node, incarnation, input) = (of.node, of.incarnation, Box::new(input));
        self.queue.push_in(LOCAL_MS, Event::Input { node, incarnation, input });
    }

    fn reply(&mut self, node: usize, incarnation: u32, request: RequestId, end: End) {
        let key = (node, incarnation, request);
        if let Some(from) = self.forwarded.remove(&key) {
            if self.is_reachable(from.node, node) {
                let delay_ms = self.latency_ms(from.node, node);
                self.forward_ended(&from, delay_ms, Ok(end.into_forward_response()));
            }
            return;
        }
        let Some((attempt, order)) = self.traffic.open.remove(&key) else { return };
        let end = match end {
            End::Answered(response) => {
                let check = check_body(&response.body, order.caller, order.request, BODY_BYTES);
                AttemptEnd::Response {
                    status: response.status.as_u16(),
                    outcome: Some(Outcome::Answered),
                    body: (response.status.as_u16() == 200).then_some(check),
                }
            }
            End::Refused { outcome, refusal, .. } => AttemptEnd::Response {
                status: refusal.status().as_u16(),
                outcome: Some(outcome),
                body: None,
            },
        };
        self.end_attempt(attempt, order, end);
    }

    fn end_attempt(&mut self, attempt: usize, mut order: Order, end: AttemptEnd) {
        let now_ms = self.now_ms();
        if self.traffic.end(attempt, &order, now_ms, end) {
            order.attempts += 1;
            let delay_ms = 200 * u64::from(order.attempts) + self.random.random_range(0..100);
            self.queue.push_in(delay_ms, Event::Send { order });
        }
    }

    /// Sends a request to an entry host, a random live one unless it is named.
    pub(super) fn send(&mut self, order: Order, entry: Option<usize>) {
        let live: Vec<usize> =
            (0..self.nodes.len()).filter(|&node| self.nodes[node].core.is_some()).collect();
        let (attempt, received) = self.traffic.begin(&order, self.queue.now_ms());
        if live.is_empty() {
            return self.end_attempt(attempt, order, AttemptEnd::NotConnected);
        }
        let chosen = entry.filter(|entry| live.contains(entry));
        let node = chosen.unwrap_or_else(|| live[self.random.random_range(0..live.len())]);
        self.nodes[node].next_request += 1;
        let request = RequestId(self.nodes[node].next_request);
        let incarnation = self.nodes[node].incarnation;
        let step = if order.key.is_some() { Step::ChargeArrived } else { Step::RequestArrived };
        self.seen.push((step, Some(node), None));
        self.traffic.open.insert((node, incarnation, request), (attempt, order));
        let received = Box::new(received);
        self.schedule(node, LOCAL_MS, Input::CallerRequest { request, received });
    }

    /// Lets all callers with open requests go away.
    pub(super) fn cancel_all(&mut self) {
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

    /// Puts a line into a section through an entry host.
    pub(super) fn put(&mut self, entry: usize, section: &str, number: u32) {
        use tamarackproxy::{
            coordination::configuration::{OperatorCall, SectionEdit},
            state::{document::DocumentText, ids::TeamId},
        };
        let Some(body) = self.nodes[entry].core.as_ref().and_then(NodeCore::document_body) else {
            return;
        };
        let Ok(name) = section.parse() else { return };
        let text = DocumentText::parse(&body.text).unwrap_or_default();
        let Some(old) = text.section(&name) else { return };
        let line = format!("; change {number}");
        let kept = old.lines().filter(|line| !line.starts_with("; change"));
        let new: Vec<&str> = kept.chain([line.as_str()]).collect();
        let edit = SectionEdit {
            section: name,
            text: Some(new.join("\n").into()),
            base: body.position.revision,
        };
        let call = OperatorCall(u64::from(number));
        self.put_lines.insert(call.0, (section.into(), line.as_str().into()));
        self.seen.push((Step::PutReceived, Some(entry), None));
        let team = TeamId::new("operations");
        let input = Input::Put { call, team, edits: vec![edit], raise_epoch: false };
        self.schedule(entry, LOCAL_MS, input);
    }

    fn reboot(&mut self, node: usize, host: HostId, key: &str) {
        if self.platform_down || !self.reaches_platform(node) {
            let input = Input::RebootEnded { host, accepted: false };
            return self.schedule(node, STORE_TIMEOUT_MS, input);
        }
        let now_ms = self.now_ms();
        let was_up = self.platform.condition(&host) == Some(Condition::Up);
        let accepted = self.platform.reboot(now_ms, &host, key) == RebootAnswer::Accepted;
        let is_rebooting =
            matches!(self.platform.condition(&host), Some(Condition::Rebooting { .. }));
        if was_up && is_rebooting {
            self.seen.push((Step::HostRebooting, Some(node), Some(host.clone())));
            self.cut_runs(&host, Cut::PlannedStop);
            self.targets.end_signs(&host, now_ms);
        }
        self.schedule(node, 2 * PLATFORM_MS, Input::RebootEnded { host, accepted });
    }

    /// Ends reboots and notes the positions of all nodes.
    fn sample(&mut self) {
        let now_ms = self.now_ms();
        let before = self.platform.events().len();
        self.platform.advance(now_ms);
        let back: Vec<HostId> =
            self.platform.events()[before..].iter().map(|event| event.host.clone()).collect();
        self.seen.extend(back.into_iter().map(|host| (Step::HostBack, None, Some(host))));
        for node in &self.nodes {
            let Some(core) = node.core.as_ref().filter(|_| now_ms >= node.paused_until_ms) else {
                continue;
            };
            let position = core.position();
            self.observations.sightings.push(Sighting {
                entry: node.settings.entry.clone(),
                at_ms: now_ms,
                position: (position.epoch.0, position.revision.0),
                ready: core.is_configured(),
            });
        }
        self.push_watches();
        self.queue.push_in(SAMPLE_MS, Event::Sample);
    }

    /// Collects what the stand-ins saw.
    pub(super) fn observe(mut self) -> Observations {
        let mut observations = std::mem::take(&mut self.observations);
        observations.until_ms = self.queue.now_ms();
        observations.read_store(&self.store);
        observations.attempts = self.traffic.attempts;
        observations.host_events = self.platform.events().to_vec();
        observations.runs = self.targets.runs;
        observations.slot_overruns = self.targets.slot_overruns;
        observations.leaving_signs = self.targets.leaving_signs;
        let head = self.store.get(b"document/head").map(|stored| stored.value.clone());
        let head: serde_json::Value =
            serde_json::from_slice(&head.unwrap_or_default()).unwrap_or_default();
        observations.final_text = head["text"].as_str().unwrap_or_default().into();
        observations
    }
}

fn step_of_input(input: &Input) -> Option<Step> {
    match input {
        Input::Stop => Some(Step::StopBegun),
        _ => None,
    }
}
