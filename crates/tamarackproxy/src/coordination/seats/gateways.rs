//! Gateways of other data centres: the entry host of each that receives
//! heartbeats from this data centre.

use std::collections::BTreeMap;

use super::{EntryAddress, PEER_SILENCE_MS, directory::Directory};
use crate::state::ids::{DataCentreId, EntryId};

/// Maximum number of data centres with a known gateway; the design size is 15.
const DATA_CENTRES_MAX: usize = 256;

#[derive(Clone, Debug)]
struct Gateway {
    address: EntryAddress,
    /// Last evidence that the gateway is live: its heartbeat, or a report by
    /// the gateway of this data centre. In monotonic milliseconds.
    last_heard_ms: Option<u64>,
    /// Time at which this entry host was chosen, in monotonic milliseconds.
    chosen_ms: u64,
}

/// One gateway for each other data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Gateways {
    known: BTreeMap<DataCentreId, Gateway>,
}

impl Gateways {
    /// Records a gateway that sent a heartbeat or was reported live.
    pub(super) fn on_heard(&mut self, now_ms: u64, address: EntryAddress) {
        let data_centre = address.data_centre.clone();
        if self.known.len() < DATA_CENTRES_MAX || self.known.contains_key(&data_centre) {
            let gateway = Gateway { address, last_heard_ms: Some(now_ms), chosen_ms: now_ms };
            self.known.insert(data_centre, gateway);
        }
    }

    /// Sets the entry host to try next as the gateway of its data centre.
    pub(super) fn set_candidate(&mut self, now_ms: u64, address: EntryAddress) {
        let data_centre = address.data_centre.clone();
        if self.known.len() < DATA_CENTRES_MAX || self.known.contains_key(&data_centre) {
            let gateway = Gateway { address, last_heard_ms: None, chosen_ms: now_ms };
            self.known.insert(data_centre, gateway);
        }
    }

    pub(super) fn on_refused(&mut self, entry: &EntryId) {
        let refused = self.known.values_mut().filter(|gateway| gateway.address.entry == *entry);
        refused.for_each(|gateway| gateway.last_heard_ms = None);
    }

    /// Chooses the next entry host of each data centre whose gateway is silent,
    /// in the order of seats, or from the settings if no seat is known.
    pub(super) fn choose<'a>(
        &mut self,
        now_ms: u64,
        own: &DataCentreId,
        directory: &Directory,
        settings: impl Iterator<Item = &'a EntryAddress>,
    ) {
        let mut names = directory.data_centres();
        let mut entries: Vec<_> = directory.addresses().collect();
        for address in settings.filter(|address| !names.contains(&address.data_centre)) {
            entries.push(address.clone());
        }
        names.extend(entries.iter().map(|address| &address.data_centre));
        for data_centre in names.into_iter().filter(|name| *name != own) {
            let known = self.known.get(data_centre);
            let since = known.map(|gateway| gateway.last_heard_ms.unwrap_or(gateway.chosen_ms));
            if since.is_some_and(|since_ms| now_ms < since_ms + PEER_SILENCE_MS) {
                continue;
            }
            let present = known.map(|gateway| gateway.address.entry.clone());
            let own_entries = entries.iter().filter(|address| address.data_centre == *data_centre);
            if let Some(address) = next_entry(&own_entries.collect::<Vec<_>>(), present.as_ref()) {
                self.set_candidate(now_ms, address);
            }
        }
    }

    /// Returns the entry hosts of other data centres that heartbeats are sent
    /// to.
    pub(super) fn targets(&self) -> impl Iterator<Item = &EntryAddress> {
        self.known.values().map(|gateway| &gateway.address)
    }

    /// Returns the gateways heard within the last `PEER_SILENCE_MS`; called on
    /// a gateway, which hears them directly.
    pub(super) fn heard(&self, now_ms: u64) -> impl Iterator<Item = &EntryAddress> {
        let is_heard = move |gateway: &&Gateway| {
            gateway
                .last_heard_ms
                .is_some_and(|last_heard_ms| now_ms < last_heard_ms + PEER_SILENCE_MS)
        };
        self.known.values().filter(is_heard).map(|gateway| &gateway.address)
    }

    /// Returns the gateways heard within twice `PEER_SILENCE_MS`, directly or
    /// through a report by the gateway of this data centre.
    pub(super) fn live(&self, now_ms: u64) -> impl Iterator<Item = &EntryAddress> {
        let is_live = move |gateway: &&Gateway| {
            gateway
                .last_heard_ms
                .is_some_and(|last_heard_ms| now_ms < last_heard_ms + 2 * PEER_SILENCE_MS)
        };
        self.known.values().filter(is_live).map(|gateway| &gateway.address)
    }
}

/// Returns the entry host after `present` in the list, or the first one.
fn next_entry(entries: &[&EntryAddress], present: Option<&EntryId>) -> Option<EntryAddress> {
    let at = entries.iter().position(|address| Some(&address.entry) == present);
    let next = at.map_or(0, |at| (at + 1) % entries.len());
    entries.get(next).map(|address| (*address).clone())
}
