//! Rules of maintenance waves.

use std::collections::BTreeMap;

use crate::state::{
    document::WaveSection,
    ids::{HostId, OperationId, PoolId, Term},
    records::{WaveFailure, WavePhase, WavePoolRecord, WaveRecord, WaveStop},
};

/// A change of the progress of a wave in one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum WavePoolChange {
    /// Begins to stop a host, if the pool's grant allows it.
    Start { host: HostId, operation: OperationId },
    /// Gives up a stop before the reboot; the host is tried again later.
    Withdraw { host: HostId },
    /// The host has been maintained and is healthy.
    Done { host: HostId },
    /// The host failed, or did not return from the reboot.
    Failed { host: HostId, planned: bool },
    /// A failed host runs again or has left the pool; it is eligible again.
    Recovered { host: HostId },
    /// The owner has resumed the wave this many times.
    Seen { resumptions: u32 },
}

/// Applies changes; returns whether anything changed. `startable` is the
/// number of hosts that may be in progress at once.
pub(super) fn apply(
    record: &mut WavePoolRecord,
    changes: &[WavePoolChange],
    startable: u32,
    unix_ms: u64,
) -> bool {
    let before = (record.in_progress.len(), record.done.len());
    let mut changed = false;
    for change in changes {
        changed |= match change {
            WavePoolChange::Start { host, operation } => {
                let room = record.in_progress.len() < startable as usize;
                let known = record.in_progress.contains_key(host)
                    || record.done.contains(host)
                    || record.failed.contains_key(host);
                if !room || known {
                    continue;
                }
                let stop = WaveStop { operation: *operation, since_unix_ms: unix_ms };
                record.in_progress.insert(host.clone(), stop);
                true
            }
            WavePoolChange::Withdraw { host } => record.in_progress.remove(host).is_some(),
            WavePoolChange::Done { host } => {
                record.in_progress.remove(host).is_some() && record.done.insert(host.clone())
            }
            WavePoolChange::Failed { host, planned } => {
                record.in_progress.remove(host);
                let failure = WaveFailure { planned: *planned, seen: false };
                record.failed.insert(host.clone(), failure).is_none()
            }
            WavePoolChange::Recovered { host } => record.failed.remove(host).is_some(),
            WavePoolChange::Seen { resumptions } => {
                record.failed.values_mut().for_each(|failure| failure.seen = true);
                std::mem::replace(&mut record.resumptions, *resumptions) != *resumptions
            }
        };
    }
    changed || before != (record.in_progress.len(), record.done.len())
}

/// What one pool wants the shared record of a wave to say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PoolShare {
    pub pool: PoolId,
    pub term: Term,
    /// Hosts that the pool has in progress; its grant never goes below.
    pub in_progress: u32,
    /// Hosts that the pool could stop at once.
    pub wanted: u32,
    /// Failures that the owner has not seen; none while the pool's record
    /// does not yet take the latest resumption into account.
    pub failed: Option<u32>,
    /// Whether every host of the pool was maintained.
    pub finished: bool,
}

/// Returns the shared record as it should be after the pool's news.
pub(super) fn settle(record: &WaveRecord, section: &WaveSection, share: &PoolShare) -> WaveRecord {
    let mut next = record.clone();
    next.terms.insert(share.pool.clone(), share.term);
    let others: u32 =
        next.granted.iter().filter(|(pool, _)| **pool != share.pool).map(|(_, n)| n).sum();
    let room = section.max_parallel.saturating_sub(others);
    let granted = share.wanted.min(room).max(share.in_progress);
    set_count(&mut next.granted, &share.pool, granted);
    if let Some(failed) = share.failed {
        set_count(&mut next.failed, &share.pool, failed);
    }
    if share.finished {
        next.finished_pools.insert(share.pool.clone());
    } else {
        next.finished_pools.remove(&share.pool);
    }
    next.phase = phase_of(&mut next, section);
    next
}

fn set_count(counts: &mut BTreeMap<PoolId, u32>, pool: &PoolId, count: u32) {
    if count == 0 {
        counts.remove(pool);
    } else {
        counts.insert(pool.clone(), count);
    }
}

/// Computes the phase; a wave that the owner resumes counts failures anew.
fn phase_of(record: &mut WaveRecord, section: &WaveSection) -> WavePhase {
    if section.paused {
        return WavePhase::Paused;
    }
    if record.phase == WavePhase::Paused {
        record.resumptions += 1;
        record.failed.clear();
    }
    let failures: u32 = record.failed.values().sum();
    if section.pause_after_failures > 0 && failures >= section.pause_after_failures {
        WavePhase::PausedByFailures
    } else if section.pools.iter().all(|pool| record.finished_pools.contains(pool)) {
        WavePhase::Finished
    } else {
        WavePhase::Running
    }
}
