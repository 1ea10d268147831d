//! Requests of operators.

use std::{collections::HashMap, sync::Arc};

use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::{configuration::RunningWatch, event_loop::EventLoop};
use crate::{
    coordination::configuration::{ConfigurationEvent, OperatorCall, Position, PutError},
    protocol::{
        admin::{DocumentBody, HostRow, PoolRow, PutRequest, ServiceRow, Status},
        store::{KeyValue, StoreReply, StoreRequest},
    },
    state::{
        ids::{HostId, RequestId, Revision, TeamId},
        records::HostRecord,
    },
    transport::{
        admin_server::{AdminInput, AdminRequest, AdminResponse},
        store_client::StoreClient,
    },
};

/// Time that a read waits for a revision, in milliseconds; a change is in
/// force everywhere within 6 s.
const READ_WAIT_MS: u64 = 6_000;
/// Records that one page of a listing holds.
const LIST_LIMIT: u32 = 1_000;

/// Operators' calls in progress and what only operators see.
#[derive(Default)]
pub(super) struct AdminState {
    next_call: u64,
    puts: HashMap<OperatorCall, oneshot::Sender<AdminResponse>>,
    waits: HashMap<OperatorCall, (Box<AdminRequest>, oneshot::Sender<AdminResponse>)>,
    pub(super) text: Option<Arc<str>>,
    pub(super) restored: Option<(Position, Position)>,
    pub(super) watches: Vec<RunningWatch>,
    pub(super) watch_generation: u64,
    pub(super) is_release_asked: bool,
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

/// Reads all records with a prefix; nothing if the store does not answer.
pub(super) async fn list_all(
    store: &StoreClient,
    prefix: &str,
    limit: u32,
) -> Option<Vec<KeyValue>> {
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

pub(super) fn store_unavailable() -> AdminResponse {
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
                let ready = self.is_ready && !self.is_stopping && self.peers.own_seat().is_some();
                let _ = reply.send(ready);
            }
            AdminInput::Request { request, reply } => self.on_operator(request, reply),
        }
    }

    fn on_operator(&mut self, request: Box<AdminRequest>, reply: oneshot::Sender<AdminResponse>) {
        let team = self.view.as_ref().and_then(|view| view.authenticate_team(&request.headers));
        let Some(team) = team.cloned() else {
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
            self.admin.puts.insert(call, reply);
            return self.on_configuration(ConfigurationEvent::Revert { call, team, revision });
        }
        if path == "report" {
            return self.answer_report(reply);
        }
        let records = match path {
            "budgets" => Some("budget/"),
            "waves" => Some("wave/"),
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
            "status" => AdminResponse::json(&self.status()),
            "pools" => AdminResponse::json(&self.pool_rows()),
            "hosts" => AdminResponse::json(&self.host_rows()),
            "services" => AdminResponse::json(&self.service_rows()),
            "document" => self.document_body(),
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
        self.admin.puts.insert(call, reply);
        let (edits, raise_epoch) = (put.edits, put.raise_epoch);
        self.on_configuration(ConfigurationEvent::Put { call, team, edits, raise_epoch });
    }

    pub(super) fn on_put_ended(&mut self, call: OperatorCall, result: Result<Position, PutError>) {
        let Some(reply) = self.admin.puts.remove(&call) else { return };
        let response = match result {
            Ok(position) => {
                self.admin.restored = None;
                AdminResponse::json(&position)
            }
            Err(error) => {
                AdminResponse::problem(put_status(&error), "put-refused", &error.to_string())
            }
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
        let until_ms = self.now.monotonic_ms + READ_WAIT_MS;
        self.admin.waits.insert(call, (request, reply));
        self.on_configuration(ConfigurationEvent::WaitFor { call, revision, until_ms });
    }

    pub(super) fn on_wait_ended(&mut self, call: OperatorCall, reached: bool) {
        let Some((request, reply)) = self.admin.waits.remove(&call) else { return };
        let team = self.view.as_ref().and_then(|view| view.authenticate_team(&request.headers));
        match team.cloned() {
            Some(team) if reached => self.answer_operator(team, &request, reply),
            _ => {
                let detail = "the revision is not in force here in time; repeat the request";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let _ = reply.send(AdminResponse::problem(status, "not-in-force", detail));
            }
        }
    }

    fn status(&self) -> Status {
        let peers = self.peers.live.iter().map(|peer| (peer.entry.clone(), peer.seat));
        Status {
            entry: self.settings.entry.clone(),
            data_centre: self.settings.data_centre.clone(),
            deployment: self.view.as_ref().map(|view| view.document().deployment.clone()),
            in_force: self.position,
            ready: self.is_ready,
            stopping: self.is_stopping,
            seat: self.peers.seat,
            peers: peers.collect(),
            gateways: self.peers.gateways.clone(),
            open_requests: self.pending.len() as u64,
            reports: self.fleet_state.reports.clone(),
            store_restored: self.admin.restored,
        }
    }

    fn records(&self) -> impl Iterator<Item = &HostRecord> {
        self.fleet_state.records.iter().map(|(_, record)| record)
    }

    fn pool_rows(&self) -> Vec<PoolRow> {
        let Some(view) = &self.view else { return Vec::new() };
        let pools = view.document().pools.iter();
        let row = |(pool, section): (&crate::state::ids::PoolId, _)| {
            let section: &crate::state::document::PoolSection = section;
            let members = || self.records().filter(|record| record.pool == *pool);
            PoolRow {
                pool: pool.clone(),
                size: section.size.values().sum(),
                hosts: members().count() as u32,
                active: members().filter(|record| record.phase.accepts_work()).count() as u32,
                spare: section.spare,
            }
        };
        pools.map(row).collect()
    }

    fn host_rows(&self) -> Vec<HostRow> {
        let row = |(version, record): &(u64, HostRecord)| HostRow {
            host: record.host.clone(),
            data_centre: record.data_centre.clone(),
            rack: record.rack.clone(),
            pool: record.pool.clone(),
            phase: record.phase,
            phase_since_unix_ms: record.phase_since_unix_ms,
            version: *version,
        };
        self.fleet_state.records.iter().map(row).collect()
    }

    fn service_rows(&self) -> Vec<ServiceRow> {
        let Some(view) = &self.view else { return Vec::new() };
        let document = view.document();
        let loads = self.requests.loads();
        let rows = document.services.iter().map(|(service, section)| {
            let available = self
                .records()
                .filter(|record| record.pool == section.pool && record.phase.accepts_work());
            ServiceRow {
                service: service.clone(),
                pool: section.pool.clone(),
                available: available.count() as u32,
                min_available: document.budgets.get(service).map_or(0, |b| b.min_available),
                load: loads.iter().find(|load| load.service == *service).cloned(),
            }
        });
        rows.collect()
    }

    fn document_body(&self) -> AdminResponse {
        match &self.admin.text {
            Some(text) => {
                let (position, text) = (self.position, Box::from(&**text));
                AdminResponse::json(&DocumentBody { position, text })
            }
            None => not_found("document"),
        }
    }

    /// Explains why a host or a request waits.
    fn explain(&self, path: &str) -> AdminResponse {
        let mut segments = path.split('/');
        match (segments.next(), segments.next(), segments.next()) {
            (Some("explain"), Some("host"), Some(host)) => match host.parse::<HostId>() {
                Ok(host) => {
                    let record = self.fleet_state.record(&host).map(|(_, record)| record);
                    let text = self.fleet.explain_host(&host);
                    let in_flight = self.requests.in_flight_on(&host);
                    let body = json!({
                        "host": host, "record": record, "in_flight": in_flight, "explanation": text,
                    });
                    AdminResponse::json(&body)
                }
                Err(_) => not_found(path),
            },
            (Some("explain"), Some("request"), Some(request)) => {
                let request = request.parse::<RequestId>().ok();
                match request.and_then(|request| self.requests.explain(request)) {
                    Some(explanation) => {
                        AdminResponse::json(&json!({ "explanation": format!("{explanation:?}") }))
                    }
                    None => not_found(path),
                }
            }
            _ => not_found(path),
        }
    }
}
