//! Connects the fleet engine: host records, the platform's host list and health
//! checks.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use super::{Effect, Engine, NodeCore};
use crate::{
    coordination::{
        fleet::{FleetAction, FleetEvent, FleetMessage, FleetReport},
        requests::{RequestsEvent, TargetState},
        seats::SeatsEvent,
    },
    protocol::{
        peer::PeerMessage,
        platform::{ListedHost, ListedState},
    },
    state::{
        document::Document,
        ids::{EntryId, HostId, TargetId},
        records::HostRecord,
    },
};

/// Delay from the receipt of a record that stops new work on a host to the first
/// confirmation of its drain, in milliseconds. A seat that was acquired just
/// before is known to every controller by then: one heartbeat (1 s) and the
/// exchange of changed holders (0.5 s).
const DRAIN_CONFIRMATION_DELAY_MS: u64 = 1_500;

/// Reports that are kept for operators; beyond this the oldest is dropped.
const REPORTS_MAX: usize = 256;

/// Host records and state derived from them.
#[derive(Default)]
pub(super) struct FleetState {
    pub(super) version: u64,
    pub(super) records: Arc<Vec<(u64, HostRecord)>>,
    addresses: HashMap<TargetId, SocketAddr>,
    by_host: BTreeMap<HostId, usize>,
    /// Record version of each host that takes no new work, with the monotonic
    /// time at which this version was first seen, in milliseconds.
    closed_hosts: HashMap<HostId, (u64, u64)>,
    next_list_ms: u64,
    leaving: Vec<HostId>,
    pub(super) reports: Vec<(u64, FleetReport)>,
}

impl FleetState {
    pub(super) fn address_of(&self, target: &TargetId) -> Option<SocketAddr> {
        self.addresses.get(target).copied()
    }

    pub(super) fn record(&self, host: &HostId) -> Option<&(u64, HostRecord)> {
        self.records.get(*self.by_host.get(host)?)
    }
}

/// Returns the service instances on a host, with their addresses.
fn instances<'a>(
    document: &'a Document,
    record: &'a HostRecord,
) -> impl Iterator<Item = (TargetId, SocketAddr)> + 'a {
    let services = document.services.iter().filter(|(_, service)| service.pool == record.pool);
    services.filter_map(|(name, service)| {
        let address = SocketAddr::new(record.address.parse().ok()?, service.port);
        Some((TargetId::new(name.clone(), record.host.clone()), address))
    })
}

