//! Callers that send a seeded open-loop load over HTTP.

mod plan;
mod record;
mod run;
mod token;

pub use self::{
    plan::{CallerPlan, Load, Surge},
    record::{AttemptEnd, AttemptRecord, CallerRecords},
    run::{Callers, EntryAddresses},
    token::{token_digest, token_of},
};

#[cfg(test)]
mod tests;
