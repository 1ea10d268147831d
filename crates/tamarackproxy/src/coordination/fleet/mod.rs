//! Host records, availability budgets, maintenance waves and pool moves.

mod adopt;
mod backoff;
mod budget;
mod calls;
pub mod control;
pub mod demand;
mod drain;
mod engine;
mod events;
mod explain;
mod moves;
mod plan;
mod racks;
mod reconcile;
mod steps;
mod view;
mod wave;
mod writes;

pub use self::{
    engine::{FleetCounts, FleetEngine},
    events::{FleetAction, FleetEvent, FleetMessage, FleetReport, ServiceDemand},
};

#[cfg(test)]
mod tests;
