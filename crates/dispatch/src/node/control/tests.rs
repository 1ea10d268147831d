//! Tests of the control of a scope by one process.

use tamarackproxy::{
    protocol::store::{StoreReply, StoreRequest},
    state::ids::LeaseId,
};

use super::{
    super::fake::{LeaseStore, Workers, block_on, shared},
    *,
};

/// Guards against a pool that has a holder but no controller: after an
/// unexpected error in the controller, its lease would be renewed for good.
#[test]
fn scope_is_given_up_after_its_controller_failed() {
    block_on(async {
        let mut control = ScopeControl::new(shared(Workers::default()), Scope::Upkeep);
        let tenure = Tenure {
            term: Term(1),
            lease: LeaseId(1),
            asked_at_ms: 0,
            key_version: RecordVersion(1),
        };
        let failing = tokio::task::spawn_local(async { panic!("an unexpected error") });
        control.controller = Some((tenure, failing));
        control.shared.held.send_modify(|held| held.push(control.name.clone()));
        tokio::task::yield_now().await;
        control.lose_after_failure(clock::read());
        assert!(control.controller.is_none());
        assert!(control.shared.held.borrow().is_empty());
    });
}

/// Guards against a scope that is taken up again under its old term when the
/// store answers after a long outage: a new controller would know nothing of the
/// starts of that term, and number its own alike.
#[test]
fn term_that_has_run_out_is_not_taken_up_again() {
    block_on(async {
        let mut control = ScopeControl::new(shared(Workers::default()), Scope::Upkeep);
        control.lease = new_lease(&control.shared, &control.scope);
        let mut store = LeaseStore::default();
        let read = clock::read();
        let acquired = ClockReading::new(read.monotonic_ms - 20_000, read.unix_ms);
        let mut request = control.lease.tick(acquired);
        while let Some(call) = request {
            let reply = store.call(acquired.monotonic_ms, &call);
            request = control.lease.on_store_reply(acquired, Ok(reply));
        }
        let tenure = control.lease.acting(acquired).expect("the scope was acquired");
        control.controller = Some((tenure, tokio::task::spawn_local(std::future::pending())));
        // The renewal is under way when the outage ends; the lease was paused.
        let renewal = control.lease.tick(read).expect("a renewal is due");
        control.sync_controller();
        assert!(control.controller.is_none());
        let reply = StoreReply::Lease { lease: tenure.lease, ttl_ms: 3_000 };
        assert!(matches!(renewal, StoreRequest::KeepAlive { .. }));
        assert_eq!(control.lease.on_store_reply(read, Ok(reply)), None);
        assert_eq!(control.lease.acting(read), None, "the old term is held again");
    });
}
