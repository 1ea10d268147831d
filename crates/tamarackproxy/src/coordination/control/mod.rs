//! Leases with growing terms: control of one scope, and the acquisition that
//! seats use as well.

mod acquisition;
mod backoff;
mod lease;

pub(crate) use self::acquisition::encode;
pub use self::{
    acquisition::{Acquisition, AcquisitionStep, Tenure, decode_tenure},
    backoff::Backoff,
    lease::{ControlLease, LeaseTiming},
};

/// Time to live of the leases of seats and control scopes, in milliseconds.
pub const LEASE_TTL_MS: u64 = 10_000;
/// Interval between renewals of a lease, in milliseconds: two renewals may be
/// lost before the lease lapses.
pub const RENEW_INTERVAL_MS: u64 = 3_000;
/// Difference between the clocks of two processes over an interval, in percent.
pub const DRIFT_PERCENT: u64 = 10;

/// Shortens a duration that this process must not exceed on any other clock.
pub const fn shortened_by_drift(duration_ms: u64) -> u64 {
    duration_ms - duration_ms * DRIFT_PERCENT / 100
}
