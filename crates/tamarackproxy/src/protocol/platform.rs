//! The platform's host list, reboots and workers.

use serde::{Deserialize, Serialize};

use crate::state::ids::{DataCentreId, HostId, RackId};

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The host runs.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// One host of the lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub host: HostId,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Rack that it stands in.
    pub rack: RackId,
    /// IP number of the host.
    pub address: Box<str>,
    /// Processors, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// State of the host.
    pub state: ListedState,
}

/// Body of `GET /v1/hosts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// All listed hosts.
    pub hosts: Vec<ListedHost>,
}
