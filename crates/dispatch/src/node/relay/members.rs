//! Membership: the running processes that can carry calls for others.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tamarackproxy::{
    protocol::store::{StoreError, StoreReply, StoreRequest},
    state::ids::{LeaseId, RecordVersion},
};
use tokio::time::sleep;

use super::super::{
    keys::{MEMBERS_PREFIX, decode_item, member_key},
    platform::Platform,
    shared::Shared,
};
use crate::{
    coordination::relay::{Member, RELAY_MILLICORES_MIN},
    state::{MemberRecord, encode},
};

/// Time to live of a process's entry without renewal, in milliseconds.
const TTL_MS: u64 = 10_000;
/// Interval between renewals, in milliseconds: two may be lost.
const RENEW_MS: u64 = 3_000;
/// Delay after a failed call, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Keeps this process's entry until the process stops. Hosts that are too small
/// to be a relay have none.
pub(in crate::node) async fn register<P>(shared: Rc<Shared<P>>, address: SocketAddr)
where
    P: Platform,
{
    if shared.settings.millicores() < RELAY_MILLICORES_MIN {
        return;
    }
    loop {
        match create_entry(&shared, address).await {
            Ok(lease) => {
                log::info!(address:display = address; "registered as a relay");
                keep_entry(&shared, lease).await;
            }
            Err(error) => {
                log::info!(error:display = error; "entry of this process was not stored; retrying");
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
        if shared.is_stopping() {
            return;
        }
    }
}

async fn create_entry<P>(shared: &Shared<P>, address: SocketAddr) -> Result<LeaseId, StoreError>
where
    P: Platform,
{
    let granted = shared.store(&StoreRequest::GrantLease { ttl_ms: TTL_MS }).await?;
    let StoreReply::Lease { lease, .. } = granted else {
        return Err(StoreError::Malformed(format!("unexpected reply {granted:?}").into()));
    };
    let record = MemberRecord {
        address,
        millicores: shared.settings.millicores(),
        data_centre: shared.settings.data_centre.clone(),
    };
    let value = encode(&record).map_err(|error| StoreError::Malformed(error.to_string().into()))?;
    let key = member_key(&shared.settings.entry);
    // An earlier process of the same name may have left an entry.
    let earlier = shared.read(&key).await?;
    let expected = earlier.map_or(RecordVersion(0), |item| item.version);
    let value = value.into();
    let swap = StoreRequest::CompareAndSwap { key, expected, value, lease: Some(lease) };
    match shared.store(&swap).await? {
        StoreReply::Swapped(_) => Ok(lease),
        other => Err(StoreError::Malformed(format!("unexpected reply {other:?}").into())),
    }
}

/// Renews the lease of the entry until it is lost or the process stops.
async fn keep_entry<P>(shared: &Shared<P>, lease: LeaseId)
where
    P: Platform,
{
    let mut stopping = shared.stopping.subscribe();
    loop {
        tokio::select! {
            () = sleep(Duration::from_millis(RENEW_MS)) => {}
            _ = stopping.changed() => {
                if let Err(error) = shared.store(&StoreRequest::RevokeLease { lease }).await {
                    log::info!(error:display = error;
                        "entry of this process was not removed; it expires with its lease");
                }
                return;
            }
        }
        match shared.store(&StoreRequest::KeepAlive { lease }).await {
            Ok(StoreReply::Lease { .. }) => {}
            Ok(_) => return,
            Err(error) => log::debug!(error:display = error; "entry was not renewed"),
        }
    }
}

/// Lists the processes that can carry calls, other than this one.
pub(in crate::node) async fn list_members<P>(shared: &Shared<P>) -> Result<Vec<Member>, StoreError>
where
    P: Platform,
{
    let listing = shared.list(MEMBERS_PREFIX).await?;
    let members = listing.items.iter().filter_map(|item| {
        let entry = item.key.strip_prefix(MEMBERS_PREFIX)?.parse().ok()?;
        let MemberRecord { address, millicores, data_centre } = decode_item(item)?;
        Some(Member { entry, address, millicores, data_centre })
    });
    Ok(members.filter(|member| member.entry != shared.settings.entry).collect())
}
