//! Decision logic as state machines without I/O: events and clock readings in,
//! actions out.

pub mod access;
pub mod admission;
pub mod balance;
pub mod connections;
pub mod control;
pub mod forwarding;
pub mod pool;
pub mod relay;
pub mod request_memory;
pub mod shares;
pub mod submission;
pub mod upkeep;
pub mod withdrawals;
