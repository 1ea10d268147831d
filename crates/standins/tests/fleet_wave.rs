//! A maintenance wave without faults at the present size of the fleet.

use tamarack_standins::fleet::{Deployment, DeploymentSize, FleetSimulation, Timing};
use tamarackproxy::state::records::{WavePhase, WaveRecord};

const TIMING: Timing = Timing { drain_ms: (500, 3_000), reboot_ms: (20_000, 40_000) };
const SEED: u64 = 1;

fn finished(world: &FleetSimulation) -> bool {
    world
        .store
        .record::<WaveRecord>("wave/w1")
        .is_some_and(|wave| wave.phase == WavePhase::Finished)
}

/// Guards against a wave that stalls, exceeds a budget or reboots a host twice.
#[test]
fn wave_maintains_every_host_once() {
    println!("seed {SEED}");
    let deployment = Deployment::new(DeploymentSize::PRESENT);
    let mut world = FleetSimulation::new(deployment, TIMING, 8, SEED);
    assert!(world.run_until(3_600_000, finished));
    assert!(world.checks.hold(), "{:?}", world.checks);
    assert_eq!(world.checks.reboots.len(), world.hosts.len());
    assert!(world.checks.reboots.values().all(|&reboots| reboots == 1));
}
