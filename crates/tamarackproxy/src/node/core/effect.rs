//! Effects of the core: what the event loop executes for it.

use std::net::SocketAddr;

use super::Completion;
use crate::{
    coordination::{
        configuration::{OperatorCall, Position, PutError},
        jobs::{WorkerCallId, WorkerCommand},
        seats::EntryAddress,
    },
    protocol::{
        http::TargetRequest,
        peer::{ForwardRequest, PeerMessage},
        store::StoreRequest,
    },
    state::ids::{CallId, EntryId, HostId, OperationId, PoolId, RequestId, TargetId},
};

/// Engine that made a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Engine {
    Seats,
    /// At-most-once execution.
    Once,
    Configuration,
    Fleet,
    /// Error-budget burn.
    Burn,
    Jobs,
}

/// One effect; the core returns them in the order of execution.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Calls the store; ends with `Input::StoreReplied`.
    CallStore { engine: Engine, call: CallId, request: StoreRequest },
    /// Starts a watch, replacing an earlier one on the prefix.
    Watch { prefix: Box<str>, from_version: u64, generation: u64 },
    /// Ends the watch on a prefix.
    Unwatch { prefix: Box<str> },
    /// Opens links to these entry hosts and closes those to others.
    Connect { entries: Vec<EntryAddress> },
    /// Sends a control message; it may be lost.
    SendPeer { to: EntryId, message: PeerMessage },
    /// Forwards a request; ends with `Input::ForwardEnded`.
    Forward { request: RequestId, to: EntryId, message: ForwardRequest, timeout_ms: u64 },
    /// Sends a request to a target; ends with `Input::AttemptEnded`.
    Dispatch {
        request: RequestId,
        attempt: u32,
        target: TargetId,
        address: SocketAddr,
        target_request: TargetRequest,
        timeout_ms: u64,
    },
    /// Closes the connection of an attempt; no `Input::AttemptEnded` follows.
    Abort { request: RequestId, attempt: u32 },
    /// Responds to a request of a caller or of a peer.
    Reply { request: RequestId, completion: Completion },
    /// Closes idle connections to all addresses but these, which are those of
    /// the targets of this data centre.
    RetainConnections { addresses: Vec<SocketAddr> },
    /// Reads the platform's host list; ends with `Input::HostsListed`.
    ListHosts,
    /// Asks the platform for a reboot; ends with `Input::RebootEnded`.
    Reboot { host: HostId, operation: OperationId },
    /// Checks the health of instances; ends with `Input::HealthChecked`.
    CheckHealth { host: HostId, addresses: Vec<SocketAddr>, asked_by: Option<EntryId> },
    /// Calls a worker; ends with `Input::WorkerReplied`. A renewal applies to
    /// all of `tasks`.
    CallWorker {
        pool: PoolId,
        call: WorkerCallId,
        host: HostId,
        command: WorkerCommand,
        tasks: Vec<Box<str>>,
    },
    /// Reads a worker's tasks; ends with `Input::TasksListed`.
    ListTasks { pool: PoolId, host: HostId },
    /// Responds to an operator's request about jobs.
    JobAnswered { call: OperatorCall, result: Result<Box<str>, Box<str>> },
    /// Responds to a change or revert of the document.
    PutEnded { call: OperatorCall, result: Result<Position, PutError> },
    /// Continues an operator's read that waited for a revision; `reached` is
    /// false if the wait timed out.
    WaitEnded { call: OperatorCall, reached: bool },
}
