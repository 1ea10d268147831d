//! Stand-ins for the platform, targets, workers and callers, and simulations and
//! measurements that drive the library's decision code.
//!
//! Stand-ins record what happens and inject faults, and make no decisions of
//! their own. Each listens on loopback TCP addresses, runs on the current-thread
//! runtime that starts it and stops when its handle is dropped.

pub mod bench;
pub mod caller;
pub mod clock;
pub mod demo;
pub mod fleet;
pub mod matrix;
pub mod net;
pub mod platform;
pub mod sim;
pub mod store;
pub mod target;
pub mod verdict;
