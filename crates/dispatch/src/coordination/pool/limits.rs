//! Limits of client accounts in placement rounds: which starts they allow, and
//! what they block.

use tamarackproxy::{coordination::jobs::Resources, state::ids::AccountId};

use super::{
    engine::PoolEngine,
    job_table::Job,
    placement::{is_plain, takes_work},
    task::TaskRef,
    workers::Worker,
};
use crate::coordination::shares::{AccountDemand, Allowance};

impl PoolEngine {
    /// Sets the accounts that have a limit.
    pub fn set_limited_accounts<I>(&mut self, accounts: I)
    where
        I: IntoIterator<Item = AccountId>,
    {
        self.job_table.accounts_mut().set_limited(accounts);
        self.placing_due = true;
    }

    /// Sets what a limited account may use.
    pub fn set_allowance(&mut self, account: &AccountId, allowance: Allowance) {
        self.placing_due |= self.job_table.accounts_mut().set_allowance(account, allowance);
    }

    /// Returns what a limited account takes and wants.
    pub fn account_demand(&self, account: &AccountId) -> AccountDemand {
        self.job_table.accounts().demand(account)
    }

    /// Prepares the ledger of accounts for a placement round.
    pub(super) fn begin_limits(&mut self) {
        if !self.job_table.accounts().has_limits() {
            return;
        }
        let unseen = self.unseen_capacity();
        let ledger = self.job_table.accounts_mut();
        ledger.begin_round();
        ledger.set_unseen(unseen);
        let orphans = self.workers.iter().flat_map(|(_, worker)| worker.orphan_runs.values());
        ledger.set_orphans(
            orphans.filter_map(|orphan| {
                orphan.charge.as_ref().map(|(account, need)| (account, *need))
            }),
        );
    }

    /// Completes what a placement round reports as blocked.
    pub(super) fn end_limits(&mut self, now_ms: u64) {
        if !self.job_table.accounts().has_blocked() {
            return;
        }
        let open = self.workers.iter().filter(|(_, worker)| takes_work(worker, now_ms));
        let free =
            open.fold(Resources::default(), |sum, (_, worker)| sum.plus(&worker.free_capacity()));
        self.job_table.accounts_mut().end_round(&free);
    }

    /// Returns an upper bound of what runs take that this controller cannot see:
    /// the capacity of workers that a previous controller may have used and that
    /// are not listed yet, and of workers with runs of unknown jobs.
    fn unseen_capacity(&self) -> Resources {
        let is_hidden = |worker: &Worker| {
            (self.unreconciled.is_some()
                && !worker.is_confirmed()
                && self.is_unreconciled(&worker.entry.worker)
                && !self.vacated.contains(&worker.entry.worker))
                || worker.orphan_runs.values().any(|orphan| orphan.allocation.is_none())
        };
        let hidden = self.workers.iter().filter(|(_, worker)| is_hidden(worker));
        let known =
            hidden.fold(Resources::default(), |sum, (_, worker)| sum.plus(&worker.entry.capacity));
        let is_unknown = |entry: &crate::state::RosterEntry| {
            self.workers.find(&entry.worker).is_none()
                && !self.vacated.contains(&entry.worker)
                && !self.has_newer_incarnation(&entry.host, entry.born_unix_ms)
        };
        if self.unreconciled.iter().flatten().any(is_unknown) {
            // The capacity of a worker that is not registered is not known.
            return Resources::new(u64::MAX, u64::MAX, u32::MAX);
        }
        known
    }

    /// Returns whether the limit of a task's account allows `count` starts of the
    /// task's step.
    pub(super) fn may_start(&self, task: TaskRef, count: u64) -> bool {
        let ledger = self.job_table.accounts();
        if !ledger.has_limits() {
            return true;
        }
        let account = self.job_table.job(task.job).and_then(|job| job.account.as_ref());
        let (Some(account), Some(spec)) = (account, self.job_table.spec(task)) else { return true };
        ledger.may_start(account, &spec.need.times(count))
    }

    /// Reports `count` waiting tasks of a step, from `task` on, as blocked by the
    /// limit of their account if a worker would have had room.
    pub(super) fn note_blocked(&mut self, now_ms: u64, task: TaskRef, count: u64) {
        let Some(spec) = self.job_table.spec(task) else { return };
        let (need, is_gang) = (spec.need, spec.is_gang);
        // The policy service is asked about a step only once it may start.
        let could_start = is_gang
            || is_plain(spec)
            || self.needs_ticket(task)
            || self.choose(now_ms, task).is_some();
        let account = self.job_table.job(task.job).and_then(|job| job.account.clone());
        let Some(account) = account.filter(|_| could_start) else { return };
        let (unit, count) = if is_gang { (need.times(count), 1) } else { (need, count) };
        self.job_table.accounts_mut().note_blocked(&account, &unit, count);
    }

    /// Returns whether a job's waiting tasks are blocked by the limit of its
    /// account, so that more hosts would not start them.
    pub(super) fn is_limit_reached(&self, job: &Job) -> bool {
        let account = job.account.as_ref();
        account.is_some_and(|account| self.job_table.accounts().is_limit_reached(account))
    }
}
