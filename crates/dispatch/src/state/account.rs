//! Client accounts: keys, weights and limits.

use std::fmt;

use hashbrown::HashMap;
use hmac::{Hmac, Mac};
use rand::RngCore;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tamarackproxy::{coordination::jobs::Resources, state::ids::AccountId};

const DIGEST_BYTES: usize = 32;

/// Keyed hash of a caller's key. The key cannot be recovered from it, and the
/// time of a comparison tells nothing about the key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A caller's key as it was sent. Its debug output hides it, and it has no other
/// way into a log line.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallerKey(Box<str>);

impl CallerKey {
    /// Creates the key from its text.
    pub fn new<T>(text: T) -> Self
    where
        T: Into<Box<str>>,
    {
        Self(text.into())
    }

    /// Returns the text, which must not be logged or stored.
    pub fn secret(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

/// Hashes callers' keys with a random key of this process, so that digests mean
/// nothing elsewhere.
pub struct KeyHasher([u8; DIGEST_BYTES]);

impl Default for KeyHasher {
    fn default() -> Self {
        let mut key = [0; DIGEST_BYTES];
        rand::rng().fill_bytes(&mut key);
        Self(key)
    }
}

impl KeyHasher {
    /// Returns the digest of a caller's key.
    pub fn digest(&self, key: &str) -> KeyDigest {
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.0) else {
            unreachable!("HMAC accepts keys of any length")
        };
        mac.update(key.as_bytes());
        KeyDigest(mac.finalize().into_bytes().into())
    }
}

/// Settings of a client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSettings {
    /// Name.
    pub account: AccountId,
    /// Digests of the keys that its callers may send.
    pub keys: Vec<KeyDigest>,
    /// Share of a full pool, relative to the weights of the other accounts.
    pub weight: f64,
    /// Most that the account's tasks may take over all pools; 0 means no limit
    /// of that resource.
    pub limit: Resources,
}

impl AccountSettings {
    /// Returns whether any resource is limited.
    pub fn is_limited(&self) -> bool {
        self.limit != Resources::default()
    }
}

/// The client accounts of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    accounts: Vec<AccountSettings>,
    by_key: HashMap<KeyDigest, usize>,
}

impl Accounts {
    /// Creates the accounts. A key that several accounts hold belongs to none of
    /// them, since it does not tell who calls.
    pub fn new(accounts: Vec<AccountSettings>) -> Self {
        let mut by_key = HashMap::new();
        let mut ambiguous = Vec::new();
        for (index, account) in accounts.iter().enumerate() {
            for &key in &account.keys {
                if by_key.insert(key, index).is_some_and(|other| other != index) {
                    log::error!(account = account.account.as_str();
                        "a key belongs to two accounts and is accepted for neither");
                    ambiguous.push(key);
                }
            }
        }
        for key in ambiguous {
            by_key.remove(&key);
        }
        Self { accounts, by_key }
    }

    /// Returns the account that a key belongs to.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&AccountSettings> {
        self.by_key.get(key).and_then(|&index| self.accounts.get(index))
    }

    /// Returns an account by name.
    pub fn find(&self, account: &AccountId) -> Option<&AccountSettings> {
        self.accounts.iter().find(|settings| settings.account == *account)
    }

    /// Lists the accounts.
    pub fn iter(&self) -> impl Iterator<Item = &AccountSettings> {
        self.accounts.iter()
    }
}
