//! Acquisition of a leased key with a term above all earlier terms.

use bytes::Bytes;

use super::LEASE_TTL_MS;
use crate::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        ids::{LeaseId, RecordVersion, Term},
        records::TenureRecord,
    },
};

/// A tenure that was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Term of the holder.
    pub term: Term,
    /// Lease that the key is bound to.
    pub lease: LeaseId,
    /// Monotonic time at which the lease was asked for, in milliseconds; the
    /// lease ends no earlier than its time to live after that.
    pub asked_at_ms: u64,
    /// Version of the leased key; a write that expects it fails once the lease
    /// has ended.
    pub key_version: RecordVersion,
}

/// What the owner of an acquisition does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcquisitionStep {
    /// Send the request and pass its result to [`Acquisition::on_result`].
    Send(StoreRequest),
    /// The key is held.
    Acquired(Tenure),
    /// Another holder has the key or raised the term.
    HeldByOther,
    /// The store did not reply; whether the key was written is not known. An
    /// unrenewed key lapses by itself.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Granting,
    Raising,
    ReadingTermBack,
    Creating,
    ReadingKeyBack,
    Verifying,
    Ended,
}

/// State machine: grant a lease, raise the term in the term key, create the
/// leased key, and verify the term.
///
/// The term is raised before the key is created. The last read rules out that
/// a delayed creation succeeds after a rival with a higher term came and went.
#[derive(Clone, Debug)]
pub struct Acquisition {
    key: Box<str>,
    term_key: Box<str>,
    record: TenureRecord,
    /// Version of the term key to swap against; none keeps the present term.
    raise_from: Option<RecordVersion>,
    /// Version of the leased key to swap against; 0 creates it.
    key_version: RecordVersion,
    is_rebinding: bool,
    /// The term is raised again if a rival raised it without getting the key.
    outbids: bool,
    phase: Phase,
    lease: LeaseId,
    /// Version of the leased key once it was created.
    created: Option<RecordVersion>,
    ttl_ms: u64,
    asked_at_ms: u64,
}

impl Acquisition {
    /// Prepares the acquisition of `key` for the holder in `record`, whose
    /// term must be one above that of the term key at version `raise_from`.
    pub fn raise(
        key: Box<str>,
        term_key: Box<str>,
        record: TenureRecord,
        raise_from: RecordVersion,
    ) -> Self {
        Self::new(key, term_key, record, Some(raise_from))
    }

    /// Prepares binding `key` to a new lease under the term already held.
    pub fn rebind(key: Box<str>, term_key: Box<str>, record: TenureRecord) -> Self {
        Self::new(key, term_key, record, None)
    }

    fn new(
        key: Box<str>,
        term_key: Box<str>,
        record: TenureRecord,
        raise_from: Option<RecordVersion>,
    ) -> Self {
        Self {
            key,
            term_key,
            record,
            raise_from,
            key_version: RecordVersion(0),
            is_rebinding: raise_from.is_none(),
            outbids: false,
            phase: Phase::Ended,
            lease: LeaseId(0),
            created: None,
            ttl_ms: LEASE_TTL_MS,
            asked_at_ms: 0,
        }
    }

    /// Raises the term above that of a rival that raised it while this one got
    /// the key. Without it the key is left to lapse, and several that try at
    /// once can keep one another from the scope.
    #[must_use]
    pub fn with_outbidding(mut self) -> Self {
        self.outbids = true;
        self
    }

    /// Sets the time to live of the lease, in milliseconds.
    #[must_use]
    pub fn with_ttl_ms(mut self, ttl_ms: u64) -> Self {
        self.ttl_ms = ttl_ms;
        self
    }

    /// Starts with the grant of a lease; `now_ms` is monotonic.
    pub fn start(&mut self, now_ms: u64) -> StoreRequest {
        self.phase = Phase::Granting;
        self.asked_at_ms = now_ms;
        StoreRequest::GrantLease { ttl_ms: self.ttl_ms }
    }

    /// Takes the result of the request sent last.
    pub fn on_result(&mut self, result: Result<StoreReply, StoreError>) -> AcquisitionStep {
        match (std::mem::replace(&mut self.phase, Phase::Ended), result) {
            (Phase::Granting, Ok(StoreReply::Lease { lease, .. })) => self.on_granted(lease),
            (Phase::Raising, Ok(StoreReply::Swapped(_))) => self.after_raise(),
            (Phase::Raising, Ok(StoreReply::Conflict(value))) => self.on_term_value(value),
            (Phase::Raising, Err(StoreError::Unknown | StoreError::Malformed(_))) => {
                self.get_term(Phase::ReadingTermBack)
            }
            (Phase::ReadingTermBack, Ok(StoreReply::Value(value))) => self.on_term_value(value),
            (Phase::Creating, Ok(StoreReply::Swapped(version))) => {
                self.created = Some(version);
                self.get_term(Phase::Verifying)
            }
            (Phase::Creating, Ok(StoreReply::Conflict(value))) => self.on_key_value(value),
            (Phase::Creating, Err(StoreError::Unknown | StoreError::Malformed(_))) => {
                self.phase = Phase::ReadingKeyBack;
                AcquisitionStep::Send(StoreRequest::Get { key: self.key.clone() })
            }
            (Phase::ReadingKeyBack, Ok(StoreReply::Value(value))) => self.on_key_value(value),
            (Phase::Verifying, Ok(StoreReply::Value(value))) => self.on_verified(value),
            _ => AcquisitionStep::Failed,
        }
    }

