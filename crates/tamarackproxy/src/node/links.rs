//! Connections to other entry hosts.

use std::collections::HashMap;

use tokio::sync::mpsc;

use super::core::Input;
use crate::{
    coordination::seats::EntryAddress,
    protocol::peer::{Hello, PeerMessage},
    state::{ids::EntryId, settings::Settings},
    transport::peer_client::PeerLink,
};

/// Open links, one to each known entry host.
pub(super) struct Links {
    hello: Hello,
    /// Addresses from the settings, which take precedence over those from the
    /// store.
    configured: HashMap<EntryId, EntryAddress>,
    links: HashMap<EntryId, PeerLink>,
    inputs: mpsc::UnboundedSender<Input>,
}

impl Links {
    pub(super) fn new(settings: &Settings, inputs: mpsc::UnboundedSender<Input>) -> Self {
        let configured = settings.peers.iter().map(|peer| {
            let address = EntryAddress {
                entry: peer.entry.clone(),
                data_centre: peer.data_centre.clone(),
                peer_address: peer.address.to_string().into(),
            };
            (peer.entry.clone(), address)
        });
        let hello =
            Hello { entry: settings.entry.clone(), data_centre: settings.data_centre.clone() };
        let mut links =
            Self { hello, configured: configured.collect(), links: HashMap::new(), inputs };
        links.connect(Vec::new());
        links
    }

    /// Returns the link to an entry host.
    pub(super) fn get(&self, entry: &EntryId) -> Option<&PeerLink> {
        self.links.get(entry)
    }

    /// Sends a control message; drops it if there is no link to the peer.
    pub(super) fn send(&self, to: &EntryId, message: PeerMessage) {
        match self.get(to) {
            Some(link) => link.send(message),
            None => log::debug!(peer = to.as_str(); "no link to the peer; message dropped"),
        }
    }

    /// Opens links to new addresses and closes links to addresses that are
    /// neither in `entries` nor in the settings.
    pub(super) fn connect(&mut self, entries: Vec<EntryAddress>) {
        let mut wanted: HashMap<EntryId, EntryAddress> =
            entries.into_iter().map(|entry| (entry.entry.clone(), entry)).collect();
        wanted.extend(self.configured.clone());
        wanted.remove(&self.hello.entry);
        self.links.retain(|entry, link| {
            let address = wanted.get(entry).map(|entry| &*entry.peer_address);
            address.is_some_and(|address| *address == link.address().to_string())
        });
        for (entry, address) in wanted {
            let Ok(socket_address) = address.peer_address.parse() else { continue };
            if self.links.contains_key(&entry) {
                continue;
            }
            let (inputs, peer) = (self.inputs.clone(), entry.clone());
            let on_refused = move || {
                let _ = inputs.send(Input::PeerRefused { peer: peer.clone() });
            };
            let link = PeerLink::open(socket_address, self.hello.clone(), on_refused);
            self.links.insert(entry, link);
        }
    }
}
