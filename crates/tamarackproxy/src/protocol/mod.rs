//! Messages and formats that processes exchange.

pub mod caller;
pub mod peer;
pub mod platform;
pub mod store;
