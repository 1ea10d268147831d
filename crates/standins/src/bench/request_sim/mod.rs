//! Simulation in virtual time of the request engines of a whole deployment.
//!
//! An event queue drives the real engines. The simulated network delays messages,
//! and targets run attempts for the service time that the workload specifies.

mod samples;
mod sim;
mod surroundings;

pub use self::{samples::SlotUse, sim::RequestSim};

use std::time::{Duration, Instant};

use tamarackproxy::{coordination::requests::SeatShare, state::document::Urgency};

/// Slots of each target.
pub const SLOTS: u16 = 8;
/// One-way delay between a client and its entry host, in microseconds.
pub const CLIENT_DELAY_US: u64 = 1_000;

/// Entry hosts and targets of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name in figures.
    pub name: &'static str,
    /// Number of data centres.
    pub data_centres: usize,
    /// Entry hosts of each data centre.
    pub entries: usize,
    /// Instances of each service in all data centres.
    pub instances: Vec<usize>,
    /// Maximum number of requests that wait for one service on one entry host.
    pub queue_limit: u32,
}

impl Deployment {
    /// Returns the number of instances of a service in each data centre. They are
    /// spread evenly; the remainder starts at another data centre for each service.
    pub fn instances_by_data_centre(&self, service: usize) -> Vec<usize> {
        let (each, remainder) = (
            self.instances[service] / self.data_centres,
            self.instances[service] % self.data_centres,
        );
        let gets_one = |data_centre: usize| {
            (data_centre + self.data_centres - service % self.data_centres) % self.data_centres
                < remainder
        };
        (0..self.data_centres).map(|index| each + usize::from(gets_one(index))).collect()
    }
}

/// A request of the workload.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Arrival time at the entry host, in microseconds.
    pub at_us: u64,
    /// Data centre of the entry host.
    pub data_centre: usize,
    /// Entry host within the data centre.
    pub entry: usize,
    /// Index of the service.
    pub service: usize,
    /// Number of the caller.
    pub caller: u32,
    /// Urgency class.
    pub urgency: Urgency,
    /// Time from the arrival to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Service time at a target, in microseconds.
    pub service_us: u64,
    /// Whether the request is part of the flood.
    pub flood: bool,
}

/// Outcome of a request; times in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestOutcome {
    /// Start of the first attempt at a target.
    pub started_us: Option<u64>,
    /// Time at which the entry host sent the response.
    pub answered_us: Option<u64>,
    /// Time at which the request was refused or given up.
    pub refused_us: Option<u64>,
}

impl RequestOutcome {
    /// Returns whether the response was sent before the deadline.
    pub fn in_time(&self, arrival: &Arrival) -> bool {
        let deadline_us = arrival.at_us + arrival.deadline_ms * 1_000;
        self.answered_us.is_some_and(|answered| answered <= deadline_us)
    }
}

/// Time spent in decisions, by outcome of the request.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecisionCost {
    /// Time for arrivals that were refused immediately.
    pub refused: Duration,
    /// Number of these arrivals.
    pub refusals: u64,
    /// Time for all other events: the decisions for an answered request are made on
    /// its arrival, when slots become free and when messages arrive.
    pub answered: Duration,
    /// Number of these events.
    pub answered_events: u64,
    /// Number of answered requests.
    pub answers: u64,
}

impl DecisionCost {
    /// Returns the ratio of the cost of a refused request to that of an answered one,
    /// without the cost of reading the clock.
    pub fn ratio(&self) -> f64 {
        let clock_s = clock_cost().as_secs_f64();
        let each = |time: Duration, count: u64, events: u64| {
            (time.as_secs_f64() - clock_s * events as f64).max(0.0) / count.max(1) as f64
        };
        let refused = each(self.refused, self.refusals, self.refusals);
        let answered = each(self.answered, self.answers, self.answered_events);
        refused / answered
    }
}

/// Returns the mean time between two consecutive readings of the clock.
fn clock_cost() -> Duration {
    const READINGS: u32 = 100_000;
    (0..READINGS).map(|_| Instant::now().elapsed()).sum::<Duration>() / READINGS
}

/// External event that disturbs the deployment.
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// The entry host crashes and handles no events until it is replaced.
    Crashed {
        /// The entry host.
        entry: usize,
    },
    /// A new process holds the seat of a crashed entry host.
    Replaced {
        /// The entry host.
        entry: usize,
    },
    /// The entry host is notified that it holds another seat or none.
    SeatChanged {
        /// The entry host.
        entry: usize,
        /// Its new share, or `None` without a seat.
        share: Option<SeatShare>,
    },
}
