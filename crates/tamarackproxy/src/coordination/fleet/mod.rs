//! Host records, availability budgets, maintenance waves and pool moves.

mod events;

pub use self::events::{FleetAction, FleetEvent, FleetMessage, FleetReport, ServiceDemand};
