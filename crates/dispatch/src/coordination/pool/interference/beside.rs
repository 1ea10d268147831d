//! Which kinds run on a worker, for how long they ran beside a run, and how slow
//! the worker was of late.

use std::collections::VecDeque;

use super::{
    evidence::Sample,
    kinds::{KindKey, KindSet},
};

/// Kinds without a run that are still remembered on a worker: a worker runs about
/// sixteen tasks at once, and a run's neighbours may end before it.
const IDLE_KINDS_MAX: usize = 16;
/// Ended runs by which the speed of a worker is judged: about as many as a worker
/// runs at once.
const RECENT_MAX: usize = 12;
/// Least number of these without the neighbour in question.
const RECENT_MIN: usize = 4;
/// Natural logarithm of the least slowdown that counts as the worker's: 1.1, below
/// which the median of a few runs is mostly noise.
const WORKER_EFFECT_MIN: f64 = 0.095;

/// Use of a worker by one kind.
#[derive(Clone, Copy, Debug)]
struct KindUse {
    kind: KindKey,
    runs: u32,
    /// Thousandths of the worker that its runs take.
    share_permille: u64,
    /// When the sums were updated, on the local clock.
    at_ms: u64,
    /// Time during which at least one run of the kind existed; wraps around.
    covered_ms: u32,
    /// Sum over time of the share, in thousandths times milliseconds.
    share_permille_ms: u64,
}

impl KindUse {
    fn new(now_ms: u64, kind: KindKey) -> Self {
        let (runs, share_permille, covered_ms, share_permille_ms) = (0, 0, 0, 0);
        Self { kind, runs, share_permille, at_ms: now_ms, covered_ms, share_permille_ms }
    }

    fn advance(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.at_ms);
        self.at_ms = self.at_ms.max(now_ms);
        if self.runs > 0 {
            self.covered_ms = self.covered_ms.wrapping_add(passed_ms as u32);
            self.share_permille_ms += self.share_permille * passed_ms;
        }
    }
}

/// State of a worker when a run began.
#[derive(Clone, Debug, Default)]
pub(super) struct Snapshot {
    covered_ms: Box<[(KindKey, u32)]>,
    own_share_permille_ms: u64,
}

/// What ran beside a run while it existed.
#[derive(Clone, Debug, Default)]
pub(super) struct Neighbours {
    /// Each kind with the percentage of the run's time.
    pub(super) kinds: Vec<(KindKey, u64)>,
    /// Mean share of the worker that other runs of the same kind took, in
    /// thousandths.
    pub(super) siblings_permille: u64,
}

/// An ended run on a worker.
#[derive(Clone, Copy, Debug)]
struct RecentRun {
    kind: KindKey,
    beside: KindSet,
    /// Difference from the kind's usual duration.
    excess: Sample,
}

/// What is known of one worker.
#[derive(Debug, Default)]
pub(super) struct WorkerWatch {
    uses: Vec<KindUse>,
    present: KindSet,
    recent: VecDeque<RecentRun>,
}

impl WorkerWatch {
    /// Returns the kinds with a run on the worker.
    pub(super) fn present(&self) -> &KindSet {
        &self.present
    }

    /// Notes a run that begins; returns the state by which its neighbours are
    /// found when it ends.
    pub(super) fn begin(&mut self, now_ms: u64, kind: KindKey, share_permille: u64) {
        let at = match self.uses.iter().position(|it| it.kind == kind) {
            Some(at) => at,
            None => {
                self.forget_idle();
                self.uses.push(KindUse::new(now_ms, kind));
                self.uses.len() - 1
            }
        };
        let own = &mut self.uses[at];
        own.advance(now_ms);
        own.runs += 1;
        own.share_permille += share_permille;
        self.present.insert(kind);
    }

    /// Returns the state by which the neighbours of a run that has just begun are
    /// found when it ends.
    pub(super) fn snapshot(&mut self, now_ms: u64, kind: KindKey) -> Snapshot {
        let mut own_share_permille_ms = 0;
        let mut covered_ms = Vec::with_capacity(self.uses.len().saturating_sub(1));
        for it in &mut self.uses {
            it.advance(now_ms);
            if it.kind == kind {
                own_share_permille_ms = it.share_permille_ms;
            } else {
                covered_ms.push((it.kind, it.covered_ms));
            }
        }
        Snapshot { covered_ms: covered_ms.into(), own_share_permille_ms }
    }

