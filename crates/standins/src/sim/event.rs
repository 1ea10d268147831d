//! What happens next in a simulation.

use std::cmp::Ordering;

use tamarackproxy::{
    coordination::{configuration::ConfigurationEvent, seats::SeatsEvent},
    protocol::store::{StoreRequest, WatchEvent},
    state::ids::CallId,
};

use super::NodeIndex;

/// Engine that made a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Caller {
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
pub(super) enum Occurrence {
    /// An event reaches a process; dropped if that incarnation is gone.
    Node { node: NodeIndex, incarnation: u32, event: NodeEvent },
    /// A call reaches the store.
    StoreCall {
        node: NodeIndex,
        incarnation: u32,
        caller: Caller,
        call: CallId,
        request: StoreRequest,
    },
}

#[derive(Clone, Debug)]
pub(super) struct Scheduled {
    pub(super) at_us: u64,
    pub(super) order: u64,
    pub(super) occurrence: Occurrence,
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
        // The heap returns the greatest: the earliest.
        (other.at_us, other.order).cmp(&(self.at_us, self.order))
    }
}
