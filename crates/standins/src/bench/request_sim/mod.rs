//! Request engines of a whole deployment on virtual time.
//!
//! The network delays messages, targets run attempts for the time that the
//! workload states, and a small event queue drives the real engines.

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
    /// Instances of each service, spread over the data centres in turn.
    pub instances: Vec<usize>,
    /// Requests that may wait for one service on one entry host.
    pub queue_limit: u32,
}

impl Deployment {
    /// Instances of a service in each data centre: spread evenly, the remainder
    /// in turn from one data centre further for each service.
    pub fn placed(&self, service: usize) -> Vec<usize> {
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
    /// When it reaches its entry host, in microseconds.
    pub at_us: u64,
    /// Data centre of the entry host.
    pub data_centre: usize,
    /// Entry host within the data centre.
    pub entry: usize,
    /// Index of the service.
    pub service: usize,
    /// Number of the caller.
    pub caller: u32,
    /// Its class.
    pub urgency: Urgency,
    /// Time from the arrival to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Time that a target needs for it, in microseconds.
    pub service_us: u64,
    /// Whether it is part of the flood.
    pub flood: bool,
}

/// What became of a request; times in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fate {
    /// When a target started it first.
    pub started_us: Option<u64>,
    /// When its response left the entry host.
    pub answered_us: Option<u64>,
    /// When it was refused or given up.
    pub refused_us: Option<u64>,
}

impl Fate {
    /// Whether the response came before the deadline.
    pub fn in_time(&self, arrival: &Arrival) -> bool {
        let deadline_us = arrival.at_us + arrival.deadline_ms * 1_000;
        self.answered_us.is_some_and(|answered| answered <= deadline_us)
    }
}

/// Time spent in decisions, by what became of the request.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecisionCost {
    /// In arrivals that were refused at once.
    pub refused: Duration,
    /// Number of them.
    pub refusals: u64,
    /// In all other events: what is decided for a request that is answered is
    /// decided when it arrives, when slots come free and when messages arrive.
    pub answered: Duration,
    /// Number of these events.
    pub answered_events: u64,
    /// Number of answers.
    pub answers: u64,
}

impl DecisionCost {
    /// Cost of a refused request over that of an answered one, without the
    /// cost of reading the clock.
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

/// Mean time between two readings of the clock that follow each other.
fn clock_cost() -> Duration {
    const READINGS: u32 = 100_000;
    (0..READINGS).map(|_| Instant::now().elapsed()).sum::<Duration>() / READINGS
}

/// A change from outside at a certain time.
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// The entry host is gone: it handles nothing more until it is replaced.
    Dies {
        /// The entry host.
        entry: usize,
    },
    /// A new process holds the seat of a dead entry host.
    Replaced {
        /// The entry host.
        entry: usize,
    },
    /// The entry host hears that its seat is another one or none.
    Seat {
        /// The entry host.
        entry: usize,
        /// Its share from now on.
        share: Option<SeatShare>,
    },
}
