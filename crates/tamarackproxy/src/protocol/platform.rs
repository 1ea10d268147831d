//! The platform's host list, reboots and workers.

use serde::{Deserialize, Serialize};

use crate::state::ids::{DataCentreId, HostId, RackId};

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The host runs.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// One host of the lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub host: HostId,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Rack that it stands in.
    pub rack: RackId,
    /// IP number of the host.
    pub address: Box<str>,
    /// Processors, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// State of the host.
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
    /// Time after which the task ends unless its lease is renewed, in
    /// milliseconds.
    pub lease_ms: u64,
    /// Processors that it may use, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory that it may use, in bytes.
    pub memory_bytes: u64,
    /// Accelerators that it holds.
    pub accelerators: u32,
    /// Name of the checkpoint that it continues from.
    #[serde(default)]
    pub checkpoint: Option<Box<str>>,
}

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It ended with success.
    Done,
    /// It failed by itself.
    Failed,
    /// It was stopped by a call.
    Stopped,
    /// Its lease lapsed.
    LeaseLapsed,
    /// Its host stopped.
    HostStopped,
}

/// What a worker reports of a task; usage lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Name of the task.
    pub task: Box<str>,
    /// State.
    pub state: TaskState,
    /// Processors in use, in thousandths of a core, as of the lag.
    pub cpu_millicores: u64,
    /// Memory in use, in bytes, as of the lag.
    pub memory_bytes: u64,
    /// Work done, as milliseconds of unthrottled running.
    pub progress_ms: u64,
}

/// Body of `GET /v1/workers/<host>/tasks`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskList {
    /// All tasks of the worker.
    pub tasks: Vec<TaskReport>,
}
