//! Randomised model: engines that exchange loans over a network with delay and loss
//! never run more attempts at a target than it has slots.

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

/// Event scheduled for a later time of the model.
enum Scheduled {
    /// An event reaches an engine.
    Event { to: usize, event: RequestsEvent },
    /// A target finishes an attempt.
    Finished { target: TargetId },
}

struct Model {
    rng: ChaCha8Rng,
    engines: Vec<RequestEngine>,
    /// Rate of each engine's clock relative to the model's, within 4%.
    rates: Vec<f64>,
    now_ms: u64,
    due: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    running: BTreeMap<TargetId, u16>,
    /// Most attempts that ran at one target at once.
    max_running: u16,
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
            max_running: 0,
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

    fn schedule(&mut self, after_ms: u64, due: Scheduled) {
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
                self.max_running = self.max_running.max(*running);
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
                    self.schedule(delay_ms, Scheduled::Event { to: index, event });
                }
            }
            _ => {}
        }
    }

    /// Runs an attempt at a target, which finishes it at the latest after its
    /// deadline and most of the grace period, whatever result is reported.
    fn run(&mut self, to: usize, request: RequestId, attempt: u32, target: TargetId, limit: u64) {
        let ended = |result| Scheduled::Event {
            to,
            event: RequestsEvent::AttemptEnded { request, attempt, result },
        };
        // The engine's clock may run ahead of the model's by 4%.
        let last_ms = (limit + ATTEMPT_GRACE_MS) * 96 / 100 - 1;
        let took_ms = self.rng.random_range(1..200).min(last_ms);
        match self.rng.random_range(0..200) {
            0 => {
                self.schedule(took_ms, Scheduled::Finished { target });
                self.schedule(took_ms / 2, ended(AttemptResult::Lost));
            }
            1 => {
                self.schedule(last_ms, Scheduled::Finished { target });
                self.schedule(limit, ended(AttemptResult::TimedOut));
            }
            2 => {
                self.schedule(last_ms, Scheduled::Finished { target });
                let cancelled = RequestsEvent::Cancelled { request };
                self.schedule(took_ms, Scheduled::Event { to, event: cancelled });
            }
            _ => {
                self.schedule(took_ms, Scheduled::Finished { target });
                let result = AttemptResult::Answered { status: 200, leaving: false };
                self.schedule(took_ms, ended(result));
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= self.now_ms) {
            match entry.remove() {
                Scheduled::Event { to, event } => self.handle(to, event),
                Scheduled::Finished { target } => {
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

    /// Submits requests to one engine at a time, at a rate above what its share
    /// serves.
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

    /// Suspends a seat every 2.5 s and resumes it 0.7 s later.
    fn inject_fault(&mut self) {
        if self.now_ms.is_multiple_of(2_500) {
            let engine = self.rng.random_range(0..self.engines.len());
            self.handle(engine, RequestsEvent::SeatChanged { seat: None });
            let (index, seats) = (engine as u16, self.engines.len() as u16);
            let seat = Some(SeatShare { index, seats });
            self.schedule(
                700,
                Scheduled::Event { to: engine, event: RequestsEvent::SeatChanged { seat } },
            );
        }
    }
}

/// Guards against more attempts at a target than it has slots, caused by lost or
/// delayed loan messages, clock drift, unfinished attempts or suspended seats.
#[rstest]
fn slots_never_overrun(#[values(2, 3, 5, 8)] seats: u16, #[values(1, 2, 3)] seed: u64) {
    let mut model = Model::new(seats, seed);
    while model.now_ms < RUN_MS {
        model.step();
        model.load();
        model.inject_fault();
    }
    assert!(
        model.lent > 20 && model.dispatched > 1_000,
        "{} loans, {} attempts",
        model.lent,
        model.dispatched
    );
    assert!(model.max_running <= SLOTS, "{} attempts ran at once", model.max_running);
}
