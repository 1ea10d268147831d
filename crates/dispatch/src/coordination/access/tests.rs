//! Tests of the decision which client account a request acts for.

use rstest::rstest;
use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{AccountId, PoolId, QueueId},
};

use super::{AccessError, Caller, ConfigurationAge, check};
use crate::state::{AccountSettings, Accounts, KeyHasher, QueueSettings, ServingDocument};

fn account(hasher: &KeyHasher, name: &str, keys: &[&str]) -> AccountSettings {
    AccountSettings {
        account: AccountId::new(name),
        keys: keys.iter().map(|key| hasher.digest(key)).collect(),
        weight: 1.0,
        limit: Resources::default(),
    }
}

fn document(accounts: Vec<AccountSettings>) -> ServingDocument {
    ServingDocument { accounts: Some(Accounts::new(accounts)), ..ServingDocument::default() }
}

fn queue(is_public: bool) -> QueueSettings {
    QueueSettings {
        queue: QueueId::new("q"),
        authority: "a.example".into(),
        path_prefix: "/q/".into(),
        pool: PoolId::new("p"),
        priority: 0,
        attempts_max: 2,
        stretch: 1.6,
        objective_ms: 600,
        advice: None,
        is_public,
    }
}

const CURRENT: ConfigurationAge =
    ConfigurationAge { now_ms: 10_000, confirmed_ms: 9_000, revocation_ms: Some(5_000) };

/// Guards against requests that run under a key which no configuration holds,
/// and against keys that are mistaken for another account's.
#[rstest]
#[case(Some("a1"), Ok(Some("a")))]
#[case(Some("b1"), Ok(Some("b")))]
#[case(Some("c1"), Err(AccessError::Unauthorized))]
#[case(None, Err(AccessError::Unauthorized))]
fn key_selects_the_account(
    #[case] key: Option<&str>,
    #[case] expected: Result<Option<&str>, AccessError>,
) {
    let hasher = KeyHasher::default();
    let document =
        document(vec![account(&hasher, "a", &["a1", "a2"]), account(&hasher, "b", &["b1"])]);
    let digest = key.map(|key| hasher.digest(key));
    let found = check(&document, &queue(false), digest.as_ref(), CURRENT);
    let found = found.map(|caller| caller.account().map(|account| account.as_str().to_owned()));
    assert_eq!(found, expected.map(|account| account.map(str::to_owned)));
}

/// Guards against a deployment without accounts, or a public queue, that asks
/// callers for a key or stops when the store is away.
#[rstest]
fn public_queue_needs_neither_key_nor_store(#[values(true, false)] has_accounts: bool) {
    let hasher = KeyHasher::default();
    let mut document = document(vec![account(&hasher, "a", &["a1"])]);
    document.accounts = document.accounts.filter(|_| has_accounts);
    let age = ConfigurationAge { now_ms: 60_000, ..CURRENT };
    assert_eq!(check(&document, &queue(has_accounts), None, age), Ok(Caller::Public));
}

/// Guards against a withdrawn key that goes on at a process without the store:
/// it must stop well before 5,000 ms after the last confirmation. A new key must
/// not be called unknown by an outdated configuration.
#[rstest]
#[case(11_999, None)]
#[case(12_000, Some(AccessError::Unconfirmed))]
#[case(60_000, Some(AccessError::Unconfirmed))]
fn keys_stop_when_the_configuration_is_not_confirmed(
    #[case] now_ms: u64,
    #[case] expected: Option<AccessError>,
    #[values("a1", "new")] key: &str,
) {
    let hasher = KeyHasher::default();
    let document = document(vec![account(&hasher, "a", &["a1"])]);
    let age = ConfigurationAge { now_ms, ..CURRENT };
    let error = check(&document, &queue(false), Some(&hasher.digest(key)), age).err();
    let unknown = (key == "new").then_some(AccessError::Unauthorized);
    assert_eq!(error, expected.or(unknown));
}

/// Guards against a key in two accounts that lets the callers of one act for the
/// other.
#[test]
fn key_of_two_accounts_is_accepted_for_neither() {
    let hasher = KeyHasher::default();
    let accounts = vec![account(&hasher, "a", &["x", "a1"]), account(&hasher, "b", &["x"])];
    let document = document(accounts);
    let check = |key| check(&document, &queue(false), Some(&hasher.digest(key)), CURRENT);
    assert_eq!(check("x"), Err(AccessError::Unauthorized));
    assert_eq!(check("a1"), Ok(Caller::Account(AccountId::new("a"))));
}

/// Guards against a configuration whose accounts are all withdrawn and which
/// then serves everybody.
#[test]
fn empty_list_of_accounts_accepts_no_key() {
    let digest = KeyHasher::default().digest("a1");
    let found = check(&document(Vec::new()), &queue(false), Some(&digest), CURRENT);
    assert_eq!(found, Err(AccessError::Unauthorized));
}

/// Guards against an account that reads or cancels another account's job.
#[test]
fn another_accounts_job_is_hidden() {
    let caller = Caller::Account(AccountId::new("a"));
    assert!(caller.may_see(Some(&AccountId::new("a"))) && caller.may_see(None));
    assert!(!caller.may_see(Some(&AccountId::new("b"))));
}

/// Guards against keys in log lines and error texts.
#[test]
fn debug_output_hides_digests() {
    let hasher = KeyHasher::default();
    let text = format!("{:?}", account(&hasher, "a", &["secret-key"]));
    assert!(text.contains("KeyDigest(..)") && !text.contains("secret"), "{text}");
}

/// Guards against a limit that is applied later than `config_apply_ms` after it
/// fell, because the age of the configuration counts from a later time than the
/// sending of its last read.
#[test]
fn age_of_the_configuration_is_bounded() {
    let age = ConfigurationAge { now_ms: 12_999, confirmed_ms: 10_000, revocation_ms: None };
    assert!(age.is_within(3_000));
    assert!(!ConfigurationAge { now_ms: 13_000, ..age }.is_within(3_000));
}
