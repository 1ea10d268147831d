//! Decisions as state machines: an event and a clock reading in, actions out.

pub mod balance;
pub mod control;
pub mod pool;
pub mod submission;
pub mod upkeep;
