//! Maintenance waves with faults at every write, failing hosts and slow seats.

use rstest::rstest;
use tamarack_standins::fleet::{
    Acknowledgement, Deployment, DeploymentSize, FleetSimulation, Timing, WAVE, WriteFault,
};
use tamarackproxy::{
    coordination::fleet::FleetReport,
    state::{
        document::Document,
        ids::{HostId, WaveId},
        records::{BudgetRecord, HostPhase, HostRecord, WavePhase, WaveRecord},
    },
};

const TIMING: Timing = Timing { drain_ms: (500, 3_000), reboot_ms: (20_000, 40_000) };
const HOUR_MS: u64 = 3_600_000;
/// A deployment in which one wave makes few writes, so that a fault can be
/// injected at each of them.
const SMALL: DeploymentSize =
    DeploymentSize { data_centres: 2, pools: 2, hosts: 16, seats: 2, max_parallel: 2 };

fn finished(world: &FleetSimulation) -> bool {
    world
        .store
        .record::<WaveRecord>("wave/w1")
        .is_some_and(|wave| wave.phase == WavePhase::Finished)
}

fn settled(world: &FleetSimulation) -> bool {
    let released = |key: &str| {
        world.store.record::<BudgetRecord>(key).is_some_and(|known| known.reservations.is_empty())
    };
    finished(world)
        && world.records().values().all(|record| record.phase == HostPhase::Active)
        && world.store.keys("budget/").iter().all(|(key, _)| released(key))
}

fn world_with(seed: u64, edit: impl Fn(&mut Document)) -> FleetSimulation {
    println!("seed {seed}");
    let mut deployment = Deployment::new(SMALL);
    edit(&mut deployment.document);
    FleetSimulation::new(deployment, TIMING, 4, seed)
}

fn writes_of_one_wave() -> u64 {
    let mut world = world_with(1, |_| {});
    assert!(world.run_until(HOUR_MS, settled));
    world.checks.writes
}

fn assert_maintained_once(world: &FleetSimulation, what: &str) {
    assert!(world.checks.hold(), "{what}: {:?}", world.checks);
    assert_eq!(world.checks.reboots.len(), world.hosts.len(), "{what}");
    assert!(
        world.checks.reboots.values().all(|&reboots| reboots == 1),
        "{what}: {:?}",
        world.checks.reboots
    );
}

/// Guards against a fault at any write of a wave after which a reservation is
/// left over, the wave stalls, a budget is exceeded or a host reboots twice.
#[rstest]
#[case::wave_lost_reply(WriteFault::LoseReply)]
#[case::wave_controller_dies(WriteFault::KillWriter)]
#[case::wave_controller_pauses(WriteFault::PauseWriter(40_000))]
#[case::wave_controller_pauses_within_lease(WriteFault::PauseWriter(5_000))]
#[case::wave_delayed_write(WriteFault::DelayWrite(40_000))]
#[case::wave_store_down(WriteFault::StoreDown(30_000))]
fn wave_survives_fault_at_each_write(#[case] fault: WriteFault) {
    for number in 1..=writes_of_one_wave() {
        let mut world = world_with(1, |_| {});
        world.write_fault = Some((number, fault));
        let what = format!("{fault:?} at write {number}");
        assert!(world.run_until(HOUR_MS, settled), "{what}: {:?}", world.reports);
        assert_maintained_once(&world, &what);
    }
}

/// Guards against a host failure between the budget check and the drain that is
/// not counted against the budget: a host fails after each write in turn.
#[test]
fn budget_holds_when_a_host_fails_at_each_write() {
    for number in 1..=writes_of_one_wave() {
        let mut world = world_with(2, |_| {});
        world.run_until(HOUR_MS, move |world| world.checks.writes >= number);
        let host = HostId::new(format!("h{:04}", number % 16));
        world.fail_host(&host);
        let later = world.now_ms() + 300_000;
        world.at(later, move |world| world.repair_host(&host));
        let what = format!("host failure after write {number}");
        assert!(world.run_until(HOUR_MS * 2, settled), "{what}: {:?}", world.reports);
        assert!(world.checks.hold(), "{what}: {:?}", world.checks);
        assert_eq!(world.checks.reboots.len(), world.hosts.len(), "{what}");
    }
}

