//! Decides which client account a request acts for.
//!
//! Load pattern: keys are added and withdrawn while callers send on open
//! connections, also through processes that no longer reach the store. Each
//! request is checked against the configuration in force and its age.

use tamarackproxy::state::ids::AccountId;

use crate::state::{KeyDigest, QueueSettings, ServingDocument};

/// Part of the time within which a withdrawn key must stop for which a
/// configuration counts as current, in percent. The rest covers watches that
/// report a change late, clock drift, and requests that were sent before they
/// are checked.
const CURRENT_PERCENT: u64 = 60;

/// Account that a request acts for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The queue is public, so the request acts for no account.
    Public,
    /// The account whose key was sent.
    Account(AccountId),
}

impl Caller {
    /// Returns the account.
    pub fn account(&self) -> Option<&AccountId> {
        match self {
            Self::Public => None,
            Self::Account(account) => Some(account),
        }
    }

    /// Returns whether the caller may see and cancel a job of `owner`.
    pub fn may_see(&self, owner: Option<&AccountId>) -> bool {
        match self {
            // Callers of a public queue are not told apart; only who submitted a
            // job knows its number.
            Self::Public => true,
            Self::Account(account) => owner.is_none_or(|owner| owner == account),
        }
    }
}

/// Reasons why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessError {
    /// The key is missing, malformed or unknown.
    Unauthorized,
    /// The configuration may be outdated, so the key may have been withdrawn.
    Unconfirmed,
}

/// Times that decide whether the configuration is current, on the local clock,
/// which counts suspension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationAge {
    /// Time now, in milliseconds.
    pub now_ms: u64,
    /// When the last successful read of the configuration was sent, in
    /// milliseconds.
    pub confirmed_ms: u64,
    /// Time within which a withdrawn key must stop even without the store, in
    /// milliseconds; none if nothing demands that.
    pub revocation_ms: Option<u64>,
}

impl ConfigurationAge {
    /// Returns whether every change that is older than `bound_ms` is known.
    pub fn is_within(&self, bound_ms: u64) -> bool {
        self.now_ms < self.confirmed_ms + bound_ms
    }

    /// Returns whether no key can have been withdrawn for so long that it must
    /// have stopped.
    pub fn is_current(&self) -> bool {
        self.revocation_ms.is_none_or(|revocation_ms| {
            self.now_ms < self.confirmed_ms + revocation_ms * CURRENT_PERCENT / 100
        })
    }
}

/// Returns the account that a request to `queue` acts for.
///
/// # Errors
///
/// Returns why the request must not be served.
pub fn check(
    document: &ServingDocument,
    queue: &QueueSettings,
    key: Option<&KeyDigest>,
    age: ConfigurationAge,
) -> Result<Caller, AccessError> {
    let Some(accounts) = document.accounts.as_ref().filter(|_| !queue.is_public) else {
        return Ok(Caller::Public);
    };
    // An unknown key may have been added since an outdated configuration.
    if !age.is_current() {
        return Err(AccessError::Unconfirmed);
    }
    let account = key.and_then(|key| accounts.by_key(key)).ok_or(AccessError::Unauthorized)?;
    Ok(Caller::Account(account.account.clone()))
}

#[cfg(test)]
mod tests;
