//! Service-level objectives: good and bad events, remaining error budget, burn
//! rates and alerts.

mod alert;
mod counts;
mod engine;
mod ledger;
mod report;
mod series;

pub use self::{
    alert::{Alert, AlertRule, Severity},
    counts::{BadCause, BurnCounts, Event},
    engine::{BURN_PREFIX, BurnEngine, SAVE_INTERVAL_MS},
    ledger::BurnLedger,
    report::{BurnReport, BurnRow},
    series::{BurnSeries, Resolution},
};

#[cfg(test)]
mod tests;
