//! Permissions of queues whose policy allows only some workers to run a step.

use hashbrown::HashMap;

use super::{events::WorkerKey, task::TaskRef};

/// Workers named in one question: the policy service takes time for each.
pub(super) const WORKERS_PER_QUESTION: usize = 30;
/// Questions under way at once; the service handles one at a time for each
/// entry host and refuses when 32 wait.
const QUESTIONS_MAX: usize = 4;
/// Delay before a question is asked again that was not answered, in
/// milliseconds.
const RETRY_MS: u64 = 300;
/// Time before its end at which a permission is no longer used, in
/// milliseconds: the start has to arrive within it.
const MARGIN_MS: u64 = 300;

/// Answer for one life of a worker.
#[derive(Clone, Debug)]
enum Permission {
    /// It may run the step until then, on the own clock.
    Granted { ticket: Box<str>, until_ms: u64 },
    /// It may not; this does not change.
    Denied,
}

#[derive(Clone, Debug, Default)]
struct StepAdvice {
    workers: HashMap<WorkerKey, Permission>,
    is_asked: bool,
    next_question_ms: u64,
}

/// What the policy service has said.
#[derive(Debug, Default)]
pub(super) struct Advice {
    steps: HashMap<TaskRef, StepAdvice>,
    under_way: usize,
}

/// Names the step that a task is part of.
fn step_of(task: TaskRef) -> TaskRef {
    TaskRef { index: 0, ..task }
}

impl Advice {
    /// Returns the permission to start a task on a worker.
    pub(super) fn ticket(&self, now_ms: u64, task: TaskRef, worker: WorkerKey) -> Option<&str> {
        match self.steps.get(&step_of(task))?.workers.get(&worker)? {
            Permission::Granted { ticket, until_ms } if now_ms < *until_ms => Some(ticket),
            _ => None,
        }
    }

    /// Tells whether a worker is worth a question for a step.
    pub(super) fn is_open(&self, now_ms: u64, task: TaskRef, worker: WorkerKey) -> bool {
        let known = self.steps.get(&step_of(task)).and_then(|step| step.workers.get(&worker));
        match known {
            None => true,
            Some(Permission::Granted { until_ms, .. }) => now_ms >= *until_ms,
            Some(Permission::Denied) => false,
        }
    }

    /// Notes a question; false if none may be asked now.
    pub(super) fn ask(&mut self, now_ms: u64, task: TaskRef) -> bool {
        let step = self.steps.entry(step_of(task)).or_default();
        if step.is_asked || now_ms < step.next_question_ms || self.under_way >= QUESTIONS_MAX {
            return false;
        }
        step.is_asked = true;
        self.under_way += 1;
        true
    }

    /// Takes in an answer for the workers that were named; none if there was no
    /// answer.
    pub(super) fn on_answer<I>(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        valid_ms: u64,
        answers: Option<I>,
    ) where
        I: IntoIterator<Item = (WorkerKey, Option<Box<str>>)>,
    {
        self.under_way = self.under_way.saturating_sub(1);
        let Some(step) = self.steps.get_mut(&step_of(task)) else { return };
        step.is_asked = false;
        let Some(answers) = answers else {
            step.next_question_ms = now_ms + RETRY_MS;
            return;
        };
        let until_ms = (now_ms + valid_ms).saturating_sub(MARGIN_MS);
        step.workers.extend(answers.into_iter().map(|(worker, ticket)| {
            let granted = ticket.map(|ticket| Permission::Granted { ticket, until_ms });
            (worker, granted.unwrap_or(Permission::Denied))
        }));
    }

    /// Drops a permission that a worker did not accept.
    pub(super) fn on_refused(&mut self, task: TaskRef, worker: WorkerKey) {
        if let Some(step) = self.steps.get_mut(&step_of(task)) {
            step.workers.remove(&worker);
        }
    }

    /// Forgets the steps of jobs that are gone.
    pub(super) fn retain<F>(&mut self, is_live: F)
    where
        F: Fn(TaskRef) -> bool,
    {
        self.steps.retain(|&step, advice| advice.is_asked || is_live(step));
    }
}
