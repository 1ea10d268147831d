//! State of other entry hosts: seats, gateways, and the exchange of load.

use std::collections::BTreeMap;

use super::{Effect, NodeCore};
use crate::{
    coordination::{
        configuration::ConfigurationEvent,
        fleet::{FleetEvent, FleetMessage, ServiceDemand},
        once::OnceEvent,
        requests::{RequestsEvent, RequestsMessage, ServiceLoad},
        seats::{LivePeer, SeatsEvent, SeatsMessage},
    },
    protocol::peer::{Hello, PeerMessage},
    state::ids::{DataCentreId, EntryId, ServiceId, Term},
};

/// Interval at which load is sent to the peers of the data centre, in
/// milliseconds.
const LOAD_INTERVAL_MS: u64 = 500;
/// Interval at which gateways exchange load, in milliseconds; at twice the
/// rate a gateway among 15 data centres sends more than 30 KB/s. A change of
/// seat holders is sent without waiting for the interval.
const REMOTE_LOAD_INTERVAL_MS: u64 = 1_000;
/// Time from acquiring a seat until its holder may be the gateway, in
/// milliseconds: two heartbeats.
const GATEWAY_DELAY_MS: u64 = 2_000;
/// Time from acquiring a seat until it is used if there are other seats, in
/// milliseconds: a heartbeat that shows the seat to the peers (1 s), and their
/// reply, which names hosts that are leaving.
const NEW_SEAT_WAIT_MS: u64 = 1_500;
/// Age at which a peer's load no longer counts, in milliseconds.
const LOAD_MAX_AGE_MS: u64 = 3 * LOAD_INTERVAL_MS;

/// What this entry host knows of the others.
pub(super) struct Peers {
    hello: Hello,
    pub(super) live: Vec<LivePeer>,
    pub(super) gateways: Vec<(DataCentreId, EntryId)>,
    pub(super) seat: Option<(u16, Term)>,
    /// Monotonic time from which this entry host may be the gateway, in
    /// milliseconds.
    gateway_eligible_from_ms: u64,
    /// Whether `gateway_eligible_from_ms` has passed.
    is_gateway_eligible: bool,
    /// Whether the seat is held but must not be used until it is confirmed.
    pub(super) is_suspended: bool,
    /// Monotonic time until which a new seat is not used, in milliseconds, so
    /// that peers can first report which hosts are leaving.
    pub(super) new_seat_wait_until_ms: Option<u64>,
    /// Monotonic time until which the seat is not used after a pause, in
    /// milliseconds, unless a peer shows earlier that nothing was missed.
    pub(super) catching_up_until_ms: Option<u64>,
    /// Last loads of the peers of this data centre, with the monotonic time of
    /// receipt, in milliseconds.
    loads: BTreeMap<EntryId, (u64, Vec<ServiceLoad>)>,
    /// Last known holders of each data centre's seats, from listings of the
    /// store, which are infrequent.
    listed_holders: BTreeMap<DataCentreId, Vec<Option<EntryId>>>,
    /// Live holders of each data centre's seats, as reported by its gateway.
    live_holders: BTreeMap<DataCentreId, Vec<Option<EntryId>>>,
    next_load_ms: u64,
    next_remote_load_ms: u64,
}

impl Peers {
    pub(super) fn new(hello: Hello) -> Self {
        Self {
            hello,
            live: Vec::new(),
            gateways: Vec::new(),
            seat: None,
            gateway_eligible_from_ms: 0,
            is_gateway_eligible: false,
            is_suspended: false,
            new_seat_wait_until_ms: None,
            catching_up_until_ms: None,
            loads: BTreeMap::new(),
            listed_holders: BTreeMap::new(),
            live_holders: BTreeMap::new(),
            next_load_ms: 0,
            next_remote_load_ms: 0,
        }
    }

    /// Returns the seat of this entry host while it may be used.
    pub(super) fn usable_seat(&self) -> Option<u16> {
        let is_usable = !self.is_suspended
            && self.new_seat_wait_until_ms.is_none()
            && self.catching_up_until_ms.is_none();
        self.seat.filter(|_| is_usable).map(|(index, _)| index)
    }

    /// Returns the live holder of a seat of this data centre.
    pub(super) fn holder_of(&self, seat: u16) -> Option<&EntryId> {
        self.live.iter().find(|peer| peer.seat == Some(seat)).map(|peer| &peer.entry)
    }

    /// Returns the gateway of another data centre.
    pub(super) fn gateway_of(&self, data_centre: &DataCentreId) -> Option<&EntryId> {
        self.gateways.iter().find(|(name, _)| name == data_centre).map(|(_, entry)| entry)
    }

    /// Returns the live holders of this data centre's seats, by index.
    fn local_holders(&self) -> Vec<Option<EntryId>> {
        let peers = self.live.iter().filter_map(|peer| Some((peer.seat?, &peer.entry)));
        let own = self.seat.map(|(index, _)| (index, &self.hello.entry));
        let mut holders = Vec::new();
        for (index, entry) in peers.chain(own) {
            let index = usize::from(index);
            if holders.len() <= index {
                holders.resize(index + 1, None);
            }
            holders[index] = Some(entry.clone());
        }
        holders
    }

