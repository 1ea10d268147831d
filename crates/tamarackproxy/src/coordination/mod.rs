//! Decisions as state machines: events and a clock reading in, actions out.
//!
//! Nothing in this layer does I/O or reads a clock, so the same code runs in
//! the daemon, under the fault matrix and in measurements.

pub mod burn;
pub mod configuration;
pub mod control;
pub mod fleet;
pub mod jobs;
pub mod once;
pub mod record;
pub mod requests;
pub mod seats;
