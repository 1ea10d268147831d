//! Forwarding of callers' requests to peers: the processes that reach the store
//! handle them on behalf of those that do not.
//!
//! Each forwarded request is a stream of its own on the one HTTP/2 connection to
//! a peer's relay port; see [`crate::coordination::forwarding`] for the choice of
//! peers and the answers.

mod client;
mod link;
mod message;
mod peers;
mod server;

#[cfg(test)]
mod tests;

pub(super) use self::{
    client::{Forwarder, Own, forward, serve_with_peers},
    message::PATH,
    peers::follow_peers,
    server::serve_stream,
};
