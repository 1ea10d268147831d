//! The relay port: carries calls of other processes' controllers, and passes the
//! requests that other processes forward to [`super::super::forward`].

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use h2::{RecvStream, SendStream, server::SendResponse};
use hashbrown::HashMap;
use http::{Request, Response, StatusCode};
use tamarackproxy::transport::{
    frame::{self, FrameError, FrameSplitter, with_length_prefix},
    peer_stream::send_all,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    super::{clock, forward, platform::Platform, shared::Shared},
    message::{BATCH_MAX_BYTES, PATH, RelayCall, RelayReply, WINDOW_BYTES, target},
};
use crate::{
    coordination::pool::OrderReply,
    state::{JobNumber, JobSpec},
};

/// Delay in which replies are collected, so that they share a message.
const REPLIES_DELAY: Duration = Duration::from_millis(3);
/// Delay after a failed accept, in milliseconds; gives open connections time to
/// free file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);
/// Timeout for the handshake of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Binds an address and serves controllers and processes that forward requests;
/// returns the bound address.
pub(in crate::node) async fn listen<P>(
    shared: Rc<Shared<P>>,
    address: SocketAddr,
) -> io::Result<SocketAddr>
where
    P: Platform,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    tokio::task::spawn_local(accept(shared, listener));
    Ok(bound)
}

async fn accept<P>(shared: Rc<Shared<P>>, listener: TcpListener)
where
    P: Platform,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let shared = Rc::clone(&shared);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve(shared, stream).await {
                        log::info!(peer:display = peer, error:display = error;
                            "link of another process has ended");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:display = error; "link could not be accepted");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve<P>(shared: Rc<Shared<P>>, stream: TcpStream) -> Result<(), h2::Error>
where
    P: Platform,
{
    // Without it small batches are delayed, which is not an error.
    let _ = stream.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(WINDOW_BYTES).initial_connection_window_size(WINDOW_BYTES);
    let handshake = timeout(HANDSHAKE_TIMEOUT, builder.handshake::<_, Bytes>(stream)).await;
    let Ok(handshake) = handshake else { return Ok(()) };
    let mut connection = handshake?;
    // Dropped with the connection, which ends the calls of its streams.
    let mut streams = JoinSet::new();
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        streams.spawn_local(serve_stream(Rc::clone(&shared), request, respond));
        while streams.try_join_next().is_some() {}
    }
    Ok(())
}

async fn serve_stream<P>(
    shared: Rc<Shared<P>>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) where
    P: Platform,
{
    match request.uri().path() {
        PATH => {}
        forward::PATH => return forward::serve_stream(&shared, request, respond).await,
        _ => {
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::NOT_FOUND;
            // The peer learns of a failure from the end of its stream.
            let _ = respond.send_response(response, true);
            return;
        }
    }
    let Ok(mut outgoing) = respond.send_response(Response::new(()), false) else { return };
    let (replies, mut receiver) = mpsc::unbounded_channel();
    tokio::select! {
        result = carry_calls(&shared, request.into_body(), replies) => {
            if let Err(error) = result {
                log::warn!(error:display = error; "calls of a controller cannot be read");
            }
        }
        result = send_replies(&mut outgoing, &mut receiver) => {
            if let Err(error) = result {
                log::info!(error:display = error; "replies to a controller cannot be sent");
            }
        }
    }
}

/// Reads calls and carries each of them in a task of its own.
async fn carry_calls<P>(
    shared: &Rc<Shared<P>>,
    mut body: RecvStream,
    replies: mpsc::UnboundedSender<RelayReply>,
) -> Result<(), FrameError>
where
    P: Platform,
{
    let mut splitter = FrameSplitter::new(BATCH_MAX_BYTES);
    let mut payloads: HashMap<JobNumber, Rc<JobSpec>> = HashMap::new();
    let mut calls = JoinSet::new();
    while let Some(Ok(part)) = body.data().await {
        let received_ms = clock::read().monotonic_ms;
        splitter.push(&part);
        // Fails only if the stream has ended, which the next read reports.
        let _ = body.flow_control().release_capacity(part.len());
        while let Some(bytes) = splitter.next_frame()? {
            let batch: Vec<RelayCall> = frame::decode(&bytes)?;
            for call in batch {
                match call {
                    RelayCall::Payload { job, payload } => {
                        let spec = JobSpec { payload, steps: Vec::new(), schedule: None };
                        payloads.insert(job, Rc::new(spec));
                    }
                    RelayCall::ForgetPayloads => payloads.clear(),
                    call => {
                        let payload = match &call {
                            RelayCall::Order { task, .. } => payloads.get(&task.job).cloned(),
                            _ => None,
                        };
                        let (shared, replies) = (Rc::clone(shared), replies.clone());
                        calls.spawn_local(async move {
                            if let Some(reply) = carry(&shared, received_ms, call, payload).await {
                                // The receiver is gone when the link has ended.
                                let _ = replies.send(reply);
                            }
                        });
                    }
                }
            }
        }
        while calls.try_join_next().is_some() {}
    }
    Ok(())
}

/// Carries one call to its worker and returns the reply.
async fn carry<P>(
    shared: &Shared<P>,
    received_ms: u64,
    call: RelayCall,
    payload: Option<Rc<JobSpec>>,
) -> Option<RelayReply>
where
    P: Platform,
{
    match call {
        RelayCall::Order { call, receiver, task, run, order } => {
            metrics::counter!("relayed_orders").increment(1);
            let outcome = match order.order(payload.as_ref()) {
                Some(order) => {
                    let (contact, target) = (receiver.contact(), target(task, run));
                    let (calls, platform) = (&shared.worker_calls, &shared.platform);
                    calls.order(platform, received_ms, &contact, &target, &order).await
                }
                None => OrderReply::NotSent.into(),
            };
            Some(RelayReply::Order { call, outcome })
        }
        RelayCall::Poll { call, receiver, request } => {
            metrics::counter!("relayed_polls").increment(1);
            let contact = receiver.contact();
            let result = shared.worker_calls.poll(&shared.platform, &contact, &request).await;
            Some(RelayReply::Poll { call, result })
        }
        RelayCall::Payload { .. } | RelayCall::ForgetPayloads => None,
    }
}

/// Sends all replies that arrive within [`REPLIES_DELAY`] as one batch.
async fn send_replies(
    outgoing: &mut SendStream<Bytes>,
    replies: &mut mpsc::UnboundedReceiver<RelayReply>,
) -> Result<(), h2::Error> {
    while let Some(reply) = replies.recv().await {
        sleep(REPLIES_DELAY).await;
        let mut batch = vec![reply];
        while let Ok(reply) = replies.try_recv() {
            batch.push(reply);
        }
        match frame::encode(&batch, BATCH_MAX_BYTES) {
            Ok(bytes) => send_all(outgoing, with_length_prefix(&bytes).into(), false).await?,
            Err(error) => {
                log::error!(replies = batch.len(), error:display = error;
                    "replies cannot be encoded; the controller notices their absence");
            }
        }
    }
    Ok(())
}
