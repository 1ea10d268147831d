//! Slots of one target that this entry host may use.

use sha2::{Digest, Sha256};
use slotmap::SlotMap;

use super::{
    LoanId, SeatShare, ServiceLimits,
    keys::{LoanKey, TargetKey},
};
use crate::state::ids::{EntryId, TargetId};

/// Longest time that one attempt may take, in milliseconds.
///
/// A seat is taken over 16 s after the last contact with its holder, and the
/// holder starts nothing on it once it is isolated for 5 s. An attempt with
/// its grace must end in between on clocks that drift by 10%:
/// 5 s + 1.1 * (9 s + 0.5 s) < 16 s.
pub const ATTEMPT_MAX_MS: u64 = 9_000;
/// Time after an attempt's deadline at which the target has certainly finished
/// it, in milliseconds: covers the delay of the request to the target and of
/// the target's own cancellation.
pub const ATTEMPT_GRACE_MS: u64 = 500;
/// Duration of a loan, in milliseconds. With the drift allowance it ends
/// before a dead lender's seat is taken over: 1.1 * 14 s < 16 s.
pub const LOAN_DURATION_MS: u64 = 14_000;
/// Time that a lender adds to a loan for the drift of clocks, in percent.
pub const DRIFT_PERCENT: u64 = 10;

/// Part of a target's slots that a seat owns.
///
/// The remainder of an even split goes to the seats that rank first by
/// rendezvous hashing of the target, so that all parts add up to the slots.
/// Every request in flight uses one connection, so a seat owns at most as many
/// slots as its even part of the connections; a slot that is lent takes its
/// connection along.
pub(super) fn base_slots(limits: &ServiceLimits, target: &TargetId, share: SeatShare) -> u16 {
    let seats = share.seats.max(1);
    if share.index >= seats {
        return 0;
    }
    let (even, remainder) = (limits.slots / seats, limits.slots % seats);
    let own = (rank_hash(target, share.index), share.index);
    let before = (0..seats).filter(|&seat| (rank_hash(target, seat), seat) < own).count();
    let slots = even + u16::from(before < usize::from(remainder));
    slots.min(limits.connections / seats)
}

fn rank_hash(target: &TargetId, seat: u16) -> [u8; 8] {
    let digest = Sha256::new()
        .chain_update(target.service.as_str())
        .chain_update([0])
        .chain_update(target.host.as_str())
        .chain_update([0])
        .chain_update(seat.to_be_bytes())
        .finalize();
    let mut hash = [0; 8];
    hash.copy_from_slice(&digest[..8]);
    hash
}

/// What a lender offers, as its message tells.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoanTerms {
    /// Id given by the lender.
    pub loan: LoanId,
    /// Slots that are lent.
    pub slots: u16,
    /// When the loan was asked for, on the borrower's clock.
    pub asked_at_ms: u64,
    /// Duration from then on, in milliseconds.
    pub duration_ms: u64,
}

/// A loan that this entry host received.
#[derive(Clone, Debug)]
pub(super) struct LoanIn {
    /// Who lent.
    pub lender: EntryId,
    /// Id given by the lender.
    pub id: LoanId,
    /// Target whose slots are lent.
    pub target: TargetKey,
    /// Slots that are lent.
    pub slots: u16,
    /// Slots of it that attempts hold.
    pub used: u16,
    /// When everything on the loan must have ended, on the own clock.
    pub ends_at_ms: u64,
    /// Whether the lender asked for its slots back.
    pub recalled: bool,
}

/// A loan that this entry host gave.
#[derive(Clone, Debug)]
pub(super) struct LoanOut {
    /// Who borrowed.
    pub borrower: EntryId,
    /// Target whose slots are lent.
    pub target: TargetKey,
    /// Slots that have not been returned.
    pub slots: u16,
    /// When the borrower asked for it, on the borrower's clock.
    pub asked_at_ms: u64,
    /// When the loan has certainly ended, on the own clock.
    pub ends_at_ms: u64,
}

/// What pays for the slot of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotSource {
    /// The seat's own share.
    Base,
    /// A loan.
    Loan(LoanKey),
}

/// Slot counts of one target.
#[derive(Debug, Default)]
pub(super) struct TargetSlots {
    /// Slots of the seat's share.
    pub base: u16,
    /// Part of `base` that was gained by a change of the number of seats and
    /// may still be in use by its former owner.
    pub held_back: u16,
    /// Attempts on the own share, unfinished ones of ended requests included.
    pub used_base: u16,
    /// Own slots that are lent to others.
    pub lent: u16,
    /// Loans received.
    pub loans: Vec<LoanKey>,
    /// Attempts in all, on the own share and on loans.
    pub in_flight: u16,
}

impl TargetSlots {
    /// Own slots that neither an attempt nor a loan uses.
    pub fn free_base(&self) -> u16 {
        self.base.saturating_sub(self.held_back + self.used_base + self.lent)
    }

    /// Slots that this entry host may use now, occupied ones included.
    pub fn available(&self, loans: &SlotMap<LoanKey, LoanIn>) -> u16 {
        let borrowed: u16 =
            self.loans.iter().filter_map(|&key| loans.get(key)).map(|l| l.slots).sum();
        self.base.saturating_sub(self.held_back + self.lent) + borrowed
    }

    /// Chooses the slot for an attempt that ends, with its grace, by
    /// `ends_at_ms`: a loan first, so that its lender is the first to have
    /// free slots again, and among loans the one that ends soonest.
    pub fn choose(&self, loans: &SlotMap<LoanKey, LoanIn>, ends_at_ms: u64) -> Option<SlotSource> {
        let usable = |loan: &LoanIn| {
            !loan.recalled && loan.used < loan.slots && loan.ends_at_ms >= ends_at_ms
        };
        self.loans
            .iter()
            .filter_map(|&key| loans.get(key).map(|loan| (key, loan)))
            .filter(|(_, loan)| usable(loan))
            .min_by_key(|(_, loan)| loan.ends_at_ms)
            .map(|(key, _)| SlotSource::Loan(key))
            .or_else(|| (self.free_base() > 0).then_some(SlotSource::Base))
    }

    /// Takes the chosen slot.
    pub fn take(&mut self, loans: &mut SlotMap<LoanKey, LoanIn>, source: SlotSource) {
        self.in_flight += 1;
        match source {
            SlotSource::Base => self.used_base += 1,
            SlotSource::Loan(key) => {
                if let Some(loan) = loans.get_mut(key) {
                    loan.used += 1;
                }
            }
        }
    }

    /// Frees the slot of a finished attempt.
    pub fn free(&mut self, loans: &mut SlotMap<LoanKey, LoanIn>, source: SlotSource) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match source {
            SlotSource::Base => self.used_base = self.used_base.saturating_sub(1),
            SlotSource::Loan(key) => {
                if let Some(loan) = loans.get_mut(key) {
                    loan.used = loan.used.saturating_sub(1);
                }
            }
        }
    }

    /// Applies a new base share. While a change of the number of seats settles,
    /// gained slots are held back.
    pub fn set_base(&mut self, base: u16, settling: bool) {
        let usable = self.base.saturating_sub(self.held_back);
        self.held_back = if settling { base.saturating_sub(usable) } else { 0 };
        self.base = base;
    }
}
