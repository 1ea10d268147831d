//! Messages between a process that forwards a request and its peer.

use bytes::Bytes;
use displaydoc::Display;
use http::Method;
use serde::{Deserialize, Serialize};
use tamarackproxy::{
    state::ids::EntryId,
    transport::frame::{self, FrameError},
};

use super::super::{callers::CallerResponse, requests::ReceivedRequest};
use crate::state::CallerKey;

/// Path of forwarded requests on the relay port.
pub(in crate::node) const PATH: &str = "/forward";
/// Largest message, in bytes; below the 10 MiB that decoding accepts. Larger
/// requests are not forwarded.
pub(super) const MESSAGE_MAX_BYTES: usize = 9 << 20;
/// Largest size of the texts of a message together, in bytes: four times the
/// default limit on the head of a caller's request.
const TEXTS_MAX_BYTES: usize = 64 << 10;
/// Largest remaining time that a peer accepts, in milliseconds; a longer one is
/// shortened, so that a forged message cannot hold a place for long.
const REMAINING_MAX_MS: u64 = 60_000;

/// A forwarded request. All texts are plain strings that are checked after
/// decoding: the error of a type that checks its text while it is decoded could
/// quote a key if the sender's version has another layout.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ForwardMessage {
    /// Entry host that forwards, for logs.
    from: Box<str>,
    method: Box<str>,
    authority: Box<str>,
    path: Box<str>,
    key: Option<CallerKey>,
    request_id: Box<str>,
    /// Time within which the answer must arrive, in milliseconds.
    remaining_ms: u64,
    body: Vec<u8>,
}

/// The message cannot be used. The reasons quote no content.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum MessageError {
    /// the message is too large or did not arrive whole in time
    Incomplete,
    /// the message cannot be decoded; run the same version on all entry hosts
    Encoding,
    /// the message has an invalid method or name, or too long a text
    Content,
}

/// Reply of a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum ForwardReply {
    /// The peer has handled the request.
    Answered(CallerResponse),
    /// The peer does not reach the store or cannot check keys; it did nothing.
    NoStore,
    /// The peer has too many forwarded requests in flight; it did nothing.
    Overloaded,
}

impl ForwardMessage {
    pub(super) fn new(from: &EntryId, request: &ReceivedRequest<'_>, remaining_ms: u64) -> Self {
        Self {
            from: from.as_str().into(),
            method: request.method.as_str().into(),
            authority: request.authority.into(),
            path: request.path.into(),
            key: request.key.clone(),
            request_id: request.request_id.into(),
            remaining_ms,
            body: request.body.to_vec(),
        }
    }

    pub(super) fn encode(&self) -> Result<Bytes, FrameError> {
        frame::encode(self, MESSAGE_MAX_BYTES).map(Bytes::from)
    }
}

/// A decoded and checked message.
#[derive(Debug)]
pub(super) struct Forwarded {
    pub(super) from: EntryId,
    method: Method,
    message: ForwardMessage,
    body: Bytes,
}

impl Forwarded {
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let mut message: ForwardMessage =
            frame::decode(bytes).map_err(|_| MessageError::Encoding)?;
        let key_bytes = message.key.as_ref().map_or(0, |key| key.secret().len());
        let texts = [&message.authority, &message.path, &message.request_id];
        if texts.iter().map(|text| text.len()).sum::<usize>() + key_bytes > TEXTS_MAX_BYTES {
            return Err(MessageError::Content);
        }
        let method = Method::from_bytes(message.method.as_bytes());
        let method = method.map_err(|_| MessageError::Content)?;
        let from = message.from.parse().map_err(|_| MessageError::Content)?;
        let body = std::mem::take(&mut message.body).into();
        Ok(Self { from, method, message, body })
    }

    /// Returns the request as if the caller had sent it to this process.
    pub(super) fn request(&self, received_ms: u64) -> ReceivedRequest<'_> {
        ReceivedRequest {
            method: &self.method,
            authority: &self.message.authority,
            path: &self.message.path,
            key: self.message.key.clone(),
            request_id: &self.message.request_id,
            body: self.body.clone(),
            received_ms,
            timeout_ms: Some(self.message.remaining_ms.min(REMAINING_MAX_MS)),
        }
    }
}
