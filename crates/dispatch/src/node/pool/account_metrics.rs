//! Metrics of the client accounts in a pool.

use std::collections::HashSet;

use tamarackproxy::state::ids::{AccountId, PoolId};

use crate::coordination::pool::AccountStatus;

/// Interval at which the metrics are set, in milliseconds: collectors read them
/// every few seconds.
const INTERVAL_MS: u64 = 1_000;

/// Sets the gauges of the accounts with work in a pool. Those of an account
/// without work, and all of them once control of the pool ends, are 0.
#[derive(Debug)]
pub(super) struct AccountMetrics {
    pool: PoolId,
    /// Accounts whose gauges may differ from 0.
    shown: HashSet<AccountId>,
    due_ms: u64,
}

impl AccountMetrics {
    pub(super) fn new(pool: PoolId) -> Self {
        Self { pool, shown: HashSet::new(), due_ms: 0 }
    }

    /// Returns whether the gauges are to be set, at most once for each interval.
    pub(super) fn take_due(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.due_ms;
        if is_due {
            self.due_ms = now_ms + INTERVAL_MS;
        }
        is_due
    }

    pub(super) fn set(&mut self, shares: &[AccountStatus]) {
        let active: HashSet<AccountId> = shares.iter().map(|share| share.account.clone()).collect();
        for account in self.shown.difference(&active) {
            self.set_account(&AccountStatus::idle(account.clone()));
        }
        shares.iter().for_each(|share| self.set_account(share));
        self.shown = active;
    }

    fn set_account(&self, share: &AccountStatus) {
        let set = |name: &'static str, value: f64| {
            let labels = [("pool", self.pool.to_string()), ("account", share.account.to_string())];
            metrics::gauge!(name, &labels).set(value);
        };
        set("account_running", share.running.into());
        set("account_waiting", share.waiting.into());
        set("account_entitlement", share.entitlement);
        set("account_above_entitlement", u8::from(share.is_above).into());
        set("account_delayed", u8::from(share.is_delayed).into());
    }
}

impl Drop for AccountMetrics {
    /// Another process sets the gauges once this one no longer controls the pool.
    fn drop(&mut self) {
        self.set(&[]);
    }
}
