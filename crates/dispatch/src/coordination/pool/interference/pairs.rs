//! Estimates for ordered pairs of kinds: by how much one is slowed by the other.
//!
//! The estimate of a pair is the mean duration of the runs beside the other kind
//! minus that of the runs without it, on a logarithmic scale. It is believed if it
//! is large, if it rests on enough runs of different jobs and workers, and if it
//! exceeds its standard error several times.

use hashbrown::HashMap;
use strum::Display;

use super::{
    evidence::{Moments, PREDICTORS, Sample},
    kinds::KindKey,
};
use crate::coordination::pool::events::{JobKey, WorkerKey};

/// Most pairs with an estimate. A pair takes about 420 bytes, so all of them take
/// about 2 MB of the 160 MB of the smallest entry host. 4,096 pairs are
/// twenty neighbours of each of 200 kinds.
pub(super) const PAIRS_MAX: usize = 4_096;
/// Natural logarithm of the slowdown from which a pair is suspected or confirmed:
/// 1.25, below which moving a task gains less than the guess of its duration errs.
const SLOWDOWN_MIN: f64 = 0.223;
/// Natural logarithm of the slowdown below which a pair is cleared: 1.15, so that
/// an estimate near the threshold does not change the state with each run.
const SLOWDOWN_CLEARED: f64 = 0.14;
/// Runs beside the neighbour from which a pair may be suspected.
pub(super) const SUSPECTED_RUNS: f64 = 6.0;
/// Runs from which it may be confirmed.
pub(super) const CONFIRMED_RUNS: f64 = 12.0;
/// Runs below which it is cleared: a third of those that confirm it. Without new
/// runs, twelve decay to four in 1.6 half-lives and [`RUNS_MAX`] in four.
const CLEARED_RUNS: f64 = 4.0;
/// Runs without the neighbour that an estimate needs: with fewer, the usual
/// variation of the kind is not known well enough for the errors below.
pub(super) const WITHOUT_RUNS: f64 = 24.0;
/// Most runs that an estimate remembers: a pair that no longer interferes is
/// cleared after about as many. With 32, a slowdown of 1.6 stayed unconfirmed where
/// durations vary by 30%.
const RUNS_MAX: f64 = 64.0;
/// Standard errors that the estimate of a suspected pair must exceed.
const SUSPECTED_ERRORS: f64 = 3.0;
/// The same for a confirmed pair. Tens of thousands of pairs are tested again and
/// again; five errors occur by chance in about one of a hundred thousand tests
/// with [`WITHOUT_RUNS`] runs.
const CONFIRMED_ERRORS: f64 = 5.0;
/// Least standard deviation that is assumed for a run: ends are noticed up to
/// 22 ms late, which is a few percent of a short task.
const DEVIATION_MIN: f64 = 0.05;
/// Share of the runs that must remain without those of the worker with the most,
/// and must show the slowdown as well: a single worker may be slow for another
/// reason.
const OTHER_WORKERS_MIN: f64 = 1.0 / 3.0;
/// Latest jobs of which a run was counted. One run of each counts: the runs of a
/// job share the error of its declared size.
const JOBS_KEPT: usize = 8;
/// Workers of which the share of the runs is tracked.
const WORKERS_KEPT: usize = 4;

/// A slowed kind and the kind beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct PairKey {
    pub(super) slowed: KindKey,
    pub(super) beside: KindKey,
}

/// What is believed of a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Belief {
    /// Too little evidence, or no slowdown.
    #[default]
    Unsuspected,
    /// Slowed as far as a few runs show; without effect on placement.
    Suspected,
    /// Kept apart where there is room.
    Confirmed,
}

/// Estimated slowdown of a pair.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Natural logarithm of the slowdown.
    pub(super) log_slowdown: f64,
    /// Standard error of the logarithm.
    error: f64,
    /// The other workers than the one with the most runs show it as well.
    is_on_others: bool,
    /// There are enough runs without the neighbour to believe more than before.
    is_usual_known: bool,
    /// Runs beside the neighbour, with decay.
    pub(super) runs: f64,
}

/// Evidence of one pair.
#[derive(Debug, Default)]
struct Pair {
    belief: Belief,
    /// Runs among the usual ones of the slowed kind that were beside the neighbour
    /// for some of their time.
    among_usual: Moments,
    /// Runs beside the neighbour for most of their time, one of each job.
    beside: Moments,
    jobs: [JobKey; JOBS_KEPT],
    next_job: usize,
    /// Those of the workers with the most.
    workers: [(WorkerKey, Moments); WORKERS_KEPT],
}

