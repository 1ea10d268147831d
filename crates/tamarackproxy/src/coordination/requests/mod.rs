//! Admission, queues, slot shares, routing, retries and cancellation.

mod events;

pub use self::events::{
    AttemptResult, CallerLimits, ForwardResult, LoanId, RequestMeta, RequestsAction, RequestsEvent,
    RequestsMessage, SeatShare, ServiceLimits, ServiceLoad, TargetState,
};
