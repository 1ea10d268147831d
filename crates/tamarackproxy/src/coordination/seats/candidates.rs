//! Choice of the seat that this entry host tries to acquire.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, seq::IteratorRandom};

use super::{
    TAKEOVER_SILENCE_MS,
    directory::{SEAT_PREFIX, TERM_PREFIX, parse_seat_key},
    peers::Peers,
};
use crate::{
    coordination::control::decode_tenure,
    protocol::store::KeyValue,
    state::{
        ids::{EntryId, RecordVersion},
        records::TenureRecord,
    },
};

/// Seats of the data centre, from the listings of the leased keys and of the
/// term keys.
#[derive(Clone, Debug, Default)]
pub(super) struct Listing {
    /// Seats with a valid lease.
    held: BTreeSet<u16>,
    terms: BTreeMap<u16, (RecordVersion, TenureRecord)>,
}

/// A seat that may be acquired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) index: u16,
    /// Version of the term key; 0 if it does not exist.
    pub(super) version: RecordVersion,
    /// Last holder, if there was one.
    pub(super) last: Option<TenureRecord>,
}

/// Result of the choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// Acquire this seat.
    Acquire(Candidate),
    /// All seats are held, or their last holders were heard too recently. The
    /// delay, in milliseconds, is the earliest time at which a holder has been
    /// silent for long enough, if there is one.
    Wait { silence_ends_in_ms: Option<u64> },
}

impl Listing {
    pub(super) fn on_seats(&mut self, items: &[KeyValue]) {
        let keys = items.iter().filter_map(|item| parse_seat_key(&item.key, SEAT_PREFIX));
        self.held.extend(keys.map(|(_, index)| index));
    }

    pub(super) fn on_terms(&mut self, items: &[KeyValue]) {
        for item in items {
            let seat = parse_seat_key(&item.key, TERM_PREFIX);
            if let (Some((_, index)), Some(record)) = (seat, decode_tenure(Some(item))) {
                self.terms.insert(index, (item.version, record));
            }
        }
    }

    pub(super) fn records(&self) -> impl Iterator<Item = (u16, &TenureRecord)> {
        self.terms.iter().map(|(index, (_, record))| (*index, record))
    }

    /// Chooses among the seats without a valid lease: first one that this entry
    /// host held before, then one that was never held or was released, then one
    /// whose last holder is gone.
    pub(super) fn choose<R>(
        &self,
        now_ms: u64,
        local: &EntryId,
        seats: u16,
        peers: &Peers,
        random: &mut R,
    ) -> Choice
    where
        R: Rng,
    {
        let mut best: BTreeMap<u8, Vec<Candidate>> = BTreeMap::new();
        let mut silence_ends_in_ms: Option<u64> = None;
        for index in (0..seats).filter(|index| !self.held.contains(index)) {
            let term = self.terms.get(&index);
            let version = term.map_or(RecordVersion(0), |(version, _)| *version);
            let last = term.map(|(_, record)| record.clone());
            match takeover_rank(now_ms, local, index, last.as_ref(), peers) {
                Ok(rank) => {
                    best.entry(rank).or_default().push(Candidate { index, version, last });
                }
                Err(wait_ms) => {
                    let earlier = silence_ends_in_ms.map_or(wait_ms, |known| known.min(wait_ms));
                    silence_ends_in_ms = Some(earlier);
                }
            }
        }
        let candidates = best.into_values().next().unwrap_or_default();
        match candidates.into_iter().choose(random) {
            Some(candidate) => Choice::Acquire(candidate),
            None => Choice::Wait { silence_ends_in_ms },
        }
    }
}

/// Returns the rank of a seat without a valid lease (0 is preferred), or the
/// time in milliseconds until its last holder has been silent for long enough.
fn takeover_rank(
    now_ms: u64,
    local: &EntryId,
    index: u16,
    last: Option<&TenureRecord>,
    peers: &Peers,
) -> Result<u8, u64> {
    let Some(last) = last else { return Ok(1) };
    if last.holder == *local {
        return Ok(0);
    }
    if last.released {
        return Ok(1);
    }
    // A live entry host that reports another seat, or none, failed to acquire
    // this one after it had raised the term.
    if peers.is_refused(&last.holder) || peers.uses_other_seat(now_ms, &last.holder, index) {
        return Ok(2);
    }
    let silence_ms = peers.silence_ms(now_ms, &last.holder);
    if silence_ms >= TAKEOVER_SILENCE_MS { Ok(2) } else { Err(TAKEOVER_SILENCE_MS - silence_ms) }
}
