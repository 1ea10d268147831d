//! Implementation of `tamarackctl`, a client of the administration API.

mod arguments;
mod check;
mod client;
mod document;
mod error;
mod report;
mod run;
mod table;

pub use self::{arguments::Arguments, error::CommandError, run::run, table::Table};

#[cfg(test)]
mod tests;
