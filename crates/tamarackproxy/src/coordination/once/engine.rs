//! [`OnceEngine`]: its state, and handling of submitted requests, retries, ended runs
//! and seat changes.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::{
    batch::{BATCH_ENTRIES_MAX, LogEntry, layout_key},
    claim::home_seat,
    copies::CopiedClaims,
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

/// Maximum writes per second by all entry hosts of the deployment together. The rest
/// of the several hundred writes per second that the store handles is left to other
/// records.
pub const WRITES_PER_SECOND_MAX: u64 = 200;
/// Maximum time that a request waits for its claim to become durable, in
/// milliseconds. It is below the seat lease of 10 s, so unless this process was
/// paused meanwhile, no successor can have run a retry of the request.
pub const CLAIM_WAIT_MS: u64 = 5_000;
/// Maximum number of requests that wait for their claim or run; further ones are
/// refused.
pub const IN_PROGRESS_MAX: usize = 10_000;

/// Maximum number of entries that wait to be written; further claims are refused as
/// not run. A batch holds as many, so the first write after an outage empties the
/// queue.
const QUEUE_MAX: usize = BATCH_ENTRIES_MAX;
/// Minimum interval between the writes of two batches, in milliseconds.
const WRITE_INTERVAL_MIN_MS: u64 = 25;
/// Interval of the engine's periodic work, in milliseconds.
const HOUSEKEEPING_MS: u64 = 1_000;
/// Time between two events above which the process is assumed to have been paused,
/// in milliseconds; twice the interval of the periodic work.
const PAUSE_MS: u64 = 2 * HOUSEKEEPING_MS;
/// Time within which a changed number of seats is in force on all entry hosts of a
/// data centre, in milliseconds: the guaranteed 6 s, with a margin for an entry host
/// that was paused.
pub(super) const LAYOUT_PROPAGATION_MS: u64 = 30_000;
/// `Retry-After` of refusals, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// State of the log of the held seat.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// No seat has been held yet.
    Idle,
    /// The log is being read and opened.
    Opening(Opening),
    /// The log is open for claims.
    Open,
    /// The log was closed or lost to another holder.
    Ended,
}

/// Purpose of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallPurpose {
    Layout,
    List,
    Write,
    ReadBack,
    Delete,
}

/// A request that waits for its claim to become durable.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    since_ms: u64,
    key: KeyDigest,
    request: RequestId,
}

/// State machine for at-most-once execution on one entry host.
///
/// # Limits
///
/// The engine holds up to [`CLAIMS_MAX`](super::CLAIMS_MAX) claims (further keys are refused
/// as not run), [`KEPT_RESPONSES_MAX`](super::KEPT_RESPONSES_MAX) responses
/// of [`KEPT_RESPONSE_BYTES_MAX`](super::KEPT_RESPONSE_BYTES_MAX) bytes in
/// total (the oldest is discarded), [`IN_PROGRESS_MAX`] requests in progress
/// (further ones are refused) and [`COPIES_MAX`](super::COPIES_MAX) copied
/// claims for each other seat (further ones are not acknowledged).
#[derive(Clone, Debug)]
pub struct OnceEngine {
    pub(super) entry: EntryId,
    pub(super) data_centre: DataCentreId,
    pub(super) write_interval_ms: u64,
    pub(super) seats: Option<u16>,
    /// When the current number of seats was received, in milliseconds since the Unix
    /// epoch.
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
    /// Entries that are not in a batch yet, in log order.
    pub(super) queue: VecDeque<LogEntry>,
    /// Number of claims in `queue`.
    pub(super) queued_claims: usize,
    /// Number of entries added to the queue since the log was opened.
    pub(super) queued_total: u64,
    /// Number of entries written to the store since the log was opened.
    pub(super) logged_total: u64,
    /// Number of entries that must be in the store before the log counts as
    /// complete, since some of them ran when only copies were durable.
    pub(super) copied_until: u64,
    /// Keys created before this time and missing in the log may have run, in
    /// milliseconds since the Unix epoch.
    pub(super) gap_until_unix_ms: u64,
    pub(super) write: Option<Write>,
    pub(super) next_sequence: u64,
    pub(super) next_write_ms: u64,
    pub(super) failures: u32,
    /// Number of writes started, from which operation ids are taken.
    pub(super) operations: u64,
    /// Claims to be copied to the peers, in detached mode.
    pub(super) uncopied_claims: Vec<Claim>,
    /// Batches of copies without an acknowledgement, by number.
    pub(super) copies_in_flight: BTreeMap<u64, CopyBatch>,
    pub(super) copy_batch: u64,
    pub(super) next_copy_ms: u64,
    /// Copies held for other seat holders.
    pub(super) copies: CopiedClaims,
    pub(super) layout: Option<LayoutSync>,
    pub(super) layout_retry_ms: Option<u64>,
    /// Expired batch to be deleted, and whether the call is in flight.
    pub(super) deleting: Option<(LoggedBatch, bool)>,
    pub(super) next_delete_ms: u64,
    pub(super) calls: BTreeMap<CallId, CallPurpose>,
    pub(super) last_call: CallId,
    /// State of the xorshift generator for backoff jitter.
    pub(super) jitter_state: u64,
    /// End of the last pause of the process; cleared when a write sent later, or a
    /// confirmation of the term, shows that this entry host still holds the seat.
    unconfirmed_since_ms: Option<u64>,
    last_event_ms: Option<u64>,
    next_housekeeping_ms: u64,
}

