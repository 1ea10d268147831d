//! Surges of five times the pool's capacity in virtual time, on the pool's own
//! engine.

use rstest::rstest;

use crate::replay::admission::{Rejecting, SurgeMix, replay_kept, replay_surges};

const SURGES: u64 = 2;

/// Guards against the rejection of a job that could have been useful, and of one
/// for which there is room. What a rejected job would have been worth is found
/// out by the same surges in which it alone is accepted.
#[rstest]
#[case(1, SurgeMix::OneQueue)]
#[case(1, SurgeMix::TwoQueues)]
#[case(2, SurgeMix::TwoQueues)]
#[case(3, SurgeMix::TwoQueues)]
fn only_useless_jobs_are_rejected(#[case] seed: u64, #[case] mix: SurgeMix) {
    let accepting = replay_surges(seed, SURGES, mix, Rejecting::Never);
    let rejecting = replay_surges(seed, SURGES, mix, Rejecting::Known);
    println!(
        "seed {seed} {mix:?}: {} and {} of {} jobs in time, {} and {} late, {} and {} useless",
        accepting.in_time,
        rejecting.in_time,
        accepting.jobs,
        accepting.late,
        rejecting.late,
        accepting.useless,
        rejecting.useless
    );
    assert_eq!(rejecting.rejected_with_room, 0);
    assert_eq!(accepting.judged_wrongly, 0, "of {:?}", accepting.judged_useless);
    for &caller in &rejecting.judged_useless {
        let other = replay_surges(seed, SURGES, mix, Rejecting::Except(caller));
        assert!(!other.is_useful[caller], "the job of caller {caller} is useful if it is accepted");
    }
}

/// Guards against a replay whose surges reject nothing, which would show nothing.
#[test]
fn surge_of_mixed_objectives_rejects_jobs() {
    let rejecting = replay_surges(1, SURGES, SurgeMix::TwoQueues, Rejecting::Known);
    assert!(rejecting.rejections > 0);
}

/// Guards against a claim in the design note: even if the useless jobs were known
/// beforehand and their callers stayed away, hardly more jobs would be useful,
/// since the order puts useless work last.
#[test]
fn order_leaves_little_to_gain_by_rejection() {
    let accepting = replay_surges(1, SURGES, SurgeMix::OneQueue, Rejecting::Never);
    let kept = replay_kept(1, SURGES, SurgeMix::OneQueue, &accepting.is_useful);
    println!(
        "{} of {} jobs are useful, {} without the useless ones",
        accepting.in_time + accepting.late,
        accepting.jobs,
        kept.in_time + kept.late
    );
    let gained = (kept.in_time + kept.late).abs_diff(accepting.in_time + accepting.late);
    assert!(gained * 10 <= accepting.jobs, "{gained} of {} jobs", accepting.jobs);
}

/// Guards against callers that return in a second wave: all at once, or to be
/// rejected again in the lull.
#[test]
fn returning_callers_come_one_by_one_and_are_accepted() {
    let rejecting = replay_surges(1, SURGES, SurgeMix::TwoQueues, Rejecting::Known);
    let returns_ms = &rejecting.returns_ms;
    let ended = rejecting.judged_useless.iter().filter(|&&caller| rejecting.is_useful[caller]);
    println!(
        "{} returns, {} of {} callers were still served well: {returns_ms:?}",
        returns_ms.len(),
        ended.count(),
        rejecting.judged_useless.len()
    );
    assert_eq!(rejecting.given_up, 0);
    let crowd = |from_ms: u64| {
        returns_ms.iter().filter(|&&at_ms| (from_ms..from_ms + 100).contains(&at_ms)).count()
    };
    let largest = returns_ms.iter().map(|&at_ms| crowd(at_ms)).max().unwrap_or(0);
    assert!(
        largest * 3 <= returns_ms.len().max(3),
        "{largest} of {} within 100 ms",
        returns_ms.len()
    );
}
