//! Baseline scheduler: first fit in order of urgency, without preemption, size
//! correction, quotas, leases and quarantine.

use std::collections::{HashMap, VecDeque};

use tamarackproxy::{
    coordination::jobs::{
        JobOutcome, JobRefusal, JobSpec, JobsAction, JobsEvent, ListedWorker, Resources, TaskEnd,
        WorkerCallId, WorkerCommand,
    },
    state::{document::Urgency, ids::JobId},
};

/// Maximum number of attempts of a job.
const ATTEMPTS_MAX: u32 = 8;

/// First-fit scheduler over an unsorted list of workers.
#[derive(Debug, Default)]
pub struct FirstFit {
    workers: Vec<(ListedWorker, Resources)>,
    queues: [VecDeque<JobId>; 3],
    jobs: HashMap<JobId, (JobSpec, u32, Option<usize>)>,
    last_call: u64,
}

impl FirstFit {
    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, event: JobsEvent, actions: &mut Vec<JobsAction>) {
        match event {
            JobsEvent::WorkersListed { workers } => {
                self.workers = workers.into_iter().map(|w| (w, Resources::default())).collect();
            }
            JobsEvent::Submitted { request, spec } => {
                let fits =
                    |(listed, _): &(ListedWorker, Resources)| spec.declared.fits_in(&listed.total);
                if !self.workers.iter().any(fits) {
                    let refusal = JobRefusal::NoWorkerLargeEnough;
                    return actions.push(JobsAction::Refused { request, refusal });
                }
                actions.push(JobsAction::Accepted { request });
                self.queues[urgency_class(spec.urgency)].push_back(spec.job.clone());
                self.jobs.insert(spec.job.clone(), (spec, 0, None));
            }
            JobsEvent::Cancelled { jobs } => jobs.iter().for_each(|job| self.cancel(job, actions)),
            JobsEvent::TaskEnded { job, end, .. } => self.on_ended(&job, end, actions),
            _ => return,
        }
        self.place(actions);
    }

    fn cancel(&mut self, job: &JobId, actions: &mut Vec<JobsAction>) {
        match self.jobs.get(job) {
            Some((_, attempt, Some(worker))) => {
                let command = WorkerCommand::Stop { job: job.clone(), attempt: *attempt };
                self.call(*worker, command, actions);
            }
            Some(_) => {
                self.jobs.remove(job);
            }
            None => {}
        }
    }

    fn call(&mut self, worker: usize, command: WorkerCommand, actions: &mut Vec<JobsAction>) {
        self.last_call += 1;
        let host = self.workers[worker].0.host.clone();
        actions.push(JobsAction::Worker { call: WorkerCallId(self.last_call), host, command });
    }

    fn on_ended(&mut self, job: &JobId, end: TaskEnd, actions: &mut Vec<JobsAction>) {
        let Some((spec, attempt, worker)) = self.jobs.get_mut(job) else { return };
        if let Some(worker) = worker.take() {
            self.workers[worker].1 = self.workers[worker].1.minus(&spec.declared);
        }
        let failed = matches!(end, TaskEnd::Failed | TaskEnd::OutOfMemory);
        if failed && spec.repeatable && *attempt < ATTEMPTS_MAX {
            let queue = urgency_class(spec.urgency);
            self.queues[queue].push_front(job.clone());
        } else {
            self.jobs.remove(job);
            actions.push(JobsAction::Ended { job: job.clone(), outcome: JobOutcome::Succeeded });
        }
    }

    fn place(&mut self, actions: &mut Vec<JobsAction>) {
        for queue in 0..3 {
            while let Some(job) = self.queues[queue].front().cloned() {
                let Some((spec, attempt, worker)) = self.jobs.get_mut(&job) else {
                    self.queues[queue].pop_front();
                    continue;
                };
                let size = spec.declared;
                let fits = |(listed, used): &(ListedWorker, Resources)| {
                    size.fits_in(&listed.total.minus(used))
                };
                let Some(number) = self.workers.iter().position(fits) else { break };
                self.queues[queue].pop_front();
                *attempt += 1;
                *worker = Some(number);
                let attempt = *attempt;
                self.workers[number].1 = self.workers[number].1.plus(&size);
                let lease_ms = u64::MAX;
                let command =
                    WorkerCommand::Start { job, attempt, size, lease_ms, from_checkpoint: false };
                self.call(number, command, actions);
            }
        }
    }
}

fn urgency_class(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Bulk => 2,
    }
}
