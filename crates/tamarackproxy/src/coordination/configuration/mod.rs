//! Configuration document: accepts puts, stores and distributes revisions, and
//! keeps the host records up to date.

mod decide;
mod engine;
mod events;
mod hosts;
mod in_force;
mod put;

pub use self::{
    engine::ConfigurationEngine,
    events::{
        ConfigurationAction, ConfigurationEvent, ConfigurationMessage, OperatorCall, Position,
        PutError, SectionEdit, WholePart,
    },
};

/// Key of the document's current revision.
pub const HEAD_KEY: &str = "document/head";
/// Prefix of the keys of history entries, one per revision.
pub const HISTORY_PREFIX: &str = "document/history/";
/// Prefix of the keys of host records.
pub const HOST_PREFIX: &str = "host/";

#[cfg(test)]
mod tests;
