//! Records in the store, in bincode.

use displaydoc::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use strum::{Display as StrumDisplay, EnumString};
use tamarackproxy::{
    state::ids::{EntryId, HostId, PoolId, QueueId, Term, WorkerId},
    transport::frame::{self, FrameError},
};

use super::{
    ids::{JobNumber, RunNumber},
    job::JobSpec,
    wave::WaveNumber,
};

/// Largest record, in bytes; the platform's store holds values of 1 MiB.
const RECORD_MAX_BYTES: usize = 1 << 20;

/// the record cannot be encoded or read: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct RecordError(FrameError);

impl std::error::Error for RecordError {}

/// Encodes a record as the value of its key.
///
/// # Errors
///
/// Returns [`RecordError`] for a record larger than the store holds.
pub fn encode<R>(record: &R) -> Result<Vec<u8>, RecordError>
where
    R: Serialize,
{
    frame::encode(record, RECORD_MAX_BYTES).map_err(RecordError)
}

/// Decodes the value of a key.
///
/// # Errors
///
/// Returns [`RecordError`] for bytes of another type or version.
pub fn decode<R>(value: &[u8]) -> Result<R, RecordError>
where
    R: DeserializeOwned,
{
    frame::decode(value).map_err(RecordError)
}

/// How a job ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, StrumDisplay, EnumString,
)]
#[strum(serialize_all = "lowercase")]
pub enum JobOutcome {
    /// All tasks ended well.
    Done,
    /// A task failed as often as its queue allows.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

/// Value of `jobs/<pool>/<job>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue that took the job.
    pub queue: QueueId,
    /// Time of acceptance by the accepting process's clock, in milliseconds
    /// since 1970.
    pub accepted_unix_ms: u64,
    /// Whether the job has ended.
    pub state: JobState,
}

/// State of a recorded job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// The job has not ended.
    Live(JobSpec),
    /// The job has ended; its steps are no longer needed.
    Ended {
        /// How it ended.
        outcome: JobOutcome,
        /// When, in milliseconds since 1970.
        ended_unix_ms: u64,
    },
}

/// Value of `progress/<pool>/<job>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Occurrences below this number have ended.
    pub ended_below: u32,
    /// Steps with an end that is worth keeping.
    pub steps: Vec<StepProgress>,
}

/// Progress of one step of one occurrence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// The occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// All tasks have ended well.
    pub is_done: bool,
    /// Tasks that differ from a task that never ran; empty for a done step.
    pub tasks: Vec<TaskProgress>,
}

/// Progress of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Index within the step.
    pub index: u32,
    /// The task has ended well.
    pub is_done: bool,
    /// Runs that failed. A worker lists an end until it is acknowledged, so a
    /// successor sees ends again that are counted here.
    pub failed_runs: Vec<RunNumber>,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
}

/// Value of `roster/<pool>`: every worker on which something may run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The workers.
    pub workers: Vec<RosterEntry>,
}

/// One worker of the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Host that it runs on.
    pub host: HostId,
    /// Start of this life of the worker, in milliseconds since 1970.
    pub born_unix_ms: u64,
}

/// Value of `summary/<pool>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Queues with the number of their jobs of which no task has started.
    pub waiting: Vec<(QueueId, u64)>,
    /// What the pool needs.
    pub demand: Demand,
}

/// What a pool's work asks for, as far as its controller knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Work that arrives, in thousandths of a core.
    pub arriving_millicores: u64,
    /// Work that has arrived and was not started, in core-milliseconds.
    pub backlog_core_ms: u64,
    /// Tasks that last, in thousandths of a core.
    pub lasting_millicores: u64,
    /// Workers on which nothing runs.
    pub idle: Vec<WorkerId>,
}

/// Value of `control/handover/<scope>`: a host with more processors asks the
/// holder to give up the scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRequest {
    /// Who asks.
    pub asker: EntryId,
    /// Term of the holder that is asked; later ones are not concerned.
    pub term: Term,
}

/// Value of `fleet/vacate/<worker>`: the pool's controller is to empty it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VacateRequest {
    /// What its host is needed for.
    pub reason: VacateReason,
}

/// Why a worker is emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VacateReason {
    /// Upkeep in a wave.
    Wave(WaveNumber),
    /// A move to another pool.
    Move,
}

/// Value of `fleet/vacated/<worker>`: nothing runs on the worker and nothing
/// will be started there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vacancy {
    /// The worker.
    pub worker: WorkerId,
    /// Term of the controller that emptied it.
    pub term: Term,
}

/// Value of `balance/state`: what a successor has to know of pools and surges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalanceRecord {
    /// Hosts of each pool before any move.
    pub first_sizes: Vec<(PoolId, u32)>,
    /// Surges that were seen.
    pub surges: Vec<SurgeRecord>,
    /// Time between the last two beginnings of surges, in milliseconds.
    pub turn_ms: Option<u64>,
}

/// The last surge of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurgeRecord {
    /// The pool.
    pub pool: PoolId,
    /// When it began, in milliseconds since 1970.
    pub began_unix_ms: u64,
    /// Its largest demand, in thousandths of a core.
    pub peak_millicores: u64,
    /// Its end was seen.
    pub is_measured: bool,
}

impl JobRecord {
    /// Returns the key of a job's record.
    pub fn key(pool: &str, job: JobNumber) -> Box<str> {
        format!("jobs/{pool}/{job}").into()
    }
}
