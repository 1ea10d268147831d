//! What callers send and see on virtual time.

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

/// Time that callers wait, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
/// Size of the filler in a response, in bytes.
pub(super) const BODY_BYTES: usize = 64;
/// Attempts that a caller makes for one request.
const ATTEMPTS_MAX: u32 = 4;

/// A request of a caller, in all its attempts.
#[derive(Clone, Debug)]
pub(super) struct Order {
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
    /// Attempt and order of each request that an entry host has open.
    pub(super) open: HashMap<(usize, u32, RequestId), (usize, Order)>,
    requests: u64,
}

impl Traffic {
    /// Makes a request; a charge gets a key of the present time.
    pub(super) fn order(
        &mut self,
        random: &mut ChaCha8Rng,
        unix_ms: u64,
        is_charge: bool,
        urgency: Urgency,
    ) -> Order {
        self.requests += 1;
        let key = is_charge
            .then(|| Builder::from_unix_timestamp_millis(unix_ms, &random.random()).into_uuid());
        let caller = CALLERS[random.random_range(0..CALLERS.len())];
        Order { request: self.requests, caller, urgency, key, attempts: 0 }
    }

    /// Begins an attempt and returns its index and the HTTP request.
    pub(super) fn begin(&mut self, order: &Order, now_ms: u64) -> (usize, CallerRequest) {
        let attempt = self.attempts.len();
        let key = order.key.map(|key| key.to_string());
        self.attempts.push(AttemptRecord {
            caller: order.caller.into(),
            service: ServiceId::new(ORDERS),
            urgency: order.urgency,
            request: order.request,
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
        set(header::AUTHORIZATION, format!("Bearer {}", token_of(order.caller)));
        set(header::HeaderName::from_static("tamarack-deadline-ms"), DEADLINE_MS.to_string());
        set(header::HeaderName::from_static(ATTEMPT_HEADER), attempt.to_string());
        let priority = match order.urgency {
            Urgency::Urgent => "u=0",
            Urgency::Normal => "u=3",
            Urgency::Bulk => "u=6",
        };
        set(header::HeaderName::from_static("priority"), priority.to_owned());
        if let Some(key) = key {
            set(header::HeaderName::from_static("idempotency-key"), key);
        }
        let received = CallerRequest {
            method: if order.key.is_some() { Method::POST } else { Method::GET },
            service: ORDERS.into(),
            path: echo_path(order.request, BODY_BYTES).into(),
            headers,
            body: bytes::Bytes::new(),
        };
        (attempt, received)
    }

    /// Ends an attempt; tells whether the caller tries again.
    pub(super) fn end(
        &mut self,
        attempt: usize,
        order: &Order,
        now_ms: u64,
        end: AttemptEnd,
    ) -> bool {
        let record = &mut self.attempts[attempt];
        record.ended_ms = Some(now_ms);
        record.end = end;
        end.outcome() != Some(Outcome::Answered) && order.attempts + 1 < ATTEMPTS_MAX
    }
}