impl Pair {
    /// Returns whether no run of the job was counted lately, and notes it.
    fn admit(&mut self, job: JobKey) -> bool {
        if self.jobs.contains(&job) {
            return false;
        }
        self.jobs[self.next_job] = job;
        self.next_job = (self.next_job + 1) % JOBS_KEPT;
        true
    }

    fn add(&mut self, now_ms: u64, worker: WorkerKey, sample: &Sample) {
        self.beside.add(now_ms, sample);
        let factor = self.beside.limit(RUNS_MAX);
        let at = self.workers.iter().position(|(known, _)| *known == worker);
        let at = at.unwrap_or_else(|| {
            let runs = |at: &usize| self.workers[*at].1.weight();
            let least = (0..WORKERS_KEPT).min_by(|a, b| runs(a).total_cmp(&runs(b))).unwrap_or(0);
            self.workers[least] = (worker, Moments::default());
            least
        });
        self.workers[at].1.add(now_ms, sample);
        for (_, runs) in &mut self.workers {
            runs.decay(now_ms);
            runs.scale(factor);
        }
    }

    /// Returns the runs beside the neighbour without those of the worker with the
    /// most.
    fn on_other_workers(&mut self, now_ms: u64) -> Moments {
        self.workers.iter_mut().for_each(|(_, runs)| runs.decay(now_ms));
        let by_runs = |a: &&Moments, b: &&Moments| a.weight().total_cmp(&b.weight());
        let most = self.workers.iter().map(|(_, runs)| runs).max_by(by_runs);
        most.map_or_else(Moments::default, |most| self.beside.without(most))
    }

    /// Compares the runs beside the neighbour with those without it.
    fn estimate(&mut self, now_ms: u64, usual: &Moments) -> Option<Estimate> {
        self.among_usual.decay(now_ms);
        self.beside.decay(now_ms);
        let without = usual.without(&self.among_usual);
        let runs = self.beside.weight();
        // Both kinds of evidence of a believed pair may decay by the same factor.
        let without_min = match self.belief {
            Belief::Unsuspected => WITHOUT_RUNS,
            _ => WITHOUT_RUNS * CLEARED_RUNS / CONFIRMED_RUNS,
        };
        if without.weight() < without_min || runs < 1.0 {
            return None;
        }
        let (usual_variance, variance) = (without.variance(), self.beside.variance());
        let by_variance = |&a: &usize, &b: &usize| usual_variance[a].total_cmp(&usual_variance[b]);
        let predictor = (0..PREDICTORS).min_by(by_variance)?;
        let usual_variance = usual_variance[predictor].max(DEVIATION_MIN * DEVIATION_MIN);
        let variance = variance[predictor].max(usual_variance);
        let log_slowdown = |runs: &Moments| runs.mean().minus(&without.mean()).0[predictor];
        let others = self.on_other_workers(now_ms);
        let is_on_others =
            others.weight() >= runs * OTHER_WORKERS_MIN && log_slowdown(&others) >= SLOWDOWN_MIN;
        Some(Estimate {
            log_slowdown: log_slowdown(&self.beside),
            is_on_others,
            is_usual_known: without.weight() >= WITHOUT_RUNS,
            error: (variance / runs + usual_variance / without.weight()).sqrt(),
            runs,
        })
    }

    fn judge(&self, estimate: Option<&Estimate>) -> Belief {
        let Some(&Estimate { log_slowdown, error, is_on_others, is_usual_known, runs }) = estimate
        else {
            return Belief::Unsuspected;
        };
        let exceeds = |runs_min: f64, errors: f64| {
            // A sum of decayed ones differs from the whole number in its last digits.
            is_on_others
                && is_usual_known
                && runs + 0.01 >= runs_min
                && log_slowdown >= SLOWDOWN_MIN
                && log_slowdown >= error * errors
        };
        if exceeds(CONFIRMED_RUNS, CONFIRMED_ERRORS) {
            return Belief::Confirmed;
        }
        match self.belief {
            Belief::Unsuspected if exceeds(SUSPECTED_RUNS, SUSPECTED_ERRORS) => Belief::Suspected,
            Belief::Unsuspected => Belief::Unsuspected,
            _ if runs < CLEARED_RUNS || log_slowdown < SLOWDOWN_CLEARED => Belief::Unsuspected,
            known => known,
        }
    }
}

/// Change of what is believed of a pair.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Change {
    pub(super) pair: PairKey,
    pub(super) belief: Belief,
    pub(super) estimate: Option<Estimate>,
}

/// Evidence of all pairs.
#[derive(Debug, Default)]
pub(super) struct PairTable {
    pairs: HashMap<PairKey, Pair>,
    /// Suspected and confirmed pairs.
    believed: Vec<PairKey>,
}

