//! History and forecast of surges that come to the pools in turn.

use std::collections::{HashMap, VecDeque};

use tamarackproxy::state::{clock::ClockReading, ids::PoolId};

use crate::state::SurgeRecord;

/// Arriving work above which a surge begins, as a share of the pool's initial
/// capacity: the users' surges need more than all of it.
const SURGE_SHARE: f64 = 0.5;
/// Arriving work below which a surge ends, as a share of the same.
const LULL_SHARE: f64 = 0.2;
/// Arriving work above which a surge begins, as a multiple of the pool's mean:
/// high steady demand is not a surge.
const SURGE_RATIO: f64 = 1.5;
/// Time constant of the average of arriving work, in milliseconds: a few
/// arrivals of the largest jobs.
const SMOOTHING_MS: f64 = 1_000.0;
/// Time constant of a pool's mean, in milliseconds: several surges.
const MEAN_WINDOW_MS: f64 = 15_000.0;
/// Expected peak as a multiple of the pool's initial capacity until a surge was
/// observed: the users' surges need more than the pool has.
const INITIAL_PEAK_RATIO: f64 = 1.4;
/// Time from the start of a surge in which the expected peak is used rather
/// than the measured one, in milliseconds: twice the smoothing.
const ONSET_MS: u64 = 2_000;
/// Time for which a surge that is due and does not begin is still expected, in
/// milliseconds: the smoothing of two surges' onsets. Hosts that wait for it
/// idle meanwhile.
const OVERDUE_SURGE_MS: u64 = 2_000;
/// Number of the last turns whose mean is expected for the next one.
const TURNS_MAX: usize = 3;
/// Shortest interval between surges, in milliseconds; shorter ones are noise.
const SURGE_INTERVAL_MIN_MS: u64 = 1_200;

#[derive(Clone, Debug, Default)]
struct PoolSurges {
    smooth_millicores: f64,
    mean_millicores: f64,
    updated_ms: u64,
    surge_since_ms: Option<u64>,
    last_start_ms: Option<u64>,
    /// The end of a surge of the pool was observed.
    is_measured: bool,
    /// Largest demand of the latest surge.
    peak_millicores: u64,
    capacity_millicores: u64,
}

/// Records when the surges of each pool began, and how large they were.
#[derive(Clone, Debug, Default)]
pub(super) struct SurgeHistory {
    pools: HashMap<PoolId, PoolSurges>,
    /// Start of the latest surge of any pool.
    latest_start_ms: Option<u64>,
    /// Times between the starts of the last surges, oldest first.
    turns_ms: VecDeque<u64>,
    /// State that a successor needs has changed.
    is_changed: bool,
}

impl SurgeHistory {
    /// Restores the history that a previous holder stored. Its wall-clock times
    /// are converted to the local clock; a step of the wall clock shifts the
    /// next forecast by as much.
    pub(super) fn restore(
        &mut self,
        now: ClockReading,
        surges: &[SurgeRecord],
        turn_ms: Option<u64>,
    ) {
        for surge in surges {
            let age_ms = now.unix_ms.saturating_sub(surge.began_unix_ms);
            let history = self.pools.entry(surge.pool.clone()).or_default();
            history.last_start_ms = Some(now.monotonic_ms.saturating_sub(age_ms));
            history.peak_millicores = surge.peak_millicores;
            history.is_measured = surge.is_measured;
        }
        self.latest_start_ms =
            self.pools.values().filter_map(|history| history.last_start_ms).max();
        self.turns_ms = turn_ms.into_iter().collect();
    }

    /// Returns the mean time between the starts of the last surges: a burst, or
    /// a change of control, shifts the start of a single one by seconds.
    fn turn_ms(&self) -> Option<u64> {
        let turns = u64::try_from(self.turns_ms.len()).ok().filter(|&turns| turns > 0)?;
        Some(self.turns_ms.iter().sum::<u64>() / turns)
    }

