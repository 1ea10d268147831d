//! Maintenance waves: which host is emptied and maintained when.
//!
//! One holder of control orders upkeep for all pools, so that the number of
//! hosts that are down for a wave is counted in one place.

mod engine;
mod events;

pub use self::{
    engine::{UpkeepEngine, UpkeepTiming},
    events::{HostOrderReply, HostState, HostView, UpkeepAction, UpkeepWrite},
};

#[cfg(test)]
mod tests;
