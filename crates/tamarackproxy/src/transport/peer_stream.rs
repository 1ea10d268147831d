//! Reads and writes on HTTP/2 streams between entry hosts, with flow control.

use std::future::poll_fn;

use bytes::Bytes;
use h2::{RecvStream, SendStream};

use super::frame::FrameError;

/// Sends all bytes as the receiver's flow-control window allows; `end` closes
/// the sending side.
///
/// # Errors
///
/// Returns the error of the stream or its connection.
pub async fn send_all(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end: bool,
) -> Result<(), h2::Error> {
    if bytes.is_empty() {
        return stream.send_data(bytes, end);
    }
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = match poll_fn(|context| stream.poll_capacity(context)).await {
            Some(capacity) => capacity?,
            None => return Err(h2::Reason::CANCEL.into()),
        };
        let part = bytes.split_to(capacity.min(bytes.len()));
        let last = bytes.is_empty();
        stream.send_data(part, end && last)?;
    }
    Ok(())
}

/// Reads a body of at most `max_bytes` to its end.
///
/// # Errors
///
/// Returns [`FrameError`] for a larger body or one that ends early.
pub async fn read_bounded(mut body: RecvStream, max_bytes: usize) -> Result<Vec<u8>, FrameError> {
    let mut whole = Vec::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(|error| FrameError::Malformed(error.to_string().into()))?;
        if whole.len() + part.len() > max_bytes {
            return Err(FrameError::TooLarge(max_bytes));
        }
        whole.extend_from_slice(&part);
        let _ = body.flow_control().release_capacity(part.len());
    }
    Ok(whole)
}
