//! Tests of burn rates, windows and alerts.

use super::{
    AlertRule, BadCause, BurnEngine, BurnLedger, BurnReport, BurnSeries, Event, Resolution,
    SAVE_INTERVAL_MS,
};
use crate::{
    protocol::{
        caller::Refusal,
        store::{KeyValue, StoreError, StoreReply, StoreRequest},
    },
    state::{
        clock::ClockReading,
        document::{Document, Urgency},
        ids::{DataCentreId, RecordVersion, ServiceId},
        units::Share,
    },
};

const HOUR_MS: u64 = 3_600_000;
const NOW_MS: u64 = 1_000 * 24 * HOUR_MS;

/// Returns a series with `per_period` events in each 5-minute period of the
/// last `hours`, of which `bad` are bad.
fn series(hours: u64, per_period: u64, bad: u64) -> BurnSeries {
    let mut series = BurnSeries::default();
    for period in 0..hours * 12 {
        let at_ms = NOW_MS - 1 - period * Resolution::FiveMinutes.period_ms();
        for index in 0..per_period {
            let event = if index < bad { Event::Bad(BadCause::Flood) } else { Event::Good };
            series.add_event(at_ms, event);
        }
    }
    series
}

/// Guards against a burn rate of 1 that does not consume exactly the budget of
/// its window.
#[test]
fn burn_rate_of_one_spends_the_budget_exactly() {
    let counts = series(6, 1_000, 1).window(NOW_MS, 6 * HOUR_MS);
    assert!((counts.burn_rate(Share::new(0.999)) - 1.0).abs() < 1e-9);
}

/// Guards against alerts on a short disturbance and against alerts that keep
/// firing after the cause is gone.
#[test]
fn alerts_need_both_windows() {
    let objective = Share::new(0.999);
    let firing = |series: &BurnSeries, now_ms| {
        let alerts = super::Alert::firing(series, objective, now_ms);
        alerts.into_iter().map(|alert| alert.rule).collect::<Vec<AlertRule>>()
    };
    let burning = series(2, 100, 5);
    assert_eq!(firing(&burning, NOW_MS), [AlertRule::Fast, AlertRule::Slow, AlertRule::Creeping]);
    let half_an_hour_later = NOW_MS + HOUR_MS / 2;
    assert!(!firing(&burning, half_an_hour_later).contains(&AlertRule::Fast));
    assert!(firing(&series(6, 1_000, 0), NOW_MS).is_empty());
}

/// Guards against rings that grow without bound: old periods must be dropped.
#[test]
fn rings_keep_their_length() {
    let mut series = BurnSeries::default();
    for hour in 0..24 * 60 {
        series.add_event(NOW_MS + hour * HOUR_MS, Event::Good);
    }
    assert_eq!(series.periods(Resolution::Hour).len(), 72);
    assert_eq!(series.periods(Resolution::Day).len(), 28);
}

/// Guards against counts that are lost or doubled when the ledgers of several
/// seats are merged, whatever the order of their events in time.
#[test]
fn ledgers_of_seats_add_up() {
    let service = ServiceId::new("booking");
    let mut sum = BurnLedger::default();
    for seat in 0..3 {
        let mut ledger = BurnLedger::default();
        let at_ms = NOW_MS - (2 - seat) * HOUR_MS;
        ledger.add_event(at_ms, &service, Urgency::Urgent, Event::Good);
        ledger.add_event(at_ms, &service, Urgency::Bulk, Event::Bad(BadCause::Wave));
        sum.merge(&ledger);
    }
    let counts = sum.total(&service).window(NOW_MS, 6 * HOUR_MS);
    assert_eq!((counts.good, counts.bad_total()), (3, 3));
}

/// Guards against errors of callers that consume the service's budget.
#[test]
fn mistakes_of_callers_do_not_count() {
    assert_eq!(Event::of_refusal(&Refusal::KeyMissing, false), None);
    let no_target = Event::of_refusal(&Refusal::NoTarget, true);
    assert_eq!(no_target, Some(Event::Bad(BadCause::Wave)));
}

#[test]
fn report_lists_the_service_before_its_classes() {
    let document = Document::parse(include_str!("../../../../../examples/kigali.ini"));
    let document = document.expect("the example is valid");
    let mut ledger = BurnLedger::default();
    let service = ServiceId::new("booking");
    ledger.add_event(NOW_MS, &service, Urgency::Urgent, Event::Good);
    ledger.add_event(NOW_MS, &service, Urgency::Bulk, Event::Bad(BadCause::Flood));
    let report = BurnReport::new(&ledger, &document, NOW_MS);
    let classes: Vec<_> = report.rows.iter().map(|row| row.class).collect();
    assert_eq!(classes, [None, Some(Urgency::Urgent), Some(Urgency::Bulk)]);
    assert_eq!(report.rows[0].counts.total(), 2);
}

/// Guards against a new seat holder that starts from zero and then overwrites
/// the counts of the previous holder, and against a lost reply that stops all
/// further writes.
#[test]
fn successor_goes_on_from_the_ledger_in_the_store() {
    let service = ServiceId::new("booking");
    let now = ClockReading::new(0, NOW_MS);
    let mut former = BurnLedger::default();
    former.add_event(NOW_MS, &service, Urgency::Normal, Event::Good);
    let stored = KeyValue {
        key: "burn/a/0".into(),
        value: serde_json::to_vec(&former).expect("encodes").into(),
        version: RecordVersion(7),
    };
    let mut engine = BurnEngine::new(DataCentreId::new("a"));
    engine.add_event(now, &service, Urgency::Normal, Event::Good);
    engine.seat_changed(Some(0));
    let (call, request) = engine.tick(now).expect("reads first");
    assert_eq!(request, StoreRequest::Get { key: "burn/a/0".into() });
    engine.store_replied(now, call, Ok(StoreReply::Value(Some(stored))));
    assert_eq!(engine.ledger().total(&service).window(NOW_MS, HOUR_MS).good, 2);

    let later = now.after_ms(SAVE_INTERVAL_MS);
    let (call, request) = engine.tick(later).expect("writes");
    let is_swap = |request: &StoreRequest, version| matches!(request, StoreRequest::CompareAndSwap { expected, .. } if *expected == version);
    assert!(is_swap(&request, RecordVersion(7)));
    engine.store_replied(later, call, Err(StoreError::Unknown));
    let retry = later.after_ms(SAVE_INTERVAL_MS);
    let (call, _) = engine.tick(retry).expect("writes again");
    let own = KeyValue { key: "burn/a/0".into(), value: "{}".into(), version: RecordVersion(8) };
    engine.store_replied(retry, call, Ok(StoreReply::Conflict(Some(own))));
    let (_, request) = engine.tick(retry.after_ms(SAVE_INTERVAL_MS)).expect("writes again");
    assert!(is_swap(&request, RecordVersion(8)));
}
