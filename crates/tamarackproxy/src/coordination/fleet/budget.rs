//! Availability budgets: limits and changes of budget records.

use super::{racks::RackCounts, view::RackKey};
use crate::state::{
    document::{BudgetSection, FailureReserve},
    ids::{HostId, OperationId, PoolId, Term, WaveId},
    records::{BudgetRecord, Reservation, ReservationKind},
};

/// Maximum number of departed hosts in a budget record. An entry is needed
/// only until every candidate has read the newer host record, which takes
/// seconds.
const DEPARTED_MAX: usize = 64;

/// A change of one budget record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum BudgetChange {
    /// Counts the host as stopped if the budget allows it. Failures are always
    /// counted, because the host is already unavailable.
    Reserve {
        host: HostId,
        rack: RackKey,
        kind: ReservationKind,
        operation: OperationId,
        wave: Option<WaveId>,
        next_pool: Option<PoolId>,
    },
    /// Removes the reservation of a host that is back in service, or that left
    /// the pool; `departed` is the version of the record that names its new
    /// pool.
    Release { host: HostId, departed: Option<u64> },
}

/// Limits of one service's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BudgetLimits {
    pub min_available: u32,
    pub max_stopped: u32,
    pub failure_reserve: FailureReserve,
}

impl BudgetLimits {
    /// Reads the limits from the document; a service without a budget section
    /// is unlimited.
    pub fn new(section: Option<&BudgetSection>) -> Self {
        match section {
            Some(section) => Self {
                min_available: section.min_available,
                max_stopped: section.max_stopped,
                failure_reserve: section.failure_reserve,
            },
            None => Self {
                min_available: 0,
                max_stopped: u32::MAX,
                failure_reserve: FailureReserve::None,
            },
        }
    }

    /// Returns whether the available instances, counted by rack, meet the
    /// minimum even after the reserved failure. If they do not, stops that have
    /// not passed the drain are cancelled.
    pub fn are_met(&self, available: &RackCounts) -> bool {
        let (total, largest) = (available.total(), available.largest());
        total >= self.min_available.saturating_add(self.reserved_for_failure(largest))
    }

    fn reserved_for_failure(&self, largest_rack: u32) -> u32 {
        match self.failure_reserve {
            FailureReserve::None => 0,
            FailureReserve::Rack => largest_rack,
        }
    }

    /// Returns whether one more host in `rack` may be stopped. `stopped` is the
    /// number of hosts already stopped, and `available` counts the remaining
    /// instances by rack.
    pub fn allows_stop(&self, available: &RackCounts, stopped: usize, rack: &RackKey) -> bool {
        if available.in_rack(rack) == 0 || stopped >= self.max_stopped as usize {
            return false;
        }
        let total = available.total() - 1;
        let largest = available.largest_without_one_of(rack);
        total >= self.min_available.saturating_add(self.reserved_for_failure(largest))
    }
}

/// Applies changes to a budget; returns whether anything changed.
///
/// `available` counts the instances that are available under `record` and is
/// updated with each granted reservation.
pub(super) fn apply(
    record: &mut BudgetRecord,
    changes: &[BudgetChange],
    limits: BudgetLimits,
    available: &mut RackCounts,
    term: Term,
    unix_ms: u64,
) -> bool {
    let mut changed = false;
    for change in changes {
        changed |= match change {
            BudgetChange::Reserve { host, rack, kind, operation, wave, next_pool } => {
                let known = record.reservations.contains_key(host);
                let granted = *kind == ReservationKind::Failure
                    || limits.allows_stop(available, record.reservations.len(), rack);
                if known || !granted {
                    continue;
                }
                available.remove(rack);
                let reservation = Reservation {
                    kind: *kind,
                    operation: *operation,
                    term,
                    wave: wave.clone(),
                    next_pool: next_pool.clone(),
                    since_unix_ms: unix_ms,
                };
                record.reservations.insert(host.clone(), reservation);
                true
            }
            BudgetChange::Release { host, departed } => {
                let known = record.reservations.remove(host).is_some();
                if let (true, Some(version)) = (known, departed) {
                    record_departure(record, host, *version);
                }
                known
            }
        };
    }
    changed
}

/// Adds a departed host and drops the oldest entry above the limit.
fn record_departure(record: &mut BudgetRecord, host: &HostId, version: u64) {
    record.departed.insert(host.clone(), version);
    if record.departed.len() > DEPARTED_MAX {
        let oldest = record.departed.iter().min_by_key(|&(_, &version)| version);
        if let Some(host) = oldest.map(|(host, _)| host.clone()) {
            record.departed.remove(&host);
        }
    }
}
