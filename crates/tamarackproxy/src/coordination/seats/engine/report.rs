//! Actions that report changes of the seat engine's state.

use std::collections::BTreeMap;

use super::SeatEngine;
use crate::{
    coordination::seats::{EntryAddress, SeatsAction},
    state::ids::EntryId,
};

/// Maximum number of entry hosts of the data centre that heartbeats are sent
/// to.
const DATA_CENTRE_TARGETS_MAX: usize = 32;

impl SeatEngine {
    /// Returns the known entry hosts of the data centre other than this one.
    pub(super) fn data_centre_entries(&self) -> BTreeMap<EntryId, EntryAddress> {
        let heard = self.peers.same_data_centre().map(|peer| peer.address.clone());
        let listed = self.directory.addresses_of(&self.local.data_centre);
        let mut entries = BTreeMap::new();
        // Later sources replace earlier ones; heartbeats are the most recent.
        let sources = self.settings_peers.iter().cloned().chain(listed).chain(heard);
        for address in
            sources.filter(|address| self.peers.is_same_data_centre(&address.data_centre))
        {
            if entries.len() < DATA_CENTRE_TARGETS_MAX || entries.contains_key(&address.entry) {
                entries.insert(address.entry.clone(), address);
            }
        }
        entries.remove(&self.local.entry);
        entries
    }

    /// Returns the gateway of this data centre: the live holder of the seat
    /// with the lowest index.
    pub(super) fn gateway(&self, now_ms: u64) -> Option<EntryAddress> {
        let own = self.seat.held().map(|(index, _)| (index, &self.local));
        let peers = self
            .peers
            .live(now_ms)
            .filter_map(|peer| peer.seat.map(|(index, _)| (index, &peer.address)));
        let lowest = peers.chain(own).min_by_key(|(index, _)| *index);
        lowest.map(|(_, address)| address.clone())
    }

    pub(super) fn is_gateway(&self, now_ms: u64) -> bool {
        self.gateway(now_ms).is_some_and(|gateway| gateway.entry == self.local.entry)
    }

    /// Reports what changed since the last event.
    pub(super) fn report(&mut self, now_ms: u64, actions: &mut Vec<SeatsAction>) {
        let reached_by_peer = self.peers.live(now_ms).any(|peer| peer.reaches_store);
        let detached = !self.reaches_store(now_ms) && !reached_by_peer;
        if std::mem::replace(&mut self.reported_detached, detached) != detached {
            actions.push(SeatsAction::DetachedChanged { detached });
        }
        let peers = self.peers.live_peers(now_ms);
        if self.reported_peers != peers {
            self.reported_peers.clone_from(&peers);
            actions.push(SeatsAction::PeersChanged { peers });
        }
        let live = self.gateways.live(now_ms);
        let gateways: Vec<_> = live.map(|a| (a.data_centre.clone(), a.entry.clone())).collect();
        if self.reported_gateways != gateways {
            self.reported_gateways.clone_from(&gateways);
            self.next_gateways_ms = now_ms;
            self.addresses_changed = true;
            actions.push(SeatsAction::GatewaysChanged { gateways });
        }
        self.report_addresses(actions);
    }

    fn report_addresses(&mut self, actions: &mut Vec<SeatsAction>) {
        for data_centre in self.directory.take_changed() {
            let holders = self.directory.holder_list(&data_centre);
            actions.push(SeatsAction::HoldersChanged { data_centre, holders });
            self.addresses_changed = true;
        }
        if !std::mem::take(&mut self.addresses_changed) {
            return;
        }
        let entries = self.addresses();
        if self.reported_addresses != entries {
            self.reported_addresses.clone_from(&entries);
            actions.push(SeatsAction::AddressesChanged { entries });
        }
    }

    fn addresses(&self) -> Vec<EntryAddress> {
        let mut entries: BTreeMap<EntryId, EntryAddress> = BTreeMap::new();
        let known = self.settings_peers.iter().cloned().chain(self.directory.addresses());
        let known = known.chain(self.gateways.targets().cloned());
        entries.extend(known.map(|address| (address.entry.clone(), address)));
        entries.extend(self.data_centre_entries());
        entries.remove(&self.local.entry);
        entries.into_values().collect()
    }
}
