//! Connection to one peer, shared by all requests that are forwarded to it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use displaydoc::Display;
use h2::{Ping, client::SendRequest};
use http::{Method, Request, StatusCode};
use tamarackproxy::transport::{
    frame::{self, FrameError},
    peer_stream::{read_bounded, send_all},
};
use tokio::{net::TcpStream, sync::Mutex, task::JoinHandle, time::timeout};

use super::{
    super::clock,
    message::{ForwardReply, MESSAGE_MAX_BYTES, PATH},
};

/// Time within which a connection to a peer must be established: the caller's
/// time must suffice for a second peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Window of a stream and its connection, in bytes: replies are small, requests
/// are subject to the peer's window.
const WINDOW_BYTES: u32 = 1 << 20;

/// Reasons why a peer has not replied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkError {
    /// There is no connection; nothing was sent.
    NotConnected,
    /// The message is too large; nothing was sent.
    TooLarge,
    /// The peer refused the message and did nothing.
    Rejected,
    /// The request was sent, and no usable reply arrived.
    Lost,
}

struct Connection {
    streams: SendRequest<Bytes>,
    /// Time of the last reply, in milliseconds on the local clock.
    replied_ms: Cell<u64>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Link to one peer; connects when a request needs it.
pub(super) struct PeerLink {
    address: SocketAddr,
    current: RefCell<Option<Rc<Connection>>>,
    /// Held while connecting, so that concurrent requests share a connection.
    connecting: Mutex<()>,
}

impl PeerLink {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, current: RefCell::default(), connecting: Mutex::new(()) }
    }

    /// Sends a message and returns the reply, if it arrives within `limit_ms`.
    /// `encode` gets the time that is left once the connection is established,
    /// in milliseconds.
    pub(super) async fn ask<F>(&self, limit_ms: u64, encode: F) -> Result<ForwardReply, LinkError>
    where
        F: FnOnce(u64) -> Result<Bytes, FrameError>,
    {
        let began_ms = clock::read().monotonic_ms;
        let connect_time = CONNECT_TIMEOUT.min(Duration::from_millis(limit_ms));
        let connecting = timeout(connect_time, self.connection()).await;
        let connection = connecting.ok().flatten().ok_or(LinkError::NotConnected)?;
        let sent_ms = clock::read().monotonic_ms;
        let left_ms = limit_ms.saturating_sub(sent_ms.saturating_sub(began_ms));
        let message = encode(left_ms).map_err(|_| LinkError::TooLarge)?;
        let time = Duration::from_millis(left_ms);
        match timeout(time, exchange(connection.streams.clone(), message)).await {
            Ok(Ok(reply)) => {
                connection.replied_ms.set(clock::read().monotonic_ms);
                Ok(reply)
            }
            Ok(Err(error)) => {
                if error == LinkError::NotConnected {
                    self.close(&connection);
                }
                Err(error)
            }
            Err(_) => {
                // A connection on which other requests were answered meanwhile
                // works; this request alone was slow.
                if connection.replied_ms.get() < sent_ms {
                    log::info!(peer:display = self.address;
                        "connection to a peer was silent and is closed");
                    self.close(&connection);
                }
                Err(LinkError::Lost)
            }
        }
    }

    /// Returns the open connection, or establishes one.
    async fn connection(&self) -> Option<Rc<Connection>> {
        let _connecting = self.connecting.lock().await;
        let current = self.current.borrow().clone();
        if let Some(current) = current.filter(|current| !current.task.is_finished()) {
            return Some(current);
        }
        let connection = match connect(self.address).await {
            Ok(connection) => Rc::new(connection),
            Err(error) => {
                log::debug!(peer:display = self.address, error:display = error;
                    "connection to a peer failed");
                return None;
            }
        };
        self.current.replace(Some(Rc::clone(&connection)));
        Some(connection)
    }

    /// Closes a connection, which ends the other requests on it.
    fn close(&self, connection: &Rc<Connection>) {
        connection.task.abort();
        self.current.borrow_mut().take_if(|current| Rc::ptr_eq(current, connection));
    }
}

/// Reasons why a connection is not established.
#[derive(Debug, Display)]
enum ConnectError {
    /// connecting failed: {0}
    Connect(std::io::Error),
    /// the handshake failed: {0}
    Handshake(h2::Error),
}

async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let stream = TcpStream::connect(address).await.map_err(ConnectError::Connect)?;
    // Without the option requests are slower but work.
    let _ = stream.set_nodelay(true);
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(WINDOW_BYTES).initial_connection_window_size(WINDOW_BYTES);
    let handshake = builder.handshake::<_, Bytes>(stream).await;
    let (streams, mut connection) = handshake.map_err(ConnectError::Handshake)?;
    let ping = connection.ping_pong();
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(peer:display = address, error:display = error;
                "connection to a peer ended");
        }
    });
    let connection = Connection { streams, replied_ms: Cell::new(0), task };
    // The kernel of a paused peer accepts connections. Nothing may be sent that
    // the peer would carry out when it goes on.
    if let Some(mut ping) = ping {
        ping.ping(Ping::opaque()).await.map_err(ConnectError::Handshake)?;
    }
    Ok(connection)
}

async fn exchange(streams: SendRequest<Bytes>, message: Bytes) -> Result<ForwardReply, LinkError> {
    let mut streams = streams.ready().await.map_err(|_| LinkError::NotConnected)?;
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(PATH);
    let sent = streams.send_request(request, false);
    let (response, mut outgoing) = sent.map_err(|_| LinkError::NotConnected)?;
    let lost = |_| LinkError::Lost;
    send_all(&mut outgoing, message, true).await.map_err(lost)?;
    let response = response.await.map_err(lost)?;
    if response.status() != StatusCode::OK {
        return Err(LinkError::Rejected);
    }
    let body = read_bounded(response.into_body(), MESSAGE_MAX_BYTES).await;
    let body = body.map_err(|_| LinkError::Lost)?;
    frame::decode(&body).map_err(|_| LinkError::Lost)
}
