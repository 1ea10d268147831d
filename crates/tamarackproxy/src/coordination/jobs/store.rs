//! Group commit of job segments to the store.

use std::collections::BTreeMap;

use super::{
    engine::JobEngine,
    events::{JobOutcome, JobRefusal, JobsAction, JobsReport},
    segments::SegmentRecord,
    state::{JobKey, JobPhase},
};
use crate::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        ids::{CallId, OperationId, RequestId},
    },
};

/// Minimum interval between writes that submissions or starts wait for, in
/// milliseconds; submissions within the interval share a write.
const GROUP_COMMIT_MS: u64 = 25;
/// Minimum interval between writes that only remove ended jobs, in
/// milliseconds.
const CLEANUP_MS: u64 = 250;
/// First and longest delay after a failed call, in milliseconds.
const BACKOFF_MS: (u64, u64) = (50, 2_000);
/// Consecutive failed calls after which submissions are refused: about 5 s.
const FAILURES_MAX: u32 = 7;
/// Maximum number of keys per list call.
pub(super) const LIST_PAGE: u32 = 50;

/// Steps that follow the next write of a segment.
#[derive(Clone, Copy, Debug)]
pub(super) enum Pending {
    /// Accepts a submission and queues its job.
    Accept(RequestId, JobKey),
    /// Queues a job whose submission was refused as unavailable while its write
    /// may still take effect.
    Enqueue(JobKey),
    /// Sends the start of a non-repeatable job.
    Start(JobKey),
}

#[derive(Clone, Debug)]
pub(super) enum StoreCall {
    List,
    Write,
    ReadBack,
}

#[derive(Clone, Debug)]
pub(super) struct SegmentWrite {
    number: u64,
    record: SegmentRecord,
    waiting: Vec<Pending>,
    read_back: bool,
    retry_ms: Option<u64>,
}

/// State of the calls to the store; at most one is in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreState {
    pub pending: BTreeMap<u64, Vec<Pending>>,
    pub call: Option<(CallId, StoreCall)>,
    pub last_call: CallId,
    pub last_key: Option<Box<str>>,
    pub list_retry_ms: Option<u64>,
    /// Number of writes left until the previous controller is fenced off.
    pub fencing_writes_left: u8,
    write: Option<SegmentWrite>,
    next_write_ms: u64,
    next_cleanup_ms: u64,
    operations: u64,
    failures: u32,
}

impl StoreState {
    /// Creates the state for a new tenure; replies to earlier calls are
    /// ignored.
    pub fn new(last_call: CallId) -> Self {
        Self { last_call, ..Self::default() }
    }
}

impl JobEngine {
    fn segment_key(&self, number: u64) -> Box<str> {
        format!("jobs/{}/{number:010}", self.pool).into()
    }

    pub(super) fn call_store(
        &mut self,
        call: StoreCall,
        request: StoreRequest,
        actions: &mut Vec<JobsAction>,
    ) {
        self.store.last_call = self.store.last_call.next();
        self.store.call = Some((self.store.last_call, call));
        actions.push(JobsAction::Store { call: self.store.last_call, request });
    }

    pub(super) fn backoff_until(&mut self, now: ClockReading) -> u64 {
        let (first_ms, longest_ms) = BACKOFF_MS;
        let delay_ms = (first_ms << self.store.failures.min(10)).min(longest_ms);
        self.store.failures += 1;
        now.monotonic_ms + delay_ms
    }

    pub(super) fn store_due_ms(&self) -> Option<u64> {
        if self.store.call.is_some() {
            return None;
        }
        if !self.loaded && self.store.fencing_writes_left == 0 {
            return self.store.list_retry_ms;
        }
        if let Some(write) = &self.store.write {
            return write.retry_ms;
        }
        let urgent = !self.segments.urgent.is_empty();
        let cleanup = !self.segments.dirty.is_empty();
        let cleanup_ms = self.store.next_cleanup_ms.max(self.store.next_write_ms);
        if urgent { Some(self.store.next_write_ms) } else { cleanup.then_some(cleanup_ms) }
    }

