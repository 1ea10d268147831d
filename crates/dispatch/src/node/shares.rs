//! Shares of client accounts' limits that a pool's controller keeps: connects
//! the share engine to the store, the configuration and the pool's engine.

use std::rc::Rc;

use tamarackproxy::state::ids::{AccountId, PoolId};

use super::{
    clock,
    keys::{Fence, SHARES_PREFIX, listed_shares, pool_of_scope, share_result, share_transaction},
    platform::Platform,
    shared::Shared,
};
use crate::{
    coordination::{
        pool::PoolEngine,
        shares::{ListedShares, ShareCall, ShareEngine, ShareWriteResult},
    },
    state::{AccountSettings, ServingDocument},
};

/// Result of a call.
pub(super) enum ShareReply {
    /// Result of a listing; none if it failed.
    Listed(Option<ListedShares>),
    Written(ShareWriteResult),
}

/// Keeps a pool's shares next to the pool's controller.
pub(super) struct Shares<P> {
    shared: Rc<Shared<P>>,
    pool: PoolId,
    fence: Rc<Fence>,
    engine: ShareEngine,
    /// Accounts with a limit.
    accounts: Vec<AccountId>,
}

impl<P> Shares<P>
where
    P: Platform,
{
    pub(super) fn new(shared: Rc<Shared<P>>, pool: PoolId, fence: Rc<Fence>) -> Self {
        let engine = ShareEngine::new(pool.clone(), shared.settings.configuration_apply_ms);
        Self { shared, pool, fence, engine, accounts: Vec::new() }
    }

    /// Applies the limits of a configuration.
    pub(super) fn set_document(&mut self, pool: &mut PoolEngine, document: &ServingDocument) {
        let accounts = document.accounts.iter().flat_map(|accounts| accounts.iter());
        let limited: Vec<&AccountSettings> = accounts.filter(|it| it.is_limited()).collect();
        self.accounts = limited.iter().map(|settings| settings.account.clone()).collect();
        let limits = limited.iter().map(|settings| (settings.account.clone(), settings.limit));
        self.engine.set_limits(clock::read().monotonic_ms, limits);
        pool.set_limited_accounts(self.accounts.iter().cloned());
    }

    /// Passes the demand of the limited accounts to the share engine, and what
    /// they may use to the pool's engine.
    pub(super) fn sync(&mut self, pool: &mut PoolEngine) {
        if !self.engine.has_limits() {
            return;
        }
        let age = self.shared.configuration_age();
        let now_ms = age.now_ms;
        self.engine.set_current(age.is_within(self.shared.settings.configuration_apply_ms));
        for account in &self.accounts {
            let demand = pool.account_demand(account);
            pool.set_allowance(account, self.engine.set_demand(now_ms, account, &demand));
        }
    }

    /// Returns the call that is due, if any.
    pub(super) fn step(&mut self) -> Option<ShareCall> {
        self.engine.step(clock::read().monotonic_ms)
    }

    /// Returns when a call may be due, in milliseconds on the local clock.
    pub(super) fn next_step_ms(&self) -> Option<u64> {
        self.engine.next_step_ms(clock::read().monotonic_ms)
    }

    /// Carries out a call.
    pub(super) fn carry_out(&self, call: ShareCall) -> impl Future<Output = ShareReply> + use<P> {
        let (shared, pool, fence) =
            (Rc::clone(&self.shared), self.pool.clone(), Rc::clone(&self.fence));
        async move {
            match call {
                ShareCall::List => ShareReply::Listed(list(&shared).await),
                ShareCall::Write(write) => {
                    metrics::counter!("account_share_writes").increment(1);
                    match share_transaction(&fence, &pool, &write) {
                        Ok(transaction) => {
                            let reply = shared.transact(&transaction).await;
                            ShareReply::Written(share_result(&fence, reply))
                        }
                        Err(error) => {
                            log::error!(pool = pool.as_str(), error:display = error;
                                "shares of accounts' limits could not be encoded");
                            ShareReply::Written(ShareWriteResult::NotWritten)
                        }
                    }
                }
            }
        }
    }

    /// Passes the result of a call to the engine.
    pub(super) fn on_reply(&mut self, reply: ShareReply) {
        let now_ms = clock::read().monotonic_ms;
        match reply {
            ShareReply::Listed(listed) => {
                self.engine.on_listed(now_ms, listed);
                let document = self.shared.document();
                let configured = document.iter().flat_map(|document| document.working_pools());
                let holders = Rc::clone(&self.shared.holders.borrow());
                let controlled = holders.held_scopes().filter_map(pool_of_scope);
                self.engine.set_attended(now_ms, configured.cloned().chain(controlled));
            }
            ShareReply::Written(result) => self.engine.on_written(now_ms, result),
        }
    }
}

/// Lists the shares of all pools.
async fn list<P>(shared: &Shared<P>) -> Option<ListedShares>
where
    P: Platform,
{
    metrics::counter!("account_share_listings").increment(1);
    match shared.list(SHARES_PREFIX).await {
        Ok(listing) => listed_shares(&listing),
        Err(error) => {
            log::info!(error:display = error; "shares of accounts' limits could not be listed");
            None
        }
    }
}

#[cfg(test)]
mod tests;
