//! Benchmark `dispatch`: policies of the dispatcher, run on its engines, each
//! compared with a simple baseline.

use std::time::Instant;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarack_dispatch::{
    replay::{
        admission::{Rejecting, SurgeCounts, SurgeMix, replay_surges as replay_rejections},
        balance::{Fleet, HOST_MILLICORES, HOSTS_PER_POOL, POOLS, STEP_MS, replay_surges},
        fair_share::{AccountLoad, FloodPhase, FloodReplay, TASK_MAX_MS},
        placement::WaitingPool,
        pool::{PoolSimulation, job, lasting, step},
    },
    state::StepSpec,
};

use super::{BenchOptions, Bound, Figure};

const NAME: &str = "dispatch";
/// Goal: at least half of the jobs of a day meet their objective, and so must a
/// surge of twice the capacity.
const TIMELY_BOUND: f64 = 0.5;
/// Goal: most work of a surge that exceeds its pool is done in time.
const LATE_BOUND_PERCENT: f64 = 15.0;
/// Time for which serving tasks may exceed their latency goal after a change of
/// load, in milliseconds; stated by the users.
const INTERFERENCE_MS: f64 = 4_500.0;

/// Load of a pool that is just full: one account floods it, the other stays within
/// its entitlement.
const ACCOUNTS: [AccountLoad; 2] = [
    AccountLoad { account: "flooding", weight: 1.0, load: 0.65 },
    AccountLoad { account: "steady", weight: 1.0, load: 0.30 },
];
/// Fraction of the jobs of an account that a flood may make late; the goal is none,
/// and a replay has about 100 such jobs.
const FLOOD_LATE_SHARE: f64 = 0.01;

/// Most accounts of a deployment; stated by the users.
const ACCOUNTS_MAX: usize = 220;
/// Goal: the cost of a placement round grows with the number of waiting steps as it
/// does without accounts, which is a little more than linear. The rest is the noise
/// of the timings.
const ROUND_GROWTH_BOUND: f64 = 1.25;
const ROUND_STEPS: usize = 2_000;
/// Rounds of one timing, and timings of which the shortest counts.
const ROUNDS: usize = 20;
const ROUND_TIMINGS: usize = 5;

/// Job of a surge: arrival time, number of tasks and estimated time of a task;
/// times in milliseconds.
struct SurgeJob {
    arrives_ms: u64,
    tasks: u32,
    task_ms: u32,
}

impl SurgeJob {
    /// Returns the time within which callers expect the job to end.
    fn objective_ms(&self) -> u64 {
        u64::from(self.task_ms) * 16 / 10 + 600
    }
}

/// Goal: of 100 rejected jobs at most one could have been useful.
const WRONG_BOUND: f64 = 0.01;
/// Surges of one replay.
const SURGES: u64 = 3;
/// Most rejected jobs for which a replay is repeated.
const SAMPLES_MAX: usize = 100;
const WORKERS: usize = 4;
const WORKER_CORES: u64 = 16;
const TASK_CORES: u64 = 2;

/// Runs all policies.
pub fn run(options: &BenchOptions) -> Vec<Figure> {
    let seeds = options.seed..options.seed + options.seeds;
    let figures = |seed| {
        let rejections = [SurgeMix::OneQueue, SurgeMix::TwoQueues];
        let rejections = rejections.into_iter().flat_map(move |mix| rejection(seed, mix));
        [order(seed)]
            .into_iter()
            .chain(pools())
            .chain(throttling())
            .chain(flood(seed))
            .chain(rejections)
    };
    seeds.flat_map(figures).chain(rounds()).collect()
}

/// Measures the share of jobs that meet their objective in a surge of twice the
/// capacity, in the order of the engine and, as baseline, in order of arrival.
fn order(seed: u64) -> Figure {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let jobs: Vec<SurgeJob> = (0..60)
        .map(|index| SurgeJob {
            arrives_ms: index * 50,
            tasks: random.random_range(1..=8),
            task_ms: random.random_range(300..900),
        })
        .collect();
    let mut simulation = PoolSimulation::new(WORKERS, WORKER_CORES);
    let mut numbers = Vec::new();
    for surge in &jobs {
        numbers.push(simulation.submit(job(vec![step(
            surge.tasks,
            TASK_CORES * 1_000,
            surge.task_ms,
        )])));
        simulation.run_ms(50);
    }
    simulation.run_ms(12_000);
    let timely = numbers.iter().zip(&jobs).filter(|(number, surge)| {
        simulation.took_ms(**number).is_some_and(|took_ms| took_ms <= surge.objective_ms())
    });
    let share = timely.count() as f64 / jobs.len() as f64;
    Figure::new(NAME, "jobs_in_objective_in_a_surge", share, "share")
        .with_baseline(in_order_of_arrival(&jobs))
        .with_bound(Bound::AtLeast(TIMELY_BOUND))
}

