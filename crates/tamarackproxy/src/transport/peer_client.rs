//! Client side of the links to other entry hosts: one HTTP/2 connection to each.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{sleep, timeout},
};

use super::{
    frame::{self, with_length},
    peer_stream::{read_bounded, send_all},
};
use crate::protocol::{
    caller::RESPONSE_BODY_MAX_BYTES,
    peer::{
        CONTROL_MESSAGE_MAX_BYTES, FORWARD_REQUEST_MAX_BYTES, ForwardFailure, ForwardRequest,
        ForwardResponse, Hello, PeerMessage,
    },
};

/// Capacity of the queue of control messages; new messages are dropped while it
/// is full.
const QUEUE_MESSAGES: usize = 1_024;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a reconnect.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Largest size of the headers of a forwarded response, in bytes.
const HEADERS_MAX_BYTES: usize = 64 << 10;

/// Link to one entry host, which reconnects by itself; dropping it closes the
/// connection.
pub(crate) struct PeerLink {
    control: mpsc::Sender<PeerMessage>,
    /// Opens streams on the current connection, if there is one.
    streams: Rc<RefCell<Option<SendRequest<Bytes>>>>,
    task: tokio::task::JoinHandle<()>,
    address: SocketAddr,
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PeerLink {
    /// Opens a link and reconnects when it is lost; calls `on_refused` each time
    /// a connection is refused, that is, the peer's process is not running.
    pub(crate) fn open<F>(address: SocketAddr, hello: Hello, on_refused: F) -> Self
    where
        F: Fn() + 'static,
    {
        let (control, messages) = mpsc::channel(QUEUE_MESSAGES);
        let streams = Rc::new(RefCell::new(None));
        let link = keep_connected(address, hello, messages, Rc::clone(&streams), on_refused);
        let task = tokio::task::spawn_local(link);
        Self { control, streams, task, address }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a control message, or drops it if the queue is full.
    pub(crate) fn send(&self, message: PeerMessage) {
        if self.control.try_send(message).is_err() {
            metrics::counter!("tamarack_peer_messages_dropped_total").increment(1);
        }
    }

    /// Forwards a request and waits for its response for at most `time_limit`.
    pub(crate) fn forward(
        &self,
        request: ForwardRequest,
        time_limit: Duration,
    ) -> impl Future<Output = Result<ForwardResponse, ForwardFailure>> + use<> {
        let streams = self.streams.borrow().clone();
        async move {
            let mut may_be_sent = false;
            let exchange = exchange(streams, &request, &mut may_be_sent);
            match timeout(time_limit, exchange).await {
                Ok(result) => result,
                Err(_) if may_be_sent => Err(ForwardFailure::Lost),
                Err(_) => Err(ForwardFailure::NotSent),
            }
        }
    }
}

async fn exchange(
    streams: Option<SendRequest<Bytes>>,
    request: &ForwardRequest,
    may_be_sent: &mut bool,
) -> Result<ForwardResponse, ForwardFailure> {
    let not_sent = |_| ForwardFailure::NotSent;
    let streams = streams.ok_or(ForwardFailure::NotSent)?;
    let body =
        frame::encode(request, FORWARD_REQUEST_MAX_BYTES).map_err(|_| ForwardFailure::NotSent)?;
    let mut streams = streams.ready().await.map_err(not_sent)?;
    *may_be_sent = true;
    let (response, mut stream) = streams.send_request(post("/forward"), false).map_err(not_sent)?;
    let lost = |_| ForwardFailure::Lost;
    send_all(&mut stream, body.into(), true).await.map_err(lost)?;
    let response = response.await.map_err(lost)?;
    let max_bytes = RESPONSE_BODY_MAX_BYTES + HEADERS_MAX_BYTES;
    let body = read_bounded(response.into_body(), max_bytes).await;
    let body = body.map_err(|_| ForwardFailure::Lost)?;
    frame::decode(&body).map_err(|_| ForwardFailure::Lost)
}

fn post(path: &'static str) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(path);
    request
}

async fn keep_connected<F>(
    address: SocketAddr,
    hello: Hello,
    mut messages: mpsc::Receiver<PeerMessage>,
    streams: Rc<RefCell<Option<SendRequest<Bytes>>>>,
    on_refused: F,
) where
    F: Fn(),
{
    loop {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                // The connection is reopened whatever ended it.
                let _ = serve(stream, &hello, &mut messages, &streams).await;
                streams.borrow_mut().take();
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => on_refused(),
            _ => {}
        }
        if messages.is_closed() {
            return;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Sends control messages on one connection until it ends.
async fn serve(
    stream: TcpStream,
    hello: &Hello,
    messages: &mut mpsc::Receiver<PeerMessage>,
    streams: &RefCell<Option<SendRequest<Bytes>>>,
) -> Result<(), h2::Error> {
    let _ = stream.set_nodelay(true);
    let (sender, connection) = h2::client::handshake(stream).await?;
    let connection = tokio::task::spawn_local(connection);
    let mut sender = sender.ready().await?;
    let (_response, mut control) = sender.send_request(post("/control"), false)?;
    send_message(&mut control, &PeerMessage::Hello(hello.clone())).await?;
    *streams.borrow_mut() = Some(sender);
    while !connection.is_finished() {
        // The timeout makes the loop notice that the connection has ended.
        match timeout(RECONNECT_DELAY, messages.recv()).await {
            Ok(Some(message)) => send_message(&mut control, &message).await?,
            Ok(None) => break,
            Err(_) => {}
        }
    }
    Ok(())
}

async fn send_message(
    control: &mut h2::SendStream<Bytes>,
    message: &PeerMessage,
) -> Result<(), h2::Error> {
    match frame::encode(message, CONTROL_MESSAGE_MAX_BYTES) {
        Ok(bytes) => send_all(control, with_length(&bytes).into(), false).await,
        Err(error) => {
            log::warn!("control message to a peer cannot be encoded and is dropped: {error}");
            Ok(())
        }
    }
}