    /// Returns the gateway of this data centre if it is another entry host.
    pub(super) fn local_gateway(&self) -> Option<&EntryId> {
        let seated = self.live.iter().filter_map(|peer| Some((peer.seat?, &peer.entry)));
        seated.min().map(|(_, entry)| entry)
    }

    /// Sets or clears the seat. A new holder becomes the gateway only once the
    /// holder of a lower seat has had time to make itself known. Otherwise it
    /// would acquire control of pools, stop controlling them when it hears of the
    /// lower seat, and leave them without a controller until its leases expire.
    pub(super) fn set_seat(&mut self, seat: Option<(u16, Term)>, has_peers: bool, now_ms: u64) {
        if self.seat.is_none() {
            let waits = seat.is_some() && has_peers;
            self.new_seat_wait_until_ms = waits.then_some(now_ms + NEW_SEAT_WAIT_MS);
            self.gateway_eligible_from_ms = now_ms + GATEWAY_DELAY_MS;
            self.is_gateway_eligible = false;
        }
        self.seat = seat;
    }

    /// Returns whether this entry host is the gateway of its data centre: it
    /// holds the lowest live seat and has waited long enough to know.
    pub(super) fn is_gateway(&self) -> bool {
        if !self.is_gateway_eligible {
            return false;
        }
        let Some(own) = self.usable_seat() else { return false };
        self.live.iter().filter_map(|peer| peer.seat).all(|seat| seat > own)
    }

    pub(super) fn live_entries(&self) -> Vec<EntryId> {
        self.live.iter().map(|peer| peer.entry.clone()).collect()
    }
}

/// Sums loads of several entry hosts by service; the service time is the mean
/// weighted by requests in flight.
fn sum_loads<'a, I>(loads: I) -> Vec<ServiceLoad>
where
    I: IntoIterator<Item = &'a ServiceLoad>,
{
    let mut sums: BTreeMap<ServiceId, ServiceLoad> = BTreeMap::new();
    for load in loads {
        match sums.get_mut(&load.service) {
            Some(sum) => {
                let in_flight = u64::from(sum.in_flight) + u64::from(load.in_flight);
                let weighted = u64::from(sum.service_ms) * u64::from(sum.in_flight)
                    + u64::from(load.service_ms) * u64::from(load.in_flight);
                let mean_ms = weighted.checked_div(in_flight).and_then(|ms| ms.try_into().ok());
                sum.service_ms = mean_ms.unwrap_or(sum.service_ms.max(load.service_ms));
                sum.idle_slots += load.idle_slots;
                sum.queued += load.queued;
                sum.in_flight += load.in_flight;
            }
            None => {
                sums.insert(load.service.clone(), load.clone());
            }
        }
    }
    sums.into_values().collect()
}

impl NodeCore {
    /// Sends a control message; one to this entry host itself is handled
    /// immediately.
    pub(super) fn send(&mut self, to: &EntryId, message: PeerMessage) {
        if *to == self.peers.hello.entry {
            let hello = self.peers.hello.clone();
            return self.on_message(&hello, message);
        }
        self.effects.push(Effect::SendPeer { to: to.clone(), message });
    }

    pub(super) fn on_message(&mut self, hello: &Hello, message: PeerMessage) {
        let from = hello.entry.clone();
        match message {
            PeerMessage::Hello(_) => {}
            PeerMessage::Seats(message) => {
                if let SeatsMessage::Heartbeat(heartbeat) = &message {
                    self.compare_with_peer(heartbeat.in_force, heartbeat.fleet_version);
                }
                self.on_seats(SeatsEvent::Received { from, message });
            }
            PeerMessage::Requests(message) => {
                if let RequestsMessage::Leaving { host } = &message {
                    log::info!(host = host.as_str(); "a peer reports that the host is leaving");
                }
                self.on_requests(RequestsEvent::Received { from, message });
            }
            PeerMessage::Once(message) => self.on_once(OnceEvent::Received { from, message }),
            PeerMessage::Configuration(message) => {
                self.on_configuration(ConfigurationEvent::Received { from, message });
            }
            PeerMessage::Fleet(FleetMessage::DrainQuery { host, version, drains }) => {
                self.on_drain_query(&from, host, version, drains);
            }
            PeerMessage::Fleet(message) => self.on_fleet(FleetEvent::Received { from, message }),
            PeerMessage::Jobs(message) => self.on_jobs_message(message),
            PeerMessage::HealthQuery { host } => self.check_health(host, Some(from)),
            PeerMessage::HealthStatus { host, healthy } => self.on_health(host, healthy, None),
            PeerMessage::ListedLeaving { hosts } => self.set_leaving(hosts),
            PeerMessage::Load { data_centre, holders, loads } => {
                self.on_load(from, data_centre, holders, loads);
            }
        }
    }

