//! Kinds of tasks that slow each other down on the same worker.
//!
//! Load pattern: tasks that need the same resource which no declaration names,
//! such as memory bandwidth or a disk, run beside each other and take longer,
//! while other workers have room. A surge starts and ends thousands of runs a
//! second, so a choice of a worker only compares two small sets, and does not even
//! do that while no pair is confirmed.
//!
//! The part notes which kinds run on each worker and for how long they ran beside
//! a run. A run that ends well is compared with other runs of its kind; pairs of
//! kinds whose runs are slow together are suspected, then confirmed and kept apart.
//! See `docs/design/interference.md`.

mod beside;
mod evidence;
mod hooks;
mod kinds;
mod pairs;

use hashbrown::HashMap;
use slotmap::SecondaryMap;
use tamarackproxy::{coordination::jobs::Resources, state::ids::QueueId};

use self::{
    beside::{Snapshot, WorkerWatch},
    evidence::Sample,
    kinds::{KindKey, KindSet, KindTable},
    pairs::{Change, Estimate, PairKey, PairTable},
};
use super::{events::WorkerKey, task::TaskRef};
use crate::state::{RunNumber, StepSpec};

pub(super) use self::pairs::Belief;

/// Shortest run that is evidence, in milliseconds: ends are noticed up to 120 ms
/// late, which would be most of a shorter run.
const RUN_MIN_MS: u64 = 200;
/// Share of a run's time for which it was beside a kind, in percent, from which
/// the run is evidence on the pair.
const MOST_PERCENT: u64 = 60;
/// Share, in percent, from which a run does not count as one without the kind.
const SOME_PERCENT: u64 = 20;
/// Share of the worker that other runs of the same kind take, in thousandths, from
/// which a run is no evidence: the kind is then slowed by itself.
const SIBLINGS_MAX_PERMILLE: u64 = 400;
/// Runs of a kind from which its usual duration is known well enough to judge the
/// speed of workers.
const USUAL_RUNS: f64 = 8.0;
/// Largest difference from the usual duration that one run contributes, as a
/// natural logarithm: tenfold, the bound that the health of workers uses as well.
const EXCESS_MAX: f64 = 2.303;
/// One of so many starts ignores the kinds to keep apart, so that a false
/// confirmation meets evidence while there is other room. It costs 1/32 of the
/// slowdowns that are avoided.
const TRIAL_INTERVAL: u32 = 32;
/// Interval at which suspected and confirmed pairs are judged without new runs, in
/// milliseconds: that of the decay.
const REVIEW_INTERVAL_MS: u64 = 10_000;
/// Most confirmed pairs that a view lists, so that the number of metrics stays
/// bounded.
const VIEW_MAX: usize = 32;

/// A pair of kinds that is kept apart.
#[derive(Clone, Debug, PartialEq)]
pub struct InterferingPair {
    /// Kind whose tasks take longer.
    pub slowed: Box<str>,
    /// Kind beside which they do.
    pub beside: Box<str>,
    /// Mean factor by which they take longer.
    pub slowdown: f64,
    /// Runs that the factor rests on, with decay.
    pub runs: f64,
}

/// Change of what is believed of a pair of kinds.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PairChange {
    pub(super) belief: Belief,
    /// The estimate; the slowdown is 1 if there is no evidence left.
    pub(super) pair: InterferingPair,
}

/// A run and the worker that it is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct RunAt {
    pub(super) worker: WorkerKey,
    pub(super) task: TaskRef,
    pub(super) number: RunNumber,
}

/// Step and queue of a run that begins.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunKind<'a> {
    pub(super) spec: &'a StepSpec,
    pub(super) queue: &'a QueueId,
    /// Capacity of the worker.
    pub(super) capacity: &'a Resources,
    /// Its duration may be compared with that of other runs of its kind.
    pub(super) is_comparable: bool,
}

/// A run that exists.
#[derive(Debug)]
struct RunWatch {
    kind: KindKey,
    began_ms: u64,
    declared_ms: u32,
    share_permille: u64,
    /// State of the worker at the start; none if the run is no evidence.
    snapshot: Option<Snapshot>,
}

