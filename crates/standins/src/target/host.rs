//! The service instances on one host.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamarackproxy::state::ids::{HostId, ServiceId};

use super::{
    CONNECTIONS,
    faults::{ServiceTimes, TargetFaults},
    record::{Interruption, TargetRecords},
    server::Instance,
};
use crate::{
    clock::Clock,
    net::{Server, ServerOptions},
};

/// Port of a service's instances; port 0 takes a free one.
#[derive(Clone, Debug)]
pub struct InstanceAddress {
    /// The service.
    pub service: ServiceId,
    /// TCP port.
    pub port: u16,
}

pub(super) struct HostState {
    pub(super) faults: TargetFaults,
    pub(super) random: ChaCha8Rng,
}

/// State shared by the instances on one host.
pub(super) struct Shared {
    pub(super) host: HostId,
    pub(super) times: ServiceTimes,
    pub(super) clock: Clock,
    pub(super) records: Arc<Mutex<TargetRecords>>,
    state: Mutex<HostState>,
}

impl Shared {
    pub(super) fn state(&self) -> MutexGuard<'_, HostState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn records(&self) -> MutexGuard<'_, TargetRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle of the instances on one host; dropping it stops them.
pub struct TargetHost {
    shared: Arc<Shared>,
    servers: Vec<(ServiceId, Server)>,
}

impl TargetHost {
    /// Starts one listener per service on the current runtime. Every host listens
    /// for every service, so that requests to a host of the wrong pool are
    /// recorded.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if an address is in use.
    pub async fn start(
        host: HostId,
        address: IpAddr,
        services: &[InstanceAddress],
        times: ServiceTimes,
        records: Arc<Mutex<TargetRecords>>,
        clock: Clock,
        seed: u64,
    ) -> io::Result<Self> {
        let state =
            HostState { faults: TargetFaults::default(), random: ChaCha8Rng::seed_from_u64(seed) };
        let shared = Arc::new(Shared { host, times, clock, records, state: Mutex::new(state) });
        let mut servers = Vec::new();
        for InstanceAddress { service, port } in services {
            let instance = Instance::new(service.clone(), shared.clone());
            let options = ServerOptions { max_connections: Some(CONNECTIONS) };
            let server = Server::start(SocketAddr::new(address, *port), options, instance).await?;
            servers.push((service.clone(), server));
        }
        Ok(Self { shared, servers })
    }

    /// Returns the name of the host.
    pub fn host(&self) -> &HostId {
        &self.shared.host
    }

    /// Returns the address of one instance.
    pub fn address(&self, service: &ServiceId) -> Option<SocketAddr> {
        let server = self.servers.iter().find(|(name, _)| name == service)?;
        Some(server.1.address())
    }

    /// Returns the number of connections closed because of the connection limit.
    pub fn refused_connections(&self) -> u64 {
        self.servers.iter().map(|(_, server)| server.refused_connections()).sum()
    }

    /// Sets the faults of all instances on the host.
    pub fn set_faults(&self, faults: TargetFaults) {
        let was_leaving = std::mem::replace(&mut self.shared.state().faults, faults).leaving;
        if was_leaving && !faults.leaving {
            let now_ms = self.shared.clock.now_ms();
            self.shared.records().end_leaving_signals(&self.shared.host, now_ms);
        }
    }

    /// Interrupts all runs, closes all connections and stops listening; returns the
    /// number of interrupted runs.
    pub fn stop(&self, interruption: Interruption) -> usize {
        let now_ms = self.shared.clock.now_ms();
        let count = self.shared.records().interrupt_host(&self.shared.host, now_ms, interruption);
        for (_, server) in &self.servers {
            server.set_open(false);
        }
        count
    }

    /// Listens again after [`TargetHost::stop`].
    pub fn come_back(&self) {
        for (_, server) in &self.servers {
            server.set_open(true);
        }
    }
}
