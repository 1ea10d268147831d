//! HTTP/1.1 client of targets: one request at a time on each connection.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use crate::{
    coordination::requests::AttemptResult,
    protocol::{
        caller::{OUTCOME_HEADER, Outcome, RESPONSE_BODY_MAX_BYTES},
        http::{TargetRequest, TargetResponse},
    },
};

/// Idle connections kept for one target; about one seat's share of its slots.
const IDLE_CONNECTIONS: usize = 8;

type Connection = SendRequest<Full<Bytes>>;

/// HTTP client that keeps a few idle connections to each target.
///
/// A connection is reused only after a complete response was read from it, so a
/// late response cannot be taken for that of the next request.
#[derive(Clone, Default)]
pub struct TargetClient {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
    resets_on_close: bool,
}

enum SendFailure {
    NotSent,
    Lost,
}

impl TargetClient {
    /// Resets connections when they are closed, so that a request which was
    /// abandoned is not delivered once an interrupted path works again.
    #[must_use]
    pub fn with_reset_on_close(mut self) -> Self {
        self.resets_on_close = true;
        self
    }

    /// Sends a request and reads the complete response within `time_limit`.
    ///
    /// Dropping the future closes the connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: TargetRequest,
        time_limit: Duration,
    ) -> (AttemptResult, Option<TargetResponse>) {
        self.send_if(address, request, time_limit, || true).await
    }

    /// Sends a request like [`send`](Self::send), unless `may_send` returns
    /// false when the connection is ready and nothing has been written yet.
    pub async fn send_if<F>(
        &self,
        address: SocketAddr,
        request: TargetRequest,
        time_limit: Duration,
        may_send: F,
    ) -> (AttemptResult, Option<TargetResponse>)
    where
        F: Fn() -> bool,
    {
        let mut may_be_sent = false;
        let attempt = self.attempt(address, request, may_send, &mut may_be_sent);
        let attempt = timeout(time_limit, attempt).await;
        match attempt {
            Ok(Ok(response)) => classify(response),
            Ok(Err(SendFailure::NotSent)) => (AttemptResult::NotSent, None),
            Ok(Err(SendFailure::Lost)) => (AttemptResult::Lost, None),
            Err(_) if may_be_sent => (AttemptResult::TimedOut, None),
            Err(_) => (AttemptResult::NotSent, None),
        }
    }

    async fn attempt<F>(
        &self,
        address: SocketAddr,
        request: TargetRequest,
        may_send: F,
        may_be_sent: &mut bool,
    ) -> Result<TargetResponse, SendFailure>
    where
        F: Fn() -> bool,
    {
        let mut connection = self.connection(address, request.repeatable).await?;
        let request = build(address, request)?;
        if !may_send() {
            self.keep_idle(address, connection);
            return Err(SendFailure::NotSent);
        }
        *may_be_sent = true;
        let response = connection.try_send_request(request).await.map_err(|mut error| {
            // hyper returns the request only if no byte of it was written.
            match error.take_message() {
                Some(_) => SendFailure::NotSent,
                None => SendFailure::Lost,
            }
        })?;
        let closes = closes_connection(response.headers());
        let response = read_complete(response).await?;
        if !closes {
            self.keep_idle(address, connection);
        }
        Ok(response)
    }

    async fn connection(
        &self,
        address: SocketAddr,
        may_be_idle: bool,
    ) -> Result<Connection, SendFailure> {
        let idle = if may_be_idle { self.idle_connection(address).await } else { None };
        match idle {
            Some(idle) => Ok(idle),
            None => self.connect(address).await,
        }
    }

    async fn idle_connection(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let mut idle = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            if !idle.is_closed() && idle.ready().await.is_ok() {
                return Some(idle);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, SendFailure> {
        let stream = TcpStream::connect(address).await.map_err(|_| SendFailure::NotSent)?;
        stream.set_nodelay(true).map_err(|_| SendFailure::NotSent)?;
        if self.resets_on_close {
            stream.set_zero_linger().map_err(|_| SendFailure::NotSent)?;
        }
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| SendFailure::NotSent)?;
        tokio::task::spawn_local(connection);
        Ok(sender)
    }

    fn keep_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Closes idle connections to addresses for which `keep` returns false.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&SocketAddr) -> bool,
    {
        self.idle.borrow_mut().retain(|address, _| keep(address));
    }

    /// Checks the health of an instance with a GET of `/healthz`.
    pub(crate) async fn is_healthy(&self, address: SocketAddr, time_limit: Duration) -> bool {
        let request = TargetRequest {
            method: Method::GET,
            path: Uri::from_static("/healthz"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            repeatable: true,
        };
        let (_, response) = self.send(address, request, time_limit).await;
        response.is_some_and(|response| response.status.is_success())
    }
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values.filter_map(|value| value.to_str().ok()).any(|value| value.eq_ignore_ascii_case("close"))
}

fn classify(response: TargetResponse) -> (AttemptResult, Option<TargetResponse>) {
    let leaving = closes_connection(&response.headers);
    let outcome = response.headers.get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
    let refused = outcome.and_then(|value| value.parse().ok()) == Some(Outcome::NotRun);
    if response.status == StatusCode::SERVICE_UNAVAILABLE && refused {
        return (AttemptResult::RefusedBeforeStart { leaving }, None);
    }
    let status = response.status.as_u16();
    (AttemptResult::Answered { status, leaving }, Some(response))
}

fn build(address: SocketAddr, request: TargetRequest) -> Result<Request<Full<Bytes>>, SendFailure> {
    let mut built = Request::new(Full::from(request.body));
    *built.method_mut() = request.method;
    *built.uri_mut() = request.path;
    *built.headers_mut() = request.headers;
    let host = address.to_string().parse().map_err(|_| SendFailure::NotSent)?;
    built.headers_mut().insert(header::HOST, host);
    Ok(built)
}

/// Returns whether a truncated body can be distinguished from a complete one.
fn has_declared_end(status: StatusCode, headers: &HeaderMap) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads the body to its declared end; hyper returns an error if the body ends
/// before its `Content-Length` or its last chunk.
async fn read_complete(response: Response<Incoming>) -> Result<TargetResponse, SendFailure> {
    let (parts, body) = response.into_parts();
    if !has_declared_end(parts.status, &parts.headers) {
        return Err(SendFailure::Lost);
    }
    let body = Limited::new(body, RESPONSE_BODY_MAX_BYTES);
    let body = body.collect().await.map_err(|_| SendFailure::Lost)?.to_bytes();
    Ok(TargetResponse { status: parts.status, headers: parts.headers, body })
}
