//! HTTP server for callers, the load balancer's readiness checks and metrics.

use std::{cell::RefCell, convert::Infallible, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tamarackproxy::state::ids::AccountId;
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::oneshot,
    time::timeout,
};

use super::{
    callers::{CallerResponse, RequestError},
    clock,
    platform::Platform,
    requests::{self, Answer, ReceivedRequest},
    shared::{OpenRequest, Shared},
};
use crate::coordination::{
    connections::{Activity, ConnectionKey, Connections},
    request_memory::{BodyError, ByteCount, RequestMemory, WholeBody},
};

/// Delay after a failed accept, in milliseconds; gives open connections time to
/// free file descriptors.
const ACCEPT_RETRY_MS: u64 = 20;
/// Size of the receive buffer of a connection, in bytes; the system may double it.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Most connections for readiness checks, and for metrics.
const OBSERVERS_MAX: usize = 64;

/// Service offered by a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Service {
    Callers,
    /// The readiness check.
    Ready,
    Metrics,
}

type HttpResponse = Response<Full<Bytes>>;

/// Connections of a listener; dropping the sender of one ends it.
type ListenerConnections = RefCell<Connections<oneshot::Sender<()>>>;

/// Gives up the place of a connection when dropped.
struct ConnectionPlace {
    connections: Rc<ListenerConnections>,
    key: ConnectionKey,
}

impl ConnectionPlace {
    fn set_activity(&self, activity: Activity) {
        self.connections.borrow_mut().set_activity(self.key, activity);
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.connections.borrow_mut().remove(self.key);
    }
}

/// Binds an address and serves it on the current thread.
pub(super) async fn listen<P>(
    shared: Rc<Shared<P>>,
    address: SocketAddr,
    service: Service,
) -> io::Result<()>
where
    P: Platform,
{
    let listener = bind(address)?;
    tokio::task::spawn_local(accept(shared, listener, service));
    Ok(())
}

/// Binds an address whose connections have small receive buffers: the system's
/// own size grows to megabytes for bytes that are not read.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Without the option connections work, and may hold more memory.
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!(address:display = address, error:display = error;
            "size of receive buffers could not be set");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept<P>(shared: Rc<Shared<P>>, listener: TcpListener, service: Service)
where
    P: Platform,
{
    let max = match service {
        Service::Callers => shared.settings.connections_max,
        Service::Ready | Service::Metrics => shared.settings.connections_max.min(OBSERVERS_MAX),
    };
    let connections = Rc::new(ListenerConnections::new(Connections::new(max)));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(service:? = service, error:display = error;
                    "connection could not be accepted");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            }
        };
        if connections.borrow().is_full() {
            let replaced = connections.borrow_mut().take_replaceable();
            if replaced.is_none() {
                // An immediate close lets the caller try another entry host.
                metrics::counter!("connections_refused").increment(1);
                continue;
            }
            metrics::counter!("connections_replaced").increment(1);
            drop(replaced);
            // The connection that gives way is closed before the next is accepted.
            tokio::task::yield_now().await;
        }
        let (sender, end) = oneshot::channel();
        let key = connections.borrow_mut().insert(sender);
        let place = ConnectionPlace { connections: Rc::clone(&connections), key };
        // Without the option the connection is slower but works.
        let _ = stream.set_nodelay(true);
        let connection = serve_connection(Rc::clone(&shared), stream, service, place);
        tokio::task::spawn_local(async move {
            tokio::select! {
                biased;
                _ = end => {}
                () = connection => {}
            }
        });
    }
}

async fn serve_connection<P>(
    shared: Rc<Shared<P>>,
    stream: tokio::net::TcpStream,
    service: Service,
    place: ConnectionPlace,
) where
    P: Platform,
{
    let limits = shared.document().map(|document| document.limits).unwrap_or_default();
    let place = Rc::new(place);
    let handler = service_fn(move |request| {
        let (shared, place) = (Rc::clone(&shared), Rc::clone(&place));
        // Boxed, so that an idle connection takes little memory.
        Box::pin(async move {
            let response = handle(&shared, service, &place, request).await;
            place.set_activity(Activity::Idle);
            Ok::<_, Infallible>(response)
        })
    });
    let mut builder = http1::Builder::new();
    // The header read timeout also limits how long a connection may be idle.
    let head_time = Duration::from_millis(limits.idle_timeout_ms.max(limits.head_timeout_ms));
    builder.timer(TokioTimer::new()).header_read_timeout(head_time);
    builder.max_buf_size(limits.head_max_bytes.max(8 << 10));
    let connection = builder.serve_connection(TokioIo::new(stream), handler);
    if let Err(error) = connection.await {
        log::debug!(error:display = error; "connection ended");
    }
}

