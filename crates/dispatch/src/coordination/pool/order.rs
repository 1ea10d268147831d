//! Priority order of waiting work.
//!
//! Load pattern: queues of a pool surge in turn to several times the pool's
//! capacity, for seconds, and are nearly empty in between. Work that can still
//! meet its objective goes first, ordered by value per unit of work; work that
//! cannot waits until the surge is over and is then served by age. Where client
//! accounts share the pool, useful work of accounts above their entitlement goes
//! after that of the others.

/// Inputs to the rank of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankInputs {
    /// The step runs until the job is cancelled.
    pub(super) is_lasting: bool,
    /// Priority of the queue; 0 is the highest.
    pub(super) priority: u32,
    /// Age of the job or occurrence, in milliseconds.
    pub(super) age_ms: u64,
    /// Time for which it could have been started, in milliseconds: less than its age
    /// for an occurrence that waited for earlier ones of its schedule.
    pub(super) waiting_ms: u64,
    /// Expected duration of the critical path of open steps, in milliseconds.
    pub(super) critical_path_ms: u64,
    /// Time from submission within which callers expect the job's end, in
    /// milliseconds.
    pub(super) objective_ms: u64,
    /// Expected open work, in core-milliseconds.
    pub(super) remaining_core_ms: f64,
    /// Value of the job to its callers, relative to others of its queue.
    pub(super) value: f64,
}

/// Multiple of the objective after which callers no longer benefit from a
/// result.
pub(super) const LATE_FACTOR: u64 = 3;
/// Largest value of a job relative to others of its queue; the cap that the
/// users apply.
const VALUE_MAX: f64 = 4.0;

/// Returns the value of a job whose work is this multiple of its queue's
/// average. The users' own measure: 30% is the same for each job, the rest grows
/// with its size.
pub(super) fn value(relative_work: f64) -> f64 {
    (0.3 + 0.7 * relative_work).min(VALUE_MAX)
}

/// Priority bands of waiting work; earlier ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Band {
    /// Long-running tasks, which serve users all the time.
    Lasting,
    /// Can meet its objective.
    Timely,
    /// Misses its objective, but can end while callers still benefit.
    Late,
    /// Ends too late for its callers, but still has to be completed.
    Overdue,
}

/// Groups of waiting work by what callers and accounts may claim; earlier ones go
/// first, whatever the band.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    Lasting,
    /// Can still benefit its callers.
    Useful,
    /// Can still benefit its callers, but its account is above its entitlement.
    Deferred,
    Overdue,
}

impl From<Band> for Precedence {
    fn from(band: Band) -> Self {
        match band {
            Band::Lasting => Self::Lasting,
            Band::Timely | Band::Late => Self::Useful,
            Band::Overdue => Self::Overdue,
        }
    }
}

/// Position in the order; lower ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    precedence: Precedence,
    band: Band,
    priority: u32,
    key: u64,
}

impl RankInputs {
    fn band(&self) -> Band {
        let end_ms = self.age_ms + self.critical_path_ms;
        if self.is_lasting {
            Band::Lasting
        } else if end_ms <= self.objective_ms {
            Band::Timely
        } else if end_ms <= self.objective_ms * LATE_FACTOR {
            Band::Late
        } else {
            Band::Overdue
        }
    }

    /// Returns whether the job ends too late for its callers to benefit.
    pub(super) fn is_overdue(&self) -> bool {
        self.band() == Band::Overdue
    }

    /// Returns the work per unit of value, in whole core-milliseconds: how much
    /// other work the job delays for what it is worth.
    pub(super) fn cost_core_ms(&self) -> u64 {
        (self.remaining_core_ms / self.value.max(0.01)) as u64
    }

    /// Returns the times for which the job can still meet its objective and can
    /// still be useful if its next tasks start by then, in milliseconds.
    pub(super) fn slack_ms(&self) -> (u64, u64) {
        let end_ms = self.age_ms + self.critical_path_ms;
        let left_ms = |limit_ms: u64| limit_ms.saturating_sub(end_ms);
        (left_ms(self.objective_ms), left_ms(self.objective_ms * LATE_FACTOR))
    }

    pub(super) fn rank(&self) -> Rank {
        let cost = self.cost_core_ms();
        // By age, the backlog of a schedule would go before all other jobs for good.
        let longest_wait_first = u64::MAX - self.waiting_ms;
        let band = self.band();
        let key = match band {
            Band::Lasting | Band::Overdue => longest_wait_first,
            Band::Timely | Band::Late => cost,
        };
        Rank { precedence: band.into(), band, priority: self.priority, key }
    }
}

impl Rank {
    /// Returns whether the work competes for its account's entitlement.
    pub(super) fn is_useful(&self) -> bool {
        self.precedence == Precedence::Useful
    }

    /// Returns whether the work waits for that of accounts below their
    /// entitlements.
    pub(super) fn is_deferred(&self) -> bool {
        self.precedence == Precedence::Deferred
    }

    /// Returns whether the work would go before `other` if no account were above
    /// its entitlement.
    pub(super) fn is_worth_more(&self, other: &Rank) -> bool {
        (self.band, self.priority, self.key) < (other.band, other.priority, other.key)
    }

    /// Returns the rank of the same useful work if its account is above its
    /// entitlement.
    #[must_use]
    pub(super) fn deferred(self) -> Self {
        Self { precedence: Precedence::Deferred, ..self }
    }
}
