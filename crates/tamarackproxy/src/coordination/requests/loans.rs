//! Loans of slots between the seats of a data centre.

use rand::Rng;

use super::{
    LoanId, RequestEngine, RequestsMessage,
    keys::{LoanKey, ServiceKey, TargetKey},
    slots::{ATTEMPT_GRACE_MS, DRIFT_PERCENT, LOAN_DURATION_MS, LoanIn, LoanOut, LoanTerms},
    timers::Timer,
};
use crate::state::ids::{EntryId, ServiceId, TargetId};

/// Shortest time between two rounds of asking peers, in milliseconds.
const BORROW_INTERVAL_MS: u64 = 8;
/// Time after which peers are asked again although nothing has changed, in
/// milliseconds.
const BORROW_REPEAT_MS: u64 = 75;
/// Time for which a lender remembers that a peer wants slots, in milliseconds.
/// A slot that becomes idle is lent at once, without being asked for again.
const INTEREST_MS: u64 = 100;
/// Most slots asked for at once.
const BORROW_MAX: u32 = 256;
/// Time between two lists of the loans held, in milliseconds. A message that
/// is lost keeps its slots out of use for about this long and for
/// `LEND_DELAY_MAX_MS`.
const HELD_INTERVAL_MS: u64 = 200;
/// Age of a request for slots beyond which a loan is no longer accepted once
/// the loans held were listed, in milliseconds: the time for which lenders
/// remember the request, and several rounds of messages.
const LEND_DELAY_MAX_MS: u64 = INTEREST_MS + 20;
/// Time between two reviews of idle loans, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 10;

/// The last round of asking peers for slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asks {
    at_ms: u64,
    wanted: u16,
    received: u16,
}

impl Asks {
    /// When peers are asked again: soon if they have lent what was wanted or
    /// many more requests wait, and otherwise to repeat the request.
    fn due_ms(&self, waiting: u32) -> u64 {
        let wanted = u32::from(self.wanted);
        let changed = self.received >= self.wanted || waiting >= 2 * wanted && wanted < BORROW_MAX;
        self.at_ms + if changed { BORROW_INTERVAL_MS } else { BORROW_REPEAT_MS }
    }
}

/// A peer that wants slots of a service.
#[derive(Clone, Debug)]
pub(super) struct Interest {
    peer: EntryId,
    wanted: u16,
    asked_at_ms: u64,
    until_ms: u64,
}

/// Takes slots in turn from each target until there are `count`.
fn take_evenly(free: &mut [(TargetKey, u16)], count: u16) -> Vec<(TargetKey, u16)> {
    let mut taken: Vec<(TargetKey, u16)> = free.iter().map(|&(target, _)| (target, 0)).collect();
    let mut left = count;
    while left > 0 && free.iter().any(|&(_, slots)| slots > 0) {
        for ((_, slots), (_, given)) in free.iter_mut().zip(&mut taken) {
            if left > 0 && *slots > 0 {
                (*slots, *given, left) = (*slots - 1, *given + 1, left - 1);
            }
        }
    }
    taken.retain(|&(_, given)| given > 0);
    taken
}

impl RequestEngine {
    /// Asks the peers for slots, if requests wait and it is time.
    pub(super) fn borrow(&mut self, key: ServiceKey) {
        if self.peers.is_empty() || self.seat.is_none() || self.stopping {
            return;
        }
        let service = &mut self.services[key];
        let waiting = service.queue.len();
        if waiting == 0 {
            return;
        }
        let due_ms = service.asks.map_or(0, |asks| asks.due_ms(waiting));
        if due_ms > self.now_ms {
            self.borrow_later(key, due_ms);
            return;
        }
        let wanted = waiting.min(BORROW_MAX) as u16;
        service.asks = Some(Asks { at_ms: self.now_ms, wanted, received: 0 });
        if !service.held_timer {
            service.held_timer = true;
            self.timers.add(self.now_ms + HELD_INTERVAL_MS, Timer::TellHeld(key));
        }
        let service = service.id.clone();
        let message = RequestsMessage::Borrow { service, wanted, asked_at_ms: self.now_ms };
        for peer in self.peers.clone() {
            self.send(&peer, message.clone());
        }
        self.borrow_later(key, self.now_ms + BORROW_REPEAT_MS);
    }

