//! Benchmark `slots`: overruns and utilisation of shared slots, compared with
//! static shares.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{coordination::requests::SeatShare, state::document::Urgency};

use super::{
    BenchOptions, Bound, Figure,
    request_sim::{Arrival, Deployment, Disturbance, RequestOutcome, RequestSim, SLOTS, SlotUse},
};

const BENCH: &str = "slots";
/// Numbers of entry hosts in the data centre, one for each run.
const ENTRIES: [usize; 3] = [2, 8, 32];
/// Instances of the service.
const INSTANCES: usize = 10;
/// Duration of one run, in microseconds.
const RUN_US: u64 = 60_000_000;
/// Time after the last arrival for the last responses, in microseconds.
const TAIL_US: u64 = 15_000_000;
/// Load as a share of the capacity of all slots.
const LOAD: f64 = 0.8;
/// Share of the arrivals that reach one entry host, each in turn.
const HOT_SHARE: f64 = 0.6;
/// Time for which one entry host receives this share, in microseconds.
const HOT_US: u64 = 4_000_000;
/// Mean time that a target needs for a request, in microseconds.
const SERVICE_TIME_US: f64 = 100_000.0;
/// Share of requests that run for seconds.
const LONG_SHARE: f64 = 0.002;
/// Probability that a message between entry hosts is lost in a disturbed run.
const LOSS: f64 = 0.01;
/// Sampling interval, in microseconds.
const SAMPLE_US: u64 = 1_000_000 / 997;
/// Time from the loss of an entry host to the takeover of its seat, in
/// microseconds.
const TAKEOVER_US: u64 = 16_000_000;

/// Runs the benchmark.
pub fn run(options: &BenchOptions) -> Vec<Figure> {
    ENTRIES.into_iter().flat_map(|entries| run_size(entries, options.seed)).collect()
}

fn run_size(entries: usize, seed: u64) -> Vec<Figure> {
    let deployment = Deployment {
        name: "slots",
        data_centres: 1,
        entries,
        instances: vec![INSTANCES],
        queue_limit: 1_000,
    };
    let arrivals = arrivals(&deployment, seed);
    let calm = Run::new(&deployment, &arrivals, seed, Kind::Calm);
    let disturbed = Run::new(&deployment, &arrivals, seed, Kind::Disturbed);
    let fixed = Run::new(&deployment, &arrivals, seed, Kind::StaticShares);
    let fixed_disturbed = Run::new(&deployment, &arrivals, seed, Kind::StaticDisturbed);
    let mut figures = Vec::new();
    let mut add = |figure: &str, value: f64, unit, bound: Option<Bound>, baseline: Option<f64>| {
        let mut figure =
            Figure::new(BENCH, format!("{entries} entry hosts: {figure}"), value, unit);
        if let Some(baseline) = baseline {
            figure = figure.with_baseline(baseline);
        }
        figures.push(match bound {
            Some(bound) => figure.with_bound(bound),
            None => figure,
        });
    };
    let runs = [("calm", &calm, &fixed), ("seat changes and losses", &disturbed, &fixed_disturbed)];
    for (name, run, fixed) in runs {
        let overruns = f64::from(run.slot_use.most_at_once.saturating_sub(SLOTS));
        let none = Some(Bound::AtMost(0.0));
        add(&format!("overruns, {name}"), overruns, "slots", none, None);
        let text = format!("slots in use while requests wait, {name}");
        add(&text, run.utilisation(), "ratio", None, Some(fixed.utilisation()));
        let text = format!("in-time responses, {name}");
        add(&text, run.in_time(), "ratio", None, Some(fixed.in_time()));
    }
    let seconds = RUN_US as f64 / 1e6;
    let messages = calm.slot_use.messages as f64 / entries as f64 / seconds;
    add("messages per entry host, calm", messages, "1/s", None, None);
    let bound = Some(Bound::AtMost(50.0));
    let idle_ms = |run: &Run<'_>| run.slot_use.longest_idle_us as f64 / 1_000.0;
    let text = "longest wait beside an idle slot of a live seat, calm";
    add(text, idle_ms(&calm), "ms", bound, Some(idle_ms(&fixed)));
    figures
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Calm,
    Disturbed,
    StaticShares,
    StaticDisturbed,
}

