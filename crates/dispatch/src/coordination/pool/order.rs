//! Order of waiting work.
//!
//! Load pattern: queues of a pool surge in turn to several times what the pool
//! holds, for seconds, and are nearly empty in between. Work that can still
//! meet its objective goes first, by what it earns for the capacity that it
//! takes; work that cannot waits for the lull, where it is served by age.

/// What the order of a step depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    /// The step runs until the job is cancelled.
    pub(super) is_lasting: bool,
    /// Rank of the queue; 0 goes first.
    pub(super) priority: u32,
    /// Age of the job, in milliseconds.
    pub(super) age_ms: u64,
    /// Expected time of the longest chain of open steps, in milliseconds.
    pub(super) remaining_chain_ms: u64,
    /// Time from submission within which callers expect the job's end, in
    /// milliseconds.
    pub(super) objective_ms: u64,
    /// Expected open work, in core-milliseconds.
    pub(super) remaining_core_ms: f64,
    /// What the job is worth to its callers, relative to others of its queue.
    pub(super) value: f64,
}

/// Objectives after which callers no longer gain from a job's end.
const LATE_FACTOR: u64 = 3;

/// Bands of waiting work; an earlier one goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Band {
    /// Serves users all the time.
    Lasting,
    /// Can meet its objective.
    Timely,
    /// Can end before callers stop gaining from it.
    Late,
    /// Can no longer please anyone, and has to end all the same.
    Overdue,
}

/// Place in the order; a lower one goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    band: Band,
    priority: u32,
    key: u64,
}

impl Waiting {
    pub(super) fn rank(&self) -> Rank {
        let end_ms = self.age_ms + self.remaining_chain_ms;
        // Work per value, in whole core-milliseconds: what a job started
        // earlier displaces for what it earns.
        let cost = (self.remaining_core_ms / self.value.max(0.01)) as u64;
        let oldest_first = u64::MAX - self.age_ms;
        let (band, key) = if self.is_lasting {
            (Band::Lasting, oldest_first)
        } else if end_ms <= self.objective_ms {
            (Band::Timely, cost)
        } else if end_ms <= self.objective_ms * LATE_FACTOR {
            (Band::Late, cost)
        } else {
            (Band::Overdue, oldest_first)
        };
        Rank { band, priority: self.priority, key }
    }
}
