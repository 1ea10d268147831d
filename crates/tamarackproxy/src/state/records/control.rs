//! Records of the control of one scope.

use serde::{Deserialize, Serialize};

use super::RecentOperations;
use crate::state::ids::{EntryId, Term};

/// Value of `control/<scope>`, bound to a lease of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRecord {
    /// Entry host that holds the control.
    pub holder: EntryId,
    /// Its term.
    pub term: Term,
}

/// Value of `control-term/<scope>`, which outlives the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlTermRecord {
    /// Last term that a candidate has taken.
    pub term: Term,
    /// Ids of the latest writes.
    pub operations: RecentOperations,
}
