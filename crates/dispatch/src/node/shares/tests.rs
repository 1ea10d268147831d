//! Tests of the store calls of a pool's shares.

use bytes::Bytes;
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError},
    state::ids::RecordVersion,
};

use super::{
    super::{
        fake::{Workers, block_on, shared},
        keys::{share_result, share_transaction},
        platform::{Listing, TransactionReply},
    },
    *,
};
use crate::{
    coordination::{
        pool::{PoolControl, PoolTiming},
        shares::ShareWrite,
    },
    state::{ShareRecord, encode},
};

fn fence() -> Fence {
    Fence::new("pool-p", RecordVersion(5))
}

fn item(key: &str, version: u64, value: Bytes) -> KeyValue {
    KeyValue { key: key.into(), value, version: RecordVersion(version) }
}

fn record() -> Bytes {
    encode(&ShareRecord::default()).expect("the record can be encoded").into()
}

/// Guards against a raise that does not depend on control of the pool, on the
/// pool's share and on the last raise of any pool.
#[test]
fn raise_depends_on_control_share_and_last_raise() {
    let write = ShareWrite {
        record: ShareRecord::default(),
        version: RecordVersion(7),
        raise: Some(RecordVersion(8)),
        abandoned: vec![(PoolId::new("old"), RecordVersion(9))],
    };
    let transaction = share_transaction(&fence(), &PoolId::new("p"), &write);
    let transaction = transaction.expect("the record can be encoded");
    let conditions = [
        ("control/pool-p", 5),
        ("account-shares/p", 7),
        ("account-shares/-raise", 8),
        ("account-shares/old", 9),
        // The removed pool must have no controller.
        ("control/pool-old", 0),
    ];
    let expected = conditions.map(|(key, version)| (key.into(), RecordVersion(version)));
    assert_eq!(transaction.expected, expected);
    let written: Vec<&str> = transaction.put.iter().map(|(key, _)| &**key).collect();
    assert_eq!(written, ["account-shares/p", "account-shares/-raise"]);
    assert_eq!(transaction.remove, ["account-shares/old".into()]);
}

/// Guards against a lowering that fails because another pool raised its share.
#[test]
fn lowering_does_not_depend_on_other_pools() {
    let write = ShareWrite {
        record: ShareRecord::default(),
        version: RecordVersion(0),
        raise: None,
        abandoned: Vec::new(),
    };
    let transaction = share_transaction(&fence(), &PoolId::new("p"), &write);
    let transaction = transaction.expect("the record can be encoded");
    assert_eq!(transaction.expected.len(), 2);
    assert_eq!(transaction.put.len(), 1);
}

/// Guards against a listing that leaves out a share which cannot be decoded:
/// another pool would use the same part of the limit.
#[test]
fn listing_with_an_unreadable_share_is_not_used() {
    let mut listing = Listing {
        items: vec![
            item("account-shares/-raise", 3, Bytes::new()),
            item("account-shares/p", 4, record()),
        ],
        as_of: RecordVersion(4),
    };
    let listed = listed_shares(&listing).expect("the records can be decoded");
    assert_eq!(listed.raise, RecordVersion(3));
    assert_eq!(listed.pools[&PoolId::new("p")].0, RecordVersion(4));
    listing.items.push(item("account-shares/q", 5, Bytes::from_static(b"?")));
    assert_eq!(listed_shares(&listing), None);
}

/// Guards against a write without a reply that counts as failed, and against a
/// lost lease that counts as a conflict.
#[test]
fn results_tell_what_may_still_take_effect() {
    let conflict = |version| {
        let item = item("control/pool-p", version, Bytes::new());
        share_result(&fence(), Ok(TransactionReply::Conflict(vec![item])))
    };
    assert_eq!(conflict(5), ShareWriteResult::Conflict);
    assert_eq!(conflict(6), ShareWriteResult::OldTerm);
    assert_eq!(share_result(&fence(), Err(StoreError::Unknown)), ShareWriteResult::Unknown);
    assert_eq!(share_result(&fence(), Err(StoreError::NotSent)), ShareWriteResult::NotWritten);
}

/// Guards against calls of a controller in a deployment without limits.
#[test]
fn nothing_is_called_without_limits() {
    block_on(async {
        let shared = shared(Workers::default());
        let pool = PoolId::new("p");
        let mut shares = Shares::new(shared, pool.clone(), Rc::new(fence()));
        let control = PoolControl {
            pool,
            term: tamarackproxy::state::ids::Term(1),
            since: RecordVersion(5),
            predecessor_until_ms: 0,
        };
        let mut engine = PoolEngine::new(control, PoolTiming::new(10_000, 1_000));
        shares.set_document(&mut engine, &ServingDocument::default());
        shares.sync(&mut engine);
        assert_eq!(shares.step(), None);
        assert_eq!(shares.next_step_ms(), None);
    });
}
