//! Observations of a simulation.

use std::collections::BTreeMap;

use tamarackproxy::{
    coordination::{
        configuration::{OperatorCall, Position, PutError},
        seats::SeatsAction,
    },
    state::ids::Term,
};

use super::NodeIndex;

/// Outcome of a put of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PutOutcome {
    /// Time at which it ended, in microseconds.
    pub at_us: u64,
    /// Entry host that received it.
    pub node: NodeIndex,
    pub result: Result<Position, PutError>,
}

/// Observations of one simulation run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Time at which each position was written to the store, in microseconds.
    pub accepted_us: BTreeMap<Position, u64>,
    /// Positions that came into force: time in microseconds, entry host and
    /// position.
    pub in_force: Vec<(u64, NodeIndex, Position)>,
    /// Outcomes of puts.
    pub puts: BTreeMap<OperatorCall, PutOutcome>,
    /// Ended waits: time in microseconds and whether the revision was reached.
    pub waits: BTreeMap<OperatorCall, (u64, bool)>,
    /// Number of times that an entry host returned to an earlier position.
    pub reverts: u64,
    /// Number of alerts that the store was restored.
    pub restored_alerts: u64,
    /// Number of times that two processes used the same seat at once.
    pub shared_seats: u64,
    /// Number of seat acquisitions whose term was not higher than that of the
    /// previous holder.
    pub falling_terms: u64,
    /// Latest term and holder of each seat, by data centre and index.
    pub terms: BTreeMap<(usize, u16), (Term, NodeIndex)>,
    /// Seat actions that the simulation does not carry out, with their times in
    /// microseconds and entry hosts.
    pub seat_actions: Vec<(u64, NodeIndex, SeatsAction)>,
}
