//! Handling of callers' requests: submission, state and cancellation of jobs.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError},
    state::ids::{PoolId, QueueId, RecordVersion},
};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

use super::{
    backlog, clock,
    keys::{decode_item, submission_result, submission_transaction, summary_key},
    platform::{Platform, Transaction, TransactionReply},
    queues::{self, QueuePools},
    shared::Shared,
};
use crate::{
    coordination::{
        access::Caller,
        admission::NewJob,
        pool::JobView,
        submission::{NewRecord, SubmissionAction, SubmissionAnswer, SubmissionWrite, Submissions},
    },
    state::{
        InvalidJob, JobNumber, JobOutcome, JobRecord, JobSpec, JobState, QueueRecord,
        QueueSettings, Summary, encode,
    },
};

/// Timeout assumed for a request that names none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 3_000;
/// Part of a request's timeout that is reserved for sending the response, in
/// milliseconds.
const RESPONSE_MARGIN_MS: u64 = 60;
/// Delay before a read or a cancellation is retried, in milliseconds.
const RETRY_MS: u64 = 40;
/// Most attempts to read or write the record of a queue for one submission.
const QUEUE_ATTEMPTS_MAX: u32 = 2;
/// Time for one such attempt, in milliseconds.
const QUEUE_TIMEOUT_MS: u64 = 500;
/// Retry delay sent to callers while the process cannot serve them, in
/// milliseconds.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// A decoded request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerRequest {
    /// Submits a job.
    Submit {
        /// The queue.
        queue: QueueSettings,
        /// Number chosen by the caller.
        job: JobNumber,
        /// The job.
        spec: JobSpec,
    },
    /// Returns a job's state.
    State {
        /// The queue.
        queue: QueueSettings,
        /// The job.
        job: JobNumber,
    },
    /// Cancels a job.
    Cancel {
        /// The queue.
        queue: QueueSettings,
        /// The job.
        job: JobNumber,
    },
    /// Counts the jobs of which no task has started.
    CountWaiting {
        /// The queue.
        queue: QueueSettings,
    },
}

/// Reasons why a request is rejected before it is processed.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
pub enum RequestError {
    /// no queue serves this path; check the host name and the prefix
    NoSuchQueue,
    /// the queue {0} has no pool; add its service to the configuration
    NoPool(QueueId),
    /// the key is missing or unknown; send a key of the account in the Authorization header
    Unauthorized,
    /// the method is not known here; use POST, GET or DELETE
    Method,
    /// the path names no job; give 16 hexadecimal digits
    JobNumber,
    /// the job cannot be read: {0}
    Malformed(Box<str>),
    /// the job cannot run: {0}
    Invalid(InvalidJob),
    /// the body has more than {0} bytes; send a smaller job
    TooLarge(usize),
}

/// Response to a caller, before the platform encodes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallerResponse {
    /// The job is stored.
    Accepted,
    /// The job is not stored, and this request will never make it run.
    NotAccepted {
        /// Delay before another try, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job is not stored because it would end too late for its caller.
    Overloaded {
        /// Delay after which such a job could meet its objective, in
        /// milliseconds.
        retry_after_ms: u64,
    },
    /// The outcome is unknown: the request may have taken effect or may do so
    /// later.
    Unknown,
    /// The requested information is not available at present.
    Unavailable {
        /// Delay before another try, in milliseconds.
        retry_after_ms: u64,
    },
    /// A job's state.
    State {
        /// At least one task has started.
        has_started: bool,
        /// How the job ended; none while it has not.
        outcome: Option<JobOutcome>,
    },
    /// The job is cancelled or had already ended.
    Cancelled,
    /// There is no such job.
    NoSuchJob,
    /// Number of jobs of which no task has started.
    Waiting(u64),
    /// The request is rejected.
    Refused(RequestError),
}

/// Returns when the response to a request must be sent, in milliseconds on the
/// local clock.
pub(super) fn caller_deadline_ms(received_ms: u64, timeout_ms: Option<u64>) -> u64 {
    let timeout_ms = timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS).saturating_sub(RESPONSE_MARGIN_MS);
    received_ms.saturating_add(timeout_ms)
}

