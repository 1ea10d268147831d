//! Deployment of one entry host with store, platform and targets, for benchmarks
//! and tests.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, PoisonError},
};

use anyhow::{Context, anyhow};

use super::{deployment::Plan, entries::Entries, layout::Layout, site::StandIns};
use crate::target::ServiceTimes;

#[cfg(test)]
use super::entries::admin_address;

/// CPU capacity of each host, in millicores.
const HOST_CPU_MILLICORES: u64 = 32_000;

/// A running deployment whose document has one data centre with one seat.
pub(crate) struct SingleEntry {
    plan: Arc<Plan>,
    entries: Entries,
    _stand_ins: StandIns,
}

impl SingleEntry {
    /// Starts the deployment and waits until the entry host is ready.
    pub(crate) async fn start(text: &str, times: ServiceTimes, seed: u64) -> anyhow::Result<Self> {
        let plan = Plan::of_text(text, HOST_CPU_MILLICORES, times, Layout::new(None)?)?;
        let plan = Arc::new(plan);
        let stand_ins = StandIns::start(&plan, seed)?;
        let entries = Entries::start(&plan, &stand_ins, "off").await?;
        Ok(Self { plan, entries, _stand_ins: stand_ins })
    }

    /// Returns the address for callers.
    pub(crate) fn caller_address(&self) -> anyhow::Result<SocketAddr> {
        let addresses = self.entries.callers.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.first().copied().ok_or_else(|| anyhow!("the entry host is not running"))
    }

    /// Returns the address of the administration API.
    #[cfg(test)]
    pub(super) fn admin_address(&self) -> anyhow::Result<SocketAddr> {
        let planned = self.plan.entries.first().context("the document has no seat")?;
        Ok(admin_address(&self.plan, planned))
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
        let planned = self.plan.entries.first().context("the document has no seat")?;
        Ok(planned.entry.to_string())
    }

    /// Stops the entry host gracefully.
    pub(crate) fn stop(mut self) -> anyhow::Result<()> {
        self.entries.stop()
    }
}
