//! CPU cost of a charge, depending on the number of claims that the engine keeps.

use std::time::Instant;

use tamarackproxy::{
    coordination::once::{
        BodyDigest, Claim, KeyDigest, OnceAction, OnceEngine, OnceEvent, RunResult, SeatTenure,
    },
    state::{
        clock::ClockReading,
        ids::{DataCentreId, EntryId, RequestId, Term},
    },
};

use super::cluster::START_UNIX_MS;
use crate::bench::key_values::KeyValues;

/// Number of charges over which the cost is measured.
const SAMPLE: u64 = 20_000;

/// An engine whose store and targets respond immediately.
struct Home {
    engine: OnceEngine,
    store: KeyValues,
    now_ms: u64,
    charges: u64,
    nanoseconds: u128,
}

impl Home {
    fn new() -> Self {
        let engine = OnceEngine::new(EntryId::new("entry"), DataCentreId::new("dc"), 1);
        let store = KeyValues::default();
        let mut home = Self { engine, store, now_ms: 0, charges: 0, nanoseconds: 0 };
        home.handle(OnceEvent::SeatsConfigured { seats: 1 });
        let seat = Some(SeatTenure { index: 0, term: Term(1) });
        home.handle(OnceEvent::SeatChanged { seat });
        home
    }

    fn handle(&mut self, event: OnceEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = ClockReading::new(self.now_ms, START_UNIX_MS + self.now_ms);
            let mut actions = Vec::new();
            let before = Instant::now();
            self.engine.handle(now, event, &mut actions);
            self.nanoseconds += before.elapsed().as_nanos();
            for action in actions {
                match action {
                    OnceAction::Store { call, request } => {
                        let result = Ok(self.store.apply(&request));
                        events.push(OnceEvent::StoreReplied { call, result });
                    }
                    OnceAction::Run { request } => {
                        let result = RunResult::Answered { size_bytes: 500 };
                        events.push(OnceEvent::RunEnded { request, result });
                    }
                    _ => {}
                }
            }
        }
    }

    /// Submits charges with new keys, one per millisecond, and returns the cost of
    /// one in nanoseconds.
    fn charge(&mut self, count: u64) -> f64 {
        self.nanoseconds = 0;
        for _ in 0..count {
            self.charges += 1;
            self.now_ms += 1;
            let mut key = [0; 16];
            // Fibonacci hashing spreads the keys as a digest would.
            let spread = self.charges.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            key[..8].copy_from_slice(&spread.to_be_bytes());
            let created_unix_ms = START_UNIX_MS + self.now_ms;
            let claim = Claim { key: KeyDigest(key), body: BodyDigest([1; 16]), created_unix_ms };
            let request = RequestId(self.charges);
            self.handle(OnceEvent::Submitted { request, claim });
            self.handle(OnceEvent::Tick);
        }
        self.nanoseconds as f64 / count as f64
    }
}

/// Returns the cost of a charge, in nanoseconds, with about 20,000 and with about
/// 300,000 kept claims.
pub(super) fn costs_ns() -> (f64, f64) {
    let mut home = Home::new();
    home.charge(SAMPLE);
    let few = home.charge(SAMPLE);
    home.charge(13 * SAMPLE);
    (few, home.charge(SAMPLE))
}
