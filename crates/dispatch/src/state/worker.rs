//! Entries of workers in the registry.

use std::net::SocketAddr;

use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{DataCentreId, HostId, PoolId, WorkerId},
};

/// Readiness that a worker registers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// Tasks may be started.
    Ready,
    /// The worker is about to leave.
    Draining,
}

/// One worker's entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Host that it runs on.
    pub host: HostId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Address at which it accepts orders.
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Whether it accepts new tasks.
    pub registration: Registration,
    /// Start of this worker incarnation, in milliseconds since 1970.
    pub born_unix_ms: u64,
    /// Resources that all of its tasks may use together.
    pub capacity: Resources,
    /// Labels that steps may require.
    pub labels: Vec<Box<str>>,
    /// Rack; empty if unknown.
    pub rack: Box<str>,
}
