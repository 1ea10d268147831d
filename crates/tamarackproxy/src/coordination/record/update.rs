//! State machine of a single record update.

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

/// A record as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored<R> {
    /// The decoded value.
    pub record: R,
    /// Version that the next swap must expect.
    pub version: RecordVersion,
}

/// Next step of an update, for its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateStep<R> {
    /// The request must be sent and its result passed to
    /// [`RecordUpdate::on_result`].
    Send(StoreRequest),
    /// The owner decides on the present record (`None` if there is none), then
    /// calls [`RecordUpdate::write`] or drops the update.
    Decide(Option<Stored<R>>),
    /// The write took effect.
    Done(Stored<R>),
    /// The update failed; the reason says whether it may have taken effect.
    Failed(UpdateFailure),
}

/// Reasons why an update failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum UpdateFailure {
    /// the store is unavailable and the update was not written; try again after a delay
    Unavailable,
    /// the store is unavailable and the write may have taken effect; read the record back before the next write
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

/// Update of one record: read, decide and swap.
///
/// If the reply to the swap is lost, the record is read back. Records list the
/// ids of their recent operations, so an update that finds its own id there
/// knows that its swap took effect.
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
    /// Prepares an update of `key`. `operation` must be unique to the update,
    /// and `operations_of` returns the recent operation ids of a record.
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

    /// Attaches the written key to a lease.
    #[must_use]
    pub fn with_lease(mut self, lease: LeaseId) -> Self {
        self.lease = Some(lease);
        self
    }

    /// Returns the operation id that the written record must list.
    pub fn operation(&self) -> OperationId {
        self.operation
    }

    /// Starts the update by reading the record.
    pub fn start(&mut self) -> UpdateStep<R> {
        self.phase = Phase::Reading;
        UpdateStep::Send(StoreRequest::Get { key: self.key.clone() })
    }

    /// Starts the update from a record that was read before at `version`.
    pub fn start_from(&mut self, version: RecordVersion) {
        self.phase = Phase::Deciding { version };
    }

    /// Writes the new record, which must list the operation id of the update.
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

    /// Handles the result of the last request.
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

    /// Completes the update if the present record contains it; otherwise
    /// decides again.
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
