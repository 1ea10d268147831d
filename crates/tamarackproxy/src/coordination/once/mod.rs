//! At-most-once execution of non-repeatable requests.
//!
//! Each idempotency key has a home: the seat holder that decides about it. The
//! home writes a claim for the key to its log in the store before the first
//! byte of the request is sent to a target. Batches of claims are created
//! under consecutive sequence numbers, each only once, so a seat holder that
//! was replaced conflicts with its successor and stops. While the store is
//! unreachable for the whole data centre (detached mode), claims are copied to
//! the other seat holders instead and written to the log afterwards.

mod batch;
mod claim;
mod copies;
mod detached;
mod engine;
mod events;
mod key;
mod layout;
mod ledger;
mod opening;
mod writer;

pub use self::{
    claim::{home_data_centre, home_seat},
    copies::{COPIES_MAX, Witness},
    engine::{CLAIM_WAIT_MS, IN_PROGRESS_MAX, OnceEngine, WRITES_PER_SECOND_MAX},
    events::{
        BodyDigest, Claim, KeyDigest, OnceAction, OnceEvent, OnceMessage, RunResult, SeatTenure,
    },
    key::{CLOCK_TOLERANCE_MS, IdempotencyKey, KEY_RETENTION_MS, KeyError},
    ledger::{CLAIMS_MAX, KEPT_RESPONSE_BYTES_MAX, KEPT_RESPONSES_MAX},
};

#[cfg(test)]
mod tests;
