//! Records of a maintenance wave.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::RecentOperations;
use crate::state::ids::{HostId, OperationId, PoolId, Term, WaveId};

/// Phase of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WavePhase {
    /// Hosts are being stopped.
    Running,
    /// The owner paused it in the document; started stops go on to their end.
    Paused,
    /// It paused by itself, since too many hosts failed.
    PausedByFailures,
    /// Every host of its pools has been maintained.
    Finished,
}

/// Value of `wave/<name>`: what the pools of the wave share.
///
/// The controllers of all pools of the wave write it. Parallelism is spent
/// here by compare-and-swap, so the limit holds for all pools together; a pool
/// keeps its grant from host to host, so most stops need no write here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// The wave.
    pub wave: WaveId,
    /// Phase of the wave.
    pub phase: WavePhase,
    /// Latest term of each pool's controller.
    pub terms: BTreeMap<PoolId, Term>,
    /// Hosts that each pool may stop at once.
    pub granted: BTreeMap<PoolId, u32>,
    /// Failed hosts of each pool that the owner has not seen.
    pub failed: BTreeMap<PoolId, u32>,
    /// Pools all of whose hosts were maintained.
    pub finished_pools: BTreeSet<PoolId>,
    /// How often the owner has resumed the wave; a resumption marks all
    /// failures up to then as seen.
    pub resumptions: u32,
    /// When the wave began, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// Ids of the latest writes.
    pub operations: RecentOperations,
}

impl WaveRecord {
    /// Makes the record of a wave that begins.
    pub fn new(wave: WaveId, since_unix_ms: u64) -> Self {
        Self {
            wave,
            phase: WavePhase::Running,
            terms: BTreeMap::new(),
            granted: BTreeMap::new(),
            failed: BTreeMap::new(),
            finished_pools: BTreeSet::new(),
            resumptions: 0,
            since_unix_ms,
            operations: RecentOperations::default(),
        }
    }
}

/// A host that the wave has started to stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveStop {
    /// Id of the whole operation; the reservations and the reboot carry it.
    pub operation: OperationId,
    /// When it was started, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
}

/// A host that failed while the wave ran and has not returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveFailure {
    /// Whether it failed after the wave had stopped it.
    pub planned: bool,
    /// Whether the owner has resumed the wave since; such failures no longer
    /// pause it.
    pub seen: bool,
}

/// Value of `wave/<name>/<pool>`: progress of the wave in one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WavePoolRecord {
    /// The wave.
    pub wave: WaveId,
    /// The pool.
    pub pool: PoolId,
    /// Term of the controller that wrote the record last, or of one that took
    /// over and shut out its predecessors.
    pub term: Term,
    /// Hosts that are being stopped.
    pub in_progress: BTreeMap<HostId, WaveStop>,
    /// Hosts that failed and have not returned.
    pub failed: BTreeMap<HostId, WaveFailure>,
    /// Hosts that were maintained.
    pub done: BTreeSet<HostId>,
    /// Resumptions of the wave that this record takes into account.
    pub resumptions: u32,
    /// Ids of the latest writes.
    pub operations: RecentOperations,
}

impl WavePoolRecord {
    /// Makes the record of a pool that the wave has not touched.
    pub fn new(wave: WaveId, pool: PoolId) -> Self {
        Self {
            wave,
            pool,
            term: Term::default(),
            in_progress: BTreeMap::new(),
            failed: BTreeMap::new(),
            done: BTreeSet::new(),
            resumptions: 0,
            operations: RecentOperations::default(),
        }
    }

    /// Counts the failures that the owner has not seen.
    pub fn unseen_failures(&self) -> u32 {
        self.failed.values().map(|failure| u32::from(!failure.seen)).sum()
    }
}
