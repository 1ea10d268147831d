//! Tests of record updates with lost replies and concurrent writers.

use serde::{Deserialize, Serialize};

use super::{RecordUpdate, Stored, UpdateFailure, UpdateStep};
use crate::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        ids::{OperationId, RecordVersion},
        records::RecentOperations,
    },
};

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Counter {
    value: u32,
    operations: RecentOperations,
}

const OPERATION: OperationId = OperationId(7);

fn update() -> RecordUpdate<Counter, impl Fn(&Counter) -> RecentOperations> {
    RecordUpdate::new("counter", OPERATION, |counter: &Counter| counter.operations.clone())
}

fn stored(counter: &Counter, version: u64) -> KeyValue {
    KeyValue {
        key: "counter".into(),
        value: serde_json::to_vec(counter).expect("encodes").into(),
        version: RecordVersion(version),
    }
}

fn incremented(counter: &Counter) -> Counter {
    let mut next = counter.clone();
    next.value += 1;
    next.operations.push(OPERATION);
    next
}

/// Guards against writing twice when the first write took effect and its reply
/// was lost.
#[test]
fn lost_reply_of_effective_write_is_found_by_operation_id() {
    let mut update = update();
    update.start();
    let before = Counter::default();
    let step = update.on_result(Ok(StoreReply::Value(Some(stored(&before, 3)))));
    assert!(matches!(step, UpdateStep::Decide(Some(_))));
    let after = incremented(&before);
    update.write(after.clone());
    let step = update.on_result(Err(StoreError::Unknown));
    assert!(matches!(step, UpdateStep::Send(StoreRequest::Get { .. })));
    let step = update.on_result(Ok(StoreReply::Value(Some(stored(&after, 4)))));
    assert_eq!(step, UpdateStep::Done(Stored { record: after, version: RecordVersion(4) }));
}

/// Guards against overwriting a concurrent change: after a conflict the update
/// decides again on the present record and swaps against its version.
#[test]
fn conflict_decides_again_on_present_state() {
    let mut update = update();
    update.start();
    update.on_result(Ok(StoreReply::Value(None)));
    update.write(incremented(&Counter::default()));
    let concurrent = Counter { value: 10, ..Counter::default() };
    let step = update.on_result(Ok(StoreReply::Conflict(Some(stored(&concurrent, 9)))));
    assert!(matches!(step, UpdateStep::Decide(Some(Stored { version: RecordVersion(9), .. }))));
    match update.write(incremented(&concurrent)) {
        UpdateStep::Send(StoreRequest::CompareAndSwap { expected, .. }) => {
            assert_eq!(expected, RecordVersion(9));
        }
        other => panic!("expected a swap, got {other:?}"),
    }
}

/// Guards against reporting that an update had no effect when its reply and the
/// read-back were lost, so that it may have taken effect.
#[test]
fn failed_read_back_is_reported_as_unknown() {
    let mut update = update();
    update.start();
    update.on_result(Ok(StoreReply::Value(None)));
    update.write(incremented(&Counter::default()));
    update.on_result(Err(StoreError::Unknown));
    let step = update.on_result(Err(StoreError::NotSent));
    assert_eq!(step, UpdateStep::Failed(UpdateFailure::Unknown));
}
