//! Side of the process that does not reach the store: forwards requests and
//! combines the answers.

use std::{
    cell::RefCell,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use hashbrown::HashMap;
use tamarackproxy::state::ids::DataCentreId;
use tokio::time::timeout;

use super::{
    super::{
        callers::{CallerResponse, caller_deadline_ms},
        clock,
        platform::Platform,
        requests::ReceivedRequest,
        shared::Shared,
    },
    link::{LinkError, PeerLink},
    message::{ForwardMessage, ForwardReply},
};
use crate::coordination::{
    forwarding::{
        AttemptResult, ForwardOutcome, ForwardedRequest, Forwarding, HEDGE_DELAY_MS, Question,
        RequestKind, ResponseKind, Verdict,
    },
    relay::Member,
};

/// Forwards requests of one process.
pub(in crate::node) struct Forwarder {
    engine: RefCell<Forwarding>,
    links: RefCell<HashMap<SocketAddr, Rc<PeerLink>>>,
    /// Bounds the forwarded requests that this process handles for others.
    pub(super) places: super::server::Places,
}

/// How a process stands before it serves a request.
#[derive(Clone, Copy, Debug)]
pub(in crate::node) struct Own {
    /// The store was reachable.
    pub(in crate::node) was_reachable: bool,
    /// What the request asks for.
    pub(in crate::node) kind: RequestKind,
}

/// Releases the place of a request in flight when dropped.
struct InFlight<'a>(&'a Forwarder);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.engine.borrow_mut().end();
    }
}

/// How forwarding a request ended.
struct Forwarded {
    outcome: ForwardOutcome,
    /// A peer's response that the caller may get.
    response: Option<CallerResponse>,
    /// A write may have taken effect or may still do so.
    may_take_effect: bool,
}

impl Forwarder {
    pub(in crate::node) fn new(data_centre: DataCentreId) -> Self {
        let engine = RefCell::new(Forwarding::new(data_centre, rand::random_range(0..1_024)));
        Self { engine, links: RefCell::default(), places: super::server::Places::default() }
    }

    /// Replaces the list of peers, and closes the connections to those that are
    /// gone once their requests have ended.
    pub(super) fn set_peers(&self, peers: Vec<Member>) {
        let listed = |address: &SocketAddr| peers.iter().any(|peer| peer.address == *address);
        self.links.borrow_mut().retain(|address, _| listed(address));
        self.engine.borrow_mut().set_peers(peers);
    }

    fn link(&self, address: SocketAddr) -> Rc<PeerLink> {
        let mut links = self.links.borrow_mut();
        Rc::clone(links.entry(address).or_insert_with(|| Rc::new(PeerLink::new(address))))
    }
}

/// Forwards a request that this process cannot serve; `own` is the response
/// without peers.
pub(in crate::node) async fn forward<P>(
    shared: &Shared<P>,
    kind: RequestKind,
    request: &ReceivedRequest<'_>,
    own: CallerResponse,
) -> CallerResponse
where
    P: Platform,
{
    let may_take_effect = response_kind(kind, &own) == ResponseKind::Unknown;
    let forwarded = ask_peers(shared, kind, request, may_take_effect).await;
    combine(forwarded, own)
}

/// Returns `own`, the response of this process, or that of a peer if the store
/// does not answer in time.
pub(in crate::node) async fn serve_with_peers<P, F>(
    shared: &Shared<P>,
    own: Own,
    request: &ReceivedRequest<'_>,
    response: F,
) -> CallerResponse
where
    P: Platform,
    F: Future<Output = CallerResponse>,
{
    match own.kind {
        RequestKind::Submit => {
            let response = response.await;
            if forwards_submission(shared, own, &response) {
                forward(shared, own.kind, request, response).await
            } else {
                response
            }
        }
        RequestKind::Cancel | RequestKind::Read => {
            hedge(shared, own, request, pin!(response)).await
        }
    }
}

/// Returns whether a submission is forwarded after this process has given it up.
/// A refusal of a store that is reached is an answer.
fn forwards_submission<P>(shared: &Shared<P>, own: Own, response: &CallerResponse) -> bool
where
    P: Platform,
{
    match response {
        CallerResponse::Unknown | CallerResponse::Unavailable { .. } => true,
        CallerResponse::NotAccepted { .. } => {
            !own.was_reachable || !shared.store_is_reachable() || shared.store_is_disconnected()
        }
        _ => false,
    }
}

/// Serves an idempotent request here and, if the store does not answer for
/// [`HEDGE_DELAY_MS`] or is not reached, also at a peer. The first definite
/// answer counts.
async fn hedge<P, F>(
    shared: &Shared<P>,
    own: Own,
    request: &ReceivedRequest<'_>,
    mut response: Pin<&mut F>,
) -> CallerResponse
where
    P: Platform,
    F: Future<Output = CallerResponse>,
{
    let kind = own.kind;
    let delay_ms = if own.was_reachable { HEDGE_DELAY_MS } else { 0 };
    let first = timeout(Duration::from_millis(delay_ms), response.as_mut()).await;
    if let Ok(response) = first {
        return match response_kind(kind, &response) {
            ResponseKind::Settled => response,
            _ => forward(shared, kind, request, response).await,
        };
    }
    let mut forwarded = pin!(ask_peers(shared, kind, request, false));
    tokio::select! {
        biased;
        response = response.as_mut() => match response_kind(kind, &response) {
            ResponseKind::Settled => response,
            _ => combine(forwarded.await, response),
        },
        forwarded = forwarded.as_mut() => match forwarded.response {
            Some(response) => response,
            None => {
                let own = response.await;
                if response_kind(kind, &own) == ResponseKind::Settled {
                    own
                } else {
                    combine(forwarded, own)
                }
            }
        },
    }
}

