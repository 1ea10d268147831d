//! HTTP server of the platform.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use tamarackproxy::{protocol::caller::IDEMPOTENCY_KEY_HEADER, state::ids::HostId};

use super::{
    state::{PlatformState, RebootAnswer},
    tasks::{self, TASKS_PREFIX},
};
use crate::{
    clock::Clock,
    net::{Body, Handler, Server, ServerOptions, full_body},
};

/// Largest request body of a task call, in bytes.
const TASK_BODY_MAX_BYTES: usize = 64 << 10;
/// Interval between checks for completed reboots, in milliseconds.
const ADVANCE_INTERVAL_MS: u64 = 20;

/// A running platform; dropping it stops the platform.
pub struct PlatformServer {
    server: Server,
    state: Arc<Mutex<PlatformState>>,
}

impl PlatformServer {
    /// Starts the platform on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address is in use.
    pub async fn start(
        state: PlatformState,
        address: SocketAddr,
        clock: Clock,
    ) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(state));
        let service = PlatformService { state: state.clone(), clock };
        let server = Server::start(address, ServerOptions::default(), service).await?;
        tokio::spawn(advance(Arc::downgrade(&state), clock));
        Ok(Self { server, state })
    }

    /// Returns the address of the interface.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes and refuses all connections, or accepts them again.
    pub fn set_down(&self, down: bool) {
        self.server.set_open(!down);
    }
}

async fn advance(state: Weak<Mutex<PlatformState>>, clock: Clock) {
    loop {
        tokio::time::sleep(Duration::from_millis(ADVANCE_INTERVAL_MS)).await;
        let Some(state) = state.upgrade() else { return };
        state.lock().unwrap_or_else(PoisonError::into_inner).advance(clock.now_ms());
    }
}

#[derive(Clone)]
struct PlatformService {
    state: Arc<Mutex<PlatformState>>,
    clock: Clock,
}

impl Handler for PlatformService {
    async fn handle(
        &self,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> io::Result<Response<Body>> {
        let now_ms = self.clock.now_ms();
        if request.uri().path().starts_with(TASKS_PREFIX) {
            let (head, body) = request.into_parts();
            let body = Limited::new(body, TASK_BODY_MAX_BYTES).collect().await;
            let body = body.map_err(io::Error::other)?.to_bytes();
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let answer = tasks::serve(&mut state, now_ms, &head.method, head.uri.path(), &body);
            return Ok(reply(answer.status, answer.body));
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let path = request.uri().path();
        if request.method() == Method::GET && path == "/v1/hosts" {
            let list = serde_json::to_vec(&state.list(now_ms)).map_err(io::Error::other)?;
            return Ok(reply(StatusCode::OK, list));
        }
        let host = path.strip_prefix("/v1/hosts/").and_then(|rest| rest.strip_suffix("/reboot"));
        let host = host.and_then(|host| host.parse::<HostId>().ok());
        let (&Method::POST, Some(host)) = (request.method(), host) else {
            return Ok(reply(StatusCode::NOT_FOUND, Bytes::new()));
        };
        let key = request.headers().get(IDEMPOTENCY_KEY_HEADER);
        let Some(key) = key.and_then(|key| key.to_str().ok()) else {
            return Ok(reply(StatusCode::BAD_REQUEST, Bytes::new()));
        };
        let status = match state.reboot(now_ms, &host, key) {
            RebootAnswer::Accepted => StatusCode::ACCEPTED,
            RebootAnswer::UnknownHost => StatusCode::NOT_FOUND,
            RebootAnswer::NotRunning => StatusCode::CONFLICT,
        };
        Ok(reply(status, Bytes::new()))
    }
}

fn reply<B>(status: StatusCode, body: B) -> Response<Body>
where
    B: Into<Bytes>,
{
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}
