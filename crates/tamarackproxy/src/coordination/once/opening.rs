//! Opening the log of a newly held seat: synchronises the layout record, reads the
//! batches, fetches copied claims from peers, and writes a batch that fences off the
//! previous holder.

use std::collections::BTreeSet;

use super::{
    batch::{BATCH_ENTRIES_MAX, Batch, Layout, LogEntry, layout_key, seat_prefix, sequence_of},
    copies::Witness,
    engine::{CallPurpose, LAYOUT_PROPAGATION_MS, OnceEngine, Phase},
    events::{Claim, OnceAction, OnceMessage, SeatTenure},
    key::CLOCK_TOLERANCE_MS,
    layout::{LayoutStep, LayoutSync},
};
use crate::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        ids::{EntryId, Term},
    },
};

/// Number of batches read with one call.
const LIST_PAGE: u32 = 200;
/// How long peers have to send their copies, in milliseconds; far above the
/// latency of 1 ms between hosts of a data centre.
const COPIES_WAIT_MS: u64 = 1_000;
/// Time after which a peer that has not replied is asked again, in milliseconds. A
/// lost message would otherwise leave the outcomes of all keys unknown for minutes.
const COPIES_RETRY_MS: u64 = 200;

/// Steps of opening a log, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Waiting until the number of seats is known.
    WaitForSeats,
    /// Synchronising the layout record.
    Layout,
    /// Reading the batches of the log.
    List,
    /// Fetching copies from peers until `until_ms`; peers that have not replied are
    /// asked again at `ask_ms`.
    Copies { until_ms: u64, ask_ms: u64 },
    /// Writing the opening batch.
    Create,
}

/// Progress of opening a log.
#[derive(Clone, Debug)]
pub(super) struct Opening {
    step: Step,
    /// When the call of the current step is retried after a failure.
    retry_ms: Option<u64>,
    layout: Option<LayoutSync>,
    /// Number of seats in the layout record.
    layout_seats: u16,
    last_key: Option<Box<str>>,
    last_sequence: Option<u64>,
    last_term: Option<Term>,
    /// Whether the last batch closed the log.
    closed: bool,
    /// Whether batches are missing or cannot be decoded.
    damaged: bool,
    /// Peers that have not sent their copies yet.
    pending_peers: BTreeSet<EntryId>,
    /// Number of peers with evidence about the last term.
    witnesses: u16,
    /// Whether some evidence about the last term has `attached` set.
    attached_witness: bool,
    copies: Vec<Claim>,
}

impl Opening {
    fn new() -> Self {
        Self {
            step: Step::WaitForSeats,
            retry_ms: None,
            layout: None,
            layout_seats: 0,
            last_key: None,
            last_sequence: None,
            last_term: None,
            closed: false,
            damaged: false,
            pending_peers: BTreeSet::new(),
            witnesses: 0,
            attached_witness: false,
            copies: Vec::new(),
        }
    }

    fn count_witness(&mut self, witness: Option<Witness>, is_peer: bool) {
        let Some(witness) = witness.filter(|witness| Some(witness.term) == self.last_term) else {
            return;
        };
        self.attached_witness |= witness.attached;
        self.witnesses += u16::from(is_peer);
    }

    /// Returns whether the previous holder may have run requests that are neither in
    /// the log nor in the copies received.
    fn may_miss_claims(&self, seats: u16) -> bool {
        // Copies are acknowledged by holders of other seats only, so no claim is
        // missing if all of them have replied and were present all the time.
        let all_witnessed = self.witnesses >= seats.saturating_sub(1);
        let covered = self.closed || self.attached_witness || all_witnessed;
        self.damaged || (self.last_term.is_some() && !covered)
    }
}

impl OnceEngine {
    /// Starts opening the log of a newly held seat, and drops the state of the
    /// previous one.
    pub(super) fn start_opening(
        &mut self,
        now: ClockReading,
        tenure: SeatTenure,
        actions: &mut Vec<OnceAction>,
    ) {
        self.end_waiters(actions);
        let kept = std::mem::take(&mut self.ledger).into_kept();
        actions.extend(kept.into_iter().map(|first| OnceAction::Forget { first }));
        self.reset_log();
        self.in_progress.clear();
        self.gap_until_unix_ms = 0;
        (self.queued_total, self.logged_total, self.copied_until) = (0, 0, 0);
        (self.copy_batch, self.next_sequence, self.failures) = (0, 1, 0);
        self.tenure = Some(tenure);
        self.suspended = false;
        self.phase = Phase::Opening(Opening::new());
        self.continue_opening(now, actions);
    }

    pub(super) fn opening_due_ms(&self) -> Option<u64> {
        match &self.phase {
            Phase::Opening(opening) => match opening.step {
                Step::Copies { until_ms, ask_ms } => Some(until_ms.min(ask_ms)),
                _ => opening.retry_ms,
            },
            _ => None,
        }
    }

