//! Events, actions and peer messages of the request engine.

use serde::{Deserialize, Serialize};

use crate::{
    protocol::caller::Refusal,
    state::{
        document::Urgency,
        ids::{CallerId, DataCentreId, EntryId, HostId, RequestId, ServiceId, TargetId},
    },
};

/// Attributes of a request that the engine decides by; bodies stay with the
/// transport.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestMeta {
    /// Service that is called.
    pub service: ServiceId,
    /// Caller within the client account that callers share.
    pub caller: CallerId,
    /// Urgency class of the request.
    pub urgency: Urgency,
    /// Monotonic time at which the caller stops waiting, in milliseconds.
    pub deadline_at_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether an entry host of another data centre forwarded the request here.
    pub forwarded: bool,
}

/// How one attempt at a target ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// The complete response arrived; `leaving` if it carried `Connection: close`.
    Answered { status: u16, leaving: bool },
    /// The target explicitly refused the request before starting it.
    RefusedBeforeStart { leaving: bool },
    /// Nothing was sent: the connection could not be established or was closed.
    NotSent,
    /// At least a part of the request was sent, and no complete response arrived.
    Lost,
    /// The request was sent and the attempt timed out; the target may still run
    /// it.
    TimedOut,
}

/// How a forwarded request ended on the other entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardResult {
    /// The complete response arrived.
    Answered { status: u16 },
    /// The other entry host did not run it.
    NotRun(Refusal),
    /// The other entry host does not know the outcome, or its reply was lost.
    Unknown(Refusal),
}

/// State of a target according to the fleet state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetState {
    /// The service instance.
    pub target: TargetId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Whether it may receive new work: its host is active in the service's
    /// pool and no source reports it as leaving.
    pub accepts_work: bool,
}

/// Load of one service in one data centre, exchanged in heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    pub service: ServiceId,
    /// Slots that are free.
    pub idle_slots: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Mean time that a request occupies a slot, in milliseconds; 0 until one has
    /// ended.
    pub service_ms: u32,
}

/// Identifies a loan of slots, together with its lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LoanId(pub u64);

/// Messages between request engines of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestsMessage {
    /// Asks for `wanted` slots in total on the service's targets. `asked_at_ms` is
    /// a reading of the sender's monotonic clock, which the loan echoes. The
    /// receiver also returns slots of this service that it borrowed from the
    /// sender.
    Borrow { service: ServiceId, wanted: u16, asked_at_ms: u64 },
    /// Lends slots of one target for `duration_ms`. The borrower counts the
    /// duration from `asked_at_ms` on its own clock, so a delay of this message
    /// only shortens the loan.
    Lend { loan: LoanId, target: TargetId, slots: u16, duration_ms: u64, asked_at_ms: u64 },
    /// Lists the slots of the receiver's loans that the sender holds for a
    /// service. The sender no longer accepts loans that it requested before
    /// `asked_before_ms`, so the receiver reclaims those that were lost in
    /// transit.
    Held { service: ServiceId, asked_before_ms: u64, loans: Vec<(LoanId, u16)> },
    /// Returns slots of a loan before its end. Carries the number of slots that
    /// the sender keeps, so that the order of such messages does not matter.
    Return { loan: LoanId, kept: u16 },
    /// Announces that the host is leaving.
    Leaving { host: HostId },
}

/// Input of the request engine.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestsEvent {
    /// A request arrived, from a caller or forwarded from another data centre.
    Submitted { request: RequestId, meta: RequestMeta },
    /// An attempt at a target ended.
    AttemptEnded { request: RequestId, attempt: u32, result: AttemptResult },
    /// A forwarded request ended.
    ForwardEnded { request: RequestId, result: ForwardResult },
    /// The caller cancelled the request or disconnected.
    Cancelled { request: RequestId },
    /// The set of targets or their state changed. Lists all targets; those of
    /// other data centres are ignored.
    TargetsChanged { targets: Vec<TargetState> },
    /// The platform's list or another source signals that a host is leaving.
    HostLeaving { host: HostId },
    /// The seat of this entry host changed; `None` if it holds no confirmed seat.
    SeatChanged { seat: Option<SeatShare> },
    /// The number of seats of this data centre is known or has changed, whether
    /// or not this entry host holds one. Slots gained by a change are held back
    /// until their former owners have certainly stopped using them.
    SeatsConfigured { seats: u16 },
    /// The live peers of this data centre, which may lend slots, changed.
    PeersChanged { peers: Vec<EntryId> },
    /// Another data centre reported its load; `gateway` is the entry host to
    /// forward to.
    RemoteLoad { data_centre: DataCentreId, gateway: EntryId, loads: Vec<ServiceLoad> },
    /// A message from a peer arrived.
    Received { from: EntryId, message: RequestsMessage },
    /// The limits in the document changed.
    ServicesChanged { services: Vec<ServiceLimits>, callers: Vec<CallerLimits> },
    /// The entry host is stopping: no new requests are accepted and waiting ones
    /// end.
    Stopping,
    /// No input; processes timers that are due.
    Tick,
}

/// A seat, which owns one of `seats` shares of slots and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeatShare {
    /// Zero-based index of the seat.
    pub index: u16,
    /// Number of seats of the data centre.
    pub seats: u16,
}

/// Limits of a service from the document.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLimits {
    pub service: ServiceId,
    /// Slots per instance.
    pub slots: u16,
    /// TCP connections that one instance accepts from all entry hosts together.
    pub connections: u16,
    /// Requests that may wait in the queue of one entry host.
    pub queue_limit: u32,
}

/// Limits of a caller from the document.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLimits {
    pub caller: CallerId,
    /// Weight in fair queueing.
    pub weight: u32,
    /// Rate limit in requests per second, if any.
    pub rate_per_second: Option<f64>,
}

/// Action that the owner of the engine must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestsAction {
    /// Send the request to the target; the attempt must end within `timeout_ms`.
    Dispatch { request: RequestId, attempt: u32, target: TargetId, timeout_ms: u64 },
    /// Close the connection of an attempt whose result is no longer needed.
    AbortAttempt { request: RequestId, attempt: u32 },
    /// Forward the request to an entry host of another data centre.
    Forward { request: RequestId, to: EntryId, timeout_ms: u64 },
    /// Pass the response of this attempt, or of the forward if `attempt` is
    /// `None`, to the caller.
    Answer { request: RequestId, attempt: Option<u32> },
    /// End the request as not run.
    NotRun { request: RequestId, refusal: Refusal, retry_after_ms: Option<u64> },
    /// End the request with an unknown outcome: it may have run.
    Unknown { request: RequestId, refusal: Refusal },
    /// Send a message to a peer of this data centre.
    Send { to: EntryId, message: RequestsMessage },
}