    pub(super) fn continue_storing(&mut self, now: ClockReading, actions: &mut Vec<JobsAction>) {
        if self.store_due_ms().is_none_or(|due_ms| now.monotonic_ms < due_ms) {
            return;
        }
        if !self.loaded && self.store.fencing_writes_left == 0 {
            self.store.list_retry_ms = None;
            self.list_segments(actions);
        } else if self.store.write.is_some() {
            self.send_segment(actions);
        } else {
            self.write_next_segment(now, actions);
        }
    }

    fn write_next_segment(&mut self, now: ClockReading, actions: &mut Vec<JobsAction>) {
        let next = self.segments.urgent.pop_first();
        let Some(number) = next.or_else(|| self.segments.dirty.pop_first()) else { return };
        self.segments.dirty.remove(&number);
        self.store.next_write_ms = now.monotonic_ms + GROUP_COMMIT_MS;
        self.store.next_cleanup_ms = now.monotonic_ms + CLEANUP_MS;
        self.store.operations += 1;
        let term = self.term.unwrap_or_default();
        let jobs = self.segments.by_number.get(&number).into_iter();
        let jobs = jobs.flat_map(|segment| segment.jobs.values().cloned()).collect();
        let operation = OperationId(self.store.operations);
        self.store.write = Some(SegmentWrite {
            number,
            record: SegmentRecord { term, operation, jobs },
            waiting: self.store.pending.remove(&number).unwrap_or_default(),
            read_back: false,
            retry_ms: None,
        });
        self.send_segment(actions);
    }

    fn send_segment(&mut self, actions: &mut Vec<JobsAction>) {
        let Some(write) = &mut self.store.write else { return };
        write.retry_ms = None;
        let (number, read_back) = (write.number, write.read_back);
        let value = serde_json::to_vec(&write.record).unwrap_or_default().into();
        let empty = write.record.jobs.is_empty() && number != self.segments.open;
        let key = self.segment_key(number);
        let expected =
            self.segments.by_number.get(&number).map(|segment| segment.version).unwrap_or_default();
        if read_back {
            self.call_store(StoreCall::ReadBack, StoreRequest::Get { key }, actions);
        } else if empty {
            let request = StoreRequest::CompareAndDelete { key, expected };
            self.call_store(StoreCall::Write, request, actions);
        } else {
            let request = StoreRequest::CompareAndSwap { key, expected, value, lease: None };
            self.call_store(StoreCall::Write, request, actions);
        }
    }

    pub(super) fn on_store_replied(
        &mut self,
        now: ClockReading,
        call: CallId,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<JobsAction>,
    ) {
        if self.store.call.as_ref().is_none_or(|(expected, _)| *expected != call) {
            return;
        }
        let Some((_, kind)) = self.store.call.take() else { return };
        match (kind, result) {
            (StoreCall::List, result) => self.on_segments_listed(now, result, actions),
            (_, Ok(StoreReply::Swapped(version))) => {
                if let Some(write) = &self.store.write
                    && let Some(segment) = self.segments.by_number.get_mut(&write.number)
                {
                    segment.version = version;
                }
                self.on_segment_written(now, actions);
            }
            (_, Ok(StoreReply::Conflict(present) | StoreReply::Value(present))) => {
                self.on_segment_read(now, present, actions);
            }
            (StoreCall::Write, Err(StoreError::NotSent | StoreError::Throttled)) => {
                self.retry_segment(now, false, actions);
            }
            _ => self.retry_segment(now, true, actions),
        }
    }

    /// Returns whether submissions are refused because the store is
    /// unavailable.
    pub(super) fn store_is_down(&self) -> bool {
        self.store.failures >= FAILURES_MAX
    }

