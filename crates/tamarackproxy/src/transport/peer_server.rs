//! HTTP/2 server for other entry hosts.

use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
};

use super::{
    frame::{self, FrameError, FrameSplitter},
    peer_stream::{read_bounded, send_all},
};
use crate::protocol::{
    caller::RESPONSE_BODY_MAX_BYTES,
    peer::{
        CONTROL_MESSAGE_MAX_BYTES, FORWARD_REQUEST_MAX_BYTES, ForwardRequest, ForwardResponse,
        Hello, PeerMessage,
    },
};

/// Messages and requests from other entry hosts.
pub(crate) enum PeerInput {
    /// A control message with its sender.
    Message { hello: Hello, message: PeerMessage },
    /// A forwarded request. If `reply` is dropped, the stream is reset and the
    /// peer reports the outcome as unknown.
    Forward { request: ForwardRequest, reply: oneshot::Sender<ForwardResponse> },
}

/// Accepts connections until the task is aborted.
pub(crate) async fn listen(listener: TcpListener, inputs: mpsc::Sender<PeerInput>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(stream, inputs.clone()));
            }
            Err(error) => {
                log::warn!("connection of a peer cannot be accepted: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, inputs: mpsc::Sender<PeerInput>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut connection) = h2::server::handshake(stream).await else { return };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let inputs = inputs.clone();
        match request.uri().path() {
            "/control" => {
                tokio::task::spawn_local(read_control(request, respond, inputs));
            }
            "/forward" => {
                tokio::task::spawn_local(serve_forward(request, respond, inputs));
            }
            other => log::warn!("peer opened a stream for unknown path {other:?}"),
        }
    }
}

async fn read_control(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    inputs: mpsc::Sender<PeerInput>,
) {
    let Ok(_response) = respond.send_response(Response::new(()), false) else { return };
    if let Err(error) = read_messages(request.into_body(), &inputs).await {
        log::warn!("control stream of a peer is closed after an invalid message: {error}");
    }
}

async fn read_messages(
    mut body: RecvStream,
    inputs: &mpsc::Sender<PeerInput>,
) -> Result<(), FrameError> {
    let mut splitter = FrameSplitter::new(CONTROL_MESSAGE_MAX_BYTES);
    let mut sender = None;
    while let Some(Ok(part)) = body.data().await {
        splitter.push(&part);
        let _ = body.flow_control().release_capacity(part.len());
        while let Some(bytes) = splitter.next_frame()? {
            match (frame::decode(&bytes)?, &sender) {
                (PeerMessage::Hello(hello), None) => sender = Some(hello),
                (message, Some(hello)) => {
                    let hello = hello.clone();
                    if inputs.send(PeerInput::Message { hello, message }).await.is_err() {
                        return Ok(());
                    }
                }
                (_, None) => {
                    return Err(FrameError::Malformed("the first message is not a hello".into()));
                }
            }
        }
    }
    Ok(())
}

async fn serve_forward(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    inputs: mpsc::Sender<PeerInput>,
) {
    let Some(response) = forward(request.into_body(), &inputs).await else {
        respond.send_reset(h2::Reason::INTERNAL_ERROR);
        return;
    };
    let max_bytes = RESPONSE_BODY_MAX_BYTES + (64 << 10);
    let Ok(bytes) = frame::encode(&response, max_bytes) else { return };
    if let Ok(mut stream) = respond.send_response(Response::new(()), false) {
        let _ = send_all(&mut stream, bytes.into(), true).await;
    }
}

async fn forward(body: RecvStream, inputs: &mpsc::Sender<PeerInput>) -> Option<ForwardResponse> {
    let bytes = read_bounded(body, FORWARD_REQUEST_MAX_BYTES).await.ok()?;
    let request = frame::decode(&bytes).ok()?;
    let (reply, response) = oneshot::channel();
    inputs.send(PeerInput::Forward { request, reply }).await.ok()?;
    response.await.ok()
}
