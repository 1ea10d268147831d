//! Requests of operators to the administration API.

use std::collections::HashMap;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::{core::Input, event_loop::EventLoop};
use crate::{
    coordination::{
        burn::{BURN_PREFIX, BurnLedger, BurnReport},
        configuration::{OperatorCall, Position, PutError},
        jobs::JobSpec,
    },
    protocol::{
        admin::PutRequest,
        jobs::JobRequest,
        store::{KeyValue, StoreReply, StoreRequest},
    },
    state::{
        document::Document,
        ids::{IdError, PoolId, Revision, TeamId},
    },
    transport::{
        admin_server::{AdminInput, AdminRequest, AdminResponse},
        store_client::StoreClient,
    },
};

/// Records in one page of a listing.
const LIST_LIMIT: u32 = 1_000;
/// Ledgers read in one call; one takes up to some 350 kB with 26 services.
const LEDGERS_PER_PAGE: u32 = 4;

/// Operators' calls in progress.
#[derive(Default)]
pub(super) struct AdminState {
    next_call: u64,
    pending_replies: HashMap<OperatorCall, oneshot::Sender<AdminResponse>>,
    waiting_reads: HashMap<OperatorCall, (Box<AdminRequest>, oneshot::Sender<AdminResponse>)>,
}

impl AdminState {
    fn next_call(&mut self) -> OperatorCall {
        self.next_call += 1;
        OperatorCall(self.next_call)
    }
}

fn not_found(path: &str) -> AdminResponse {
    let detail = format!("{path} does not exist; see the list of paths in the API reference");
    AdminResponse::problem(StatusCode::NOT_FOUND, "not-found", &detail)
}

/// Parses a request about jobs: POST `jobs/<pool>`, DELETE `jobs/<pool>/<job>`
/// or GET `explain/job/<pool>/<job>`; `None` for any other request.
fn job_request(
    team: &TeamId,
    path: &str,
    request: &AdminRequest,
) -> Option<Result<(PoolId, JobRequest), Box<str>>> {
    let segments: Vec<&str> = path.split('/').collect();
    let name = |text: &str| text.parse().map_err(|error: IdError| error.to_string().into());
    let parsed = match (&request.method, segments.as_slice()) {
        (&Method::POST, ["jobs", pool]) => name(pool).and_then(|pool| {
            let spec: JobSpec = serde_json::from_slice(&request.body)
                .map_err(|error| format!("the body is not a job: {error}"))?;
            Ok((pool, JobRequest::Submit(JobSpec { team: team.clone(), ..spec })))
        }),
        (&Method::DELETE, ["jobs", pool, job]) => name(pool).and_then(|pool| {
            let job = job.parse().map_err(|error: IdError| error.to_string())?;
            Ok((pool, JobRequest::Cancel { job, team: team.clone() }))
        }),
        (&Method::GET, ["explain", "job", pool, job]) => name(pool).and_then(|pool| {
            let job = job.parse().map_err(|error: IdError| error.to_string())?;
            Ok((pool, JobRequest::Explain(job)))
        }),
        _ => return None,
    };
    Some(parsed)
}