async fn handle<P>(
    shared: &Rc<Shared<P>>,
    service: Service,
    place: &ConnectionPlace,
    request: Request<Incoming>,
) -> HttpResponse
where
    P: Platform,
{
    match service {
        Service::Ready if shared.platform.is_readiness_path(request.uri().path()) => {
            let status =
                if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            plain_response(status, "")
        }
        Service::Ready => plain_response(StatusCode::NOT_FOUND, ""),
        Service::Metrics => {
            metrics::gauge!("request_memory_bytes").set(shared.request_memory.held().0 as f64);
            plain_response(StatusCode::OK, tamarackproxy::observability::render_metrics())
        }
        Service::Callers => {
            let _open = OpenRequest::new(&shared.requests_open);
            let mut response = handle_caller(shared, place, request).await;
            if shared.is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
    }
}

fn plain_response<T>(status: StatusCode, text: T) -> HttpResponse
where
    T: Into<Bytes>,
{
    let mut response = Response::new(Full::from(text.into()));
    *response.status_mut() = status;
    response
}

async fn handle_caller<P>(
    shared: &Rc<Shared<P>>,
    place: &ConnectionPlace,
    request: Request<Incoming>,
) -> HttpResponse
where
    P: Platform,
{
    let began_ms = clock::read().monotonic_ms;
    let (head, body) = request.into_parts();
    let request_id = shared.platform.request_id(&head.headers).unwrap_or_default().to_owned();
    place.set_activity(Activity::Receiving);
    let received = receive_body(shared, &head, body).await;
    place.set_activity(Activity::Serving);
    // The rest of a body is not read, so that its connection cannot be used again.
    let is_closed = received.is_err();
    let Answer { account, response } = match received {
        // Boxed, because connections whose body is incomplete are the most.
        Ok(body) => Box::pin(answer_caller(shared, &head, &body, began_ms)).await,
        Err(response) => response.into(),
    };
    let took_ms = clock::read().monotonic_ms.saturating_sub(began_ms);
    log::info!(request = request_id, method = head.method.as_str(), path = head.uri.path(),
        account = account.as_ref().map(AccountId::as_str), answer:? = response, took_ms = took_ms,
        configuration = shared.document().map_or(0, |document| document.revision);
        "request answered");
    metrics::histogram!("request_ms").record(took_ms as f64);
    let mut response = shared.platform.encode_response(&response).map(Full::from);
    if is_closed {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads a body into the memory for requests.
///
/// # Errors
///
/// Returns the response to a request whose body is not received.
async fn receive_body<P>(
    shared: &Shared<P>,
    head: &http::request::Parts,
    body: Incoming,
) -> Result<WholeBody, CallerResponse>
where
    P: Platform,
{
    let limits = shared.document().map(|document| document.limits).unwrap_or_default();
    let time = Duration::from_millis(limits.head_timeout_ms);
    let max = ByteCount(limits.body_max_bytes);
    let error = match timeout(time, collect(&shared.request_memory, max, body)).await {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(ReceiveError::Body(BodyError::Exhausted))) => {
            metrics::counter!("request_bodies_rejected").increment(1);
            return Err(requests::rejection(&head.method));
        }
        Ok(Err(ReceiveError::Body(BodyError::TooLarge))) => RequestError::TooLarge(max.0),
        Ok(Err(ReceiveError::Connection(error))) => {
            RequestError::Malformed(error.to_string().into())
        }
        Err(_) => {
            let reason = "the body did not arrive in time; send it at once";
            RequestError::Malformed(reason.into())
        }
    };
    Err(CallerResponse::Refused(error))
}

/// Reasons why a body is not received.
enum ReceiveError {
    Body(BodyError),
    Connection(hyper::Error),
}

impl From<BodyError> for ReceiveError {
    fn from(error: BodyError) -> Self {
        Self::Body(error)
    }
}

async fn collect(
    memory: &RequestMemory,
    max: ByteCount,
    mut body: Incoming,
) -> Result<WholeBody, ReceiveError> {
    let mut received = memory.begin(max);
    loop {
        let frame = tokio::select! {
            biased;
            () = received.ended() => return Err(BodyError::Exhausted.into()),
            frame = body.frame() => frame,
        };
        match frame {
            Some(Ok(frame)) => {
                if let Some(part) = frame.data_ref() {
                    received.push(part)?;
                }
            }
            Some(Err(error)) => return Err(ReceiveError::Connection(error)),
            None => return Ok(received.finish()?),
        }
    }
}

async fn answer_caller<P>(
    shared: &Rc<Shared<P>>,
    head: &http::request::Parts,
    body: &WholeBody,
    received_ms: u64,
) -> Answer
where
    P: Platform,
{
    let authority = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let authority = authority.or(head.uri.host()).unwrap_or_default();
    let request = ReceivedRequest {
        method: &head.method,
        authority: authority.split(':').next().unwrap_or_default(),
        path: head.uri.path(),
        key: shared.platform.caller_key(&head.headers),
        request_id: shared.platform.request_id(&head.headers).unwrap_or_default(),
        body: body.bytes().clone(),
        received_ms,
        timeout_ms: shared.platform.timeout_ms(&head.headers),
    };
    requests::answer(shared, &request).await
}
