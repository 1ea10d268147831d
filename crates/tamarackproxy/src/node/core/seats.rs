//! The seat engine and what depends on the seat.

use super::{Effect, Engine, NodeCore};
use crate::{
    coordination::{
        configuration::{ConfigurationEvent, Position},
        once::{OnceEvent, SeatTenure},
        requests::{RequestsEvent, SeatShare},
        seats::{LivePeer, SeatsAction, SeatsEvent},
    },
    protocol::peer::PeerMessage,
    state::ids::{Epoch, Revision, Term},
};

/// Longest time that a seat stays unused after a pause of the process while no
/// peer is heard, in milliseconds; allows for two lost heartbeats.
const CATCH_UP_TIMEOUT_MS: u64 = 3_000;

impl NodeCore {
    pub(super) fn on_seats(&mut self, event: SeatsEvent) {
        let mut actions = Vec::new();
        self.seats.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_seats(action);
        }
    }

    fn apply_seats(&mut self, action: SeatsAction) {
        match action {
            SeatsAction::SeatHeld { index, term } | SeatsAction::SeatResumed { index, term } => {
                log::info!(seat = index, term = term.0; "seat is held");
                self.peers.is_suspended = false;
                self.set_seat(Some((index, term)));
            }
            SeatsAction::SeatSuspended => {
                log::warn!("seat is suspended until the store or a peer confirms it");
                self.peers.is_suspended = true;
                self.publish_seat();
            }
            SeatsAction::SeatLost => {
                log::warn!("seat was lost to another holder");
                self.peers.is_suspended = false;
                self.set_seat(None);
            }
            SeatsAction::DetachedChanged { detached } => {
                log::warn!(detached = detached; "reachability of the store changed");
                self.on_once(OnceEvent::DetachedChanged { detached });
            }
            SeatsAction::PeersChanged { peers } => self.set_peers(peers),
            SeatsAction::AddressesChanged { entries } => {
                self.effects.push(Effect::Connect { entries });
            }
            SeatsAction::GatewaysChanged { gateways } => {
                self.peers.gateways = gateways;
                self.publish_peers();
            }
            SeatsAction::HoldersChanged { data_centre, holders } => {
                self.set_listed_holders(data_centre, holders);
            }
            SeatsAction::PeerIsAhead { peer, in_force, fleet_version } => {
                let position = Position { epoch: in_force.0, revision: in_force.1 };
                let event = ConfigurationEvent::PeerIsAhead { peer, position, fleet_version };
                self.on_configuration(event);
            }
            SeatsAction::Send { to, message } => self.send(&to, PeerMessage::Seats(message)),
            SeatsAction::Store { call, request } => self.call_store(Engine::Seats, call, request),
            SeatsAction::Released => self.is_released = true,
        }
    }

    /// Stops using the seat after a pause of the process: the seat may be lost,
    /// and the document and host records may have changed in the meantime.
    pub(super) fn on_pause(&mut self) {
        log::warn!("the process was paused; the seat is not used until it is confirmed");
        self.peers.catching_up_until_ms = Some(self.now.monotonic_ms + CATCH_UP_TIMEOUT_MS);
        self.publish_seat();
        self.on_seats(SeatsEvent::Tick);
    }

    /// Ends the wait after a pause if a peer has no newer document or host
    /// records than this entry host.
    pub(super) fn compare_with_peer(&mut self, in_force: (Epoch, Revision), fleet_version: u64) {
        let own = (self.position.epoch, self.position.revision);
        let is_caught_up = own >= in_force && self.fleet_state.version >= fleet_version;
        if is_caught_up && self.peers.catching_up_until_ms.take().is_some() {
            self.publish_seat();
        }
    }

    /// Ends waits that have timed out: the one after a pause, if no peer was
    /// heard, and the one after the seat was acquired.
    pub(super) fn end_seat_waits(&mut self) {
        let now_ms = self.now.monotonic_ms;
        let is_over = |until_ms: &mut u64| now_ms >= *until_ms;
        let has_caught_up = self.peers.catching_up_until_ms.take_if(is_over).is_some();
        let has_waited = self.peers.new_seat_wait_until_ms.take_if(is_over).is_some();
        if has_caught_up || has_waited {
            self.publish_seat();
        }
    }

    fn set_seat(&mut self, seat: Option<(u16, Term)>) {
        let has_peers = self.configured_seats().is_none_or(|seats| seats > 1);
        self.peers.set_seat(seat, has_peers, self.now.monotonic_ms);
        self.publish_seat();
    }

    /// Informs the engines that depend on it whether the seat may be used.
    pub(super) fn publish_seat(&mut self) {
        let usable = self.peers.seat.filter(|_| self.peers.usable_seat().is_some());
        let seats = self.configured_seats();
        let share = usable.zip(seats).map(|((index, _), seats)| SeatShare { index, seats });
        self.burn.seat_changed(usable.map(|(index, _)| index));
        self.on_requests(RequestsEvent::SeatChanged { seat: share });
        let tenure = usable.map(|(index, term)| SeatTenure { index, term });
        self.on_once(OnceEvent::SeatChanged { seat: tenure });
    }

    /// Returns the number of seats of this data centre in the document.
    pub(super) fn configured_seats(&self) -> Option<u16> {
        let document = self.view.as_ref()?.document();
        Some(document.data_centres.get(&self.data_centre)?.seats)
    }

    fn set_peers(&mut self, peers: Vec<LivePeer>) {
        self.peers.live = peers;
        self.publish_peers();
    }

    fn publish_peers(&mut self) {
        let live: Vec<_> = self.peers.live.iter().map(|peer| peer.entry.clone()).collect();
        let seated = self.peers.live.iter().filter(|peer| peer.seat.is_some());
        let seated: Vec<_> = seated.map(|peer| peer.entry.clone()).collect();
        self.on_requests(RequestsEvent::PeersChanged { peers: seated.clone() });
        self.on_once(OnceEvent::PeersChanged { peers: seated });
        let gateways = self.peers.gateways.clone();
        self.on_configuration(ConfigurationEvent::PeersChanged { peers: live, gateways });
    }
}