/// Guards against a drain that starts although a host failure became known
/// between the reservation and the drain.
#[test]
fn budget_holds_when_a_host_fails_visibly_at_each_write() {
    for number in 1..=writes_of_one_wave() {
        let mut world = world_with(2, |_| {});
        let later = HostId::new(format!("h{:04}", number % 16));
        let first = HostId::new(format!("h{:04}", (number + 6) % 16));
        world.visible_failure = Some((number, vec![first, later]));
        let what = format!("visible failures at write {number}");
        world.run_until(HOUR_MS, |_| false);
        let hosts: Vec<HostId> = world.hosts.keys().cloned().collect();
        hosts.iter().for_each(|host| world.repair_host(host));
        assert!(world.run_until(HOUR_MS * 3, settled), "{what}: {:?}", world.reports);
        assert!(world.checks.hold(), "{what}: {:?}", world.checks);
    }
}

/// Guards against planned stops that ignore the headroom already used by the
/// loss of a rack.
#[test]
fn budget_holds_through_a_rack_failure() {
    for at_ms in (30_000..120_000).step_by(7_000) {
        let mut world = world_with(3, |_| {});
        let rack = world.racks().into_values().next().expect("a rack");
        for host in rack {
            let repaired = host.clone();
            world.at(at_ms, move |world| world.fail_host(&host));
            world.at(at_ms + 400_000, move |world| world.repair_host(&repaired));
        }
        assert!(world.run_until(HOUR_MS * 2, settled), "{at_ms}: {:?}", world.reports);
        assert!(world.checks.hold(), "{at_ms}: {:?}", world.checks);
    }
}

/// Guards against reservations that are released by a timeout: a host that does
/// not return after its reboot is reported and keeps its reservation until it is
/// repaired.
#[test]
fn budget_keeps_reservation_of_host_that_does_not_return() {
    let mut world = world_with(4, |_| {});
    let host = HostId::new("h0003");
    world.hosts.get_mut(&host).expect("the host").returns = false;
    world.run_until(HOUR_MS * 3, |_| false);
    let record = world.records()[&host].clone();
    assert_eq!(record.phase, HostPhase::Failed);
    let budget: BudgetRecord =
        world.store.record(&format!("budget/{}", record.pool)).expect("a budget");
    assert!(budget.reservations.contains_key(&host));
    assert!(
        world.reports.iter().any(|(_, r)| *r == FleetReport::NotReturned { host: host.clone() })
    );
    assert!(!finished(&world));
    world.hosts.get_mut(&host).expect("the host").returns = true;
    world.repair_host(&host);
    assert!(world.run_until(HOUR_MS * 5, settled), "{:?}", world.reports);
    assert!(world.checks.hold(), "{:?}", world.checks);
}

/// Guards against a drain that completes before every seat has acknowledged it,
/// or never completes, when the seats acknowledge late.
#[rstest]
#[case::drain_late(Acknowledgement::Late(20_000))]
#[case::drain_prompt(Acknowledgement::Prompt)]
fn drain_waits_for_slow_seats(#[case] acknowledgement: Acknowledgement) {
    let mut world = world_with(5, |_| {});
    for node in 0..4 {
        world.acknowledge(node, acknowledgement);
    }
    assert!(world.run_until(HOUR_MS, settled));
    assert_maintained_once(&world, "slow seats");
}

