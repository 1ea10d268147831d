//! A controller's link to one relay.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use h2::{RecvStream, SendStream};
use hashbrown::{HashMap, HashSet};
use http::{Method, Request};
use tamarackproxy::transport::{
    frame::{self, FrameSplitter, with_length_prefix},
    peer_stream::send_all,
};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::{
    super::clock,
    message::{
        BATCH_MAX_BYTES, CallNumber, OrderMessage, PATH, Receiver, RelayCall, RelayReply,
        WINDOW_BYTES,
    },
};
use crate::{
    coordination::pool::{
        Order, OrderOutcome, OrderReply, OrderTarget, PollFailure, PollReport, PollRequest,
        WorkerContact, WorkerKey,
    },
    state::JobNumber,
};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a reconnect.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// Interval of checks for calls that have no reply.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a relay replies to an order, in milliseconds: the timeout
/// of the order itself and the two hops of the link.
const ORDER_REPLY_MS: u64 = 900;
/// Time beyond its own wait within which a relay replies to a poll, in
/// milliseconds.
const POLL_REPLY_MS: u64 = 1_000;
/// Payloads that a relay keeps for one link.
const PAYLOADS_MAX: usize = 1_000;

/// How a call through a relay ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::node) enum CallEnd {
    /// The relay replied.
    Replied,
    /// The link was lost.
    Lost,
}

/// Result of a call that a relay carried.
#[derive(Clone, Debug)]
pub(in crate::node) enum CallOutcome {
    Started(OrderTarget, OrderOutcome),
    Stopped(OrderTarget, OrderOutcome),
    Paced,
    Polled(WorkerKey, Result<PollReport, PollFailure>),
}

#[derive(Clone, Copy, Debug)]
enum Expected {
    Started(OrderTarget),
    Stopped(OrderTarget),
    Paced,
    Polled(WorkerKey),
}

impl Expected {
    fn ordered(self, outcome: OrderOutcome) -> CallOutcome {
        match self {
            Self::Started(target) => CallOutcome::Started(target, outcome),
            Self::Stopped(target) => CallOutcome::Stopped(target, outcome),
            Self::Paced => CallOutcome::Paced,
            Self::Polled(worker) => CallOutcome::Polled(worker, Err(PollFailure::Unreachable)),
        }
    }
}

#[derive(Debug)]
struct Pending {
    expected: Expected,
    /// Time without a reply at which the relay counts as silent, in
    /// milliseconds on the local clock.
    expires_ms: u64,
}

#[derive(Debug, Default)]
struct LinkState {
    is_up: Cell<bool>,
    next_call: Cell<u64>,
    pending: RefCell<HashMap<CallNumber, Pending>>,
    /// Jobs whose payload the relay has.
    payloads: RefCell<HashSet<JobNumber>>,
}

/// Link to one relay that reconnects automatically; dropping it closes the
/// connection.
pub(in crate::node) struct RelayLink {
    address: SocketAddr,
    state: Rc<LinkState>,
    calls: mpsc::UnboundedSender<RelayCall>,
    on_outcome: OnOutcome,
    task: JoinHandle<()>,
}

/// Receives the result of each call.
type OnOutcome = Rc<dyn Fn(CallOutcome, CallEnd)>;

impl Drop for RelayLink {
    fn drop(&mut self) {
        self.task.abort();
        // Every call has a result: the engine waits for it.
        self.state.lose_pending(&self.on_outcome);
    }
}

impl LinkState {
    /// Reports all calls without a reply as lost; they may have been carried out.
    fn lose_pending(&self, on_outcome: &OnOutcome) {
        let lost = std::mem::take(&mut *self.pending.borrow_mut());
        for lost in lost.into_values() {
            on_outcome(lost.expected.ordered(OrderReply::Unknown.into()), CallEnd::Lost);
        }
    }
}

