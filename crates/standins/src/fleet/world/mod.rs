//! Fleet engines with their store, platform, hosts and seats in virtual time.

mod effects;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{
    coordination::fleet::{
        FleetAction, FleetEngine, FleetEvent, FleetMessage, FleetReport, ServiceDemand,
    },
    protocol::{
        platform::{ListedHost, ListedState},
        store::StoreRequest,
    },
    state::{
        clock::ClockReading,
        document::Document,
        ids::{CallId, DataCentreId, EntryId, HostId, OperationId},
        records::{HostPhase, HostRecord},
    },
};

use super::{checks::Checks, deployment::Deployment, store::VirtualStore};

/// Wall-clock time at the start of the simulation, in milliseconds since the
/// Unix epoch.
const UNIX_START_MS: u64 = 1_800_000_000_000;
/// One-way delay of calls and messages, in milliseconds.
const DELAY_MS: u64 = 2;
/// Interval between reads of the platform's list, in milliseconds.
const LIST_INTERVAL_MS: u64 = 15_000;
/// Interval between reports of the demand, in milliseconds.
const DEMAND_INTERVAL_MS: u64 = 1_000;
/// Time after which the seat of a dead holder becomes vacant, in milliseconds.
const SEAT_TAKEOVER_MS: u64 = 16_000;

/// Durations of drains and reboots, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Shortest and longest time for which a seat has requests in flight on a
    /// host that drains.
    pub drain_ms: (u64, u64),
    /// Shortest and longest time from the reboot call until the host answers
    /// health checks.
    pub reboot_ms: (u64, u64),
}

impl Timing {
    /// Returns the mean time from the start of a drain to the end of the
    /// reboot, in milliseconds.
    pub fn mean_stop_ms(&self) -> f64 {
        let sum = self.drain_ms.0 + self.drain_ms.1 + self.reboot_ms.0 + self.reboot_ms.1;
        sum as f64 / 2.0
    }
}

/// When the seat of an entry host acknowledges drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// Once its requests on the host have ended.
    Prompt,
    /// This many milliseconds later than [`Self::Prompt`].
    Late(u64),
    /// Not at all.
    Never,
}

/// Fault injected at one effective write of a host, budget or wave record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// The reply is lost.
    LoseReply,
    /// The writer dies and never sees the reply.
    KillWriter,
    /// The writer is paused for this long, in milliseconds.
    PauseWriter(u64),
    /// The write is delayed and its writer paused for this long, in
    /// milliseconds; it takes effect only if nothing else changed the record.
    DelayWrite(u64),
    /// The store is unavailable for this long, in milliseconds, and the reply to
    /// this write is already lost.
    StoreDown(u64),
}

/// Actual state of a host.
#[derive(Clone, Debug)]
pub struct SimulatedHost {
    /// Whether it answers health checks.
    pub up: bool,
    /// Whether it comes back from a reboot.
    pub returns: bool,
    /// Whether the platform lists it.
    pub listed: bool,
    listed_host: ListedHost,
    operations: BTreeSet<OperationId>,
}

struct Node {
    entry: EntryId,
    data_centre: DataCentreId,
    engine: FleetEngine,
    alive: bool,
    paused_until_ms: u64,
    tick_ms: Option<u64>,
    acknowledgement: Acknowledgement,
    /// For each host that left `active`: the latest version of its record that
    /// the entry host has seen, and when the requests on the host end.
    leaving: BTreeMap<HostId, (u64, u64)>,
    seen_version: u64,
    vacant: bool,
}

enum ScheduledEvent {
    Deliver { node: usize, event: Box<FleetEvent> },
    Call { node: usize, call: CallId, request: Box<StoreRequest> },
    Query { node: usize, from: usize, host: HostId, version: u64 },
    Reboot { node: usize, host: HostId, operation: OperationId },
    Returned { host: HostId },
    Check { node: usize, host: HostId },
    Vacate { node: usize },
    DeliverHostList,
    ReportDemand,
    Tick { node: usize, at_ms: u64 },
    Fault(Box<dyn FnOnce(&mut FleetSimulation)>),
}

/// Fleet engines with the simulated systems around them.
pub struct FleetSimulation {
    pub store: VirtualStore,
    pub hosts: BTreeMap<HostId, SimulatedHost>,
    /// Results of the invariant checks.
    pub checks: Checks,
    /// Reports of all engines, with their times in milliseconds.
    pub reports: Vec<(u64, FleetReport)>,
    /// Fault at the effective write with this number, counted from 1.
    pub write_fault: Option<(u64, WriteFault)>,
    /// Hosts that fail visibly at the effective write with this number.
    pub visible_failure: Option<(u64, Vec<HostId>)>,
    /// Data centres partitioned from the others, the store and the platform.
    pub partitioned: BTreeSet<DataCentreId>,
    /// Demand that is reported every second; nothing is reported if empty.
    pub demand: Vec<ServiceDemand>,
    document: Arc<Document>,
    records: BTreeMap<HostId, HostRecord>,
    versions: BTreeMap<HostId, u64>,
    nodes: Vec<Node>,
    candidates: usize,
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    sequence: u64,
    now_ms: u64,
    store_down_until_ms: u64,
    timing: Timing,
    rng: ChaCha8Rng,
}

