//! Messages that processes exchange, and their formats.

pub mod admin;
pub mod caller;
pub mod gateway;
pub mod http;
pub mod jobs;
pub mod peer;
pub mod platform;
pub mod store;
