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
    /// Name of the sender.
    pub entry: EntryId,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
}

/// A one-way control message, by the engine that receives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Names the sender of the stream.
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
    /// For the jobs of a pool.
    Jobs(JobsMessage),
    /// Asks an entry host of the host's data centre to check its health.
    HealthQuery {
        /// The host.
        host: HostId,
    },
    /// Result of a health check.
    HealthStatus {
        /// The host.
        host: HostId,
        /// Whether all its instances answered their health check.
        healthy: bool,
    },
    /// Hosts of the data centre that the platform lists as leaving, from the
    /// gateway after each read of the list.
    ListedLeaving {
        /// The hosts.
        hosts: Vec<HostId>,
    },
    /// Load of the sender's data centre.
    Load {
        /// Data centre that the load is of.
        data_centre: DataCentreId,
        /// Live holders of its seats, by index, as its gateway knows them from
        /// heartbeats; empty between entry hosts of one data centre.
        holders: Vec<Option<EntryId>>,
        /// Load by service.
        loads: Vec<ServiceLoad>,
    },
}

/// Why a request is forwarded, which decides what the receiver may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardKind {
    /// The receiver runs it on its own targets.
    Run,
    /// The receiver's data centre is the home of the key.
    Home,
}

/// A forwarded request with its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// Why it is forwarded.
    pub kind: ForwardKind,
    /// Number of entry hosts that forwarded it before.
    pub hops: u8,
    /// Service that is called.
    pub service: ServiceId,
    /// Caller, authenticated by the first entry host.
    pub caller: CallerId,
    /// Class of the request.
    pub urgency: Urgency,
    /// Time that the caller still waits, in milliseconds.
    pub remaining_ms: u64,
    /// Idempotency key, as the caller sent it.
    pub key: Option<Box<str>>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query that the target receives.
    pub path: Box<str>,
    /// Headers that the target receives.
    pub headers: Vec<(Box<str>, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Reply to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardResponse {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Why there is no answer, if there is none.
    pub refusal: Option<Refusal>,
    /// Time after which a repeat may help, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// HTTP status of the answer.
    pub status: u16,
    /// Headers of the answer.
    pub headers: Vec<(Box<str>, Vec<u8>)>,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// How a forward failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardFailure {
    /// No byte of the request left this process.
    NotSent,
    /// The request may have arrived.
    Lost,
}