    /// Continues with what is due: the first call, a retry, or the opening batch once
    /// all copies have arrived or the wait for them has timed out.
    pub(super) fn continue_opening(&mut self, now: ClockReading, actions: &mut Vec<OnceAction>) {
        let Phase::Opening(opening) = &mut self.phase else { return };
        match opening.step {
            Step::WaitForSeats => {
                let Some(seats) = self.seats else { return };
                opening.step = Step::Layout;
                opening.layout_seats = seats;
                let key = layout_key(&self.data_centre);
                opening.layout = Some(LayoutSync::new(key, seats, self.configured_unix_ms));
                self.send_opening_call(actions);
            }
            Step::Copies { until_ms, .. }
                if opening.pending_peers.is_empty() || now.monotonic_ms >= until_ms =>
            {
                self.write_opening_batch(now, actions);
            }
            Step::Copies { until_ms, ask_ms } => {
                if now.monotonic_ms >= ask_ms {
                    let ask_ms = now.monotonic_ms + COPIES_RETRY_MS;
                    opening.step = Step::Copies { until_ms, ask_ms };
                    self.ask_for_copies(actions);
                }
            }
            Step::Layout | Step::List => {
                if opening.retry_ms.is_some_and(|retry_ms| now.monotonic_ms >= retry_ms) {
                    opening.retry_ms = None;
                    self.send_opening_call(actions);
                }
            }
            Step::Create => {}
        }
    }

    fn send_opening_call(&mut self, actions: &mut Vec<OnceAction>) {
        let (Phase::Opening(opening), Some(tenure)) = (&mut self.phase, self.tenure) else {
            return;
        };
        match (opening.step, &mut opening.layout) {
            (Step::Layout, Some(layout)) => {
                let request = layout.start();
                self.call(CallPurpose::Layout, request, actions);
            }
            (Step::List, _) => {
                let request = StoreRequest::List {
                    prefix: seat_prefix(&self.data_centre, tenure.index),
                    after: opening.last_key.clone(),
                    limit: LIST_PAGE,
                };
                self.call(CallPurpose::List, request, actions);
            }
            _ => {}
        }
    }

    fn retry_opening(&mut self, now: ClockReading) {
        let retry_ms = self.backoff_until(now);
        if let Phase::Opening(opening) = &mut self.phase {
            opening.retry_ms = Some(retry_ms);
        }
    }

    pub(super) fn on_layout_replied(
        &mut self,
        now: ClockReading,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<OnceAction>,
    ) {
        let sync = match &mut self.phase {
            Phase::Opening(opening) => opening.layout.as_mut(),
            _ => self.layout.as_mut(),
        };
        let Some(sync) = sync else { return };
        match sync.on_result(result) {
            LayoutStep::Send(request) => self.call(CallPurpose::Layout, request, actions),
            LayoutStep::Done(layout) => self.on_layout_known(layout, actions),
            LayoutStep::Retry if matches!(self.phase, Phase::Opening(_)) => self.retry_opening(now),
            LayoutStep::Retry => self.layout_retry_ms = Some(self.backoff_until(now)),
        }
    }

    fn on_layout_known(&mut self, layout: Layout, actions: &mut Vec<OnceAction>) {
        self.failures = 0;
        if layout.changed_unix_ms > 0 {
            self.extend_gap(layout.changed_unix_ms + CLOCK_TOLERANCE_MS + LAYOUT_PROPAGATION_MS);
        }
        match &mut self.phase {
            Phase::Opening(opening) => {
                opening.step = Step::List;
                opening.layout = None;
                self.send_opening_call(actions);
            }
            _ => self.layout = None,
        }
    }

    pub(super) fn continue_layout(&mut self, now: ClockReading, actions: &mut Vec<OnceAction>) {
        let Some(layout) = &mut self.layout else { return };
        if self.layout_retry_ms.is_some_and(|retry_ms| now.monotonic_ms >= retry_ms) {
            self.layout_retry_ms = None;
            let request = layout.start();
            self.call(CallPurpose::Layout, request, actions);
        }
    }

    pub(super) fn on_listed(
        &mut self,
        now: ClockReading,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<OnceAction>,
    ) {
        let Ok(StoreReply::Values { items, more }) = result else {
            return self.retry_opening(now);
        };
        self.failures = 0;
        for item in &items {
            let Some(sequence) = sequence_of(&item.key) else { continue };
            if !self.read_batch(sequence, item, Batch::decode(&item.value)) {
                return self.on_log_lost(actions);
            }
        }
        if let (Phase::Opening(opening), Some(last)) = (&mut self.phase, items.last()) {
            opening.last_key = Some(last.key.clone());
        }
        if more && !items.is_empty() {
            self.send_opening_call(actions);
        } else {
            self.fetch_copies(now, actions);
        }
    }

