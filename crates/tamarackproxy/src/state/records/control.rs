//! Records of the control of a scope.

use serde::{Deserialize, Serialize};

use super::RecentOperations;
use crate::state::ids::{EntryId, Term};

/// Value of `control/<scope>`; the key is bound to a lease of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRecord {
    /// Entry host that controls the scope.
    pub holder: EntryId,
    pub term: Term,
}

/// Value of `control-term/<scope>`; the key is not bound to the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlTermRecord {
    /// Latest term that a candidate has claimed.
    pub term: Term,
    /// Ids of the latest writes.
    pub operations: RecentOperations,
}
