//! Leases of workers, and the clocks that they are measured on.

use rstest::rstest;

use crate::coordination::pool::lease::{ClockOrigin, WorkerClock};

/// Guards against a reply of a new incarnation, whose clock starts anew, that is
/// taken for one of the known incarnation, and against the reverse.
#[rstest]
#[case::in_step(500_000, 2_000, 502_000, ClockOrigin::Known)]
#[case::slow_clock(500_000, 2_000, 501_960, ClockOrigin::Known)]
#[case::overtaken_by_the_report(500_000, 0, 499_400, ClockOrigin::Known)]
#[case::restarted(500_000, 2_000, 300, ClockOrigin::Other)]
#[case::ahead(500_000, 2_000, 600_000, ClockOrigin::Other)]
#[case::young_and_restarted(1_500, 2_000, 400, ClockOrigin::Other)]
#[case::young(1_500, 2_000, 2_900, ClockOrigin::Ambiguous)]
fn clock_tells_the_incarnation(
    #[case] reported_ms: u64,
    #[case] after_ms: u64,
    #[case] clock_ms: u64,
    #[case] expected: ClockOrigin,
) {
    let clock = WorkerClock::new(reported_ms, 10_000);
    assert_eq!(clock.origin(10_000 + after_ms, clock_ms), expected);
}
