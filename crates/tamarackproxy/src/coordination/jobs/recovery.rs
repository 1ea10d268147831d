//! Takeover by a new controller: job records are read and running tasks are
//! adopted.

use super::{
    engine::{JobEngine, LEASE_EXPIRY_MS, Timer},
    events::{JobOutcome, JobsAction, UsageReport},
    segments::{Segment, SegmentRecord, Segments},
    state::{Job, JobKey, JobPhase},
    store::{LIST_PAGE, StoreCall, StoreState},
};
use crate::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{clock::ClockReading, ids::Term},
};

/// Range of attempt numbers per term, so that attempts of a later term have
/// higher numbers.
const ATTEMPTS_PER_TERM: u32 = 1 << 12;

impl JobEngine {
    pub(super) fn on_control_changed(
        &mut self,
        now: ClockReading,
        term: Option<Term>,
        actions: &mut Vec<JobsAction>,
    ) {
        if self.term == term {
            return;
        }
        self.lose_control();
        self.term = term;
        if term.is_some() {
            self.list_segments(actions);
        }
        for number in 0..self.workers.len() as u32 {
            self.reindex(now, number);
        }
    }

    /// Drops all jobs from memory; their records remain in the store for the
    /// next controller.
    pub(super) fn lose_control(&mut self) {
        self.term = None;
        self.loaded = false;
        self.jobs.clear();
        self.keys_by_job.clear();
        self.calls.clear();
        self.timers.clear();
        self.tasks_by_rack.clear();
        self.tasks_by_data_centre.clear();
        self.team_queue = Default::default();
        self.parked_teams = Default::default();
        self.segments = Segments::default();
        let last_call = self.store.last_call;
        self.store = StoreState::new(last_call);
        self.more_to_place = false;
        for team in self.teams.values_mut() {
            team.used = Default::default();
            team.waiting = Default::default();
        }
        for worker in &mut self.workers {
            worker.tasks.clear();
            worker.reserved = Default::default();
            worker.preemptible = Default::default();
            worker.renewal_scheduled = false;
        }
    }

    pub(super) fn list_segments(&mut self, actions: &mut Vec<JobsAction>) {
        let request = StoreRequest::List {
            prefix: format!("jobs/{}/", self.pool).into(),
            after: self.store.last_key.clone(),
            limit: LIST_PAGE,
        };
        self.call_store(StoreCall::List, request, actions);
    }

    pub(super) fn on_segments_listed(
        &mut self,
        now: ClockReading,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<JobsAction>,
    ) {
        let Ok(StoreReply::Values { items, more }) = result else {
            self.store.list_retry_ms = Some(self.backoff_until(now));
            return;
        };
        for item in &items {
            self.read_segment(now, item);
        }
        if let Some(last) = items.last() {
            self.store.last_key = Some(last.key.clone());
        }
        if more && !items.is_empty() {
            return self.list_segments(actions);
        }
        self.fence();
    }

    /// Fences off the previous controller, which writes start markers to its
    /// last segment or creates the next one. Both segments are written here
    /// before any job is placed, so that a late write of the previous
    /// controller conflicts.
    fn fence(&mut self) {
        let last = self.segments.by_number.last_key_value().map(|(&number, _)| number);
        let open = last.map_or(0, |last| last + 1);
        self.segments.open = open;
        self.segments.by_number.insert(open, Segment::default());
        self.segments.urgent.extend(last.into_iter().chain([open]));
        self.store.fencing_writes_left = 1 + u8::from(last.is_some());
    }

    fn read_segment(&mut self, now: ClockReading, item: &KeyValue) {
        let number = item.key.rsplit('/').next().and_then(|text| text.parse().ok());
        let record: Option<SegmentRecord> = serde_json::from_slice(&item.value).ok();
        let (Some(number), Some(record)) = (number, record) else { return };
        let jobs = record.jobs.iter().map(|job| (job.spec.job.clone(), job.clone())).collect();
        let accepted = record.jobs.len();
        let segment = Segment { version: item.version, jobs, accepted };
        self.segments.by_number.insert(number, segment);
        let term = self.term.unwrap_or_default().0 as u32;
        for recorded in record.jobs {
            if let Some(&key) = self.keys_by_job.get(&recorded.spec.job) {
                // The start marker moved the job to a later segment; the old
                // record was not removed yet.
                let previous = self.jobs[key].segment;
                self.segments.remove(previous, &recorded.spec.job);
                self.drop_job(key);
            }
            let mut job = Job::new(recorded.spec, number);
            job.marked_started = recorded.started;
            job.attempt = term.wrapping_mul(ATTEMPTS_PER_TERM);
            // A non-repeatable job without a start marker was never started.
            if !job.spec.repeatable && !recorded.started {
                let key = self.add_job(job);
                self.enqueue(key, false);
                continue;
            }
            let until_ms = now.monotonic_ms + LEASE_EXPIRY_MS;
            job.phase = JobPhase::Recovering { until_ms };
            let key = self.add_job(job);
            self.schedule_timer(until_ms, Timer::RecoveryTimeout(key));
        }
    }

    fn drop_job(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(key) {
            self.keys_by_job.remove(&job.spec.job);
        }
    }

    /// Adopts a task that a previous controller started and its worker reports.
    pub(super) fn adopt(
        &mut self,
        now: ClockReading,
        key: JobKey,
        number: u32,
        report: &UsageReport,
        actions: &mut Vec<JobsAction>,
    ) {
        let job = &mut self.jobs[key];
        if !matches!(job.phase, JobPhase::Recovering { .. }) {
            return;
        }
        job.attempt = report.attempt;
        let size = job.spec.declared;
        self.adopt_on(now, key, number, size, actions);
    }

    /// Handles a job that no worker reported before the lease of the previous
    /// controller expired.
    pub(super) fn on_recovery_timeout(&mut self, key: JobKey, actions: &mut Vec<JobsAction>) {
        let Some(job) = self.jobs.get(key) else { return };
        if !matches!(job.phase, JobPhase::Recovering { .. }) {
            return;
        }
        if job.cancelled {
            self.finish(key, JobOutcome::Cancelled, actions);
        } else if job.spec.repeatable {
            self.enqueue(key, true);
        } else {
            self.finish(key, JobOutcome::Unknown, actions);
        }
    }
}
