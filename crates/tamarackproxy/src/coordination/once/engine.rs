//! The at-most-once engine: submissions, repeats and ends of runs.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::{
    batch::{BATCH_ENTRIES_MAX, LogEntry, layout_key},
    claim::home_seat,
    copies::CopyKeeper,
    detached::CopyBatch,
    events::{Claim, KeyDigest, OnceAction, OnceEvent, OnceMessage, RunResult, SeatTenure},
    key::{CLOCK_TOLERANCE_MS, check_created},
    layout::LayoutSync,
    ledger::{KeyState, Ledger, LoggedBatch},
    opening::Opening,
    writer::Write,
};
use crate::{
    protocol::caller::Refusal,
    state::{
        clock::ClockReading,
        ids::{CallId, DataCentreId, EntryId, RequestId},
    },
};

/// Writes a second of all entry hosts of the deployment together, which
/// leaves the rest of the store's several hundred to other records.
pub const WRITES_PER_SECOND_MAX: u64 = 200;
/// Time for which a request waits for its claim, in milliseconds. It stays
/// below the seat lease of 10 s, so no successor of a holder that was not
/// paused meanwhile can have run a repeat.
pub const CLAIM_WAIT_MS: u64 = 5_000;
/// Requests that wait for a claim or run at once; further ones are refused.
pub const IN_PROGRESS_MAX: usize = 10_000;

/// Entries that wait for a batch; further claims are refused as not run. One
/// batch holds as many, so the queue empties with the first write after an
/// outage.
const QUEUE_MAX: usize = BATCH_ENTRIES_MAX;
/// Shortest time between the starts of two batches, in milliseconds.
const PACE_MIN_MS: u64 = 25;
/// Time between the engine's periodic checks, in milliseconds.
const HOUSEKEEPING_MS: u64 = 1_000;
/// Time between two events that counts as a pause of the process, in
/// milliseconds; twice the periodic check.
const PAUSE_MS: u64 = 2 * HOUSEKEEPING_MS;
/// Time in which a changed number of seats is in force on all entry hosts of
/// a data centre, in milliseconds: 6 s by promise, with a margin for a node
/// that was paused.
pub(super) const LAYOUT_SPREAD_MS: u64 = 30_000;
/// Time after which a refused caller may try again, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Where the log of the held seat stands.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// No seat was held so far.
    Idle,
    /// The log is read and opened.
    Opening(Opening),
    /// Claims are accepted.
    Open,
    /// The log was closed, or lost to another holder.
    Ended,
}

/// What a call to the store is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    Layout,
    List,
    Write,
    ReadBack,
    Delete,
}

/// A request that waits for its claim.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    since_ms: u64,
    key: KeyDigest,
    request: RequestId,
}

