//! Tests of the rejection of work that is known to end too late.

mod bound;
mod surge;
mod verdict;
