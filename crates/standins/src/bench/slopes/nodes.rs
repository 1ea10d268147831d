//! Whole nodes at rest on virtual time: processor time, control messages,
//! store calls and memory against the size of the deployment.

mod world;

use tamarackproxy::protocol::platform::HostList;

use self::world::{NodeCost, World};
use super::{Figure, deployment::Shape, memory::resident_bytes, series};

/// Time for the start, in milliseconds of virtual time.
const START_MS: u64 = 40_000;
/// Windows of rest; the cheapest counts, because the machine is shared.
const WINDOWS: usize = 6;
/// Length of a window, in milliseconds of virtual time.
const WINDOW_MS: u64 = 10_000;

/// What a deployment costs at rest, by role.
struct Rest {
    costs: Vec<NodeCost>,
    store_calls_per_s: f64,
    store_writes_per_s: f64,
    memory_per_node_bytes: f64,
    /// Kept, so that no size reuses the memory of an earlier one.
    _world: World,
}

impl Rest {
    fn measure(shape: Shape, seed: u64) -> Self {
        let mut world = World::new(shape, seed);
        let before = resident_bytes();
        world.run_ms(START_MS);
        let memory_per_node_bytes = (resident_bytes() - before) / shape.nodes() as f64;
        world.take_costs();
        let counts = world.store_counts();
        let mut costs: Vec<NodeCost> = Vec::new();
        for _ in 0..WINDOWS {
            world.run_ms(WINDOW_MS);
            let window = world.take_costs();
            if costs.is_empty() {
                costs = window;
                continue;
            }
            for (cost, window) in costs.iter_mut().zip(window) {
                cost.merge(window);
            }
        }
        let rest_s = WINDOWS as f64 * WINDOW_MS as f64 / 1_000.0;
        let (calls, writes) = world.store_counts();
        Self {
            costs,
            store_calls_per_s: (calls - counts.0) as f64 / rest_s,
            store_writes_per_s: (writes - counts.1) as f64 / rest_s,
            memory_per_node_bytes,
            _world: world,
        }
    }

    /// Largest processor time of a node of a kind, in microseconds a second.
    fn cpu_us_per_s(&self, gateway: bool) -> f64 {
        let nodes = self.costs.iter().filter(|cost| cost.is_gateway == gateway);
        let window_s = WINDOW_MS as f64 / 1_000.0;
        nodes.map(|cost| cost.cpu_ns as f64 / 1_000.0 / window_s).fold(0.0, f64::max)
    }

    /// Most bytes a second that a node of a kind sends and receives.
    fn bytes_per_s(&self, gateway: bool) -> f64 {
        let nodes = self.costs.iter().filter(|cost| cost.is_gateway == gateway);
        let rest_s = WINDOWS as f64 * WINDOW_MS as f64 / 1_000.0;
        nodes.map(|cost| cost.bytes as f64 / rest_s).fold(0.0, f64::max)
    }
}

const ENTRIES: [usize; 3] = [2, 4, 7];
const DATA_CENTRES: [usize; 3] = [3, 7, 15];
const HOSTS: [usize; 3] = [50, 500, 4_700];
const SYSTEMS: [(usize, usize); 3] = [(4, 2), (8, 4), (15, 7)];

pub(super) fn run(seed: u64) -> Vec<Figure> {
    let entries = ENTRIES.map(|entries| Shape { data_centres: 3, entries, hosts: 500 });
    let mut figures = of_shapes("entry hosts per data centre", &entries, seed, |s| s.entries);
    let centres = DATA_CENTRES.map(|data_centres| Shape { data_centres, entries: 2, hosts: 500 });
    figures.extend(of_shapes("data centres", &centres, seed, |shape| shape.data_centres));
    let hosts = HOSTS.map(|hosts| Shape { data_centres: 3, entries: 2, hosts });
    figures.extend(of_shapes("hosts", &hosts, seed, |shape| shape.hosts));
    figures.extend(list_bytes(&hosts));
    let systems =
        SYSTEMS.map(|(data_centres, entries)| Shape { data_centres, entries, hosts: 500 });
    figures.extend(of_shapes("entry hosts", &systems, seed, |shape| shape.nodes()));
    figures
}

fn of_shapes<F>(unit: &str, shapes: &[Shape], seed: u64, size: F) -> Vec<Figure>
where
    F: Fn(&Shape) -> usize,
{
    let rests: Vec<(f64, Rest)> =
        shapes.iter().map(|shape| (size(shape) as f64, Rest::measure(*shape, seed))).collect();
    let points = |value: &dyn Fn(&Rest) -> f64| -> Vec<(f64, f64)> {
        rests.iter().map(|(size, rest)| (*size, value(rest))).collect()
    };
    let mut figures = Vec::new();
    let mut add = |name: &str, measure: &'static str, value: &dyn Fn(&Rest) -> f64| {
        figures.extend(series(name, unit, measure, &points(value)));
    };
    add("rest: decisions of a gateway", "us/s", &|rest| rest.cpu_us_per_s(true));
    add("rest: decisions of another node", "us/s", &|rest| rest.cpu_us_per_s(false));
    add("rest: control messages of a gateway", "bytes/s", &|rest| rest.bytes_per_s(true));
    add("rest: control messages of another node", "bytes/s", &|rest| rest.bytes_per_s(false));
    add("rest: store calls", "calls/s", &|rest| rest.store_calls_per_s);
    add("rest: store writes", "calls/s", &|rest| rest.store_writes_per_s);
    add("rest: memory of a node", "bytes", &|rest| rest.memory_per_node_bytes);
    figures
}

/// Size of the platform's list, which a gateway reads once a second.
fn list_bytes(shapes: &[Shape]) -> Vec<Figure> {
    let bytes = |shape: &Shape| {
        let hosts = shape.hosts().into_iter().map(|(listed, _)| listed).collect();
        let text = serde_json::to_vec(&HostList { hosts }).unwrap_or_default();
        (shape.hosts as f64, text.len() as f64)
    };
    let points: Vec<(f64, f64)> = shapes.iter().map(bytes).collect();
    series("platform's list, JSON", "hosts", "bytes", &points)
}
