//! Events and actions of the fleet engine.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    protocol::{
        platform::ListedHost,
        store::{StoreError, StoreReply, StoreRequest},
    },
    state::{
        document::Document,
        ids::{CallId, DataCentreId, EntryId, HostId, OperationId, PoolId, ServiceId},
        records::HostRecord,
    },
};

/// Messages between a controller and the seats of a host's data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Asks whether the entry host has stopped using the host, as of this
    /// version of its record. Without `drains` the host stays in service and
    /// the query only checks that the seat answers.
    DrainQuery { host: HostId, version: u64, drains: bool },
    /// The entry host has applied this version or a later one; `in_flight`
    /// requests, including those on loaned slots, still use the host.
    DrainStatus { host: HostId, version: u64, in_flight: u32 },
}

/// Demand of a service in one data centre, for the buffer policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceId,
    /// Data centre of the demand.
    pub data_centre: DataCentreId,
    /// Requests in flight.
    pub in_flight: u32,
    /// Queued requests.
    pub queued: u32,
    /// Mean time for which a request occupies a slot, in milliseconds.
    pub service_ms: u32,
}

/// Inputs of the fleet engine.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// The document changed.
    DocumentChanged { document: Arc<Document> },
    /// The host records changed; carries all known records with their versions.
    FleetChanged { records: Arc<Vec<(u64, HostRecord)>> },
    /// One host record changed.
    HostRecordChanged { version: u64, record: Box<HostRecord> },
    /// The platform's list was read.
    HostsListed { hosts: Vec<ListedHost> },
    /// The seats of a data centre and their holders; `None` means that the seat
    /// is vacant.
    SeatsChanged { data_centre: DataCentreId, holders: Vec<Option<EntryId>> },
    /// Demand was reported.
    Demand { demand: Vec<ServiceDemand> },
    /// A peer's message arrived.
    Received { from: EntryId, message: FleetMessage },
    /// The health check of a host ended.
    HealthChecked { host: HostId, healthy: bool },
    /// Every job on the host has been stopped or checkpointed, as of this
    /// version of the host's record.
    JobsStopped { host: HostId, version: u64 },
    /// The platform accepted the reboot, or the call was refused or lost.
    RebootAccepted { host: HostId, accepted: bool },
    /// A call to the store ended.
    StoreReplied { call: CallId, result: Result<StoreReply, StoreError> },
    /// Whether this entry host may control pools; if not, control leases are
    /// released and no operation is started.
    CandidateChanged { candidate: bool },
    /// The entry host stops: control leases are released.
    Stopping,
    /// Time passed.
    Tick,
}

/// Effects that the owner of the engine carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Sends a message to a seat holder of any data centre.
    Send { to: EntryId, message: FleetMessage },
    /// Stops or checkpoints the jobs on a host that drains; only with
    /// [`FleetEngine::with_job_stops`](super::FleetEngine::with_job_stops).
    StopJobs { host: HostId, version: u64 },
    /// Asks the platform to reboot the host; idempotent per operation id.
    Reboot { host: HostId, operation: OperationId },
    /// Checks the health of a host.
    CheckHealth { host: HostId },
    /// Calls the store.
    Store { call: CallId, request: StoreRequest },
    /// Reports a condition that an operator should see.
    Report { report: FleetReport },
}

/// Conditions that operators see in `status` and in the logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub enum FleetReport {
    /// host {host} did not return after its reboot and keeps its reservation; repair or remove it
    NotReturned { host: HostId },
    /// host {host} waits for drain acknowledgements from {waiting_for} seats; check whether its data centre is reachable
    DrainWaits { host: HostId, waiting_for: u32 },
    /// service {service} has {available} available instances, fewer than the minimum of {min_available} in its budget; add hosts or repair failed ones
    BudgetBroken { service: ServiceId, available: u32, min_available: u32 },
    /// the wave in pool {pool} paused after {failures} failures; inspect the failed hosts, then resume it
    WavePaused { pool: PoolId, failures: u32 },
}
