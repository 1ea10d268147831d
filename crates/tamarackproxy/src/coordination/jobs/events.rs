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

/// Number of a call to a worker within one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerCallId(pub u64);

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name of the job, unique in its pool.
    pub job: JobId,
    /// Team that it is charged to.
    pub team: TeamId,
    /// Application that it belongs to; its jobs are spread over racks and
    /// their sizes are learnt together.
    pub application: Box<str>,
    /// Declared size.
    pub declared: Resources,
    /// Expected run time, in milliseconds.
    pub expected_run_ms: u64,
    /// How soon it should start.
    pub urgency: Urgency,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether its state can be saved and run on from there.
    pub checkpoints: bool,
    /// When it must have ended, in milliseconds since the Unix epoch.
    pub due_unix_ms: Option<u64>,
}

/// A worker as the inventory lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedWorker {
    /// The host.
    pub host: HostId,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Rack that it stands in.
    pub rack: RackId,
    /// Its processors, memory and accelerators.
    pub total: Resources,
    /// Whether it takes new tasks; false while its host drains.
    pub accepts_tasks: bool,
}

/// Quota of a team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamQuota {
    /// The team.
    pub team: TeamId,
    /// What its running jobs may use together.
    pub quota: Resources,
}

/// A measured use of one task; it lags behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The job.
    pub job: JobId,
    /// Attempt that was measured.
    pub attempt: u32,
    /// Highest use in the measured interval.
    pub used: Resources,
    /// Run time of the attempt at the measurement, in milliseconds.
    pub ran_ms: u64,
}

/// How a call to a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// The worker did it.
    Done,
    /// The worker refused and did nothing.
    Refused,
    /// There was no reply; the worker may have done it.
    Unknown,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It finished its work.
    Succeeded,
    /// It failed.
    Failed,
    /// Its worker had no memory left for it.
    OutOfMemory,
    /// It was stopped after its state was saved.
    Checkpointed,
    /// It was stopped.
    Stopped,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum JobsEvent {
    /// This entry host holds the control lease of the pool's jobs, or not.
    ControlChanged { term: Option<Term> },
    /// The whole inventory of the pool.
    WorkersListed { workers: Vec<ListedWorker> },
    /// The quotas of all teams.
    TeamsChanged { teams: Vec<TeamQuota> },
    /// A team submits a job.
    Submitted { request: RequestId, spec: JobSpec },
    /// Teams cancel jobs, all waves in one event.
    Cancelled { jobs: Vec<JobId> },
    /// A call to a worker ended.
    WorkerReplied { call: WorkerCallId, reply: WorkerReply },
    /// A task ended on its worker.
    TaskEnded { host: HostId, job: JobId, attempt: u32, end: TaskEnd },
    /// Usage of a worker's tasks was reported.
    UsageReported { host: HostId, reports: Vec<UsageReport> },
    /// A call to the store ended.
    StoreReplied { call: CallId, result: Result<StoreReply, StoreError> },
    /// Time passed.
    Tick,
}

/// What a worker is asked to do. Every command is idempotent by job and
/// attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Starts a task, which ends with the worker's lease at the latest.
    Start { job: JobId, attempt: u32, size: Resources, lease_ms: u64, from_checkpoint: bool },
    /// Limits the processors of a task.
    Throttle { job: JobId, attempt: u32, cpu_millicores: u64 },
    /// Saves the state of a task and stops it.
    Checkpoint { job: JobId, attempt: u32 },
    /// Stops a task.
    Stop { job: JobId, attempt: u32 },
    /// Renews the lease of all tasks of this controller on the worker.
    RenewLease { lease_ms: u64 },
}

/// Why a job is not accepted; the message names the remedy.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum JobRefusal {
    /// this entry host does not control the pool's jobs; repeat the submission
    NotController,
    /// a job of this name exists; choose another name
    NameTaken,
    /// the team has no quota for jobs; ask an administrator for one
    NoQuota,
    /// the declared size exceeds the team's whole quota; declare less or raise the quota
    AboveQuota,
    /// the declared size is empty; declare at least one processor or accelerator
    EmptySize,
    /// no worker of the pool is large enough; declare less or split the job
    NoWorkerLargeEnough,
    /// the pool keeps as many jobs as it can; repeat the submission later
    Full,
    /// the platform's store is unavailable and the job may be kept; submit it again under the same name
    StoreUnavailable,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobOutcome {
    /// the job finished its work
    Succeeded,
    /// the job was cancelled
    Cancelled,
    /// the job failed on several healthy workers, or failed and may not be repeated; inspect it
    Faulty,
    /// the worker was lost and the job may not be repeated; find out what it did
    Unknown,
}

/// Conditions that operators see.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum JobsReport {
    /// job {job} cannot end by the time it is due; {running} of 1 attempts runs
    Overdue { job: JobId, running: u8 },
    /// job {job} fits on no worker any more; declare less or restore workers
    Impossible { job: JobId },
    /// worker {host} failed tasks of several applications and takes none for {retry_ms} ms
    Quarantined { host: HostId, retry_ms: u64 },
    /// worker {host} ran a task again and is out of quarantine
    Readmitted { host: HostId },
    /// worker {host} failed every test and stays in quarantine; repair it and list it again
    GivenUp { host: HostId },
    /// worker {host} should be in quarantine, but too many workers are; look for a common cause
    QuarantineFull { host: HostId },
    /// the jobs' records were written by another controller; this one stops
    Fenced,
}

/// What the owner of the engine does.
#[derive(Clone, Debug, PartialEq)]
pub enum JobsAction {
    /// The job is durable.
    Accepted { request: RequestId },
    /// The job is not accepted.
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
