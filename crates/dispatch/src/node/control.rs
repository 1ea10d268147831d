//! Control of scopes: which pools, and whether upkeep, this process controls.
//!
//! What is decided here stands in [`crate::coordination::control`]. A holder
//! that is asked for a scope gives it up itself: it must not act any more when
//! its successor does.

use std::{cell::Cell, rc::Rc, time::Duration};

use hashbrown::{HashMap, HashSet};
use rand::Rng;
use tamarackproxy::{
    coordination::control::{ControlLease, LeaseTiming, Tenure, decode_tenure},
    protocol::store::{KeyValue, WatchEvent},
    state::{
        clock::ClockReading,
        ids::{EntryId, PoolId, RecordVersion, Term},
        records::TenureRecord,
    },
};
use tokio::{
    sync::Notify,
    task::{AbortHandle, JoinHandle},
    time::{Instant, sleep_until},
};

use super::{
    clock,
    follow::Followed,
    keys::{
        CONTROL_PREFIX, ControlKey, Fence, UPKEEP_SCOPE, control_key, decode_item,
        handover_transaction, scope_of,
    },
    platform::Platform,
    pool,
    shared::Shared,
    upkeep,
};
use crate::{
    coordination::control::{ControlLoad, FULL_MILLICORES, SETTLED_MS, ScopeKind},
    state::HandoverRequest,
};

/// Times of control leases, in milliseconds. Three renewals fit into a lease;
/// a successor is in place within four seconds, before workers' leases end.
const TIMING: LeaseTiming =
    LeaseTiming { ttl_ms: 3_000, renew_ms: 900, retry_ms: 4_000, outage_ms: OUTAGE_MS };
/// Time beyond its lease for which a holder goes on while the store does not
/// answer, in milliseconds; with the lease, longer than the outages that the
/// operators expect.
const OUTAGE_MS: u64 = 6_000;
/// Largest drawn part of the delay before an attempt, in milliseconds.
const JITTER_MS: u64 = 120;
/// Largest drawn part of the delay before a holder is asked for its scope, in
/// milliseconds: the hosts that could ask see the first one's request.
const ASK_JITTER_MS: u64 = 1_000;
/// Time for which a scope that was given up is left to the host that asked for
/// it, in milliseconds: three times what release and acquisition take.
const HANDOVER_MS: u64 = 1_500;
/// Longest sleep of an idle lease, in milliseconds.
const IDLE_MS: u64 = 1_000;

/// One scope of control.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    Pool(PoolId),
    Upkeep,
}

impl Scope {
    pub(super) fn name(&self) -> Box<str> {
        match self {
            Self::Pool(pool) => scope_of(pool),
            Self::Upkeep => UPKEEP_SCOPE.into(),
        }
    }
}

/// What the lease of a scope and its controller tell each other.
#[derive(Clone, Default)]
pub(super) struct Tenancy {
    is_fenced: Rc<Cell<bool>>,
    notify: Rc<Notify>,
    /// Until then no successor can hold the scope, on the own clock.
    confirmed_until_ms: Rc<Cell<u64>>,
}

impl Tenancy {
    /// Reports that the tenure is over.
    pub(super) fn report_fenced(&self) {
        self.is_fenced.set(true);
        self.notify.notify_one();
    }

    /// Returns until when no successor can hold the scope, in milliseconds on
    /// the own clock.
    pub(super) fn confirmed_until_ms(&self) -> u64 {
        self.confirmed_until_ms.get()
    }

    fn take_fenced(&self) -> bool {
        self.is_fenced.replace(false)
    }
}

/// Holders of scopes and what they were asked.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    scopes: HashMap<Box<str>, Holder>,
    requests: HashMap<Box<str>, HandoverRequest>,
}

#[derive(Clone, Debug)]
struct Holder {
    tenure: TenureRecord,
    version: RecordVersion,
    /// When it was first seen, on the own clock.
    since_ms: u64,
}

impl Holders {
    /// Returns what a process controls.
    fn load(&self, entry: &EntryId, millicores: u32) -> ControlLoad {
        let scopes = self.scopes.iter().filter(|(_, holder)| holder.tenure.holder == *entry);
        ControlLoad::new(millicores).with_scopes(scopes.map(|(scope, _)| kind_of(scope)))
    }

