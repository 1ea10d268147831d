//! How many hosts a pool should hold: demand history and buffer policies.

use std::collections::VecDeque;

use strum::{Display, EnumIter, EnumString};

/// Time that one entry of the demand history covers, in milliseconds.
const BIN_MS: u64 = 1_000;
/// Entries that the history keeps: two hours. A surge of each service comes
/// about every half minute, so this holds more than a hundred of them.
const BINS_KEPT: usize = 7_200;
/// History below which a policy does not shrink a pool: half an hour.
const BINS_LEARNED: usize = 1_800;
/// Largest number of hosts that a policy asks for.
const HOSTS_MAX: u32 = 512;

/// Time from the decision to move a host until it takes work in the new pool,
/// in milliseconds: drain with acknowledgements, then start of the instances.
pub const MOVE_DURATION_MS: u64 = 15_000;
/// Time that a moved host stays at least, in milliseconds.
pub const STAY_MS: u64 = 1_800_000;
/// Price of one late request, in host-hours. A late request leaves a rider or
/// a press crew waiting; at this price no spare host is worth a late request
/// in every second surge.
const LATE_PRICE_HOST_HOURS: f64 = 0.05;
/// Price of one move, in host-hours: the host serves nobody for the duration
/// of the move, and its drain takes part of two budgets.
const MOVE_PRICE_HOST_HOURS: f64 = 0.1;
/// Part of the time up to the deadline that planned waiting may use up; the
/// rest covers a surge that is longer or higher than those seen.
const WAIT_SHARE: f64 = 0.75;

/// Load of a service at one moment, in the whole deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Mean time for which a request occupies a slot, in milliseconds.
    pub service_ms: u32,
}

/// Load that callers offered to a service, in busy slots for each second.
///
/// While requests wait, those in flight show the capacity and not the demand;
/// the growth of the queue shows the rest.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    bins: VecDeque<f32>,
    last: Option<(u64, LoadSample)>,
}

impl DemandHistory {
    /// Takes a sample at this monotonic time, in milliseconds; samples closer
    /// than one second to the previous one are skipped.
    pub fn push(&mut self, now_ms: u64, sample: LoadSample) {
        let Some((last_ms, last)) = self.last else {
            self.last = Some((now_ms, sample));
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(last_ms);
        if elapsed_ms < BIN_MS {
            return;
        }
        let grown = f64::from(sample.queued) - f64::from(last.queued);
        let waiting = grown * f64::from(sample.service_ms) / elapsed_ms as f64;
        let busy = f64::from(sample.in_flight + last.in_flight) / 2.0;
        let offered = (busy + waiting).max(0.0) as f32;
        for _ in 0..(elapsed_ms / BIN_MS).min(BINS_KEPT as u64) {
            if self.bins.len() == BINS_KEPT {
                self.bins.pop_front();
            }
            self.bins.push_back(offered);
        }
        self.last = Some((now_ms, sample));
    }

    /// Returns the latest sample.
    pub fn latest(&self) -> LoadSample {
        self.last.map(|(_, sample)| sample).unwrap_or_default()
    }

    /// Tells whether the history is long enough to shrink a pool.
    pub fn is_learned(&self) -> bool {
        self.bins.len() >= BINS_LEARNED
    }

    /// Returns the highest load that was offered, in slots.
    fn peak_slots(&self) -> f64 {
        self.bins.iter().fold(0.0, |peak, &bin| f64::from(bin).max(peak))
    }

    /// Replays the history against this capacity; returns the work that would
    /// have waited for longer than allowed, in slot-seconds.
    fn late_slot_seconds(&self, slots: f64, allowed_ms: f64) -> f64 {
        let allowed_slot_seconds = slots * allowed_ms / 1_000.0;
        let mut waiting = 0.0_f64;
        let mut late = 0.0;
        for &offered in &self.bins {
            let offered = f64::from(offered);
            waiting = (waiting + offered - slots).max(0.0);
            if waiting > allowed_slot_seconds {
                late += offered.min(waiting - allowed_slot_seconds);
            }
        }
        late
    }
}

/// A service of a pool, as a policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad<'a> {
    /// What callers offered lately.
    pub history: &'a DemandHistory,
    /// Requests that one host runs at once.
    pub slots_per_host: u32,
    /// Time within which a request must be answered, in milliseconds.
    pub deadline_ms: u64,
}

