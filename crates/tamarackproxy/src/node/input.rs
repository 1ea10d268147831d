//! What the event loop receives from its own tasks.

use crate::{
    coordination::requests::{AttemptResult, ForwardResult},
    protocol::{
        platform::ListedHost,
        store::{StoreError, StoreReply, WatchEvent},
    },
    state::ids::{CallId, EntryId, HostId, RequestId},
    transport::target_client::TargetResponse,
};

/// Engine that made a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Engine {
    Seats,
    Once,
    Configuration,
    Fleet,
    Burn,
}

/// End of a task that the loop has started.
#[derive(Debug)]
pub(super) enum TaskEnd {
    Attempt {
        request: RequestId,
        attempt: u32,
        result: AttemptResult,
        response: Option<TargetResponse>,
    },
    Forward {
        request: RequestId,
        result: ForwardResult,
        retry_after_ms: Option<u64>,
        response: Option<TargetResponse>,
    },
    Store {
        engine: Engine,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    },
    Watched {
        prefix: Box<str>,
        generation: u64,
        event: WatchEvent,
    },
    Listed {
        hosts: Option<Vec<ListedHost>>,
    },
    Health {
        host: HostId,
        healthy: bool,
        asked_by: Option<EntryId>,
    },
    Reboot {
        host: HostId,
        accepted: bool,
    },
    PeerRefused {
        peer: EntryId,
    },
}

/// Requests of the process's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Finishes what is in flight, then ends.
    Stop,
    /// Ends at once, as a crash would.
    Kill,
}
