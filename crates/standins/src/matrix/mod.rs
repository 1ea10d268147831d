//! Fault matrix: injects every fault at every step of each long-lived action.
//!
//! Whole entry hosts run in virtual time, and the invariants are checked against
//! the observations of callers, targets, the platform and the store.

mod cell;
mod deployment;
mod fault;
mod step;
mod targets;
mod traffic;
mod world;

pub use self::{
    cell::{Cell, CellReport},
    fault::Fault,
    step::{Action, Step},
};
