//! Benchmark `config`: time from a put until its revision is in force on all entry
//! hosts, and the store calls and traffic that distribution costs.
//!
//! Runs the seat and configuration engines of whole deployments in virtual time,
//! with 4 ms for a store call and 1.4 ms between data centres. The baseline is a
//! deployment in which every entry host reads the whole document once a second.

mod faults;
mod lag;
mod scenario;

use tamarackproxy::coordination::configuration::HEAD_KEY;

use self::scenario::Scenario;
use super::{BenchOptions, Bound, Figure};

const NAME: &str = "config";
/// Numbers of data centres and of entry hosts in each; 8, 32 and 105 entry hosts in
/// all.
const SIZES: [(usize, usize); 3] = [(4, 2), (8, 4), (15, 7)];
/// Duration of the phase without changes, in milliseconds.
const IDLE_MS: u64 = 60_000;
/// Number of changes without faults; 13,000 a day are one in 6.6 s.
const CHANGES: usize = 30;
/// Number of changes with faults.
const FAULT_CHANGES: usize = 60;
/// Time within which a revision must be in force, in milliseconds.
const IN_FORCE_BOUND_MS: f64 = 6_000.0;
/// Bound for the traffic of one entry host, in bytes per second.
const BYTES_BOUND: f64 = 30_000.0;

/// Runs the benchmark for all sizes.
pub(super) fn run(options: &BenchOptions) -> Vec<Figure> {
    let seeds = options.seed..options.seed + options.seeds.max(1);
    let sizes = seeds.flat_map(|seed| SIZES.map(|size| (seed, size)));
    sizes
        .flat_map(|(seed, (data_centres, entries))| run_size(data_centres, entries, seed))
        .collect()
}

/// Collects figures, whose names are prefixed with the number of entry hosts.
struct Figures {
    nodes: usize,
    figures: Vec<Figure>,
}

impl Figures {
    fn name(&self, figure: &str) -> String {
        format!("{}/{figure}", self.nodes)
    }

    fn plain(&mut self, figure: &str, value: f64, unit: &'static str) {
        self.figures.push(Figure::new(NAME, self.name(figure), value, unit));
    }

    fn compared(&mut self, figure: &str, value: f64, unit: &'static str, baseline: f64) {
        let figure = Figure::new(NAME, self.name(figure), value, unit);
        self.figures.push(figure.with_baseline(baseline));
    }

    fn bounded(
        &mut self,
        figure: &str,
        value: f64,
        unit: &'static str,
        baseline: Option<f64>,
        most: f64,
    ) {
        let figure = Figure::new(NAME, self.name(figure), value, unit);
        let figure = figure.with_bound(Bound::AtMost(most));
        self.figures.push(match baseline {
            Some(baseline) => figure.with_baseline(baseline),
            None => figure,
        });
    }
}

fn run_size(data_centres: usize, entries: usize, seed: u64) -> Vec<Figure> {
    let mut scenario = Scenario::new(data_centres, entries, seed);
    let nodes = data_centres * entries;
    let mut figures = Figures { nodes, figures: Vec::new() };
    let head_bytes = scenario.cluster.stored_bytes(HEAD_KEY) as f64;
    let poll_bytes = scenario.poll_bytes();
    figures.plain("head_size", head_bytes, "bytes");
    measure_idle(&mut scenario, &mut figures, poll_bytes);
    measure_changes(&mut scenario, &mut figures, poll_bytes);
    measure_faults(&mut scenario, &mut figures);
    figures.figures
}

fn measure_idle(scenario: &mut Scenario, figures: &mut Figures, poll_bytes: f64) {
    let before = scenario.cost();
    scenario.cluster.run_ms(IDLE_MS);
    let cost = scenario.cost().since(&before);
    scenario.set_idle_calls(cost.calls_per_second());
    let polls = figures.nodes as f64;
    figures.compared("rest_store_calls", cost.calls_per_second(), "calls/s", polls);
    figures.plain("rest_store_writes", cost.writes_per_second(), "calls/s");
    figures.plain("watches", scenario.cluster.watches() as f64, "count");
    let most = cost.most_bytes_per_second();
    figures.bounded("rest_bytes_per_node_max", most, "bytes/s", Some(poll_bytes), BYTES_BOUND);
}

fn measure_changes(scenario: &mut Scenario, figures: &mut Figures, poll_bytes: f64) {
    let (before, idle_calls) = (scenario.cost(), scenario.idle_calls_per_second());
    scenario.change(CHANGES, false);
    let cost = scenario.cost().since(&before);
    let lags = scenario.lags_from_put();
    let polled = scenario.polled_lags(lags.samples());
    let (max, p99) = (lags.max_ms(), lags.p99_ms());
    let bound = IN_FORCE_BOUND_MS;
    figures.bounded("put_to_in_force_max", max, "ms", Some(polled.max_ms()), bound);
    figures.bounded("put_to_in_force_p99", p99, "ms", Some(polled.p99_ms()), bound);
    let extra = cost.calls() - idle_calls * cost.seconds();
    figures.plain("store_calls_per_change", extra / scenario.accepted() as f64, "calls");
    let most = cost.most_bytes_per_second();
    figures.bounded("bytes_per_node_max", most, "bytes/s", Some(poll_bytes), BYTES_BOUND);
    figures.plain("bytes_per_node_mean", cost.mean_bytes_per_second(), "bytes/s");
}

fn measure_faults(scenario: &mut Scenario, figures: &mut Figures) {
    let before = scenario.cost();
    scenario.start_faults();
    scenario.change(FAULT_CHANGES, true);
    scenario.end_faults();
    let most = scenario.cost().since(&before).most_bytes_per_second();
    figures.bounded("faults/bytes_per_node_max", most, "bytes/s", None, BYTES_BOUND);
    let (lags, healed) = scenario.lags_with_faults();
    let bound = IN_FORCE_BOUND_MS;
    figures.plain("faults/puts_accepted", scenario.accepted() as f64, "count");
    figures.plain("faults/puts_refused", scenario.refused() as f64, "count");
    figures.bounded("faults/accepted_to_in_force_max", lags.max_ms(), "ms", None, bound);
    figures.bounded("faults/accepted_to_in_force_p99", lags.p99_ms(), "ms", None, bound);
    figures.bounded("faults/after_healing_max", healed.max_ms(), "ms", None, bound);
    figures.plain("faults/after_healing_samples", healed.samples() as f64, "count");
    let missing = scenario.missing() as f64;
    figures.bounded("faults/never_in_force", missing, "count", None, 0.0);
    let reverts = scenario.cluster.observations.reverts as f64;
    figures.bounded("faults/reverts", reverts, "count", None, 0.0);
    let shared = scenario.cluster.observations.shared_seats as f64;
    figures.bounded("faults/shared_seats", shared, "count", None, 0.0);
}
