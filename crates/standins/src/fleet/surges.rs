//! Workload whose services surge one after the other, with rack failures and a
//! request queue per service.

use std::collections::VecDeque;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Duration of one step, in milliseconds.
const STEP_MS: u64 = 250;
/// Smallest and largest load of a surge, as a multiple of the mean load.
const SURGE_FACTOR: (f64, f64) = (4.5, 5.5);
/// Load between surges, as a multiple of the mean load.
const CALM_FACTOR: f64 = 0.05;
/// Shortest and longest surge, in milliseconds.
const SURGE_MS: (u64, u64) = (4_000, 8_000);
/// Shortest and longest pause between the surge of one service and that of the
/// next, in milliseconds; with these pauses the load averages to the mean load
/// over time.
const PAUSE_MS: (u64, u64) = (0, 500);
/// Rack failures in one run, evenly spaced.
const RACK_FAILURES: u64 = 3;
/// Time until a failed rack is repaired, in milliseconds.
const RACK_REPAIR_MS: u64 = 1_200_000;

/// Services and pools of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of services, each with a pool of its own.
    pub services: usize,
    /// Hosts of each pool by default.
    pub pool_hosts: u32,
    /// Requests that a host runs at once.
    pub slots_per_host: u32,
    /// Mean load of each service, in slots; a surge of five times this load
    /// exceeds the pool.
    pub mean_slots: f64,
    /// Time for which a request occupies a slot, in milliseconds; a multiple of
    /// the duration of a step.
    pub service_ms: u32,
    /// Deadline of a request, in milliseconds.
    pub deadline_ms: u64,
}

impl Site {
    /// Short requests, ten hosts for each of five services.
    pub const KIGALI: Self = Self {
        name: "kigali",
        services: 5,
        pool_hosts: 10,
        slots_per_host: 8,
        mean_slots: 20.0,
        service_ms: 250,
        deadline_ms: 10_000,
    };
    /// Longer requests on the same number of hosts.
    pub const KIELCE: Self = Self { name: "kielce", service_ms: 750, ..Self::KIGALI };

    /// Returns the site with another deadline.
    #[must_use]
    pub const fn with_deadline_ms(self, deadline_ms: u64) -> Self {
        Self { deadline_ms, ..self }
    }
}

/// Arrivals of all services and the rack failures of one run.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The deployment.
    pub site: Site,
    arrivals: Vec<Vec<u32>>,
    /// Start of each rack failure and the services that lose a host.
    failures: Vec<(u64, Vec<usize>)>,
}

impl Trace {
    /// Generates a trace of `run_ms` milliseconds.
    pub fn new(site: Site, run_ms: u64, rng: &mut ChaCha8Rng) -> Self {
        let steps = (run_ms / STEP_MS) as usize;
        let mut factors = vec![vec![CALM_FACTOR; steps]; site.services];
        let (mut at_ms, mut surge) = (0, 0);
        while at_ms < run_ms {
            let surge_ms = rng.random_range(SURGE_MS.0..=SURGE_MS.1);
            let factor = rng.random_range(SURGE_FACTOR.0..=SURGE_FACTOR.1);
            let (first, end) = (at_ms / STEP_MS, (at_ms + surge_ms) / STEP_MS);
            let (first, end) = ((first as usize).min(steps), (end as usize).min(steps));
            factors[surge % site.services][first..end].fill(factor);
            at_ms += surge_ms + rng.random_range(PAUSE_MS.0..=PAUSE_MS.1);
            surge += 1;
        }
        let per_step = site.mean_slots * STEP_MS as f64 / f64::from(site.service_ms);
        let arrivals = factors
            .into_iter()
            .map(|factors| factors.into_iter().map(|f| poisson(f * per_step, rng)).collect())
            .collect();
        let spacing_ms = run_ms / (RACK_FAILURES + 1);
        let failures = (1..=RACK_FAILURES)
            .map(|number| {
                let first = rng.random_range(0..site.services);
                let lost = (0..4).map(|host| (first + host) % site.services).collect();
                (number * spacing_ms, lost)
            })
            .collect();
        Self { site, arrivals, failures }
    }

