//! What an engine takes over from its predecessor.

use tamarackproxy::state::{clock::ClockReading, ids::RecordVersion};

use super::{engine::PoolEngine, stops::HANDOVER_QUIET_MS};
use crate::state::{JobNumber, JobOutcome, JobRecord, JobState, ProgressRecord, Roster};

/// A job's record with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredJob {
    /// Number of the job.
    pub number: JobNumber,
    /// Version of the record.
    pub version: RecordVersion,
    /// The record.
    pub record: JobRecord,
}

/// What the store has of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// All jobs, ended ones too.
    pub jobs: Vec<StoredJob>,
    /// Progress of live jobs.
    pub progress: Vec<(JobNumber, ProgressRecord)>,
    /// Workers that may run something.
    pub roster: Roster,
}

impl PoolEngine {
    /// Takes over what the store has. Workers are listed afterwards; until
    /// then no task of a job from before this term is started.
    pub fn recover(&mut self, now: ClockReading, recovered: Recovered) {
        let (jobs, progress) = (recovered.jobs.len(), recovered.progress.len());
        for job in recovered.jobs {
            self.on_job(now, job.number, job.version, job.record);
        }
        for (number, progress) in recovered.progress {
            let Some(key) = self.ledger.find(number) else { continue };
            self.ledger.restore(key, &progress);
            let Some(job) = self.ledger.job_mut(key) else { continue };
            job.has_started = true;
            if job.ended_occurrences >= job.spec.occurrences() {
                self.end_job(key, JobOutcome::Done);
            }
        }
        log::info!(pool = self.control.pool.as_str(), term = self.control.term.0, jobs = jobs,
            with_progress = progress, roster = recovered.roster.workers.len();
            "took over the pool");
        self.unsettled = Some(recovered.roster.workers);
        self.roster_changed();
        self.placing_due = true;
    }

    /// Takes in all records of jobs after a gap in their changes.
    pub fn reread(&mut self, now: ClockReading, jobs: Vec<StoredJob>) {
        for StoredJob { number, version, record } in jobs {
            let is_known_end = matches!(record.state, JobState::Ended { .. })
                && self.ledger.find(number).is_none();
            if !is_known_end {
                self.on_job(now, number, version, record);
            }
        }
    }

    /// Ends the wait for the predecessor's runs once every worker that may run
    /// one was listed, or all that it granted is over.
    pub(super) fn settle(&mut self, now_ms: u64) {
        let Some(mut unsettled) = self.unsettled.take() else { return };
        let workers = &self.workers;
        unsettled.retain(|entry| {
            let found = workers.find(&entry.worker).and_then(|key| workers.get(key));
            let is_listed = found.is_some_and(|worker| worker.looked_ms.is_some());
            // A later life on the host runs nothing of the earlier one.
            let is_empty = self.vacated.contains(&entry.worker);
            !is_listed && !is_empty && !self.has_later_life(&entry.host, entry.born_unix_ms)
        });
        let known_are_listed = workers.iter().all(|(_, worker)| {
            worker.looked_ms.is_some() || self.vacated.contains(&worker.entry.worker)
        });
        let is_over = now_ms >= self.control.predecessor_until_ms;
        if (unsettled.is_empty() && known_are_listed) || is_over {
            log::info!(pool = self.control.pool.as_str(), not_listed = unsettled.len(),
                timed_out = is_over; "the predecessor's runs are accounted for");
            self.quiet_until_ms = now_ms + HANDOVER_QUIET_MS;
            self.roster_changed();
            self.placing_due = true;
        } else {
            self.unsettled = Some(unsettled);
        }
    }
}
