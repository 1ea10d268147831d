//! Request and response bodies of the gateway: keys and values in base64, 64-bit
//! numbers as decimal strings, default values omitted.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Value, json};

use super::state::{Change, Compare, StoreState, StoredKey, Write};

/// gRPC status code `INVALID_ARGUMENT`.
const CODE_INVALID: u8 = 3;
/// gRPC status code `NOT_FOUND`.
const CODE_NOT_FOUND: u8 = 5;
/// gRPC status code `RESOURCE_EXHAUSTED`, for calls above the limits.
const CODE_EXHAUSTED: u8 = 8;

/// Number that is decoded from a JSON number or a decimal string, as in the real
/// gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Number(pub(super) u64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(u64),
            Text(Box<str>),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

/// Bytes that are decoded from base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Base64(pub(super) Vec<u8>);

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(serde::de::Error::custom)
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct RangeRequest {
    pub(super) key: Base64,
    #[serde(default)]
    pub(super) range_end: Base64,
    #[serde(default)]
    limit: Number,
    #[serde(default)]
    keys_only: bool,
    #[serde(default)]
    count_only: bool,
}

#[derive(Debug, Deserialize)]
struct CompareRequest {
    #[serde(default)]
    result: Option<Box<str>>,
    target: Box<str>,
    key: Base64,
    #[serde(default)]
    mod_revision: Number,
    #[serde(default)]
    create_revision: Number,
    #[serde(default)]
    version: Number,
}

#[derive(Debug, Deserialize)]
struct PutRequest {
    key: Base64,
    #[serde(default)]
    value: Base64,
    #[serde(default)]
    lease: Number,
}

#[derive(Debug, Deserialize)]
enum Operation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_delete_range")]
    DeleteRange(RangeRequest),
}

#[derive(Debug, Deserialize)]
pub(super) struct TxnRequest {
    compare: Vec<CompareRequest>,
    #[serde(default)]
    success: Vec<Operation>,
    #[serde(default)]
    failure: Vec<Operation>,
}

#[derive(Debug, Deserialize)]
pub(super) struct LeaseRequest {
    #[serde(default, rename = "TTL")]
    pub(super) ttl_s: Number,
    #[serde(default, rename = "ID")]
    pub(super) id: Number,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreate,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchCreate {
    pub(super) key: Base64,
    #[serde(default)]
    pub(super) range_end: Base64,
    #[serde(default)]
    pub(super) start_revision: Number,
}

impl WatchCreate {
    /// Returns whether the watch covers the key.
    pub(super) fn covers(&self, key: &[u8]) -> bool {
        match self.range_end.0.as_slice() {
            [] => key == self.key.0,
            [0] => key >= self.key.0.as_slice(),
            end => key >= self.key.0.as_slice() && key < end,
        }
    }
}

/// Error reply of the gateway.
#[derive(Debug, Serialize)]
pub(super) struct GatewayError {
    #[serde(skip)]
    pub(super) status: u16,
    error: Box<str>,
    code: u8,
    message: Box<str>,
}

impl GatewayError {
    fn new<M>(status: u16, code: u8, message: M) -> Self
    where
        M: Into<Box<str>>,
    {
        let message = message.into();
        Self { status, error: message.clone(), code, message }
    }

    pub(super) fn invalid<M>(message: M) -> Self
    where
        M: Into<Box<str>>,
    {
        Self::new(400, CODE_INVALID, message)
    }

    pub(super) fn lease_not_found() -> Self {
        Self::new(404, CODE_NOT_FOUND, "etcdserver: requested lease not found")
    }

    pub(super) fn no_such_call() -> Self {
        Self::new(404, CODE_NOT_FOUND, "Not Found")
    }

    pub(super) fn throttled() -> Self {
        Self::new(429, CODE_EXHAUSTED, "etcdserver: too many requests")
    }
}

pub(super) fn header(state: &StoreState) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "revision": state.revision().to_string(), "raft_term": "1" })
}

fn key_value(key: &[u8], stored: &StoredKey) -> Value {
    let mut value = json!({
        "key": STANDARD.encode(key),
        "create_revision": stored.create_revision.to_string(),
        "mod_revision": stored.mod_revision.to_string(),
        "version": stored.version.to_string(),
    });
    if !stored.value.is_empty() {
        value["value"] = STANDARD.encode(&stored.value).into();
    }
    if let Some(lease) = stored.lease {
        value["lease"] = lease.to_string().into();
    }
    value
}

