//! Startup, main loop and graceful shutdown of a process.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use displaydoc::Display;
use hashbrown::{HashMap, HashSet};
use tamarackproxy::{protocol::store::WatchEvent, state::ids::PoolId};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::{JoinHandle, LocalSet},
    time::{Instant, sleep},
};

use super::{
    control::{AbortOnDrop, Scope, control, on_holders},
    follow::{PrefixUpdate, follow},
    forward::follow_peers,
    keys::{CONTROL_PREFIX, FLEET_PREFIX, FleetKey, fleet_key},
    platform::Platform,
    relay,
    server::{Service, listen},
    shared::Shared,
};
use crate::{observability::LogBuffer, settings::DispatchSettings};

/// Coalescing delay for changes of the worker registry, in milliseconds. Workers
/// renew their entries continually; a worker that joins or drains is still
/// noticed soon enough.
const REGISTRY_COALESCE_MS: u64 = 350;
/// Coalescing delay for changes of vacate requests, in milliseconds. Moves come
/// in groups, and each of them changes three keys.
const FLEET_COALESCE_MS: u64 = 40;
/// Interval at which buffered log lines are written, in milliseconds.
const LOG_INTERVAL_MS: u64 = 100;
/// Part of the graceful shutdown time after which the process exits if no
/// request is open, in percent. By then the load balancer has noticed that the
/// process is not ready.
const STOP_PERCENT: u64 = 70;
/// Part of the graceful shutdown time after which the process exits even if
/// requests are open, in percent.
const STOP_LATEST_PERCENT: u64 = 90;

/// Reasons why a process does not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// the runtime cannot be started: {0}; check the limits of the process
    Runtime(io::Error),
    /// {address} cannot be listened on: {error}; check that the address is this host's and free
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// signal handlers cannot be installed: {0}; check the limits of the process
    Signals(io::Error),
}

impl std::error::Error for StartError {}

/// Runs a process until it receives a termination signal, then shuts it down
/// gracefully.
///
/// # Errors
///
/// Returns [`StartError`] if it cannot be started.
pub fn run<P>(platform: P, settings: DispatchSettings, logs: &LogBuffer) -> Result<(), StartError>
where
    P: Platform,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    let result = LocalSet::new().block_on(&runtime, serve(platform, settings, logs.clone()));
    logs.flush();
    result
}

async fn serve<P>(
    platform: P,
    settings: DispatchSettings,
    logs: LogBuffer,
) -> Result<(), StartError>
where
    P: Platform,
{
    let stop_ms = settings.stop_ms;
    log::info!(entry = settings.entry.as_str(), data_centre = settings.data_centre.as_str(),
        callers:display = settings.callers, version = env!("CARGO_PKG_VERSION");
        "process started");
    // The first call installs the metrics recorder.
    tamarackproxy::observability::render_metrics();
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let mut reload = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    let listeners = [
        (settings.callers, Service::Callers),
        (settings.ready, Service::Ready),
        (settings.metrics, Service::Metrics),
    ];
    let relay = settings.relay;
    let shared = Rc::new(Shared::new(platform, settings));
    for (address, service) in listeners {
        let listening = listen(Rc::clone(&shared), address, service).await;
        listening.map_err(|error| StartError::Bind { address, error })?;
    }
    if let Some(address) = relay {
        let listening = relay::listen(Rc::clone(&shared), address).await;
        listening.map_err(|error| StartError::Bind { address, error })?;
        tokio::task::spawn_local(relay::register(Rc::clone(&shared), address));
    }
    let _followers = start_followers(&shared);
    tokio::task::spawn_local(follow_peers(Rc::clone(&shared)));
    tokio::task::spawn_local(supervise(Rc::clone(&shared)));
    tokio::task::spawn_local(write_logs(logs));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            // Addresses and names are fixed for the lifetime of a process.
            _ = reload.recv() => log::info!("reload requested; settings apply at the next start"),
        }
    }
    stop(&shared, stop_ms).await;
    Ok(())
}

/// Lets open requests finish. Connections stay open until the load balancer has
/// had time to see that the process is not ready.
async fn stop<P>(shared: &Shared<P>, stop_ms: u64)
where
    P: Platform,
{
    log::info!(open_requests = shared.requests_open.get(), stop_ms = stop_ms; "process stops");
    shared.stopping.send_replace(true);
    let began = Instant::now();
    let after = |percent: u64| began + Duration::from_millis(stop_ms * percent / 100);
    tokio::time::sleep_until(after(STOP_PERCENT)).await;
    while shared.requests_open.get() > 0 && Instant::now() < after(STOP_LATEST_PERCENT) {
        sleep(Duration::from_millis(10)).await;
    }
    log::info!(open_requests = shared.requests_open.get(); "process ends");
}

async fn write_logs(logs: LogBuffer) {
    loop {
        sleep(Duration::from_millis(LOG_INTERVAL_MS)).await;
        logs.flush();
    }
}

