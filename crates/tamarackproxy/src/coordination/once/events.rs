//! Events, actions and peer messages of the at-most-once engine.

use serde::{Deserialize, Serialize};

use super::copies::Witness;
use crate::{
    protocol::{
        caller::Refusal,
        store::{StoreError, StoreReply, StoreRequest},
    },
    state::ids::{CallId, EntryId, RequestId, Term},
};

/// Digest of the caller and its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest(pub [u8; 16]);

/// Digest of a request's method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BodyDigest(pub [u8; 16]);

/// Right to run a request once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the caller and its idempotency key.
    pub key: KeyDigest,
    /// Digest of the request.
    pub body: BodyDigest,
    /// Creation time of the key, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
}

/// Messages between at-most-once engines of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceMessage {
    /// Copies claims made in detached mode by the holder of `seat`.
    Copy { seat: u16, term: Term, batch: u64, claims: Vec<Claim> },
    /// Acknowledges that the receiver holds the copies of a batch.
    Copied { seat: u16, term: Term, batch: u64 },
    /// Reports that all requests that the holder of `seat` ran, and its copies up to
    /// `batch`, are in the store.
    Flushed { seat: u16, term: Term, batch: u64 },
    /// Asks for the copies held for a seat, before its log is opened. The receiver
    /// rejects copies of lower terms from then on.
    FetchCopies { seat: u16, term: Term },
    /// Replies with the copies held for a seat and the evidence about its log.
    Copies { seat: u16, term: Term, claims: Vec<Claim>, witness: Option<Witness> },
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The target answered; the transport caches the response of this size.
    Answered { size_bytes: u64 },
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Input of the at-most-once engine.
#[derive(Clone, Debug, PartialEq)]
pub enum OnceEvent {
    /// A non-repeatable request arrived at the home of its key.
    Submitted { request: RequestId, claim: Claim },
    /// A claimed request ended.
    RunEnded { request: RequestId, result: RunResult },
    /// The seat of this entry host changed. `None` includes a suspended seat, which
    /// may be resumed under the same term.
    SeatChanged { seat: Option<SeatTenure> },
    /// The number of seats of this data centre is known or has changed. No log is
    /// opened before it is known.
    SeatsConfigured { seats: u16 },
    /// The store became unreachable (`detached`) or reachable again for the whole
    /// data centre.
    DetachedChanged { detached: bool },
    /// The other live seat holders of this data centre changed.
    PeersChanged { peers: Vec<EntryId> },
    /// A message from a peer arrived.
    Received { from: EntryId, message: OnceMessage },
    /// A call to the store ended.
    StoreReplied { call: CallId, result: Result<StoreReply, StoreError> },
    /// The entry host is stopping: the log is closed once the last claimed request has
    /// ended.
    Stopping,
    /// No input; processes timers that are due.
    Tick,
}

/// A seat held under a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeatTenure {
    /// Index of the seat.
    pub index: u16,
    /// Term of the holder.
    pub term: Term,
}

/// Action that the owner of the engine must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum OnceAction {
    /// Submit the request to the request engine: its claim is durable.
    Run { request: RequestId },
    /// Answer the request with the cached response of the request `first`.
    Replay { request: RequestId, first: RequestId },
    /// Discard the cached response of `first`.
    Forget { first: RequestId },
    /// End the request as not run.
    NotRun { request: RequestId, refusal: Refusal, retry_after_ms: Option<u64> },
    /// End the request with an unknown outcome.
    Unknown { request: RequestId, refusal: Refusal },
    /// Send a message to a peer.
    Send { to: EntryId, message: OnceMessage },
    /// Send a request to the store.
    Store { call: CallId, request: StoreRequest },
    /// Note that the log was opened (`true`), or was closed after `Stopping` or lost to
    /// another holder (`false`).
    LogOpen { open: bool },
}
