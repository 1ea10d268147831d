//! Benchmark `interference`: cost of the detection of kinds that slow each other
//! down, on an engine with 1,000 workers and 200 kinds.
//!
//! Three engines get the same load in turns: one without the detection, one that
//! has confirmed no pair, and one that has confirmed pairs.

use std::{collections::HashMap, time::Instant};

use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use tamarack_dispatch::{
    coordination::pool::{
        EndKind, EndedTask, Order, OrderReply, PollReport, PoolAction, PoolControl, PoolEngine,
        PoolTiming, QueuePolicy, Recovered, RunningTask, WorkerKey, WriteResult,
    },
    replay::pool::{job, lasting, pool, queue, step},
    state::{
        JobNumber, JobRecord, JobState, Registration, RunNumber, StepSpec, TaskAddress, WorkerEntry,
    },
};
use tamarackproxy::{
    coordination::jobs::Resources,
    state::{
        clock::ClockReading,
        ids::{DataCentreId, HostId, RecordVersion, Term, WorkerId},
    },
};

use super::{BenchOptions, Bound, Figure};

const NAME: &str = "interference";
const WORKERS: usize = 1_000;
const WORKER_CORES: u64 = 16;
const KINDS: usize = 200;
/// Usual duration of a task, in milliseconds.
const TASK_MS: u64 = 1_000;
/// Time between two rounds of submissions, in milliseconds of virtual time.
const ROUND_MS: u64 = 200;
/// Rounds before the measurement, in which the pairs are confirmed.
const WARM_UP_ROUNDS: usize = 300;
/// Measured rounds.
const ROUNDS: usize = 60;
/// Jobs of one task in each round: 1,000 starts a second, as many as the stand-in's
/// writes of 26 ended jobs every 20 ms keep up with.
const JOBS: usize = 200;
/// Long-running tasks of each kind, ten on each worker.
const LASTING: u32 = 50;
/// Specified: the cost of a placement with 1,000 workers and 200 kinds is at most
/// 1.1 times that without the detection.
const RATIO_MAX: f64 = 1.1;

/// A run and its end, in milliseconds of virtual time.
struct Run {
    task: TaskAddress,
    number: RunNumber,
    kind: usize,
    ends_ms: u64,
}

#[derive(Default)]
struct Worker {
    runs: Vec<Run>,
    ended: Vec<EndedTask>,
    ends: u64,
}

/// An engine with its workers and its store.
struct Site {
    engine: PoolEngine,
    workers: HashMap<WorkerKey, Worker>,
    polled: Vec<WorkerKey>,
    kinds: HashMap<JobNumber, usize>,
    now_ms: u64,
    version: u64,
    next_job: u64,
    /// Factor by which a task of the first kind is slowed beside the second.
    slowdown: fn(usize, usize) -> f64,
    /// Durations of the steps with starts, in microseconds for each start.
    placing_us: Vec<f64>,
    /// The same for the handling of the reports of ended runs.
    ending_us: Vec<f64>,
}

fn worker_entry(index: usize) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId::new(format!("w{index}")),
        host: HostId::new(format!("h{index}")),
        pool: pool(),
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 1).into(),
        data_centre: DataCentreId::new("d"),
        registration: Registration::Ready,
        born_unix_ms: 1,
        capacity: Resources::new(WORKER_CORES * 1_000, 128 << 30, 0),
        labels: Vec::new(),
        rack: format!("r{}", index / 20).into(),
    }
}

impl Site {
    fn new(is_watched: bool, slowdown: fn(usize, usize) -> f64) -> Self {
        let control = PoolControl {
            pool: pool(),
            term: Term(1),
            since: RecordVersion(1),
            predecessor_until_ms: 0,
        };
        let mut engine = PoolEngine::new(control, PoolTiming::new(10_000, 1_000));
        if !is_watched {
            engine = engine.without_interference();
        }
        engine.set_queues([(queue(), QueuePolicy::default())]);
        engine.confirm_control(u64::MAX);
        let entries: Vec<WorkerEntry> = (0..WORKERS).map(worker_entry).collect();
        engine.on_registry(&entries);
        engine.recover(ClockReading::new(1_000, 1_000_000), Recovered::default());
        let mut site = Self {
            engine,
            workers: HashMap::new(),
            polled: Vec::new(),
            kinds: HashMap::new(),
            now_ms: 1_000,
            version: 1,
            next_job: 1,
            slowdown,
            placing_us: Vec::new(),
            ending_us: Vec::new(),
        };
        site.run(20);
        site.submit(&(0..KINDS).collect::<Vec<_>>(), &lasting(LASTING));
        site.run(20);
        site
    }

    fn now(&self) -> ClockReading {
        ClockReading::new(self.now_ms, 1_000_000 + self.now_ms)
    }

