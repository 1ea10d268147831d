//! Events and actions of the request engine.

use serde::{Deserialize, Serialize};

use crate::{
    protocol::caller::Refusal,
    state::{
        document::Urgency,
        ids::{CallerId, DataCentreId, EntryId, HostId, RequestId, ServiceId, TargetId},
    },
};

/// What the engine knows about a request; bodies stay with the transport.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestMeta {
    /// Service that is called.
    pub service: ServiceId,
    /// Caller within the shared account.
    pub caller: CallerId,
    /// Class of the request.
    pub urgency: Urgency,
    /// Monotonic time at which the caller stops waiting, in milliseconds.
    pub deadline_at_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether another data centre forwarded the request here.
    pub forwarded: bool,
}

/// How one attempt at a target ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// The whole response arrived; `leaving` if it carried `Connection: close`.
    Answered { status: u16, leaving: bool },
    /// The target refused explicitly before it started the request.
    RefusedBeforeStart { leaving: bool },
    /// Nothing was sent: the connection could not be made or was closed.
    NotSent,
    /// The request or a part of it was sent, and no whole response arrived.
    Lost,
    /// The request was sent and the attempt's time ran out; the target may
    /// still run it.
    TimedOut,
}

/// How a forwarded request ended on the other entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardResult {
    /// The whole response arrived.
    Answered { status: u16 },
    /// The other side did not run it.
    NotRun(Refusal),
    /// The other side does not know, or its reply was lost.
    Unknown(Refusal),
}

/// A target as the fleet state describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetState {
    /// The instance.
    pub target: TargetId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Whether it may receive new work: its host is active in the service's
    /// pool and no source says that it is leaving.
    pub accepts_work: bool,
}

/// Load of one service in one data centre, exchanged in heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceId,
    /// Slots that are free.
    pub idle_slots: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Mean time for which a request occupies a slot, in milliseconds; 0 until
    /// one has ended.
    pub service_ms: u32,
}

/// Identifies a loan between its lender and borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LoanId(pub u64);

/// Messages between request engines of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestsMessage {
    /// Asks for slots of the service's targets, `wanted` in all. `asked_at_ms`
    /// is a reading of the sender's monotonic clock, which a loan echoes. The
    /// receiver also gives back what it borrowed of these from the sender.
    Borrow { service: ServiceId, wanted: u16, asked_at_ms: u64 },
    /// Lends slots of one target for `duration_ms`. The borrower counts the
    /// duration from `asked_at_ms` on its own clock, so that a delay of this
    /// message only shortens the loan.
    Lend { loan: LoanId, target: TargetId, slots: u16, duration_ms: u64, asked_at_ms: u64 },
    /// Lists the slots that the sender holds of the receiver's loans for a
    /// service. The sender accepts no loan any more that it asked for before
    /// `asked_before_ms`, so the receiver takes back what was lost on the way.
    Held { service: ServiceId, asked_before_ms: u64, loans: Vec<(LoanId, u16)> },
    /// Returns slots of a loan before its end; tells how many the sender keeps,
    /// so that the order of such messages does not matter.
    Return { loan: LoanId, kept: u16 },
    /// Tells that the host gives a sign of leaving.
    Leaving { host: HostId },
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestsEvent {
    /// A caller's or a forwarded request arrived.
    Submitted { request: RequestId, meta: RequestMeta },
    /// An attempt ended.
    AttemptEnded { request: RequestId, attempt: u32, result: AttemptResult },
    /// A forwarded request ended.
    ForwardEnded { request: RequestId, result: ForwardResult },
    /// The caller cancelled or went away.
    Cancelled { request: RequestId },
    /// The set of targets or their state changed; lists all targets of this
    /// data centre.
    TargetsChanged { targets: Vec<TargetState> },
    /// A host gives a sign of leaving, from the platform's list or a peer.
    HostLeaving { host: HostId },
    /// Share of this entry host changed: seat `index` of `seats`, or none.
    SeatChanged { seat: Option<SeatShare> },
    /// The number of seats of this data centre is known or has changed, whether
    /// or not this entry host holds one. Slots that a change brings are held
    /// back until their former owners have certainly stopped using them.
    SeatsConfigured { seats: u16 },
    /// Live peers of this data centre, which may lend slots.
    PeersChanged { peers: Vec<EntryId> },
    /// Load of another data centre, with the entry host to forward to.
    RemoteLoad { data_centre: DataCentreId, gateway: EntryId, loads: Vec<ServiceLoad> },
    /// A peer's message arrived.
    Received { from: EntryId, message: RequestsMessage },
    /// The document changed.
    ServicesChanged { services: Vec<ServiceLimits>, callers: Vec<CallerLimits> },
    /// The entry host stops: nothing new is accepted.
    Stopping,
    /// Time passed.
    Tick,
}

/// The part of the slots and connections that a seat owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeatShare {
    /// Index of the seat, from 0.
    pub index: u16,
    /// Number of seats of the data centre.
    pub seats: u16,
}

/// Limits of a service from the document.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLimits {
    /// The service.
    pub service: ServiceId,
    /// Slots per instance.
    pub slots: u16,
    /// TCP connections that one instance accepts from all entry hosts.
    pub connections: u16,
    /// Requests that may wait in the queue of one entry host.
    pub queue_limit: u32,
}

/// Limits of a caller from the document.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLimits {
    /// The caller.
    pub caller: CallerId,
    /// Weight in fair queueing.
    pub weight: u32,
    /// Requests per second above which the caller is refused, if limited.
    pub rate_per_second: Option<f64>,
}

/// What the owner of the engine does.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestsAction {
    /// Sends the request to the target; the attempt must end by `timeout_ms`
    /// from now.
    Dispatch { request: RequestId, attempt: u32, target: TargetId, timeout_ms: u64 },
    /// Closes the connection of an attempt whose result no longer matters.
    AbortAttempt { request: RequestId, attempt: u32 },
    /// Forwards the request to an entry host of another data centre.
    Forward { request: RequestId, to: EntryId, timeout_ms: u64 },
    /// Passes the response of this attempt, or of the forward if `attempt` is
    /// none, to the caller.
    Answer { request: RequestId, attempt: Option<u32> },
    /// Ends the request without running it.
    NotRun { request: RequestId, refusal: Refusal, retry_after_ms: Option<u64> },
    /// Ends the request whose outcome is not known.
    Unknown { request: RequestId, refusal: Refusal },
    /// Sends a message to a peer of this data centre.
    Send { to: EntryId, message: RequestsMessage },
}
