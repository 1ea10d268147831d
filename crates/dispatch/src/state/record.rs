//! Records in the store, encoded with bincode.

use std::net::SocketAddr;

use displaydoc::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use strum::{Display as StrumDisplay, EnumString};
use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{AccountId, DataCentreId, EntryId, HostId, PoolId, QueueId, Term, WorkerId},
    transport::frame::{self, FrameError},
};

use super::{
    ids::{JobNumber, RunNumber},
    job::JobSpec,
    wave::WaveNumber,
};

/// Largest record, in bytes; the platform's store accepts values of up to 1
/// MiB.
const RECORD_MAX_BYTES: usize = 1 << 20;

/// the record cannot be encoded or read: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct RecordError(FrameError);

impl std::error::Error for RecordError {}

/// Encodes a record for the store.
///
/// # Errors
///
/// Returns [`RecordError`] for a record that is larger than the store accepts.
pub fn encode<R>(record: &R) -> Result<Vec<u8>, RecordError>
where
    R: Serialize,
{
    frame::encode(record, RECORD_MAX_BYTES).map_err(RecordError)
}

/// Decodes a record from the store.
///
/// # Errors
///
/// Returns [`RecordError`] if the bytes are a record of another type or
/// version.
pub fn decode<R>(value: &[u8]) -> Result<R, RecordError>
where
    R: DeserializeOwned,
{
    frame::decode(value).map_err(RecordError)
}

/// Decodes a progress record of this version or an earlier one.
///
/// # Errors
///
/// Returns [`RecordError`] if the bytes are neither.
pub fn decode_progress(value: &[u8]) -> Result<ProgressRecord, RecordError> {
    decode(value).or_else(|error| {
        let (ended_below, steps) = decode(value).map_err(|_| error)?;
        Ok(ProgressRecord { ended_below, steps, ended_later: Vec::new() })
    })
}

/// How a job ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, StrumDisplay, EnumString,
)]
#[strum(serialize_all = "lowercase")]
pub enum JobOutcome {
    /// All tasks succeeded.
    Done,
    /// A task failed as many times as its queue allows, or workers crashed while
    /// they ran it.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

/// Value of `jobs/<pool>/<job>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue that the job was submitted to.
    pub queue: QueueId,
    /// Client account of the job; none if its queue was public.
    pub account: Option<AccountId>,
    /// Time of acceptance on the accepting process's clock, in milliseconds
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
    /// The job was cancelled before it was stored. A write of it that takes effect
    /// later finds this record and fails.
    Withdrawn {
        /// When, in milliseconds since 1970.
        withdrawn_unix_ms: u64,
    },
}

/// Value of `progress/<pool>/<job>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// All occurrences below this number have ended.
    pub ended_below: u32,
    /// Steps that have progress.
    pub steps: Vec<StepProgress>,
    /// Later occurrences that have ended, as ranges of their first number and the
    /// number after the last. Left out if there are none, as in records of earlier
    /// versions.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub ended_later: Vec<(u32, u32)>,
}

/// Progress of one step of one occurrence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// The occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// All tasks have succeeded.
    pub is_done: bool,
    /// Tasks that differ from one that never ran; empty for a done step.
    pub tasks: Vec<TaskProgress>,
}

/// Progress of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Index within the step.
    pub index: u32,
    /// The task has succeeded.
    pub is_done: bool,
    /// Failed runs. A worker reports an end until it is acknowledged, so a
    /// successor may see ends that are already counted here.
    pub failed_runs: Vec<RunNumber>,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
    /// Crashes of workers that ran the task.
    pub crashes: CrashRecord,
    /// Run whose worker no longer answers; none if the crash is counted.
    pub lost_run: Option<RunNumber>,
}

/// Crashes of workers that count against the task that they ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Workers that crashed while they ran the task.
    pub crashes: u32,
    /// Changes of control at which the previous controller may have started the
    /// task once more: none of its runs was found, or the first crash followed.
    pub unseen_starts: u32,
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
    /// Start of this worker incarnation, in milliseconds since 1970.
    pub born_unix_ms: u64,
}

/// Value of `summary/<pool>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of jobs of each queue of which no task has started.
    pub waiting: Vec<(QueueId, u64)>,
    /// Resource demand of the pool.
    pub demand: Demand,
    /// What bounds the wait of new jobs.
    pub load: PoolLoad,
}

/// Capacity of a pool and, while it is overloaded, the work that goes before
/// new jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Processors of the workers that take work, without those of long-running
    /// tasks, in thousandths of a core.
    pub capacity_millicores: u64,
    /// Processors of registered workers that do not take work yet, in thousandths
    /// of a core.
    pub joining_millicores: u64,
    /// The waiting work; none while the pool has room for it.
    pub overload: Option<Overload>,
}