/// Serves one request within its timeout.
pub(super) async fn serve<P>(
    shared: &Rc<Shared<P>>,
    caller: &Caller,
    request: CallerRequest,
    timeout_ms: Option<u64>,
) -> CallerResponse
where
    P: Platform,
{
    let timeout_ms = timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS).saturating_sub(RESPONSE_MARGIN_MS);
    let time = Duration::from_millis(timeout_ms);
    match request {
        CallerRequest::Submit { queue, job, spec } => {
            submit(shared, caller, &queue, job, spec, timeout_ms).await
        }
        CallerRequest::State { queue, job } => {
            let state = timeout(time, job_state(shared, caller, &queue, job)).await;
            state.unwrap_or(CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS })
        }
        CallerRequest::Cancel { queue, job } => {
            let deadline_ms = clock::read().monotonic_ms.saturating_add(timeout_ms);
            let response = timeout(time, cancel(shared, caller, &queue, job, deadline_ms)).await;
            response.unwrap_or(CallerResponse::Unknown)
        }
        CallerRequest::CountWaiting { queue } => {
            let count = timeout(time, count_waiting(shared, &queue)).await;
            count.unwrap_or(CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS })
        }
    }
}

async fn submit<P>(
    shared: &Rc<Shared<P>>,
    caller: &Caller,
    queue: &QueueSettings,
    job: JobNumber,
    spec: JobSpec,
    timeout_ms: u64,
) -> CallerResponse
where
    P: Platform,
{
    if !shared.store_is_reachable() {
        // Nothing was sent, so the job is certainly not stored. Another entry
        // host may reach the store.
        return CallerResponse::NotAccepted { retry_after_ms: RETRY_AFTER_MS };
    }
    let now = clock::read();
    let deadline_ms = now.monotonic_ms.saturating_add(timeout_ms);
    let unavailable = CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS };
    let Some(mut pools) = queue_pools(shared, queue, deadline_ms).await else { return unavailable };
    let new = NewJob { queue, account: caller.account(), spec: &spec };
    let delay = match backlog::check(shared, job, &new, &pools.former).await {
        Ok(delay) => delay,
        Err(rejection) => return rejection,
    };
    let record = JobRecord {
        queue: queue.queue.clone(),
        account: caller.account().cloned(),
        accepted_unix_ms: now.unix_ms,
        state: JobState::Live(spec),
    };
    let value = match encode(&record) {
        Ok(value) => Bytes::from(value),
        Err(error) => {
            let error = RequestError::Malformed(error.to_string().into());
            return CallerResponse::Refused(error);
        }
    };
    let mut new = new_record(queue, &pools, job, value.clone());
    loop {
        match store(shared, Records::Jobs, new, deadline_ms).await {
            Ok(SubmissionAnswer::Accepted) => {
                backlog::on_accepted(shared, queue, &record);
                return CallerResponse::Accepted;
            }
            Ok(SubmissionAnswer::Withdrawn) => {
                let Some(withdrawn) = withdrawn_jobs(shared, queue, &pools, job).await else {
                    return unavailable;
                };
                if let Some(own) = withdrawn.iter().find(|it| it.is_of(queue, caller)) {
                    return accept_cancelled(shared, own).await;
                }
                let versions = withdrawn.into_iter().map(|it| (it.key, it.version)).collect();
                new = new_record(queue, &pools, job, value.clone()).with_withdrawn(versions);
            }
            Ok(SubmissionAnswer::NotAccepted { retry_after_ms }) => {
                let retry_after_ms = delay.map_or(retry_after_ms, |ms| ms.max(retry_after_ms));
                return CallerResponse::NotAccepted { retry_after_ms };
            }
            Ok(SubmissionAnswer::QueueChanged) => {
                shared.queues.forget(&queue.queue);
                match queue_pools(shared, queue, deadline_ms).await {
                    Some(current) => pools = current,
                    None => return unavailable,
                }
                new = new_record(queue, &pools, job, value.clone());
            }
            Ok(SubmissionAnswer::Unknown) | Err(_) => return CallerResponse::Unknown,
        }
    }
}

