//! Sizing of pools: demand history and buffer policies.

use std::collections::VecDeque;

use strum::{Display, EnumIter, EnumString};

/// Time covered by one bin of the demand history, in milliseconds.
const BIN_MS: u64 = 1_000;
/// Maximum number of bins in the history: two hours. Each service has a surge
/// about every half minute, so the history covers more than a hundred surges.
const BINS_MAX: usize = 7_200;
/// Minimum number of bins before a policy shrinks a pool: half an hour.
const MIN_BINS_TO_SHRINK: usize = 1_800;
/// Maximum number of hosts that a policy requests.
const HOSTS_MAX: u32 = 512;

/// Time from the decision to move a host until it serves the new pool, in
/// milliseconds: drain with acknowledgements, then start of the instances.
pub const MOVE_DURATION_MS: u64 = 15_000;
/// Minimum time that a host stays in a pool before it may move again, in
/// milliseconds.
pub const MIN_STAY_MS: u64 = 1_800_000;
/// Cost of one late request, in host-hours. A late request leaves a rider or a
/// press crew waiting; at this cost, saving a host never justifies a late
/// request in every second surge.
const LATE_REQUEST_COST_HOST_HOURS: f64 = 0.05;
/// Cost of one move, in host-hours: the host serves no requests during the
/// move, and its drain uses part of two budgets.
const MOVE_COST_HOST_HOURS: f64 = 0.1;
/// Share of the slack before the deadline that queueing may use; the rest
/// covers surges longer or higher than those in the history.
const WAIT_SHARE: f64 = 0.75;

/// Load of a service at one point in time, summed over the deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Requests in flight.
    pub in_flight: u32,
    /// Queued requests.
    pub queued: u32,
    /// Mean time for which a request occupies a slot, in milliseconds.
    pub service_ms: u32,
}

/// Load offered to a service, in busy slots, one bin per second.
///
/// While requests are queued, the requests in flight measure the capacity
/// rather than the demand, so the growth of the queue is added.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    bins: VecDeque<f32>,
    last: Option<(u64, LoadSample)>,
}

impl DemandHistory {
    /// Adds a sample taken at this monotonic time, in milliseconds; a sample
    /// less than one second after the previous one is skipped.
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
        for _ in 0..(elapsed_ms / BIN_MS).min(BINS_MAX as u64) {
            if self.bins.len() == BINS_MAX {
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

    /// Returns whether the history is long enough to shrink a pool.
    pub fn allows_shrinking(&self) -> bool {
        self.bins.len() >= MIN_BINS_TO_SHRINK
    }

    /// Returns the highest offered load, in slots.
    fn peak_slots(&self) -> f64 {
        self.bins.iter().fold(0.0, |peak, &bin| f64::from(bin).max(peak))
    }

    /// Replays the history against this capacity and returns the work that
    /// would have waited longer than allowed, in slot-seconds.
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

/// Inputs of a policy for one service of a pool.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad<'a> {
    /// Recent offered load.
    pub history: &'a DemandHistory,
    /// Requests that one host runs concurrently.
    pub slots_per_host: u32,
    /// Time within which a request must be answered, in milliseconds.
    pub deadline_ms: u64,
}

/// Inputs of a policy about the hosts of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolState {
    /// Hosts that serve the pool or will after a move already under way.
    pub hosts: u32,
    /// Hosts lost if the pool's buffer racks fail.
    pub rack_hosts: u32,
    /// Hosts assigned to the pool in the document.
    pub size: u32,
}

/// Policies for sizing a pool's buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum BufferPolicyKind {
    /// Enough hosts for the peak load without queueing.
    StaticPeak,
    /// Grows above one utilisation threshold and shrinks below another,
    /// immediately.
    PlainThreshold,
    /// Thresholds that must be crossed for some time, with a minimum stay of
    /// the hosts.
    Hysteresis,
    /// As many hosts as would have served the recent surges within the
    /// deadlines.
    Replay,
}

/// Utilisation above which a threshold policy adds hosts.
const THRESHOLD_HIGH: f64 = 0.8;
/// Utilisation below which a threshold policy removes hosts.
const THRESHOLD_LOW: f64 = 0.4;
/// Time for which utilisation must exceed the upper threshold before the
/// hysteresis policy adds hosts, in milliseconds.
const HYSTERESIS_UP_MS: u64 = 2_000;

/// A sizing policy with its state.
#[derive(Clone, Debug)]
pub struct BufferPolicy {
    kind: BufferPolicyKind,
    above_since_ms: Option<u64>,
    below_since_ms: Option<u64>,
}

impl BufferPolicy {
    /// Creates a policy in its initial state.
    pub fn new(kind: BufferPolicyKind) -> Self {
        Self { kind, above_since_ms: None, below_since_ms: None }
    }

    /// Returns the number of hosts that the pool should have.
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
        let down = lasted(self.below_since_ms, MIN_STAY_MS);
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

/// Sizes the pool so that the current load puts utilisation at the upper
/// threshold.
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

/// Sizes the pool for the recent surges, whose requests may queue for a share
/// of the slack before their deadlines, and adds the hosts of the buffer racks.
///
/// A surge of a few seconds ends before a host has moved, so a move cannot help
/// with the surge that triggers it, only with later ones. The pool therefore
/// grows if the late requests predicted for the minimum stay cost more than the
/// additional hosts and their moves, and shrinks if the host-hours saved over
/// the minimum stay exceed the cost of the moves.
fn replay_target(pool: PoolState, services: &[ServiceLoad<'_>]) -> u32 {
    let sufficient = services.iter().all(|service| service.history.allows_shrinking());
    let needed = services.iter().map(needed_hosts).max().unwrap_or(0).max(1);
    let wanted = needed + pool.rack_hosts;
    let stay_hours = MIN_STAY_MS as f64 / 3_600_000.0;
    if wanted < pool.hosts {
        let saved = f64::from(pool.hosts - wanted) * stay_hours;
        let cost = f64::from(pool.hosts - wanted) * MOVE_COST_HOST_HOURS;
        if sufficient && saved > cost { wanted } else { pool.hosts }
    } else if needed > pool.hosts {
        let late: f64 =
            services.iter().map(|service| late_requests(service, pool.hosts, stay_hours)).sum();
        let missing = f64::from(wanted - pool.hosts);
        let cost = missing * (stay_hours + MOVE_COST_HOST_HOURS);
        if late * LATE_REQUEST_COST_HOST_HOURS > cost { wanted } else { pool.hosts }
    } else {
        pool.hosts
    }
}

fn allowed_wait_ms(service: &ServiceLoad<'_>) -> f64 {
    let service_ms = f64::from(service.history.latest().service_ms);
    (service.deadline_ms as f64 - service_ms).max(0.0) * WAIT_SHARE
}

/// Returns the smallest number of hosts with which no request in the history
/// would have been late.
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

/// Predicts the number of late requests within `hours` on `hosts` hosts.
fn late_requests(service: &ServiceLoad<'_>, hosts: u32, hours: f64) -> f64 {
    let history = service.history;
    let slots = f64::from(hosts * service.slots_per_host.max(1));
    let late = history.late_slot_seconds(slots, allowed_wait_ms(service));
    let service_s = f64::from(history.latest().service_ms.max(1)) / 1_000.0;
    let seen_hours = history.bins.len().max(1) as f64 / 3_600.0;
    late / service_s / seen_hours * hours
}
