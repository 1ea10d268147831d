//! Virtual-time world around fleet engines: store, platform, hosts and seats.

mod checks;
mod deployment;
mod store;
pub mod surges;
mod world;

pub use self::{
    checks::Checks,
    deployment::{Deployment, DeploymentSize, WAVE},
    store::VirtualStore,
    world::{Acknowledgement, FleetSimulation, HostTruth, Timing, WriteFault},
};
