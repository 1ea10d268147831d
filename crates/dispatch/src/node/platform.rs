//! Interface between the dispatcher and a deployment's platform.

use std::future::Future;

use bytes::Bytes;
use http::{Method, Response};
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest, WatchEvent},
    state::ids::{EntryId, HostId, PoolId, RecordVersion, Term, WorkerId},
};

use super::{
    callers::{CallerRequest, CallerResponse, RequestError},
    clock,
};
use crate::{
    coordination::{
        control::OrderPermit,
        pool::{
            AdviceQuestion, Order, OrderOutcome, OrderTarget, PollFailure, PollReport, PollRequest,
            WorkerContact,
        },
        upkeep::{HostOrderReply, HostView},
    },
    state::{
        CallerKey, KeyDigest, QueueSettings, ServingDocument, WaveNumber, WaveRequest, WaveState,
        WorkerEntry,
    },
};

/// An atomic conditional write of several keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the versions that they must have; 0 means that the key must
    /// not exist.
    pub expected: Vec<(Box<str>, RecordVersion)>,
    /// Keys to write.
    pub put: Vec<(Box<str>, Bytes)>,
    /// Keys to remove.
    pub remove: Vec<Box<str>>,
}

/// Reply of the store to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionReply {
    /// The transaction was applied at this version.
    Written(RecordVersion),
    /// A condition failed and nothing was written; current values of those
    /// expected keys that exist.
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

/// Reasons why changes cannot be returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangesError {
    /// The store no longer has the history after the requested version; list
    /// the prefix again.
    Compacted,
    /// The call failed.
    Store(StoreError),
}

/// A record written by the operator.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// The configuration.
    Document(ServingDocument),
    /// A maintenance wave.
    Wave(WaveRequest),
}

/// Sender of an order for a host.
#[derive(Clone, Copy, Debug)]
pub struct HostOrder<'a> {
    pub holder: &'a EntryId,
    /// Term of the holder.
    pub term: Term,
    pub permit: OrderPermit,
}

impl HostOrder<'_> {
    /// Returns whether the order may still be sent. Implementations of
    /// [`Platform`] check this when the connection is ready, immediately before
    /// the first byte is written: the process may have been paused since the
    /// order was decided.
    pub fn may_be_sent(&self) -> bool {
        self.permit.is_valid(clock::read().monotonic_ms)
    }
}

/// A caller's request to a queue.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    pub method: &'a Method,
    /// Path without query, after the queue's prefix.
    pub path: &'a str,
}

/// Access to one deployment's platform.
///
/// Implementations only translate names and formats and make no decisions.
/// Futures run on the process's single thread and may be dropped at any await
/// point.
pub trait Platform: 'static {
    /// Sends one request to the store.
    fn store(&self, request: &StoreRequest)
    -> impl Future<Output = Result<StoreReply, StoreError>>;

    /// Executes a transaction.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionReply, StoreError>>;

    /// Reads all keys under a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, StoreError>>;

    /// Returns the changes after a version, waiting up to `wait_ms` for the
    /// first one.
    fn changes(
        &self,
        prefix: &str,
        after: RecordVersion,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Changes, ChangesError>>;

    /// Returns the prefix of the operator's records.
    fn operator_prefix(&self) -> &'static str;

    /// Decodes a record of the operator; none if the dispatcher does not use it
    /// or if it cannot be decoded.
    fn decode_operator_record(&self, item: &KeyValue) -> Option<OperatorRecord>;

    /// Returns the key and the value that report a wave's state to operators.
    fn encode_wave_state(&self, wave: WaveNumber, state: WaveState) -> (Box<str>, Bytes);

    /// Returns the prefix of the worker registry.
    fn registry_prefix(&self) -> &'static str;

    /// Decodes a worker's registry entry; none if it describes no usable worker.
    fn decode_worker_entry(&self, item: &KeyValue) -> Option<WorkerEntry>;

    /// Sends an order to a worker.
    fn send_order(
        &self,
        contact: &WorkerContact,
        target: &OrderTarget,
        order: &Order,
    ) -> impl Future<Output = OrderOutcome>;

    /// Asks a worker for its runs.
    fn poll_worker(
        &self,
        contact: &WorkerContact,
        request: &PollRequest,
    ) -> impl Future<Output = Result<PollReport, PollFailure>>;

    /// Asks the policy service which of the given workers may run a step and
    /// returns them with their tickets; none if there was no answer.
    fn query_policy(
        &self,
        question: &AdviceQuestion,
    ) -> impl Future<Output = Option<Vec<(WorkerId, Box<str>)>>>;

    /// Lists the hosts; none if the list cannot be read.
    fn list_hosts(&self) -> impl Future<Output = Option<Vec<HostView>>>;

    /// Orders the maintenance of a host under the holder's term.
    fn start_maintenance(
        &self,
        order: &HostOrder<'_>,
        host: &HostId,
        wave: WaveNumber,
    ) -> impl Future<Output = HostOrderReply>;

    /// Orders the move of a host to another pool under the holder's term.
    fn move_host(
        &self,
        order: &HostOrder<'_>,
        host: &HostId,
        pool: &PoolId,
    ) -> impl Future<Output = HostOrderReply>;

    /// Returns the key that a request's headers carry; none if there is no
    /// well-formed key.
    fn caller_key(&self, headers: &http::HeaderMap) -> Option<CallerKey>;

    /// Returns the digest of a key, which identifies it in the configuration.
    fn key_digest(&self, key: &CallerKey) -> KeyDigest;

    /// Decodes a caller's request to a queue.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected.
    fn decode_request(
        &self,
        document: &ServingDocument,
        queue: &QueueSettings,
        head: RequestHead<'_>,
        body: &[u8],
    ) -> Result<CallerRequest, RequestError>;

    /// Returns the timeout that a request's headers state, in milliseconds.
    fn timeout_ms(&self, headers: &http::HeaderMap) -> Option<u64>;

    /// Returns the request id that the caller chose, for logs.
    fn request_id<'a>(&self, headers: &'a http::HeaderMap) -> Option<&'a str>;

    /// Returns whether a path is that of the readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Encodes a response to a caller.
    fn encode_response(&self, answer: &CallerResponse) -> Response<Bytes>;
}