impl RelayLink {
    /// Opens a link; `on_outcome` receives the result of each call.
    pub(in crate::node) fn open<F>(address: SocketAddr, on_outcome: F) -> Self
    where
        F: Fn(CallOutcome, CallEnd) + 'static,
    {
        let state = Rc::new(LinkState::default());
        let on_outcome: OnOutcome = Rc::new(on_outcome);
        let (calls, receiver) = mpsc::unbounded_channel();
        let link = keep_connected(address, Rc::clone(&state), receiver, Rc::clone(&on_outcome));
        let task = tokio::task::spawn_local(link);
        Self { address, state, calls, on_outcome, task }
    }

    pub(in crate::node) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the relay is connected and replies in time.
    pub(in crate::node) fn is_up(&self) -> bool {
        self.state.is_up.get()
    }

    /// Sends an order to a worker through the relay.
    pub(in crate::node) fn order(
        &self,
        contact: &WorkerContact,
        target: OrderTarget,
        order: &Order,
    ) {
        let expected = match order {
            Order::Start(_) => Expected::Started(target),
            Order::Stop => Expected::Stopped(target),
            Order::Pace(_) => Expected::Paced,
        };
        if let Order::Start(start) = order {
            self.send_payload(target.task.job, &start.job.payload);
        }
        let call = self.expect(expected, ORDER_REPLY_MS);
        let order = OrderMessage::new(order);
        let (receiver, task, run) = (Receiver::new(contact), target.task, target.run);
        self.send(RelayCall::Order { call, receiver, task, run, order });
    }

    /// Polls a worker through the relay.
    pub(in crate::node) fn poll(&self, contact: &WorkerContact, request: PollRequest) {
        let expected = Expected::Polled(contact.key);
        let call = self.expect(expected, request.wait_ms + POLL_REPLY_MS);
        self.send(RelayCall::Poll { call, receiver: Receiver::new(contact), request });
    }

    /// Sends a job's payload before its first start on this link.
    fn send_payload(&self, job: JobNumber, payload: &str) {
        let mut payloads = self.state.payloads.borrow_mut();
        if payloads.contains(&job) {
            return;
        }
        if payloads.len() >= PAYLOADS_MAX {
            payloads.clear();
            self.send(RelayCall::ForgetPayloads);
        }
        payloads.insert(job);
        self.send(RelayCall::Payload { job, payload: payload.into() });
    }

    fn expect(&self, expected: Expected, reply_ms: u64) -> CallNumber {
        let call = CallNumber(self.state.next_call.get());
        self.state.next_call.set(call.0 + 1);
        let expires_ms = clock::read().monotonic_ms + reply_ms;
        self.state.pending.borrow_mut().insert(call, Pending { expected, expires_ms });
        call
    }

    fn send(&self, call: RelayCall) {
        // Without a receiver the link's task has ended with the controller.
        let _ = self.calls.send(call);
    }
}

/// Reasons why a connection to a relay ends.
#[derive(Debug, displaydoc::Display)]
enum LinkError {
    /// the connection failed: {0}
    Connection(h2::Error),
    /// a message cannot be read: {0}
    Message(frame::FrameError),
    /// the relay closed the stream
    Closed,
    /// a call has had no reply in time
    Silent,
}

impl From<h2::Error> for LinkError {
    fn from(error: h2::Error) -> Self {
        Self::Connection(error)
    }
}

impl From<frame::FrameError> for LinkError {
    fn from(error: frame::FrameError) -> Self {
        Self::Message(error)
    }
}

