//! Load and behaviour of one caller.

use rand::Rng;
use tamarackproxy::state::{document::Urgency, ids::ServiceId};

/// An interval of higher load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// Start, in milliseconds on the shared clock.
    pub from_ms: u64,
    /// End, in milliseconds on the shared clock.
    pub to_ms: u64,
    /// Factor of the mean rate.
    pub factor: f64,
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Load {
    /// Service that is called.
    pub service: ServiceId,
    /// Requested urgency class.
    pub urgency: Urgency,
    /// Mean rate outside surges, per second.
    pub per_second: f64,
    /// Deadline that the caller sets, in milliseconds.
    pub deadline_ms: u64,
    /// Surges; if they overlap, the first in the list applies.
    pub surges: Vec<Surge>,
}

impl Load {
    /// Returns the rate at `now_ms`, in requests per second.
    pub fn rate_at(&self, now_ms: u64) -> f64 {
        let surge = self.surges.iter().find(|s| (s.from_ms..s.to_ms).contains(&now_ms));
        self.per_second * surge.map_or(1.0, |surge| surge.factor)
    }
}

/// Behaviour of one caller.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Name of the caller.
    pub caller: Box<str>,
    /// Kinds of requests that it sends.
    pub loads: Vec<Load>,
    /// Share of non-repeatable requests, which carry an idempotency key.
    pub keyed_share: f64,
    /// Share of keyed requests that are sent twice concurrently.
    pub twice_share: f64,
    /// Share of requests whose connection the caller closes early.
    pub disconnect_share: f64,
    /// Largest number of attempts for one request, including the first.
    pub attempts_max: u32,
    /// Largest padding of a response, in bytes.
    pub response_max_bytes: usize,
}

impl CallerPlan {
    /// Creates a plan with 20 % keyed requests, few of them sent twice, and few early
    /// disconnects.
    pub fn new<C>(caller: C, loads: Vec<Load>) -> Self
    where
        C: Into<Box<str>>,
    {
        Self {
            caller: caller.into(),
            loads,
            keyed_share: 0.2,
            twice_share: 0.05,
            disconnect_share: 0.01,
            attempts_max: 3,
            response_max_bytes: 4_096,
        }
    }
}

/// Random properties of one request.
pub(super) struct RequestSample {
    pub(super) is_keyed: bool,
    pub(super) is_sent_twice: bool,
    pub(super) disconnects: bool,
    pub(super) response_bytes: usize,
    pub(super) key_bytes: [u8; 10],
}

impl CallerPlan {
    pub(super) fn sample<R>(&self, random: &mut R) -> RequestSample
    where
        R: Rng,
    {
        let is_keyed = random.random_bool(self.keyed_share);
        RequestSample {
            is_keyed,
            is_sent_twice: is_keyed && random.random_bool(self.twice_share),
            disconnects: random.random_bool(self.disconnect_share),
            response_bytes: random.random_range(0..=self.response_max_bytes),
            key_bytes: random.random(),
        }
    }
}
