//! CPU time of the decisions for one request, depending on the number of targets.

use std::time::Instant;

use tamarackproxy::{
    coordination::requests::{
        AttemptResult, RequestEngine, RequestMeta, RequestsAction, RequestsEvent, SeatShare,
        ServiceLimits, TargetState,
    },
    state::{
        clock::ClockReading,
        document::Urgency,
        ids::{CallerId, DataCentreId, EntryId, HostId, RequestId, ServiceId, TargetId},
    },
};

use super::{Figure, series};

/// Targets of each service in the data centre.
const TARGETS: [usize; 4] = [2, 12, 50, 200];
/// Services in the data centre, as at the design size.
const SERVICES: usize = 26;
/// Number of requests in one batch.
const BATCH: u64 = 5_000;
/// Number of batches. The fastest counts, because other processes may run on the
/// machine.
const BATCHES: u64 = 7;

pub(super) fn run() -> Vec<Figure> {
    let points = |services: usize| {
        TARGETS.map(|each| ((each * services) as f64, cost_ns(services, each))).to_vec()
    };
    let mut figures =
        series("decisions of a request, 26 services", "targets", "ns", &points(SERVICES));
    figures.extend(series("decisions of a request, 1 service", "targets", "ns", &points(1)));
    figures
}

/// Creates an engine that holds the first of seven seats.
pub(super) fn engine(services: usize, targets_each: usize, queue_limit: u32) -> RequestEngine {
    let data_centre = DataCentreId::new("dc00");
    let mut engine = RequestEngine::new(EntryId::new("entry"), data_centre.clone(), 1);
    let limits = (0..services).map(|index| ServiceLimits {
        service: service(index),
        slots: 8,
        connections: 64,
        queue_limit,
    });
    let services_changed =
        RequestsEvent::ServicesChanged { services: limits.collect(), callers: Vec::new() };
    let target = |index: usize| {
        let host = HostId::new(format!("h{index}"));
        let target = TargetId::new(service(index % services), host);
        TargetState { target, data_centre: data_centre.clone(), accepts_work: true }
    };
    let targets = (0..services * targets_each).map(target).collect();
    let events = [
        services_changed,
        RequestsEvent::TargetsChanged { targets },
        RequestsEvent::SeatChanged { seat: Some(SeatShare { index: 0, seats: 7 }) },
    ];
    for event in events {
        engine.handle(ClockReading::new(0, 0), event);
    }
    engine
}

fn service(index: usize) -> ServiceId {
    ServiceId::new(format!("s{index}"))
}

/// Returns a request whose deadline is too far away to matter.
pub(super) fn meta(service_index: usize, caller: u64, now_ms: u64) -> RequestMeta {
    RequestMeta {
        service: service(service_index),
        caller: CallerId::new(format!("c{caller}")),
        urgency: Urgency::Normal,
        deadline_at_ms: now_ms + 1_000_000_000,
        repeatable: true,
        forwarded: false,
    }
}

fn cost_ns(services: usize, targets_each: usize) -> f64 {
    let mut engine = engine(services, targets_each, 1_000);
    let mut number = 0;
    let batches = (0..BATCHES).map(|_| {
        let before = Instant::now();
        for _ in 0..BATCH {
            number += 1;
            answer_one(&mut engine, number, services);
        }
        before.elapsed().as_nanos() as f64 / BATCH as f64
    });
    batches.fold(f64::INFINITY, f64::min)
}

/// Submits one request and ends its attempt 5 ms later.
fn answer_one(engine: &mut RequestEngine, number: u64, services: usize) {
    let (now_ms, request) = (10 * number, RequestId(number));
    let meta = meta(number as usize % services, number % 10, now_ms);
    let submitted = RequestsEvent::Submitted { request, meta };
    let actions = engine.handle(ClockReading::new(now_ms, now_ms), submitted);
    let dispatched = actions.into_iter().find_map(|action| match action {
        RequestsAction::Dispatch { attempt, .. } => Some(attempt),
        _ => None,
    });
    let Some(attempt) = dispatched else { return };
    let result = AttemptResult::Answered { status: 200, leaving: false };
    let ended = RequestsEvent::AttemptEnded { request, attempt, result };
    engine.handle(ClockReading::new(now_ms + 5, now_ms + 5), ended);
    if engine.next_tick_ms().is_some_and(|at_ms| at_ms <= now_ms + 10) {
        let now = ClockReading::new(now_ms + 10, now_ms + 10);
        engine.handle(now, RequestsEvent::Tick);
    }
}
