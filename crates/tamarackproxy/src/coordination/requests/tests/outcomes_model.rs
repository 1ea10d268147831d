//! Randomised model: under events of every kind, each request ends exactly once,
//! with an outcome consistent with its attempts.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::support::{Harness, peer, remote_load, targets};
use crate::{
    coordination::requests::{
        AttemptResult, ForwardResult, RequestMeta, RequestsAction, RequestsEvent, SeatShare,
    },
    protocol::caller::Refusal,
    state::{
        document::Urgency,
        ids::{CallerId, HostId, RequestId},
    },
};

const HOSTS: [&str; 3] = ["h1", "h2", "h3"];
const STEPS: u32 = 4_000;

/// What the model has observed of one request.
#[derive(Debug, Default)]
struct RequestRecord {
    repeatable: bool,
    forwarded_here: bool,
    /// Attempts in flight.
    running: Vec<u32>,
    /// Attempts whose response was reported, by number; `None` for a forward.
    answered: Vec<Option<u32>>,
    /// Attempts and forwards that were sent.
    sent: u32,
    forwards: u32,
    /// Whether a forward is in progress.
    forwarding: bool,
    /// Whether an attempt may have started without an answer.
    may_have_run: bool,
    outcome: Option<&'static str>,
}

struct Model {
    harness: Harness,
    rng: ChaCha8Rng,
    records: BTreeMap<u64, RequestRecord>,
    forwards: Vec<u64>,
}

impl Model {
    fn event(&mut self, event: RequestsEvent) {
        let actions = self.harness.event(event);
        self.check(actions);
    }

    fn check(&mut self, actions: Vec<RequestsAction>) {
        for action in actions {
            match action {
                RequestsAction::Dispatch { request, attempt, .. } => {
                    let record = self.open(request);
                    let repeats = record.sent > 0 && record.may_have_run;
                    assert!(record.repeatable || !repeats, "{request} runs again");
                    record.sent += 1;
                    record.running.push(attempt);
                }
                RequestsAction::AbortAttempt { request, attempt } => {
                    let record = self.records.get_mut(&request.0).expect("a submitted request");
                    record.running.retain(|&running| running != attempt);
                    record.may_have_run = true;
                }
                RequestsAction::Forward { request, .. } => {
                    let record = self.open(request);
                    assert!(!record.forwarded_here && record.forwards == 0, "one hop");
                    record.sent += 1;
                    record.forwards += 1;
                    record.forwarding = true;
                    self.forwards.push(request.0);
                }
                RequestsAction::Answer { request, attempt } => {
                    let record = self.open(request);
                    assert!(record.answered.contains(&attempt), "{request}: {record:?}");
                    record.outcome = Some("answered");
                }
                RequestsAction::NotRun { request, .. } => {
                    let record = self.open(request);
                    assert!(!record.may_have_run && record.running.is_empty(), "{record:?}");
                    assert!(record.answered.is_empty());
                    record.outcome = Some("not-run");
                }
                RequestsAction::Unknown { request, .. } => {
                    let record = self.open(request);
                    assert!(record.sent > 0, "{request} was never sent");
                    record.outcome = Some("unknown");
                }
                RequestsAction::Send { .. } => {}
            }
        }
    }

    fn open(&mut self, request: RequestId) -> &mut RequestRecord {
        let record = self.records.get_mut(&request.0).expect("a request that was submitted");
        assert_eq!(record.outcome, None, "{request} has ended");
        record
    }

    fn submit(&mut self, id: u64) {
        let urgency = *[Urgency::Urgent, Urgency::Normal, Urgency::Bulk]
            .choose(&mut self.rng)
            .expect("not empty");
        let meta = RequestMeta {
            caller: CallerId::new(format!("c{}", self.rng.random_range(0..3))),
            urgency,
            deadline_at_ms: self.harness.now_ms + self.rng.random_range(0..3_000),
            repeatable: self.rng.random(),
            forwarded: self.rng.random_bool(0.2),
            ..self.harness.meta()
        };
        let record = RequestRecord {
            repeatable: meta.repeatable,
            forwarded_here: meta.forwarded,
            ..RequestRecord::default()
        };
        self.records.insert(id, record);
        self.event(RequestsEvent::Submitted { request: RequestId(id), meta });
    }