/// State machine of at-most-once execution on one entry host.
///
/// Bounds: [`CLAIMS_MAX`](super::CLAIMS_MAX) claims (further keys are refused
/// as not run), [`KEPT_RESPONSES_MAX`](super::KEPT_RESPONSES_MAX) responses
/// of [`KEPT_RESPONSE_BYTES_MAX`](super::KEPT_RESPONSE_BYTES_MAX) bytes in
/// total (the oldest is forgotten), [`IN_PROGRESS_MAX`] requests in progress
/// (further ones are refused) and [`COPIES_MAX`](super::COPIES_MAX) copied
/// claims for each other seat (further ones are not acknowledged).
#[derive(Clone, Debug)]
pub struct OnceEngine {
    pub(super) entry: EntryId,
    pub(super) data_centre: DataCentreId,
    pub(super) pace_ms: u64,
    pub(super) seats: Option<u16>,
    /// When the number of seats became known, in milliseconds since the epoch.
    pub(super) configured_unix_ms: u64,
    pub(super) tenure: Option<SeatTenure>,
    pub(super) suspended: bool,
    pub(super) stopping: bool,
    pub(super) detached: bool,
    pub(super) peers: Vec<EntryId>,
    pub(super) phase: Phase,
    pub(super) ledger: Ledger,
    pub(super) in_progress: HashMap<RequestId, KeyDigest>,
    waiters: VecDeque<Waiter>,
    /// Entries that are in no batch yet, in the order of their effects.
    pub(super) queue: VecDeque<LogEntry>,
    /// Claims among the queue's entries.
    pub(super) queued_claims: usize,
    /// Entries that entered the queue, and those that are in the store.
    pub(super) queued_total: u64,
    pub(super) logged_total: u64,
    /// Entries up to this number must be in the store before the log counts
    /// as complete, since some of them ran on copies alone.
    pub(super) copied_until: u64,
    pub(super) gap_until_unix_ms: u64,
    pub(super) write: Option<Write>,
    pub(super) next_sequence: u64,
    pub(super) next_write_ms: u64,
    pub(super) failures: u32,
    pub(super) operations: u64,
    pub(super) uncopied: Vec<Claim>,
    pub(super) copying: BTreeMap<u64, CopyBatch>,
    pub(super) copy_batch: u64,
    pub(super) next_copy_ms: u64,
    pub(super) copies: CopyKeeper,
    pub(super) layout: Option<LayoutSync>,
    pub(super) layout_retry_ms: Option<u64>,
    pub(super) deleting: Option<(LoggedBatch, bool)>,
    pub(super) next_delete_ms: u64,
    pub(super) calls: BTreeMap<CallId, Purpose>,
    pub(super) last_call: CallId,
    pub(super) jitter: u64,
    /// End of the last pause, until a write that was sent later shows that
    /// this entry host still holds the seat.
    unconfirmed_since_ms: Option<u64>,
    last_event_ms: Option<u64>,
    next_housekeeping_ms: u64,
}

impl OnceEngine {
    /// Makes the engine of an entry host; `entry_hosts` is the number of
    /// entry hosts of the whole deployment, which share the store's writes.
    pub fn new(entry: EntryId, data_centre: DataCentreId, entry_hosts: u32) -> Self {
        let share_ms = (u64::from(entry_hosts) * 1_000).div_ceil(WRITES_PER_SECOND_MAX);
        let name_hash = |hash: u64, byte: u8| hash.wrapping_mul(31) ^ u64::from(byte);
        let jitter = entry.as_str().bytes().fold(0x9e37_79b9_7f4a_7c15, name_hash) | 1;
        Self {
            entry,
            data_centre,
            pace_ms: share_ms.max(PACE_MIN_MS),
            seats: None,
            configured_unix_ms: 0,
            tenure: None,
            suspended: false,
            stopping: false,
            detached: false,
            peers: Vec::new(),
            phase: Phase::Idle,
            ledger: Ledger::default(),
            in_progress: HashMap::new(),
            waiters: VecDeque::new(),
            queue: VecDeque::new(),
            queued_claims: 0,
            queued_total: 0,
            logged_total: 0,
            copied_until: 0,
            gap_until_unix_ms: 0,
            write: None,
            next_sequence: 1,
            next_write_ms: 0,
            failures: 0,
            operations: 0,
            uncopied: Vec::new(),
            copying: BTreeMap::new(),
            copy_batch: 0,
            next_copy_ms: 0,
            copies: CopyKeeper::default(),
            layout: None,
            layout_retry_ms: None,
            deleting: None,
            next_delete_ms: 0,
            calls: BTreeMap::new(),
            last_call: CallId(0),
            jitter,
            unconfirmed_since_ms: None,
            last_event_ms: None,
            next_housekeeping_ms: 0,
        }
    }

