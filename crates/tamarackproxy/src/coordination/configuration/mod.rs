//! Accepting, distributing and keeping document revisions.

mod events;

pub use self::events::{
    ConfigurationAction, ConfigurationEvent, ConfigurationMessage, OperatorCall, Position,
    PutError, SectionEdit,
};
