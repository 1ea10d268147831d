//! What the engine keeps of services, targets, requests and attempts.

use hashbrown::HashMap;

use super::{
    RequestMeta, SeatShare, ServiceLimits, ServiceLoad,
    health::{ErrorShare, TargetHealth},
    keys::{AttemptKey, CallerKey, EntryKey, RequestKey, ServiceKey, TargetKey},
    limits::ServiceTime,
    loans::{Asks, Interest},
    queue::ServiceQueue,
    retry::RetryBudget,
    slots::{ATTEMPT_MAX_MS, SlotSource, TargetSlots},
};
use crate::{
    protocol::caller::Refusal,
    state::ids::{DataCentreId, EntryId, RequestId, ServiceId, TargetId},
};

/// Slot time that is assumed before the first answer, in milliseconds.
const SLOT_TIME_UNKNOWN_MS: f64 = 20.0;

/// Shortest time that an attempt on a loan is given, in milliseconds.
const LOAN_ATTEMPT_MIN_MS: u64 = 1_000;
/// Same, in mean slot times.
const LOAN_ATTEMPT_SLOT_TIMES: f64 = 8.0;

/// One service.
#[derive(Debug)]
pub(super) struct Service {
    pub id: ServiceId,
    /// Limits of the document; none while the document does not name it.
    pub limits: Option<ServiceLimits>,
    /// Targets of this data centre.
    pub targets: Vec<TargetKey>,
    pub queue: ServiceQueue,
    pub retries: RetryBudget,
    pub errors: ErrorShare,
    /// Time from dispatch to answer by class.
    pub class_time: [ServiceTime; 3],
    /// Time from dispatch to answer of all classes.
    pub service_time: ServiceTime,
    /// Requests in flight, forwarded ones not included.
    pub in_flight: u32,
    /// Slots that this entry host may use, counted now and then.
    pub capacity: Capacity,
    /// Load of other data centres.
    pub remotes: Vec<Remote>,
    /// When and for what peers were last asked for slots.
    pub asks: Option<Asks>,
    /// Peers that want slots.
    pub interests: Vec<Interest>,
    /// When peers may be asked again, if a timer is set for it.
    pub borrow_at_ms: Option<u64>,
    /// Loans that were asked for before this are no longer accepted.
    pub accepted_from_ms: u64,
    pub held_timer: bool,
    pub review_timer: bool,
}

impl Service {
    pub fn new(id: ServiceId) -> Self {
        Self {
            id,
            limits: None,
            targets: Vec::new(),
            queue: ServiceQueue::default(),
            retries: RetryBudget::new(),
            errors: ErrorShare::default(),
            class_time: [ServiceTime::default(); 3],
            service_time: ServiceTime::default(),
            in_flight: 0,
            capacity: Capacity::default(),
            remotes: Vec::new(),
            asks: None,
            interests: Vec::new(),
            borrow_at_ms: None,
            accepted_from_ms: 0,
            held_timer: false,
            review_timer: false,
        }
    }

    /// Expected slot time of a class, in milliseconds, if any answer is known.
    pub fn expected_ms(&self, class: usize) -> Option<f64> {
        self.class_time[class].mean_ms().or(self.service_time.mean_ms())
    }

    /// Time that most requests of a class need, in milliseconds.
    pub fn ample_ms(&self, class: usize) -> f64 {
        let time = self.class_time[class];
        if time.mean_ms().is_some() { time.ample_ms() } else { self.service_time.ample_ms() }
    }

    /// Shortest time that an attempt on a loan is given, in milliseconds,
    /// unless the request's deadline is sooner.
    pub fn least_attempt_ms(&self) -> u64 {
        let slot_times_ms = LOAN_ATTEMPT_SLOT_TIMES * self.service_time.mean_ms().unwrap_or(0.0);
        LOAN_ATTEMPT_MIN_MS.max(slot_times_ms as u64).min(ATTEMPT_MAX_MS)
    }

    /// Usual latency of a target, in milliseconds, at least a tenth of one.
    pub fn usual_ms(&self) -> f64 {
        self.service_time.mean_ms().unwrap_or(1.0).max(0.1)
    }

    /// Expected slot time by class in microseconds, for fair queueing.
    pub fn costs_us(&self) -> [f64; 3] {
        [0, 1, 2].map(|class| self.expected_ms(class).unwrap_or(SLOT_TIME_UNKNOWN_MS) * 1_000.0)
    }
}

/// Slots that this entry host may use for a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    /// Slots of usable targets, occupied ones included, lent ones not.
    pub slots: u32,
    /// Targets that take new work.
    pub usable_targets: u32,
    /// When it was counted; none if it must be counted again.
    pub counted_at_ms: Option<u64>,
}

/// Load of a service in another data centre.
#[derive(Debug)]
pub(super) struct Remote {
    pub data_centre: DataCentreId,
    pub gateway: EntryId,
    pub load: ServiceLoad,
    pub received_at_ms: u64,
    /// Forwards under way.
    pub outstanding: u32,
    /// Forwards that were under way when the load was received.
    pub outstanding_then: u32,
}

/// Share of a target's slots with what it was computed from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct BaseShare {
    /// Slots and connections of the target and the seat, if all are known.
    pub basis: Option<(u16, u16, SeatShare)>,
    /// Slots of the share.
    pub slots: u16,
}

/// One target.
#[derive(Debug)]
pub(super) struct Target {
    pub id: TargetId,
    pub service: ServiceKey,
    pub slots: TargetSlots,
    /// The seat's share of the slots.
    pub share: BaseShare,
    pub health: TargetHealth,
    /// Whether the fleet state lists the target in this data centre.
    pub listed: bool,
    /// Whether the fleet state lets it receive work.
    pub accepts_work: bool,
}

impl Target {
    /// Whether it takes new work beyond probes.
    pub fn takes_work(&self, now_ms: u64) -> bool {
        self.accepts_work && !self.health.is_leaving(now_ms) && !self.health.is_out()
    }
}

/// Where a request is in its life.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// It waits in the queue of its service.
    Waiting(EntryKey),
    /// An attempt runs.
    Running(AttemptKey),
    /// Another data centre handles it.
    Forwarded(DataCentreId),
}

/// One request that has not ended.
#[derive(Debug)]
pub(super) struct Request {
    pub id: RequestId,
    pub meta: RequestMeta,
    pub service: ServiceKey,
    pub caller: CallerKey,
    pub class: usize,
    pub stage: Stage,
    pub arrived_ms: u64,
    /// Attempts and forwards so far.
    pub attempts: u32,
    /// Why the outcome is unknown if no further attempt succeeds; none while
    /// no attempt may have started.
    pub may_have_run: Option<Refusal>,
    /// Target of the last failed attempt.
    pub avoid: Option<TargetKey>,
    /// Whether it was forwarded before, which happens at most once.
    pub was_forwarded: bool,
}

/// One attempt whose slot is not free yet.
#[derive(Debug)]
pub(super) struct Attempt {
    pub id: RequestId,
    pub number: u32,
    /// The request, unless the attempt no longer matters to it.
    pub request: Option<RequestKey>,
    pub target: TargetKey,
    pub source: SlotSource,
    pub started_ms: u64,
    pub class: usize,
    pub caller: CallerKey,
    /// Slot time that the caller was charged, in microseconds.
    pub charged_us: f64,
}

/// Attempts that no longer matter, by request and number.
pub(super) type Abandoned = HashMap<(RequestId, u32), AttemptKey>;
