//! Which process controls which scope.
//!
//! Load pattern: all processes start at once and want every scope; later one
//! ends and its scopes move within seconds, to whoever is there first. A pool
//! of dozens of workers needs more processor time in a surge than a small host
//! has, and a rolling restart leaves scopes where they were at its end. So
//! hosts with more processors for each scope try first, and ask for scopes
//! that others hold with far less.

/// Delay before an attempt for each pool that is held already, in
/// milliseconds: several times what an acquisition takes.
const HELD_DELAY_MS: f64 = 300.0;
/// Delay before an attempt for each halving of the host's processors below
/// [`FULL_MILLICORES`], in milliseconds: control costs processor time, so hosts
/// that have too little come last.
const HALVING_DELAY_MS: f64 = 350.0;
/// Processors of the users' common entry hosts, in thousandths of a core; they
/// control pools of a dozen workers with a tenth of them.
pub const FULL_MILLICORES: u32 = 250;
/// Processors for each pool that a process must have more than the holder, as
/// a multiple, to ask for its scope: a change of control costs about a second
/// of starts.
const TAKEOVER_FACTOR: f64 = 2.0;
/// Time for which a holder is left in peace, in milliseconds: it has read its
/// records by then, and a rolling restart has gone on to the next host.
pub const SETTLED_MS: u64 = 2_500;

/// What a scope costs its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScopeKind {
    /// One pool.
    Pool,
    /// Upkeep of all hosts.
    Upkeep,
}

impl ScopeKind {
    /// Returns the scope's share of the processor time of a pool: upkeep wakes
    /// a few times a second.
    fn pools(self) -> f64 {
        match self {
            Self::Pool => 1.0,
            Self::Upkeep => 0.25,
        }
    }
}

/// Processors of a host and what it controls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlLoad {
    millicores: u32,
    pools: f64,
}

impl ControlLoad {
    /// Describes a host that controls nothing.
    pub fn new(millicores: u32) -> Self {
        Self { millicores, pools: 0.0 }
    }

    /// Adds scopes that it controls or tries to.
    #[must_use]
    pub fn with_scopes<I>(mut self, scopes: I) -> Self
    where
        I: IntoIterator<Item = ScopeKind>,
    {
        self.pools += scopes.into_iter().map(ScopeKind::pools).sum::<f64>();
        self
    }

    /// Returns whether it controls more than `earlier`.
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

    /// Returns whether this host, which lacks `scope`, serves it far better than
    /// its `holder`, whose load includes it. A holder of unknown size keeps
    /// what it has.
    pub fn may_ask_for(&self, scope: ScopeKind, holder: &Self) -> bool {
        let own = f64::from(self.millicores) / (self.pools + scope.pools());
        let others = f64::from(holder.millicores) / holder.pools.max(scope.pools());
        holder.millicores > 0 && own > others * TAKEOVER_FACTOR
    }
}

#[cfg(test)]
mod tests;
