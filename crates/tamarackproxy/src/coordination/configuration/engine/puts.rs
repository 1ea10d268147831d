//! Queue of puts, the active put, and the copy of its revision to the history.

use std::collections::VecDeque;

use bytes::Bytes;
use rand::Rng;

use super::ConfigurationEngine;
use crate::{
    coordination::{
        configuration::{
            ConfigurationAction, OperatorCall, Position, PutError, SectionEdit,
            decide::{PutRequest, history_entry},
            put::{Put, PutContext, PutStep, creation},
        },
        control::Backoff,
    },
    protocol::store::{StoreError, StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        ids::{CallId, OperationId, Revision, TeamId},
        records::HeadRecord,
    },
};

/// Maximum number of queued puts of one entry host.
const PUTS_MAX: usize = 64;
/// Time after its arrival at which a put times out, in milliseconds.
const PUT_TIMEOUT_MS: u64 = 10_000;
/// Upper limit of the first delay after a failed call, in milliseconds.
const BACKOFF_MIN_MS: u64 = 100;
/// Upper limit of the delay after repeated failures, in milliseconds.
const BACKOFF_MAX_MS: u64 = 2_000;
/// Maximum number of attempts to copy an entry to the history; after that, the
/// next writer copies it.
const COPY_ATTEMPTS: u32 = 8;

/// A history entry that is being written.
#[derive(Clone, Debug)]
struct HistoryCopy {
    revision: Revision,
    key: Box<str>,
    value: Bytes,
    attempts: u32,
}

/// Puts of one entry host, executed one after the other.
#[derive(Clone, Debug)]
pub(super) struct Puts {
    waiting: VecDeque<(Put, u64)>,
    active: Option<(Put, u64)>,
    pub(super) call: Option<CallId>,
    retry_ms: Option<u64>,
    backoff: Backoff,
    copy: Option<HistoryCopy>,
    pub(super) copy_call: Option<CallId>,
    copy_retry_ms: Option<u64>,
    copied: Option<Revision>,
}

impl Default for Puts {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            active: None,
            call: None,
            retry_ms: None,
            backoff: Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS),
            copy: None,
            copy_call: None,
            copy_retry_ms: None,
            copied: None,
        }
    }
}

impl Puts {
    pub(super) fn next_tick_ms(&self) -> Option<u64> {
        let deadlines = self.waiting.front().into_iter().chain(&self.active);
        let deadline_ms = deadlines.map(|(_, deadline_ms)| *deadline_ms).min();
        [deadline_ms, self.retry_ms, self.copy_retry_ms].into_iter().flatten().min()
    }
}

impl ConfigurationEngine {
    pub(super) fn accept_put(
        &mut self,
        now: ClockReading,
        call: OperatorCall,
        team: TeamId,
        edits: Vec<SectionEdit>,
        raise_epoch: bool,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let operation = OperationId(self.rng.random());
        let request = PutRequest { team, edits, raise_epoch, operation };
        self.enqueue(now, Put::new(call, request, None), actions);
    }

    pub(super) fn accept_revert(
        &mut self,
        now: ClockReading,
        call: OperatorCall,
        team: TeamId,
        revision: Revision,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let operation = OperationId(self.rng.random());
        let request = PutRequest { team, edits: Vec::new(), raise_epoch: false, operation };
        self.enqueue(now, Put::new(call, request, Some(revision)), actions);
    }

    fn enqueue(&mut self, now: ClockReading, put: Put, actions: &mut Vec<ConfigurationAction>) {
        if self.puts.waiting.len() < PUTS_MAX {
            self.puts.waiting.push_back((put, now.monotonic_ms + PUT_TIMEOUT_MS));
        } else {
            let result = Err(PutError::Busy);
            actions.push(ConfigurationAction::PutEnded { call: put.call, result });
        }
    }

