//! Events and actions of the at-most-once engine.

use serde::{Deserialize, Serialize};

use super::copies::Witness;
use crate::{
    protocol::{
        caller::Refusal,
        store::{StoreError, StoreReply, StoreRequest},
    },
    state::ids::{CallId, EntryId, RequestId, Term},
};

/// Digest of caller and key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest(pub [u8; 16]);

/// Digest of method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BodyDigest(pub [u8; 16]);

/// A claim: the right to run a request once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of caller and key.
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
    /// Confirms that the claims are kept.
    Copied { seat: u16, term: Term, batch: u64 },
    /// Tells that all runs of the holder of `seat`, and its copies up to
    /// `batch`, are in the store.
    Flushed { seat: u16, term: Term, batch: u64 },
    /// Asks for the copies kept for a seat, before its log is opened; the
    /// receiver refuses copies of lower terms from then on.
    FetchCopies { seat: u16, term: Term },
    /// Sends the copies kept for a seat and what is known of its log.
    Copies { seat: u16, term: Term, claims: Vec<Claim>, witness: Option<Witness> },
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The target answered; the transport keeps the response of this size.
    Answered { size_bytes: u64 },
    /// The request provably did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum OnceEvent {
    /// A non-repeatable request arrived at its home.
    Submitted { request: RequestId, claim: Claim },
    /// A claimed request ended.
    RunEnded { request: RequestId, result: RunResult },
    /// The seat of this entry host changed; none also stands for a suspended
    /// seat, which may be resumed under the same term.
    SeatChanged { seat: Option<SeatTenure> },
    /// The number of seats of this data centre is known or has changed; no
    /// log is opened before it is known.
    SeatsConfigured { seats: u16 },
    /// The store became reachable or unreachable for the whole data centre.
    DetachedChanged { detached: bool },
    /// Live seat holders of this data centre other than this one.
    PeersChanged { peers: Vec<EntryId> },
    /// A peer's message arrived.
    Received { from: EntryId, message: OnceMessage },
    /// A call to the store ended.
    StoreReplied { call: CallId, result: Result<StoreReply, StoreError> },
    /// The entry host stops: the log is closed after the last run ended.
    Stopping,
    /// Time passed.
    Tick,
}

/// A held seat with its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeatTenure {
    /// Index of the seat.
    pub index: u16,
    /// Term of the holder.
    pub term: Term,
}

/// What the owner of the engine does.
#[derive(Clone, Debug, PartialEq)]
pub enum OnceAction {
    /// The claim is durable: submit the request to the request engine.
    Run { request: RequestId },
    /// Passes the first response kept for this key, which `first` produced.
    Replay { request: RequestId, first: RequestId },
    /// Forgets the kept response of `first`.
    Forget { first: RequestId },
    /// Ends the request without running it.
    NotRun { request: RequestId, refusal: Refusal, retry_after_ms: Option<u64> },
    /// Ends the request whose outcome is not known.
    Unknown { request: RequestId, refusal: Refusal },
    /// Sends a message to a peer.
    Send { to: EntryId, message: OnceMessage },
    /// Calls the store.
    Store { call: CallId, request: StoreRequest },
    /// The log was opened (true), or it was closed after `Stopping` or lost to
    /// another holder (false).
    LogOpen { open: bool },
}
