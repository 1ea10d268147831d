//! Forecast of surges that come in turn.

use std::collections::HashMap;

use tamarackproxy::state::{clock::ClockReading, ids::PoolId};

use crate::state::SurgeRecord;

/// Arriving work that makes a surge, as a share of what the pool holds at
/// first: the users' surges ask for more than all of it.
const SURGE_SHARE: f64 = 0.5;
/// Arriving work below which a surge is over, as the same share.
const LULL_SHARE: f64 = 0.2;
/// Arriving work that makes a surge, as a multiple of the pool's own mean: high
/// steady demand is none.
const SURGE_RATIO: f64 = 1.5;
/// Time over which arriving work is averaged, in milliseconds: a few of the
/// largest jobs.
const SMOOTHING_MS: f64 = 1_000.0;
/// Time over which a pool's mean is taken, in milliseconds: several surges.
const MEAN_MS: f64 = 15_000.0;
/// Peak of a surge as a multiple of what the pool holds at first, before any
/// surge was seen: the users' surges ask for more than the pool holds.
const FIRST_PEAK_RATIO: f64 = 1.4;
/// Time from the start of a surge in which its peak is expected rather than
/// measured, in milliseconds: twice the smoothing.
const ONSET_MS: u64 = 2_000;
/// Shortest time of a turn, in milliseconds; shorter peaks are noise.
const TURN_MIN_MS: u64 = 1_200;

#[derive(Clone, Debug, Default)]
struct PoolTurns {
    smooth_millicores: f64,
    mean_millicores: f64,
    updated_ms: u64,
    surge_since_ms: Option<u64>,
    last_start_ms: Option<u64>,
    /// A surge of the pool was seen to end.
    is_measured: bool,
    /// Largest demand of the last surge.
    peak_millicores: u64,
    capacity_millicores: u64,
}

/// Remembers when each pool's surges began.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    pools: HashMap<PoolId, PoolTurns>,
    /// When a surge of any pool last began.
    latest_start_ms: Option<u64>,
    /// Time between the last two beginnings.
    turn_ms: Option<u64>,
    /// Something changed that a successor has to know.
    is_changed: bool,
}

impl Turns {
    /// Takes over what a predecessor saw. Its times of day are turned into times
    /// of the own clock; a step of the clock shifts the next turn by as much.
    pub(super) fn restore(
        &mut self,
        now: ClockReading,
        surges: &[SurgeRecord],
        turn_ms: Option<u64>,
    ) {
        for surge in surges {
            let age_ms = now.unix_ms.saturating_sub(surge.began_unix_ms);
            let turns = self.pools.entry(surge.pool.clone()).or_default();
            turns.last_start_ms = Some(now.monotonic_ms.saturating_sub(age_ms));
            turns.peak_millicores = surge.peak_millicores;
            turns.is_measured = surge.is_measured;
        }
        self.latest_start_ms = self.pools.values().filter_map(|turns| turns.last_start_ms).max();
        self.turn_ms = turn_ms;
    }

