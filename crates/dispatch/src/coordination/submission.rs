//! Durable acceptance of jobs: batches submissions into writes to the store.
//!
//! Load pattern: submissions come in bursts of tens within milliseconds, while
//! the store limits the rate of calls. A submission is written at once if no
//! more than one write is in flight; those that arrive while two are in flight
//! share the next one.

use std::collections::VecDeque;

use bytes::Bytes;
use hashbrown::HashMap;
use tamarackproxy::state::{clock::ClockReading, ids::RequestId};

/// Most writes in flight at once: while one waits for its reply, another can be
/// sent.
const IN_FLIGHT_MAX: usize = 2;
/// Most jobs of one write: each takes two of the 32 entries that the platform
/// accepts, a condition and a value.
const JOBS_PER_WRITE: usize = 14;
/// Most attempts of one submission: the second covers a stale connection or a
/// lost reply; further ones are left to the caller, who may reach another entry
/// host.
const ATTEMPTS_MAX: u32 = 2;
/// Retry delay that callers are told after a refusal, in milliseconds: the
/// store's rate limit counts calls per second.
const RETRY_AFTER_MS: u64 = 1_000;

/// Answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionAnswer {
    /// The job is stored.
    Accepted,
    /// The job is not stored, and this submission will not store it later.
    NotAccepted {
        /// Delay before another attempt can succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// It is unknown whether the job is stored; a retry with the same key
    /// tells.
    Unknown,
}

/// A write of new jobs, conditional on the absence of all of their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionWrite {
    /// Number that identifies the write in its result.
    pub number: u64,
    /// Keys and records.
    pub jobs: Vec<(Box<str>, Bytes)>,
}

/// Result of a write of new jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionResult {
    /// All jobs are stored.
    Written,
    /// Nothing was written because these keys already exist.
    Exist(Vec<Box<str>>),
    /// Nothing was sent, or the store refused the call.
    NotWritten,
    /// No reply; the write may have taken effect.
    Unknown,
}

/// Action that the owner must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionAction {
    /// Send the write and pass its result back.
    Write(SubmissionWrite),
    /// Answer a request.
    Answer(RequestId, SubmissionAnswer),
}

#[derive(Debug)]
struct Pending {
    record: Bytes,
    requests: Vec<RequestId>,
    deadline_ms: u64,
    attempts: u32,
    /// An earlier attempt may have taken effect or may still do so.
    may_be_written: bool,
    is_queued: bool,
}

/// Submissions that are not answered yet.
#[derive(Debug, Default)]
pub struct Submissions {
    pending: HashMap<Box<str>, Pending>,
    queue: VecDeque<Box<str>>,
    in_flight: HashMap<u64, Vec<Box<str>>>,
    next_write: u64,
}

impl Submissions {
    /// Queues a submission; `deadline_ms` is when its caller stops waiting, on
    /// the local clock. A retry joins the pending submission of the same key.
    pub fn submit(&mut self, request: RequestId, key: Box<str>, record: Bytes, deadline_ms: u64) {
        if let Some(pending) = self.pending.get_mut(&key) {
            pending.requests.push(request);
            pending.deadline_ms = pending.deadline_ms.max(deadline_ms);
            return;
        }
        let pending = Pending {
            record,
            requests: vec![request],
            deadline_ms,
            attempts: 0,
            may_be_written: false,
            is_queued: true,
        };
        self.pending.insert(key.clone(), pending);
        self.queue.push_back(key);
    }

    /// Returns whether a submission of this key is not answered yet.
    pub fn is_pending(&self, key: &str) -> bool {
        self.pending.contains_key(key)
    }

    /// Returns whether every submission was answered.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Builds the next writes.
    pub fn step(&mut self) -> Vec<SubmissionAction> {
        let mut actions = Vec::new();
        while self.in_flight.len() < IN_FLIGHT_MAX && !self.queue.is_empty() {
            let mut jobs = Vec::new();
            let mut keys = Vec::new();
            while jobs.len() < JOBS_PER_WRITE
                && let Some(key) = self.queue.pop_front()
            {
                let Some(pending) = self.pending.get_mut(&key) else { continue };
                pending.is_queued = false;
                pending.attempts += 1;
                jobs.push((key.clone(), pending.record.clone()));
                keys.push(key);
            }
            if jobs.is_empty() {
                break;
            }
            let number = self.next_write;
            self.next_write += 1;
            self.in_flight.insert(number, keys);
            actions.push(SubmissionAction::Write(SubmissionWrite { number, jobs }));
        }
        actions
    }

    /// Handles the result of a write.
    pub fn on_result(
        &mut self,
        now: ClockReading,
        number: u64,
        result: SubmissionResult,
    ) -> Vec<SubmissionAction> {
        let Some(keys) = self.in_flight.remove(&number) else { return Vec::new() };
        let mut actions = Vec::new();
        for key in keys {
            match &result {
                SubmissionResult::Written => {
                    self.answer(&key, SubmissionAnswer::Accepted, &mut actions);
                }
                SubmissionResult::Exist(found) if found.contains(&key) => {
                    self.answer(&key, SubmissionAnswer::Accepted, &mut actions);
                }
                // Another job of the write already existed; this one can be
                // written without it.
                SubmissionResult::Exist(_) => self.requeue(key),
                SubmissionResult::NotWritten => self.retry_or_answer(now, key, false, &mut actions),
                SubmissionResult::Unknown => self.retry_or_answer(now, key, true, &mut actions),
            }
        }
        actions
    }

    fn retry_or_answer(
        &mut self,
        now: ClockReading,
        key: Box<str>,
        may_be_written: bool,
        actions: &mut Vec<SubmissionAction>,
    ) {
        let Some(pending) = self.pending.get_mut(&key) else { return };
        pending.may_be_written |= may_be_written;
        if pending.attempts < ATTEMPTS_MAX && now.monotonic_ms < pending.deadline_ms {
            self.requeue(key);
            return;
        }
        let answer = if pending.may_be_written {
            SubmissionAnswer::Unknown
        } else {
            SubmissionAnswer::NotAccepted { retry_after_ms: RETRY_AFTER_MS }
        };
        self.answer(&key, answer, actions);
    }

    fn requeue(&mut self, key: Box<str>) {
        if let Some(pending) = self.pending.get_mut(&key)
            && !pending.is_queued
        {
            pending.is_queued = true;
            self.queue.push_front(key);
        }
    }

    fn answer(&mut self, key: &str, answer: SubmissionAnswer, actions: &mut Vec<SubmissionAction>) {
        let Some(pending) = self.pending.remove(key) else { return };
        let answers = pending.requests.into_iter();
        actions.extend(answers.map(|request| SubmissionAction::Answer(request, answer)));
    }
}

#[cfg(test)]
mod tests;
