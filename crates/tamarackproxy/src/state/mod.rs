//! Data model: ids, units, settings, the operators' document and the records in
//! the store.

pub mod clock;
pub mod document;
pub mod ids;
pub mod ini;
pub mod records;
pub mod settings;
pub mod units;