    fn on_load(
        &mut self,
        from: EntryId,
        data_centre: DataCentreId,
        holders: Vec<Option<EntryId>>,
        loads: Vec<ServiceLoad>,
    ) {
        if data_centre == self.data_centre {
            self.peers.loads.insert(from, (self.now.monotonic_ms, loads));
            return;
        }
        let comes_from_gateway = self.peers.gateway_of(&data_centre) == Some(&from);
        if comes_from_gateway && self.peers.is_gateway() {
            for peer in self.peers.live_entries() {
                let (data_centre, loads) = (data_centre.clone(), loads.clone());
                self.send(&peer, PeerMessage::Load { data_centre, holders: Vec::new(), loads });
            }
            self.set_live_holders(&data_centre, holders);
        }
        if let Some(gateway) = self.peers.gateway_of(&data_centre).cloned() {
            self.report_demand(&data_centre, &loads);
            self.on_requests(RequestsEvent::RemoteLoad { data_centre, gateway, loads });
        }
    }

    /// Sets the last known holders of a data centre's seats from a listing.
    pub(super) fn set_listed_holders(
        &mut self,
        data_centre: DataCentreId,
        holders: Vec<Option<EntryId>>,
    ) {
        self.peers.listed_holders.insert(data_centre.clone(), holders);
        self.publish_holders(data_centre);
    }

    /// Sets the live holders of a data centre's seats and returns whether they
    /// have changed.
    fn set_live_holders(
        &mut self,
        data_centre: &DataCentreId,
        holders: Vec<Option<EntryId>>,
    ) -> bool {
        if self.peers.live_holders.get(data_centre) == Some(&holders) {
            return false;
        }
        self.peers.live_holders.insert(data_centre.clone(), holders);
        self.publish_holders(data_centre.clone());
        true
    }

    /// Informs the fleet engine of the seat holders that must confirm drains. A
    /// listing is up to a minute old and lacks seats that were acquired since, so
    /// a live holder takes precedence over the listed one, which counts until its
    /// seat is taken over.
    fn publish_holders(&mut self, data_centre: DataCentreId) {
        let empty = Vec::new();
        let listed = self.peers.listed_holders.get(&data_centre).unwrap_or(&empty);
        let live = self.peers.live_holders.get(&data_centre).unwrap_or(&empty);
        let seat = |holders: &Vec<Option<EntryId>>, index| holders.get(index).cloned().flatten();
        let holders = (0..listed.len().max(live.len()))
            .map(|index| seat(live, index).or_else(|| seat(listed, index)))
            .collect();
        self.on_fleet(FleetEvent::SeatsChanged { data_centre, holders });
    }

    fn report_demand(&mut self, data_centre: &DataCentreId, loads: &[ServiceLoad]) {
        if !self.peers.is_gateway() {
            return;
        }
        let demand = loads.iter().map(|load| ServiceDemand {
            service: load.service.clone(),
            data_centre: data_centre.clone(),
            in_flight: load.in_flight,
            queued: load.queued,
            service_ms: load.service_ms,
        });
        let demand = demand.collect();
        self.on_fleet(FleetEvent::Demand { demand });
    }

    /// Sends load to the peers of the data centre, and the sum over the data
    /// centre to the other gateways if this entry host is one.
    pub(super) fn tick_peers(&mut self) {
        let now_ms = self.now.monotonic_ms;
        self.peers.is_gateway_eligible |= now_ms >= self.peers.gateway_eligible_from_ms;
        if now_ms < self.peers.next_load_ms {
            return;
        }
        self.peers.next_load_ms = now_ms + LOAD_INTERVAL_MS;
        let own = self.requests.loads();
        let data_centre = self.data_centre.clone();
        for peer in self.peers.live_entries() {
            let loads = own.clone();
            let data_centre = data_centre.clone();
            self.send(&peer, PeerMessage::Load { data_centre, holders: Vec::new(), loads });
        }
        self.peers.loads.retain(|_, (at_ms, _)| *at_ms + LOAD_MAX_AGE_MS > now_ms);
        if !self.peers.is_gateway() {
            return;
        }
        let of_peers = self.peers.loads.values().flat_map(|(_, loads)| loads);
        let sum = sum_loads(own.iter().chain(of_peers));
        self.report_demand(&data_centre, &sum);
        let holders = self.peers.local_holders();
        if self.set_live_holders(&data_centre, holders.clone()) {
            self.peers.next_remote_load_ms = now_ms;
        }
        if now_ms < self.peers.next_remote_load_ms {
            return;
        }
        self.peers.next_remote_load_ms = now_ms + REMOTE_LOAD_INTERVAL_MS;
        for (_, gateway) in self.peers.gateways.clone() {
            let (data_centre, holders, loads) = (data_centre.clone(), holders.clone(), sum.clone());
            self.send(&gateway, PeerMessage::Load { data_centre, holders, loads });
        }
    }
}
