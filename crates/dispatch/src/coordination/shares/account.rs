//! What one pool knows of one account: the limit, the demand here and the shares
//! of the other pools.

use tamarackproxy::coordination::jobs::Resources;

use super::{
    amounts::{Limit, divide, exceeds, is_zero, larger, units_in},
    division::fair_levels,
    events::AccountDemand,
};
use crate::state::AccountShare;

/// Half of the time for which an unused part of a share is kept, in
/// milliseconds. With the write and the listing of the pool that waits for it, a
/// part moves within half a second: 250 ms let tasks wait for 605 ms when a surge
/// moved to another pool, 150 ms for 515 ms.
const PEAK_HALF_MS: u64 = 150;
/// Multiple of the wanted amount that is held in reserve at most. A raise takes
/// some hundred milliseconds when pools compete for it, so a surge of four times
/// the mean must not need one for each of its jobs.
const RESERVE_FACTOR: u64 = 3;
/// Part of the limit's free room that the reserve may take, as a divisor: other
/// pools find room without waiting for a share to be lowered.
const FREE_ROOM_DIVISOR: u64 = 4;
/// Part of a share that must be unused before the share is lowered while nobody
/// waits for it, as a divisor, so that small changes of the load cost no write.
const SLACK_DIVISOR: u64 = 8;
/// Time for which room must have been free before a pool that already has its
/// fair part takes it, in milliseconds: a pool below its part has listed the
/// shares by then.
const LEFTOVER_MS: u64 = 300;

/// Largest demand within the last 150 to 300 ms.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    current: Resources,
    previous: Resources,
    since_ms: u64,
}

impl Peak {
    fn add(&mut self, now_ms: u64, wanted: &Resources) {
        let age_ms = now_ms.saturating_sub(self.since_ms);
        if age_ms >= PEAK_HALF_MS {
            let is_recent = age_ms < 2 * PEAK_HALF_MS;
            self.previous = if is_recent { self.current } else { Resources::default() };
            (self.current, self.since_ms) = (Resources::default(), now_ms);
        }
        self.current = larger(&self.current, wanted);
    }

    fn amount(&self) -> Resources {
        larger(&self.current, &self.previous)
    }
}

/// What the pool should hold of an account's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Goal {
    /// Amount that should be held.
    pub(super) held: Resources,
    /// The pool has more than its fair part and another pool has less: nothing
    /// may start beyond the goal, although more is held.
    pub(super) yields: bool,
}

/// State of one limited account.
#[derive(Clone, Debug)]
pub(super) struct Account {
    limit: Limit,
    /// When the limit last fell, on the local clock.
    fell_ms: Option<u64>,
    running: Resources,
    blocked: Resources,
    unit: Resources,
    peak: Peak,
    /// Shares of the other pools as last listed.
    others: Vec<AccountShare>,
    others_held: Resources,
    /// Since when the limit has had room that no pool below its part takes, on
    /// the local clock.
    leftover_since_ms: Option<u64>,
    /// Since when a task has been blocked, on the local clock.
    pub(super) blocked_since_ms: Option<u64>,
    /// When a task was last blocked, on the local clock.
    pub(super) blocked_ms: u64,
    /// The log says that the account is blocked.
    pub(super) is_reported: bool,
}

impl Account {
    /// Creates the state of an account whose limit is new here. It may have been
    /// lowered shortly before.
    pub(super) fn new(now_ms: u64, limit: Limit) -> Self {
        Self {
            limit,
            fell_ms: Some(now_ms),
            running: Resources::default(),
            blocked: Resources::default(),
            unit: Resources::default(),
            peak: Peak::default(),
            others: Vec::new(),
            others_held: Resources::default(),
            leftover_since_ms: None,
            blocked_since_ms: None,
            blocked_ms: 0,
            is_reported: false,
        }
    }

    pub(super) fn set_limit(&mut self, now_ms: u64, limit: Limit) {
        if limit.is_below(&self.limit) {
            self.fell_ms = Some(now_ms);
        }
        self.limit = limit;
    }

    pub(super) fn limit(&self) -> &Limit {
        &self.limit
    }

    pub(super) fn set_demand(&mut self, now_ms: u64, demand: &AccountDemand) {
        self.running = self.limit.limited(&demand.running);
        self.unit = self.limit.limited(&demand.unit);
        // What the whole limit has no room for must not keep a share.
        let could_start = self.unit.fits_in(&self.limit.bounds());
        let blocked = if could_start { demand.blocked } else { Resources::default() };
        self.blocked = self.limit.limited(&blocked);
        self.peak.add(now_ms, &self.wanted());
    }

    /// Replaces the shares of the other pools.
    pub(super) fn set_others(&mut self, now_ms: u64, others: Vec<AccountShare>, held: &Resources) {
        let add = |sum: Resources, share: &AccountShare| sum.plus(&share.held);
        self.others_held = self.limit.limited(&others.iter().fold(Resources::default(), add));
        self.others = others;
        let room = self.limit.bounds().minus(&self.others_held).minus(held);
        let has_room = self.is_blocked() && self.unit.fits_in(&room);
        self.leftover_since_ms = has_room.then(|| self.leftover_since_ms.unwrap_or(now_ms));
    }

    /// Returns the smallest need of a blocked task or gang.
    pub(super) fn unit(&self) -> Resources {
        self.unit
    }

    pub(super) fn running(&self) -> Resources {
        self.running
    }

