//! Tests of at-most-once execution, in virtual time.

mod driver;
mod keys;
mod scenarios;
