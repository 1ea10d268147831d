//! What is known of one forwarded request, and which answer follows from it.

use strum::IntoStaticStr;
use tamarackproxy::state::ids::{DataCentreId, EntryId};

use crate::coordination::relay::Member;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Submission of a job.
    Submit,
    /// Cancellation of a job.
    Cancel,
    /// Information, such as a job's state.
    Read,
}

/// What a process's response says about the effect of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response answers the request for good.
    Settled,
    /// The request had no effect through that process and will have none.
    NoEffect,
    /// The request may have taken effect, or may do so later.
    Unknown,
}

/// Result of asking one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The peer handled the request.
    Answered(ResponseKind),
    /// The peer does not reach the store or cannot check keys; it did nothing.
    NoStore,
    /// The peer has too many forwarded requests in flight; it did nothing.
    Overloaded,
    /// The peer cannot read the message; it did nothing.
    Rejected,
    /// There is no connection to the peer; nothing was sent.
    NotConnected,
    /// The message was sent and no answer arrived.
    Lost,
}

/// What follows from the result of asking a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The caller gets the peer's response.
    UseResponse,
    /// The outcome is unknown: the peer's response does not cover an earlier
    /// write that may still take effect.
    Unknown,
    /// Another peer may be asked.
    AskNext,
}

/// How a request that was to be forwarded ended, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ForwardOutcome {
    /// The caller got a peer's response.
    Answered,
    /// A peer answered, but an earlier write may still take effect.
    Unknown,
    /// No peer is known.
    NoPeers,
    /// No known peer has been able to help within the last second.
    PeersAvoided,
    /// Too many requests were in flight.
    AtLimit,
    /// Too little of the caller's time was left.
    TimeOver,
    /// The message is larger than peers accept.
    TooLarge,
    /// The last peer asked does not reach the store.
    NoStore,
    /// The last peer asked is overloaded.
    Overloaded,
    /// The last peer asked cannot read the message.
    Rejected,
    /// There is no connection to the last peer asked.
    NotConnected,
    /// The last peer asked has not answered.
    Lost,
}

impl ForwardOutcome {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

impl From<AttemptResult> for ForwardOutcome {
    fn from(result: AttemptResult) -> Self {
        match result {
            AttemptResult::Answered(_) => Self::Answered,
            AttemptResult::NoStore => Self::NoStore,
            AttemptResult::Overloaded => Self::Overloaded,
            AttemptResult::Rejected => Self::Rejected,
            AttemptResult::NotConnected => Self::NotConnected,
            AttemptResult::Lost => Self::Lost,
        }
    }
}

/// A request that is being forwarded.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    kind: RequestKind,
    /// When the caller stops waiting, in milliseconds on the local clock.
    deadline_ms: u64,
    /// A write of this process or of a peer may have taken effect or may still
    /// do so.
    may_take_effect: bool,
    asked: Vec<(EntryId, DataCentreId)>,
    last_result: Option<AttemptResult>,
}

impl ForwardedRequest {
    pub(super) fn new(kind: RequestKind, may_take_effect: bool, deadline_ms: u64) -> Self {
        Self { kind, deadline_ms, may_take_effect, asked: Vec::new(), last_result: None }
    }

    /// Returns whether a write of this process or of a peer may have taken
    /// effect or may still do so.
    pub fn may_take_effect(&self) -> bool {
        self.may_take_effect
    }

    pub(super) fn left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    pub(super) fn asked(&self) -> usize {
        self.asked.len()
    }

    pub(super) fn has_asked(&self, peer: &EntryId) -> bool {
        self.asked.iter().any(|(entry, _)| entry == peer)
    }

    pub(super) fn has_asked_in(&self, data_centre: &DataCentreId) -> bool {
        self.asked.iter().any(|(_, asked)| asked == data_centre)
    }

    pub(super) fn ask(&mut self, peer: &Member) {
        self.asked.push((peer.entry.clone(), peer.data_centre.clone()));
    }

    /// Returns the result of the last attempt; none before the first one.
    pub(super) fn last_result(&self) -> Option<AttemptResult> {
        self.last_result
    }

    pub(super) fn on_result(&mut self, result: AttemptResult) -> Verdict {
        self.last_result = Some(result);
        match result {
            AttemptResult::Answered(ResponseKind::Settled) => Verdict::UseResponse,
            AttemptResult::Answered(ResponseKind::Unknown) => Verdict::Unknown,
            AttemptResult::Answered(ResponseKind::NoEffect) => match self.kind {
                RequestKind::Submit if self.may_take_effect => Verdict::Unknown,
                RequestKind::Submit => Verdict::UseResponse,
                // The peer could not tell; another one may.
                RequestKind::Cancel | RequestKind::Read => Verdict::AskNext,
            },
            AttemptResult::Lost => {
                self.may_take_effect |= self.kind != RequestKind::Read;
                Verdict::AskNext
            }
            AttemptResult::NoStore
            | AttemptResult::Overloaded
            | AttemptResult::Rejected
            | AttemptResult::NotConnected => Verdict::AskNext,
        }
    }
}
