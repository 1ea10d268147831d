//! Benchmarks. Each drives the decision code of the library, mostly in virtual
//! time, and returns figures, many of them with a baseline or a bound.

mod buffer;
mod config;
mod dispatch;
mod figure;
mod flood;
mod interference;
pub mod jobs;
pub mod key_values;
mod matrix;
pub mod once;
mod proxy;
mod request_sim;
mod slopes;
mod slots;
pub mod virtual_time;
mod wave;

pub use self::figure::{Bound, Figure};

use gumdrop::Options;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator, VariantNames};

/// Names of the benchmarks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum BenchName {
    /// Service that other requests keep while one class or caller floods.
    Flood,
    /// Overruns and utilisation of the slots that entry hosts share.
    Slots,
    /// Non-repeatable requests to the at-most-once engine under faults.
    Once,
    /// Spare hosts kept for surges and rack failures.
    Buffer,
    /// Roll-out time of a maintenance wave.
    Wave,
    /// Time from an edit until its revision is in force, and cost of distribution.
    Config,
    /// Start times of urgent jobs, lost work and quarantines of the job engine.
    Jobs,
    /// Every fault and every pair of faults at every step of every action.
    Matrix,
    /// Cost of a proxied request on real sockets, compared with a direct one.
    Proxy,
    /// Growth of CPU, memory and traffic with the size of the deployment.
    Slopes,
    /// Job order, moves of hosts and throttling by the dispatcher under surges.
    Dispatch,
    /// Cost of the detection of kinds of tasks that slow each other down.
    Interference,
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

/// Runs one benchmark.
pub fn run(name: BenchName, options: &BenchOptions) -> Vec<Figure> {
    match name {
        BenchName::Flood => flood::run(options),
        BenchName::Slots => slots::run(options),
        BenchName::Jobs => jobs::run(options.seed, options.seeds),
        BenchName::Once => once::run(options.seed, options.seeds),
        BenchName::Buffer => buffer::run(options),
        BenchName::Wave => wave::run(options),
        BenchName::Config => config::run(options),
        BenchName::Matrix => matrix::run(options),
        BenchName::Proxy => proxy::run(options),
        BenchName::Slopes => slopes::run(options),
        BenchName::Dispatch => dispatch::run(options),
        BenchName::Interference => interference::run(options),
    }
}

/// Returns the benchmark of that name, or all if no name is given.
///
/// # Errors
///
/// Returns a message that lists the accepted names.
pub fn select(name: Option<&str>) -> Result<Vec<BenchName>, String> {
    match name {
        None => Ok(BenchName::iter().collect()),
        Some(name) => name.parse().map(|name| vec![name]).map_err(|_| {
            format!("there is no benchmark {name:?}; use one of {:?}", BenchName::VARIANTS)
        }),
    }
}