/// Hosts of a pool, as a policy sees them.
#[derive(Clone, Copy, Debug)]
pub struct PoolState {
    /// Hosts that take work or will after a move that has begun.
    pub hosts: u32,
    /// Hosts that the loss of the pool's buffer racks takes away.
    pub rack_hosts: u32,
    /// Hosts that the document gives the pool.
    pub size: u32,
}

/// Name of a way to size the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum BufferPolicyKind {
    /// Hosts for the highest load without any waiting.
    StaticPeak,
    /// More hosts above a utilisation, fewer below another, at once.
    PlainThreshold,
    /// Thresholds that must be crossed for some time, with a minimum stay.
    Hysteresis,
    /// As many hosts as answer recent surges within the deadlines.
    Replay,
}

/// Utilisation above which a threshold policy adds hosts.
const THRESHOLD_HIGH: f64 = 0.8;
/// Utilisation below which a threshold policy removes hosts.
const THRESHOLD_LOW: f64 = 0.4;
/// Time for which the hysteresis policy waits before it adds hosts, in
/// milliseconds.
const HYSTERESIS_UP_MS: u64 = 2_000;

/// A way to size the buffer, with its memory.
#[derive(Clone, Debug)]
pub struct BufferPolicy {
    kind: BufferPolicyKind,
    above_since_ms: Option<u64>,
    below_since_ms: Option<u64>,
}

impl BufferPolicy {
    /// Makes a policy without memory.
    pub fn new(kind: BufferPolicyKind) -> Self {
        Self { kind, above_since_ms: None, below_since_ms: None }
    }