    /// Serves the queue again at a time, and asks peers then if it is time.
    pub(super) fn borrow_later(&mut self, key: ServiceKey, at_ms: u64) {
        let service = &mut self.services[key];
        if service.borrow_at_ms.is_none_or(|other| at_ms < other) {
            service.borrow_at_ms = Some(at_ms);
            self.timers.add(at_ms, Timer::Borrow(key));
        }
    }

    /// Notes that a peer wants slots, and gives back those that are its own.
    pub(super) fn lend(&mut self, to: EntryId, service: &ServiceId, wanted: u16, asked_at_ms: u64) {
        let Some(&key) = self.service_keys.get(service) else { return };
        self.recall(key, &to);
        let interests = &mut self.services[key].interests;
        interests.retain(|interest| interest.peer != to);
        let until_ms = self.now_ms + INTEREST_MS;
        interests.push(Interest { peer: to, wanted, asked_at_ms, until_ms });
        self.lend_idle(key);
    }

    /// Lends idle slots to the peers that want some, unless own requests wait.
    pub(super) fn lend_idle(&mut self, key: ServiceKey) {
        let state = &mut self.services[key];
        if state.interests.is_empty() || !state.queue.is_empty() {
            return;
        }
        state.interests.retain(|interest| interest.until_ms > self.now_ms && interest.wanted > 0);
        if self.seat.is_none() || self.stopping || state.interests.is_empty() {
            return;
        }
        let targets = &self.services[key].targets;
        let offset = self.rng.random_range(0..targets.len().max(1));
        let mut free: Vec<(TargetKey, u16)> = targets
            .iter()
            .cycle()
            .skip(offset)
            .take(targets.len())
            .map(|&target| (target, self.lendable(target)))
            .filter(|&(_, slots)| slots > 0)
            .collect();
        let mut interests = std::mem::take(&mut self.services[key].interests);
        let peers = interests.len();
        for (index, interest) in interests.iter_mut().enumerate() {
            let left: u16 = free.iter().map(|&(_, slots)| slots).sum();
            let part = left.div_ceil((peers - index) as u16).min(interest.wanted);
            interest.wanted -= part;
            for (target, slots) in take_evenly(&mut free, part) {
                self.give(&interest.peer, target, slots, interest.asked_at_ms);
            }
        }
        // The next slot goes to another peer first.
        interests.rotate_left(1);
        self.services[key].interests = interests;
    }

    /// Slots of a target that may be lent now.
    fn lendable(&self, key: TargetKey) -> u16 {
        let Some(target) = self.targets.get(key) else { return 0 };
        if target.takes_work(self.now_ms) { target.slots.free_base() } else { 0 }
    }

    fn give(&mut self, to: &EntryId, key: TargetKey, slots: u16, asked_at_ms: u64) {
        if self.loans_out.is_empty() && self.next_loan == LoanId(0) {
            // Ids of an earlier process under the same name must not recur.
            self.next_loan = LoanId(self.rng.random_range(1..u64::MAX / 2));
        }
        let loan = self.next_loan;
        self.next_loan = LoanId(loan.0 + 1);
        let target = &mut self.targets[key];
        target.slots.lent += slots;
        let id = target.id.clone();
        let ends_at_ms = self.now_ms + LOAN_DURATION_MS * (100 + DRIFT_PERCENT) / 100;
        let record = LoanOut { borrower: to.clone(), target: key, slots, asked_at_ms, ends_at_ms };
        self.loans_out.insert(loan, record);
        self.timers.add(ends_at_ms, Timer::LoanOutOver(loan));
        let duration_ms = LOAN_DURATION_MS;
        self.send(to, RequestsMessage::Lend { loan, target: id, slots, duration_ms, asked_at_ms });
    }