    /// Takes an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: ClockReading, event: OnceEvent, actions: &mut Vec<OnceAction>) {
        self.detect_pause(now);
        match event {
            OnceEvent::Submitted { request, claim } => {
                self.on_submitted(now, request, claim, actions)
            }
            OnceEvent::RunEnded { request, result } => self.on_run_ended(request, result, actions),
            OnceEvent::SeatChanged { seat } => self.on_seat_changed(now, seat, actions),
            OnceEvent::SeatsConfigured { seats } => self.on_seats_configured(now, seats, actions),
            OnceEvent::DetachedChanged { detached } => {
                self.on_detached_changed(now, detached, actions)
            }
            OnceEvent::PeersChanged { peers } => self.on_peers_changed(now, peers, actions),
            OnceEvent::Received { from, message } => self.on_received(now, from, message, actions),
            OnceEvent::StoreReplied { call, result } => {
                if let Some(purpose) = self.calls.remove(&call) {
                    self.on_store_replied(now, purpose, result, actions);
                }
            }
            OnceEvent::Stopping => self.stopping = true,
            OnceEvent::Tick => {}
        }
        self.run_timers(now, actions);
    }

    /// Monotonic time in milliseconds at which `Tick` is next needed.
    pub fn next_tick_ms(&self) -> Option<u64> {
        let mut next = self.next_housekeeping_ms;
        let mut consider = |at_ms: Option<u64>| next = next.min(at_ms.unwrap_or(u64::MAX));
        consider(self.write_due_ms());
        consider(self.copy_due_ms());
        consider(self.layout_retry_ms);
        consider(self.opening_due_ms());
        consider(self.waiters.front().map(|waiter| waiter.since_ms + CLAIM_WAIT_MS));
        Some(next)
    }

    /// Tells whether the log is open and claims are accepted.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Open) && !self.suspended
    }

    fn run_timers(&mut self, now: ClockReading, actions: &mut Vec<OnceAction>) {
        self.time_out_waiters(now, actions);
        self.continue_opening(now, actions);
        self.continue_layout(now, actions);
        self.continue_copying(now, actions);
        self.continue_writing(now, actions);
        if now.monotonic_ms >= self.next_housekeeping_ms {
            self.next_housekeeping_ms = now.monotonic_ms + HOUSEKEEPING_MS;
            self.send_flushed(actions);
        }
        self.continue_deleting(now, actions);
    }

    /// After a pause, a peer may have lost the store unseen and a successor
    /// may hold the seat.
    fn detect_pause(&mut self, now: ClockReading) {
        let last_ms = self.last_event_ms.replace(now.monotonic_ms);
        if last_ms.is_some_and(|last_ms| now.monotonic_ms.saturating_sub(last_ms) > PAUSE_MS) {
            self.copies.on_detached();
            self.unconfirmed_since_ms = Some(now.monotonic_ms);
        }
    }

    pub(super) fn confirm(&mut self, sent_ms: u64) {
        if self.unconfirmed_since_ms.is_some_and(|since_ms| sent_ms >= since_ms) {
            self.unconfirmed_since_ms = None;
        }
    }

    /// Ends a request that was not run. If a successor may hold the seat, it
    /// may have run a repeat, and the outcome is unknown.
    fn refuse(&self, request: RequestId, refusal: Refusal, actions: &mut Vec<OnceAction>) {
        actions.push(match self.unconfirmed_since_ms {
            None => not_run(request, refusal, Some(RETRY_AFTER_MS)),
            Some(_) => OnceAction::Unknown { request, refusal },
        });
    }

    fn on_submitted(
        &mut self,
        now: ClockReading,
        request: RequestId,
        claim: Claim,
        actions: &mut Vec<OnceAction>,
    ) {
        if check_created(claim.created_unix_ms, now).is_err() {
            actions.push(not_run(request, Refusal::KeyUnusable, None));
        } else if !self.is_home_of(&claim) {
            // An earlier attempt may have run at the home.
            actions.push(OnceAction::Unknown { request, refusal: Refusal::HomeUnreachable });
        } else if let Some(entry) = self.ledger.get(&claim.key) {
            actions.push(if entry.body != claim.body {
                not_run(request, Refusal::KeyConflict, None)
            } else {
                repeat_of(entry.state, request)
            });
        } else if claim.created_unix_ms < self.gap_until_unix_ms {
            actions.push(OnceAction::Unknown { request, refusal: Refusal::OutcomeLost });
        } else if let Some(refusal) = self.refusal_of_new() {
            self.refuse(request, refusal, actions);
        } else {
            self.accept(now, request, claim);
        }
    }

    fn is_home_of(&self, claim: &Claim) -> bool {
        let seat = self.seats.map(|seats| home_seat(claim, seats));
        self.is_open() && seat.is_some() && seat == self.tenure.map(|tenure| tenure.index)
    }

    /// Reasons to refuse a key that was never used.
    fn refusal_of_new(&self) -> Option<Refusal> {
        if self.stopping {
            Some(Refusal::Stopping)
        } else if self.queue.len() >= QUEUE_MAX {
            Some(Refusal::ClaimUnavailable)
        } else if self.ledger.is_full() || self.in_progress.len() >= IN_PROGRESS_MAX {
            Some(Refusal::QueueFull)
        } else if self.detached && !self.may_copy() {
            Some(Refusal::ClaimUnavailable)
        } else {
            None
        }
    }

    fn accept(&mut self, now: ClockReading, request: RequestId, claim: Claim) {
        self.ledger.insert_pending(&claim, request, self.queued_total);
        self.in_progress.insert(request, claim.key);
        self.waiters.push_back(Waiter { since_ms: now.monotonic_ms, key: claim.key, request });
        self.queue.push_back(LogEntry::Claim(claim));
        self.queued_total += 1;
        self.queued_claims += 1;
        if self.detached {
            self.uncopied.push(claim);
        }
    }

    /// Runs the request of a claim that has become durable, if it still waits.
    pub(super) fn run_if_pending(&mut self, key: &KeyDigest, actions: &mut Vec<OnceAction>) {
        let Some(KeyState::Pending { request }) = self.ledger.get(key).map(|entry| entry.state)
        else {
            return;
        };
        self.ledger.set_state(key, KeyState::Running { request });
        actions.push(OnceAction::Run { request });
    }

    fn on_run_ended(
        &mut self,
        request: RequestId,
        result: RunResult,
        actions: &mut Vec<OnceAction>,
    ) {
        let Some(key) = self.in_progress.remove(&request) else {
            // The request belongs to a former tenure; its response is of no use.
            actions.push(OnceAction::Forget { first: request });
            return;
        };
        match result {
            RunResult::Answered { size_bytes } => {
                let forgotten = self.ledger.keep(key, request, size_bytes);
                actions.extend(forgotten.into_iter().map(|first| OnceAction::Forget { first }));
            }
            RunResult::NotRun => self.release(&key),
            RunResult::Unknown => self.ledger.set_state(&key, KeyState::Lost),
        }
    }

    /// Releases a claim: in memory at once, in the log with the next batch. A
    /// successor that reads the log before that answers `unknown`.
    fn release(&mut self, key: &KeyDigest) {
        self.ledger.remove(key);
        if matches!(self.phase, Phase::Open) {
            self.queue.push_back(LogEntry::Release(*key));
            self.queued_total += 1;
        }
    }

    /// Ends requests that waited too long. None of them has run, and their
    /// claims are released if they are written later.
    fn time_out_waiters(&mut self, now: ClockReading, actions: &mut Vec<OnceAction>) {
        while let Some(waiter) = self.waiters.front().copied() {
            let pending = self.is_pending(&waiter);
            if pending && now.monotonic_ms < waiter.since_ms + CLAIM_WAIT_MS {
                break;
            }
            self.waiters.pop_front();
            if pending {
                self.give_up(waiter);
                self.refuse(waiter.request, Refusal::ClaimUnavailable, actions);
            }
        }
    }

    fn is_pending(&self, waiter: &Waiter) -> bool {
        let state = self.ledger.get(&waiter.key).map(|entry| entry.state);
        state == Some(KeyState::Pending { request: waiter.request })
    }

    fn give_up(&mut self, waiter: Waiter) {
        self.in_progress.remove(&waiter.request);
        self.release(&waiter.key);
    }

    /// Ends all waiting requests with an unknown outcome, because another
    /// holder may have run a repeat of them.
    pub(super) fn end_waiters(&mut self, actions: &mut Vec<OnceAction>) {
        while let Some(waiter) = self.waiters.pop_front() {
            if self.is_pending(&waiter) {
                self.give_up(waiter);
                let refusal = Refusal::OutcomeLost;
                actions.push(OnceAction::Unknown { request: waiter.request, refusal });
            }
        }
    }

    fn on_seat_changed(
        &mut self,
        now: ClockReading,
        seat: Option<SeatTenure>,
        actions: &mut Vec<OnceAction>,
    ) {
        match seat {
            None => {
                self.suspended = true;
                self.end_waiters(actions);
                self.uncopied.clear();
                self.copying.clear();
            }
            Some(tenure) if self.tenure == Some(tenure) => {
                // The store or a peer has confirmed the term.
                self.suspended = false;
                self.unconfirmed_since_ms = None;
            }
            Some(tenure) => self.open(now, tenure, actions),
        }
    }

    fn on_seats_configured(
        &mut self,
        now: ClockReading,
        seats: u16,
        actions: &mut Vec<OnceAction>,
    ) {
        let before = self.seats.replace(seats);
        if before == Some(seats) {
            return;
        }
        self.configured_unix_ms = now.unix_ms;
        if before.is_some() {
            // Keys move between seats, and their former homes may have run them.
            self.raise_gap(now.unix_ms + CLOCK_TOLERANCE_MS + LAYOUT_SPREAD_MS);
        }
        if matches!(self.phase, Phase::Open) {
            self.start_layout(actions);
        }
    }

    /// Brings the layout record up to the present number of seats.
    pub(super) fn start_layout(&mut self, actions: &mut Vec<OnceAction>) {
        let Some(seats) = self.seats else { return };
        self.calls.retain(|_, purpose| *purpose != Purpose::Layout);
        self.layout_retry_ms = None;
        let key = layout_key(&self.data_centre);
        let mut layout = LayoutSync::new(key, seats, self.configured_unix_ms);
        let request = layout.start();
        self.layout = Some(layout);
        self.call(Purpose::Layout, request, actions);
    }

    pub(super) fn raise_gap(&mut self, until_unix_ms: u64) {
        self.gap_until_unix_ms = self.gap_until_unix_ms.max(until_unix_ms);
    }

    fn on_peers_changed(
        &mut self,
        now: ClockReading,
        peers: Vec<EntryId>,
        actions: &mut Vec<OnceAction>,
    ) {
        self.peers = peers;
        self.on_opening_peers_changed(now, actions);
        self.send_flushed(actions);
    }

    fn on_received(
        &mut self,
        now: ClockReading,
        from: EntryId,
        message: OnceMessage,
        actions: &mut Vec<OnceAction>,
    ) {
        match message {
            OnceMessage::Copy { seat, term, batch, claims } => {
                if self.copies.keep(seat, term, batch, claims) {
                    let message = OnceMessage::Copied { seat, term, batch };
                    actions.push(OnceAction::Send { to: from, message });
                }
            }
            OnceMessage::Copied { seat, term, batch } => {
                self.on_copied(SeatTenure { index: seat, term }, batch, actions);
            }
            OnceMessage::Flushed { seat, term, batch } => {
                self.copies.on_flushed(seat, term, batch, !self.detached);
            }
            OnceMessage::FetchCopies { seat, term } => {
                let (claims, witness) = self.copies.fetch(seat, term);
                let message = OnceMessage::Copies { seat, term, claims, witness };
                actions.push(OnceAction::Send { to: from, message });
            }
            OnceMessage::Copies { seat, term, claims, witness } => {
                let tenure = SeatTenure { index: seat, term };
                self.on_copies(now, from, tenure, claims, witness, actions);
            }
        }
    }
}

fn not_run(request: RequestId, refusal: Refusal, retry_after_ms: Option<u64>) -> OnceAction {
    OnceAction::NotRun { request, refusal, retry_after_ms }
}

/// Answer to a repeat of a key with the same body.
fn repeat_of(state: KeyState, request: RequestId) -> OnceAction {
    let unknown = |refusal| OnceAction::Unknown { request, refusal };
    match state {
        // The first attempt may run, so the repeat must not end as not run.
        KeyState::Pending { .. } | KeyState::Running { .. } => unknown(Refusal::KeyInProgress),
        KeyState::Kept { first } => OnceAction::Replay { request, first },
        KeyState::Forgotten => unknown(Refusal::ResponseForgotten),
        KeyState::Lost => unknown(Refusal::OutcomeLost),
    }
}
