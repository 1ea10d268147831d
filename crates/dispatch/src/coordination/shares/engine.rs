//! Decides when a pool's share of each account's limit is raised or lowered.
//!
//! Load pattern: dozens of pools surge in turn, each with work of many accounts.
//! One call covers all accounts of a pool, raises of all pools are serialized by
//! one key, and starts are judged in memory.

use std::collections::BTreeMap;

use hashbrown::{HashMap, HashSet};
use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{AccountId, PoolId, RecordVersion},
};

use super::{
    account::{Account, Goal},
    amounts::{Limit, divide, exceeds, is_zero, larger},
    events::{AccountDemand, Allowance, ListedShares, ShareCall, ShareWrite, ShareWriteResult},
};
use crate::state::{AccountShare, ShareRecord};

/// Shortest time between the starts of two exchanges with the store, in
/// milliseconds. An exchange is a listing with the write that is based on it, or
/// one of them alone. Bounds the calls of 26 pools to 520 per second.
const EXCHANGE_INTERVAL_MS: u64 = 100;
/// Interval of listings while tasks are blocked, in milliseconds: parts of a
/// limit have to move within a few hundred milliseconds.
const BLOCKED_LIST_INTERVAL_MS: u64 = 200;
/// Interval of listings otherwise, in milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;
/// Largest additional delay after a conflict, in milliseconds. Pools that
/// conflicted would otherwise retry together.
const CONFLICT_SPREAD_MS: u64 = 100;
/// Delay before a changed wish is written that no raise or lowering carries, in
/// milliseconds.
const WISH_INTERVAL_MS: u64 = 300;
/// Part of the stored wish by which a wish must change to be written, as a
/// divisor.
const WISH_SLACK_DIVISOR: u64 = 4;
/// Time for which a pool must have been neither configured nor controlled before
/// its share is removed, in milliseconds: a controller keeps control for 6 s
/// without the store, and workers end their runs 6 s after that at the latest.
const ABANDONED_MS: u64 = 18_000;
/// Records that one write removes at most; the store accepts 32 entries per
/// transaction, and each takes three.
const ABANDONED_MAX: usize = 6;
/// Time for which an account must have been blocked before that is logged, in
/// milliseconds: a first raise takes less.
const BLOCKED_LOG_MS: u64 = 150;
/// Time without blocked tasks after which the end is logged, in milliseconds.
const UNBLOCKED_LOG_MS: u64 = 1_000;

/// A call that has no result yet.
#[derive(Clone, Debug)]
enum InFlight {
    List { sent_ms: u64 },
    Write(ShareWrite),
}

/// Keeps one pool's shares of all limited accounts.
#[derive(Debug)]
pub struct ShareEngine {
    pool: PoolId,
    /// Time within which every process applies a configuration, in
    /// milliseconds.
    apply_ms: u64,
    accounts: HashMap<AccountId, Account>,
    /// The pool's record as stored, as far as that is known.
    own: ShareRecord,
    /// The pool's record when this controller first listed it.
    inherited: ShareRecord,
    version: RecordVersion,
    /// Writes without a reply that may still take effect, with the version that
    /// the pool's record must have for that.
    doubtful: Vec<(RecordVersion, ShareRecord)>,
    others: BTreeMap<PoolId, (RecordVersion, ShareRecord)>,
    raise: RecordVersion,
    /// When the last successful listing was sent, on the local clock.
    listed_ms: Option<u64>,
    /// The last result was a listing, and nothing was sent since.
    follows_listing: bool,
    must_list: bool,
    in_flight: Option<InFlight>,
    next_exchange_ms: u64,
    written_ms: u64,
    conflicts: u64,
    is_current: bool,
    is_fenced: bool,
    /// Pools that are configured or controlled.
    attended: HashSet<PoolId>,
    /// Since when other pools with a share have been neither, on the local
    /// clock.
    unattended_since_ms: HashMap<PoolId, u64>,
}

