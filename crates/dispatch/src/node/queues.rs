//! The records of queues, which tell where the jobs of a queue are.
//!
//! A job stays in the pool that its queue had when it was accepted. The record of a
//! queue lists every pool that has had it. A pool is added before the first job is
//! accepted there, and the write of each job is conditional on the version of the
//! record and on the absence of the job in all pools of it, so that a repeated
//! request never stores a second copy.

use std::cell::{Cell, RefCell};

use hashbrown::HashMap;
use tamarackproxy::{
    protocol::store::StoreError,
    state::ids::{PoolId, QueueId, RecordVersion},
};

use super::{
    clock,
    follow::list_with_retry,
    keys::{
        ALL_JOBS_PREFIX, QUEUES_COMPLETE_KEY, QUEUES_PREFIX, decode_item, pool_of_job, queue_of,
        queue_transaction,
    },
    platform::{Listing, Platform, Transaction, TransactionReply},
    shared::Shared,
};
use crate::{
    coordination::pool::QueuePolicy,
    state::{JobRecord, QueueRecord, QueueSettings, StoredPolicy},
};

/// Most records of queues in one write: each takes a condition and a value.
const RECORDS_PER_WRITE: usize = 14;

/// Version of a queue's record, and the pools besides that of the configuration in
/// force that may have jobs of the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct QueuePools {
    pub(super) version: RecordVersion,
    pub(super) former: Vec<PoolId>,
}

/// Records of queues as last read.
#[derive(Debug, Default)]
pub(super) struct KnownQueues {
    records: RefCell<HashMap<QueueId, (RecordVersion, QueueRecord)>>,
    /// When the record of each queue was last read, also if there was none, in
    /// milliseconds on the local clock.
    read_ms: RefCell<HashMap<QueueId, u64>>,
    /// When the configuration last changed, in milliseconds on the local clock.
    configured_ms: Cell<u64>,
    /// Every queue with jobs has a record.
    are_complete: Cell<bool>,
}

impl KnownQueues {
    /// Forgets a record that has changed.
    pub(super) fn forget(&self, queue: &QueueId) {
        self.records.borrow_mut().remove(queue);
    }

    /// Records that a configuration has come into force.
    pub(super) fn on_configuration(&self, now_ms: u64) {
        self.configured_ms.set(now_ms);
    }

    /// Returns whether a record was read so long after the last change of the
    /// configuration, `apply_ms`, that all processes had applied it.
    fn is_settled(&self, queue: &QueueId, apply_ms: u64) -> bool {
        let settled_ms = self.configured_ms.get().saturating_add(apply_ms);
        self.read_ms.borrow().get(queue).is_some_and(|&read_ms| read_ms >= settled_ms)
    }

    fn get(&self, queue: &QueueId) -> Option<(RecordVersion, QueueRecord)> {
        self.records.borrow().get(queue).cloned()
    }

    fn set(&self, queue: &QueueId, version: RecordVersion, record: QueueRecord) {
        self.records.borrow_mut().insert(queue.clone(), (version, record));
    }
}

/// Adds the pool of a queue to the queue's record, unless it contains it.
///
/// # Errors
///
/// Returns the error of the store. The record may be written later, which does no
/// harm.
pub(super) async fn prepare<P>(
    shared: &Shared<P>,
    queue: &QueueSettings,
) -> Result<QueuePools, StoreError>
where
    P: Platform,
{
    let name = &queue.queue;
    let configuration = shared.document().map_or(RecordVersion(0), |document| document.record);
    loop {
        let known = match shared.queues.get(name) {
            Some(known) => Some(known),
            None => read(shared, name).await?,
        };
        let (version, record) = match known {
            Some((version, record)) => match record.updated(queue, configuration) {
                None => return Ok(pools(queue, version, &record)),
                Some(updated) => (version, updated),
            },
            None => {
                complete(shared).await?;
                match read(shared, name).await? {
                    Some(_) => continue,
                    None => (RecordVersion(0), QueueRecord::new(queue, configuration, [])),
                }
            }
        };
        shared.queues.forget(name);
        let records = [(name.clone(), version, record)];
        if let Some(version) = write(shared, &records, false).await? {
            let [(_, _, record)] = records;
            log::info!(queue = name.as_str(), pool = queue.pool.as_str(),
                pools = record.pools.len(); "pool was added to the record of a queue");
            shared.queues.set(name, version, record);
        }
    }
}

fn pools(queue: &QueueSettings, version: RecordVersion, record: &QueueRecord) -> QueuePools {
    let former = record.pools.iter().filter(|pool| **pool != queue.pool);
    QueuePools { version, former: former.cloned().collect() }
}

/// Reads a queue's record.
async fn read<P>(
    shared: &Shared<P>,
    queue: &QueueId,
) -> Result<Option<(RecordVersion, QueueRecord)>, StoreError>
where
    P: Platform,
{
    let sent_ms = clock::read().monotonic_ms;
    let item = shared.read(&QueueRecord::key(queue)).await?;
    shared.queues.read_ms.borrow_mut().insert(queue.clone(), sent_ms);
    let Some(item) = item else { return Ok(None) };
    let record = decode_item::<QueueRecord>(&item)
        .ok_or_else(|| StoreError::Malformed("record of a queue".into()))?;
    shared.queues.set(queue, item.version, record.clone());
    Ok(Some((item.version, record)))
}

/// Lists the pools besides `queue.pool` that may have jobs of a queue.
///
/// # Errors
///
/// Returns the error of the store.
pub(super) async fn former_pools<P>(
    shared: &Shared<P>,
    queue: &QueueSettings,
) -> Result<Vec<PoolId>, StoreError>
where
    P: Platform,
{
    let mut record = read(shared, &queue.queue).await?;
    if record.is_none() && !shared.queues.are_complete.get() {
        complete(shared).await?;
        record = read(shared, &queue.queue).await?;
    }
    Ok(record.map(|(version, record)| pools(queue, version, &record).former).unwrap_or_default())
}

