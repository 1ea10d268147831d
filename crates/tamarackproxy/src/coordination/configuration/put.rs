//! State machine of one put (a write of document sections).

use super::{
    HEAD_KEY, OperatorCall, Position, PutError, SectionEdit,
    decide::{Decision, PutRequest, decide, history_entry, history_key},
};
use crate::{
    coordination::record::{RecordUpdate, Stored, UpdateFailure, UpdateStep},
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        ids::{RecordVersion, Revision},
        records::{HeadRecord, HistoryRecord, RECENT_OPERATIONS, RecentOperations},
    },
};

type HeadUpdate = RecordUpdate<HeadRecord, fn(&HeadRecord) -> RecentOperations>;

/// Maximum number of attempts to swap the head; with 16 concurrent writers,
/// each of them succeeds within 16 attempts.
const SWAP_ATTEMPTS_MAX: u32 = 32;

/// What the owner of a put does next.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PutStep {
    /// Send the request and pass its result to [`Put::on_result`].
    Send(StoreRequest),
    /// The store did not reply: call [`Put::restart`] after a delay.
    Retry,
    /// The put ended; `head` is the current head to apply, if it was read or
    /// written.
    Ended { result: Result<Position, PutError>, head: Option<Box<HeadRecord>> },
}

#[derive(Clone, Debug)]
enum Stage {
    /// Reads the history entry of the revision to be reverted.
    ReadingReverted(Revision),
    /// Reads or swaps the head.
    Updating,
    /// Copies the current head to the history before it is overwritten.
    CopyingPrevious { next: Box<HeadRecord> },
    /// Looks for an unconfirmed write in the history, because the head lists
    /// only the most recent operation ids.
    CheckingHistory { head: Box<Stored<HeadRecord>> },
    /// No request is outstanding.
    Waiting,
}

/// One put, from its acceptance to its result.
#[derive(Clone, Debug)]
pub(super) struct Put {
    pub(super) call: OperatorCall,
    request: PutRequest,
    reverted: Option<Revision>,
    update: HeadUpdate,
    stage: Stage,
    /// Revision of a swap that may have taken effect.
    unconfirmed: Option<Revision>,
    swap_attempts: u32,
}

/// State of the engine that a put depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct PutContext {
    pub(super) in_force: Position,
    pub(super) unix_ms: u64,
    /// Revision whose history entry is known to be written.
    pub(super) copied: Option<Revision>,
}

fn operations_of(head: &HeadRecord) -> RecentOperations {
    head.operations.clone()
}

impl Put {
    pub(super) fn new(call: OperatorCall, request: PutRequest, reverted: Option<Revision>) -> Self {
        let update = Self::update(&request);
        let (stage, unconfirmed) = (Stage::Waiting, None);
        Self { call, request, reverted, update, stage, unconfirmed, swap_attempts: 0 }
    }

    fn update(request: &PutRequest) -> HeadUpdate {
        RecordUpdate::new(HEAD_KEY, request.operation, operations_of as fn(&_) -> _)
    }

    /// Starts the put, or restarts it after a failed call.
    pub(super) fn restart(&mut self) -> StoreRequest {
        if let Some(revision) = self.reverted {
            self.stage = Stage::ReadingReverted(revision);
            return StoreRequest::Get { key: history_key(revision) };
        }
        self.read_head()
    }

    fn read_head(&mut self) -> StoreRequest {
        self.stage = Stage::Updating;
        self.update = Self::update(&self.request);
        // The first step of an update is always a read.
        self.update.start();
        StoreRequest::Get { key: HEAD_KEY.into() }
    }

    /// Returns whether this put wrote the head.
    pub(super) fn has_written(&self, head: &HeadRecord) -> bool {
        head.change.operation == self.request.operation
    }

    /// Returns the error of a put that timed out.
    pub(super) fn timed_out(&self) -> PutError {
        if self.unconfirmed.is_some() { PutError::Unknown } else { PutError::Unavailable }
    }

    /// Handles the result of the last request.
    pub(super) fn on_result(
        &mut self,
        result: Result<StoreReply, StoreError>,
        context: PutContext,
    ) -> PutStep {
        match (std::mem::replace(&mut self.stage, Stage::Waiting), result) {
            (Stage::ReadingReverted(revision), Ok(StoreReply::Value(value))) => {
                self.on_reverted(revision, value)
            }
            (Stage::Updating, result) => {
                self.stage = Stage::Updating;
                let step = self.update.on_result(result);
                self.on_update(step, context)
            }
            (
                Stage::CopyingPrevious { next },
                Ok(StoreReply::Swapped(_) | StoreReply::Conflict(Some(_))),
            ) => self.write(*next, context),
            (Stage::CheckingHistory { head }, Ok(StoreReply::Value(value))) => {
                self.on_history(*head, value, context)
            }
            _ => PutStep::Retry,
        }
    }