    /// Ends puts that timed out, and starts or restarts the next one.
    pub(super) fn advance_puts(
        &mut self,
        now: ClockReading,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let now_ms = now.monotonic_ms;
        self.end_late_puts(now_ms, actions);
        if self.puts.call.is_none() {
            let due = self.puts.retry_ms.is_none_or(|retry_ms| now_ms >= retry_ms);
            if self.puts.active.is_none() {
                self.puts.active = self.puts.waiting.pop_front();
            }
            if due && let Some((put, _)) = &mut self.puts.active {
                let request = put.restart();
                self.puts.retry_ms = None;
                self.puts.call = Some(self.call_store(request, actions));
            }
        }
        if self.puts.copy_retry_ms.is_some_and(|retry_ms| now_ms >= retry_ms) {
            self.send_copy(actions);
        }
    }

    fn end_late_puts(&mut self, now_ms: u64, actions: &mut Vec<ConfigurationAction>) {
        let late = |(_, deadline_ms): &(Put, u64)| now_ms >= *deadline_ms;
        while let Some((put, _)) = self.puts.waiting.pop_front_if(|entry| late(entry)) {
            let result = Err(put.timed_out());
            actions.push(ConfigurationAction::PutEnded { call: put.call, result });
        }
        if let Some((put, _)) = self.puts.active.take_if(|entry| late(entry)) {
            let result = Err(put.timed_out());
            actions.push(ConfigurationAction::PutEnded { call: put.call, result });
            self.puts.call = None;
            self.puts.retry_ms = None;
        }
    }

    pub(super) fn on_put_reply(
        &mut self,
        now: ClockReading,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        self.puts.call = None;
        let context = PutContext {
            in_force: self.position(),
            unix_ms: now.unix_ms,
            copied: self.puts.copied,
        };
        let Some((put, _)) = &mut self.puts.active else { return };
        match put.on_result(result, context) {
            PutStep::Send(request) => self.puts.call = Some(self.call_store(request, actions)),
            PutStep::Retry => {
                let delay_ms = self.puts.backoff.next_delay_ms(&mut self.rng);
                self.puts.retry_ms = Some(now.monotonic_ms + delay_ms);
            }
            PutStep::Ended { result, head } => self.end_put(now, result, head, actions),
        }
    }

    fn end_put(
        &mut self,
        now: ClockReading,
        result: Result<Position, PutError>,
        head: Option<Box<HeadRecord>>,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let Some((put, _)) = self.puts.active.take() else { return };
        self.puts.backoff.reset();
        if let Some(head) = head {
            self.apply_head(now, &head, actions);
            if put.has_written(&head) {
                self.copy_history(&head, actions);
            }
        }
        actions.push(ConfigurationAction::PutEnded { call: put.call, result });
    }

    /// Writes the history entry of a revision that this entry host wrote. An
    /// earlier entry still being written needs no further attempts, because the
    /// writer of the later revision copied it before its swap.
    fn copy_history(&mut self, head: &HeadRecord, actions: &mut Vec<ConfigurationAction>) {
        let Some((key, value)) = history_entry(head) else { return };
        self.puts.copy = Some(HistoryCopy { revision: head.revision, key, value, attempts: 0 });
        self.send_copy(actions);
    }

    /// Discards the knowledge of which entry exists; a restored store may lack
    /// it.
    pub(super) fn clear_copied(&mut self) {
        self.puts.copied = None;
    }

    fn send_copy(&mut self, actions: &mut Vec<ConfigurationAction>) {
        self.puts.copy_retry_ms = None;
        let Some(copy) = &mut self.puts.copy else { return };
        copy.attempts += 1;
        let request: StoreRequest = creation(copy.key.clone(), copy.value.clone());
        self.puts.copy_call = Some(self.call_store(request, actions));
    }

    pub(super) fn on_history_copied(
        &mut self,
        now_ms: u64,
        result: Result<StoreReply, StoreError>,
    ) {
        self.puts.copy_call = None;
        let Some(copy) = &self.puts.copy else { return };
        if matches!(result, Ok(StoreReply::Swapped(_) | StoreReply::Conflict(Some(_)))) {
            self.puts.copied = Some(copy.revision);
            self.puts.copy = None;
        } else if copy.attempts < COPY_ATTEMPTS {
            let delay_ms = self.puts.backoff.next_delay_ms(&mut self.rng);
            self.puts.copy_retry_ms = Some(now_ms + delay_ms);
        } else {
            self.puts.copy = None;
        }
    }
}
