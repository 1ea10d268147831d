//! Evaluates the outcomes of requests.

use std::collections::{HashMap, HashSet};

use serde::Serialize;
use tamarackproxy::protocol::caller::Outcome;

use super::Observations;
use crate::{
    caller::{AttemptEnd, AttemptRecord},
    target::{BodyCheck, RunRecord},
};

/// Counts of requests; the attempts of one request count as one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestFigures {
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests with a complete response.
    pub answered: u64,
    /// Requests that every attempt reported as not run.
    pub not_run: u64,
    /// Requests without a response of which some attempt may have run.
    pub unknown: u64,
    /// Requests whose callers closed the connection.
    pub disconnected: u64,
    /// Requests whose first response arrived after the deadline of its attempt.
    pub late: u64,
    /// Attempts that received the response to another request.
    pub crossed: u64,
    /// Attempts that received an incomplete response.
    pub truncated: u64,
    /// Idempotency keys that ran more than once.
    pub doubled: u64,
    /// Attempts that ran although they were reported as not run.
    pub false_not_run: u64,
    /// Requests whose last attempt was reported as not run, although an earlier
    /// attempt under the same key ran with an outcome unknown to the caller.
    pub not_run_after_run: u64,
    /// Requests sent to a target without a free slot.
    pub slot_overruns: u64,
}

/// Outcome of a request as its caller knows it after the last attempt.
#[derive(PartialEq, Eq)]
enum KnownOutcome {
    Answered,
    NotRun,
    Disconnected,
    Unknown,
}

pub(super) fn evaluate(observations: &Observations) -> RequestFigures {
    let mut by_request: HashMap<u64, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &observations.attempts {
        by_request.entry(attempt.request).or_default().push(attempt);
    }
    let outcomes: Vec<KnownOutcome> =
        by_request.values().map(|attempts| known_outcome(attempts)).collect();
    let count =
        |wanted: KnownOutcome| outcomes.iter().filter(|outcome| **outcome == wanted).count() as u64;
    RequestFigures {
        requests: by_request.len() as u64,
        answered: count(KnownOutcome::Answered),
        not_run: count(KnownOutcome::NotRun),
        unknown: count(KnownOutcome::Unknown),
        disconnected: count(KnownOutcome::Disconnected),
        late: by_request.values().filter(|attempts| is_late(attempts)).count() as u64,
        crossed: with_body(observations, BodyCheck::Crossed).len() as u64,
        truncated: with_body(observations, BodyCheck::Truncated).len() as u64,
        doubled: doubled(observations).len() as u64,
        false_not_run: false_not_run(observations).len() as u64,
        not_run_after_run: not_run_after_run(observations, &by_request),
        slot_overruns: observations.slot_overruns,
    }
}

fn known_outcome(attempts: &[&AttemptRecord]) -> KnownOutcome {
    let is_not_run = |attempt: &&AttemptRecord| {
        attempt.end == AttemptEnd::NotConnected || attempt.end.outcome() == Some(Outcome::NotRun)
    };
    if attempts.iter().any(|attempt| attempt.end.outcome() == Some(Outcome::Answered)) {
        KnownOutcome::Answered
    } else if attempts.iter().all(is_not_run) {
        KnownOutcome::NotRun
    } else if attempts.iter().any(|attempt| attempt.end == AttemptEnd::Disconnected) {
        KnownOutcome::Disconnected
    } else {
        KnownOutcome::Unknown
    }
}

fn is_late(attempts: &[&AttemptRecord]) -> bool {
    let mut answered =
        attempts.iter().filter(|attempt| attempt.end.outcome() == Some(Outcome::Answered));
    answered.next().is_some_and(|attempt| {
        let ended_ms = attempt.ended_ms.unwrap_or(u64::MAX);
        ended_ms.saturating_sub(attempt.started_ms) > attempt.deadline_ms
    })
}

fn body(end: &AttemptEnd) -> Option<BodyCheck> {
    match end {
        AttemptEnd::Response { body, .. } => *body,
        _ => None,
    }
}

/// Returns the runs of each idempotency key that ran more than once.
pub(super) fn doubled(observations: &Observations) -> Vec<Vec<&RunRecord>> {
    let mut runs: HashMap<(&str, &str), Vec<&RunRecord>> = HashMap::new();
    for run in observations.runs.iter().filter(|run| !run.repeatable) {
        if let Some(key) = &run.key {
            runs.entry((&run.caller, key)).or_default().push(run);
        }
    }
    runs.into_values().filter(|runs| runs.len() > 1).collect()
}

/// Returns the attempts that ran although they were reported as not run.
pub(super) fn false_not_run(observations: &Observations) -> Vec<&AttemptRecord> {
    let ran: HashSet<u64> = observations.runs.iter().filter_map(|run| run.attempt).collect();
    let reported = observations.attempts.iter();
    let reported = reported.filter(|attempt| attempt.end.outcome() == Some(Outcome::NotRun));
    reported.filter(|attempt| ran.contains(&attempt.attempt)).collect()
}

/// Returns the attempts whose response body had this check result.
pub(super) fn with_body(observations: &Observations, wanted: BodyCheck) -> Vec<&AttemptRecord> {
    let attempts = observations.attempts.iter();
    attempts.filter(|attempt| body(&attempt.end) == Some(wanted)).collect()
}

fn not_run_after_run(
    observations: &Observations,
    by_request: &HashMap<u64, Vec<&AttemptRecord>>,
) -> u64 {
    let keyed = observations.runs.iter().filter(|run| run.key.is_some());
    let ran: HashSet<u64> = keyed.map(|run| run.request).collect();
    let ends_not_run = |attempts: &&Vec<&AttemptRecord>| {
        let is_last_not_run =
            attempts.last().is_some_and(|last| last.end.outcome() == Some(Outcome::NotRun));
        is_last_not_run && known_outcome(attempts) != KnownOutcome::Answered
    };
    let not_run = by_request.iter().filter(|(_, attempts)| ends_not_run(attempts));
    not_run.filter(|(request, _)| ran.contains(request)).count() as u64
}
