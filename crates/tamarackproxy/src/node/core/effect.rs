//! What the owner of a node's core does.

use std::net::SocketAddr;

use super::End;
use crate::{
    coordination::{
        configuration::{OperatorCall, Position, PutError},
        seats::EntryAddress,
    },
    protocol::{
        http::TargetRequest,
        peer::{ForwardRequest, PeerMessage},
        store::StoreRequest,
    },
    state::ids::{CallId, EntryId, HostId, OperationId, RequestId, TargetId},
};

/// Engine that made a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Engine {
    /// Seats.
    Seats,
    /// At-most-once execution.
    Once,
    /// Configuration.
    Configuration,
    /// Fleet.
    Fleet,
    /// Service-level burn.
    Burn,
}

/// One thing to do, in the order in which the core returns them.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Calls the store; ends with `Input::StoreReplied`.
    CallStore { engine: Engine, call: CallId, request: StoreRequest },
    /// Starts a watch, in place of an earlier one on the prefix.
    Watch { prefix: Box<str>, from_version: u64, generation: u64 },
    /// Ends the watch on a prefix.
    Unwatch { prefix: Box<str> },
    /// Keeps links to these entry hosts.
    Connect { entries: Vec<EntryAddress> },
    /// Sends a control message; it may be lost.
    SendPeer { to: EntryId, message: PeerMessage },
    /// Forwards a request; ends with `Input::ForwardEnded`.
    Forward { request: RequestId, to: EntryId, message: ForwardRequest, time_ms: u64 },
    /// Sends a request to a target; ends with `Input::AttemptEnded`.
    Dispatch {
        request: RequestId,
        attempt: u32,
        target: TargetId,
        address: SocketAddr,
        target_request: TargetRequest,
        time_ms: u64,
    },
    /// Closes the connection of an attempt; it has no end any more.
    Abort { request: RequestId, attempt: u32 },
    /// Ends a request of a caller or of a peer.
    Reply { request: RequestId, end: End },
    /// Addresses of the targets of this data centre; idle connections to
    /// others are closed.
    TargetsKnown { addresses: Vec<SocketAddr> },
    /// Reads the platform's list; ends with `Input::Listed`.
    ListHosts,
    /// Asks the platform for a reboot; ends with `Input::RebootEnded`.
    Reboot { host: HostId, operation: OperationId },
    /// Checks the health of instances; ends with `Input::HealthChecked`.
    CheckHealth { host: HostId, addresses: Vec<SocketAddr>, asked_by: Option<EntryId> },
    /// A put or revert ended.
    PutEnded { call: OperatorCall, result: Result<Position, PutError> },
    /// A waiting reader may read, or its time ran out.
    WaitEnded { call: OperatorCall, reached: bool },
}