fn put_status(error: &PutError) -> StatusCode {
    match error {
        PutError::NotOwner { .. } => StatusCode::FORBIDDEN,
        PutError::NoHistory(_) => StatusCode::NOT_FOUND,
        PutError::Stale { .. } | PutError::StoreRestored => StatusCode::CONFLICT,
        PutError::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
        PutError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        PutError::Unavailable | PutError::Unknown | PutError::Busy => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

/// Reads all records with a prefix; `None` if the store does not answer.
async fn list_all(store: &StoreClient, prefix: &str, limit: u32) -> Option<Vec<KeyValue>> {
    let mut records = Vec::new();
    let mut after = None;
    loop {
        let request = StoreRequest::List { prefix: prefix.into(), after, limit };
        let Ok(StoreReply::Values { items, more }) = store.call(&request).await else {
            return None;
        };
        after = items.last().map(|item| item.key.clone());
        records.extend(items);
        if !more || after.is_none() {
            return Some(records);
        }
    }
}

fn store_unavailable() -> AdminResponse {
    let detail = "the platform's store does not answer; repeat the request later";
    AdminResponse::problem(StatusCode::SERVICE_UNAVAILABLE, "store-unavailable", detail)
}

/// Lists records with a prefix as JSON, each with its key and version.
async fn list_records(store: StoreClient, prefix: Box<str>) -> AdminResponse {
    let Some(records) = list_all(&store, &prefix, LIST_LIMIT).await else {
        return store_unavailable();
    };
    let row = |item: &KeyValue| {
        let record: Value = serde_json::from_slice(&item.value).unwrap_or_default();
        json!({ "key": item.key, "version": item.version, "record": record })
    };
    AdminResponse::json(&records.iter().map(row).collect::<Vec<Value>>())
}

impl EventLoop {
    pub(super) fn on_admin(&mut self, input: AdminInput) {
        match input {
            AdminInput::Readiness { reply } => {
                let _ = reply.send(self.core.is_serving());
            }
            AdminInput::Request { request, reply } => self.on_operator_request(request, reply),
        }
    }

    fn on_operator_request(
        &mut self,
        request: Box<AdminRequest>,
        reply: oneshot::Sender<AdminResponse>,
    ) {
        let team = self.core.authenticate_team(&request.headers);
        let Some(team) = team else {
            let detail = "the bearer token is missing or unknown; send your team's token";
            let refused =
                AdminResponse::problem(StatusCode::UNAUTHORIZED, "unauthenticated", detail);
            let _ = reply.send(refused);
            return;
        };
        if let Some(revision) = request.query_number("min-revision") {
            return self.wait_for(Revision(revision), request, reply);
        }
        self.answer_operator(team, &request, reply);
    }

    fn answer_operator(
        &mut self,
        team: TeamId,
        request: &AdminRequest,
        reply: oneshot::Sender<AdminResponse>,
    ) {
        let path = request.path.strip_prefix("/admin/v1/").unwrap_or_default();
        if path == "document" && request.method == Method::PUT {
            return self.put_document(team, request, reply);
        }
        if let (Some(revision), &Method::POST) =
            (path.strip_prefix("document/revert/"), &request.method)
            && let Ok(revision) = revision.parse()
        {
            let call = self.admin.next_call();
            self.admin.pending_replies.insert(call, reply);
            return self.handle_input(Input::Revert { call, team, revision });
        }
        if let Some(request) = job_request(&team, path, request) {
            let call = self.admin.next_call();
            self.admin.pending_replies.insert(call, reply);
            match request {
                Ok((pool, request)) => {
                    let request = Box::new(request);
                    self.handle_input(Input::JobRequest { call, pool, request });
                }
                Err(message) => self.on_job_answered(call, Err(message)),
            }
            return;
        }
        if path == "report" {
            return self.answer_report(reply);
        }
        let records = match path {
            "budgets" => Some("budget/"),
            "waves" => Some("wave/"),
            "jobs" => Some("jobs/"),
            "document/history" => Some("document/history/"),
            _ => None,
        };
        if let Some(prefix) = records {
            let store = self.store.clone();
            tokio::task::spawn_local(async move {
                let _ = reply.send(list_records(store, prefix.into()).await);
            });
            return;
        }
        let response = match path {
            "status" => AdminResponse::json(&self.core.status()),
            "pools" => AdminResponse::json(&self.core.pool_rows()),
            "hosts" => AdminResponse::json(&self.core.host_rows()),
            "services" => AdminResponse::json(&self.core.service_rows()),
            "document" => match self.core.document_body() {
                Some(body) => AdminResponse::json(&body),
                None => not_found(path),
            },
            _ => self.explain(path),
        };
        let _ = reply.send(response);
    }

    fn put_document(
        &mut self,
        team: TeamId,
        request: &AdminRequest,
        reply: oneshot::Sender<AdminResponse>,
    ) {
        let put: PutRequest = match serde_json::from_slice(&request.body) {
            Ok(put) => put,
            Err(error) => {
                let detail = format!("the body is not a put request: {error}; see the API page");
                let response = AdminResponse::problem(StatusCode::BAD_REQUEST, "bad-body", &detail);
                let _ = reply.send(response);
                return;
            }
        };
        let call = self.admin.next_call();
        self.admin.pending_replies.insert(call, reply);
        let (edits, raise_epoch) = (put.edits, put.raise_epoch);
        self.handle_input(Input::Put { call, team, edits, raise_epoch });
    }

    pub(super) fn on_put_ended(&mut self, call: OperatorCall, result: Result<Position, PutError>) {
        let Some(reply) = self.admin.pending_replies.remove(&call) else { return };
        let response = match result {
            Ok(position) => AdminResponse::json(&position),
            Err(error) => {
                AdminResponse::problem(put_status(&error), "put-refused", &error.to_string())
            }
        };
        let _ = reply.send(response);
    }

    pub(super) fn on_job_answered(
        &mut self,
        call: OperatorCall,
        result: Result<Box<str>, Box<str>>,
    ) {
        let Some(reply) = self.admin.pending_replies.remove(&call) else { return };
        let response = match result {
            Ok(text) => AdminResponse::json(&json!({ "explanation": text })),
            Err(text) => AdminResponse::problem(StatusCode::CONFLICT, "job-refused", &text),
        };
        let _ = reply.send(response);
    }

    fn wait_for(
        &mut self,
        revision: Revision,
        request: Box<AdminRequest>,
        reply: oneshot::Sender<AdminResponse>,
    ) {
        let call = self.admin.next_call();
        self.admin.waiting_reads.insert(call, (request, reply));
        self.handle_input(Input::WaitFor { call, revision });
    }

    pub(super) fn on_wait_ended(&mut self, call: OperatorCall, reached: bool) {
        let Some((request, reply)) = self.admin.waiting_reads.remove(&call) else { return };
        let team = self.core.authenticate_team(&request.headers);
        match team {
            Some(team) if reached => self.answer_operator(team, &request, reply),
            _ => {
                let detail = "the revision is not in force here in time; repeat the request";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let _ = reply.send(AdminResponse::problem(status, "not-in-force", detail));
            }
        }
    }

    /// Explains what a host or a request is waiting for.
    fn explain(&self, path: &str) -> AdminResponse {
        let mut segments = path.split('/');
        let body = match (segments.next(), segments.next(), segments.next()) {
            (Some("explain"), Some("host"), Some(host)) => {
                host.parse().ok().map(|host| self.core.explain_host(&host))
            }
            (Some("explain"), Some("request"), Some(request)) => {
                request.parse().ok().and_then(|request| self.core.explain_request(request))
            }
            _ => None,
        };
        body.map_or_else(|| not_found(path), |body| AdminResponse::json(&body))
    }

    /// Answers with the report over all seats. The counts of this entry host's
    /// seat are taken from memory, which is newer than the store.
    fn answer_report(&self, reply: oneshot::Sender<AdminResponse>) {
        let Some(document) = self.core.document().cloned() else {
            return;
        };
        let (own_key, own) = (self.core.burn.key(), self.core.burn.ledger().clone());
        let (store, now_unix_ms) = (self.store.clone(), self.core.now().unix_ms);
        tokio::task::spawn_local(async move {
            let response = match list_all(&store, BURN_PREFIX, LEDGERS_PER_PAGE).await {
                Some(records) => {
                    let ledger = sum_ledgers(own_key.as_deref(), own, &records);
                    report(&ledger, &document, now_unix_ms)
                }
                None => store_unavailable(),
            };
            let _ = reply.send(response);
        });
    }
}

fn sum_ledgers(own_key: Option<&str>, own: BurnLedger, records: &[KeyValue]) -> BurnLedger {
    let mut sum = own;
    let others = records.iter().filter(|record| Some(&*record.key) != own_key);
    for record in others {
        match serde_json::from_slice(&record.value) {
            Ok(ledger) => sum.merge(&ledger),
            Err(error) => {
                log::warn!(key = &*record.key; "burn ledger cannot be decoded and is left out: {error}")
            }
        }
    }
    sum
}

fn report(ledger: &BurnLedger, document: &Document, now_unix_ms: u64) -> AdminResponse {
    AdminResponse::json(&BurnReport::new(ledger, document, now_unix_ms))
}
