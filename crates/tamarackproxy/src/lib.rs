//! Fleet capacity and maintenance manager.
//!
//! The library implements the programs `tamarackd` and `tamarackctl`. Its layers,
//! from the bottom: [`state`] (ids, units, the operators' document and the records
//! in the platform's store), [`coordination`] (decisions, as state machines without
//! I/O), [`protocol`] (messages and their formats) and [`transport`] (network I/O).
//! [`node`] runs them in one event loop.

pub mod coordination;
pub mod ctl;
pub mod node;
pub mod observability;
pub mod protocol;
pub mod state;
pub mod transport;
