//! State machine of one record update.

use std::marker::PhantomData;

use displaydoc::Display;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        ids::{LeaseId, OperationId, RecordVersion},
        records::RecentOperations,
    },
};

/// A record as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored<R> {
    /// The decoded value.
    pub record: R,
    /// Version to name in the next swap.
    pub version: RecordVersion,
}

/// What the owner of an update does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateStep<R> {
    /// Send the request and pass its result to [`RecordUpdate::on_result`].
    Send(StoreRequest),
    /// Decide on the present state, then call [`RecordUpdate::write`] or drop
    /// the update.
    Decide(Option<Stored<R>>),
    /// The write took effect.
    Done(Stored<R>),
    /// The update ended without a known effect.
    Failed(UpdateFailure),
}

/// Reasons why an update ended.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum UpdateFailure {
    /// the store is unavailable and the record is unchanged by this update; try again after a delay
    Unavailable,
    /// the store is unavailable and the write may have taken effect; read back before the next write
    Unknown,
    /// the record under {key} cannot be decoded: {message}; restore it from its history
    Corrupt { key: Box<str>, message: Box<str> },
}

impl std::error::Error for UpdateFailure {}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase<R> {
    Reading,
    Deciding { version: RecordVersion },
    Writing { record: R },
    ReadingBack { record: R },
    Ended,
}

/// Update of one record: read, decide, swap, and read back by operation id
/// when a reply is lost.
///
/// The record's type lists its recent operation ids; the update finds its own
/// id there when the reply of its swap was lost.
///
/// ```
/// use tamarackproxy::coordination::record::{RecordUpdate, UpdateStep};
/// use tamarackproxy::state::{ids::OperationId, records::HostRecord};
///
/// let operations = |record: &HostRecord| record.operations.clone();
/// let mut update = RecordUpdate::new("host/h1", OperationId(7), operations);
/// assert!(matches!(update.start(), UpdateStep::Send(_)));
/// ```
#[derive(Clone, Debug)]
pub struct RecordUpdate<R, F> {
    key: Box<str>,
    operation: OperationId,
    lease: Option<LeaseId>,
    operations_of: F,
    phase: Phase<R>,
    record: PhantomData<R>,
}

impl<R, F> RecordUpdate<R, F>
where
    R: Clone + Serialize + DeserializeOwned,
    F: Fn(&R) -> RecentOperations,
{
    /// Prepares an update of `key`; `operation` must be unique to it, and
    /// `operations_of` returns a record's recent operation ids.
    pub fn new<K>(key: K, operation: OperationId, operations_of: F) -> Self
    where
        K: Into<Box<str>>,
    {
        Self {
            key: key.into(),
            operation,
            lease: None,
            operations_of,
            phase: Phase::Reading,
            record: PhantomData,
        }
    }

    /// Binds the written key to a lease.
    #[must_use]
    pub fn with_lease(mut self, lease: LeaseId) -> Self {
        self.lease = Some(lease);
        self
    }

    /// Returns the operation id to put into the written record.
    pub fn operation(&self) -> OperationId {
        self.operation
    }

    /// Starts by reading the record.
    pub fn start(&mut self) -> UpdateStep<R> {
        self.phase = Phase::Reading;
        UpdateStep::Send(StoreRequest::Get { key: self.key.clone() })
    }

    /// Starts from a state that was read before, without a read.
    pub fn start_from(&mut self, version: RecordVersion) {
        self.phase = Phase::Deciding { version };
    }

    /// Writes the decided record; it must list the update's operation id.
    pub fn write(&mut self, record: R) -> UpdateStep<R> {
        let Phase::Deciding { version } = self.phase else {
            return UpdateStep::Failed(UpdateFailure::Unavailable);
        };
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value.into(),
            Err(error) => return self.corrupt(&error),
        };
        self.phase = Phase::Writing { record };
        UpdateStep::Send(StoreRequest::CompareAndSwap {
            key: self.key.clone(),
            expected: version,
            value,
            lease: self.lease,
        })
    }

    /// Takes the result of the request sent last.
    pub fn on_result(&mut self, result: Result<StoreReply, StoreError>) -> UpdateStep<R> {
        match (std::mem::replace(&mut self.phase, Phase::Ended), result) {
            (Phase::Reading, Ok(StoreReply::Value(value))) => self.decide(value),
            (Phase::Writing { record }, Ok(StoreReply::Swapped(version))) => {
                UpdateStep::Done(Stored { record, version })
            }
            (Phase::Writing { .. }, Ok(StoreReply::Conflict(value))) => self.on_conflict(value),
            (Phase::Writing { record }, Err(StoreError::Unknown | StoreError::Malformed(_))) => {
                self.phase = Phase::ReadingBack { record };
                UpdateStep::Send(StoreRequest::Get { key: self.key.clone() })
            }
            (Phase::ReadingBack { .. }, Ok(StoreReply::Value(value))) => self.on_conflict(value),
            (Phase::ReadingBack { .. }, _) => UpdateStep::Failed(UpdateFailure::Unknown),
            _ => UpdateStep::Failed(UpdateFailure::Unavailable),
        }
    }

    /// Finds out whether the present value already holds this update.
    fn on_conflict(&mut self, value: Option<KeyValue>) -> UpdateStep<R> {
        match self.decode(value) {
            Ok(Some(stored)) if (self.operations_of)(&stored.record).contains(self.operation) => {
                UpdateStep::Done(stored)
            }
            Ok(stored) => self.enter_deciding(stored),
            Err(failed) => failed,
        }
    }

    fn decide(&mut self, value: Option<KeyValue>) -> UpdateStep<R> {
        match self.decode(value) {
            Ok(stored) => self.enter_deciding(stored),
            Err(failed) => failed,
        }
    }

    fn enter_deciding(&mut self, stored: Option<Stored<R>>) -> UpdateStep<R> {
        let version = stored.as_ref().map_or(RecordVersion(0), |stored| stored.version);
        self.phase = Phase::Deciding { version };
        UpdateStep::Decide(stored)
    }

    fn decode(&self, value: Option<KeyValue>) -> Result<Option<Stored<R>>, UpdateStep<R>> {
        let Some(KeyValue { value, version, .. }) = value else {
            return Ok(None);
        };
        match serde_json::from_slice(&value) {
            Ok(record) => Ok(Some(Stored { record, version })),
            Err(error) => Err(self.corrupt(&error)),
        }
    }

    fn corrupt(&self, error: &serde_json::Error) -> UpdateStep<R> {
        UpdateStep::Failed(UpdateFailure::Corrupt {
            key: self.key.clone(),
            message: error.to_string().into(),
        })
    }
}
