//! Policies of the dispatcher on its own engines, each beside a plain one.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarack_dispatch::{
    replay::{
        balance::{Fleet, HOST_MILLICORES, HOSTS_PER_POOL, POOLS, STEP_MS, replay_surges},
        pool::{PoolSimulation, job, lasting, step},
    },
    state::StepSpec,
};

use super::{BenchOptions, Bound, Figure};

const NAME: &str = "dispatch";
/// Stated target: no day is served below a half, so no surge of twice the
/// capacity either.
const TIMELY_BOUND: f64 = 0.5;
/// Stated target: most work of a surge that outgrows its pool is in time.
const LATE_BOUND_PERCENT: f64 = 15.0;
/// Time for which tasks that serve may be over their goal after a swing, in
/// milliseconds; the users' figure.
const INTERFERENCE_MS: f64 = 4_500.0;

/// Jobs of one surge: time of arrival, tasks and estimate, all in
/// milliseconds.
struct SurgeJob {
    arrives_ms: u64,
    tasks: u32,
    task_ms: u32,
}

impl SurgeJob {
    /// Time within which callers expect the end.
    fn objective_ms(&self) -> u64 {
        u64::from(self.task_ms) * 16 / 10 + 600
    }
}

const WORKERS: usize = 4;
const WORKER_CORES: u64 = 16;
const TASK_CORES: u64 = 2;

/// Runs all policies.
pub fn run(options: &BenchOptions) -> Vec<Figure> {
    let seeds = options.seed..options.seed + options.seeds;
    seeds.flat_map(|seed| [order(seed)].into_iter().chain(pools()).chain(pace())).collect()
}

/// Share of jobs in their objectives in a surge of twice the capacity, by the
/// engine's order and in order of arrival.
fn order(seed: u64) -> Figure {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let jobs: Vec<SurgeJob> = (0..60)
        .map(|index| SurgeJob {
            arrives_ms: index * 50,
            tasks: random.random_range(1..=8),
            task_ms: random.random_range(300..900),
        })
        .collect();
    let mut world = PoolSimulation::new(WORKERS, WORKER_CORES);
    let mut numbers = Vec::new();
    for surge in &jobs {
        numbers.push(world.submit(job(vec![step(surge.tasks, TASK_CORES * 1_000, surge.task_ms)])));
        world.run_ms(50);
    }
    world.run_ms(12_000);
    let timely = numbers.iter().zip(&jobs).filter(|(number, surge)| {
        world.took_ms(**number).is_some_and(|took_ms| took_ms <= surge.objective_ms())
    });
    let share = timely.count() as f64 / jobs.len() as f64;
    Figure::new(NAME, "jobs_in_objective_in_a_surge", share, "share")
        .with_baseline(in_order_of_arrival(&jobs))
        .with_bound(Bound::AtLeast(TIMELY_BOUND))
}

/// Starts tasks in order of arrival on whatever is free first.
fn in_order_of_arrival(jobs: &[SurgeJob]) -> f64 {
    let places = WORKERS * (WORKER_CORES / TASK_CORES) as usize;
    let mut free_ms = vec![0_u64; places];
    let timely = jobs.iter().filter(|surge| {
        let mut end_ms = 0;
        for _ in 0..surge.tasks {
            if let Some(place) = free_ms.iter_mut().min() {
                *place = (*place).max(surge.arrives_ms) + u64::from(surge.task_ms);
                end_ms = end_ms.max(*place);
            }
        }
        end_ms - surge.arrives_ms <= surge.objective_ms()
    });
    timely.count() as f64 / jobs.len() as f64
}

/// Late work and time of hosts in surges that come in turn, with hosts that
/// never move beside it, and the least time of hosts that could do the work.
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

/// Returns what hosts that move without delay and know the load would take.
fn least_host_seconds(played: &Fleet) -> f64 {
    // The load is the same in every replay: total work over what a host does.
    let busy = played.total / (HOST_MILLICORES as f64 / 1_000.0) / 1_000.0;
    // One host in each pool keeps the lasting tasks.
    let steps = played.on_ms / STEP_MS / (POOLS.len() * HOSTS_PER_POOL) as u64;
    busy + POOLS.len() as f64 * (steps * STEP_MS) as f64 / 1_000.0
}

/// Longest time over the goal of a task that serves beside leftover tasks while
/// its load swings, and what the leftover tasks get done meanwhile.
fn pace() -> [Figure; 2] {
    const GOAL_MS: u32 = 80;
    const LEFTOVER: usize = 2;
    /// Tail at full and at low load without leftover tasks, and what these add
    /// at full pace, in milliseconds.
    const BUSY_MS: u32 = 60;
    const QUIET_MS: u32 = 20;
    const DISTURBANCE_MS: u32 = 60;
    let mut world = PoolSimulation::new(1, 32);
    world.submit(job(vec![StepSpec { tail_goal_ms: Some(GOAL_MS), ..lasting(1) }]));
    world.run_ms(500);
    let leftover = StepSpec { uses_leftover: true, ..step(LEFTOVER as u32, 4_000, 600_000) };
    world.submit(job(vec![leftover]));
    let (mut over_ms, mut longest_ms, mut done) = (0_u64, 0_u64, 0.0);
    let (mut full_over_ms, mut full_longest_ms) = (0_u64, 0_u64);
    for tick in 0..600_u64 {
        world.run_ms(100);
        let own_ms = if tick / 100 % 2 == 0 { QUIET_MS } else { BUSY_MS };
        let paces = world.workers[0].paces.iter().rev();
        let percent = paces.map(|(_, percent)| u32::from(*percent)).next().unwrap_or(100);
        let tail_ms = own_ms + DISTURBANCE_MS * percent / 100;
        world.workers[0].tail_ms = tail_ms;
        done += f64::from(percent) / 100.0;
        let next = |over_ms: u64, is_over: bool| if is_over { over_ms + 100 } else { 0 };
        over_ms = next(over_ms, tail_ms > GOAL_MS);
        longest_ms = longest_ms.max(over_ms);
        full_over_ms = next(full_over_ms, own_ms + DISTURBANCE_MS > GOAL_MS);
        full_longest_ms = full_longest_ms.max(full_over_ms);
    }
    let longest = Figure::new(NAME, "longest_time_over_goal", longest_ms as f64, "ms")
        .with_baseline(full_longest_ms as f64)
        .with_bound(Bound::AtMost(INTERFERENCE_MS));
    let share = Figure::new(NAME, "leftover_work_done", done / 600.0, "share").with_baseline(1.0);
    [longest, share]
}
