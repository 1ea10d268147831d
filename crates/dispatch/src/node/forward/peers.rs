//! List of the peers that a process may forward requests to.

use std::{rc::Rc, time::Duration};

use rand::Rng;
use tokio::time::sleep;

use super::super::{platform::Platform, relay::list_members, shared::Shared};

/// Mean interval between two reads of the list, in milliseconds: the time to
/// live of an entry in it.
const INTERVAL_MS: u64 = 10_000;
/// Delay after a failed first read, in milliseconds. A process without a list
/// cannot forward anything.
const FIRST_RETRY_MS: u64 = 1_000;
/// Range of each delay around its mean, in percent, so that processes that
/// started together do not read together.
const JITTER_PERCENT: std::ops::RangeInclusive<u64> = 80..=120;

/// Reads the list of running processes again and again; keeps the last list
/// while the store is not reached.
pub(in crate::node) async fn follow_peers<P>(shared: Rc<Shared<P>>)
where
    P: Platform,
{
    let mut has_list = false;
    loop {
        has_list |= read_peers(&shared).await;
        let delay_ms = if has_list { INTERVAL_MS } else { FIRST_RETRY_MS };
        let percent = rand::rng().random_range(JITTER_PERCENT);
        sleep(Duration::from_millis(delay_ms * percent / 100)).await;
    }
}

/// Reads the list once and returns whether that succeeded; a failure keeps the
/// last list.
pub(super) async fn read_peers<P>(shared: &Shared<P>) -> bool
where
    P: Platform,
{
    match list_members(shared).await {
        Ok(members) => {
            shared.forwarder.set_peers(members);
            true
        }
        Err(error) => {
            log::info!(error:display = error; "list of peers could not be read");
            false
        }
    }
}
