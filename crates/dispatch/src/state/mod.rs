//! Data types of the dispatcher: jobs, stored records, the served
//! configuration, workers and maintenance waves.

mod account;
mod ids;
mod job;
mod queue;
mod record;
mod serving;
mod share;
mod wave;
mod worker;

pub use self::{
    account::{AccountSettings, Accounts, CallerKey, KeyDigest, KeyHasher},
    ids::{JobNumber, JobNumberError, RunNumber, TaskAddress},
    job::{InvalidJob, JobSpec, STEPS_MAX, Schedule, StepSpec, TASKS_MAX},
    queue::{QueueRecord, StoredPolicy},
    record::{
        BalanceRecord, CrashRecord, Demand, HandoverRequest, JobOutcome, JobRecord, JobState,
        MemberRecord, Overload, PoolLoad, ProgressRecord, QueueMeans, RecordError, Roster,
        RosterEntry, StepProgress, Summary, SurgeRecord, TaskProgress, Vacancy, VacateReason,
        VacateRequest, WaitingWork, decode, decode_progress, encode,
    },
    serving::{AdviceSettings, CallerLimits, PoolSettings, QueueSettings, ServingDocument},
    share::{AccountShare, ShareRecord},
    wave::{WaveNumber, WaveRecord, WaveRequest, WaveState},
    worker::{Registration, WorkerEntry},
};
