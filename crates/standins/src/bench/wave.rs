//! Roll-out time of a maintenance wave against its lower bound.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::state::{
    document::{BudgetSection, Document},
    ids::{HostId, WaveId},
    records::{HostRecord, WavePhase, WaveRecord},
};

use super::{BenchOptions, Bound, Figure};
use crate::fleet::{Deployment, DeploymentSize, FleetSimulation, Timing, WAVE};

const NAME: &str = "wave";
/// Durations of drains and reboots in the measurement.
const TIMING: Timing = Timing { drain_ms: (500, 5_000), reboot_ms: (120_000, 180_000) };
/// Entry hosts that are candidates for the control of pools.
const CANDIDATES: usize = 26;
/// Time by which every host is adopted, in milliseconds.
const ADOPTION_LIMIT_MS: u64 = 1_200_000;
/// Virtual time after which a wave counts as stalled, in milliseconds.
const WAVE_LIMIT_MS: u64 = 86_400_000;
/// Time until a failed host is repaired, in milliseconds.
const REPAIR_MS: u64 = 900_000;
/// Failures on an ordinary day at the design size, for each host.
const FAILURES_PER_HOST_DAY: f64 = 64.0 / 4_700.0;
/// Time within which every host is maintained once, in milliseconds.
const SIX_WEEKS_MS: f64 = 42.0 * 86_400_000.0;
/// Stated target: roll-out time without failures over its lower bound.
const ROLL_OUT_BOUND: f64 = 1.25;

struct Outcome {
    roll_out_ms: u64,
    lower_bound_ms: f64,
    violations: usize,
    writes_per_host: f64,
    maintained: usize,
    hosts: usize,
}

/// Runs waves at the present and at the design size, with and without
/// failures.
pub fn run(options: &BenchOptions) -> Vec<Figure> {
    let mut figures = Vec::new();
    for size in [DeploymentSize::PRESENT, DeploymentSize::DESIGN] {
        for failures in [false, true] {
            for seed in options.seed..options.seed + options.seeds {
                figures.extend(report(size, failures, &roll_out(size, failures, seed)));
            }
        }
    }
    figures
}

fn report(size: DeploymentSize, failures: bool, outcome: &Outcome) -> Vec<Figure> {
    let label = |what: &str| {
        let kind = if failures { "failures" } else { "no-failures" };
        format!("{}-hosts-{kind}-{what}", size.hosts)
    };
    let ratio = outcome.roll_out_ms as f64 / outcome.lower_bound_ms;
    let time = Figure::new(NAME, label("roll-out"), outcome.roll_out_ms as f64 / 60_000.0, "min")
        .with_baseline(outcome.lower_bound_ms / 60_000.0);
    let over_bound =
        Figure::new(NAME, label("over-lower-bound"), ratio, "ratio").with_baseline(1.0);
    let over_bound =
        if failures { over_bound } else { over_bound.with_bound(Bound::AtMost(ROLL_OUT_BOUND)) };
    let six_weeks = outcome.roll_out_ms as f64 / SIX_WEEKS_MS;
    vec![
        time,
        over_bound,
        Figure::new(NAME, label("violations"), outcome.violations as f64, "count")
            .with_bound(Bound::AtMost(0.0)),
        Figure::new(
            NAME,
            label("not-maintained"),
            (outcome.hosts - outcome.maintained) as f64,
            "hosts",
        )
        .with_bound(Bound::AtMost(0.0)),
        Figure::new(NAME, label("share-of-six-weeks"), six_weeks, "share")
            .with_bound(Bound::AtMost(1.0)),
        Figure::new(NAME, label("store-writes"), outcome.writes_per_host, "writes/host"),
    ]
}

