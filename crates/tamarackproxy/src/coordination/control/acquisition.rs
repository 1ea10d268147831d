//! Acquisition of a leased key under a term above all earlier ones.

use bytes::Bytes;

use super::LEASE_TTL_MS;
use crate::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        ids::{LeaseId, RecordVersion, Term},
        records::TenureRecord,
    },
};

/// A successful acquisition: the term and the lease of the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Term of the holder.
    pub term: Term,
    /// Lease that the key is attached to.
    pub lease: LeaseId,
    /// Monotonic time at which the lease was requested, in milliseconds; the
    /// lease expires no earlier than its time to live after that.
    pub asked_at_ms: u64,
    /// Version of the leased key; a write that expects it fails once the lease
    /// has expired.
    pub key_version: RecordVersion,
}

/// Next step of an acquisition, for its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcquisitionStep {
    /// The request must be sent and its result passed to
    /// [`Acquisition::on_result`].
    Send(StoreRequest),
    /// The key was acquired.
    Acquired(Tenure),
    /// Another holder has the key or raised the term.
    HeldByOther,
    /// A call to the store failed, so it is unknown whether the key was
    /// written. If it was, it expires with its lease unless the lease is
    /// renewed.
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

/// State machine that is granted a lease, raises the term in the term key,
/// creates the leased key, and verifies the term.
///
/// The term is raised before the key is created. The final read rejects a
/// delayed creation that succeeds after another holder with a higher term has
/// come and gone.
#[derive(Clone, Debug)]
pub struct Acquisition {
    key: Box<str>,
    term_key: Box<str>,
    record: TenureRecord,
    /// Version of the term key that the raise expects; `None` keeps the current
    /// term.
    raise_from: Option<RecordVersion>,
    /// Version of the leased key that the write expects; 0 creates the key.
    key_version: RecordVersion,
    is_rebinding: bool,
    /// The term is raised again if another entry host raised it while this one
    /// created the key.
    retries_raise: bool,
    phase: Phase,
    lease: LeaseId,
    /// Version of the leased key once it was written.
    created_version: Option<RecordVersion>,
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

    /// Prepares attaching `key` to a new lease under the term already held.
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
            retries_raise: false,
            phase: Phase::Ended,
            lease: LeaseId(0),
            created_version: None,
            ttl_ms: LEASE_TTL_MS,
            asked_at_ms: 0,
        }
    }

    /// Raises the term again if another entry host raised it while this one
    /// created the key. Without this the key is left to expire, and several
    /// entry hosts that try at the same time can block one another.
    #[must_use]
    pub fn with_raise_retry(mut self) -> Self {
        self.retries_raise = true;
        self
    }

    /// Sets the time to live of the lease, in milliseconds.
    #[must_use]
    pub fn with_ttl_ms(mut self, ttl_ms: u64) -> Self {
        self.ttl_ms = ttl_ms;
        self
    }

    /// Starts the acquisition with the grant of a lease; `now_ms` is monotonic.
    pub fn start(&mut self, now_ms: u64) -> StoreRequest {
        self.phase = Phase::Granting;
        self.asked_at_ms = now_ms;
        StoreRequest::GrantLease { ttl_ms: self.ttl_ms }
    }

    /// Handles the result of the last request.
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
                self.created_version = Some(version);
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

    /// Creates the key, or verifies the term again if it was created already.
    fn after_raise(&mut self) -> AcquisitionStep {
        match self.created_version {
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
            Some(_) if self.retries_raise && self.created_version.is_some() => {
                self.on_verified(value)
            }
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
                self.created_version = value.map(|value| value.version);
                self.get_term(Phase::Verifying)
            }
            Some(found)
                if self.is_own_earlier_tenure(&found) && self.key_version == RecordVersion(0) =>
            {
                self.key_version = value.map_or(RecordVersion(0), |value| value.version);
                self.create()
            }
            Some(_) => AcquisitionStep::HeldByOther,
            None => AcquisitionStep::Failed,
        }
    }

    /// Returns whether the key shows an earlier state of this tenure, as in a
    /// store that was restored from a backup.
    fn is_own_earlier_tenure(&self, found: &TenureRecord) -> bool {
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
                let key_version = self.created_version.unwrap_or_default();
                AcquisitionStep::Acquired(Tenure { term, lease, asked_at_ms, key_version })
            }
            // The store was restored from a backup and lost the raise; raise
            // the term again, since terms must not decrease.
            term if is_own && self.is_rebinding && term < self.record.term => {
                self.raise_term(version)
            }
            term if self.retries_raise => {
                self.record.term = term.next();
                self.raise_term(version)
            }
            _ => AcquisitionStep::HeldByOther,
        }
    }

    /// Returns the granted lease, if any, to be revoked after a failed
    /// acquisition.
    pub fn granted_lease(&self) -> Option<LeaseId> {
        (self.lease != LeaseId(0)).then_some(self.lease)
    }
}

/// Encodes a record as the value of its key.
pub(crate) fn encode(record: &TenureRecord) -> Option<Bytes> {
    serde_json::to_vec(record).ok().map(Bytes::from)
}

/// Decodes the value of a seat key, control key or term key; returns `None` if
/// it is not a tenure record.
pub fn decode_tenure(value: Option<&KeyValue>) -> Option<TenureRecord> {
    serde_json::from_slice(&value?.value).ok()
}
