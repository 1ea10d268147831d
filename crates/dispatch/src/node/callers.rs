//! Calls of callers and their answers.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError},
    state::ids::{PoolId, QueueId},
};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

use super::{
    clock,
    keys::{decode_item, submission_result, submission_transaction, summary_key},
    platform::{Platform, Transaction, TransactionReply},
    shared::Shared,
};
use crate::{
    coordination::submission::{SubmissionAction, SubmissionAnswer, SubmissionWrite},
    state::{
        InvalidJob, JobNumber, JobOutcome, JobRecord, JobSpec, JobState, QueueSettings, Summary,
        encode,
    },
};

/// Time that a caller is expected to wait if its request does not say, in
/// milliseconds.
const PATIENCE_MS: u64 = 3_000;
/// Part of a caller's patience that is left for the way back, in milliseconds.
const WAY_BACK_MS: u64 = 60;
/// Delay before a read or a cancellation is tried again, in milliseconds.
const RETRY_MS: u64 = 40;
/// Delay that callers are told while the process cannot serve them, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerCall {
    /// Take a job.
    Submit {
        /// The queue.
        queue: QueueSettings,
        /// Number that the caller chose.
        job: JobNumber,
        /// The job.
        spec: JobSpec,
    },
    /// Tell a job's state.
    State {
        /// The queue.
        queue: QueueSettings,
        /// The job.
        job: JobNumber,
    },
    /// Cancel a job.
    Cancel {
        /// The queue.
        queue: QueueSettings,
        /// The job.
        job: JobNumber,
    },
    /// Count the jobs of which no task has started.
    CountWaiting {
        /// The queue.
        queue: QueueSettings,
    },
}

/// Reasons why a request is refused before it is looked at further.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Refused {
    /// no queue serves this path; check the host name and the prefix
    NoSuchQueue,
    /// the queue {0} has no pool; add its service to the configuration
    NoPool(QueueId),
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

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerAnswer {
    /// The job is stored.
    Accepted,
    /// The job is not stored and never runs by this request.
    NotAccepted {
        /// Delay before another try, in milliseconds.
        retry_after_ms: u64,
    },
    /// Nobody knows whether the request took effect.
    Unknown,
    /// The process cannot tell now.
    Unavailable {
        /// Delay before another try, in milliseconds.
        retry_after_ms: u64,
    },
    /// A job's state.
    State {
        /// Some task has started.
        has_started: bool,
        /// How it ended, if it has.
        outcome: Option<JobOutcome>,
    },
    /// The job is cancelled or had ended.
    Cancelled,
    /// There is no such job.
    NoSuchJob,
    /// Jobs of which no task has started.
    Waiting(u64),
    /// The request is refused.
    Refused(Refused),
}

/// Serves one call within the caller's patience.
pub(super) async fn serve<P>(
    shared: &Rc<Shared<P>>,
    call: CallerCall,
    patience_ms: Option<u64>,
) -> CallerAnswer
where
    P: Platform,
{
    let patience_ms = patience_ms.unwrap_or(PATIENCE_MS).saturating_sub(WAY_BACK_MS);
    let time = Duration::from_millis(patience_ms);
    match call {
        CallerCall::Submit { queue, job, spec } => {
            submit(shared, &queue, job, spec, patience_ms).await
        }
        CallerCall::State { queue, job } => {
            let state = timeout(time, job_state(shared, &queue, job)).await;
            state.unwrap_or(CallerAnswer::Unavailable { retry_after_ms: RETRY_AFTER_MS })
        }
        CallerCall::Cancel { queue, job } => {
            timeout(time, cancel(shared, &queue, job)).await.unwrap_or(CallerAnswer::Unknown)
        }
        CallerCall::CountWaiting { queue } => {
            let count = timeout(time, count_waiting(shared, &queue.pool, &queue.queue)).await;
            count.unwrap_or(CallerAnswer::Unavailable { retry_after_ms: RETRY_AFTER_MS })
        }
    }
}

async fn submit<P>(
    shared: &Rc<Shared<P>>,
    queue: &QueueSettings,
    job: JobNumber,
    spec: JobSpec,
    patience_ms: u64,
) -> CallerAnswer
where
    P: Platform,
{
    if !shared.store_answers() {
        // Nothing is sent, so the refusal is true, and another entry host may
        // reach the store.
        return CallerAnswer::NotAccepted { retry_after_ms: RETRY_AFTER_MS };
    }
    let now = clock::read();
    let record = JobRecord {
        queue: queue.queue.clone(),
        accepted_unix_ms: now.unix_ms,
        state: JobState::Live(spec),
    };
    let record = match encode(&record) {
        Ok(record) => Bytes::from(record),
        Err(error) => {
            let refused = Refused::Malformed(error.to_string().into());
            return CallerAnswer::Refused(refused);
        }
    };
    let request = shared.next_request();
    let (reply, answer) = oneshot::channel();
    shared.submission_replies.borrow_mut().insert(request, reply);
    let key = JobRecord::key(queue.pool.as_str(), job);
    let deadline_ms = now.monotonic_ms + patience_ms;
    shared.submissions.borrow_mut().submit(request, key, record, deadline_ms);
    step_submissions(shared);
    match answer.await {
        Ok(SubmissionAnswer::Accepted) => CallerAnswer::Accepted,
        Ok(SubmissionAnswer::NotAccepted { retry_after_ms }) => {
            CallerAnswer::NotAccepted { retry_after_ms }
        }
        Ok(SubmissionAnswer::Unknown) | Err(_) => CallerAnswer::Unknown,
    }
}

