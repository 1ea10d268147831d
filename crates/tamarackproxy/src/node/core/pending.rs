//! Requests that have no response yet.

use std::collections::HashSet;

use crate::{
    coordination::{once::Claim, requests::RequestMeta},
    protocol::{
        caller::{Outcome, Refusal},
        http::{TargetRequest, TargetResponse},
        peer::{ForwardKind, ForwardRequest, ForwardResponse},
    },
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    Caller,
    Peer,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Completion {
    /// The target's whole response.
    Answered(TargetResponse),
    /// There is no response of a target.
    Refused {
        /// What the caller may conclude.
        outcome: Outcome,
        /// Why there is no response.
        refusal: Refusal,
        /// Delay after which a retry may succeed, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}

impl Completion {
    pub(super) fn not_run(refusal: Refusal, retry_after_ms: Option<u64>) -> Self {
        Self::Refused { outcome: Outcome::NotRun, refusal, retry_after_ms }
    }

    pub(super) fn unknown(refusal: Refusal) -> Self {
        Self::Refused { outcome: Outcome::Unknown, refusal, retry_after_ms: None }
    }

    /// Returns what the caller may conclude.
    pub fn outcome(&self) -> Outcome {
        match self {
            Completion::Answered(_) => Outcome::Answered,
            Completion::Refused { outcome, .. } => *outcome,
        }
    }

    /// Returns the response for a caller, or the outcome, the reason and the
    /// delay before a retry if there is none.
    pub(crate) fn into_answer(self) -> Result<TargetResponse, (Outcome, Refusal, Option<u64>)> {
        match self {
            Completion::Answered(response) => {
                Ok(TargetResponse { headers: strip_hop_by_hop(response.headers), ..response })
            }
            Completion::Refused { outcome, refusal, retry_after_ms } => {
                Err((outcome, refusal, retry_after_ms))
            }
        }
    }

    /// Returns the reply to the entry host that forwarded the request.
    pub fn into_forward_response(self) -> ForwardResponse {
        match self {
            Completion::Answered(response) => ForwardResponse {
                outcome: Outcome::Answered,
                refusal: None,
                retry_after_ms: None,
                status: response.status.as_u16(),
                headers: encode_headers(&strip_hop_by_hop(response.headers)),
                body: response.body.to_vec(),
            },
            Completion::Refused { outcome, refusal, retry_after_ms } => ForwardResponse {
                outcome,
                status: refusal.status().as_u16(),
                refusal: Some(refusal),
                retry_after_ms,
                headers: Vec::new(),
                body: Vec::new(),
            },
        }
    }
}

/// A request that waits, runs, or was forwarded and has no response yet.
pub(super) struct Pending {
    pub(super) origin: Origin,
    pub(super) meta: RequestMeta,
    pub(super) target_request: TargetRequest,
    /// Idempotency key as the caller sent it.
    pub(super) key: Option<Box<str>>,
    /// Claim of the key, if this entry host is its home.
    pub(super) claim: Option<Claim>,
    /// Monotonic time of arrival, in milliseconds.
    pub(super) received_at_ms: u64,
    /// Whether an attempt or a forward has begun.
    pub(super) is_started: bool,
    pub(super) hops: u8,
    pub(super) attempts: HashSet<u32>,
    /// Complete response of the latest attempt that received one.
    pub(super) response: Option<TargetResponse>,
}

impl Pending {
    /// Returns the message that forwards the request to another entry host.
    pub(super) fn to_forward(&self, kind: ForwardKind, now_ms: u64) -> ForwardRequest {
        ForwardRequest {
            kind,
            hops: self.hops + 1,
            service: self.meta.service.clone(),
            caller: self.meta.caller.clone(),
            urgency: self.meta.urgency,
            remaining_ms: self.meta.deadline_at_ms.saturating_sub(now_ms),
            key: self.key.clone(),
            method: self.target_request.method.as_str().into(),
            path: self.target_request.path.to_string().into(),
            headers: encode_headers(&self.target_request.headers),
            body: self.target_request.body.to_vec(),
        }
    }
}

/// Hop-by-hop headers, which are not passed on (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers, including those that `Connection` names, and
/// `Content-Length`, which the sender of each hop sets.
pub(super) fn strip_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers
}

fn encode_headers(headers: &HeaderMap) -> Vec<(Box<str>, Vec<u8>)> {
    headers.iter().map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec())).collect()
}

/// Decodes headers received from a peer; invalid ones are left out.
pub(super) fn decode_headers(encoded: &[(Box<str>, Vec<u8>)]) -> HeaderMap {
    let decode_one = |(name, value): &(Box<str>, Vec<u8>)| {
        Some((name.parse::<HeaderName>().ok()?, HeaderValue::from_bytes(value).ok()?))
    };
    let mut headers = HeaderMap::new();
    for (name, value) in encoded.iter().filter_map(decode_one) {
        headers.append(name, value);
    }
    headers
}

/// Decodes the response to a forwarded request; `None` if its status is invalid.
pub(super) fn decode_answer(response: ForwardResponse) -> Option<TargetResponse> {
    let status = StatusCode::from_u16(response.status).ok()?;
    let headers = decode_headers(&response.headers);
    Some(TargetResponse { status, headers, body: response.body.into() })
}
