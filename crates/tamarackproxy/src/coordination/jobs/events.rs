//! Events and actions of the job engine.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::resources::Resources;
use crate::{
    protocol::store::{StoreError, StoreReply, StoreRequest},
    state::{
        document::Urgency,
        ids::{CallId, DataCentreId, HostId, JobId, RackId, RequestId, TeamId, Term},
    },
};

/// Identifier of a call to a worker, unique within the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerCallId(pub u64);

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name of the job, unique in its pool.
    pub job: JobId,
    /// Team whose quota the job uses.
    pub team: TeamId,
    /// Application of the job. Jobs of one application are spread over racks,
    /// and their resource use is estimated together.
    pub application: Box<str>,
    /// Resources that the submitter declares.
    pub declared: Resources,
    /// Expected run time, in milliseconds.
    pub expected_run_ms: u64,
    /// Urgency class.
    pub urgency: Urgency,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Whether the job can save a checkpoint and resume from it.
    pub checkpoints: bool,
    /// Time by which the job must have ended, in milliseconds since the Unix
    /// epoch.
    pub due_unix_ms: Option<u64>,
}

/// A worker as the inventory lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedWorker {
    /// Host of the worker.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Rack of the host, unique within its data centre.
    pub rack: RackId,
    /// Total processors, memory and accelerators.
    pub total: Resources,
    /// Whether the worker takes new tasks; false while its host drains.
    pub accepts_tasks: bool,
}

/// Quota of a team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamQuota {
    /// The team.
    pub team: TeamId,
    /// Resources that all running jobs of the team may use together.
    pub quota: Resources,
}

/// Measured resource use of one task; reports lag behind the actual use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The job.
    pub job: JobId,
    /// Attempt that was measured.
    pub attempt: u32,
    /// Peak use in the measured interval.
    pub used: Resources,
    /// Run time of the attempt at the time of the measurement, in milliseconds.
    pub ran_ms: u64,
}

/// Result of a call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// The worker carried out the command.
    Done,
    /// The worker refused and did nothing.
    Refused,
    /// No reply arrived; the worker may have carried out the command.
    Unknown,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// The task completed.
    Succeeded,
    /// The task failed.
    Failed,
    /// The worker ran out of memory for the task.
    OutOfMemory,
    /// The task was stopped after its checkpoint was saved.
    Checkpointed,
    /// The task was stopped without a checkpoint.
    Stopped,
}

/// Inputs of the job engine.
#[derive(Clone, Debug, PartialEq)]
pub enum JobsEvent {
    /// This entry host acquired the control lease of the pool's jobs, or lost
    /// it (`None`).
    ControlChanged { term: Option<Term> },
    /// The complete inventory of the pool.
    WorkersListed { workers: Vec<ListedWorker> },
    /// The quotas of all teams.
    TeamsChanged { teams: Vec<TeamQuota> },
    /// A team submits a job.
    Submitted { request: RequestId, spec: JobSpec },
    /// Jobs are cancelled; a mass cancellation arrives as one event.
    Cancelled { jobs: Vec<JobId> },
    /// A call to a worker returned or timed out.
    WorkerReplied { call: WorkerCallId, reply: WorkerReply },
    /// A task ended on its worker.
    TaskEnded { host: HostId, job: JobId, attempt: u32, end: TaskEnd },
    /// A worker reported the resource use of its tasks.
    UsageReported { host: HostId, reports: Vec<UsageReport> },
    /// A call to the store returned or timed out.
    StoreReplied { call: CallId, result: Result<StoreReply, StoreError> },
    /// A timer may be due.
    Tick,
}

/// Commands to a worker, idempotent by job and attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Starts a task, which ends when the worker's lease expires at the latest.
    Start { job: JobId, attempt: u32, size: Resources, lease_ms: u64, from_checkpoint: bool },
    /// Limits the processors of a task.
    Throttle { job: JobId, attempt: u32, cpu_millicores: u64 },
    /// Saves a checkpoint of a task and stops it.
    Checkpoint { job: JobId, attempt: u32 },
    /// Stops a task.
    Stop { job: JobId, attempt: u32 },
    /// Renews the lease of all tasks that this controller has on the worker.
    RenewLease { lease_ms: u64 },
}

/// Reasons for refusing a job; the message names the remedy.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum JobRefusal {
    /// this entry host does not control the pool's jobs; repeat the submission
    NotController,
    /// a job with this name already exists; choose another name
    NameTaken,
    /// the team has no quota for jobs; ask an administrator for one
    NoQuota,
    /// the declared size exceeds the team's whole quota; declare less or raise the quota
    AboveQuota,
    /// the declared size is empty; declare at least one processor or accelerator
    EmptySize,
    /// no worker of the pool is large enough; declare less or split the job
    NoWorkerLargeEnough,
    /// the pool holds the maximum number of jobs; submit again later
    Full,
    /// the platform's store is unavailable, so the job may or may not have been saved; submit it again under the same name
    StoreUnavailable,
}

/// Final outcome of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobOutcome {
    /// the job completed
    Succeeded,
    /// the job was cancelled
    Cancelled,
    /// the job failed on several healthy workers, or failed and may not be repeated; inspect it
    Faulty,
    /// the worker was lost and the job may not be repeated; find out how far it got
    Unknown,
}

/// Conditions reported to operators.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum JobsReport {
    /// job {job} cannot finish by its due time; {running} of 1 attempts running
    Overdue { job: JobId, running: u8 },
    /// job {job} no longer fits on any worker; declare less or restore workers
    Impossible { job: JobId },
    /// worker {host} failed tasks of several applications and is quarantined for {retry_ms} ms
    Quarantined { host: HostId, retry_ms: u64 },
    /// worker {host} completed a probe task and left quarantine
    Readmitted { host: HostId },
    /// worker {host} failed every probe task and stays in quarantine; repair it and list it again
    GivenUp { host: HostId },
    /// worker {host} fails tasks, but the limit of quarantined workers is reached; look for a common cause
    QuarantineFull { host: HostId },
    /// another controller has written the job records; this controller stops
    Fenced,
}

/// Actions that the owner of the engine carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum JobsAction {
    /// The job was saved durably and is accepted.
    Accepted { request: RequestId },
    /// The submission is refused.
    Refused { request: RequestId, refusal: JobRefusal },
    /// A job ended.
    Ended { job: JobId, outcome: JobOutcome },
    /// Calls a worker.
    Worker { call: WorkerCallId, host: HostId, command: WorkerCommand },
    /// Calls the store.
    Store { call: CallId, request: StoreRequest },
    /// Reports a condition.
    Report { report: JobsReport },
}
