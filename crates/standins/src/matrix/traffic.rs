//! Requests of callers in virtual time, and the responses that they receive.

use std::collections::HashMap;

use http::{HeaderMap, HeaderValue, Method, header};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{
    protocol::{caller::Outcome, http::CallerRequest},
    state::{
        document::Urgency,
        ids::{RequestId, ServiceId},
    },
};
use uuid::{Builder, Uuid};

use super::deployment::{CALLERS, ORDERS};
use crate::{
    caller::{AttemptEnd, AttemptRecord, token_of},
    target::{ATTEMPT_HEADER, echo_path},
};

/// Deadline that callers set, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
/// Padding of a response, in bytes.
pub(super) const BODY_BYTES: usize = 64;
/// Largest number of attempts that a caller makes for one request.
const ATTEMPTS_MAX: u32 = 4;

/// A caller's request, which may take several attempts.
#[derive(Clone, Debug)]
pub(super) struct LogicalRequest {
    pub(super) request: u64,
    pub(super) caller: &'static str,
    pub(super) urgency: Urgency,
    pub(super) key: Option<Uuid>,
    pub(super) attempts: u32,
}

/// Attempts of all callers.
#[derive(Default)]
pub(super) struct Traffic {
    pub(super) attempts: Vec<AttemptRecord>,
    /// Attempt number and logical request by entry host, incarnation and request
    /// id, for the requests that entry hosts have open.
    pub(super) open: HashMap<(usize, u32, RequestId), (usize, LogicalRequest)>,
    requests: u64,
}

impl Traffic {
    /// Creates a request; a charge gets a UUIDv7 idempotency key of the current
    /// time.
    pub(super) fn new_request(
        &mut self,
        random: &mut ChaCha8Rng,
        unix_ms: u64,
        is_charge: bool,
        urgency: Urgency,
    ) -> LogicalRequest {
        self.requests += 1;
        let key = is_charge
            .then(|| Builder::from_unix_timestamp_millis(unix_ms, &random.random()).into_uuid());
        let caller = CALLERS[random.random_range(0..CALLERS.len())];
        LogicalRequest { request: self.requests, caller, urgency, key, attempts: 0 }
    }

    /// Begins an attempt and returns its index and the HTTP request.
    pub(super) fn begin(
        &mut self,
        logical: &LogicalRequest,
        now_ms: u64,
    ) -> (usize, CallerRequest) {
        let attempt = self.attempts.len();
        let key = logical.key.map(|key| key.to_string());
        self.attempts.push(AttemptRecord {
            caller: logical.caller.into(),
            service: ServiceId::new(ORDERS),
            urgency: logical.urgency,
            request: logical.request,
            attempt: attempt as u64,
            key: key.as_deref().map(Into::into),
            started_ms: now_ms,
            deadline_ms: DEADLINE_MS,
            ended_ms: None,
            end: AttemptEnd::Open,
        });
        let mut headers = HeaderMap::new();
        let mut set = |name: header::HeaderName, value: String| {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(name, value);
            }
        };
        set(header::AUTHORIZATION, format!("Bearer {}", token_of(logical.caller)));
        set(header::HeaderName::from_static("tamarack-deadline-ms"), DEADLINE_MS.to_string());
        set(header::HeaderName::from_static(ATTEMPT_HEADER), attempt.to_string());
        let priority = match logical.urgency {
            Urgency::Urgent => "u=0",
            Urgency::Normal => "u=3",
            Urgency::Bulk => "u=6",
        };
        set(header::HeaderName::from_static("priority"), priority.to_owned());
        if let Some(key) = key {
            set(header::HeaderName::from_static("idempotency-key"), key);
        }
        let received = CallerRequest {
            method: if logical.key.is_some() { Method::POST } else { Method::GET },
            service: ORDERS.into(),
            path: echo_path(logical.request, BODY_BYTES).into(),
            headers,
            body: bytes::Bytes::new(),
        };
        (attempt, received)
    }

    /// Ends an attempt and returns whether the caller retries.
    pub(super) fn end(
        &mut self,
        attempt: usize,
        logical: &LogicalRequest,
        now_ms: u64,
        end: AttemptEnd,
    ) -> bool {
        let record = &mut self.attempts[attempt];
        record.ended_ms = Some(now_ms);
        record.end = end;
        end.outcome() != Some(Outcome::Answered) && logical.attempts + 1 < ATTEMPTS_MAX
    }
}
