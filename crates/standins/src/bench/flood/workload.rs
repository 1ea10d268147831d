//! Workload: services that surge one after the other, and a flood of one service.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::state::document::Urgency;

use crate::bench::request_sim::{Arrival, Deployment, SLOTS};

/// Mean service time of a request, in microseconds.
pub const SERVICE_TIME_US: f64 = 100_000.0;
/// Phases of the Erlang distribution of service times; four give a coefficient of
/// variation of 0.5.
const SERVICE_TIME_PHASES: u32 = 4;
/// Mean load of a service as a share of the capacity of its targets. A surge of
/// five times the mean is then 1.5 times the capacity of the pool.
const MEAN_LOAD: f64 = 0.3;
/// Load in a surge, as a multiple of the mean.
const SURGE: f64 = 5.0;
/// Load between surges, as a multiple of the mean.
const LULL: f64 = 0.05;
/// Duration of one surge, in microseconds; the services surge one after the other.
const SURGE_US: u64 = 4_000_000;
/// Urgency classes with their share of the ordinary requests and their deadline in
/// milliseconds.
const CLASSES: [(Urgency, f64, u64); 3] =
    [(Urgency::Urgent, 0.2, 2_000), (Urgency::Normal, 0.5, 5_000), (Urgency::Bulk, 0.3, 10_000)];
/// Load of the first data centre as a multiple of what corresponds to its number of
/// targets.
const FIRST_DATA_CENTRE_WEIGHT: f64 = 1.25;
/// Ordinary callers of each service.
pub const CALLERS: u32 = 10;
/// Callers that take part in a flood of one class.
const FLOOD_CALLERS: u32 = 3;
/// Load of a flooding class as a multiple of the capacity of the flooded service.
const FLOOD_LOAD: f64 = 3.0;
/// Number of the first flooding caller.
const FLOOD_CALLER: u32 = 1_000;

/// Requests that flood the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// Nothing.
    None,
    /// The least urgent class.
    Bulk,
    /// The most urgent class.
    Urgent,
    /// Both at once.
    Both,
    /// One caller of the most urgent class.
    OneCaller,
}

impl Flood {
    /// Returns the flooding classes with the number of flooding callers.
    fn parts(self) -> &'static [(Urgency, u32)] {
        match self {
            Flood::None => &[],
            Flood::Bulk => &[(Urgency::Bulk, FLOOD_CALLERS)],
            Flood::Urgent => &[(Urgency::Urgent, FLOOD_CALLERS)],
            Flood::Both => &[(Urgency::Bulk, FLOOD_CALLERS), (Urgency::Urgent, FLOOD_CALLERS)],
            Flood::OneCaller => &[(Urgency::Urgent, 1)],
        }
    }
}

/// Time of a run, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Start of the flood and of the measurement.
    pub start_us: u64,
    /// End of the flood and of the measurement.
    pub end_us: u64,
}

/// Returns the requests per second that the targets of a service can handle.
pub fn capacity_per_second(deployment: &Deployment, service: usize) -> f64 {
    (deployment.instances[service] * usize::from(SLOTS)) as f64 / (SERVICE_TIME_US / 1e6)
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

struct Source<'a> {
    rng: ChaCha8Rng,
    deployment: &'a Deployment,
    arrivals: Vec<Arrival>,
}

impl Source<'_> {
    fn add(&mut self, at_us: u64, service: usize, caller: u32, class: (Urgency, u64), flood: bool) {
        let data_centre = self.data_centre(service);
        let entry = self.rng.random_range(0..self.deployment.entries);
        let mean = SERVICE_TIME_US / f64::from(SERVICE_TIME_PHASES);
        let service_us: f64 =
            (0..SERVICE_TIME_PHASES).map(|_| exponential(&mut self.rng, mean)).sum();
        self.arrivals.push(Arrival {
            at_us,
            data_centre,
            entry,
            service,
            caller,
            urgency: class.0,
            deadline_ms: class.1,
            service_us: service_us as u64,
            flood,
        });
    }

    /// Chooses a random data centre for a request, weighted by the number of the
    /// service's targets; the first data centre has a higher weight.
    fn data_centre(&mut self, service: usize) -> usize {
        let weight = |(index, instances): (usize, usize)| {
            instances as f64 * if index == 0 { FIRST_DATA_CENTRE_WEIGHT } else { 1.0 }
        };
        let placed = self.deployment.instances_by_data_centre(service);
        let weights: Vec<f64> = placed.into_iter().enumerate().map(weight).collect();
        let mut draw = self.rng.random_range(0.0..weights.iter().sum());
        let position = weights.iter().position(|weight| {
            draw -= weight;
            draw < 0.0
        });
        position.unwrap_or(0)
    }

    /// Adds Poisson arrivals whose rate per second depends on the time and is at most
    /// `peak`.
    fn stream<R, A>(&mut self, window: Window, peak: f64, rate: R, mut add: A)
    where
        R: Fn(u64) -> f64,
        A: FnMut(&mut Self, u64),
    {
        let mut at_us = window.start_us as f64;
        loop {
            at_us += exponential(&mut self.rng, 1e6 / peak);
            if at_us >= window.end_us as f64 {
                return;
            }
            if self.rng.random::<f64>() * peak < rate(at_us as u64) {
                add(self, at_us as u64);
            }
        }
    }
}

/// Returns the load of a service at a time, as a multiple of its mean.
fn surge_factor(at_us: u64, service: usize, services: usize) -> f64 {
    if (at_us / SURGE_US) as usize % services == service { SURGE } else { LULL }
}

/// Generates the arrivals of a run that begins at time 0, in order of time. The
/// ordinary arrivals do not depend on the flood.
pub fn arrivals(
    deployment: &Deployment,
    flood: Flood,
    flooded: usize,
    window: Window,
    seed: u64,
) -> Vec<Arrival> {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut source = Source { rng, deployment, arrivals: Vec::new() };
    let whole = Window { start_us: 0, ..window };
    let services = deployment.instances.len();
    for service in 0..services {
        let mean = MEAN_LOAD * capacity_per_second(deployment, service);
        let rate = |at_us| mean * surge_factor(at_us, service, services);
        source.stream(whole, mean * SURGE, rate, |source, at_us| {
            let caller = service as u32 * CALLERS + source.rng.random_range(0..CALLERS);
            let mut draw = source.rng.random::<f64>();
            let class = CLASSES.iter().find(|class| {
                draw -= class.1;
                draw < 0.0
            });
            let &(urgency, _, deadline_ms) = class.unwrap_or(&CLASSES[2]);
            source.add(at_us, service, caller, (urgency, deadline_ms), false);
        });
    }
    source.rng = ChaCha8Rng::seed_from_u64(seed ^ 0x0F10_0D00);
    for &(urgency, callers) in flood.parts() {
        let rate = FLOOD_LOAD * capacity_per_second(deployment, flooded);
        let deadline_ms = CLASSES.iter().find(|class| class.0 == urgency).map_or(0, |c| c.2);
        source.stream(
            window,
            rate,
            |_| rate,
            |source, at_us| {
                let caller = FLOOD_CALLER + source.rng.random_range(0..callers);
                source.add(at_us, flooded, caller, (urgency, deadline_ms), true);
            },
        );
    }
    source.arrivals.sort_by_key(|arrival| arrival.at_us);
    source.arrivals
}