/// A worker and its runs.
#[derive(Debug, Default)]
struct WatchedWorker {
    watch: WorkerWatch,
    runs: HashMap<(TaskRef, RunNumber), RunWatch>,
}

impl WatchedWorker {
    /// Removes a run; returns its kind if it was known.
    fn take(&mut self, now_ms: u64, at: &RunAt) -> Option<KindKey> {
        let run = self.runs.remove(&(at.task, at.number))?;
        self.watch.end(now_ms, run.kind, run.share_permille);
        Some(run.kind)
    }
}

/// Kinds beside which a task should not be placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Avoided<'a> {
    workers: &'a SecondaryMap<WorkerKey, WatchedWorker>,
    kinds: &'a KindSet,
}

impl Avoided<'_> {
    /// Returns whether one of the kinds runs on a worker.
    pub(super) fn is_on(&self, worker: WorkerKey) -> bool {
        self.workers.get(worker).is_some_and(|it| it.watch.present().intersects(self.kinds))
    }
}

/// Finds the kinds of tasks that slow each other down.
#[derive(Debug, Default)]
pub(super) struct Interference {
    is_disabled: bool,
    kinds: KindTable,
    workers: SecondaryMap<WorkerKey, WatchedWorker>,
    pairs: PairTable,
    has_confirmed: bool,
    next_review_ms: u64,
}

impl Interference {
    /// Creates a part that watches nothing.
    pub(super) fn disabled() -> Self {
        Self { is_disabled: true, ..Self::default() }
    }

    /// Notes a run that begins, or that was adopted.
    pub(super) fn on_begin(&mut self, now_ms: u64, at: RunAt, run: &RunKind<'_>) {
        if self.is_disabled {
            return;
        }
        let Some(kind) = self.kind_of(now_ms, run) else { return };
        let Some(entry) = self.workers.entry(at.worker) else { return };
        let worker = entry.or_default();
        if let Some(old) = worker.take(now_ms, &at) {
            self.kinds.end(old);
        }
        self.kinds.begin(now_ms, kind);
        let share_permille = run.spec.allocation().dominant_share(run.capacity);
        worker.watch.begin(now_ms, kind, share_permille);
        let is_evidence = run.is_comparable && is_comparable(run.spec);
        let snapshot = is_evidence.then(|| worker.watch.snapshot(now_ms, kind));
        let declared_ms = run.spec.estimate_ms;
        let watch = RunWatch { kind, began_ms: now_ms, declared_ms, share_permille, snapshot };
        worker.runs.insert((at.task, at.number), watch);
    }

    fn kind_of(&mut self, now_ms: u64, run: &RunKind<'_>) -> Option<KindKey> {
        if let Some(kind) = self.kinds.find(run.spec, run.queue) {
            return Some(kind);
        }
        // Operators see that a pair is cleared before one of its kinds is replaced.
        let mut kept = KindSet::default();
        for pair in self.pairs.believed() {
            kept.insert(pair.slowed);
            kept.insert(pair.beside);
        }
        let (kind, is_replaced) = self.kinds.add(now_ms, run.spec, run.queue, &kept)?;
        if is_replaced {
            self.pairs.forget(kind);
            self.workers.values_mut().for_each(|worker| worker.watch.forget(kind));
            self.update_avoided();
        }
        Some(kind)
    }

