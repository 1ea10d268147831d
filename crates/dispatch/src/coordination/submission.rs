//! Durable acceptance of jobs.
//!
//! Load pattern: submissions come in bursts of tens within milliseconds, while
//! the store counts calls. One write is sent at once; what arrives while
//! writes are under way shares the next one.

use std::collections::VecDeque;

use bytes::Bytes;
use hashbrown::HashMap;
use tamarackproxy::state::{clock::ClockReading, ids::RequestId};

/// Writes under way at once: while one waits for its reply, the next one fills.
const IN_FLIGHT_MAX: usize = 2;
/// Jobs of one write: each takes a condition and a value of the 32 entries that
/// the platform accepts.
const JOBS_PER_WRITE: usize = 14;
/// Tries of one submission: the second answers for a connection that had gone
/// stale or a lost reply; further ones belong to the caller, who reaches
/// another entry host.
const TRIES_MAX: u32 = 2;
/// Delay that callers are told after a refusal, in milliseconds: the store's
/// rate limit counts by the second.
const RETRY_AFTER_MS: u64 = 1_000;

/// Answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionAnswer {
    /// The job is stored.
    Accepted,
    /// The job is not stored and will not be by this submission.
    NotAccepted {
        /// Delay before another try can succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// Nobody knows whether the job is stored; a repeat tells.
    Unknown,
}

/// A write of new jobs: none of the keys may exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionWrite {
    /// Number for the result.
    pub number: u64,
    /// Keys and records.
    pub jobs: Vec<(Box<str>, Bytes)>,
}

/// Result of a write of new jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionResult {
    /// All jobs are stored.
    Written,
    /// Nothing was written because these keys exist.
    Exist(Vec<Box<str>>),
    /// Nothing was sent, or the store refused the call.
    NotWritten,
    /// No reply.
    Unknown,
}

/// What the owner does next.
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
    tries: u32,
    /// An earlier try may have taken effect or may do so later.
    may_be_written: bool,
    is_queued: bool,
}

/// Submissions that wait for a write.
#[derive(Debug, Default)]
pub struct Submissions {
    pending: HashMap<Box<str>, Pending>,
    queue: VecDeque<Box<str>>,
    in_flight: HashMap<u64, Vec<Box<str>>>,
    next_write: u64,
}

impl Submissions {
    /// Takes a submission; `deadline_ms` is when its caller stops waiting, on
    /// the own clock. A repeat joins the one that waits.
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
            tries: 0,
            may_be_written: false,
            is_queued: true,
        };
        self.pending.insert(key.clone(), pending);
        self.queue.push_back(key);
    }

    /// Returns whether every submission has its answer.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Puts the next writes together.
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
                pending.tries += 1;
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

    /// Takes in the result of a write.
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
                // Another job of the write stood in the way; nothing failed.
                SubmissionResult::Exist(_) => self.queue_again(key),
                SubmissionResult::NotWritten => self.try_again(now, key, false, &mut actions),
                SubmissionResult::Unknown => self.try_again(now, key, true, &mut actions),
            }
        }
        actions
    }

    fn try_again(
        &mut self,
        now: ClockReading,
        key: Box<str>,
        may_be_written: bool,
        actions: &mut Vec<SubmissionAction>,
    ) {
        let Some(pending) = self.pending.get_mut(&key) else { return };
        pending.may_be_written |= may_be_written;
        if pending.tries < TRIES_MAX && now.monotonic_ms < pending.deadline_ms {
            self.queue_again(key);
            return;
        }
        let answer = if pending.may_be_written {
            SubmissionAnswer::Unknown
        } else {
            SubmissionAnswer::NotAccepted { retry_after_ms: RETRY_AFTER_MS }
        };
        self.answer(&key, answer, actions);
    }

    fn queue_again(&mut self, key: Box<str>) {
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