    /// Returns how many hosts the pool should hold.
    pub fn target(&mut self, now_ms: u64, pool: PoolState, services: &[ServiceLoad<'_>]) -> u32 {
        match self.kind {
            BufferPolicyKind::StaticPeak => {
                let hosts = services.iter().map(peak_hosts).max().unwrap_or(0);
                hosts.max(1) + pool.rack_hosts
            }
            BufferPolicyKind::PlainThreshold => {
                let utilisation = utilisation(pool, services);
                threshold_target(pool, utilisation)
            }
            BufferPolicyKind::Hysteresis => self.hysteresis(now_ms, pool, services),
            BufferPolicyKind::Replay => replay_target(pool, services),
        }
    }

    fn hysteresis(&mut self, now_ms: u64, pool: PoolState, services: &[ServiceLoad<'_>]) -> u32 {
        let utilisation = utilisation(pool, services);
        let above = utilisation > THRESHOLD_HIGH;
        let below = utilisation < THRESHOLD_LOW;
        self.above_since_ms = above.then(|| self.above_since_ms.unwrap_or(now_ms));
        self.below_since_ms = below.then(|| self.below_since_ms.unwrap_or(now_ms));
        let lasted = |since_ms: Option<u64>, duration_ms| {
            since_ms.is_some_and(|since_ms| now_ms >= since_ms + duration_ms)
        };
        let up = lasted(self.above_since_ms, HYSTERESIS_UP_MS);
        let down = lasted(self.below_since_ms, STAY_MS);
        if up || down { threshold_target(pool, utilisation) } else { pool.hosts }
    }
}

fn utilisation(pool: PoolState, services: &[ServiceLoad<'_>]) -> f64 {
    let of_service = |service: &ServiceLoad<'_>| {
        let sample = service.history.latest();
        let slots = f64::from(pool.hosts.max(1) * service.slots_per_host.max(1));
        f64::from(sample.in_flight + sample.queued) / slots
    };
    services.iter().map(of_service).fold(0.0, f64::max)
}

/// Sizes the pool so that the present load lies at the upper threshold.
fn threshold_target(pool: PoolState, utilisation: f64) -> u32 {
    let hosts = f64::from(pool.hosts);
    if utilisation > THRESHOLD_HIGH {
        ((hosts * utilisation / THRESHOLD_HIGH).ceil() as u32).min(HOSTS_MAX)
    } else if utilisation < THRESHOLD_LOW {
        ((hosts * utilisation / THRESHOLD_HIGH).ceil() as u32).max(1)
    } else {
        pool.hosts
    }
}

fn peak_hosts(service: &ServiceLoad<'_>) -> u32 {
    let slots = f64::from(service.slots_per_host.max(1));
    ((service.history.peak_slots() / slots).ceil() as u32).min(HOSTS_MAX)
}

/// Sizes the pool for the recent surges, which may wait up to a part of the
/// time to their deadlines, and adds what the loss of the buffer racks takes.
///
/// A surge of some seconds is over before a host has moved, so a move never
/// answers the surge that asks for it; it pays only for the surges to come.
/// The pool therefore grows when the late requests that the history predicts
/// for the minimum stay cost more than the hosts and the moves, and shrinks
/// when the hosts saved over the minimum stay cost more than the moves.
fn replay_target(pool: PoolState, services: &[ServiceLoad<'_>]) -> u32 {
    let learned = services.iter().all(|service| service.history.is_learned());
    let needed = services.iter().map(needed_hosts).max().unwrap_or(0).max(1);
    let wanted = needed + pool.rack_hosts;
    let stay_hours = STAY_MS as f64 / 3_600_000.0;
    if wanted < pool.hosts {
        let saved = f64::from(pool.hosts - wanted) * stay_hours;
        let cost = f64::from(pool.hosts - wanted) * MOVE_PRICE_HOST_HOURS;
        if learned && saved > cost { wanted } else { pool.hosts }
    } else if needed > pool.hosts {
        let late: f64 =
            services.iter().map(|service| late_requests(service, pool.hosts, stay_hours)).sum();
        let missing = f64::from(wanted - pool.hosts);
        let cost = missing * (stay_hours + MOVE_PRICE_HOST_HOURS);
        if late * LATE_PRICE_HOST_HOURS > cost { wanted } else { pool.hosts }
    } else {
        pool.hosts
    }
}

fn allowed_wait_ms(service: &ServiceLoad<'_>) -> f64 {
    let service_ms = f64::from(service.history.latest().service_ms);
    (service.deadline_ms as f64 - service_ms).max(0.0) * WAIT_SHARE
}

/// Returns the fewest hosts with which no recent request would have been late.
fn needed_hosts(service: &ServiceLoad<'_>) -> u32 {
    let allowed_ms = allowed_wait_ms(service);
    let suffices = |hosts: u32| {
        let slots = f64::from(hosts * service.slots_per_host.max(1));
        service.history.late_slot_seconds(slots, allowed_ms) <= 0.0
    };
    let (mut low, mut high) = (0, peak_hosts(service).max(1));
    while low + 1 < high {
        let middle = u32::midpoint(low, high);
        if suffices(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    high
}

/// Predicts the late requests in so many hours with so many hosts.
fn late_requests(service: &ServiceLoad<'_>, hosts: u32, hours: f64) -> f64 {
    let history = service.history;
    let slots = f64::from(hosts * service.slots_per_host.max(1));
    let late = history.late_slot_seconds(slots, allowed_wait_ms(service));
    let service_s = f64::from(history.latest().service_ms.max(1)) / 1_000.0;
    let seen_hours = history.bins.len().max(1) as f64 / 3_600.0;
    late / service_s / seen_hours * hours
}