    /// Takes the duration of a run that ended well as evidence. Call it before
    /// [`on_over`](Self::on_over). Returns the pairs of which the belief changed.
    pub(super) fn on_done(&mut self, now_ms: u64, at: RunAt) -> Vec<PairChange> {
        let Some(worker) = self.workers.get_mut(at.worker) else { return Vec::new() };
        let Some(run) = worker.runs.get(&(at.task, at.number)) else { return Vec::new() };
        let ran_ms = now_ms.saturating_sub(run.began_ms);
        let Some(snapshot) = run.snapshot.as_ref().filter(|_| ran_ms >= RUN_MIN_MS) else {
            return Vec::new();
        };
        let own = (run.kind, run.share_permille);
        let found = worker.watch.neighbours(now_ms, ran_ms, own, snapshot);
        if found.siblings_permille >= SIBLINGS_MAX_PERMILLE {
            return Vec::new();
        }
        let (kind, began_ms, declared_ms) = (run.kind, run.began_ms, run.declared_ms);
        // A kind that became tracked later took the key of one that was replaced.
        let is_known = |it: &KindKey| self.kinds.get(*it).added_ms <= began_ms;
        let beside = |percent_min: u64| {
            let enough = found.kinds.iter().filter(move |(_, percent)| *percent >= percent_min);
            enough.map(|&(beside, _)| beside).filter(is_known).collect::<Vec<_>>()
        };
        let (most, some) = (beside(MOST_PERCENT), beside(SOME_PERCENT));
        let sample = Sample::new(ran_ms, declared_ms);
        let sample = self.note_speed(now_ms, at.worker, kind, &some, sample);
        self.learn(now_ms, at, kind, &most, &some, &sample)
    }

