//! Records in the platform's store, one type for each kind.
//!
//! Every record is a JSON value under one key and is changed by a
//! compare-and-swap on the key's version.

mod budget;
mod control;
mod document;
mod host;
mod tenure;
mod wave;

pub use self::{
    budget::{BudgetRecord, Reservation, ReservationKind},
    control::{ControlRecord, ControlTermRecord},
    document::{HeadRecord, HistoryRecord, RevisionChange, SectionChange},
    host::{HostPhase, HostRecord},
    tenure::TenureRecord,
    wave::{WaveFailure, WavePhase, WavePoolRecord, WaveRecord, WaveStop},
};

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::state::ids::OperationId;

/// Number of recent operation ids that a record keeps.
///
/// A writer whose reply was lost reads the record back within seconds to see
/// whether its write took effect; 16 ids cover the writes that one record can
/// get in that time.
pub const RECENT_OPERATIONS: usize = 16;

/// Operation ids of the latest writes to a record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecentOperations(VecDeque<OperationId>);

impl RecentOperations {
    /// Adds the id of a write and drops the oldest beyond the limit.
    pub fn push(&mut self, operation: OperationId) {
        if self.0.len() == RECENT_OPERATIONS {
            self.0.pop_front();
        }
        self.0.push_back(operation);
    }

    /// Returns whether the write with this id is among the latest.
    pub fn contains(&self, operation: OperationId) -> bool {
        self.0.contains(&operation)
    }
}
