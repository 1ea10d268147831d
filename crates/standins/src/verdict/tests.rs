//! Each test adds one violation to a clean run and checks that exactly its
//! figure counts it, as a figure that stays 0 would hide the fault.

use tamarackproxy::{
    protocol::caller::Outcome,
    state::{
        document::Urgency,
        ids::{DataCentreId, EntryId, HostId, PoolId, RackId, ServiceId, Term},
        records::{HostPhase, HostRecord, RecentOperations},
    },
};

use super::{
    AcceptedPut, EntryOutage, HeadChange, HostRecordChange, Observations, ServiceRule, Sighting,
    Verdict,
};
use crate::{
    caller::{AttemptEnd, AttemptRecord},
    platform::{HostEvent, HostEventKind},
    target::{BodyCheck, LeavingSign, RunRecord},
};

const KEY: &str = "key";

fn response(outcome: Outcome, body: Option<BodyCheck>) -> AttemptEnd {
    AttemptEnd::Response { status: 200, outcome: Some(outcome), body }
}

fn attempt(number: u64, end: AttemptEnd) -> AttemptRecord {
    AttemptRecord {
        caller: "rider-app".into(),
        service: ServiceId::new("booking"),
        urgency: Urgency::Normal,
        request: 1,
        attempt: number,
        key: Some(KEY.into()),
        started_ms: 1_000,
        deadline_ms: 500,
        ended_ms: Some(1_100),
        end,
    }
}

fn run(host: &str, started_ms: u64) -> RunRecord {
    RunRecord {
        service: ServiceId::new("booking"),
        host: HostId::new(host),
        caller: "rider-app".into(),
        request: 1,
        attempt: Some(0),
        key: Some(KEY.into()),
        repeatable: false,
        started_ms,
        ended_ms: Some(started_ms + 10),
        cut: None,
    }
}

fn record(host: &str, at_ms: u64, pool: &str, phase: HostPhase) -> HostRecordChange {
    let record = HostRecord {
        host: HostId::new(host),
        data_centre: DataCentreId::new("a"),
        rack: RackId::new("a-1"),
        address: "127.0.0.1".into(),
        pool: PoolId::new(pool),
        next_pool: None,
        phase,
        term: Term(1),
        phase_since_unix_ms: 0,
        operations: RecentOperations::default(),
    };
    HostRecordChange { at_ms, record }
}

fn event(host: &str, at_ms: u64, kind: HostEventKind) -> HostEvent {
    HostEvent { host: HostId::new(host), at_ms, kind }
}

fn put(at_ms: u64, revision: u64, limit: u32) -> AcceptedPut {
    AcceptedPut {
        at_ms,
        position: (1, revision),
        section: "service booking".into(),
        line: format!("queue_limit = {limit}").into(),
    }
}

fn sighting(at_ms: u64, revision: u64) -> Sighting {
    Sighting { entry: EntryId::new("a-1"), at_ms, position: (1, revision), ready: true }
}

/// Returns a run without violations: one request is answered, one host is
/// maintained and one put is accepted.
fn clean() -> Observations {
    Observations {
        attempts: vec![attempt(0, response(Outcome::Answered, Some(BodyCheck::Own)))],
        runs: vec![run("h1", 1_050)],
        host_records: vec![
            record("h1", 0, "booking", HostPhase::Active),
            record("h2", 0, "booking", HostPhase::Active),
            record("h3", 0, "office", HostPhase::Active),
            record("h2", 2_000, "booking", HostPhase::Draining),
            record("h2", 2_500, "booking", HostPhase::Rebooting),
            record("h2", 4_000, "booking", HostPhase::Active),
        ],
        host_events: vec![
            event("h2", 2_600, HostEventKind::Rebooted { in_flight: 0, tasks: 0 }),
            event("h2", 3_600, HostEventKind::CameBack),
        ],
        services: vec![ServiceRule {
            service: ServiceId::new("booking"),
            pool: PoolId::new("booking"),
            min_available: 1,
        }],
        puts: vec![put(5_000, 2, 900)],
        sightings: vec![sighting(4_000, 1), sighting(5_200, 2)],
        final_text: "[service booking]\nqueue_limit = 900\n\n[service office]\n".into(),
        until_ms: 20_000,
        ..Observations::default()
    }
}

