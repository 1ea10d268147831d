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
    /// The owner paused it in the document; stops in progress are completed.
    Paused,
    /// It paused automatically because too many hosts failed.
    PausedByFailures,
    /// Every host of its pools has been maintained.
    Finished,
}

/// Value of `wave/<name>`: state shared by the pools of the wave.
///
/// The controllers of all pools of the wave write it. Parallelism is granted
/// here by compare-and-swap, so the limit holds across pools; a pool keeps its
/// grant from one host to the next, so most stops need no write here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    pub wave: WaveId,
    pub phase: WavePhase,
    /// Latest term of each pool's controller.
    pub terms: BTreeMap<PoolId, Term>,
    /// Hosts that each pool may stop at once.
    pub granted: BTreeMap<PoolId, u32>,
    /// Failed hosts of each pool that the owner has not acknowledged by resuming
    /// the wave.
    pub failed: BTreeMap<PoolId, u32>,
    /// Pools whose hosts have all been maintained.
    pub finished_pools: BTreeSet<PoolId>,
    /// How often the owner has resumed the wave; a resumption acknowledges all
    /// failures before it.
    pub resumptions: u32,
    /// When the wave began, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// Ids of the latest writes.
    pub operations: RecentOperations,
}

impl WaveRecord {
    /// Creates the record of a wave that begins.
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

/// A host that the wave is stopping.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveStop {
    /// Id of the whole operation; the reservations and the reboot carry it.
    pub operation: OperationId,
    /// When the operation began, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
}

/// A host that failed while the wave ran and has not returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveFailure {
    /// Whether the host failed after the wave had stopped it.
    pub planned: bool,
    /// Whether the owner has resumed the wave since; such a failure no longer
    /// counts towards pausing the wave.
    pub seen: bool,
}

/// Value of `wave/<name>/<pool>`: progress of the wave in one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WavePoolRecord {
    pub wave: WaveId,
    pub pool: PoolId,
    /// Term of the controller that wrote the record last, or of one that took
    /// over and raised the term to fence off previous controllers.
    pub term: Term,
    /// Hosts that are being stopped.
    pub in_progress: BTreeMap<HostId, WaveStop>,
    /// Hosts that failed and have not returned.
    pub failed: BTreeMap<HostId, WaveFailure>,
    /// Hosts that have been maintained.
    pub done: BTreeSet<HostId>,
    /// Resumptions of the wave that this record takes into account.
    pub resumptions: u32,
    /// Ids of the latest writes.
    pub operations: RecentOperations,
}

impl WavePoolRecord {
    /// Creates the record of a pool in which the wave has not begun.
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

    /// Returns the number of failures that the owner has not acknowledged.
    pub fn unseen_failures(&self) -> u32 {
        self.failed.values().map(|failure| u32::from(!failure.seen)).sum()
    }
}