/// Follows the operator's records and the holders of scopes.
fn start_followers<P>(shared: &Rc<Shared<P>>) -> Vec<AbortOnDrop>
where
    P: Platform,
{
    let operator = {
        let shared = Rc::clone(shared);
        let prefix = shared.platform.operator_prefix().into();
        let sink = {
            let shared = Rc::clone(&shared);
            move |update| shared.on_operator(update)
        };
        tokio::task::spawn_local(follow(shared, prefix, None, 0, sink))
    };
    let holders = {
        let shared = Rc::clone(shared);
        let sink = {
            let shared = Rc::clone(&shared);
            move |update| on_holders(&shared, update)
        };
        tokio::task::spawn_local(follow(shared, CONTROL_PREFIX.into(), None, 0, sink))
    };
    [&operator, &holders].map(AbortOnDrop::new).into()
}

/// Runs one task for each scope of the configuration, and, while this process
/// holds a scope, the followers that only holders need.
async fn supervise<P>(shared: Rc<Shared<P>>)
where
    P: Platform,
{
    let mut scopes: HashMap<Box<str>, JoinHandle<()>> = HashMap::new();
    let mut holder_tasks: Option<Vec<AbortOnDrop>> = None;
    let mut document = shared.document.subscribe();
    let mut held = shared.held.subscribe();
    // No acquisition is attempted before the current holders are known.
    let mut holders = shared.holders.subscribe();
    if holders.changed().await.is_err() {
        return;
    }
    loop {
        let current = document.borrow_and_update().clone();
        if let Some(current) = &current {
            let pools: Vec<PoolId> = current.working_pools().cloned().collect();
            let wanted = pools.into_iter().map(Scope::Pool).chain([Scope::Upkeep]);
            for scope in wanted {
                let name = scope.name();
                scopes.entry(name).or_insert_with(|| {
                    tokio::task::spawn_local(control(Rc::clone(&shared), scope))
                });
            }
        }
        let holds = !held.borrow_and_update().is_empty();
        if holds && holder_tasks.is_none() {
            holder_tasks = Some(start_holder_followers(&shared));
        } else if !holds && holder_tasks.take().is_some() {
            shared.forget_fleet();
            // A controller that begins later must not use what the registry
            // showed at this time.
            shared.registry.send_replace(HashMap::new());
        }
        tokio::select! {
            changed = document.changed() => if changed.is_err() { return },
            changed = held.changed() => if changed.is_err() { return },
        }
    }
}

/// Follows the worker registry and the vacate requests.
fn start_holder_followers<P>(shared: &Rc<Shared<P>>) -> Vec<AbortOnDrop>
where
    P: Platform,
{
    let registry = {
        let shared = Rc::clone(shared);
        let prefix = shared.platform.registry_prefix().into();
        let sink = {
            let shared = Rc::clone(&shared);
            move |update| shared.on_registry(update)
        };
        tokio::task::spawn_local(follow(shared, prefix, None, REGISTRY_COALESCE_MS, sink))
    };
    let fleet = {
        let shared = Rc::clone(shared);
        let sink = {
            let shared = Rc::clone(&shared);
            move |update| on_fleet(&shared, update)
        };
        tokio::task::spawn_local(follow(shared, FLEET_PREFIX.into(), None, FLEET_COALESCE_MS, sink))
    };
    [&registry, &fleet].map(AbortOnDrop::new).into()
}

/// Updates the sets of workers to vacate and of vacated workers.
pub(super) fn on_fleet<P>(shared: &Shared<P>, update: PrefixUpdate)
where
    P: Platform,
{
    match update {
        PrefixUpdate::Listed(items) => {
            let (mut vacate, mut vacated) = (HashMap::new(), HashSet::new());
            for item in items {
                match fleet_key(&item.key) {
                    Some(FleetKey::Vacate(worker)) => drop(vacate.insert(worker, item.version)),
                    Some(FleetKey::Vacated(worker)) => drop(vacated.insert(worker)),
                    None => {}
                }
            }
            replace_if_changed(&shared.vacate, vacate);
            replace_if_changed(&shared.vacated, vacated);
            shared.mark_fleet_known();
        }
        PrefixUpdate::Changed(WatchEvent::Put(item)) => match fleet_key(&item.key) {
            Some(FleetKey::Vacate(worker)) => {
                let version = item.version;
                shared
                    .vacate
                    .send_if_modified(|workers| workers.insert(worker, version) != Some(version));
            }
            Some(FleetKey::Vacated(worker)) => {
                shared.vacated.send_if_modified(|workers| workers.insert(worker));
            }
            None => {}
        },
        PrefixUpdate::Changed(WatchEvent::Deleted { key, .. }) => match fleet_key(&key) {
            Some(FleetKey::Vacate(worker)) => {
                shared.vacate.send_if_modified(|workers| workers.remove(&worker).is_some());
            }
            Some(FleetKey::Vacated(worker)) => {
                shared.vacated.send_if_modified(|workers| workers.remove(&worker));
            }
            None => {}
        },
        PrefixUpdate::Changed(WatchEvent::Interrupted) => {}
    }
}

fn replace_if_changed<T>(sender: &watch::Sender<T>, workers: T)
where
    T: PartialEq,
{
    sender.send_if_modified(|current| {
        let is_changed = *current != workers;
        *current = workers;
        is_changed
    });
}

#[cfg(test)]
mod tests;
