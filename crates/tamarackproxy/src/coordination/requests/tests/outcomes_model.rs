//! Random events of every kind at random moments: each request ends exactly
//! once, and as its attempts allow.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::support::{Bench, peer, remote_load, targets};
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

#[derive(Debug, Default)]
struct Known {
    repeatable: bool,
    forwarded_here: bool,
    /// Attempts that are under way.
    running: Vec<u32>,
    /// Attempts whose response was reported, by number; none for a forward.
    answered: Vec<Option<u32>>,
    /// Attempts and forwards that were sent.
    sent: u32,
    forwards: u32,
    /// Whether a forward is under way.
    forwarding: bool,
    /// Whether an attempt may have started without an answer.
    may_have_run: bool,
    outcome: Option<&'static str>,
}

struct Model {
    bench: Bench,
    rng: ChaCha8Rng,
    known: BTreeMap<u64, Known>,
    forwards: Vec<u64>,
}

impl Model {
    fn event(&mut self, event: RequestsEvent) {
        let actions = self.bench.event(event);
        self.check(actions);
    }

    fn check(&mut self, actions: Vec<RequestsAction>) {
        for action in actions {
            match action {
                RequestsAction::Dispatch { request, attempt, .. } => {
                    let known = self.open(request);
                    let repeats = known.sent > 0 && known.may_have_run;
                    assert!(known.repeatable || !repeats, "{request} runs again");
                    known.sent += 1;
                    known.running.push(attempt);
                }
                RequestsAction::AbortAttempt { request, attempt } => {
                    let known = self.known.get_mut(&request.0).expect("known");
                    known.running.retain(|&running| running != attempt);
                    known.may_have_run = true;
                }
                RequestsAction::Forward { request, .. } => {
                    let known = self.open(request);
                    assert!(!known.forwarded_here && known.forwards == 0, "one hop");
                    known.sent += 1;
                    known.forwards += 1;
                    known.forwarding = true;
                    self.forwards.push(request.0);
                }
                RequestsAction::Answer { request, attempt } => {
                    let known = self.open(request);
                    assert!(known.answered.contains(&attempt), "{request}: {known:?}");
                    known.outcome = Some("answered");
                }
                RequestsAction::NotRun { request, .. } => {
                    let known = self.open(request);
                    assert!(!known.may_have_run && known.running.is_empty(), "{known:?}");
                    assert!(known.answered.is_empty());
                    known.outcome = Some("not-run");
                }
                RequestsAction::Unknown { request, .. } => {
                    let known = self.open(request);
                    assert!(known.sent > 0, "{request} was never sent");
                    known.outcome = Some("unknown");
                }
                RequestsAction::Send { .. } => {}
            }
        }
    }

    fn open(&mut self, request: RequestId) -> &mut Known {
        let known = self.known.get_mut(&request.0).expect("a request that was submitted");
        assert_eq!(known.outcome, None, "{request} has ended");
        known
    }

    fn submit(&mut self, id: u64) {
        let urgency = *[Urgency::Urgent, Urgency::Normal, Urgency::Bulk]
            .choose(&mut self.rng)
            .expect("not empty");
        let meta = RequestMeta {
            caller: CallerId::new(format!("c{}", self.rng.random_range(0..3))),
            urgency,
            deadline_at_ms: self.bench.now_ms + self.rng.random_range(0..3_000),
            repeatable: self.rng.random(),
            forwarded: self.rng.random_bool(0.2),
            ..self.bench.meta()
        };
        let known = Known {
            repeatable: meta.repeatable,
            forwarded_here: meta.forwarded,
            ..Known::default()
        };
        self.known.insert(id, known);
        self.event(RequestsEvent::Submitted { request: RequestId(id), meta });
    }

    /// Reports the end of an attempt that runs, or of any attempt again.
    fn end_attempt(&mut self) {
        let recent = self.known.iter().rev().take(200);
        let any = self.rng.random_bool(0.2);
        let ids: Vec<u64> = recent
            .filter(|(_, known)| any || !known.running.is_empty())
            .map(|(&id, _)| id)
            .collect();
        let Some(&id) = ids.choose(&mut self.rng) else { return };
        let known = self.known.get_mut(&id).expect("known");
        let attempt = match known.running.first() {
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
        if known.running.contains(&attempt) {
            known.running.retain(|&running| running != attempt);
            match result {
                AttemptResult::Answered { .. } => known.answered.push(Some(attempt)),
                AttemptResult::Lost | AttemptResult::TimedOut => known.may_have_run = true,
                _ => {}
            }
        }
        self.event(RequestsEvent::AttemptEnded { request: RequestId(id), attempt, result });
    }

    fn end_forward(&mut self) {
        let Some(id) = self.forwards.pop() else { return };
        let known = self.known.get_mut(&id).expect("known");
        known.forwarding = false;
        let result = match self.rng.random_range(0..3) {
            0 => ForwardResult::Answered { status: 200 },
            1 => ForwardResult::NotRun(Refusal::QueueFull),
            _ => ForwardResult::Unknown(Refusal::TargetTimeout),
        };
        match result {
            ForwardResult::Answered { .. } => known.answered.push(None),
            ForwardResult::Unknown(_) => known.may_have_run = true,
            ForwardResult::NotRun(_) => {}
        }
        self.event(RequestsEvent::ForwardEnded { request: RequestId(id), result });
    }

    fn disturb(&mut self) {
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
                if let Some(known) = self.known.get_mut(&id) {
                    // A forward that is cancelled may have run.
                    known.may_have_run |= known.forwarding;
                }
                self.event(RequestsEvent::Cancelled { request: RequestId(id) });
            }
            87..89 => self.disturb(),
            _ => {
                let ms = self.rng.random_range(0..100);
                let actions = self.bench.advance(ms);
                self.check(actions);
            }
        }
    }
}

/// Guards against requests that end twice or never, against `not-run` after an
/// attempt that may have run, against answers of other attempts, and against a
/// second run of what may not be repeated.
#[rstest]
fn outcomes_are_exact_under_random_events(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    println!("seed {seed}");
    let mut bench = Bench::new(&HOSTS, 8);
    bench.event(RequestsEvent::PeersChanged { peers: vec![peer("e2")] });
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut model = Model { bench, rng, known: BTreeMap::new(), forwards: Vec::new() };
    for id in 0..u64::from(STEPS) {
        model.step(id);
    }
    model.event(RequestsEvent::Stopping);
    let actions = model.bench.advance(60_000);
    model.check(actions);
    let open = model.known.iter().filter(|(_, known)| known.outcome.is_none());
    assert_eq!(open.count(), 0);
    assert_eq!(model.bench.engine.open_requests(), 0);
    for outcome in ["answered", "not-run", "unknown"] {
        let count = model.known.values().filter(|k| k.outcome == Some(outcome)).count();
        assert!(count > 50, "the model is idle: {count} ended as {outcome}");
    }
    for host in HOSTS {
        assert_eq!(model.bench.engine.in_flight_on(&HostId::new(host)), 0);
    }
}
