//! HTTP requests and responses with complete bodies, as an entry host passes
//! them on.

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub method: Method,
    /// First segment of the path after `/call/`.
    pub service: Box<str>,
    /// Rest of the path, including the query.
    pub path: Box<str>,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Request as a target receives it.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    pub method: Method,
    /// Path and query.
    pub path: Uri,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the request may be retried after a lost connection. A
    /// non-repeatable request gets a new connection: if a target closed an idle
    /// one just as the request is written, its outcome would be unknown.
    pub repeatable: bool,
}

/// Response of a target.
#[derive(Clone, Debug)]
pub struct TargetResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}
