//! The entry hosts of a run.

use std::{
    fmt::Write,
    net::SocketAddr,
    sync::{Arc, PoisonError},
    time::Duration,
};

use anyhow::{Context, anyhow, bail};
use hyper::Method;
use tamarackproxy::{
    node::{Node, NodeHandle},
    observability::init_logging,
    state::settings::Settings,
};

use super::{
    deployment::{EntryPlace, Plan},
    site::Site,
};
use crate::{
    caller::EntryAddresses,
    net::{Call, call},
};

/// Port for callers.
const CALLER_PORT: u16 = 8_080;
/// Port for operators.
const ADMIN_PORT: u16 = 8_081;
/// Port for other entry hosts.
const PEER_PORT: u16 = 8_082;
/// Time in which all entry hosts must be ready, in milliseconds.
const READY_WITHIN_MS: u64 = 30_000;
/// Interval between readiness checks, in milliseconds.
const READY_INTERVAL_MS: u64 = 100;

/// Returns the address for other entry hosts of the same data centre.
pub(super) fn peer_address(plan: &Plan, place: &EntryPlace) -> SocketAddr {
    SocketAddr::new(plan.layout.entry(place.data_centre, place.number), PEER_PORT)
}

/// Returns the address of the administration API of an entry host.
pub(super) fn admin_address(plan: &Plan, place: &EntryPlace) -> SocketAddr {
    SocketAddr::new(plan.layout.entry(place.data_centre, place.number), ADMIN_PORT)
}

/// Running entry hosts, in the order of the plan.
pub(super) struct Entries {
    plan: Arc<Plan>,
    settings: Vec<Settings>,
    nodes: Vec<Option<NodeHandle>>,
    /// Addresses that the platform's load balancer offers to callers.
    pub(super) callers: EntryAddresses,
}

impl Entries {
    /// Starts all entry hosts and waits until they are ready.
    pub(super) async fn start(
        plan: &Arc<Plan>,
        site: &Site,
        log_level: &str,
    ) -> anyhow::Result<Self> {
        let mut entries = Self {
            plan: plan.clone(),
            settings: Vec::new(),
            nodes: Vec::new(),
            callers: EntryAddresses::default(),
        };
        for place in &plan.entries {
            let text = settings_text(plan, site, place, log_level)?;
            let settings = Settings::parse(&text).map_err(|errors| anyhow!("{errors}"))?;
            if entries.settings.is_empty() && log_level != "off" {
                init_logging(&settings.log).map_err(|error| anyhow!("{error}"))?;
            }
            let node = Node::start(settings.clone()).map_err(|error| anyhow!("{error}"))?;
            entries.settings.push(settings);
            entries.nodes.push(Some(node));
        }
        for index in 0..plan.entries.len() {
            entries.wait_until_ready(index).await?;
        }
        entries.offer();
        Ok(entries)
    }

    /// Waits until an entry host reports itself ready.
    pub(super) async fn wait_until_ready(&self, index: usize) -> anyhow::Result<()> {
        let place = &self.plan.entries[index];
        let address = admin_address(&self.plan, place);
        for _ in 0..READY_WITHIN_MS / READY_INTERVAL_MS {
            let reply = call(Call::new(address, Method::GET, "/readyz")).await;
            if reply.is_ok_and(|reply| reply.status.is_success()) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(READY_INTERVAL_MS)).await;
        }
        bail!("entry host {} is not ready after {READY_WITHIN_MS} ms", place.entry)
    }

    /// Ends an entry host as a crash would.
    pub(super) fn kill(&mut self, index: usize) {
        if let Some(node) = self.nodes[index].take() {
            node.kill();
            // The thread ends at once; an error changes nothing here.
            let _ = node.join();
        }
        self.offer();
    }

    /// Starts an entry host again under its settings.
    pub(super) fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        let node = Node::start(self.settings[index].clone());
        self.nodes[index] = Some(node.map_err(|error| anyhow!("{error}"))?);
        self.offer();
        Ok(())
    }

    /// Stops all entry hosts gracefully and waits for them.
    pub(super) fn stop(&mut self) -> anyhow::Result<()> {
        let nodes: Vec<NodeHandle> = self.nodes.iter_mut().filter_map(Option::take).collect();
        for node in &nodes {
            node.stop_gracefully();
        }
        for node in nodes {
            node.join().map_err(|error| anyhow!("{error}"))?;
        }
        Ok(())
    }

    /// Tells the load balancer which entry hosts run.
    fn offer(&self) {
        let addresses = self.nodes.iter().flatten().map(NodeHandle::caller_address).collect();
        *self.callers.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }
}

/// Writes the settings of an entry host: other data centres, the store and
/// the platform are reached through relays.
fn settings_text(
    plan: &Plan,
    site: &Site,
    place: &EntryPlace,
    log_level: &str,
) -> anyhow::Result<String> {
    let ip = plan.layout.entry(place.data_centre, place.number);
    let relays = &site.platform_relays[place.data_centre];
    let mut text = format!(
        "[entry]\nname = {}\ndata_centre = {}\n\n\
         [listen]\ncallers = {ip}:{CALLER_PORT}\nadmin = {ip}:{ADMIN_PORT}\npeers = {ip}:{PEER_PORT}\n\n\
         [store]\naddress = {}\n\n[platform]\naddress = {}\nlist_interval = 500ms\n\n[log]\nlevel = {log_level}\n\n[peers]\n",
        place.entry,
        plan.data_centres[place.data_centre],
        relays.store.address(),
        relays.platform.address(),
    );
    for (index, peer) in plan.entries.iter().enumerate() {
        if peer.entry == place.entry {
            continue;
        }
        let relay =
            site.peer_relays.iter().find(|r| r.from == place.data_centre && r.to_entry == index);
        let address = relay.map_or_else(|| peer_address(plan, peer), |relay| relay.relay.address());
        let data_centre = &plan.data_centres[peer.data_centre];
        writeln!(text, "{} = {data_centre} {address}", peer.entry)
            .context("the settings cannot be written")?;
    }
    Ok(text)
}
