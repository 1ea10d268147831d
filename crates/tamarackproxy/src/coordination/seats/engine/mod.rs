//! State machine of the seat of one entry host and of what it knows of others.

mod exchange;
mod report;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    DIRECTORY_INTERVAL_MS, EntryAddress, ISOLATION_LIMIT_MS, LivePeer, PAUSE_LIMIT_MS, SeatsAction,
    SeatsEvent, SeatsMessage, TAKEOVER_SILENCE_MS,
    directory::{Directory, TERM_PREFIX},
    gateways::Gateways,
    peers::Peers,
    seat::{OwnSeat, SeatContext},
};
use crate::{
    coordination::control::{LEASE_TTL_MS, shortened_by_drift},
    protocol::store::{StoreError, StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        ids::{CallId, DataCentreId, EntryId, Epoch, LeaseId, Revision, Term},
    },
};

/// Maximum number of seats per page of the directory listing.
const PAGE_LIMIT: u32 = 500;
/// Maximum random delay of the first listing, in milliseconds; spreads the
/// calls of entry hosts that start at the same time.
const FIRST_LISTING_WITHIN_MS: u64 = 500;
/// Maximum random delay after a failed listing, in milliseconds.
const LISTING_RETRY_MS: u64 = 8_000;

/// A lease renewal in flight on behalf of a peer.
#[derive(Clone, Debug)]
struct RenewalForPeer {
    peer: EntryId,
    lease: LeaseId,
    asked_at_ms: u64,
}

/// Acquires and keeps the seat of one entry host, and tracks other entry hosts.
///
/// See section 3.1 of the design page. The first store calls are sent by a
/// tick: the listing of all seats after a short random delay, the acquisition
/// once the number of seats is known.
#[derive(Clone, Debug)]
pub struct SeatEngine {
    local: EntryAddress,
    settings_peers: Vec<EntryAddress>,
    peers: Peers,
    directory: Directory,
    gateways: Gateways,
    seat: OwnSeat,
    random: ChaCha8Rng,
    in_force: (Epoch, Revision),
    fleet_version: u64,
    next_call: CallId,
    seat_call: Option<CallId>,
    listing_call: Option<CallId>,
    renewals: BTreeMap<CallId, RenewalForPeer>,
    next_heartbeat_ms: u64,
    next_listing_ms: u64,
    next_ask_ms: u64,
    next_gateways_ms: u64,
    last_event_ms: Option<u64>,
    next_tick_ms: u64,
    last_store_ms: u64,
    stopping: bool,
    /// The known addresses may have changed. If only heartbeats arrive, they
    /// are compared at most once a second.
    addresses_changed: bool,
    reported_detached: bool,
    reported_peers: Vec<LivePeer>,
    reported_addresses: Vec<EntryAddress>,
    reported_gateways: Vec<(DataCentreId, EntryId)>,
}

impl SeatEngine {
    /// Creates the engine of the entry host `entry`. `settings_peers` are the
    /// peers known before the store is read. `seed` must differ between
    /// processes.
    pub fn new(entry: EntryAddress, settings_peers: Vec<EntryAddress>, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let seat = OwnSeat::new(entry.clone(), ChaCha8Rng::from_rng(&mut random));
        Self {
            peers: Peers::new(entry.clone()),
            local: entry,
            settings_peers,
            directory: Directory::default(),
            gateways: Gateways::default(),
            seat,
            random,
            in_force: (Epoch(0), Revision(0)),
            fleet_version: 0,
            next_call: CallId(1),
            seat_call: None,
            listing_call: None,
            renewals: BTreeMap::new(),
            next_heartbeat_ms: 0,
            next_listing_ms: 0,
            next_ask_ms: 0,
            next_gateways_ms: 0,
            last_event_ms: None,
            next_tick_ms: 0,
            last_store_ms: 0,
            stopping: false,
            addresses_changed: true,
            reported_detached: false,
            reported_peers: Vec::new(),
            reported_addresses: Vec::new(),
            reported_gateways: Vec::new(),
        }
    }

    /// Returns the index and term of the held seat.
    pub fn seat(&self) -> Option<(u16, Term)> {
        self.seat.held()
    }

