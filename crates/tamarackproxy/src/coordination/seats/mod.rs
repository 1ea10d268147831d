//! Seats of entry hosts in a data centre, and membership and liveness of peers.
//!
//! A seat is a leased slot of a data centre, numbered from 0. Its holder has a
//! term above those of all earlier holders.

mod candidates;
mod directory;
mod engine;
mod events;
mod gateways;
mod peers;
mod release;
mod seat;

pub use self::{
    engine::SeatEngine,
    events::{EntryAddress, Heartbeat, LivePeer, SeatsAction, SeatsEvent, SeatsMessage},
};

/// Interval between heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// Silence after which a peer is no longer considered live, in milliseconds:
/// two heartbeats may be lost.
pub const PEER_SILENCE_MS: u64 = 3_000;
/// Pause of the event loop after which the seat must be confirmed before it is
/// used again, in milliseconds.
pub const PAUSE_LIMIT_MS: u64 = 1_000;
/// Time without contact to the store or any peer after which the seat must be
/// confirmed before it is used again, in milliseconds.
pub const ISOLATION_LIMIT_MS: u64 = 5_000;
/// Time without direct contact to a holder after which its seat may be taken
/// over, in milliseconds: the lease (10 s), the isolation limit (5 s) and the
/// allowance for clock drift (10% of the lease).
pub const TAKEOVER_SILENCE_MS: u64 = 16_000;
/// Mean interval between listings of all seats, in milliseconds, with a jitter
/// of plus or minus a quarter. Heartbeats report changes earlier.
pub const DIRECTORY_INTERVAL_MS: u64 = 60_000;
