//! Tests of the durable acceptance of jobs.

use super::*;

fn now(monotonic_ms: u64) -> ClockReading {
    ClockReading::new(monotonic_ms, 0)
}

fn submit(submissions: &mut Submissions, request: u64, key: &str) {
    submissions.submit(RequestId(request), key.into(), Bytes::from_static(b"job"), 3_000);
}

fn write(actions: &[SubmissionAction]) -> &SubmissionWrite {
    match actions {
        [SubmissionAction::Write(write)] => write,
        other => panic!("expected one write, got {other:?}"),
    }
}

fn answers(actions: Vec<SubmissionAction>) -> Vec<(u64, SubmissionAnswer)> {
    let answer = |action| match action {
        SubmissionAction::Answer(request, answer) => (request.0, answer),
        SubmissionAction::Write(write) => panic!("unexpected {write:?}"),
    };
    actions.into_iter().map(answer).collect()
}

/// Guards against a separate store call for each job of a burst.
#[test]
fn submissions_that_arrive_during_a_write_share_the_next_one() {
    let mut submissions = Submissions::default();
    submit(&mut submissions, 1, "a");
    assert_eq!(write(&submissions.step()).jobs.len(), 1);
    submit(&mut submissions, 2, "b");
    assert_eq!(write(&submissions.step()).jobs.len(), 1);
    for (request, key) in (3..13).zip(["c", "d", "e", "f", "g", "h", "i", "j", "k", "l"]) {
        submit(&mut submissions, request, key);
    }
    assert!(submissions.step().is_empty());
    let done = submissions.on_result(now(5), 0, SubmissionResult::Written);
    assert_eq!(answers(done), [(1, SubmissionAnswer::Accepted)]);
    assert_eq!(write(&submissions.step()).jobs.len(), 10);
}

/// Guards against a definite refusal of a job whose earlier write may still
/// take effect.
#[test]
fn refusal_after_a_lost_reply_is_reported_as_unknown() {
    let mut submissions = Submissions::default();
    submit(&mut submissions, 1, "a");
    submissions.step();
    assert!(submissions.on_result(now(5), 0, SubmissionResult::Unknown).is_empty());
    submissions.step();
    let done = submissions.on_result(now(9), 1, SubmissionResult::NotWritten);
    assert_eq!(answers(done), [(1, SubmissionAnswer::Unknown)]);
}

/// Guards against a retry that fails because the first write of its job took
/// effect, and against other jobs of the same write that get lost.
#[test]
fn key_that_exists_is_accepted_and_its_neighbours_are_written_again() {
    let mut submissions = Submissions::default();
    submit(&mut submissions, 1, "a");
    submit(&mut submissions, 2, "b");
    submissions.step();
    let exist = SubmissionResult::Exist(vec!["a".into()]);
    let done = submissions.on_result(now(5), 0, exist);
    assert_eq!(answers(done), [(1, SubmissionAnswer::Accepted)]);
    assert_eq!(&*write(&submissions.step()).jobs[0].0, "b");
}

/// Guards against two writes of one job when its caller retries while the first
/// write is in flight.
#[test]
fn repeat_joins_the_submission_that_waits() {
    let mut submissions = Submissions::default();
    submit(&mut submissions, 1, "a");
    submissions.step();
    submit(&mut submissions, 2, "a");
    assert!(submissions.step().is_empty());
    let done = submissions.on_result(now(5), 0, SubmissionResult::Written);
    let accepted = SubmissionAnswer::Accepted;
    assert_eq!(answers(done), [(1, accepted), (2, accepted)]);
}

/// Guards against a caller that waits without an answer while the store refuses
/// calls.
#[test]
fn store_that_refuses_twice_gets_a_true_refusal() {
    let mut submissions = Submissions::default();
    submit(&mut submissions, 1, "a");
    submissions.step();
    assert!(submissions.on_result(now(5), 0, SubmissionResult::NotWritten).is_empty());
    submissions.step();
    let done = submissions.on_result(now(9), 1, SubmissionResult::NotWritten);
    assert_eq!(answers(done), [(1, SubmissionAnswer::NotAccepted { retry_after_ms: 1_000 })]);
    assert!(submissions.is_empty());
}
