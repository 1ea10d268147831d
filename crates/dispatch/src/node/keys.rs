//! Store keys, and conversion of the engines' writes to transactions.

use bytes::Bytes;
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError},
    state::ids::{EntryId, PoolId, QueueId, RecordVersion, WorkerId},
};

use super::platform::{Listing, Transaction, TransactionReply};
use crate::{
    coordination::{
        pool::{PoolWrite, WriteResult},
        shares::{ListedShares, ShareWrite, ShareWriteResult},
        submission::{SubmissionResult, SubmissionWrite},
        upkeep::UpkeepWrite,
    },
    state::{
        BalanceRecord, HandoverRequest, JobNumber, JobRecord, JobState, ProgressRecord,
        QueueRecord, RecordError, VacateRequest, WaveNumber, WaveRecord, WaveState, decode,
        decode_progress, encode,
    },
};

/// Prefix of the keys that name the holder of each scope; bound to the holders'
/// leases.
pub(super) const CONTROL_PREFIX: &str = "control/";
/// Prefix of handover requests to holders; below [`CONTROL_PREFIX`], so that one
/// watch covers both.
const HANDOVER_PREFIX: &str = "control/handover/";
/// Name of the scope of host maintenance; all other scopes are pools.
pub(super) const UPKEEP_SCOPE: &str = "upkeep";
/// Prefix of the entries of running processes; bound to their leases.
pub(super) const MEMBERS_PREFIX: &str = "members/";
/// Prefix of requests to vacate workers and of their confirmations.
pub(super) const FLEET_PREFIX: &str = "fleet/";
const VACATE_PREFIX: &str = "fleet/vacate/";
const VACATED_PREFIX: &str = "fleet/vacated/";
/// Key of the record of pool sizes and load surges, kept by the controller of
/// host maintenance.
pub(super) const BALANCE_KEY: &str = "balance/state";
/// Prefix of the queues' records.
pub(super) const QUEUES_PREFIX: &str = "queues/";
/// Empty key that exists once every queue with jobs has a record. It sorts before
/// the queues.
pub(super) const QUEUES_COMPLETE_KEY: &str = "queues/-complete";
/// Prefix of the records of all jobs.
pub(super) const ALL_JOBS_PREFIX: &str = "jobs/";
/// Empty key of the controller of host maintenance; its version is that of the
/// controller's last write.
pub(super) const UPKEEP_LAST_WRITE_KEY: &str = "last-upkeep-write";
/// Prefix of the records of maintenance waves.
pub(super) const WAVE_PREFIX: &str = "wave/";

/// Returns the name of a pool's scope.
pub(super) fn pool_scope(pool: &PoolId) -> Box<str> {
    format!("pool-{pool}").into()
}

/// A parsed key below [`CONTROL_PREFIX`].
pub(super) enum ControlKey<'a> {
    /// The holder of a scope.
    Holder(&'a str),
    /// A handover request to the holder of a scope.
    Handover(&'a str),
}

/// Parses a key below [`CONTROL_PREFIX`].
pub(super) fn control_key(key: &str) -> Option<ControlKey<'_>> {
    match key.strip_prefix(HANDOVER_PREFIX) {
        Some(scope) => Some(ControlKey::Handover(scope)),
        None => key.strip_prefix(CONTROL_PREFIX).map(ControlKey::Holder),
    }
}

