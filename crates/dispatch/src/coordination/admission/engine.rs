//! What a process knows of the pools' load, and its verdict on a new job.

use hashbrown::HashMap;
use tamarackproxy::state::ids::{AccountId, PoolId, RecordVersion};

use super::bound::Contest;
use crate::{
    coordination::pool::{JobProfile, is_limited_by_processors},
    state::{Accounts, JobSpec, Overload, PoolLoad, QueueMeans, QueueSettings, WaitingWork},
};

/// Age from which on knowledge is not used, in milliseconds; stated by the
/// specification.
const KNOWLEDGE_MAX_AGE_MS: u64 = 2_000;
/// Time from the writing of a summary until it has been read, in milliseconds:
/// the interval between summaries is 200, and a write and a read take a few tens
/// each. The age that `KNOWLEDGE_MAX_AGE_MS` limits does not rely on it.
const SUMMARY_LAG_MS: u64 = 300;
/// Hosts that may be on their way to a pool without being registered there, in
/// percent of the registered ones: the balancer moves up to 40% of all hosts at
/// once (`TRANSFERS_MAX_PERCENT`), which are 67% of the others.
const MOVING_MAX_PERCENT: u64 = 67;
/// Shortest delay that callers are told, in milliseconds: `Retry-After` counts
/// whole seconds.
const RETRY_MIN_MS: u64 = 1_000;
/// Part by which the delay is lengthened at random, so that callers do not return
/// at once.
const RETRY_JITTER: f64 = 0.5;

/// A submission.
#[derive(Clone, Copy, Debug)]
pub struct NewJob<'a> {
    /// The queue.
    pub queue: &'a QueueSettings,
    /// Account that it is charged to; none on a public queue.
    pub account: Option<&'a AccountId>,
    /// The job.
    pub spec: &'a JobSpec,
}

/// What decides about a submission besides the pool's load.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings<'a> {
    /// Accounts of the configuration; none in a deployment without accounts.
    pub accounts: Option<&'a Accounts>,
    /// Hosts may be on their way from other pools.
    pub has_other_pools: bool,
    /// Random number between 0 and 1.
    pub random: f64,
}

/// Decision about a submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is accepted if it can be stored.
    Admit {
        /// Delay after which another try could meet the job's objective, in
        /// milliseconds; none if nothing is known to delay the job.
        retry_after_ms: Option<u64>,
    },
    /// It would certainly end too late.
    Reject(Rejection),
}

/// A rejection with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Delay after which such a job could meet its objective, in milliseconds.
    pub retry_after_ms: u64,
    /// Earliest time from now at which the job could end, in milliseconds.
    pub end_ms: u64,
    /// Time within which callers expect the end, in milliseconds.
    pub objective_ms: u64,
    /// Rate at which the pool completes work, in thousandths of a core.
    pub rate_millicores: u64,
    /// Expected work of the job, in core-milliseconds.
    pub work_core_ms: u64,
    /// Useful work that waits in the pool, in core-milliseconds.
    pub waiting_core_ms: u64,
    /// Most that the knowledge may be old, in milliseconds.
    pub age_ms: u64,
}

/// What is known of one pool.
#[derive(Debug)]
struct Knowledge {
    version: RecordVersion,
    load: PoolLoad,
    /// When the latest read was sent, on the local clock, in milliseconds.
    read_ms: u64,
    /// When the read was sent that first returned this version.
    first_read_ms: u64,
    /// When the last read was sent that returned an earlier version: the summary
    /// was written after it. None for the first version read.
    written_after_ms: Option<u64>,
    /// Jobs that this process accepted, with the time of acceptance.
    accepted: Vec<(u64, WaitingWork)>,
}

impl Knowledge {
    /// Returns the most that the summary may be old, in milliseconds; none if
    /// that is unknown.
    fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.written_after_ms.map(|after_ms| now_ms.saturating_sub(after_ms))
    }

    /// Lists the waiting work, with that accepted since by this process.
    fn waiting<'a>(&'a self, overload: &'a Overload) -> impl Iterator<Item = &'a WaitingWork> {
        overload.waiting.iter().chain(self.accepted.iter().map(|(_, work)| work))
    }

    /// Returns when the summary was written, as far as can be told.
    fn written_ms(&self) -> u64 {
        let earliest_ms = self.first_read_ms.saturating_sub(SUMMARY_LAG_MS);
        earliest_ms.max(self.written_after_ms.unwrap_or(0))
    }
}

/// Decides which submissions are known to end too late.
#[derive(Debug, Default)]
pub struct AdmissionEngine {
    pools: HashMap<PoolId, Knowledge>,
}

