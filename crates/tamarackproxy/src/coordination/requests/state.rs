//! State kept per service, target, request and attempt.

use hashbrown::HashMap;

use super::{
    RequestMeta, SeatShare, ServiceLimits, ServiceLoad,
    health::{ErrorRate, TargetHealth},
    keys::{AttemptKey, CallerKey, EntryKey, RequestKey, ServiceKey, TargetKey},
    limits::ServiceTime,
    loans::{BorrowRequest, BorrowRound},
    queue::ServiceQueue,
    retry::RetryBudget,
    slots::{ATTEMPT_MAX_MS, SlotSource, TargetSlots},
};
use crate::{
    protocol::caller::Refusal,
    state::ids::{DataCentreId, EntryId, RequestId, ServiceId, TargetId},
};

/// Slot time assumed until the first answer, in milliseconds.
const SLOT_TIME_UNKNOWN_MS: f64 = 20.0;

/// Shortest timeout of an attempt on a loan, in milliseconds.
const LOAN_ATTEMPT_MIN_MS: u64 = 1_000;
/// Shortest timeout of an attempt on a loan, in mean slot times; the longer of
/// the two limits applies.
const LOAN_ATTEMPT_SLOT_TIMES: f64 = 8.0;

/// State of one service.
#[derive(Debug)]
pub(super) struct Service {
    pub id: ServiceId,
    /// Limits from the document; `None` while the document does not list the
    /// service.
    pub limits: Option<ServiceLimits>,
    /// Targets in this data centre.
    pub targets: Vec<TargetKey>,
    pub queue: ServiceQueue,
    pub retries: RetryBudget,
    pub errors: ErrorRate,
    /// Time from dispatch to answer, by class.
    pub class_time: [ServiceTime; 3],
    /// Time from dispatch to answer, over all classes.
    pub service_time: ServiceTime,
    /// Requests in flight at targets of this data centre, excluding forwards.
    pub in_flight: u32,
    /// Cached count of the slots that this entry host may use.
    pub capacity: Capacity,
    /// Reported load of other data centres.
    pub remotes: Vec<Remote>,
    /// Most recent round of asking peers for slots.
    pub last_borrow: Option<BorrowRound>,
    /// Requests for slots by peers that are not fully served.
    pub borrow_requests: Vec<BorrowRequest>,
    /// Due time of the earliest pending `Timer::Borrow`, in monotonic
    /// milliseconds.
    pub borrow_at_ms: Option<u64>,
    /// Loans that were requested before this time are rejected.
    pub accepted_from_ms: u64,
    /// Whether a `Timer::ReportHeldLoans` is set.
    pub held_report_scheduled: bool,
    /// Whether a `Timer::ReviewLoans` is set.
    pub review_scheduled: bool,
}

impl Service {
    pub fn new(id: ServiceId) -> Self {
        Self {
            id,
            limits: None,
            targets: Vec::new(),
            queue: ServiceQueue::default(),
            retries: RetryBudget::new(),
            errors: ErrorRate::default(),
            class_time: [ServiceTime::default(); 3],
            service_time: ServiceTime::default(),
            in_flight: 0,
            capacity: Capacity::default(),
            remotes: Vec::new(),
            last_borrow: None,
            borrow_requests: Vec::new(),
            borrow_at_ms: None,
            accepted_from_ms: 0,
            held_report_scheduled: false,
            review_scheduled: false,
        }
    }

    /// Returns the mean slot time of a class, in milliseconds, or that of all
    /// classes if the class has no answers yet.
    pub fn expected_ms(&self, class: usize) -> Option<f64> {
        self.class_time[class].mean_ms().or(self.service_time.mean_ms())
    }

    /// Returns the slot time that most requests of a class stay below, in
    /// milliseconds; see [`ServiceTime::high_estimate_ms`].
    pub fn high_estimate_ms(&self, class: usize) -> f64 {
        let time = self.class_time[class];
        if time.mean_ms().is_some() {
            time.high_estimate_ms()
        } else {
            self.service_time.high_estimate_ms()
        }
    }

