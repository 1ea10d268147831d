//! One simulated process: the engines of an entry host and the state shared
//! between them.

use std::{collections::BTreeMap, sync::Arc};

use tamarackproxy::{
    coordination::{
        configuration::{ConfigurationEngine, ConfigurationEvent, Position},
        seats::{EntryAddress, SeatEngine, SeatsEvent},
    },
    state::{
        clock::ClockReading,
        ids::{DataCentreId, EntryId},
        records::HostRecord,
    },
};

/// State of a simulated process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// The process runs.
    Running,
    /// The process is paused until this time, in microseconds, and then
    /// resumes.
    Paused { until_us: u64 },
    /// The process has ended; connections to it are refused.
    Dead,
}

/// A process with its engines.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) address: EntryAddress,
    pub(super) data_centre: usize,
    pub(super) state: NodeState,
    pub(super) incarnation: u32,
    pub(super) seats: SeatEngine,
    pub(super) configuration: ConfigurationEngine,
    pub(super) peers: Vec<EntryId>,
    pub(super) gateways: Vec<(DataCentreId, EntryId)>,
    pub(super) configured_seats: Option<u16>,
    pub(super) ready: bool,
    pub(super) in_force: Position,
    pub(super) records: Arc<Vec<(u64, HostRecord)>>,
    /// Watched prefixes, each with the version from which it is watched.
    pub(super) watches: BTreeMap<Box<str>, u64>,
    pub(super) next_tick_us: Option<u64>,
    pub(super) sent_bytes: u64,
    pub(super) received_bytes: u64,
}

impl Node {
    pub(super) fn new(
        address: EntryAddress,
        data_centre: usize,
        settings_peers: Vec<EntryAddress>,
        seed: u64,
    ) -> Self {
        let (entry, name) = (address.entry.clone(), address.data_centre.clone());
        Self {
            seats: SeatEngine::new(address.clone(), settings_peers, seed),
            configuration: ConfigurationEngine::new(entry, name, seed.wrapping_add(1)),
            address,
            data_centre,
            state: NodeState::Running,
            incarnation: 0,
            peers: Vec::new(),
            gateways: Vec::new(),
            configured_seats: None,
            ready: false,
            in_force: Position::default(),
            records: Arc::default(),
            watches: BTreeMap::new(),
            next_tick_us: None,
            sent_bytes: 0,
            received_bytes: 0,
        }
    }

    pub(super) fn is_alive(&self) -> bool {
        self.state != NodeState::Dead
    }

    /// Returns the earlier of both engines' next ticks, in microseconds.
    pub(super) fn next_due_us(&self) -> Option<u64> {
        let seats = self.seats.next_tick_ms();
        let configuration = self.configuration.next_tick_ms();
        seats.into_iter().chain(configuration).min().map(|due_ms| due_ms * 1_000)
    }

    pub(super) fn peers_changed(&self) -> ConfigurationEvent {
        let (peers, gateways) = (self.peers.clone(), self.gateways.clone());
        ConfigurationEvent::PeersChanged { peers, gateways }
    }

    pub(super) fn state_changed(&self) -> SeatsEvent {
        let position = self.configuration.position();
        let in_force = (position.epoch, position.revision);
        SeatsEvent::StateChanged { in_force, fleet_version: self.configuration.fleet_version() }
    }
}

/// Returns the clock reading at a virtual time in microseconds.
pub(super) fn clock_reading(now_us: u64) -> ClockReading {
    let now_ms = now_us / 1_000;
    ClockReading::new(now_ms, 1_700_000_000_000 + now_ms)
}
