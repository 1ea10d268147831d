//! Report on burn rates and remaining error budgets.

use serde::{Deserialize, Serialize};

use super::{Alert, BurnCounts, BurnLedger, BurnSeries, Resolution};
use crate::state::{
    document::{Document, ServiceSection, Urgency},
    ids::ServiceId,
    units::{DurationMs, Share},
};

/// Figures of one service, or of one urgency class of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    pub service: ServiceId,
    /// The urgency class; `None` for the whole service.
    pub class: Option<Urgency>,
    /// Target share of good events.
    pub objective: Share,
    /// Window of the objective.
    pub window: DurationMs,
    /// Events within the window.
    pub counts: BurnCounts,
    /// Remaining fraction of the error budget; negative if overspent.
    pub budget_left: f64,
    /// Burn rate over the last hour.
    pub hour_rate: f64,
    /// Burn rate over the last 6 hours.
    pub six_hour_rate: f64,
    /// Firing alerts; only for whole services.
    pub alerts: Vec<Alert>,
    /// Events by period start, in milliseconds since the Unix epoch, for plots;
    /// only for whole services.
    pub periods: Vec<(u64, BurnCounts)>,
}

/// Report of all services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Time of the report, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Rows by service, the whole service before its urgency classes.
    pub rows: Vec<BurnRow>,
}

const HOUR_MS: u64 = 3_600_000;

fn row(
    service: &ServiceId,
    class: Option<Urgency>,
    section: &ServiceSection,
    series: &BurnSeries,
    now_unix_ms: u64,
) -> BurnRow {
    let objective = section.objective;
    let counts = series.window(now_unix_ms, section.objective_window.as_ms());
    let rate = |window_ms| series.window(now_unix_ms, window_ms).burn_rate(objective);
    let is_total = class.is_none();
    BurnRow {
        service: service.clone(),
        class,
        objective,
        window: section.objective_window,
        budget_left: 1.0 - counts.burn_rate(objective),
        counts,
        hour_rate: rate(HOUR_MS),
        six_hour_rate: rate(6 * HOUR_MS),
        alerts: if is_total { Alert::firing(series, objective, now_unix_ms) } else { Vec::new() },
        periods: if is_total { series.periods(Resolution::FiveMinutes) } else { Vec::new() },
    }
}

impl BurnReport {
    /// Creates the report from the merged ledger of all seats.
    pub fn new(ledger: &BurnLedger, document: &Document, now_unix_ms: u64) -> Self {
        let mut rows = Vec::new();
        for service in ledger.services() {
            let Some(section) = document.services.get(service) else { continue };
            rows.push(row(service, None, section, &ledger.total(service), now_unix_ms));
            let classes = ledger.series().filter(|(name, ..)| *name == service);
            rows.extend(classes.map(|(_, urgency, series)| {
                row(service, Some(urgency), section, series, now_unix_ms)
            }));
        }
        Self { at_unix_ms: now_unix_ms, rows }
    }
}
