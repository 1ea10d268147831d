//! Alerts on burn rates over two windows at once.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoEnumIterator};

use super::BurnSeries;
use crate::state::units::Share;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// How urgent an alert is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Severity {
    /// Wakes the person on call.
    Page,
    /// Waits for working hours.
    Ticket,
}

/// Rule that fires while both windows burn faster than its rate. The long
/// window keeps short disturbances quiet, the short one ends the alert soon
/// after the cause is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum AlertRule {
    /// 2% of a 28-day budget within an hour.
    Fast,
    /// 5% of a 28-day budget within 6 hours.
    Slow,
    /// 10% of a 28-day budget within 3 days.
    Creeping,
}

impl AlertRule {
    /// Returns the long and the short window, in milliseconds.
    pub const fn windows_ms(self) -> (u64, u64) {
        match self {
            AlertRule::Fast => (HOUR_MS, 5 * MINUTE_MS),
            AlertRule::Slow => (6 * HOUR_MS, 30 * MINUTE_MS),
            AlertRule::Creeping => (72 * HOUR_MS, 6 * HOUR_MS),
        }
    }

    /// Returns the burn rate above which the rule fires: the share of the
    /// budget times 28 days over the long window.
    pub const fn threshold(self) -> f64 {
        match self {
            AlertRule::Fast => 13.44,
            AlertRule::Slow => 5.6,
            AlertRule::Creeping => 0.933,
        }
    }

    /// Returns how urgent the rule is.
    pub const fn severity(self) -> Severity {
        match self {
            AlertRule::Fast | AlertRule::Slow => Severity::Page,
            AlertRule::Creeping => Severity::Ticket,
        }
    }
}

/// A rule that fires.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Alert {
    /// The rule.
    pub rule: AlertRule,
    /// How urgent it is.
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
