//! At-most-once execution of requests that may not be repeated.

mod events;

pub use self::events::{
    BodyDigest, Claim, KeyDigest, OnceAction, OnceEvent, OnceMessage, RunResult, SeatTenure,
};
