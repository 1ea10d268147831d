//! Request and response bodies of the administration API.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::{
        configuration::{Position, SectionEdit},
        fleet::FleetReport,
        requests::ServiceLoad,
    },
    state::{
        ids::{DataCentreId, EntryId, HostId, PoolId, RackId, ServiceId, Term},
        records::HostPhase,
    },
};

/// Body of `GET /admin/v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Entry host that answers.
    pub entry: EntryId,
    pub data_centre: DataCentreId,
    /// Name of the deployment, once a document is in force.
    pub deployment: Option<Box<str>>,
    /// Position of the document in force.
    pub in_force: Position,
    /// Whether the entry host takes requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Index and term of its seat, if it holds one.
    pub seat: Option<(u16, Term)>,
    /// Live entry hosts of the data centre, with their seats.
    pub peers: Vec<(EntryId, Option<u16>)>,
    /// Gateways of the other data centres.
    pub gateways: Vec<(DataCentreId, EntryId)>,
    /// Requests that have no response yet.
    pub open_requests: u64,
    /// Conditions that need an operator's attention, oldest first, with their
    /// time in milliseconds since the Unix epoch.
    pub reports: Vec<(u64, FleetReport)>,
    /// Position in force and position in the store, if the store shows an older
    /// document.
    pub store_restored: Option<(Position, Position)>,
}

/// One row of `GET /admin/v1/pools`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    pub pool: PoolId,
    /// Hosts that the document assigns to it.
    pub size: u32,
    /// Hosts that belong to it now.
    pub hosts: u32,
    /// Hosts that take new work.
    pub active: u32,
    /// Whether it lends hosts.
    pub spare: bool,
}

/// One row of `GET /admin/v1/hosts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    pub host: HostId,
    /// Data centre that the host is in.
    pub data_centre: DataCentreId,
    /// Rack that the host is in.
    pub rack: RackId,
    /// Pool that the host belongs to.
    pub pool: PoolId,
    pub phase: HostPhase,
    /// When the phase began, in milliseconds since the Unix epoch.
    pub phase_since_unix_ms: u64,
    /// Store version of its record.
    pub version: u64,
}

/// One row of `GET /admin/v1/services`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    pub service: ServiceId,
    /// Pool that runs it.
    pub pool: PoolId,
    /// Instances that take new work.
    pub available: u32,
    /// Instances that its budget keeps available.
    pub min_available: u32,
    /// Load on the entry host that answers.
    pub load: Option<ServiceLoad>,
}

/// Body of `PUT /admin/v1/document`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Edits of sections; either all are accepted or none.
    pub edits: Vec<SectionEdit>,
    /// Accepts the state of a store that was restored from a backup as the base
    /// of a new epoch.
    #[serde(default)]
    pub raise_epoch: bool,
}

/// Body of `GET /admin/v1/document`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentBody {
    /// Position of the text.
    pub position: Position,
    /// The whole text.
    pub text: Box<str>,
}

/// Body of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminProblem {
    /// Problem type (RFC 9457).
    #[serde(rename = "type")]
    pub kind: Box<str>,
    pub title: Box<str>,
    pub status: u16,
    /// What was wrong, and the remedy.
    pub detail: Box<str>,
}
