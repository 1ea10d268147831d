//! A running entry host: one event loop on one thread.
//!
//! [`core`] connects the engines and makes all decisions without I/O; the event
//! loop passes it what arrives on sockets and executes its effects.

mod admin;
pub mod core;
mod event_loop;
mod handle;
mod input;
mod links;

pub use self::handle::{Node, NodeError, NodeHandle};
