//! Benchmark `buffer`: spare hosts, late requests and moves under each buffer
//! policy.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamarackproxy::coordination::fleet::demand::{
    BufferPolicy, BufferPolicyKind, DemandHistory, LoadSample, MOVE_DURATION_MS, PoolState,
    ServiceLoad,
};

use super::{BenchOptions, Bound, Figure};
use crate::fleet::surges::{ServiceQueue, Site, Trace};

const NAME: &str = "buffer";
/// Duration of one step, in milliseconds.
pub(crate) const STEP_MS: u64 = 250;
/// Duration of the run, in milliseconds.
const RUN_MS: u64 = 6 * 3_600_000;
/// Interval between decisions of the replay policy, in milliseconds.
const REPLAY_INTERVAL_MS: u64 = 10_000;
/// Interval between decisions of the other policies, in milliseconds.
const THRESHOLD_INTERVAL_MS: u64 = 1_000;
/// Goal for the ratio of the buffer to that of the static-peak policy.
const BUFFER_BOUND: f64 = 0.5;
/// Goal for the ratio of the moves to those of the plain-threshold policy.
const MOVES_BOUND: f64 = 1.0 / 3.0;

/// Results of one policy.
#[derive(Clone, Debug, Default)]
struct Outcome {
    buffer_host_hours: f64,
    late: u64,
    moves: u64,
}

/// Pool of one service in a run.
struct PoolRun {
    hosts: u32,
    /// Times at which hosts that are being moved arrive, in milliseconds.
    arriving: Vec<u64>,
    history: DemandHistory,
    policy: BufferPolicy,
    queue: ServiceQueue,
}

/// Runs every policy over the surges of both deployments.
pub fn run(options: &BenchOptions) -> Vec<Figure> {
    let mut figures = Vec::new();
    for seed in options.seed..options.seed + options.seeds {
        for site in [Site::KIGALI, Site::KIELCE] {
            figures.extend(measure(site, seed));
        }
        figures.extend(sensitivity(Site::KIGALI.with_deadline_ms(5_000), seed));
    }
    figures
}

fn measure(site: Site, seed: u64) -> Vec<Figure> {
    let trace = Trace::new(site, RUN_MS, &mut ChaCha8Rng::seed_from_u64(seed));
    let outcomes: BTreeMap<String, Outcome> = [
        BufferPolicyKind::StaticPeak,
        BufferPolicyKind::PlainThreshold,
        BufferPolicyKind::Hysteresis,
        BufferPolicyKind::Replay,
    ]
    .map(|kind| (kind.to_string(), simulate(&trace, kind)))
    .into();
    let fixed = &outcomes["static-peak"];
    let plain = &outcomes["plain-threshold"];
    let replay = &outcomes["replay"];
    let label = |what: &str| format!("{}-{what}", site.name);
    let mut figures = Vec::new();
    for (policy, outcome) in &outcomes {
        let name = |what: &str| label(&format!("{policy}-{what}"));
        figures.push(
            Figure::new(NAME, name("buffer"), outcome.buffer_host_hours, "host-hours")
                .with_baseline(fixed.buffer_host_hours),
        );
        figures.push(
            Figure::new(NAME, name("late"), outcome.late as f64, "requests")
                .with_baseline(fixed.late as f64),
        );
        figures.push(
            Figure::new(NAME, name("moves"), outcome.moves as f64, "moves")
                .with_baseline(plain.moves as f64),
        );
    }
    let clairvoyant = clairvoyant_host_hours(&trace);
    figures.push(Figure::new(NAME, label("clairvoyant-buffer"), clairvoyant, "host-hours"));
    let buffer = replay.buffer_host_hours / fixed.buffer_host_hours;
    figures.push(
        Figure::new(NAME, label("buffer-over-static-peak"), buffer, "ratio")
            .with_baseline(1.0)
            .with_bound(Bound::AtMost(BUFFER_BOUND)),
    );
    figures.push(
        Figure::new(NAME, label("late-above-static-peak"), replay.late as f64, "requests")
            .with_baseline(fixed.late as f64)
            .with_bound(Bound::AtMost(fixed.late as f64)),
    );
    let moves = replay.moves as f64 / plain.moves.max(1) as f64;
    figures.push(
        Figure::new(NAME, label("moves-over-plain-threshold"), moves, "ratio")
            .with_baseline(1.0)
            .with_bound(Bound::AtMost(MOVES_BOUND)),
    );
    figures
}