impl ShareEngine {
    /// Creates the engine of a pool. Every process applies a configuration
    /// within `apply_ms`.
    pub fn new(pool: PoolId, apply_ms: u64) -> Self {
        Self {
            pool,
            apply_ms,
            accounts: HashMap::new(),
            own: ShareRecord::default(),
            inherited: ShareRecord::default(),
            version: RecordVersion(0),
            doubtful: Vec::new(),
            others: BTreeMap::new(),
            raise: RecordVersion(0),
            listed_ms: None,
            follows_listing: false,
            must_list: false,
            in_flight: None,
            next_exchange_ms: 0,
            written_ms: 0,
            conflicts: 0,
            is_current: false,
            is_fenced: false,
            attended: HashSet::new(),
            unattended_since_ms: HashMap::new(),
        }
    }

    /// Applies the limits of a configuration; accounts without a limit are left
    /// out.
    pub fn set_limits<I>(&mut self, now_ms: u64, limits: I)
    where
        I: IntoIterator<Item = (AccountId, Resources)>,
    {
        let mut accounts = HashMap::new();
        for (name, limit) in limits {
            let limit = Limit::new(limit);
            let account = match self.accounts.remove(&name) {
                Some(mut account) => {
                    account.set_limit(now_ms, limit);
                    account
                }
                None => Account::new(now_ms, limit),
            };
            accounts.insert(name, account);
        }
        self.accounts = accounts;
        if self.accounts.is_empty() {
            // Nothing is listed without limits, so what is known gets outdated.
            self.listed_ms = None;
        }
        self.apply_others(now_ms);
    }