    /// Requests that the state which a successor needs is stored again.
    pub(super) fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// Returns the state that a successor needs, if it changed.
    pub(super) fn take_changes(
        &mut self,
        now: ClockReading,
    ) -> Option<(Vec<SurgeRecord>, Option<u64>)> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        let surges = self.pools.iter().filter_map(|(pool, history)| {
            let age_ms = now.monotonic_ms.saturating_sub(history.last_start_ms?);
            Some(SurgeRecord {
                pool: pool.clone(),
                began_unix_ms: now.unix_ms.saturating_sub(age_ms),
                peak_millicores: history.peak_millicores,
                is_measured: history.is_measured,
            })
        });
        Some((surges.collect(), self.turn_ms()))
    }

    /// Updates the averages with the work that arrives at a pool, and detects
    /// the start and end of surges. Both figures are in thousandths of a core;
    /// the capacity is the pool's initial one.
    pub(super) fn on_demand(
        &mut self,
        now_ms: u64,
        pool: &PoolId,
        arriving_millicores: u64,
        capacity_millicores: u64,
    ) {
        let capacity = capacity_millicores as f64;
        let history = self.pools.entry(pool.clone()).or_default();
        let elapsed_ms = now_ms.saturating_sub(history.updated_ms) as f64;
        let weight = 1.0 - (-elapsed_ms / SMOOTHING_MS).exp();
        let mean_weight = 1.0 - (-elapsed_ms / MEAN_WINDOW_MS).exp();
        history.updated_ms = now_ms;
        history.capacity_millicores = capacity_millicores;
        history.smooth_millicores +=
            weight * (arriving_millicores as f64 - history.smooth_millicores);
        let arriving = history.smooth_millicores;
        history.mean_millicores += mean_weight * (arriving - history.mean_millicores);
        let is_surge = capacity > 0.0
            && arriving > capacity * SURGE_SHARE
            && arriving > history.mean_millicores * SURGE_RATIO;
        match history.surge_since_ms {
            None if is_surge => {
                history.surge_since_ms = Some(now_ms);
                history.last_start_ms = Some(now_ms);
                self.is_changed = true;
                history.peak_millicores = arriving as u64;
                let previous_ms = self.latest_start_ms.replace(now_ms);
                let turn_ms = previous_ms.map(|previous_ms| now_ms - previous_ms);
                self.turns_ms.extend(turn_ms.filter(|&turn_ms| turn_ms >= SURGE_INTERVAL_MIN_MS));
                let excess = self.turns_ms.len().saturating_sub(TURNS_MAX);
                self.turns_ms.drain(..excess);
            }
            Some(since_ms) if arriving < capacity * LULL_SHARE => {
                history.surge_since_ms = None;
                history.is_measured |= now_ms >= since_ms + SURGE_INTERVAL_MIN_MS;
                self.is_changed = true;
            }
            Some(_) => history.peak_millicores = history.peak_millicores.max(arriving as u64),
            None => {}
        }
    }

    /// Returns whether the next surge may be this pool's: it has none now, and
    /// the latest surge of every other pool is no older than its own.
    pub(super) fn may_be_next<'a, I>(&self, pool: &PoolId, pools: I) -> bool
    where
        I: IntoIterator<Item = &'a PoolId>,
    {
        let last_start = |pool: &PoolId| self.pools.get(pool).map(|history| history.last_start_ms);
        let own = last_start(pool).flatten();
        let is_surging =
            self.pools.get(pool).is_some_and(|history| history.surge_since_ms.is_some());
        !is_surging && pools.into_iter().all(|other| last_start(other).flatten() >= own)
    }

    /// Returns the mean peak of completed surges, as a multiple of the initial
    /// capacity of their pools.
    fn peak_ratio(&self) -> f64 {
        let ratios = self.pools.values().filter(|history| history.is_measured);
        let ratios: Vec<f64> = ratios
            .map(|history| {
                history.peak_millicores as f64 / history.capacity_millicores.max(1) as f64
            })
            .collect();
        if ratios.is_empty() {
            return INITIAL_PEAK_RATIO;
        }
        ratios.iter().sum::<f64>() / ratios.len() as f64
    }

    /// Returns the expected peak of a surge that has just begun, in thousandths
    /// of a core; 0 if there is none.
    fn onset(&self, now_ms: u64, pool: &PoolId) -> u64 {
        let Some(history) = self.pools.get(pool) else { return 0 };
        match history.surge_since_ms {
            Some(since_ms) if now_ms < since_ms + ONSET_MS => {
                (self.peak_ratio() * history.capacity_millicores as f64) as u64
            }
            _ => 0,
        }
    }

    /// Returns the work expected at a pool within `horizon_ms`, in thousandths
    /// of a core: the usual peak if the next surge is due and can only be this
    /// pool's.
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
        let (Some(latest_ms), Some(turn_ms)) = (self.latest_start_ms, self.turn_ms()) else {
            return onset;
        };
        let starts_ms = latest_ms + turn_ms;
        let expected_until_ms = starts_ms + OVERDUE_SURGE_MS.min(turn_ms / 2);
        let is_due = now_ms + horizon_ms >= starts_ms && now_ms < expected_until_ms;
        let candidates = pools.clone().into_iter();
        let candidates = candidates.filter(|other| self.may_be_next(other, pools.clone())).count();
        if !is_due || candidates != 1 || !self.may_be_next(pool, pools) {
            return onset;
        }
        let capacity = self.pools.get(pool).map_or(0, |history| history.capacity_millicores);
        onset.max((self.peak_ratio() * capacity as f64) as u64)
    }
}
