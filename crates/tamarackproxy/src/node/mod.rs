//! A running entry host: one event loop on one thread.
//!
//! The loop owns the engines, passes them events and carries out their
//! actions through the transport layer.

mod admin;
mod burn;
mod configuration;
mod event_loop;
mod fleet;
mod handle;
mod input;
mod once;
mod peers;
mod pending;
mod requests;
mod seats;
mod view;

pub use self::handle::{Node, NodeError, NodeHandle};
