//! Tests of the store: a stand-in that is more lenient than the platform's store
//! hides faults of the library.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use hyper::Method;
use serde_json::{Value, json};
use tamarackproxy::{
    protocol::store::{StoreError, StoreReply, StoreRequest},
    state::ids::{DataCentreId, LeaseId, RecordVersion},
};

use super::{CallLimits, StoreServer, StoreState};
use crate::{
    clock::Clock,
    net::{Call, call},
};

fn swap(key: &str, expected: u64, lease: Option<u64>) -> StoreRequest {
    StoreRequest::CompareAndSwap {
        key: key.into(),
        expected: RecordVersion(expected),
        value: "value".into(),
        lease: lease.map(LeaseId),
    }
}

/// Guards against a store on which two writers of one version both succeed.
#[test]
fn second_swap_of_one_version_conflicts() {
    let mut store = StoreState::new(1);
    assert_eq!(store.call(0, &swap("a", 0, None)), Ok(StoreReply::Swapped(RecordVersion(2))));
    let reply = store.call(0, &swap("a", 0, None)).expect("replies");
    assert!(matches!(reply, StoreReply::Conflict(Some(_))), "{reply:?}");
}

/// Guards against leases that never expire, which would hide lost seats.
#[test]
fn keys_are_removed_when_their_lease_expires() {
    let mut store = StoreState::new(1);
    store.call(0, &StoreRequest::GrantLease { ttl_ms: 1_000 }).expect("grants");
    store.call(0, &swap("a", 0, Some(1))).expect("swaps");
    store.call(900, &StoreRequest::KeepAlive { lease: LeaseId(1) }).expect("renews");
    let get = StoreRequest::Get { key: "a".into() };
    assert!(matches!(store.call(1_899, &get), Ok(StoreReply::Value(Some(_)))));
    assert_eq!(store.call(1_900, &get), Ok(StoreReply::Value(None)));
    let renewal = store.call(1_900, &StoreRequest::KeepAlive { lease: LeaseId(1) });
    assert_eq!(renewal, Ok(StoreReply::LeaseLost));
}

/// Guards against lost replies whose write did not take effect, which would
/// leave the read after an unknown outcome untested.
#[test]
fn lost_reply_leaves_the_write_in_effect() {
    let mut store = StoreState::new(1);
    store.faults.lost_reply_share = 1.0;
    assert_eq!(store.call(0, &swap("a", 0, None)), Err(StoreError::Unknown));
    assert!(store.get(b"a").is_some());
    assert_eq!(store.counts().lost_replies, 1);
}

/// Guards against a store that accepts more calls than the platform's.
#[test]
fn calls_above_the_limit_are_refused_within_one_second() {
    let limits = CallLimits { reads_per_s: 2, writes_per_s: 1 };
    let mut store = StoreState::new(1).with_limits(limits);
    let get = StoreRequest::Get { key: "a".into() };
    assert!(store.call(0, &swap("a", 0, None)).is_ok());
    assert_eq!(store.call(999, &swap("b", 0, None)), Err(StoreError::Throttled));
    assert!(store.call(1_000, &swap("b", 0, None)).is_ok());
    assert!(store.call(0, &get).is_ok() && store.call(0, &get).is_ok());
    assert_eq!(store.call(0, &get), Err(StoreError::Throttled));
    assert_eq!(store.counts().throttled, 2);
}

/// Guards against a restore that keeps newer state or hides it from the
/// verdict.
#[test]
fn restore_returns_to_older_revision_and_keeps_undone_changes() {
    let mut store = StoreState::new(1);
    store.call(0, &swap("a", 0, None)).expect("swaps");
    let snapshot = store.snapshot();
    store.call(0, &swap("b", 0, None)).expect("swaps");
    store.restore(snapshot);
    assert_eq!(store.revision(), 2);
    assert!(store.get(b"a").is_some() && store.get(b"b").is_none());
    assert_eq!(store.undone().len(), 1);
}

