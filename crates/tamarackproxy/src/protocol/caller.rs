//! Outcomes and error reasons that callers receive.

use displaydoc::Display as DisplayDoc;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::state::document::Urgency;

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
#[derive(Clone, Debug, DisplayDoc, PartialEq, Eq, Hash, Serialize, Deserialize, IntoStaticStr)]
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

impl Refusal {
    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> StatusCode {
        match self {
            Refusal::Malformed(_) | Refusal::KeyMissing | Refusal::KeyUnusable => {
                StatusCode::BAD_REQUEST
            }
            Refusal::Unauthenticated => StatusCode::UNAUTHORIZED,
            Refusal::Forbidden => StatusCode::FORBIDDEN,
            Refusal::UnknownService => StatusCode::NOT_FOUND,
            Refusal::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::KeyConflict => StatusCode::UNPROCESSABLE_ENTITY,
            Refusal::ResponseForgotten | Refusal::OutcomeLost | Refusal::KeyInProgress => {
                StatusCode::CONFLICT
            }
            Refusal::ShareExceeded => StatusCode::TOO_MANY_REQUESTS,
            Refusal::DeadlinePassed | Refusal::TargetTimeout => StatusCode::GATEWAY_TIMEOUT,
            Refusal::ResponseLost => StatusCode::BAD_GATEWAY,
            Refusal::QueueFull
            | Refusal::DeadlineUnreachable
            | Refusal::NoTarget
            | Refusal::HomeUnreachable
            | Refusal::ClaimUnavailable
            | Refusal::Stopping
            | Refusal::NotReady
            | Refusal::Cancelled => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the problem document (RFC 9457) for a request that ended with
    /// this outcome.
    pub fn problem(&self, outcome: Outcome) -> Value {
        let name: &'static str = self.into();
        json!({
            "type": format!("urn:tamarackproxy:problem:{name}"),
            "title": name.replace('-', " "),
            "status": self.status().as_u16(),
            "detail": self.to_string(),
            "outcome": outcome,
        })
    }
}

impl Urgency {
    /// Parses the urgency of a `Priority` header (RFC 9218). Unknown parameters
    /// are ignored; a missing or invalid urgency counts as 3, the default.
    pub fn from_priority(header: &str) -> Self {
        let parameters = header.split(',').map(str::trim);
        let urgency = parameters.filter_map(|parameter| parameter.strip_prefix("u=")).next_back();
        match urgency.and_then(|urgency| urgency.trim().parse::<u8>().ok()) {
            Some(0..=1) => Urgency::Urgent,
            Some(5..=7) => Urgency::Bulk,
            _ => Urgency::Normal,
        }
    }
}
