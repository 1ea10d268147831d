//! Record of the holder of a seat or of a control scope.

use serde::{Deserialize, Serialize};

use crate::state::ids::{EntryId, OperationId, Term};

/// Value of `seat/<data centre>/<index>` and `control/<scope>`, which are bound
/// to the holder's lease, and of their term keys, which are not.
///
/// The leased key is removed when its lease expires. The term key remains, so
/// that terms grow across holders and the last holder stays known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenureRecord {
    pub holder: EntryId,
    /// IP address and port of the holder's peer listener; empty for scopes.
    pub address: Box<str>,
    /// Term under which it holds the seat or scope.
    pub term: Term,
    /// Whether the holder has released the seat or scope; set in the term key
    /// only.
    pub released: bool,
    /// Id of the acquisition that wrote the record.
    pub operation: OperationId,
    /// CPU capacity of the holder, in thousandths of a core; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub millicores: u32,
}

fn is_zero(millicores: &u32) -> bool {
    *millicores == 0
}
