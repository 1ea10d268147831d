//! Event queue of a simulation.

use std::cmp::Ordering;

use tamarackproxy::{
    coordination::{configuration::ConfigurationEvent, seats::SeatsEvent},
    protocol::store::{StoreRequest, WatchEvent},
    state::ids::CallId,
};

use super::NodeIndex;

/// Engine that made a store call and receives its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum CallingEngine {
    Seats,
    Configuration,
}

#[derive(Clone, Debug)]
pub(super) enum NodeEvent {
    Tick,
    Seats(SeatsEvent),
    Configuration(ConfigurationEvent),
    Watched { prefix: Box<str>, event: WatchEvent },
}

#[derive(Clone, Debug)]
pub(super) enum SimEvent {
    /// Delivers an event to a process; dropped if that incarnation has ended.
    Node { node: NodeIndex, incarnation: u32, event: NodeEvent },
    /// Executes a call at the store.
    StoreCall {
        node: NodeIndex,
        incarnation: u32,
        engine: CallingEngine,
        call: CallId,
        request: StoreRequest,
    },
}

#[derive(Clone, Debug)]
pub(super) struct Scheduled {
    pub(super) at_us: u64,
    pub(super) order: u64,
    pub(super) event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed, as the heap returns its greatest item and the earliest event is
        // due first.
        (other.at_us, other.order).cmp(&(self.at_us, self.order))
    }
}
