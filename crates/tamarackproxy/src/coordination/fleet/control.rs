//! Control of one scope (leader election) through a store lease with a
//! monotonically increasing term.

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

/// Time to live of a control lease, in milliseconds.
pub const CONTROL_LEASE_MS: u64 = 10_000;
/// Interval between renewals of a held lease, in milliseconds.
pub const CONTROL_RENEW_MS: u64 = 3_000;
/// Time for which the holder considers a lease valid after it sent the
/// renewal, in milliseconds: the lease less 10% for clock drift.
const CONTROL_TRUST_MS: u64 = CONTROL_LEASE_MS * 9 / 10;
/// Interval at which the first-ranked candidate polls a lease held by another
/// entry host, in milliseconds; the interval grows in proportion to the rank.
const CONTROL_POLL_MS: u64 = 4_000;
/// Delay before a failed call is repeated, in milliseconds; candidates add
/// jitter that grows with their rank.
const CONTROL_RETRY_MS: u64 = 1_000;

type TermUpdate = RecordUpdate<ControlTermRecord, fn(&ControlTermRecord) -> RecentOperations>;

/// Delay of the first call per rank, in milliseconds, so that candidates that
/// start together do not compete for a vacant lease.
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

/// State machine of a holder of, or candidate for, the control of one scope.
///
/// The term is stored under a key without a lease, so it keeps increasing over
/// the life of the deployment although the leased key expires. At most one
/// store call is outstanding. [`ControlLease::held`] compares the lease with
/// the time of the last [`ControlLease::tick`], so a process that was paused
/// does not act on an expired lease.
#[derive(Clone, Debug)]
pub struct ControlLease {
    scope: Box<str>,
    holder: EntryId,
    rank: u64,
    phase: Phase,
    awaits_reply: bool,
    next_ms: u64,
    trusted_until_ms: u64,
    now_ms: u64,
    released: bool,
    first_tick: bool,
}

impl ControlLease {
    /// Creates a candidate for `control/<scope>`.
    pub fn new<S>(scope: S, holder: EntryId) -> Self
    where
        S: Into<Box<str>>,
    {
        Self {
            scope: scope.into(),
            holder,
            rank: 0,
            phase: Phase::Idle,
            awaits_reply: false,
            next_ms: 0,
            trusted_until_ms: 0,
            now_ms: 0,
            released: false,
            first_tick: true,
        }
    }

    /// Sets the rank among the candidates. A larger rank polls the lease less
    /// often, which limits the total number of reads.
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

    /// Returns the monotonic time at which [`ControlLease::tick`] is next
    /// needed, in milliseconds.
    pub fn next_tick_ms(&self) -> u64 {
        let expiry = if self.held().is_some() { self.trusted_until_ms } else { u64::MAX };
        if self.awaits_reply { expiry } else { self.next_ms.min(expiry) }
    }

    /// Advances the clock and returns the next store call, if one is due.
    pub fn tick(&mut self, now: ClockReading, rng: &mut ChaCha8Rng) -> Option<StoreRequest> {
        self.now_ms = now.monotonic_ms;
        if self.released {
            return None;
        }
        if std::mem::take(&mut self.first_tick) {
            self.next_ms = self.now_ms + self.rank * CONTROL_STAGGER_MS;
        }
        if matches!(self.phase, Phase::Held { .. }) && self.now_ms >= self.trusted_until_ms {
            self.phase = Phase::Idle;
            if !self.awaits_reply {
                self.next_ms = self.now_ms;
            }
        }
        if self.awaits_reply || self.now_ms < self.next_ms {
            return None;
        }
        self.awaits_reply = true;
        match self.phase {
            Phase::Held { lease, .. } => {
                self.next_ms = self.now_ms + CONTROL_RENEW_MS;
                Some(StoreRequest::KeepAlive { lease })
            }
            _ => {
                self.phase = Phase::ReadingHolder;
                self.next_ms = self.now_ms + self.poll_delay_ms(rng);
                Some(StoreRequest::Get { key: self.holder_key() })
            }
        }
    }

    /// Handles the result of the call sent at `sent_ms` and returns the next
    /// call, if one follows immediately.
    pub fn on_store_reply(
        &mut self,
        now: ClockReading,
        sent_ms: u64,
        result: Result<StoreReply, StoreError>,
        rng: &mut ChaCha8Rng,
    ) -> Option<StoreRequest> {
        self.now_ms = now.monotonic_ms;
        self.awaits_reply = false;
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
                self.revoke_unconfirmed(lease, rng)
            }
            _ => {
                self.back_off(rng);
                None
            }
        };
        self.awaits_reply = next.is_some();
        next
    }

    /// Releases control and returns the call that revokes the lease. The
    /// candidate makes no further attempts.
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

    fn poll_delay_ms(&self, rng: &mut ChaCha8Rng) -> u64 {
        let base = CONTROL_POLL_MS * (1 + self.rank);
        base + rng.random_range(0..=base / 4)
    }

    fn back_off(&mut self, rng: &mut ChaCha8Rng) {
        self.phase = Phase::Idle;
        self.next_ms = self.now_ms
            + CONTROL_RETRY_MS
            + rng.random_range(0..=CONTROL_RETRY_MS * (1 + self.rank));
    }

    /// Revokes a lease that a key of unconfirmed creation may be attached to.
    fn revoke_unconfirmed(&mut self, lease: LeaseId, rng: &mut ChaCha8Rng) -> Option<StoreRequest> {
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
            // After a lost reply, the read-back may show that another candidate
            // has taken a higher term.
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

    /// Takes control only if no other candidate took a higher term before the
    /// key was created, so the terms of successive holders never decrease.
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
