//! Handling of a caller's request after its body has been read: routing, the
//! check of the key, decoding, and the choice between serving the request here
//! and forwarding it.

use std::rc::Rc;

use bytes::Bytes;
use http::Method;
use tamarackproxy::state::ids::AccountId;

use super::{
    callers::{CallerRequest, CallerResponse, RETRY_AFTER_MS, RequestError, serve},
    forward::{self, Own},
    platform::{Platform, RequestHead},
    shared::Shared,
};
use crate::{
    coordination::{
        access::{self, AccessError, Caller},
        forwarding::RequestKind,
        request_memory::{BodyError, ByteCount, Reservation},
    },
    state::CallerKey,
};

/// Retry delay sent to callers while no configuration is in force, in
/// milliseconds.
const NO_CONFIGURATION_RETRY_MS: u64 = 1_000;

/// A caller's request whose body has been read.
pub(super) struct ReceivedRequest<'a> {
    pub(super) method: &'a Method,
    /// Host name that the caller addressed, without port.
    pub(super) authority: &'a str,
    /// Path without query.
    pub(super) path: &'a str,
    pub(super) key: Option<CallerKey>,
    /// Request id that the caller chose, for logs.
    pub(super) request_id: &'a str,
    pub(super) body: Bytes,
    /// When the head arrived, in milliseconds on the local clock.
    pub(super) received_ms: u64,
    /// How long the caller waits, in milliseconds, if it says so.
    pub(super) timeout_ms: Option<u64>,
}

/// Response to a caller, with the client account that the request acts for.
pub(super) struct Answer {
    pub(super) account: Option<AccountId>,
    pub(super) response: CallerResponse,
}

impl From<CallerResponse> for Answer {
    fn from(response: CallerResponse) -> Self {
        Self { account: None, response }
    }
}

impl From<RequestError> for Answer {
    fn from(error: RequestError) -> Self {
        CallerResponse::Refused(error).into()
    }
}

/// Reasons why a request is not decoded here.
enum NotDecoded {
    /// No configuration is in force.
    NoConfiguration,
    /// The configuration may be outdated, so that the key cannot be checked.
    Unconfirmed,
    /// The request is rejected.
    Refused { account: Option<AccountId>, error: RequestError },
}

impl From<RequestError> for NotDecoded {
    fn from(error: RequestError) -> Self {
        Self::Refused { account: None, error }
    }
}

/// Answers a request that a caller has sent to this process; forwards it if this
/// process cannot serve it.
pub(super) async fn answer<P>(shared: &Rc<Shared<P>>, request: &ReceivedRequest<'_>) -> Answer
where
    P: Platform,
{
    match decode(shared, request) {
        Ok((caller, decoded)) => {
            let Ok(_memory) = reserve(shared, &decoded) else {
                return rejection(request.method).into();
            };
            let response = serve_or_forward(shared, &caller, decoded, request).await;
            Answer { account: caller.account().cloned(), response }
        }
        Err(NotDecoded::Refused { account, error }) => {
            Answer { account, response: CallerResponse::Refused(error) }
        }
        Err(NotDecoded::NoConfiguration) => {
            let retry_after_ms = NO_CONFIGURATION_RETRY_MS;
            let own = CallerResponse::NotAccepted { retry_after_ms };
            forward::forward(shared, kind_of(request.method), request, own).await.into()
        }
        Err(NotDecoded::Unconfirmed) => {
            let own = rejection(request.method);
            forward::forward(shared, kind_of(request.method), request, own).await.into()
        }
    }
}

/// Answers a request that another process has forwarded, without forwarding it
/// again; none if this process does not reach the store or cannot check keys.
pub(super) async fn answer_forwarded<P>(
    shared: &Rc<Shared<P>>,
    request: &ReceivedRequest<'_>,
) -> Option<Answer>
where
    P: Platform,
{
    if !shared.store_is_reachable() {
        return None;
    }
    match decode(shared, request) {
        Ok((caller, decoded)) => {
            let Ok(_memory) = reserve(shared, &decoded) else {
                return Some(rejection(request.method).into());
            };
            let response = serve(shared, &caller, decoded, request.timeout_ms).await;
            Some(Answer { account: caller.account().cloned(), response })
        }
        Err(NotDecoded::Refused { account, error }) => {
            Some(Answer { account, response: CallerResponse::Refused(error) })
        }
        Err(NotDecoded::NoConfiguration | NotDecoded::Unconfirmed) => None,
    }
}

/// Finds the queue, checks the key and decodes a request.
fn decode<P>(
    shared: &Shared<P>,
    request: &ReceivedRequest<'_>,
) -> Result<(Caller, CallerRequest), NotDecoded>
where
    P: Platform,
{
    // The configuration is read after the body, so that a slow request is not
    // handled with an outdated configuration.
    let document = shared.document().ok_or(NotDecoded::NoConfiguration)?;
    let route = document.route(request.authority, request.path);
    let (queue, path) = route.ok_or(RequestError::NoSuchQueue)?;
    let key = request.key.as_ref().map(|key| shared.platform.key_digest(key));
    let caller = access::check(&document, queue, key.as_ref(), shared.configuration_age());
    let caller = caller.map_err(|error| match error {
        AccessError::Unauthorized => RequestError::Unauthorized.into(),
        AccessError::Unconfirmed => NotDecoded::Unconfirmed,
    })?;
    let head = RequestHead { method: request.method, path };
    match shared.platform.decode_request(&document, queue, head, &request.body) {
        Ok(decoded) => Ok((caller, decoded)),
        Err(error) => Err(NotDecoded::Refused { account: caller.account().cloned(), error }),
    }
}

/// Reserves the memory that a decoded request takes beside its body.
fn reserve<P>(shared: &Shared<P>, decoded: &CallerRequest) -> Result<Reservation, BodyError> {
    let extra = match decoded {
        CallerRequest::Submit { spec, .. } => spec.steps_bytes(),
        _ => 0,
    };
    let reservation = shared.request_memory.reserve(ByteCount(extra));
    if reservation.is_err() {
        metrics::counter!("request_bodies_rejected").increment(1);
    }
    reservation
}

/// Serves a request, and forwards it if the store does not answer in time.
async fn serve_or_forward<P>(
    shared: &Rc<Shared<P>>,
    caller: &Caller,
    decoded: CallerRequest,
    request: &ReceivedRequest<'_>,
) -> CallerResponse
where
    P: Platform,
{
    let kind = match decoded {
        CallerRequest::Submit { .. } => RequestKind::Submit,
        CallerRequest::Cancel { .. } => RequestKind::Cancel,
        CallerRequest::State { .. } | CallerRequest::CountWaiting { .. } => RequestKind::Read,
    };
    let own = Own { was_reachable: shared.store_is_reachable(), kind };
    let response = serve(shared, caller, decoded, request.timeout_ms);
    forward::serve_with_peers(shared, own, request, response).await
}

/// Returns the response to a request that was not handled and can be sent again.
pub(super) fn rejection(method: &Method) -> CallerResponse {
    let retry_after_ms = RETRY_AFTER_MS;
    match kind_of(method) {
        RequestKind::Submit => CallerResponse::NotAccepted { retry_after_ms },
        RequestKind::Cancel | RequestKind::Read => CallerResponse::Unavailable { retry_after_ms },
    }
}

/// Returns what a request that is not decoded asks for.
fn kind_of(method: &Method) -> RequestKind {
    match *method {
        Method::POST => RequestKind::Submit,
        Method::DELETE => RequestKind::Cancel,
        _ => RequestKind::Read,
    }
}
