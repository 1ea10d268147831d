//! Event loop, entry hosts, network and targets of the simulation.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{
    coordination::requests::{
        AttemptResult, CallerLimits, ForwardResult, RequestEngine, RequestMeta, RequestsAction,
        RequestsEvent, RequestsMessage, SeatShare, ServiceLimits, TargetState,
    },
    protocol::caller::Refusal,
    state::{
        clock::ClockReading,
        ids::{CallerId, DataCentreId, EntryId, HostId, RequestId, ServiceId, TargetId},
    },
};

use super::{
    Arrival, DecisionCost, Deployment, Disturbance, RequestOutcome, SLOTS, samples::SlotUse,
};

/// Connection limit of each target.
const CONNECTIONS: u16 = 64;
/// One-way delay inside a data centre, in microseconds.
const LOCAL_DELAY_US: u64 = 100;
/// One-way delay between data centres, in microseconds.
pub(super) const REMOTE_DELAY_US: u64 = 1_400;
/// Time for which a target continues an attempt after its deadline, in microseconds;
/// less than the grace period of the engines.
const TARGET_OVERTIME_US: u64 = 400_000;
/// Duration of a decision above which the process is assumed to have been
/// preempted; the longest decisions take a few microseconds.
const PREEMPTED: Duration = Duration::from_micros(50);
/// Interval between heartbeats, which carry the loads, in microseconds.
pub(super) const HEARTBEAT_US: u64 = 1_000_000;
/// Added to the ID of a request at the entry host that it is forwarded to.
const FORWARDED_ID: u64 = 1 << 40;

#[derive(Debug)]
pub(super) enum ScheduledEvent {
    Arrival(usize),
    Tick(usize),
    Event(usize, Box<RequestsEvent>),
    ForwardArrives { from: usize, to: usize, number: usize },
    TargetDone { target: usize },
    Heartbeat,
    Disturbance(Disturbance),
    Sample,
}

pub(super) struct Entry {
    pub(super) engine: RequestEngine,
    pub(super) name: EntryId,
    pub(super) data_centre: usize,
    pub(super) index: u16,
    pub(super) alive: bool,
    pub(super) held: bool,
    pub(super) tick_us: u64,
}

pub(super) struct Target {
    pub(super) id: TargetId,
    pub(super) running: u16,
    pub(super) most: u16,
}

/// Simulation of one run.
pub struct RequestSim<'a> {
    pub(super) deployment: &'a Deployment,
    arrivals: &'a [Arrival],
    /// Outcome of each arrival.
    pub outcomes: Vec<RequestOutcome>,
    /// Time spent in decisions.
    pub cost: DecisionCost,
    /// Slot utilisation.
    pub slot_use: SlotUse,
    pub(super) lending: bool,
    loss: f64,
    rng: ChaCha8Rng,
    pub(super) now_us: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: HashMap<u64, ScheduledEvent>,
    pub(super) entries: Vec<Entry>,
    pub(super) targets: Vec<Target>,
    target_index: HashMap<TargetId, usize>,
    origins: HashMap<(usize, u64), usize>,
    /// Time since which an entry host has had an idle slot for a service; keyed by
    /// entry host and service.
    pub(super) idle_since_us: HashMap<(usize, usize), u64>,
    /// Time since which requests have waited there.
    pub(super) waiting_since_us: HashMap<(usize, usize), u64>,
    seed: u64,
}

/// Returns the name of a service.
pub(super) fn service_id(index: usize) -> ServiceId {
    ServiceId::new(format!("s{index}"))
}

fn entry_id(index: usize) -> EntryId {
    EntryId::new(format!("e{index}"))
}

pub(super) fn data_centre_id(index: usize) -> DataCentreId {
    DataCentreId::new(format!("dc{index}"))
}

