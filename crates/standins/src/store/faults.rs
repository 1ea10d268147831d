//! Injected faults, call limits and call counts of the store.

use std::collections::{BTreeSet, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::state::ids::DataCentreId;

/// Sliding window of the call limits, in milliseconds.
const LIMIT_WINDOW_MS: u64 = 1_000;

/// Calls that the store accepts in any period of one second.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Reads, lease calls and watches; each open watch uses one call per second.
    pub reads_per_s: u32,
    /// Swaps and removals.
    pub writes_per_s: u32,
}

impl Default for CallLimits {
    /// Returns the limits of the platform's service.
    fn default() -> Self {
        Self { reads_per_s: 2_000, writes_per_s: 400 }
    }
}

/// Number of calls by kind since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls to `/v3/kv/range`.
    pub ranges: u64,
    /// Calls to `/v3/kv/txn`.
    pub swaps: u64,
    /// Calls to `/v3/kv/deleterange`.
    pub deletes: u64,
    /// Calls to `/v3/lease/*`.
    pub lease_calls: u64,
    /// Calls to `/v3/watch`.
    pub watches: u64,
    /// Watches that are open now.
    pub waiting_watches: u64,
    /// Largest number of watches that were open at once.
    pub waiting_watches_max: u64,
    /// Calls rejected because of the limits.
    pub throttled: u64,
    /// Writes that took effect although their reply was dropped.
    pub lost_replies: u64,
}

impl CallCounts {
    /// Returns the number of accepted calls of all kinds.
    pub fn total(&self) -> u64 {
        self.ranges + self.swaps + self.deletes + self.lease_calls + self.watches
    }
}

/// Whether the reply to a write reaches the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyDelivery {
    /// The reply is sent.
    Sent,
    /// The connection is closed instead.
    Lost,
}

/// Injected faults, with the random generator that selects the affected calls.
#[derive(Clone, Debug)]
pub struct StoreFaults {
    /// Closes all connections and refuses new ones.
    pub down: bool,
    /// Delay before each call is served, in milliseconds.
    pub delay_ms: u64,
    /// Share of the writes that take effect but whose replies are lost, from 0 to 1.
    pub lost_reply_share: f64,
    /// Data centres that cannot reach the store.
    pub partitioned: BTreeSet<DataCentreId>,
    random: ChaCha8Rng,
}

impl StoreFaults {
    /// Creates a state without faults.
    pub fn new(seed: u64) -> Self {
        Self {
            down: false,
            delay_ms: 0,
            lost_reply_share: 0.0,
            partitioned: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Decides whether the reply to a write that took effect is lost.
    pub fn decide_reply_delivery(&mut self) -> ReplyDelivery {
        if self.lost_reply_share > 0.0 && self.random.random_bool(self.lost_reply_share.min(1.0)) {
            ReplyDelivery::Lost
        } else {
            ReplyDelivery::Sent
        }
    }
}

/// Sliding-window rate limiter: times of the calls accepted within the window.
#[derive(Clone, Debug, Default)]
pub(super) struct CallWindow {
    accepted_at_ms: VecDeque<u64>,
}

impl CallWindow {
    /// Accepts the call if fewer than `limit` were accepted in the window.
    pub(super) fn accept(&mut self, now_ms: u64, limit: u32) -> bool {
        while self.accepted_at_ms.front().is_some_and(|at| at + LIMIT_WINDOW_MS <= now_ms) {
            self.accepted_at_ms.pop_front();
        }
        let accepted = self.accepted_at_ms.len() < limit as usize;
        if accepted {
            self.accepted_at_ms.push_back(now_ms);
        }
        accepted
    }
}
