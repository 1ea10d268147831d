//! Idle entry hosts in virtual time: CPU time, control messages, store calls and
//! memory, depending on the size of the deployment.

mod world;

use tamarackproxy::protocol::platform::HostList;

use std::time::Instant;

use self::world::{KINDS, NodeCost, Simulation};
use super::{BENCH, Bound, Figure, deployment::Shape, memory::heap_bytes, series};

/// Time for the deployment to start, in milliseconds of virtual time.
const START_MS: u64 = 40_000;
/// Number of measurement windows. The lowest CPU time counts, because other
/// processes may run on the machine.
const WINDOWS: usize = 6;
/// Duration of a window, in milliseconds of virtual time.
const WINDOW_MS: u64 = 10_000;

/// Costs of an idle deployment.
struct IdleCost {
    costs: Vec<NodeCost>,
    store_calls_per_s: f64,
    store_writes_per_s: f64,
    store_lease_calls_per_s: f64,
    heap_per_node_bytes: f64,
}

impl IdleCost {
    fn measure(shape: Shape, seed: u64) -> Self {
        let mut simulation = Simulation::new(shape, seed);
        let before = heap_bytes();
        simulation.run_ms(START_MS);
        let heap_per_node_bytes = (heap_bytes() - before) / shape.nodes() as f64;
        assert_eq!(
            simulation.serving(),
            shape.nodes(),
            "not all entry hosts serve requests after the start"
        );
        simulation.take_costs();
        let counts = simulation.store_counts();
        let mut costs: Vec<NodeCost> = Vec::new();
        for _ in 0..WINDOWS {
            simulation.run_ms(WINDOW_MS);
            let window = simulation.take_costs();
            if costs.is_empty() {
                costs = window;
                continue;
            }
            for (cost, window) in costs.iter_mut().zip(window) {
                cost.merge(window);
            }
        }
        let rest_s = WINDOWS as f64 * WINDOW_MS as f64 / 1_000.0;
        let after = simulation.store_counts();
        let per_s = |after: u64, before: u64| (after - before) as f64 / rest_s;
        Self {
            costs,
            store_calls_per_s: per_s(after.total(), counts.total()),
            store_writes_per_s: per_s(after.swaps + after.deletes, counts.swaps + counts.deletes),
            store_lease_calls_per_s: per_s(after.lease_calls, counts.lease_calls),
            heap_per_node_bytes,
        }
    }

    /// Returns the highest CPU time of a gateway or of another entry host, in
    /// microseconds per second.
    fn cpu_us_per_s(&self, gateway: bool) -> f64 {
        let nodes = self.costs.iter().filter(|cost| cost.is_gateway == gateway);
        let window_s = WINDOW_MS as f64 / 1_000.0;
        nodes.map(|cost| cost.cpu_ns as f64 / 1_000.0 / window_s).fold(0.0, f64::max)
    }

    /// Returns the most bytes per second that a gateway or another entry host sends
    /// and receives.
    fn bytes_per_s(&self, gateway: bool) -> f64 {
        let nodes = self.costs.iter().filter(|cost| cost.is_gateway == gateway);
        let rest_s = WINDOWS as f64 * WINDOW_MS as f64 / 1_000.0;
        nodes.map(|cost| cost.bytes() as f64 / rest_s).fold(0.0, f64::max)
    }
}

/// Number of parses, of which the fastest counts.
const PARSE_RUNS: usize = 7;
/// The design size.
const DESIGN: Shape = Shape { data_centres: 15, entries: 7, hosts: 4_700 };
/// CPU time of the control plane of one entry host: 4.8% of a core.
const CPU_BOUND_US_PER_S: f64 = 48_000.0;
/// Traffic of the control plane of one entry host: 30 KB/s.
const BYTES_BOUND: f64 = 30_000.0;
/// Memory of one entry host: 128 MB.
const MEMORY_BOUND_BYTES: f64 = 128e6;
/// Calls per second that the store sustains.
const STORE_READS_BOUND: f64 = 2_000.0;
/// Writes per second that the store sustains; stated as "several hundred".
const STORE_WRITES_BOUND: f64 = 300.0;

const ENTRIES: [usize; 3] = [2, 4, 7];
const DATA_CENTRES: [usize; 3] = [3, 7, 15];
const HOSTS: [usize; 3] = [50, 500, 4_700];
const SYSTEMS: [(usize, usize); 3] = [(4, 2), (8, 4), (15, 7)];

pub(super) fn run(seed: u64) -> Vec<Figure> {
    let entries = ENTRIES.map(|entries| Shape { data_centres: 3, entries, hosts: 500 });
    let mut figures = of_shapes("entry hosts per data centre", &entries, seed, |s| s.entries);
    let data_centres =
        DATA_CENTRES.map(|data_centres| Shape { data_centres, entries: 2, hosts: 500 });
    figures.extend(of_shapes("data centres", &data_centres, seed, |shape| shape.data_centres));
    let hosts = HOSTS.map(|hosts| Shape { data_centres: 3, entries: 2, hosts });
    figures.extend(of_shapes("hosts", &hosts, seed, |shape| shape.hosts));
    figures.extend(platform_list(&hosts));
    let systems =
        SYSTEMS.map(|(data_centres, entries)| Shape { data_centres, entries, hosts: 500 });
    figures.extend(of_shapes("entry hosts", &systems, seed, |shape| shape.nodes()));
    figures.extend(design_size(seed));
    figures
}