/// Returns the share of jobs that meet their objective if tasks start in order of
/// arrival on the slot that is free first.
fn in_order_of_arrival(jobs: &[SurgeJob]) -> f64 {
    let slots = WORKERS * (WORKER_CORES / TASK_CORES) as usize;
    let mut free_ms = vec![0_u64; slots];
    let timely = jobs.iter().filter(|surge| {
        let mut end_ms = 0;
        for _ in 0..surge.tasks {
            if let Some(slot) = free_ms.iter_mut().min() {
                *slot = (*slot).max(surge.arrives_ms) + u64::from(surge.task_ms);
                end_ms = end_ms.max(*slot);
            }
        }
        end_ms - surge.arrives_ms <= surge.objective_ms()
    });
    timely.count() as f64 / jobs.len() as f64
}

/// Measures late work and host time when pools surge one after the other. The
/// baselines are hosts that never move, and the minimum host time for the work.
fn pools() -> [Figure; 2] {
    let (fixed, moved) = (replay_surges(false), replay_surges(true));
    let seconds = |on_ms: u64| on_ms as f64 / 1_000.0;
    let late = Figure::new(NAME, "work_late_in_turns", moved.late_percent(), "percent")
        .with_baseline(fixed.late_percent())
        .with_bound(Bound::AtMost(LATE_BOUND_PERCENT));
    let on = Figure::new(NAME, "time_of_hosts_in_turns", seconds(moved.on_ms), "host-seconds")
        .with_baseline(least_host_seconds(&fixed));
    [late, on]
}

/// Measures by how much a flood from one account delays the jobs of another, and the
/// share of these that meet their objective; the baselines have no fair share.
fn flood(seed: u64) -> Vec<Figure> {
    let replay = FloodReplay::new(&ACCOUNTS, seed);
    let unshared = replay.run();
    let replay = replay.with_fair_share();
    let (shared, quiet) = (replay.run(), replay.without_flood().run());
    let phases = [(FloodPhase::During, "in_a_flood"), (FloodPhase::After, "after_a_flood")];
    let figures = phases.into_iter().flat_map(|(phase, name)| {
        let wait_ms = shared.extra_wait_ms(&quiet, phase, 100) as f64;
        let wait = Figure::new(NAME, format!("longest_extra_wait_of_others_{name}"), wait_ms, "ms")
            .with_baseline(unshared.extra_wait_ms(&quiet, phase, 100) as f64)
            .with_bound(Bound::AtMost(TASK_MAX_MS.into()));
        let timely = shared.timely_share(phase);
        let least = quiet.timely_share(phase) - FLOOD_LATE_SHARE;
        let timely =
            Figure::new(NAME, format!("jobs_of_others_in_objective_{name}"), timely, "share")
                .with_baseline(unshared.timely_share(phase))
                .with_bound(Bound::AtLeast(least));
        [wait, timely]
    });
    figures.collect()
}

/// Measures the cost of a placement round of a full pool with accounts: with four
/// times as many waiting steps, and relative to a pool without accounts.
fn rounds() -> [Figure; 2] {
    let mut pools = [(ROUND_STEPS, 0), (ROUND_STEPS, ACCOUNTS_MAX), (4 * ROUND_STEPS, 0)]
        .into_iter()
        .chain([(4 * ROUND_STEPS, ACCOUNTS_MAX)])
        .map(|(steps, accounts)| (WaitingPool::new(steps, accounts), f64::INFINITY))
        .collect::<Vec<_>>();
    // The timings of the pools alternate, so that other load on the machine affects
    // all of them.
    for _ in 0..ROUND_TIMINGS {
        for (pool, least_s) in &mut pools {
            let began = Instant::now();
            pool.run_rounds(ROUNDS);
            *least_s = least_s.min(began.elapsed().as_secs_f64());
        }
    }
    let cost_s = |index: usize| pools.get(index).map_or(f64::NAN, |(_, least_s)| *least_s);
    let (growth, baseline) = (cost_s(3) / cost_s(1), cost_s(2) / cost_s(0));
    let growth = Figure::new(NAME, "round_cost_of_four_times_the_steps", growth, "ratio")
        .with_baseline(baseline)
        .with_bound(Bound::AtMost(ROUND_GROWTH_BOUND * baseline));
    let accounts = cost_s(1) / cost_s(0);
    [growth, Figure::new(NAME, "round_cost_with_accounts", accounts, "ratio").with_baseline(1.0)]
}