/// Builds the transaction that requests a scope from its holder; it fails if
/// the holder has lost control.
pub(super) fn handover_transaction(
    fence: &Fence,
    scope: &str,
    request: &HandoverRequest,
) -> Result<Transaction, RecordError> {
    let put = vec![encode_entry(format!("{HANDOVER_PREFIX}{scope}").into(), request)?];
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

/// Key that every write of a pool's controller replaces. Its version is that of
/// the pool's last write.
pub(super) fn last_write_key(pool: &PoolId) -> Box<str> {
    format!("last-write/{pool}").into()
}

/// Prefix of the pools' summaries.
pub(super) const SUMMARY_PREFIX: &str = "summary/";

pub(super) fn summary_key(pool: &PoolId) -> Box<str> {
    format!("{SUMMARY_PREFIX}{pool}").into()
}

/// Prefix of the pools' shares of client accounts' limits.
pub(super) const SHARES_PREFIX: &str = "account-shares/";
/// Empty key that every raise of a share replaces. It sorts before the pools, so
/// that a listing reads it first.
const RAISE_KEY: &str = "account-shares/-raise";

fn share_key(pool: &PoolId) -> Box<str> {
    format!("{SHARES_PREFIX}{pool}").into()
}

/// Parses the name of a pool's scope.
pub(super) fn pool_of_scope(scope: &str) -> Option<PoolId> {
    scope.strip_prefix("pool-")?.parse().ok()
}

pub(super) fn vacated_key(worker: &WorkerId) -> Box<str> {
    format!("{VACATED_PREFIX}{worker}").into()
}

pub(super) fn member_key(entry: &EntryId) -> Box<str> {
    format!("{MEMBERS_PREFIX}{entry}").into()
}

pub(super) fn vacate_key(worker: &WorkerId) -> Box<str> {
    format!("{VACATE_PREFIX}{worker}").into()
}

pub(super) fn progress_key(pool: &PoolId, job: JobNumber) -> Box<str> {
    format!("progress/{pool}/{job}").into()
}

/// Parses the pool in the key of a job's record.
pub(super) fn pool_of_job(key: &str) -> Option<PoolId> {
    key.strip_prefix(ALL_JOBS_PREFIX)?.split_once('/')?.0.parse().ok()
}

/// Parses the name in the key of a queue's record.
pub(super) fn queue_of(key: &str) -> Option<QueueId> {
    key.strip_prefix(QUEUES_PREFIX)?.parse().ok()
}

/// Builds the transaction that writes records of queues, each of the given version.
pub(super) fn queue_transaction(
    records: &[(QueueId, RecordVersion, QueueRecord)],
) -> Result<Transaction, RecordError> {
    let mut transaction = Transaction { expected: Vec::new(), put: Vec::new(), remove: Vec::new() };
    for (queue, version, record) in records {
        let key = QueueRecord::key(queue);
        transaction.expected.push((key.clone(), *version));
        transaction.put.push(encode_entry(key, record)?);
    }
    Ok(transaction)
}

/// Parses the job number at the end of a key.
pub(super) fn job_of(key: &str) -> Option<JobNumber> {
    key.rsplit('/').next()?.parse().ok()
}

/// A parsed key below [`FLEET_PREFIX`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FleetKey {
    /// Request to vacate a worker.
    Vacate(WorkerId),
    /// Confirmation that a worker is vacated.
    Vacated(WorkerId),
}

/// Parses a key below [`FLEET_PREFIX`].
pub(super) fn fleet_key(key: &str) -> Option<FleetKey> {
    if let Some(worker) = key.strip_prefix(VACATE_PREFIX) {
        return worker.parse().ok().map(FleetKey::Vacate);
    }
    key.strip_prefix(VACATED_PREFIX)?.parse().ok().map(FleetKey::Vacated)
}

/// Decodes a record; logs an error and returns none if that fails.
pub(super) fn decode_item<R>(item: &KeyValue) -> Option<R>
where
    R: serde::de::DeserializeOwned,
{
    decode_item_by(item, decode)
}

/// Decodes a record of a job's progress in the same way.
pub(super) fn decode_progress_item(item: &KeyValue) -> Option<ProgressRecord> {
    decode_item_by(item, decode_progress)
}

fn decode_item_by<R>(
    item: &KeyValue,
    decode: impl Fn(&[u8]) -> Result<R, RecordError>,
) -> Option<R> {
    match decode(&item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::error!(key = &*item.key, version = item.version.0, error:display = error;
                "record could not be decoded and is ignored");
            None
        }
    }
}

fn encode_entry<R>(key: Box<str>, record: &R) -> Result<(Box<str>, Bytes), RecordError>
where
    R: serde::Serialize,
{
    Ok((key, encode(record)?.into()))
}

/// Transaction condition that this process still holds the control lease.
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

    /// Returns whether a conflict shows that the lease key is gone or belongs to
    /// another holder.
    pub(super) fn is_broken(&self, conflict: &[KeyValue]) -> bool {
        let key = conflict.iter().find(|item| item.key == self.key);
        key.is_none_or(|key| key.version != self.version)
    }
}

