//! Messages between entry hosts.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::{
        configuration::ConfigurationMessage,
        fleet::FleetMessage,
        once::OnceMessage,
        requests::{RequestsMessage, ServiceLoad},
        seats::SeatsMessage,
    },
    protocol::{
        caller::{Outcome, Refusal},
        jobs::JobsMessage,
    },
    state::{
        document::Urgency,
        ids::{CallerId, DataCentreId, EntryId, HostId, ServiceId},
    },
};

/// Largest encoded control message, in bytes.
pub const CONTROL_MESSAGE_MAX_BYTES: usize = 1_310_720;
/// Largest encoded forwarded request, in bytes.
pub const FORWARD_REQUEST_MAX_BYTES: usize = 2 << 20;

/// First message on a control stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Entry host that sends.
    pub entry: EntryId,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
}

/// A one-way control message; the variant tells which engine receives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Identifies the sender; only the first message of a stream.
    Hello(Hello),
    /// For the seat engine.
    Seats(SeatsMessage),
    /// For the request engine.
    Requests(RequestsMessage),
    /// For the at-most-once engine.
    Once(OnceMessage),
    /// For the configuration engine.
    Configuration(ConfigurationMessage),
    /// For the fleet engine.
    Fleet(FleetMessage),
    /// For the job handling of a pool.
    Jobs(JobsMessage),
    /// Asks an entry host in the data centre of `host` to check its health.
    HealthQuery { host: HostId },
    /// Result of a health check.
    HealthStatus {
        host: HostId,
        /// Whether all its instances passed their health check.
        healthy: bool,
    },
    /// Hosts of the data centre that the platform lists as leaving; sent by the
    /// gateway after each read of the host list.
    ListedLeaving { hosts: Vec<HostId> },
    /// Load of the sender, or of a whole data centre if a gateway sends it to
    /// another data centre or passes it on.
    Load {
        /// Data centre that the load belongs to.
        data_centre: DataCentreId,
        /// Live holders of its seats, by index, as its gateway knows them from
        /// heartbeats; empty between entry hosts of one data centre.
        holders: Vec<Option<EntryId>>,
        /// Load by service.
        loads: Vec<ServiceLoad>,
    },
}

/// Why a request is forwarded, which determines how the receiver handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardKind {
    /// The receiver runs the request on targets of its data centre.
    Run,
    /// The receiver's data centre is the home of the idempotency key.
    Home,
}

/// A request forwarded to another entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// Why it is forwarded.
    pub kind: ForwardKind,
    /// Number of times that the request was forwarded, including this one.
    pub hops: u8,
    /// Service that is called.
    pub service: ServiceId,
    /// Caller, as authenticated by the first entry host.
    pub caller: CallerId,
    /// Urgency class of the request.
    pub urgency: Urgency,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Idempotency key, as the caller sent it.
    pub key: Option<Box<str>>,
    pub method: Box<str>,
    /// Path and query that the target receives.
    pub path: Box<str>,
    /// Headers that the target receives.
    pub headers: Vec<(Box<str>, Vec<u8>)>,
    pub body: Vec<u8>,
}

/// Reply to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardResponse {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Why there is no response of a target, if there is none.
    pub refusal: Option<Refusal>,
    /// Delay after which a retry may succeed, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// HTTP status of the response.
    pub status: u16,
    /// Headers of the response.
    pub headers: Vec<(Box<str>, Vec<u8>)>,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// How a forward failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardFailure {
    /// No byte of the request left this process.
    NotSent,
    /// The request may have been received.
    Lost,
}