/// Sends the writes that are due.
fn step_submissions<P>(shared: &Rc<Shared<P>>)
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
                    // A caller that has left needs no answer.
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
        log::info!(jobs = write.jobs.len(), error:display = error; "jobs were not stored");
    }
    let result = submission_result(reply);
    let actions = shared.submissions.borrow_mut().on_result(clock::read(), write.number, result);
    carry_out(&shared, actions);
    step_submissions(&shared);
}

async fn job_state<P>(shared: &Shared<P>, queue: &QueueSettings, job: JobNumber) -> CallerAnswer
where
    P: Platform,
{
    let own = shared.engines.borrow().get(&queue.pool).cloned();
    if let Some(engine) = own
        && let Some((has_started, outcome)) = engine.borrow().job_state(job)
    {
        return CallerAnswer::State { has_started, outcome };
    }
    loop {
        match shared.read(&JobRecord::key(queue.pool.as_str(), job)).await {
            Ok(None) => return CallerAnswer::NoSuchJob,
            Ok(Some(item)) => return state_of(shared, queue, job, &item).await,
            Err(StoreError::Throttled) => sleep(Duration::from_millis(RETRY_MS)).await,
            Err(StoreError::NotSent) if shared.store_answers() => {
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
            Err(_) if shared.store_answers() => {}
            Err(_) => return CallerAnswer::Unavailable { retry_after_ms: RETRY_AFTER_MS },
        }
    }
}

async fn state_of<P>(
    shared: &Shared<P>,
    queue: &QueueSettings,
    job: JobNumber,
    item: &KeyValue,
) -> CallerAnswer
where
    P: Platform,
{
    let Some(record) = decode_item::<JobRecord>(item) else {
        return CallerAnswer::Unavailable { retry_after_ms: RETRY_AFTER_MS };
    };
    if record.queue != queue.queue {
        return CallerAnswer::NoSuchJob;
    }
    match record.state {
        JobState::Ended { outcome, .. } => {
            CallerAnswer::State { has_started: true, outcome: Some(outcome) }
        }
        JobState::Live(_) => {
            let progress = super::keys::progress_key(&queue.pool, job);
            let has_started = matches!(shared.read(&progress).await, Ok(Some(_)));
            CallerAnswer::State { has_started, outcome: None }
        }
    }
}

async fn cancel<P>(shared: &Shared<P>, queue: &QueueSettings, job: JobNumber) -> CallerAnswer
where
    P: Platform,
{
    let key = JobRecord::key(queue.pool.as_str(), job);
    loop {
        let item = match shared.read(&key).await {
            Ok(Some(item)) => item,
            Ok(None) => return CallerAnswer::NoSuchJob,
            Err(_) if shared.store_answers() => {
                sleep(Duration::from_millis(RETRY_MS)).await;
                continue;
            }
            Err(_) => return CallerAnswer::Unavailable { retry_after_ms: RETRY_AFTER_MS },
        };
        let Some(record) = decode_item::<JobRecord>(&item) else {
            return CallerAnswer::Unavailable { retry_after_ms: RETRY_AFTER_MS };
        };
        if record.queue != queue.queue {
            return CallerAnswer::NoSuchJob;
        }
        if matches!(record.state, JobState::Ended { .. }) {
            return CallerAnswer::Cancelled;
        }
        let ended_unix_ms = clock::read().unix_ms;
        let outcome = JobOutcome::Cancelled;
        let record = JobRecord { state: JobState::Ended { outcome, ended_unix_ms }, ..record };
        let Ok(value) = encode(&record) else {
            return CallerAnswer::Unavailable { retry_after_ms: RETRY_AFTER_MS };
        };
        let transaction = Transaction {
            expected: vec![(key.clone(), item.version)],
            put: vec![(key.clone(), value.into())],
            remove: Vec::new(),
        };
        match shared.transact(&transaction).await {
            Ok(TransactionReply::Written(_)) => return CallerAnswer::Cancelled,
            // The record changed meanwhile or may have: read it again.
            Ok(TransactionReply::Conflict(_)) => {}
            Err(error) => {
                log::info!(job:display = job, error:display = error;
                    "cancellation was not confirmed and is tried again");
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

async fn count_waiting<P>(shared: &Shared<P>, pool: &PoolId, queue: &QueueId) -> CallerAnswer
where
    P: Platform,
{
    loop {
        match shared.read(&summary_key(pool)).await {
            Ok(item) => {
                let summary: Summary = item.and_then(|item| decode_item(&item)).unwrap_or_default();
                let found = summary.waiting.iter().find(|(name, _)| name == queue);
                return CallerAnswer::Waiting(found.map_or(0, |(_, count)| *count));
            }
            Err(_) if shared.store_answers() => sleep(Duration::from_millis(RETRY_MS)).await,
            Err(_) => return CallerAnswer::Unavailable { retry_after_ms: RETRY_AFTER_MS },
        }
    }
}
