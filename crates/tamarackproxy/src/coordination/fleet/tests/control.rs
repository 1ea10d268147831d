//! Tests of control leases.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    coordination::fleet::control::{CONTROL_LEASE_MS, ControlLease},
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        ids::{EntryId, LeaseId, RecordVersion, Term},
        records::ControlTermRecord,
    },
};

const LEASE: StoreReply = StoreReply::Lease { lease: LeaseId(1), ttl_ms: CONTROL_LEASE_MS };

fn at(ms: u64) -> ClockReading {
    ClockReading::new(ms, ms)
}

fn term_value(term: u64) -> StoreReply {
    let record = ControlTermRecord { term: Term(term), ..ControlTermRecord::default() };
    StoreReply::Value(Some(KeyValue {
        key: "control-term/p".into(),
        value: serde_json::to_vec(&record).expect("encodes").into(),
        version: RecordVersion(7),
    }))
}

/// Answers the calls of a candidate that finds the lease vacant; returns the
/// lease after the last reply.
fn acquire(confirmed_term: u64) -> (ControlLease, ChaCha8Rng) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut lease = ControlLease::new("p", EntryId::new("e1"));
    let replies = [
        StoreReply::Value(None),
        term_value(4),
        StoreReply::Swapped(RecordVersion(8)),
        LEASE,
        StoreReply::Swapped(RecordVersion(9)),
        term_value(confirmed_term),
    ];
    let mut request = lease.tick(at(0), &mut rng);
    for reply in replies {
        assert!(request.is_some());
        request = lease.on_store_reply(at(0), 0, Ok(reply), &mut rng);
    }
    (lease, rng)
}

/// Guards against a holder that reuses a term, so that writes of the previous
/// holder would be accepted as its own.
#[test]
fn one_pool_control_takes_the_term_after_the_last() {
    let (lease, _) = acquire(5);
    assert_eq!(lease.held(), Some(Term(5)));
}

/// Guards against terms of holders that decrease: a candidate creates the key
/// after another one took a higher term, and must revoke its lease.
#[test]
fn one_pool_control_is_given_up_when_a_later_term_was_taken() {
    let (lease, _) = acquire(6);
    assert_eq!(lease.held(), None);
}

/// Guards against a paused holder that acts on an expired lease.
#[test]
fn one_pool_control_ends_by_the_holders_own_clock() {
    let (mut lease, mut rng) = acquire(5);
    assert_eq!(lease.held_at(CONTROL_LEASE_MS - 1), None);
    let renewal = lease.tick(at(3_000), &mut rng);
    assert_eq!(renewal, Some(StoreRequest::KeepAlive { lease: LeaseId(1) }));
    lease.on_store_reply(at(3_010), 3_000, Err(StoreError::Unknown), &mut rng);
    assert_eq!(lease.held_at(8_000), Some(Term(5)));
    lease.tick(at(9_000), &mut rng);
    assert_eq!(lease.held(), None);
}