/// Returns the pools that may have jobs of a queue, once the pool of the
/// configuration in force is among them; none if that is not known soon, since
/// another entry host may reach the store.
async fn queue_pools<P>(
    shared: &Shared<P>,
    queue: &QueueSettings,
    deadline_ms: u64,
) -> Option<QueuePools>
where
    P: Platform,
{
    for _ in 0..QUEUE_ATTEMPTS_MAX {
        let left_ms = deadline_ms.saturating_sub(clock::read().monotonic_ms);
        let time = Duration::from_millis(left_ms.min(QUEUE_TIMEOUT_MS));
        match timeout(time, queues::prepare(shared, queue)).await.ok()? {
            Ok(pools) => return Some(pools),
            Err(error) => {
                log::info!(queue = queue.queue.as_str(), error:display = error;
                    "record of a queue could not be read or written");
            }
        }
    }
    None
}

/// Returns a record of a job of a queue, to be stored unless one of its pools has the
/// job.
fn new_record(
    queue: &QueueSettings,
    pools: &QueuePools,
    job: JobNumber,
    value: Bytes,
) -> NewRecord {
    let former = pools.former.iter();
    let key = JobRecord::key(queue.pool.as_str(), job);
    NewRecord::new(key, value, (QueueRecord::key(&queue.queue), pools.version))
        .with_former_keys(former.map(|pool| JobRecord::key(pool.as_str(), job)))
}

/// Stores a record together with others of its kind.
async fn store<P>(
    shared: &Rc<Shared<P>>,
    records: Records,
    new: NewRecord,
    deadline_ms: u64,
) -> Result<SubmissionAnswer, oneshot::error::RecvError>
where
    P: Platform,
{
    let request = shared.next_request();
    let (sender, receiver) = oneshot::channel();
    shared.submission_replies.borrow_mut().insert(request, sender);
    records.of(shared).borrow_mut().submit(request, new, deadline_ms);
    send_due_writes(shared, records);
    receiver.await
}

/// Kinds of records that are written together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Records {
    /// Submitted jobs.
    Jobs,
    /// Jobs that were cancelled before they were stored. They have writes of their
    /// own, so that one never joins a submission of its job.
    Withdrawals,
}

impl Records {
    fn of<P>(self, shared: &Shared<P>) -> &RefCell<Submissions> {
        match self {
            Self::Jobs => &shared.submissions,
            Self::Withdrawals => &shared.withdrawals,
        }
    }
}

/// Sends the writes that are due.
fn send_due_writes<P>(shared: &Rc<Shared<P>>, records: Records)
where
    P: Platform,
{
    let actions = records.of(shared).borrow_mut().step(clock::read());
    carry_out(shared, records, actions);
}

fn carry_out<P>(shared: &Rc<Shared<P>>, records: Records, actions: Vec<SubmissionAction>)
where
    P: Platform,
{
    for action in actions {
        match action {
            SubmissionAction::Write(write) => {
                tokio::task::spawn_local(write_jobs(Rc::clone(shared), records, write));
            }
            SubmissionAction::Answer(request, answer) => {
                if let Some(reply) = shared.submission_replies.borrow_mut().remove(&request) {
                    // The receiver is gone if the caller has disconnected.
                    let _ = reply.send(answer);
                }
            }
        }
    }
}

async fn write_jobs<P>(shared: Rc<Shared<P>>, records: Records, write: SubmissionWrite)
where
    P: Platform,
{
    let reply = shared.transact(&submission_transaction(&write)).await;
    if let Err(error) = &reply {
        log::info!(jobs = write.jobs.len(), error:display = error;
            "write of submitted jobs was not confirmed");
    }
    let result = submission_result(&write, reply);
    let engine = records.of(&shared);
    let actions = engine.borrow_mut().on_result(clock::read(), write.number, result);
    carry_out(&shared, records, actions);
    send_due_writes(&shared, records);
}

/// A withdrawn job that the store has a record of.
struct WithdrawnJob {
    key: Box<str>,
    version: RecordVersion,
    record: JobRecord,
}

impl WithdrawnJob {
    /// Returns whether the caller has withdrawn its own job of this queue.
    fn is_of(&self, queue: &QueueSettings, caller: &Caller) -> bool {
        self.record.queue == queue.queue && self.record.account.as_ref() == caller.account()
    }
}

