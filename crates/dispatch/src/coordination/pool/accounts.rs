//! What the tasks of each client account take in the pool, and what its limit
//! allows.
//!
//! Load pattern: a flooding account has thousands of waiting tasks that its
//! limit blocks. Each start is judged in memory, and what is blocked is counted
//! for each step, without a search for workers.

use hashbrown::HashMap;
use tamarackproxy::{coordination::jobs::Resources, state::ids::AccountId};

use crate::coordination::shares::{AccountDemand, Allowance};

/// Use of the pool by one client account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AccountUse {
    /// Declared needs of all runs that may exist.
    pub(super) taken: Resources,
    /// Runs that may exist.
    pub(super) runs: u32,
}

/// Limit of one client account in the pool.
#[derive(Clone, Copy, Debug, Default)]
struct AccountLimit {
    allowance: Allowance,
    /// Declared needs of runs of ended or unwanted tasks that are being stopped.
    orphans: Resources,
    /// Declared needs of the runs of a previous controller that were found, also
    /// of those that have ended since.
    adopted: Resources,
    /// Declared needs of the tasks that the limit blocked in this placement
    /// round.
    blocked: Resources,
    /// Smallest of these needs.
    unit: Resources,
}

/// Use of the pool by each client account, charged for each run from its start
/// order until it has certainly ended, and the limits of those that have one.
#[derive(Debug, Default)]
pub(super) struct AccountLedger {
    accounts: HashMap<AccountId, AccountUse>,
    limits: HashMap<AccountId, AccountLimit>,
    /// Upper bound of what runs that this controller cannot see take.
    unseen: Resources,
}

impl AccountLedger {
    /// Returns what an account uses.
    pub(super) fn usage(&self, account: &AccountId) -> AccountUse {
        self.accounts.get(account).copied().unwrap_or_default()
    }

    /// Lists the accounts with runs.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&AccountId, &AccountUse)> {
        self.accounts.iter()
    }

    /// Charges a run to its account.
    pub(super) fn charge(&mut self, account: &AccountId, need: &Resources) {
        // The name is cloned only for an account without runs.
        let found = match self.accounts.get_mut(account) {
            Some(found) => found,
            None => self.accounts.entry(account.clone()).or_default(),
        };
        found.taken = found.taken.plus(need);
        found.runs += 1;
    }

    /// Releases what a run took.
    pub(super) fn release(&mut self, account: &AccountId, need: &Resources) {
        let Some(found) = self.accounts.get_mut(account) else { return };
        found.taken = found.taken.minus(need);
        found.runs = found.runs.saturating_sub(1);
        if found.runs == 0 {
            self.accounts.remove(account);
        }
    }

    /// Sets the accounts that have a limit. New ones may start nothing until
    /// they have an allowance.
    pub(super) fn set_limited<I>(&mut self, accounts: I)
    where
        I: IntoIterator<Item = AccountId>,
    {
        let mut known = std::mem::take(&mut self.limits);
        let limit = |account: AccountId| {
            let limit = known.remove(&account).unwrap_or_default();
            (account, limit)
        };
        self.limits = accounts.into_iter().map(limit).collect();
    }

    pub(super) fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Sets what a limited account may use; returns whether it may use more than
    /// before.
    pub(super) fn set_allowance(&mut self, account: &AccountId, allowance: Allowance) -> bool {
        let Some(limit) = self.limits.get_mut(account) else { return false };
        let is_raised = !allowance.usable.fits_in(&limit.allowance.usable);
        limit.allowance = allowance;
        is_raised
    }

    /// Sets an upper bound of what runs that this controller cannot see take.
    pub(super) fn set_unseen(&mut self, unseen: Resources) {
        self.unseen = unseen;
    }

    /// Replaces the runs of ended or unwanted tasks that are being stopped.
    pub(super) fn set_orphans<'a, I>(&mut self, runs: I)
    where
        I: IntoIterator<Item = (&'a AccountId, Resources)>,
    {
        for limit in self.limits.values_mut() {
            limit.orphans = Resources::default();
        }
        for (account, need) in runs {
            if let Some(limit) = self.limits.get_mut(account) {
                limit.orphans = limit.orphans.plus(&need);
            }
        }
    }

    /// Returns what all runs of an account take, including those that this
    /// controller cannot see.
    fn running(&self, account: &AccountId, limit: &AccountLimit) -> Resources {
        // A previous controller started no more than its share allowed.
        let found = limit.adopted.plus(&limit.orphans);
        let unseen = limit.allowance.inherited.minus(&found).smaller(&self.unseen);
        self.usage(account).taken.plus(&limit.orphans).plus(&unseen)
    }

    /// Records that a run of a previous controller was found.
    pub(super) fn note_adopted(&mut self, account: &AccountId, need: &Resources) {
        if let Some(limit) = self.limits.get_mut(account) {
            limit.adopted = limit.adopted.plus(need);
        }
    }

    /// Returns whether an account's limit allows a start.
    pub(super) fn may_start(&self, account: &AccountId, need: &Resources) -> bool {
        self.limits.get(account).is_none_or(|limit| {
            self.running(account, limit).plus(need).fits_in(&limit.allowance.usable)
        })
    }

    /// Begins a placement round.
    pub(super) fn begin_round(&mut self) {
        for limit in self.limits.values_mut() {
            (limit.blocked, limit.unit) = (Resources::default(), Resources::default());
        }
    }

    /// Counts tasks that the limit blocks; `unit` is the need of one of them, or
    /// of a whole gang.
    pub(super) fn note_blocked(&mut self, account: &AccountId, unit: &Resources, count: u64) {
        let Some(limit) = self.limits.get_mut(account) else { return };
        let is_first = limit.unit == Resources::default();
        if is_first || unit.fits_in(&limit.unit) {
            limit.unit = *unit;
        }
        limit.blocked = limit.blocked.plus(&unit.times(count));
    }

    /// Returns whether any task was blocked in this round.
    pub(super) fn has_blocked(&self) -> bool {
        self.limits.values().any(|limit| limit.blocked != Resources::default())
    }

    /// Ends a placement round: tasks for which the pool has no room could not
    /// have started. `free` is the unused capacity of all workers.
    pub(super) fn end_round(&mut self, free: &Resources) {
        for limit in self.limits.values_mut() {
            let could_start = limit.blocked.smaller(free);
            let fits = limit.unit.fits_in(&could_start);
            limit.blocked = if fits { could_start } else { Resources::default() };
        }
    }

    /// Returns whether an account's limit, not only the pool's share of it,
    /// blocks the account's waiting tasks.
    pub(super) fn is_limit_reached(&self, account: &AccountId) -> bool {
        self.limits.get(account).is_some_and(|limit| limit.allowance.is_limit_reached)
    }

    /// Returns what a limited account takes and wants.
    pub(super) fn demand(&self, account: &AccountId) -> AccountDemand {
        let Some(limit) = self.limits.get(account) else { return AccountDemand::default() };
        let running = self.running(account, limit);
        AccountDemand { running, blocked: limit.blocked, unit: limit.unit }
    }
}
