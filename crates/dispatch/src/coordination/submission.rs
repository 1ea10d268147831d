//! Durable acceptance of jobs: batches submissions into writes to the store.
//!
//! Load pattern: submissions come in bursts of tens within milliseconds, while
//! the store limits the rate of calls. A submission is written at once if no
//! more than one write is in flight; those that arrive while two are in flight
//! share the next one.

use std::collections::VecDeque;

use bytes::Bytes;
use hashbrown::HashMap;
use tamarackproxy::state::{
    clock::ClockReading,
    ids::{RecordVersion, RequestId},
};

/// Most writes in flight at once: while one waits for its reply, another can be
/// sent.
const IN_FLIGHT_MAX: usize = 2;
/// Most entries of one write, conditions and values; the platform accepts 32.
const ENTRIES_PER_WRITE: usize = 32;
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
    /// The job is not stored: the record of its queue has changed. It can be
    /// submitted again once that is read.
    QueueChanged,
    /// The job is not stored: a job of its number was withdrawn. It can be
    /// submitted again once that record is read.
    Withdrawn,
    /// It is unknown whether the job is stored; a retry with the same key
    /// tells.
    Unknown,
}

/// A job to store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewRecord {
    /// Key of the job's record.
    pub key: Box<str>,
    /// The record.
    pub value: Bytes,
    /// Keys at which the job may be stored already.
    pub former_keys: Vec<Box<str>>,
    /// Key and version of the record that lists the pools of the job's queue.
    pub queue: (Box<str>, RecordVersion),
    /// Those of these keys that have the record of a withdrawn job, which does not
    /// prevent the write, with its version.
    pub withdrawn: Vec<(Box<str>, RecordVersion)>,
}

impl NewRecord {
    /// Creates the record of a job of a queue at a key.
    pub fn new(key: Box<str>, value: Bytes, queue: (Box<str>, RecordVersion)) -> Self {
        Self { key, value, former_keys: Vec::new(), queue, withdrawn: Vec::new() }
    }

    /// Sets further keys at which the job may be stored already.
    #[must_use]
    pub fn with_former_keys<I>(mut self, keys: I) -> Self
    where
        I: IntoIterator<Item = Box<str>>,
    {
        self.former_keys = keys.into_iter().collect();
        self
    }

    /// Sets the keys that have the record of a withdrawn job, with its version.
    #[must_use]
    pub fn with_withdrawn(mut self, withdrawn: Vec<(Box<str>, RecordVersion)>) -> Self {
        self.withdrawn = withdrawn;
        self
    }

    /// Returns whether the job is stored at one of the keys.
    fn is_among(&self, existing: &[Box<str>]) -> bool {
        existing.contains(&self.key) || self.former_keys.iter().any(|key| existing.contains(key))
    }
}

/// A write of new jobs, conditional on the absence of all of their keys and on the
/// versions of their queues' records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionWrite {
    /// Number that identifies the write in its result.
    pub number: u64,
    /// Keys and records.
    pub jobs: Vec<(Box<str>, Bytes)>,
    /// Further keys that must not exist.
    pub former_keys: Vec<Box<str>>,
    /// Keys among these that must exist in this version.
    pub withdrawn: Vec<(Box<str>, RecordVersion)>,
    /// Records of queues, with their versions.
    pub queues: Vec<(Box<str>, RecordVersion)>,
}

/// Result of a write of new jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionResult {
    /// All jobs are stored.
    Written,
    /// Nothing was written because a condition does not hold.
    Conflict {
        /// Keys of jobs that already exist.
        existing: Vec<Box<str>>,
        /// Keys of withdrawn jobs whose records have other versions than the write
        /// expects.
        withdrawn: Vec<Box<str>>,
        /// Keys of queues' records that have changed.
        changed_queues: Vec<Box<str>>,
    },
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
    job: NewRecord,
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

impl SubmissionWrite {
    fn new(number: u64) -> Self {
        Self {
            number,
            jobs: Vec::new(),
            former_keys: Vec::new(),
            withdrawn: Vec::new(),
            queues: Vec::new(),
        }
    }

