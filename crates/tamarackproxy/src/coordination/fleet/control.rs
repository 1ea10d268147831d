//! Control of one scope through a store lease with a growing term.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::{
    coordination::record::{RecordUpdate, UpdateStep},
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        ids::{EntryId, LeaseId, OperationId, RecordVersion, Term},
        records::{ControlRecord, ControlTermRecord, RecentOperations},
    },
};

/// Length of a control lease, in milliseconds.
pub const CONTROL_LEASE_MS: u64 = 10_000;
/// Interval between renewals of a held lease, in milliseconds.
pub const CONTROL_RENEW_MS: u64 = 3_000;
/// Time for which the holder itself trusts a lease after it sent the renewal:
/// the lease less the drift allowance of 10%, in milliseconds.
const CONTROL_TRUST_MS: u64 = CONTROL_LEASE_MS * 9 / 10;
/// Interval at which the first-ranked candidate reads a lease that another
/// holds, in milliseconds; lower ranks read proportionally more rarely.
const CONTROL_WATCH_MS: u64 = 4_000;
/// Delay before a call that failed is tried again, in milliseconds, to which
/// jitter of the same size is added.
const CONTROL_RETRY_MS: u64 = 1_000;

type TermUpdate = RecordUpdate<ControlTermRecord, fn(&ControlTermRecord) -> RecentOperations>;

/// Delay of the first call for each rank, in milliseconds, so that candidates
/// that start together do not race for a vacant control.
const CONTROL_STAGGER_MS: u64 = 250;

#[derive(Clone, Debug)]
enum Phase {
    Idle,
    ReadingHolder,
    TakingTerm { update: Box<TermUpdate>, term: Term },
    Granting { term: Term },
    Creating { term: Term, lease: LeaseId, sent_ms: u64 },
    Confirming { term: Term, lease: LeaseId, sent_ms: u64 },
    Held { term: Term, lease: LeaseId },
}

/// Holder or candidate of the control of one scope.
///
/// The term lives in a key without lease, so it grows over the life of the
/// deployment although the leased key vanishes. At most one call to the store
/// is outstanding. [`ControlLease::held`] uses the time of the last call of
/// [`ControlLease::tick`], so a process that was paused does not act on an
/// expired lease.
#[derive(Clone, Debug)]
pub struct ControlLease {
    scope: Box<str>,
    holder: EntryId,
    rank: u64,
    phase: Phase,
    waiting: bool,
    next_ms: u64,
    trusted_until_ms: u64,
    now_ms: u64,
    released: bool,
    first: bool,
}

impl ControlLease {
    /// Prepares a candidate for `control/<scope>`.
    pub fn new<S>(scope: S, holder: EntryId) -> Self
    where
        S: Into<Box<str>>,
    {
        Self {
            scope: scope.into(),
            holder,
            rank: 0,
            phase: Phase::Idle,
            waiting: false,
            next_ms: 0,
            trusted_until_ms: 0,
            now_ms: 0,
            released: false,
            first: true,
        }
    }

    /// Sets the rank among the candidates; candidates of a higher rank read
    /// the lease more rarely, which bounds the reads of all of them together.
    pub fn set_rank(&mut self, rank: u64) {
        self.rank = rank;
    }

    /// Returns the term while the lease is held and has not expired.
    pub fn held(&self) -> Option<Term> {
        self.held_at(self.now_ms)
    }

    /// Returns the term if the lease is held at this monotonic time, in
    /// milliseconds.
    pub fn held_at(&self, now_ms: u64) -> Option<Term> {
        match self.phase {
            Phase::Held { term, .. } if now_ms < self.trusted_until_ms => Some(term),
            _ => None,
        }
    }

    /// Returns the monotonic time at which [`ControlLease::tick`] is needed.
    pub fn next_tick_ms(&self) -> u64 {
        let expiry = if self.held().is_some() { self.trusted_until_ms } else { u64::MAX };
        if self.waiting { expiry } else { self.next_ms.min(expiry) }
    }

    /// Returns the next call to the store, if one is due.
    pub fn tick(&mut self, now: ClockReading, rng: &mut ChaCha8Rng) -> Option<StoreRequest> {
        self.now_ms = now.monotonic_ms;
        if self.released {
            return None;
        }
        if std::mem::take(&mut self.first) {
            self.next_ms = self.now_ms + self.rank * CONTROL_STAGGER_MS;
        }
        if matches!(self.phase, Phase::Held { .. }) && self.now_ms >= self.trusted_until_ms {
            self.phase = Phase::Idle;
            if !self.waiting {
                self.next_ms = self.now_ms;
            }
        }
        if self.waiting || self.now_ms < self.next_ms {
            return None;
        }
        self.waiting = true;
        match self.phase {
            Phase::Held { lease, .. } => {
                self.next_ms = self.now_ms + CONTROL_RENEW_MS;
                Some(StoreRequest::KeepAlive { lease })
            }
            _ => {
                self.phase = Phase::ReadingHolder;
                self.next_ms = self.now_ms + self.watch_delay_ms(rng);
                Some(StoreRequest::Get { key: self.holder_key() })
            }
        }
    }

