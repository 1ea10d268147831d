//! Fair share of a full pool among client accounts.
//!
//! Load pattern: one account floods a pool at several times its usual rate while
//! the other accounts go on as before. Waiting work of accounts that take less
//! than they are entitled to goes before that of accounts that take more, so
//! that the flood waits for itself and delays the others by about one task.

use hashbrown::HashMap;
use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{AccountId, PoolId},
};

use super::{
    accounts::AccountUse,
    engine::PoolEngine,
    job_table::Job,
    order::Rank,
    placement::takes_work,
    task::{Step, TaskRef},
};
use crate::state::StepSpec;

/// Weight of an account that the configuration does not list or gives no
/// positive weight. Its accepted jobs still run, and every controller must derive
/// the same weight, whichever configurations it has seen.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Time without a delay after which an account's work counts as no longer
/// delayed, in milliseconds: room in a full pool becomes free at intervals of up to
/// a task's duration, which is below a second for most queues.
const DELAY_OVER_MS: u64 = 1_000;

/// Time in which an account's work was started later because the account was
/// above its entitlement, on the local clock.
#[derive(Clone, Copy, Debug)]
struct Delay {
    since_ms: u64,
    latest_ms: u64,
}

/// An account with running or waiting work.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    weight: f64,
    /// What the account takes and what its waiting tasks need.
    demand: Resources,
    /// The account has running or waiting work in the current round.
    is_active: bool,
    /// The account takes its entitlement or more.
    is_above: bool,
    /// None if its work was not delayed lately.
    delay: Option<Delay>,
}

/// State of a client account in a pool, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountStatus {
    /// Name of the account.
    pub account: AccountId,
    /// Runs that may exist.
    pub running: u32,
    /// Open tasks without a run.
    pub waiting: u32,
    /// Part of the pool's capacity that the account is entitled to, from 0 to 1.
    pub entitlement: f64,
    /// The account takes its entitlement or more.
    pub is_above: bool,
    /// Its work was started later because of that, in the last second.
    pub is_delayed: bool,
}

impl AccountStatus {
    /// Creates the state of an account without work in the pool.
    pub fn idle(account: AccountId) -> Self {
        Self {
            account,
            running: 0,
            waiting: 0,
            entitlement: 0.0,
            is_above: false,
            is_delayed: false,
        }
    }
}

/// Weights of the client accounts, and their entitlements in the current
/// placement round.
///
/// Each account is entitled to a part of the capacity in proportion to its weight.
/// What some accounts leave unused, and public work does not need, is divided
/// among the others in the same way (max-min fairness). Otherwise an account that
/// needs a little more than its proportion would compete with the flood for it.
#[derive(Debug, Default)]
pub(super) struct FairShare {
    weights: HashMap<AccountId, f64>,
    positions: HashMap<AccountId, Position>,
    /// Resources that the accounts share.
    capacity: Resources,
    /// What public work takes and what its waiting tasks need.
    public_demand: Resources,
    /// Entitlement of an account of weight 1, as a part of the capacity; infinite
    /// if there is room for all demands.
    level: f64,
    /// The last useful work in today's order that was started in this round.
    last_started: Option<Rank>,
    /// An account has reached its entitlement since the steps were ranked.
    has_crossed: bool,
}

impl FairShare {
    /// Replaces the accounts and their weights.
    pub(super) fn set_weights<I>(&mut self, weights: I)
    where
        I: IntoIterator<Item = (AccountId, f64)>,
    {
        let usable = |weight: f64| weight.is_finite() && weight > 0.0;
        let or_default = |weight| if usable(weight) { weight } else { DEFAULT_WEIGHT };
        self.weights =
            weights.into_iter().map(|(account, weight)| (account, or_default(weight))).collect();
        if !self.is_enabled() {
            self.positions.clear();
            self.has_crossed = false;
        }
    }

    /// Returns whether the pool is shared between accounts.
    pub(super) fn is_enabled(&self) -> bool {
        !self.weights.is_empty()
    }

    /// Begins a placement round in a pool of the given capacity, of which `used` is
    /// taken.
    fn begin_round(&mut self, capacity: Resources, used: Resources) {
        (self.capacity, self.public_demand) = (capacity, used);
        self.last_started = None;
        for position in self.positions.values_mut() {
            (position.demand, position.is_active) = (Resources::default(), false);
            position.is_above = false;
        }
    }

    /// Adds what an account's runs take; what no account takes is public.
    fn add_running(&mut self, account: &AccountId, taken: &Resources) {
        self.public_demand = self.public_demand.minus(taken);
        let demand = self.demand_mut(Some(account));
        *demand = demand.plus(taken);
    }

