//! Control of scopes: which pools, and whether upkeep, this process controls.
//!
//! Load pattern: all processes start at once and want every scope; later one
//! dies and its scopes are to move within seconds. A process that holds more
//! waits longer before it tries, so scopes spread without any exchange.

use std::{cell::Cell, rc::Rc, time::Duration};

use rand::Rng;
use tamarackproxy::{
    coordination::control::{ControlLease, LeaseTiming, Tenure, decode_tenure},
    protocol::store::WatchEvent,
    state::{
        clock::ClockReading,
        ids::{EntryId, PoolId},
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
    keys::{CONTROL_PREFIX, UPKEEP_SCOPE, scope_of},
    platform::Platform,
    pool,
    shared::Shared,
    upkeep,
};

/// Times of control leases, in milliseconds. Three renewals fit into a lease;
/// a successor is in place within four seconds, before workers' leases end.
const TIMING: LeaseTiming =
    LeaseTiming { ttl_ms: 3_000, renew_ms: 900, retry_ms: 4_000, outage_ms: OUTAGE_MS };
/// Time beyond its lease for which a holder goes on while the store does not
/// answer, in milliseconds; with the lease, longer than the outages that the
/// operators expect.
const OUTAGE_MS: u64 = 6_000;
/// Delay before an attempt for each scope that is held already, in
/// milliseconds: several times what an acquisition takes.
const HELD_DELAY_MS: u64 = 300;
/// Delay before an attempt for each halving of the host's processors below
/// [`FULL_CORES`], in milliseconds: control costs processor time, so hosts that
/// have too little come last.
const HALVING_DELAY_MS: f64 = 350.0;
/// Processors of the users' common entry hosts, which control pools of a dozen
/// workers with a tenth of them.
const FULL_CORES: f64 = 0.25;
/// Largest drawn part of the delay, in milliseconds.
const JITTER_MS: u64 = 120;
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

/// Takes in who holds which scope.
pub(super) fn on_holders<P>(shared: &Shared<P>, followed: Followed)
where
    P: Platform,
{
    let mut holders = hashbrown::HashMap::clone(&shared.holders.borrow());
    let scope = |key: &str| key.strip_prefix(CONTROL_PREFIX).map(Box::<str>::from);
    match followed {
        Followed::Listed(items) => {
            holders.clear();
            for item in items {
                if let (Some(scope), Some(tenure)) = (scope(&item.key), decode_tenure(Some(&item)))
                {
                    holders.insert(scope, tenure.holder);
                }
            }
        }
        Followed::Changed(WatchEvent::Put(item)) => {
            if let (Some(scope), Some(tenure)) = (scope(&item.key), decode_tenure(Some(&item))) {
                holders.insert(scope, tenure.holder);
            }
        }
        Followed::Changed(WatchEvent::Deleted { key, .. }) => {
            if let Some(scope) = scope(&key) {
                holders.remove(&scope);
            }
        }
        Followed::Changed(WatchEvent::Interrupted) => return,
    }
    shared.holders.send_replace(Rc::new(holders));
}

/// Runs the lease of one scope and, while it is held, its controller.
pub(super) async fn control<P>(shared: Rc<Shared<P>>, scope: Scope)
where
    P: Platform,
{
    let name = scope.name();
    let entry = shared.settings.entry.clone();
    let mut lease = ControlLease::new(&*name, entry.clone()).with_timing(TIMING);
    if shared.settings.cores >= FULL_CORES {
        // A smaller host that starts again leaves its scopes to larger ones.
        lease = lease.with_self_replacement();
    }
    let tenancy = Tenancy::default();
    let mut controller: Option<(Tenure, JoinHandle<()>)> = None;
    let mut holders = shared.holders.subscribe();
    let mut stopping = shared.stopping.subscribe();
    lease.postpone_until(clock::read().monotonic_ms + attempt_delay_ms(&shared));
    loop {
        let now = clock::read();
        if tenancy.take_fenced() {
            lease.lose(now);
        }
        if shared.is_stopping() {
            end_controller(&shared, &name, &mut controller, "the process stops");
            if let Some(request) = lease.release() {
                // Without a reply the lease lapses by itself.
                let _ = shared.store(&request).await;
            }
            return;
        }
        on_holder(&shared, &name, &entry, &mut lease, &controller, now);
        // Decides before and after each call, since a call may take long.
        sync_controller(&shared, &scope, &lease, &tenancy, &mut controller);
        let may_acquire = lease.acting(now).is_some() || shared.is_ready();
        let mut request = if may_acquire { lease.tick(now) } else { None };
        while let Some(call) = request {
            let result = shared.store(&call).await;
            request = lease.on_store_reply(clock::read(), result);
            sync_controller(&shared, &scope, &lease, &tenancy, &mut controller);
        }
        let now_ms = clock::read().monotonic_ms;
        let next_ms = lease.next_tick_ms().unwrap_or(0).clamp(now_ms + 10, now_ms + IDLE_MS);
        let until = Instant::now() + Duration::from_millis(next_ms - now_ms);
        tokio::select! {
            () = sleep_until(until) => {}
            _ = holders.changed() => {}
            _ = stopping.changed() => {}
            () = tenancy.notify.notified() => {}
        }
    }
}

/// Draws the delay before an attempt to take a vacant scope.
fn attempt_delay_ms<P>(shared: &Shared<P>) -> u64
where
    P: Platform,
{
    let held = shared.held.borrow().len() as u64;
    let halvings = (FULL_CORES / shared.settings.cores.max(0.01)).log2().max(0.0);
    let size_ms = (halvings * HALVING_DELAY_MS) as u64;
    held * HELD_DELAY_MS + size_ms + rand::rng().random_range(0..=JITTER_MS)
}

/// Compares the lease with the holder that the store names.
fn on_holder<P>(
    shared: &Rc<Shared<P>>,
    name: &str,
    entry: &EntryId,
    lease: &mut ControlLease,
    controller: &Option<(Tenure, JoinHandle<()>)>,
    now: ClockReading,
) where
    P: Platform,
{
    let holder = shared.holders.borrow().get(name).cloned();
    match (&holder, controller) {
        (Some(other), Some(_)) if other != entry => {
            log::warn!(scope = name, holder = other.as_str(); "another entry host took control");
            lease.lose(now);
        }
        (Some(_), _) => {}
        (None, None) => {
            // A scope that this process tried to take a moment ago is seen as
            // vacant until the change arrives; the delay covers that.
            lease.attempt_by(now.monotonic_ms + attempt_delay_ms(shared));
        }
        (None, Some(_)) => {}
    }
}

/// Starts or ends the controller as the lease says.
fn sync_controller<P>(
    shared: &Rc<Shared<P>>,
    scope: &Scope,
    lease: &ControlLease,
    tenancy: &Tenancy,
    controller: &mut Option<(Tenure, JoinHandle<()>)>,
) where
    P: Platform,
{
    let name = scope.name();
    tenancy.confirmed_until_ms.set(lease.valid_until_ms());
    let acting = lease.acting(clock::read());
    let current = controller.as_ref().map(|(tenure, _)| tenure.term);
    if current.is_some() && acting.map(|tenure| tenure.term) != current {
        end_controller(shared, &name, controller, "the tenure is over");
    }
    if let Some(tenure) = acting
        && controller.is_none()
    {
        log::info!(scope = &*name, term = tenure.term.0; "control acquired");
        metrics::counter!("control_acquired").increment(1);
        shared.held.send_modify(|held| held.push(name.clone()));
        let shared = Rc::clone(shared);
        let tenancy = tenancy.clone();
        let task = match scope {
            Scope::Pool(pool) => {
                tokio::task::spawn_local(pool::control(shared, pool.clone(), tenure, tenancy))
            }
            Scope::Upkeep => tokio::task::spawn_local(upkeep::control(shared, tenure, tenancy)),
        };
        *controller = Some((tenure, task));
    }
}

fn end_controller<P>(
    shared: &Shared<P>,
    name: &str,
    controller: &mut Option<(Tenure, JoinHandle<()>)>,
    reason: &str,
) where
    P: Platform,
{
    let Some((tenure, task)) = controller.take() else { return };
    log::info!(scope = name, term = tenure.term.0, reason = reason; "control ended");
    task.abort();
    shared.held.send_modify(|held| held.retain(|held| **held != *name));
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