fn violated(observations: &Observations) -> Vec<&'static str> {
    Verdict::of(observations).broken().into_iter().map(|(name, _)| name).collect()
}

/// Guards against figures that count correct behaviour.
#[test]
fn clean_run_violates_nothing() {
    let verdict = Verdict::of(&clean());
    assert_eq!(verdict.broken(), []);
    assert_eq!((verdict.requests.requests, verdict.requests.answered), (1, 1));
    assert_eq!(verdict.hosts.hosts_maintained, 1);
    assert_eq!(verdict.configuration.config_in_force_max_ms, 200);
}

#[test]
fn body_of_another_request_is_crossed() {
    let mut seen = clean();
    seen.attempts[0].end = response(Outcome::Answered, Some(BodyCheck::Crossed));
    assert_eq!(violated(&seen), ["crossed"]);
}

#[test]
fn partial_body_is_truncated() {
    let mut seen = clean();
    seen.attempts[0].end = response(Outcome::Answered, Some(BodyCheck::Truncated));
    assert_eq!(violated(&seen), ["truncated"]);
}

#[test]
fn second_run_of_a_key_is_doubled() {
    let mut seen = clean();
    seen.runs.push(run("h2", 1_060));
    assert_eq!(violated(&seen), ["doubled"]);
}

#[test]
fn run_of_an_attempt_reported_as_not_run_is_false() {
    let mut seen = clean();
    seen.attempts[0].end = response(Outcome::NotRun, None);
    assert_eq!(violated(&seen), ["false_not_run"]);
}

#[test]
fn not_run_after_an_unknown_attempt_that_ran_is_counted_apart() {
    let mut seen = clean();
    seen.attempts[0].end = response(Outcome::Unknown, None);
    seen.attempts.push(attempt(1, response(Outcome::NotRun, None)));
    assert_eq!(violated(&seen), [] as [&str; 0]);
    let requests = Verdict::of(&seen).requests;
    assert_eq!((requests.not_run_after_run, requests.unknown, requests.not_run), (1, 1, 0));
}

#[test]
fn answer_after_the_deadline_is_late() {
    let mut seen = clean();
    seen.attempts[0].ended_ms = Some(1_501);
    assert_eq!(Verdict::of(&seen).requests.late, 1);
}

#[test]
fn overrun_is_counted() {
    let mut seen = clean();
    seen.slot_overruns = 1;
    assert_eq!(violated(&seen), ["slot_overruns"]);
}

#[test]
fn planned_stop_below_the_budget_is_a_violation() {
    let mut seen = clean();
    seen.services[0].min_available = 2;
    assert_eq!(violated(&seen), ["budget_violations"]);
}

/// A failure long before a planned stop reduces the budget; a shortage due to
/// a failure just before or after the stop is not a violation.
#[test]
fn only_known_failures_count_against_a_planned_stop() {
    let mut seen = clean();
    for change in &mut seen.host_records[3..] {
        change.at_ms += 10_000;
    }
    for event in &mut seen.host_events {
        event.at_ms += 10_000;
    }
    seen.host_events.insert(0, event("h1", 2_000, HostEventKind::Died));
    assert_eq!(violated(&seen), ["budget_violations"]);
    seen.host_events[0].at_ms = 11_000;
    assert_eq!(violated(&seen), [] as [&str; 0]);
    seen.host_events[0].at_ms = 12_100;
    assert_eq!(violated(&seen), [] as [&str; 0]);
}

#[test]
fn reboot_of_an_active_host_counts_against_the_budget() {
    let mut seen = clean();
    seen.services[0].min_available = 2;
    seen.host_records.truncate(3);
    assert_eq!(violated(&seen), ["budget_violations"]);
}

#[test]
fn run_for_a_service_of_another_pool_is_in_two_pools() {
    let mut seen = clean();
    seen.runs[0].host = HostId::new("h3");
    assert_eq!(violated(&seen), ["hosts_in_two_pools"]);
}