    /// Returns what runs and what could start now, without what the limit can
    /// never allow.
    pub(super) fn wanted(&self) -> Resources {
        let wanted = self.running.plus(&self.blocked).smaller(&self.limit.bounds());
        larger(&self.running, &wanted)
    }

    pub(super) fn is_blocked(&self) -> bool {
        !is_zero(&self.blocked)
    }

    /// Returns whether the pool has had neither runs nor waiting work lately.
    pub(super) fn is_idle(&self) -> bool {
        is_zero(&self.peak.amount())
    }

    /// Returns the most that this pool could hold.
    pub(super) fn room(&self) -> Resources {
        self.limit.bounds().minus(&self.others_held)
    }

    /// Returns when the shares must be listed because the limit fell: no process
    /// raises shares up to the earlier limit from then on.
    pub(super) fn settles_ms(&self, apply_ms: u64) -> Option<u64> {
        self.fell_ms.map(|fell_ms| fell_ms + apply_ms)
    }

    /// Handles a listing that was sent at `sent_ms`.
    pub(super) fn settle(&mut self, sent_ms: u64, apply_ms: u64) {
        self.fell_ms = self.fell_ms.filter(|&fell_ms| sent_ms < fell_ms + apply_ms);
    }

    /// Returns whether the pools together want more than the limit.
    fn is_contended(&self) -> bool {
        let add =
            |sum: Resources, share: &AccountShare| sum.plus(&larger(&share.wanted, &share.held));
        let others = self.others.iter().fold(Resources::default(), add);
        let total = self.limit.limited(&others.plus(&self.wanted()));
        exceeds(&total, &self.limit.bounds())
    }

    /// Returns what should be held; `held` is what is held now.
    pub(super) fn goal(&self, now_ms: u64, held: &Resources) -> Goal {
        if self.is_contended() { self.contended_goal(now_ms, held) } else { self.free_goal() }
    }

    /// Returns the goal while the limit has room for all wishes.
    fn free_goal(&self) -> Goal {
        let wanted = self.peak.amount();
        let room = self.room();
        let spare = divide(&room.minus(&wanted), FREE_ROOM_DIVISOR);
        let reserve = self.limit.limited(&wanted.times(RESERVE_FACTOR).smaller(&spare));
        let held = larger(&self.running, &wanted.plus(&reserve).smaller(&room));
        Goal { held, yields: false }
    }

    /// Returns the goal while the limit is divided by max-min fairness. Only
    /// whole tasks count: parts of a limit that no task fits into would be held
    /// in vain.
    fn contended_goal(&self, now_ms: u64, held: &Resources) -> Goal {
        let wanted = self.wanted();
        let wishes: Vec<Resources> =
            [wanted].into_iter().chain(self.others.iter().map(|share| share.wanted)).collect();
        let level = fair_levels(&self.limit.bounds(), &wishes);
        let part = wanted.smaller(&level);
        let room = self.room().minus(&self.running);
        let mut units =
            if self.is_blocked() { units_in(&part.minus(&self.running), &self.unit) } else { 0 };
        let is_below = self.is_blocked() && self.is_below(&part);
        let is_leftover =
            self.leftover_since_ms.is_some_and(|since_ms| now_ms >= since_ms + LEFTOVER_MS);
        if units == 0 && is_below {
            units = 1;
        }
        if self.is_blocked() && is_leftover {
            units = units.max(units_in(&divide(&room, 2), &self.unit)).max(1);
        }
        let units = units.min(units_in(&room, &self.unit));
        let goal = self.running.plus(&self.unit.times(units));
        let is_deprived = |other: &AccountShare| {
            let fair = other.wanted.smaller(&level);
            !is_zero(&self.limit.limited(&other.wanted.minus(&other.held)))
                && other.held.plus(&self.unit).fits_in(&larger(&fair, &self.unit))
        };
        let yields = self.others.iter().any(is_deprived);
        let kept = held.smaller(&wanted);
        Goal { held: if yields { goal } else { larger(&goal, &kept) }, yields }
    }

    /// Returns whether what runs is below the fair part in every resource that a
    /// blocked task needs.
    fn is_below(&self, part: &Resources) -> bool {
        let is_below = |running: u64, part: u64, unit: u64| unit == 0 || running < part;
        is_below(self.running.cpu_millicores, part.cpu_millicores, self.unit.cpu_millicores)
            && is_below(self.running.memory_bytes, part.memory_bytes, self.unit.memory_bytes)
            && is_below(
                self.running.accelerators.into(),
                part.accelerators.into(),
                self.unit.accelerators.into(),
            )
    }

    /// Returns the amount to hold next. What runs is always held, so that other
    /// pools count it.
    pub(super) fn next_held(&self, now_ms: u64, held: &Resources) -> Resources {
        let Goal { held: goal, yields } = self.goal(now_ms, held);
        let raised =
            if self.is_blocked() { larger(held, &goal.smaller(&self.room())) } else { *held };
        let is_over = exceeds(&held.plus(&self.others_held), &self.limit.bounds());
        let needs_lowering = yields || is_over || self.is_contended() || {
            let unused = held.minus(&goal);
            exceeds(&unused, &divide(held, SLACK_DIVISOR))
        };
        let kept = if is_over { goal.smaller(&self.room()) } else { goal };
        let next = if needs_lowering { raised.smaller(&kept) } else { raised };
        larger(&next, &self.running)
    }
}
