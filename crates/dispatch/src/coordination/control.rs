//! Distribution of scopes over processes: delays before attempts to take
//! control, and requests to hand it over.
//!
//! Load pattern: all processes start at once and try to take every scope; when
//! one ends later, its scopes move within seconds to the first process that
//! tries. A pool of dozens of workers needs more processor time in a surge than
//! a small host has, and a rolling restart would leave such a scope on
//! whichever host took it last. So hosts with more processors per scope try
//! first, and request scopes from holders that have far fewer.

mod orders;

pub use self::orders::{Fencing, HOST_ORDER_MAX_MS, OrderPermit, OrderWindow};

/// Time after the end of its lease for which a holder keeps control while the
/// store is unreachable, in milliseconds, if the receivers of its orders reject
/// old terms. Lease and this time together exceed the store outages that the
/// operators expect.
pub const OUTAGE_MS: u64 = 6_000;
/// Delay of an attempt for each pool that the host already controls, in
/// milliseconds: several times the duration of an acquisition.
const HELD_DELAY_MS: f64 = 300.0;
/// Delay of an attempt for each halving of the host's processors below
/// [`FULL_MILLICORES`], in milliseconds: control costs processor time, so hosts
/// that have too little try last.
const HALVING_DELAY_MS: f64 = 350.0;
/// Processors of the users' usual entry hosts, in thousandths of a core; a
/// tenth of them suffices to control a pool of a dozen workers.
pub const FULL_MILLICORES: u32 = 250;
/// Factor by which a process must have more processors per pool than the holder
/// to request its scope: a change of control costs about a second in which no
/// task starts.
const TAKEOVER_FACTOR: f64 = 2.0;
/// Time for which a new holder gets no handover request, in milliseconds: it
/// has read its records by then, and a rolling restart has moved on to the next
/// host.
pub const NEW_HOLDER_GRACE_MS: u64 = 2_500;

/// Kind of a scope, which determines what its control costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScopeKind {
    Pool,
    /// Maintenance of all hosts and their moves between pools.
    Upkeep,
}

impl ScopeKind {
    /// Returns the processor time that the scope costs, relative to a pool:
    /// upkeep wakes only a few times a second.
    fn cost_in_pools(self) -> f64 {
        match self {
            Self::Pool => 1.0,
            Self::Upkeep => 0.25,
        }
    }
}

/// Processors of a host and the cost of the scopes that it controls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlLoad {
    millicores: u32,
    pools: f64,
}

impl ControlLoad {
    /// Creates the load of a host that controls no scope.
    pub fn new(millicores: u32) -> Self {
        Self { millicores, pools: 0.0 }
    }

    /// Adds scopes that the host controls or tries to take.
    #[must_use]
    pub fn with_scopes<I>(mut self, scopes: I) -> Self
    where
        I: IntoIterator<Item = ScopeKind>,
    {
        self.pools += scopes.into_iter().map(ScopeKind::cost_in_pools).sum::<f64>();
        self
    }

    /// Returns whether the controlled scopes cost more than those of `earlier`.
    pub fn exceeds(&self, earlier: &Self) -> bool {
        self.pools > earlier.pools
    }

    /// Returns the delay before an attempt to take a vacant scope, in
    /// milliseconds.
    pub fn attempt_delay_ms(&self) -> u64 {
        let ratio = f64::from(FULL_MILLICORES) / f64::from(self.millicores.max(10));
        let size_ms = ratio.log2().max(0.0) * HALVING_DELAY_MS;
        (self.pools * HELD_DELAY_MS + size_ms) as u64
    }

    /// Returns whether this host has far more processors for `scope` than its
    /// `holder`, whose load includes the scope. A holder of unknown size is not
    /// asked.
    pub fn may_request(&self, scope: ScopeKind, holder: &Self) -> bool {
        let own = f64::from(self.millicores) / (self.pools + scope.cost_in_pools());
        let others = f64::from(holder.millicores) / holder.pools.max(scope.cost_in_pools());
        holder.millicores > 0 && own > others * TAKEOVER_FACTOR
    }
}

#[cfg(test)]
mod tests;