    /// Returns whether any account has a limit. Without one there is nothing to
    /// do.
    pub fn has_limits(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Sets whether the configuration is known to be current.
    pub fn set_current(&mut self, is_current: bool) {
        if self.is_current != is_current && self.has_limits() {
            if is_current {
                log::info!(pool = self.pool.as_str();
                    "configuration is current; accounts with a limit may start tasks");
            } else {
                log::warn!(pool = self.pool.as_str();
                    "configuration may be outdated; accounts with a limit start nothing");
            }
        }
        self.is_current = is_current;
    }

    /// Sets the pools that are configured or controlled. The shares of others
    /// are removed after a delay.
    pub fn set_attended<I>(&mut self, now_ms: u64, pools: I)
    where
        I: IntoIterator<Item = PoolId>,
    {
        self.attended = pools.into_iter().collect();
        self.note_unattended(now_ms);
    }

    fn note_unattended(&mut self, now_ms: u64) {
        let (others, attended) = (&self.others, &self.attended);
        self.unattended_since_ms
            .retain(|pool, _| others.contains_key(pool) && !attended.contains(pool));
        for pool in others.keys().filter(|pool| !attended.contains(*pool)) {
            if !self.unattended_since_ms.contains_key(pool) {
                self.unattended_since_ms.insert(pool.clone(), now_ms);
            }
        }
    }

    /// Sets what an account takes and wants; returns what it may use.
    pub fn set_demand(
        &mut self,
        now_ms: u64,
        name: &AccountId,
        demand: &AccountDemand,
    ) -> Allowance {
        let Some(account) = self.accounts.get_mut(name) else { return Allowance::default() };
        account.set_demand(now_ms, demand);
        report_blocked(now_ms, &self.pool, name, account);
        self.allowance(now_ms, name)
    }

    /// Returns what an account may use.
    pub fn allowance(&self, now_ms: u64, name: &AccountId) -> Allowance {
        let Some(account) = self.accounts.get(name) else { return Allowance::default() };
        let stored = account.limit().limited(&self.own.share(name).held);
        if self.listed_ms.is_none() {
            return Allowance::default();
        }
        if is_zero(&stored) && !account.is_blocked() {
            return Allowance { usable: account.limit().fill(&stored), ..Allowance::default() };
        }
        let is_limit_reached = account.is_blocked() && {
            let wanted = account.running().plus(&account.unit());
            exceeds(&wanted, &account.room())
        };
        let inherited = account.limit().limited(&self.inherited.share(name).held);
        let allowance = Allowance { usable: Resources::default(), inherited, is_limit_reached };
        let is_unsettled =
            account.settles_ms(self.apply_ms).is_some_and(|settles_ms| now_ms >= settles_ms);
        if !self.is_current || is_unsettled || self.is_fenced {
            return allowance;
        }
        let certain = self.certain(name).smaller(&account.room());
        let Goal { held: goal, yields } = account.goal(now_ms, &stored);
        let usable = if yields { certain.smaller(&goal) } else { certain };
        Allowance { usable: account.limit().fill(&usable), ..allowance }
    }

    /// Returns the part of an account's limit that the pool holds whatever
    /// becomes of the writes without a reply.
    fn certain(&self, name: &AccountId) -> Resources {
        let in_flight = match &self.in_flight {
            Some(InFlight::Write(write)) => Some(&write.record),
            Some(InFlight::List { .. }) | None => None,
        };
        let records = self.doubtful.iter().map(|(_, record)| record).chain(in_flight);
        records
            .fold(self.own.share(name).held, |held, record| held.smaller(&record.share(name).held))
    }

    /// Returns the call that is due, if any.
    pub fn step(&mut self, now_ms: u64) -> Option<ShareCall> {
        if !self.has_limits() || self.is_fenced || self.in_flight.is_some() {
            return None;
        }
        let follows_listing = std::mem::take(&mut self.follows_listing);
        if now_ms < self.next_exchange_ms && !follows_listing {
            return None;
        }
        if self.listed_ms.is_none() || self.must_list {
            return (now_ms >= self.next_exchange_ms).then(|| self.list(now_ms));
        }
        match self.next_write(now_ms) {
            // A raise follows a listing at once, since it conflicts with any
            // raise in between.
            Some(write) if write.raise.is_some() && !follows_listing => {
                (now_ms >= self.next_exchange_ms).then(|| self.list(now_ms))
            }
            Some(write) => {
                if !follows_listing {
                    self.next_exchange_ms = now_ms + EXCHANGE_INTERVAL_MS;
                }
                self.in_flight = Some(InFlight::Write(write.clone()));
                Some(ShareCall::Write(write))
            }
            None if now_ms >= self.list_due_ms().max(self.next_exchange_ms) => {
                Some(self.list(now_ms))
            }
            None => None,
        }
    }

    fn list(&mut self, now_ms: u64) -> ShareCall {
        self.next_exchange_ms = now_ms + EXCHANGE_INTERVAL_MS;
        self.in_flight = Some(InFlight::List { sent_ms: now_ms });
        ShareCall::List
    }

    /// Returns when the shares are to be listed, on the local clock.
    fn list_due_ms(&self) -> u64 {
        let Some(listed_ms) = self.listed_ms.filter(|_| !self.must_list) else { return 0 };
        let accounts = || self.accounts.values();
        let is_in_use = accounts().any(|account| !account.is_idle())
            || !self.own.accounts.is_empty()
            || !self.doubtful.is_empty();
        let interval_ms = if accounts().any(Account::is_blocked) {
            BLOCKED_LIST_INTERVAL_MS
        } else if is_in_use {
            LIST_INTERVAL_MS
        } else {
            return accounts()
                .filter_map(|it| it.settles_ms(self.apply_ms))
                .min()
                .unwrap_or(u64::MAX);
        };
        let settles_ms = accounts().filter_map(|account| account.settles_ms(self.apply_ms)).min();
        (listed_ms + interval_ms).min(settles_ms.unwrap_or(u64::MAX))
    }

    /// Returns when [`step`](Self::step) is due without an event or a change of
    /// demand, in milliseconds on the local clock; none while a call is in
    /// flight.
    pub fn next_step_ms(&self, now_ms: u64) -> Option<u64> {
        if !self.has_limits() || self.is_fenced || self.in_flight.is_some() {
            return None;
        }
        let due_ms = if self.follows_listing || now_ms < self.next_exchange_ms {
            // A change of the demand may wait for the end of the interval.
            now_ms
        } else {
            self.list_due_ms()
        };
        Some(if self.follows_listing { due_ms } else { due_ms.max(self.next_exchange_ms) })
    }

    /// Returns the write that brings the stored record to what should be held;
    /// none if it is close enough.
    fn next_write(&self, now_ms: u64) -> Option<ShareWrite> {
        let mut record = ShareRecord::default();
        let (mut is_raised, mut is_lowered, mut is_wish_changed) = (false, false, false);
        for (name, account) in &self.accounts {
            let stored = self.own.share(name);
            if account.is_idle() && stored == AccountShare::default() {
                continue;
            }
            let held = account.limit().limited(&stored.held);
            let next = if self.is_current {
                account.next_held(now_ms, &held)
            } else {
                // A raise could be based on a limit that has fallen.
                larger(&held, &account.running())
            };
            is_raised |= exceeds(&next, &stored.held);
            is_lowered |= exceeds(&stored.held, &next);
            let wanted = account.wanted();
            is_wish_changed |= differs(&wanted, &stored.wanted);
            if !is_zero(&next) || !is_zero(&wanted) {
                record.accounts.insert(name.clone(), AccountShare { held: next, wanted });
            }
        }
        // Accounts without a limit are dropped with the next change.
        let is_due = is_raised
            || is_lowered
            || (is_wish_changed && now_ms >= self.written_ms + WISH_INTERVAL_MS)
            // A new version keeps the writes without a reply from taking effect.
            || !self.doubtful.is_empty();
        let abandoned = self.abandoned(now_ms);
        (is_due || !abandoned.is_empty()).then(|| ShareWrite {
            record,
            version: self.version,
            raise: is_raised.then_some(self.raise),
            abandoned,
        })
    }

    /// Returns the records of pools that have been neither configured nor
    /// controlled for long enough.
    fn abandoned(&self, now_ms: u64) -> Vec<(PoolId, RecordVersion)> {
        let old = self.unattended_since_ms.iter();
        let old = old.filter(|&(_, &since_ms)| now_ms >= since_ms + ABANDONED_MS);
        old.filter_map(|(pool, _)| Some((pool.clone(), self.others.get(pool)?.0)))
            .take(ABANDONED_MAX)
            .collect()
    }

    /// Handles the result of a listing; none if it failed.
    pub fn on_listed(&mut self, now_ms: u64, listed: Option<ListedShares>) {
        let Some(InFlight::List { sent_ms }) = self.in_flight else { return };
        self.in_flight = None;
        let Some(mut listed) = listed else { return };
        let own = listed.pools.remove(&self.pool);
        let (version, own) = own.unwrap_or((RecordVersion(0), ShareRecord::default()));
        // A write without a reply can take effect until the version that it
        // depends on is replaced.
        self.doubtful.retain(|(expected, _)| *expected == version);
        if self.listed_ms.is_none() && self.version == RecordVersion(0) {
            self.inherited = own.clone();
        }
        (self.version, self.own) = (version, own);
        (self.others, self.raise) = (listed.pools, listed.raise);
        (self.listed_ms, self.follows_listing, self.must_list) = (Some(sent_ms), true, false);
        for account in self.accounts.values_mut() {
            account.settle(sent_ms, self.apply_ms);
        }
        self.note_unattended(now_ms);
        self.apply_others(now_ms);
    }

    /// Passes the listed shares of the other pools to the accounts.
    fn apply_others(&mut self, now_ms: u64) {
        for (name, account) in &mut self.accounts {
            let shares = self.others.values().filter_map(|(_, record)| record.accounts.get(name));
            let held = account.limit().limited(&self.own.share(name).held);
            account.set_others(now_ms, shares.copied().collect(), &held);
        }
    }

    /// Handles the result of a write.
    pub fn on_written(&mut self, now_ms: u64, result: ShareWriteResult) {
        let Some(InFlight::Write(write)) = self.in_flight.take() else { return };
        match result {
            ShareWriteResult::Written(version) => {
                self.log_changes(&write.record);
                (self.own, self.version, self.written_ms) = (write.record, version, now_ms);
                self.doubtful.clear();
                self.conflicts = 0;
                if write.raise.is_some() {
                    self.raise = version;
                }
                for (pool, _) in write.abandoned {
                    log::info!(pool = pool.as_str();
                        "removed the shares of a pool that is no longer configured");
                    self.others.remove(&pool);
                }
                self.note_unattended(now_ms);
                self.apply_others(now_ms);
            }
            ShareWriteResult::Conflict => {
                self.must_list = true;
                self.conflicts += 1;
                self.next_exchange_ms = self.next_exchange_ms.max(now_ms + self.spread_ms());
                metrics::counter!("account_share_conflicts").increment(1);
            }
            ShareWriteResult::NotWritten => {}
            ShareWriteResult::Unknown => {
                self.must_list = true;
                self.doubtful.push((write.version, write.record));
            }
            ShareWriteResult::OldTerm => {
                log::warn!(pool = self.pool.as_str();
                    "shares of accounts' limits are no longer kept: control was taken over");
                self.is_fenced = true;
            }
        }
    }

    /// Returns a delay that differs between pools and between conflicts.
    fn spread_ms(&self) -> u64 {
        let name = self.pool.as_str().bytes();
        let hash = name.fold(self.conflicts, |hash, byte| {
            hash.wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte)
        });
        (hash ^ (hash >> 17)) % CONFLICT_SPREAD_MS
    }

