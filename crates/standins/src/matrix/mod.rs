//! Fault matrix: every fault at every step of each long-lived action, on whole
//! nodes and virtual time, judged by what callers, targets, the platform and
//! the store saw.

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
