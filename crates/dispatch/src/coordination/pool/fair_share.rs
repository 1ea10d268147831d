//! Fair share of a full pool among client accounts.
//!
//! Load pattern: one account floods a pool at several times its usual rate while
//! the other accounts go on as before. Waiting work of accounts that take less
//! than they are entitled to goes before that of accounts that take more, so
//! that the flood waits for itself and delays the others by about one task.

use hashbrown::HashMap;
use tamarackproxy::{coordination::jobs::Resources, state::ids::AccountId};

use super::accounts::AccountUse;

/// Weight of an account that the configuration does not list or gives no
/// positive weight. Its accepted jobs still run, and every controller must derive
/// the same weight, whichever configurations it has seen.
const DEFAULT_WEIGHT: f64 = 1.0;

/// An account's use of the pool relative to its entitlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// Takes less than its entitlement, or is not subject to one.
    Below,
    /// Takes its entitlement or more.
    Above,
}

/// Weights of the client accounts and their entitlements in the current
/// placement round.
#[derive(Debug, Default)]
pub(super) struct FairShare {
    weights: HashMap<AccountId, f64>,
    /// Accounts with running or waiting work, with their weights.
    active: HashMap<AccountId, f64>,
    total_weight: f64,
    /// Resources that the accounts share.
    capacity: Resources,
}

impl FairShare {
    /// Replaces the accounts and their weights.
    pub(super) fn set_weights<I>(&mut self, weights: I)
    where
        I: IntoIterator<Item = (AccountId, f64)>,
    {
        let usable = |weight: f64| weight.is_finite() && weight > 0.0;
        self.weights = (weights.into_iter())
            .map(|(account, weight)| {
                (account, if usable(weight) { weight } else { DEFAULT_WEIGHT })
            })
            .collect();
        if self.weights.is_empty() {
            self.active.clear();
        }
    }

    /// Returns whether the pool is shared between accounts.
    pub(super) fn is_enabled(&self) -> bool {
        !self.weights.is_empty()
    }

    /// Computes the entitlements of the accounts with running or waiting work;
    /// an account may be listed several times.
    pub(super) fn begin_round<'a, I>(&mut self, capacity: Resources, accounts: I)
    where
        I: IntoIterator<Item = &'a AccountId>,
    {
        self.capacity = capacity;
        self.active.clear();
        for account in accounts {
            if !self.active.contains_key(account) {
                let weight = self.weights.get(account).copied().unwrap_or(DEFAULT_WEIGHT);
                self.active.insert(account.clone(), weight);
            }
        }
        self.total_weight = self.active.values().sum();
    }

    /// Returns the part of the pool's capacity that is taken, by the dominant
    /// resource.
    fn taken(&self, used: &AccountUse) -> f64 {
        let part = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let (taken, whole) = (&used.taken, &self.capacity);
        part(taken.cpu_millicores, whole.cpu_millicores)
            .max(part(taken.memory_bytes, whole.memory_bytes))
            .max(part(taken.accelerators.into(), whole.accelerators.into()))
    }

    /// Compares an account's use with its entitlement.
    pub(super) fn standing(&self, account: &AccountId, used: &AccountUse) -> Standing {
        match self.active.get(account) {
            Some(weight) if self.taken(used) * self.total_weight >= *weight => Standing::Above,
            Some(_) | None => Standing::Below,
        }
    }
}
