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
mod forward;
mod keys;
mod launch;
mod platform;
mod pool;
mod queues;
mod relay;
mod requests;
mod server;
mod shared;
mod shares;
mod upkeep;

pub use self::{
    callers::{CallerRequest, CallerResponse, RequestError},
    launch::{StartError, run},
    platform::{
        Changes, ChangesError, HostOrder, Listing, OperatorRecord, Platform, RequestHead,
        Transaction, TransactionReply,
    },
};
