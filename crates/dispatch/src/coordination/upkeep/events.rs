//! Events and actions of the upkeep engine.

use tamarackproxy::state::ids::{HostId, PoolId, WorkerId};

use crate::state::{VacateReason, WaveNumber, WaveRecord, WaveState};

/// What a host is doing, as its platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// At work, or off in a standby pool.
    Up,
    /// On its way to another pool.
    Moving,
    /// Down for upkeep.
    Upkeep,
    /// Down without an order.
    Down,
}

/// One host of the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostView {
    /// The host.
    pub host: HostId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// What it is doing.
    pub state: HostState,
    /// Its worker; none while it has none.
    pub worker: Option<WorkerId>,
}

/// Result of an order for a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostOrderReply {
    /// Carried out, or had been before.
    Begun,
    /// The host is not up or leaves.
    Busy,
    /// A higher term was seen.
    OldTerm,
    /// The wave does not name the host, or there is no such host.
    NotDue,
    /// Nothing was done.
    Refused,
    /// No reply; the order may be carried out later.
    Unknown,
}

/// One transaction under the holder's term.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpkeepWrite {
    /// Workers that controllers are to empty.
    pub vacate: Vec<(WorkerId, VacateReason)>,
    /// Workers whose requests are withdrawn or served.
    pub release: Vec<WorkerId>,
    /// Records of waves.
    pub records: Vec<(WaveNumber, WaveRecord)>,
    /// States for operators.
    pub states: Vec<(WaveNumber, WaveState)>,
}

/// What the owner of the engine does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpkeepAction {
    /// Read the platform's list of hosts.
    List,
    /// Order the upkeep of a host.
    Order(HostId, WaveNumber),
    /// Write to the store.
    Write(UpkeepWrite),
    /// A higher term was seen; the tenure is over.
    Fenced,
}
