//! Events and actions of the upkeep engine.

use displaydoc::Display;
use tamarackproxy::state::ids::{HostId, PoolId, WorkerId};

use crate::state::{VacateReason, WaveNumber, WaveRecord, WaveState};

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// In operation, or off in a standby pool.
    Up,
    /// Moving to another pool.
    Moving,
    /// Down for maintenance.
    Upkeep,
    /// Down for another reason, without an order.
    Down,
}

/// One host of the platform's list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostView {
    pub host: HostId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    pub state: HostState,
    /// Its worker, if one runs.
    pub worker: Option<WorkerId>,
}

/// Result of an order for a host.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HostOrderReply {
    /// carried out
    Begun,
    /// the host is not up or is leaving
    Busy,
    /// a higher term was seen
    OldTerm,
    /// no such host, or it is not part of the wave, or its pool takes other hosts
    NotDue,
    /// refused for another reason, or not sent
    Refused,
    /// no reply, the order may still be carried out
    Unknown,
}

/// One transaction, conditional on the holder's term.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpkeepWrite {
    /// Workers that the controllers of their pools are to vacate.
    pub vacate: Vec<(WorkerId, VacateReason)>,
    /// Workers whose vacate requests are removed, because they were withdrawn
    /// or fulfilled.
    pub release: Vec<WorkerId>,
    /// Records of waves.
    pub records: Vec<(WaveNumber, WaveRecord)>,
    /// Changed states of waves, for operators.
    pub states: Vec<(WaveNumber, WaveState)>,
}

/// Action that the owner of the engine must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpkeepAction {
    /// Read the platform's list of hosts.
    List,
    /// Order the maintenance of a host in a wave.
    Order(HostId, WaveNumber),
    /// Write to the store.
    Write(UpkeepWrite),
    /// A higher term was seen; control is lost.
    Fenced,
}
