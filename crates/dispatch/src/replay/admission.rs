//! Replay of surges of several times a pool's capacity, with callers that return
//! after a rejection.
//!
//! The pool's own engine places the work and publishes its summaries. Entry hosts
//! read them once a second and judge submissions by them.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::state::ids::QueueId;

use super::pool::{PoolSimulation, job, pool, queue, step};
use crate::{
    coordination::{
        admission::{AdmissionEngine, NewJob, Surroundings, Verdict},
        pool::QueuePolicy,
    },
    state::{JobNumber, JobSpec, QueueSettings, TaskAddress},
};

const WORKERS: usize = 4;
const WORKER_CORES: u64 = 16;
const TASK_CORES: u64 = 2;
/// Demand in a surge as a multiple of the pool's capacity.
const SURGE_FACTOR: f64 = 5.0;
/// Demand between surges as a multiple of the pool's capacity.
const LULL_FACTOR: f64 = 0.05;
/// Duration of a surge and time between the starts of two surges, in
/// milliseconds: four queues take turns.
const SURGE_MS: u64 = 4_000;
const PERIOD_MS: u64 = 16_000;
/// Time after the last period for which the pool works on, in milliseconds.
const DRAIN_MS: u64 = 40_000;
/// Mean work of a job, in core-milliseconds: 4.5 tasks of 2 cores for 600 ms.
const MEAN_WORK_CORE_MS: f64 = 5_400.0;
/// Entry hosts, among which callers rotate.
const ENTRY_HOSTS: usize = 3;
/// Interval at which an entry host reads the summaries, in milliseconds.
const READ_INTERVAL_MS: u64 = 1_000;
/// Tries of a caller: the first and four more.
const TRIES_MAX: u32 = 5;
/// Resolution of the replay, in milliseconds.
const TICK_MS: u64 = 10;

/// Jobs that a replay submits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SurgeMix {
    /// All jobs are of one queue.
    OneQueue,
    /// Every second job is of a queue whose callers wait longer.
    TwoQueues,
}

/// What entry hosts do with jobs that are known to end too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejecting {
    /// They accept them.
    Never,
    /// They reject them.
    Known,
    /// They reject them all but this caller's.
    Except(usize),
}

/// One caller and its job.
#[derive(Clone, Debug)]
struct Caller {
    queue: QueueSettings,
    spec: JobSpec,
    first_ms: u64,
    tries: u32,
    /// When the job was accepted; none if it was not.
    accepted_ms: Option<u64>,
    /// A try was rejected, or would have been.
    was_judged_useless: bool,
}

/// Results of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SurgeCounts {
    /// Callers.
    pub jobs: u64,
    /// Jobs that ended within their objective from the first try.
    pub in_time: u64,
    /// Other jobs that ended within three times their objective.
    pub late: u64,
    /// Accepted jobs that ended later.
    pub useless: u64,
    /// Jobs that were never accepted.
    pub given_up: u64,
    /// Rejections, of all tries.
    pub rejections: u64,
    /// Rejections while the pool had room for the whole job.
    pub rejected_with_room: u64,
    /// Work of the jobs that ended too late, in core-milliseconds.
    pub useless_core_ms: f64,
    /// Callers with a try that was rejected or, where nothing is rejected, would
    /// have been.
    pub judged_useless: Vec<usize>,
    /// Those of them whose job ended while they benefited.
    pub judged_wrongly: u64,
    /// For each caller, whether its job ended while it benefited.
    pub is_useful: Vec<bool>,
    /// Tries after the first, in the millisecond of the replay.
    pub returns_ms: Vec<u64>,
}

/// Returns the declared duration of a caller's tasks, in milliseconds.
fn declared_ms(number: u64) -> u64 {
    300 + mixed(number) % 600
}

