//! The operators' document: one INI text whose sections belong to teams.

mod model;

pub use self::model::{
    BudgetSection, CallerSection, DataCentreSection, Document, FailureReserve, KeyRule,
    PoolSection, SectionKind, SectionName, ServiceSection, TeamRole, TeamSection, Urgency,
    WaveSection,
};
