//! Detached mode: claims are made durable by copies on the other seat holders while
//! the store is unreachable.

use super::{
    copies::COPIES_MAX,
    engine::{OnceEngine, Phase},
    events::{Claim, OnceAction, OnceMessage, SeatTenure},
};
use crate::state::clock::ClockReading;

/// Time after which unacknowledged copies are sent again, in milliseconds; far above
/// the latency of 1 ms between hosts of a data centre.
const COPY_RESEND_MS: u64 = 200;

/// Claims that were sent to the peers and not acknowledged yet.
#[derive(Clone, Debug)]
pub(super) struct CopyBatch {
    claims: Vec<Claim>,
    resend_ms: u64,
}

impl OnceEngine {
    /// Returns whether a claim can be made durable by copies.
    pub(super) fn can_copy(&self) -> bool {
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
        self.copies_in_flight.clear();
        self.uncopied_claims.clear();
        if detached {
            // Claims that wait for the store are copied instead.
            self.uncopied_claims = self.pending_claims();
        } else {
            self.failures = 0;
            self.next_write_ms = self.next_write_ms.min(now.monotonic_ms + self.write_interval_ms);
            self.send_flushed(actions);
        }
    }

    pub(super) fn copy_due_ms(&self) -> Option<u64> {
        let resend_ms = self.copies_in_flight.values().map(|batch| batch.resend_ms).min();
        let send_ms = (!self.uncopied_claims.is_empty()).then_some(self.next_copy_ms);
        resend_ms.into_iter().chain(send_ms).min()
    }

    pub(super) fn continue_copying(&mut self, now: ClockReading, actions: &mut Vec<OnceAction>) {
        let Some(tenure) = self.tenure else { return };
        if !self.detached || !self.is_open() {
            return;
        }
        for (&batch, copies) in &mut self.copies_in_flight {
            if now.monotonic_ms >= copies.resend_ms {
                copies.resend_ms = now.monotonic_ms + COPY_RESEND_MS;
                send_copy(&self.peers, tenure, batch, &copies.claims, actions);
            }
        }
        if !self.uncopied_claims.is_empty() && now.monotonic_ms >= self.next_copy_ms {
            self.next_copy_ms = now.monotonic_ms + self.write_interval_ms;
            self.copy_batch += 1;
            let claims = std::mem::take(&mut self.uncopied_claims);
            send_copy(&self.peers, tenure, self.copy_batch, &claims, actions);
            let resend_ms = now.monotonic_ms + COPY_RESEND_MS;
            self.copies_in_flight.insert(self.copy_batch, CopyBatch { claims, resend_ms });
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
        let Some(copies) = self.copies_in_flight.remove(&batch) else { return };
        for claim in &copies.claims {
            self.run_if_pending(&claim.key, actions);
        }
        self.copied_until = self.queued_total;
    }

    /// Reports to the peers that the store holds all claims of this seat, if so.
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