    /// Adds the need of a step's waiting tasks, unless the demand of the account, or
    /// of public work, is known to exceed the pool: more of it does not change any
    /// entitlement.
    fn add_waiting(&mut self, account: Option<&AccountId>, spec: &StepSpec, step: &Step) {
        let capacity = self.capacity;
        let demand = self.demand_mut(account);
        if demand.fits_in(&capacity) {
            let waiting = step.tasks.iter().filter(|task| task.is_unstarted()).count();
            *demand = demand.plus(&spec.need.times(waiting as u64));
        }
    }

    /// Returns the demand of an account or of public work in this round.
    fn demand_mut(&mut self, account: Option<&AccountId>) -> &mut Resources {
        let Some(account) = account else { return &mut self.public_demand };
        if self.positions.get(account).is_none_or(|position| !position.is_active) {
            let weight = self.weights.get(account).copied().unwrap_or(DEFAULT_WEIGHT);
            let position = self.positions.entry(account.clone()).or_default();
            (position.weight, position.is_active) = (weight, true);
        }
        match self.positions.get_mut(account) {
            Some(position) => &mut position.demand,
            None => &mut self.public_demand,
        }
    }

    /// Computes the entitlements from the demands of the round.
    fn settle(&mut self) {
        self.positions.retain(|_, position| position.is_active || position.delay.is_some());
        let active = self.positions.values().filter(|position| position.is_active);
        let mut demands: Vec<(f64, f64)> =
            active.map(|position| (self.part(&position.demand), position.weight)).collect();
        demands.sort_unstable_by(|(left, left_weight), (right, right_weight)| {
            (left / left_weight).total_cmp(&(right / right_weight))
        });
        let weight: f64 = demands.iter().map(|(_, weight)| weight).sum();
        let proportional = 1.0 / weight;
        let (mut left, mut weight_left) = (1.0 - self.part(&self.public_demand), weight);
        self.level = f64::INFINITY;
        for (demand, weight) in demands {
            let level = left / weight_left;
            if demand > weight * level {
                self.level = level.max(proportional);
                break;
            }
            left -= demand;
            weight_left -= weight;
        }
    }

    /// Returns an amount as a part of the capacity, by the dominant resource.
    fn part(&self, amount: &Resources) -> f64 {
        let part = |amount: u64, whole: u64| amount as f64 / whole.max(1) as f64;
        part(amount.cpu_millicores, self.capacity.cpu_millicores)
            .max(part(amount.memory_bytes, self.capacity.memory_bytes))
            .max(part(amount.accelerators.into(), self.capacity.accelerators.into()))
    }

    /// Updates the position of an account after a change of what it takes.
    fn set_taken(&mut self, account: &AccountId, taken: &Resources) {
        let (part, level) = (self.part(taken), self.level);
        if let Some(position) = self.positions.get_mut(account) {
            let was_above = position.is_above;
            position.is_above = part >= position.weight * level;
            self.has_crossed |= position.is_above != was_above;
        }
    }

    fn is_above(&self, account: &AccountId) -> bool {
        self.positions.get(account).is_some_and(|position| position.is_above)
    }

    /// Records that waiting work of a rank was started.
    fn on_start(&mut self, rank: Rank) {
        if rank.is_useful() {
            let is_later = self.last_started.is_none_or(|last| last.is_worth_more(&rank));
            self.last_started = if is_later { Some(rank) } else { self.last_started };
        }
    }

    /// Returns whether work was started in this round although the deferred work
    /// of this rank is worth more.
    fn is_passed_over(&self, rank: Rank) -> bool {
        rank.is_deferred() && self.last_started.is_some_and(|last| rank.is_worth_more(&last))
    }

    /// Records that work of an account has to wait because of its entitlement.
    fn on_delay(&mut self, now_ms: u64, pool: &PoolId, account: &AccountId, used: AccountUse) {
        let taken = self.part(&used.taken);
        let level = self.level;
        let Some(position) = self.positions.get_mut(account) else { return };
        if position.delay.is_none() {
            log::info!(pool = pool.as_str(), account = account.as_str(), runs = used.runs,
                taken_percent = percent(taken),
                entitled_percent = percent(position.weight * level);
                "work of the account is delayed: it is above its entitlement while others wait");
        }
        let since_ms = position.delay.map_or(now_ms, |delay| delay.since_ms);
        position.delay = Some(Delay { since_ms, latest_ms: now_ms });
    }

    /// Ends a placement round: logs which accounts' work is no longer delayed.
    pub(super) fn end_round(&mut self, now_ms: u64, pool: &PoolId) {
        for (account, position) in &mut self.positions {
            let Some(delay) = position.delay else { continue };
            if now_ms >= delay.latest_ms + DELAY_OVER_MS {
                position.delay = None;
                log::info!(pool = pool.as_str(), account = account.as_str(),
                    delayed_ms = delay.latest_ms - delay.since_ms;
                    "work of the account is no longer delayed by its entitlement");
            }
        }
    }
}

