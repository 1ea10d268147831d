//! Tests of the plans and loads that the demo derives from the example documents.

use rstest::rstest;

use super::{
    deployment::Plan,
    layout::Layout,
    load::{Window, plans},
    options::Deployment,
};

fn plan_of(deployment: Deployment) -> Plan {
    let layout = Layout::new(Some(16)).expect("needs no free network");
    Plan::new(deployment, layout).expect("the example is valid")
}

/// Guards against example documents from which no run can be built, and against
/// a wave that starts before the callers.
#[rstest]
#[case(Deployment::Kigali, 8)]
#[case(Deployment::Kielce, 6)]
fn examples_make_fifty_hosts_and_a_paused_wave(
    #[case] deployment: Deployment,
    #[case] entries: usize,
) {
    let plan = plan_of(deployment);
    assert_eq!((plan.hosts.len(), plan.entries.len()), (50, entries));
    let (section, body) = plan.wave_start();
    let paused = plan.text.section(&section).expect("has a wave");
    assert!(paused.contains("paused = true") && !body.contains("paused"));
}

/// Guards against services that receive no surge, and against overlapping surges.
#[test]
fn every_service_surges_once_in_turn() {
    let plan = plan_of(Deployment::Kielce);
    let plans = plans(&plan.document, Window { from_ms: 0, to_ms: 10_000 }, None);
    for at_ms in [1_000, 3_000, 5_000, 7_000, 9_000] {
        let loads = plans.iter().flat_map(|plan| &plan.loads);
        let mut surging: Vec<_> = loads
            .filter(|load| load.rate_at(at_ms) > load.per_second)
            .map(|load| load.service.clone())
            .collect();
        surging.dedup();
        surging.sort();
        surging.dedup();
        assert_eq!(surging.len(), 1, "at {at_ms} ms");
    }
}
