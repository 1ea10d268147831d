//! Handling of callers' requests: submission, state and cancellation of jobs.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError},
    state::ids::{PoolId, QueueId},
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
        submission::{NewRecord, SubmissionAction, SubmissionAnswer, SubmissionWrite},
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
        CallerRequest::Cancel { queue, job } => timeout(time, cancel(shared, caller, &queue, job))
            .await
            .unwrap_or(CallerResponse::Unknown),
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
    loop {
        let former = pools.former.iter();
        let new = NewRecord {
            key: JobRecord::key(queue.pool.as_str(), job),
            value: value.clone(),
            former_keys: former.map(|pool| JobRecord::key(pool.as_str(), job)).collect(),
            queue: (QueueRecord::key(&queue.queue), pools.version),
        };
        let request = shared.next_request();
        let (sender, receiver) = oneshot::channel();
        shared.submission_replies.borrow_mut().insert(request, sender);
        shared.submissions.borrow_mut().submit(request, new, deadline_ms);
        send_due_writes(shared);
        match receiver.await {
            Ok(SubmissionAnswer::Accepted) => {
                backlog::on_accepted(shared, queue, &record);
                return CallerResponse::Accepted;
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

/// Sends the submission writes that are due.
fn send_due_writes<P>(shared: &Rc<Shared<P>>)
where
    P: Platform,
{
    let actions = shared.submissions.borrow_mut().step();
    carry_out(shared, actions);
}

fn carry_out<P>(shared: &Rc<Shared<P>>, actions: Vec<SubmissionAction>)
where
    P: Platform,
{
    for action in actions {
        match action {
            SubmissionAction::Write(write) => {
                tokio::task::spawn_local(write_jobs(Rc::clone(shared), write));
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

async fn write_jobs<P>(shared: Rc<Shared<P>>, write: SubmissionWrite)
where
    P: Platform,
{
    let reply = shared.transact(&submission_transaction(&write)).await;
    if let Err(error) = &reply {
        log::info!(jobs = write.jobs.len(), error:display = error;
            "write of submitted jobs was not confirmed");
    }
    let result = submission_result(&write, reply);
    let actions = shared.submissions.borrow_mut().on_result(clock::read(), write.number, result);
    carry_out(&shared, actions);
    send_due_writes(&shared);
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
    if record.queue != queue.queue {
        return None;
    }
    if !caller.may_see(record.account.as_ref()) {
        return Some(CallerResponse::NoSuchJob);
    }
    Some(match record.state {
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

async fn cancel<P>(
    shared: &Shared<P>,
    caller: &Caller,
    queue: &QueueSettings,
    job: JobNumber,
) -> CallerResponse
where
    P: Platform,
{
    if let Some(response) = cancel_in(shared, caller, queue, &queue.pool, job).await {
        return response;
    }
    let Some(former) = former_pools(shared, queue).await else {
        return CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS };
    };
    for pool in &former {
        if let Some(response) = cancel_in(shared, caller, queue, pool, job).await {
            return response;
        }
    }
    CallerResponse::NoSuchJob
}

/// Cancels a job in one pool; none if that has no such job.
async fn cancel_in<P>(
    shared: &Shared<P>,
    caller: &Caller,
    queue: &QueueSettings,
    pool: &PoolId,
    job: JobNumber,
) -> Option<CallerResponse>
where
    P: Platform,
{
    let unavailable = CallerResponse::Unavailable { retry_after_ms: RETRY_AFTER_MS };
    let key = JobRecord::key(pool.as_str(), job);
    loop {
        let item = match shared.read(&key).await {
            Ok(item) => item?,
            Err(_) if shared.store_is_reachable() => {
                sleep(Duration::from_millis(RETRY_MS)).await;
                continue;
            }
            Err(_) => return Some(unavailable),
        };
        let Some(record) = decode_item::<JobRecord>(&item) else { return Some(unavailable) };
        if record.queue != queue.queue {
            return None;
        }
        if !caller.may_see(record.account.as_ref()) {
            return Some(CallerResponse::NoSuchJob);
        }
        if matches!(record.state, JobState::Ended { .. }) {
            return Some(CallerResponse::Cancelled);
        }
        let ended_unix_ms = clock::read().unix_ms;
        let outcome = JobOutcome::Cancelled;
        let record = JobRecord { state: JobState::Ended { outcome, ended_unix_ms }, ..record };
        let Ok(value) = encode(&record) else { return Some(unavailable) };
        let transaction = Transaction {
            expected: vec![(key.clone(), item.version)],
            put: vec![(key.clone(), value.into())],
            remove: Vec::new(),
        };
        match shared.transact(&transaction).await {
            Ok(TransactionReply::Written(_)) => return Some(CallerResponse::Cancelled),
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
