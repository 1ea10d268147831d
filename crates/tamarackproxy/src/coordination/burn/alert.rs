//! Multi-window burn rate alerts.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoEnumIterator};

use super::BurnSeries;
use crate::state::units::Share;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Severity of an alert.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Severity {
    /// Pages the engineer on call.
    Page,
    /// Can wait until working hours.
    Ticket,
}

/// Rule that fires while the burn rate of both windows exceeds its threshold.
/// The long window suppresses alerts on short disturbances; the short window
/// ends the alert soon after the cause is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum AlertRule {
    /// 2% of a 28-day budget within one hour.
    Fast,
    /// 5% of a 28-day budget within 6 hours.
    Slow,
    /// 10% of a 28-day budget within 3 days.
    Creeping,
}

impl AlertRule {
    /// Returns the long and short windows, in milliseconds.
    pub const fn windows_ms(self) -> (u64, u64) {
        match self {
            AlertRule::Fast => (HOUR_MS, 5 * MINUTE_MS),
            AlertRule::Slow => (6 * HOUR_MS, 30 * MINUTE_MS),
            AlertRule::Creeping => (72 * HOUR_MS, 6 * HOUR_MS),
        }
    }

    /// Returns the burn rate above which the rule fires: the consumed share of
    /// the budget, times 28 days, divided by the long window.
    pub const fn threshold(self) -> f64 {
        match self {
            AlertRule::Fast => 13.44,
            AlertRule::Slow => 5.6,
            AlertRule::Creeping => 0.933,
        }
    }

    /// Returns the severity of the rule's alerts.
    pub const fn severity(self) -> Severity {
        match self {
            AlertRule::Fast | AlertRule::Slow => Severity::Page,
            AlertRule::Creeping => Severity::Ticket,
        }
    }
}

/// A firing alert.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Alert {
    /// Rule that fires.
    pub rule: AlertRule,
    /// Severity of the rule.
    pub severity: Severity,
    /// Burn rate over the long window.
    pub long_rate: f64,
    /// Burn rate over the short window.
    pub short_rate: f64,
}

impl Alert {
    /// Returns the rules that fire now.
    pub fn firing(series: &BurnSeries, objective: Share, now_unix_ms: u64) -> Vec<Self> {
        let evaluate = |rule: AlertRule| {
            let (long_ms, short_ms) = rule.windows_ms();
            let rate = |window_ms| series.window(now_unix_ms, window_ms).burn_rate(objective);
            let (long_rate, short_rate) = (rate(long_ms), rate(short_ms));
            let fires = long_rate > rule.threshold() && short_rate > rule.threshold();
            fires.then(|| Self { rule, severity: rule.severity(), long_rate, short_rate })
        };
        AlertRule::iter().filter_map(evaluate).collect()
    }
}
