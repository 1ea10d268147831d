//! Durable job records, grouped into segments that are each one key of the
//! store.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::events::JobSpec;
use crate::state::ids::{JobId, OperationId, RecordVersion, Term};

/// Maximum number of jobs per segment. At about 400 bytes per job a segment
/// stays far below the store's limit of 1 MB, and the cost of a write does not
/// depend on the number of jobs in the pool.
pub(super) const SEGMENT_JOBS_MAX: usize = 256;

/// Record of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct JobRecord {
    pub spec: JobSpec,
    /// Start marker: whether the job was started; written only for
    /// non-repeatable jobs.
    pub started: bool,
}

/// Value of `jobs/<pool>/<shard>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SegmentRecord {
    /// Term of the controller that wrote the record.
    pub term: Term,
    /// Id of the write, which identifies it when its reply is lost.
    pub operation: OperationId,
    /// Jobs that have not ended.
    pub jobs: Vec<JobRecord>,
}

/// A segment in memory.
#[derive(Clone, Debug, Default)]
pub(super) struct Segment {
    pub version: RecordVersion,
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// Jobs counted towards [`SEGMENT_JOBS_MAX`]; ended ones are not
    /// subtracted.
    pub accepted: usize,
}

/// All segments, and which of them differ from the store.
#[derive(Clone, Debug, Default)]
pub(super) struct Segments {
    pub by_number: BTreeMap<u64, Segment>,
    /// Number of the segment that new records are added to.
    pub open: u64,
    /// Segments whose write a submission or a start waits for.
    pub urgent: BTreeSet<u64>,
    /// Segments from which only ended jobs were removed.
    pub dirty: BTreeSet<u64>,
}

impl Segments {
    /// Adds a submitted job to the open segment; returns its number.
    pub fn add(&mut self, spec: &JobSpec) -> u64 {
        let full = |segment: &Segment| segment.accepted >= SEGMENT_JOBS_MAX;
        if self.by_number.get(&self.open).is_some_and(full) {
            self.open += 1;
        }
        let segment = self.by_number.entry(self.open).or_default();
        segment.accepted += 1;
        let record = JobRecord { spec: spec.clone(), started: false };
        segment.jobs.insert(spec.job.clone(), record);
        self.urgent.insert(self.open);
        self.open
    }

    /// Moves a job to the open segment with a start marker, so that markers
    /// share the writes of submissions; returns the segment's number.
    pub fn mark_started(&mut self, number: u64, spec: &JobSpec) -> u64 {
        self.remove(number, &spec.job);
        let open = self.add(spec);
        let segment = self.by_number.get_mut(&open);
        if let Some(record) = segment.and_then(|segment| segment.jobs.get_mut(&spec.job)) {
            record.started = true;
        }
        open
    }

    pub fn remove(&mut self, number: u64, job: &JobId) {
        if let Some(segment) = self.by_number.get_mut(&number) {
            segment.jobs.remove(job);
            self.dirty.insert(number);
        }
    }
}