    /// Returns the shortest timeout of an attempt on a loan, in milliseconds. A
    /// request with a sooner deadline gets less.
    pub fn min_attempt_ms(&self) -> u64 {
        let slot_times_ms = LOAN_ATTEMPT_SLOT_TIMES * self.service_time.mean_ms().unwrap_or(0.0);
        LOAN_ATTEMPT_MIN_MS.max(slot_times_ms as u64).min(ATTEMPT_MAX_MS)
    }

    /// Returns the latency that targets are compared with: the service's mean, in
    /// milliseconds, at least 0.1.
    pub fn baseline_ms(&self) -> f64 {
        self.service_time.mean_ms().unwrap_or(1.0).max(0.1)
    }

    /// Returns the expected slot time by class in microseconds, for fair
    /// queueing.
    pub fn costs_us(&self) -> [f64; 3] {
        [0, 1, 2].map(|class| self.expected_ms(class).unwrap_or(SLOT_TIME_UNKNOWN_MS) * 1_000.0)
    }
}

/// Slots that this entry host may use for a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    /// Slots of usable targets, including occupied and excluding lent ones.
    pub slots: u32,
    /// Targets that accept new work.
    pub usable_targets: u32,
    /// When the slots were counted; `None` if the count is out of date.
    pub counted_at_ms: Option<u64>,
}

/// Load of a service in another data centre.
#[derive(Debug)]
pub(super) struct Remote {
    pub data_centre: DataCentreId,
    pub gateway: EntryId,
    pub load: ServiceLoad,
    pub received_at_ms: u64,
    /// Forwards in progress.
    pub outstanding: u32,
    /// Forwards that were in progress when `load` was received, which its
    /// `idle_slots` may already account for.
    pub outstanding_at_receipt: u32,
}

/// A seat's share of a target's slots, cached with its inputs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct BaseShare {
    /// Inputs of the computation, if all are known: slots and connections of the
    /// target, and the seat.
    pub basis: Option<(u16, u16, SeatShare)>,
    /// Slots in the share.
    pub slots: u16,
}

/// State of one target.
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
    /// Whether the fleet state allows it to receive work.
    pub accepts_work: bool,
}

impl Target {
    /// Returns whether the target accepts new work other than probes.
    pub fn takes_work(&self, now_ms: u64) -> bool {
        self.accepts_work && !self.health.is_leaving(now_ms) && !self.health.is_out_of_rotation()
    }
}

/// Stage in the life cycle of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// Waiting in the queue of its service.
    Waiting(EntryKey),
    /// An attempt is in flight.
    Running(AttemptKey),
    /// Another data centre handles it.
    Forwarded(DataCentreId),
}

/// State of one request that has not ended.
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
    /// Set once an attempt may have run: the cause to report with an unknown
    /// outcome if no further attempt is answered.
    pub may_have_run: Option<Refusal>,
    /// Target of the last failed attempt, used again only as a last resort.
    pub avoid: Option<TargetKey>,
    /// Whether the request has been forwarded already; it is forwarded at most
    /// once.
    pub was_forwarded: bool,
}

/// State of one attempt that still occupies its slot.
#[derive(Debug)]
pub(super) struct Attempt {
    pub id: RequestId,
    pub number: u32,
    /// The request, or `None` once the attempt is abandoned.
    pub request: Option<RequestKey>,
    pub target: TargetKey,
    pub source: SlotSource,
    pub started_ms: u64,
    pub class: usize,
    pub caller: CallerKey,
    /// Slot time charged to the caller at dispatch, in microseconds.
    pub charged_us: f64,
}

/// Attempts whose result no longer affects their request but which still occupy
/// a slot, by request and attempt number.
pub(super) type Abandoned = HashMap<(RequestId, u32), AttemptKey>;
