//! HTTP server of the store, with one listener per data centre.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tamarackproxy::state::ids::DataCentreId;
use tokio::sync::watch;

use super::{
    faults::ReplyDelivery,
    gateway::{
        self, GatewayError, LeaseRequest, RangeRequest, TxnRequest, WatchCreate, WatchRequest,
    },
    state::{Change, StoreSnapshot, StoreState},
};
use crate::{
    clock::Clock,
    net::{Body, BodySender, Handler, Server, ServerOptions, channel_body, full_body},
};

/// Largest request body that the store reads, in bytes: enough for a value of
/// 1 MB in base64 with its JSON envelope.
const BODY_MAX_BYTES: usize = 2 << 20;
/// Interval between checks for expired leases, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 100;

/// A running store; dropping it stops the store.
#[derive(Debug)]
pub struct StoreServer {
    handle: StoreHandle,
    listeners: Vec<(DataCentreId, Server)>,
}

/// Handle to a running store that can be used from any thread.
#[derive(Clone, Debug)]
pub struct StoreHandle {
    state: Arc<Mutex<StoreState>>,
    clock: Clock,
    /// Number of restores; sent at each change, to wake the watches.
    changed: watch::Sender<u64>,
}

impl StoreHandle {
    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time on the store's clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Writes a key without counting a call.
    pub fn put(&self, key: &str, value: Bytes) {
        let now_ms = self.now_ms();
        // Without a lease the write cannot fail.
        let _ = self.state().put(now_ms, key.as_bytes(), value, None);
        self.wake_watches();
    }

    /// Restores an older state and ends all watches.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        self.state().restore(snapshot);
        self.wake_watches();
    }

    fn wake_watches(&self) {
        let restores = self.state().restores();
        self.changed.send_replace(restores);
    }
}

impl StoreServer {
    /// Starts one listener per data centre on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if an address is in use.
    pub async fn start(
        state: StoreState,
        addresses: &[(DataCentreId, SocketAddr)],
        clock: Clock,
    ) -> io::Result<Self> {
        let handle = StoreHandle {
            state: Arc::new(Mutex::new(state)),
            clock,
            changed: watch::Sender::new(0),
        };
        let mut listeners = Vec::new();
        for (data_centre, address) in addresses {
            let service = StoreService { handle: handle.clone() };
            let server = Server::start(*address, ServerOptions::default(), service).await?;
            listeners.push((data_centre.clone(), server));
        }
        tokio::spawn(expire_leases(Arc::downgrade(&handle.state), handle.changed.clone(), clock));
        Ok(Self { handle, listeners })
    }

    /// Returns a handle to the store.
    pub fn handle(&self) -> StoreHandle {
        self.handle.clone()
    }

    /// Returns the address for clients of the data centre.
    pub fn address(&self, data_centre: &DataCentreId) -> Option<SocketAddr> {
        let listener = self.listeners.iter().find(|(name, _)| name == data_centre)?;
        Some(listener.1.address())
    }

    /// Closes and refuses all connections, or accepts them again.
    pub fn set_down(&self, down: bool) {
        self.handle.state().faults.down = down;
        self.apply_reachability();
    }

    /// Partitions a data centre from the store, or reconnects it.
    pub fn set_partitioned(&self, data_centre: &DataCentreId, partitioned: bool) {
        {
            let faults = &mut self.handle.state().faults;
            if partitioned {
                faults.partitioned.insert(data_centre.clone());
            } else {
                faults.partitioned.remove(data_centre);
            }
        }
        self.apply_reachability();
    }

    fn apply_reachability(&self) {
        let state = self.handle.state();
        for (data_centre, listener) in &self.listeners {
            listener
                .set_open(!state.faults.down && !state.faults.partitioned.contains(data_centre));
        }
    }
}

/// Ends expired leases until the store is dropped.
async fn expire_leases(state: Weak<Mutex<StoreState>>, changed: watch::Sender<u64>, clock: Clock) {
    loop {
        tokio::time::sleep(Duration::from_millis(EXPIRY_INTERVAL_MS)).await;
        let Some(state) = state.upgrade() else { return };
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let revision = state.revision();
        state.expire(clock.now_ms());
        if state.revision() != revision {
            changed.send_replace(state.restores());
        }
    }
}

#[derive(Clone)]
struct StoreService {
    handle: StoreHandle,
}