impl FleetSimulation {
    /// Starts a simulation with one entry host for each seat of every data centre,
    /// of which at most `candidates` run an engine.
    pub fn new(deployment: Deployment, timing: Timing, candidates: usize, seed: u64) -> Self {
        let hosts = deployment.hosts.into_iter().map(|listed_host| {
            let host = listed_host.host.clone();
            let operations = BTreeSet::new();
            let simulated =
                SimulatedHost { up: true, returns: true, listed: true, listed_host, operations };
            (host, simulated)
        });
        let mut simulation = Self {
            store: VirtualStore::default(),
            hosts: hosts.collect(),
            checks: Checks::default(),
            reports: Vec::new(),
            write_fault: None,
            visible_failure: None,
            partitioned: BTreeSet::new(),
            demand: Vec::new(),
            document: Arc::new(deployment.document),
            records: BTreeMap::new(),
            versions: BTreeMap::new(),
            nodes: Vec::new(),
            candidates,
            queue: BTreeMap::new(),
            sequence: 0,
            now_ms: 0,
            store_down_until_ms: 0,
            timing,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        simulation.start_nodes();
        simulation.schedule(0, ScheduledEvent::DeliverHostList);
        simulation.schedule(0, ScheduledEvent::ReportDemand);
        simulation
    }

    fn start_nodes(&mut self) {
        let document = self.document.clone();
        let seats = document.data_centres.values().map(|section| section.seats).max().unwrap_or(1);
        for seat in 0..seats {
            for (data_centre, section) in &document.data_centres {
                if seat < section.seats {
                    let seed = self.rng.random();
                    let entry = EntryId::new(format!("e-{data_centre}-{seat}"));
                    let engine = FleetEngine::new(entry.clone(), data_centre.clone(), seed);
                    self.nodes.push(Node {
                        entry,
                        data_centre: data_centre.clone(),
                        engine,
                        alive: true,
                        paused_until_ms: 0,
                        tick_ms: None,
                        acknowledgement: Acknowledgement::Prompt,
                        leaving: BTreeMap::new(),
                        seen_version: 0,
                        vacant: false,
                    });
                }
            }
        }
        self.candidates = self.candidates.min(self.nodes.len());
        for node in 0..self.candidates {
            self.send_initial_state(node);
        }
    }

    /// Delivers the events that an entry host receives after its start: the
    /// document, the host records and the seat holders.
    fn send_initial_state(&mut self, node: usize) {
        let records = self
            .records
            .values()
            .map(|record| (self.versions[&record.host], record.clone()))
            .collect();
        let mut events = vec![
            FleetEvent::DocumentChanged { document: self.document.clone() },
            FleetEvent::FleetChanged { records: Arc::new(records) },
        ];
        for data_centre in self.document.data_centres.keys() {
            let holders = self.holders(data_centre);
            events.push(FleetEvent::SeatsChanged { data_centre: data_centre.clone(), holders });
        }
        for event in events {
            self.deliver(node, event);
        }
    }

    fn holders(&self, data_centre: &DataCentreId) -> Vec<Option<EntryId>> {
        self.nodes
            .iter()
            .filter(|node| node.data_centre == *data_centre)
            .map(|node| (!node.vacant).then(|| node.entry.clone()))
            .collect()
    }

    /// Returns the current time, in milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Puts another document in force everywhere.
    pub fn set_document(&mut self, document: Document) {
        self.document = Arc::new(document);
        for node in 0..self.candidates {
            self.deliver(node, FleetEvent::DocumentChanged { document: self.document.clone() });
        }
    }

    /// Returns the committed host records.
    pub fn records(&self) -> &BTreeMap<HostId, HostRecord> {
        &self.records
    }

    /// Returns the engine of an entry host.
    pub fn engine(&self, node: usize) -> &FleetEngine {
        &self.nodes[node].engine
    }

    /// Returns the number of entry hosts that run an engine; they come first.
    pub fn candidates(&self) -> usize {
        self.candidates
    }

    /// Returns the data centre of an entry host.
    pub fn data_centre(&self, node: usize) -> &DataCentreId {
        &self.nodes[node].data_centre
    }

    /// Runs a function on the simulation at `at_ms`.
    pub fn at(&mut self, at_ms: u64, fault: impl FnOnce(&mut FleetSimulation) + 'static) {
        self.schedule(at_ms, ScheduledEvent::Fault(Box::new(fault)));
    }

    /// Delivers an event to an engine now.
    pub fn deliver(&mut self, node: usize, event: FleetEvent) {
        self.schedule(self.now_ms, ScheduledEvent::Deliver { node, event: Box::new(event) });
    }

    /// Ends the process of an entry host; its seat becomes vacant later.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.schedule(self.now_ms + SEAT_TAKEOVER_MS, ScheduledEvent::Vacate { node });
    }

