//! Inputs of the core: everything that an entry host reacts to.

use crate::{
    coordination::{
        configuration::{OperatorCall, SectionEdit},
        jobs::{WorkerCallId, WorkerReply},
        requests::AttemptResult,
    },
    protocol::{
        http::{CallerRequest, TargetResponse},
        jobs::JobRequest,
        peer::{ForwardFailure, ForwardRequest, ForwardResponse, Hello, PeerMessage},
        platform::{ListedHost, TaskReport},
        store::{StoreError, StoreReply, WatchEvent},
    },
    state::ids::{CallId, EntryId, HostId, PoolId, RequestId, Revision, TeamId},
};

use super::Engine;

/// One input of the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's request arrived.
    CallerRequest { request: RequestId, received: Box<CallerRequest> },
    /// The caller disconnected before its response.
    CallerGone { request: RequestId },
    /// Another entry host forwarded a request.
    Forwarded { request: RequestId, message: Box<ForwardRequest> },
    /// A control message of another entry host arrived.
    PeerMessage { hello: Hello, message: PeerMessage },
    /// A connection to another entry host was refused: its process is not
    /// running.
    PeerRefused { peer: EntryId },
    /// An attempt at a target ended.
    AttemptEnded {
        request: RequestId,
        attempt: u32,
        result: AttemptResult,
        response: Option<TargetResponse>,
    },
    /// A forward ended.
    ForwardEnded { request: RequestId, reply: Result<ForwardResponse, ForwardFailure> },
    /// A call to the store ended.
    StoreReplied { engine: Engine, call: CallId, result: Result<StoreReply, StoreError> },
    /// A watch reports a change.
    Watched { prefix: Box<str>, generation: u64, event: WatchEvent },
    /// A read of the platform's host list ended; `hosts` is `None` if it failed.
    HostsListed { hosts: Option<Vec<ListedHost>> },
    /// A health check ended.
    HealthChecked { host: HostId, healthy: bool, asked_by: Option<EntryId> },
    /// The platform accepted a reboot, or refused or lost the call.
    RebootEnded { host: HostId, accepted: bool },
    /// An operator changes sections of the document.
    Put { call: OperatorCall, team: TeamId, edits: Vec<SectionEdit>, raise_epoch: bool },
    /// An operator reverts what a revision changed.
    Revert { call: OperatorCall, team: TeamId, revision: Revision },
    /// An operator's read waits for a revision.
    WaitFor { call: OperatorCall, revision: Revision },
    /// A call to a worker ended.
    WorkerReplied { pool: PoolId, call: WorkerCallId, reply: WorkerReply },
    /// A read of a worker's tasks ended; `tasks` is `None` if it failed.
    TasksListed { pool: PoolId, host: HostId, tasks: Option<Vec<TaskReport>> },
    /// An operator sends a request about jobs.
    JobRequest { call: OperatorCall, pool: PoolId, request: Box<JobRequest> },
    /// The time that `NodeCore::next_tick_ms` returned has come.
    Tick,
    /// A graceful stop begins.
    Stop,
}
