//! Fault matrix: the eight promised invariants must hold when any fault occurs at
//! any step of any action.

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use strum::IntoEnumIterator;
use tamarack_standins::matrix::{Action, Cell, Fault, Step};

/// Seed of the cells that CI runs.
const SEED: u64 = 1;

/// Guards against an invariant that is violated when the fault occurs at any step
/// of the action, and against a step that a run no longer reaches.
#[rstest]
fn promises_hold(
    #[values(
        Action::Request,
        Action::Charge,
        Action::EntryStop,
        Action::Put,
        Action::Maintenance,
        Action::Cut
    )]
    action: Action,
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18)] fault: usize,
) {
    let fault = Fault::iter().nth(fault).expect("one number for each fault");
    for step in action.steps() {
        let report = Cell::new(step, vec![fault], SEED).run();
        assert!(report.reached, "seed {SEED}: {step} was not reached");
        assert_eq!(report.broken, [], "seed {SEED}: {fault} at {step}: {:#?}", report.evidence);
    }
}

/// Guards against a verdict that depends on the iteration order of a hash map,
/// which differs from run to run.
#[test]
fn cells_are_repeatable() {
    for (step, fault) in [
        (Step::RequestRunning, Fault::EntryKilled),
        (Step::ChargeClaiming, Fault::RepeatsRace),
        (Step::HostDraining, Fault::TargetLeaving),
        (Step::ChargeArrived, Fault::UrgentFlood),
    ] {
        let cell = Cell::new(step, vec![fault], SEED);
        assert_eq!(cell.run().verdict, cell.run().verdict, "seed {SEED}: {fault} at {step}");
    }
}

/// Guards against faults that are missing in the case list of `promises_hold`.
#[test]
fn every_fault_has_a_case() {
    assert_eq!(Fault::iter().count(), 19);
}

/// Number of random pairs of faults that CI runs, over all four seeds.
const PAIRS: usize = 120;

/// Guards against two faults that violate an invariant only in combination; the
/// benchmark `matrix` runs all pairs.
#[rstest]
fn promises_hold_under_two_faults(#[values(1, 2, 3, 4)] seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let steps: Vec<Step> = Step::iter().collect();
    let faults: Vec<Fault> = Fault::iter().collect();
    for _ in 0..PAIRS / 4 {
        let step = steps[random.random_range(0..steps.len())];
        let pair: Vec<Fault> = faults.choose_multiple(&mut random, 2).copied().collect();
        let report = Cell::new(step, pair.clone(), seed).run();
        assert_eq!(report.broken, [], "seed {seed}: {pair:?} at {step}: {:#?}", report.evidence);
    }
}
