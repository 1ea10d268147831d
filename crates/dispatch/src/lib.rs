//! Dispatch of jobs to the workers of pools, and maintenance of their hosts.
//!
//! Many small processes share a store. Each of them accepts jobs from callers;
//! each pool is controlled by one of them at a time. [`state`] defines the data
//! types, [`coordination`] contains the engines, which decide without I/O, and
//! [`node`] runs the engines on one event loop. A deployment supplies a
//! [`node::Platform`] that connects to its store, workers, hosts and callers.

pub mod coordination;
pub mod node;
pub mod observability;
pub mod replay;
pub mod settings;
pub mod state;