    /// Returns the number of steps.
    pub fn steps(&self) -> usize {
        self.arrivals.first().map_or(0, Vec::len)
    }

    /// Returns the requests that arrive for a service in a step.
    pub fn arrivals(&self, service: usize, step: usize) -> u32 {
        self.arrivals[service][step]
    }

    /// Returns how many of a pool's hosts have failed at `now_ms`: a rack failure
    /// takes one host of each of four pools, or more of the same pool if there
    /// are fewer.
    pub fn lost(&self, service: usize, hosts: u32, now_ms: u64) -> u32 {
        let hits = |lost: &Vec<usize>| lost.iter().filter(|&&hit| hit == service).count() as u32;
        self.failures
            .iter()
            .filter(|(at_ms, _)| (*at_ms..at_ms + RACK_REPAIR_MS).contains(&now_ms))
            .map(|(_, lost)| hits(lost))
            .sum::<u32>()
            .min(hosts)
    }

    /// Returns the number of hosts that the highest load of any second needs.
    pub fn peak_hosts(&self, service: usize) -> u32 {
        let per_second = (1_000 / STEP_MS) as usize;
        let requests = self.arrivals[service]
            .chunks(per_second)
            .map(|second| second.iter().sum::<u32>())
            .max()
            .unwrap_or(0);
        let slots = f64::from(requests) * f64::from(self.site.service_ms) / 1_000.0;
        (slots / f64::from(self.site.slots_per_host)).ceil() as u32
    }

    /// Returns the number of hosts that the mean load of all services needs.
    pub fn mean_hosts(&self) -> f64 {
        let requests: u64 = self.arrivals.iter().flatten().map(|&count| u64::from(count)).sum();
        let run_ms = self.steps() as f64 * STEP_MS as f64;
        let slots = requests as f64 * f64::from(self.site.service_ms) / run_ms;
        slots / f64::from(self.site.slots_per_host)
    }
}

/// Draws a Poisson-distributed number by Knuth's method, split into parts of
/// the mean whose `exp` does not underflow.
fn poisson(mean: f64, rng: &mut ChaCha8Rng) -> u32 {
    let mut remaining = mean;
    let mut count = 0;
    while remaining > 0.0 {
        let limit = (-remaining.min(30.0)).exp();
        remaining -= 30.0;
        let mut product: f64 = rng.random();
        while product > limit {
            count += 1;
            product *= rng.random::<f64>();
        }
    }
    count
}

/// First-in, first-out queue of a service.
#[derive(Clone, Debug)]
pub struct ServiceQueue {
    site: Site,
    waiting: VecDeque<(u64, u32)>,
    queued: u32,
    running: Vec<(u64, u32)>,
    late: u64,
}

impl ServiceQueue {
    /// Creates an empty queue.
    pub fn new(site: Site) -> Self {
        Self { site, waiting: VecDeque::new(), queued: 0, running: Vec::new(), late: 0 }
    }

    /// Advances to `now_ms`: completes requests, adds arrivals and starts waiting
    /// requests in the free slots of `hosts`.
    pub fn step(&mut self, now_ms: u64, arrivals: u32, hosts: u32) {
        self.running.retain(|&(end_ms, _)| end_ms > now_ms);
        self.waiting.push_back((now_ms, arrivals));
        self.queued += arrivals;
        let slots = hosts * self.site.slots_per_host;
        let mut free = slots.saturating_sub(self.in_flight());
        while free > 0
            && let Some((arrived_ms, count)) = self.waiting.pop_front()
        {
            let started = count.min(free);
            free -= started;
            self.queued -= started;
            let end_ms = now_ms + u64::from(self.site.service_ms);
            if started > 0 {
                self.running.push((end_ms, started));
            }
            if end_ms > arrived_ms + self.site.deadline_ms {
                self.late += u64::from(started);
            }
            if started < count {
                self.waiting.push_front((arrived_ms, count - started));
            }
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.running.iter().map(|&(_, count)| count).sum()
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> u32 {
        self.queued
    }

    /// Returns the number of started requests that miss their deadline.
    pub fn late(&self) -> u64 {
        self.late
    }
}