    /// Pauses the process of an entry host.
    pub fn pause(&mut self, node: usize, duration_ms: u64) {
        self.nodes[node].paused_until_ms = self.now_ms + duration_ms;
    }

    /// Makes the store unavailable.
    pub fn store_down(&mut self, duration_ms: u64) {
        self.store_down_until_ms = self.now_ms + duration_ms;
    }

    /// Ends a partition: the entry hosts of the data centre receive what they
    /// missed.
    pub fn end_partition(&mut self, data_centre: &DataCentreId) {
        self.partitioned.remove(data_centre);
        let records: Vec<HostRecord> = self.records.values().cloned().collect();
        for node in 0..self.nodes.len() {
            if self.nodes[node].data_centre == *data_centre && self.nodes[node].alive {
                for record in &records {
                    self.observe_record(node, self.versions[&record.host], record);
                }
                if node < self.candidates {
                    self.send_initial_state(node);
                }
            }
        }
    }

    /// Sets how a seat acknowledges drains.
    pub fn acknowledge(&mut self, node: usize, acknowledgement: Acknowledgement) {
        self.nodes[node].acknowledgement = acknowledgement;
    }

    /// Makes a host fail now; the platform's list shows it later.
    pub fn fail_host(&mut self, host: &HostId) {
        if let Some(simulated) = self.hosts.get_mut(host) {
            simulated.up = false;
            simulated.listed = false;
        }
    }

    /// Makes a host fail now and reports failed health checks to every engine
    /// immediately.
    pub fn fail_host_visibly(&mut self, host: &HostId) {
        self.fail_host(host);
        for node in 0..self.candidates {
            for _ in 0..3 {
                let event = FleetEvent::HealthChecked { host: host.clone(), healthy: false };
                self.deliver(node, event);
            }
        }
    }

    /// Makes a failed host run again.
    pub fn repair_host(&mut self, host: &HostId) {
        if let Some(simulated) = self.hosts.get_mut(host) {
            simulated.up = true;
            simulated.listed = true;
        }
    }

    /// Returns the hosts of each rack.
    pub fn racks(&self) -> BTreeMap<Box<str>, Vec<HostId>> {
        let mut racks: BTreeMap<Box<str>, Vec<HostId>> = BTreeMap::new();
        for (host, simulated) in &self.hosts {
            racks.entry(simulated.listed_host.rack.as_str().into()).or_default().push(host.clone());
        }
        racks
    }

    /// Runs until `done` or until the time limit; returns whether it is done.
    pub fn run_until(&mut self, limit_ms: u64, done: impl Fn(&FleetSimulation) -> bool) -> bool {
        let mut checked_ms = self.now_ms;
        while let Some((&(at_ms, _), _)) = self.queue.first_key_value() {
            if at_ms > limit_ms {
                break;
            }
            let Some((_, event)) = self.queue.pop_first() else {
                break;
            };
            self.now_ms = at_ms;
            self.process(event);
            if at_ms >= checked_ms + 100 {
                checked_ms = at_ms;
                if done(self) {
                    return true;
                }
            }
        }
        self.now_ms = self.now_ms.max(limit_ms);
        done(self)
    }