/// Returns how long a task really runs: 70% to 130% of what its job declares.
fn duration_ms(task: TaskAddress) -> u64 {
    declared_ms(task.job.0) * (70 + mixed(task.job.0 << 8 | u64::from(task.index)) % 61) / 100
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mixed(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn settings(queue: QueueId, stretch: f64, objective_ms: u64) -> QueueSettings {
    QueueSettings {
        queue,
        authority: "".into(),
        path_prefix: "".into(),
        pool: pool(),
        priority: 0,
        attempts_max: 2,
        stretch,
        objective_ms,
        advice: None,
        is_public: false,
    }
}

fn callers(seed: u64, surges: u64, mix: SurgeMix) -> Vec<Caller> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // The objective of the replay's first queue is that of `PoolSimulation`.
    let patient = settings(QueueId::new("patient"), 3.0, 4_000);
    let queues = [settings(queue(), 1.6, 600), patient];
    let capacity_cores = (WORKERS as u64 * WORKER_CORES) as f64;
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < (surges * PERIOD_MS) as f64 {
        arrivals.push(at_ms as u64);
        let is_surge = at_ms as u64 % PERIOD_MS < SURGE_MS;
        let factor = if is_surge { SURGE_FACTOR } else { LULL_FACTOR };
        // The gap after the last job of a lull ends with the next surge.
        let next_surge_ms = ((at_ms as u64 / PERIOD_MS + 1) * PERIOD_MS) as f64;
        at_ms = (at_ms + MEAN_WORK_CORE_MS / (capacity_cores * factor)).min(next_surge_ms);
    }
    let caller = |(index, at_ms): (u64, u64)| {
        let estimate_ms = declared_ms(index + 1) as u32;
        let spec = job(vec![step(random.random_range(1..=8), TASK_CORES * 1_000, estimate_ms)]);
        let queue = match mix {
            SurgeMix::OneQueue => &queues[0],
            SurgeMix::TwoQueues => &queues[index as usize % 2],
        };
        Caller {
            queue: queue.clone(),
            spec,
            first_ms: at_ms,
            tries: 0,
            accepted_ms: None,
            was_judged_useless: false,
        }
    };
    (0..).zip(arrivals).map(caller).collect()
}

/// Replays `surges` surges, one after the other.
pub fn replay_surges(seed: u64, surges: u64, mix: SurgeMix, rejecting: Rejecting) -> SurgeCounts {
    replay(Replay::new(seed, surges, mix, rejecting), surges)
}

/// Replays the same surges without the jobs of the callers that are not `kept`:
/// what could be gained if it were known at once which jobs end too late, and
/// their callers did not return.
pub fn replay_kept(seed: u64, surges: u64, mix: SurgeMix, kept: &[bool]) -> SurgeCounts {
    let mut without = Replay::new(seed, surges, mix, Rejecting::Never);
    without.due.retain(|&(_, at), ()| kept.get(at).copied().unwrap_or(true));
    replay(without, surges)
}

fn replay(mut replay: Replay, surges: u64) -> SurgeCounts {
    let end_ms = surges * PERIOD_MS + DRAIN_MS;
    for now_ms in (0..end_ms).step_by(TICK_MS as usize) {
        replay.read_summaries(now_ms);
        replay.submit_due(now_ms);
        replay.simulation.run_ms(TICK_MS);
    }
    replay.counts()
}

struct Replay {
    simulation: PoolSimulation,
    /// Virtual time of the simulation at the start of the replay.
    origin_ms: u64,
    entries: Vec<AdmissionEngine>,
    callers: Vec<Caller>,
    /// Callers by the time of their next try.
    due: BTreeMap<(u64, usize), ()>,
    rejecting: Rejecting,
    random: ChaCha8Rng,
    counts: SurgeCounts,
}

impl Replay {
    fn new(seed: u64, surges: u64, mix: SurgeMix, rejecting: Rejecting) -> Self {
        let mut simulation = PoolSimulation::new(WORKERS, WORKER_CORES);
        simulation.duration_ms = Some(duration_ms);
        let callers = callers(seed, surges, mix);
        let policies = callers.iter().map(|caller| {
            let QueueSettings { queue, priority, attempts_max, stretch, objective_ms, .. } =
                caller.queue.clone();
            (queue, QueuePolicy { priority, attempts_max, stretch, objective_ms, advice: None })
        });
        simulation.engine(0).set_queues(policies);
        let due = callers.iter().enumerate().map(|(at, caller)| ((caller.first_ms, at), ()));
        Self {
            origin_ms: simulation.now_ms,
            simulation,
            entries: (0..ENTRY_HOSTS).map(|_| AdmissionEngine::default()).collect(),
            due: due.collect(),
            callers,
            rejecting,
            random: ChaCha8Rng::seed_from_u64(seed + 1),
            counts: SurgeCounts::default(),
        }
    }

    fn read_summaries(&mut self, now_ms: u64) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let offset_ms =
                index as u64 * READ_INTERVAL_MS / ENTRY_HOSTS as u64 / TICK_MS * TICK_MS;
            if now_ms % READ_INTERVAL_MS == offset_ms {
                let (version, summary) = self.simulation.summary();
                entry.on_summaries(now_ms, [(pool(), version, summary.load.clone())]);
            }
        }
    }

    fn submit_due(&mut self, now_ms: u64) {
        while let Some(entry) = self.due.first_entry()
            && entry.key().0 <= now_ms
        {
            let (_, at) = *entry.key();
            entry.remove();
            self.submit(now_ms, at);
        }
    }

    fn submit(&mut self, now_ms: u64, at: usize) {
        let caller = &mut self.callers[at];
        let entry = &mut self.entries[(at + caller.tries as usize) % ENTRY_HOSTS];
        caller.tries += 1;
        if caller.tries > 1 {
            self.counts.returns_ms.push(now_ms);
        }
        let job = NewJob { queue: &caller.queue, account: None, spec: &caller.spec };
        let random = self.random.random_range(0.0..1.0);
        let surroundings = Surroundings { accounts: None, has_other_pools: false, random };
        let verdict = entry.decide(now_ms, &job, &surroundings);
        let is_forced = match self.rejecting {
            Rejecting::Never => true,
            Rejecting::Known => false,
            Rejecting::Except(caller) => caller == at,
        };
        if let Verdict::Reject(rejection) = verdict {
            caller.was_judged_useless = true;
            if !is_forced {
                self.counts.rejections += 1;
                let cores = caller.spec.steps[0].tasks as u64 * TASK_CORES * 1_000;
                let has_room = self.simulation.summary().1.load.overload.is_none()
                    && self.simulation.free_millicores() >= cores;
                self.counts.rejected_with_room += u64::from(has_room);
                if caller.tries < TRIES_MAX {
                    self.due.insert((now_ms + rejection.retry_after_ms, at), ());
                }
                return;
            }
        }
        entry.on_accepted(now_ms, &job);
        caller.accepted_ms = Some(now_ms);
        let (queue, spec) = (caller.queue.queue.clone(), caller.spec.clone());
        self.simulation.submit_to(JobNumber(at as u64 + 1), queue, None, spec);
    }

    fn counts(mut self) -> SurgeCounts {
        for (at, caller) in self.callers.iter().enumerate() {
            self.counts.jobs += 1;
            let task_ms = declared_ms(at as u64 + 1);
            let objective_ms =
                (caller.queue.stretch * task_ms as f64) as u64 + caller.queue.objective_ms;
            if caller.was_judged_useless {
                self.counts.judged_useless.push(at);
            }
            if caller.accepted_ms.is_none() {
                self.counts.is_useful.push(false);
                self.counts.given_up += 1;
                continue;
            }
            let end = self.simulation.ended.get(&JobNumber(at as u64 + 1));
            let took_ms = end.map_or(u64::MAX, |&(end_ms, _)| {
                (end_ms - self.origin_ms).saturating_sub(caller.first_ms)
            });
            let step = &caller.spec.steps[0];
            if took_ms <= objective_ms {
                self.counts.in_time += 1;
            } else if took_ms <= objective_ms * 3 {
                self.counts.late += 1;
            } else {
                self.counts.useless += 1;
                let core_ms = u64::from(step.tasks) * TASK_CORES * task_ms;
                self.counts.useless_core_ms += core_ms as f64;
            }
            let was_useful = took_ms <= objective_ms * 3;
            self.counts.is_useful.push(was_useful);
            self.counts.judged_wrongly += u64::from(caller.was_judged_useless && was_useful);
        }
        self.counts
    }
}