/// Reads the records of withdrawn jobs of a number in all pools of a queue; none if
/// the store does not answer.
async fn withdrawn_jobs<P>(
    shared: &Shared<P>,
    queue: &QueueSettings,
    pools: &QueuePools,
    job: JobNumber,
) -> Option<Vec<WithdrawnJob>>
where
    P: Platform,
{
    let mut found = Vec::new();
    for pool in [&queue.pool].into_iter().chain(&pools.former) {
        let key = JobRecord::key(pool.as_str(), job);
        let Some(item) = shared.read(&key).await.ok()? else { continue };
        let Some(record) = decode_item::<JobRecord>(&item) else { continue };
        if matches!(record.state, JobState::Withdrawn { .. }) {
            found.push(WithdrawnJob { key, version: item.version, record });
        }
    }
    Some(found)
}

/// Answers a submission of a job that its caller has cancelled before: from then on
/// the job is shown as cancelled.
async fn accept_cancelled<P>(shared: &Shared<P>, withdrawn: &WithdrawnJob) -> CallerResponse
where
    P: Platform,
{
    let unavailable = CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS };
    let record = cancelled(withdrawn.record.clone());
    let Ok(value) = encode(&record) else { return unavailable };
    let transaction = Transaction {
        expected: vec![(withdrawn.key.clone(), withdrawn.version)],
        put: vec![(withdrawn.key.clone(), value.into())],
        remove: Vec::new(),
    };
    match shared.transact(&transaction).await {
        Ok(TransactionReply::Written(_)) => CallerResponse::Accepted,
        Ok(TransactionReply::Conflict(_)) | Err(_) => unavailable,
    }
}

/// Returns the record of a job that is cancelled now.
fn cancelled(record: JobRecord) -> JobRecord {
    let ended_unix_ms = clock::read().unix_ms;
    let state = JobState::Ended { outcome: JobOutcome::Cancelled, ended_unix_ms };
    JobRecord { state, ..record }
}

async fn job_state<P>(
    shared: &Shared<P>,
    caller: &Caller,
    queue: &QueueSettings,
    job: JobNumber,
) -> CallerResponse
where
    P: Platform,
{
    if let Some(response) = job_state_in(shared, caller, queue, &queue.pool, job).await {
        return response;
    }
    let Some(former) = former_pools(shared, queue).await else {
        return CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS };
    };
    for pool in &former {
        if let Some(response) = job_state_in(shared, caller, queue, pool, job).await {
            return response;
        }
    }
    CallerResponse::NoSuchJob
}

/// Lists the pools that the queue had before; none if the store does not answer.
async fn former_pools<P>(shared: &Shared<P>, queue: &QueueSettings) -> Option<Vec<PoolId>>
where
    P: Platform,
{
    loop {
        match queues::former_pools(shared, queue).await {
            Ok(former) => return Some(former),
            Err(_) if shared.store_is_reachable() => sleep(Duration::from_millis(RETRY_MS)).await,
            Err(_) => return None,
        }
    }
}

/// Determines the state of a job in one pool; none if that has no such job.
async fn job_state_in<P>(
    shared: &Shared<P>,
    caller: &Caller,
    queue: &QueueSettings,
    pool: &PoolId,
    job: JobNumber,
) -> Option<CallerResponse>
where
    P: Platform,
{
    let engine = shared.engines.borrow().get(pool).cloned();
    let view = engine.and_then(|engine| engine.borrow().job_state(job));
    if let Some(JobView { queue: own, account, has_started, outcome }) = view
        && own == queue.queue
    {
        if !caller.may_see(account.as_ref()) {
            return Some(CallerResponse::NoSuchJob);
        }
        return Some(CallerResponse::State { has_started, outcome });
    }
    loop {
        match shared.read(&JobRecord::key(pool.as_str(), job)).await {
            Ok(None) => return None,
            Ok(Some(item)) => return stored_state(shared, caller, queue, pool, job, &item).await,
            Err(StoreError::Throttled) => sleep(Duration::from_millis(RETRY_MS)).await,
            Err(StoreError::NotSent) if shared.store_is_reachable() => {
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
            Err(_) if shared.store_is_reachable() => {}
            Err(_) => return Some(CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS }),
        }
    }
}

