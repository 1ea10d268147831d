//! Copies of claims that this entry host keeps for other seats.

use std::collections::BTreeMap;

use super::events::Claim;
use crate::state::ids::Term;

/// Copied claims kept for one seat, which bounds them to 1 MB and lets all of
/// them fit into one opening batch. A copy above it is not acknowledged.
pub const COPIES_MAX: usize = 15_000;
/// Seats of one data centre for which copies are kept.
const SEATS_MAX: usize = 64;

/// What this entry host knows of the log of a seat's holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Witness {
    /// Term of the holder that reported all its runs to be in the store.
    pub term: Term,
    /// Whether the store was reachable for the data centre ever since, so
    /// that the holder can have made no claim outside the store.
    pub attached: bool,
}

#[derive(Clone, Debug, Default)]
struct SeatCopies {
    /// Copies of holders with a lower term are refused.
    fence: Term,
    batches: BTreeMap<(Term, u64), Vec<Claim>>,
    count: usize,
    witness: Option<Witness>,
}

/// Copies by seat.
#[derive(Clone, Debug, Default)]
pub(super) struct CopyKeeper {
    seats: BTreeMap<u16, SeatCopies>,
}

impl CopyKeeper {
    fn seat(&mut self, seat: u16) -> Option<&mut SeatCopies> {
        if self.seats.len() >= SEATS_MAX && !self.seats.contains_key(&seat) {
            return None;
        }
        Some(self.seats.entry(seat).or_default())
    }

    /// Keeps copies; returns whether they are kept.
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

    /// Notes that all runs of this holder, and the copies up to this batch,
    /// are in the store.
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

    /// Returns the copies of a seat and refuses further ones of lower terms.
    pub fn fetch(&mut self, seat: u16, term: Term) -> (Vec<Claim>, Option<Witness>) {
        let Some(copies) = self.seat(seat) else { return (Vec::new(), None) };
        copies.fence = copies.fence.max(term);
        (copies.batches.values().flatten().copied().collect(), copies.witness)
    }

    /// Notes that the store may be out of reach of the whole data centre.
    pub fn on_detached(&mut self) {
        for witness in self.seats.values_mut().filter_map(|copies| copies.witness.as_mut()) {
            witness.attached = false;
        }
    }
}