    /// Reports the end of an attempt in flight, or sometimes of an attempt that has
    /// ended or never ran.
    fn end_attempt(&mut self) {
        let recent = self.records.iter().rev().take(200);
        let any = self.rng.random_bool(0.2);
        let ids: Vec<u64> = recent
            .filter(|(_, record)| any || !record.running.is_empty())
            .map(|(&id, _)| id)
            .collect();
        let Some(&id) = ids.choose(&mut self.rng) else { return };
        let record = self.records.get_mut(&id).expect("a submitted request");
        let attempt = match record.running.first() {
            Some(&attempt) => attempt,
            None => self.rng.random_range(0..3),
        };
        let leaving = self.rng.random_bool(0.002);
        let result = match self.rng.random_range(0..16) {
            0 => AttemptResult::RefusedBeforeStart { leaving },
            1 => AttemptResult::NotSent,
            2 => AttemptResult::Lost,
            3 => AttemptResult::TimedOut,
            _ => AttemptResult::Answered { status: 200, leaving },
        };
        if record.running.contains(&attempt) {
            record.running.retain(|&running| running != attempt);
            match result {
                AttemptResult::Answered { .. } => record.answered.push(Some(attempt)),
                AttemptResult::Lost | AttemptResult::TimedOut => record.may_have_run = true,
                _ => {}
            }
        }
        self.event(RequestsEvent::AttemptEnded { request: RequestId(id), attempt, result });
    }

    fn end_forward(&mut self) {
        let Some(id) = self.forwards.pop() else { return };
        let record = self.records.get_mut(&id).expect("a submitted request");
        record.forwarding = false;
        let result = match self.rng.random_range(0..3) {
            0 => ForwardResult::Answered { status: 200 },
            1 => ForwardResult::NotRun(Refusal::QueueFull),
            _ => ForwardResult::Unknown(Refusal::TargetTimeout),
        };
        match result {
            ForwardResult::Answered { .. } => record.answered.push(None),
            ForwardResult::Unknown(_) => record.may_have_run = true,
            ForwardResult::NotRun(_) => {}
        }
        self.event(RequestsEvent::ForwardEnded { request: RequestId(id), result });
    }

    fn inject_fault(&mut self) {
        let host = *HOSTS.choose(&mut self.rng).expect("not empty");
        match self.rng.random_range(0..6) {
            0 => {
                let states = targets(&HOSTS).into_iter().map(|mut state| {
                    state.accepts_work = self.rng.random_bool(0.8);
                    state
                });
                let targets = states.collect();
                self.event(RequestsEvent::TargetsChanged { targets });
            }
            1 if self.rng.random_bool(0.1) => {
                self.event(RequestsEvent::HostLeaving { host: HostId::new(host) })
            }
            2 => self.event(RequestsEvent::SeatChanged { seat: None }),
            3 | 4 => {
                let seat = Some(SeatShare { index: 0, seats: 1 });
                self.event(RequestsEvent::SeatChanged { seat });
                self.event(RequestsEvent::TargetsChanged { targets: targets(&HOSTS) });
            }
            _ => self.event(remote_load(3)),
        }
    }

    fn step(&mut self, id: u64) {
        match self.rng.random_range(0..100) {
            0..40 => self.submit(id),
            40..80 => self.end_attempt(),
            80..84 => self.end_forward(),
            84..87 => {
                let id = self.rng.random_range(id.saturating_sub(60)..=id);
                if let Some(record) = self.records.get_mut(&id) {
                    // A forward that is cancelled may have run.
                    record.may_have_run |= record.forwarding;
                }
                self.event(RequestsEvent::Cancelled { request: RequestId(id) });
            }
            87..89 => self.inject_fault(),
            _ => {
                let ms = self.rng.random_range(0..100);
                let actions = self.harness.advance(ms);
                self.check(actions);
            }
        }
    }
}

/// Guards against requests that end twice or never, `not-run` after an attempt that
/// may have run, answers of other attempts, and a second run of a request that is
/// not repeatable.
#[rstest]
fn outcomes_are_exact_under_random_events(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    println!("seed {seed}");
    let mut harness = Harness::new(&HOSTS, 8);
    harness.event(RequestsEvent::PeersChanged { peers: vec![peer("e2")] });
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut model = Model { harness, rng, records: BTreeMap::new(), forwards: Vec::new() };
    for id in 0..u64::from(STEPS) {
        model.step(id);
    }
    model.event(RequestsEvent::Stopping);
    let actions = model.harness.advance(60_000);
    model.check(actions);
    let open = model.records.iter().filter(|(_, record)| record.outcome.is_none());
    assert_eq!(open.count(), 0);
    assert_eq!(model.harness.engine.open_requests(), 0);
    for outcome in ["answered", "not-run", "unknown"] {
        let count = model.records.values().filter(|k| k.outcome == Some(outcome)).count();
        assert!(count > 50, "too little coverage: {count} requests ended as {outcome}");
    }
    for host in HOSTS {
        assert_eq!(model.harness.engine.in_flight_on(&HostId::new(host)), 0);
    }
}
