//! Record of one host: the single source of truth for the pool it belongs to.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

use super::RecentOperations;
use crate::state::ids::{DataCentreId, HostId, PoolId, RackId, Term};

/// Lifecycle phase of a host.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumIter, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum HostPhase {
    /// Takes new work.
    Active,
    /// Takes no new work and finishes what it has, before a reboot.
    Draining,
    /// Is being rebooted by the platform.
    Rebooting,
    /// Has rebooted and is not known to be healthy yet.
    Returning,
    /// Takes no new work and finishes what it has, before it moves to another
    /// pool.
    Moving,
    /// Has failed or has not returned in time.
    Failed,
}

impl HostPhase {
    /// Returns whether targets on the host may receive new work.
    pub fn accepts_work(self) -> bool {
        matches!(self, HostPhase::Active)
    }
}

/// Value of `host/<host>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    pub host: HostId,
    /// Data centre that the host is in.
    pub data_centre: DataCentreId,
    /// Rack that the host is in.
    pub rack: RackId,
    /// IP address of the host.
    pub address: Box<str>,
    /// The one pool that the host belongs to.
    pub pool: PoolId,
    /// Pool that the host moves to once it has drained.
    pub next_pool: Option<PoolId>,
    pub phase: HostPhase,
    /// Term of the controller that wrote the record last.
    pub term: Term,
    /// When the phase began, in milliseconds since the Unix epoch.
    pub phase_since_unix_ms: u64,
    /// Ids of the latest writes.
    pub operations: RecentOperations,
}
