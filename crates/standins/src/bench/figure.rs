//! A measured figure with its optional baseline and bound.

use serde::Serialize;

/// Limit that a figure must meet, taken from a stated goal.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bound {
    /// The value must not exceed the limit.
    AtMost(f64),
    /// The value must not fall below the limit.
    AtLeast(f64),
}

impl Bound {
    fn holds(self, value: f64) -> bool {
        match self {
            Bound::AtMost(limit) => value <= limit,
            Bound::AtLeast(limit) => value >= limit,
        }
    }
}

/// One figure of a benchmark, printed as one line of JSON.
///
/// ```
/// use tamarack_standins::bench::{Bound, Figure};
/// let figure = Figure::new("slots", "overruns", 0.0, "count").with_bound(Bound::AtMost(0.0));
/// assert!(figure.held());
/// ```
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    bench: &'static str,
    figure: Box<str>,
    value: f64,
    unit: &'static str,
    baseline: Option<f64>,
    bound: Option<Bound>,
    held: Option<bool>,
}

impl Figure {
    /// Creates a figure without baseline and bound.
    pub fn new<F>(bench: &'static str, figure: F, value: f64, unit: &'static str) -> Self
    where
        F: Into<Box<str>>,
    {
        Self { bench, figure: figure.into(), value, unit, baseline: None, bound: None, held: None }
    }

    /// Adds the value of the baseline in the same run.
    #[must_use]
    pub fn with_baseline(mut self, baseline: f64) -> Self {
        self.baseline = Some(baseline);
        self
    }

    /// Adds a bound and records whether the value meets it.
    #[must_use]
    pub fn with_bound(mut self, bound: Bound) -> Self {
        self.held = Some(bound.holds(self.value));
        self.bound = Some(bound);
        self
    }

    /// Returns whether the value meets its bound; true without a bound.
    pub fn held(&self) -> bool {
        self.held != Some(false)
    }
}
