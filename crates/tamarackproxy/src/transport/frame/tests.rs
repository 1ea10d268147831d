//! Tests of decoding and framing with arbitrary and oversized input.

use proptest::prelude::*;

use super::{FrameError, FrameSplitter, decode, encode, with_length};
use crate::protocol::peer::{ForwardRequest, PeerMessage};

proptest! {
    /// Guards against a panic or an unbounded allocation on arbitrary bytes from
    /// a peer.
    #[test]
    fn arbitrary_bytes_are_refused_or_decoded(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode::<PeerMessage>(&bytes);
        let _ = decode::<ForwardRequest>(&bytes);
    }

    /// Guards against frames that are merged or lost when the stream arrives in
    /// chunks of any size.
    #[test]
    fn frames_survive_any_chunking(
        frames in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..64), 0..8),
        chunk in 1_usize..32,
    ) {
        let stream: Vec<u8> = frames.iter().flat_map(|frame| with_length(frame)).collect();
        let mut splitter = FrameSplitter::new(64);
        let mut received = Vec::new();
        for part in stream.chunks(chunk) {
            splitter.push(part);
            while let Some(frame) = splitter.next_frame().expect("within the bound") {
                received.push(frame);
            }
        }
        prop_assert_eq!(received, frames);
    }
}

/// Guards against buffering a frame whose announced length is too large.
#[test]
fn announced_length_above_the_bound_is_refused_before_the_frame_arrives() {
    let mut splitter = FrameSplitter::new(16);
    splitter.push(&17_u32.to_be_bytes());
    assert_eq!(splitter.next_frame(), Err(FrameError::TooLarge(16)));
}

/// Guards against sending a message that the receiver would reject as too large.
#[test]
fn oversized_message_is_refused_by_the_sender() {
    assert_eq!(encode(&vec![0_u8; 100], 50), Err(FrameError::TooLarge(50)));
}