/// Combines the end of a forwarded request with the response of this process,
/// which does not settle it.
fn combine(forwarded: Forwarded, own: CallerResponse) -> CallerResponse {
    match forwarded.response {
        Some(response) => response,
        None if forwarded.may_take_effect => CallerResponse::Unknown,
        None => own,
    }
}

/// Asks peers until one of them has an answer.
async fn ask_peers<P>(
    shared: &Shared<P>,
    kind: RequestKind,
    request: &ReceivedRequest<'_>,
    may_take_effect: bool,
) -> Forwarded
where
    P: Platform,
{
    let forwarder = &shared.forwarder;
    let began_ms = clock::read().monotonic_ms;
    let deadline_ms = caller_deadline_ms(request.received_ms, request.timeout_ms);
    let begun = forwarder.engine.borrow_mut().begin(kind, may_take_effect, deadline_ms);
    let forwarded = match begun {
        Ok(state) => {
            let _in_flight = InFlight(forwarder);
            ask_in_turn(shared, request, kind, state).await
        }
        Err(outcome) => Forwarded { outcome, response: None, may_take_effect },
    };
    let took_ms = clock::read().monotonic_ms.saturating_sub(began_ms);
    metrics::counter!("forwarded_requests", "outcome" => forwarded.outcome.name()).increment(1);
    if forwarded.response.is_some() {
        log::info!(request = request.request_id, method = request.method.as_str(),
            path = request.path, outcome = forwarded.outcome.name(), took_ms = took_ms;
            "request was forwarded");
    } else {
        log::info!(request = request.request_id, method = request.method.as_str(),
            path = request.path, outcome = forwarded.outcome.name(), took_ms = took_ms;
            "request could not be forwarded");
    }
    forwarded
}

async fn ask_in_turn<P>(
    shared: &Shared<P>,
    request: &ReceivedRequest<'_>,
    kind: RequestKind,
    mut state: ForwardedRequest,
) -> Forwarded
where
    P: Platform,
{
    let engine = &shared.forwarder.engine;
    loop {
        let now_ms = clock::read().monotonic_ms;
        let next = engine.borrow_mut().next(now_ms, &mut state);
        let Question { peer, limit_ms } = match next {
            Ok(question) => question,
            Err(outcome) => return unanswered(outcome, &state),
        };
        let link = shared.forwarder.link(peer.address);
        let reply = link.ask(limit_ms, |left_ms| {
            ForwardMessage::new(&shared.settings.entry, request, left_ms).encode()
        });
        let reply = reply.await;
        if reply == Err(LinkError::TooLarge) {
            return unanswered(ForwardOutcome::TooLarge, &state);
        }
        let (result, response) = attempt_result(kind, reply);
        if response.is_none() {
            let outcome = ForwardOutcome::from(result).name();
            log::info!(request = request.request_id, peer = peer.entry.as_str(),
                outcome = outcome; "peer did not answer a forwarded request");
        }
        let now_ms = clock::read().monotonic_ms;
        let verdict = engine.borrow_mut().on_result(now_ms, &peer.entry, &mut state, result);
        match verdict {
            Verdict::UseResponse => {
                let may_take_effect = state.may_take_effect();
                return Forwarded { outcome: ForwardOutcome::Answered, response, may_take_effect };
            }
            Verdict::Unknown => {
                let outcome = ForwardOutcome::Unknown;
                return Forwarded { outcome, response: None, may_take_effect: true };
            }
            Verdict::AskNext => {}
        }
    }
}

fn unanswered(outcome: ForwardOutcome, state: &ForwardedRequest) -> Forwarded {
    Forwarded { outcome, response: None, may_take_effect: state.may_take_effect() }
}

fn attempt_result(
    kind: RequestKind,
    reply: Result<ForwardReply, LinkError>,
) -> (AttemptResult, Option<CallerResponse>) {
    match reply {
        Ok(ForwardReply::Answered(response)) => {
            (AttemptResult::Answered(response_kind(kind, &response)), Some(response))
        }
        Ok(ForwardReply::NoStore) => (AttemptResult::NoStore, None),
        Ok(ForwardReply::Overloaded) => (AttemptResult::Overloaded, None),
        Err(LinkError::NotConnected | LinkError::TooLarge) => (AttemptResult::NotConnected, None),
        Err(LinkError::Rejected) => (AttemptResult::Rejected, None),
        Err(LinkError::Lost) => (AttemptResult::Lost, None),
    }
}

/// Returns what a response says about the effect of a request.
pub(super) fn response_kind(kind: RequestKind, response: &CallerResponse) -> ResponseKind {
    match response {
        CallerResponse::Accepted
        | CallerResponse::State { .. }
        | CallerResponse::Cancelled
        | CallerResponse::NoSuchJob
        | CallerResponse::Waiting(_) => ResponseKind::Settled,
        CallerResponse::NotAccepted { .. }
        | CallerResponse::Overloaded { .. }
        | CallerResponse::Unavailable { .. } => ResponseKind::NoEffect,
        CallerResponse::Refused(_) => match kind {
            RequestKind::Submit => ResponseKind::NoEffect,
            RequestKind::Cancel | RequestKind::Read => ResponseKind::Settled,
        },
        CallerResponse::Unknown => ResponseKind::Unknown,
    }
}
