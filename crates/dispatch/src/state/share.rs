//! Records of the pools' shares of client accounts' limits.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tamarackproxy::{coordination::jobs::Resources, state::ids::AccountId};

/// Part of an account's limit that a pool holds and wants. Resources without a
/// limit are 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Part that the pool's controller may use.
    pub held: Resources,
    /// What runs, and what could start now if the limit allowed it.
    pub wanted: Resources,
}

/// Value of `account-shares/<pool>`. Accounts of which the pool neither holds
/// nor wants anything are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRecord {
    /// Shares by account.
    pub accounts: BTreeMap<AccountId, AccountShare>,
}

impl ShareRecord {
    /// Returns the share of an account.
    pub fn share(&self, account: &AccountId) -> AccountShare {
        self.accounts.get(account).copied().unwrap_or_default()
    }
}