fn percent(part: f64) -> u64 {
    (part * 100.0).round() as u64
}

impl PoolEngine {
    /// Computes the accounts' entitlements in this round, if there are accounts.
    pub(super) fn measure_shares(&mut self, now_ms: u64) {
        if !self.fair_share.is_enabled() {
            return;
        }
        let open = self.workers.iter().map(|(_, worker)| worker);
        let open = open.filter(|worker| takes_work(worker, now_ms) && !worker.is_vacating);
        let (capacity, free) = open.fold(<(Resources, Resources)>::default(), |sums, worker| {
            (sums.0.plus(&worker.entry.capacity), sums.1.plus(&worker.free_capacity()))
        });
        self.fair_share.begin_round(capacity, capacity.minus(&free));
        for (account, used) in self.job_table.accounts().iter() {
            self.fair_share.add_running(account, &used.taken);
        }
        // Steps for which there is no room now count as waiting, too.
        for at in self.job_table.unstarted() {
            let Some(job) = self.job_table.job(at.job).filter(|job| job.outcome.is_none()) else {
                continue;
            };
            if let (Some(spec), Some(step)) = (self.job_table.spec(at), self.job_table.step(at)) {
                self.fair_share.add_waiting(job.account.as_ref(), spec, step);
            }
        }
        self.fair_share.settle();
        for (account, used) in self.job_table.accounts().iter() {
            self.fair_share.set_taken(account, &used.taken);
        }
        self.fair_share.has_crossed = false;
    }

    /// Returns the rank of a step as its account stands now: the useful work of an
    /// account above its entitlement is deferred.
    pub(super) fn shared_rank(&self, rank: Rank, job: &Job) -> Rank {
        if !self.fair_share.is_enabled() || !rank.is_useful() {
            return rank;
        }
        let is_above = job.account.as_ref().is_some_and(|it| self.fair_share.is_above(it));
        if is_above { rank.deferred() } else { rank }
    }

    /// Returns whether a step has to be ranked again, because its account has reached
    /// its entitlement by the placements so far. An account's use only grows within
    /// a round, so this holds for each step at most once.
    pub(super) fn is_rank_outdated(&self, rank: Rank, step: TaskRef) -> bool {
        let job = || self.job_table.job(step.job);
        self.fair_share.has_crossed && job().is_some_and(|job| self.shared_rank(rank, job) != rank)
    }

    /// Updates the position of a step's account after one of its tasks was started.
    pub(super) fn on_shared_start(&mut self, rank: Rank, step: TaskRef) {
        if !self.fair_share.is_enabled() {
            return;
        }
        self.fair_share.on_start(rank);
        let job = self.job_table.job(step.job);
        let Some(account) = job.and_then(|job| job.account.as_ref()) else { return };
        let used = self.job_table.accounts().usage(account);
        self.fair_share.set_taken(account, &used.taken);
    }

    /// Records that a step found no room, if work that is worth less was started
    /// before it because of its account's entitlement.
    pub(super) fn note_delay(&mut self, now_ms: u64, rank: Rank, step: TaskRef) {
        if !self.fair_share.is_passed_over(rank) {
            return;
        }
        let job = self.job_table.job(step.job);
        let Some(account) = job.and_then(|job| job.account.as_ref()) else { return };
        let used = self.job_table.accounts().usage(account);
        self.fair_share.on_delay(now_ms, &self.control.pool, account, used);
    }

    /// Lists the accounts with running or waiting work; none without accounts.
    pub fn account_statuses(&self) -> Vec<AccountStatus> {
        if !self.fair_share.is_enabled() {
            return Vec::new();
        }
        let mut waiting: HashMap<&AccountId, u32> = HashMap::new();
        for at in self.job_table.unstarted() {
            let Some(job) = self.job_table.job(at.job).filter(|job| job.outcome.is_none()) else {
                continue;
            };
            if let (Some(account), Some(step)) = (&job.account, self.job_table.step(at)) {
                let tasks = step.tasks.iter().filter(|task| task.is_unstarted()).count();
                *waiting.entry(account).or_default() += tasks as u32;
            }
        }
        let share = &self.fair_share;
        let active = share.positions.iter().filter(|(_, position)| position.is_active);
        let shares = active.map(|(account, position)| {
            let used = self.job_table.accounts().usage(account);
            AccountStatus {
                account: account.clone(),
                running: used.runs,
                waiting: waiting.get(account).copied().unwrap_or(0),
                entitlement: (position.weight * share.level).min(1.0),
                is_above: position.is_above,
                is_delayed: position.delay.is_some(),
            }
        });
        shares.collect()
    }
}