impl AdmissionEngine {
    /// Applies all pools' summaries, as read by a call sent at `sent_ms`.
    pub fn on_summaries<I>(&mut self, sent_ms: u64, summaries: I)
    where
        I: IntoIterator<Item = (PoolId, RecordVersion, PoolLoad)>,
    {
        let mut earlier = std::mem::take(&mut self.pools);
        for (pool, version, load) in summaries {
            let known = earlier.remove(&pool);
            let knowledge = match known {
                Some(known) if known.version == version => Knowledge { read_ms: sent_ms, ..known },
                known => Knowledge {
                    version,
                    load,
                    read_ms: sent_ms,
                    first_read_ms: sent_ms,
                    written_after_ms: known.as_ref().map(|known| known.read_ms),
                    // Jobs that were accepted before may be in the summary.
                    accepted: (known.into_iter().flat_map(|known| known.accepted))
                        .filter(|&(accepted_ms, _)| accepted_ms > sent_ms)
                        .collect(),
                },
            };
            self.pools.insert(pool, knowledge);
        }
    }

    /// Adds a job that this process accepted, so that it counts until the next
    /// summary is read.
    pub fn on_accepted(&mut self, now_ms: u64, job: &NewJob<'_>) {
        let Some(known) = self.pools.get_mut(&job.queue.pool) else { return };
        // Outdated knowledge is not used, and must not grow.
        let is_current = known.age_ms(now_ms).is_some_and(|age_ms| age_ms <= KNOWLEDGE_MAX_AGE_MS);
        let since_ms = now_ms.saturating_sub(known.written_ms());
        let Some(overload) = known.load.overload.as_ref().filter(|_| is_current) else { return };
        if !goes_anywhere(overload, job) {
            return;
        }
        let profile = profile(overload, job);
        let left_ms = |limit_ms: u64| since_ms + limit_ms.saturating_sub(profile.critical_path_ms);
        let work = WaitingWork {
            account: job.account.cloned(),
            priority: job.queue.priority,
            cost_core_ms: profile.cost_core_ms,
            task_millicores: profile.task_millicores.1,
            timely_ms: left_ms(profile.objective_ms),
            useful_ms: left_ms(profile.useful_ms),
            core_ms: profile.work_core_ms as u64,
        };
        known.accepted.push((now_ms, work));
    }

    /// Decides about a submission.
    pub fn decide(
        &self,
        now_ms: u64,
        job: &NewJob<'_>,
        surroundings: &Surroundings<'_>,
    ) -> Verdict {
        match self.forecast(now_ms, job, surroundings) {
            Some((useful_ms, forecast)) if forecast.end_ms > useful_ms => Verdict::Reject(forecast),
            Some((_, forecast)) if forecast.end_ms > forecast.objective_ms => {
                Verdict::Admit { retry_after_ms: Some(forecast.retry_after_ms) }
            }
            _ => Verdict::Admit { retry_after_ms: None },
        }
    }

    /// Returns the time within which a job has to end so that anybody benefits,
    /// and the inputs to its rejection; none if nothing is known to delay it.
    fn forecast(
        &self,
        now_ms: u64,
        job: &NewJob<'_>,
        surroundings: &Surroundings<'_>,
    ) -> Option<(u64, Rejection)> {
        let known = self.pools.get(&job.queue.pool)?;
        let age_ms = known.age_ms(now_ms).filter(|&age_ms| age_ms <= KNOWLEDGE_MAX_AGE_MS)?;
        let overload = known.load.overload.as_ref()?;
        if job.spec.is_lasting() || job.spec.schedule.is_some() || is_hopeless(overload, job.spec) {
            return None;
        }
        let profile = profile(overload, job);
        if profile.task_millicores.0 <= overload.free_millicores {
            return None;
        }
        let rate_millicores = self.rate_millicores(known, overload, surroundings);
        if rate_millicores == 0 {
            // All workers are away: nothing tells when work will end.
            return None;
        }
        let contest = Contest {
            cores: rate_millicores as f64 / 1_000.0,
            priority: job.queue.priority,
            cost_core_ms: profile.cost_core_ms,
            task_millicores: profile.task_millicores.1,
            arrives_ms: now_ms.saturating_sub(known.written_ms()),
            timely_ms: profile.objective_ms.saturating_sub(profile.critical_path_ms),
        };
        let start_ms = start_ms(&contest, known, overload, &profile, job, surroundings);
        let own_ms = (profile.critical_path_ms as f64).max(profile.work_core_ms / contest.cores);
        let end_ms = ((start_ms + own_ms) as u64).saturating_sub(contest.arrives_ms);
        let delay_ms = end_ms.saturating_sub(profile.objective_ms);
        let forecast = Rejection {
            retry_after_ms: retry_after_ms(delay_ms, surroundings.random),
            end_ms,
            objective_ms: profile.objective_ms,
            rate_millicores,
            work_core_ms: profile.work_core_ms as u64,
            waiting_core_ms: known.waiting(overload).map(|work| work.core_ms).sum(),
            age_ms,
        };
        Some((profile.useful_ms, forecast))
    }

