//! Side of the peer: handles requests that other processes forward, and never
//! forwards them again.

use std::{cell::Cell, future::poll_fn, rc::Rc, time::Duration};

use bytes::Bytes;
use h2::{RecvStream, SendStream, server::SendResponse};
use http::{Request, Response, StatusCode};
use strum::IntoStaticStr;
use tamarackproxy::{
    state::ids::AccountId,
    transport::{frame, peer_stream::send_all},
};
use tokio::time::timeout;

use super::{
    super::{
        clock,
        platform::Platform,
        requests,
        shared::{OpenRequest, Shared},
    },
    message::{ForwardReply, Forwarded, MESSAGE_MAX_BYTES, MessageError},
};
use crate::coordination::{
    forwarding::IN_FLIGHT_MAX,
    request_memory::{BodyError, ByteCount, RequestMemory, WholeBody},
};

/// Time within which a message must arrive: the sender has it whole when it
/// opens the stream.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
const MESSAGE_MAX: ByteCount = ByteCount(MESSAGE_MAX_BYTES);

/// Counts the forwarded requests that this process handles.
#[derive(Debug, Default)]
pub(super) struct Places {
    taken: Cell<usize>,
}

/// Releases its place when dropped.
pub(super) struct Place<'a>(&'a Places);

impl Places {
    /// Takes a place until the result is dropped; none if all are taken.
    pub(super) fn take(&self) -> Option<Place<'_>> {
        if self.taken.get() >= IN_FLIGHT_MAX {
            return None;
        }
        self.taken.set(self.taken.get() + 1);
        Some(Place(self))
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
    }
}

/// How a forwarded request ended here, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum ServedOutcome {
    Answered,
    NoStore,
    Overloaded,
    Malformed,
    /// The sender has given the request up.
    Cancelled,
    /// The response could not be sent.
    NotSent,
}

/// Serves one forwarded request.
pub(in crate::node) async fn serve_stream<P>(
    shared: &Rc<Shared<P>>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) where
    P: Platform,
{
    let handled = tokio::select! {
        handled = handle(shared, request.into_body()) => handled,
        // The sender no longer waits; writes that are under way continue.
        _ = poll_fn(|context| respond.poll_reset(context)) => {
            count(ServedOutcome::Cancelled);
            return;
        }
    };
    let (outcome, status, body) = match handled {
        Ok(reply) => encode(&reply),
        Err(error) => {
            log::warn!(error:display = error; "a forwarded request cannot be read");
            (ServedOutcome::Malformed, StatusCode::BAD_REQUEST, Bytes::new())
        }
    };
    match send(&mut respond, status, body).await {
        Ok(()) => count(outcome),
        Err(error) => {
            log::info!(error:display = error; "response to a forwarded request cannot be sent");
            count(ServedOutcome::NotSent);
        }
    }
}

fn count(outcome: ServedOutcome) {
    let outcome: &'static str = outcome.into();
    metrics::counter!("forwarded_requests_served", "outcome" => outcome).increment(1);
}

/// Reads a message and handles its request.
async fn handle<P>(shared: &Rc<Shared<P>>, body: RecvStream) -> Result<ForwardReply, MessageError>
where
    P: Platform,
{
    let Some(_place) = shared.forwarder.places.take() else {
        discard(body).await;
        return Ok(ForwardReply::Overloaded);
    };
    let received_ms = clock::read().monotonic_ms;
    let received = timeout(MESSAGE_TIMEOUT, receive(&shared.request_memory, body)).await;
    let Some(message) = received.map_err(|_| MessageError::Incomplete)?? else {
        metrics::counter!("request_bodies_rejected").increment(1);
        return Ok(ForwardReply::Overloaded);
    };
    let forwarded = Forwarded::decode(message.bytes())?;
    let _open = OpenRequest::new(&shared.requests_open);
    let request = forwarded.request(received_ms);
    let answer = requests::answer_forwarded(shared, &request).await;
    let (account, reply) = match answer {
        Some(answer) => (answer.account, ForwardReply::Answered(answer.response)),
        None => (None, ForwardReply::NoStore),
    };
    let took_ms = clock::read().monotonic_ms.saturating_sub(received_ms);
    log::info!(request = request.request_id, from = forwarded.from.as_str(),
        method = request.method.as_str(), path = request.path,
        account = account.as_ref().map(AccountId::as_str), answer:? = reply, took_ms = took_ms;
        "forwarded request answered");
    Ok(reply)
}

/// Reads a message into the memory for requests; none if there is no room.
async fn receive(
    memory: &RequestMemory,
    mut body: RecvStream,
) -> Result<Option<WholeBody>, MessageError> {
    let mut message = memory.begin(MESSAGE_MAX);
    loop {
        let part = tokio::select! {
            biased;
            () = message.ended() => None,
            part = body.data() => Some(part),
        };
        let pushed = match part {
            Some(Some(Ok(part))) => {
                let pushed = message.push(&part);
                // Fails only if the stream has ended, which the next read reports.
                let _ = body.flow_control().release_capacity(part.len());
                pushed
            }
            Some(Some(Err(_))) => return Err(MessageError::Incomplete),
            Some(None) => return Ok(message.finish().ok()),
            None => Err(BodyError::Exhausted),
        };
        match pushed {
            Ok(()) => {}
            Err(BodyError::TooLarge) => return Err(MessageError::Incomplete),
            Err(BodyError::Exhausted) => {
                drop(message);
                discard(body).await;
                return Ok(None);
            }
        }
    }
}

/// Reads a message without keeping it: a sender whose stream ends early might
/// not see the reply.
async fn discard(mut body: RecvStream) {
    let read = async {
        while let Some(Ok(part)) = body.data().await {
            // Fails only if the stream has ended, which the next read reports.
            let _ = body.flow_control().release_capacity(part.len());
        }
    };
    // A message that takes longer is answered without its end.
    let _ = timeout(MESSAGE_TIMEOUT, read).await;
}

fn encode(reply: &ForwardReply) -> (ServedOutcome, StatusCode, Bytes) {
    let outcome = match reply {
        ForwardReply::Answered(_) => ServedOutcome::Answered,
        ForwardReply::NoStore => ServedOutcome::NoStore,
        ForwardReply::Overloaded => ServedOutcome::Overloaded,
    };
    match frame::encode(reply, MESSAGE_MAX_BYTES) {
        Ok(bytes) => (outcome, StatusCode::OK, bytes.into()),
        Err(error) => {
            log::error!(error:display = error; "reply to a forwarded request cannot be encoded");
            // The status must not say that nothing was done.
            (ServedOutcome::NotSent, StatusCode::OK, Bytes::new())
        }
    }
}

async fn send(
    respond: &mut SendResponse<Bytes>,
    status: StatusCode,
    body: Bytes,
) -> Result<(), h2::Error> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let mut outgoing: SendStream<Bytes> = respond.send_response(response, false)?;
    send_all(&mut outgoing, body, true).await
}
