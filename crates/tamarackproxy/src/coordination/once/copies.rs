//! Copies of claims that this entry host holds for other seat holders.

use std::collections::BTreeMap;

use super::events::Claim;
use crate::state::ids::Term;

/// Maximum number of copied claims held for one seat, which limits them to 1 MB
/// and lets them all fit into one opening batch. Copies beyond it are not
/// acknowledged.
pub const COPIES_MAX: usize = 15_000;
/// Maximum number of seats for which copies are held.
const SEATS_MAX: usize = 64;

/// Evidence about the log of a seat's holder, as reported to this entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Witness {
    /// Term of the holder that reported that all requests it ran are in the store.
    pub term: Term,
    /// Whether the store has been reachable for the data centre ever since, so that
    /// the holder cannot have made claims outside the store.
    pub attached: bool,
}

/// Copied claims of one seat.
#[derive(Clone, Debug, Default)]
struct SeatCopies {
    /// Copies from holders with a lower term are rejected.
    fence: Term,
    batches: BTreeMap<(Term, u64), Vec<Claim>>,
    count: usize,
    witness: Option<Witness>,
}

/// Copied claims of all seats.
#[derive(Clone, Debug, Default)]
pub(super) struct CopiedClaims {
    seats: BTreeMap<u16, SeatCopies>,
}

impl CopiedClaims {
    fn seat(&mut self, seat: u16) -> Option<&mut SeatCopies> {
        if self.seats.len() >= SEATS_MAX && !self.seats.contains_key(&seat) {
            return None;
        }
        Some(self.seats.entry(seat).or_default())
    }

    /// Adds a batch of copies; returns whether its copies are held, also if they were
    /// before.
    pub fn keep(&mut self, seat: u16, term: Term, batch: u64, claims: Vec<Claim>) -> bool {
        let Some(copies) = self.seat(seat) else { return false };
        if term < copies.fence {
            return false;
        }
        if let Some(witness) = &mut copies.witness {
            witness.attached = false;
        }
        if copies.batches.contains_key(&(term, batch)) {
            return true;
        }
        if copies.count + claims.len() > COPIES_MAX {
            return false;
        }
        copies.count += claims.len();
        copies.batches.insert((term, batch), claims);
        true
    }

    /// Records that all requests that this holder ran, and its copies up to `batch`,
    /// are in the store, and drops these copies.
    pub fn on_flushed(&mut self, seat: u16, term: Term, batch: u64, attached: bool) {
        let Some(copies) = self.seat(seat) else { return };
        if term < copies.fence {
            return;
        }
        copies.fence = term;
        let kept = copies.batches.split_off(&(term, batch.saturating_add(1)));
        copies.batches = kept;
        copies.count = copies.batches.values().map(Vec::len).sum();
        copies.witness = Some(Witness { term, attached });
    }

    /// Returns the copies of a seat, and rejects further ones from terms lower than
    /// `term`.
    pub fn fetch(&mut self, seat: u16, term: Term) -> (Vec<Claim>, Option<Witness>) {
        let Some(copies) = self.seat(seat) else { return (Vec::new(), None) };
        copies.fence = copies.fence.max(term);
        (copies.batches.values().flatten().copied().collect(), copies.witness)
    }

    /// Records that the store may be or have been unreachable for the whole data
    /// centre.
    pub fn on_detached(&mut self) {
        for witness in self.seats.values_mut().filter_map(|copies| copies.witness.as_mut()) {
            witness.attached = false;
        }
    }
}
