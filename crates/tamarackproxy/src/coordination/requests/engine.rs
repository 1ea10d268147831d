//! [`RequestEngine`]: its state, and dispatch of events, messages and timers.

use hashbrown::HashMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use super::{
    CallerLimits, LoanId, RequestsAction, RequestsEvent, RequestsMessage, SeatShare, ServiceLimits,
    keys::{AttemptKey, CallerKey, LoanKey, RequestKey, ServiceKey, TargetKey},
    limits::Caller,
    report::RequestCounters,
    slots::{GrantedLoan, LoanTerms, ReceivedLoan},
    state::{Abandoned, Attempt, Request, Service, Stage, Target},
    timers::{Timer, Timers},
};
use crate::state::{
    clock::ClockReading,
    ids::{CallerId, DataCentreId, EntryId, HostId, RequestId, ServiceId, TargetId},
};

/// How long before its due time a timer is checked for staleness, in milliseconds.
const STALE_TIMER_LOOKAHEAD_MS: u64 = 5;

/// State machine that admits, queues, dispatches, retries and ends the requests
/// of one entry host.
///
/// # Complexity
///
/// With `t` the service's targets in the data centre, `c` the callers with
/// waiting requests and `w` all waiting requests: an admission, a dispatch and
/// the end of an attempt take O(t + log c + log w); a refusal takes O(1); a
/// cancellation takes O(log c), amortised. `TargetsChanged`, `SeatChanged` and
/// `ServicesChanged` are linear in the targets of the data centre (times the
/// seats, if the share changes); messages between peers take O(t) plus the
/// number of their loans; while peers want slots, the end of an attempt also
/// takes O(peers); `Stopping` takes O(w).
///
/// ```
/// use tamarackproxy::{
///     coordination::requests::{RequestEngine, RequestsEvent},
///     state::{clock::ClockReading, ids::{DataCentreId, EntryId}},
/// };
/// let mut engine = RequestEngine::new(EntryId::new("e1"), DataCentreId::new("dc1"), 1);
/// let actions = engine.handle(ClockReading::new(0, 0), RequestsEvent::Tick);
/// assert!(actions.is_empty());
/// ```
#[derive(Debug)]
pub struct RequestEngine {
    pub(super) entry: EntryId,
    pub(super) data_centre: DataCentreId,
    pub(super) rng: ChaCha8Rng,
    pub(super) now_ms: u64,
    pub(super) seat: Option<SeatShare>,
    /// Last known number of seats of the data centre.
    pub(super) seats: Option<u16>,
    /// Monotonic time in milliseconds until which slots gained by a change of
    /// the number of seats are held back.
    pub(super) hold_gained_until_ms: u64,
    pub(super) peers: Vec<EntryId>,
    pub(super) stopping: bool,
    pub(super) services: SlotMap<ServiceKey, Service>,
    pub(super) service_keys: HashMap<ServiceId, ServiceKey>,
    pub(super) callers: SlotMap<CallerKey, Caller>,
    pub(super) caller_keys: HashMap<CallerId, CallerKey>,
    pub(super) targets: SlotMap<TargetKey, Target>,
    pub(super) target_keys: HashMap<TargetId, TargetKey>,
    pub(super) host_targets: HashMap<HostId, Vec<TargetKey>>,
    pub(super) requests: SlotMap<RequestKey, Request>,
    pub(super) request_keys: HashMap<RequestId, RequestKey>,
    /// Highest request id submitted so far.
    pub(super) highest_id: RequestId,
    pub(super) attempts: SlotMap<AttemptKey, Attempt>,
    pub(super) abandoned: Abandoned,
    pub(super) received_loans: SlotMap<LoanKey, ReceivedLoan>,
    pub(super) granted_loans: HashMap<LoanId, GrantedLoan>,
    pub(super) next_loan: LoanId,
    pub(super) timers: Timers,
    pub(super) counters: RequestCounters,
    pub(super) actions: Vec<RequestsAction>,
}

impl RequestEngine {
    /// Creates the engine of one entry host, without a seat.
    pub fn new(entry: EntryId, data_centre: DataCentreId, seed: u64) -> Self {
        Self {
            entry,
            data_centre,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            seat: None,
            seats: None,
            hold_gained_until_ms: 0,
            peers: Vec::new(),
            stopping: false,
            services: SlotMap::with_key(),
            service_keys: HashMap::new(),
            callers: SlotMap::with_key(),
            caller_keys: HashMap::new(),
            targets: SlotMap::with_key(),
            target_keys: HashMap::new(),
            host_targets: HashMap::new(),
            requests: SlotMap::with_key(),
            request_keys: HashMap::new(),
            highest_id: RequestId(0),
            attempts: SlotMap::with_key(),
            abandoned: Abandoned::new(),
            received_loans: SlotMap::with_key(),
            granted_loans: HashMap::new(),
            next_loan: LoanId(0),
            timers: Timers::new(),
            counters: RequestCounters::default(),
            actions: Vec::new(),
        }
    }

