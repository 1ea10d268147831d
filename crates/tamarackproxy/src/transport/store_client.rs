//! HTTP client of the platform's key-value store.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{net::TcpStream, sync::mpsc, time::timeout};

use crate::protocol::{
    gateway::{self, GatewayCall},
    store::{StoreError, StoreReply, StoreRequest, VALUE_MAX_BYTES, WatchEvent},
};

/// Largest reply, in bytes; enough for a page of listed values in base64.
const REPLY_MAX_BYTES: usize = 4 * VALUE_MAX_BYTES;
/// Idle connections that are kept for reuse.
const IDLE_CONNECTIONS: usize = 4;

/// Store client that keeps a few idle connections.
#[derive(Clone)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    timeout: Duration,
    idle: Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout, idle: Rc::default() }
    }

    /// Sends one call and returns its reply.
    pub(crate) async fn call(&self, request: &StoreRequest) -> Result<StoreReply, StoreError> {
        let call = gateway::encode(request);
        let deadline = timeout(self.timeout, self.exchange(&call));
        let Some(body) = deadline.await.map_err(|_| StoreError::Unknown)?? else {
            return Ok(StoreReply::LeaseLost);
        };
        let body = serde_json::from_slice(&body)
            .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
        gateway::decode(request, &body)
    }

    /// Sends a call and reads the body of its reply; `None` if the call names a
    /// lease that the store does not know.
    async fn exchange(&self, call: &GatewayCall) -> Result<Option<Bytes>, StoreError> {
        let mut connection = self.connection().await?;
        let response = connection.send_request(self.request(call)?).await.map_err(|error| {
            if error.is_canceled() { StoreError::NotSent } else { StoreError::Unknown }
        })?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(response.status())?;
        let body = Limited::new(response.into_body(), REPLY_MAX_BYTES);
        let body = body.collect().await.map_err(|_| StoreError::Unknown)?.to_bytes();
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_CONNECTIONS {
            idle.push(connection);
        }
        Ok(Some(body))
    }

    fn request(&self, call: &GatewayCall) -> Result<Request<Full<Bytes>>, StoreError> {
        Request::post(call.path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(call.body.to_string()))
            .map_err(|_| StoreError::NotSent)
    }

    async fn connection(&self) -> Result<SendRequest<Full<Bytes>>, StoreError> {
        loop {
            let Some(mut idle) = self.idle.borrow_mut().pop() else {
                return connect(self.address).await;
            };
            if idle.ready().await.is_ok() {
                return Ok(idle);
            }
        }
    }

    /// Opens a watch and sends its events until it is interrupted.
    ///
    /// The last event is [`WatchEvent::Interrupted`], sent when the connection is
    /// lost or cannot be established.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        from_version: u64,
        events: mpsc::UnboundedSender<WatchEvent>,
    ) {
        // The cause does not matter to the receiver, which reads the prefix again.
        let _ = self.stream_events(prefix, from_version, &events).await;
        let _ = events.send(WatchEvent::Interrupted);
    }

    async fn stream_events(
        &self,
        prefix: &str,
        from_version: u64,
        events: &mpsc::UnboundedSender<WatchEvent>,
    ) -> Result<(), StoreError> {
        let call = gateway::encode_watch(prefix, from_version);
        let mut connection = timeout(self.timeout, connect(self.address))
            .await
            .map_err(|_| StoreError::NotSent)??;
        let response =
            connection.send_request(self.request(&call)?).await.map_err(|_| StoreError::Unknown)?;
        check_status(response.status())?;
        read_lines(response.into_body(), |line| {
            let line: Value = serde_json::from_slice(line)
                .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
            for event in gateway::decode_watch(&line)? {
                events.send(event).map_err(|_| StoreError::NotSent)?;
            }
            Ok(())
        })
        .await
    }
}

fn check_status(status: StatusCode) -> Result<(), StoreError> {
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::Throttled),
        StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unknown),
        other => Err(StoreError::Malformed(format!("status {other}").into())),
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, StoreError> {
    let stream = TcpStream::connect(address).await.map_err(|_| StoreError::NotSent)?;
    stream.set_nodelay(true).map_err(|_| StoreError::NotSent)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| StoreError::NotSent)?;
    tokio::task::spawn_local(connection);
    Ok(sender)
}

/// Passes each complete line of a body to `on_line`.
async fn read_lines<F>(mut body: Incoming, mut on_line: F) -> Result<(), StoreError>
where
    F: FnMut(&[u8]) -> Result<(), StoreError>,
{
    let mut pending = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| StoreError::Unknown)?;
        let Ok(data) = frame.into_data() else { continue };
        pending.extend_from_slice(&data);
        while let Some(end) = pending.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            on_line(&line)?;
        }
        if pending.len() > REPLY_MAX_BYTES {
            return Err(StoreError::Malformed("a line of the watch is too long".into()));
        }
    }
    Ok(())
}
