//! Forecast of surges that come in turn.

use std::collections::HashMap;

use tamarackproxy::state::ids::PoolId;

/// Arriving work that makes a surge, as a multiple of the pool's mean.
const SURGE_FACTOR: f64 = 1.6;
/// Arriving work below which a surge is over, as a multiple of the mean.
const LULL_FACTOR: f64 = 0.8;
/// Smallest arriving work that counts as a surge, in thousandths of a core.
const SURGE_MIN_MILLICORES: f64 = 24_000.0;
/// Time over which a pool's mean is taken, in milliseconds: two rounds of
/// turns.
const MEAN_MS: f64 = 20_000.0;
/// Shortest time of a turn, in milliseconds; shorter peaks are noise.
const TURN_MIN_MS: u64 = 1_200;

#[derive(Clone, Debug, Default)]
struct PoolTurns {
    mean_millicores: f64,
    updated_ms: u64,
    surge_since_ms: Option<u64>,
    last_start_ms: Option<u64>,
    /// Length of the last whole surge.
    length_ms: Option<u64>,
    /// Largest demand of the last surges.
    peak_millicores: u64,
    /// Pool whose surge followed this one's the last time.
    successor: Option<PoolId>,
}

/// Remembers which pool's surge follows which, and when.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    pools: HashMap<PoolId, PoolTurns>,
    latest: Option<PoolId>,
}

impl Turns {
    /// Takes in the work that arrives at a pool.
    pub(super) fn on_demand(&mut self, now_ms: u64, pool: &PoolId, arriving_millicores: u64) {
        let arriving = arriving_millicores as f64;
        let turns = self.pools.entry(pool.clone()).or_default();
        let elapsed_ms = now_ms.saturating_sub(turns.updated_ms) as f64;
        let weight = if turns.updated_ms == 0 { 1.0 } else { (elapsed_ms / MEAN_MS).min(1.0) };
        turns.updated_ms = now_ms;
        turns.mean_millicores += weight * (arriving - turns.mean_millicores);
        let is_surge =
            arriving > turns.mean_millicores * SURGE_FACTOR && arriving > SURGE_MIN_MILLICORES;
        match turns.surge_since_ms {
            None if is_surge => {
                turns.surge_since_ms = Some(now_ms);
                turns.last_start_ms = Some(now_ms);
                turns.peak_millicores = arriving_millicores;
                let previous = self.latest.replace(pool.clone());
                if let Some(previous) = previous.filter(|previous| previous != pool)
                    && let Some(previous) = self.pools.get_mut(&previous)
                {
                    previous.successor = Some(pool.clone());
                }
            }
            Some(since_ms) if arriving < turns.mean_millicores * LULL_FACTOR => {
                turns.surge_since_ms = None;
                let length_ms = now_ms.saturating_sub(since_ms);
                if length_ms >= TURN_MIN_MS {
                    turns.length_ms = Some(length_ms);
                }
            }
            Some(_) => turns.peak_millicores = turns.peak_millicores.max(arriving_millicores),
            None => {}
        }
    }

    /// Returns the work expected at a pool within `horizon_ms`, in thousandths
    /// of a core: the peak of its last surge if its turn is about to come.
    pub(super) fn forecast(&self, now_ms: u64, horizon_ms: u64, pool: &PoolId) -> u64 {
        let expected = || {
            let latest = self.latest.as_ref()?;
            let current = self.pools.get(latest)?;
            if current.successor.as_ref() != Some(pool) {
                return None;
            }
            let ends_ms = current.last_start_ms? + current.length_ms?;
            let is_near = now_ms + horizon_ms >= ends_ms && now_ms < ends_ms + horizon_ms;
            is_near.then(|| self.pools.get(pool).map_or(0, |turns| turns.peak_millicores))
        };
        expected().unwrap_or(0)
    }
}
