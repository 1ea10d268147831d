//! Starts, kills, restarts and stops the entry hosts of a run.

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
    deployment::{Plan, PlannedEntry},
    site::StandIns,
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
/// Time after which an entry host that is not ready fails the run, in milliseconds.
const READY_TIMEOUT_MS: u64 = 30_000;
/// Interval between readiness checks, in milliseconds.
const READY_INTERVAL_MS: u64 = 100;

/// Returns the address for other entry hosts of the same data centre.
pub(super) fn peer_address(plan: &Plan, planned: &PlannedEntry) -> SocketAddr {
    SocketAddr::new(plan.layout.entry(planned.data_centre, planned.number), PEER_PORT)
}

/// Returns the address of the administration API of an entry host.
pub(super) fn admin_address(plan: &Plan, planned: &PlannedEntry) -> SocketAddr {
    SocketAddr::new(plan.layout.entry(planned.data_centre, planned.number), ADMIN_PORT)
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
        stand_ins: &StandIns,
        log_level: &str,
    ) -> anyhow::Result<Self> {
        let mut entries = Self {
            plan: plan.clone(),
            settings: Vec::new(),
            nodes: Vec::new(),
            callers: EntryAddresses::default(),
        };
        for planned in &plan.entries {
            let text = settings_text(plan, stand_ins, planned, log_level)?;
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
        entries.update_load_balancer();
        Ok(entries)
    }

    /// Waits until an entry host reports itself ready.
    pub(super) async fn wait_until_ready(&self, index: usize) -> anyhow::Result<()> {
        let planned = &self.plan.entries[index];
        let address = admin_address(&self.plan, planned);
        for _ in 0..READY_TIMEOUT_MS / READY_INTERVAL_MS {
            let reply = call(Call::new(address, Method::GET, "/readyz")).await;
            if reply.is_ok_and(|reply| reply.status.is_success()) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(READY_INTERVAL_MS)).await;
        }
        bail!("entry host {} is not ready after {READY_TIMEOUT_MS} ms", planned.entry)
    }

    /// Stops an entry host without clean-up, as a crash would, and removes it from
    /// the load balancer.
    pub(super) fn kill(&mut self, index: usize) {
        if let Some(node) = self.nodes[index].take() {
            node.kill();
            // The entry host was killed, so an error of its thread does not matter.
            let _ = node.join();
        }
        self.update_load_balancer();
    }

    /// Starts an entry host again with its previous settings.
    pub(super) fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        let node = Node::start(self.settings[index].clone());
        self.nodes[index] = Some(node.map_err(|error| anyhow!("{error}"))?);
        self.update_load_balancer();
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

    /// Updates the load balancer with the addresses of the running entry hosts.
    fn update_load_balancer(&self) {
        let addresses = self.nodes.iter().flatten().map(NodeHandle::caller_address).collect();
        *self.callers.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }
}

/// Returns the settings of an entry host, which reaches other data centres, the
/// store and the platform through relays.
fn settings_text(
    plan: &Plan,
    stand_ins: &StandIns,
    planned: &PlannedEntry,
    log_level: &str,
) -> anyhow::Result<String> {
    let ip = plan.layout.entry(planned.data_centre, planned.number);
    let relays = &stand_ins.platform_relays[planned.data_centre];
    let mut text = format!(
        "[entry]\nname = {}\ndata_centre = {}\n\n\
         [listen]\ncallers = {ip}:{CALLER_PORT}\nadmin = {ip}:{ADMIN_PORT}\npeers = {ip}:{PEER_PORT}\n\n\
         [store]\naddress = {}\n\n[platform]\naddress = {}\nlist_interval = 500ms\n\n[log]\nlevel = {log_level}\n\n[peers]\n",
        planned.entry,
        plan.data_centres[planned.data_centre],
        relays.store.address(),
        relays.platform.address(),
    );
    for (index, peer) in plan.entries.iter().enumerate() {
        if peer.entry == planned.entry {
            continue;
        }
        let relay = stand_ins
            .peer_relays
            .iter()
            .find(|r| r.from == planned.data_centre && r.to_entry == index);
        let address = relay.map_or_else(|| peer_address(plan, peer), |relay| relay.relay.address());
        let data_centre = &plan.data_centres[peer.data_centre];
        writeln!(text, "{} = {data_centre} {address}", peer.entry)
            .context("the settings cannot be written")?;
    }
    Ok(text)
}