/// Determines a job's state from its record in the store; none if the record is
/// that of another queue's job.
async fn stored_state<P>(
    shared: &Shared<P>,
    caller: &Caller,
    queue: &QueueSettings,
    pool: &PoolId,
    job: JobNumber,
    item: &KeyValue,
) -> Option<CallerResponse>
where
    P: Platform,
{
    let Some(record) = decode_item::<JobRecord>(item) else {
        return Some(CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS });
    };
    if record.queue != queue.queue || matches!(record.state, JobState::Withdrawn { .. }) {
        return None;
    }
    if !caller.may_see(record.account.as_ref()) {
        return Some(CallerResponse::NoSuchJob);
    }
    Some(match record.state {
        JobState::Withdrawn { .. } => CallerResponse::NoSuchJob,
        JobState::Ended { outcome, .. } => {
            CallerResponse::State { has_started: true, outcome: Some(outcome) }
        }
        JobState::Live(_) => {
            let progress = super::keys::progress_key(pool, job);
            let has_started = matches!(shared.read(&progress).await, Ok(Some(_)));
            CallerResponse::State { has_started, outcome: None }
        }
    })
}

/// What a cancellation found in one or more pools; later variants decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Found {
    Nothing,
    /// Another account, or a caller of another queue, has withdrawn a job of the
    /// number.
    WithdrawnByOther,
    /// A job of another account or queue, because of which the caller's job cannot be
    /// stored.
    Hidden,
    /// The caller has withdrawn the job before it was stored.
    Withdrawn,
}

async fn cancel<P>(
    shared: &Rc<Shared<P>>,
    caller: &Caller,
    queue: &QueueSettings,
    job: JobNumber,
    deadline_ms: u64,
) -> CallerResponse
where
    P: Platform,
{
    loop {
        let mut found = match cancel_in(shared, caller, queue, &queue.pool, job).await {
            Ok(found) => found,
            Err(response) => return response,
        };
        let Some(former) = former_pools(shared, queue).await else {
            return CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS };
        };
        for pool in &former {
            match cancel_in(shared, caller, queue, pool, job).await {
                Ok(other) => found = found.max(other),
                Err(response) => return response,
            }
        }
        if found == Found::Withdrawn {
            return CallerResponse::NoSuchJob;
        }
        // Taken for hidden jobs too, so that the answers do not tell them apart.
        let now_ms = clock::read().monotonic_ms;
        if let Err(retry_after_ms) = shared.withdrawal_budget.borrow_mut().take(now_ms) {
            metrics::counter!("withdrawals_rejected").increment(1);
            return CallerResponse::Unavailable { retry_after_ms };
        }
        if found == Found::Hidden {
            return CallerResponse::NoSuchJob;
        }
        let replaces = found == Found::WithdrawnByOther;
        if let Some(response) = withdraw(shared, caller, queue, job, replaces, deadline_ms).await {
            return response;
        }
    }
}

