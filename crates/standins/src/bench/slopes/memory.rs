//! Memory per kept claim and per queued request.

use tamarackproxy::{
    coordination::{
        once::{
            BodyDigest, Claim, KeyDigest, OnceAction, OnceEngine, OnceEvent, RunResult, SeatTenure,
        },
        requests::{RequestEngine, RequestsEvent},
    },
    protocol::store::{StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        ids::{DataCentreId, EntryId, RecordVersion, RequestId, Term},
    },
};

use super::{Figure, requests, series};

const CLAIMS: [u64; 3] = [40_000, 120_000, 360_000];
const QUEUED: [u64; 3] = [20_000, 60_000, 180_000];
/// Wall-clock time of the start, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_780_000_000_000;

pub(super) fn run() -> Vec<Figure> {
    let points = CLAIMS.map(|count| {
        let before = heap_bytes();
        let engine = with_claims(count);
        let taken = heap_bytes() - before;
        drop(engine);
        (count as f64, taken)
    });
    let mut figures = series("memory of claims", "claims", "bytes", &points);
    let points = QUEUED.map(|count| {
        let before = heap_bytes();
        let engine = with_queued(count);
        let taken = heap_bytes() - before;
        drop(engine);
        (count as f64, taken)
    });
    figures.extend(series("memory of queued requests", "requests", "bytes", &points));
    figures
}

/// Returns the heap memory in use, in bytes. Resident memory is unsuitable, because
/// memory freed by an earlier measurement is reused first.
pub(super) fn heap_bytes() -> f64 {
    // SAFETY: the call takes no arguments and returns counters by value.
    let info = unsafe { libc::mallinfo2() };
    (info.uordblks + info.hblkhd) as f64
}

fn with_queued(count: u64) -> RequestEngine {
    let mut engine = requests::engine(1, 1, u32::MAX);
    let now = ClockReading::new(0, 0);
    for number in 0..count {
        let meta = requests::meta(0, number % 220, 0);
        let event = RequestsEvent::Submitted { request: RequestId(number), meta };
        engine.handle(now, event);
    }
    engine
}

/// Creates an engine with claims of answered requests. Its store accepts every write
/// and stores nothing.
fn with_claims(count: u64) -> OnceEngine {
    let mut engine = OnceEngine::new(EntryId::new("entry"), DataCentreId::new("dc"), 1);
    let mut version = 0;
    handle(&mut engine, 0, &mut version, OnceEvent::SeatsConfigured { seats: 1 });
    let seat = Some(SeatTenure { index: 0, term: Term(1) });
    handle(&mut engine, 0, &mut version, OnceEvent::SeatChanged { seat });
    for number in 1..=count {
        let mut key = [0; 16];
        // Fibonacci hashing spreads the keys as a digest would.
        let spread = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        key[..8].copy_from_slice(&spread.to_be_bytes());
        let claim = Claim {
            key: KeyDigest(key),
            body: BodyDigest([1; 16]),
            created_unix_ms: START_UNIX_MS + number,
        };
        let submitted = OnceEvent::Submitted { request: RequestId(number), claim };
        handle(&mut engine, number, &mut version, submitted);
        handle(&mut engine, number, &mut version, OnceEvent::Tick);
    }
    engine
}

fn handle(engine: &mut OnceEngine, now_ms: u64, version: &mut u64, event: OnceEvent) {
    let now = ClockReading::new(now_ms, START_UNIX_MS + now_ms);
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        let mut actions = Vec::new();
        engine.handle(now, event, &mut actions);
        events.extend(actions.into_iter().filter_map(|action| match action {
            OnceAction::Store { call, request } => {
                let result = Ok(accept(&request, version));
                Some(OnceEvent::StoreReplied { call, result })
            }
            OnceAction::Run { request } => {
                let result = RunResult::Answered { size_bytes: 500 };
                Some(OnceEvent::RunEnded { request, result })
            }
            _ => None,
        }));
    }
}

fn accept(request: &StoreRequest, version: &mut u64) -> StoreReply {
    match request {
        StoreRequest::Get { .. } => StoreReply::Value(None),
        StoreRequest::List { .. } => StoreReply::Values { items: Vec::new(), more: false },
        _ => {
            *version += 1;
            StoreReply::Swapped(RecordVersion(*version))
        }
    }
}
