//! HTTP/1.1 servers in place of the service instances of a host.

mod echo;
mod faults;
mod host;
mod record;
mod server;

pub use self::{
    echo::{BodyCheck, check_body, echo_body, echo_path},
    faults::{ServiceTimes, TargetFaults},
    host::{InstanceAddress, TargetHost},
    record::{Interruption, LeavingSignal, RunRecord, TargetRecords},
};

#[cfg(test)]
mod tests;

/// Requests that one instance runs concurrently.
pub const SLOTS: usize = 8;
/// Connections that one instance accepts.
pub const CONNECTIONS: usize = 64;
/// Header that names the authenticated caller to targets.
pub const CALLER_HEADER: &str = "tamarack-caller";
/// Header with the number of the caller's attempt.
pub const ATTEMPT_HEADER: &str = "tamarack-attempt";
