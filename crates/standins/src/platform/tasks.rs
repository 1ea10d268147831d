//! HTTP interface for the tasks of workers.
//!
//! - `GET /v1/workers/<host>/tasks`: reports of all tasks
//! - `POST /v1/workers/<host>/tasks`: starts a task under a lease
//! - `POST /v1/workers/<host>/tasks/<task>/renew`
//! - `POST /v1/workers/<host>/tasks/<task>/throttle` with `cpu_millicores`
//! - `POST /v1/workers/<host>/tasks/<task>/checkpoint`: returns the name
//!   of the checkpoint
//! - `DELETE /v1/workers/<host>/tasks/<task>`: stops a task

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tamarackproxy::state::ids::HostId;

use super::{
    state::{Condition, PlatformState},
    workers::TaskRefusal,
};

/// Prefix of all paths of the interface.
pub(super) const TASKS_PREFIX: &str = "/v1/workers/";

/// Response to a task call.
pub(super) struct TaskAnswer {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

#[derive(Deserialize)]
struct Throttle {
    cpu_millicores: u64,
}

impl TaskAnswer {
    fn new(status: StatusCode) -> Self {
        Self { status, body: Bytes::new() }
    }

    fn of(result: Result<(), TaskRefusal>, success: StatusCode) -> Self {
        Self::new(match result {
            Ok(()) => success,
            Err(TaskRefusal::Unknown) => StatusCode::NOT_FOUND,
            Err(TaskRefusal::Exists) => StatusCode::CONFLICT,
            Err(TaskRefusal::Ended) => StatusCode::GONE,
        })
    }
}

/// Serves one task call; the response is status 503 if the host is not running.
pub(super) fn serve(
    state: &mut PlatformState,
    now_ms: u64,
    method: &Method,
    path: &str,
    body: &[u8],
) -> TaskAnswer {
    let mut segments = path.strip_prefix(TASKS_PREFIX).unwrap_or_default().split('/');
    let host = segments.next().and_then(|host| host.parse::<HostId>().ok());
    let (Some(host), Some("tasks")) = (host, segments.next()) else {
        return TaskAnswer::new(StatusCode::NOT_FOUND);
    };
    match state.condition(&host) {
        Some(Condition::Up) => {}
        Some(_) => return TaskAnswer::new(StatusCode::SERVICE_UNAVAILABLE),
        None => return TaskAnswer::new(StatusCode::NOT_FOUND),
    }
    match (segments.next(), segments.next()) {
        (None, _) => all_tasks(state, now_ms, method, &host, body),
        (Some(task), call) => one_task(state, now_ms, method, &host, task, call, body),
    }
}

fn all_tasks(
    state: &mut PlatformState,
    now_ms: u64,
    method: &Method,
    host: &HostId,
    body: &[u8],
) -> TaskAnswer {
    match *method {
        Method::GET => {
            let report = json!({ "tasks": state.workers.report(now_ms, host) });
            TaskAnswer { status: StatusCode::OK, body: report.to_string().into() }
        }
        Method::POST => match serde_json::from_slice(body) {
            Ok(start) => {
                TaskAnswer::of(state.workers.start(now_ms, host, &start), StatusCode::CREATED)
            }
            Err(_) => TaskAnswer::new(StatusCode::BAD_REQUEST),
        },
        _ => TaskAnswer::new(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn one_task(
    state: &mut PlatformState,
    now_ms: u64,
    method: &Method,
    host: &HostId,
    task: &str,
    call: Option<&str>,
    body: &[u8],
) -> TaskAnswer {
    let workers = &mut state.workers;
    let done = StatusCode::NO_CONTENT;
    match (method, call) {
        (&Method::DELETE, None) => TaskAnswer::of(workers.stop(now_ms, host, task), done),
        (&Method::POST, Some("renew")) => TaskAnswer::of(workers.renew(now_ms, host, task), done),
        (&Method::POST, Some("throttle")) => match serde_json::from_slice(body) {
            Ok(Throttle { cpu_millicores }) => {
                TaskAnswer::of(workers.throttle(now_ms, host, task, cpu_millicores), done)
            }
            Err(_) => TaskAnswer::new(StatusCode::BAD_REQUEST),
        },
        (&Method::POST, Some("checkpoint")) => match workers.checkpoint(now_ms, host, task) {
            Ok(name) => TaskAnswer {
                status: StatusCode::CREATED,
                body: json!({ "checkpoint": name }).to_string().into(),
            },
            Err(refusal) => TaskAnswer::of(Err(refusal), done),
        },
        _ => TaskAnswer::new(StatusCode::NOT_FOUND),
    }
}