    pub(super) fn loan_received(&mut self, lender: EntryId, target: &TargetId, terms: LoanTerms) {
        let key = self.target_keys.get(target).copied();
        if let Some(service) = key.map(|key| self.targets[key].service)
            && let Some(asks) = &mut self.services[service].asks
        {
            asks.received = asks.received.saturating_add(terms.slots);
        }
        let wanted = key.is_some_and(|key| self.wants_loan(key, &lender, terms));
        let (Some(key), true) = (key, wanted) else {
            let message = RequestsMessage::Return { loan: terms.loan, kept: 0 };
            self.send(&lender, message);
            return;
        };
        let ends_at_ms = terms.asked_at_ms.saturating_add(terms.duration_ms);
        let loan = self.loans_in.insert(LoanIn {
            lender,
            id: terms.loan,
            target: key,
            slots: terms.slots,
            used: 0,
            ends_at_ms,
            recalled: false,
        });
        self.timers.add(ends_at_ms, Timer::LoanInOver(loan));
        let target = &mut self.targets[key];
        target.slots.loans.push(loan);
        let service = target.service;
        let state = &mut self.services[service];
        state.capacity.counted_at_ms = None;
        self.pump(service);
        self.schedule_review(service);
    }

    /// Whether a loan that arrives is used.
    fn wants_loan(&self, key: TargetKey, lender: &EntryId, terms: LoanTerms) -> bool {
        let target = &self.targets[key];
        let service = &self.services[target.service];
        let mut loans = target.slots.loans.iter().filter_map(|&loan| self.loans_in.get(loan));
        let duplicate = loans.any(|loan| loan.id == terms.loan && loan.lender == *lender);
        let in_time = (service.accepted_from_ms..=self.now_ms).contains(&terms.asked_at_ms)
            && terms.asked_at_ms.saturating_add(terms.duration_ms) > self.now_ms;
        let usable = target.accepts_work && !target.health.is_leaving(self.now_ms);
        let able = self.seat.is_some() && !self.stopping;
        able && usable && in_time && !duplicate && !service.queue.is_empty()
    }

    /// Lists to every peer the loans that are held from it, as long as loans
    /// that were asked for may exist.
    pub(super) fn tell_held(&mut self, key: ServiceKey) {
        let asked_before_ms = self.now_ms.saturating_sub(LEND_DELAY_MAX_MS);
        let service = &mut self.services[key];
        service.accepted_from_ms = asked_before_ms;
        let last_loan_ends_ms = service.asks.map_or(0, |asks| asks.at_ms + LOAN_DURATION_MS);
        service.held_timer = self.now_ms < last_loan_ends_ms;
        if service.held_timer {
            self.timers.add(self.now_ms + HELD_INTERVAL_MS, Timer::TellHeld(key));
        }
        let id = service.id.clone();
        let held: Vec<&LoanIn> =
            self.loans_of(key).into_iter().filter_map(|loan| self.loans_in.get(loan)).collect();
        let messages: Vec<(EntryId, RequestsMessage)> = self
            .peers
            .iter()
            .map(|peer| {
                let loans = held.iter().filter(|loan| loan.lender == *peer);
                let loans = loans.map(|loan| (loan.id, loan.slots)).collect();
                let service = id.clone();
                (peer.clone(), RequestsMessage::Held { service, asked_before_ms, loans })
            })
            .collect();
        for (peer, message) in messages {
            self.send(&peer, message);
        }
    }

    /// Takes back what a borrower does not hold and will not accept.
    pub(super) fn held_by(
        &mut self,
        borrower: &EntryId,
        service: &ServiceId,
        asked_before_ms: u64,
        held: &[(LoanId, u16)],
    ) {
        let concerned = |loan: &LoanOut| {
            loan.borrower == *borrower
                && loan.asked_at_ms < asked_before_ms
                && self.targets.get(loan.target).is_some_and(|t| t.id.service == *service)
        };
        let kept =
            |id: LoanId| held.iter().find(|(other, _)| *other == id).map_or(0, |&(_, slots)| slots);
        let missing: Vec<(LoanId, u16)> = self
            .loans_out
            .iter()
            .filter(|(id, loan)| concerned(loan) && kept(**id) < loan.slots)
            .map(|(&id, _)| (id, kept(id)))
            .collect();
        for (id, kept) in missing {
            self.loan_returned(borrower, id, kept);
        }
    }