/// Measures how the buffer depends on the deadline; no goal is stated for it.
fn sensitivity(site: Site, seed: u64) -> Vec<Figure> {
    let trace = Trace::new(site, RUN_MS, &mut ChaCha8Rng::seed_from_u64(seed));
    let fixed = simulate(&trace, BufferPolicyKind::StaticPeak);
    let replay = simulate(&trace, BufferPolicyKind::Replay);
    let label = |what: &str| format!("{}-deadline-{}-ms-{what}", site.name, site.deadline_ms);
    vec![
        Figure::new(
            NAME,
            label("buffer-over-static-peak"),
            replay.buffer_host_hours / fixed.buffer_host_hours,
            "ratio",
        )
        .with_baseline(1.0),
        Figure::new(NAME, label("late"), replay.late as f64, "requests")
            .with_baseline(fixed.late as f64),
    ]
}

fn simulate(trace: &Trace, kind: BufferPolicyKind) -> Outcome {
    let site = trace.site;
    let fixed = kind == BufferPolicyKind::StaticPeak;
    let mut pools: Vec<PoolRun> = (0..site.services)
        .map(|service| PoolRun {
            hosts: if fixed { trace.peak_hosts(service) + 1 } else { site.pool_hosts },
            arriving: Vec::new(),
            history: DemandHistory::default(),
            policy: BufferPolicy::new(kind),
            queue: ServiceQueue::new(site),
        })
        .collect();
    let interval_ms =
        if kind == BufferPolicyKind::Replay { REPLAY_INTERVAL_MS } else { THRESHOLD_INTERVAL_MS };
    let mut outcome = Outcome::default();
    let mut held = Vec::new();
    for step in 0..trace.steps() {
        let now_ms = step as u64 * STEP_MS;
        for (service, pool) in pools.iter_mut().enumerate() {
            pool.arriving.retain(|&at_ms| {
                let arrived = at_ms <= now_ms;
                pool.hosts += u32::from(arrived);
                !arrived
            });
            let live = pool.hosts.saturating_sub(trace.lost(service, pool.hosts, now_ms));
            pool.queue.step(now_ms, trace.arrivals(service, step), live);
            let sample = LoadSample {
                in_flight: pool.queue.in_flight(),
                queued: pool.queue.queued(),
                service_ms: site.service_ms,
            };
            pool.history.push(now_ms, sample);
            if !fixed && now_ms.is_multiple_of(interval_ms) {
                outcome.moves += decide(pool, live, now_ms, site);
            }
        }
        held.push(pools.iter().map(|pool| pool.hosts + pool.arriving.len() as u32).sum::<u32>());
    }
    outcome.late = pools.iter().map(|pool| pool.queue.late()).sum();
    outcome.buffer_host_hours = buffer_host_hours(&held, trace.mean_hosts());
    outcome
}

/// Applies the policy's decision and returns the number of moves.
fn decide(pool: &mut PoolRun, live: u32, now_ms: u64, site: Site) -> u64 {
    let arriving = pool.arriving.len() as u32;
    let state = PoolState { hosts: live + arriving, rack_hosts: 1, size: site.pool_hosts };
    let load = ServiceLoad {
        history: &pool.history,
        slots_per_host: site.slots_per_host,
        deadline_ms: site.deadline_ms,
    };
    let target = pool.policy.target(now_ms, state, &[load]).min(site.pool_hosts * 2);
    if target > state.hosts {
        let added = target - state.hosts;
        pool.arriving.extend((0..added).map(|_| now_ms + MOVE_DURATION_MS));
        u64::from(added)
    } else {
        let removed = (state.hosts - target).min(live.saturating_sub(1));
        pool.hosts -= removed;
        u64::from(removed)
    }
}

/// Sums the hosts held above the mean load. A host that is needed again later must
/// stay available until then, so each step counts the maximum of all later steps.
fn buffer_host_hours(held: &[u32], mean_hosts: f64) -> f64 {
    let mut standing_by = 0;
    let mut sum = 0.0;
    for &hosts in held.iter().rev() {
        standing_by = standing_by.max(hosts);
        sum += (f64::from(standing_by) - mean_hosts).max(0.0);
    }
    sum * STEP_MS as f64 / 3_600_000.0
}

/// Computes a lower bound: the minimum number of hosts that serve all requests in
/// time if every host could serve every service and the trace were known.
fn clairvoyant_host_hours(trace: &Trace) -> f64 {
    let site = trace.site;
    let suffices = |hosts: u32| {
        let mut queue = ServiceQueue::new(site);
        for step in 0..trace.steps() {
            let arrivals = (0..site.services).map(|service| trace.arrivals(service, step)).sum();
            queue.step(step as u64 * STEP_MS, arrivals, hosts);
        }
        queue.late() == 0
    };
    let hosts = (1..).find(|&hosts| suffices(hosts)).unwrap_or(0);
    (f64::from(hosts) - trace.mean_hosts()).max(0.0) * RUN_MS as f64 / 3_600_000.0
}
