//! One entry host with store, platform and targets, for measurements.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, PoisonError},
};

use anyhow::{Context, anyhow};

use super::{deployment::Plan, entries::Entries, layout::Layout, site::Site};
use crate::target::ServiceTimes;

#[cfg(test)]
use super::entries::admin_address;

/// Processors of each host, in thousandths.
const HOST_CPU_MILLICORES: u64 = 32_000;

/// A running deployment whose document has one data centre with one seat.
pub(crate) struct SingleEntry {
    plan: Arc<Plan>,
    entries: Entries,
    _site: Site,
}

impl SingleEntry {
    /// Starts everything and waits until the entry host is ready.
    pub(crate) async fn start(text: &str, times: ServiceTimes, seed: u64) -> anyhow::Result<Self> {
        let plan = Plan::of_text(text, HOST_CPU_MILLICORES, times, Layout::new(None)?)?;
        let plan = Arc::new(plan);
        let site = Site::start(&plan, seed)?;
        let entries = Entries::start(&plan, &site, "off").await?;
        Ok(Self { plan, entries, _site: site })
    }

    /// Returns the address for callers.
    pub(crate) fn caller_address(&self) -> anyhow::Result<SocketAddr> {
        let addresses = self.entries.callers.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.first().copied().ok_or_else(|| anyhow!("the entry host has ended"))
    }

    /// Returns the address of the administration API.
    #[cfg(test)]
    pub(super) fn admin_address(&self) -> anyhow::Result<SocketAddr> {
        let place = self.plan.entries.first().context("the document has no seat")?;
        Ok(admin_address(&self.plan, place))
    }

    /// Returns the address of the first target.
    pub(crate) fn target_address(&self) -> anyhow::Result<SocketAddr> {
        let host = self.plan.hosts.first().context("the document has no hosts")?;
        let address: IpAddr = host.address.parse()?;
        let instance = self.plan.instances().into_iter().next();
        let port = instance.context("the document has no service")?.port;
        Ok(SocketAddr::new(address, port))
    }

    /// Returns the name of the entry host and of its thread.
    pub(crate) fn entry(&self) -> anyhow::Result<String> {
        let place = self.plan.entries.first().context("the document has no seat")?;
        Ok(place.entry.to_string())
    }

    /// Stops the entry host gracefully.
    pub(crate) fn stop(mut self) -> anyhow::Result<()> {
        self.entries.stop()
    }
}
