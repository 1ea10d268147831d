//! Start, run and stop of a process.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use displaydoc::Display;
use hashbrown::{HashMap, HashSet};
use tamarackproxy::{
    protocol::store::WatchEvent,
    state::ids::{PoolId, WorkerId},
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::{JoinHandle, LocalSet},
    time::{Instant, sleep},
};

use super::{
    control::{Scope, TaskGuard, control, on_holders},
    follow::{Followed, follow},
    keys::{CONTROL_PREFIX, FLEET_PREFIX, FleetKey, fleet_key},
    platform::Platform,
    server::{Service, listen},
    shared::Shared,
};
use crate::{observability::LogBuffer, settings::DispatchSettings};

/// Rest after changes of the registry, in milliseconds: workers renew their
/// entries all the time, and a worker that joins or drains is noticed soon.
const REGISTRY_REST_MS: u64 = 350;
/// Rest after changes of requests to empty workers, in milliseconds: moves
/// come in groups, and each of them changes three keys.
const FLEET_REST_MS: u64 = 40;
/// Interval at which log lines are written, in milliseconds.
const LOG_INTERVAL_MS: u64 = 100;
/// Share of the time of a graceful stop after which the process ends if no
/// request is open, in percent: the balancer has noticed by then.
const STOP_PERCENT: u64 = 70;
/// Share after which it ends in any case, in percent.
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
        /// Why it failed.
        error: io::Error,
    },
    /// signals cannot be handled: {0}; check the limits of the process
    Signals(io::Error),
}

impl std::error::Error for StartError {}

/// Runs a process until a termination signal, then stops it gracefully.
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
    // The recorder is installed with the first call.
    tamarackproxy::observability::render_metrics();
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let mut reload = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    let listeners = [
        (settings.callers, Service::Callers),
        (settings.ready, Service::Ready),
        (settings.metrics, Service::Metrics),
    ];
    let shared = Rc::new(Shared::new(platform, settings));
    for (address, service) in listeners {
        let listening = listen(Rc::clone(&shared), address, service).await;
        listening.map_err(|error| StartError::Bind { address, error })?;
    }
    let _followers = start_followers(&shared);
    tokio::task::spawn_local(supervise(Rc::clone(&shared)));
    tokio::task::spawn_local(write_logs(logs));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            // Addresses and names stay for the life of a process.
            _ = reload.recv() => log::info!("reload asked for; settings apply at the next start"),
        }
    }
    stop(&shared, stop_ms).await;
    Ok(())
}

/// Ends what is in flight. Connections stay open until the balancer has had
/// time to see that the process is not ready.
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

fn start_followers<P>(shared: &Rc<Shared<P>>) -> Vec<TaskGuard>
where
    P: Platform,
{
    let operator = {
        let shared = Rc::clone(shared);
        let prefix = shared.platform.operator_prefix().into();
        let sink = {
            let shared = Rc::clone(&shared);
            move |followed| shared.on_operator(followed)
        };
        tokio::task::spawn_local(follow(shared, prefix, None, 0, sink))
    };
    let holders = {
        let shared = Rc::clone(shared);
        let sink = {
            let shared = Rc::clone(&shared);
            move |followed| on_holders(&shared, followed)
        };
        tokio::task::spawn_local(follow(shared, CONTROL_PREFIX.into(), None, 0, sink))
    };
    [&operator, &holders].map(TaskGuard::new).into()
}

/// Keeps one task for each scope of the configuration, and the followers that
/// only holders need.
async fn supervise<P>(shared: Rc<Shared<P>>)
where
    P: Platform,
{
    let mut scopes: HashMap<Box<str>, JoinHandle<()>> = HashMap::new();
    let mut holder_tasks: Option<Vec<TaskGuard>> = None;
    let mut document = shared.document.subscribe();
    let mut held = shared.held.subscribe();
    // Attempts wait until it is known who holds what.
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
        } else if !holds {
            holder_tasks = None;
        }
        tokio::select! {
            changed = document.changed() => if changed.is_err() { return },
            changed = held.changed() => if changed.is_err() { return },
        }
    }
}

/// Follows workers and requests of upkeep.
fn start_holder_followers<P>(shared: &Rc<Shared<P>>) -> Vec<TaskGuard>
where
    P: Platform,
{
    let registry = {
        let shared = Rc::clone(shared);
        let prefix = shared.platform.registry_prefix().into();
        let sink = {
            let shared = Rc::clone(&shared);
            move |followed| shared.on_registry(followed)
        };
        tokio::task::spawn_local(follow(shared, prefix, None, REGISTRY_REST_MS, sink))
    };
    let fleet = {
        let shared = Rc::clone(shared);
        let sink = {
            let shared = Rc::clone(&shared);
            move |followed| on_fleet(&shared, followed)
        };
        tokio::task::spawn_local(follow(shared, FLEET_PREFIX.into(), None, FLEET_REST_MS, sink))
    };
    [&registry, &fleet].map(TaskGuard::new).into()
}

/// Takes in requests to empty workers and their confirmations.
fn on_fleet<P>(shared: &Shared<P>, followed: Followed)
where
    P: Platform,
{
    match followed {
        Followed::Listed(items) => {
            let (mut vacate, mut vacated) = (HashSet::new(), HashSet::new());
            for item in items {
                match fleet_key(&item.key) {
                    Some(FleetKey::Vacate(worker)) => drop(vacate.insert(worker)),
                    Some(FleetKey::Vacated(worker)) => drop(vacated.insert(worker)),
                    None => {}
                }
            }
            replace_if_changed(&shared.vacate, vacate);
            replace_if_changed(&shared.vacated, vacated);
        }
        Followed::Changed(WatchEvent::Put(item)) => match fleet_key(&item.key) {
            Some(FleetKey::Vacate(worker)) => {
                shared.vacate.send_if_modified(|workers| workers.insert(worker));
            }
            Some(FleetKey::Vacated(worker)) => {
                shared.vacated.send_if_modified(|workers| workers.insert(worker));
            }
            None => {}
        },
        Followed::Changed(WatchEvent::Deleted { key, .. }) => match fleet_key(&key) {
            Some(FleetKey::Vacate(worker)) => {
                shared.vacate.send_if_modified(|workers| workers.remove(&worker));
            }
            Some(FleetKey::Vacated(worker)) => {
                shared.vacated.send_if_modified(|workers| workers.remove(&worker));
            }
            None => {}
        },
        Followed::Changed(WatchEvent::Interrupted) => {}
    }
}

fn replace_if_changed(sender: &watch::Sender<HashSet<WorkerId>>, workers: HashSet<WorkerId>) {
    sender.send_if_modified(|current| {
        let is_changed = *current != workers;
        *current = workers;
        is_changed
    });
}
