//! Release of a seat on a graceful stop.

use crate::{
    coordination::control::{decode_tenure, encode},
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        ids::{LeaseId, Term},
        records::TenureRecord,
    },
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    ReadingTerm,
    /// Writing the `released` mark to the term key.
    Marking,
    Revoking,
}

/// State machine that marks the term key as released and then revokes the
/// lease.
///
/// The mark lets a successor take the seat without waiting for
/// `TAKEOVER_SILENCE_MS`. A failed call ends the release: the lease then
/// expires by itself and the successor has to wait.
#[derive(Clone, Debug)]
pub(super) struct Release {
    term_key: Box<str>,
    term: Term,
    lease: LeaseId,
    phase: Phase,
}

impl Release {
    pub(super) fn new(term_key: Box<str>, term: Term, lease: LeaseId) -> Self {
        Self { term_key, term, lease, phase: Phase::ReadingTerm }
    }

    pub(super) fn start(&self) -> StoreRequest {
        StoreRequest::Get { key: self.term_key.clone() }
    }

    /// Handles the result of the last request and returns the next one; `None`
    /// ends the release.
    pub(super) fn on_result(
        &mut self,
        result: Result<StoreReply, StoreError>,
    ) -> Option<StoreRequest> {
        match (self.phase, result) {
            (Phase::ReadingTerm, Ok(StoreReply::Value(Some(value)))) => self.mark(&value),
            (Phase::Marking, Ok(StoreReply::Swapped(_))) => Some(self.revoke()),
            _ => None,
        }
    }

    fn mark(&mut self, value: &KeyValue) -> Option<StoreRequest> {
        let record = decode_tenure(Some(value)).filter(|record| record.term == self.term)?;
        let value_released = encode(&TenureRecord { released: true, ..record })?;
        self.phase = Phase::Marking;
        Some(StoreRequest::CompareAndSwap {
            key: self.term_key.clone(),
            expected: value.version,
            value: value_released,
            lease: None,
        })
    }

    fn revoke(&mut self) -> StoreRequest {
        self.phase = Phase::Revoking;
        StoreRequest::RevokeLease { lease: self.lease }
    }
}