fn roll_out(size: DeploymentSize, failures: bool, seed: u64) -> Outcome {
    let mut deployment = Deployment::new(size);
    set_paused(&mut deployment.document, true);
    let hosts = deployment.hosts.len();
    let mut world = FleetSimulation::new(deployment, TIMING, CANDIDATES, seed);
    world.run_until(ADOPTION_LIMIT_MS, |world| world.records().len() == hosts);
    let lower_bound_ms = lower_bound_ms(world.document(), world.records());
    let start_ms = world.now_ms();
    let writes_before = world.checks.writes;
    let mut document = world.document().clone();
    set_paused(&mut document, false);
    world.set_document(document);
    if failures {
        schedule_failures(&mut world, start_ms, lower_bound_ms, seed);
    }
    world.run_until(start_ms + WAVE_LIMIT_MS, is_finished);
    Outcome {
        roll_out_ms: world.now_ms() - start_ms,
        lower_bound_ms,
        violations: world.checks.budget.len() + world.checks.interrupted.len(),
        writes_per_host: (world.checks.writes - writes_before) as f64 / hosts as f64,
        maintained: world.checks.reboots.len(),
        hosts,
    }
}

fn set_paused(document: &mut Document, paused: bool) {
    if let Some(section) = document.waves.get_mut(&WaveId::new(WAVE)) {
        section.paused = paused;
    }
}

fn is_finished(world: &FleetSimulation) -> bool {
    world
        .store
        .record::<WaveRecord>(&format!("wave/{WAVE}"))
        .is_some_and(|wave| wave.phase == WavePhase::Finished)
}

/// Lets hosts fail at the rate of an ordinary day, and one rack a third into
/// the wave.
fn schedule_failures(world: &mut FleetSimulation, start_ms: u64, duration_ms: f64, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let hosts: Vec<HostId> = world.hosts.keys().cloned().collect();
    let expected = FAILURES_PER_HOST_DAY * hosts.len() as f64 * duration_ms / 86_400_000.0;
    let racks: Vec<Vec<HostId>> = world.racks().into_values().collect();
    let mut failures: Vec<(u64, HostId)> = Vec::new();
    for _ in 0..expected.ceil() as u32 {
        let at_ms = start_ms + rng.random_range(0..duration_ms as u64);
        failures.extend(hosts.choose(&mut rng).map(|host| (at_ms, host.clone())));
    }
    let rack_ms = start_ms + duration_ms as u64 / 3;
    let rack = racks.choose(&mut rng).cloned().unwrap_or_default();
    failures.extend(rack.into_iter().map(|host| (rack_ms, host)));
    for (at_ms, host) in failures {
        let repaired = host.clone();
        world.at(at_ms, move |world| world.fail_host(&host));
        world.at(at_ms + REPAIR_MS, move |world| world.repair_host(&repaired));
    }
}

/// Computes the time that the wave takes at least: hosts over what the budgets
/// and the wave allow at once, times the mean drain and reboot.
fn lower_bound_ms(document: &Document, records: &BTreeMap<HostId, HostRecord>) -> f64 {
    let max_parallel = document.waves[WAVE].max_parallel;
    let of_pool = |pool: &str| {
        let hosts = records.values().filter(|record| record.pool.as_str() == pool);
        let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
        hosts.for_each(|record| *racks.entry(record.rack.as_str()).or_default() += 1);
        let hosts: u32 = racks.values().sum();
        f64::from(hosts) / f64::from(largest_stop(&document.budgets[pool], racks))
    };
    let rounds = document
        .pools
        .keys()
        .map(|pool| of_pool(pool.as_str()))
        .fold(records.len() as f64 / f64::from(max_parallel), f64::max);
    rounds * TIMING.mean_stop_ms()
}

/// Counts the hosts that a budget allows to be stopped at once, when those are
/// taken from the largest racks.
fn largest_stop(budget: &BudgetSection, mut racks: BTreeMap<&str, u32>) -> u32 {
    let mut stopped = 0;
    while stopped < budget.max_stopped {
        if let Some(count) = racks.values_mut().max() {
            *count -= 1;
        }
        let remaining: u32 = racks.values().sum();
        let largest = racks.values().max().copied().unwrap_or(0);
        if remaining < budget.min_available + largest {
            break;
        }
        stopped += 1;
    }
    stopped
}
