//! Tests of at-most-once execution, on virtual time with seeded fakes.

mod keys;