impl<'a> RequestSim<'a> {
    /// Creates a deployment that will receive `arrivals`, which are in order of time.
    pub fn new(deployment: &'a Deployment, arrivals: &'a [Arrival], seed: u64) -> Self {
        let mut sim = Self {
            deployment,
            arrivals,
            outcomes: vec![RequestOutcome::default(); arrivals.len()],
            cost: DecisionCost::default(),
            slot_use: SlotUse::default(),
            lending: true,
            loss: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_us: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            entries: Vec::new(),
            targets: Vec::new(),
            target_index: HashMap::new(),
            origins: HashMap::new(),
            idle_since_us: HashMap::new(),
            waiting_since_us: HashMap::new(),
            seed,
        };
        sim.place_targets();
        for index in 0..deployment.data_centres * deployment.entries {
            let entry = sim.new_entry(index);
            sim.entries.push(entry);
        }
        sim
    }

    /// Disables lending of slots, so that each entry host has its base share only.
    #[must_use]
    pub fn without_lending(mut self) -> Self {
        self.lending = false;
        self
    }

    /// Sets the probability that a message between entry hosts is lost.
    #[must_use]
    pub fn with_loss(mut self, probability: f64) -> Self {
        self.loss = probability;
        self
    }

    /// Schedules disturbances at times in microseconds.
    #[must_use]
    pub fn with_disturbances(mut self, disturbances: &[(u64, Disturbance)]) -> Self {
        for &(at_us, disturbance) in disturbances {
            self.push(at_us, ScheduledEvent::Disturbance(disturbance));
        }
        self
    }

    /// Samples the slot utilisation at this interval, in microseconds, until `end_us`.
    #[must_use]
    pub fn with_samples(mut self, period_us: u64, end_us: u64) -> Self {
        for at_us in (period_us..end_us).step_by(period_us as usize) {
            self.push(at_us, ScheduledEvent::Sample);
        }
        self
    }

    fn place_targets(&mut self) {
        for service in 0..self.deployment.instances.len() {
            for (data_centre, instances) in
                self.deployment.instances_by_data_centre(service).into_iter().enumerate()
            {
                for number in 0..instances {
                    let host = HostId::new(format!("dc{data_centre}-s{service}-{number}"));
                    let id = TargetId::new(service_id(service), host);
                    self.target_index.insert(id.clone(), self.targets.len());
                    self.targets.push(Target { id, running: 0, most: 0 });
                }
            }
        }
    }

    pub(super) fn new_entry(&self, index: usize) -> Entry {
        let data_centre = index / self.deployment.entries;
        let name = entry_id(index);
        let seed = self.seed.wrapping_mul(1_000).wrapping_add(index as u64);
        Entry {
            engine: RequestEngine::new(name.clone(), data_centre_id(data_centre), seed),
            name,
            data_centre,
            index: (index % self.deployment.entries) as u16,
            alive: true,
            held: false,
            tick_us: u64::MAX,
        }
    }

    /// Passes services, targets and seat to an entry host.
    pub(super) fn start_entry(&mut self, index: usize) {
        let services = (0..self.deployment.instances.len())
            .map(|service| ServiceLimits {
                service: service_id(service),
                slots: SLOTS,
                connections: CONNECTIONS,
                queue_limit: self.deployment.queue_limit,
            })
            .collect();
        let callers = Vec::<CallerLimits>::new();
        self.handle(index, RequestsEvent::ServicesChanged { services, callers });
        let data_centre = self.entries[index].data_centre;
        let prefix = format!("dc{data_centre}-");
        let targets = self
            .targets
            .iter()
            .filter(|target| target.id.host.as_str().starts_with(&prefix))
            .map(|target| TargetState {
                target: target.id.clone(),
                data_centre: data_centre_id(data_centre),
                accepts_work: true,
            })
            .collect();
        self.handle(index, RequestsEvent::TargetsChanged { targets });
        let seats = self.deployment.entries as u16;
        self.set_seat(index, Some(SeatShare { index: self.entries[index].index, seats }));
    }

    pub(super) fn set_seat(&mut self, index: usize, seat: Option<SeatShare>) {
        self.entries[index].held = seat.is_some();
        self.handle(index, RequestsEvent::SeatChanged { seat });
    }

    pub(super) fn announce_peers(&mut self, data_centre: usize) {
        let first = data_centre * self.deployment.entries;
        let members: Vec<usize> = (first..first + self.deployment.entries).collect();
        let alive: Vec<EntryId> = members
            .iter()
            .filter(|&&index| self.entries[index].alive)
            .map(|&index| self.entries[index].name.clone())
            .collect();
        for index in members {
            if self.entries[index].alive && self.lending {
                self.handle(index, RequestsEvent::PeersChanged { peers: alive.clone() });
            }
        }
    }

