//! Status of jobs for operators.

use super::{
    engine::JobEngine,
    state::{Job, JobPhase},
};
use crate::state::ids::{HostId, JobId, TeamId};

impl JobEngine {
    /// Returns the team that a job belongs to.
    pub fn team_of(&self, job: &JobId) -> Option<&TeamId> {
        self.find(job).map(|job| &job.spec.team)
    }

    /// Describes the state of a job and what it waits for.
    pub fn explain(&self, job: &JobId) -> Option<Box<str>> {
        let found = self.find(job)?;
        let host = |worker: u32| match self.workers.get(worker as usize) {
            Some(worker) => worker.listed.host.to_string(),
            None => "an unknown worker".to_owned(),
        };
        let text = match &found.phase {
            JobPhase::Writing => "waits until its record is in the store".to_owned(),
            JobPhase::Recovering { .. } => {
                "waits until the lease of the previous controller has expired".to_owned()
            }
            JobPhase::Queued if found.reported_impossible => {
                "fits on no worker; declare less or restore workers".to_owned()
            }
            JobPhase::Queued => "waits for a worker or for its team's quota".to_owned(),
            JobPhase::AwaitingEvictions { worker, remaining } => {
                format!(
                    "waits until {remaining} less urgent tasks are evicted from {}",
                    host(*worker)
                )
            }
            JobPhase::Starting { worker } => format!("starts on {}", host(*worker)),
            JobPhase::Running { worker, .. } => format!("runs on {}", host(*worker)),
            JobPhase::Evicting { worker, .. } => {
                format!("is evicted from {} for a more urgent job", host(*worker))
            }
        };
        let overdue = if found.reported_overdue { "; it is overdue" } else { "" };
        Some(format!("{text} (attempt {}){overdue}", found.attempt).into())
    }

    /// Returns the hosts that have tasks, for polling.
    pub fn busy_hosts(&self) -> impl Iterator<Item = &HostId> {
        self.workers.iter().filter(|w| !w.tasks.is_empty()).map(|worker| &worker.listed.host)
    }

    fn find(&self, job: &JobId) -> Option<&Job> {
        self.jobs.get(*self.keys_by_job.get(job)?)
    }
}
