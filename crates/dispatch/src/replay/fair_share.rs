//! Replay of a flood: one client account submits at six times its usual rate to a
//! pool that is just full otherwise.
//!
//! The other accounts' jobs are the same in each variant of a seed, so that each
//! job's wait can be compared with and without the flood, and with and without
//! the fair share.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::pool::{PoolSimulation, job, step};
use crate::state::JobNumber;

/// Longest duration of a task, in milliseconds.
pub const TASK_MAX_MS: u32 = 600;
const TASK_MIN_MS: u32 = 400;
const TASK_CORES: u64 = 2;
const WORKERS: usize = 4;
const WORKER_CORES: u64 = 16;
/// Factor by which the flood exceeds the account's usual rate; the users' day has
/// 6.5.
const FLOOD_FACTOR: f64 = 6.0;
/// Start of the flood, in milliseconds after that of the replay: the pool is at
/// its usual load by then.
const FLOOD_BEGIN_MS: u64 = 3_000;
const FLOOD_END_MS: u64 = 9_000;
/// End of the time after the flood that is measured, in milliseconds.
const MEASURED_END_MS: u64 = 15_000;
/// Time in which the accepted work ends, in milliseconds.
const DRAIN_MS: u64 = 30_000;
/// Time between two rounds of submissions, in milliseconds.
const TICK_MS: u64 = 10;

/// Usual load of a client account.
#[derive(Clone, Copy, Debug)]
pub struct AccountLoad {
    pub account: &'static str,
    pub weight: f64,
    /// Usual load as a part of the pool's capacity.
    pub load: f64,
}

/// Flood of the first of the accounts.
#[derive(Clone, Debug)]
pub struct FloodReplay {
    accounts: Vec<AccountLoad>,
    seed: u64,
    is_flooded: bool,
    is_shared: bool,
}

/// When the jobs of the other accounts were submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodPhase {
    During,
    After,
}

/// A job of an account that does not flood.
#[derive(Clone, Copy, Debug)]
pub struct OtherJob {
    pub account: &'static str,
    pub phase: FloodPhase,
    /// Time from submission to the first start, in milliseconds.
    pub waited_ms: u64,
    /// The job ended within its objective.
    pub is_timely: bool,
}

/// What became of the load.
#[derive(Clone, Debug)]
pub struct FloodOutcome {
    /// Jobs of the other accounts, in order of submission.
    pub others: Vec<OtherJob>,
    /// Jobs of the flooding account, and those of them that ended.
    pub flood_jobs: usize,
    pub flood_ended: usize,
}

impl FloodReplay {
    /// Creates the replay of a flood from the first account, without a fair share.
    pub fn new(accounts: &[AccountLoad], seed: u64) -> Self {
        Self { accounts: accounts.to_vec(), seed, is_flooded: true, is_shared: false }
    }

    /// Shares the pool among the accounts by weight.
    #[must_use]
    pub fn with_fair_share(mut self) -> Self {
        self.is_shared = true;
        self
    }

    /// Keeps the first account at its usual rate.
    #[must_use]
    pub fn without_flood(mut self) -> Self {
        self.is_flooded = false;
        self
    }

    /// Runs the load on a pool.
    pub fn run(&self) -> FloodOutcome {
        let mut simulation = PoolSimulation::new(WORKERS, WORKER_CORES);
        if self.is_shared {
            let accounts: Vec<_> =
                self.accounts.iter().map(|load| (load.account, load.weight)).collect();
            simulation.set_accounts(&accounts);
        }
        let began_ms = simulation.now_ms;
        let mut sources: Vec<_> =
            (0_u64..).zip(&self.accounts).map(Source::new(self.seed)).collect();
        let mut submitted = Vec::new();
        for at_ms in (0..MEASURED_END_MS).step_by(TICK_MS as usize) {
            for (index, source) in sources.iter_mut().enumerate() {
                let floods = index == 0
                    && self.is_flooded
                    && (FLOOD_BEGIN_MS..FLOOD_END_MS).contains(&at_ms);
                let factor = if floods { FLOOD_FACTOR } else { 1.0 };
                for task_ms in source.arrivals(factor) {
                    let spec = job(vec![step(1, TASK_CORES * 1_000, task_ms)]);
                    let number = simulation.submit_as(source.load.account, spec);
                    submitted.push(Submitted { at_ms, source: index, number, task_ms });
                }
            }
            simulation.run_ms(TICK_MS);
        }
        simulation.run_until(began_ms + MEASURED_END_MS + DRAIN_MS, |simulation| {
            submitted.iter().all(|job| simulation.outcome(job.number).is_some())
        });
        self.outcome(&simulation, &submitted)
    }

