//! Simulated callers: charges, their attempts through any entry host, and the
//! outcomes that the callers observe.

use rand::{Rng, RngCore};
use tamarackproxy::{
    coordination::once::{Claim, IdempotencyKey, OnceEvent, RunResult, home_seat},
    protocol::caller::Refusal,
    state::ids::{CallerId, RequestId},
};

use super::{
    cluster::{Cluster, Event, START_UNIX_MS},
    counts::OnceCounts,
};

/// Time that a caller waits for the response to one attempt, in milliseconds.
const DEADLINE_MS: u64 = 10_000;
/// Time within which a changed number of seats reaches all entry hosts, in
/// milliseconds.
pub(super) const SEATS_PROPAGATION_MS: u64 = 6_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptOutcome {
    Pending,
    Answered,
    NotRun,
    Unknown,
}

#[derive(Debug)]
pub(super) struct Charge {
    home: usize,
    claim: Option<Claim>,
    created_offset_ms: i64,
    attempts: u32,
    open_attempts: u32,
    planned: u32,
    runs: u32,
    conflicting_runs: u32,
    answered: bool,
    exposed: bool,
    last: AttemptOutcome,
    closed: bool,
}

#[derive(Debug)]
pub(super) struct Request {
    charge: usize,
    /// Index of the data centre of the entry host that the caller used.
    entry_data_centre: usize,
    /// Seat that the request was sent to.
    seat: u16,
    sent_ms: u64,
    conflicts: bool,
    completed: bool,
    answered: bool,
}

impl Cluster {
    pub(super) fn schedule_charges(&mut self) {
        let mean_ms = 1_000.0 / self.setup.charges_per_second;
        let mut at_ms = 5_000.0;
        for charge in 0..self.setup.charges as usize {
            at_ms += -mean_ms * (1.0 - self.rng.random::<f64>()).ln();
            let home = self.rng.random_range(0..self.data_centres.len());
            // The clocks of most callers are right; some deviate within the tolerance
            // of 5 minutes, and a few beyond it.
            let created_offset_ms = match self.rng.random_range(0..1_000) {
                0..5 => self.rng.random_range(-86_400_000..=600_000),
                5..50 => self.rng.random_range(-280_000..=280_000),
                _ => self.rng.random_range(-1_000..=1_000),
            };
            self.charges.push(Charge {
                home,
                claim: None,
                created_offset_ms,
                attempts: 0,
                open_attempts: 0,
                planned: 1,
                runs: 0,
                conflicting_runs: 0,
                answered: false,
                exposed: false,
                last: AttemptOutcome::Pending,
                closed: false,
            });
            self.queue.push_at(at_ms as u64, Event::Attempt { charge });
            if self.rng.random_bool(0.02) {
                self.charges[charge].planned += 1;
                let delay_ms = self.rng.random_range(0..=60);
                self.queue.push_at(at_ms as u64 + delay_ms, Event::Attempt { charge });
            }
        }
    }

    fn claim_of(&mut self, charge: usize) -> Claim {
        if let Some(claim) = self.charges[charge].claim {
            return claim;
        }
        let now_unix_ms = START_UNIX_MS + self.queue.now_ms();
        let created = now_unix_ms.saturating_add_signed(self.charges[charge].created_offset_ms);
        let mut random = [0; 10];
        self.rng.fill_bytes(&mut random);
        let id = uuid::Builder::from_unix_timestamp_millis(created, &random).into_uuid();
        let key: IdempotencyKey = id.to_string().parse().expect("a UUID version 7");
        let caller = CallerId::new(format!("caller-{}", charge % 97));
        let body = charge.to_be_bytes();
        let claim = Claim::new(&caller, &key, "POST", "/charge", &body);
        self.charges[charge].claim = Some(claim);
        let second = (self.queue.now_ms() / 1_000) as usize;
        let by_second = &mut self.counts.charges_by_second;
        if by_second.len() <= second {
            by_second.resize(second + 1, 0);
        }
        by_second[second] += 1;
        claim
    }

    /// Sends one attempt through an entry host of any data centre.
    pub(super) fn attempt(&mut self, charge: usize) {
        let mut claim = self.claim_of(charge);
        let conflicts = self.charges[charge].attempts > 0 && self.rng.random_bool(0.01);
        if conflicts {
            claim.body.0[0] ^= 1;
        }
        let entry_data_centre = self.rng.random_range(0..self.data_centres.len());
        let request = RequestId(self.requests.len() as u64);
        let home = self.charges[charge].home;
        let seat = self.known_home_seat(home, &claim);
        let sent_ms = self.queue.now_ms();
        let (completed, answered) = (false, false);
        self.requests.push(Request {
            charge,
            entry_data_centre,
            seat,
            sent_ms,
            conflicts,
            completed,
            answered,
        });
        self.counts.attempts += 1;
        self.charges[charge].attempts += 1;
        self.charges[charge].planned -= 1;
        self.charges[charge].open_attempts += 1;
        let holder = self.data_centres[home].holders.get(usize::from(seat)).copied().flatten();
        let cut = self.is_partitioned(entry_data_centre, home);
        match holder.filter(|&(node, _)| self.nodes[node].alive && !cut) {
            Some((node, _)) => {
                self.queue.push_in(DEADLINE_MS, Event::Deadline { request });
                let event = OnceEvent::Submitted { request, claim };
                self.queue.push_in(2, Event::Engine { node, event });
            }
            None => self.on_unknown(request, &Refusal::HomeUnreachable),
        }
    }

