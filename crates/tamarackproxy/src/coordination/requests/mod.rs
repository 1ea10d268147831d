//! Request engine of an entry host: admission, queueing, slot shares and loans,
//! routing, retries and cancellation.

mod admission;
mod attempts;
mod engine;
mod events;
mod health;
mod keys;
mod limits;
mod loans;
mod queue;
mod report;
mod retry;
mod routing;
mod slots;
mod state;
mod targets;
mod timers;

pub use self::{
    engine::RequestEngine,
    events::{
        AttemptResult, CallerLimits, ForwardResult, LoanId, RequestMeta, RequestsAction,
        RequestsEvent, RequestsMessage, SeatShare, ServiceLimits, ServiceLoad, TargetState,
    },
    report::{Explanation, RefusalCounts, RequestCounters},
    slots::{ATTEMPT_GRACE_MS, ATTEMPT_MAX_MS, LOAN_DURATION_MS},
};

#[cfg(test)]
mod tests;