    /// Applies an event and returns the actions that the owner must carry out,
    /// in order.
    ///
    /// Every submitted request ends with exactly one of `Answer`, `NotRun` and
    /// `Unknown`; events for requests that have ended are ignored.
    pub fn handle(&mut self, now: ClockReading, event: RequestsEvent) -> Vec<RequestsAction> {
        self.now_ms = self.now_ms.max(now.monotonic_ms);
        self.fire_timers();
        match event {
            RequestsEvent::Submitted { request, meta } => self.submit(request, meta),
            RequestsEvent::AttemptEnded { request, attempt, result } => {
                self.attempt_ended(request, attempt, result);
            }
            RequestsEvent::ForwardEnded { request, result } => self.forward_ended(request, result),
            RequestsEvent::Cancelled { request } => self.cancel(request),
            RequestsEvent::TargetsChanged { targets } => self.targets_changed(targets),
            RequestsEvent::HostLeaving { host } => self.host_leaving(&host, true),
            RequestsEvent::SeatChanged { seat } => self.seat_changed(seat),
            RequestsEvent::SeatsConfigured { seats } => self.seats_configured(seats),
            RequestsEvent::PeersChanged { peers } => {
                self.announce_leaving_hosts(&peers);
                self.peers = peers.into_iter().filter(|peer| *peer != self.entry).collect();
            }
            RequestsEvent::RemoteLoad { data_centre, gateway, loads } => {
                self.remote_load(&data_centre, &gateway, loads);
            }
            RequestsEvent::Received { from, message } => self.received(from, message),
            RequestsEvent::ServicesChanged { services, callers } => {
                self.services_changed(services, &callers);
            }
            RequestsEvent::Stopping => self.stop(),
            RequestsEvent::Tick => {}
        }
        self.drop_stale_timers();
        std::mem::take(&mut self.actions)
    }

    /// Returns the monotonic time in milliseconds at which the next event is
    /// needed at the latest, if any timer is set.
    pub fn next_tick_ms(&self) -> Option<u64> {
        self.timers.next_ms()
    }

    /// Drops timers that are due soon and whose request, attempt or loan has
    /// already ended, so that they do not wake the owner for nothing.
    fn drop_stale_timers(&mut self) {
        let (attempts, requests) = (&self.attempts, &self.requests);
        let (received_loans, granted_loans) = (&self.received_loans, &self.granted_loans);
        self.timers.drop_stale(self.now_ms + STALE_TIMER_LOOKAHEAD_MS, |timer| match timer {
            Timer::AttemptExpired(attempt) => !attempts.contains_key(attempt),
            Timer::Deadline(request) => requests
                .get(request)
                .is_none_or(|request| matches!(request.stage, Stage::Running(_))),
            Timer::ReceivedLoanEnded(loan) => !received_loans.contains_key(loan),
            Timer::GrantedLoanEnded(loan) => !granted_loans.contains_key(&loan),
            _ => false,
        });
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now_ms) {
            match timer {
                Timer::AttemptExpired(attempt) => self.attempt_expired(attempt),
                Timer::Deadline(request) => self.deadline_passed(request),
                Timer::ReceivedLoanEnded(loan) => self.received_loan_ended(loan),
                Timer::GrantedLoanEnded(loan) => self.granted_loan_ended(loan),
                Timer::Borrow(service) => self.borrow_due(service),
                Timer::ReviewLoans(service) => self.review_loans(service),
                Timer::ReportHeldLoans(service) => self.report_held_loans(service),
                Timer::Probe(target) => {
                    if let Some(service) = self.targets.get(target).map(|t| t.service) {
                        self.dispatch_waiting(service);
                    }
                }
                Timer::GainedSlotsUsable => self.gained_slots_usable(),
            }
        }
    }

    fn received(&mut self, from: EntryId, message: RequestsMessage) {
        match message {
            RequestsMessage::Borrow { service, wanted, asked_at_ms } => {
                self.borrow_requested(from, &service, wanted, asked_at_ms);
            }
            RequestsMessage::Lend { loan, target, slots, duration_ms, asked_at_ms } => {
                let terms = LoanTerms { loan, slots, asked_at_ms, duration_ms };
                self.loan_received(from, &target, terms);
            }
            RequestsMessage::Held { service, asked_before_ms, loans } => {
                self.reconcile_held_loans(&from, &service, asked_before_ms, &loans);
            }
            RequestsMessage::Return { loan, kept } => self.loan_returned(&from, loan, kept),
            RequestsMessage::Leaving { host } => self.host_leaving(&host, false),
        }
    }

    fn services_changed(&mut self, services: Vec<ServiceLimits>, callers: &[CallerLimits]) {
        for service in self.services.values_mut() {
            service.limits = None;
        }
        for limits in services {
            let key = self.service_key(&limits.service);
            self.services[key].limits = Some(limits);
        }
        for limits in callers {
            let key = self.caller_key(&limits.caller);
            self.callers[key].apply(limits);
        }
        self.refresh_bases();
    }

    /// Returns the key of a service, adding the service if it is new.
    pub(super) fn service_key(&mut self, id: &ServiceId) -> ServiceKey {
        if let Some(&key) = self.service_keys.get(id) {
            return key;
        }
        let key = self.services.insert(Service::new(id.clone()));
        self.service_keys.insert(id.clone(), key);
        key
    }

    /// Returns the key of a caller, adding the caller if it is new.
    pub(super) fn caller_key(&mut self, id: &CallerId) -> CallerKey {
        if let Some(&key) = self.caller_keys.get(id) {
            return key;
        }
        let key = self.callers.insert(Caller::new());
        self.caller_keys.insert(id.clone(), key);
        key
    }

    pub(super) fn send(&mut self, to: &EntryId, message: RequestsMessage) {
        self.actions.push(RequestsAction::Send { to: to.clone(), message });
    }
}
