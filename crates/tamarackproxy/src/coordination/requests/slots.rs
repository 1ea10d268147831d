//! Accounting of one target's slots: the seat's own share and loans.

use sha2::{Digest, Sha256};
use slotmap::SlotMap;

use super::{
    LoanId, SeatShare, ServiceLimits,
    keys::{LoanKey, TargetKey},
};
use crate::state::ids::{EntryId, TargetId};

/// Longest timeout of one attempt, in milliseconds.
///
/// A seat is taken over 16 s after the last contact with its holder, and the
/// holder starts nothing on it once it has been isolated for 5 s. An attempt
/// and its grace period must fit in between, with clocks that drift by 10%:
/// 5 s + 1.1 * (9 s + 0.5 s) < 16 s.
pub const ATTEMPT_MAX_MS: u64 = 9_000;
/// Grace period after an attempt's deadline, by the end of which the target has
/// certainly finished it, in milliseconds. It covers the delay of the request on
/// its way to the target and of the target's own cancellation.
pub const ATTEMPT_GRACE_MS: u64 = 500;
/// Duration of a loan, in milliseconds. With the allowance for clock drift it
/// ends before the seat of a dead lender is taken over: 1.1 * 14 s < 16 s.
pub const LOAN_DURATION_MS: u64 = 14_000;
/// Allowance for clock drift that a lender adds to a loan's duration, in percent.
pub const DRIFT_PERCENT: u64 = 10;

/// Returns the number of a target's slots that a seat owns.
///
/// The remainder of an even split goes to the seats that rank first by
/// rendezvous hashing of the target, so that all shares add up to the slots.
/// Every request in flight uses one connection, so a seat owns at most as many
/// slots as its even share of the connections; a lent slot carries its
/// connection with it.
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

/// Terms of a loan as offered in the lender's message.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoanTerms {
    /// Id given by the lender.
    pub loan: LoanId,
    /// Slots that are lent.
    pub slots: u16,
    /// When the borrower requested the loan, on the borrower's clock.
    pub asked_at_ms: u64,
    /// Duration of the loan, counted from `asked_at_ms`, in milliseconds.
    pub duration_ms: u64,
}

/// A loan that this entry host received from a peer.
#[derive(Clone, Debug)]
pub(super) struct ReceivedLoan {
    /// Peer that lent the slots.
    pub lender: EntryId,
    /// Id given by the lender.
    pub id: LoanId,
    /// Target whose slots are lent.
    pub target: TargetKey,
    /// Slots that are lent.
    pub slots: u16,
    /// Slots of the loan that attempts occupy.
    pub used: u16,
    /// When all attempts on the loan must have ended, on the local clock.
    pub ends_at_ms: u64,
    /// Whether the lender has asked for its slots back.
    pub recalled: bool,
}

/// A loan that this entry host granted to a peer.
#[derive(Clone, Debug)]
pub(super) struct GrantedLoan {
    /// Peer that borrowed the slots.
    pub borrower: EntryId,
    /// Target whose slots are lent.
    pub target: TargetKey,
    /// Slots that have not been returned.
    pub slots: u16,
    /// When the borrower requested it, on the borrower's clock.
    pub asked_at_ms: u64,
    /// When the loan has certainly ended, on the local clock.
    pub ends_at_ms: u64,
}

/// Where the slot of an attempt comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotSource {
    /// The seat's own share of the target's slots.
    Base,
    /// A loan from a peer.
    Loan(LoanKey),
}

/// Slot counts of one target.
#[derive(Debug, Default)]
pub(super) struct TargetSlots {
    /// Slots in the seat's own share.
    pub base: u16,
    /// Part of `base` that was gained by a change of the number of seats and
    /// may still be used by its former owner.
    pub held_back: u16,
    /// Attempts on the own share, including unfinished ones of ended requests.
    pub used_base: u16,
    /// Slots of the own share that are lent to peers.
    pub lent: u16,
    /// Loans received from peers.
    pub loans: Vec<LoanKey>,
    /// All attempts, on the own share and on loans.
    pub in_flight: u16,
}

impl TargetSlots {
    /// Returns the slots of the own share that are neither in use nor lent.
    pub fn free_base(&self) -> u16 {
        self.base.saturating_sub(self.held_back + self.used_base + self.lent)
    }

    /// Returns the slots that this entry host may use now, including occupied
    /// ones.
    pub fn available(&self, loans: &SlotMap<LoanKey, ReceivedLoan>) -> u16 {
        let borrowed: u16 =
            self.loans.iter().filter_map(|&key| loans.get(key)).map(|l| l.slots).sum();
        self.base.saturating_sub(self.held_back + self.lent) + borrowed
    }

    /// Chooses a slot for an attempt that ends, including its grace period, by
    /// `ends_at_ms`. Loans come first, so that their lenders are the first to have
    /// free slots again, and among loans the one that ends soonest.
    pub fn choose(
        &self,
        loans: &SlotMap<LoanKey, ReceivedLoan>,
        ends_at_ms: u64,
    ) -> Option<SlotSource> {
        let usable = |loan: &ReceivedLoan| {
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

    /// Occupies the chosen slot.
    pub fn take(&mut self, loans: &mut SlotMap<LoanKey, ReceivedLoan>, source: SlotSource) {
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
    pub fn free(&mut self, loans: &mut SlotMap<LoanKey, ReceivedLoan>, source: SlotSource) {
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

    /// Applies a new own share. With `hold_gained`, slots beyond those usable so
    /// far are held back, since their former owner may still use them.
    pub fn set_base(&mut self, base: u16, hold_gained: bool) {
        let usable = self.base.saturating_sub(self.held_back);
        self.held_back = if hold_gained { base.saturating_sub(usable) } else { 0 };
        self.base = base;
    }
}