fn of_shapes<F>(unit: &str, shapes: &[Shape], seed: u64, size: F) -> Vec<Figure>
where
    F: Fn(&Shape) -> usize,
{
    let costs_by_size: Vec<(f64, IdleCost)> =
        shapes.iter().map(|shape| (size(shape) as f64, IdleCost::measure(*shape, seed))).collect();
    let points = |value: &dyn Fn(&IdleCost) -> f64| -> Vec<(f64, f64)> {
        costs_by_size.iter().map(|(size, rest)| (*size, value(rest))).collect()
    };
    let mut figures = Vec::new();
    let mut add = |name: &str, measure: &'static str, value: &dyn Fn(&IdleCost) -> f64| {
        figures.extend(series(name, unit, measure, &points(value)));
    };
    add("rest: decisions of a gateway", "us/s", &|rest| rest.cpu_us_per_s(true));
    add("rest: decisions of another node", "us/s", &|rest| rest.cpu_us_per_s(false));
    add("rest: control messages of a gateway", "bytes/s", &|rest| rest.bytes_per_s(true));
    add("rest: control messages of another node", "bytes/s", &|rest| rest.bytes_per_s(false));
    add("rest: store calls", "calls/s", &|rest| rest.store_calls_per_s);
    add("rest: store writes", "calls/s", &|rest| rest.store_writes_per_s);
    add("rest: heap of a node", "bytes", &|rest| rest.heap_per_node_bytes);
    figures
}

/// Measures the design size itself, to check the extrapolation of the slopes.
fn design_size(seed: u64) -> Vec<Figure> {
    let rest = IdleCost::measure(DESIGN, seed);
    let mut figures = Vec::new();
    let mut add = |name: &str, value: f64, unit, most: Option<f64>| {
        let figure = Figure::new(BENCH, format!("design size: {name}"), value, unit);
        figures.push(match most {
            Some(most) => figure.with_bound(Bound::AtMost(most)),
            None => figure,
        });
    };
    for (role, gateway) in [("a gateway", true), ("another node", false)] {
        let cpu = rest.cpu_us_per_s(gateway);
        add(&format!("decisions of {role}"), cpu, "us/s", Some(CPU_BOUND_US_PER_S));
        let bytes = rest.bytes_per_s(gateway);
        add(&format!("control messages of {role}"), bytes, "bytes/s", Some(BYTES_BOUND));
        let nodes = rest.costs.iter().filter(|cost| cost.is_gateway == gateway);
        let Some(most) = nodes.max_by_key(|cost| cost.bytes()) else { continue };
        let per_s = |bytes: usize| bytes as f64 * 1_000.0 / (WINDOWS as f64 * WINDOW_MS as f64);
        for (kind, name) in KINDS.iter().enumerate() {
            let (sent, received) = (per_s(most.sent[kind]), per_s(most.received[kind]));
            add(&format!("{name} sent by {role}"), sent, "bytes/s", None);
            add(&format!("{name} received by {role}"), received, "bytes/s", None);
        }
    }
    add("store calls", rest.store_calls_per_s, "calls/s", Some(STORE_READS_BOUND));
    add("store writes", rest.store_writes_per_s, "calls/s", Some(STORE_WRITES_BOUND));
    add("store lease calls", rest.store_lease_calls_per_s, "calls/s", None);
    add("heap of a node", rest.heap_per_node_bytes, "bytes", Some(MEMORY_BOUND_BYTES));
    figures
}

/// Measures the size of the platform's host list, which a gateway reads once a
/// second, and the time to parse it.
fn platform_list(shapes: &[Shape]) -> Vec<Figure> {
    let (mut sizes, mut times) = (Vec::new(), Vec::new());
    for shape in shapes {
        let hosts = shape.hosts().into_iter().map(|(listed, _)| listed).collect();
        let text = serde_json::to_vec(&HostList { hosts }).unwrap_or_default();
        let runs = (0..PARSE_RUNS).map(|_| {
            let before = Instant::now();
            let list = serde_json::from_slice::<HostList>(&text);
            let time_us = before.elapsed().as_nanos() as f64 / 1_000.0;
            assert!(list.is_ok(), "the generated host list is invalid");
            time_us
        });
        times.push((shape.hosts as f64, runs.fold(f64::INFINITY, f64::min)));
        sizes.push((shape.hosts as f64, text.len() as f64));
    }
    let mut figures = series("platform's list, JSON", "hosts", "bytes", &sizes);
    figures.extend(series("platform's list, parse", "hosts", "us", &times));
    figures
}
