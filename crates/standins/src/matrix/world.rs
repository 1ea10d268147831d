//! Simulation of whole entry hosts, the store, the platform and targets in
//! virtual time.

mod hosts;
mod links;
mod requests;
mod store;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{
    node::core::{Effect, Engine, Input, NodeCore},
    protocol::{peer::ForwardFailure, store::StoreRequest},
    state::{
        clock::ClockReading,
        ids::{CallId, DataCentreId, HostId, RackId, RequestId, TargetId},
        settings::Settings,
    },
};

use super::{
    deployment::{self, ORDERS},
    step::Step,
    targets::{AttemptId, Targets},
    traffic::{LogicalRequest, Traffic},
};
use crate::{
    bench::virtual_time::EventQueue,
    caller::AttemptEnd,
    platform::{Condition, PlatformState},
    store::StoreState,
    verdict::{AcceptedPut, DataCentreCut, EntryOutage, Observations, ServiceRule},
};

/// Wall-clock time of the start, in milliseconds since the Unix epoch.
pub(super) const START_UNIX_MS: u64 = 1_780_000_000_000;
/// One-way latency within a data centre, in milliseconds.
const LOCAL_MS: u64 = 1;
/// One-way latency between data centres, in milliseconds: 1.4 ms rounded up.
const REMOTE_MS: u64 = 2;
/// One-way latency to the store and the platform, in milliseconds.
const PLATFORM_MS: u64 = 2;
/// Timeout of calls to the store and the platform, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 1_000;
/// Lag of the platform's list, in milliseconds.
const LIST_LAG_MS: u64 = 1_000;
/// Duration of a reboot, in milliseconds.
const REBOOT_MS: u64 = 3_000;
/// Shortest and longest service time of a request, in milliseconds.
const SERVICE_MS: (u64, u64) = (20, 120);
/// Share of requests that take most of their deadline; without them no drain
/// would have to wait for a request.
const LONG_SHARE: f64 = 0.03;
/// Service time of these requests, in milliseconds.
const LONG_SERVICE_MS: u64 = 3_500;
/// Interval between samples of the entry hosts' positions and checks for ended
/// reboots, in milliseconds.
const SAMPLE_MS: u64 = 100;

/// An event in the queue of the simulation.
pub(super) enum Event {
    Input { node: usize, incarnation: u32, input: Box<Input> },
    StoreCall { node: usize, incarnation: u32, engine: Engine, call: CallId, request: StoreRequest },
    RunEnds { run: usize },
    ConnectionClosed { attempt: AttemptId },
    Sample,
    Send { logical: LogicalRequest },
    Scenario(ScenarioEvent),
}

/// An event that the cell schedules for itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ScenarioEvent {
    SendRequest,
    /// Makes the cell check whether its step was reached.
    CheckStep,
    EndFault(usize),
    StopEntry,
    RestartEntry(usize),
    Put {
        number: u32,
        entry: usize,
        section: &'static str,
    },
    StartPartition,
    EndPartition,
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

/// Origin of a request that was forwarded to another entry host.
struct Forwarded {
    node: usize,
    incarnation: u32,
    request: RequestId,
}

pub(super) struct Simulation {
    pub(super) queue: EventQueue<Event>,
    pub(super) random: ChaCha8Rng,
    pub(super) nodes: Vec<Node>,
    pub(super) store: StoreState,
    pub(super) platform: PlatformState,
    pub(super) platform_down: bool,
    pub(super) targets: Targets,
    pub(super) traffic: Traffic,
    pub(super) observations: Observations,
    /// Data centres partitioned from the others, the store and the platform.
    pub(super) partitioned: BTreeSet<DataCentreId>,
    /// Data centres partitioned from the store and the platform only.
    pub(super) platform_partitioned: BTreeSet<DataCentreId>,
    /// Share of control messages that are lost.
    pub(super) message_loss: f64,
    forwarded: HashMap<(usize, u32, RequestId), Forwarded>,
    put_lines: HashMap<u64, (Box<str>, Box<str>)>,
    /// Steps that were reached since the last check, each with its entry host and
    /// host.
    pub(super) reached_steps: Vec<(Step, Option<usize>, Option<HostId>)>,
    racks: BTreeMap<HostId, (DataCentreId, RackId)>,
}

