//! Encoding and framing of messages between entry hosts: bincode, with bounded
//! sizes.

use displaydoc::Display;
use serde::{Serialize, de::DeserializeOwned};

/// Reasons why a message cannot be encoded or decoded.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FrameError {
    /// the message has more than {0} bytes; the sender must split it
    TooLarge(usize),
    /// the message cannot be read: {0}; run the same version on all entry hosts
    Malformed(Box<str>),
}

impl std::error::Error for FrameError {}

/// Limit on what bincode reads and allocates for one message, in bytes; large
/// enough for the body of the largest forwarded response.
const DECODE_LIMIT_BYTES: usize = 10 << 20;

fn configuration() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<DECODE_LIMIT_BYTES>()
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] above `max_bytes`.
pub fn encode<M>(message: &M, max_bytes: usize) -> Result<Vec<u8>, FrameError>
where
    M: Serialize,
{
    let bytes = bincode::serde::encode_to_vec(message, configuration())
        .map_err(|error| FrameError::Malformed(error.to_string().into()))?;
    if bytes.len() > max_bytes {
        return Err(FrameError::TooLarge(max_bytes));
    }
    Ok(bytes)
}

/// Decodes a message that takes up all of `bytes`.
///
/// # Errors
///
/// Returns [`FrameError::Malformed`] if the bytes do not encode an `M` of this
/// version, or if bytes follow it.
pub fn decode<M>(bytes: &[u8]) -> Result<M, FrameError>
where
    M: DeserializeOwned,
{
    let (message, used) = bincode::serde::decode_from_slice(bytes, configuration())
        .map_err(|error| FrameError::Malformed(error.to_string().into()))?;
    if used != bytes.len() {
        return Err(FrameError::Malformed("bytes follow the message".into()));
    }
    Ok(message)
}

/// Splits a stream of length-prefixed frames.
#[derive(Debug)]
pub struct FrameSplitter {
    pending: Vec<u8>,
    max_bytes: usize,
}

/// Size of the big-endian length before each frame, in bytes.
const LENGTH_BYTES: usize = 4;

impl FrameSplitter {
    /// Creates a splitter that rejects frames larger than `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { pending: Vec::new(), max_bytes }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete frame, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::TooLarge`] as soon as the length is known, before
    /// the frame is buffered.
    pub fn next_frame(&mut self) -> Result<Option<Vec<u8>>, FrameError> {
        let Some(length) = self.pending.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > self.max_bytes {
            return Err(FrameError::TooLarge(self.max_bytes));
        }
        let end = LENGTH_BYTES + length;
        if self.pending.len() < end {
            return Ok(None);
        }
        let frame = self.pending[LENGTH_BYTES..end].to_vec();
        self.pending.drain(..end);
        Ok(Some(frame))
    }
}

/// Prepends its length to an encoded message.
pub fn with_length(message: &[u8]) -> Vec<u8> {
    let length = u32::try_from(message.len()).unwrap_or(u32::MAX);
    [&length.to_be_bytes(), message].concat()
}

#[cfg(test)]
mod tests;