    fn on_granted(&mut self, lease: LeaseId) -> AcquisitionStep {
        self.lease = lease;
        match self.raise_from {
            Some(expected) => self.raise_term(expected),
            None => self.create(),
        }
    }

    fn raise_term(&mut self, expected: RecordVersion) -> AcquisitionStep {
        let Some(value) = encode(&self.record) else { return AcquisitionStep::Failed };
        self.phase = Phase::Raising;
        let key = self.term_key.clone();
        AcquisitionStep::Send(StoreRequest::CompareAndSwap { key, expected, value, lease: None })
    }

    /// Creates the key, or checks the term again if the key exists by now.
    fn after_raise(&mut self) -> AcquisitionStep {
        match self.created {
            Some(_) => self.get_term(Phase::Verifying),
            None => self.create(),
        }
    }

    fn on_term_value(&mut self, value: Option<KeyValue>) -> AcquisitionStep {
        match decode_tenure(value.as_ref()) {
            Some(found)
                if found.operation == self.record.operation && found.term == self.record.term =>
            {
                self.after_raise()
            }
            Some(_) if self.outbids && self.created.is_some() => self.on_verified(value),
            _ => AcquisitionStep::HeldByOther,
        }
    }

    fn create(&mut self) -> AcquisitionStep {
        let Some(value) = encode(&self.record) else { return AcquisitionStep::Failed };
        self.phase = Phase::Creating;
        let (key, lease) = (self.key.clone(), Some(self.lease));
        let expected = self.key_version;
        AcquisitionStep::Send(StoreRequest::CompareAndSwap { key, expected, value, lease })
    }

    fn on_key_value(&mut self, value: Option<KeyValue>) -> AcquisitionStep {
        match decode_tenure(value.as_ref()) {
            Some(found) if found.operation == self.record.operation => {
                self.created = value.map(|value| value.version);
                self.get_term(Phase::Verifying)
            }
            Some(found) if self.is_own_older(&found) && self.key_version == RecordVersion(0) => {
                self.key_version = value.map_or(RecordVersion(0), |value| value.version);
                self.create()
            }
            Some(_) => AcquisitionStep::HeldByOther,
            None => AcquisitionStep::Failed,
        }
    }

    /// Tells whether a restored store shows this tenure as it once was.
    fn is_own_older(&self, found: &TenureRecord) -> bool {
        self.is_rebinding && found.holder == self.record.holder && found.term <= self.record.term
    }

    fn get_term(&mut self, phase: Phase) -> AcquisitionStep {
        self.phase = phase;
        AcquisitionStep::Send(StoreRequest::Get { key: self.term_key.clone() })
    }

    fn on_verified(&mut self, value: Option<KeyValue>) -> AcquisitionStep {
        let version = value.as_ref().map_or(RecordVersion(0), |value| value.version);
        let found = decode_tenure(value.as_ref());
        let is_own = found.as_ref().is_none_or(|found| found.holder == self.record.holder);
        match found.map_or(Term(0), |found| found.term) {
            term if is_own && term == self.record.term => {
                let (term, lease) = (self.record.term, self.lease);
                let asked_at_ms = self.asked_at_ms;
                let key_version = self.created.unwrap_or_default();
                AcquisitionStep::Acquired(Tenure { term, lease, asked_at_ms, key_version })
            }
            // A restored store lost the raise; terms must not go back.
            term if is_own && self.is_rebinding && term < self.record.term => {
                self.raise_term(version)
            }
            term if self.outbids => {
                self.record.term = term.next();
                self.raise_term(version)
            }
            _ => AcquisitionStep::HeldByOther,
        }
    }

    /// Returns the lease once it was granted, for its revocation after a
    /// failed acquisition.
    pub fn granted_lease(&self) -> Option<LeaseId> {
        (self.lease != LeaseId(0)).then_some(self.lease)
    }
}

/// Encodes a record as the value of its key.
pub(crate) fn encode(record: &TenureRecord) -> Option<Bytes> {
    serde_json::to_vec(record).ok().map(Bytes::from)
}

/// Decodes the value of a seat, control or term key, if it is one.
pub fn decode_tenure(value: Option<&KeyValue>) -> Option<TenureRecord> {
    serde_json::from_slice(&value?.value).ok()
}
