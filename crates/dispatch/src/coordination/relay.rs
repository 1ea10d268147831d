//! Choice of the processes that carry the calls of a large pool to its workers.
//!
//! Load pattern: in a surge, a pool of hundreds of workers starts and ends
//! thousands of runs a second. The decisions about them take a tenth of the
//! processor time; the calls to the workers take the rest, which is more than
//! one host has. The pool's controller keeps all state and decisions, and
//! spreads the calls over relays: other processes that send them and return the
//! replies. A relay keeps nothing, so its loss costs the calls in flight.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use hashbrown::HashSet;
use tamarackproxy::state::ids::{DataCentreId, EntryId, PoolId, WorkerId};

/// Default number of workers for each relay.
pub const WORKERS_PER_RELAY: usize = 56;
/// Share of the workers of one relay up to which a pool has none, in percent: a
/// relay would only add a hop.
const DIRECT_PERCENT: usize = 70;
/// Most relays of one pool.
const RELAYS_MAX: usize = 8;
/// Least processors of a relay, in thousandths of a core.
pub const RELAY_MILLICORES_MIN: u32 = 200;

/// A running process that can carry calls for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub entry: EntryId,
    /// Address at which it accepts links of controllers.
    pub address: SocketAddr,
    /// Processors of its host, in thousandths of a core.
    pub millicores: u32,
    /// Data centre of its host.
    pub data_centre: DataCentreId,
}

/// Returns how many relays a pool of `workers` needs.
pub fn relays_wanted(workers: usize, workers_per_relay: usize) -> usize {
    let workers_per_relay = workers_per_relay.max(1);
    if workers * 100 <= workers_per_relay * DIRECT_PERCENT {
        return 0;
    }
    workers.div_ceil(workers_per_relay).min(RELAYS_MAX)
}

/// Chooses relays for a pool, in addition to those `kept`, up to `wanted`:
/// processes that control no scope first, then those with more processors. Pools
/// choose different ones among equals.
pub fn choose_relays(
    pool: &PoolId,
    members: &[Member],
    holders: &HashSet<EntryId>,
    kept: &[SocketAddr],
    wanted: usize,
) -> Vec<Member> {
    let is_candidate = |member: &&Member| {
        member.millicores >= RELAY_MILLICORES_MIN && !kept.contains(&member.address)
    };
    let mut candidates: Vec<&Member> = members.iter().filter(is_candidate).collect();
    candidates.sort_by_cached_key(|member| {
        let is_holder = holders.contains(&member.entry);
        (is_holder, std::cmp::Reverse(member.millicores), weight(&(pool, &member.entry)))
    });
    candidates.into_iter().take(wanted.saturating_sub(kept.len())).cloned().collect()
}

/// Returns which of `relays` carries the calls to a worker.
pub fn relay_of(worker: &WorkerId, relays: usize) -> Option<usize> {
    let relays = u64::try_from(relays).ok().filter(|&relays| relays > 0)?;
    usize::try_from(weight(worker) % relays).ok()
}

fn weight<T>(value: &T) -> u64
where
    T: Hash,
{
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests;