impl OnceEngine {
    /// Creates the engine of an entry host. `entry_hosts` is the number of entry hosts
    /// of the whole deployment, which share the store's writes.
    pub fn new(entry: EntryId, data_centre: DataCentreId, entry_hosts: u32) -> Self {
        let share_ms = (u64::from(entry_hosts) * 1_000).div_ceil(WRITES_PER_SECOND_MAX);
        let name_hash = |hash: u64, byte: u8| hash.wrapping_mul(31) ^ u64::from(byte);
        let jitter_state = entry.as_str().bytes().fold(0x9e37_79b9_7f4a_7c15, name_hash) | 1;
        Self {
            entry,
            data_centre,
            write_interval_ms: share_ms.max(WRITE_INTERVAL_MIN_MS),
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
            uncopied_claims: Vec::new(),
            copies_in_flight: BTreeMap::new(),
            copy_batch: 0,
            next_copy_ms: 0,
            copies: CopiedClaims::default(),
            layout: None,
            layout_retry_ms: None,
            deleting: None,
            next_delete_ms: 0,
            calls: BTreeMap::new(),
            last_call: CallId(0),
            jitter_state,
            unconfirmed_since_ms: None,
            last_event_ms: None,
            next_housekeeping_ms: 0,
        }
    }

    /// Applies an event and appends the resulting actions to `actions`.
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

    /// Returns the monotonic time in milliseconds at which the next event is needed at
    /// the latest.
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

    /// Returns whether the log is open and accepts claims.
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

    /// Detects a pause of the process. Meanwhile a peer may have lost the store
    /// unnoticed, and a successor may have taken over the seat.
    fn detect_pause(&mut self, now: ClockReading) {
        let last_ms = self.last_event_ms.replace(now.monotonic_ms);
        if last_ms.is_some_and(|last_ms| now.monotonic_ms.saturating_sub(last_ms) > PAUSE_MS) {
            self.copies.on_detached();
            self.unconfirmed_since_ms = Some(now.monotonic_ms);
        }
    }

    /// Notes that a write sent at `sent_ms` succeeded, so this entry host held the seat
    /// then.
    pub(super) fn confirm_seat(&mut self, sent_ms: u64) {
        if self.unconfirmed_since_ms.is_some_and(|since_ms| sent_ms >= since_ms) {
            self.unconfirmed_since_ms = None;
        }
    }

