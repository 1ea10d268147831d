//! Follows store prefixes: one listing, then the changes since.

use std::{rc::Rc, time::Duration};

use rand::Rng;
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError, WatchEvent},
    state::ids::RecordVersion,
};
use tokio::time::sleep;

use super::{
    clock,
    platform::{ChangesError, Listing, Platform},
    shared::Shared,
};

/// Long-poll time of a call for changes, in milliseconds. A dead connection is
/// noticed half a second after it, which is within the two seconds in which a
/// configuration has to be in force.
pub(super) const CHANGES_WAIT_MS: u64 = 1_000;
/// Minimum and maximum backoff after a failed call, in milliseconds.
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 600;

/// An update of a followed prefix.
#[derive(Debug)]
pub(super) enum PrefixUpdate {
    /// All keys under the prefix; keys that are missing no longer exist.
    Listed(Vec<KeyValue>),
    /// A change of one key.
    Changed(WatchEvent),
}

/// Lists a prefix, retrying until it succeeds.
pub(super) async fn list_with_retry<P>(shared: &Shared<P>, prefix: &str) -> Listing
where
    P: Platform,
{
    let mut delay_ms = RETRY_MIN_MS;
    loop {
        let sent_ms = clock::read().monotonic_ms;
        match shared.list(prefix).await {
            Ok(listing) => {
                shared.confirm_prefix(prefix, sent_ms);
                return listing;
            }
            Err(error) => {
                log::info!(prefix = prefix, error:display = error;
                    "prefix could not be listed; retrying");
                delay_ms = back_off(delay_ms).await;
            }
        }
    }
}

/// Reads a key, retrying until it succeeds.
pub(super) async fn read_with_retry<P>(shared: &Shared<P>, key: &str) -> Option<KeyValue>
where
    P: Platform,
{
    let mut delay_ms = RETRY_MIN_MS;
    loop {
        match shared.read(key).await {
            Ok(item) => return item,
            Err(error) => {
                log::info!(key = key, error:display = error; "key could not be read; retrying");
                delay_ms = back_off(delay_ms).await;
            }
        }
    }
}

/// Sleeps for between half and all of the delay, chosen at random, and returns
/// the next delay.
async fn back_off(delay_ms: u64) -> u64 {
    let sleep_ms = rand::rng().random_range(delay_ms / 2..=delay_ms);
    sleep(Duration::from_millis(sleep_ms)).await;
    (delay_ms * 2).min(RETRY_MAX_MS)
}

/// Follows a prefix until the task is aborted; `from` continues an earlier
/// listing. After each reply with changes the follower waits for `coalesce_ms`,
/// so that frequent changes share one call.
pub(super) async fn follow<P, F>(
    shared: Rc<Shared<P>>,
    prefix: Box<str>,
    from: Option<RecordVersion>,
    coalesce_ms: u64,
    mut sink: F,
) where
    P: Platform,
    F: FnMut(PrefixUpdate),
{
    let mut position = from;
    let mut delay_ms = RETRY_MIN_MS;
    loop {
        let Some(after) = position else {
            let listing = list_with_retry(&shared, &prefix).await;
            position = Some(listing.as_of);
            sink(PrefixUpdate::Listed(listing.items));
            continue;
        };
        let sent_ms = clock::read().monotonic_ms;
        match shared.changes(&prefix, after, CHANGES_WAIT_MS).await {
            Ok(changes) => {
                delay_ms = RETRY_MIN_MS;
                position = Some(changes.as_of.max(after));
                let coalesces = coalesce_ms > 0 && !changes.events.is_empty();
                for event in changes.events {
                    sink(PrefixUpdate::Changed(event));
                }
                shared.confirm_prefix(&prefix, sent_ms);
                if coalesces {
                    sleep(Duration::from_millis(coalesce_ms)).await;
                }
            }
            Err(ChangesError::Compacted) => {
                log::info!(prefix = &*prefix, after = after.0;
                    "change history was lost; listing the prefix again");
                position = None;
            }
            Err(ChangesError::Store(StoreError::Malformed(error))) => {
                log::error!(prefix = &*prefix, error = &*error;
                    "changes could not be decoded; listing the prefix again");
                position = None;
                delay_ms = back_off(delay_ms).await;
            }
            Err(ChangesError::Store(_)) => delay_ms = back_off(delay_ms).await,
        }
    }
}
