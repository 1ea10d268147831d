//! Response bodies of stand-ins.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Response body of a stand-in; an error closes the connection before the body is
/// complete.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Sending side of a body created by [`channel_body`].
pub type BodySender = mpsc::Sender<io::Result<Bytes>>;

/// Number of chunks that a channel body buffers before its sender has to wait.
const CHANNEL_CHUNKS: usize = 64;

struct ChannelBody {
    chunks: mpsc::Receiver<io::Result<Bytes>>,
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.chunks.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

/// Creates a body of known length.
pub fn full_body<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body whose chunks are sent one by one.
pub fn channel_body() -> (BodySender, Body) {
    let (sender, chunks) = mpsc::channel(CHANNEL_CHUNKS);
    (sender, ChannelBody { chunks }.boxed_unsync())
}