/// Measures the rejection of work that is known to end too late, in surges of
/// five times the pool's capacity; the baselines accept everything.
fn rejection(seed: u64, mix: SurgeMix) -> Vec<Figure> {
    let accepting = replay_rejections(seed, SURGES, mix, Rejecting::Never);
    let rejecting = replay_rejections(seed, SURGES, mix, Rejecting::Known);
    // What the rejected jobs would have been worth: the same surges, in which one
    // of them at a time is accepted.
    let judged = &rejecting.judged_useless;
    let sampled = judged.iter().step_by(judged.len().div_ceil(SAMPLES_MAX).max(1));
    let wrong: u64 = sampled
        .clone()
        .map(|&caller| {
            let other = replay_rejections(seed, SURGES, mix, Rejecting::Except(caller));
            u64::from(other.is_useful[caller])
        })
        .sum();
    let wrong_share = wrong as f64 / sampled.count().max(1) as f64;
    let prefix = match mix {
        SurgeMix::OneQueue => "one_queue",
        SurgeMix::TwoQueues => "two_queues",
    };
    let figure = |name: &str, unit: &'static str, value: &dyn Fn(&SurgeCounts) -> f64| {
        Figure::new(NAME, format!("rejection/{prefix}/{name}"), value(&rejecting), unit)
            .with_baseline(value(&accepting))
    };
    let share = |part: u64, counts: &SurgeCounts| part as f64 / counts.jobs as f64;
    vec![
        figure("in_time", "share", &|counts| share(counts.in_time, counts)),
        figure("late", "share", &|counts| share(counts.late, counts)),
        figure("useless", "share", &|counts| share(counts.useless, counts)),
        figure("given_up", "share", &|counts| share(counts.given_up, counts)),
        figure("rejections", "count", &|counts| counts.rejections as f64),
        figure("useless_work", "core-seconds", &|counts| counts.useless_core_ms / 1_000.0),
        Figure::new(NAME, format!("rejection/{prefix}/rejected_wrongly"), wrong_share, "share")
            .with_bound(Bound::AtMost(WRONG_BOUND)),
        figure("rejected_with_room", "count", &|counts| counts.rejected_with_room as f64)
            .with_bound(Bound::AtMost(0.0)),
    ]
}

/// Returns the host time if hosts moved without delay and the load were known.
fn least_host_seconds(replayed: &Fleet) -> f64 {
    // The load is the same in every replay: total work divided by the capacity of
    // a host.
    let busy = replayed.total / (HOST_MILLICORES as f64 / 1_000.0) / 1_000.0;
    // One host in each pool runs the long-running tasks.
    let steps = replayed.on_ms / STEP_MS / (POOLS.len() * HOSTS_PER_POOL) as u64;
    busy + POOLS.len() as f64 * (steps * STEP_MS) as f64 / 1_000.0
}

/// Measures how long a serving task exceeds its latency goal while its load
/// changes and best-effort tasks run beside it, and the work that the best-effort
/// tasks do meanwhile.
fn throttling() -> [Figure; 2] {
    const GOAL_MS: u32 = 80;
    const BEST_EFFORT_TASKS: usize = 2;
    /// Tail latency at high and at low load without best-effort tasks, and the
    /// latency that unthrottled best-effort tasks add, in milliseconds.
    const HIGH_LOAD_MS: u32 = 60;
    const LOW_LOAD_MS: u32 = 20;
    const DISTURBANCE_MS: u32 = 60;
    let mut simulation = PoolSimulation::new(1, 32);
    simulation.submit(job(vec![StepSpec { tail_goal_ms: Some(GOAL_MS), ..lasting(1) }]));
    simulation.run_ms(500);
    let best_effort =
        StepSpec { uses_leftover: true, ..step(BEST_EFFORT_TASKS as u32, 4_000, 600_000) };
    simulation.submit(job(vec![best_effort]));
    let (mut over_ms, mut longest_ms, mut done) = (0_u64, 0_u64, 0.0);
    let (mut full_over_ms, mut full_longest_ms) = (0_u64, 0_u64);
    for tick in 0..600_u64 {
        simulation.run_ms(100);
        let undisturbed_ms = if tick / 100 % 2 == 0 { LOW_LOAD_MS } else { HIGH_LOAD_MS };
        let paces = simulation.workers[0].paces.iter().rev();
        let percent = paces.map(|(_, percent)| u32::from(*percent)).next().unwrap_or(100);
        let tail_ms = undisturbed_ms + DISTURBANCE_MS * percent / 100;
        simulation.workers[0].tail_ms = tail_ms;
        done += f64::from(percent) / 100.0;
        let next = |over_ms: u64, is_over: bool| if is_over { over_ms + 100 } else { 0 };
        over_ms = next(over_ms, tail_ms > GOAL_MS);
        longest_ms = longest_ms.max(over_ms);
        full_over_ms = next(full_over_ms, undisturbed_ms + DISTURBANCE_MS > GOAL_MS);
        full_longest_ms = full_longest_ms.max(full_over_ms);
    }
    let longest = Figure::new(NAME, "longest_time_over_goal", longest_ms as f64, "ms")
        .with_baseline(full_longest_ms as f64)
        .with_bound(Bound::AtMost(INTERFERENCE_MS));
    let share = Figure::new(NAME, "leftover_work_done", done / 600.0, "share").with_baseline(1.0);
    [longest, share]
}
