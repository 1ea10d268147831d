//! Loans of slots between the seat holders of a data centre.

use rand::Rng;

use super::{
    LoanId, RequestEngine, RequestsMessage,
    keys::{LoanKey, ServiceKey, TargetKey},
    slots::{
        ATTEMPT_GRACE_MS, DRIFT_PERCENT, GrantedLoan, LOAN_DURATION_MS, LoanTerms, ReceivedLoan,
    },
    timers::Timer,
};
use crate::state::ids::{EntryId, ServiceId, TargetId};

/// Minimum interval between two rounds of asking peers, in milliseconds.
const BORROW_INTERVAL_MS: u64 = 8;
/// Interval after which peers are asked again although nothing has changed, in
/// milliseconds.
const BORROW_REPEAT_MS: u64 = 75;
/// How long a lender keeps a peer's request for slots, in milliseconds. A slot
/// that becomes idle in this time is lent at once, without another request.
const BORROW_REQUEST_TTL_MS: u64 = 100;
/// Maximum number of slots requested at once.
const BORROW_MAX: u32 = 256;
/// Interval between two reports of the loans held, in milliseconds. The slots in
/// a lost message stay unused for about this long plus `LEND_DELAY_MAX_MS`.
const HELD_REPORT_INTERVAL_MS: u64 = 200;
/// Age of a request for slots beyond which its loans are rejected once the loans
/// held have been reported, in milliseconds: the time that lenders keep the
/// request plus several rounds of messages.
const LEND_DELAY_MAX_MS: u64 = BORROW_REQUEST_TTL_MS + 20;
/// Interval between two reviews of idle loans, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 10;

/// A round of asking all peers for slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct BorrowRound {
    at_ms: u64,
    wanted: u16,
    received: u16,
}

impl BorrowRound {
    /// Returns when peers are asked again: after `BORROW_INTERVAL_MS` if they
    /// have lent what was wanted or many more requests wait, and otherwise after
    /// `BORROW_REPEAT_MS`, in case a message was lost.
    fn due_ms(&self, waiting: u32) -> u64 {
        let wanted = u32::from(self.wanted);
        let changed = self.received >= self.wanted || waiting >= 2 * wanted && wanted < BORROW_MAX;
        self.at_ms + if changed { BORROW_INTERVAL_MS } else { BORROW_REPEAT_MS }
    }
}

/// A peer's request for slots of a service.
#[derive(Clone, Debug)]
pub(super) struct BorrowRequest {
    peer: EntryId,
    wanted: u16,
    asked_at_ms: u64,
    until_ms: u64,
}

