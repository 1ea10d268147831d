//! HTTP/1.1 servers that act as the service instances of one host.

mod echo;
mod faults;
mod host;
mod record;
mod server;

pub use self::{
    echo::{BodyCheck, check_body, echo_body, echo_path},
    faults::{ServiceTimes, TargetFaults},
    host::{InstanceAddress, TargetHost},
    record::{Cut, LeavingSign, RunRecord, TargetRecords},
};

#[cfg(test)]
mod tests;

/// Requests that one instance runs at once.
pub const SLOTS: usize = 8;
/// Connections that one instance accepts.
pub const CONNECTIONS: usize = 64;
/// Header by which targets learn the authenticated caller.
pub const CALLER_HEADER: &str = "tamarack-caller";
/// Header that numbers each attempt of the callers.
pub const ATTEMPT_HEADER: &str = "tamarack-attempt";
