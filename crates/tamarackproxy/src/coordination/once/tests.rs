//! Tests of at-most-once execution, on virtual time.

mod driver;
mod keys;
mod scenarios;
