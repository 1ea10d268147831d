//! Seats of entry hosts in a data centre, membership and liveness of peers.

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
/// Silence after which a peer no longer counts as live, in milliseconds: two
/// heartbeats may be lost.
pub const PEER_SILENCE_MS: u64 = 3_000;
/// Pause of the event loop after which the seat needs confirmation, in
/// milliseconds.
pub const PAUSE_LIMIT_MS: u64 = 1_000;
/// Time without contact to the store or a peer after which the seat needs
/// confirmation, in milliseconds.
pub const ISOLATION_LIMIT_MS: u64 = 5_000;
/// Time without direct contact to a holder after which its seat may be taken
/// over, in milliseconds: the lease (10 s), the isolation limit (5 s) and the
/// drift allowance (10% of the lease).
pub const TAKEOVER_SILENCE_MS: u64 = 16_000;
/// Mean interval between listings of all seats, in milliseconds; the jitter is
/// a quarter of it to both sides. Heartbeats report changes earlier.
pub const DIRECTORY_INTERVAL_MS: u64 = 60_000;
