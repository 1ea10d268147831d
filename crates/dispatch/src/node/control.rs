//! Acquisition and release of control leases. A scope is one pool, or the
//! maintenance of all hosts; at most one process controls a scope at a time.
//!
//! [`crate::coordination::control`] decides how long to wait before acquiring a
//! scope and whether to request one from its holder. A holder hands over a
//! scope by releasing it itself, because it must have stopped acting before its
//! successor begins.

use std::{cell::Cell, rc::Rc, time::Duration};

use hashbrown::{HashMap, HashSet};
use rand::Rng;
use tamarackproxy::{
    coordination::control::{ControlLease, LeaseTiming, Tenure, decode_tenure},
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest, WatchEvent},
    state::{
        clock::ClockReading,
        ids::{EntryId, PoolId, RecordVersion, Term},
        records::TenureRecord,
    },
};
use tokio::{
    sync::Notify,
    task::{AbortHandle, JoinHandle},
    time::{Instant, sleep, sleep_until},
};

use super::{
    clock,
    follow::PrefixUpdate,
    keys::{
        CONTROL_PREFIX, ControlKey, Fence, UPKEEP_SCOPE, control_key, decode_item,
        handover_transaction, pool_scope,
    },
    platform::Platform,
    pool,
    shared::Shared,
    upkeep,
};
use crate::{
    coordination::control::{
        ControlLoad, FULL_MILLICORES, Fencing, NEW_HOLDER_GRACE_MS, OUTAGE_MS, ScopeKind,
    },
    state::HandoverRequest,
};

/// Timing of control leases, in milliseconds. A lease has room for three
/// renewals; a successor takes over within four seconds, before the workers'
/// leases expire.
const TIMING: LeaseTiming =
    LeaseTiming { ttl_ms: 3_000, renew_ms: 900, retry_ms: 4_000, outage_ms: OUTAGE_MS };
/// Maximum random jitter of the delay before an acquisition attempt, in
/// milliseconds.
const JITTER_MS: u64 = 120;
/// Maximum random jitter of the delay before a handover request, in
/// milliseconds. The spread lets other candidates see the first request and
/// refrain from sending their own.
const REQUEST_JITTER_MS: u64 = 1_000;
/// Time for which a scope that was handed over is reserved for the host that
/// requested it, in milliseconds: three times the duration of a release and an
/// acquisition.
const HANDOVER_RESERVED_MS: u64 = 1_500;
/// Maximum time between two checks of a lease, in milliseconds.
const IDLE_MS: u64 = 1_000;

/// A unit of control that one process at a time can hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    Pool(PoolId),
    Upkeep,
}

impl Scope {
    /// Returns who rejects the orders of a former holder: workers compare
    /// terms, the host service only where the deployment enforces it.
    fn fencing(&self, host_fencing: Fencing) -> Fencing {
        match self {
            Self::Pool(_) => Fencing::Receiver,
            Self::Upkeep => host_fencing,
        }
    }

    /// Returns the scope's name in the store's keys.
    pub(super) fn name(&self) -> Box<str> {
        match self {
            Self::Pool(pool) => pool_scope(pool),
            Self::Upkeep => UPKEEP_SCOPE.into(),
        }
    }
}

/// State shared by the lease of a scope and the scope's controller.
#[derive(Clone, Default)]
pub(super) struct LeaseState {
    is_fenced: Rc<Cell<bool>>,
    notify: Rc<Notify>,
    /// Time until which no successor can hold the scope, in milliseconds on
    /// the local clock.
    confirmed_until_ms: Rc<Cell<u64>>,
}

impl LeaseState {
    /// Reports that control is lost because a higher term was seen.
    pub(super) fn report_fenced(&self) {
        self.is_fenced.set(true);
        self.notify.notify_one();
    }

    /// Returns the time until which no successor can hold the scope, in
    /// milliseconds on the local clock.
    pub(super) fn confirmed_until_ms(&self) -> u64 {
        self.confirmed_until_ms.get()
    }

    fn take_fenced(&self) -> bool {
        self.is_fenced.replace(false)
    }
}

/// Current holders of scopes and the handover requests sent to them.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    scopes: HashMap<Box<str>, Holder>,
    requests: HashMap<Box<str>, HandoverRequest>,
}

#[derive(Clone, Debug)]
struct Holder {
    tenure: TenureRecord,
    version: RecordVersion,
    /// When this holder was first seen, in milliseconds on the local clock.
    since_ms: u64,
}

