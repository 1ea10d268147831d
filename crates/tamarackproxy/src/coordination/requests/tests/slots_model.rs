//! Engines that exchange loans over a network with delay and loss never run
//! more attempts at a target than it has slots.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::support::{DATA_CENTRE, SERVICE, services, targets};
use crate::{
    coordination::requests::{
        ATTEMPT_GRACE_MS, AttemptResult, RequestEngine, RequestMeta, RequestsAction, RequestsEvent,
        SeatShare,
    },
    state::{
        clock::ClockReading,
        document::Urgency,
        ids::{CallerId, DataCentreId, EntryId, RequestId, ServiceId, TargetId},
    },
};

const SLOTS: u16 = 8;
const HOSTS: [&str; 3] = ["h1", "h2", "h3"];
const RUN_MS: u64 = 40_000;
const LOSS: f64 = 0.1;

/// What the network or a target does later, at a time of the model.
enum Due {
    Event { to: usize, event: RequestsEvent },
    Finished { target: TargetId },
}

struct Model {
    rng: ChaCha8Rng,
    engines: Vec<RequestEngine>,
    /// Rate of each engine's clock, within 4% of the model's.
    rates: Vec<f64>,
    now_ms: u64,
    due: BTreeMap<(u64, u64), Due>,
    sequence: u64,
    running: BTreeMap<TargetId, u16>,
    most: u16,
    dispatched: u64,
    lent: u64,
}

impl Model {
    fn new(seats: u16, seed: u64) -> Self {
        println!("seed {seed}, {seats} seats");
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let name = |index: u16| EntryId::new(format!("e{index}"));
        let engine =
            |index| RequestEngine::new(name(index), DataCentreId::new(DATA_CENTRE), seed + 1);
        let mut model = Self {
            rates: (0..seats).map(|_| rng.random_range(0.96..1.04)).collect(),
            rng,
            engines: (0..seats).map(engine).collect(),
            now_ms: 0,
            due: BTreeMap::new(),
            sequence: 0,
            running: BTreeMap::new(),
            most: 0,
            dispatched: 0,
            lent: 0,
        };
        for index in 0..seats {
            let to = usize::from(index);
            let services = services(SLOTS, 100);
            model.handle(to, RequestsEvent::ServicesChanged { services, callers: Vec::new() });
            model.handle(to, RequestsEvent::TargetsChanged { targets: targets(&HOSTS) });
            model.handle(to, RequestsEvent::PeersChanged { peers: (0..seats).map(name).collect() });
            let seat = Some(SeatShare { index, seats });
            model.handle(to, RequestsEvent::SeatChanged { seat });
        }
        model
    }

    fn clock(&self, engine: usize) -> u64 {
        (self.now_ms as f64 * self.rates[engine]) as u64 + 1_000 * engine as u64
    }

    fn later(&mut self, after_ms: u64, due: Due) {
        self.sequence += 1;
        self.due.insert((self.now_ms + after_ms, self.sequence), due);
    }

    fn handle(&mut self, to: usize, event: RequestsEvent) {
        let now = ClockReading::new(self.clock(to), 0);
        for action in self.engines[to].handle(now, event) {
            self.apply(to, action);
        }
    }

    fn apply(&mut self, from: usize, action: RequestsAction) {
        match action {
            RequestsAction::Dispatch { request, attempt, target, timeout_ms } => {
                self.dispatched += 1;
                let running = self.running.entry(target.clone()).or_default();
                *running += 1;
                self.most = self.most.max(*running);
                self.run(from, request, attempt, target, timeout_ms);
            }
            RequestsAction::Send { to, message } => {
                self.lent += u64::from(format!("{message:?}").starts_with("Lend"));
                if !self.rng.random_bool(LOSS) {
                    let delay_ms = match self.rng.random_bool(0.05) {
                        true => self.rng.random_range(1..16_000),
                        false => self.rng.random_range(0..4),
                    };
                    let index = to.as_str()[1..].parse().expect("an index");
                    let from = EntryId::new(format!("e{from}"));
                    let event = RequestsEvent::Received { from, message };
                    self.later(delay_ms, Due::Event { to: index, event });
                }
            }
            _ => {}
        }
    }