impl Handler for StoreService {
    async fn handle(
        &self,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> io::Result<Response<Body>> {
        let delay_ms = self.handle.state().faults.delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if request.method() != Method::POST {
            return Ok(error_response(&GatewayError::no_such_call()));
        }
        let path: Box<str> = request.uri().path().into();
        let body = Limited::new(request.into_body(), BODY_MAX_BYTES)
            .collect()
            .await
            .map_err(io::Error::other)?
            .to_bytes();
        match self.serve(&path, &body) {
            Ok(Served::Reply(value)) => Ok(json_response(StatusCode::OK, &value)),
            Ok(Served::ReplyLost) => Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(Served::Watch(body)) => Ok(Response::new(body)),
            Err(error) => Ok(error_response(&error)),
        }
    }
}

enum Served {
    Reply(Value),
    ReplyLost,
    Watch(Body),
}

impl StoreService {
    fn serve(&self, path: &str, body: &[u8]) -> Result<Served, GatewayError> {
        let writes = matches!(path, "/v3/kv/txn" | "/v3/kv/deleterange");
        let now_ms = self.handle.now_ms();
        let mut state = self.handle.state();
        let admitted = if writes { state.admit_write(now_ms) } else { state.admit_read(now_ms) };
        if !admitted {
            return Err(GatewayError::throttled());
        }
        state.expire(now_ms);
        let revision = state.revision();
        let reply = match path {
            "/v3/kv/range" => {
                state.counts_mut().ranges += 1;
                gateway::range(&state, &parse::<RangeRequest>(body)?)
            }
            "/v3/kv/txn" => {
                state.counts_mut().swaps += 1;
                gateway::transaction(&mut state, now_ms, parse::<TxnRequest>(body)?)?
            }
            "/v3/kv/deleterange" => delete_range(&mut state, now_ms, &parse(body)?),
            "/v3/lease/grant" => grant(&mut state, now_ms, &parse(body)?),
            "/v3/lease/keepalive" => keep_alive(&mut state, now_ms, &parse(body)?),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                revoke(&mut state, now_ms, &parse(body)?)?
            }
            "/v3/watch" => {
                state.counts_mut().watches += 1;
                drop(state);
                return Ok(Served::Watch(self.watch(parse::<WatchRequest>(body)?.create_request)));
            }
            _ => return Err(GatewayError::no_such_call()),
        };
        let effective = state.revision() != revision;
        let lost = effective && state.decide_reply_delivery() == ReplyDelivery::Lost;
        drop(state);
        if effective {
            self.handle.wake_watches();
        }
        Ok(if lost { Served::ReplyLost } else { Served::Reply(reply) })
    }

    fn watch(&self, create: WatchCreate) -> Body {
        let (sender, body) = channel_body();
        let waiting = WaitingWatch::new(self.handle.clone());
        tokio::spawn(run_watch(waiting, create, sender));
        body
    }
}

fn parse<T>(body: &[u8]) -> Result<T, GatewayError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| GatewayError::invalid(error.to_string()))
}

fn delete_range(state: &mut StoreState, now_ms: u64, request: &RangeRequest) -> Value {
    state.counts_mut().deletes += 1;
    let deleted = state.delete(now_ms, &request.key.0, &request.range_end.0);
    let mut reply = json!({ "header": gateway::header(state) });
    if deleted > 0 {
        reply["deleted"] = deleted.to_string().into();
    }
    reply
}

fn grant(state: &mut StoreState, now_ms: u64, request: &LeaseRequest) -> Value {
    state.counts_mut().lease_calls += 1;
    let id = state.grant(now_ms, request.ttl_s.0.saturating_mul(1_000));
    json!({
        "header": gateway::header(state),
        "ID": id.to_string(),
        "TTL": request.ttl_s.0.to_string(),
    })
}

fn keep_alive(state: &mut StoreState, now_ms: u64, request: &LeaseRequest) -> Value {
    state.counts_mut().lease_calls += 1;
    let renewed = state.keep_alive(now_ms, request.id.0);
    let mut result = json!({ "header": gateway::header(state), "ID": request.id.0.to_string() });
    if let Some(ttl_ms) = renewed {
        result["TTL"] = (ttl_ms / 1_000).to_string().into();
    }
    json!({ "result": result })
}

fn revoke(
    state: &mut StoreState,
    now_ms: u64,
    request: &LeaseRequest,
) -> Result<Value, GatewayError> {
    state.counts_mut().lease_calls += 1;
    if state.revoke(now_ms, request.id.0) {
        Ok(json!({ "header": gateway::header(state) }))
    } else {
        Err(GatewayError::lease_not_found())
    }
}

fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = Response::new(full_body(value.to_string()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    response
}

fn error_response(error: &GatewayError) -> Response<Body> {
    let status = StatusCode::from_u16(error.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    json_response(status, &json!(error))
}

/// Counts a watch as open until it is dropped.
struct WaitingWatch {
    handle: StoreHandle,
}

impl WaitingWatch {
    fn new(handle: StoreHandle) -> Self {
        {
            let mut state = handle.state();
            let counts = state.counts_mut();
            counts.waiting_watches += 1;
            counts.waiting_watches_max = counts.waiting_watches_max.max(counts.waiting_watches);
        }
        Self { handle }
    }
}

impl Drop for WaitingWatch {
    fn drop(&mut self) {
        self.handle.state().counts_mut().waiting_watches -= 1;
    }
}

/// Sends the changes of one watch until its client disconnects or the store is
/// restored.
async fn run_watch(waiting: WaitingWatch, create: WatchCreate, sender: BodySender) {
    let handle = &waiting.handle;
    let mut changed = handle.changed.subscribe();
    let restores = handle.state().restores();
    let (created, present) = {
        let state = handle.state();
        (gateway::watch_created(&state), state.revision())
    };
    if sender.send(Ok(created)).await.is_err() {
        return;
    }
    let mut next = match create.start_revision.0 {
        0 => present + 1,
        start => start,
    };
    loop {
        let (changes, revision) = {
            let state = handle.state();
            if state.restores() != restores {
                return;
            }
            (
                state.changes_from(next).map_err(|at| gateway::watch_compacted(&state, at)),
                state.revision(),
            )
        };
        let changes = match changes {
            Ok(changes) => changes,
            Err(compacted) => {
                // The client may have disconnected; the watch ends in both cases.
                let _ = sender.send(Ok(compacted)).await;
                return;
            }
        };
        next = next.max(revision + 1);
        let covered: Vec<&Change> =
            changes.iter().filter(|change| create.covers(&change.key)).collect();
        if !covered.is_empty()
            && sender.send(Ok(gateway::watch_events(revision, &covered))).await.is_err()
        {
            return;
        }
        tokio::select! {
            result = changed.changed() => if result.is_err() { return },
            () = sender.closed() => return,
        }
    }
}