    /// Adds a run to those by which its worker's speed is judged; returns the
    /// sample, limited if it is far off.
    fn note_speed(
        &mut self,
        now_ms: u64,
        worker: WorkerKey,
        kind: KindKey,
        some: &[KindKey],
        sample: Sample,
    ) -> Sample {
        let usual = &mut self.kinds.get_mut(kind).usual;
        usual.decay(now_ms);
        if usual.weight() < USUAL_RUNS {
            return sample;
        }
        let mean = usual.mean();
        let excess = sample.minus(&mean).clamped(EXCESS_MAX);
        let mut beside = KindSet::default();
        some.iter().for_each(|&kind| beside.insert(kind));
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.watch.add_recent(kind, beside, excess);
        }
        excess.plus(&mean)
    }

    fn learn(
        &mut self,
        now_ms: u64,
        at: RunAt,
        kind: KindKey,
        most: &[KindKey],
        some: &[KindKey],
        sample: &Sample,
    ) -> Vec<PairChange> {
        let pair = |&beside: &KindKey| PairKey { slowed: kind, beside };
        let Some(WatchedWorker { watch: worker, .. }) = self.workers.get(at.worker) else {
            return Vec::new();
        };
        let usual_sample = sample.minus(&worker.effect(None));
        let usual = &mut self.kinds.get_mut(kind).usual;
        // Beside a suspected neighbour the run says nothing about the others.
        let strongest = self.pairs.strongest(now_ms, some.iter().map(pair), usual);
        let judged: Vec<PairKey> = match strongest {
            Some(pair) => most.iter().filter(|it| **it == pair.beside).map(|_| pair).collect(),
            None => {
                usual.add(now_ms, &usual_sample);
                some.iter()
                    .map(pair)
                    .for_each(|it| self.pairs.add_usual(now_ms, it, &usual_sample));
                most.iter().map(pair).collect()
            }
        };
        let mut changes = Vec::new();
        for pair in judged {
            let effect = worker.effect(Some((pair.slowed, pair.beside)));
            let sample = sample.minus(&effect);
            if self.pairs.add_beside(now_ms, pair, (at.task.job, at.worker), &sample) {
                let usual = &self.kinds.get(kind).usual;
                changes.extend(self.pairs.judge(now_ms, pair, usual));
            }
        }
        self.apply(changes)
    }

    /// Notes that a run is over, or was never carried out.
    pub(super) fn on_over(&mut self, now_ms: u64, at: RunAt) {
        let worker = self.workers.get_mut(at.worker);
        if let Some(kind) = worker.and_then(|worker| worker.take(now_ms, &at)) {
            self.kinds.end(kind);
        }
    }

    /// Notes that a worker did not answer for a while: the ends of its runs may be
    /// noticed late.
    pub(super) fn on_unanswered(&mut self, worker: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.runs.values_mut().for_each(|run| run.snapshot = None);
        }
    }

    /// Notes that a worker is gone; its runs are over.
    pub(super) fn on_worker_gone(&mut self, worker: WorkerKey) {
        let gone = self.workers.remove(worker);
        for run in gone.iter().flat_map(|worker| worker.runs.values()) {
            self.kinds.end(run.kind);
        }
    }

    /// Judges the suspected and confirmed pairs again, whose evidence decays;
    /// returns those of which the belief changed.
    pub(super) fn review(&mut self, now_ms: u64) -> Vec<PairChange> {
        if now_ms < self.next_review_ms {
            return Vec::new();
        }
        self.next_review_ms = now_ms + REVIEW_INTERVAL_MS;
        let mut changes = Vec::new();
        for pair in self.pairs.believed().to_vec() {
            let usual = &mut self.kinds.get_mut(pair.slowed).usual;
            usual.decay(now_ms);
            changes.extend(self.pairs.judge(now_ms, pair, usual));
        }
        self.apply(changes)
    }

    /// Puts changes of belief into effect, and names their kinds.
    fn apply(&mut self, changes: Vec<Change>) -> Vec<PairChange> {
        if !changes.is_empty() {
            self.update_avoided();
        }
        let named = changes.into_iter().map(|change| PairChange {
            belief: change.belief,
            pair: self.named(change.pair, change.estimate),
        });
        named.collect()
    }

    fn named(&self, pair: PairKey, estimate: Option<Estimate>) -> InterferingPair {
        let name = |kind| self.kinds.get(kind).name.to_string().into();
        InterferingPair {
            slowed: name(pair.slowed),
            beside: name(pair.beside),
            slowdown: estimate.map_or(1.0, |it| it.log_slowdown.exp()),
            runs: estimate.map_or(0.0, |it| it.runs),
        }
    }

    /// Derives the kinds to keep apart from the confirmed pairs. Either of a pair
    /// avoids the other, whichever is placed second.
    fn update_avoided(&mut self) {
        for kind in self.kinds.keys() {
            self.kinds.get_mut(kind).avoided = KindSet::default();
        }
        self.has_confirmed = false;
        for &pair in self.pairs.believed() {
            if self.pairs.belief(pair) == Belief::Confirmed {
                self.kinds.get_mut(pair.slowed).avoided.insert(pair.beside);
                self.kinds.get_mut(pair.beside).avoided.insert(pair.slowed);
                self.has_confirmed = true;
            }
        }
    }

    /// Returns the kinds beside which a task should not be placed, if there are
    /// any.
    pub(super) fn avoided(&self, spec: &StepSpec, queue: &QueueId) -> Option<Avoided<'_>> {
        if !self.has_confirmed {
            return None;
        }
        let kind = self.kinds.get(self.kinds.find(spec, queue)?);
        let is_trial = kind.starts % TRIAL_INTERVAL == TRIAL_INTERVAL - 1;
        (!is_trial && !kind.avoided.is_empty())
            .then_some(Avoided { workers: &self.workers, kinds: &kind.avoided })
    }

    #[cfg(test)]
    fn watched_runs(&self) -> usize {
        self.workers.values().map(|worker| worker.runs.len()).sum()
    }

    /// Lists the confirmed pairs, those with the largest slowdown first.
    pub(super) fn confirmed(&mut self, now_ms: u64) -> Vec<InterferingPair> {
        let mut confirmed = Vec::new();
        for pair in self.pairs.believed().to_vec() {
            if self.pairs.belief(pair) == Belief::Confirmed {
                let usual = &mut self.kinds.get_mut(pair.slowed).usual;
                usual.decay(now_ms);
                let estimate = self.pairs.estimate(now_ms, pair, usual);
                confirmed.push(self.named(pair, estimate));
            }
        }
        confirmed.sort_by(|a, b| b.slowdown.total_cmp(&a.slowdown));
        confirmed.truncate(VIEW_MAX);
        confirmed
    }
}

/// Returns whether the duration of a step's runs depends on nothing but the
/// worker, its load and the declared size.
fn is_comparable(spec: &StepSpec) -> bool {
    // The members of a gang, and tasks that prefer one rack, depend on where the
    // others run; best-effort tasks depend on what is left to them.
    let depends_on_others = spec.is_gang || (spec.prefers_one_rack && spec.tasks > 1);
    !spec.is_lasting && !spec.uses_leftover && !depends_on_others
}

#[cfg(test)]
mod tests;
