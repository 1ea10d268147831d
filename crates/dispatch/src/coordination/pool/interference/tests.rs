//! Tests of the estimates against simulated workers on virtual time.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use slotmap::SlotMap;
use tamarackproxy::{
    coordination::jobs::Resources,
    state::{ids::QueueId, ids::Term},
};

use super::{Belief, Interference, PairChange, RunAt, RunKind, kinds::KINDS_MAX, pairs::PAIRS_MAX};
use crate::{
    coordination::pool::{
        events::{JobKey, WorkerKey},
        task::TaskRef,
    },
    state::{RunNumber, StepSpec},
};

/// Step of virtual time, in milliseconds.
const STEP_MS: u64 = 50;
/// Usual duration of a task, in milliseconds.
const USUAL_MS: f64 = 1_000.0;
const MINUTE_MS: u64 = 60_000;

struct Run {
    at: RunAt,
    kind: usize,
    left_ms: f64,
}

/// Workers of 16 cores whose free slots are filled with tasks of random kinds.
struct Lab {
    now_ms: u64,
    interference: Interference,
    random: ChaCha8Rng,
    specs: Vec<StepSpec>,
    workers: Vec<(WorkerKey, Vec<Run>)>,
    jobs: SlotMap<JobKey, ()>,
    /// Factor by which a task of the first kind is slowed beside the second.
    slowdown: fn(usize, usize) -> f64,
    /// Factor by which all tasks on a worker are slowed.
    worker_factor: fn(usize) -> f64,
    /// Kind of the next task on a worker; none leaves the slot free.
    chooses: fn(&mut ChaCha8Rng, usize) -> Option<usize>,
    /// Standard deviation of the logarithm of durations.
    deviation: f64,
    slots: usize,
    is_comparable: bool,
    changes: Vec<PairChange>,
}

impl Lab {
    fn new(seed: u64, kinds: usize, workers: usize) -> Self {
        println!("seed {seed}");
        let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
        let spec = |kind| StepSpec {
            tasks: 1,
            need: Resources::new(4_000, 1 << 30, 0),
            estimate_ms: 500,
            image: Some(format!("k{kind}").into()),
            ..StepSpec::default()
        };
        Self {
            now_ms: 1_000,
            interference: Interference::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            specs: (0..kinds).map(spec).collect(),
            workers: (0..workers).map(|_| (keys.insert(()), Vec::new())).collect(),
            jobs: SlotMap::with_key(),
            slowdown: |_, _| 1.0,
            worker_factor: |_| 1.0,
            chooses: |random, _| Some(random.random_range(0..5)),
            deviation: 0.05,
            slots: 4,
            is_comparable: true,
            changes: Vec::new(),
        }
    }

    /// Draws a factor around 1 whose logarithm is normally distributed.
    fn noise(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.random.random::<f64>()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.random.random::<f64>();
        (self.deviation * radius * angle.cos()).exp()
    }

    fn begin(&mut self, worker: usize, kind: usize, job: JobKey, size: f64) -> RunAt {
        let task = TaskRef { job, occurrence: 0, step: 0, index: 0 };
        let number = RunNumber::in_term(Term(1), self.now_ms as u32);
        let at = RunAt { worker: self.workers[worker].0, task, number };
        let left_ms = USUAL_MS * size * self.noise();
        let run = RunKind {
            spec: &self.specs[kind],
            queue: &QueueId::new("q"),
            capacity: &Resources::new(16_000, 128 << 30, 0),
            is_comparable: self.is_comparable,
        };
        self.interference.on_begin(self.now_ms, at, &run);
        self.workers[worker].1.push(Run { at, kind, left_ms });
        at
    }

    /// Makes the progress of one step and ends what is done.
    fn advance(&mut self) {
        self.now_ms += STEP_MS;
        for worker in 0..self.workers.len() {
            let runs = &mut self.workers[worker].1;
            let kinds: Vec<usize> = runs.iter().map(|run| run.kind).collect();
            for (own, run) in runs.iter_mut().enumerate() {
                let others = kinds.iter().enumerate().filter(|(other, _)| *other != own);
                let factors = others.map(|(_, &other)| (self.slowdown)(run.kind, other));
                let factor = factors.fold(1.0, f64::max) * (self.worker_factor)(worker);
                run.left_ms -= STEP_MS as f64 / factor;
            }
            let ended: Vec<Run> = runs.extract_if(.., |run| run.left_ms <= 0.0).collect();
            for run in ended {
                self.changes.extend(self.interference.on_done(self.now_ms, run.at));
                self.interference.on_over(self.now_ms, run.at);
            }
        }
        self.changes.extend(self.interference.review(self.now_ms));
    }

