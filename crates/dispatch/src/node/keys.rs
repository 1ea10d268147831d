//! Keys of the store, and transactions made from the engines' writes.

use bytes::Bytes;
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError},
    state::ids::{PoolId, RecordVersion, WorkerId},
};

use super::platform::{Transaction, TransactionReply};
use crate::{
    coordination::{
        pool::{PoolWrite, WriteResult},
        submission::{SubmissionResult, SubmissionWrite},
        upkeep::UpkeepWrite,
    },
    state::{
        BalanceRecord, HandoverRequest, JobNumber, JobRecord, RecordError, VacateRequest,
        WaveNumber, WaveRecord, WaveState, decode, encode,
    },
};

/// Prefix of keys bound to the leases of holders.
pub(super) const CONTROL_PREFIX: &str = "control/";
/// Prefix of requests to holders to give up their scopes; below
/// [`CONTROL_PREFIX`], so that one watch shows both.
const HANDOVER_PREFIX: &str = "control/handover/";
/// Scope of upkeep beside those of pools.
pub(super) const UPKEEP_SCOPE: &str = "upkeep";
/// Prefix of requests to empty workers and of their confirmations.
pub(super) const FLEET_PREFIX: &str = "fleet/";
const VACATE_PREFIX: &str = "fleet/vacate/";
const VACATED_PREFIX: &str = "fleet/vacated/";
/// Key of what the holder of upkeep knows of pools and surges.
pub(super) const BALANCE_KEY: &str = "balance/state";
/// Prefix of records of waves.
pub(super) const WAVE_PREFIX: &str = "wave/";

pub(super) fn scope_of(pool: &PoolId) -> Box<str> {
    format!("pool-{pool}").into()
}

/// What a key below [`CONTROL_PREFIX`] concerns.
pub(super) enum ControlKey<'a> {
    /// The holder of a scope.
    Holder(&'a str),
    /// A request to the holder of a scope.
    Handover(&'a str),
}

/// Reads a key below [`CONTROL_PREFIX`].
pub(super) fn control_key(key: &str) -> Option<ControlKey<'_>> {
    match key.strip_prefix(HANDOVER_PREFIX) {
        Some(scope) => Some(ControlKey::Handover(scope)),
        None => key.strip_prefix(CONTROL_PREFIX).map(ControlKey::Holder),
    }
}

/// Makes the transaction that asks the holder of a scope to give it up, unless
/// its tenure is over.
pub(super) fn handover_transaction(
    fence: &Fence,
    scope: &str,
    request: &HandoverRequest,
) -> Result<Transaction, RecordError> {
    let put = vec![encoded(format!("{HANDOVER_PREFIX}{scope}").into(), request)?];
    Ok(Transaction { expected: vec![fence.condition()], put, remove: Vec::new() })
}

pub(super) fn jobs_prefix(pool: &PoolId) -> Box<str> {
    format!("jobs/{pool}/").into()
}

pub(super) fn progress_prefix(pool: &PoolId) -> Box<str> {
    format!("progress/{pool}/").into()
}

pub(super) fn roster_key(pool: &PoolId) -> Box<str> {
    format!("roster/{pool}").into()
}

/// Prefix of the pools' summaries.
pub(super) const SUMMARY_PREFIX: &str = "summary/";

pub(super) fn summary_key(pool: &PoolId) -> Box<str> {
    format!("{SUMMARY_PREFIX}{pool}").into()
}

pub(super) fn vacated_key(worker: &WorkerId) -> Box<str> {
    format!("{VACATED_PREFIX}{worker}").into()
}

fn vacate_key(worker: &WorkerId) -> Box<str> {
    format!("{VACATE_PREFIX}{worker}").into()
}

pub(super) fn progress_key(pool: &PoolId, job: JobNumber) -> Box<str> {
    format!("progress/{pool}/{job}").into()
}

/// Reads the job number at the end of a key.
pub(super) fn job_of(key: &str) -> Option<JobNumber> {
    key.rsplit('/').next()?.parse().ok()
}

/// What a key under [`FLEET_PREFIX`] says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FleetKey {
    Vacate(WorkerId),
    Vacated(WorkerId),
}

pub(super) fn fleet_key(key: &str) -> Option<FleetKey> {
    if let Some(worker) = key.strip_prefix(VACATE_PREFIX) {
        return worker.parse().ok().map(FleetKey::Vacate);
    }
    key.strip_prefix(VACATED_PREFIX)?.parse().ok().map(FleetKey::Vacated)
}

/// Decodes a record and logs what cannot be read.
pub(super) fn decode_item<R>(item: &KeyValue) -> Option<R>
where
    R: serde::de::DeserializeOwned,
{
    match decode(&item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::error!(key = &*item.key, version = item.version.0, error:display = error;
                "record cannot be read and is left out");
            None
        }
    }
}

fn encoded<R>(key: Box<str>, record: &R) -> Result<(Box<str>, Bytes), RecordError>
where
    R: serde::Serialize,
{
    Ok((key, encode(record)?.into()))
}

/// Condition that the lease of control has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Fence {
    pub(super) key: Box<str>,
    pub(super) version: RecordVersion,
}

impl Fence {
    pub(super) fn new(scope: &str, version: RecordVersion) -> Self {
        Self { key: format!("{CONTROL_PREFIX}{scope}").into(), version }
    }

