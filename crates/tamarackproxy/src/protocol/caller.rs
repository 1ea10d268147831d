//! Outcomes and refusals towards callers.

use displaydoc::Display as DisplayDoc;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Header that states the outcome of a request.
pub const OUTCOME_HEADER: &str = "tamarack-outcome";
/// Header that carries a relative deadline in milliseconds.
pub const DEADLINE_HEADER: &str = "tamarack-deadline-ms";
/// Header that carries the idempotency key of a non-repeatable request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Largest request body, in bytes.
pub const REQUEST_BODY_MAX_BYTES: usize = 1 << 20;
/// Largest response body, in bytes.
pub const RESPONSE_BODY_MAX_BYTES: usize = 8 << 20;
/// Longest deadline that a caller may state, in milliseconds.
pub const DEADLINE_MAX_MS: u64 = 30_000;

/// What a caller may conclude about its request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The target's whole response is in the body.
    Answered,
    /// No target ran the request.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Why a request was refused or has no response; the message is the detail
/// of the problem document.
#[derive(Clone, Debug, DisplayDoc, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// the request is malformed: {0}
    Malformed(Box<str>),
    /// the bearer token is missing or unknown; send the caller's own token
    Unauthenticated,
    /// the caller may not call this service; ask the owner of the caller's section
    Forbidden,
    /// no service has this name; see the service list of the deployment
    UnknownService,
    /// the body is larger than {0} bytes; send a smaller one
    BodyTooLarge(usize),
    /// the idempotency key was used with another request; use a new key
    KeyConflict,
    /// a request that may not be repeated needs an Idempotency-Key; send a UUID version 7
    KeyMissing,
    /// the idempotency key is not a UUID version 7 or is outside the accepted time; make a new key
    KeyUnusable,
    /// the idempotency key was answered before and its response is no longer kept
    ResponseForgotten,
    /// an earlier attempt under this key may have run and its outcome is lost
    OutcomeLost,
    /// another attempt under this key is still running; repeat the request later
    KeyInProgress,
    /// the caller exceeds its share; slow down
    ShareExceeded,
    /// the queue of the service is full; repeat the request later
    QueueFull,
    /// the request cannot finish within its deadline; repeat it later or give it more time
    DeadlineUnreachable,
    /// the deadline passed before the request was started
    DeadlinePassed,
    /// the target did not respond in time
    TargetTimeout,
    /// the target's response was lost or incomplete
    ResponseLost,
    /// no target of the service is available; repeat the request later
    NoTarget,
    /// the entry host that owns this request cannot be reached; repeat it under the same key
    HomeUnreachable,
    /// the platform's store is unavailable, so the request cannot be claimed; repeat it later
    ClaimUnavailable,
    /// the entry host is stopping; repeat the request
    Stopping,
    /// the entry host has no configuration yet; repeat the request
    NotReady,
    /// the caller cancelled the request
    Cancelled,
}
