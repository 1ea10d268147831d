//! Test harness: an engine with one service, and helpers for its events.

use crate::{
    coordination::requests::{
        AttemptResult, CallerLimits, RequestEngine, RequestMeta, RequestsAction, RequestsEvent,
        SeatShare, ServiceLimits, ServiceLoad, TargetState,
    },
    state::{
        clock::ClockReading,
        document::Urgency,
        ids::{CallerId, DataCentreId, EntryId, HostId, RequestId, ServiceId, TargetId},
    },
};

/// Seed of all engines in these tests.
pub const SEED: u64 = 7;
pub const SERVICE: &str = "booking";
pub const DATA_CENTRE: &str = "gasabo";

/// An engine, and a clock that the test advances.
pub struct Harness {
    pub engine: RequestEngine,
    pub now_ms: u64,
}

pub fn target(host: &str) -> TargetId {
    TargetId::new(ServiceId::new(SERVICE), HostId::new(host))
}

pub fn targets(hosts: &[&str]) -> Vec<TargetState> {
    let state = |host: &&str| TargetState {
        target: target(host),
        data_centre: DataCentreId::new(DATA_CENTRE),
        accepts_work: true,
    };
    hosts.iter().map(state).collect()
}

pub fn services(slots: u16, queue_limit: u32) -> Vec<ServiceLimits> {
    vec![ServiceLimits { service: ServiceId::new(SERVICE), slots, connections: 64, queue_limit }]
}

pub fn peer(name: &str) -> EntryId {
    EntryId::new(name)
}

impl Harness {
    /// Creates an engine that holds the only seat, with `slots` slots on each host
    /// and a queue limit of 1000.
    pub fn new(hosts: &[&str], slots: u16) -> Self {
        let mut harness = Self::without_seat(hosts, slots);
        harness.event(RequestsEvent::SeatChanged { seat: Some(SeatShare { index: 0, seats: 1 }) });
        harness
    }

    pub fn without_seat(hosts: &[&str], slots: u16) -> Self {
        println!("seed {SEED}");
        let engine = RequestEngine::new(peer("e1"), DataCentreId::new(DATA_CENTRE), SEED);
        let mut harness = Self { engine, now_ms: 1_000 };
        let callers = Vec::<CallerLimits>::new();
        harness.event(RequestsEvent::ServicesChanged { services: services(slots, 1_000), callers });
        harness.event(RequestsEvent::TargetsChanged { targets: targets(hosts) });
        harness
    }

    pub fn event(&mut self, event: RequestsEvent) -> Vec<RequestsAction> {
        self.engine.handle(ClockReading::new(self.now_ms, 0), event)
    }

    /// Advances the clock and fires the timers that are due by then.
    pub fn advance(&mut self, ms: u64) -> Vec<RequestsAction> {
        let end_ms = self.now_ms + ms;
        let mut actions = Vec::new();
        while let Some(at_ms) = self.engine.next_tick_ms().filter(|&at_ms| at_ms <= end_ms) {
            self.now_ms = self.now_ms.max(at_ms);
            actions.extend(self.event(RequestsEvent::Tick));
        }
        self.now_ms = end_ms;
        actions.extend(self.event(RequestsEvent::Tick));
        actions
    }

    pub fn submit(&mut self, id: u64, meta: RequestMeta) -> Vec<RequestsAction> {
        self.event(RequestsEvent::Submitted { request: RequestId(id), meta })
    }

    /// Occupies the only slot, after one answer that took 100 ms.
    pub fn saturate(&mut self) {
        for id in 900_000..900_002 {
            let meta = self.meta();
            self.submit(id, meta);
        }
        self.advance(100);
        self.answer(900_000);
    }

    /// Returns a repeatable request of normal urgency by the caller `aline` with a
    /// deadline in 5 s.
    pub fn meta(&self) -> RequestMeta {
        RequestMeta {
            service: ServiceId::new(SERVICE),
            caller: CallerId::new("aline"),
            urgency: Urgency::Normal,
            deadline_at_ms: self.now_ms + 5_000,
            repeatable: true,
            forwarded: false,
        }
    }

    pub fn non_repeatable_meta(&self) -> RequestMeta {
        RequestMeta { repeatable: false, ..self.meta() }
    }

    pub fn ended(&mut self, id: u64, attempt: u32, result: AttemptResult) -> Vec<RequestsAction> {
        self.event(RequestsEvent::AttemptEnded { request: RequestId(id), attempt, result })
    }

    pub fn answer(&mut self, id: u64) -> Vec<RequestsAction> {
        self.ended(id, 0, AttemptResult::Answered { status: 200, leaving: false })
    }

    pub fn cancel(&mut self, id: u64) -> Vec<RequestsAction> {
        self.event(RequestsEvent::Cancelled { request: RequestId(id) })
    }
}

/// Returns the requests that the actions dispatch, with attempt and host.
pub fn dispatched(actions: &[RequestsAction]) -> Vec<(u64, u32, HostId)> {
    let dispatch = |action: &RequestsAction| match action {
        RequestsAction::Dispatch { request, attempt, target, .. } => {
            Some((request.0, *attempt, target.host.clone()))
        }
        _ => None,
    };
    actions.iter().filter_map(dispatch).collect()
}

/// Returns the requests that the actions end, as `answered`, `not-run` or `unknown`.
pub fn ends(actions: &[RequestsAction]) -> Vec<(u64, &'static str)> {
    let end = |action: &RequestsAction| match action {
        RequestsAction::Answer { request, .. } => Some((request.0, "answered")),
        RequestsAction::NotRun { request, .. } => Some((request.0, "not-run")),
        RequestsAction::Unknown { request, .. } => Some((request.0, "unknown")),
        _ => None,
    };
    actions.iter().filter_map(end).collect()
}

/// Reports idle slots in another data centre, with the gateway `r1`.
pub fn remote_load(idle_slots: u32) -> RequestsEvent {
    let service = ServiceId::new(SERVICE);
    RequestsEvent::RemoteLoad {
        data_centre: DataCentreId::new("remera"),
        gateway: peer("r1"),
        loads: vec![ServiceLoad { service, idle_slots, queued: 0, in_flight: 0, service_ms: 0 }],
    }
}