/// Waiting work of a pool without room.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overload {
    /// Clock of the controller, in seconds; changes the record while the pool is
    /// overloaded, so that readers can tell that it is current.
    pub clock_s: u64,
    /// Expected work of the tasks that ended in the last seconds per time, in
    /// thousandths of a core.
    pub ended_millicores: u64,
    /// Most unused processors on one worker, in thousandths of a core.
    pub free_millicores: u64,
    /// Largest amount of each resource on one worker.
    pub largest_worker: Resources,
    /// Averages by which declared durations are corrected.
    pub queues: Vec<QueueMeans>,
    /// Accounts with waiting or running work.
    pub accounts: Vec<AccountId>,
    /// Waiting work that can still be useful. Work that is left out makes waits
    /// look shorter.
    pub waiting: Vec<WaitingWork>,
}

/// Averages of one queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueMeans {
    /// The queue.
    pub queue: QueueId,
    /// Mean duration of a task, in milliseconds; none before the first end.
    pub task_ms: Option<u64>,
    /// Mean declared work of a job, in core-milliseconds.
    pub work_core_ms: Option<u64>,
}

/// Waiting work of similar jobs of one account and priority. Times count from
/// the writing of the summary and are rounded down.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WaitingWork {
    /// Account of the jobs; none for public work.
    pub account: Option<AccountId>,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Upper bound of the jobs' work per unit of value, in core-milliseconds.
    pub cost_core_ms: u64,
    /// Upper bound of the processors of one task, in thousandths of a core.
    pub task_millicores: u64,
    /// Time for which the jobs can still meet their objective if they start, in
    /// milliseconds.
    pub timely_ms: u64,
    /// Time for which the jobs can still be useful if they start, in
    /// milliseconds.
    pub useful_ms: u64,
    /// Expected work of the waiting tasks, in core-milliseconds.
    pub core_ms: u64,
}

/// Resource demand of a pool's work, as estimated by its controller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Rate of arriving work, in thousandths of a core.
    pub arriving_millicores: u64,
    /// Work that was accepted and not started yet, and that can end while its
    /// callers still benefit, in core-milliseconds.
    pub backlog_core_ms: u64,
    /// Other work that was accepted and not started yet, in core-milliseconds.
    pub overdue_core_ms: u64,
    /// Processors of long-running tasks, in thousandths of a core.
    pub lasting_millicores: u64,
    /// Workers without any runs.
    pub idle: Vec<WorkerId>,
    /// Some of the workers whose runs all end by themselves, those with the
    /// least to end first.
    pub ending: Vec<WorkerId>,
}

/// Value of `members/<entry>`: a running process that can carry calls for
/// others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address at which it accepts links of controllers.
    pub address: SocketAddr,
    /// Processors of its host, in thousandths of a core.
    pub millicores: u32,
    /// Data centre of its host.
    pub data_centre: DataCentreId,
}

/// Value of `control/handover/<scope>`: a host with more processors asks the
/// holder to hand over the scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRequest {
    /// Entry host that asks.
    pub asker: EntryId,
    /// Term of the holder that is asked; holders of later terms ignore the
    /// request.
    pub term: Term,
}

/// Value of `fleet/vacate/<worker>`: asks the pool's controller to vacate the
/// worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VacateRequest {
    /// What the host is needed for.
    pub reason: VacateReason,
}

/// Why a worker is vacated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VacateReason {
    /// Maintenance in a wave.
    Wave(WaveNumber),
    /// A move to another pool.
    Move,
}

/// Value of `fleet/vacated/<worker>`: confirms that nothing runs on the worker
/// and nothing will be started there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vacancy {
    /// The worker.
    pub worker: WorkerId,
    /// Term of the controller that vacated it.
    pub term: Term,
}

/// Value of `balance/state`: what a successor needs to know of pools and
/// surges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalanceRecord {
    /// Hosts of each pool before any move.
    pub first_sizes: Vec<(PoolId, u32)>,
    /// Latest observed surge of each pool.
    pub surges: Vec<SurgeRecord>,
    /// Time between the starts of the last two surges, in milliseconds.
    pub turn_ms: Option<u64>,
}

/// The latest surge of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurgeRecord {
    /// The pool.
    pub pool: PoolId,
    /// When it began, in milliseconds since 1970.
    pub began_unix_ms: u64,
    /// Its largest demand, in thousandths of a core.
    pub peak_millicores: u64,
    /// The end of a surge of the pool was observed, so the peak is a measured
    /// one.
    pub is_measured: bool,
}

impl JobRecord {
    /// Returns the store key of a job's record.
    pub fn key(pool: &str, job: JobNumber) -> Box<str> {
        format!("jobs/{pool}/{job}").into()
    }
}
