//! Describes cases behind the figures that violate an invariant.

use tamarackproxy::state::records::HostPhase;

use super::{Observations, hosts, requests};
use crate::{
    caller::AttemptRecord,
    target::{BodyCheck, Cut, RunRecord},
};

/// Largest number of cases of one kind to describe.
const MAX_CASES: usize = 5;

/// Describes some cases of each kind, one per line, as a start for finding the
/// cause.
pub(super) fn describe(observations: &Observations) -> Vec<String> {
    let mut lines = Vec::new();
    let runs = observations.runs.iter().filter(|run| run.cut == Some(Cut::PlannedStop));
    let cut = runs.map(|run| (run, attempt_of(observations, run), phases(observations, run)));
    add(&mut lines, "interrupted by a planned stop", cut);
    add(&mut lines, "ran more than once", requests::doubled(observations));
    add(&mut lines, "reported as not run, but ran", requests::false_not_run(observations));
    let crossed = requests::with_body(observations, BodyCheck::Crossed);
    add(&mut lines, "answered with the response to another request", crossed);
    let truncated = requests::with_body(observations, BodyCheck::Truncated);
    add(&mut lines, "answered with an incomplete response", truncated);
    add(
        &mut lines,
        "started after a signal that the host is leaving",
        hosts::work_after_leaving(observations),
    );
    add(&mut lines, "in two pools", hosts::in_two_pools(observations));
    lines
}

/// Returns the caller's attempt that led to a run.
fn attempt_of<'a>(observations: &'a Observations, run: &RunRecord) -> Option<&'a AttemptRecord> {
    observations.attempts.iter().find(|attempt| Some(attempt.attempt) == run.attempt)
}

/// Returns the phases of a run's host with their starts, in milliseconds.
fn phases(observations: &Observations, run: &RunRecord) -> Vec<(u64, HostPhase)> {
    let records = observations.records_of(&run.host);
    records.map(|change| (change.at_ms, change.record.phase)).collect()
}

fn add<I>(lines: &mut Vec<String>, title: &str, cases: I)
where
    I: IntoIterator,
    I::Item: std::fmt::Debug,
{
    lines.extend(cases.into_iter().take(MAX_CASES).map(|case| format!("{title}: {case:?}")));
}
