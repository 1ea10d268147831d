//! Sends the requests of all callers over HTTP.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{
    protocol::caller::{DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, Outcome},
    state::document::Urgency,
};
use tokio::{sync::watch, task::JoinSet};

use super::{
    plan::{CallerPlan, Load, RequestSample},
    record::{AttemptEnd, AttemptRecord, CallerRecords},
    token::token_of,
};
use crate::{
    clock::Clock,
    net::{Call, CallError, Reply, call},
    target::{ATTEMPT_HEADER, check_body, echo_path},
};

/// Time that a caller waits for a response after the deadline, in milliseconds.
const RESPONSE_GRACE_MS: u64 = 3_000;
/// Delay before a retry, in milliseconds.
const RETRY_DELAY_MS: u64 = 250;
/// Longest time until a caller closes its connection early, in milliseconds.
const DISCONNECT_WITHIN_MS: u64 = 60;
/// Entry hosts that one attempt tries to connect to, as the platform's load
/// balancer skips hosts that refuse connections.
const CONNECT_ATTEMPTS: usize = 3;
/// Longest interval between updates of the rate, in milliseconds, so that a surge
/// begins in time.
const RATE_STEP_MS: u64 = 100;

/// Addresses of the entry hosts; updated when one is replaced.
pub type EntryAddresses = Arc<Mutex<Vec<SocketAddr>>>;

/// Handle of running callers; dropping it aborts their requests.
pub struct Callers {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
    records: Arc<Mutex<CallerRecords>>,
}

#[derive(Clone)]
struct Caller {
    plan: Arc<CallerPlan>,
    entries: EntryAddresses,
    records: Arc<Mutex<CallerRecords>>,
    clock: Clock,
    stop: watch::Receiver<bool>,
}

impl Callers {
    /// Starts all callers on the current runtime.
    pub fn start(plans: Vec<CallerPlan>, entries: EntryAddresses, clock: Clock, seed: u64) -> Self {
        let records = Arc::new(Mutex::new(CallerRecords::default()));
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        for plan in plans {
            let caller = Caller {
                plan: Arc::new(plan),
                entries: entries.clone(),
                records: records.clone(),
                clock,
                stop: stopped.clone(),
            };
            for load in caller.plan.loads.clone() {
                let random = ChaCha8Rng::from_rng(&mut random);
                tasks.spawn(caller.clone().run(load, random));
            }
        }
        Self { stop, tasks, records }
    }

