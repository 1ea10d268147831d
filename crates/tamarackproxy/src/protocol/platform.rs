//! JSON bodies of the platform's host list and worker calls.

use serde::{Deserialize, Serialize};

use crate::state::ids::{DataCentreId, HostId, RackId};

/// State of a host in the platform's host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The host runs.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// One host of the platform's host list, which may be outdated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    pub host: HostId,
    /// Data centre that the host is in.
    pub data_centre: DataCentreId,
    /// Rack that the host is in.
    pub rack: RackId,
    /// IP address of the host.
    pub address: Box<str>,
    /// CPU capacity, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    pub accelerators: u32,
    pub state: ListedState,
}

/// Body of `GET /v1/hosts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// All listed hosts.
    pub hosts: Vec<ListedHost>,
}

/// Body of the call that starts a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Name of the task, unique on its worker.
    pub task: Box<str>,
    /// Time after which the worker ends the task unless its lease is renewed, in
    /// milliseconds.
    pub lease_ms: u64,
    /// CPU limit, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory limit, in bytes.
    pub memory_bytes: u64,
    /// Number of accelerators reserved for the task.
    pub accelerators: u32,
    /// Name of the checkpoint that the task resumes from.
    #[serde(default)]
    pub checkpoint: Option<Box<str>>,
}

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It ended successfully.
    Done,
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease expired.
    LeaseLapsed,
    HostStopped,
}

/// Report of a worker on one task; resource usage is delayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    pub task: Box<str>,
    pub state: TaskState,
    /// CPU usage, in thousandths of a core; delayed.
    pub cpu_millicores: u64,
    /// Memory usage, in bytes; delayed.
    pub memory_bytes: u64,
    /// Work done, in milliseconds of unthrottled run time.
    pub progress_ms: u64,
}

/// Body of `GET /v1/workers/<host>/tasks`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskList {
    /// All tasks of the worker.
    pub tasks: Vec<TaskReport>,
}