    fn fill(&mut self) {
        for worker in 0..self.workers.len() {
            // Slots are not filled at once, so that the mixture changes.
            if self.workers[worker].1.len() < self.slots
                && self.random.random_bool(0.5)
                && let Some(kind) = (self.chooses)(&mut self.random, worker)
            {
                let job = self.jobs.insert(());
                self.begin(worker, kind, job, 1.0);
            }
        }
    }

    fn run_ms(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.fill();
            self.advance();
        }
    }

    /// Runs until a belief is reached; returns the pair with its evidence.
    fn run_until(&mut self, limit_ms: u64, belief: Belief) -> PairChange {
        let end_ms = self.now_ms + limit_ms;
        loop {
            if let Some(found) = self.changes.iter().find(|change| change.belief == belief) {
                return found.clone();
            }
            assert!(self.now_ms < end_ms, "no pair is {belief}: {:?}", self.changes);
            self.run_ms(STEP_MS);
        }
    }

    /// Ends everything that runs without evidence.
    fn clear(&mut self) {
        for (_, runs) in &mut self.workers {
            for run in runs.drain(..) {
                self.interference.on_over(self.now_ms, run.at);
            }
        }
    }

    fn confirmed(&mut self) -> Vec<(Box<str>, Box<str>)> {
        let pairs = self.interference.confirmed(self.now_ms);
        pairs.into_iter().map(|pair| (pair.slowed, pair.beside)).collect()
    }

    fn has(&self, belief: Belief) -> bool {
        self.changes.iter().any(|change| change.belief == belief)
    }
}

fn pair(slowed: usize, beside: usize) -> (Box<str>, Box<str>) {
    (format!("image k{slowed}").into(), format!("image k{beside}").into())
}

fn first_by_second(slowed: usize, beside: usize) -> f64 {
    if (slowed, beside) == (0, 1) { 1.6 } else { 1.0 }
}

/// Guards against interference that is found late or not at all: a slowdown of
/// 1.6 is confirmed within the stated number of runs.
#[rstest]
#[case::steady_durations(0.05, 14.0)]
#[case::noisy_durations(0.3, 64.1)]
fn interfering_pair_is_found(
    #[case] deviation: f64,
    #[case] runs_max: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut lab = Lab::new(seed, 20, 10);
    (lab.deviation, lab.slowdown) = (deviation, first_by_second);
    lab.chooses = |random, _| Some(random.random_range(0..20));
    let change = lab.run_until(10 * MINUTE_MS, Belief::Confirmed);
    let found = change.pair;
    println!("{found:?} after {} ms", lab.now_ms);
    assert_eq!((found.slowed, found.beside), pair(0, 1));
    assert!(found.runs <= runs_max, "{} runs", found.runs);
    lab.run_ms(MINUTE_MS);
    assert_eq!(lab.confirmed(), vec![pair(0, 1)]);
}

/// Guards against a kind that slows all others and is taken for slow workers.
#[rstest]
fn kind_that_slows_all_others_is_found(#[values(1, 2, 3)] seed: u64) {
    let mut lab = Lab::new(seed, 5, 10);
    lab.slowdown = |slowed, beside| if beside == 1 && slowed != 1 { 1.6 } else { 1.0 };
    lab.run_ms(10 * MINUTE_MS);
    let mut confirmed = lab.confirmed();
    confirmed.sort();
    assert_eq!(confirmed, vec![pair(0, 1), pair(2, 1), pair(3, 1), pair(4, 1)]);
}

