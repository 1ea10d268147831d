//! Messages between seat engines.

use super::{RenewalForPeer, SeatEngine};
use crate::{
    coordination::{
        control::RENEW_INTERVAL_MS,
        seats::{
            EntryAddress, HEARTBEAT_INTERVAL_MS, Heartbeat, SeatsAction, SeatsMessage,
            TAKEOVER_SILENCE_MS,
        },
    },
    protocol::store::StoreRequest,
    state::{
        clock::ClockReading,
        ids::{EntryId, Term},
        records::TenureRecord,
    },
};

/// Maximum number of concurrent lease renewals on behalf of peers.
const PEER_RENEWALS_MAX: usize = 64;
/// Number of peers that are asked at the same time to renew a lease.
const RENEWAL_PEERS: usize = 2;
/// Interval between requests to peers to renew or confirm, in milliseconds.
const ASK_INTERVAL_MS: u64 = 1_000;
/// Interval at which a gateway announces the gateways of other data centres to
/// its own data centre, in milliseconds.
const GATEWAYS_INTERVAL_MS: u64 = 3_000;

impl SeatEngine {
    pub(super) fn on_message(
        &mut self,
        now: ClockReading,
        from: EntryId,
        message: SeatsMessage,
        actions: &mut Vec<SeatsAction>,
    ) {
        let now_ms = now.monotonic_ms;
        self.peers.on_message(now_ms, &from);
        match message {
            SeatsMessage::Heartbeat(heartbeat) => {
                self.on_heartbeat(now_ms, from, &heartbeat, actions);
            }
            SeatsMessage::RenewFor { lease, asked_at_ms } => {
                if self.reaches_store(now_ms) && self.renewals.len() < PEER_RENEWALS_MAX {
                    let call = self.call_store(StoreRequest::KeepAlive { lease }, actions);
                    self.renewals.insert(call, RenewalForPeer { peer: from, lease, asked_at_ms });
                }
            }
            SeatsMessage::Renewed { lease, asked_at_ms } => {
                if self.seat.lease() == Some(lease) {
                    self.next_ask_ms = now_ms + RENEW_INTERVAL_MS;
                    self.with_seat(now, actions, |seat, context| {
                        seat.on_confirmed(asked_at_ms, context);
                    });
                }
            }
            SeatsMessage::Confirm { index, term, asked_at_ms } => {
                let answer = self.answer_confirm(now_ms, index, term, asked_at_ms);
                actions.extend(answer.map(|message| SeatsAction::Send { to: from, message }));
            }
            SeatsMessage::Confirmed { index, term, asked_at_ms } => {
                if self.seat.held() == Some((index, term)) {
                    self.with_seat(now, actions, |seat, context| {
                        seat.on_confirmed(asked_at_ms, context);
                    });
                }
            }
            SeatsMessage::Superseded { index, term } => {
                self.with_seat(now, actions, |seat, context| {
                    seat.on_superseded(index, term, context);
                });
            }
            SeatsMessage::Gateways { gateways } => self.on_gateways(now_ms, gateways),
        }
    }

    fn on_heartbeat(
        &mut self,
        now_ms: u64,
        from: EntryId,
        heartbeat: &Heartbeat,
        actions: &mut Vec<SeatsAction>,
    ) {
        let is_ahead = heartbeat.in_force > self.in_force
            || heartbeat.in_force.0 == self.in_force.0
                && heartbeat.fleet_version > self.fleet_version;
        if is_ahead {
            actions.push(SeatsAction::PeerIsAhead {
                peer: from.clone(),
                in_force: heartbeat.in_force,
                fleet_version: heartbeat.fleet_version,
            });
        }
        if let Some((index, term)) = heartbeat.seat {
            let record = TenureRecord {
                holder: from.clone(),
                address: heartbeat.peer_address.clone(),
                term,
                released: false,
                operation: Default::default(),
                millicores: 0,
            };
            self.directory.learn(heartbeat.data_centre.clone(), index, record);
        }
        if self.peers.is_same_data_centre(&heartbeat.data_centre) {
            self.peers.on_heartbeat(now_ms, from, heartbeat);
            return;
        }
        let address = EntryAddress {
            entry: from.clone(),
            data_centre: heartbeat.data_centre.clone(),
            peer_address: heartbeat.peer_address.clone(),
        };
        self.gateways.on_heard(now_ms, address);
        if let Some(gateway) =
            self.gateway(now_ms).filter(|gateway| gateway.entry != self.local.entry)
        {
            let message = SeatsMessage::Gateways { gateways: vec![gateway] };
            actions.push(SeatsAction::Send { to: from, message });
        }
    }

