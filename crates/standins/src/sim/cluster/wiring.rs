//! Carries out the actions of the engines, in place of the real program.

use tamarackproxy::{
    coordination::{
        configuration::{ConfigurationAction, ConfigurationEvent, Position},
        seats::{SeatsAction, SeatsEvent},
    },
    protocol::peer::PeerMessage,
};

use super::{Cluster, NodeIndex};
use crate::sim::{PutOutcome, event::CallingEngine, node::clock_reading};

impl Cluster {
    pub(super) fn deliver_to_seats(&mut self, node: NodeIndex, event: SeatsEvent) {
        let mut actions = Vec::new();
        self.nodes[node].seats.handle(clock_reading(self.now_us), event, &mut actions);
        actions.into_iter().for_each(|action| self.on_seats_action(node, action));
    }

    pub(super) fn deliver_to_configuration(&mut self, node: NodeIndex, event: ConfigurationEvent) {
        let mut actions = Vec::new();
        self.nodes[node].configuration.handle(clock_reading(self.now_us), event, &mut actions);
        actions.into_iter().for_each(|action| self.on_configuration_action(node, action));
    }

    fn on_seats_action(&mut self, node: NodeIndex, action: SeatsAction) {
        match action {
            SeatsAction::Send { to, message } => self.send(node, &to, PeerMessage::Seats(message)),
            SeatsAction::Store { call, request } => {
                self.call_store(node, CallingEngine::Seats, call, request);
            }
            SeatsAction::PeersChanged { peers } => {
                self.nodes[node].peers = peers.into_iter().map(|peer| peer.entry).collect();
                self.deliver_to_configuration(node, self.nodes[node].peers_changed());
            }
            SeatsAction::GatewaysChanged { gateways } => {
                self.nodes[node].gateways = gateways;
                self.deliver_to_configuration(node, self.nodes[node].peers_changed());
            }
            SeatsAction::PeerIsAhead { peer, in_force: (epoch, revision), fleet_version } => {
                let position = Position { epoch, revision };
                let event = ConfigurationEvent::PeerIsAhead { peer, position, fleet_version };
                self.deliver_to_configuration(node, event);
            }
            action => self.record_seat_action(node, action),
        }
    }

    fn record_seat_action(&mut self, node: NodeIndex, action: SeatsAction) {
        if let SeatsAction::SeatHeld { index, term } | SeatsAction::SeatResumed { index, term } =
            action
        {
            let data_centre = self.nodes[node].data_centre;
            let shared = (0..self.nodes.len()).any(|other| {
                other != node
                    && self.nodes[other].data_centre == data_centre
                    && self.is_running(other)
                    && self.seat(other).is_some_and(|(held, _)| held == index)
            });
            self.observations.shared_seats += u64::from(shared);
            let last = self.observations.terms.insert((data_centre, index), (term, node));
            let falls =
                last.is_some_and(|(last, holder)| last > term || last == term && holder != node);
            self.observations.falling_terms += u64::from(falls);
        }
        self.observations.seat_actions.push((self.now_us, node, action));
    }

    fn on_configuration_action(&mut self, node: NodeIndex, action: ConfigurationAction) {
        match action {
            ConfigurationAction::Send { to, message } => {
                self.send(node, &to, PeerMessage::Configuration(message));
            }
            ConfigurationAction::Store { call, request } => {
                self.call_store(node, CallingEngine::Configuration, call, request);
            }
            ConfigurationAction::InForce { position, document, .. } => {
                self.record_in_force(node, position);
                let name = &self.nodes[node].address.data_centre;
                let seats = document.data_centres.get(name).map(|section| section.seats);
                if self.nodes[node].configured_seats != seats {
                    self.nodes[node].configured_seats = seats;
                    let seats = seats.unwrap_or(0);
                    self.deliver_to_seats(node, SeatsEvent::SeatsConfigured { seats });
                }
                self.deliver_to_seats(node, self.nodes[node].state_changed());
            }
            ConfigurationAction::FleetChanged { records, .. } => {
                self.nodes[node].records = records;
                self.deliver_to_seats(node, self.nodes[node].state_changed());
            }
            ConfigurationAction::Ready { ready } => self.nodes[node].ready = ready,
            ConfigurationAction::StoreRestored { .. } => self.observations.restored_alerts += 1,
            ConfigurationAction::PutEnded { call, result } => {
                let outcome = PutOutcome { at_us: self.now_us, node, result };
                self.observations.puts.insert(call, outcome);
            }
            ConfigurationAction::WaitEnded { call, reached } => {
                self.observations.waits.insert(call, (self.now_us, reached));
            }
            ConfigurationAction::Watch { prefix, from_version } => {
                self.start_watch(node, prefix, from_version);
            }
            ConfigurationAction::Unwatch { prefix } => {
                self.nodes[node].watches.remove(&prefix);
            }
            ConfigurationAction::Unusable { .. } => {}
        }
    }

    fn record_in_force(&mut self, node: NodeIndex, position: Position) {
        let before = std::mem::replace(&mut self.nodes[node].in_force, position);
        self.observations.reverts += u64::from(position < before);
        self.observations.in_force.push((self.now_us, node, position));
    }
}
