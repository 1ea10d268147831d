//! Maintenance waves: when each host is vacated and maintained.
//!
//! A single controller orders maintenance for all pools, so that the number of
//! hosts that are down for a wave is counted in one place.

mod engine;
mod events;

pub use self::{
    engine::{UpkeepEngine, UpkeepTiming},
    events::{HostOrderReply, HostState, HostView, UpkeepAction, UpkeepWrite},
};

#[cfg(test)]
mod tests;
