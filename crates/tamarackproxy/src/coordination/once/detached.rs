//! Claims made without the store: copies to the other seat holders.

use super::{
    copies::COPIES_MAX,
    engine::{OnceEngine, Phase},
    events::{Claim, OnceAction, OnceMessage, SeatTenure},
};
use crate::state::clock::ClockReading;

/// Time after which copies without an acknowledgement are sent again, in
/// milliseconds; far above the millisecond between hosts of a data centre.
const COPY_RESEND_MS: u64 = 200;

/// Claims that were sent to the peers and are not acknowledged.
#[derive(Clone, Debug)]
pub(super) struct CopyBatch {
    claims: Vec<Claim>,
    resend_ms: u64,
}

impl OnceEngine {
    /// Tells whether a claim can be made durable by copies.
    pub(super) fn may_copy(&self) -> bool {
        !self.peers.is_empty() && self.queue.len() < COPIES_MAX
    }

    pub(super) fn on_detached_changed(
        &mut self,
        now: ClockReading,
        detached: bool,
        actions: &mut Vec<OnceAction>,
    ) {
        if self.detached == detached {
            return;
        }
        self.detached = detached;
        self.copies.on_detached();
        self.copying.clear();
        self.uncopied.clear();
        if detached {
            // Requests that wait for the store go on with copies.
            self.uncopied = self.pending_claims();
        } else {
            self.failures = 0;
            self.next_write_ms = self.next_write_ms.min(now.monotonic_ms + self.pace_ms);
            self.send_flushed(actions);
        }
    }

    pub(super) fn copy_due_ms(&self) -> Option<u64> {
        let resend_ms = self.copying.values().map(|batch| batch.resend_ms).min();
        let send_ms = (!self.uncopied.is_empty()).then_some(self.next_copy_ms);
        resend_ms.into_iter().chain(send_ms).min()
    }

    pub(super) fn continue_copying(&mut self, now: ClockReading, actions: &mut Vec<OnceAction>) {
        let Some(tenure) = self.tenure else { return };
        if !self.detached || !self.is_open() {
            return;
        }
        for (&batch, copies) in &mut self.copying {
            if now.monotonic_ms >= copies.resend_ms {
                copies.resend_ms = now.monotonic_ms + COPY_RESEND_MS;
                send_copy(&self.peers, tenure, batch, &copies.claims, actions);
            }
        }
        if !self.uncopied.is_empty() && now.monotonic_ms >= self.next_copy_ms {
            self.next_copy_ms = now.monotonic_ms + self.pace_ms;
            self.copy_batch += 1;
            let claims = std::mem::take(&mut self.uncopied);
            send_copy(&self.peers, tenure, self.copy_batch, &claims, actions);
            let resend_ms = now.monotonic_ms + COPY_RESEND_MS;
            self.copying.insert(self.copy_batch, CopyBatch { claims, resend_ms });
        }
    }

    pub(super) fn on_copied(
        &mut self,
        tenure: SeatTenure,
        batch: u64,
        actions: &mut Vec<OnceAction>,
    ) {
        if self.tenure != Some(tenure) || !self.is_open() || !self.detached {
            return;
        }
        let Some(copies) = self.copying.remove(&batch) else { return };
        for claim in &copies.claims {
            self.run_if_pending(&claim.key, actions);
        }
        self.copied_until = self.queued_total;
    }

    /// Tells the peers that they hold no claim that is missing in the store.
    pub(super) fn send_flushed(&self, actions: &mut Vec<OnceAction>) {
        let Some(SeatTenure { index: seat, term }) = self.tenure else { return };
        let complete = self.logged_total >= self.copied_until;
        if !matches!(self.phase, Phase::Open) || self.suspended || self.detached || !complete {
            return;
        }
        for peer in &self.peers {
            let message = OnceMessage::Flushed { seat, term, batch: self.copy_batch };
            actions.push(OnceAction::Send { to: peer.clone(), message });
        }
    }
}

fn send_copy(
    peers: &[crate::state::ids::EntryId],
    SeatTenure { index: seat, term }: SeatTenure,
    batch: u64,
    claims: &[Claim],
    actions: &mut Vec<OnceAction>,
) {
    for peer in peers {
        let message = OnceMessage::Copy { seat, term, batch, claims: claims.to_vec() };
        actions.push(OnceAction::Send { to: peer.clone(), message });
    }
}
