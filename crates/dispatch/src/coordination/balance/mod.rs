//! Balancing of hosts between pools.
//!
//! Load pattern: pools surge in turn to about five times their mean load, more
//! than their capacity, and are nearly idle in between. Hosts are moved to the
//! pool with the surge: first those that are off, then idle ones of other
//! pools.

mod engine;
mod turns;

pub use self::engine::{BalanceAction, BalanceEngine, BalanceTiming};

#[cfg(test)]
mod tests;
