//! Leases of workers.
//!
//! A time limit is a reading of a worker's clock, and the clock of a new
//! incarnation starts anew. A call that is meant for a former incarnation and
//! reaches a later one of the same name therefore grants the longest lease that
//! workers accept, however short the limit was.

use hashbrown::HashMap;
use tamarackproxy::state::ids::WorkerId;

/// Percentage by which a worker's clock may run slower than the local one; the
/// platform states 2.
const CLOCK_DRIFT_PERCENT: u64 = 3;
/// Time added to the end of a lease before its runs count as ended, in
/// milliseconds: covers the worker's own scheduling delay in ending them.
const LEASE_MARGIN_MS: u64 = 150;
/// Largest difference between two readings of one clock that network delays and
/// replies which overtake each other explain, in milliseconds.
const CLOCK_TOLERANCE_MS: u64 = 1_000;

/// Returns the time on the local clock within which `duration_ms` has certainly
/// passed on a worker's clock.
const fn certain_ms(duration_ms: u64) -> u64 {
    duration_ms + duration_ms * CLOCK_DRIFT_PERCENT / 100
}

/// Returns the end of a lease of `duration_ms` on a worker's clock that begins at
/// `from_ms`, in milliseconds on the local clock.
pub(super) const fn lease_end_ms(from_ms: u64, duration_ms: u64) -> u64 {
    from_ms + certain_ms(duration_ms) + LEASE_MARGIN_MS
}

/// What a reading of a worker's clock tells of the incarnation that it is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClockOrigin {
    /// The known incarnation.
    Known,
    /// Either the known incarnation or one that began since its latest report.
    Ambiguous,
    /// Another incarnation.
    Other,
}

/// Latest reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerClock {
    clock_ms: u64,
    read_ms: u64,
}

impl WorkerClock {
    pub(super) fn new(clock_ms: u64, read_ms: u64) -> Self {
        Self { clock_ms, read_ms }
    }

    /// Estimates the current time on the worker's clock.
    pub(super) fn now_ms(&self, now_ms: u64) -> u64 {
        self.clock_ms + now_ms.saturating_sub(self.read_ms)
    }

    /// Returns which incarnation a reading at `now_ms`, on the local clock, is from.
    /// The clock of a new incarnation starts near 0.
    pub(super) fn origin(&self, now_ms: u64, clock_ms: u64) -> ClockOrigin {
        let since_max_ms = certain_ms(now_ms.saturating_sub(self.read_ms)) + CLOCK_TOLERANCE_MS;
        let earliest_ms = self.clock_ms.saturating_sub(CLOCK_TOLERANCE_MS);
        if !(earliest_ms..=self.clock_ms + since_max_ms).contains(&clock_ms) {
            ClockOrigin::Other
        } else if clock_ms <= since_max_ms {
            ClockOrigin::Ambiguous
        } else {
            ClockOrigin::Known
        }
    }

    /// Returns the time on the local clock at which the worker's clock has
    /// certainly passed `deadline_ms`.
    fn passes_at_ms(&self, deadline_ms: u64) -> u64 {
        lease_end_ms(self.read_ms, deadline_ms.saturating_sub(self.clock_ms))
    }
}

/// Call with a time limit; times are on the local clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitCall {
    pub(super) sent_ms: u64,
    /// When the call has arrived, unless it is late.
    pub(super) arrives_by_ms: u64,
}

/// Lease that an incarnation of a worker may hold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkerLease {
    clock: Option<WorkerClock>,
    /// Latest end of a lease or time limit of a start that was sent, on the worker's
    /// clock.
    granted_until_ms: u64,
    /// Latest end of a lease that calls for former incarnations may grant, on the
    /// local clock.
    former_until_ms: u64,
    /// When a call with a time limit was last sent, on the local clock.
    limit_sent_ms: Option<u64>,
    /// Latest end of a lease that calls for this incarnation may have granted to a
    /// later one, on the local clock.
    later_until_ms: u64,
}

impl WorkerLease {
    /// Returns the latest reading of the worker's clock.
    pub(super) fn clock(&self) -> Option<WorkerClock> {
        self.clock
    }

    /// Records a reading of the worker's clock.
    pub(super) fn set_clock(&mut self, clock: WorkerClock) {
        self.clock = Some(clock);
    }

    /// Records a time limit, on the worker's clock, that the worker may have
    /// received.
    pub(super) fn grant(&mut self, until_ms: u64) {
        self.granted_until_ms = self.granted_until_ms.max(until_ms);
    }

    /// Records a time limit, on the worker's clock, before it is sent in a call.
    pub(super) fn send(&mut self, call: LimitCall, until_ms: u64, lease_max_ms: u64) {
        self.grant(until_ms);
        self.limit_sent_ms = Some(call.sent_ms);
        self.later_until_ms =
            self.later_until_ms.max(lease_end_ms(call.arrives_by_ms, lease_max_ms));
    }

    /// Returns when a call with a time limit was last sent, on the local clock.
    pub(super) fn limit_sent_ms(&self) -> Option<u64> {
        self.limit_sent_ms
    }

    /// Records the end of a lease that calls for former incarnations may grant, on
    /// the local clock.
    pub(super) fn hold_former(&mut self, until_ms: u64) {
        self.former_until_ms = self.former_until_ms.max(until_ms);
    }

    /// Returns whether every lease that the incarnation may hold has certainly
    /// expired.
    pub(super) fn is_over(&self, now_ms: u64) -> bool {
        let granted_ms = self.clock.map_or(0, |clock| clock.passes_at_ms(self.granted_until_ms));
        now_ms >= granted_ms.max(self.former_until_ms)
    }

    /// Returns whether every lease has certainly expired that calls for this
    /// incarnation may have granted to a later one which no report has shown.
    pub(super) fn is_over_for_later(&self, now_ms: u64) -> bool {
        now_ms >= self.later_until_ms
    }
}

/// Ends of the leases that calls for incarnations which are no longer known may
/// grant to others of the same name.
#[derive(Debug, Default)]
pub(super) struct FormerLeases {
    /// Start of each such incarnation, in milliseconds since 1970, with the end on the
    /// local clock.
    by_worker: HashMap<WorkerId, Vec<(u64, u64)>>,
}

impl FormerLeases {
    pub(super) fn note(&mut self, worker: &WorkerId, born_unix_ms: u64, until_ms: u64) {
        self.by_worker.entry(worker.clone()).or_default().push((born_unix_ms, until_ms));
    }

    /// Returns the latest end of a lease that calls for other incarnations may grant to
    /// one, on the local clock; 0 if there is none.
    pub(super) fn until_ms(&self, worker: &WorkerId, born_unix_ms: u64) -> u64 {
        let noted = self.by_worker.get(worker).into_iter().flatten();
        let others = noted.filter(|&&(born, _)| born != born_unix_ms);
        others.map(|&(_, until_ms)| until_ms).max().unwrap_or(0)
    }

    pub(super) fn prune(&mut self, now_ms: u64) {
        self.by_worker.retain(|_, noted| {
            noted.retain(|&(_, until_ms)| now_ms < until_ms);
            !noted.is_empty()
        });
    }
}
