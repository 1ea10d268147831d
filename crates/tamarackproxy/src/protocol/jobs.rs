//! Jobs between operators, entry hosts and workers.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::jobs::JobSpec,
    state::ids::{EntryId, JobId, PoolId, TeamId},
};

/// What an operator asks of a pool's jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRequest {
    /// Submits a job.
    Submit(JobSpec),
    /// Cancels a job of the team.
    Cancel {
        /// The job.
        job: JobId,
        /// Team on whose behalf it is cancelled.
        team: TeamId,
    },
    /// Tells why a job waits.
    Explain(JobId),
}

/// Messages between entry hosts about jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobsMessage {
    /// Passes a request on to the controller of the pool's jobs.
    Request {
        /// Entry host that an operator asked.
        origin: EntryId,
        /// Number of the call there.
        call: u64,
        /// Entry hosts that passed it on.
        hops: u8,
        /// The pool.
        pool: PoolId,
        /// What is asked.
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
