//! Small HTTP/1.1 servers, clients and TCP relays on loopback addresses.

mod body;
mod client;
mod relay;
mod server;

pub use self::{
    body::{Body, BodySender, channel_body, full_body},
    client::{Call, CallError, Connection, Reply, call},
    relay::{Relay, RelayMode},
    server::{Handler, Server, ServerOptions},
};

#[cfg(test)]
mod tests;