    /// Returns an upper bound of the rate at which the pool completes expected
    /// work, with all workers that may be on their way.
    fn rate_millicores(
        &self,
        known: &Knowledge,
        overload: &Overload,
        surroundings: &Surroundings<'_>,
    ) -> u64 {
        let own = known.load.capacity_millicores;
        let present = own + known.load.joining_millicores;
        let moving = if surroundings.has_other_pools {
            let all = self.pools.values().map(|known| known.load.capacity_millicores);
            all.sum::<u64>() * MOVING_MAX_PERCENT / 100
        } else {
            0
        };
        // Work that ends faster than expected will go on to do so, also on the
        // workers that are yet to come.
        let pace = overload.ended_millicores.max(own);
        (present + moving).max(1) * pace / own.max(1)
    }
}

/// Returns whether no worker of the pool may be able to hold a step.
fn is_hopeless(overload: &Overload, spec: &JobSpec) -> bool {
    spec.steps.iter().any(|step| {
        step.required_label.is_some() || !step.allocation().fits_in(&overload.largest_worker)
    })
}

/// Returns whether all tasks of a job can start at once, on any worker. Others do
/// not certainly go before a new job.
fn goes_anywhere(overload: &Overload, job: &NewJob<'_>) -> bool {
    let [step] = job.spec.steps.as_slice() else { return false };
    let has_choice = step.required_label.is_none() && step.per_worker_max.is_none();
    let shares_workers = step.uses_leftover || step.tail_goal_ms.is_some();
    !step.is_lasting
        && !step.is_gang
        && has_choice
        && !shares_workers
        && job.spec.schedule.is_none()
        && job.queue.advice.is_none()
        && is_limited_by_processors(&step.allocation(), &overload.largest_worker)
}

fn profile(overload: &Overload, job: &NewJob<'_>) -> JobProfile {
    let is_of = |means: &&QueueMeans| means.queue == job.queue.queue;
    JobProfile::new(job.spec, job.queue, overload.queues.iter().find(is_of))
}

/// Returns the earliest time at which a job can start, in milliseconds from the
/// writing of the summary.
fn start_ms(
    contest: &Contest,
    known: &Knowledge,
    overload: &Overload,
    profile: &JobProfile,
    job: &NewJob<'_>,
    surroundings: &Surroundings<'_>,
) -> f64 {
    let waiting = || known.waiting(overload);
    let own = waiting().filter(|work| work.account.as_ref() == job.account);
    let start_ms = contest.start_ms(own);
    let Some(part) = entitled_part(overload, job.account, surroundings.accounts) else {
        return start_ms;
    };
    // Work of the others that is still useful when the job is overdue takes their
    // parts of the rate for as long as it lasts.
    let lasts_ms = contest.arrives_ms + profile.useful_ms;
    let others = waiting().filter(|work| {
        work.account.is_some()
            && work.account.as_ref() != job.account
            && work.useful_ms >= lasts_ms
            && work.task_millicores <= contest.task_millicores
    });
    let others_core_ms: u64 = others.map(|work| work.core_ms).sum();
    let others_ms = others_core_ms as f64 / contest.cores;
    (start_ms / part).min(start_ms + others_ms)
}

/// Returns the part of the pool that an account is entitled to; none if it has
/// the whole pool.
fn entitled_part(
    overload: &Overload,
    account: Option<&AccountId>,
    accounts: Option<&Accounts>,
) -> Option<f64> {
    let (account, accounts) = (account?, accounts?);
    let own = accounts.find(account)?.weight;
    let others = overload.accounts.iter().filter(|other| *other != account);
    let others = others.filter_map(|other| accounts.find(other));
    let others: f64 = others.map(|other| other.weight).sum();
    (own > 0.0 && others > 0.0).then(|| own / (own + others))
}

/// Rounds a delay up to whole seconds after lengthening it at random.
fn retry_after_ms(delay_ms: u64, random: f64) -> u64 {
    let lengthened_ms = delay_ms.max(RETRY_MIN_MS) as f64 * (1.0 + RETRY_JITTER * random);
    (lengthened_ms as u64).next_multiple_of(RETRY_MIN_MS)
}
