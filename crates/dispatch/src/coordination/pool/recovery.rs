//! Recovery after a change of control: state from the store, then
//! reconciliation with the previous controller's runs.

use tamarackproxy::state::{
    clock::ClockReading,
    ids::{RecordVersion, WorkerId},
};

use super::{
    engine::{CALL_MAX_MS, PoolEngine, PoolTiming},
    lease::lease_end_ms,
    stops::HANDOVER_GRACE_MS,
    task::TaskRef,
    workers::Worker,
};
use crate::state::{JobNumber, JobOutcome, JobRecord, ProgressRecord, Roster, RosterEntry};

/// A job's record with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredJob {
    /// Number of the job.
    pub number: JobNumber,
    /// Version of the record.
    pub version: RecordVersion,
    pub record: JobRecord,
}

/// Stored state of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// All jobs, including ended ones.
    pub jobs: Vec<StoredJob>,
    /// Progress of live jobs.
    pub progress: Vec<(JobNumber, ProgressRecord)>,
    /// Workers that may run something.
    pub roster: Roster,
    /// Version of the pool's last write; 0 if there was none.
    pub last_write: RecordVersion,
}

impl PoolEngine {
    /// Restores the stored state. Workers are polled afterwards; until that is
    /// done no task of a job from before this term is started.
    pub fn recover(&mut self, now: ClockReading, recovered: Recovered) {
        let (jobs, progress) = (recovered.jobs.len(), recovered.progress.len());
        self.writer.set_previous(recovered.last_write);
        let mut inherited = Vec::new();
        for job in recovered.jobs {
            inherited.extend(self.apply_job(now, job.number, job.version, job.record));
        }
        for (number, progress) in recovered.progress {
            let Some(key) = self.job_table.find(number) else { continue };
            self.job_table.restore(key, now, &progress);
            for step in &progress.steps {
                let (occurrence, index) = (step.occurrence, step.step);
                for task in step
                    .tasks
                    .iter()
                    .filter(|task| task.crashes.crashes > 0 || task.lost_run.is_some())
                {
                    let (step, index) = (index, task.index);
                    self.suspects.restore(TaskRef { job: key, occurrence, step, index });
                }
            }
            let Some(job) = self.job_table.job_mut(key) else { continue };
            job.has_started = true;
            if job.is_complete() {
                self.end_job(now.monotonic_ms, key, JobOutcome::Done);
            }
        }
        for key in inherited {
            self.job_table.open_due(key, now);
        }
        log::info!(pool = self.control.pool.as_str(), term = self.control.term.0, jobs = jobs,
            with_progress = progress, roster = recovered.roster.workers.len();
            "restored the pool's state from the store");
        self.unreconciled = Some(recovered.roster.workers);
        self.roster_changed();
        self.placing_due = true;
    }

    /// Applies a full listing of the job records after a gap in the change
    /// stream. The changes that follow may be older than the listing's last pages.
    pub fn reread(&mut self, now: ClockReading, jobs: Vec<StoredJob>) {
        for StoredJob { number, version, record } in jobs {
            self.on_job(now, number, version, record);
        }
    }

    /// Returns whether a worker is on the previous controller's roster and was not
    /// polled yet.
    pub(super) fn is_unreconciled(&self, worker: &WorkerId) -> bool {
        self.unreconciled.iter().flatten().any(|entry| entry.worker == *worker)
    }

    /// Returns when every lease and start has expired that the previous controller
    /// granted to a worker of its roster, on the local clock. A worker that has
    /// restarted since may hold the longest lease by a call for its former
    /// incarnation.
    fn predecessor_until_ms(&self, entry: &RosterEntry) -> u64 {
        let PoolTiming { worker_lease_ms, worker_lease_max_ms, .. } = self.timing;
        let known = self.workers.find(&entry.worker);
        let shown = known.into_iter().chain(self.workers.claimant(&entry.worker));
        let has_restarted = shown
            .filter_map(|key| self.workers.get(key))
            .any(|worker| worker.entry.born_unix_ms != entry.born_unix_ms);
        if !has_restarted {
            return self.control.predecessor_until_ms;
        }
        let last_call_ms = self.control.predecessor_until_ms.saturating_sub(worker_lease_ms);
        lease_end_ms(last_call_ms + CALL_MAX_MS, worker_lease_max_ms)
    }

    /// Finishes the reconciliation with the previous controller's runs once
    /// every worker of the roster was polled, or all leases that the
    /// previous controller granted have expired.
    pub(super) fn try_finish_reconciliation(&mut self, now_ms: u64) {
        let Some(mut unreconciled) = self.unreconciled.take() else { return };
        let workers = &self.workers;
        unreconciled.retain(|entry| {
            let found = workers.find(&entry.worker).and_then(|key| workers.get(key));
            let is_polled = found.is_some_and(Worker::is_confirmed);
            // A newer incarnation on the host has no runs of the earlier one.
            let is_vacated = self.vacated.contains(&entry.worker);
            !is_polled
                && !is_vacated
                && !self.has_newer_incarnation(&entry.host, entry.born_unix_ms)
        });
        let is_over = unreconciled.iter().all(|entry| now_ms >= self.predecessor_until_ms(entry));
        if is_over {
            log::info!(pool = self.control.pool.as_str(), not_listed = unreconciled.len(),
                timed_out = !unreconciled.is_empty();
                "reconciliation with the previous controller's runs has finished");
            self.count_unseen_crashes(now_ms);
            self.handover_grace_until_ms = now_ms + HANDOVER_GRACE_MS;
            self.roster_changed();
            self.placing_due = true;
        } else {
            self.unreconciled = Some(unreconciled);
        }
    }
}
