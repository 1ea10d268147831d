//! Tests of the job engine, on virtual time.

mod driver;
mod failures;
mod placement;
mod records;
