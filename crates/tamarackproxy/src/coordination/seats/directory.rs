//! Directory of the last holders of all seats, from periodic listings and from
//! heartbeats.

use std::collections::{BTreeMap, BTreeSet};

use super::EntryAddress;
use crate::{
    coordination::control::decode_tenure,
    protocol::store::KeyValue,
    state::{
        ids::{DataCentreId, EntryId, Term},
        records::TenureRecord,
    },
};

/// Prefix of the term keys of seats.
pub(super) const TERM_PREFIX: &str = "seat-term/";
/// Prefix of the leased keys of seats.
pub(super) const SEAT_PREFIX: &str = "seat/";
/// Maximum number of seats in the directory; the design size is 105.
const SEATS_MAX: usize = 4_096;

/// Last holder of one seat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SeatHolder {
    pub(super) entry: EntryId,
    pub(super) address: Box<str>,
    pub(super) term: Term,
    pub(super) released: bool,
}

/// Last holders of the seats of all data centres.
#[derive(Clone, Debug, Default)]
pub(super) struct Directory {
    seats: BTreeMap<(DataCentreId, u16), SeatHolder>,
    /// Seats that were known when the present listing began and that neither
    /// its pages nor heartbeats have named since.
    unseen: BTreeSet<(DataCentreId, u16)>,
    /// Data centres whose holders changed since the last `take_changed`.
    changed: BTreeSet<DataCentreId>,
}

/// Parses a key of the form `<prefix><data centre>/<index>`.
pub(super) fn parse_seat_key(key: &str, prefix: &str) -> Option<(DataCentreId, u16)> {
    let (data_centre, index) = key.strip_prefix(prefix)?.split_once('/')?;
    Some((data_centre.parse().ok()?, index.parse().ok()?))
}

impl Directory {
    /// Starts a listing of all term keys.
    pub(super) fn begin_listing(&mut self) {
        self.unseen = self.seats.keys().cloned().collect();
    }

    /// Adds one page of the listing.
    pub(super) fn on_page(&mut self, items: &[KeyValue]) {
        for item in items {
            let record = decode_tenure(Some(item));
            let seat = parse_seat_key(&item.key, TERM_PREFIX);
            if let (Some(record), Some((data_centre, index))) = (record, seat) {
                self.learn(data_centre, index, record);
            }
        }
    }

    /// Ends the listing and removes seats that it did not name.
    pub(super) fn end_listing(&mut self) {
        for seat in std::mem::take(&mut self.unseen) {
            self.seats.remove(&seat);
            self.changed.insert(seat.0);
        }
    }

    /// Records a holder of a seat; records with a lower term, and those that
    /// undo the release of the same term, are ignored.
    pub(super) fn learn(&mut self, data_centre: DataCentreId, index: u16, record: TenureRecord) {
        let TenureRecord { holder: entry, address, term, released, .. } = record;
        let holder = SeatHolder { entry, address, term, released };
        let seat = (data_centre, index);
        self.unseen.remove(&seat);
        let known = self.seats.get(&seat);
        let is_newer = known.is_none_or(|known| {
            term > known.term || term == known.term && (released || !known.released)
        });
        if !is_newer || known == Some(&holder) || self.is_full(&seat) {
            return;
        }
        self.changed.insert(seat.0.clone());
        self.seats.insert(seat, holder);
    }

    fn is_full(&self, seat: &(DataCentreId, u16)) -> bool {
        self.seats.len() >= SEATS_MAX && !self.seats.contains_key(seat)
    }

    /// Returns the highest known term of a seat.
    pub(super) fn term(&self, data_centre: &DataCentreId, index: u16) -> Option<Term> {
        self.seats.get(&(data_centre.clone(), index)).map(|holder| holder.term)
    }

    /// Returns the data centres with known seats.
    pub(super) fn data_centres(&self) -> BTreeSet<&DataCentreId> {
        self.seats.keys().map(|(data_centre, _)| data_centre).collect()
    }

    /// Iterates over the holders of a data centre's seats by index, without
    /// those that released their seat.
    pub(super) fn holders(
        &self,
        data_centre: &DataCentreId,
    ) -> impl Iterator<Item = (u16, &SeatHolder)> {
        let range = (data_centre.clone(), 0)..=(data_centre.clone(), u16::MAX);
        let seats = self.seats.range(range).map(|((_, index), holder)| (*index, holder));
        seats.filter(|(_, holder)| !holder.released)
    }

    /// Returns the holders of a data centre by index; `None` is a seat without
    /// a holder.
    pub(super) fn holder_list(&self, data_centre: &DataCentreId) -> Vec<Option<EntryId>> {
        let range = (data_centre.clone(), 0)..=(data_centre.clone(), u16::MAX);
        let last = self.seats.range(range).next_back().map(|((_, index), _)| usize::from(*index));
        let mut list = vec![None; last.map_or(0, |last| last + 1)];
        for (index, holder) in self.holders(data_centre) {
            list[usize::from(index)] = Some(holder.entry.clone());
        }
        list
    }

    /// Returns the holders of a data centre with their addresses.
    pub(super) fn addresses_of(
        &self,
        data_centre: &DataCentreId,
    ) -> impl Iterator<Item = EntryAddress> {
        self.holders(data_centre).map(|(_, holder)| EntryAddress {
            entry: holder.entry.clone(),
            data_centre: data_centre.clone(),
            peer_address: holder.address.clone(),
        })
    }

    /// Returns all holders with their addresses.
    pub(super) fn addresses(&self) -> impl Iterator<Item = EntryAddress> + '_ {
        let seats = self.seats.iter().filter(|(_, holder)| !holder.released);
        seats.map(|((data_centre, _), holder)| EntryAddress {
            entry: holder.entry.clone(),
            data_centre: data_centre.clone(),
            peer_address: holder.address.clone(),
        })
    }

    /// Returns the data centres whose holders changed since the last call.
    pub(super) fn take_changed(&mut self) -> BTreeSet<DataCentreId> {
        std::mem::take(&mut self.changed)
    }
}
