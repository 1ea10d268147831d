//! What a simulation saw.

use std::collections::BTreeMap;

use tamarackproxy::{
    coordination::{
        configuration::{OperatorCall, Position, PutError},
        seats::SeatsAction,
    },
    state::ids::Term,
};

use super::NodeIndex;

/// End of a put.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PutOutcome {
    /// When it ended, in microseconds.
    pub at_us: u64,
    /// Node that accepted it.
    pub node: NodeIndex,
    /// Its result.
    pub result: Result<Position, PutError>,
}

/// Record of a run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// When each position took effect in the store, in microseconds.
    pub accepted_us: BTreeMap<Position, u64>,
    /// When each node had which position in force, in microseconds.
    pub in_force: Vec<(u64, NodeIndex, Position)>,
    /// Ended puts.
    pub puts: BTreeMap<OperatorCall, PutOutcome>,
    /// Ended waits, with whether the revision was reached.
    pub waits: BTreeMap<OperatorCall, (u64, bool)>,
    /// Positions that went back on a node.
    pub reverts: u64,
    /// Alerts of a restored store.
    pub restored_alerts: u64,
    /// Times at which two processes used the same seat.
    pub shared_seats: u64,
    /// Terms of a seat that did not grow from holder to holder.
    pub falling_terms: u64,
    /// Highest term of each seat.
    pub terms: BTreeMap<(usize, u16), (Term, NodeIndex)>,
    /// Seat actions other than sends and calls, in microseconds.
    pub seat_actions: Vec<(u64, NodeIndex, SeatsAction)>,
}
