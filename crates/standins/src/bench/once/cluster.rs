//! Simulation in virtual time of entry hosts that run the at-most-once engine.

use std::collections::HashMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{
    coordination::once::{OnceAction, OnceEngine, OnceEvent, OnceMessage, RunResult, SeatTenure},
    protocol::{
        caller::Refusal,
        store::{StoreError, StoreReply, StoreRequest},
    },
    state::{
        clock::ClockReading,
        ids::{CallId, DataCentreId, EntryId, RequestId, Term},
    },
};

use super::{
    callers::{Charge, Request},
    counts::OnceCounts,
    setup::OnceSetup,
};
use crate::bench::{key_values::KeyValues, virtual_time::EventQueue};

/// Wall-clock time at the start of a run, in milliseconds since the Unix epoch.
pub(super) const START_UNIX_MS: u64 = 1_800_000_000_000;
/// Time after which the store client gives up a call, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 1_000;

#[derive(Debug)]
pub(super) enum Event {
    /// A caller sends one more attempt.
    Attempt { charge: usize },
    /// The caller stops waiting.
    Deadline { request: RequestId },
    /// An engine event; lost or delayed if its entry host is killed or paused.
    Engine { node: usize, event: OnceEvent },
    /// A call arrives at the store.
    StoreEffect { node: usize, call: CallId, request: StoreRequest, reply: Reply },
    /// A recurring fault.
    Fault(Fault),
    /// A new entry host takes the seat of a failed one.
    Takeover { data_centre: usize, seat: u16, failed: usize },
    /// A data centre checks whether the store is reachable.
    StoreCheck { data_centre: usize },
    /// A data centre changes its number of seats.
    SeatsChange { data_centre: usize, seats: u16 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reply {
    After(u64),
    Lost,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    Kill,
    Pause,
    Outage,
    CutOff,
    Partition,
    SeatsChange,
}

#[derive(Debug)]
pub(super) struct Node {
    pub entry: EntryId,
    pub data_centre: usize,
    pub engine: OnceEngine,
    pub alive: bool,
    pub paused_until_ms: u64,
    /// Deviation of the wall clock from the true time, in milliseconds.
    skew_ms: i64,
    tick_at_ms: Option<u64>,
}

#[derive(Debug)]
pub(super) struct DataCentre {
    pub id: DataCentreId,
    /// Number of seats.
    pub seats: u16,
    /// Number of seats before the last change, which some entry hosts still use
    /// while the change propagates.
    pub previous_seats: u16,
    pub seats_changed_ms: u64,
    /// Holder and term of each seat.
    pub holders: Vec<Option<(usize, Term)>>,
    pub store_lost_until_ms: u64,
    pub store_lost_since_ms: Option<u64>,
    /// End of the last period in detached mode; the maximum value while it lasts.
    pub detached_until_ms: Option<u64>,
    pub detached: bool,
    pub partitioned_until_ms: u64,
    /// For each seat, the periods in which a fault may leave the outcome of keys
    /// unknown.
    pub exposed: HashMap<u16, Vec<(u64, u64)>>,
}

/// Simulated deployment with its callers.
#[derive(Debug)]
pub struct Cluster {
    pub(super) setup: OnceSetup,
    pub(super) rng: ChaCha8Rng,
    pub(super) queue: EventQueue<Event>,
    pub(super) store: KeyValues,
    pub(super) nodes: Vec<Node>,
    pub(super) data_centres: Vec<DataCentre>,
    pub(super) charges: Vec<Charge>,
    pub(super) requests: Vec<Request>,
    pub(super) counts: OnceCounts,
    pub(super) open_charges: usize,
}

impl Cluster {
    /// Creates the entry hosts and schedules all charges and the first faults.
    pub fn new(setup: OnceSetup) -> Self {
        let mut cluster = Self {
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            queue: EventQueue::new(),
            store: KeyValues::default(),
            nodes: Vec::new(),
            data_centres: Vec::new(),
            charges: Vec::new(),
            requests: Vec::new(),
            counts: OnceCounts::default(),
            open_charges: setup.charges as usize,
            setup,
        };
        for number in 0..cluster.setup.data_centres {
            cluster.add_data_centre(number);
        }
        cluster.schedule_charges();
        cluster.schedule_faults();
        cluster
    }

    fn add_data_centre(&mut self, number: u16) {
        let seats = self.setup.seats;
        let data_centre = self.data_centres.len();
        self.data_centres.push(DataCentre {
            id: DataCentreId::new(format!("dc{number}")),
            seats,
            previous_seats: seats,
            seats_changed_ms: 0,
            holders: vec![None; usize::from(seats)],
            store_lost_until_ms: 0,
            store_lost_since_ms: None,
            detached_until_ms: None,
            detached: false,
            partitioned_until_ms: 0,
            exposed: HashMap::new(),
        });
        for seat in 0..seats {
            self.start_seat_holder(data_centre, seat);
        }
    }

    /// Starts an entry host that holds the seat.
    pub(super) fn start_seat_holder(&mut self, data_centre: usize, seat: u16) {
        let node = self.nodes.len();
        let entry = EntryId::new(format!("entry-{node}"));
        let id = self.data_centres[data_centre].id.clone();
        let hosts = u32::from(self.setup.data_centres) * u32::from(self.setup.seats);
        self.nodes.push(Node {
            engine: OnceEngine::new(entry.clone(), id, hosts),
            entry,
            data_centre,
            alive: true,
            paused_until_ms: 0,
            skew_ms: self.rng.random_range(-5_000..=5_000),
            tick_at_ms: None,
        });
        let slot = &mut self.data_centres[data_centre].holders[usize::from(seat)];
        let term = Term(self.nodes.len() as u64);
        *slot = Some((node, term));
        let seats = self.data_centres[data_centre].seats;
        self.deliver(node, OnceEvent::SeatsConfigured { seats });
        self.announce_peers(data_centre);
        let tenure = SeatTenure { index: seat, term };
        self.deliver(node, OnceEvent::SeatChanged { seat: Some(tenure) });
    }

    /// Notifies the live seat holders of a data centre of their peers.
    pub(super) fn announce_peers(&mut self, data_centre: usize) {
        let holders: Vec<usize> = self.live_holders(data_centre);
        for &node in &holders {
            let others = holders.iter().filter(|&&other| other != node);
            let peers = others.map(|&other| self.nodes[other].entry.clone()).collect();
            self.deliver(node, OnceEvent::PeersChanged { peers });
        }
    }

    pub(super) fn live_holders(&self, data_centre: usize) -> Vec<usize> {
        let holders = self.data_centres[data_centre].holders.iter().flatten();
        holders.map(|&(node, _)| node).filter(|&node| self.nodes[node].alive).collect()
    }

    /// Runs until all charges are completed and returns the results.
    pub fn run(mut self) -> OnceCounts {
        while self.open_charges > 0 {
            let Some(event) = self.queue.pop() else { break };
            self.handle(event);
        }
        self.finish()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Attempt { charge } => self.attempt(charge),
            Event::Deadline { request } => self.on_deadline(request),
            Event::Engine { node, event } => self.deliver(node, event),
            Event::StoreEffect { node, call, request, reply } => {
                self.apply_store_call(node, call, &request, reply);
            }
            Event::Fault(fault) => self.inject(fault),
            Event::Takeover { data_centre, seat, failed } => {
                self.take_over(data_centre, seat, failed)
            }
            Event::StoreCheck { data_centre } => self.check_store(data_centre),
            Event::SeatsChange { data_centre, seats } => self.change_seats(data_centre, seats),
        }
    }

    /// Passes an event to an engine and executes its actions.
    pub(super) fn deliver(&mut self, node: usize, event: OnceEvent) {
        let now_ms = self.queue.now_ms();
        let host = &mut self.nodes[node];
        if !host.alive {
            return;
        }
        if event == OnceEvent::Tick && host.tick_at_ms.take_if(|at_ms| *at_ms <= now_ms).is_none() {
            return; // Superseded by an earlier tick.
        }
        if now_ms < host.paused_until_ms {
            if event == OnceEvent::Tick {
                host.tick_at_ms = Some(host.paused_until_ms);
            }
            self.queue.push_at(host.paused_until_ms, Event::Engine { node, event });
            return;
        }
        if let OnceEvent::RunEnded { request, result } = &event {
            self.on_run_ended(*request, result);
        }
        let host = &mut self.nodes[node];
        let unix_ms = (START_UNIX_MS + now_ms).saturating_add_signed(host.skew_ms);
        let mut actions = Vec::new();
        host.engine.handle(ClockReading::new(now_ms, unix_ms), event, &mut actions);
        let due_ms = host.engine.next_tick_ms().map(|at_ms| at_ms.max(now_ms + 1));
        if let Some(at_ms) = due_ms
            && host.tick_at_ms.is_none_or(|planned_ms| at_ms < planned_ms)
        {
            host.tick_at_ms = Some(at_ms);
            self.queue.push_at(at_ms, Event::Engine { node, event: OnceEvent::Tick });
        }
        for action in actions {
            self.execute_action(node, action);
        }
    }

    fn execute_action(&mut self, node: usize, action: OnceAction) {
        match action {
            OnceAction::Run { request } => self.run_request(node, request),
            OnceAction::Replay { request, first } => self.on_replay(request, first),
            OnceAction::NotRun { request, refusal, .. } => self.on_not_run(request, &refusal),
            OnceAction::Unknown { request, refusal } => self.on_unknown(request, &refusal),
            OnceAction::Send { to, message } => self.send(&to, node, message),
            OnceAction::Store { call, request } => self.call_store(node, call, request),
            OnceAction::Forget { .. } | OnceAction::LogOpen { .. } => {}
        }
    }

    fn send(&mut self, to: &EntryId, from: usize, message: OnceMessage) {
        if self.rng.random_bool(self.setup.faults.lost_message_share) {
            return;
        }
        let number = to.as_str().trim_start_matches("entry-").parse().unwrap_or(from);
        let from = self.nodes[from].entry.clone();
        let event = OnceEvent::Received { from, message };
        let delay_ms = self.rng.random_range(1..=3);
        self.queue.push_in(delay_ms, Event::Engine { node: number, event });
    }

    pub(super) fn is_store_reachable(&self, data_centre: usize) -> bool {
        self.queue.now_ms() >= self.data_centres[data_centre].store_lost_until_ms
    }

    fn call_store(&mut self, node: usize, call: CallId, request: StoreRequest) {
        let faults = &self.setup.faults;
        let (slow_share, lost_share) = (faults.slow_share, faults.lost_reply_share);
        if !self.is_store_reachable(self.nodes[node].data_centre) && self.rng.random_bool(0.5) {
            let event = OnceEvent::StoreReplied { call, result: Err(StoreError::NotSent) };
            self.queue.push_in(2, Event::Engine { node, event });
            return;
        }
        let slow = self.rng.random_bool(slow_share);
        let delay_ms = self.rng.random_range(if slow { 100..=3_000 } else { 1..=3 });
        let lost = delay_ms >= STORE_TIMEOUT_MS || self.rng.random_bool(lost_share);
        let reply = if lost { Reply::Lost } else { Reply::After(1) };
        if lost {
            let event = OnceEvent::StoreReplied { call, result: Err(StoreError::Unknown) };
            self.queue.push_in(STORE_TIMEOUT_MS, Event::Engine { node, event });
        }
        self.queue.push_in(delay_ms, Event::StoreEffect { node, call, request, reply });
    }

    fn apply_store_call(
        &mut self,
        node: usize,
        call: CallId,
        request: &StoreRequest,
        reply: Reply,
    ) {
        let reachable = self.is_store_reachable(self.nodes[node].data_centre);
        let result: Result<StoreReply, StoreError> = if reachable {
            let before = self.store.writes;
            let result = self.store.apply(request);
            let second = (self.queue.now_ms() / 1_000) as usize;
            self.counts.record_store_writes(second, self.store.writes - before);
            Ok(result)
        } else {
            Err(StoreError::Unknown)
        };
        if let Reply::After(delay_ms) = reply {
            let delay_ms = if reachable { delay_ms } else { STORE_TIMEOUT_MS };
            let event = OnceEvent::StoreReplied { call, result };
            self.queue.push_in(delay_ms, Event::Engine { node, event });
        }
    }

    fn run_request(&mut self, node: usize, request: RequestId) {
        let refused = self.rng.random_bool(self.setup.faults.refused_share);
        let lost = self.rng.random_bool(self.setup.faults.lost_response_share);
        let result = if refused {
            RunResult::NotRun
        } else if lost {
            RunResult::Unknown
        } else {
            RunResult::Answered { size_bytes: self.rng.random_range(100..=4_000) }
        };
        self.record_run(request, &result);
        let duration_ms = self.rng.random_range(20..=200);
        let event = OnceEvent::RunEnded { request, result };
        self.queue.push_in(duration_ms, Event::Engine { node, event });
    }

    fn on_not_run(&mut self, request: RequestId, refusal: &Refusal) {
        let is_key_error = matches!(refusal, Refusal::KeyConflict | Refusal::KeyUnusable);
        self.complete_not_run(request, is_key_error);
    }
}
