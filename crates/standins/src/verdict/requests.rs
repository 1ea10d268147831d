//! What happened to requests.

use std::collections::{HashMap, HashSet};

use serde::Serialize;
use tamarackproxy::protocol::caller::Outcome;

use super::Observations;
use crate::{
    caller::{AttemptEnd, AttemptRecord},
    target::{BodyCheck, RunRecord},
};

/// Counts of requests; a request is counted once, whatever its repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestFigures {
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests that every attempt reported as not run.
    pub not_run: u64,
    /// Requests without answer of which some attempt may have run.
    pub unknown: u64,
    /// Requests whose callers closed the connection.
    pub disconnected: u64,
    /// Requests whose first answer came after the deadline of its attempt.
    pub late: u64,
    /// Attempts answered with the response to another request.
    pub crossed: u64,
    /// Attempts answered with a part of their response.
    pub truncated: u64,
    /// Keys that ran more than once.
    pub doubled: u64,
    /// Attempts reported as not run that ran.
    pub false_not_run: u64,
    /// Requests reported as not run at last although an earlier attempt under
    /// the key, whose outcome the caller does not know, ran.
    pub not_run_after_run: u64,
    /// Requests that met a target without a free slot.
    pub slot_overruns: u64,
}

/// What the caller of a request knows in the end.
#[derive(PartialEq, Eq)]
enum Known {
    Answered,
    NotRun,
    Disconnected,
    Unknown,
}

pub(super) fn judge(observations: &Observations) -> RequestFigures {
    let mut by_request: HashMap<u64, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &observations.attempts {
        by_request.entry(attempt.request).or_default().push(attempt);
    }
    let known: Vec<Known> = by_request.values().map(|attempts| known(attempts)).collect();
    let count = |wanted: Known| known.iter().filter(|known| **known == wanted).count() as u64;
    RequestFigures {
        requests: by_request.len() as u64,
        answered: count(Known::Answered),
        not_run: count(Known::NotRun),
        unknown: count(Known::Unknown),
        disconnected: count(Known::Disconnected),
        late: by_request.values().filter(|attempts| is_late(attempts)).count() as u64,
        crossed: with_body(observations, BodyCheck::Crossed).len() as u64,
        truncated: with_body(observations, BodyCheck::Truncated).len() as u64,
        doubled: doubled(observations).len() as u64,
        false_not_run: false_not_run(observations).len() as u64,
        not_run_after_run: not_run_after_run(observations, &by_request),
        slot_overruns: observations.slot_overruns,
    }
}

fn known(attempts: &[&AttemptRecord]) -> Known {
    let is_not_run = |attempt: &&AttemptRecord| {
        attempt.end == AttemptEnd::NotConnected || attempt.end.outcome() == Some(Outcome::NotRun)
    };
    if attempts.iter().any(|attempt| attempt.end.outcome() == Some(Outcome::Answered)) {
        Known::Answered
    } else if attempts.iter().all(is_not_run) {
        Known::NotRun
    } else if attempts.iter().any(|attempt| attempt.end == AttemptEnd::Disconnected) {
        Known::Disconnected
    } else {
        Known::Unknown
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

/// Returns the runs of the keys that ran more than once.
pub(super) fn doubled(observations: &Observations) -> Vec<Vec<&RunRecord>> {
    let mut runs: HashMap<(&str, &str), Vec<&RunRecord>> = HashMap::new();
    for run in observations.runs.iter().filter(|run| !run.repeatable) {
        if let Some(key) = &run.key {
            runs.entry((&run.caller, key)).or_default().push(run);
        }
    }
    runs.into_values().filter(|runs| runs.len() > 1).collect()
}

/// Returns the attempts that were reported as not run and ran.
pub(super) fn false_not_run(observations: &Observations) -> Vec<&AttemptRecord> {
    let ran: HashSet<u64> = observations.runs.iter().filter_map(|run| run.attempt).collect();
    let told = observations.attempts.iter();
    let told = told.filter(|attempt| attempt.end.outcome() == Some(Outcome::NotRun));
    told.filter(|attempt| ran.contains(&attempt.attempt)).collect()
}

/// Returns the attempts with such a body.
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
    let told = |attempts: &&Vec<&AttemptRecord>| {
        let is_last_not_run =
            attempts.last().is_some_and(|last| last.end.outcome() == Some(Outcome::NotRun));
        is_last_not_run && known(attempts) != Known::Answered
    };
    let told = by_request.iter().filter(|(_, attempts)| told(attempts));
    told.filter(|(request, _)| ran.contains(request)).count() as u64
}
