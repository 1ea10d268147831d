//! What the tasks of each client account take in the pool.

use hashbrown::HashMap;
use tamarackproxy::{coordination::jobs::Resources, state::ids::AccountId};

/// Use of the pool by one client account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AccountUse {
    /// Declared needs of all runs that may exist.
    pub(super) taken: Resources,
    /// Runs that may exist.
    pub(super) runs: u32,
}

/// Use of the pool by each client account, charged for each run from its start
/// order until it has certainly ended.
#[derive(Debug, Default)]
pub(super) struct AccountLedger {
    accounts: HashMap<AccountId, AccountUse>,
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
}
