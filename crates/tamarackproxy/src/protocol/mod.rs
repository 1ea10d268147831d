//! Messages and formats that processes exchange.

pub mod admin;
pub mod caller;
pub mod gateway;
pub mod http;
pub mod peer;
pub mod platform;
pub mod store;
