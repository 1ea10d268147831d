//! The seat of this entry host: acquisition, renewal, suspension and release.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{
    EntryAddress, SeatsAction,
    candidates::{Candidate, Choice, Listing},
    directory::{Directory, SEAT_PREFIX, TERM_PREFIX},
    peers::Peers,
    release::Release,
};
use crate::{
    coordination::control::{Acquisition, AcquisitionStep, Backoff, RENEW_INTERVAL_MS, Tenure},
    protocol::store::{StoreError, StoreReply, StoreRequest},
    state::{
        ids::{LeaseId, OperationId, Term},
        records::TenureRecord,
    },
};

/// Maximum number of seats of one data centre that a listing returns.
const LIST_LIMIT: u32 = 512;
/// Longest delay between acquisition attempts of an entry host without a seat,
/// in milliseconds; the shortest is three quarters of it.
const VACANT_RETRY_MS: u64 = 5_000;
/// Longest delay after another entry host took the seat, in milliseconds.
const CONTENTION_RETRY_MS: u64 = 400;
/// Initial limit of the backoff after a failed call, in milliseconds.
const BACKOFF_MIN_MS: u64 = 500;
/// Maximum backoff after a failed call, in milliseconds; it leaves time for two
/// more calls before the lease expires after a failed renewal.
const BACKOFF_MAX_MS: u64 = 3_000;
/// Time after which a stopping process gives up waiting for the store, in
/// milliseconds.
const RELEASE_TIMEOUT_MS: u64 = 3_000;

/// State of the engine that the methods of [`OwnSeat`] use.
pub(super) struct SeatContext<'a> {
    pub(super) now_ms: u64,
    pub(super) peers: &'a Peers,
    pub(super) directory: &'a mut Directory,
    pub(super) actions: &'a mut Vec<SeatsAction>,
}

#[derive(Clone, Debug)]
struct HeldSeat {
    index: u16,
    tenure: Tenure,
    suspended_at_ms: Option<u64>,
    /// The lease expired; the seat is being bound to a new one.
    rebinding: bool,
}

#[derive(Clone, Debug)]
enum Call {
    ListSeats(Listing),
    ListTerms(Listing),
    Acquire { index: u16, acquisition: Acquisition },
    Renew { sent_at_ms: u64 },
    Rebind { acquisition: Acquisition },
    Release(Release),
}

/// Seat of this entry host; at most one of its store calls is in flight.
#[derive(Clone, Debug)]
pub(super) struct OwnSeat {
    local: EntryAddress,
    seats: u16,
    held: Option<HeldSeat>,
    call: Option<Call>,
    next_attempt_ms: u64,
    /// The last renewal failed or the seat is suspended, so peers are asked to
    /// renew the lease or to confirm the term.
    needs_peers: bool,
    /// Time at which the release was requested, in monotonic milliseconds.
    release_asked_ms: Option<u64>,
    released: bool,
    backoff: Backoff,
    random: ChaCha8Rng,
}