/// Guards against a slowdown that is blamed on a kind that often runs beside the
/// one that causes it.
#[rstest]
fn bystander_is_not_blamed(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut lab = Lab::new(seed, 5, 10);
    lab.slowdown = first_by_second;
    // On half of the workers kinds 1 and 2 nearly always run together.
    lab.chooses = |random, worker| {
        let kinds: &[usize] = if worker < 5 { &[0, 1, 2, 1, 2] } else { &[0, 3, 4, 2] };
        Some(kinds[random.random_range(0..kinds.len())])
    };
    lab.run_ms(10 * MINUTE_MS);
    assert_eq!(lab.confirmed(), vec![pair(0, 1)]);
}

/// Guards against reports of pairs that do not interfere: durations vary by
/// chance, and each suspicion is cleared.
#[rstest]
#[case::steady_durations(0.05)]
#[case::noisy_durations(0.3)]
#[case::very_noisy_durations(0.7)]
fn independent_kinds_are_not_reported(#[case] deviation: f64, #[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut lab = Lab::new(seed, 20, 20);
    lab.deviation = deviation;
    lab.chooses = |random, _| Some(random.random_range(0..20));
    lab.run_ms(60 * MINUTE_MS);
    let suspected = lab.changes.iter().filter(|change| change.belief == Belief::Suspected);
    println!("{} suspicions", suspected.count());
    assert!(!lab.has(Belief::Confirmed), "{:?}", lab.changes);
    lab.chooses = |_, _| None;
    lab.run_ms(60 * MINUTE_MS);
    assert_eq!(lab.interference.pairs.believed(), &[]);
}

/// Guards against a slow worker whose slowness is blamed on the kind that mostly
/// runs there.
#[rstest]
fn slow_worker_is_not_counted(#[values(1, 2, 3)] seed: u64, #[values(2, 10)] workers: usize) {
    let mut lab = Lab::new(seed, 5, workers);
    lab.worker_factor = |worker| if worker == 0 { 3.0 } else { 1.0 };
    lab.chooses = |random, worker| match worker {
        0 => Some([0, 1, 1, 2, 3][random.random_range(0..5)]),
        _ if random.random_bool(0.02) => Some(1),
        _ => Some([0, 2, 3, 4][random.random_range(0..4)]),
    };
    lab.run_ms(20 * MINUTE_MS);
    assert!(!lab.has(Belief::Confirmed), "{:?}", lab.changes);
}

/// Guards against a job with a wrong declared size whose tasks run beside one
/// kind.
#[rstest]
fn wrong_size_of_a_job_is_not_counted(#[values(1, 2, 3)] seed: u64) {
    let mut lab = Lab::new(seed, 5, 10);
    lab.run_ms(2 * MINUTE_MS);
    lab.clear();
    lab.changes.clear();
    let job = lab.jobs.insert(());
    for round in 0..4_u64 {
        for worker in 0..10 {
            let own = TaskRef { job, occurrence: 0, step: 0, index: 0 };
            assert_eq!(own.job, job);
            lab.begin(worker, 0, job, 3.0);
            let other = lab.jobs.insert(());
            lab.begin(worker, 1, other, 3.0);
        }
        let end_ms = lab.now_ms + 5_000 + round;
        while lab.now_ms < end_ms {
            lab.advance();
        }
    }
    let blamed = |change: &&PairChange| *change.pair.slowed == *"image k0";
    assert_eq!(lab.changes.iter().find(blamed), None);
}

/// Guards against declarations that are wrong by the same factor in all jobs of a
/// kind, or by another factor in each of them.
#[rstest]
fn wrong_declarations_of_a_kind_are_not_counted(#[values(1, 2, 3)] seed: u64) {
    let mut lab = Lab::new(seed, 5, 10);
    lab.specs[0].estimate_ms = 20;
    for _ in 0..600 {
        lab.specs[1].estimate_ms = lab.random.random_range(10..10_000);
        lab.run_ms(1_000);
    }
    assert!(!lab.has(Belief::Suspected), "{:?}", lab.changes);
}