    fn put(&mut self, now_ms: u64, item: &KeyValue) {
        match control_key(&item.key) {
            Some(ControlKey::Holder(scope)) => {
                let Some(tenure) = decode_tenure(Some(item)) else { return };
                let since_ms = match self.scopes.get(scope) {
                    Some(known) if known.version == item.version => known.since_ms,
                    _ => now_ms,
                };
                let holder = Holder { tenure, version: item.version, since_ms };
                self.scopes.insert(scope.into(), holder);
            }
            Some(ControlKey::Handover(scope)) => {
                if let Some(request) = decode_item(item) {
                    self.requests.insert(scope.into(), request);
                }
            }
            None => {}
        }
    }

    fn remove(&mut self, key: &str) {
        match control_key(key) {
            Some(ControlKey::Holder(scope)) => drop(self.scopes.remove(scope)),
            Some(ControlKey::Handover(scope)) => drop(self.requests.remove(scope)),
            None => {}
        }
    }
}

fn kind_of(scope: &str) -> ScopeKind {
    if scope == UPKEEP_SCOPE { ScopeKind::Upkeep } else { ScopeKind::Pool }
}

/// Takes in who holds which scope.
pub(super) fn on_holders<P>(shared: &Shared<P>, followed: Followed)
where
    P: Platform,
{
    let now_ms = clock::read().monotonic_ms;
    let mut holders = Holders::clone(&shared.holders.borrow());
    match followed {
        Followed::Listed(items) => {
            let listed: HashSet<&str> = items.iter().map(|item| &*item.key).collect();
            let is_listed = |scope: &str| listed.contains(&*format!("{CONTROL_PREFIX}{scope}"));
            holders.scopes.retain(|scope, _| is_listed(scope));
            holders.requests.clear();
            items.iter().for_each(|item| holders.put(now_ms, item));
        }
        Followed::Changed(WatchEvent::Put(item)) => holders.put(now_ms, &item),
        Followed::Changed(WatchEvent::Deleted { key, .. }) => holders.remove(&key),
        Followed::Changed(WatchEvent::Interrupted) => return,
    }
    shared.holders.send_replace(Rc::new(holders));
}

/// Runs the lease of one scope and, while it is held, its controller.
pub(super) async fn control<P>(shared: Rc<Shared<P>>, scope: Scope)
where
    P: Platform,
{
    ScopeControl::new(shared, scope).run().await;
}

/// The lease of one scope and its controller.
struct ScopeControl<P> {
    shared: Rc<Shared<P>>,
    scope: Scope,
    name: Box<str>,
    lease: ControlLease,
    tenancy: Tenancy,
    controller: Option<(Tenure, JoinHandle<()>)>,
    /// Load for which the next attempt was delayed.
    delayed_for: ControlLoad,
    /// Until then the scope is left to the host that asked for it.
    left_until_ms: u64,
    /// Part of the delay before the holder is asked, drawn once a process.
    ask_jitter_ms: u64,
    /// Term of the holder that was asked last.
    asked: Option<Term>,
}

