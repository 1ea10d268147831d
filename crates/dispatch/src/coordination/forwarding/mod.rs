//! Forwarding of callers' requests from a process without the store to one that
//! reaches it.
//!
//! Load pattern: a cut separates some processes, often those of a whole data
//! centre, from the store, while callers go on sending to them until the load
//! balancer has noticed. Up to a seventh of a day's submissions reached such a
//! process. It asks at most two peers for each request, remembers for a short
//! time which peers could not help, and bounds what it has in flight, so that a
//! cut does not flood the processes that still work.
//!
//! [`Forwarding`] chooses peers. A [`ForwardedRequest`] holds what is known of
//! one request, so that its answer never claims that a job is not stored while a
//! write may still take effect.

mod engine;
mod request;

#[cfg(test)]
mod tests;

pub use self::{
    engine::{Forwarding, HEDGE_DELAY_MS, IN_FLIGHT_MAX, Question},
    request::{
        AttemptResult, ForwardOutcome, ForwardedRequest, RequestKind, ResponseKind, Verdict,
    },
};
