//! Every fault at every step of every action keeps the eight promises.

use rstest::rstest;
use strum::IntoEnumIterator;
use tamarack_standins::matrix::{Action, Cell, Fault};

/// Seed of the cells that CI runs.
const SEED: u64 = 1;

/// Guards against a promise that breaks when this fault meets any step of the
/// action, and against a step that is no longer reached.
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
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17)] fault: usize,
) {
    let fault = Fault::iter().nth(fault).expect("one number for each fault");
    for step in action.steps() {
        let report = Cell::new(step, vec![fault], SEED).run();
        assert!(report.reached, "seed {SEED}: {step} was not reached");
        assert_eq!(report.broken, [], "seed {SEED}: {fault} at {step}: {:?}", report.verdict);
    }
}

/// Guards against faults that the list of cases leaves out.
#[test]
fn every_fault_has_a_case() {
    assert_eq!(Fault::iter().count(), 18);
}
