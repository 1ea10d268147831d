//! The operators' command: reads and changes through the administration API.

mod arguments;
mod check;
mod client;
mod document;
mod error;
mod report;
mod run;
mod table;

pub use self::{arguments::Arguments, error::ControlError, run::run, table::Table};

#[cfg(test)]
mod tests;
