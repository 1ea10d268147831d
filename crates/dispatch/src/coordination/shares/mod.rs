//! Shares of client accounts' limits: how much of each limit a pool may use.
//!
//! Load pattern: an account has work in many pools, which surge in turn for a
//! few seconds, and its limit is about twice its mean use. Limits bind often,
//! and parts of them have to move between pools within a few hundred
//! milliseconds, while starts must not wait for a call to the store.

mod account;
mod amounts;
mod division;
mod engine;
mod events;

pub use self::{
    engine::ShareEngine,
    events::{AccountDemand, Allowance, ListedShares, ShareCall, ShareWrite, ShareWriteResult},
};

#[cfg(test)]
mod tests;
