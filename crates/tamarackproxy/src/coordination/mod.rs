//! State machines that make all decisions: they take events and a clock reading
//! and return actions.
//!
//! This layer does no I/O and does not read the clock, so the same code runs in
//! the daemon, in the fault matrix and in benchmarks.

pub mod burn;
pub mod configuration;
pub mod control;
pub mod fleet;
pub mod jobs;
pub mod once;
pub mod record;
pub mod requests;
pub mod seats;