    /// Applies one batch; returns `false` if a holder with a newer term wrote it.
    fn read_batch(&mut self, sequence: u64, item: &KeyValue, batch: Option<Batch>) -> bool {
        let (Phase::Opening(opening), Some(tenure)) = (&mut self.phase, self.tenure) else {
            return false;
        };
        // A missing sequence number means that the store was restored from an older
        // state.
        opening.damaged |= opening.last_sequence.is_some_and(|last| last + 1 != sequence);
        opening.last_sequence = Some(sequence);
        self.next_sequence = sequence + 1;
        let Some(batch) = batch else {
            opening.damaged = true;
            return true;
        };
        if batch.term > tenure.term {
            return false;
        }
        opening.last_term = opening.last_term.max(Some(batch.term));
        opening.closed = batch.closed;
        self.extend_gap(batch.gap_until_unix_ms);
        self.ledger.apply_batch(sequence, item.version, &batch);
        true
    }

    fn fetch_copies(&mut self, now: ClockReading, actions: &mut Vec<OnceAction>) {
        let (Phase::Opening(opening), Some(tenure)) = (&mut self.phase, self.tenure) else {
            return;
        };
        let SeatTenure { index: seat, term } = tenure;
        let (claims, witness) = self.copies.fetch(seat, term);
        opening.copies = claims;
        opening.count_witness(witness, false);
        opening.pending_peers = self.peers.iter().cloned().collect();
        let until_ms = now.monotonic_ms + COPIES_WAIT_MS;
        opening.step = Step::Copies { until_ms, ask_ms: now.monotonic_ms };
        self.continue_opening(now, actions);
    }

    fn ask_for_copies(&self, actions: &mut Vec<OnceAction>) {
        let (Phase::Opening(opening), Some(tenure)) = (&self.phase, self.tenure) else { return };
        let SeatTenure { index: seat, term } = tenure;
        for peer in &opening.pending_peers {
            let message = OnceMessage::FetchCopies { seat, term };
            actions.push(OnceAction::Send { to: peer.clone(), message });
        }
    }

    pub(super) fn on_copies(
        &mut self,
        now: ClockReading,
        from: EntryId,
        tenure: SeatTenure,
        claims: Vec<Claim>,
        witness: Option<Witness>,
        actions: &mut Vec<OnceAction>,
    ) {
        if self.tenure != Some(tenure) {
            return;
        }
        let Phase::Opening(opening) = &mut self.phase else { return };
        if opening.pending_peers.remove(&from) {
            opening.copies.extend(claims);
            opening.count_witness(witness, true);
            self.continue_opening(now, actions);
        }
    }

    /// Stops waiting for copies from peers that are gone.
    pub(super) fn on_opening_peers_changed(
        &mut self,
        now: ClockReading,
        actions: &mut Vec<OnceAction>,
    ) {
        let Phase::Opening(opening) = &mut self.phase else { return };
        if matches!(opening.step, Step::Copies { .. }) {
            let peers = &self.peers;
            opening.pending_peers.retain(|peer| peers.contains(peer));
            self.continue_opening(now, actions);
        }
    }

    fn write_opening_batch(&mut self, now: ClockReading, actions: &mut Vec<OnceAction>) {
        let Phase::Opening(opening) = &mut self.phase else { return };
        opening.step = Step::Create;
        let mut copies = std::mem::take(&mut opening.copies);
        copies.retain(|claim| self.ledger.get(&claim.key).is_none());
        copies.sort_by_key(|claim| claim.key);
        copies.dedup_by_key(|claim| claim.key);
        let overflows = copies.len() > BATCH_ENTRIES_MAX;
        copies.truncate(BATCH_ENTRIES_MAX);
        if overflows || opening.may_miss_claims(self.seats.unwrap_or(u16::MAX)) {
            self.extend_gap(now.unix_ms + CLOCK_TOLERANCE_MS + LAYOUT_PROPAGATION_MS);
        }
        let mut batch = self.new_batch(now);
        batch.entries = copies.into_iter().map(LogEntry::Claim).collect();
        self.start_write(now, batch, true, actions);
    }

    /// Handles a conflict of the opening batch: the previous holder has written
    /// another batch, which is applied before the next sequence number is tried.
    pub(super) fn on_opening_conflict(
        &mut self,
        now: ClockReading,
        present: &KeyValue,
        found: Option<Batch>,
        actions: &mut Vec<OnceAction>,
    ) {
        let Some(write) = self.write.take() else { return };
        if !self.read_batch(write.sequence, present, found) {
            return self.on_log_lost(actions);
        }
        let mut batch = write.batch;
        batch.gap_until_unix_ms = batch.gap_until_unix_ms.max(self.gap_until_unix_ms);
        self.start_write(now, batch, true, actions);
    }

    pub(super) fn on_opened(&mut self, actions: &mut Vec<OnceAction>) {
        let Phase::Opening(opening) = std::mem::replace(&mut self.phase, Phase::Open) else {
            return;
        };
        actions.push(OnceAction::LogOpen { open: true });
        self.send_flushed(actions);
        if self.seats != Some(opening.layout_seats) {
            self.start_layout(actions);
        }
    }
}