    /// Ends a request that was not run here. If a successor may hold the seat, it may
    /// have run a retry, so the outcome is unknown.
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
            // An earlier request with this key may have run at its home.
            actions.push(OnceAction::Unknown { request, refusal: Refusal::HomeUnreachable });
        } else if let Some(entry) = self.ledger.get(&claim.key) {
            actions.push(if entry.body != claim.body {
                not_run(request, Refusal::KeyConflict, None)
            } else {
                answer_retry(entry.state, request)
            });
        } else if claim.created_unix_ms < self.gap_until_unix_ms {
            actions.push(OnceAction::Unknown { request, refusal: Refusal::OutcomeLost });
        } else if let Some(refusal) = self.refusal_for_new_key() {
            self.refuse(request, refusal, actions);
        } else {
            self.accept(now, request, claim);
        }
    }

    /// Returns whether this entry host is the home of the claim's key.
    fn is_home_of(&self, claim: &Claim) -> bool {
        let seat = self.seats.map(|seats| home_seat(claim, seats));
        self.is_open() && seat.is_some() && seat == self.tenure.map(|tenure| tenure.index)
    }

    /// Returns the reason to refuse a key that has not been claimed, if any.
    fn refusal_for_new_key(&self) -> Option<Refusal> {
        if self.stopping {
            Some(Refusal::Stopping)
        } else if self.queue.len() >= QUEUE_MAX {
            Some(Refusal::ClaimUnavailable)
        } else if self.ledger.is_full() || self.in_progress.len() >= IN_PROGRESS_MAX {
            Some(Refusal::QueueFull)
        } else if self.detached && !self.can_copy() {
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
            self.uncopied_claims.push(claim);
        }
    }

    /// Starts the request of a claim that has become durable, if it still waits.
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
            // The request was claimed under an earlier term; its response is not
            // needed.
            actions.push(OnceAction::Forget { first: request });
            return;
        };
        match result {
            RunResult::Answered { size_bytes } => {
                let forgotten = self.ledger.keep(key, request, size_bytes);
                actions.extend(forgotten.into_iter().map(|first| OnceAction::Forget { first }));
            }
            RunResult::NotRun => self.release(&key),
            RunResult::Unknown => self.ledger.set_state(&key, KeyState::OutcomeUnknown),
        }
    }

    /// Releases a claim, in memory immediately and in the log with the next batch. A
    /// successor that reads the log before that answers `unknown`.
    fn release(&mut self, key: &KeyDigest) {
        self.ledger.remove(key);
        if matches!(self.phase, Phase::Open) {
            self.queue.push_back(LogEntry::Release(*key));
            self.queued_total += 1;
        }
    }

    /// Ends requests that have waited for `CLAIM_WAIT_MS`. None of them has run; their
    /// claims are released, also in the log in case they are written later.
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

    /// Ends all waiting requests with an unknown outcome, because another holder may
    /// have run retries of them.
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
                self.uncopied_claims.clear();
                self.copies_in_flight.clear();
            }
            Some(tenure) if self.tenure == Some(tenure) => {
                // The store or a peer has confirmed that the term is current.
                self.suspended = false;
                self.unconfirmed_since_ms = None;
            }
            Some(tenure) => self.start_opening(now, tenure, actions),
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
            // Keys move between seats, and their previous homes may have run them.
            self.extend_gap(now.unix_ms + CLOCK_TOLERANCE_MS + LAYOUT_PROPAGATION_MS);
        }
        if matches!(self.phase, Phase::Open) {
            self.start_layout(actions);
        }
    }

    /// Starts updating the layout record to the current number of seats.
    pub(super) fn start_layout(&mut self, actions: &mut Vec<OnceAction>) {
        let Some(seats) = self.seats else { return };
        self.calls.retain(|_, purpose| *purpose != CallPurpose::Layout);
        self.layout_retry_ms = None;
        let key = layout_key(&self.data_centre);
        let mut layout = LayoutSync::new(key, seats, self.configured_unix_ms);
        let request = layout.start();
        self.layout = Some(layout);
        self.call(CallPurpose::Layout, request, actions);
    }

    /// Treats keys created before `until_unix_ms` and missing in the log as possibly
    /// run.
    pub(super) fn extend_gap(&mut self, until_unix_ms: u64) {
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

/// Returns the answer to a retry with the same key and body.
fn answer_retry(state: KeyState, request: RequestId) -> OnceAction {
    let unknown = |refusal| OnceAction::Unknown { request, refusal };
    match state {
        // The first request may still run, so the retry must not end as not run.
        KeyState::Pending { .. } | KeyState::Running { .. } => unknown(Refusal::KeyInProgress),
        KeyState::Kept { first } => OnceAction::Replay { request, first },
        KeyState::Forgotten => unknown(Refusal::ResponseForgotten),
        KeyState::OutcomeUnknown => unknown(Refusal::OutcomeLost),
    }
}
