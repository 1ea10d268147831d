//! JSON encoding of store calls: a subset of etcd's gRPC gateway, version 3.
//!
//! As in that gateway, keys and values are base64 and 64-bit numbers are decimal
//! strings.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde_json::{Value, json};

use super::store::{KeyValue, StoreError, StoreReply, StoreRequest, WatchEvent};
use crate::state::ids::{LeaseId, RecordVersion};

/// HTTP request of one call.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayCall {
    /// Path of the POST request.
    pub path: &'static str,
    /// JSON body.
    pub body: Value,
}

fn to_base64(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// Returns the exclusive end of the range of keys with the prefix; a single zero
/// byte stands for the end of the key space.
fn prefix_range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Encodes a call to the store.
pub fn encode(request: &StoreRequest) -> GatewayCall {
    match request {
        StoreRequest::Get { key } => {
            GatewayCall { path: "/v3/kv/range", body: json!({ "key": to_base64(key.as_bytes()) }) }
        }
        StoreRequest::List { prefix, after, limit } => {
            encode_list(prefix, after.as_deref(), *limit)
        }
        StoreRequest::CompareAndSwap { key, expected, value, lease } => {
            let mut put = json!({ "key": to_base64(key.as_bytes()), "value": to_base64(value) });
            if let Some(lease) = lease {
                put["lease"] = json!(lease.to_string());
            }
            encode_transaction(key, *expected, json!({ "request_put": put }))
        }
        StoreRequest::CompareAndDelete { key, expected } => {
            let delete = json!({ "key": to_base64(key.as_bytes()) });
            encode_transaction(key, *expected, json!({ "request_delete_range": delete }))
        }
        StoreRequest::GrantLease { ttl_ms } => GatewayCall {
            path: "/v3/lease/grant",
            body: json!({ "TTL": ttl_ms.div_ceil(1_000).to_string() }),
        },
        StoreRequest::KeepAlive { lease } => {
            GatewayCall { path: "/v3/lease/keepalive", body: json!({ "ID": lease.to_string() }) }
        }
        StoreRequest::RevokeLease { lease } => {
            GatewayCall { path: "/v3/lease/revoke", body: json!({ "ID": lease.to_string() }) }
        }
    }
}

fn encode_list(prefix: &str, after: Option<&str>, limit: u32) -> GatewayCall {
    let start = match after {
        Some(after) => [after.as_bytes(), &[0]].concat(),
        None => prefix.as_bytes().to_vec(),
    };
    let body = json!({
        "key": to_base64(&start),
        "range_end": to_base64(&prefix_range_end(prefix)),
        "limit": limit.to_string(),
    });
    GatewayCall { path: "/v3/kv/range", body }
}

fn encode_transaction(key: &str, expected: RecordVersion, operation: Value) -> GatewayCall {
    let key = to_base64(key.as_bytes());
    let compare = json!({
        "key": key,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": expected.to_string(),
    });
    let read = json!({ "request_range": { "key": key } });
    let body = json!({ "compare": [compare], "success": [operation], "failure": [read] });
    GatewayCall { path: "/v3/kv/txn", body }
}

/// Encodes the request that opens a watch on a prefix.
pub fn encode_watch(prefix: &str, from_version: u64) -> GatewayCall {
    let create = json!({
        "key": to_base64(prefix.as_bytes()),
        "range_end": to_base64(&prefix_range_end(prefix)),
        "start_revision": from_version.to_string(),
    });
    GatewayCall { path: "/v3/watch", body: json!({ "create_request": create }) }
}

fn malformed<M>(message: M) -> StoreError
where
    M: Into<Box<str>>,
{
    StoreError::Malformed(message.into())
}

fn parse_number(value: &Value) -> Option<u64> {
    match value {
        Value::String(text) => text.parse().ok(),
        other => other.as_u64(),
    }
}

fn decode_base64_field(value: &Value, field: &str) -> Result<Vec<u8>, StoreError> {
    let text = value[field].as_str().unwrap_or_default();
    BASE64_STANDARD.decode(text).map_err(|error| malformed(format!("{field}: {error}")))
}

fn key_value(value: &Value) -> Result<KeyValue, StoreError> {
    let key = String::from_utf8(decode_base64_field(value, "key")?)
        .map_err(|_| malformed("a key is not UTF-8"))?;
    Ok(KeyValue {
        key: key.into(),
        value: Bytes::from(decode_base64_field(value, "value")?),
        version: RecordVersion(parse_number(&value["mod_revision"]).unwrap_or(0)),
    })
}

fn key_values(range: &Value) -> Result<Vec<KeyValue>, StoreError> {
    range["kvs"].as_array().into_iter().flatten().map(key_value).collect()
}

/// Decodes the reply to `request`.
///
/// # Errors
///
/// Returns [`StoreError::Malformed`] if a required field is missing or invalid.
pub fn decode(request: &StoreRequest, body: &Value) -> Result<StoreReply, StoreError> {
    match request {
        StoreRequest::Get { .. } => Ok(StoreReply::Value(key_values(body)?.into_iter().next())),
        StoreRequest::List { .. } => {
            let more = body["more"].as_bool().unwrap_or(false);
            Ok(StoreReply::Values { items: key_values(body)?, more })
        }
        StoreRequest::CompareAndSwap { .. } | StoreRequest::CompareAndDelete { .. } => {
            decode_transaction(body)
        }
        StoreRequest::GrantLease { .. } => decode_lease(body),
        StoreRequest::KeepAlive { .. } => decode_lease(&body["result"]),
        StoreRequest::RevokeLease { .. } => Ok(StoreReply::Revoked),
    }
}

fn decode_transaction(body: &Value) -> Result<StoreReply, StoreError> {
    if body["succeeded"].as_bool().unwrap_or(false) {
        let revision = parse_number(&body["header"]["revision"])
            .ok_or_else(|| malformed("the header has no revision"))?;
        return Ok(StoreReply::Swapped(RecordVersion(revision)));
    }
    let range = &body["responses"][0]["response_range"];
    Ok(StoreReply::Conflict(key_values(range)?.into_iter().next()))
}

fn decode_lease(body: &Value) -> Result<StoreReply, StoreError> {
    let ttl_s = parse_number(&body["TTL"]).unwrap_or(0);
    match parse_number(&body["ID"]) {
        Some(lease) if ttl_s > 0 => {
            Ok(StoreReply::Lease { lease: LeaseId(lease), ttl_ms: ttl_s * 1_000 })
        }
        Some(_) => Ok(StoreReply::LeaseLost),
        None => Err(malformed("the lease has no ID")),
    }
}

/// Decodes one line of the response stream of a watch.
///
/// # Errors
///
/// Returns [`StoreError::Malformed`] if a key or value cannot be decoded.
pub fn decode_watch(line: &Value) -> Result<Vec<WatchEvent>, StoreError> {
    let result = &line["result"];
    if result["canceled"].as_bool().unwrap_or(false) {
        return Ok(vec![WatchEvent::Interrupted]);
    }
    let events = result["events"].as_array().into_iter().flatten();
    let decode_one = |event: &Value| {
        let item = key_value(&event["kv"])?;
        Ok(match event["type"].as_str() {
            Some("DELETE") => WatchEvent::Deleted { key: item.key, version: item.version },
            _ => WatchEvent::Put(item),
        })
    };
    events.map(decode_one).collect()
}
