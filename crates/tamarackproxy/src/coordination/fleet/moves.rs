//! Moves of hosts between pools.

use super::{
    budget::BudgetChange, calls::HostChange, engine::FleetEngine, reconcile::Facts,
    reconcile::Wants,
};
use crate::state::{
    document::Document,
    ids::{PoolId, Term},
    records::{HostPhase, ReservationKind},
};

impl FleetEngine {
    /// Reserves the missing budgets of a move, then sets the host to drain;
    /// gives the move up if a budget does not allow it.
    pub(super) fn begin_move(
        &mut self,
        document: &Document,
        facts: &Facts,
        next_pool: PoolId,
        term: Term,
        wants: &mut Wants,
    ) {
        let possible = document.pools.contains_key(&next_pool) && next_pool != facts.record.pool;
        if possible && facts.is_reserved() && self.budgets_hold(&facts.record.pool) {
            let change = HostChange::Phase {
                from: HostPhase::Active,
                to: HostPhase::Moving,
                next_pool: Some(next_pool),
            };
            wants.host(facts.host(), change);
        } else if let (true, true, Some(operation)) =
            (possible && !facts.is_reserved(), self.budgets_allow(facts), facts.operation())
        {
            for service in facts.unreserved() {
                let change = BudgetChange::Reserve {
                    host: facts.host().clone(),
                    rack: facts.rack(),
                    kind: ReservationKind::Move,
                    operation,
                    wave: None,
                    next_pool: Some(next_pool.clone()),
                };
                wants.budget(service, change);
            }
        } else {
            self.release(facts, term, wants);
        }
    }
}
