//! Floods harm no one else (hazard 6).

use rstest::rstest;

use super::support::{Bench, SERVICE, dispatched, ends, services};
use crate::{
    coordination::requests::{
        AttemptResult, CallerLimits, Explanation, RequestMeta, RequestsAction, RequestsEvent,
    },
    protocol::caller::Refusal,
    state::{
        document::Urgency::{self, Bulk, Normal, Urgent},
        ids::{CallerId, RequestId, ServiceId},
    },
};

/// Submits requests and returns the first id that is free.
fn submit(bench: &mut Bench, id: u64, count: u64, caller: &str, urgency: Urgency) -> u64 {
    for id in id..id + count {
        let caller = CallerId::new(caller);
        let meta = RequestMeta { caller, urgency, deadline_at_ms: 25_000, ..bench.meta() };
        bench.submit(id, meta);
    }
    id + count
}

/// Ends the running request `count` times and returns the requests that follow.
fn serve(bench: &mut Bench, mut running: u64, count: usize) -> Vec<u64> {
    let mut served = Vec::new();
    for _ in 0..count {
        let next = dispatched(&bench.answer(running));
        let Some(&(id, ..)) = next.first() else { break };
        served.push(id);
        running = id;
    }
    served
}

/// Guards against a class that takes the floor of another, and against floors
/// that stay unused while requests wait.
#[rstest]
#[case::all(&[Urgent, Normal, Bulk], &[60, 30, 10])]
#[case::no_normal(&[Urgent, Bulk], &[90, 10])]
#[case::no_urgent(&[Normal, Bulk], &[90, 10])]
#[case::only_bulk(&[Bulk], &[100])]
fn flood_leaves_every_class_its_floor(#[case] classes: &[Urgency], #[case] expected: &[usize]) {
    let mut bench = Bench::new(&["h1"], 1);
    submit(&mut bench, 0, 1, "first", Normal);
    for (index, &urgency) in classes.iter().enumerate() {
        submit(&mut bench, 1_000 * (index as u64 + 1), 200, "aline", urgency);
    }
    let served = serve(&mut bench, 0, 100);
    let of_class = |index: usize| served.iter().filter(|&&id| id as usize / 1_000 == index).count();
    for (index, &expected) in expected.iter().enumerate() {
        assert!(of_class(index + 1).abs_diff(expected) <= 2, "{}", of_class(index + 1));
    }
}

/// Guards against urgent work that waits behind a queue of bulk work.
#[test]
fn flood_of_bulk_does_not_delay_urgent_work() {
    let mut bench = Bench::new(&["h1"], 1);
    submit(&mut bench, 0, 500, "flooder", Bulk);
    submit(&mut bench, 900, 1, "aline", Urgent);
    assert!(serve(&mut bench, 0, 2).contains(&900));
}

/// Guards against a caller that takes the turns of others in its class, and
/// against a caller's longer requests that take more time than its share.
#[test]
fn flood_of_one_caller_leaves_the_others_their_turns() {
    let mut bench = Bench::new(&["h1"], 1);
    submit(&mut bench, 0, 400, "flooder", Urgent);
    submit(&mut bench, 1_000, 10, "aline", Urgent);
    submit(&mut bench, 2_000, 10, "chantal", Urgent);
    let served = serve(&mut bench, 0, 31);
    assert_eq!(served.iter().filter(|&&id| id >= 1_000).count(), 20, "{served:?}");
}

/// Guards against shedding the work of callers that did not fill the queue.
#[test]
fn flood_sheds_the_flooding_callers_newest_work() {
    let mut bench = Bench::new(&["h1"], 1);
    let event = RequestsEvent::ServicesChanged { services: services(1, 100), callers: Vec::new() };
    bench.event(event);
    submit(&mut bench, 0, 101, "flooder", Bulk);
    for (id, caller, urgency) in [(500, "aline", Bulk), (501, "aline", Urgent)] {
        let caller = CallerId::new(caller);
        let meta = RequestMeta { caller, urgency, ..bench.meta() };
        assert_eq!(ends(&bench.submit(id, meta)), [(600 - id, "not-run")]);
    }
    let meta = RequestMeta { caller: CallerId::new("flooder"), urgency: Bulk, ..bench.meta() };
    assert_eq!(ends(&bench.submit(502, meta)), [(502, "not-run")]);
}

