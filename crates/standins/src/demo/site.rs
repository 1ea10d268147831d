//! Stand-ins of the store, the platform and the targets, and relays that simulate
//! the network between data centres. All of them run on one thread of their own.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::{Context, anyhow};
use tamarackproxy::state::{
    ids::{DataCentreId, OperationId, TeamId},
    records::HeadRecord,
};
use tokio::sync::oneshot;

use super::deployment::Plan;
use crate::{
    clock::Clock,
    net::{Relay, RelayMode},
    platform::{PlatformServer, PlatformState},
    store::{StoreServer, StoreState},
    target::{TargetHost, TargetRecords},
};

/// One-way latency between data centres.
const ONE_WAY: Duration = Duration::from_micros(1_400);
/// Delay after which a change shows in the platform's host list, in milliseconds.
const LIST_LAG_MS: u64 = 1_000;
/// Duration of a reboot, in milliseconds; minutes in a real deployment.
const REBOOT_MS: u64 = 800;
/// Author of the first document.
const FIRST_AUTHOR: &str = "operations";

/// A relay from one data centre to one entry host of another.
pub(super) struct PeerRelay {
    /// Index of the data centre that connects through the relay.
    pub(super) from: usize,
    /// Index of the entry host in the plan.
    pub(super) to_entry: usize,
    pub(super) relay: Relay,
}

/// Relays of one data centre to the store and the platform.
pub(super) struct PlatformRelays {
    pub(super) store: Relay,
    pub(super) platform: Relay,
}

/// Running stand-ins and relays; dropping it stops them.
pub(super) struct StandIns {
    pub(super) clock: Clock,
    pub(super) store: StoreServer,
    pub(super) platform: PlatformServer,
    pub(super) targets: Vec<Arc<TargetHost>>,
    pub(super) records: Arc<Mutex<TargetRecords>>,
    pub(super) peer_relays: Vec<PeerRelay>,
    pub(super) platform_relays: Vec<PlatformRelays>,
    /// Ends the thread when dropped.
    _running: oneshot::Sender<()>,
}

impl StandIns {
    /// Starts the stand-ins on a new thread.
    pub(super) fn start(plan: &Arc<Plan>, seed: u64) -> anyhow::Result<Self> {
        let (started, is_started) = mpsc::channel();
        let plan = plan.clone();
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            runtime.block_on(async {
                let (running, ended) = oneshot::channel();
                // If the receiver is gone, the caller has given up and nothing is to run.
                if started.send(start(&plan, seed, running).await).is_ok() {
                    let _ = ended.await;
                }
            });
        };
        thread::Builder::new().name("stand-ins".to_owned()).spawn(run)?;
        is_started.recv().map_err(|_| anyhow!("the stand-ins' runtime cannot be started"))?
    }

    /// Sets the mode of all relays between a data centre and the rest of the
    /// deployment.
    pub(super) fn set_relay_mode(&self, plan: &Plan, data_centre: usize, mode: RelayMode) {
        for peer in &self.peer_relays {
            if peer.from == data_centre || plan.entries[peer.to_entry].data_centre == data_centre {
                peer.relay.set_mode(mode);
            }
        }
        let relays = &self.platform_relays[data_centre];
        relays.store.set_mode(mode);
        relays.platform.set_mode(mode);
    }
}

async fn start(plan: &Plan, seed: u64, running: oneshot::Sender<()>) -> anyhow::Result<StandIns> {
    let clock = Clock::start();
    let records = Arc::new(Mutex::new(TargetRecords::default()));
    let mut targets = Vec::new();
    let instances = plan.instances();
    for (index, listed) in plan.hosts.iter().enumerate() {
        let address: IpAddr = listed.address.parse().context("the host's address is not valid")?;
        let seed = seed.wrapping_add(index as u64);
        let (host, records) = (listed.host.clone(), records.clone());
        let times = plan.service_times;
        let target = TargetHost::start(host, address, &instances, times, records, clock, seed);
        let target = target.await.with_context(|| in_use(address))?;
        targets.push(Arc::new(target));
    }
    let store = start_store(plan, seed, clock).await?;
    let hosts = plan.hosts.iter().cloned().zip(targets.iter().cloned().map(Some));
    let platform = PlatformState::new(hosts, LIST_LAG_MS, REBOOT_MS);
    let address = plan.layout.platform();
    let platform = PlatformServer::start(platform, address, clock).await;
    let platform = platform.with_context(|| in_use(address))?;
    let peer_relays = peer_relays(plan).await?;
    let platform_relays = platform_relays(plan).await?;
    Ok(StandIns {
        clock,
        store,
        platform,
        targets,
        records,
        peer_relays,
        platform_relays,
        _running: running,
    })
}

fn in_use<A>(address: A) -> String
where
    A: std::fmt::Display,
{
    format!("address {address} cannot be used; choose another --network")
}

async fn start_store(plan: &Plan, seed: u64, clock: Clock) -> anyhow::Result<StoreServer> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    let author = TeamId::new(FIRST_AUTHOR);
    let head = HeadRecord::first(&plan.text, author, unix_ms, OperationId(seed));
    let listener = |(index, name): (usize, &DataCentreId)| (name.clone(), plan.layout.store(index));
    let addresses: Vec<_> = plan.data_centres.iter().enumerate().map(listener).collect();
    let store = StoreServer::start(StoreState::new(seed), &addresses, clock).await;
    let store = store.with_context(|| in_use(plan.layout.store(0)))?;
    store.handle().put("document/head", serde_json::to_vec(&head)?.into());
    Ok(store)
}

async fn peer_relays(plan: &Plan) -> anyhow::Result<Vec<PeerRelay>> {
    let mut relays = Vec::new();
    for from in 0..plan.data_centres.len() {
        for (to_entry, planned) in plan.entries.iter().enumerate() {
            if planned.data_centre == from {
                continue;
            }
            let to = super::entries::peer_address(plan, planned);
            let relay = Relay::start(plan.layout.relay(from), to, ONE_WAY).await?;
            relays.push(PeerRelay { from, to_entry, relay });
        }
    }
    Ok(relays)
}

async fn platform_relays(plan: &Plan) -> anyhow::Result<Vec<PlatformRelays>> {
    let mut relays = Vec::new();
    for from in 0..plan.data_centres.len() {
        let (near, layout) = (plan.layout.relay(from), plan.layout);
        let store = Relay::start(near, layout.store(from), ONE_WAY).await?;
        let platform = Relay::start(near, layout.platform(), ONE_WAY).await?;
        relays.push(PlatformRelays { store, platform });
    }
    Ok(relays)
}
