//! What a deployment's platform has to offer: the edge of the process.

use std::future::Future;

use bytes::Bytes;
use http::{Method, Response};
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest, WatchEvent},
    state::ids::{EntryId, HostId, PoolId, RecordVersion, Term, WorkerId},
};

use super::callers::{CallerAnswer, CallerCall, Refused};
use crate::{
    coordination::{
        pool::{
            AdviceQuestion, Order, OrderReply, OrderTarget, PollFailure, PollReport, PollRequest,
            WorkerContact,
        },
        upkeep::{HostOrderReply, HostView},
    },
    state::{ServingDocument, WaveNumber, WaveRequest, WaveState, WorkerEntry},
};

/// A write of several keys: everything or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the versions that they must have; 0 stands for absence.
    pub expected: Vec<(Box<str>, RecordVersion)>,
    /// Keys to write.
    pub put: Vec<(Box<str>, Bytes)>,
    /// Keys to remove.
    pub remove: Vec<Box<str>>,
}

/// Result of a transaction that the store has decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionReply {
    /// It took effect at this version.
    Written(RecordVersion),
    /// It did not; those of the expected keys that exist.
    Conflict(Vec<KeyValue>),
}

/// All keys under a prefix.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The keys.
    pub items: Vec<KeyValue>,
    /// Version from which changes continue the listing.
    pub as_of: RecordVersion,
}

/// Changes under a prefix.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The changes, oldest first.
    pub events: Vec<WatchEvent>,
    /// Version from which the next call continues.
    pub as_of: RecordVersion,
}

/// Reasons why changes cannot be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangesError {
    /// The store has forgotten them: list the prefix again.
    Gap,
    /// The call failed.
    Store(StoreError),
}

/// A record that the operator wrote.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// The configuration.
    Document(ServingDocument),
    /// A maintenance wave.
    Wave(WaveRequest),
}

/// Head of a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct CallHead<'a> {
    /// Method.
    pub method: &'a Method,
    /// Host name that the caller asked for.
    pub authority: &'a str,
    /// Path without query.
    pub path: &'a str,
}

/// One deployment's platform.
///
/// Implementations translate names and forms and decide nothing. Futures run
/// on the process's one thread and may be dropped at any await.
pub trait Platform: 'static {
    /// Makes one call to the store.
    fn store(&self, request: &StoreRequest)
    -> impl Future<Output = Result<StoreReply, StoreError>>;

    /// Writes several keys at once.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionReply, StoreError>>;

    /// Reads all keys under a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, StoreError>>;

    /// Waits up to `wait_ms` for changes after a version.
    fn changes(
        &self,
        prefix: &str,
        after: RecordVersion,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Changes, ChangesError>>;

    /// Returns the prefix of the operator's records.
    fn operator_prefix(&self) -> &'static str;

    /// Decodes a record of the operator; none if it is of no concern or cannot
    /// be read.
    fn decode_operator(&self, item: &KeyValue) -> Option<OperatorRecord>;

    /// Returns the key and the value that tell operators a wave's state.
    fn wave_state(&self, wave: WaveNumber, state: WaveState) -> (Box<str>, Bytes);

    /// Returns the prefix of the registry of workers.
    fn registry_prefix(&self) -> &'static str;

    /// Decodes a worker's entry; none if it names nothing to use.
    fn decode_worker(&self, item: &KeyValue) -> Option<WorkerEntry>;

    /// Sends an order to a worker.
    fn order(
        &self,
        contact: &WorkerContact,
        target: &OrderTarget,
        order: &Order,
    ) -> impl Future<Output = OrderReply>;

    /// Asks a worker for its runs.
    fn poll_worker(
        &self,
        contact: &WorkerContact,
        request: &PollRequest,
    ) -> impl Future<Output = Result<PollReport, PollFailure>>;

    /// Asks which of the named workers may run a step, with their permissions;
    /// none if there was no answer.
    fn advise(
        &self,
        question: &AdviceQuestion,
    ) -> impl Future<Output = Option<Vec<(WorkerId, Box<str>)>>>;

    /// Reads the list of hosts; none if it cannot be had.
    fn hosts(&self) -> impl Future<Output = Option<Vec<HostView>>>;

    /// Orders the upkeep of a host.
    fn maintain(
        &self,
        holder: &EntryId,
        term: Term,
        host: &HostId,
        wave: WaveNumber,
    ) -> impl Future<Output = HostOrderReply>;

    /// Moves a host to another pool.
    fn move_host(
        &self,
        holder: &EntryId,
        term: Term,
        host: &HostId,
        pool: &PoolId,
    ) -> impl Future<Output = HostOrderReply>;

    /// Decodes a caller's request.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    fn decode_call(
        &self,
        document: &ServingDocument,
        head: CallHead<'_>,
        body: &[u8],
    ) -> Result<CallerCall, Refused>;

    /// Returns how long a caller waits, in milliseconds, if its request says.
    fn patience_ms(&self, headers: &http::HeaderMap) -> Option<u64>;

    /// Returns the id that a caller gave its request, for logs.
    fn request_name<'a>(&self, headers: &'a http::HeaderMap) -> Option<&'a str>;

    /// Tells whether a path asks for the process's readiness.
    fn is_ready_path(&self, path: &str) -> bool;

    /// Encodes an answer.
    fn encode_answer(&self, answer: &CallerAnswer) -> Response<Bytes>;
}