    fn on_reverted(&mut self, revision: Revision, value: Option<KeyValue>) -> PutStep {
        let entry = value.and_then(|value| serde_json::from_slice(&value.value).ok());
        let Some(entry) = entry.filter(|entry: &HistoryRecord| !entry.before_omitted) else {
            return self.failed(PutError::NoHistory(revision));
        };
        let edits = entry.changes.into_iter().map(|change| SectionEdit {
            section: change.section,
            text: change.before,
            base: revision,
        });
        self.request.edits = edits.collect();
        self.reverted = None;
        PutStep::Send(self.read_head())
    }

    fn on_update(&mut self, step: UpdateStep<HeadRecord>, context: PutContext) -> PutStep {
        match step {
            UpdateStep::Send(request) => PutStep::Send(request),
            UpdateStep::Decide(stored) => self.on_head(stored, context),
            UpdateStep::Done(stored) => self.on_written(stored.record),
            UpdateStep::Failed(UpdateFailure::Corrupt { key, message }) => {
                let text =
                    format!("{key} cannot be decoded: {message}; restore it from its history");
                self.failed(PutError::Invalid(text.into()))
            }
            UpdateStep::Failed(UpdateFailure::Unavailable | UpdateFailure::Unknown) => {
                PutStep::Retry
            }
        }
    }

    fn on_written(&mut self, head: HeadRecord) -> PutStep {
        // A later writer may have replaced the head that this put wrote. The
        // put's own revision is then in the history and included in the head.
        let is_own = head.change.operation == self.request.operation;
        let revision =
            if is_own { head.revision } else { self.unconfirmed.unwrap_or(head.revision) };
        let position = Position { epoch: head.epoch, revision };
        PutStep::Ended { result: Ok(position), head: Some(Box::new(head)) }
    }

    fn on_head(&mut self, stored: Option<Stored<HeadRecord>>, context: PutContext) -> PutStep {
        if let (Some(stored), Some(revision)) = (&stored, self.unconfirmed) {
            if stored.record.operations.contains(self.request.operation) {
                return self.on_written(stored.record.clone());
            }
            if stored.record.revision.0 >= revision.0 + RECENT_OPERATIONS as u64 {
                let key = history_key(revision);
                self.stage = Stage::CheckingHistory { head: Box::new(stored.clone()) };
                return PutStep::Send(StoreRequest::Get { key });
            }
        }
        self.decide(stored, context)
    }

    fn on_history(
        &mut self,
        head: Stored<HeadRecord>,
        value: Option<KeyValue>,
        context: PutContext,
    ) -> PutStep {
        let entry: Option<HistoryRecord> =
            value.and_then(|value| serde_json::from_slice(&value.value).ok());
        match entry {
            Some(entry) if entry.operation == self.request.operation => {
                let position = Position { epoch: entry.epoch, revision: entry.revision };
                PutStep::Ended { result: Ok(position), head: Some(Box::new(head.record)) }
            }
            _ => self.decide(Some(head), context),
        }
    }

    fn decide(&mut self, stored: Option<Stored<HeadRecord>>, context: PutContext) -> PutStep {
        self.swap_attempts += 1;
        if self.swap_attempts > SWAP_ATTEMPTS_MAX {
            return self.failed(self.timed_out());
        }
        let head = stored.as_ref().map(|stored| &stored.record);
        match decide(head, context.in_force, &self.request, context.unix_ms) {
            Err(error) => self.failed(error),
            Ok(Decision::Unchanged(position)) => {
                let head = stored.map(|stored| Box::new(stored.record));
                PutStep::Ended { result: Ok(position), head }
            }
            Ok(Decision::Write(next)) => {
                let version = stored.as_ref().map_or(RecordVersion(0), |stored| stored.version);
                self.update = Self::update(&self.request);
                self.update.start_from(version);
                match stored.and_then(|stored| previous_entry(&stored.record, context)) {
                    Some(request) => {
                        self.stage = Stage::CopyingPrevious { next };
                        PutStep::Send(request)
                    }
                    None => self.write(*next, context),
                }
            }
        }
    }

    fn write(&mut self, next: HeadRecord, context: PutContext) -> PutStep {
        self.stage = Stage::Updating;
        self.unconfirmed = Some(next.revision);
        let step = self.update.write(next);
        self.on_update(step, context)
    }

    fn failed(&self, error: PutError) -> PutStep {
        PutStep::Ended { result: Err(error), head: None }
    }
}

/// Returns the request that creates the history entry of the head about to be
/// overwritten, unless the entry is known to exist.
fn previous_entry(head: &HeadRecord, context: PutContext) -> Option<StoreRequest> {
    if context.copied == Some(head.revision) {
        return None;
    }
    history_entry(head).map(|(key, value)| creation(key, value))
}

/// Returns the request that creates a key.
pub(super) fn creation(key: Box<str>, value: bytes::Bytes) -> StoreRequest {
    StoreRequest::CompareAndSwap { key, expected: RecordVersion(0), value, lease: None }
}
