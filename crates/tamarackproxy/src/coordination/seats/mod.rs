//! Seats of entry hosts in a data centre, membership and liveness of peers.

mod events;

pub use self::events::{EntryAddress, Heartbeat, LivePeer, SeatsAction, SeatsEvent, SeatsMessage};
