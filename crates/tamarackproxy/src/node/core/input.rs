//! What happens to a node.

use crate::{
    coordination::{
        configuration::{OperatorCall, SectionEdit},
        requests::AttemptResult,
    },
    protocol::{
        http::{CallerRequest, TargetResponse},
        peer::{ForwardFailure, ForwardRequest, ForwardResponse, Hello, PeerMessage},
        platform::ListedHost,
        store::{StoreError, StoreReply, WatchEvent},
    },
    state::ids::{CallId, EntryId, HostId, RequestId, Revision, TeamId},
};

use super::Engine;

/// One event.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's request arrived.
    CallerRequest { request: RequestId, received: Box<CallerRequest> },
    /// The caller went away before its response.
    CallerGone { request: RequestId },
    /// Another entry host forwarded a request.
    Forwarded { request: RequestId, message: Box<ForwardRequest> },
    /// A control message of another entry host arrived.
    PeerMessage { hello: Hello, message: PeerMessage },
    /// Another entry host's process refused a connection.
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
    /// The platform's list was read, or not.
    Listed { hosts: Option<Vec<ListedHost>> },
    /// A health check ended.
    HealthChecked { host: HostId, healthy: bool, asked_by: Option<EntryId> },
    /// The platform accepted a reboot, or refused or lost the call.
    RebootEnded { host: HostId, accepted: bool },
    /// An operator puts sections.
    Put { call: OperatorCall, team: TeamId, edits: Vec<SectionEdit>, raise_epoch: bool },
    /// An operator puts back what a revision changed.
    Revert { call: OperatorCall, team: TeamId, revision: Revision },
    /// An operator's read waits for a revision.
    WaitFor { call: OperatorCall, revision: Revision },
    /// Time passed.
    Tick,
    /// The process stops gracefully.
    Stop,
}
