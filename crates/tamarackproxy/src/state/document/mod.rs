//! The operators' document: an INI text whose sections are owned by teams.

mod model;
mod parse;
mod text;
mod validate;

pub use self::{
    model::{
        BudgetSection, CallerSection, DataCentreSection, Document, FailureReserve, KeyRule,
        PoolSection, SectionKind, SectionName, ServiceSection, TeamRole, TeamSection, Urgency,
        WaveSection,
    },
    parse::DOCUMENT_MAX_BYTES,
    text::DocumentText,
};

#[cfg(test)]
mod tests;
