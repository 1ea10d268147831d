//! Liveness of other entry hosts, from heartbeats, messages and refused
//! connections.

use std::collections::BTreeMap;

use super::{EntryAddress, Heartbeat, LivePeer, PEER_SILENCE_MS};
use crate::state::ids::{DataCentreId, EntryId, Term};

/// Maximum number of entry hosts that are tracked; the one that was silent for
/// longest is removed.
const PEERS_MAX: usize = 1_024;
/// Time after which a silent entry host is removed, in milliseconds; longer
/// than any time for which its silence is measured.
const RETENTION_MS: u64 = 120_000;

#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) address: EntryAddress,
    pub(super) seat: Option<(u16, Term)>,
    pub(super) reaches_store: bool,
    pub(super) stopping: bool,
    pub(super) last_heard_ms: u64,
    /// The connection was refused since the last message.
    pub(super) refused: bool,
}

impl Peer {
    fn is_live(&self, now_ms: u64) -> bool {
        !self.refused && !self.stopping && now_ms < self.last_heard_ms + PEER_SILENCE_MS
    }
}

/// Entry hosts that this one has heard from.
#[derive(Clone, Debug)]
pub(super) struct Peers {
    local: EntryAddress,
    /// Time from which silence is measured, in monotonic milliseconds.
    started_ms: Option<u64>,
    known: BTreeMap<EntryId, Peer>,
    /// Entry hosts that refused a connection without ever having been heard,
    /// with the time of the refusal.
    refused_unknown: BTreeMap<EntryId, u64>,
}

impl Peers {
    pub(super) fn new(local: EntryAddress) -> Self {
        Self { local, started_ms: None, known: BTreeMap::new(), refused_unknown: BTreeMap::new() }
    }

    /// Records the time of the first event.
    pub(super) fn start(&mut self, now_ms: u64) {
        self.started_ms.get_or_insert(now_ms);
    }

    /// Measures silence from `now_ms`, after a pause of this process in which
    /// messages were not read.
    pub(super) fn reset_silence(&mut self, now_ms: u64) {
        self.started_ms = Some(now_ms);
    }

    /// Returns for how long this process has been listening without a pause, in
    /// milliseconds.
    pub(super) fn listening_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms.unwrap_or(now_ms))
    }

    pub(super) fn on_heartbeat(&mut self, now_ms: u64, from: EntryId, heartbeat: &Heartbeat) {
        self.refused_unknown.remove(&from);
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
        self.known.insert(from, peer);
        if self.known.len() > PEERS_MAX {
            let oldest = self.known.iter().min_by_key(|(_, peer)| peer.last_heard_ms);
            let oldest = oldest.map(|(entry, _)| entry.clone());
            oldest.and_then(|entry| self.known.remove(&entry));
        }
    }

    /// Records a message of any kind as evidence that a known peer is live.
    pub(super) fn on_message(&mut self, now_ms: u64, from: &EntryId) {
        if let Some(peer) = self.known.get_mut(from) {
            peer.last_heard_ms = now_ms;
            peer.refused = false;
        }
    }

    pub(super) fn on_refused(&mut self, now_ms: u64, entry: EntryId) {
        match self.known.get_mut(&entry) {
            Some(peer) => peer.refused = true,
            None if self.refused_unknown.len() < PEERS_MAX => {
                self.refused_unknown.insert(entry, now_ms);
            }
            None => {}
        }
    }

    pub(super) fn remove_silent(&mut self, now_ms: u64) {
        self.known.retain(|_, peer| now_ms < peer.last_heard_ms + RETENTION_MS);
        self.refused_unknown.retain(|_, refused_ms| now_ms < *refused_ms + RETENTION_MS);
    }

    /// Returns whether the process of an entry host is known to be gone.
    pub(super) fn is_refused(&self, entry: &EntryId) -> bool {
        match self.known.get(entry) {
            Some(peer) => peer.refused,
            None => self.refused_unknown.contains_key(entry),
        }
    }

    /// Returns whether an entry host is live and reports that it does not hold
    /// seat `index`.
    pub(super) fn uses_other_seat(&self, now_ms: u64, entry: &EntryId, index: u16) -> bool {
        self.known.get(entry).is_some_and(|peer| {
            peer.is_live(now_ms) && peer.seat.is_none_or(|(held, _)| held != index)
        })
    }

    /// Returns the time without contact to an entry host, in milliseconds; at
    /// most the time for which this process has been listening.
    pub(super) fn silence_ms(&self, now_ms: u64, entry: &EntryId) -> u64 {
        let heard_ms = self.known.get(entry).map(|peer| peer.last_heard_ms);
        let since_ms = heard_ms.max(self.started_ms).unwrap_or(now_ms);
        now_ms.saturating_sub(since_ms)
    }

    /// Iterates over the other entry hosts of the data centre.
    pub(super) fn same_data_centre(&self) -> impl Iterator<Item = &Peer> {
        self.known.values().filter(|peer| self.is_same_data_centre(&peer.address.data_centre))
    }

    pub(super) fn is_same_data_centre(&self, data_centre: &DataCentreId) -> bool {
        *data_centre == self.local.data_centre
    }

    /// Iterates over the live entry hosts of the data centre.
    pub(super) fn live(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        self.same_data_centre().filter(move |peer| peer.is_live(now_ms))
    }

    pub(super) fn live_peers(&self, now_ms: u64) -> Vec<LivePeer> {
        let live = |peer: &Peer| LivePeer {
            entry: peer.address.entry.clone(),
            seat: peer.seat.map(|(index, _)| index),
        };
        self.live(now_ms).map(live).collect()
    }

    /// Returns the time at which any entry host of the data centre was last
    /// heard, in monotonic milliseconds.
    pub(super) fn last_heard_ms(&self) -> Option<u64> {
        self.same_data_centre().map(|peer| peer.last_heard_ms).max()
    }

    /// Returns whether any peer of the data centre was live at `at_ms` and has
    /// not gone since, as far as known.
    pub(super) fn any_alive_at(&self, at_ms: u64) -> bool {
        self.same_data_centre().any(|peer| {
            !peer.refused && !peer.stopping && at_ms < peer.last_heard_ms + PEER_SILENCE_MS
        })
    }

    /// Returns the highest term that heartbeats report for a seat of the data
    /// centre.
    pub(super) fn highest_term(&self, index: u16) -> Option<Term> {
        self.same_data_centre()
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
