//! Simulations that replay load against the engines on virtual time.
//!
//! The tests and `tamarack-bench` replay the same load. A simulation panics
//! when an engine violates an invariant that workers rely on.

pub mod admission;
pub mod balance;
pub mod fair_share;
pub mod placement;
pub mod pool;
