//! Moves of hosts between pools: faults at every write, silent seats, failing
//! hosts and changing demand.

use rstest::rstest;
use tamarack_standins::fleet::{
    Acknowledgement, Deployment, DeploymentSize, FleetSimulation, Timing, WAVE, WriteFault,
};
use tamarackproxy::{
    coordination::fleet::ServiceDemand,
    state::{
        ids::{DataCentreId, HostId, PoolId, ServiceId, WaveId},
        records::{BudgetRecord, HostPhase},
    },
};

const TIMING: Timing = Timing { drain_ms: (500, 3_000), reboot_ms: (20_000, 40_000) };
const HOUR_MS: u64 = 3_600_000;
const SMALL: DeploymentSize =
    DeploymentSize { data_centres: 2, pools: 2, hosts: 16, seats: 2, max_parallel: 2 };
/// Pool whose demand changes.
const POOL: &str = "p00";
/// Pool that lends and receives hosts.
const SPARE: &str = "p01";

fn demand(service: &str, in_flight: u32, queued: u32) -> ServiceDemand {
    ServiceDemand {
        service: ServiceId::new(service),
        data_centre: DataCentreId::new("dc00"),
        in_flight,
        queued,
        service_ms: 500,
    }
}

/// Creates a simulation with low demand and a paused maintenance wave.
fn quiet_world(seed: u64) -> FleetSimulation {
    println!("seed {seed}");
    let mut deployment = Deployment::new(SMALL);
    deployment.document.waves.get_mut(&WaveId::new(WAVE)).expect("the wave").paused = true;
    let mut world = FleetSimulation::new(deployment, TIMING, 4, seed);
    world.demand = vec![demand(POOL, 2, 0)];
    world
}

fn size_of(world: &FleetSimulation, pool: &str) -> usize {
    let pool = PoolId::new(pool);
    world.records().values().filter(|record| record.pool == pool).count()
}

fn settled(world: &FleetSimulation) -> bool {
    let released = |key: &str| {
        world.store.record::<BudgetRecord>(key).is_some_and(|known| known.reservations.is_empty())
    };
    world.records().values().all(|record| record.phase == HostPhase::Active)
        && world.store.keys("budget/").iter().all(|(key, _)| released(key))
}

/// The budget of the pool allows two of its eight hosts to leave: six remain,
/// and four after the loss of a rack with two of them.
fn moved(world: &FleetSimulation) -> bool {
    size_of(world, POOL) == 6 && size_of(world, SPARE) == 10 && settled(world)
}

/// Guards against a fault at any write of a move after which the host is in two
/// pools or in none, a reservation is left over, or the move stalls.
#[rstest]
#[case::one_pool_lost_reply(WriteFault::LoseReply)]
#[case::one_pool_controller_dies(WriteFault::KillWriter)]
#[case::one_pool_controller_pauses(WriteFault::PauseWriter(40_000))]
#[case::one_pool_delayed_write(WriteFault::DelayWrite(40_000))]
#[case::one_pool_store_down(WriteFault::StoreDown(30_000))]
fn moves_survive_fault_at_each_write(#[case] fault: WriteFault) {
    let mut without_fault = quiet_world(1);
    assert!(without_fault.run_until(2 * HOUR_MS, moved));
    let first = 16;
    for number in first..=without_fault.checks.writes {
        let mut world = quiet_world(1);
        world.write_fault = Some((number, fault));
        let what = format!("{fault:?} at write {number}");
        assert!(world.run_until(3 * HOUR_MS, moved), "{what}: {:?}", world.records());
        assert!(world.checks.hold(), "{what}: {:?}", world.checks);
        assert_eq!(world.checks.transfers, 2, "{what}");
    }
}

/// Guards against a move that completes before every seat has acknowledged it.
#[test]
fn one_pool_waits_for_silent_seat() {
    let mut world = quiet_world(2);
    for node in 0..4 {
        world.acknowledge(node, Acknowledgement::Never);
    }
    world.run_until(2 * HOUR_MS, |_| false);
    assert_eq!(world.checks.transfers, 0);
    for node in 0..4 {
        world.acknowledge(node, Acknowledgement::Late(5_000));
    }
    assert!(world.run_until(4 * HOUR_MS, moved), "{:?}", world.records());
    assert!(world.checks.hold(), "{:?}", world.checks);
}

/// Guards against a host that fails during its move and is still added to the
/// new pool.
#[test]
fn moves_end_when_the_host_fails() {
    let mut world = quiet_world(3);
    let moving = |world: &FleetSimulation| {
        world.records().values().any(|record| record.phase == HostPhase::Moving)
    };
    for node in 0..4 {
        world.acknowledge(node, Acknowledgement::Late(90_000));
    }
    assert!(world.run_until(2 * HOUR_MS, moving));
    let host: HostId = world
        .records()
        .values()
        .find(|record| record.phase == HostPhase::Moving)
        .map(|record| record.host.clone())
        .expect("a moving host");
    world.fail_host(&host);
    let failed = host.clone();
    assert!(world.run_until(3 * HOUR_MS, move |world| {
        world.records()[&failed].phase == HostPhase::Failed
    }));
    assert_eq!(world.records()[&host].pool, PoolId::new(POOL));
    assert!(world.checks.hold(), "{:?}", world.checks);
}

/// Guards against hosts that oscillate between pools: under periodic surges the
/// pool must keep its size after the first adjustment.
#[test]
fn moves_stop_once_the_size_is_found() {
    let mut world = quiet_world(4);
    for second in 0..4 * 3_600 {
        let surges = second % 30 < 6;
        world.at(second * 1_000, move |world| {
            world.demand = vec![demand(POOL, if surges { 20 } else { 1 }, 0)];
        });
    }
    world.run_until(4 * HOUR_MS, |_| false);
    assert_eq!(world.checks.transfers, 2);
    assert!(world.checks.hold(), "{:?}", world.checks);
}

/// Guards against a pool that stays too small for its surges although the spare
/// pool has hosts to lend.
#[test]
fn moves_lend_hosts_when_requests_would_be_late() {
    let mut world = quiet_world(5);
    for second in 0..2 * 3_600 {
        let queued = if second % 30 < 15 { (second % 30) as u32 * 150 } else { 0 };
        let in_flight = if second % 30 < 25 { 64 } else { 10 };
        world.at(second * 1_000, move |world| {
            world.demand = vec![demand(POOL, in_flight, queued)];
        });
    }
    world.run_until(2 * HOUR_MS, |_| false);
    assert!(size_of(&world, POOL) > 8, "{}", size_of(&world, POOL));
    assert!(size_of(&world, SPARE) >= 4);
    assert!(world.checks.hold(), "{:?}", world.checks);
}