/// Lists the pools besides `queue.pool` in which jobs of a queue may wait. Unlike
/// [`former_pools`], it reads the record again only while the configuration has
/// changed recently: a count may leave out a pool that an outdated process adds.
///
/// # Errors
///
/// Returns the error of the store.
pub(super) async fn waiting_pools<P>(
    shared: &Shared<P>,
    queue: &QueueSettings,
) -> Result<Vec<PoolId>, StoreError>
where
    P: Platform,
{
    if !shared.queues.is_settled(&queue.queue, shared.settings.configuration_apply_ms) {
        return former_pools(shared, queue).await;
    }
    let known = shared.queues.get(&queue.queue);
    Ok(known.map(|(version, record)| pools(queue, version, &record).former).unwrap_or_default())
}

/// Reads the policies of all queues that have had jobs; retried until the store has
/// replied.
pub(super) async fn stored_policies<P>(shared: &Shared<P>) -> Vec<(QueueId, QueuePolicy)>
where
    P: Platform,
{
    let listing = list_with_retry(shared, QUEUES_PREFIX).await;
    let items = listing.items.iter().filter(|item| *item.key != *QUEUES_COMPLETE_KEY);
    let policies = items.filter_map(|item| {
        let record: QueueRecord = decode_item(item)?;
        Some((queue_of(&item.key)?, record.policy.into()))
    });
    policies.collect()
}

impl From<StoredPolicy> for QueuePolicy {
    fn from(policy: StoredPolicy) -> Self {
        let StoredPolicy { priority, attempts_max, stretch, objective_ms, advice } = policy;
        Self { priority, attempts_max, stretch, objective_ms, advice }
    }
}

/// Creates the records of the queues of all stored jobs, unless that was done: jobs
/// of earlier versions of this program were stored without them.
async fn complete<P>(shared: &Shared<P>) -> Result<(), StoreError>
where
    P: Platform,
{
    while !shared.queues.are_complete.get() {
        if shared.read(QUEUES_COMPLETE_KEY).await?.is_some() {
            shared.queues.are_complete.set(true);
            break;
        }
        let found = pools_by_queue(&shared.list(ALL_JOBS_PREFIX).await?);
        let mut records = Vec::new();
        for (name, found) in found {
            let record = match read(shared, &name).await? {
                Some((version, record)) => {
                    let missing = found.into_iter().filter(|pool| !record.pools.contains(pool));
                    let pools = record.pools.iter().cloned().chain(missing).collect();
                    (version, QueueRecord { pools, ..record })
                }
                None => (RecordVersion(0), new_record(shared, &name, found)),
            };
            records.push((name, record.0, record.1));
        }
        let chunks = records.chunks(RECORDS_PER_WRITE).len();
        let mut is_written = true;
        for chunk in records.chunks(RECORDS_PER_WRITE).take(chunks.saturating_sub(1)) {
            is_written &= write(shared, chunk, false).await?.is_some();
        }
        let last = records.chunks(RECORDS_PER_WRITE).next_back().unwrap_or_default();
        if is_written && write(shared, last, true).await?.is_some() {
            log::info!(queues = records.len(); "records of the queues of all jobs were created");
        }
    }
    Ok(())
}

/// Creates the record of a queue with jobs from before there were records.
fn new_record<P>(shared: &Shared<P>, name: &QueueId, found: Vec<PoolId>) -> QueueRecord
where
    P: Platform,
{
    let document = shared.document();
    match document.as_ref().and_then(|document| Some((document, document.queue(name)?))) {
        Some((document, queue)) => QueueRecord::new(queue, document.record, found),
        None => QueueRecord {
            pools: found,
            configuration: RecordVersion(0),
            policy: QueuePolicy::default().into(),
        },
    }
}

impl From<QueuePolicy> for StoredPolicy {
    fn from(policy: QueuePolicy) -> Self {
        let QueuePolicy { priority, attempts_max, stretch, objective_ms, advice } = policy;
        Self { priority, attempts_max, stretch, objective_ms, advice }
    }
}

fn pools_by_queue(jobs: &Listing) -> HashMap<QueueId, Vec<PoolId>> {
    let mut found: HashMap<QueueId, Vec<PoolId>> = HashMap::new();
    for item in &jobs.items {
        let Some(record) = decode_item::<JobRecord>(item) else { continue };
        let Some(pool) = pool_of_job(&item.key) else { continue };
        let pools = found.entry(record.queue).or_default();
        if !pools.contains(&pool) {
            pools.push(pool);
        }
    }
    found
}

/// Writes records of queues; returns their version, or none if another process
/// wrote one of them. With `is_last`, every queue with jobs has a record then.
async fn write<P>(
    shared: &Shared<P>,
    records: &[(QueueId, RecordVersion, QueueRecord)],
    is_last: bool,
) -> Result<Option<RecordVersion>, StoreError>
where
    P: Platform,
{
    let mut transaction: Transaction = queue_transaction(records)
        .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
    if is_last {
        transaction.expected.push((QUEUES_COMPLETE_KEY.into(), RecordVersion(0)));
        transaction.put.push((QUEUES_COMPLETE_KEY.into(), bytes::Bytes::new()));
    }
    match shared.transact(&transaction).await? {
        TransactionReply::Written(version) => Ok(Some(version)),
        TransactionReply::Conflict(_) => Ok(None),
    }
}

#[cfg(test)]
mod tests;