    /// Returns the version that the record at a key must have; 0 if it must not
    /// exist.
    pub fn expected(&self, key: &str) -> RecordVersion {
        let found = self.withdrawn.iter().find(|(withdrawn, _)| **withdrawn == *key);
        found.map_or(RecordVersion(0), |(_, version)| *version)
    }

    /// Adds a job if there is room for it; returns whether there was. A write takes
    /// at least one job.
    fn add(&mut self, job: &NewRecord) -> bool {
        let is_new_queue = !self.queues.contains(&job.queue);
        let entries = 2 * (self.jobs.len() + 1)
            + self.former_keys.len()
            + job.former_keys.len()
            + self.queues.len()
            + usize::from(is_new_queue);
        // Jobs of one queue that refer to different versions of its record would
        // exclude each other.
        let (queue, version) = &job.queue;
        let is_other_version = self.queues.iter().any(|(key, it)| key == queue && it != version);
        if !self.jobs.is_empty() && (entries > ENTRIES_PER_WRITE || is_other_version) {
            return false;
        }
        self.jobs.push((job.key.clone(), job.value.clone()));
        self.former_keys.extend(job.former_keys.iter().cloned());
        self.withdrawn.extend(job.withdrawn.iter().cloned());
        if is_new_queue {
            self.queues.push(job.queue.clone());
        }
        true
    }
}

impl Submissions {
    /// Queues a submission; `deadline_ms` is when its caller stops waiting, on
    /// the local clock. A retry joins the pending submission of the same key.
    pub fn submit(&mut self, request: RequestId, job: NewRecord, deadline_ms: u64) {
        if let Some(pending) = self.pending.get_mut(&job.key) {
            pending.requests.push(request);
            pending.deadline_ms = pending.deadline_ms.max(deadline_ms);
            return;
        }
        let key = job.key.clone();
        let pending = Pending {
            job,
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

    /// Builds the next writes. Submissions that have waited until their callers
    /// stopped waiting, for example while the process was suspended, are not sent.
    pub fn step(&mut self, now: ClockReading) -> Vec<SubmissionAction> {
        let mut actions = Vec::new();
        while self.in_flight.len() < IN_FLIGHT_MAX && !self.queue.is_empty() {
            let mut write = SubmissionWrite::new(self.next_write);
            while let Some(key) = self.queue.pop_front() {
                let Some(pending) = self.pending.get_mut(&key) else { continue };
                if now.monotonic_ms >= pending.deadline_ms {
                    self.give_up(&key, &mut actions);
                    continue;
                }
                if !write.add(&pending.job) {
                    self.queue.push_front(key);
                    break;
                }
                pending.is_queued = false;
                pending.attempts += 1;
            }
            if write.jobs.is_empty() {
                break;
            }
            self.next_write += 1;
            let keys = write.jobs.iter().map(|(key, _)| key.clone()).collect();
            self.in_flight.insert(write.number, keys);
            actions.push(SubmissionAction::Write(write));
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
                SubmissionResult::Conflict { existing, withdrawn, changed_queues } => {
                    let Some(Pending { job, .. }) = self.pending.get(&key) else { continue };
                    let is_queue_changed = changed_queues.contains(&job.queue.0);
                    if job.is_among(existing) {
                        self.answer(&key, SubmissionAnswer::Accepted, &mut actions);
                    } else if job.is_among(withdrawn) {
                        self.answer(&key, SubmissionAnswer::Withdrawn, &mut actions);
                    } else if is_queue_changed {
                        // No earlier attempt can take effect any more: its condition
                        // on the queue's record does not hold.
                        self.answer(&key, SubmissionAnswer::QueueChanged, &mut actions);
                    } else {
                        // Another job of the write already existed; this one can be
                        // written without it.
                        self.requeue(key);
                    }
                }
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
        self.give_up(&key, actions);
    }

    fn give_up(&mut self, key: &str, actions: &mut Vec<SubmissionAction>) {
        let Some(pending) = self.pending.get(key) else { return };
        let answer = if pending.may_be_written {
            SubmissionAnswer::Unknown
        } else {
            SubmissionAnswer::NotAccepted { retry_after_ms: RETRY_AFTER_MS }
        };
        self.answer(key, answer, actions);
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
