//! HTTP interface for operators, health checks and metrics.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde::Serialize;
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{observability::render_metrics, protocol::admin::AdminProblem};

/// Largest body of an operator's request, in bytes; enough for a whole document in
/// JSON.
const BODY_MAX_BYTES: usize = 2 << 20;

/// An operator's request.
#[derive(Debug)]
pub(crate) struct AdminRequest {
    pub(crate) method: Method,
    /// Path without the query.
    pub(crate) path: Box<str>,
    pub(crate) query: Box<str>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl AdminRequest {
    /// Returns the value of a numeric query parameter.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
    }
}

/// The response to an operator.
#[derive(Clone, Debug)]
pub(crate) struct AdminResponse {
    pub(crate) status: StatusCode,
    pub(crate) content_type: &'static str,
    pub(crate) body: Bytes,
}

impl AdminResponse {
    pub(crate) fn json<B>(body: &B) -> Self
    where
        B: Serialize,
    {
        match serde_json::to_vec(body) {
            Ok(body) => {
                Self { status: StatusCode::OK, content_type: "application/json", body: body.into() }
            }
            Err(error) => {
                let detail = format!("the response cannot be encoded: {error}");
                Self::problem(StatusCode::INTERNAL_SERVER_ERROR, "encoding-failed", &detail)
            }
        }
    }

    pub(crate) fn problem(status: StatusCode, kind: &str, detail: &str) -> Self {
        let problem = AdminProblem {
            kind: format!("urn:tamarackproxy:problem:{kind}").into(),
            title: kind.replace('-', " ").into(),
            status: status.as_u16(),
            detail: detail.into(),
        };
        Self { status, content_type: "application/problem+json", ..Self::json(&problem) }
    }

    fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { status, content_type: "text/plain; charset=utf-8", body: body.into() }
    }

    fn unavailable() -> Self {
        let detail = "the entry host is stopping; ask another one";
        Self::problem(StatusCode::SERVICE_UNAVAILABLE, "stopping", detail)
    }
}

/// Events that the server passes to the event loop.
pub(crate) enum AdminInput {
    /// An operator's request.
    Request { request: Box<AdminRequest>, reply: oneshot::Sender<AdminResponse> },
    /// Asks whether the entry host takes requests.
    Readiness { reply: oneshot::Sender<bool> },
}

#[derive(Clone)]
struct AdminHandler {
    inputs: mpsc::Sender<AdminInput>,
    receive_timeout: Duration,
}

/// Creates the router of the administration port.
pub(crate) fn admin_router(inputs: mpsc::Sender<AdminInput>, receive_timeout: Duration) -> Router {
    let handler = AdminHandler { inputs, receive_timeout };
    Router::new().push(Router::with_path("{**rest}").goal(handler))
}

#[async_trait]
impl Handler for AdminHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let response = match req.uri().path() {
            "/healthz" => AdminResponse::text(StatusCode::OK, "ok\n"),
            "/readyz" => self.readiness().await,
            "/metrics" => AdminResponse::text(StatusCode::OK, render_metrics()),
            _ => self.submit(req).await,
        };
        res.status_code(response.status);
        let content_type = HeaderValue::from_static(response.content_type);
        res.headers_mut().insert(header::CONTENT_TYPE, content_type);
        res.body(response.body);
    }
}

impl AdminHandler {
    async fn readiness(&self) -> AdminResponse {
        let (reply, ready) = oneshot::channel();
        let sent = self.inputs.send(AdminInput::Readiness { reply }).await;
        match (sent, ready.await) {
            (Ok(()), Ok(true)) => AdminResponse::text(StatusCode::OK, "ready\n"),
            _ => AdminResponse::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    async fn submit(&self, req: &mut Request) -> AdminResponse {
        let body = Limited::new(req.take_body(), BODY_MAX_BYTES);
        let Ok(Ok(body)) = timeout(self.receive_timeout, body.collect()).await else {
            let detail = "the body is larger than 2 MiB or did not arrive in time; send it again";
            return AdminResponse::problem(StatusCode::BAD_REQUEST, "bad-body", detail);
        };
        let request = AdminRequest {
            method: req.method().clone(),
            path: req.uri().path().into(),
            query: req.uri().query().unwrap_or_default().into(),
            headers: req.headers().clone(),
            body: body.to_bytes(),
        };
        let (reply, response) = oneshot::channel();
        let input = AdminInput::Request { request: Box::new(request), reply };
        if self.inputs.send(input).await.is_err() {
            return AdminResponse::unavailable();
        }
        response.await.unwrap_or_else(|_| AdminResponse::unavailable())
    }
}
