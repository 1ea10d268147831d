//! Keeps what the pools' controllers publish of their load, while submissions
//! arrive.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use rand::Rng;
use tamarackproxy::{protocol::store::KeyValue, state::ids::PoolId};
use tokio::time::{sleep, timeout};

use super::{
    callers::CallerResponse,
    clock,
    keys::{SUMMARY_PREFIX, decode_item},
    platform::Platform,
    shared::Shared,
};
use crate::{
    coordination::admission::{AdmissionEngine, NewJob, Surroundings, Verdict},
    state::{JobNumber, JobRecord, JobState, PoolLoad, QueueSettings, Summary},
};

/// Interval between reads of the summaries, in milliseconds; stated by the
/// specification.
const READ_INTERVAL_MS: u64 = 1_000;
/// Time after the last submission for which the summaries are read, in
/// milliseconds: the gaps between the submissions of a surge are shorter.
const SUBMISSION_WINDOW_MS: u64 = 3_000;

/// Time that the read before a rejection may take, in milliseconds: a tenth of the
/// time for which callers usually wait. Without a reply the job is accepted.
const READ_TIMEOUT_MS: u64 = 300;

/// Knowledge of the pools' load, with the times that decide when it is read.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    engine: RefCell<AdmissionEngine>,
    /// When the last submission arrived, in milliseconds on the local clock.
    submitted_ms: Cell<u64>,
    /// A task reads the summaries.
    is_reading: Cell<bool>,
}

/// Judges a submission before it is stored. Returns the delay after which another
/// try could meet the job's objective, if the pool is known to be overloaded.
///
/// # Errors
///
/// Returns the response if the submission is rejected.
pub(super) async fn check<P>(
    shared: &Rc<Shared<P>>,
    number: JobNumber,
    job: &NewJob<'_>,
    former: &[PoolId],
) -> Result<Option<u64>, CallerResponse>
where
    P: Platform,
{
    let backlog = &shared.backlog;
    let now_ms = clock::read().monotonic_ms;
    backlog.submitted_ms.set(now_ms);
    if !backlog.is_reading.replace(true) {
        tokio::task::spawn_local(read_while_submitted(Rc::clone(shared)));
    }
    let rejection = match decide(shared, now_ms, job) {
        Verdict::Admit { retry_after_ms } => return Ok(retry_after_ms),
        Verdict::Reject(rejection) => rejection,
    };
    if may_be_stored(shared, number, job, former).await {
        return Ok(Some(rejection.retry_after_ms));
    }
    metrics::counter!("submissions_rejected", "queue" => job.queue.queue.as_str().to_owned())
        .increment(1);
    log::info!(job:display = number, queue = job.queue.queue.as_str(),
        pool = job.queue.pool.as_str(),
        account = job.account.map(tamarackproxy::state::ids::AccountId::as_str),
        end_ms = rejection.end_ms, objective_ms = rejection.objective_ms,
        work_core_ms = rejection.work_core_ms, waiting_core_ms = rejection.waiting_core_ms,
        rate_millicores = rejection.rate_millicores, knowledge_age_ms = rejection.age_ms,
        retry_after_ms = rejection.retry_after_ms;
        "submission rejected: it would end too late");
    Err(CallerResponse::Overloaded { retry_after_ms: rejection.retry_after_ms })
}

fn decide<P>(shared: &Shared<P>, now_ms: u64, job: &NewJob<'_>) -> Verdict
where
    P: Platform,
{
    let document = shared.document();
    let surroundings = Surroundings {
        accounts: document.as_ref().and_then(|document| document.accounts.as_ref()),
        has_other_pools: document.as_ref().is_none_or(|document| document.pools.len() > 1),
        random: rand::rng().random_range(0.0..1.0),
    };
    shared.backlog.engine.borrow().decide(now_ms, job, &surroundings)
}

/// Records that a job was stored.
pub(super) fn on_accepted<P>(shared: &Shared<P>, queue: &QueueSettings, record: &JobRecord) {
    let JobState::Live(spec) = &record.state else { return };
    let job = NewJob { queue, account: record.account.as_ref(), spec };
    let now_ms = clock::read().monotonic_ms;
    shared.backlog.engine.borrow_mut().on_accepted(now_ms, &job);
}

/// Returns whether an earlier try may have stored the job. A rejection says that
/// it is not stored, so the store is asked before one.
async fn may_be_stored<P>(
    shared: &Shared<P>,
    number: JobNumber,
    job: &NewJob<'_>,
    former: &[PoolId],
) -> bool
where
    P: Platform,
{
    let time = Duration::from_millis(READ_TIMEOUT_MS);
    for pool in [&job.queue.pool].into_iter().chain(former) {
        let key = JobRecord::key(pool.as_str(), number);
        if shared.submissions.borrow().is_pending(&key)
            || !matches!(timeout(time, shared.read(&key)).await, Ok(Ok(None)))
        {
            return true;
        }
    }
    false
}

/// Reads the summaries at an interval until no more submissions arrive.
async fn read_while_submitted<P>(shared: Rc<Shared<P>>)
where
    P: Platform,
{
    let backlog = &shared.backlog;
    while clock::read().monotonic_ms < backlog.submitted_ms.get() + SUBMISSION_WINDOW_MS {
        let sent_ms = clock::read().monotonic_ms;
        match shared.list(SUMMARY_PREFIX).await {
            Ok(listing) => {
                let loads = listing.items.iter().filter_map(|item| {
                    let (pool, load) = pool_load(item)?;
                    Some((pool, item.version, load))
                });
                backlog.engine.borrow_mut().on_summaries(sent_ms, loads);
            }
            // The knowledge ages, and unusable knowledge rejects nothing.
            Err(error) => {
                log::info!(error:display = error; "summaries of the pools could not be read");
            }
        }
        sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
    }
    backlog.is_reading.set(false);
}

fn pool_load(item: &KeyValue) -> Option<(PoolId, PoolLoad)> {
    let pool = item.key.strip_prefix(SUMMARY_PREFIX)?.parse().ok()?;
    Some((pool, decode_item::<Summary>(item)?.load))
}

#[cfg(test)]
mod tests;
