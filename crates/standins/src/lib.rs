//! Stand-ins for the platform, targets, workers and callers, and the
//! measurements that drive the library's decision code.
//!
//! Stand-ins record what happened and inject faults; they decide nothing.

pub mod bench;
pub mod fleet;
pub mod sim;