    fn outcome(&self, simulation: &PoolSimulation, submitted: &[Submitted]) -> FloodOutcome {
        let (flood, others): (Vec<_>, Vec<_>) =
            submitted.iter().partition(|submitted| submitted.source == 0);
        let measured = others.into_iter().filter(|submitted| submitted.at_ms >= FLOOD_BEGIN_MS);
        let others = measured.filter_map(|submitted| {
            let phase =
                if submitted.at_ms < FLOOD_END_MS { FloodPhase::During } else { FloodPhase::After };
            Some(OtherJob {
                account: self.accounts[submitted.source].account,
                phase,
                waited_ms: simulation.waited_ms(submitted.number)?,
                is_timely: simulation.took_ms(submitted.number)? <= submitted.objective_ms(),
            })
        });
        let others = others.collect();
        let is_ended = |submitted: &&&Submitted| simulation.outcome(submitted.number).is_some();
        let flood_ended = flood.iter().filter(is_ended).count();
        FloodOutcome { others, flood_jobs: flood.len(), flood_ended }
    }
}

impl FloodOutcome {
    /// Returns the part of the other accounts' jobs that ended within their
    /// objective.
    pub fn timely_share(&self, phase: FloodPhase) -> f64 {
        let jobs = || self.others.iter().filter(|job| job.phase == phase);
        jobs().filter(|job| job.is_timely).count() as f64 / jobs().count().max(1) as f64
    }

    /// Returns the time that the other accounts' jobs wait in excess of `without`,
    /// at the `percent`-th percentile over the jobs of a phase, in milliseconds.
    pub fn extra_wait_ms(&self, without: &FloodOutcome, phase: FloodPhase, percent: usize) -> u64 {
        let pairs = self.others.iter().zip(&without.others).filter(|(job, _)| job.phase == phase);
        let mut extra: Vec<u64> =
            pairs.map(|(job, same)| job.waited_ms.saturating_sub(same.waited_ms)).collect();
        extra.sort_unstable();
        let at = (extra.len() * percent).div_ceil(100).saturating_sub(1);
        extra.get(at).copied().unwrap_or(0)
    }
}

struct Submitted {
    at_ms: u64,
    source: usize,
    number: JobNumber,
    task_ms: u32,
}

impl Submitted {
    /// Returns the time within which callers expect the job to end.
    fn objective_ms(&self) -> u64 {
        u64::from(self.task_ms) * 16 / 10 + 600
    }
}

/// Source of an account's jobs, which arrive independently of each other.
struct Source<'a> {
    load: &'a AccountLoad,
    random: ChaCha8Rng,
}

impl<'a> Source<'a> {
    fn new(seed: u64) -> impl Fn((u64, &'a AccountLoad)) -> Self {
        move |(index, load)| {
            let random = ChaCha8Rng::seed_from_u64(seed * 1_000 + index);
            Self { load, random }
        }
    }

    /// Draws the tasks that arrive in one tick at a multiple of the usual rate, by
    /// their durations in milliseconds.
    fn arrivals(&mut self, factor: f64) -> Vec<u32> {
        let slots = (WORKERS as u64 * WORKER_CORES / TASK_CORES) as f64;
        let task_ms = f64::from(TASK_MIN_MS + TASK_MAX_MS) / 2.0;
        let mean = slots * self.load.load * factor * TICK_MS as f64 / task_ms;
        // A binomial count with up to 20 arrivals in a tick.
        let count = (0..20).filter(|_| self.random.random_bool((mean / 20.0).min(1.0))).count();
        (0..count).map(|_| self.random.random_range(TASK_MIN_MS..=TASK_MAX_MS)).collect()
    }
}
