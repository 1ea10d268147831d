//! Rejection of submissions that are known to end too late for their callers.
//!
//! Load pattern: a queue surges to several times what its pool can hold for
//! seconds. A job that would certainly end after three times its objective takes
//! room in the next lull without benefit to anybody, so its caller is told at
//! once. [`AdmissionEngine`] keeps what the pools' controllers publish, and
//! `bound` computes the earliest end of a new job from it.

mod bound;
mod engine;

pub use self::engine::{AdmissionEngine, NewJob, Rejection, Surroundings, Verdict};

#[cfg(test)]
mod tests;
