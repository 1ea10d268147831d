//! Batching of an engine's writes to the store.

use hashbrown::{HashMap, HashSet};
use tamarackproxy::state::ids::{RecordVersion, WorkerId};

use super::{events::JobKey, workers::ProgressSequence};
use crate::state::{JobNumber, JobRecord, ProgressRecord, Roster, Summary};

/// Maximum entries of one transaction; the platform accepts 32.
const ENTRIES_MAX: usize = 30;
/// Entries of every transaction: the conditions on the term and on the last
/// write, and the new last write.
const ENTRIES_FIXED: usize = 3;
/// Entries that an ended job takes: the condition on its record's version, its
/// record and the removal of its progress.
const ENTRIES_ENDED: usize = 3;
/// Longest delay of a live job's progress, so that several jobs share a write,
/// in milliseconds. Workers repeat the ends that are not stored in each reply,
/// and are polled less often until they are.
const PROGRESS_DELAY_MS: u64 = 80;
/// Interval between summaries, in milliseconds: a fraction of the time that a
/// host takes to join a pool, and of the two seconds that callers accept as the
/// age of job counts.
const SUMMARY_INTERVAL_MS: u64 = 200;
/// Delay before a write without reply is sent again, in milliseconds.
const RETRY_MS: u64 = 100;

/// One atomic transaction, conditional on the engine's term and on the write
/// before it. A write whose reply was lost and that the store carries out late
/// thus can't replace what a later one stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolWrite {
    /// Version of the pool's last write that is known; 0 if there was none.
    pub previous: RecordVersion,
    /// Jobs that have ended, with the version that their records must have.
    pub ended: Vec<(JobNumber, RecordVersion, JobRecord)>,
    /// Progress of live jobs.
    pub progress: Vec<(JobNumber, ProgressRecord)>,
    /// Ended and withdrawn jobs whose records are past their retention and are
    /// removed, with the version that they must have.
    pub expired: Vec<(JobNumber, RecordVersion)>,
    /// The roster, if it changed.
    pub roster: Option<Roster>,
    /// The summary, if it changed.
    pub summary: Option<Summary>,
}

/// Result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect.
    Written(RecordVersion),
    /// The write had no effect: an earlier write without a reply took effect,
    /// and is the pool's last one at this version.
    Superseded(RecordVersion),
    /// The write had no effect: the records of these jobs have other versions.
    /// A missing record is none.
    Conflict(Vec<(JobNumber, RecordVersion, Option<JobRecord>)>),
    /// The term was raised by a successor.
    OldTerm,
    /// The write had no effect, or its effect is unknown.
    Failed,
}

/// Incarnations of workers that the stored roster names.
pub(super) type StoredRoster = HashSet<(WorkerId, u64)>;

/// Contents of a write in flight.
#[derive(Debug)]
pub(super) struct InFlight {
    /// Jobs whose outcome is written.
    pub(super) ended: Vec<JobKey>,
    /// Jobs whose progress is written, with the sequence number of the latest
    /// change.
    progress: Vec<(JobKey, u64)>,
    /// Workers of the roster, each with the start of its incarnation in
    /// milliseconds since 1970.
    roster: Option<StoredRoster>,
    summary: Option<Summary>,
    expired: Vec<(JobNumber, RecordVersion)>,
}

#[derive(Clone, Copy, Debug)]
struct Dirty {
    sequence: u64,
    since_ms: u64,
}

/// Tracks changes that are not stored yet.
#[derive(Debug, Default)]
pub(super) struct Writer {
    /// Version of the pool's last write that is known.
    previous: RecordVersion,
    next_sequence: u64,
    dirty: HashMap<JobKey, Dirty>,
    ended: Vec<JobKey>,
    /// Sequence number up to which the progress of each live job is stored.
    stored: HashMap<JobKey, u64>,
    roster: Roster,
    roster_changed: bool,
    summary: Summary,
    summary_stored: Option<Summary>,
    summary_ms: u64,
    expired: Vec<(JobNumber, RecordVersion)>,
    pub(super) in_flight: Option<InFlight>,
    retry_ms: u64,
}

/// Source of the job records for a write.
pub(super) trait Records {
    fn progress(&self, job: JobKey) -> Option<(JobNumber, ProgressRecord)>;
    fn ended(&self, job: JobKey) -> Option<(JobNumber, RecordVersion, JobRecord)>;
}

impl Writer {
    /// Marks a job's progress as changed; returns the sequence number of the
    /// change.
    pub(super) fn mark_dirty(&mut self, now_ms: u64, job: JobKey) -> ProgressSequence {
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        let dirty = self.dirty.entry(job).or_insert(Dirty { sequence, since_ms: now_ms });
        dirty.sequence = sequence;
        ProgressSequence { job, sequence }
    }

    /// Queues the outcome of a job for writing.
    pub(super) fn end(&mut self, job: JobKey) {
        if !self.ended.contains(&job) {
            self.ended.push(job);
        }
    }

    /// Drops all pending state of a job whose outcome is stored, by this engine
    /// or another process.
    pub(super) fn discard_job(&mut self, job: JobKey) {
        self.ended.retain(|&ended| ended != job);
        self.dirty.remove(&job);
        self.stored.remove(&job);
    }

    /// Returns whether the progress that covers an end is stored. A job that is
    /// no longer live has a stored outcome.
    pub(super) fn is_stored(&self, end: ProgressSequence, is_live: bool) -> bool {
        !is_live || self.stored.get(&end.job).is_some_and(|&stored| stored >= end.sequence)
    }

