//! HTTP handler of one service instance.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderMap, HeaderValue},
};
use rand::Rng;
use tamarackproxy::{
    protocol::caller::{IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, REQUEST_BODY_MAX_BYTES},
    state::{document::Urgency, ids::ServiceId},
};

use super::{
    ATTEMPT_HEADER, CALLER_HEADER, SLOTS,
    echo::{echo_body, parse_path},
    host::Shared,
    record::{Interruption, RunRecord},
};
use crate::net::{Body, Handler, channel_body, full_body};

/// Serves the requests to one instance.
#[derive(Clone)]
pub(super) struct Instance {
    service: ServiceId,
    shared: Arc<Shared>,
}

/// Ends a run when dropped, which hyper does when the client disconnects.
struct RunGuard {
    index: usize,
    shared: Arc<Shared>,
    cut: Option<Interruption>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        self.shared.records().end(self.index, now_ms, self.cut);
    }
}

/// Random properties of a run.
struct Sample {
    duration: Duration,
    truncates_response: bool,
}

impl Instance {
    pub(super) fn new(service: ServiceId, shared: Arc<Shared>) -> Self {
        Self { service, shared }
    }

    /// Occupies a slot and records the run; `None` if the request is rejected.
    fn start(&self, request: &Request<Incoming>) -> Option<RunGuard> {
        let started_ms = self.shared.clock.now_ms();
        let refuses = self.shared.state().faults.refuses;
        let mut records = self.shared.records();
        if refuses {
            records.refused += 1;
            return None;
        }
        if records.running(&self.service, &self.shared.host) >= SLOTS {
            records.slot_overruns += 1;
            return None;
        }
        let headers = request.headers();
        let (number, _) = path_of(request).unwrap_or_default();
        let index = records.start(RunRecord {
            service: self.service.clone(),
            host: self.shared.host.clone(),
            caller: header_text(headers, CALLER_HEADER).unwrap_or_default().into(),
            request: number,
            attempt: header_text(headers, ATTEMPT_HEADER).and_then(|attempt| attempt.parse().ok()),
            key: header_text(headers, IDEMPOTENCY_KEY_HEADER)
                .map(|key| key.trim_matches('"').into()),
            repeatable: !matches!(*request.method(), Method::POST | Method::PATCH),
            started_ms,
            ended_ms: None,
            cut: None,
        });
        let shared = self.shared.clone();
        Some(RunGuard { index, shared, cut: Some(Interruption::ClientGone) })
    }

    fn sample(&self, urgency: Urgency) -> Sample {
        let mut state = self.shared.state();
        let faults = state.faults;
        let duration_ms = self.shared.times.sample_ms(urgency, &mut state.random) * faults.slowness;
        let truncates_response = faults.truncated_response_share > 0.0
            && state.random.random_bool(faults.truncated_response_share.min(1.0));
        Sample { duration: Duration::from_secs_f64(duration_ms / 1_000.0), truncates_response }
    }

    async fn run(&self, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let Some(mut guard) = self.start(&request) else { return Ok(refusal()) };
        let (number, size_bytes) = path_of(&request).unwrap_or_default();
        let caller: Box<str> =
            header_text(request.headers(), CALLER_HEADER).unwrap_or_default().into();
        let urgency =
            Urgency::from_priority(header_text(request.headers(), "priority").unwrap_or(""));
        let body = Limited::new(request.into_body(), REQUEST_BODY_MAX_BYTES);
        body.collect().await.map_err(io::Error::other)?;
        let response = if self.shared.state().faults.fails_everything {
            status_response(StatusCode::INTERNAL_SERVER_ERROR)
        } else {
            let sample = self.sample(urgency);
            // Even a zero sleep takes until the next millisecond.
            if !sample.duration.is_zero() {
                tokio::time::sleep(sample.duration).await;
            }
            let body = echo_body(&caller, number, size_bytes);
            if sample.truncates_response {
                truncated_response(&body)
            } else {
                Response::new(full_body(body))
            }
        };
        guard.cut = None;
        Ok(response)
    }
}

impl Handler for Instance {
    async fn handle(
        &self,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> io::Result<Response<Body>> {
        if request.uri().path() == "/healthz" {
            let fails = self.shared.state().faults.fails_everything;
            let status = if fails { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
            return Ok(status_response(status));
        }
        let mut response = self.run(request).await?;
        if self.shared.state().faults.leaving {
            let now_ms = self.shared.clock.now_ms();
            self.shared.records().record_leaving_signal(&self.shared.host, now_ms);
            response.headers_mut().insert("connection", HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

fn path_of(request: &Request<Incoming>) -> Option<(u64, usize)> {
    parse_path(request.uri().path_and_query()?.as_str())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn status_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn refusal() -> Response<Body> {
    let mut response = status_response(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
    response
}

/// Declares the full length, sends half of the body and closes the connection.
fn truncated_response(body: &[u8]) -> Response<Body> {
    let (sender, channel) = channel_body();
    let half = Bytes::copy_from_slice(&body[..body.len() / 2]);
    // The channel has room for both chunks, and a disconnected client needs none.
    let _ = sender.try_send(Ok(half));
    let _ = sender.try_send(Err(io::ErrorKind::ConnectionAborted.into()));
    let mut response = Response::new(channel);
    response.headers_mut().insert("content-length", HeaderValue::from(body.len()));
    response
}