impl OwnSeat {
    pub(super) fn new(local: EntryAddress, random: ChaCha8Rng) -> Self {
        Self {
            local,
            seats: 0,
            held: None,
            call: None,
            next_attempt_ms: 0,
            needs_peers: false,
            release_asked_ms: None,
            released: false,
            backoff: Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS),
            random,
        }
    }

    /// Returns the index and term of the held seat.
    pub(super) fn held(&self) -> Option<(u16, Term)> {
        self.held.as_ref().map(|held| (held.index, held.tenure.term))
    }

    pub(super) fn lease(&self) -> Option<LeaseId> {
        self.held.as_ref().map(|held| held.tenure.lease)
    }

    pub(super) fn is_suspended(&self) -> bool {
        self.held.as_ref().is_some_and(|held| held.suspended_at_ms.is_some())
    }

    pub(super) fn needs_peers(&self) -> bool {
        self.held.is_some() && self.needs_peers
    }

    pub(super) fn next_tick_ms(&self) -> Option<u64> {
        if let Some(asked_ms) = self.release_asked_ms {
            return (!self.released).then_some(asked_ms + RELEASE_TIMEOUT_MS);
        }
        (self.call.is_none() && self.seats > 0).then_some(self.next_attempt_ms)
    }

    /// Sets the number of seats of the data centre; a held seat with a higher
    /// index is released.
    pub(super) fn configure(
        &mut self,
        seats: u16,
        context: &mut SeatContext<'_>,
    ) -> Option<StoreRequest> {
        self.seats = seats;
        let held = self.held.as_ref().filter(|held| held.index >= seats)?;
        let (term, lease) = (held.tenure.term, held.tenure.lease);
        let release = Release::new(self.term_key(held.index), term, lease);
        let request = release.start();
        self.lose(context);
        // Replaces a call in flight, so that its reply does not restore the
        // seat.
        self.call = Some(Call::Release(release));
        Some(request)
    }

    /// Stops using the seat until its term is confirmed.
    pub(super) fn suspend(&mut self, context: &mut SeatContext<'_>) {
        let Some(held) = &mut self.held else { return };
        if held.suspended_at_ms.is_none() {
            context.actions.push(SeatsAction::SeatSuspended);
        }
        held.suspended_at_ms = Some(context.now_ms);
        self.needs_peers = true;
        self.next_attempt_ms = context.now_ms;
    }

    /// Handles a confirmation of the seat, by the store or by a peer, that was
    /// requested at `asked_ms`; resumes the seat if the request is no older
    /// than the suspension.
    pub(super) fn on_confirmed(&mut self, asked_ms: u64, context: &mut SeatContext<'_>) {
        let Some(held) = &mut self.held else { return };
        if held.suspended_at_ms.is_some_and(|suspended_ms| asked_ms >= suspended_ms) {
            held.suspended_at_ms = None;
            let (index, term) = (held.index, held.tenure.term);
            context.actions.push(SeatsAction::SeatResumed { index, term });
        }
    }

    /// Gives up the seat if another holder has a later term.
    pub(super) fn on_superseded(&mut self, index: u16, term: Term, context: &mut SeatContext<'_>) {
        if self.held().is_some_and(|(own, own_term)| own == index && own_term < term) {
            self.lose(context);
        }
    }

    /// Starts the release of the seat.
    pub(super) fn release(&mut self, context: &mut SeatContext<'_>) -> Option<StoreRequest> {
        self.release_asked_ms = Some(context.now_ms);
        match (&self.held, &self.call) {
            (None, _) => {
                self.finish_release(context);
                None
            }
            (Some(_), None) => self.start_release(),
            (Some(_), Some(_)) => None,
        }
    }

    fn start_release(&mut self) -> Option<StoreRequest> {
        let held = self.held.as_ref()?;
        let (term, lease) = (held.tenure.term, held.tenure.lease);
        let release = Release::new(self.term_key(held.index), term, lease);
        let request = release.start();
        self.call = Some(Call::Release(release));
        Some(request)
    }

    fn finish_release(&mut self, context: &mut SeatContext<'_>) {
        if !std::mem::replace(&mut self.released, true) {
            self.held = None;
            context.actions.push(SeatsAction::Released);
        }
    }

    /// Returns the store request that is due, if any.
    pub(super) fn tick(&mut self, context: &mut SeatContext<'_>) -> Option<StoreRequest> {
        let now_ms = context.now_ms;
        if let Some(asked_ms) = self.release_asked_ms {
            if now_ms >= asked_ms + RELEASE_TIMEOUT_MS {
                self.finish_release(context);
            }
            return None;
        }
        if self.call.is_some() || self.seats == 0 || now_ms < self.next_attempt_ms {
            return None;
        }
        let (call, request) = match &self.held {
            None => (Call::ListSeats(Listing::default()), self.list(SEAT_PREFIX)),
            Some(held) if held.rebinding => self.start_rebinding(context),
            Some(held) => {
                let lease = held.tenure.lease;
                (Call::Renew { sent_at_ms: now_ms }, StoreRequest::KeepAlive { lease })
            }
        };
        self.call = Some(call);
        Some(request)
    }

    fn list(&self, prefix: &str) -> StoreRequest {
        let prefix = format!("{prefix}{}/", self.local.data_centre).into();
        StoreRequest::List { prefix, after: None, limit: LIST_LIMIT }
    }

    fn key(&self, index: u16) -> Box<str> {
        format!("{SEAT_PREFIX}{}/{index}", self.local.data_centre).into()
    }

    fn term_key(&self, index: u16) -> Box<str> {
        format!("{TERM_PREFIX}{}/{index}", self.local.data_centre).into()
    }

    fn record(&mut self, term: Term) -> TenureRecord {
        TenureRecord {
            holder: self.local.entry.clone(),
            address: self.local.peer_address.clone(),
            term,
            released: false,
            operation: OperationId(self.random.random()),
            millicores: 0,
        }
    }

    fn start_rebinding(&mut self, context: &SeatContext<'_>) -> (Call, StoreRequest) {
        let (index, term) = self.held().unwrap_or_default();
        let record = self.record(term);
        let mut acquisition = Acquisition::rebind(self.key(index), self.term_key(index), record);
        let request = acquisition.start(context.now_ms);
        (Call::Rebind { acquisition }, request)
    }

    /// Handles the result of the call in flight and returns the next request.
    pub(super) fn on_reply(
        &mut self,
        result: Result<StoreReply, StoreError>,
        context: &mut SeatContext<'_>,
    ) -> Option<StoreRequest> {
        let call = self.call.take()?;
        let request = self.on_call_ended(call, result, context);
        if request.is_none() && self.call.is_none() && self.release_asked_ms.is_some() {
            if self.held.is_some() {
                return self.start_release();
            }
            self.finish_release(context);
        }
        request
    }

    fn on_call_ended(
        &mut self,
        call: Call,
        result: Result<StoreReply, StoreError>,
        context: &mut SeatContext<'_>,
    ) -> Option<StoreRequest> {
        match (call, result) {
            (Call::ListSeats(mut listing), Ok(StoreReply::Values { items, .. })) => {
                listing.on_seats(&items);
                self.call = Some(Call::ListTerms(listing));
                Some(self.list(TERM_PREFIX))
            }
            (Call::ListTerms(mut listing), Ok(StoreReply::Values { items, .. })) => {
                listing.on_terms(&items);
                self.backoff.reset();
                self.on_listed(&listing, context)
            }
            (Call::Acquire { index, acquisition }, result) => {
                self.on_acquisition(index, acquisition, result, context)
            }
            (Call::Rebind { acquisition }, result) => {
                self.on_rebinding(acquisition, result, context)
            }
            (Call::Renew { sent_at_ms }, result) => {
                self.on_renewal(sent_at_ms, result, context);
                None
            }
            (Call::Release(mut release), result) => {
                let request = release.on_result(result);
                if request.is_some() {
                    self.call = Some(Call::Release(release));
                } else if self.release_asked_ms.is_some() {
                    self.held = None;
                }
                request
            }
            (Call::ListSeats(_) | Call::ListTerms(_), _) => {
                self.retry_after_failure(context.now_ms);
                None
            }
        }
    }

    fn on_listed(
        &mut self,
        listing: &Listing,
        context: &mut SeatContext<'_>,
    ) -> Option<StoreRequest> {
        for (index, record) in listing.records() {
            context.directory.learn(self.local.data_centre.clone(), index, record.clone());
        }
        let (now_ms, local) = (context.now_ms, self.local.entry.clone());
        match listing.choose(now_ms, &local, self.seats, context.peers, &mut self.random) {
            Choice::Acquire(candidate) => Some(self.acquire(candidate, context)),
            Choice::Wait { silence_ends_in_ms } => {
                let retry_ms = self.random.random_range(VACANT_RETRY_MS * 3 / 4..=VACANT_RETRY_MS);
                self.next_attempt_ms =
                    now_ms + silence_ends_in_ms.map_or(retry_ms, |ms| ms.min(retry_ms));
                None
            }
        }
    }

    fn acquire(&mut self, candidate: Candidate, context: &SeatContext<'_>) -> StoreRequest {
        let Candidate { index, version, last } = candidate;
        // A store restored from a backup may show a term below one seen before.
        let seen = context.directory.term(&self.local.data_centre, index);
        let seen = seen.max(context.peers.highest_term(index));
        let term = last.map(|last| last.term).max(seen).unwrap_or_default().next();
        let record = self.record(term);
        let (key, term_key) = (self.key(index), self.term_key(index));
        let mut acquisition = Acquisition::raise(key, term_key, record, version);
        let request = acquisition.start(context.now_ms);
        self.call = Some(Call::Acquire { index, acquisition });
        request
    }

    fn on_acquisition(
        &mut self,
        index: u16,
        mut acquisition: Acquisition,
        result: Result<StoreReply, StoreError>,
        context: &mut SeatContext<'_>,
    ) -> Option<StoreRequest> {
        match acquisition.on_result(result) {
            AcquisitionStep::Send(request) => {
                self.call = Some(Call::Acquire { index, acquisition });
                return Some(request);
            }
            AcquisitionStep::Acquired(tenure) => self.on_acquired(index, tenure, context),
            AcquisitionStep::HeldByOther => {
                self.next_attempt_ms =
                    context.now_ms + self.random.random_range(0..=CONTENTION_RETRY_MS);
            }
            AcquisitionStep::Failed => self.retry_after_failure(context.now_ms),
        }
        None
    }

    fn on_acquired(&mut self, index: u16, tenure: Tenure, context: &mut SeatContext<'_>) {
        self.held = Some(HeldSeat { index, tenure, suspended_at_ms: None, rebinding: false });
        self.on_lease_confirmed(tenure.asked_at_ms);
        let record = self.record(tenure.term);
        context.directory.learn(self.local.data_centre.clone(), index, record);
        context.actions.push(SeatsAction::SeatHeld { index, term: tenure.term });
    }

    fn on_rebinding(
        &mut self,
        mut acquisition: Acquisition,
        result: Result<StoreReply, StoreError>,
        context: &mut SeatContext<'_>,
    ) -> Option<StoreRequest> {
        match acquisition.on_result(result) {
            AcquisitionStep::Send(request) => {
                self.call = Some(Call::Rebind { acquisition });
                return Some(request);
            }
            AcquisitionStep::Acquired(tenure) => {
                if let Some(held) = &mut self.held {
                    (held.tenure, held.rebinding) = (tenure, false);
                }
                self.on_lease_confirmed(tenure.asked_at_ms);
                self.on_confirmed(tenure.asked_at_ms, context);
            }
            AcquisitionStep::HeldByOther => self.lose(context),
            AcquisitionStep::Failed => self.retry_after_failure(context.now_ms),
        }
        None
    }

    fn on_renewal(
        &mut self,
        sent_at_ms: u64,
        result: Result<StoreReply, StoreError>,
        context: &mut SeatContext<'_>,
    ) {
        match result {
            Ok(StoreReply::Lease { .. }) => {
                self.on_lease_confirmed(sent_at_ms);
                self.on_confirmed(sent_at_ms, context);
            }
            Ok(_) => {
                // The lease expired. The key is created again under the same
                // term unless another entry host took the seat.
                if let Some(held) = &mut self.held {
                    held.rebinding = true;
                }
                self.next_attempt_ms = context.now_ms;
            }
            Err(_) => self.retry_after_failure(context.now_ms),
        }
    }

    fn on_lease_confirmed(&mut self, sent_at_ms: u64) {
        self.backoff.reset();
        self.needs_peers = false;
        self.next_attempt_ms = sent_at_ms + RENEW_INTERVAL_MS;
    }

    fn retry_after_failure(&mut self, now_ms: u64) {
        self.needs_peers = true;
        self.next_attempt_ms = now_ms + self.backoff.next_delay_ms(&mut self.random);
    }

    /// Drops the held seat and delays the next acquisition by a random time.
    fn lose(&mut self, context: &mut SeatContext<'_>) {
        if self.held.take().is_some() {
            context.actions.push(SeatsAction::SeatLost);
        }
        self.needs_peers = false;
        self.next_attempt_ms = context.now_ms + self.random.random_range(0..=CONTENTION_RETRY_MS);
    }
}