    pub(super) fn set_roster(&mut self, roster: Roster) {
        self.roster_changed = true;
        self.roster = roster;
    }

    /// Returns whether a new summary could be written now.
    pub(super) fn takes_summary(&self, now_ms: u64) -> bool {
        self.in_flight.is_none() && now_ms >= self.summary_ms + SUMMARY_INTERVAL_MS
    }

    pub(super) fn set_summary(&mut self, summary: Summary) {
        self.summary = summary;
    }

    /// Queues the records of jobs for removal, each in the version that it must have.
    pub(super) fn remove_records<I>(&mut self, jobs: I)
    where
        I: IntoIterator<Item = (JobNumber, RecordVersion)>,
    {
        for (job, version) in jobs {
            self.keep_record(job);
            self.expired.push((job, version));
        }
    }

    /// Keeps the record of a job that was to be removed in another version.
    pub(super) fn keep_record(&mut self, job: JobNumber) {
        self.expired.retain(|(expired, _)| *expired != job);
    }

    /// Returns when the next write is due, in milliseconds on the local clock.
    pub(super) fn due_ms(&self) -> Option<u64> {
        if self.in_flight.is_some() {
            return None;
        }
        let at_once = !self.ended.is_empty() || self.roster_changed || !self.expired.is_empty();
        let progress = self.dirty.values().map(|dirty| dirty.since_ms + PROGRESS_DELAY_MS).min();
        let summary = (self.summary_stored.as_ref() != Some(&self.summary))
            .then_some(self.summary_ms + SUMMARY_INTERVAL_MS);
        let due = [at_once.then_some(0), progress, summary].into_iter().flatten().min()?;
        Some(due.max(self.retry_ms))
    }

    /// Builds the next write if one is due.
    pub(super) fn next_write<R>(&mut self, now_ms: u64, records: &R) -> Option<PoolWrite>
    where
        R: Records,
    {
        if self.due_ms().is_none_or(|due_ms| now_ms < due_ms) {
            return None;
        }
        let mut write = PoolWrite { previous: self.previous, ..PoolWrite::default() };
        let mut entries = ENTRIES_FIXED;
        let mut in_flight = InFlight {
            ended: Vec::new(),
            progress: Vec::new(),
            roster: None,
            summary: None,
            expired: Vec::new(),
        };
        if self.roster_changed {
            entries += 1;
            let workers = self.roster.workers.iter();
            let stored = workers.map(|entry| (entry.worker.clone(), entry.born_unix_ms));
            in_flight.roster = Some(stored.collect());
            write.roster = Some(self.roster.clone());
            self.roster_changed = false;
        }
        if self.summary_stored.as_ref() != Some(&self.summary) {
            entries += 1;
            in_flight.summary = Some(self.summary.clone());
            write.summary = Some(self.summary.clone());
            self.summary_ms = now_ms;
        }
        for &job in &self.ended {
            if entries + ENTRIES_ENDED > ENTRIES_MAX {
                break;
            }
            if let Some(record) = records.ended(job) {
                entries += ENTRIES_ENDED;
                in_flight.ended.push(job);
                write.ended.push(record);
            }
        }
        let mut waiting: Vec<_> = self.dirty.iter().map(|(&job, &dirty)| (dirty, job)).collect();
        waiting.sort_unstable_by_key(|(dirty, _)| dirty.since_ms);
        for (dirty, job) in waiting {
            if entries + 1 > ENTRIES_MAX || in_flight.ended.contains(&job) {
                continue;
            }
            if let Some(record) = records.progress(job) {
                entries += 1;
                in_flight.progress.push((job, dirty.sequence));
                write.progress.push(record);
            }
        }
        let pairs = ENTRIES_MAX.saturating_sub(entries) / 2;
        let expired = self.expired.len().saturating_sub(pairs);
        in_flight.expired = self.expired.split_off(expired);
        write.expired.clone_from(&in_flight.expired);
        self.in_flight = Some(in_flight);
        Some(write)
    }

    /// Sets the version of the pool's last write, as read from the store.
    pub(super) fn set_previous(&mut self, previous: RecordVersion) {
        self.previous = previous;
    }

    /// Handles the success of the write in flight at a version; returns the jobs
    /// whose outcome is now stored and the workers of the stored roster, if it
    /// was written.
    pub(super) fn on_written(
        &mut self,
        version: RecordVersion,
    ) -> (Vec<JobKey>, Option<StoredRoster>) {
        self.previous = version;
        let Some(in_flight) = self.in_flight.take() else { return (Vec::new(), None) };
        for (job, sequence) in in_flight.progress {
            let stored = self.stored.entry(job).or_insert(0);
            *stored = (*stored).max(sequence);
            if self.dirty.get(&job).is_some_and(|dirty| dirty.sequence <= sequence) {
                self.dirty.remove(&job);
            }
        }
        if in_flight.summary.is_some() {
            self.summary_stored = in_flight.summary;
        }
        (in_flight.ended, in_flight.roster)
    }

    /// Handles a write that failed or whose effect is unknown: its contents are
    /// written again after a delay.
    pub(super) fn on_failed(&mut self, now_ms: u64) {
        let Some(in_flight) = self.in_flight.take() else { return };
        self.roster_changed |= in_flight.roster.is_some();
        self.expired.extend(in_flight.expired);
        self.retry_ms = now_ms + RETRY_MS;
    }
}