impl Simulation {
    pub(super) fn new(seed: u64) -> Self {
        let hosts = deployment::hosts();
        let racks = hosts
            .iter()
            .map(|host| (host.host.clone(), (host.data_centre.clone(), host.rack.clone())));
        let racks = racks.collect();
        let targets = hosts.into_iter().map(|host| (host, None));
        let platform = PlatformState::new(targets, LIST_LAG_MS, REBOOT_MS);
        let mut simulation = Self {
            queue: EventQueue::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            store: StoreState::new(seed),
            platform,
            platform_down: false,
            targets: Targets::default(),
            traffic: Traffic::default(),
            observations: Observations::default(),
            partitioned: BTreeSet::new(),
            platform_partitioned: BTreeSet::new(),
            message_loss: 0.0,
            forwarded: HashMap::new(),
            put_lines: HashMap::new(),
            reached_steps: Vec::new(),
            racks,
        };
        simulation.install_document();
        for index in 0..deployment::entries().len() {
            simulation.nodes.push(Node {
                settings: deployment::settings(index),
                core: None,
                incarnation: 0,
                boot_ms: 0,
                tick_at_ms: None,
                paused_until_ms: 0,
                watches: BTreeMap::new(),
                next_request: 0,
            });
            simulation.start_node(index);
        }
        simulation.queue.push_at(SAMPLE_MS, Event::Sample);
        simulation
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

    /// Starts the process of an entry host without any state.
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

    /// Ends the process of an entry host without a graceful stop, as a crash does.
    pub(super) fn kill_node(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let node = &mut self.nodes[index];
        if node.core.take().is_none() {
            return;
        }
        let (entry, incarnation) = (node.settings.entry.clone(), node.incarnation);
        self.targets.on_process_exit(index, incarnation, now_ms);
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
            if let Some((attempt, logical)) = self.traffic.open.remove(&key) {
                self.end_attempt(attempt, logical, AttemptEnd::Broken);
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

    /// Pauses the process of an entry host; its inputs are delayed until it resumes.
    pub(super) fn pause_node(&mut self, index: usize, for_ms: u64) {
        let now_ms = self.now_ms();
        let node = &mut self.nodes[index];
        node.paused_until_ms = now_ms + for_ms;
        let entry = node.settings.entry.clone();
        let to_ms = Some(now_ms + for_ms);
        self.observations.outages.push(EntryOutage { entry, from_ms: now_ms, to_ms });
    }

    /// Records that a data centre was partitioned from `from_ms` until now, so that
    /// its entry hosts could not learn of changes.
    pub(super) fn record_partition(&mut self, data_centre: &DataCentreId, from_ms: u64) {
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

    /// Records that a data centre could not read the platform's list from `from_ms`
    /// until now.
    pub(super) fn record_list_outage(&mut self, data_centre: &DataCentreId, from_ms: u64) {
        let (data_centre, to_ms) = (data_centre.clone(), self.now_ms());
        self.observations.list_outages.push(DataCentreCut { data_centre, from_ms, to_ms });
    }

    pub(super) fn data_centre_of(&self, node: usize) -> &DataCentreId {
        &self.nodes[node].settings.data_centre
    }

    fn schedule(&mut self, node: usize, delay_ms: u64, input: Input) {
        let incarnation = self.nodes[node].incarnation;
        let input = Box::new(input);
        self.queue.push_in(delay_ms, Event::Input { node, incarnation, input });
    }

    /// Processes one event; returns it if it is for the cell.
    pub(super) fn apply(&mut self, event: Event) -> Option<ScenarioEvent> {
        match event {
            Event::Input { node, incarnation, input } => self.on_input(node, incarnation, *input),
            Event::StoreCall { node, incarnation, engine, call, request } => {
                self.store_call(node, incarnation, engine, call, &request);
            }
            Event::RunEnds { run } => self.run_ends(run),
            Event::ConnectionClosed { attempt } => {
                self.targets.on_client_disconnect(&attempt, self.queue.now_ms());
            }
            Event::Sample => self.sample(),
            Event::Send { logical } => self.send(logical, None),
            Event::Scenario(event) => return Some(event),
        }
        None
    }

    fn on_input(&mut self, index: usize, incarnation: u32, input: Input) {
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
        self.reached_steps.extend(step_of_input(&input).map(|step| (step, Some(index), None)));
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
            self.apply_effect(index, incarnation, effect);
        }
    }

    fn apply_effect(&mut self, node: usize, incarnation: u32, effect: Effect) {
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
            Effect::Forward { request, to, message, timeout_ms } => {
                self.forward(node, incarnation, request, &to, message, timeout_ms);
            }
            Effect::Dispatch { request, attempt, target, address, target_request, timeout_ms } => {
                let id = AttemptId { node, incarnation, request, attempt };
                let host = deployment::host_at(address.ip());
                let target = TargetId { host: host.unwrap_or(target.host), ..target };
                self.dispatch(id, &target, &target_request, timeout_ms);
            }
            Effect::Abort { request, attempt } => {
                let attempt = AttemptId { node, incarnation, request, attempt };
                self.queue.push_in(LOCAL_MS, Event::ConnectionClosed { attempt });
            }
            Effect::Reply { request, completion } => {
                self.reply(node, incarnation, request, completion)
            }
            Effect::ListHosts => {
                let hosts = (!self.platform_down && self.reaches_platform(node))
                    .then(|| self.platform.list(self.queue.now_ms()).hosts);
                self.schedule(node, 2 * PLATFORM_MS, Input::HostsListed { hosts });
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
            | Effect::RetainConnections { .. }
            | Effect::WaitEnded { .. } => {}
        }
    }

    /// Returns the observations of all stand-ins.
    pub(super) fn observe(mut self) -> Observations {
        let mut observations = std::mem::take(&mut self.observations);
        observations.until_ms = self.queue.now_ms();
        observations.read_store(&self.store);
        observations.attempts = self.traffic.attempts;
        observations.host_events = self.platform.events().to_vec();
        observations.runs = self.targets.runs;
        observations.slot_overruns = self.targets.slot_overruns;
        observations.leaving_signals = self.targets.leaving_signals;
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
