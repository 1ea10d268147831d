//! Maintenance waves: changes of their records, grants and phases.

use std::collections::BTreeMap;

use crate::state::{
    document::WaveSection,
    ids::{HostId, OperationId, PoolId, Term},
    records::{WaveFailure, WavePhase, WavePoolRecord, WaveRecord, WaveStop},
};

/// A change of the progress of a wave in one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum WavePoolChange {
    /// Selects a host to be stopped, if the pool's grant allows it.
    Start { host: HostId, operation: OperationId },
    /// Cancels a stop before the reboot; the host is tried again later.
    Withdraw { host: HostId },
    /// The host has been maintained and is healthy.
    Done { host: HostId },
    /// The host failed, or did not return from the reboot.
    Failed { host: HostId, planned: bool },
    /// A failed host is healthy again or has left the pool; it is eligible
    /// again.
    Recovered { host: HostId },
    /// The owner has resumed the wave, this many times in total, and thereby
    /// acknowledged the failures so far.
    Resumed { resumptions: u32 },
}

/// Applies changes; returns whether anything changed. `startable` is the
/// maximum number of hosts in progress.
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
                let allowed = record.in_progress.len() < startable as usize;
                let known = record.in_progress.contains_key(host)
                    || record.done.contains(host)
                    || record.failed.contains_key(host);
                if !allowed || known {
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
            WavePoolChange::Resumed { resumptions } => {
                record.failed.values_mut().for_each(|failure| failure.seen = true);
                std::mem::replace(&mut record.resumptions, *resumptions) != *resumptions
            }
        };
    }
    changed || before != (record.in_progress.len(), record.done.len())
}

/// Status of one pool, to be merged into the shared record of a wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PoolWaveStatus {
    pub pool: PoolId,
    pub term: Term,
    /// Hosts that the pool has in progress; its grant is never lower.
    pub in_progress: u32,
    /// Grant that the pool requests: hosts that it could have in progress.
    pub requested: u32,
    /// Failures that the owner has not acknowledged; `None` until the pool's
    /// record includes the latest resumption.
    pub failed: Option<u32>,
    /// Whether every host of the pool has been maintained.
    pub finished: bool,
}

/// Returns the shared record with the pool's status merged in: its grant,
/// failures and completion, and the resulting phase.
pub(super) fn merge_pool_status(
    record: &WaveRecord,
    section: &WaveSection,
    status: &PoolWaveStatus,
) -> WaveRecord {
    let mut next = record.clone();
    next.terms.insert(status.pool.clone(), status.term);
    let others: u32 =
        next.granted.iter().filter(|(pool, _)| **pool != status.pool).map(|(_, n)| n).sum();
    let available = section.max_parallel.saturating_sub(others);
    let granted = status.requested.min(available).max(status.in_progress);
    set_count(&mut next.granted, &status.pool, granted);
    if let Some(failed) = status.failed {
        set_count(&mut next.failed, &status.pool, failed);
    }
    if status.finished {
        next.finished_pools.insert(status.pool.clone());
    } else {
        next.finished_pools.remove(&status.pool);
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

/// Computes the phase; when the owner resumes a wave, its failure count starts
/// from zero.
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