/// Stores that a job is cancelled which the store does not have: the write of its
/// submission may still be under way, in any process, and fails then. With
/// `replaces`, another caller has withdrawn a job of the number. None if the records
/// have changed and must be read again.
async fn withdraw<P>(
    shared: &Rc<Shared<P>>,
    caller: &Caller,
    queue: &QueueSettings,
    job: JobNumber,
    replaces: bool,
    deadline_ms: u64,
) -> Option<CallerResponse>
where
    P: Platform,
{
    let unavailable = CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS };
    // Without the pool in the queue's record, a write of another process would not be
    // conditional on the key of the withdrawn job.
    let Some(pools) = queue_pools(shared, queue, deadline_ms).await else {
        return Some(unavailable);
    };
    let others = match replaces {
        true => withdrawn_jobs(shared, queue, &pools, job).await,
        false => Some(Vec::new()),
    };
    let Some(others) = others else { return Some(unavailable) };
    let withdrawn_unix_ms = clock::read().unix_ms;
    let record = JobRecord {
        queue: queue.queue.clone(),
        account: caller.account().cloned(),
        accepted_unix_ms: withdrawn_unix_ms,
        state: JobState::Withdrawn { withdrawn_unix_ms },
    };
    let Ok(value) = encode(&record) else { return Some(unavailable) };
    let versions = others.into_iter().map(|it| (it.key, it.version)).collect();
    let new = new_record(queue, &pools, job, value.into()).with_withdrawn(versions);
    let key = new.key.clone();
    match store(shared, Records::Withdrawals, new, deadline_ms).await {
        Ok(SubmissionAnswer::Accepted) => {
            // A job that was stored at the same time counts as accepted too.
            log::info!(job:display = job, queue = queue.queue.as_str(), key = &*key;
                "cancellation of a job that was not stored is recorded");
        }
        Ok(SubmissionAnswer::QueueChanged) => shared.queues.forget(&queue.queue),
        Ok(SubmissionAnswer::Withdrawn) => {}
        Ok(SubmissionAnswer::NotAccepted { .. } | SubmissionAnswer::Unknown) | Err(_) => {
            if !shared.store_is_reachable() {
                return Some(unavailable);
            }
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
    None
}

/// Cancels a job in one pool; the response is the error, so that the search ends.
async fn cancel_in<P>(
    shared: &Shared<P>,
    caller: &Caller,
    queue: &QueueSettings,
    pool: &PoolId,
    job: JobNumber,
) -> Result<Found, CallerResponse>
where
    P: Platform,
{
    let unavailable = CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS };
    let key = JobRecord::key(pool.as_str(), job);
    loop {
        let item = match shared.read(&key).await {
            Ok(Some(item)) => item,
            Ok(None) => return Ok(Found::Nothing),
            Err(_) if shared.store_is_reachable() => {
                sleep(Duration::from_millis(RETRY_MS)).await;
                continue;
            }
            Err(_) => return Err(unavailable),
        };
        let Some(record) = decode_item::<JobRecord>(&item) else { return Err(unavailable) };
        let is_own_queue = record.queue == queue.queue;
        match record.state {
            JobState::Withdrawn { .. } => {
                let is_own = is_own_queue && record.account.as_ref() == caller.account();
                return Ok(if is_own { Found::Withdrawn } else { Found::WithdrawnByOther });
            }
            _ if !is_own_queue || !caller.may_see(record.account.as_ref()) => {
                return Ok(Found::Hidden);
            }
            JobState::Ended { .. } => return Err(CallerResponse::Cancelled),
            JobState::Live(_) => {}
        }
        let Ok(value) = encode(&cancelled(record)) else { return Err(unavailable) };
        let transaction = Transaction {
            expected: vec![(key.clone(), item.version)],
            put: vec![(key.clone(), value.into())],
            remove: Vec::new(),
        };
        match shared.transact(&transaction).await {
            Ok(TransactionReply::Written(_)) => return Err(CallerResponse::Cancelled),
            // The record has changed since it was read: read it again.
            Ok(TransactionReply::Conflict(_)) => {}
            Err(error) => {
                log::info!(job:display = job, error:display = error;
                    "cancellation was not confirmed; retrying");
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Counts a queue's waiting jobs in all pools that may have some.
async fn count_waiting<P>(shared: &Shared<P>, queue: &QueueSettings) -> CallerResponse
where
    P: Platform,
{
    let former = loop {
        match queues::waiting_pools(shared, queue).await {
            Ok(former) => break former,
            Err(_) if shared.store_is_reachable() => sleep(Duration::from_millis(RETRY_MS)).await,
            Err(_) => return CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS },
        }
    };
    let mut sum = 0;
    for pool in [&queue.pool].into_iter().chain(&former) {
        loop {
            match shared.read(&summary_key(pool)).await {
                Ok(item) => {
                    let summary: Summary =
                        item.and_then(|item| decode_item(&item)).unwrap_or_default();
                    let found = summary.waiting.iter().find(|(name, _)| *name == queue.queue);
                    sum += found.map_or(0, |(_, count)| *count);
                    break;
                }
                Err(_) if shared.store_is_reachable() => {
                    sleep(Duration::from_millis(RETRY_MS)).await;
                }
                Err(_) => {
                    return CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS };
                }
            }
        }
    }
    CallerResponse::Waiting(sum)
}

#[cfg(test)]
mod tests;