/// Guards against kinds whose jobs differ in size as declared: without the
/// declared size the usual duration says little, and the pair is not found.
#[rstest]
fn declared_sizes_are_corrected_for(#[values(1, 2, 3)] seed: u64) {
    let mut lab = Lab::new(seed, 5, 10);
    lab.slowdown = first_by_second;
    lab.chooses = |_, _| None;
    for _ in 0..12_000 {
        for worker in 0..10 {
            if lab.workers[worker].1.len() < 4 && lab.random.random_bool(0.3) {
                let kind = lab.random.random_range(0..5);
                let size: f64 = lab.random.random_range(-1.5_f64..1.5).exp();
                lab.specs[kind].estimate_ms = (500.0 * size) as u32;
                let job = lab.jobs.insert(());
                lab.begin(worker, kind, job, size);
            }
        }
        lab.advance();
    }
    assert_eq!(lab.confirmed(), vec![pair(0, 1)]);
}

/// Guards against crashes, stops and failures as evidence: the runs beside a kind
/// are lost after a long time.
#[test]
fn lost_runs_are_not_counted() {
    let mut lab = Lab::new(1, 5, 10);
    lab.run_ms(2 * MINUTE_MS);
    lab.clear();
    for round in 0..40_u64 {
        let worker = round as usize % 10;
        let (own, other) = (lab.jobs.insert(()), lab.jobs.insert(()));
        let at = lab.begin(worker, 0, own, 100.0);
        lab.begin(worker, 1, other, 100.0);
        for _ in 0..100 {
            lab.advance();
        }
        if round % 2 == 0 {
            lab.interference.on_worker_gone(at.worker);
            lab.workers[worker].1.clear();
        } else {
            lab.clear();
        }
    }
    assert!(lab.changes.is_empty(), "{:?}", lab.changes);
}

/// Guards against durations that depend on something else than the worker: runs
/// that resume from a checkpoint, are copies, read from another rack or were
/// adopted, and steps whose tasks wait for each other or for what is left to them.
#[rstest]
#[case::of_a_run(false, StepSpec::default())]
#[case::gang(true, StepSpec { is_gang: true, ..StepSpec::default() })]
#[case::one_rack(true, StepSpec { prefers_one_rack: true, tasks: 2, ..StepSpec::default() })]
#[case::best_effort(true, StepSpec { uses_leftover: true, ..StepSpec::default() })]
#[case::lasting(true, StepSpec { is_lasting: true, ..StepSpec::default() })]
fn runs_that_depend_on_something_else_are_not_counted(
    #[case] is_comparable: bool,
    #[case] spec: StepSpec,
) {
    let mut lab = Lab::new(1, 5, 10);
    lab.run_ms(2 * MINUTE_MS);
    lab.clear();
    let StepSpec { need, image, estimate_ms, .. } = lab.specs[0].clone();
    lab.specs[0] = StepSpec { need, image, estimate_ms, ..spec };
    for round in 0..40 {
        let (own, other) = (lab.jobs.insert(()), lab.jobs.insert(()));
        lab.is_comparable = is_comparable;
        lab.begin(round % 10, 0, own, 3.0);
        lab.is_comparable = true;
        lab.begin(round % 10, 1, other, 3.0);
        for _ in 0..100 {
            lab.advance();
        }
    }
    let blamed = |change: &&PairChange| *change.pair.slowed == *"image k0";
    assert_eq!(lab.changes.iter().find(blamed), None);
}

/// Guards against ends that are noticed late, because the worker did not answer.
#[test]
fn ends_that_are_noticed_late_are_not_counted() {
    let mut lab = Lab::new(1, 5, 10);
    lab.run_ms(2 * MINUTE_MS);
    lab.clear();
    for round in 0..40 {
        let (own, other) = (lab.jobs.insert(()), lab.jobs.insert(()));
        let at = lab.begin(round % 10, 0, own, 3.0);
        lab.begin(round % 10, 1, other, 3.0);
        lab.interference.on_unanswered(at.worker);
        for _ in 0..100 {
            lab.advance();
        }
    }
    assert!(lab.changes.is_empty(), "{:?}", lab.changes);
}

/// Guards against a kind that is slowed by its own tasks, and blames the kind of
/// the one other task on the worker.
#[rstest]
fn worker_full_of_the_same_kind_is_not_counted(#[values(1, 2, 3)] seed: u64) {
    let mut lab = Lab::new(seed, 5, 10);
    lab.run_ms(2 * MINUTE_MS);
    lab.clear();
    for round in 0..40 {
        let other = lab.jobs.insert(());
        lab.begin(round % 10, 1, other, 3.0);
        for _ in 0..3 {
            let own = lab.jobs.insert(());
            lab.begin(round % 10, 0, own, 3.0);
        }
        for _ in 0..100 {
            lab.advance();
        }
    }
    let blamed = |change: &&PairChange| *change.pair.slowed == *"image k0";
    assert_eq!(lab.changes.iter().find(blamed), None);
}

