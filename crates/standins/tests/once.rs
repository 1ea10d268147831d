//! The at-most-once engines under random, seeded fault schedules.

use rstest::rstest;
use tamarack_standins::bench::once::{Cluster, OnceFaults, OnceSetup};

fn setup(seed: u64, faults: OnceFaults) -> OnceSetup {
    println!("seed {seed}");
    OnceSetup {
        seed,
        charges: 1_500,
        charges_per_second: 10.0,
        data_centres: 2,
        seats: 2,
        repeat_share: 0.5,
        attempts_max: 6,
        faults,
    }
}

/// Guards against a key that runs twice, a wrong `not-run` and the response of
/// another key when all faults occur in one run, with and without changes of the
/// number of seats.
#[rstest]
fn once_model_runs_each_key_at_most_once(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(0, 60_000)] seats_change_every_ms: u64,
) {
    let faults = OnceFaults {
        seats_change_every_ms,
        kill_every_ms: 30_000,
        pause_every_ms: 20_000,
        outage_every_ms: 60_000,
        cut_off_every_ms: 60_000,
        lost_reply_share: 0.1,
        slow_share: 0.1,
        ..OnceFaults::all()
    };
    let counts = Cluster::new(setup(seed, faults)).run();
    assert_eq!(counts.runs_per_key_max, 1);
    assert_eq!(counts.false_not_run, 0);
    assert_eq!(counts.wrong_replays, 0);
}

/// Guards against keys that are answered `unknown`, or not at all, although
/// nothing failed.
#[rstest]
fn once_model_without_faults_answers_all_usable_keys(#[values(1, 2)] seed: u64) {
    let counts = Cluster::new(setup(seed, OnceFaults::none())).run();
    assert_eq!((counts.unknown, counts.runs_per_key_max), (0, 1));
    assert_eq!(counts.answered + counts.not_run, counts.charges);
}