impl PairTable {
    /// Returns the suspected and confirmed pairs.
    pub(super) fn believed(&self) -> &[PairKey] {
        &self.believed
    }

    pub(super) fn belief(&self, pair: PairKey) -> Belief {
        self.pairs.get(&pair).map_or(Belief::Unsuspected, |it| it.belief)
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Returns the believed pair with the largest slowdown.
    pub(super) fn strongest<I>(&mut self, now_ms: u64, pairs: I, usual: &Moments) -> Option<PairKey>
    where
        I: Iterator<Item = PairKey>,
    {
        if self.believed.is_empty() {
            return None;
        }
        let found = pairs.filter_map(|pair| {
            let entry = self.pairs.get_mut(&pair)?;
            if entry.belief == Belief::Unsuspected {
                return None;
            }
            let estimate = entry.estimate(now_ms, usual);
            Some((estimate.map_or(0.0, |it| it.log_slowdown), pair))
        });
        found.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, pair)| pair)
    }

    pub(super) fn estimate(
        &mut self,
        now_ms: u64,
        pair: PairKey,
        usual: &Moments,
    ) -> Option<Estimate> {
        self.pairs.get_mut(&pair)?.estimate(now_ms, usual)
    }

    /// Adds a usual run of the slowed kind that was beside the other for some of
    /// its time.
    pub(super) fn add_usual(&mut self, now_ms: u64, pair: PairKey, sample: &Sample) {
        self.entry(now_ms, pair).among_usual.add(now_ms, sample);
    }

    /// Adds a run that was beside the other kind for most of its time; returns
    /// whether it counts.
    pub(super) fn add_beside(
        &mut self,
        now_ms: u64,
        pair: PairKey,
        (job, worker): (JobKey, WorkerKey),
        sample: &Sample,
    ) -> bool {
        let entry = self.entry(now_ms, pair);
        let counts = entry.admit(job);
        if counts {
            entry.add(now_ms, worker, sample);
        }
        counts
    }

    fn entry(&mut self, now_ms: u64, pair: PairKey) -> &mut Pair {
        if self.pairs.len() >= PAIRS_MAX && !self.pairs.contains_key(&pair) {
            self.discard_least(now_ms);
        }
        self.pairs.entry(pair).or_default()
    }

    /// Discards half of the unsuspected pairs, those with the fewest runs.
    fn discard_least(&mut self, now_ms: u64) {
        let unsuspected = self.pairs.iter_mut().filter(|(_, it)| it.belief == Belief::Unsuspected);
        let mut by_runs: Vec<_> = unsuspected
            .map(|(&pair, it)| {
                it.beside.decay(now_ms);
                (it.beside.weight(), pair)
            })
            .collect();
        by_runs.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        by_runs.truncate(by_runs.len().div_ceil(2));
        for (_, pair) in by_runs {
            self.pairs.remove(&pair);
        }
    }

    /// Judges a pair by its evidence; returns the change of belief, if any.
    pub(super) fn judge(&mut self, now_ms: u64, pair: PairKey, usual: &Moments) -> Option<Change> {
        let entry = self.pairs.get_mut(&pair)?;
        let estimate = entry.estimate(now_ms, usual);
        let belief = entry.judge(estimate.as_ref());
        if belief == entry.belief {
            return None;
        }
        let was = std::mem::replace(&mut entry.belief, belief);
        match (was, belief) {
            (_, Belief::Unsuspected) => {
                self.believed.retain(|known| *known != pair);
                // What was believed wrongly is not believed again on the same runs.
                self.pairs.remove(&pair);
            }
            (Belief::Unsuspected, _) => {
                self.believed.push(pair);
                self.restart_others(pair);
            }
            _ => {}
        }
        Some(Change { pair, belief, estimate })
    }

    /// Discards what was counted against other neighbours of a kind when one is
    /// suspected: they may only have run beside it at the same time.
    fn restart_others(&mut self, pair: PairKey) {
        let others = self.pairs.iter_mut().filter(|(key, it)| {
            key.slowed == pair.slowed && **key != pair && it.belief == Belief::Unsuspected
        });
        for (_, other) in others {
            other.beside = Moments::default();
            other.workers = Default::default();
        }
    }

    /// Removes the pairs of a kind that is no longer tracked.
    pub(super) fn forget(&mut self, kind: KindKey) {
        let is_kept = |pair: &PairKey| pair.slowed != kind && pair.beside != kind;
        self.pairs.retain(|pair, _| is_kept(pair));
        self.believed.retain(is_kept);
    }
}