/// Guards against a confirmed pair that stays so although it no longer
/// interferes.
#[rstest]
fn pair_that_no_longer_interferes_is_cleared(#[values(1, 2, 3)] seed: u64) {
    let mut lab = Lab::new(seed, 5, 10);
    lab.slowdown = first_by_second;
    lab.run_until(10 * MINUTE_MS, Belief::Confirmed);
    lab.slowdown = |_, _| 1.0;
    lab.run_until(5 * MINUTE_MS, Belief::Unsuspected);
    assert!(lab.confirmed().is_empty());
}

/// Guards against a false confirmation that is kept for ever because the pair is
/// kept apart and gives no further evidence: it ends within four half-lives.
#[rstest]
fn confirmation_without_new_evidence_ends(#[values(1, 2, 3)] seed: u64) {
    let mut lab = Lab::new(seed, 5, 10);
    lab.slowdown = first_by_second;
    lab.run_ms(10 * MINUTE_MS);
    assert_eq!(lab.confirmed(), vec![pair(0, 1)]);
    lab.chooses = |random, worker| Some(if worker < 5 { 0 } else { random.random_range(1..5) });
    lab.changes.clear();
    lab.clear();
    lab.run_ms(41 * MINUTE_MS);
    assert!(lab.has(Belief::Unsuspected));
    assert!(lab.confirmed().is_empty());
}

/// Guards against a preference that is never tested: one of 32 starts ignores it.
#[test]
fn some_placements_ignore_the_preference() {
    let mut lab = Lab::new(1, 5, 10);
    lab.slowdown = first_by_second;
    lab.run_until(10 * MINUTE_MS, Belief::Confirmed);
    lab.clear();
    let mut ignored = 0;
    for _ in 0..320 {
        let found = lab.interference.avoided(&lab.specs[0], &QueueId::new("q"));
        ignored += usize::from(found.is_none());
        let job = lab.jobs.insert(());
        lab.begin(0, 0, job, 1.0);
        lab.clear();
    }
    assert_eq!(ignored, 10);
}

/// Guards against memory that grows with the number of kinds: more kinds than are
/// tracked run beside each other.
#[test]
fn memory_is_bounded() {
    let mut lab = Lab::new(1, 2 * KINDS_MAX, 40);
    lab.slots = 16;
    lab.chooses = |random, _| Some(random.random_range(0..2 * KINDS_MAX));
    let mut most = 0;
    for _ in 0..600 {
        lab.run_ms(1_000);
        most = most.max(lab.interference.pairs.len());
    }
    println!("at most {most} pairs");
    assert!(most > PAIRS_MAX / 2 && most <= PAIRS_MAX, "{most} pairs");
    assert!(lab.interference.kinds.keys().count() == KINDS_MAX);
    lab.clear();
    assert_eq!(lab.interference.watched_runs(), 0);
    let uses = lab.interference.workers.values().map(|worker| worker.watch.kinds());
    assert!(uses.max().is_some_and(|uses| uses <= 32));
}

/// Guards against a kind that inherits the evidence of another one whose place it
/// takes.
#[test]
fn replaced_kind_starts_without_evidence() {
    let mut lab = Lab::new(1, KINDS_MAX + 60, 10);
    lab.slowdown = first_by_second;
    lab.run_until(10 * MINUTE_MS, Belief::Confirmed);
    lab.clear();
    lab.chooses = |random, _| Some(random.random_range(2..KINDS_MAX + 60));
    lab.run_ms(3 * MINUTE_MS);
    assert_eq!(lab.confirmed(), vec![pair(0, 1)], "it is cleared before it is replaced");
    lab.run_ms(45 * MINUTE_MS);
    assert!(lab.has(Belief::Unsuspected));
    assert_eq!(lab.interference.pairs.believed(), &[]);
    assert_eq!(lab.interference.kinds.find(&lab.specs[0], &QueueId::new("q")), None);
}