/// Guards against queueing work that cannot end in time, and against a refusal
/// that does not say when a repeat may help.
#[test]
fn flood_refuses_early_what_cannot_end_in_time() {
    let mut bench = Bench::new(&["h1"], 1);
    let mut id = submit(&mut bench, 0, 20, "aline", Normal);
    for running in 0..10 {
        bench.advance(100);
        bench.answer(running);
    }
    let refused = loop {
        let meta = bench.meta();
        let actions = bench.submit(id, meta);
        id += 1;
        if !actions.is_empty() {
            break actions;
        }
    };
    // The slot serves 10 requests a second and the deadline is 5 s away.
    assert!(id < 60, "{id}");
    assert!(matches!(
        refused[..],
        [RequestsAction::NotRun {
            refusal: Refusal::DeadlineUnreachable,
            retry_after_ms: Some(100..=30_000),
            ..
        }]
    ));
    let meta = RequestMeta { urgency: Urgent, ..bench.meta() };
    assert_eq!(ends(&bench.submit(id, meta)), [], "urgent work does not wait behind it");
}

/// Guards against dispatching work whose deadline is too near to be of use.
#[test]
fn flood_gives_up_at_dispatch_what_cannot_end_in_time() {
    let mut bench = Bench::new(&["h1"], 1);
    submit(&mut bench, 0, 1, "aline", Normal);
    bench.advance(400);
    bench.answer(0);
    submit(&mut bench, 1, 1, "aline", Normal);
    let meta = RequestMeta { deadline_at_ms: bench.now_ms + 600, ..bench.meta() };
    bench.submit(2, meta);
    bench.advance(300);
    let actions = bench.answer(1);
    assert_eq!(
        (dispatched(&actions), ends(&actions)),
        (vec![], vec![(1, "answered"), (2, "not-run")])
    );
}

/// Guards against a caller that exceeds its rate.
#[test]
fn flood_above_the_callers_rate_is_refused() {
    let mut bench = Bench::new(&["h1"], 8);
    let caller = CallerId::new("aline");
    let limits = CallerLimits { caller, weight: 1, rate_per_second: Some(2.0) };
    bench
        .event(RequestsEvent::ServicesChanged { services: services(8, 10), callers: vec![limits] });
    let mut taken = 0;
    for id in 0..40 {
        let meta = bench.meta();
        taken += dispatched(&bench.submit(id, meta)).len();
        bench.answer(id);
        bench.advance(100);
    }
    assert!((9..=10).contains(&taken), "{taken} in 4 s with a burst of 2");
}

/// Guards against cancellations that leave something behind or that disturb
/// the queue of other callers.
#[test]
fn flood_of_cancellations_frees_every_place() {
    let mut bench = Bench::new(&["h1"], 1);
    let event =
        RequestsEvent::ServicesChanged { services: services(1, 20_000), callers: Vec::new() };
    bench.event(event);
    submit(&mut bench, 0, 10_001, "aline", Normal);
    submit(&mut bench, 20_000, 1, "chantal", Normal);
    for id in 1..=10_000 {
        assert_eq!(ends(&bench.cancel(id)), [(id, "not-run")]);
    }
    assert_eq!(bench.engine.open_requests(), 2);
    let explanation = bench.engine.explain(RequestId(20_000));
    assert!(
        matches!(explanation, Some(Explanation::Waiting { class_waiting: 1, .. })),
        "{explanation:?}"
    );
    assert_eq!(serve(&mut bench, 0, 1), [20_000]);
}

/// Guards against a slow target that gets as much work as the others.
#[test]
fn flood_spares_a_slow_target() {
    let mut bench = Bench::new(&["h1", "slow"], 8);
    let mut due: Vec<(u64, u64, u32)> = Vec::new();
    let (mut slow, mut all) = (0, 0);
    for id in 0..3_000 {
        let meta = bench.meta();
        let mut started = dispatched(&bench.submit(id, meta));
        let now_ms = bench.now_ms;
        let (over, running): (Vec<_>, Vec<_>) = due.into_iter().partition(|d| d.0 <= now_ms);
        due = running;
        for (_, id, attempt) in over {
            let result = AttemptResult::Answered { status: 200, leaving: false };
            started.extend(dispatched(&bench.ended(id, attempt, result)));
        }
        for (id, attempt, host) in started {
            let is_slow = host.as_str() == "slow";
            (slow, all) = (slow + u32::from(is_slow), all + 1);
            due.push((now_ms + if is_slow { 200 } else { 20 }, id, attempt));
        }
        bench.advance(5);
    }
    assert!(slow * 5 < all, "{slow} of {all}");
    let loads = bench.engine.loads();
    assert_eq!(loads[0].service, ServiceId::new(SERVICE));
}
