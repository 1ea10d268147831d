//! Record of the holder of a seat or of a control scope.

use serde::{Deserialize, Serialize};

use crate::state::ids::{EntryId, OperationId, Term};

/// Value of `seat/<data centre>/<index>` and `control/<scope>`, which are bound
/// to the holder's lease, and of their term keys, which are not.
///
/// The leased key vanishes with its lease. The term key remains, so terms grow
/// across holders and the last holder stays known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenureRecord {
    /// The holder.
    pub holder: EntryId,
    /// IP number and port of the holder's peer listener; empty for scopes.
    pub address: Box<str>,
    /// Term of the holder.
    pub term: Term,
    /// Whether the holder gave up its tenure; set in the term key only.
    pub released: bool,
    /// Id of the acquisition that wrote the record.
    pub operation: OperationId,
    /// Processors of the holder, in thousandths of a core; 0 if not told.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub millicores: u32,
}

fn is_zero(millicores: &u32) -> bool {
    *millicores == 0
}