/// Takes `count` slots round-robin from the targets, or all if there are fewer.
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
    /// Asks the peers for slots if requests wait and the next round is due.
    pub(super) fn borrow(&mut self, key: ServiceKey) {
        if self.peers.is_empty() || self.seat.is_none() || self.stopping {
            return;
        }
        let service = &mut self.services[key];
        let waiting = service.queue.len();
        if waiting == 0 {
            return;
        }
        let due_ms = service.last_borrow.map_or(0, |round| round.due_ms(waiting));
        if due_ms > self.now_ms {
            self.schedule_borrow(key, due_ms);
            return;
        }
        let wanted = waiting.min(BORROW_MAX) as u16;
        service.last_borrow = Some(BorrowRound { at_ms: self.now_ms, wanted, received: 0 });
        if !service.held_report_scheduled {
            service.held_report_scheduled = true;
            self.timers.add(self.now_ms + HELD_REPORT_INTERVAL_MS, Timer::ReportHeldLoans(key));
        }
        let service = service.id.clone();
        let message = RequestsMessage::Borrow { service, wanted, asked_at_ms: self.now_ms };
        for peer in self.peers.clone() {
            self.send(&peer, message.clone());
        }
        self.schedule_borrow(key, self.now_ms + BORROW_REPEAT_MS);
    }

    /// Schedules another pass over the queue, which also asks the peers if the next
    /// round is due.
    pub(super) fn schedule_borrow(&mut self, key: ServiceKey, at_ms: u64) {
        let service = &mut self.services[key];
        if service.borrow_at_ms.is_none_or(|other| at_ms < other) {
            service.borrow_at_ms = Some(at_ms);
            self.timers.add(at_ms, Timer::Borrow(key));
        }
    }

    /// Dispatches from the queue when a timer of `schedule_borrow` fires. Timers
    /// superseded by an earlier one are ignored, since each would set another.
    pub(super) fn borrow_due(&mut self, key: ServiceKey) {
        let service = &mut self.services[key];
        if service.borrow_at_ms.is_some_and(|at_ms| at_ms <= self.now_ms) {
            service.borrow_at_ms = None;
            self.dispatch_waiting(key);
        }
    }

    /// Records a peer's request for slots, returns the slots borrowed from it, and
    /// lends what is idle.
    pub(super) fn borrow_requested(
        &mut self,
        to: EntryId,
        service: &ServiceId,
        wanted: u16,
        asked_at_ms: u64,
    ) {
        let Some(&key) = self.service_keys.get(service) else { return };
        self.recall(key, &to);
        let borrow_requests = &mut self.services[key].borrow_requests;
        borrow_requests.retain(|request| request.peer != to);
        let until_ms = self.now_ms + BORROW_REQUEST_TTL_MS;
        borrow_requests.push(BorrowRequest { peer: to, wanted, asked_at_ms, until_ms });
        self.lend_idle(key);
    }

    /// Lends idle slots to the peers that asked for some, unless local requests
    /// wait.
    pub(super) fn lend_idle(&mut self, key: ServiceKey) {
        let state = &mut self.services[key];
        if state.borrow_requests.is_empty() || !state.queue.is_empty() {
            return;
        }
        state
            .borrow_requests
            .retain(|request| request.until_ms > self.now_ms && request.wanted > 0);
        if self.seat.is_none() || self.stopping || state.borrow_requests.is_empty() {
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
        let mut borrow_requests = std::mem::take(&mut self.services[key].borrow_requests);
        let peers = borrow_requests.len();
        for (index, request) in borrow_requests.iter_mut().enumerate() {
            let left: u16 = free.iter().map(|&(_, slots)| slots).sum();
            let part = left.div_ceil((peers - index) as u16).min(request.wanted);
            request.wanted -= part;
            for (target, slots) in take_evenly(&mut free, part) {
                self.grant_loan(&request.peer, target, slots, request.asked_at_ms);
            }
        }
        // Rotate, so that the next idle slot goes to another peer first.
        borrow_requests.rotate_left(1);
        self.services[key].borrow_requests = borrow_requests;
    }

    /// Returns the number of slots of a target that may be lent now.
    fn lendable(&self, key: TargetKey) -> u16 {
        let Some(target) = self.targets.get(key) else { return 0 };
        if target.takes_work(self.now_ms) { target.slots.free_base() } else { 0 }
    }

    fn grant_loan(&mut self, to: &EntryId, key: TargetKey, slots: u16, asked_at_ms: u64) {
        if self.granted_loans.is_empty() && self.next_loan == LoanId(0) {
            // Start at a random id: ids used by an earlier process of the same
            // entry host must not recur.
            self.next_loan = LoanId(self.rng.random_range(1..u64::MAX / 2));
        }
        let loan = self.next_loan;
        self.next_loan = LoanId(loan.0 + 1);
        let target = &mut self.targets[key];
        target.slots.lent += slots;
        let id = target.id.clone();
        let ends_at_ms = self.now_ms + LOAN_DURATION_MS * (100 + DRIFT_PERCENT) / 100;
        let record =
            GrantedLoan { borrower: to.clone(), target: key, slots, asked_at_ms, ends_at_ms };
        self.granted_loans.insert(loan, record);
        self.timers.add(ends_at_ms, Timer::GrantedLoanEnded(loan));
        let duration_ms = LOAN_DURATION_MS;
        self.send(to, RequestsMessage::Lend { loan, target: id, slots, duration_ms, asked_at_ms });
    }

    pub(super) fn loan_received(&mut self, lender: EntryId, target: &TargetId, terms: LoanTerms) {
        let key = self.target_keys.get(target).copied();
        if let Some(service) = key.map(|key| self.targets[key].service)
            && let Some(round) = &mut self.services[service].last_borrow
        {
            round.received = round.received.saturating_add(terms.slots);
        }
        let wanted = key.is_some_and(|key| self.should_accept_loan(key, &lender, terms));
        let (Some(key), true) = (key, wanted) else {
            let message = RequestsMessage::Return { loan: terms.loan, kept: 0 };
            self.send(&lender, message);
            return;
        };
        let ends_at_ms = terms.asked_at_ms.saturating_add(terms.duration_ms);
        let loan = self.received_loans.insert(ReceivedLoan {
            lender,
            id: terms.loan,
            target: key,
            slots: terms.slots,
            used: 0,
            ends_at_ms,
            recalled: false,
        });
        self.timers.add(ends_at_ms, Timer::ReceivedLoanEnded(loan));
        let target = &mut self.targets[key];
        target.slots.loans.push(loan);
        let service = target.service;
        let state = &mut self.services[service];
        state.capacity.counted_at_ms = None;
        self.dispatch_waiting(service);
        self.schedule_review(service);
    }

    /// Returns whether to accept an arriving loan.
    fn should_accept_loan(&self, key: TargetKey, lender: &EntryId, terms: LoanTerms) -> bool {
        let target = &self.targets[key];
        let service = &self.services[target.service];
        let mut loans = target.slots.loans.iter().filter_map(|&loan| self.received_loans.get(loan));
        let duplicate = loans.any(|loan| loan.id == terms.loan && loan.lender == *lender);
        let in_time = (service.accepted_from_ms..=self.now_ms).contains(&terms.asked_at_ms)
            && terms.asked_at_ms.saturating_add(terms.duration_ms) > self.now_ms;
        let usable = target.accepts_work && !target.health.is_leaving(self.now_ms);
        let able = self.seat.is_some() && !self.stopping;
        able && usable && in_time && !duplicate && !service.queue.is_empty()
    }

    /// Reports to every peer which of its loans are held, and repeats this for as
    /// long as loans from the last round may exist.
    pub(super) fn report_held_loans(&mut self, key: ServiceKey) {
        let asked_before_ms = self.now_ms.saturating_sub(LEND_DELAY_MAX_MS);
        let service = &mut self.services[key];
        service.accepted_from_ms = asked_before_ms;
        let last_loan_ends_ms =
            service.last_borrow.map_or(0, |round| round.at_ms + LOAN_DURATION_MS);
        service.held_report_scheduled = self.now_ms < last_loan_ends_ms;
        if service.held_report_scheduled {
            self.timers.add(self.now_ms + HELD_REPORT_INTERVAL_MS, Timer::ReportHeldLoans(key));
        }
        let id = service.id.clone();
        let held: Vec<&ReceivedLoan> = self
            .loans_of(key)
            .into_iter()
            .filter_map(|loan| self.received_loans.get(loan))
            .collect();
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

    /// Reclaims slots that the borrower neither holds nor will accept any more.
    pub(super) fn reconcile_held_loans(
        &mut self,
        borrower: &EntryId,
        service: &ServiceId,
        asked_before_ms: u64,
        held: &[(LoanId, u16)],
    ) {
        let concerned = |loan: &GrantedLoan| {
            loan.borrower == *borrower
                && loan.asked_at_ms < asked_before_ms
                && self.targets.get(loan.target).is_some_and(|t| t.id.service == *service)
        };
        let kept =
            |id: LoanId| held.iter().find(|(other, _)| *other == id).map_or(0, |&(_, slots)| slots);
        let missing: Vec<(LoanId, u16)> = self
            .granted_loans
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
        if !service.review_scheduled {
            service.review_scheduled = true;
            self.timers.add(self.now_ms + REVIEW_INTERVAL_MS, Timer::ReviewLoans(key));
        }
    }

    /// Returns the idle slots of loans of a service that are no longer needed or
    /// usable.
    pub(super) fn review_loans(&mut self, key: ServiceKey) {
        let service = &mut self.services[key];
        service.review_scheduled = false;
        let busy = !service.queue.is_empty() && !self.stopping && self.seat.is_some();
        let mut held = false;
        for loan in self.loans_of(key) {
            let kept = busy && !self.loan_is_unusable(loan);
            if !kept {
                self.return_idle(loan);
            }
            held |= self.received_loans.contains_key(loan);
        }
        if held {
            self.schedule_review(key);
        }
    }

    fn loans_of(&self, key: ServiceKey) -> Vec<LoanKey> {
        let targets = self.services[key].targets.iter();
        targets.flat_map(|&target| self.targets[target].slots.loans.iter().copied()).collect()
    }

    /// Returns whether no new attempt may start on a loan: it was recalled, its
    /// target is leaving, or it ends too soon.
    fn loan_is_unusable(&self, key: LoanKey) -> bool {
        let Some(loan) = self.received_loans.get(key) else { return true };
        let target = &self.targets[loan.target];
        let min_ms = self.services[target.service].min_attempt_ms() + ATTEMPT_GRACE_MS;
        loan.ends_at_ms < self.now_ms + min_ms
            || loan.recalled
            || !target.accepts_work
            || target.health.is_leaving(self.now_ms)
    }

    /// Marks the loans from a lender that needs its slots as recalled: idle slots
    /// are returned now and the others when their attempts end.
    fn recall(&mut self, key: ServiceKey, lender: &EntryId) {
        for loan in self.loans_of(key) {
            if self.received_loans[loan].lender == *lender {
                self.received_loans[loan].recalled = true;
                self.return_idle(loan);
            }
        }
    }

    /// Returns the idle slots of a loan to its lender.
    pub(super) fn return_idle(&mut self, key: LoanKey) {
        let Some(loan) = self.received_loans.get_mut(key) else { return };
        let idle = loan.slots - loan.used;
        loan.slots = loan.used;
        let (lender, id, used) = (loan.lender.clone(), loan.id, loan.used);
        if idle > 0 {
            self.send(&lender, RequestsMessage::Return { loan: id, kept: used });
        }
        if used == 0 {
            self.drop_received_loan(key);
        }
    }

    /// Returns a freed slot of a loan that can no longer be used, or any while
    /// stopping.
    pub(super) fn loan_slot_freed(&mut self, key: LoanKey) {
        if self.stopping || self.loan_is_unusable(key) {
            self.return_idle(key);
        }
    }

    fn drop_received_loan(&mut self, key: LoanKey) {
        let Some(loan) = self.received_loans.remove(key) else { return };
        let target = &mut self.targets[loan.target];
        target.slots.loans.retain(|other| *other != key);
        self.services[target.service].capacity.counted_at_ms = None;
    }

    pub(super) fn received_loan_ended(&mut self, key: LoanKey) {
        // No attempt runs on the loan any more: attempts only start if their
        // deadline and grace period fall within the loan.
        self.drop_received_loan(key);
    }

    pub(super) fn loan_returned(&mut self, from: &EntryId, id: LoanId, kept: u16) {
        let Some(loan) = self.granted_loans.get_mut(&id) else { return };
        if loan.borrower != *from {
            return;
        }
        let returned = loan.slots.saturating_sub(kept);
        loan.slots -= returned;
        let (key, over) = (loan.target, loan.slots == 0);
        if over {
            self.granted_loans.remove(&id);
        }
        self.reclaim_lent_slots(key, returned);
    }

    pub(super) fn granted_loan_ended(&mut self, id: LoanId) {
        if let Some(loan) = self.granted_loans.remove(&id) {
            debug_assert!(loan.ends_at_ms <= self.now_ms);
            self.reclaim_lent_slots(loan.target, loan.slots);
        }
    }

    fn reclaim_lent_slots(&mut self, key: TargetKey, slots: u16) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.slots.lent = target.slots.lent.saturating_sub(slots);
        let service = target.service;
        self.services[service].capacity.counted_at_ms = None;
        self.dispatch_waiting(service);
    }
}