    /// Runs an attempt at a target, which finishes it at the latest when its
    /// deadline and most of the grace are over, whatever its caller hears.
    fn run(&mut self, to: usize, request: RequestId, attempt: u32, target: TargetId, limit: u64) {
        let ended = |result| Due::Event {
            to,
            event: RequestsEvent::AttemptEnded { request, attempt, result },
        };
        // The engine's clock may run ahead of the model's by 4%.
        let last_ms = (limit + ATTEMPT_GRACE_MS) * 96 / 100 - 1;
        let took_ms = self.rng.random_range(1..200).min(last_ms);
        match self.rng.random_range(0..200) {
            0 => {
                self.later(took_ms, Due::Finished { target });
                self.later(took_ms / 2, ended(AttemptResult::Lost));
            }
            1 => {
                self.later(last_ms, Due::Finished { target });
                self.later(limit, ended(AttemptResult::TimedOut));
            }
            2 => {
                self.later(last_ms, Due::Finished { target });
                let cancelled = RequestsEvent::Cancelled { request };
                self.later(took_ms, Due::Event { to, event: cancelled });
            }
            _ => {
                self.later(took_ms, Due::Finished { target });
                let result = AttemptResult::Answered { status: 200, leaving: false };
                self.later(took_ms, ended(result));
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= self.now_ms) {
            match entry.remove() {
                Due::Event { to, event } => self.handle(to, event),
                Due::Finished { target } => {
                    *self.running.get_mut(&target).expect("was started") -= 1;
                }
            }
        }
        for engine in 0..self.engines.len() {
            if self.engines[engine].next_tick_ms().is_some_and(|at_ms| at_ms <= self.clock(engine))
            {
                self.handle(engine, RequestsEvent::Tick);
            }
        }
    }

    /// Submits to one engine at a time more than its share holds.
    fn load(&mut self) {
        let busy = (self.now_ms / 3_000) as usize % self.engines.len();
        if self.now_ms.is_multiple_of(4) {
            self.sequence += 1;
            let request = RequestId(self.sequence);
            let deadline_ms = self.rng.random_range(100..9_000);
            let meta = RequestMeta {
                service: ServiceId::new(SERVICE),
                caller: CallerId::new("aline"),
                urgency: Urgency::Normal,
                deadline_at_ms: self.clock(busy) + deadline_ms,
                repeatable: true,
                forwarded: false,
            };
            self.handle(busy, RequestsEvent::Submitted { request, meta });
        }
    }

    /// Suspends and resumes a seat now and then.
    fn disturb(&mut self) {
        if self.now_ms.is_multiple_of(2_500) {
            let engine = self.rng.random_range(0..self.engines.len());
            self.handle(engine, RequestsEvent::SeatChanged { seat: None });
            let (index, seats) = (engine as u16, self.engines.len() as u16);
            let seat = Some(SeatShare { index, seats });
            self.later(700, Due::Event { to: engine, event: RequestsEvent::SeatChanged { seat } });
        }
    }
}

/// Guards against overruns of a target's slots through lost, delayed and late
/// loan messages, drifting clocks, unfinished attempts and seat suspensions.
#[rstest]
fn slots_never_overrun(#[values(2, 3, 5, 8)] seats: u16, #[values(1, 2, 3)] seed: u64) {
    let mut model = Model::new(seats, seed);
    while model.now_ms < RUN_MS {
        model.step();
        model.load();
        model.disturb();
    }
    assert!(
        model.lent > 20 && model.dispatched > 1_000,
        "{} loans, {} attempts",
        model.lent,
        model.dispatched
    );
    assert!(model.most <= SLOTS, "{} attempts ran at once", model.most);
}
