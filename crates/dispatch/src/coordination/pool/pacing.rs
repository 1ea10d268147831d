//! Throttling of best-effort tasks, which use the spare capacity beside tasks
//! that serve users.
//!
//! Load pattern: nearly all workers serve users, and their spare capacity
//! varies within seconds. Best-effort tasks go to workers that serve no users
//! as long as there are any. Elsewhere they begin at a low pace, slow down as
//! soon as the tail latency approaches its goal, and speed up while it is far
//! below.

use super::{
    engine::{PoolEngine, contact},
    events::{Order, OrderTarget, PollReport, PoolAction, WorkerKey},
    task::{RunPhase, TaskRef},
};

/// Tail latency in percent of its goal from which best-effort tasks slow down;
/// below 100 because the tail is a rough figure for the last half second.
const SLOW_DOWN_PERCENT: u64 = 80;
/// Tail latency in percent of its goal below which they speed up.
const SPEED_UP_PERCENT: u64 = 55;
/// Pace at which they begin beside tasks that serve users, in percent.
const FIRST_PERCENT: u8 = 20;
/// Increase of the pace in one step, in percentage points.
const GAIN_PERCENT: u8 = 10;
/// Time between two decreases, in milliseconds: the tail covers half a second,
/// and a new pace takes effect 100 ms after its order.
const SLOW_DOWN_INTERVAL_MS: u64 = 600;
/// Time between two increases, in milliseconds: twice as long, so that a rise
/// of the load is seen before the pace has grown much.
const SPEED_UP_INTERVAL_MS: u64 = 1_200;

/// Pace of one run, in percent of its full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pace {
    pub(super) percent: u8,
    changed_ms: u64,
}

impl Pace {
    pub(super) fn new(percent: u8, changed_ms: u64) -> Self {
        Self { percent, changed_ms }
    }

    /// Returns the next pace of a run; `tail_percent` is the worst tail latency
    /// on the worker in percent of its goal, none if no task there serves
    /// users.
    pub(super) fn next(
        current: Option<Self>,
        now_ms: u64,
        tail_percent: Option<u64>,
    ) -> Option<Self> {
        let changed = |percent| Some(Self::new(percent, now_ms));
        let Some(tail_percent) = tail_percent else {
            // A run that was never throttled already has the full pace.
            return current.and_then(|_| changed(100));
        };
        let Some(current) = current else { return changed(FIRST_PERCENT) };
        let since_ms = now_ms.saturating_sub(current.changed_ms);
        if tail_percent >= SLOW_DOWN_PERCENT && since_ms >= SLOW_DOWN_INTERVAL_MS {
            changed(current.percent / 2)
        } else if tail_percent < SPEED_UP_PERCENT && since_ms >= SPEED_UP_INTERVAL_MS {
            changed((current.percent + GAIN_PERCENT).min(100))
        } else {
            Some(current)
        }
    }
}

impl PoolEngine {
    /// Adjusts the pace of the best-effort tasks on a worker after a poll.
    pub(super) fn pace_best_effort(&mut self, now_ms: u64, key: WorkerKey, report: &PollReport) {
        let Some(worker) = self.workers.get(key) else { return };
        let best_effort: Vec<(TaskRef, _)> = (worker.runs.iter())
            .filter(|(task, _)| self.job_table.spec(**task).is_some_and(|spec| spec.uses_leftover))
            .map(|(&task, &(number, _))| (task, number))
            .collect();
        if best_effort.is_empty() {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.is_shared = false;
            }
            return;
        }
        let tails = report.running.iter().filter_map(|running| {
            let spec = self.job_table.spec(self.job_table.resolve(running.task)?)?;
            let goal_ms = u64::from(spec.tail_goal_ms?).max(1);
            Some(u64::from(running.gauge) * 100 / goal_ms)
        });
        let tail_percent = tails.max();
        let contact = contact(key, worker, self.control.term);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.is_shared = tail_percent.is_some();
        }
        for (task, number) in best_effort {
            let Some(address) = self.job_table.address(task) else { continue };
            let run = self.job_table.task_mut(task).and_then(|task| task.run_mut(key, number));
            let Some(run) = run else { continue };
            if !matches!(run.phase, RunPhase::Running { .. }) {
                continue;
            }
            let next = Pace::next(run.pace, now_ms, tail_percent);
            let is_changed = next.map(|pace| pace.percent) != run.pace.map(|pace| pace.percent);
            run.pace = next;
            if let Some(pace) = next.filter(|_| is_changed) {
                log::info!(task:display = address, run:display = number, percent = pace.percent,
                    tail_percent:? = tail_percent, worker = contact.worker.as_str();
                    "pace of a best-effort task changed");
                let target = OrderTarget { worker: key, task: address, run: number };
                let (contact, order) = (contact.clone(), Order::Pace(pace.percent));
                self.actions.push(PoolAction::Order { contact, target, order });
            }
        }
    }
}
