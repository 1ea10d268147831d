//! At-most-once execution of requests that may not be repeated.
//!
//! The home of a key writes a claim into its log in the store before the
//! first byte goes to a target. Batches of claims are created under
//! consecutive sequence numbers, each only once, so a holder that was
//! replaced collides with its successor and stops. While the whole data
//! centre has lost the store, claims are copied to the other seat holders
//! instead and go into the log afterwards.

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