/// Builds the transaction of a pool engine's write.
pub(super) fn pool_transaction(
    fence: &Fence,
    pool: &PoolId,
    write: &PoolWrite,
) -> Result<Transaction, RecordError> {
    let last_write = last_write_key(pool);
    let mut transaction = Transaction {
        expected: vec![fence.condition(), (last_write.clone(), write.previous)],
        put: vec![(last_write, Bytes::new())],
        remove: Vec::new(),
    };
    for (job, version, record) in &write.ended {
        let key = JobRecord::key(pool.as_str(), *job);
        transaction.expected.push((key.clone(), *version));
        transaction.put.push(encode_entry(key, record)?);
        transaction.remove.push(progress_key(pool, *job));
    }
    for (job, progress) in &write.progress {
        transaction.put.push(encode_entry(progress_key(pool, *job), progress)?);
    }
    for (job, version) in &write.expired {
        let key = JobRecord::key(pool.as_str(), *job);
        transaction.expected.push((key.clone(), *version));
        transaction.remove.push(key);
    }
    if let Some(roster) = &write.roster {
        transaction.put.push(encode_entry(roster_key(pool), roster)?);
    }
    if let Some(summary) = &write.summary {
        transaction.put.push(encode_entry(summary_key(pool), summary)?);
    }
    Ok(transaction)
}

