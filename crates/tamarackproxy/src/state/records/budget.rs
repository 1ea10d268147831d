//! Record of a service's availability budget.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::RecentOperations;
use crate::state::ids::{HostId, OperationId, PoolId, ServiceId, Term, WaveId};

/// Why a host counts as stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ReservationKind {
    /// A maintenance wave stops the host.
    Planned,
    /// The host failed or was lost.
    Failure,
    /// The host moves to another pool.
    Move,
}

/// One host that counts as stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Why it counts as stopped.
    pub kind: ReservationKind,
    /// Id of the whole operation; the reboot call carries it.
    pub operation: OperationId,
    /// Term of the controller that made the reservation.
    pub term: Term,
    /// Wave that stops the host, for [`ReservationKind::Planned`].
    pub wave: Option<WaveId>,
    /// Pool that the host moves to, for [`ReservationKind::Move`].
    pub next_pool: Option<PoolId>,
    /// When it was reserved, in milliseconds since the Unix epoch; only shown
    /// to operators, since reservations do not expire.
    pub since_unix_ms: u64,
}

/// Value of `budget/<service>`.
///
/// The controller removes a reservation when the host runs again or has left
/// the pool; reservations do not expire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRecord {
    pub service: ServiceId,
    /// Pool whose controller writes the record.
    pub pool: PoolId,
    /// Term of the controller that wrote the record last, or of one that took
    /// over and raised the term to fence off previous controllers.
    pub term: Term,
    /// Reservations by host.
    pub reservations: BTreeMap<HostId, Reservation>,
    /// Hosts that left the pool, with the version of the host record that names
    /// their new pool. A controller that knows only an older version of this
    /// record does not count the host as available.
    pub departed: BTreeMap<HostId, u64>,
    /// Ids of the latest writes.
    pub operations: RecentOperations,
}

impl BudgetRecord {
    /// Creates the record of a service without reservations.
    pub fn new(service: ServiceId, pool: PoolId) -> Self {
        Self {
            service,
            pool,
            term: Term::default(),
            reservations: BTreeMap::new(),
            departed: BTreeMap::new(),
            operations: RecentOperations::default(),
        }
    }
}
