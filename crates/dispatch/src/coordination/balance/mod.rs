//! Moves of hosts between pools.
//!
//! Load pattern: pools surge in turn to about five times their mean, more than
//! they hold, and are nearly idle in between. Hosts follow the surge: first
//! those that are off, then those on which nothing runs.

mod engine;
mod turns;

pub use self::engine::{BalanceAction, BalanceEngine, BalanceTiming};

#[cfg(test)]
mod tests;
