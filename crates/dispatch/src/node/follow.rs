//! Following a prefix of the store: one listing, then its changes.

use std::{rc::Rc, time::Duration};

use rand::Rng;
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError, WatchEvent},
    state::ids::RecordVersion,
};
use tokio::time::sleep;

use super::{
    platform::{ChangesError, Listing, Platform},
    shared::Shared,
};

/// Time that a call for changes waits, in milliseconds: a connection that went
/// silent is noticed half a second later, within the two seconds in which a
/// configuration has to be in force.
pub(super) const CHANGES_WAIT_MS: u64 = 1_000;
/// Shortest and longest delay after a failed call, in milliseconds.
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 600;

/// What a follower passes on.
#[derive(Debug)]
pub(super) enum Followed {
    /// The whole prefix; what is not named is gone.
    Listed(Vec<KeyValue>),
    /// A change.
    Changed(WatchEvent),
}

/// Lists a prefix, trying until it succeeds.
pub(super) async fn list_until_done<P>(shared: &Shared<P>, prefix: &str) -> Listing
where
    P: Platform,
{
    let mut delay_ms = RETRY_MIN_MS;
    loop {
        match shared.list(prefix).await {
            Ok(listing) => return listing,
            Err(error) => {
                log::info!(prefix = prefix, error:display = error; "prefix could not be listed");
                delay_ms = pause(delay_ms).await;
            }
        }
    }
}

/// Reads a key, trying until it succeeds.
pub(super) async fn read_until_done<P>(shared: &Shared<P>, key: &str) -> Option<KeyValue>
where
    P: Platform,
{
    let mut delay_ms = RETRY_MIN_MS;
    loop {
        match shared.read(key).await {
            Ok(item) => return item,
            Err(error) => {
                log::info!(key = key, error:display = error; "key could not be read");
                delay_ms = pause(delay_ms).await;
            }
        }
    }
}

/// Waits a drawn part of the delay and returns the next delay.
async fn pause(delay_ms: u64) -> u64 {
    let drawn_ms = rand::rng().random_range(delay_ms / 2..=delay_ms);
    sleep(Duration::from_millis(drawn_ms)).await;
    (delay_ms * 2).min(RETRY_MAX_MS)
}

/// Follows a prefix for good; `from` continues an earlier listing. After each
/// reply with changes the follower rests for `rest_ms`, so that frequent
/// changes share a call.
pub(super) async fn follow<P, F>(
    shared: Rc<Shared<P>>,
    prefix: Box<str>,
    from: Option<RecordVersion>,
    rest_ms: u64,
    mut sink: F,
) where
    P: Platform,
    F: FnMut(Followed),
{
    let mut position = from;
    let mut delay_ms = RETRY_MIN_MS;
    loop {
        let Some(after) = position else {
            let listing = list_until_done(&shared, &prefix).await;
            position = Some(listing.as_of);
            sink(Followed::Listed(listing.items));
            continue;
        };
        match shared.changes(&prefix, after, CHANGES_WAIT_MS).await {
            Ok(changes) => {
                delay_ms = RETRY_MIN_MS;
                position = Some(changes.as_of.max(after));
                let rests = rest_ms > 0 && !changes.events.is_empty();
                for event in changes.events {
                    sink(Followed::Changed(event));
                }
                if rests {
                    sleep(Duration::from_millis(rest_ms)).await;
                }
            }
            Err(ChangesError::Gap) => {
                log::info!(prefix = &*prefix, after = after.0;
                    "the store has forgotten changes; the prefix is listed again");
                position = None;
            }
            Err(ChangesError::Store(StoreError::Malformed(error))) => {
                log::error!(prefix = &*prefix, error = &*error; "changes cannot be read");
                position = None;
                delay_ms = pause(delay_ms).await;
            }
            Err(ChangesError::Store(_)) => delay_ms = pause(delay_ms).await,
        }
    }
}
