//! HTTP interface for callers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    protocol::{
        caller::{OUTCOME_HEADER, Outcome, REQUEST_BODY_MAX_BYTES, Refusal},
        http::CallerRequest,
    },
    state::ids::RequestId,
};

/// The response to a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerResponse {
    pub(crate) outcome: Outcome,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl CallerResponse {
    /// Creates a response with a problem document (RFC 9457).
    pub(crate) fn refused(
        refusal: &Refusal,
        outcome: Outcome,
        retry_after_ms: Option<u64>,
    ) -> Self {
        let mut headers = HeaderMap::new();
        let problem = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, problem);
        if let Some(delay_ms) = retry_after_ms {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(delay_ms.div_ceil(1_000).max(1)));
        }
        let body = refusal.problem(outcome).to_string().into();
        Self { outcome, status: refusal.status(), headers, body }
    }
}

/// Events that the server passes to the event loop.
pub(crate) enum CallerInput {
    /// A request arrived.
    Request {
        request: RequestId,
        received: Box<CallerRequest>,
        reply: oneshot::Sender<CallerResponse>,
    },
    /// The caller disconnected before its response.
    Gone { request: RequestId },
}

/// Path prefix of callers' requests.
const CALL_PREFIX: &str = "/call/";

#[derive(Clone)]
struct CallHandler {
    inputs: mpsc::Sender<CallerInput>,
    next_request: Arc<AtomicU64>,
    receive_timeout: Duration,
}

/// When dropped, informs the event loop that the caller disconnected, unless it
/// was answered.
struct DisconnectGuard {
    request: RequestId,
    inputs: mpsc::Sender<CallerInput>,
    is_answered: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.is_answered {
            let gone = CallerInput::Gone { request: self.request };
            let inputs = self.inputs.clone();
            if let Err(mpsc::error::TrySendError::Full(gone)) = inputs.try_send(gone)
                && let Ok(runtime) = tokio::runtime::Handle::try_current()
            {
                runtime.spawn(async move { inputs.send(gone).await });
            }
        }
    }
}

/// Creates the router of the callers' interface.
pub(crate) fn caller_router(
    inputs: mpsc::Sender<CallerInput>,
    next_request: Arc<AtomicU64>,
    receive_timeout: Duration,
) -> Router {
    let handler = CallHandler { inputs, next_request, receive_timeout };
    Router::new().push(Router::with_path("{**rest}").goal(handler))
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let response = match self.receive(req).await {
            Ok(received) => self.submit(received).await,
            Err(refusal) => CallerResponse::refused(&refusal, Outcome::NotRun, None),
        };
        write(res, response);
    }
}

impl CallHandler {
    async fn receive(&self, req: &mut Request) -> Result<Box<CallerRequest>, Refusal> {
        let target = req.uri().path_and_query().map_or("", |target| target.as_str());
        let target = target.strip_prefix(CALL_PREFIX).ok_or(Refusal::UnknownService)?;
        let end = target.find(['/', '?']).unwrap_or(target.len());
        let (service, rest) = target.split_at(end);
        let path = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
        let service = service.into();
        let body = self.body(req).await?;
        Ok(Box::new(CallerRequest {
            method: req.method().clone(),
            service,
            path: path.into(),
            headers: req.headers().clone(),
            body,
        }))
    }

    async fn body(&self, req: &mut Request) -> Result<Bytes, Refusal> {
        let too_large = || Refusal::BodyTooLarge(REQUEST_BODY_MAX_BYTES);
        let declared = req.headers().get(header::CONTENT_LENGTH);
        let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
        if declared.is_some_and(|declared| declared > REQUEST_BODY_MAX_BYTES) {
            return Err(too_large());
        }
        let body = Limited::new(req.take_body(), REQUEST_BODY_MAX_BYTES);
        let received = timeout(self.receive_timeout, body.collect()).await.map_err(|_| {
            Refusal::Malformed("the body did not arrive in time; send it without pauses".into())
        })?;
        received.map(|body| body.to_bytes()).map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                too_large()
            } else {
                Refusal::Malformed("the body ended early; send all of it".into())
            }
        })
    }

    async fn submit(&self, received: Box<CallerRequest>) -> CallerResponse {
        let request = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let (reply, response) = oneshot::channel();
        let stopping = || CallerResponse::refused(&Refusal::Stopping, Outcome::NotRun, Some(1_000));
        let input = CallerInput::Request { request, received, reply };
        if self.inputs.send(input).await.is_err() {
            return stopping();
        }
        let inputs = self.inputs.clone();
        let mut guard = DisconnectGuard { request, inputs, is_answered: false };
        let response = response.await;
        guard.is_answered = true;
        // The event loop ended while it had the request, which may have run.
        let lost = || CallerResponse::refused(&Refusal::OutcomeLost, Outcome::Unknown, None);
        response.unwrap_or_else(|_| lost())
    }
}

fn write(res: &mut Response, response: CallerResponse) {
    res.status_code(response.status);
    *res.headers_mut() = response.headers;
    let outcome: &'static str = response.outcome.into();
    res.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    res.body(response.body);
}
