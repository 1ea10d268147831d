//! Compare-and-swap update of one record, safe against lost replies.

mod update;

pub use self::update::{RecordUpdate, Stored, UpdateFailure, UpdateStep};

#[cfg(test)]
mod tests;