    fn schedule(&mut self, at_ms: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((at_ms.max(self.now_ms), self.sequence), event);
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Deliver { node, event } => self.handle(node, *event),
            ScheduledEvent::Tick { node, at_ms } => {
                if self.nodes[node].tick_ms == Some(at_ms) {
                    self.nodes[node].tick_ms = None;
                    self.handle(node, FleetEvent::Tick);
                }
            }
            ScheduledEvent::Call { node, call, request } => self.on_call(node, call, &request),
            ScheduledEvent::Query { node, from, host, version } => {
                self.on_query(node, from, host, version);
            }
            ScheduledEvent::Reboot { node, host, operation } => {
                self.on_reboot(node, host, operation)
            }
            ScheduledEvent::Returned { host } => {
                if let Some(simulated) = self.hosts.get_mut(&host)
                    && simulated.returns
                {
                    simulated.up = true;
                }
            }
            ScheduledEvent::Check { node, host } => {
                let reachable = self.reachable(node, &host);
                let healthy =
                    reachable && self.hosts.get(&host).is_some_and(|simulated| simulated.up);
                self.handle(node, FleetEvent::HealthChecked { host, healthy });
            }
            ScheduledEvent::Vacate { node } => self.vacate(node),
            ScheduledEvent::DeliverHostList => self.deliver_host_list(),
            ScheduledEvent::ReportDemand => self.report_demand(),
            ScheduledEvent::Fault(fault) => fault(self),
        }
    }

    fn reachable(&self, node: usize, host: &HostId) -> bool {
        let own = &self.nodes[node].data_centre;
        let other = self.hosts.get(host).map(|simulated| &simulated.listed_host.data_centre);
        other.is_some_and(|other| {
            own == other || !(self.is_partitioned(own) || self.is_partitioned(other))
        })
    }

    fn is_partitioned(&self, data_centre: &DataCentreId) -> bool {
        self.partitioned.contains(data_centre)
    }

    fn handle(&mut self, node: usize, event: FleetEvent) {
        let state = &mut self.nodes[node];
        if !state.alive {
            return;
        }
        if self.now_ms < state.paused_until_ms {
            let at_ms = state.paused_until_ms;
            self.schedule(at_ms, ScheduledEvent::Deliver { node, event: Box::new(event) });
            return;
        }
        let now = ClockReading::new(self.now_ms, UNIX_START_MS + self.now_ms);
        let mut actions = Vec::new();
        state.engine.handle(now, event, &mut actions);
        let next_ms = state.engine.next_tick_ms().map(|at_ms| at_ms.max(self.now_ms + 1));
        if let Some(at_ms) = next_ms
            && state.tick_ms.is_none_or(|known| at_ms < known || known <= self.now_ms)
        {
            state.tick_ms = Some(at_ms);
            self.schedule(at_ms, ScheduledEvent::Tick { node, at_ms });
        }
        for action in actions {
            self.apply_action(node, action);
        }
    }

    fn apply_action(&mut self, node: usize, action: FleetAction) {
        let at_ms = self.now_ms + DELAY_MS;
        match action {
            FleetAction::Store { call, request } => {
                self.schedule(
                    at_ms,
                    ScheduledEvent::Call { node, call, request: Box::new(request) },
                );
            }
            FleetAction::Send { to, message: FleetMessage::DrainQuery { host, version, .. } } => {
                let receiver = self.nodes.iter().position(|other| other.entry == to);
                if let Some(receiver) = receiver {
                    let query = ScheduledEvent::Query { node: receiver, from: node, host, version };
                    self.schedule(at_ms, query);
                }
            }
            FleetAction::Send { .. } | FleetAction::StopJobs { .. } => {}
            FleetAction::Reboot { host, operation } => {
                self.schedule(at_ms, ScheduledEvent::Reboot { node, host, operation });
            }
            FleetAction::CheckHealth { host } => {
                self.schedule(at_ms, ScheduledEvent::Check { node, host });
            }
            FleetAction::Report { report } => self.reports.push((self.now_ms, report)),
        }
    }

    fn vacate(&mut self, node: usize) {
        let data_centre = self.nodes[node].data_centre.clone();
        self.nodes[node].vacant = true;
        let holders = self.holders(&data_centre);
        for other in 0..self.candidates {
            self.deliver(
                other,
                FleetEvent::SeatsChanged {
                    data_centre: data_centre.clone(),
                    holders: holders.clone(),
                },
            );
        }
    }

    fn deliver_host_list(&mut self) {
        let hosts: Vec<ListedHost> = self
            .hosts
            .values()
            .filter(|simulated| simulated.listed)
            .map(|simulated| ListedHost {
                state: ListedState::Live,
                ..simulated.listed_host.clone()
            })
            .collect();
        for node in 0..self.candidates {
            if !self.is_partitioned(&self.nodes[node].data_centre) {
                self.deliver(node, FleetEvent::HostsListed { hosts: hosts.clone() });
            }
        }
        self.schedule(self.now_ms + LIST_INTERVAL_MS, ScheduledEvent::DeliverHostList);
    }

    fn report_demand(&mut self) {
        if !self.demand.is_empty() {
            for node in 0..self.candidates {
                self.deliver(node, FleetEvent::Demand { demand: self.demand.clone() });
            }
        }
        self.schedule(self.now_ms + DEMAND_INTERVAL_MS, ScheduledEvent::ReportDemand);
    }

    /// Returns the number of active hosts of a pool that are up.
    pub fn available(&self, pool: &str) -> u32 {
        let runs = |host: &HostId| self.hosts.get(host).is_some_and(|simulated| simulated.up);
        self.records
            .values()
            .filter(|record| record.pool.as_str() == pool && record.phase == HostPhase::Active)
            .filter(|record| runs(&record.host))
            .count() as u32
    }
}