async fn keep_connected(
    address: SocketAddr,
    state: Rc<LinkState>,
    mut calls: mpsc::UnboundedReceiver<RelayCall>,
    on_outcome: OnOutcome,
) {
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            let ended = serve(stream, &state, &mut calls, &on_outcome).await;
            state.is_up.set(false);
            if let Err(error) = ended {
                log::warn!(relay:display = address, error:display = error,
                    calls = state.pending.borrow().len(); "link to a relay was lost");
            }
            // Calls that are still queued have not left this process, but those
            // that were sent may be carried out.
            while calls.try_recv().is_ok() {}
            state.payloads.borrow_mut().clear();
            state.lose_pending(&on_outcome);
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Sends calls and receives replies on one connection until it ends.
async fn serve(
    stream: TcpStream,
    state: &LinkState,
    calls: &mut mpsc::UnboundedReceiver<RelayCall>,
    on_outcome: &OnOutcome,
) -> Result<(), LinkError> {
    // Without it small batches are delayed, which is not an error.
    let _ = stream.set_nodelay(true);
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(WINDOW_BYTES).initial_connection_window_size(WINDOW_BYTES);
    let (sender, connection) = timeout(CONNECT_TIMEOUT, builder.handshake::<_, Bytes>(stream))
        .await
        .map_err(|_| LinkError::Silent)??;
    let connection = tokio::task::spawn_local(connection);
    let _connection = super::super::control::AbortOnDrop::new(&connection);
    let mut sender = sender.ready().await?;
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(PATH);
    let (response, mut outgoing) = sender.send_request(request, false)?;
    let response = timeout(CONNECT_TIMEOUT, response).await.map_err(|_| LinkError::Silent)??;
    state.is_up.set(true);
    tokio::select! {
        ended = send_calls(&mut outgoing, calls) => ended,
        ended = receive_replies(response.into_body(), state, on_outcome) => ended,
        () = watch_for_silence(state) => Err(LinkError::Silent),
    }
}

/// Sends all calls that are queued at a time as one batch.
async fn send_calls(
    outgoing: &mut SendStream<Bytes>,
    calls: &mut mpsc::UnboundedReceiver<RelayCall>,
) -> Result<(), LinkError> {
    while let Some(call) = calls.recv().await {
        let mut batch = vec![call];
        while let Ok(call) = calls.try_recv() {
            batch.push(call);
        }
        let bytes = frame::encode(&batch, BATCH_MAX_BYTES)?;
        send_all(outgoing, with_length_prefix(&bytes).into(), false).await?;
    }
    Ok(())
}

async fn receive_replies(
    mut body: RecvStream,
    state: &LinkState,
    on_outcome: &OnOutcome,
) -> Result<(), LinkError> {
    let mut splitter = FrameSplitter::new(BATCH_MAX_BYTES);
    while let Some(part) = body.data().await {
        let part = part?;
        splitter.push(&part);
        body.flow_control().release_capacity(part.len())?;
        while let Some(bytes) = splitter.next_frame()? {
            let replies: Vec<RelayReply> = frame::decode(&bytes)?;
            for reply in replies {
                let call = match &reply {
                    RelayReply::Order { call, .. } | RelayReply::Poll { call, .. } => call,
                };
                let pending = state.pending.borrow_mut().remove(call);
                let Some(Pending { expected, .. }) = pending else { continue };
                let outcome = match (reply, expected) {
                    (RelayReply::Order { outcome, .. }, expected) => expected.ordered(outcome),
                    (RelayReply::Poll { result, .. }, Expected::Polled(worker)) => {
                        CallOutcome::Polled(worker, result)
                    }
                    (RelayReply::Poll { .. }, expected) => {
                        expected.ordered(OrderReply::Unknown.into())
                    }
                };
                on_outcome(outcome, CallEnd::Replied);
            }
        }
    }
    Err(LinkError::Closed)
}

/// Returns when a call has had no reply in time at two checks: the relay is
/// paused, or the path to it is interrupted. After the first check, replies that
/// arrived while this process was paused or busy are still read.
async fn watch_for_silence(state: &LinkState) {
    let mut was_overdue = false;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now_ms = clock::read().monotonic_ms;
        let is_overdue =
            state.pending.borrow().values().any(|pending| now_ms >= pending.expires_ms);
        if is_overdue && was_overdue {
            return;
        }
        was_overdue = is_overdue;
    }
}