impl NodeCore {
    pub(super) fn on_fleet(&mut self, event: FleetEvent) {
        let mut actions = Vec::new();
        self.fleet.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_fleet(action);
        }
    }

    fn apply_fleet(&mut self, action: FleetAction) {
        match action {
            FleetAction::Send { to, message } => self.send(&to, PeerMessage::Fleet(message)),
            FleetAction::Reboot { host, operation } => {
                self.effects.push(Effect::Reboot { host, operation });
            }
            // Only emitted if the engine is configured to stop jobs first.
            FleetAction::StopJobs { .. } => {}
            FleetAction::CheckHealth { host } => self.request_health_check(host),
            FleetAction::Store { call, request } => self.call_store(Engine::Fleet, call, request),
            FleetAction::Report { report } => {
                log::warn!("{report}");
                if self.fleet_state.reports.len() == REPORTS_MAX {
                    self.fleet_state.reports.remove(0);
                }
                self.fleet_state.reports.push((self.now.unix_ms, report));
            }
        }
    }

    /// Applies new host records and derives targets and addresses from them.
    pub(super) fn on_fleet_changed(&mut self, version: u64, records: Arc<Vec<(u64, HostRecord)>>) {
        self.fleet_state.version = version;
        self.fleet_state.by_host = records
            .iter()
            .enumerate()
            .map(|(index, (_, record))| (record.host.clone(), index))
            .collect();
        let now_ms = self.now.monotonic_ms;
        let mut closed_hosts = HashMap::new();
        for (version, record) in records.iter().filter(|(_, r)| !r.phase.accepts_work()) {
            let known = self.fleet_state.closed_hosts.get(&record.host);
            let known = known.filter(|(known, _)| known == version).copied();
            closed_hosts.insert(record.host.clone(), known.unwrap_or((*version, now_ms)));
        }
        self.fleet_state.closed_hosts = closed_hosts;
        self.fleet_state.records = Arc::clone(&records);
        self.publish_targets();
        self.on_fleet(FleetEvent::FleetChanged { records });
        self.publish_in_force();
    }

    /// Passes the versions that heartbeats report to the seat engine.
    pub(super) fn publish_in_force(&mut self) {
        let in_force = (self.position.epoch, self.position.revision);
        let fleet_version = self.fleet_state.version;
        self.on_seats(SeatsEvent::StateChanged { in_force, fleet_version });
    }

    /// Derives this data centre's targets from the document and the host records.
    pub(super) fn publish_targets(&mut self) {
        let Some(view) = &self.view else { return };
        let document = Arc::clone(view.document());
        let records = Arc::clone(&self.fleet_state.records);
        let own = &self.data_centre;
        let local = records.iter().filter(|(_, record)| record.data_centre == *own);
        let mut addresses = HashMap::new();
        let mut targets = Vec::new();
        for (_, record) in local {
            for (target, address) in instances(&document, record) {
                addresses.insert(target.clone(), address);
                targets.push(TargetState {
                    target,
                    data_centre: own.clone(),
                    accepts_work: record.phase.accepts_work()
                        && !self.fleet_state.leaving.contains(&record.host),
                });
            }
        }
        let known = addresses.values().copied().collect();
        self.effects.push(Effect::RetainConnections { addresses: known });
        self.fleet_state.addresses = addresses;
        self.on_requests(RequestsEvent::TargetsChanged { targets });
    }

    /// Answers a controller that drains a host.
    pub(super) fn on_drain_query(
        &mut self,
        from: &EntryId,
        host: HostId,
        version: u64,
        drains: bool,
    ) {
        let seen = self.fleet_state.record(&host).map_or(0, |(seen, _)| *seen);
        if seen < version {
            if drains {
                // The push of the record was lost; the query shows that the host is leaving.
                self.on_requests(RequestsEvent::HostLeaving { host });
            }
            return;
        }
        let closed_since_ms = self.fleet_state.closed_hosts.get(&host).map_or(0, |(_, ms)| *ms);
        if self.now.monotonic_ms < closed_since_ms + DRAIN_CONFIRMATION_DELAY_MS {
            return;
        }
        let in_flight = self.requests.in_flight_on(&host);
        let status = FleetMessage::DrainStatus { host, version, in_flight };
        self.send(from, PeerMessage::Fleet(status));
    }

    /// Reads the platform's host list when it is due.
    pub(super) fn poll_host_list(&mut self) {
        if self.now.monotonic_ms < self.fleet_state.next_list_ms {
            return;
        }
        let interval_ms = self.list_interval_ms;
        self.fleet_state.next_list_ms = self.now.monotonic_ms + interval_ms;
        self.effects.push(Effect::ListHosts);
    }

    /// Applies the platform's host list and tells the peers which hosts are
    /// leaving.
    pub(super) fn on_listed(&mut self, hosts: Option<Vec<ListedHost>>) {
        let Some(hosts) = hosts else { return };
        let own = &self.data_centre;
        let leaving = hosts
            .iter()
            .filter(|host| host.state == ListedState::Leaving && host.data_centre == *own)
            .map(|host| host.host.clone());
        let leaving: Vec<HostId> = leaving.collect();
        if !(leaving.is_empty() && self.fleet_state.leaving.is_empty()) {
            for peer in self.peers.live_entries() {
                self.send(&peer, PeerMessage::ListedLeaving { hosts: leaving.clone() });
            }
        }
        self.set_leaving(leaving);
        self.update_workers(&hosts);
        self.on_fleet(FleetEvent::HostsListed { hosts });
    }

    /// Sets the hosts of this data centre that are listed as leaving; they get no
    /// new work whatever their records say.
    pub(super) fn set_leaving(&mut self, hosts: Vec<HostId>) {
        if hosts != self.fleet_state.leaving {
            self.fleet_state.leaving = hosts;
            self.publish_targets();
        }
    }

    /// Checks the health of a host, or asks the gateway of its data centre to.
    fn request_health_check(&mut self, host: HostId) {
        let Some((_, record)) = self.fleet_state.record(&host) else { return };
        if record.data_centre == self.data_centre {
            return self.check_health(host, None);
        }
        if let Some(gateway) = self.peers.gateway_of(&record.data_centre).cloned() {
            self.send(&gateway, PeerMessage::HealthQuery { host });
        }
    }

    /// Checks the health of every instance on the host.
    pub(super) fn check_health(&mut self, host: HostId, asked_by: Option<EntryId>) {
        let (Some(view), Some((_, record))) = (&self.view, self.fleet_state.record(&host)) else {
            return;
        };
        let instances = instances(view.document(), record).map(|(_, address)| address);
        let addresses: Vec<SocketAddr> = instances.collect();
        self.effects.push(Effect::CheckHealth { host, addresses, asked_by });
    }

    pub(super) fn on_health(&mut self, host: HostId, healthy: bool, asked_by: Option<EntryId>) {
        match asked_by {
            Some(peer) => self.send(&peer, PeerMessage::HealthStatus { host, healthy }),
            None => self.on_fleet(FleetEvent::HealthChecked { host, healthy }),
        }
    }
}