    /// Takes the result of the call sent at `sent_ms` and returns the next
    /// call, if one follows directly.
    pub fn on_store_reply(
        &mut self,
        now: ClockReading,
        sent_ms: u64,
        result: Result<StoreReply, StoreError>,
        rng: &mut ChaCha8Rng,
    ) -> Option<StoreRequest> {
        self.now_ms = now.monotonic_ms;
        self.waiting = false;
        let phase = std::mem::replace(&mut self.phase, Phase::Idle);
        let next = match (phase, result) {
            (phase @ Phase::Held { .. }, Ok(StoreReply::Lease { .. })) => {
                self.phase = phase;
                self.trusted_until_ms = sent_ms + CONTROL_TRUST_MS;
                None
            }
            (phase @ Phase::Held { .. }, Err(_)) => {
                self.phase = phase;
                self.next_ms = self.now_ms + CONTROL_RETRY_MS;
                None
            }
            (Phase::ReadingHolder, Ok(StoreReply::Value(value))) => self.on_holder(value, rng),
            (Phase::TakingTerm { mut update, term }, result) => {
                let step = update.on_result(result);
                self.on_term(update, term, step, rng)
            }
            (Phase::Granting { term }, Ok(StoreReply::Lease { lease, .. })) => {
                self.create(term, lease, sent_ms)
            }
            (Phase::Creating { term, lease, sent_ms }, Ok(StoreReply::Swapped(_))) => {
                self.phase = Phase::Confirming { term, lease, sent_ms };
                Some(StoreRequest::Get { key: self.term_key() })
            }
            (Phase::Confirming { term, lease, sent_ms }, Ok(StoreReply::Value(value))) => {
                self.on_confirmed(term, lease, sent_ms, value)
            }
            (Phase::Creating { lease, .. } | Phase::Confirming { lease, .. }, _) => {
                self.give_up(lease, rng)
            }
            _ => {
                self.back_off(rng);
                None
            }
        };
        self.waiting = next.is_some();
        next
    }

    /// Gives the control up and returns the call that ends the lease.
    pub fn release(&mut self) -> Option<StoreRequest> {
        let lease = match self.phase {
            Phase::Held { lease, .. }
            | Phase::Creating { lease, .. }
            | Phase::Confirming { lease, .. } => Some(lease),
            _ => None,
        };
        self.phase = Phase::Idle;
        self.next_ms = u64::MAX;
        self.released = true;
        lease.map(|lease| StoreRequest::RevokeLease { lease })
    }

    fn holder_key(&self) -> Box<str> {
        format!("control/{}", self.scope).into()
    }

    fn term_key(&self) -> Box<str> {
        format!("control-term/{}", self.scope).into()
    }

    fn watch_delay_ms(&self, rng: &mut ChaCha8Rng) -> u64 {
        let base = CONTROL_WATCH_MS * (1 + self.rank);
        base + rng.random_range(0..=base / 4)
    }

    fn back_off(&mut self, rng: &mut ChaCha8Rng) {
        self.phase = Phase::Idle;
        self.next_ms = self.now_ms
            + CONTROL_RETRY_MS
            + rng.random_range(0..=CONTROL_RETRY_MS * (1 + self.rank));
    }

    /// Ends a lease that may carry a key whose creation was not confirmed.
    fn give_up(&mut self, lease: LeaseId, rng: &mut ChaCha8Rng) -> Option<StoreRequest> {
        self.back_off(rng);
        Some(StoreRequest::RevokeLease { lease })
    }

    fn on_holder(&mut self, value: Option<KeyValue>, rng: &mut ChaCha8Rng) -> Option<StoreRequest> {
        if value.is_some() {
            return None;
        }
        let operations_of: fn(&ControlTermRecord) -> RecentOperations =
            |record| record.operations.clone();
        let mut update =
            Box::new(RecordUpdate::new(self.term_key(), OperationId(rng.random()), operations_of));
        let step = update.start();
        self.on_term(update, Term::default(), step, rng)
    }

    fn on_term(
        &mut self,
        mut update: Box<TermUpdate>,
        mut term: Term,
        step: UpdateStep<ControlTermRecord>,
        rng: &mut ChaCha8Rng,
    ) -> Option<StoreRequest> {
        let step = match step {
            UpdateStep::Decide(stored) => {
                let mut record = stored.map(|stored| stored.record).unwrap_or_default();
                record.term = record.term.next();
                record.operations.push(update.operation());
                term = record.term;
                update.write(record)
            }
            step => step,
        };
        match step {
            UpdateStep::Send(request) => {
                self.phase = Phase::TakingTerm { update, term };
                Some(request)
            }
            // A candidate that reads back after a lost reply may find that a
            // later candidate has taken a higher term.
            UpdateStep::Done(stored) if stored.record.term == term => {
                self.phase = Phase::Granting { term };
                Some(StoreRequest::GrantLease { ttl_ms: CONTROL_LEASE_MS })
            }
            _ => {
                self.back_off(rng);
                None
            }
        }
    }

    fn create(&mut self, term: Term, lease: LeaseId, sent_ms: u64) -> Option<StoreRequest> {
        let record = ControlRecord { holder: self.holder.clone(), term };
        let value = serde_json::to_vec(&record).unwrap_or_default().into();
        self.phase = Phase::Creating { term, lease, sent_ms };
        Some(StoreRequest::CompareAndSwap {
            key: self.holder_key(),
            expected: RecordVersion(0),
            value,
            lease: Some(lease),
        })
    }

    /// Holds the control only if no other candidate took a later term before
    /// the key was created, so terms of holders never go back.
    fn on_confirmed(
        &mut self,
        term: Term,
        lease: LeaseId,
        sent_ms: u64,
        value: Option<KeyValue>,
    ) -> Option<StoreRequest> {
        let confirmed = value
            .and_then(|value| serde_json::from_slice::<ControlTermRecord>(&value.value).ok())
            .is_some_and(|record| record.term == term);
        if confirmed {
            self.phase = Phase::Held { term, lease };
            self.trusted_until_ms = sent_ms + CONTROL_TRUST_MS;
            self.next_ms = sent_ms + CONTROL_RENEW_MS;
            None
        } else {
            self.phase = Phase::Idle;
            self.next_ms = self.now_ms + CONTROL_RETRY_MS;
            Some(StoreRequest::RevokeLease { lease })
        }
    }
}
