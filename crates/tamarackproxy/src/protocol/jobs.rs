//! Operators' requests about jobs, and the messages that route them between entry
//! hosts.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::jobs::JobSpec,
    state::ids::{EntryId, JobId, PoolId, TeamId},
};

/// An operator's request about the jobs of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRequest {
    /// Submits a job.
    Submit(JobSpec),
    /// Cancels a job of the team.
    Cancel {
        job: JobId,
        /// Team on whose behalf it is cancelled.
        team: TeamId,
    },
    /// Explains what a job is waiting for.
    Explain(JobId),
}

/// Messages between entry hosts about jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobsMessage {
    /// Passes a request on to the controller of the pool's jobs.
    Request {
        /// Entry host that received the request from the operator.
        origin: EntryId,
        /// Number of the call at `origin`.
        call: u64,
        /// Number of times that the request was passed on.
        hops: u8,
        pool: PoolId,
        request: JobRequest,
    },
    /// Answers a request.
    Answer {
        /// Number of the call at the receiver.
        call: u64,
        /// Text for the operator.
        result: Result<Box<str>, Box<str>>,
    },
}