    /// Notes that a run is over.
    pub(super) fn end(&mut self, now_ms: u64, kind: KindKey, share_permille: u64) {
        let Some(own) = self.uses.iter_mut().find(|it| it.kind == kind) else { return };
        own.advance(now_ms);
        own.runs = own.runs.saturating_sub(1);
        own.share_permille = own.share_permille.saturating_sub(share_permille);
        if own.runs == 0 {
            self.present.remove(kind);
        }
    }

    /// Returns what ran beside a run of `kind` that began with `snapshot`.
    pub(super) fn neighbours(
        &mut self,
        now_ms: u64,
        ran_ms: u64,
        (kind, share_permille): (KindKey, u64),
        snapshot: &Snapshot,
    ) -> Neighbours {
        let ran_ms = ran_ms.max(1);
        let mut found = Neighbours::default();
        for it in &mut self.uses {
            it.advance(now_ms);
            if it.kind == kind {
                let taken = it.share_permille_ms.saturating_sub(snapshot.own_share_permille_ms);
                found.siblings_permille = (taken / ran_ms).saturating_sub(share_permille);
                continue;
            }
            let before = snapshot.covered_ms.iter().find(|(kind, _)| *kind == it.kind);
            let beside_ms = it.covered_ms.wrapping_sub(before.map_or(0, |&(_, before)| before));
            let percent = u64::from(beside_ms).min(ran_ms) * 100 / ran_ms;
            if percent > 0 {
                found.kinds.push((it.kind, percent));
            }
        }
        found
    }

    /// Adds a run by which the speed of the worker is judged.
    pub(super) fn add_recent(&mut self, kind: KindKey, beside: KindSet, excess: Sample) {
        if self.recent.len() == RECENT_MAX {
            self.recent.pop_front();
        }
        self.recent.push_back(RecentRun { kind, beside, excess });
    }

    /// Returns by how much the worker was slower than others of late: the median
    /// of its recent runs, of at least two kinds. Runs that the pair in question
    /// may have slowed are left out.
    pub(super) fn effect(&self, pair: Option<(KindKey, KindKey)>) -> Sample {
        let counts = |run: &&RecentRun| {
            pair.is_none_or(|(slowed, beside)| {
                let is_slowed = run.kind == beside && run.beside.contains(slowed);
                !run.beside.contains(beside) && !is_slowed
            })
        };
        let runs: Vec<&RecentRun> = self.recent.iter().filter(counts).collect();
        let has_kinds = runs.iter().any(|run| run.kind != runs[0].kind);
        if runs.len() < RECENT_MIN || !has_kinds {
            return Sample::default();
        }
        Sample(std::array::from_fn(|at| {
            let mut values: Vec<f64> = runs.iter().map(|run| run.excess.0[at]).collect();
            values.sort_unstable_by(f64::total_cmp);
            let median = values[values.len() / 2];
            if median.abs() < WORKER_EFFECT_MIN { 0.0 } else { median }
        }))
    }

    /// Returns the number of kinds that are remembered.
    #[cfg(test)]
    pub(super) fn kinds(&self) -> usize {
        self.uses.len()
    }

    /// Removes a kind that is no longer tracked.
    pub(super) fn forget(&mut self, kind: KindKey) {
        self.uses.retain(|it| it.kind != kind);
        self.present.remove(kind);
        self.recent.retain(|run| run.kind != kind && !run.beside.contains(kind));
    }

    /// Removes the kind without a run that was changed least recently, if there
    /// are too many.
    fn forget_idle(&mut self) {
        let idle = || self.uses.iter().enumerate().filter(|(_, it)| it.runs == 0);
        if idle().count() < IDLE_KINDS_MAX {
            return;
        }
        if let Some(at) = idle().min_by_key(|(_, it)| it.at_ms).map(|(at, _)| at) {
            self.uses.swap_remove(at);
        }
    }
}
