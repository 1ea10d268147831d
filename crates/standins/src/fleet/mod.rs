//! Simulation of fleet engines in virtual time, with their store, platform,
//! hosts and seats.

mod checks;
mod deployment;
mod store;
pub mod surges;
mod world;

pub use self::{
    checks::Checks,
    deployment::{Deployment, DeploymentSize, WAVE},
    store::VirtualStore,
    world::{Acknowledgement, FleetSimulation, SimulatedHost, Timing, WriteFault},
};
