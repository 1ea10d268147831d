//! Relays: processes that carry the calls of a large pool's controller to its
//! workers.
//!
//! A controller opens one HTTP/2 stream to each of its relays and sends batches
//! of calls as bincode frames; the relay sends back batches of replies. See
//! [`crate::coordination::relay`] for the choice of relays.

mod link;
mod members;
mod message;
mod server;

#[cfg(test)]
mod tests;

pub(super) use self::{
    link::{CallEnd, CallOutcome, RelayLink},
    members::{list_members, register},
    server::listen,
};
