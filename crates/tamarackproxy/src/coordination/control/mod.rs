//! Leases with increasing terms: the control lease of a scope, and the
//! acquisition protocol that seats use too.

mod acquisition;
mod backoff;
mod lease;

pub(crate) use self::acquisition::encode;
pub use self::{
    acquisition::{Acquisition, AcquisitionStep, Tenure, decode_tenure},
    backoff::Backoff,
    lease::{ControlLease, LeaseTiming},
};

/// Time to live of seat and control leases, in milliseconds.
pub const LEASE_TTL_MS: u64 = 10_000;
/// Interval between renewals of a lease, in milliseconds: two renewals may be
/// lost before the lease expires.
pub const RENEW_INTERVAL_MS: u64 = 3_000;
/// Maximum assumed drift between the clocks of two processes, in percent of the
/// measured interval.
pub const DRIFT_PERCENT: u64 = 10;

/// Shortens a duration by the clock drift: when the result has passed on the
/// local clock, the full duration has not yet passed on any other clock.
pub const fn shortened_by_drift(duration_ms: u64) -> u64 {
    duration_ms - duration_ms * DRIFT_PERCENT / 100
}