    /// Returns the home seat according to the number of seats that the entry host
    /// knows, which may be outdated.
    fn known_home_seat(&mut self, home: usize, claim: &Claim) -> u16 {
        let data_centre = &self.data_centres[home];
        let late = self.queue.now_ms() < data_centre.seats_changed_ms + SEATS_PROPAGATION_MS;
        let seats = if late && self.rng.random_bool(0.5) {
            data_centre.previous_seats
        } else {
            data_centre.seats
        };
        home_seat(claim, seats)
    }

    fn is_partitioned(&mut self, entry_data_centre: usize, home: usize) -> bool {
        let now_ms = self.queue.now_ms();
        let cut = |data_centre: usize| now_ms < self.data_centres[data_centre].partitioned_until_ms;
        entry_data_centre != home && (cut(entry_data_centre) || cut(home))
    }

    /// Returns whether a fault explains an unknown outcome of the request. Evaluated
    /// when the request ends, because the fault may occur after it was sent.
    fn is_exposed(&self, request: &Request) -> bool {
        let charge = &self.charges[request.charge];
        // A key that was created before the end of the exposed time counts as exposed
        // even if it is sent later.
        let created_ms = request.sent_ms.saturating_add_signed(charge.created_offset_ms);
        let oldest_ms = request.sent_ms.min(created_ms);
        let times = self.data_centres[charge.home].exposed.get(&request.seat);
        times
            .into_iter()
            .flatten()
            .any(|&(from_ms, to_ms)| from_ms <= request.sent_ms && oldest_ms <= to_ms)
    }

    pub(super) fn record_run(&mut self, request: RequestId, result: &RunResult) {
        let request = &mut self.requests[request.0 as usize];
        let charge = &mut self.charges[request.charge];
        match result {
            RunResult::NotRun => return,
            RunResult::Unknown => charge.exposed = true,
            RunResult::Answered { .. } => request.answered = true,
        }
        charge.runs += 1;
        charge.conflicting_runs += u32::from(request.conflicts);
    }

    /// Completes the caller's request when the engine is notified of the end of its
    /// run.
    pub(super) fn on_run_ended(&mut self, request: RequestId, result: &RunResult) {
        match result {
            RunResult::Answered { .. } => self.complete(request, AttemptOutcome::Answered),
            RunResult::NotRun => self.complete_not_run(request, false),
            RunResult::Unknown => self.complete(request, AttemptOutcome::Unknown),
        }
    }

    pub(super) fn on_replay(&mut self, request: RequestId, first: RequestId) {
        let (own, other) = (&self.requests[request.0 as usize], &self.requests[first.0 as usize]);
        if own.charge != other.charge || !other.answered {
            self.counts.wrong_replays += 1;
        }
        self.complete(request, AttemptOutcome::Answered);
    }

    pub(super) fn on_unknown(&mut self, request: RequestId, _refusal: &Refusal) {
        self.complete(request, AttemptOutcome::Unknown);
    }

    pub(super) fn complete_not_run(&mut self, request: RequestId, is_key_error: bool) {
        let charge = self.requests[request.0 as usize].charge;
        // A refusal because of the key itself says nothing about earlier attempts.
        if !is_key_error && self.charges[charge].runs > 0 {
            self.counts.false_not_run += 1;
        }
        self.complete(request, AttemptOutcome::NotRun);
    }

    pub(super) fn on_deadline(&mut self, request: RequestId) {
        self.complete(request, AttemptOutcome::Unknown);
    }

    fn complete(&mut self, request: RequestId, outcome: AttemptOutcome) {
        let index = request.0 as usize;
        if std::mem::replace(&mut self.requests[index].completed, true) {
            return;
        }
        let (number, entry_data_centre) =
            (self.requests[index].charge, self.requests[index].entry_data_centre);
        let home = self.charges[number].home;
        let cut = self.is_partitioned(entry_data_centre, home);
        let outcome = if cut { AttemptOutcome::Unknown } else { outcome };
        self.counts.unknown_attempts += u64::from(outcome == AttemptOutcome::Unknown);
        let exposed = cut || self.is_exposed(&self.requests[index]);
        let again = self.repeats(number, outcome);
        let charge = &mut self.charges[number];
        charge.exposed |= exposed;
        charge.open_attempts -= 1;
        charge.answered |= outcome == AttemptOutcome::Answered && !self.requests[index].conflicts;
        charge.last = outcome;
        if again {
            charge.planned += 1;
            let delay_ms = self.rng.random_range(100..=20_000);
            self.queue.push_in(delay_ms, Event::Attempt { charge: number });
        }
        let charge = &mut self.charges[number];
        if charge.open_attempts == 0 && charge.planned == 0 && !charge.closed {
            charge.closed = true;
            self.open_charges -= 1;
        }
    }

    fn repeats(&mut self, charge: usize, outcome: AttemptOutcome) -> bool {
        let attempts = self.charges[charge].attempts + self.charges[charge].planned;
        let share = if outcome == AttemptOutcome::Answered { self.setup.repeat_share } else { 1.0 };
        attempts < self.setup.attempts_max && self.rng.random_bool(share)
    }

    pub(super) fn finish(self) -> OnceCounts {
        let mut counts = self.counts;
        counts.charges = self.charges.len() as u64;
        for charge in &self.charges {
            counts.runs_per_key_max = counts.runs_per_key_max.max(charge.runs);
            counts.keys_run += u64::from(charge.runs > 0);
            counts.conflicting_runs += u64::from(charge.conflicting_runs > 0);
            counts.answered += u64::from(charge.answered);
            counts.exposed += u64::from(charge.exposed);
            if !charge.answered && charge.last == AttemptOutcome::Unknown {
                counts.unknown += 1;
                counts.unexplained += u64::from(!charge.exposed);
            }
            counts.not_run += u64::from(!charge.answered && charge.last == AttemptOutcome::NotRun);
        }
        counts
    }
}
