//! Replays of load on virtual time around the engines.
//!
//! The tests and `tamarack-bench` play the same load. A replay panics when the
//! engine breaks a rule that workers rely on.

pub mod balance;
pub mod pool;