    /// Makes steps of 20 ms of virtual time.
    fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.now_ms += 20;
            self.end_runs();
            let (begun, mut ends) = (Instant::now(), 0);
            // A worker replies at once if a run has ended, and after a second
            // otherwise.
            let is_full = self.now_ms % 1_000 < 20;
            for key in std::mem::take(&mut self.polled) {
                let worker = self.workers.entry(key).or_default();
                if worker.ended.is_empty() && !is_full && self.now_ms > 1_400 {
                    self.polled.push(key);
                    continue;
                }
                ends += worker.ended.len();
                let report = report(worker, self.now_ms);
                let now = ClockReading::new(self.now_ms, 1_000_000 + self.now_ms);
                self.engine.on_poll(now, key, Ok(report));
            }
            if ends > 0 {
                self.ending_us.push(begun.elapsed().as_secs_f64() * 1e6 / ends as f64);
            }
            let begun = Instant::now();
            let actions = self.engine.step(self.now());
            let took_us = begun.elapsed().as_secs_f64() * 1e6;
            let is_start = |action: &&PoolAction| matches!(action, PoolAction::Order { .. });
            let starts = actions.iter().filter(is_start).count();
            if starts > JOBS / 2 {
                self.placing_us.push(took_us / starts as f64);
            }
            actions.into_iter().for_each(|action| self.carry_out(action));
        }
    }

    fn carry_out(&mut self, action: PoolAction) {
        match action {
            PoolAction::Poll { contact, request } => {
                let worker = self.workers.entry(contact.key).or_default();
                worker.ended.retain(|end| end.number > request.acknowledged);
                self.polled.push(contact.key);
            }
            PoolAction::Order { target, order: Order::Start(_), .. } => {
                let kind = self.kinds[&target.task.job];
                let worker = self.workers.entry(target.worker).or_default();
                let factors = worker.runs.iter().map(|run| (self.slowdown)(kind, run.kind));
                let lasts_ms = TASK_MS as f64 * factors.fold(1.0, f64::max);
                let ends_ms = match self.next_job <= KINDS as u64 + 1 {
                    true => u64::MAX,
                    false => self.now_ms + lasts_ms as u64,
                };
                worker.runs.push(Run { task: target.task, number: target.run, kind, ends_ms });
                self.engine.on_start_reply(self.now(), target, OrderReply::Accepted);
            }
            PoolAction::Write(_) => {
                self.version += 1;
                let written = WriteResult::Written(RecordVersion(self.version));
                self.engine.on_write(self.now(), written);
            }
            _ => {}
        }
    }

    fn end_runs(&mut self) {
        for worker in self.workers.values_mut() {
            for run in worker.runs.extract_if(.., |run| self.now_ms >= run.ends_ms) {
                worker.ends += 1;
                worker.ended.push(EndedTask {
                    number: worker.ends,
                    task: run.task,
                    run: run.number,
                    how: EndKind::Done,
                    checkpoint: "".into(),
                });
                self.kinds.remove(&run.task.job);
            }
        }
    }

    /// Submits a job like `template` for each kind in the list.
    fn submit(&mut self, kinds: &[usize], template: &StepSpec) {
        for &kind in kinds {
            let number = JobNumber(self.next_job);
            self.next_job += 1;
            self.version += 1;
            self.kinds.insert(number, kind);
            let image = Some(format!("k{kind}").into());
            let spec = job(vec![StepSpec { image, ..template.clone() }]);
            let record = JobRecord {
                queue: queue(),
                account: None,
                accepted_unix_ms: 1_000_000 + self.now_ms,
                state: JobState::Live(spec),
            };
            self.engine.on_job(self.now(), number, RecordVersion(self.version), record);
        }
    }

    fn confirmed(&mut self) -> usize {
        self.engine.interfering_pairs(self.now_ms).len()
    }
}

fn report(worker: &Worker, now_ms: u64) -> PollReport {
    let running = worker.runs.iter().map(|run| RunningTask {
        task: run.task,
        run: run.number,
        checkpoint: "".into(),
        percent: 100,
        gauge: 0,
    });
    PollReport {
        born_unix_ms: 1,
        clock_ms: now_ms,
        running: running.collect(),
        ended: worker.ended.clone(),
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Runs the benchmark.
pub(super) fn run(options: &BenchOptions) -> Vec<Figure> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    // Every second kind is slowed by the one after it.
    let in_pairs: fn(usize, usize) -> f64 =
        |slowed, beside| if slowed % 2 == 0 && beside == slowed + 1 { 1.6 } else { 1.0 };
    let mut sites =
        [Site::new(false, |_, _| 1.0), Site::new(true, |_, _| 1.0), Site::new(true, in_pairs)];
    for round in 0..WARM_UP_ROUNDS + ROUNDS {
        let mut kinds: Vec<usize> = (0..JOBS).map(|_| random.random_range(0..KINDS)).collect();
        kinds.shuffle(&mut random);
        if round == WARM_UP_ROUNDS {
            for site in &mut sites {
                (site.placing_us, site.ending_us) = (Vec::new(), Vec::new());
            }
        }
        // The order of the sites changes, so that none is always first.
        for at in 0..sites.len() {
            let site = &mut sites[(round + at) % 3];
            site.submit(&kinds, &step(1, 1_000, TASK_MS as u32));
            site.run(ROUND_MS / 20);
        }
    }
    let confirmed = sites.each_mut().map(Site::confirmed);
    let [placing, ending] = [
        sites.each_ref().map(|site| median(site.placing_us.clone())),
        sites.each_ref().map(|site| median(site.ending_us.clone())),
    ];
    let cost = |name: &str, value: f64, baseline: f64| {
        Figure::new(NAME, name, value, "us").with_baseline(baseline)
    };
    let ratio = |name: &str, value: f64| {
        Figure::new(NAME, name, value, "ratio").with_bound(Bound::AtMost(RATIO_MAX))
    };
    let most_listed =
        Figure::new(NAME, "confirmed pairs (at most 32 are listed)", confirmed[2] as f64, "pairs");
    vec![
        most_listed.with_bound(Bound::AtLeast(1.0)),
        Figure::new(NAME, "confirmed pairs without interference", confirmed[1] as f64, "pairs")
            .with_bound(Bound::AtMost(0.0)),
        cost("start, no pair confirmed", placing[1], placing[0]),
        ratio("start, no pair confirmed, to one without the detection", placing[1] / placing[0]),
        cost("start, pairs confirmed", placing[2], placing[0]),
        ratio("start, pairs confirmed, to one without the detection", placing[2] / placing[0]),
        cost("end of a run, no pair confirmed", ending[1], ending[0]),
        cost("end of a run, pairs confirmed", ending[2], ending[0]),
    ]
}
