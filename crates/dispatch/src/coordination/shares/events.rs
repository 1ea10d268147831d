//! Calls that the share engine requests, and their results.

use std::collections::BTreeMap;

use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{PoolId, RecordVersion},
};

use crate::state::ShareRecord;

/// What an account takes and wants in the pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountDemand {
    /// Declared needs of all runs that may exist.
    pub running: Resources,
    /// Declared needs of the tasks that could start now if the limit allowed it.
    pub blocked: Resources,
    /// Smallest need among them, of one task or of one gang.
    pub unit: Resources,
}

/// What the pool may use of an account's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Total that the account's runs in the pool may take after a start.
    pub usable: Resources,
    /// Share that a previous controller left: bounds what it started.
    pub inherited: Resources,
    /// The limit has no room for a blocked task.
    pub is_limit_reached: bool,
}

/// A call that the owner of the engine must make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShareCall {
    /// List the shares of all pools.
    List,
    /// Write the pool's share.
    Write(ShareWrite),
}

/// A write of the pool's share, conditional on control of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareWrite {
    /// The new record.
    pub record: ShareRecord,
    /// Version that the pool's record must have; 0 if it must not exist.
    pub version: RecordVersion,
    /// Version that the key of raises must have, which the write replaces; none
    /// if no share is raised.
    pub raise: Option<RecordVersion>,
    /// Records to remove, with their versions: their pools are not configured
    /// and must have no controller.
    pub abandoned: Vec<(PoolId, RecordVersion)>,
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareWriteResult {
    /// The write took effect at this version.
    Written(RecordVersion),
    /// A condition failed; the write had no effect.
    Conflict,
    /// The write was not sent, or was rejected; it had no effect.
    NotWritten,
    /// No reply; the write may take effect later.
    Unknown,
    /// The lease key is gone or belongs to another holder.
    OldTerm,
}

/// The shares of all pools as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedShares {
    /// Version of the key of raises, which was read before the shares; 0 if it
    /// does not exist.
    pub raise: RecordVersion,
    /// Shares by pool with their versions.
    pub pools: BTreeMap<PoolId, (RecordVersion, ShareRecord)>,
}