/// Guards against counting a seat that never acknowledges as drained: no host of
/// its data centre may reboot until the holder dies and the seat becomes vacant.
#[test]
fn drain_waits_for_silent_seat_until_it_is_vacant() {
    let mut world = world_with(6, |_| {});
    world.acknowledge(3, Acknowledgement::Never);
    let data_centre = world.data_centre(3).clone();
    world.run_until(HOUR_MS, |_| false);
    let rebooted_there = |world: &FleetSimulation| {
        let there = |host: &HostId| world.records()[host].data_centre == data_centre;
        world.checks.reboots.keys().filter(|host| there(host)).count()
    };
    assert_eq!(rebooted_there(&world), 0);
    world.kill(3);
    assert!(world.run_until(HOUR_MS * 2, settled), "{:?}", world.reports);
    assert_maintained_once(&world, "silent seat");
}

/// Guards against stops in a partitioned data centre, which cannot acknowledge
/// them, and against a wave that waits for it instead of continuing elsewhere.
#[test]
fn wave_skips_partitioned_data_centre_until_it_is_reachable() {
    let mut world = world_with(7, |_| {});
    let data_centre = world.data_centre(1).clone();
    let cut = data_centre.clone();
    world.at(45_000, move |world| {
        world.partitioned.insert(cut);
    });
    world.run_until(HOUR_MS, |_| false);
    let there = |record: &&HostRecord| record.data_centre == data_centre;
    let draining = |record: &&HostRecord| record.phase == HostPhase::Draining;
    assert_eq!(world.records().values().filter(there).filter(draining).count(), 0);
    let elsewhere = world.records().values().filter(|record| !there(record));
    for record in elsewhere {
        assert!(world.checks.reboots.contains_key(&record.host), "{}", record.host);
    }
    world.end_partition(&data_centre);
    assert!(world.run_until(HOUR_MS * 2, settled), "{:?}", world.reports);
    assert!(world.checks.hold(), "{:?}", world.checks);
}

/// Guards against a paused wave that abandons hosts whose maintenance has begun,
/// or begins the maintenance of further hosts.
#[test]
fn wave_pauses_and_resumes() {
    let mut world = world_with(8, |_| {});
    world.run_until(60_000, |_| false);
    let mut document = world.document().clone();
    document.waves.get_mut(&WaveId::new(WAVE)).expect("the wave").paused = true;
    world.set_document(document.clone());
    world.run_until(300_000, |_| false);
    let rebooted = world.checks.reboots.len();
    assert!(world.records().values().all(|record| record.phase == HostPhase::Active));
    world.run_until(600_000, |_| false);
    assert_eq!(world.checks.reboots.len(), rebooted);
    document.waves.get_mut(&WaveId::new(WAVE)).expect("the wave").paused = false;
    world.set_document(document);
    assert!(world.run_until(HOUR_MS, settled));
    assert_maintained_once(&world, "pause");
}

/// Guards against a wave that continues while hosts fail one after another, and
/// against one that stays paused after the failed hosts were repaired.
#[test]
fn wave_pauses_after_failures_and_resumes_when_they_were_seen() {
    let mut world = world_with(9, |document| {
        let wave = document.waves.get_mut(&WaveId::new(WAVE)).expect("the wave");
        wave.pause_after_failures = 2;
    });
    for host in world.hosts.values_mut() {
        host.returns = false;
    }
    world.run_until(HOUR_MS * 2, |_| false);
    let wave: WaveRecord = world.store.record("wave/w1").expect("the wave");
    assert_eq!(wave.phase, WavePhase::PausedByFailures);
    assert!(world.checks.reboots.len() <= 3, "{:?}", world.checks.reboots);
    assert!(
        world.reports.iter().any(|(_, report)| matches!(report, FleetReport::WavePaused { .. }))
    );
    let failed: Vec<HostId> = world.hosts.keys().cloned().collect();
    for host in failed {
        world.hosts.get_mut(&host).expect("the host").returns = true;
        world.repair_host(&host);
    }
    assert!(world.run_until(HOUR_MS * 4, settled), "{:?}", world.reports);
}
