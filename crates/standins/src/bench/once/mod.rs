//! Benchmark `once`: charges (requests that must run at most once) to the
//! at-most-once engine under faults.
//!
//! The real engines run in virtual time. Entry hosts are killed and paused, the
//! store loses replies, is slow and has outages, data centres lose the connection
//! to the store or to each other, and callers retry charges through other entry
//! hosts.
//!
//! The bound for the share of charges whose outcome stays unknown is the share of
//! *exposed* charges, for which an injected fault explains an unknown outcome. A
//! charge is exposed, as follows from the fault schedule alone, if
//!
//! - the response of the run was lost;
//! - an attempt, or its response, crossed a partition between data centres;
//! - an attempt was made around a kill or pause of its home seat's holder, from the
//!   callers' deadline of 10 s before it until the takeover and the opening of the
//!   log after it (16 s and a margin of 12 s, longer while the store is
//!   unreachable);
//! - the data centre lost the store while the log of the home seat was being
//!   opened, or before its holder had written after a pause, and an attempt was
//!   made before the store was reachable again;
//! - an attempt was made in the 5.5 minutes after a takeover that no witness could
//!   confirm, because the data centre was detached, or another of its seats failed
//!   as well, in the 60 s before;
//! - an attempt was made in the 5.5 minutes after a change of the number of seats,
//!   counted from the return of the store if it was unreachable.

mod callers;
mod cluster;
mod cost;
mod counts;
mod faults;
mod setup;

pub use self::{
    cluster::Cluster,
    counts::OnceCounts,
    setup::{OnceFaults, OnceSetup},
};

use super::{Bound, Figure};

/// Charges in one run.
const CHARGES: u32 = 100_000;

/// Bound of the ratio of the cost of a charge with 300,000 kept claims to that with
/// 20,000. Linear growth would give 15; the allowance above 1 is for the lower
/// cache hit rate of the larger table and for its growth.
const COST_RATIO_MAX: f64 = 4.0;

/// Returns the fault schedules: none, one fault of each kind every few minutes,
/// frequent overlapping faults, and the latter with changes of the number of seats.
fn schedules(seed: u64) -> [(&'static str, OnceSetup); 4] {
    let faults = OnceSetup {
        seed,
        charges: CHARGES,
        charges_per_second: 200.0,
        data_centres: 4,
        seats: 2,
        repeat_share: 0.05,
        attempts_max: 5,
        faults: OnceFaults::all(),
    };
    let mut seats = faults.clone();
    seats.faults.seats_change_every_ms = 60_000;
    let single = OnceSetup { faults: OnceFaults::single(), ..faults.clone() };
    let calm = OnceSetup { faults: OnceFaults::none(), ..faults.clone() };
    [("calm", calm), ("single", single), ("faults", faults), ("faults-and-seats", seats)]
}

/// Runs the benchmark with `seeds` consecutive seeds, starting with `seed`.
pub fn run(seed: u64, seeds: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    for seed in seed..seed + seeds.max(1) {
        for (name, setup) in schedules(seed) {
            let counts = Cluster::new(setup).run();
            figures.extend(figures_of(name, seed, &counts));
        }
    }
    let (few_ns, many_ns) = cost::costs_ns();
    figures.push(Figure::new("once", "charge_cost_20000_claims", few_ns, "ns"));
    figures.push(Figure::new("once", "charge_cost_300000_claims", many_ns, "ns"));
    let ratio = Figure::new("once", "charge_cost_ratio", many_ns / few_ns, "ratio");
    figures.push(ratio.with_bound(Bound::AtMost(COST_RATIO_MAX)));
    figures
}

fn figures_of(schedule: &str, seed: u64, counts: &OnceCounts) -> Vec<Figure> {
    let figure = |name: &str, value: f64, unit: &'static str| {
        Figure::new("once", format!("{schedule}/seed-{seed}/{name}"), value, unit)
    };
    let charges = counts.charges as f64;
    let share = |count: u64| count as f64 / charges;
    let writes = counts.store_writes() as f64;
    vec![
        figure("charges", charges, "count"),
        figure("takeovers", counts.takeovers as f64, "count"),
        figure("runs_per_key_max", f64::from(counts.runs_per_key_max), "count")
            .with_bound(Bound::AtMost(1.0)),
        figure("false_not_run", counts.false_not_run as f64, "count")
            .with_bound(Bound::AtMost(0.0)),
        figure("wrong_replays", counts.wrong_replays as f64, "count")
            .with_bound(Bound::AtMost(0.0)),
        figure("answered_share", share(counts.answered), "share"),
        figure("not_run_share", share(counts.not_run), "share"),
        figure("unknown_share", share(counts.unknown), "share")
            .with_bound(Bound::AtMost(share(counts.exposed))),
        figure("unknown_without_cause", counts.unexplained as f64, "count")
            .with_bound(Bound::AtMost(0.0)),
        figure("store_writes_per_charge", writes / charges, "writes")
            .with_baseline(1.0)
            .with_bound(Bound::AtMost(1.0)),
        figure(
            "store_writes_peak",
            OnceCounts::peak_per_second(&counts.writes_by_second),
            "writes/s",
        )
        .with_baseline(OnceCounts::peak_per_second(&counts.charges_by_second))
        .with_bound(Bound::AtMost(200.0)),
    ]
}
