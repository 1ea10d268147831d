//! A running process: engines, sockets and the loop between them.

mod callers;
pub mod clock;
mod control;
mod follow;
mod keys;
mod launch;
mod platform;
mod pool;
mod server;
mod shared;
mod upkeep;

pub use self::{
    callers::{CallerAnswer, CallerCall, Refused},
    launch::{StartError, run},
    platform::{
        CallHead, Changes, ChangesError, Listing, OperatorRecord, Platform, Transaction,
        TransactionReply,
    },
};
