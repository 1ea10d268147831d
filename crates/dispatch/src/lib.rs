//! Dispatch of jobs to the workers of pools, and upkeep of their hosts.
//!
//! Many small processes share a store: each takes jobs from callers, and each
//! pool is controlled by one of them at a time. [`state`] holds the values,
//! [`coordination`] decides without I/O, [`node`] connects the engines and
//! runs them in one loop. A deployment supplies a [`node::Platform`], which
//! speaks to its store, workers, hosts and callers.

pub mod coordination;
pub mod node;
pub mod observability;
pub mod replay;
pub mod settings;
pub mod state;