    fn set_gauge(&self, gauge: &'static str, account: &AccountId, value: u64) {
        let labels = [("account", account.as_str().to_owned()), ("pool", self.pool.to_string())];
        metrics::gauge!(gauge, &labels).set(value as f64);
    }

    /// Logs the shares that a write changed, one line for each account.
    fn log_changes(&self, record: &ShareRecord) {
        let names = self.own.accounts.keys().chain(record.accounts.keys());
        let names: HashSet<&AccountId> = names.collect();
        for name in names {
            let (before, after) = (self.own.share(name), record.share(name));
            let change = match (exceeds(&after.held, &before.held), before.held == after.held) {
                (_, true) => continue,
                (true, false) => "raised",
                (false, false) => "lowered",
            };
            self.set_gauge("account_share_millicores", name, after.held.cpu_millicores);
            self.set_gauge("account_wanted_millicores", name, after.wanted.cpu_millicores);
            log::info!(pool = self.pool.as_str(), account = name.as_str(),
                change = change, before:? = before.held, after:? = after.held,
                wanted:? = after.wanted; "share of an account's limit was changed");
            metrics::counter!("account_share_changes", "account" => name.as_str().to_owned(),
                "change" => change)
            .increment(1);
        }
    }
}

/// Returns whether a wish differs enough from the stored one to be written.
fn differs(wanted: &Resources, stored: &Resources) -> bool {
    let slack = divide(stored, WISH_SLACK_DIVISOR);
    exceeds(&wanted.minus(stored), &slack)
        || exceeds(&stored.minus(wanted), &slack)
        || (is_zero(wanted) && !is_zero(stored))
}