    fn on_gateways(&mut self, now_ms: u64, gateways: Vec<EntryAddress>) {
        let is_gateway = self.is_gateway(now_ms);
        for address in gateways {
            if self.peers.is_same_data_centre(&address.data_centre) {
                continue;
            }
            if is_gateway {
                self.gateways.set_candidate(now_ms, address);
            } else {
                self.gateways.on_heard(now_ms, address);
            }
        }
    }

    /// Answers a holder that cannot reach the store. A process that has
    /// listened for less than `TAKEOVER_SILENCE_MS` may have missed a takeover,
    /// so it confirms nothing. One that reaches the store renews the lease
    /// instead.
    fn answer_confirm(
        &self,
        now_ms: u64,
        index: u16,
        term: Term,
        asked_at_ms: u64,
    ) -> Option<SeatsMessage> {
        let own = self.seat.held().filter(|(held, _)| *held == index).map(|(_, term)| term);
        let listed = self.directory.term(&self.local.data_centre, index);
        let highest = own.max(listed).max(self.peers.highest_term(index));
        match highest {
            Some(highest) if highest > term => {
                Some(SeatsMessage::Superseded { index, term: highest })
            }
            _ => (!self.reaches_store(now_ms)
                && !self.seat.is_suspended()
                && self.peers.listening_ms(now_ms) >= TAKEOVER_SILENCE_MS)
                .then_some(SeatsMessage::Confirmed { index, term, asked_at_ms }),
        }
    }

    /// Asks live peers that reach the store to renew the lease, and all peers
    /// to confirm the term while the seat is suspended.
    pub(super) fn ask_peers(&mut self, now_ms: u64, actions: &mut Vec<SeatsAction>) {
        let (Some((index, term)), Some(lease)) = (self.seat.held(), self.seat.lease()) else {
            return;
        };
        if !self.seat.needs_peers() || now_ms < self.next_ask_ms {
            return;
        }
        self.next_ask_ms = now_ms + ASK_INTERVAL_MS;
        let asked_at_ms = now_ms;
        let mut renewers: Vec<_> = self.peers.live(now_ms).filter(|p| p.reaches_store).collect();
        // Seats start at different peers to spread the load.
        let skip = usize::from(index) % renewers.len().max(1);
        renewers.rotate_left(skip);
        let send = |to: &EntryId, message| SeatsAction::Send { to: to.clone(), message };
        for peer in renewers.iter().take(RENEWAL_PEERS) {
            let message = SeatsMessage::RenewFor { lease, asked_at_ms };
            actions.push(send(&peer.address.entry, message));
        }
        if self.seat.is_suspended() {
            for peer in self.peers.same_data_centre() {
                let message = SeatsMessage::Confirm { index, term, asked_at_ms };
                actions.push(send(&peer.address.entry, message));
            }
        }
    }

    pub(super) fn send_heartbeats(&mut self, now_ms: u64, actions: &mut Vec<SeatsAction>) {
        self.next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        self.addresses_changed = true;
        self.peers.remove_silent(now_ms);
        let heartbeat = Heartbeat {
            data_centre: self.local.data_centre.clone(),
            peer_address: self.local.peer_address.clone(),
            seat: self.seat.held(),
            reaches_store: self.reaches_store(now_ms),
            in_force: self.in_force,
            fleet_version: self.fleet_version,
            stopping: self.stopping,
        };
        let message = SeatsMessage::Heartbeat(heartbeat);
        let own = self.data_centre_entries();
        let send = |to: EntryId| SeatsAction::Send { to, message: message.clone() };
        actions.extend(own.keys().cloned().map(send));
        if self.is_gateway(now_ms) {
            let settings = self.settings_peers.iter();
            self.gateways.choose(now_ms, &self.local.data_centre, &self.directory, settings);
            actions.extend(self.gateways.targets().map(|address| send(address.entry.clone())));
            self.announce_gateways(now_ms, own.keys(), actions);
        }
    }

    fn announce_gateways<'a>(
        &mut self,
        now_ms: u64,
        own: impl Iterator<Item = &'a EntryId>,
        actions: &mut Vec<SeatsAction>,
    ) {
        if now_ms < self.next_gateways_ms {
            return;
        }
        self.next_gateways_ms = now_ms + GATEWAYS_INTERVAL_MS;
        let gateways: Vec<_> = self.gateways.heard(now_ms).cloned().collect();
        if !gateways.is_empty() {
            let message = SeatsMessage::Gateways { gateways };
            actions.extend(
                own.map(|to| SeatsAction::Send { to: to.clone(), message: message.clone() }),
            );
        }
    }
}
