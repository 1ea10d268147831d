//! A running process: connects the engines to the store, the workers and the
//! callers.

mod backlog;
mod callers;
mod calls;
pub mod clock;
mod control;
#[cfg(test)]
pub(crate) mod fake;
mod follow;
mod keys;
mod launch;
mod platform;
mod pool;
mod relay;
mod server;
mod shared;
mod upkeep;

pub use self::{
    callers::{CallerRequest, CallerResponse, RequestError},
    launch::{StartError, run},
    platform::{
        Changes, ChangesError, HostOrder, Listing, OperatorRecord, Platform, RequestHead,
        Transaction, TransactionReply,
    },
};