#[test]
fn pool_change_without_drain_is_in_two_pools() {
    let mut seen = clean();
    seen.host_records.push(record("h1", 6_000, "office", HostPhase::Active));
    assert_eq!(violated(&seen), ["hosts_in_two_pools"]);
    seen.host_records.insert(6, record("h1", 5_900, "booking", HostPhase::Moving));
    assert_eq!(violated(&seen), [] as [&str; 0]);
}

#[test]
fn request_interrupted_by_a_planned_reboot_is_counted() {
    let mut seen = clean();
    seen.host_events[0].kind = HostEventKind::Rebooted { in_flight: 2, tasks: 0 };
    assert_eq!(violated(&seen), ["cut_off_in_flight"]);
}

#[test]
fn work_on_a_draining_host_is_counted_after_two_seconds() {
    let mut seen = clean();
    seen.host_records[5].at_ms = 9_000;
    seen.runs[0] = run("h2", 4_000);
    assert_eq!(violated(&seen), [] as [&str; 0]);
    seen.runs[0] = run("h2", 4_001);
    assert_eq!(violated(&seen), ["work_after_leaving"]);
}

#[test]
fn work_after_an_announcement_or_a_signal_of_the_target_is_counted() {
    let mut seen = clean();
    seen.runs[0] = run("h1", 13_000);
    let announced = event("h1", 9_000, HostEventKind::Leaving { visible_ms: 10_000 });
    seen.host_events.push(announced);
    assert_eq!(violated(&seen), ["work_after_leaving"]);
    seen.host_events.push(event("h1", 12_000, HostEventKind::Stays));
    assert_eq!(violated(&seen), [] as [&str; 0]);
    let sign = LeavingSign { host: HostId::new("h1"), from_ms: 10_000, to_ms: None };
    seen.leaving_signals.push(sign);
    assert_eq!(violated(&seen), ["work_after_leaving"]);
}

#[test]
fn late_and_missing_configuration_is_reported_unless_the_entry_was_out() {
    let mut seen = clean();
    seen.sightings[1].at_ms = 11_001;
    assert_eq!(violated(&seen), ["config_in_force_max_ms"]);
    seen.sightings.truncate(1);
    assert_eq!(Verdict::of(&seen).configuration.config_in_force_max_ms, 15_000);
    let mut outage = EntryOutage { entry: EntryId::new("a-1"), from_ms: 4_500, to_ms: None };
    seen.outages.push(outage.clone());
    assert_eq!(violated(&seen), [] as [&str; 0]);
    outage.to_ms = Some(15_000);
    seen.outages[0] = outage;
    assert_eq!(Verdict::of(&seen).configuration.config_in_force_max_ms, 5_000);
}

#[test]
fn regressions_of_entries_and_document_are_reverts() {
    let mut seen = clean();
    seen.sightings.push(sighting(6_000, 1));
    assert_eq!(violated(&seen), ["config_reverts"]);
    let mut seen = clean();
    let head = |at_ms, revision| HeadChange { at_ms, position: (1, revision) };
    seen.heads = vec![head(0, 1), head(1, 2), head(2, 1)];
    assert_eq!(violated(&seen), ["config_reverts"]);
    seen.restores = 1;
    assert_eq!(violated(&seen), [] as [&str; 0]);
}

#[test]
fn accepted_put_that_is_missing_in_the_end_is_a_revert() {
    let mut seen = clean();
    seen.final_text = "[service booking]\nqueue_limit = 1000\n\n[service office]\n".into();
    assert_eq!(violated(&seen), ["config_reverts"]);
    seen.final_text = "[service booking]\n\n[service office]\nqueue_limit = 900\n".into();
    assert_eq!(violated(&seen), ["config_reverts"]);
    let mut other = put(5_500, 0, 1_000);
    seen.final_text = "[service booking]\nqueue_limit = 1000\n".into();
    seen.open_puts.push(other.clone());
    assert_eq!(violated(&seen), [] as [&str; 0]);
    other.section = "service office".into();
    seen.open_puts = vec![other];
    assert_eq!(violated(&seen), ["config_reverts"]);
}
