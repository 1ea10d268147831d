//! Whole HTTP requests and responses as they pass through an entry host.

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};

/// A caller's request with its whole body.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// First segment of the path after `/call/`.
    pub service: Box<str>,
    /// Rest of the path, with the query.
    pub path: Box<str>,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Request as a target receives it.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: Uri,
    /// Headers without those of one connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether a lost connection may be answered by another attempt. Requests
    /// that may not be repeated get a new connection: a target that closes an
    /// idle one just as the request is written would leave the outcome unknown.
    pub repeatable: bool,
}

/// Whole response of a target.
#[derive(Clone, Debug)]
pub struct TargetResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}