impl<P> ScopeControl<P>
where
    P: Platform,
{
    fn new(shared: Rc<Shared<P>>, scope: Scope) -> Self {
        let name = scope.name();
        let lease = new_lease(&shared, &name);
        let delayed_for = ControlLoad::new(shared.settings.millicores());
        let ask_jitter_ms = rand::rng().random_range(0..=ASK_JITTER_MS);
        let mut control = Self {
            shared,
            scope,
            name,
            lease,
            tenancy: Tenancy::default(),
            controller: None,
            delayed_for,
            left_until_ms: 0,
            ask_jitter_ms,
            asked: None,
        };
        control.postpone(clock::read().monotonic_ms);
        control
    }

    async fn run(mut self) {
        let mut holders = self.shared.holders.subscribe();
        let mut stopping = self.shared.stopping.subscribe();
        loop {
            let now = clock::read();
            if self.tenancy.take_fenced() {
                self.lease.lose(now);
            }
            if self.shared.is_stopping() {
                self.release("the process stops").await;
                return;
            }
            self.on_holder(now);
            if self.is_asked_to_leave() {
                self.leave().await;
            }
            self.ask_holder(now).await;
            // Decides before and after each call, since a call may take long.
            self.sync_controller();
            self.tick().await;
            let now_ms = clock::read().monotonic_ms;
            let next_ms = self.lease.next_tick_ms().unwrap_or(0);
            let next_ms = self.ask_due_ms().map_or(next_ms, |due_ms| next_ms.min(due_ms));
            let next_ms = next_ms.clamp(now_ms + 10, now_ms + IDLE_MS);
            let until = Instant::now() + Duration::from_millis(next_ms - now_ms);
            tokio::select! {
                () = sleep_until(until) => {}
                _ = holders.changed() => {}
                _ = stopping.changed() => {}
                () = self.tenancy.notify.notified() => {}
            }
        }
    }

    /// Attempts or renews if it is time.
    async fn tick(&mut self) {
        let now = clock::read();
        let is_acting = self.lease.acting(now).is_some();
        if !is_acting {
            if self.is_held_by_other() {
                // The watch shows the vacancy; a poll would skip the delay.
                self.lease.postpone_until(now.monotonic_ms + IDLE_MS);
                return;
            }
            let load = self.load();
            if load.exceeds(&self.delayed_for) {
                self.postpone(now.monotonic_ms);
            }
            self.delayed_for = load;
        }
        let may_acquire = is_acting || self.shared.is_ready();
        let mut request = if may_acquire { self.lease.tick(now) } else { None };
        if request.is_some() && !is_acting {
            self.shared.attempted.borrow_mut().insert(self.name.clone());
        }
        while let Some(call) = request {
            let result = self.shared.store(&call).await;
            request = self.lease.on_store_reply(clock::read(), result);
            self.sync_controller();
        }
        self.shared.attempted.borrow_mut().remove(&self.name);
    }

    fn is_held_by_other(&self) -> bool {
        let holders = self.shared.holders.borrow();
        let holder = holders.scopes.get(&self.name);
        holder.is_some_and(|holder| holder.tenure.holder != self.shared.settings.entry)
    }

    /// Returns what this process controls or tries to, without this scope.
    fn load(&self) -> ControlLoad {
        let held = self.shared.held.borrow();
        let attempted = self.shared.attempted.borrow();
        let scopes: HashSet<&str> =
            held.iter().chain(attempted.iter()).map(|name| &**name).collect();
        let others = scopes.into_iter().filter(|&name| name != &*self.name);
        ControlLoad::new(self.shared.settings.millicores()).with_scopes(others.map(kind_of))
    }

    /// Draws the delay before an attempt to take the scope while it is vacant.
    fn attempt_delay_ms(&self) -> u64 {
        self.load().attempt_delay_ms() + rand::rng().random_range(0..=JITTER_MS)
    }

    fn postpone(&mut self, now_ms: u64) {
        self.lease.postpone_until(self.left_until_ms.max(now_ms + self.attempt_delay_ms()));
    }

    /// Compares the lease with the holder that the store names.
    fn on_holder(&mut self, now: ClockReading) {
        let holders = self.shared.holders.borrow();
        match (holders.scopes.get(&self.name), &self.controller) {
            (Some(Holder { tenure, .. }), Some(_))
                if tenure.holder != self.shared.settings.entry =>
            {
                log::warn!(scope = &*self.name, holder = tenure.holder.as_str();
                    "another entry host took control");
                self.lease.lose(now);
            }
            (None, None) => {
                // A scope that this process tried to take a moment ago is seen
                // as vacant until the change arrives; the delay covers that.
                let at_ms = now.monotonic_ms + self.attempt_delay_ms();
                self.lease.attempt_by(at_ms.max(self.left_until_ms));
            }
            (Some(_), _) | (None, Some(_)) => {}
        }
    }

    /// Tells whether a host with more processors asks for the scope.
    fn is_asked_to_leave(&self) -> bool {
        let holders = self.shared.holders.borrow();
        let request = holders.requests.get(&self.name);
        self.controller
            .as_ref()
            .is_some_and(|(tenure, _)| request.is_some_and(|request| request.term == tenure.term))
    }

    /// Gives up the scope and leaves it to others for a while.
    async fn leave(&mut self) {
        metrics::counter!("control_handed_over").increment(1);
        self.release("a host with more processors for each pool asks for the scope").await;
        self.left_until_ms = clock::read().monotonic_ms + HANDOVER_MS;
        self.lease = new_lease(&self.shared, &self.name);
        self.lease.postpone_until(self.left_until_ms);
    }

    /// Returns when the holder may be asked for the scope, in milliseconds on
    /// the own clock; none if it was asked or is this process.
    fn ask_due_ms(&self) -> Option<u64> {
        let holders = self.shared.holders.borrow();
        let Holder { tenure, since_ms, .. } = holders.scopes.get(&self.name)?;
        let request = holders.requests.get(&self.name);
        let was_asked = self.asked == Some(tenure.term)
            || request.is_some_and(|request| request.term >= tenure.term);
        let is_own = tenure.holder == self.shared.settings.entry;
        let load = holders.load(&tenure.holder, tenure.millicores);
        let may_ask = self.load().may_ask_for(kind_of(&self.name), &load);
        (may_ask && !was_asked && !is_own).then_some(since_ms + SETTLED_MS + self.ask_jitter_ms)
    }

    /// Asks the holder for the scope if this process has far more processors
    /// for it.
    async fn ask_holder(&mut self, now: ClockReading) {
        let is_due = self.ask_due_ms().is_some_and(|due_ms| now.monotonic_ms >= due_ms);
        if !is_due || !self.shared.is_ready() {
            return;
        }
        let holders = Rc::clone(&self.shared.holders.borrow());
        let Some(Holder { tenure, version, .. }) = holders.scopes.get(&self.name) else { return };
        let asker = self.shared.settings.entry.clone();
        let request = HandoverRequest { asker, term: tenure.term };
        let fence = Fence::new(&self.name, *version);
        let result = match handover_transaction(&fence, &self.name, &request) {
            Ok(transaction) => {
                self.shared.transact(&transaction).await.map_err(|it| it.to_string())
            }
            Err(error) => Err(error.to_string()),
        };
        self.asked = result.is_ok().then_some(tenure.term);
        log::info!(scope = &*self.name, holder = tenure.holder.as_str(), term = tenure.term.0,
            holder_millicores = tenure.millicores, result:? = result;
            "holder with fewer processors for each pool was asked to give up the scope");
    }

    /// Starts or ends the controller as the lease says.
    fn sync_controller(&mut self) {
        self.tenancy.confirmed_until_ms.set(self.lease.valid_until_ms());
        let acting = self.lease.acting(clock::read());
        let current = self.controller.as_ref().map(|(tenure, _)| tenure.term);
        if current.is_some() && acting.map(|tenure| tenure.term) != current {
            self.end_controller("the tenure is over");
        }
        if let Some(tenure) = acting
            && self.controller.is_none()
        {
            log::info!(scope = &*self.name, term = tenure.term.0; "control acquired");
            metrics::counter!("control_acquired").increment(1);
            self.shared.held.send_modify(|held| held.push(self.name.clone()));
            let shared = Rc::clone(&self.shared);
            let tenancy = self.tenancy.clone();
            let task = match &self.scope {
                Scope::Pool(pool) => {
                    tokio::task::spawn_local(pool::control(shared, pool.clone(), tenure, tenancy))
                }
                Scope::Upkeep => tokio::task::spawn_local(upkeep::control(shared, tenure, tenancy)),
            };
            self.controller = Some((tenure, task));
        }
    }

    fn end_controller(&mut self, reason: &str) {
        let Some((tenure, task)) = self.controller.take() else { return };
        log::info!(scope = &*self.name, term = tenure.term.0, reason = reason; "control ended");
        task.abort();
        self.shared.held.send_modify(|held| held.retain(|held| **held != *self.name));
    }

    /// Ends the controller and its lease.
    async fn release(&mut self, reason: &str) {
        self.end_controller(reason);
        if let Some(request) = self.lease.release()
            && let Err(error) = self.shared.store(&request).await
        {
            log::info!(scope = &*self.name, error:display = error;
                "control was not released and lapses with its lease");
        }
    }
}

fn new_lease<P>(shared: &Shared<P>, scope: &str) -> ControlLease
where
    P: Platform,
{
    let millicores = shared.settings.millicores();
    let lease = ControlLease::new(scope, shared.settings.entry.clone())
        .with_timing(TIMING)
        .with_millicores(millicores);
    // A smaller host that starts again leaves its scopes to larger ones.
    if millicores >= FULL_MILLICORES { lease.with_self_replacement() } else { lease }
}

/// Ends a task when it is dropped.
pub(super) struct TaskGuard(AbortHandle);

impl TaskGuard {
    pub(super) fn new<T>(task: &JoinHandle<T>) -> Self {
        Self(task.abort_handle())
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Time after which everything that a predecessor granted is over, in
/// milliseconds: it may go on for an outage, and its last leases follow.
pub(super) fn predecessor_ms(worker_lease_ms: u64) -> u64 {
    OUTAGE_MS + worker_lease_ms
}
