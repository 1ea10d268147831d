//! Measurements: each drives the library's decision code and returns figures.

mod figure;
pub mod jobs;
pub mod key_values;
pub mod once;
pub mod virtual_time;

pub use self::figure::{Bound, Figure};

use gumdrop::Options;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator, VariantNames};

/// Names of the measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum BenchName {
    /// Charges under faults against the at-most-once engine.
    Once,
    /// Urgent starts, lost work and quarantine of the job engine.
    Jobs,
}

/// Command line of `tamarack-bench`.
#[derive(Clone, Debug, Options)]
pub struct BenchOptions {
    /// print this help
    pub help: bool,
    /// name of the measurement; all of them if it is missing
    #[options(free)]
    pub name: Option<String>,
    /// seed of all random choices
    #[options(no_short, default = "1")]
    pub seed: u64,
    /// number of seeds to run, where the measurement runs several
    #[options(no_short, default = "1")]
    pub seeds: u64,
}

/// Runs one measurement.
pub fn run(name: BenchName, options: &BenchOptions) -> Vec<Figure> {
    match name {
        BenchName::Jobs => jobs::run(options.seed, options.seeds),
        BenchName::Once => once::run(options.seed, options.seeds),
    }
}

/// Returns the measurements that a name selects; all if there is no name.
///
/// # Errors
///
/// Returns a message that lists the accepted names.
pub fn select(name: Option<&str>) -> Result<Vec<BenchName>, String> {
    match name {
        None => Ok(BenchName::iter().collect()),
        Some(name) => name.parse().map(|name| vec![name]).map_err(|_| {
            format!("no measurement is called {name:?}; use one of {:?}", BenchName::VARIANTS)
        }),
    }
}