    /// Asks for what a successor has to know to be stored again.
    pub(super) fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// Returns what a successor has to know, if it changed.
    pub(super) fn take_changes(
        &mut self,
        now: ClockReading,
    ) -> Option<(Vec<SurgeRecord>, Option<u64>)> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        let surges = self.pools.iter().filter_map(|(pool, turns)| {
            let age_ms = now.monotonic_ms.saturating_sub(turns.last_start_ms?);
            Some(SurgeRecord {
                pool: pool.clone(),
                began_unix_ms: now.unix_ms.saturating_sub(age_ms),
                peak_millicores: turns.peak_millicores,
                is_measured: turns.is_measured,
            })
        });
        Some((surges.collect(), self.turn_ms))
    }

    /// Takes in the work that arrives at a pool, which holds `capacity` at first;
    /// both in thousandths of a core.
    pub(super) fn on_demand(
        &mut self,
        now_ms: u64,
        pool: &PoolId,
        arriving_millicores: u64,
        capacity_millicores: u64,
    ) {
        let capacity = capacity_millicores as f64;
        let turns = self.pools.entry(pool.clone()).or_default();
        let elapsed_ms = now_ms.saturating_sub(turns.updated_ms) as f64;
        let weight = 1.0 - (-elapsed_ms / SMOOTHING_MS).exp();
        let mean_weight = 1.0 - (-elapsed_ms / MEAN_MS).exp();
        turns.updated_ms = now_ms;
        turns.capacity_millicores = capacity_millicores;
        turns.smooth_millicores += weight * (arriving_millicores as f64 - turns.smooth_millicores);
        let arriving = turns.smooth_millicores;
        turns.mean_millicores += mean_weight * (arriving - turns.mean_millicores);
        let is_surge = capacity > 0.0
            && arriving > capacity * SURGE_SHARE
            && arriving > turns.mean_millicores * SURGE_RATIO;
        match turns.surge_since_ms {
            None if is_surge => {
                turns.surge_since_ms = Some(now_ms);
                turns.last_start_ms = Some(now_ms);
                self.is_changed = true;
                turns.peak_millicores = arriving as u64;
                let previous_ms = self.latest_start_ms.replace(now_ms);
                let turn_ms = previous_ms.map(|previous_ms| now_ms - previous_ms);
                self.turn_ms = turn_ms.filter(|&turn_ms| turn_ms >= TURN_MIN_MS);
            }
            Some(since_ms) if arriving < capacity * LULL_SHARE => {
                turns.surge_since_ms = None;
                turns.is_measured |= now_ms >= since_ms + TURN_MIN_MS;
                self.is_changed = true;
            }
            Some(_) => turns.peak_millicores = turns.peak_millicores.max(arriving as u64),
            None => {}
        }
    }

    /// Returns whether a pool's surge may come next: it does not surge now, and no
    /// other pool has waited longer for its turn.
    pub(super) fn may_be_next<'a, I>(&self, pool: &PoolId, pools: I) -> bool
    where
        I: IntoIterator<Item = &'a PoolId>,
    {
        let turn = |pool: &PoolId| self.pools.get(pool).map(|turns| turns.last_start_ms);
        let own = turn(pool).flatten();
        let is_surging = self.pools.get(pool).is_some_and(|turns| turns.surge_since_ms.is_some());
        !is_surging && pools.into_iter().all(|other| turn(other).flatten() >= own)
    }

    /// Returns the mean peak of the surges that are over, as a multiple of what
    /// their pools hold at first.
    fn peak_ratio(&self) -> f64 {
        let ratios = self.pools.values().filter(|turns| turns.is_measured);
        let ratios: Vec<f64> = ratios
            .map(|turns| turns.peak_millicores as f64 / turns.capacity_millicores.max(1) as f64)
            .collect();
        if ratios.is_empty() {
            return FIRST_PEAK_RATIO;
        }
        ratios.iter().sum::<f64>() / ratios.len() as f64
    }

    /// Returns the work that a surge which has just begun will bring, in
    /// thousandths of a core.
    fn onset(&self, now_ms: u64, pool: &PoolId) -> u64 {
        let Some(turns) = self.pools.get(pool) else { return 0 };
        match turns.surge_since_ms {
            Some(since_ms) if now_ms < since_ms + ONSET_MS => {
                (self.peak_ratio() * turns.capacity_millicores as f64) as u64
            }
            _ => 0,
        }
    }

    /// Returns the work expected at a pool within `horizon_ms`, in thousandths
    /// of a core: the usual peak if its turn alone can be next and is due.
    pub(super) fn forecast<'a, I>(
        &self,
        now_ms: u64,
        horizon_ms: u64,
        pool: &PoolId,
        pools: I,
    ) -> u64
    where
        I: IntoIterator<Item = &'a PoolId> + Clone,
    {
        let onset = self.onset(now_ms, pool);
        let (Some(latest_ms), Some(turn_ms)) = (self.latest_start_ms, self.turn_ms) else {
            return onset;
        };
        let starts_ms = latest_ms + turn_ms;
        let is_due = now_ms + horizon_ms >= starts_ms && now_ms < starts_ms + turn_ms / 2;
        let candidates = pools.clone().into_iter();
        let candidates = candidates.filter(|other| self.may_be_next(other, pools.clone())).count();
        if !is_due || candidates != 1 || !self.may_be_next(pool, pools) {
            return onset;
        }
        let capacity = self.pools.get(pool).map_or(0, |turns| turns.capacity_millicores);
        onset.max((self.peak_ratio() * capacity as f64) as u64)
    }
}
