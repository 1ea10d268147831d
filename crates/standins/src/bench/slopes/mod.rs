//! Benchmark `slopes`: growth of the costs of an entry host and of the store with
//! the size of the deployment, for `docs/CAPACITY.md`.

mod deployment;
mod fit;
mod memory;
mod nodes;
mod parse;
mod requests;

use self::fit::Fit;
use super::{BenchOptions, Bound, Figure};

const BENCH: &str = "slopes";

/// Runs the benchmark.
pub(super) fn run(options: &BenchOptions) -> Vec<Figure> {
    let mut figures = requests::run();
    figures.extend(parse::run());
    figures.extend(memory::run());
    figures.extend(nodes::run(options.seed));
    figures
}

/// Returns the figures of one cost at several sizes, followed by the line fitted to
/// them.
fn series(name: &str, size_unit: &str, unit: &'static str, points: &[(f64, f64)]) -> Vec<Figure> {
    let at_size = |(size, value): &(f64, f64)| {
        Figure::new(BENCH, format!("{name} at {size} {size_unit}"), *value, unit)
    };
    let fit = Fit::new(points);
    let line = [
        ("slope", fit.slope),
        ("intercept", fit.intercept),
        ("largest deviation", fit.deviation_max),
    ];
    let of_line = line.map(|(part, value)| {
        Figure::new(BENCH, format!("{name} by {size_unit}: {part}"), value, unit)
    });
    points.iter().map(at_size).chain(of_line).collect()
}

#[cfg(test)]
mod tests;