/// Converts the store's reply to a pool engine's write.
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
                "write of the pool's state failed; retrying");
            return WriteResult::Failed;
        }
    };
    if fence.is_broken(&conflict) {
        return WriteResult::OldTerm;
    }
    let last_write = last_write_key(pool);
    let last_write = conflict.iter().find(|item| item.key == last_write);
    let last_write = last_write.map_or(RecordVersion(0), |item| item.version);
    if last_write != write.previous {
        return WriteResult::Superseded(last_write);
    }
    let ended = write.ended.iter().map(|(job, version, _)| (job, version));
    let expired = write.expired.iter().map(|(job, version)| (job, version));
    let changed = ended.chain(expired).filter_map(|(job, version)| {
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

/// Decodes the shares of all pools. None if one of them cannot be decoded, since
/// what it holds must not be used by another pool.
pub(super) fn listed_shares(listing: &Listing) -> Option<ListedShares> {
    let mut shares = ListedShares::default();
    for item in &listing.items {
        if *item.key == *RAISE_KEY {
            shares.raise = item.version;
            continue;
        }
        let Some(pool) = item.key.strip_prefix(SHARES_PREFIX).and_then(|name| name.parse().ok())
        else {
            log::error!(key = &*item.key; "key names no pool and is ignored");
            continue;
        };
        shares.pools.insert(pool, (item.version, decode_item(item)?));
    }
    Some(shares)
}

/// Builds the transaction of a write of a pool's shares.
pub(super) fn share_transaction(
    fence: &Fence,
    pool: &PoolId,
    write: &ShareWrite,
) -> Result<Transaction, RecordError> {
    let key = share_key(pool);
    let mut transaction = Transaction {
        expected: vec![fence.condition(), (key.clone(), write.version)],
        put: vec![encode_entry(key, &write.record)?],
        remove: Vec::new(),
    };
    if let Some(version) = write.raise {
        transaction.expected.push((RAISE_KEY.into(), version));
        transaction.put.push((RAISE_KEY.into(), Bytes::new()));
    }
    for (pool, version) in &write.abandoned {
        let key = share_key(pool);
        let control = Fence::new(&pool_scope(pool), RecordVersion(0));
        transaction.expected.extend([(key.clone(), *version), control.condition()]);
        transaction.remove.push(key);
    }
    Ok(transaction)
}

/// Converts the store's reply to a write of a pool's shares.
pub(super) fn share_result(
    fence: &Fence,
    reply: Result<TransactionReply, StoreError>,
) -> ShareWriteResult {
    match reply {
        Ok(TransactionReply::Written(version)) => ShareWriteResult::Written(version),
        Ok(TransactionReply::Conflict(conflict)) if fence.is_broken(&conflict) => {
            ShareWriteResult::OldTerm
        }
        Ok(TransactionReply::Conflict(_)) => ShareWriteResult::Conflict,
        Err(StoreError::NotSent | StoreError::Throttled) => ShareWriteResult::NotWritten,
        Err(StoreError::Unknown | StoreError::Malformed(_)) => ShareWriteResult::Unknown,
    }
}

/// Builds the transaction that stores new jobs.
pub(super) fn submission_transaction(write: &SubmissionWrite) -> Transaction {
    let keys = write.jobs.iter().map(|(key, _)| key).chain(&write.former_keys);
    let jobs = keys.map(|key| (key.clone(), write.expected(key)));
    let expected = jobs.chain(write.queues.iter().cloned()).collect();
    Transaction { expected, put: write.jobs.clone(), remove: Vec::new() }
}

/// Converts the store's reply to a write of new jobs.
pub(super) fn submission_result(
    write: &SubmissionWrite,
    reply: Result<TransactionReply, StoreError>,
) -> SubmissionResult {
    match reply {
        Ok(TransactionReply::Written(_)) => SubmissionResult::Written,
        Ok(TransactionReply::Conflict(items)) => {
            let found = |key: &str| {
                let item = items.iter().find(|item| *item.key == *key);
                item.map_or(RecordVersion(0), |item| item.version)
            };
            let keys = write.jobs.iter().map(|(key, _)| key).chain(&write.former_keys);
            let is_withdrawn = |key: &str| {
                let item = items.iter().find(|item| *item.key == *key);
                let record = item.and_then(decode_item::<JobRecord>);
                record.is_some_and(|record| matches!(record.state, JobState::Withdrawn { .. }))
            };
            let others = keys.filter(|&key| found(key) != write.expected(key)).cloned();
            // The record of a withdrawn job may have been removed meanwhile.
            let (withdrawn, existing): (Vec<Box<str>>, _) =
                others.partition(|key| found(key) == RecordVersion(0) || is_withdrawn(key));
            let changed = write.queues.iter().filter(|(key, version)| found(key) != *version);
            SubmissionResult::Conflict {
                existing,
                withdrawn,
                changed_queues: changed.map(|(key, _)| key.clone()).collect(),
            }
        }
        Err(StoreError::NotSent | StoreError::Throttled) => SubmissionResult::NotWritten,
        Err(StoreError::Unknown | StoreError::Malformed(_)) => SubmissionResult::Unknown,
    }
}

/// Builds the transaction that stores the load surges for a successor.
pub(super) fn balance_transaction(
    fence: &Fence,
    record: &BalanceRecord,
) -> Result<Transaction, RecordError> {
    let put = vec![encode_entry(BALANCE_KEY.into(), record)?];
    Ok(Transaction { expected: vec![fence.condition()], put, remove: Vec::new() })
}

/// Builds the transaction of a write of the maintenance engine; `previous` is the
/// version of its last write that is known, 0 if there was none.
pub(super) fn upkeep_transaction<S>(
    fence: &Fence,
    previous: RecordVersion,
    write: &UpkeepWrite,
    state: S,
) -> Result<Transaction, RecordError>
where
    S: Fn(WaveNumber, WaveState) -> (Box<str>, Bytes),
{
    let mut transaction = Transaction {
        expected: vec![fence.condition(), (UPKEEP_LAST_WRITE_KEY.into(), previous)],
        put: vec![(UPKEEP_LAST_WRITE_KEY.into(), Bytes::new())],
        remove: Vec::new(),
    };
    for (worker, reason) in &write.vacate {
        let request = VacateRequest { reason: *reason };
        transaction.put.push(encode_entry(vacate_key(worker), &request)?);
    }
    for worker in &write.release {
        transaction.remove.extend([vacate_key(worker), vacated_key(worker)]);
    }
    for (wave, record) in &write.records {
        transaction.put.push(encode_entry(wave_key(*wave), record)?);
    }
    transaction.put.extend(write.states.iter().map(|(wave, wave_state)| state(*wave, *wave_state)));
    Ok(transaction)
}

fn wave_key(wave: WaveNumber) -> Box<str> {
    format!("{WAVE_PREFIX}{wave}").into()
}

/// Parses the wave number from the key of a wave's record.
pub(super) fn wave_of(key: &str) -> Option<WaveNumber> {
    key.strip_prefix(WAVE_PREFIX)?.parse().ok()
}

/// Decodes a wave's record.
pub(super) fn decode_wave(item: &KeyValue) -> Option<WaveRecord> {
    decode_item_by(item, WaveRecord::decode)
}
