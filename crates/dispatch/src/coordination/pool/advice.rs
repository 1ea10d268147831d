//! Cache of the policy service's decisions, for queues whose policy permits
//! only some workers to run a step.

use hashbrown::HashMap;

use super::{events::WorkerKey, task::TaskRef};
use crate::state::TaskAddress;

/// Most workers in one query: the policy service takes time for each of them.
pub(super) const WORKERS_PER_QUERY: usize = 30;
/// Most queries in flight at once; the service handles one at a time for each
/// entry host and refuses further ones when 32 wait.
const IN_FLIGHT_MAX: usize = 4;
/// Delay before an unanswered query is sent again, in milliseconds.
const RETRY_MS: u64 = 300;
/// Time before its expiry at which a permission is no longer used, in
/// milliseconds: the start order has to arrive before it expires.
const MARGIN_MS: u64 = 300;

/// Decision about one worker incarnation.
#[derive(Clone, Debug)]
enum Permission {
    /// The worker may run the step until this time, on the local clock.
    Granted { ticket: Box<str>, until_ms: u64 },
    /// The worker may not run the step; this is final.
    Denied,
}

#[derive(Clone, Debug, Default)]
struct StepAdvice {
    workers: HashMap<WorkerKey, Permission>,
    is_query_in_flight: bool,
    next_query_ms: u64,
}

/// Decisions of the policy service, by step and worker.
#[derive(Debug, Default)]
pub(super) struct Advice {
    steps: HashMap<TaskRef, StepAdvice>,
    /// Steps with a query in flight; their jobs may have been removed since.
    in_flight: HashMap<TaskAddress, TaskRef>,
}

/// Returns the key of the step that a task belongs to.
fn step_of(task: TaskRef) -> TaskRef {
    TaskRef { index: 0, ..task }
}

impl Advice {
    /// Returns the ticket that permits a task to start on a worker, if one is
    /// valid.
    pub(super) fn ticket(&self, now_ms: u64, task: TaskRef, worker: WorkerKey) -> Option<&str> {
        match self.steps.get(&step_of(task))?.workers.get(&worker)? {
            Permission::Granted { ticket, until_ms } if now_ms < *until_ms => Some(ticket),
            _ => None,
        }
    }

    /// Returns whether the decision about a worker is unknown or has expired.
    pub(super) fn needs_query(&self, now_ms: u64, task: TaskRef, worker: WorkerKey) -> bool {
        let known = self.steps.get(&step_of(task)).and_then(|step| step.workers.get(&worker));
        match known {
            None => true,
            Some(Permission::Granted { until_ms, .. }) => now_ms >= *until_ms,
            Some(Permission::Denied) => false,
        }
    }

    /// Registers a new query for a step; returns false if none may be sent now.
    pub(super) fn begin_query(&mut self, now_ms: u64, task: TaskRef, address: TaskAddress) -> bool {
        let step = self.steps.entry(step_of(task)).or_default();
        if step.is_query_in_flight
            || now_ms < step.next_query_ms
            || self.in_flight.len() >= IN_FLIGHT_MAX
        {
            return false;
        }
        step.is_query_in_flight = true;
        self.in_flight.insert(address, step_of(task));
        true
    }

    /// Stores the decisions about the queried workers; `answers` is none if the
    /// service did not answer.
    pub(super) fn on_answer<I>(
        &mut self,
        now_ms: u64,
        address: TaskAddress,
        valid_ms: u64,
        answers: Option<I>,
    ) where
        I: IntoIterator<Item = (WorkerKey, Option<Box<str>>)>,
    {
        let Some(task) = self.in_flight.remove(&address) else { return };
        let Some(step) = self.steps.get_mut(&task) else { return };
        step.is_query_in_flight = false;
        let Some(answers) = answers else {
            step.next_query_ms = now_ms + RETRY_MS;
            return;
        };
        let until_ms = (now_ms + valid_ms).saturating_sub(MARGIN_MS);
        step.workers.extend(answers.into_iter().map(|(worker, ticket)| {
            let granted = ticket.map(|ticket| Permission::Granted { ticket, until_ms });
            (worker, granted.unwrap_or(Permission::Denied))
        }));
    }

    /// Drops a ticket that a worker did not accept.
    pub(super) fn on_refused(&mut self, task: TaskRef, worker: WorkerKey) {
        if let Some(step) = self.steps.get_mut(&step_of(task)) {
            step.workers.remove(&worker);
        }
    }

    /// Drops the decisions for steps whose jobs were removed.
    pub(super) fn retain<F>(&mut self, is_live: F)
    where
        F: Fn(TaskRef) -> bool,
    {
        self.steps.retain(|&step, advice| advice.is_query_in_flight || is_live(step));
    }
}
