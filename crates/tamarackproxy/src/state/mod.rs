//! Values that the system keeps: ids, units, the document and store records.

pub mod clock;
pub mod document;
pub mod ids;
pub mod ini;
pub mod records;
pub mod settings;
pub mod units;