    fn condition(&self) -> (Box<str>, RecordVersion) {
        (self.key.clone(), self.version)
    }

    /// Tells whether a conflict shows that the key is gone or another's.
    pub(super) fn is_broken(&self, conflict: &[KeyValue]) -> bool {
        let key = conflict.iter().find(|item| item.key == self.key);
        key.is_none_or(|key| key.version != self.version)
    }
}

/// Makes the transaction of an engine's write.
pub(super) fn pool_transaction(
    fence: &Fence,
    pool: &PoolId,
    write: &PoolWrite,
) -> Result<Transaction, RecordError> {
    let mut transaction = Transaction { expected: vec![fence.condition()], ..Default::default() };
    for (job, version, record) in &write.ended {
        let key = JobRecord::key(pool.as_str(), *job);
        transaction.expected.push((key.clone(), *version));
        transaction.put.push(encoded(key, record)?);
        transaction.remove.push(progress_key(pool, *job));
    }
    for (job, progress) in &write.progress {
        transaction.put.push(encoded(progress_key(pool, *job), progress)?);
    }
    for job in &write.forgotten {
        transaction.remove.push(JobRecord::key(pool.as_str(), *job));
    }
    if let Some(roster) = &write.roster {
        transaction.put.push(encoded(roster_key(pool), roster)?);
    }
    if let Some(summary) = &write.summary {
        transaction.put.push(encoded(summary_key(pool), summary)?);
    }
    Ok(transaction)
}

/// Translates the store's answer to an engine's write.
pub(super) fn pool_result(
    fence: &Fence,
    write: &PoolWrite,
    pool: &PoolId,
    reply: Result<TransactionReply, StoreError>,
) -> WriteResult {
    let conflict = match reply {
        Ok(TransactionReply::Written(version)) => return WriteResult::Written(version),
        Ok(TransactionReply::Conflict(conflict)) => conflict,
        Err(error) => {
            log::info!(pool = pool.as_str(), error:display = error;
                "write of the pool's state failed and is sent again");
            return WriteResult::Failed;
        }
    };
    if fence.is_broken(&conflict) {
        return WriteResult::OldTerm;
    }
    let changed = write.ended.iter().filter_map(|(job, version, _)| {
        let key = JobRecord::key(pool.as_str(), *job);
        let found = conflict.iter().find(|item| item.key == key);
        match found {
            Some(item) if item.version == *version => None,
            Some(item) => Some((*job, item.version, decode_item(item))),
            None => Some((*job, RecordVersion(0), None)),
        }
    });
    WriteResult::Conflict(changed.collect())
}

/// Makes the transaction that stores new jobs.
pub(super) fn submission_transaction(write: &SubmissionWrite) -> Transaction {
    let expected = write.jobs.iter().map(|(key, _)| (key.clone(), RecordVersion(0))).collect();
    Transaction { expected, put: write.jobs.clone(), remove: Vec::new() }
}

/// Translates the store's answer to a write of new jobs.
pub(super) fn submission_result(reply: Result<TransactionReply, StoreError>) -> SubmissionResult {
    match reply {
        Ok(TransactionReply::Written(_)) => SubmissionResult::Written,
        Ok(TransactionReply::Conflict(items)) => {
            SubmissionResult::Exist(items.into_iter().map(|item| item.key).collect())
        }
        Err(StoreError::NotSent | StoreError::Throttled) => SubmissionResult::NotWritten,
        Err(StoreError::Unknown | StoreError::Malformed(_)) => SubmissionResult::Unknown,
    }
}

/// Makes the transaction that stores what a successor has to know of surges.
pub(super) fn balance_transaction(
    fence: &Fence,
    record: &BalanceRecord,
) -> Result<Transaction, RecordError> {
    let put = vec![encoded(BALANCE_KEY.into(), record)?];
    Ok(Transaction { expected: vec![fence.condition()], put, remove: Vec::new() })
}

/// Makes the transaction of a write of the upkeep engine.
pub(super) fn upkeep_transaction<S>(
    fence: &Fence,
    write: &UpkeepWrite,
    state: S,
) -> Result<Transaction, RecordError>
where
    S: Fn(WaveNumber, WaveState) -> (Box<str>, Bytes),
{
    let mut transaction = Transaction { expected: vec![fence.condition()], ..Default::default() };
    for (worker, reason) in &write.vacate {
        let request = VacateRequest { reason: *reason };
        transaction.put.push(encoded(vacate_key(worker), &request)?);
    }
    for worker in &write.release {
        transaction.remove.extend([vacate_key(worker), vacated_key(worker)]);
    }
    for (wave, record) in &write.records {
        transaction.put.push(encoded(wave_key(*wave), record)?);
    }
    transaction.put.extend(write.states.iter().map(|(wave, wave_state)| state(*wave, *wave_state)));
    Ok(transaction)
}

fn wave_key(wave: WaveNumber) -> Box<str> {
    format!("{WAVE_PREFIX}{wave}").into()
}

/// Reads the wave number of a record's key.
pub(super) fn wave_of(key: &str) -> Option<WaveNumber> {
    key.strip_prefix(WAVE_PREFIX)?.parse().ok()
}

/// Decodes a wave's record.
pub(super) fn decode_wave(item: &KeyValue) -> Option<WaveRecord> {
    decode_item(item)
}