impl Holders {
    /// Lists the scopes that have a holder.
    pub(super) fn held_scopes(&self) -> impl Iterator<Item = &str> {
        self.scopes.keys().map(|scope| &**scope)
    }

    /// Returns the load of a process: its processors and the scopes it holds.
    fn load(&self, entry: &EntryId, millicores: u32) -> ControlLoad {
        let scopes = self.scopes.iter().filter(|(_, holder)| holder.tenure.holder == *entry);
        ControlLoad::new(millicores).with_scopes(scopes.map(|(scope, _)| kind_of(scope)))
    }

    /// Returns the processes that hold a scope.
    pub(super) fn entries(&self) -> HashSet<EntryId> {
        self.scopes.values().map(|holder| holder.tenure.holder.clone()).collect()
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

/// Updates the known holders and handover requests from the store.
pub(super) fn on_holders<P>(shared: &Shared<P>, update: PrefixUpdate)
where
    P: Platform,
{
    let now_ms = clock::read().monotonic_ms;
    let mut holders = Holders::clone(&shared.holders.borrow());
    match update {
        PrefixUpdate::Listed(items) => {
            let listed: HashSet<&str> = items.iter().map(|item| &*item.key).collect();
            let is_listed = |scope: &str| listed.contains(&*format!("{CONTROL_PREFIX}{scope}"));
            holders.scopes.retain(|scope, _| is_listed(scope));
            holders.requests.clear();
            items.iter().for_each(|item| holders.put(now_ms, item));
        }
        PrefixUpdate::Changed(WatchEvent::Put(item)) => holders.put(now_ms, &item),
        PrefixUpdate::Changed(WatchEvent::Deleted { key, .. }) => holders.remove(&key),
        PrefixUpdate::Changed(WatchEvent::Interrupted) => return,
    }
    shared.holders.send_replace(Rc::new(holders));
}

/// Maintains the lease of one scope and runs its controller while the lease is
/// held.
pub(super) async fn control<P>(shared: Rc<Shared<P>>, scope: Scope)
where
    P: Platform,
{
    ScopeControl::new(shared, scope).run().await;
}

/// Lease and controller of one scope.
struct ScopeControl<P> {
    shared: Rc<Shared<P>>,
    scope: Scope,
    name: Box<str>,
    lease: ControlLease,
    lease_state: LeaseState,
    controller: Option<(Tenure, JoinHandle<()>)>,
    /// Load of this process when the delay of the next attempt was set.
    delayed_for: ControlLoad,
    /// Time until which the scope is reserved for the host that requested it.
    reserved_until_ms: u64,
    /// Jitter of the delay before a handover request; chosen once and kept for the
    /// lifetime of the process.
    request_jitter_ms: u64,
    /// Term of the holder to which the last handover request was sent.
    requested_term: Option<Term>,
}

impl<P> ScopeControl<P>
where
    P: Platform,
{
    fn new(shared: Rc<Shared<P>>, scope: Scope) -> Self {
        let name = scope.name();
        let lease = new_lease(&shared, &scope);
        let delayed_for = ControlLoad::new(shared.settings.millicores());
        let request_jitter_ms = rand::rng().random_range(0..=REQUEST_JITTER_MS);
        let mut control = Self {
            shared,
            scope,
            name,
            lease,
            lease_state: LeaseState::default(),
            controller: None,
            delayed_for,
            reserved_until_ms: 0,
            request_jitter_ms,
            requested_term: None,
        };
        control.postpone(clock::read().monotonic_ms);
        control
    }

    async fn run(mut self) {
        let mut holders = self.shared.holders.subscribe();
        let mut stopping = self.shared.stopping.subscribe();
        loop {
            let now = clock::read();
            if self.lease_state.take_fenced() {
                self.lease.lose(now);
            }
            self.lose_after_failure(now);
            if self.shared.is_stopping() {
                self.release("the process stops").await;
                return;
            }
            self.on_holder(now);
            if self.is_handover_requested() {
                self.hand_over().await;
            }
            self.request_handover(now).await;
            // Synchronized before and after each call, since calls may be slow.
            self.sync_controller();
            self.tick().await;
            let now_ms = clock::read().monotonic_ms;
            let next_ms = self.lease.next_tick_ms().unwrap_or(0);
            let next_ms = self.request_due_ms().map_or(next_ms, |due_ms| next_ms.min(due_ms));
            let next_ms = next_ms.clamp(now_ms + 10, now_ms + IDLE_MS);
            let until = Instant::now() + Duration::from_millis(next_ms - now_ms);
            tokio::select! {
                () = sleep_until(until) => {}
                _ = holders.changed() => {}
                _ = stopping.changed() => {}
                () = self.lease_state.notify.notified() => {}
            }
        }
    }

    /// Gives the scope up if its controller has ended by itself, after an
    /// unexpected error: nobody would act on the scope while its lease is
    /// renewed.
    fn lose_after_failure(&mut self, now: ClockReading) {
        let has_ended = self.controller.as_ref().is_some_and(|(_, task)| task.is_finished());
        if has_ended {
            log::error!(scope = &*self.name; "controller ended unexpectedly; control is given up");
            self.lease.lose(now);
            self.end_controller("the controller failed");
        }
    }

    /// Attempts to acquire the lease, or renews it, when that is due.
    async fn tick(&mut self) {
        let now = clock::read();
        let is_acting = self.lease.acting(now).is_some();
        if !is_acting {
            if self.is_held_by_other() {
                // The watch reports when the scope becomes vacant. An attempt
                // from here would skip the load-dependent delay.
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
            let result = self.call_store(call).await;
            request = self.lease.on_store_reply(clock::read(), result);
            self.sync_controller();
        }
        self.shared.attempted.borrow_mut().remove(&self.name);
    }

    /// Sends a request of the lease to the store. The controller ends in time
    /// even if the store does not answer.
    async fn call_store(&mut self, call: StoreRequest) -> Result<StoreReply, StoreError> {
        let shared = Rc::clone(&self.shared);
        let reply = shared.store(&call);
        tokio::pin!(reply);
        loop {
            if self.controller.is_none() {
                return reply.await;
            }
            let left_ms = self.lease.acting_until_ms().saturating_sub(clock::read().monotonic_ms);
            tokio::select! {
                result = &mut reply => return result,
                () = sleep(Duration::from_millis(left_ms)) => self.sync_controller(),
            }
        }
    }

    fn is_held_by_other(&self) -> bool {
        let holders = self.shared.holders.borrow();
        let holder = holders.scopes.get(&self.name);
        holder.is_some_and(|holder| holder.tenure.holder != self.shared.settings.entry)
    }

    /// Returns this process's load: the scopes that it holds or tries to
    /// acquire, except this one.
    fn load(&self) -> ControlLoad {
        let held = self.shared.held.borrow();
        let attempted = self.shared.attempted.borrow();
        let scopes: HashSet<&str> =
            held.iter().chain(attempted.iter()).map(|name| &**name).collect();
        let others = scopes.into_iter().filter(|&name| name != &*self.name);
        ControlLoad::new(self.shared.settings.millicores()).with_scopes(others.map(kind_of))
    }

    /// Returns the delay before an attempt to acquire the vacant scope, with
    /// random jitter.
    fn attempt_delay_ms(&self) -> u64 {
        self.load().attempt_delay_ms() + rand::rng().random_range(0..=JITTER_MS)
    }

    /// Delays the next attempt, at least until the reservation ends.
    fn postpone(&mut self, now_ms: u64) {
        self.lease.postpone_until(self.reserved_until_ms.max(now_ms + self.attempt_delay_ms()));
    }

    /// Reconciles the lease with the holder recorded in the store.
    fn on_holder(&mut self, now: ClockReading) {
        let holders = self.shared.holders.borrow();
        match (holders.scopes.get(&self.name), &self.controller) {
            (Some(Holder { tenure, .. }), Some(_))
                if tenure.holder != self.shared.settings.entry =>
            {
                log::warn!(scope = &*self.name, holder = tenure.holder.as_str();
                    "control was lost to another entry host");
                self.lease.lose(now);
            }
            (None, None) => {
                // A scope that this process has just acquired is seen as vacant
                // until the watch reports the change; the delay covers that time.
                let at_ms = now.monotonic_ms + self.attempt_delay_ms();
                self.lease.attempt_by(at_ms.max(self.reserved_until_ms));
            }
            (Some(_), _) | (None, Some(_)) => {}
        }
    }

    /// Returns whether a host with more processors has requested the scope.
    fn is_handover_requested(&self) -> bool {
        let holders = self.shared.holders.borrow();
        let request = holders.requests.get(&self.name);
        self.controller
            .as_ref()
            .is_some_and(|(tenure, _)| request.is_some_and(|request| request.term == tenure.term))
    }

    /// Releases the scope and reserves it for the requesting host for
    /// [`HANDOVER_RESERVED_MS`].
    async fn hand_over(&mut self) {
        metrics::counter!("control_handed_over").increment(1);
        self.release("a host with more processors for each pool requested the scope").await;
        self.reserved_until_ms = clock::read().monotonic_ms + HANDOVER_RESERVED_MS;
        self.lease = new_lease(&self.shared, &self.scope);
        self.lease.postpone_until(self.reserved_until_ms);
    }

    /// Returns when a handover request may be sent to the holder, in
    /// milliseconds on the local clock; none if one was sent already, if the
    /// holder's load does not justify one, or if this process is the holder.
    fn request_due_ms(&self) -> Option<u64> {
        let holders = self.shared.holders.borrow();
        let Holder { tenure, since_ms, .. } = holders.scopes.get(&self.name)?;
        let request = holders.requests.get(&self.name);
        let was_requested = self.requested_term == Some(tenure.term)
            || request.is_some_and(|request| request.term >= tenure.term);
        let is_own = tenure.holder == self.shared.settings.entry;
        let load = holders.load(&tenure.holder, tenure.millicores);
        let may_request = self.load().may_request(kind_of(&self.name), &load);
        (may_request && !was_requested && !is_own)
            .then_some(since_ms + NEW_HOLDER_GRACE_MS + self.request_jitter_ms)
    }

    /// Requests the scope from its holder if this process has far more
    /// processors available for it.
    async fn request_handover(&mut self, now: ClockReading) {
        let is_due = self.request_due_ms().is_some_and(|due_ms| now.monotonic_ms >= due_ms);
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
        self.requested_term = result.is_ok().then_some(tenure.term);
        log::info!(scope = &*self.name, holder = tenure.holder.as_str(), term = tenure.term.0,
            holder_millicores = tenure.millicores, result:? = result;
            "handover requested from a holder with fewer processors for each pool");
    }

    /// Starts or stops the controller according to the lease.
    fn sync_controller(&mut self) {
        self.lease_state.confirmed_until_ms.set(self.lease.valid_until_ms());
        let now = clock::read();
        let acting = self.lease.acting(now);
        let current = self.controller.as_ref().map(|(tenure, _)| tenure.term);
        if current.is_some() && acting.map(|tenure| tenure.term) != current {
            // The store may have kept the lease while it was away. A new
            // controller needs a new term all the same: it does not know what
            // was started under this one.
            self.lease.lose(now);
            self.end_controller("control is lost");
        }
        let acting = self.lease.acting(now);
        if let Some(tenure) = acting
            && self.controller.is_none()
        {
            log::info!(scope = &*self.name, term = tenure.term.0; "control acquired");
            metrics::counter!("control_acquired").increment(1);
            self.shared.held.send_modify(|held| held.push(self.name.clone()));
            let shared = Rc::clone(&self.shared);
            let lease_state = self.lease_state.clone();
            let task = match &self.scope {
                Scope::Pool(pool) => tokio::task::spawn_local(pool::control(
                    shared,
                    pool.clone(),
                    tenure,
                    lease_state,
                )),
                Scope::Upkeep => {
                    tokio::task::spawn_local(upkeep::control(shared, tenure, lease_state))
                }
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

    /// Stops the controller and releases its lease.
    async fn release(&mut self, reason: &str) {
        self.end_controller(reason);
        if let Some(request) = self.lease.release()
            && let Err(error) = self.shared.store(&request).await
        {
            log::info!(scope = &*self.name, error:display = error;
                "control could not be released; it expires with its lease");
        }
    }
}

fn new_lease<P>(shared: &Shared<P>, scope: &Scope) -> ControlLease
where
    P: Platform,
{
    let millicores = shared.settings.millicores();
    let fencing = scope.fencing(shared.settings.host_fencing);
    let timing = LeaseTiming { outage_ms: fencing.outage_ms(OUTAGE_MS), ..TIMING };
    let lease = ControlLease::new(scope.name(), shared.settings.entry.clone())
        .with_timing(timing)
        .with_millicores(millicores);
    // After a restart a smaller host leaves its former scopes to larger hosts.
    if millicores >= FULL_MILLICORES { lease.with_self_replacement() } else { lease }
}

/// Aborts a task when dropped.
pub(super) struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    pub(super) fn new<T>(task: &JoinHandle<T>) -> Self {
        Self(task.abort_handle())
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Returns the time after which everything that the previous holder granted has
/// expired, in milliseconds: it may keep control for the length of an outage
/// and extend workers' leases until then.
pub(super) fn previous_holder_grace_ms(worker_lease_ms: u64) -> u64 {
    OUTAGE_MS + worker_lease_ms
}

#[cfg(test)]
mod tests;