/// Logs that an account is blocked by its limit, and that it no longer is.
fn report_blocked(now_ms: u64, pool: &PoolId, name: &AccountId, account: &mut Account) {
    if account.is_blocked() {
        account.blocked_ms = now_ms;
        let since_ms = *account.blocked_since_ms.get_or_insert(now_ms);
        if !account.is_reported && now_ms >= since_ms + BLOCKED_LOG_MS {
            account.is_reported = true;
            log::info!(pool = pool.as_str(), account = name.as_str(),
                running:? = account.running(), wanted:? = account.wanted(),
                room:? = account.room(); "account is blocked by its limit");
            metrics::counter!("account_limit_blocks", "account" => name.as_str().to_owned())
                .increment(1);
            set_blocked(pool, name, true);
        }
    } else if account.blocked_since_ms.is_some() && now_ms >= account.blocked_ms + UNBLOCKED_LOG_MS
    {
        account.blocked_since_ms = None;
        if std::mem::take(&mut account.is_reported) {
            log::info!(pool = pool.as_str(), account = name.as_str();
                "account is no longer blocked by its limit");
            set_blocked(pool, name, false);
        }
    }
}

fn set_blocked(pool: &PoolId, account: &AccountId, is_blocked: bool) {
    let labels = [("account", account.as_str().to_owned()), ("pool", pool.to_string())];
    metrics::gauge!("account_blocked", &labels).set(if is_blocked { 1.0 } else { 0.0 });
}