    /// Returns whether the seat is suspended, so that nothing may be started.
    pub fn is_suspended(&self) -> bool {
        self.seat.is_suspended()
    }

    /// Returns the monotonic time in milliseconds at which the next
    /// `SeatsEvent::Tick` is needed.
    pub fn next_tick_ms(&self) -> Option<u64> {
        Some(self.next_tick_ms)
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: ClockReading, event: SeatsEvent, actions: &mut Vec<SeatsAction>) {
        let now_ms = now.monotonic_ms;
        self.detect_pause_and_isolation(now, actions);
        match event {
            SeatsEvent::SeatsConfigured { seats } => {
                let request =
                    self.with_seat(now, actions, |seat, context| seat.configure(seats, context));
                self.send_seat_request(request, actions);
            }
            SeatsEvent::Received { from, message } => self.on_message(now, from, message, actions),
            SeatsEvent::PeerRefused { peer } => {
                self.gateways.on_refused(&peer);
                self.peers.on_refused(now_ms, peer);
            }
            SeatsEvent::StoreReplied { call, result } => {
                self.on_store_reply(now, call, result, actions);
            }
            SeatsEvent::StateChanged { in_force, fleet_version } => {
                (self.in_force, self.fleet_version) = (in_force, fleet_version);
            }
            SeatsEvent::Stopping => {
                self.stopping = true;
                self.next_heartbeat_ms = now_ms;
            }
            SeatsEvent::Release => {
                let request = self.with_seat(now, actions, OwnSeat::release);
                self.send_seat_request(request, actions);
            }
            SeatsEvent::Tick => {}
        }
        self.run_due(now, actions);
    }

    /// Suspends the seat after a pause of the event loop or on isolation,
    /// before the event is handled.
    fn detect_pause_and_isolation(&mut self, now: ClockReading, actions: &mut Vec<SeatsAction>) {
        let now_ms = now.monotonic_ms;
        self.peers.start(now_ms);
        let Some(last_event_ms) = self.last_event_ms.replace(now_ms) else {
            self.last_store_ms = now_ms;
            self.next_listing_ms = now_ms + self.random.random_range(0..=FIRST_LISTING_WITHIN_MS);
            return;
        };
        let paused = now_ms > self.next_tick_ms + PAUSE_LIMIT_MS;
        if paused {
            // Without live peers, nobody can take over the seat in less than
            // the takeover silence, and nobody could confirm the term while the
            // store is down.
            let gap_ms = now_ms - last_event_ms;
            let is_safe =
                !self.had_live_peers() && gap_ms < shortened_by_drift(TAKEOVER_SILENCE_MS);
            if !is_safe {
                self.suspend(now, actions);
            }
            // Messages that arrived during the pause were not read, so silence
            // is measured from now.
            self.peers.reset_silence(now_ms);
        } else if self.is_isolated(now_ms) && !self.seat.is_suspended() {
            self.suspend(now, actions);
        }
    }

    fn suspend(&mut self, now: ClockReading, actions: &mut Vec<SeatsAction>) {
        self.next_ask_ms = now.monotonic_ms;
        self.with_seat(now, actions, OwnSeat::suspend);
    }

    fn last_contact_ms(&self) -> u64 {
        self.last_store_ms.max(self.peers.last_heard_ms().unwrap_or(0))
    }

    fn had_live_peers(&self) -> bool {
        self.peers.any_alive_at(self.last_contact_ms())
    }

    fn is_isolated(&self, now_ms: u64) -> bool {
        now_ms >= self.last_contact_ms() + ISOLATION_LIMIT_MS && self.had_live_peers()
    }