    fn retry_segment(&mut self, now: ClockReading, read_back: bool, actions: &mut Vec<JobsAction>) {
        let retry_ms = self.backoff_until(now);
        if self.store_is_down() {
            self.refuse_waiting(actions);
        }
        if let Some(write) = &mut self.store.write {
            write.read_back = read_back;
            write.retry_ms = Some(retry_ms);
        }
    }

    /// Refuses submissions that wait for the store. Their write may still take
    /// effect; a resubmission under the same name is accepted then.
    fn refuse_waiting(&mut self, actions: &mut Vec<JobsAction>) {
        let written = self.store.write.iter_mut().flat_map(|write| &mut write.waiting);
        for pending in written.chain(self.store.pending.values_mut().flatten()) {
            if let Pending::Accept(request, key) = *pending {
                let refusal = JobRefusal::StoreUnavailable;
                actions.push(JobsAction::Refused { request, refusal });
                *pending = Pending::Enqueue(key);
            }
        }
    }

    /// Determines whether the stored value is this write, the state before it,
    /// or the write of another controller.
    fn on_segment_read(
        &mut self,
        now: ClockReading,
        present: Option<KeyValue>,
        actions: &mut Vec<JobsAction>,
    ) {
        let Some(write) = &mut self.store.write else { return };
        let segment = self.segments.by_number.entry(write.number).or_default();
        let version = present.as_ref().map(|value| value.version).unwrap_or_default();
        let record: Option<SegmentRecord> =
            present.and_then(|value| serde_json::from_slice(&value.value).ok());
        let is_own = record.as_ref().is_some_and(|record| {
            (record.term, record.operation) == (write.record.term, write.record.operation)
        });
        let deleted = record.is_none() && write.record.jobs.is_empty();
        if is_own || deleted {
            segment.version = version;
            self.on_segment_written(now, actions);
        } else if version == segment.version && write.read_back {
            write.read_back = false;
            self.send_segment(actions);
        } else if self.store.fencing_writes_left > 0 {
            // The previous controller wrote in the meantime; read all records
            // again.
            let term = self.term;
            self.lose_control();
            self.term = term;
            self.list_segments(actions);
        } else {
            self.lose_control();
            actions.push(JobsAction::Report { report: JobsReport::Fenced });
        }
    }

    fn on_segment_written(&mut self, now: ClockReading, actions: &mut Vec<JobsAction>) {
        let Some(write) = self.store.write.take() else { return };
        self.store.failures = 0;
        if write.record.jobs.is_empty() && write.number != self.segments.open {
            self.segments.by_number.remove(&write.number);
        }
        if self.store.fencing_writes_left > 0 {
            self.store.fencing_writes_left -= 1;
            self.loaded = self.store.fencing_writes_left == 0;
        }
        for pending in write.waiting {
            match pending {
                Pending::Accept(request, key) => {
                    actions.push(JobsAction::Accepted { request });
                    self.on_durable(key, actions);
                }
                Pending::Enqueue(key) => self.on_durable(key, actions),
                Pending::Start(key) => self.on_marked(now, key, actions),
            }
        }
    }

    fn on_durable(&mut self, key: JobKey, actions: &mut Vec<JobsAction>) {
        let Some(job) = self.jobs.get(key) else { return };
        if job.cancelled {
            self.finish(key, JobOutcome::Cancelled, actions);
        } else if job.phase == JobPhase::Writing {
            self.enqueue(key, false);
        }
    }

    fn on_marked(&mut self, now: ClockReading, key: JobKey, actions: &mut Vec<JobsAction>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if !matches!(job.phase, JobPhase::Starting { .. }) || job.start_tries > 0 {
            return;
        }
        job.marked_started = true;
        if job.cancelled {
            self.release(now, key);
            self.finish(key, JobOutcome::Cancelled, actions);
        } else {
            self.send_start(now, key, actions);
        }
    }
}