    /// Runs until no event is left or `end_us` is reached.
    pub fn run(&mut self, end_us: u64) {
        for index in 0..self.entries.len() {
            self.start_entry(index);
        }
        for data_centre in 0..self.deployment.data_centres {
            self.announce_peers(data_centre);
        }
        self.push(HEARTBEAT_US, ScheduledEvent::Heartbeat);
        if let Some(first) = self.arrivals.first() {
            self.push(first.at_us, ScheduledEvent::Arrival(0));
        }
        while let Some(Reverse((at_us, number))) = self.queue.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            if let Some(scheduled) = self.scheduled.remove(&number) {
                self.handle_scheduled(scheduled);
            }
        }
        let most = self.targets.iter().map(|target| target.most).max().unwrap_or(0);
        self.slot_use.most_at_once = most;
    }

    pub(super) fn push(&mut self, at_us: u64, scheduled: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled.insert(self.sequence, scheduled);
        self.queue.push(Reverse((at_us, self.sequence)));
    }

    fn handle_scheduled(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Arrival(number) => {
                if let Some(next) = self.arrivals.get(number + 1) {
                    self.push(next.at_us, ScheduledEvent::Arrival(number + 1));
                }
                self.arrive(number);
            }
            ScheduledEvent::Tick(index) => {
                if self.entries[index].tick_us <= self.now_us {
                    self.entries[index].tick_us = u64::MAX;
                    self.handle(index, RequestsEvent::Tick);
                }
            }
            ScheduledEvent::Event(index, event) => self.handle(index, *event),
            ScheduledEvent::ForwardArrives { from, to, number } => {
                self.forward_arrives(from, to, number);
            }
            ScheduledEvent::TargetDone { target } => self.targets[target].running -= 1,
            ScheduledEvent::Heartbeat => self.heartbeat(),
            ScheduledEvent::Disturbance(disturbance) => self.apply_disturbance(disturbance),
            ScheduledEvent::Sample => self.sample(),
        }
    }

    fn meta(&self, number: usize, forwarded: bool) -> RequestMeta {
        let arrival = &self.arrivals[number];
        RequestMeta {
            service: service_id(arrival.service),
            caller: CallerId::new(format!("c{}", arrival.caller)),
            urgency: arrival.urgency,
            deadline_at_ms: arrival.at_us / 1_000 + arrival.deadline_ms,
            repeatable: true,
            forwarded,
        }
    }

    /// Submits an arrival; the load balancer skips entry hosts that are down or hold
    /// no seat.
    fn arrive(&mut self, number: usize) {
        let arrival = &self.arrivals[number];
        let per_data_centre = self.deployment.entries;
        let first = arrival.data_centre * per_data_centre;
        let alive = (0..per_data_centre)
            .map(|offset| first + (arrival.entry + offset) % per_data_centre)
            .find(|&index| self.entries[index].alive && self.entries[index].held);
        let Some(index) = alive else { return };
        let meta = self.meta(number, false);
        let request = RequestId(number as u64);
        self.handle(index, RequestsEvent::Submitted { request, meta });
    }

    fn forward_arrives(&mut self, from: usize, to: usize, number: usize) {
        let request = RequestId(number as u64 + FORWARDED_ID);
        if !self.entries[to].alive {
            return;
        }
        self.origins.insert((to, request.0), from);
        let meta = self.meta(number, true);
        self.handle(to, RequestsEvent::Submitted { request, meta });
    }

    fn handle(&mut self, index: usize, event: RequestsEvent) {
        let entry = &mut self.entries[index];
        if !entry.alive {
            return;
        }
        let now = ClockReading::new(self.now_us / 1_000, self.now_us / 1_000);
        let submitted = match event {
            RequestsEvent::Submitted { request, .. } => Some(request),
            _ => None,
        };
        let start = Instant::now();
        let actions = entry.engine.handle(now, event);
        let took = start.elapsed();
        let refused = matches!(
            actions[..],
            [RequestsAction::NotRun { request, .. }] if submitted == Some(request)
        );
        if took > PREEMPTED {
            // Not counted: the operating system preempted the process.
        } else if refused {
            self.cost.refused += took;
            self.cost.refusals += 1;
        } else {
            self.cost.answered += took;
            self.cost.answered_events += 1;
        }
        if let Some(next_ms) = entry.engine.next_tick_ms() {
            let at_us = (next_ms * 1_000).max(self.now_us);
            if at_us < entry.tick_us {
                entry.tick_us = at_us;
                self.push(at_us, ScheduledEvent::Tick(index));
            }
        }
        for action in actions {
            self.apply(index, action);
        }
    }

    fn apply(&mut self, index: usize, action: RequestsAction) {
        match action {
            RequestsAction::Dispatch { request, attempt, target, timeout_ms } => {
                self.dispatch(index, request, attempt, &target, timeout_ms);
            }
            RequestsAction::Forward { request, to, .. } => {
                let to = self.index_of(&to);
                let number = request.0 as usize;
                let at_us = self.now_us + REMOTE_DELAY_US;
                self.push(at_us, ScheduledEvent::ForwardArrives { from: index, to, number });
            }
            RequestsAction::Answer { request, .. } => {
                self.cost.answers += 1;
                self.end(index, request, ForwardResult::Answered { status: 200 });
            }
            RequestsAction::NotRun { request, refusal, .. } => {
                self.end(index, request, ForwardResult::NotRun(refusal));
            }
            RequestsAction::Unknown { request, refusal } => {
                self.end(index, request, ForwardResult::Unknown(refusal));
            }
            RequestsAction::Send { to, message } => self.send(index, &to, message),
            RequestsAction::AbortAttempt { .. } => {}
        }
    }

    fn index_of(&self, entry: &EntryId) -> usize {
        entry.as_str()[1..].parse().unwrap_or(0)
    }

    fn send(&mut self, from: usize, to: &EntryId, message: RequestsMessage) {
        self.slot_use.messages += 1;
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        let from = self.entries[from].name.clone();
        let event = RequestsEvent::Received { from, message };
        let to = self.index_of(to);
        self.push(self.now_us + LOCAL_DELAY_US, ScheduledEvent::Event(to, Box::new(event)));
    }

    fn dispatch(
        &mut self,
        index: usize,
        request: RequestId,
        attempt: u32,
        target: &TargetId,
        timeout_ms: u64,
    ) {
        let number = (request.0 % FORWARDED_ID) as usize;
        let target = self.target_index[target];
        let state = &mut self.targets[target];
        state.running += 1;
        state.most = state.most.max(state.running);
        let start_us = self.now_us + LOCAL_DELAY_US;
        self.outcomes[number].started_us.get_or_insert(start_us);
        let service_us = self.arrivals[number].service_us;
        let end_us = start_us + service_us + LOCAL_DELAY_US;
        let limit_us = self.now_us + timeout_ms * 1_000;
        let done_us = (start_us + service_us).min(limit_us + TARGET_OVERTIME_US);
        self.push(done_us, ScheduledEvent::TargetDone { target });
        let (at_us, result) = if end_us <= limit_us {
            (end_us, AttemptResult::Answered { status: 200, leaving: false })
        } else {
            (limit_us, AttemptResult::TimedOut)
        };
        let event = RequestsEvent::AttemptEnded { request, attempt, result };
        self.push(at_us, ScheduledEvent::Event(index, Box::new(event)));
    }

    fn end(&mut self, index: usize, request: RequestId, result: ForwardResult) {
        if let Some(origin) = self.origins.remove(&(index, request.0)) {
            let request = RequestId(request.0 - FORWARDED_ID);
            let event = RequestsEvent::ForwardEnded { request, result };
            self.push(
                self.now_us + REMOTE_DELAY_US,
                ScheduledEvent::Event(origin, Box::new(event)),
            );
            return;
        }
        let outcome = &mut self.outcomes[request.0 as usize];
        match result {
            ForwardResult::Answered { .. } => outcome.answered_us = Some(self.now_us),
            ForwardResult::NotRun(Refusal::Cancelled) => {}
            _ => outcome.refused_us = Some(self.now_us),
        }
    }
}
