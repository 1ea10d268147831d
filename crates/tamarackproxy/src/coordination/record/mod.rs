//! Compare-and-swap update of one record that is safe when replies are lost.

mod update;

pub use self::update::{RecordUpdate, Stored, UpdateFailure, UpdateStep};

#[cfg(test)]
mod tests;
