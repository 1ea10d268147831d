//! Tests of the callers: a caller that does not retry, misses a crossed body or
//! sends an invalid key hides faults of the library.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use hyper::{Request, Response, body::Incoming};
use tamarackproxy::{
    protocol::caller::Outcome,
    state::{document::Urgency, ids::ServiceId},
};

use super::{AttemptEnd, AttemptRecord, CallerPlan, Callers, Load, token_digest, token_of};
use crate::{
    clock::Clock,
    net::{Body, Handler, Server, ServerOptions, full_body},
    target::{BodyCheck, echo_body},
};

const SEED: u64 = 1;

/// Answers the first attempt of each key with `unknown` and all others with
/// the response to a request of another caller.
#[derive(Clone, Default)]
struct Entry {
    keys: Arc<Mutex<Vec<String>>>,
}

impl Handler for Entry {
    async fn handle(
        &self,
        request: Request<Incoming>,
        _: SocketAddr,
    ) -> io::Result<Response<Body>> {
        let key = request.headers()["idempotency-key"].to_str().expect("is text").to_owned();
        let mut keys = self.keys.lock().expect("locks");
        let is_first = !keys.contains(&key);
        keys.push(key);
        let mut response = Response::new(full_body(echo_body("another", 1, 10)));
        let outcome = if is_first { "unknown" } else { "answered" };
        response.headers_mut().insert("tamarack-outcome", outcome.parse().expect("is valid"));
        Ok(response)
    }
}

async fn first_attempts() -> Vec<AttemptRecord> {
    let entry = Entry::default();
    let address = "127.77.0.5:0".parse().expect("is an address");
    let server = Server::start(address, ServerOptions::default(), entry).await.expect("starts");
    let load = Load {
        service: ServiceId::new("booking"),
        urgency: Urgency::Normal,
        per_second: 100.0,
        deadline_ms: 1_000,
        surges: Vec::new(),
    };
    let mut plan = CallerPlan::new("rider-app", vec![load]);
    plan.keyed_share = 1.0;
    plan.twice_share = 0.0;
    plan.disconnect_share = 0.0;
    let entries = Arc::new(Mutex::new(vec![server.address()]));
    let mut callers = Callers::start(vec![plan], entries, Clock::start(), SEED);
    while callers.records().attempts.len() < 5 {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    callers.stop().await;
    callers.records().attempts.clone()
}

/// Guards against callers that give up after `unknown`, retry under another key, or
/// accept the body of another request.
#[tokio::test]
async fn unknown_is_repeated_under_the_same_key_and_bodies_are_checked() {
    let attempts = first_attempts().await;
    let first = &attempts[0];
    assert_eq!(first.end.outcome(), Some(Outcome::Unknown), "seed {SEED}");
    let repeat = attempts[1..].iter().find(|attempt| attempt.request == first.request);
    let repeat = repeat.expect("is repeated");
    assert_eq!(repeat.key, first.key);
    let crossed = AttemptEnd::Response {
        status: 200,
        outcome: Some(Outcome::Answered),
        body: Some(BodyCheck::Crossed),
    };
    assert_eq!(repeat.end, crossed);
    let key = first.key.as_deref().expect("is keyed");
    let key = uuid::Uuid::parse_str(key).expect("is a UUID");
    assert_eq!(key.get_version_num(), 7);
}

/// Guards against tokens that the example documents do not accept.
#[test]
fn token_digest_stands_in_the_example_documents() {
    let text = include_str!("../../../../examples/kigali.ini");
    for name in ["rider-app", "payout", "operations"] {
        assert!(text.contains(&token_digest(&token_of(name))), "{name}");
    }
}