    fn with_seat<T>(
        &mut self,
        now: ClockReading,
        actions: &mut Vec<SeatsAction>,
        run: impl FnOnce(&mut OwnSeat, &mut SeatContext<'_>) -> T,
    ) -> T {
        let mut context = SeatContext {
            now_ms: now.monotonic_ms,
            peers: &self.peers,
            directory: &mut self.directory,
            actions,
        };
        let held = self.seat.held();
        let result = run(&mut self.seat, &mut context);
        if self.seat.held() != held {
            // Announce the change to peers immediately.
            self.next_heartbeat_ms = now.monotonic_ms;
        }
        result
    }

    fn on_store_reply(
        &mut self,
        now: ClockReading,
        call: CallId,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<SeatsAction>,
    ) {
        if result.is_ok() {
            self.last_store_ms = now.monotonic_ms;
        }
        if self.seat_call == Some(call) {
            self.seat_call = None;
            let request =
                self.with_seat(now, actions, |seat, context| seat.on_reply(result, context));
            self.send_seat_request(request, actions);
        } else if self.listing_call == Some(call) {
            self.listing_call = None;
            self.on_listing(now.monotonic_ms, result, actions);
        } else if let Some(renewal) = self.renewals.remove(&call) {
            let RenewalForPeer { peer, lease, asked_at_ms } = renewal;
            if matches!(result, Ok(StoreReply::Lease { .. })) {
                let message = SeatsMessage::Renewed { lease, asked_at_ms };
                actions.push(SeatsAction::Send { to: peer, message });
            }
        }
    }

    fn on_listing(
        &mut self,
        now_ms: u64,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<SeatsAction>,
    ) {
        let Ok(StoreReply::Values { items, more }) = result else {
            let delay_ms = self.random.random_range(LISTING_RETRY_MS / 4..=LISTING_RETRY_MS);
            self.next_listing_ms = now_ms + delay_ms;
            return;
        };
        self.directory.on_page(&items);
        match items.last().filter(|_| more) {
            Some(last) => self.list_after(Some(last.key.clone()), actions),
            None => {
                self.directory.end_listing();
                let quarter_ms = DIRECTORY_INTERVAL_MS / 4;
                let jitter_ms = self.random.random_range(0..=2 * quarter_ms);
                self.next_listing_ms = now_ms + DIRECTORY_INTERVAL_MS - quarter_ms + jitter_ms;
            }
        }
    }

    fn list_after(&mut self, after: Option<Box<str>>, actions: &mut Vec<SeatsAction>) {
        let prefix = TERM_PREFIX.into();
        let request = StoreRequest::List { prefix, after, limit: PAGE_LIMIT };
        self.listing_call = Some(self.call_store(request, actions));
    }

    fn call_store(&mut self, request: StoreRequest, actions: &mut Vec<SeatsAction>) -> CallId {
        let call = self.next_call;
        self.next_call = call.next();
        actions.push(SeatsAction::Store { call, request });
        call
    }

    fn send_seat_request(&mut self, request: Option<StoreRequest>, actions: &mut Vec<SeatsAction>) {
        if let Some(request) = request {
            self.seat_call = Some(self.call_store(request, actions));
        }
    }

    /// Runs what is due, reports changes and sets the time of the next tick.
    fn run_due(&mut self, now: ClockReading, actions: &mut Vec<SeatsAction>) {
        let now_ms = now.monotonic_ms;
        if self.listing_call.is_none() && now_ms >= self.next_listing_ms {
            self.directory.begin_listing();
            self.list_after(None, actions);
        }
        let request = self.with_seat(now, actions, |seat, context| seat.tick(context));
        self.send_seat_request(request, actions);
        self.ask_peers(now_ms, actions);
        if now_ms >= self.next_heartbeat_ms {
            self.send_heartbeats(now_ms, actions);
        }
        self.report(now_ms, actions);
        self.next_tick_ms = self.compute_next_tick_ms(now_ms);
    }

    fn compute_next_tick_ms(&self, now_ms: u64) -> u64 {
        let listing_ms = self.listing_call.is_none().then_some(self.next_listing_ms);
        let ask_ms = self.seat.needs_peers().then_some(self.next_ask_ms);
        let isolation_ms = (self.seat.held().is_some() && !self.seat.is_suspended())
            .then_some(self.last_contact_ms() + ISOLATION_LIMIT_MS);
        [listing_ms, ask_ms, isolation_ms, self.seat.next_tick_ms()]
            .into_iter()
            .chain([self.peers.next_expiry_ms(now_ms)])
            .flatten()
            .filter(|due_ms| *due_ms > now_ms)
            .fold(self.next_heartbeat_ms, u64::min)
    }

    fn reaches_store(&self, now_ms: u64) -> bool {
        now_ms < self.last_store_ms + LEASE_TTL_MS
    }
}