    /// Locks the records.
    pub fn records(&self) -> MutexGuard<'_, CallerRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops sending new requests and waits for those in flight.
    pub async fn stop(&mut self) {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

/// A caller's request, which may take several attempts.
struct LogicalRequest {
    load: Load,
    request: u64,
    key: Option<Box<str>>,
    sample: RequestSample,
}

impl Caller {
    async fn run(mut self, load: Load, mut random: ChaCha8Rng) {
        let mut requests = JoinSet::new();
        let mut due = 0.0_f64;
        loop {
            while requests.try_join_next().is_some() {}
            // The time to the next request is sampled in units of the mean interval,
            // so that a change of the rate takes effect immediately.
            if due <= 0.0 {
                due = -(1.0 - random.random::<f64>()).ln();
            }
            let rate = load.rate_at(self.clock.now_ms()).max(1e-6);
            let step = (due / rate).min(RATE_STEP_MS as f64 / 1_000.0);
            tokio::select! {
                () = tokio::time::sleep(Duration::from_secs_f64(step)) => {}
                _ = self.stop.wait_for(|stop| *stop) => break,
            }
            due -= step * rate;
            if due <= 0.0 {
                let logical = self.new_request(&load, &mut random);
                let random = ChaCha8Rng::from_rng(&mut random);
                requests.spawn(self.clone().send(logical, random));
            }
        }
        while requests.join_next().await.is_some() {}
    }

    fn records(&self) -> MutexGuard<'_, CallerRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn new_request(&self, load: &Load, random: &mut ChaCha8Rng) -> LogicalRequest {
        let sample = self.plan.sample(random);
        let key = sample.is_keyed.then(|| new_key(&sample.key_bytes));
        LogicalRequest { load: load.clone(), request: self.records().next_request(), key, sample }
    }

    async fn send(self, logical: LogicalRequest, mut random: ChaCha8Rng) {
        if logical.sample.is_sent_twice {
            let mut other = ChaCha8Rng::from_rng(&mut random);
            tokio::join!(self.attempt(&logical, &mut random), self.attempt(&logical, &mut other));
            return;
        }
        for _ in 0..self.plan.attempts_max {
            if !should_retry(&self.attempt(&logical, &mut random).await) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }

    async fn attempt(&self, logical: &LogicalRequest, random: &mut ChaCha8Rng) -> AttemptEnd {
        let attempt = self.records().start(AttemptRecord {
            caller: self.plan.caller.clone(),
            service: logical.load.service.clone(),
            urgency: logical.load.urgency,
            request: logical.request,
            attempt: 0,
            key: logical.key.clone(),
            started_ms: self.clock.now_ms(),
            deadline_ms: logical.load.deadline_ms,
            ended_ms: None,
            end: AttemptEnd::Open,
        });
        let exchange = self.exchange(logical, attempt, random);
        let timeout_ms = logical.load.deadline_ms + RESPONSE_GRACE_MS;
        let end = tokio::time::timeout(Duration::from_millis(timeout_ms), exchange).await;
        let end = end.unwrap_or(AttemptEnd::TimedOut);
        self.records().end(attempt, self.clock.now_ms(), end);
        end
    }

    async fn exchange(
        &self,
        logical: &LogicalRequest,
        attempt: u64,
        random: &mut ChaCha8Rng,
    ) -> AttemptEnd {
        let disconnect_ms = random.random_range(1..=DISCONNECT_WITHIN_MS);
        for _ in 0..CONNECT_ATTEMPTS {
            let Some(entry) = self.pick_entry(random) else { break };
            let exchange = call(self.request(logical, attempt, entry));
            let result = if logical.sample.disconnects {
                let limit = Duration::from_millis(disconnect_ms);
                match tokio::time::timeout(limit, exchange).await {
                    Ok(result) => result,
                    Err(_) => return AttemptEnd::Disconnected,
                }
            } else {
                exchange.await
            };
            match result {
                Ok(reply) => return self.check(logical, &reply),
                Err(CallError::Broken(_)) => return AttemptEnd::Broken,
                Err(CallError::NotConnected(_)) => {}
            }
        }
        AttemptEnd::NotConnected
    }

    fn pick_entry(&self, random: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        (!entries.is_empty()).then(|| entries[random.random_range(0..entries.len())])
    }

    fn request(&self, logical: &LogicalRequest, attempt: u64, entry: SocketAddr) -> Call {
        let path = echo_path(logical.request, logical.sample.response_bytes);
        let method = if logical.key.is_some() { Method::POST } else { Method::GET };
        let token = token_of(&self.plan.caller);
        let priority = match logical.load.urgency {
            Urgency::Urgent => "u=1",
            Urgency::Normal => "u=3",
            Urgency::Bulk => "u=6",
        };
        let request = Call::new(entry, method, format!("/call/{}{path}", logical.load.service))
            .with_header("authorization", format!("Bearer {token}"))
            .with_header("priority", priority)
            .with_header(DEADLINE_HEADER, logical.load.deadline_ms.to_string())
            .with_header(ATTEMPT_HEADER, attempt.to_string());
        match &logical.key {
            Some(key) => request
                .with_header(IDEMPOTENCY_KEY_HEADER, format!("\"{key}\""))
                .with_body(format!("request {}", logical.request)),
            None => request,
        }
    }

    fn check(&self, logical: &LogicalRequest, reply: &Reply) -> AttemptEnd {
        let outcome = reply.headers.get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
        let outcome: Option<Outcome> = outcome.and_then(|outcome| outcome.parse().ok());
        let is_answer = reply.status.as_u16() == 200 && outcome == Some(Outcome::Answered);
        let size_bytes = logical.sample.response_bytes;
        let body = is_answer
            .then(|| check_body(&reply.body, &self.plan.caller, logical.request, size_bytes));
        AttemptEnd::Response { status: reply.status.as_u16(), outcome, body }
    }
}

/// Returns whether a caller retries its request after this end of an attempt.
fn should_retry(end: &AttemptEnd) -> bool {
    match end {
        AttemptEnd::Response { status, outcome, .. } => match outcome {
            Some(Outcome::Answered) | None => false,
            Some(Outcome::Unknown) => true,
            Some(Outcome::NotRun) => *status >= 500,
        },
        AttemptEnd::Broken | AttemptEnd::NotConnected | AttemptEnd::TimedOut => true,
        AttemptEnd::Disconnected | AttemptEnd::Open => false,
    }
}

fn new_key(random: &[u8; 10]) -> Box<str> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    uuid::Builder::from_unix_timestamp_millis(unix_ms, random).into_uuid().to_string().into()
}