    fn schedule_review(&mut self, key: ServiceKey) {
        let service = &mut self.services[key];
        if !service.review_timer {
            service.review_timer = true;
            self.timers.add(self.now_ms + REVIEW_INTERVAL_MS, Timer::ReviewLoans(key));
        }
    }

    /// Returns what is idle of the loans of a service.
    pub(super) fn review_loans(&mut self, key: ServiceKey) {
        let service = &mut self.services[key];
        service.review_timer = false;
        let busy = !service.queue.is_empty() && !self.stopping && self.seat.is_some();
        let mut held = false;
        for loan in self.loans_of(key) {
            let kept = busy && !self.loan_is_useless(loan);
            if !kept {
                self.return_idle(loan);
            }
            held |= self.loans_in.contains_key(loan);
        }
        if held {
            self.schedule_review(key);
        }
    }

    fn loans_of(&self, key: ServiceKey) -> Vec<LoanKey> {
        let targets = self.services[key].targets.iter();
        targets.flat_map(|&target| self.targets[target].slots.loans.iter().copied()).collect()
    }

    /// Whether nothing more starts on a loan: it was recalled, its target
    /// leaves, or it ends too soon.
    fn loan_is_useless(&self, key: LoanKey) -> bool {
        let Some(loan) = self.loans_in.get(key) else { return true };
        let target = &self.targets[loan.target];
        let least_ms = self.services[target.service].least_attempt_ms() + ATTEMPT_GRACE_MS;
        loan.ends_at_ms < self.now_ms + least_ms
            || loan.recalled
            || !target.accepts_work
            || target.health.is_leaving(self.now_ms)
    }

    /// Gives a peer back what it needs itself: idle slots now and the others
    /// when their attempts end.
    fn recall(&mut self, key: ServiceKey, lender: &EntryId) {
        for loan in self.loans_of(key) {
            if self.loans_in[loan].lender == *lender {
                self.loans_in[loan].recalled = true;
                self.return_idle(loan);
            }
        }
    }

    /// Returns the slots of a loan that no attempt holds.
    pub(super) fn return_idle(&mut self, key: LoanKey) {
        let Some(loan) = self.loans_in.get_mut(key) else { return };
        let idle = loan.slots - loan.used;
        loan.slots = loan.used;
        let (lender, id, used) = (loan.lender.clone(), loan.id, loan.used);
        if idle > 0 {
            self.send(&lender, RequestsMessage::Return { loan: id, kept: used });
        }
        if used == 0 {
            self.drop_loan_in(key);
        }
    }

    /// Returns a freed slot of a recalled loan or while stopping.
    pub(super) fn loan_slot_freed(&mut self, key: LoanKey) {
        if self.stopping || self.loan_is_useless(key) {
            self.return_idle(key);
        }
    }

    fn drop_loan_in(&mut self, key: LoanKey) {
        let Some(loan) = self.loans_in.remove(key) else { return };
        let target = &mut self.targets[loan.target];
        target.slots.loans.retain(|other| *other != key);
        self.services[target.service].capacity.counted_at_ms = None;
    }

    pub(super) fn loan_in_over(&mut self, key: LoanKey) {
        // Attempts on the loan end before it, since they are only started if
        // their deadline and grace lie within it.
        self.drop_loan_in(key);
    }

    pub(super) fn loan_returned(&mut self, from: &EntryId, id: LoanId, kept: u16) {
        let Some(loan) = self.loans_out.get_mut(&id) else { return };
        if loan.borrower != *from {
            return;
        }
        let returned = loan.slots.saturating_sub(kept);
        loan.slots -= returned;
        let (key, over) = (loan.target, loan.slots == 0);
        if over {
            self.loans_out.remove(&id);
        }
        self.lent_slots_back(key, returned);
    }

    pub(super) fn loan_out_over(&mut self, id: LoanId) {
        if let Some(loan) = self.loans_out.remove(&id) {
            debug_assert!(loan.ends_at_ms <= self.now_ms);
            self.lent_slots_back(loan.target, loan.slots);
        }
    }

    fn lent_slots_back(&mut self, key: TargetKey, slots: u16) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.slots.lent = target.slots.lent.saturating_sub(slots);
        let service = target.service;
        self.services[service].capacity.counted_at_ms = None;
        self.pump(service);
    }
}
