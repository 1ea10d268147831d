//! Entry hosts that this one hears from, and those of its data centre that are
//! live.

use std::collections::BTreeMap;

use super::{EntryAddress, Heartbeat, LivePeer, PEER_SILENCE_MS};
use crate::state::ids::{DataCentreId, EntryId, Term};

/// Entry hosts that are remembered; the one not heard for longest is forgotten.
const PEERS_MAX: usize = 1_024;
/// Time after which an entry host that is not heard is forgotten, in
/// milliseconds; longer than any wait for its silence.
const FORGET_AFTER_MS: u64 = 120_000;

#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) address: EntryAddress,
    pub(super) seat: Option<(u16, Term)>,
    pub(super) reaches_store: bool,
    pub(super) stopping: bool,
    pub(super) last_heard_ms: u64,
    /// The connection was refused after it was heard last.
    pub(super) refused: bool,
}

impl Peer {
    fn is_live(&self, now_ms: u64) -> bool {
        !self.refused && !self.stopping && now_ms < self.last_heard_ms + PEER_SILENCE_MS
    }
}

/// Everything heard from other entry hosts.
#[derive(Clone, Debug)]
pub(super) struct Peers {
    me: EntryAddress,
    started_ms: Option<u64>,
    heard: BTreeMap<EntryId, Peer>,
    refused_unheard: BTreeMap<EntryId, u64>,
}

impl Peers {
    pub(super) fn new(me: EntryAddress) -> Self {
        Self { me, started_ms: None, heard: BTreeMap::new(), refused_unheard: BTreeMap::new() }
    }

    /// Notes the time of the first event.
    pub(super) fn start(&mut self, now_ms: u64) {
        self.started_ms.get_or_insert(now_ms);
    }

    /// Counts silence from now on only, after a pause of this process.
    pub(super) fn restart(&mut self, now_ms: u64) {
        self.started_ms = Some(now_ms);
    }

    /// Returns how long this process has listened, in milliseconds.
    pub(super) fn running_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms.unwrap_or(now_ms))
    }

    pub(super) fn on_heartbeat(&mut self, now_ms: u64, from: EntryId, heartbeat: &Heartbeat) {
        self.refused_unheard.remove(&from);
        let address = EntryAddress {
            entry: from.clone(),
            data_centre: heartbeat.data_centre.clone(),
            peer_address: heartbeat.peer_address.clone(),
        };
        let peer = Peer {
            address,
            seat: heartbeat.seat,
            reaches_store: heartbeat.reaches_store,
            stopping: heartbeat.stopping,
            last_heard_ms: now_ms,
            refused: false,
        };
        self.heard.insert(from, peer);
        if self.heard.len() > PEERS_MAX {
            let oldest = self.heard.iter().min_by_key(|(_, peer)| peer.last_heard_ms);
            let oldest = oldest.map(|(entry, _)| entry.clone());
            oldest.and_then(|entry| self.heard.remove(&entry));
        }
    }

    /// Notes a message other than a heartbeat as a sign of life.
    pub(super) fn on_message(&mut self, now_ms: u64, from: &EntryId) {
        if let Some(peer) = self.heard.get_mut(from) {
            peer.last_heard_ms = now_ms;
            peer.refused = false;
        }
    }

    pub(super) fn on_refused(&mut self, now_ms: u64, entry: EntryId) {
        match self.heard.get_mut(&entry) {
            Some(peer) => peer.refused = true,
            None if self.refused_unheard.len() < PEERS_MAX => {
                self.refused_unheard.insert(entry, now_ms);
            }
            None => {}
        }
    }

    pub(super) fn forget_silent(&mut self, now_ms: u64) {
        self.heard.retain(|_, peer| now_ms < peer.last_heard_ms + FORGET_AFTER_MS);
        self.refused_unheard.retain(|_, refused_ms| now_ms < *refused_ms + FORGET_AFTER_MS);
    }

    /// Tells whether the process of an entry host is known to be gone.
    pub(super) fn is_refused(&self, entry: &EntryId) -> bool {
        match self.heard.get(entry) {
            Some(peer) => peer.refused,
            None => self.refused_unheard.contains_key(entry),
        }
    }

    /// Tells whether a live entry host reports that it does not hold a seat.
    pub(super) fn uses_other_seat(&self, now_ms: u64, entry: &EntryId, index: u16) -> bool {
        self.heard.get(entry).is_some_and(|peer| {
            peer.is_live(now_ms) && peer.seat.is_none_or(|(held, _)| held != index)
        })
    }

    /// Returns how long there was no contact with an entry host, at most as
    /// long as this process runs.
    pub(super) fn silence_ms(&self, now_ms: u64, entry: &EntryId) -> u64 {
        let heard_ms = self.heard.get(entry).map(|peer| peer.last_heard_ms);
        let since_ms = heard_ms.max(self.started_ms).unwrap_or(now_ms);
        now_ms.saturating_sub(since_ms)
    }

    /// Iterates over the other entry hosts of the data centre.
    pub(super) fn own(&self) -> impl Iterator<Item = &Peer> {
        self.heard.values().filter(|peer| self.is_own(&peer.address.data_centre))
    }

    pub(super) fn is_own(&self, data_centre: &DataCentreId) -> bool {
        *data_centre == self.me.data_centre
    }

    /// Iterates over the live entry hosts of the data centre.
    pub(super) fn live(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        self.own().filter(move |peer| peer.is_live(now_ms))
    }

    pub(super) fn live_peers(&self, now_ms: u64) -> Vec<LivePeer> {
        let live = |peer: &Peer| LivePeer {
            entry: peer.address.entry.clone(),
            seat: peer.seat.map(|(index, _)| index),
        };
        self.live(now_ms).map(live).collect()
    }

    /// Returns when any entry host of the data centre was heard last.
    pub(super) fn last_heard_ms(&self) -> Option<u64> {
        self.own().map(|peer| peer.last_heard_ms).max()
    }

    /// Tells whether a peer was alive at the time and is not known to be gone.
    pub(super) fn any_alive_at(&self, at_ms: u64) -> bool {
        self.own().any(|peer| {
            !peer.refused && !peer.stopping && at_ms < peer.last_heard_ms + PEER_SILENCE_MS
        })
    }

    /// Returns the highest term that heartbeats report for a seat of the data
    /// centre.
    pub(super) fn highest_term(&self, index: u16) -> Option<Term> {
        self.own()
            .filter_map(|peer| peer.seat)
            .filter(|(seat, _)| *seat == index)
            .map(|(_, term)| term)
            .max()
    }

    /// Returns when the next peer stops being live, in monotonic milliseconds.
    pub(super) fn next_expiry_ms(&self, now_ms: u64) -> Option<u64> {
        self.live(now_ms).map(|peer| peer.last_heard_ms + PEER_SILENCE_MS).min()
    }
}