/// Guards against pages that skip or repeat keys.
#[test]
fn list_continues_after_the_last_key() {
    let mut store = StoreState::new(1);
    for key in ["p/a", "p/b", "p/c", "q"] {
        store.put(0, key.as_bytes(), "".into(), None).expect("puts");
    }
    let page = |store: &mut StoreState, after: Option<&str>| {
        let request =
            StoreRequest::List { prefix: "p/".into(), after: after.map(Into::into), limit: 2 };
        match store.call(0, &request) {
            Ok(StoreReply::Values { items, more }) => {
                (items.iter().map(|item| item.key.to_string()).collect::<Vec<_>>(), more)
            }
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(page(&mut store, None), (vec!["p/a".into(), "p/b".into()], true));
    assert_eq!(page(&mut store, Some("p/b")), (vec!["p/c".into()], false));
}

async fn post(server: &StoreServer, path: &str, body: Value) -> (u16, Value) {
    let address = server.address(&DataCentreId::new("a")).expect("listens");
    let request = Call::new(address, Method::POST, path).with_body(body.to_string());
    let reply = call(request).await.expect("replies");
    (reply.status.as_u16(), serde_json::from_slice(&reply.body).expect("is JSON"))
}

/// Guards against a gateway whose messages differ from the published format.
#[tokio::test]
async fn gateway_swaps_reads_and_reports_as_published() {
    let address = "127.77.0.2:0".parse().expect("is an address");
    let store = StoreServer::start(
        StoreState::new(1),
        &[(DataCentreId::new("a"), address)],
        Clock::start(),
    )
    .await
    .expect("starts");
    let key = STANDARD.encode("host/h1");
    let transaction = json!({
        "compare": [{ "result": "EQUAL", "target": "MOD", "key": key, "mod_revision": "0" }],
        "success": [{ "request_put": { "key": key, "value": STANDARD.encode("v") } }],
        "failure": [{ "request_range": { "key": key } }],
    });
    let (status, reply) = post(&store, "/v3/kv/txn", transaction.clone()).await;
    assert_eq!((status, &reply["succeeded"]), (200, &json!(true)));
    assert_eq!(reply["header"]["revision"], "2");
    let (_, reply) = post(&store, "/v3/kv/txn", transaction).await;
    assert_eq!(reply.get("succeeded"), None);
    let found = &reply["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(
        (&found["mod_revision"], &found["value"]),
        (&json!("2"), &json!(STANDARD.encode("v")))
    );
    let range = json!({ "key": STANDARD.encode("host/"), "range_end": STANDARD.encode("host0") });
    let (_, reply) = post(&store, "/v3/kv/range", range.clone()).await;
    assert_eq!(reply["count"], "1");
    let (_, reply) = post(&store, "/v3/kv/deleterange", range).await;
    assert_eq!(reply["deleted"], "1");
    let (status, _) = post(&store, "/v3/lease/revoke", json!({ "ID": "9" })).await;
    assert_eq!(status, 404);
    let (_, reply) = post(&store, "/v3/lease/keepalive", json!({ "ID": "9" })).await;
    assert_eq!(reply["result"].get("TTL"), None);
}

/// Guards against a data centre that reaches the store despite a partition.
#[tokio::test]
async fn partition_closes_the_listener_of_one_data_centre_only() {
    let any_port = || "127.77.0.3:0".parse().expect("is an address");
    let names = ["a", "b"].map(DataCentreId::new);
    let addresses = names.clone().map(|name| (name, any_port()));
    let store =
        StoreServer::start(StoreState::new(1), &addresses, Clock::start()).await.expect("starts");
    let read = |name: &DataCentreId| {
        let address = store.address(name).expect("listens");
        call(Call::new(address, Method::POST, "/v3/kv/range").with_body(r#"{"key":"YQ=="}"#))
    };
    store.set_partitioned(&names[0], true);
    tokio::task::yield_now().await;
    assert!(read(&names[0]).await.is_err());
    assert!(read(&names[1]).await.is_ok());
}
