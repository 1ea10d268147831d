//! Client of the platform's HTTP interface: host list, reboots and workers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use serde_json::json;

use super::target_client::TargetClient;
use crate::{
    coordination::{
        jobs::{WorkerCommand, WorkerReply},
        requests::AttemptResult,
    },
    protocol::{
        caller::IDEMPOTENCY_KEY_HEADER,
        http::{TargetRequest, TargetResponse},
        platform::{HostList, ListedHost, StartTask, TaskList, TaskReport},
    },
    state::ids::{HostId, JobId, OperationId},
};

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_millis(2_000);

/// Client of the platform's HTTP interface.
pub(crate) struct PlatformClient {
    address: SocketAddr,
    client: TargetClient,
}

impl PlatformClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, client: TargetClient::default() }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        key: Option<String>,
        body: Bytes,
    ) -> Option<TargetResponse> {
        let mut headers = HeaderMap::new();
        if let Some(key) = key.and_then(|key| HeaderValue::from_str(&key).ok()) {
            headers.insert(IDEMPOTENCY_KEY_HEADER, key);
        }
        let path: Uri = path.parse().ok()?;
        // All calls are idempotent: a reboot carries its operation id, a task its
        // attempt.
        let request = TargetRequest { method, path, headers, body, repeatable: true };
        match self.client.send(self.address, request, TIMEOUT).await {
            (AttemptResult::Answered { .. }, response) => response,
            _ => None,
        }
    }

    /// Reads the host list; `None` if the platform does not answer or its answer
    /// is invalid.
    pub(crate) async fn list_hosts(&self) -> Option<Vec<ListedHost>> {
        let response = self.call(Method::GET, "/v1/hosts", None, Bytes::new()).await?;
        let list: HostList = serde_json::from_slice(&response.body).ok()?;
        Some(list.hosts)
    }

    /// Requests a reboot and returns whether the platform accepted it.
    pub(crate) async fn reboot(&self, host: &HostId, operation: OperationId) -> bool {
        let path = format!("/v1/hosts/{host}/reboot");
        let response =
            self.call(Method::POST, &path, Some(operation.to_string()), Bytes::new()).await;
        response.is_some_and(|response| response.status.is_success())
    }

    /// Reads the tasks of a worker; `None` if the platform does not answer or its
    /// answer is invalid.
    pub(crate) async fn list_tasks(&self, host: &HostId) -> Option<Vec<TaskReport>> {
        let path = format!("/v1/workers/{host}/tasks");
        let response = self.call(Method::GET, &path, None, Bytes::new()).await?;
        let list: TaskList = serde_json::from_slice(&response.body).ok()?;
        Some(list.tasks)
    }

    /// Sends a command to a worker; a renewal applies to all of `tasks`.
    pub(crate) async fn send_command(
        &self,
        host: &HostId,
        command: &WorkerCommand,
        tasks: &[Box<str>],
    ) -> WorkerReply {
        if let WorkerCommand::RenewLease { .. } = command {
            return self.renew_leases(host, tasks).await;
        }
        let tasks = format!("/v1/workers/{host}/tasks");
        let task_path = |job: &JobId, attempt: &u32| format!("{tasks}/{job}.{attempt}");
        let response = match command {
            WorkerCommand::Start { job, attempt, size, lease_ms, from_checkpoint } => {
                let start = StartTask {
                    task: format!("{job}.{attempt}").into(),
                    lease_ms: *lease_ms,
                    cpu_millicores: size.cpu_millicores,
                    memory_bytes: size.memory_bytes,
                    accelerators: size.accelerators,
                    checkpoint: from_checkpoint.then(|| job.as_str().into()),
                };
                let body = serde_json::to_vec(&start).unwrap_or_default();
                self.call(Method::POST, &tasks, None, body.into()).await
            }
            WorkerCommand::Throttle { job, attempt, cpu_millicores } => {
                let path = task_path(job, attempt) + "/throttle";
                let body = json!({ "cpu_millicores": cpu_millicores }).to_string();
                self.call(Method::POST, &path, None, body.into()).await
            }
            WorkerCommand::Checkpoint { job, attempt } => {
                let path = task_path(job, attempt) + "/checkpoint";
                self.call(Method::POST, &path, None, Bytes::new()).await
            }
            WorkerCommand::Stop { job, attempt } => {
                self.call(Method::DELETE, &task_path(job, attempt), None, Bytes::new()).await
            }
            WorkerCommand::RenewLease { .. } => None,
        };
        worker_reply(response)
    }

    async fn renew_leases(&self, host: &HostId, tasks: &[Box<str>]) -> WorkerReply {
        let mut reply = WorkerReply::Done;
        for task in tasks {
            let path = format!("/v1/workers/{host}/tasks/{task}/renew");
            let response = self.call(Method::POST, &path, None, Bytes::new()).await;
            // A rejected renewal is ignored: that a task has ended is learned from
            // the list of tasks.
            if response.is_none() {
                reply = WorkerReply::Unknown;
            }
        }
        reply
    }
}

/// Maps the response to a worker command to its result. A conflict (the task was
/// started before) and `Gone` (it has already ended) count as done.
fn worker_reply(response: Option<TargetResponse>) -> WorkerReply {
    match response.map(|response| response.status) {
        None => WorkerReply::Unknown,
        Some(StatusCode::CONFLICT | StatusCode::GONE) => WorkerReply::Done,
        Some(status) if status.is_success() => WorkerReply::Done,
        Some(status) if status.is_server_error() => WorkerReply::Unknown,
        Some(_) => WorkerReply::Refused,
    }
}