struct Run<'a> {
    arrivals: &'a [Arrival],
    outcomes: Vec<RequestOutcome>,
    slot_use: SlotUse,
}

impl<'a> Run<'a> {
    fn new(deployment: &'a Deployment, arrivals: &'a [Arrival], seed: u64, kind: Kind) -> Self {
        let mut sim = RequestSim::new(deployment, arrivals, seed).with_samples(SAMPLE_US, RUN_US);
        sim = match kind {
            Kind::Calm => sim,
            Kind::StaticShares => sim.without_lending(),
            Kind::Disturbed => {
                sim.with_loss(LOSS).with_disturbances(&disturbances(deployment, seed))
            }
            Kind::StaticDisturbed => {
                sim.without_lending().with_disturbances(&disturbances(deployment, seed))
            }
        };
        sim.run(RUN_US + TAIL_US);
        Self { arrivals, outcomes: std::mem::take(&mut sim.outcomes), slot_use: sim.slot_use }
    }

    fn utilisation(&self) -> f64 {
        self.slot_use.used as f64 / self.slot_use.slots.max(1) as f64
    }

    fn in_time(&self) -> f64 {
        let in_time = |(arrival, outcome): &(&Arrival, &RequestOutcome)| outcome.in_time(arrival);
        let count = self.arrivals.iter().zip(&self.outcomes).filter(in_time).count();
        count as f64 / self.arrivals.len() as f64
    }
}

fn arrivals(deployment: &Deployment, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut exponential = move |mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1);
    let capacity = (INSTANCES * usize::from(SLOTS)) as f64 / SERVICE_TIME_US;
    let mut arrivals = Vec::new();
    let mut at_us = 0.0;
    loop {
        at_us += exponential(1.0 / (LOAD * capacity));
        if at_us >= RUN_US as f64 {
            return arrivals;
        }
        let hot = (at_us as u64 / HOT_US) as usize % deployment.entries;
        let entry = match rng.random_bool(HOT_SHARE) {
            true => hot,
            false => rng.random_range(0..deployment.entries),
        };
        let (service_us, deadline_ms) = match rng.random_bool(LONG_SHARE) {
            true => (rng.random_range(1_000_000..8_000_000), 9_000),
            false => (exponential(SERVICE_TIME_US) as u64, 2_000),
        };
        arrivals.push(Arrival {
            at_us: at_us as u64,
            data_centre: 0,
            entry,
            service: 0,
            caller: rng.random_range(0..10),
            urgency: Urgency::Normal,
            deadline_ms,
            service_us,
            flood: false,
        });
    }
}

/// Suspensions of seats, the loss of an entry host with the takeover of its
/// seat, and a change of the number of seats that reaches the entry hosts
/// within 6 s.
fn disturbances(deployment: &Deployment, seed: u64) -> Vec<(u64, Disturbance)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 2);
    let seats = deployment.entries as u16;
    let full = |entry: usize| Some(SeatShare { index: entry as u16, seats });
    let mut all = Vec::new();
    for at_us in (1_000_000..RUN_US / 2).step_by(1_500_000) {
        let entry = rng.random_range(1..deployment.entries);
        all.push((at_us, Disturbance::SeatChanged { entry, share: None }));
        all.push((at_us + 700_000, Disturbance::SeatChanged { entry, share: full(entry) }));
    }
    let lost = 0;
    all.push((8_000_000, Disturbance::Crashed { entry: lost }));
    all.push((8_000_000 + TAKEOVER_US, Disturbance::Replaced { entry: lost }));
    // The last seat is removed; its slots are divided among the others.
    let change_us = RUN_US / 2 + 2_000_000;
    for entry in 0..deployment.entries {
        let notified_us = change_us + rng.random_range(0..6_000_000);
        let share = (entry + 1 < deployment.entries)
            .then_some(SeatShare { index: entry as u16, seats: seats - 1 });
        all.push((notified_us, Disturbance::SeatChanged { entry, share }));
    }
    all
}