pub(super) fn range(state: &StoreState, request: &RangeRequest) -> Value {
    let limit = match request.limit.0 {
        0 => usize::MAX,
        limit => usize::try_from(limit).unwrap_or(usize::MAX),
    };
    let found = state.range(&request.key.0, &request.range_end.0);
    let mut count = 0_usize;
    let mut listed = Vec::new();
    for (key, stored) in found {
        if count < limit && !request.count_only {
            let mut item = key_value(key, stored);
            if request.keys_only
                && let Some(fields) = item.as_object_mut()
            {
                fields.remove("value");
            }
            listed.push(item);
        }
        count += 1;
    }
    let mut reply = json!({ "header": header(state) });
    if count > 0 {
        reply["count"] = count.to_string().into();
    }
    if count > listed.len() && !request.count_only {
        reply["more"] = true.into();
    }
    if !listed.is_empty() {
        reply["kvs"] = listed.into();
    }
    reply
}

pub(super) fn transaction(
    state: &mut StoreState,
    now_ms: u64,
    request: TxnRequest,
) -> Result<Value, GatewayError> {
    let [compare] = request.compare.as_slice() else {
        return Err(GatewayError::invalid("the store compares exactly one key"));
    };
    let condition = condition(compare)?;
    let [operation] = request.success.as_slice() else {
        return Err(GatewayError::invalid("the store swaps exactly one key"));
    };
    let (key, write, name) = match operation {
        Operation::Put(put) => {
            let lease = Some(put.lease.0).filter(|lease| *lease != 0);
            (&put.key.0, Write::Put { value: put.value.0.clone().into(), lease }, "response_put")
        }
        Operation::DeleteRange(range) if range.range_end.0.is_empty() => {
            (&range.key.0, Write::Delete, "response_delete_range")
        }
        _ => return Err(GatewayError::invalid("success holds one put or the removal of one key")),
    };
    if *key != compare.key.0 {
        return Err(GatewayError::invalid("the store swaps the key that it compares"));
    }
    let succeeded =
        state.swap(now_ms, key, condition, write).map_err(|_| GatewayError::lease_not_found())?;
    let mut body = json!({ "header": header(state) });
    if succeeded {
        body["succeeded"] = true.into();
        body["responses"] = json!([{ name: { "header": header(state) } }]);
    } else {
        body["responses"] = failure_responses(state, &request.failure)?.into();
    }
    Ok(body)
}

fn condition(compare: &CompareRequest) -> Result<Compare, GatewayError> {
    if compare.result.as_deref().is_some_and(|result| result != "EQUAL") {
        return Err(GatewayError::invalid("the store compares for equality only"));
    }
    match compare.target.as_ref() {
        "MOD" => Ok(Compare::ModRevision(compare.mod_revision.0)),
        "CREATE" => Ok(Compare::CreateRevision(compare.create_revision.0)),
        "VERSION" => Ok(Compare::Version(compare.version.0)),
        _ => Err(GatewayError::invalid("the store compares MOD, CREATE and VERSION")),
    }
}

fn failure_responses(
    state: &StoreState,
    operations: &[Operation],
) -> Result<Vec<Value>, GatewayError> {
    operations
        .iter()
        .map(|operation| match operation {
            Operation::Range(request) => Ok(json!({ "response_range": range(state, request) })),
            _ => Err(GatewayError::invalid("failure holds ranges only")),
        })
        .collect()
}

/// Returns the first line of a watch.
pub(super) fn watch_created(state: &StoreState) -> Bytes {
    line(&json!({ "result": { "header": header(state), "watch_id": "0", "created": true } }))
}

/// Returns the last line of a watch whose start revision is compacted.
pub(super) fn watch_compacted(state: &StoreState, compacted: u64) -> Bytes {
    line(&json!({ "result": {
        "header": header(state),
        "watch_id": "0",
        "canceled": true,
        "compact_revision": compacted.to_string(),
    } }))
}

/// Returns a line of a watch with changes.
pub(super) fn watch_events(revision: u64, changes: &[&Change]) -> Bytes {
    let events: Vec<Value> = changes
        .iter()
        .map(|change| match &change.stored {
            Some(stored) => json!({ "kv": key_value(&change.key, stored) }),
            None => json!({ "type": "DELETE", "kv": {
                "key": STANDARD.encode(&change.key),
                "mod_revision": change.revision.to_string(),
            } }),
        })
        .collect();
    let header = json!({ "cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1" });
    line(&json!({ "result": { "header": header, "watch_id": "0", "events": events } }))
}

fn line(value: &Value) -> Bytes {
    let mut text = value.to_string();
    text.push('\n');
    text.into()
}
