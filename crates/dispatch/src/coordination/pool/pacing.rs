//! Pace of tasks that use leftover capacity beside tasks that serve users.
//!
//! Load pattern: nearly all workers serve, and what they leave unused swings
//! within seconds. Leftover tasks go to workers that do not serve as long as
//! there are any. Elsewhere they begin slowly, slow down as soon as the tail of
//! response times nears its goal, and speed up while it is far below.

use super::{
    engine::{PoolEngine, contact},
    events::{Order, OrderTarget, PollReport, PoolAction, WorkerKey},
    task::{RunPhase, TaskRef},
};

/// Tail in percent of its goal from which leftover tasks slow down: the tail is
/// a rough figure for the last half second.
const SLOW_DOWN_PERCENT: u64 = 80;
/// Tail in percent of its goal below which they speed up.
const SPEED_UP_PERCENT: u64 = 55;
/// Pace at which they begin beside tasks that serve, in percent.
const FIRST_PERCENT: u8 = 20;
/// Part of their pace that they gain at once, in percent points.
const GAIN_PERCENT: u8 = 10;
/// Time between two steps down, in milliseconds: the tail covers half a second,
/// and a pace holds 100 ms after its order.
const SLOW_DOWN_INTERVAL_MS: u64 = 600;
/// Time between two steps up, in milliseconds: twice as long, so that a swing
/// of the load is seen before the pace has grown much.
const SPEED_UP_INTERVAL_MS: u64 = 1_200;

/// Pace of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pace {
    pub(super) percent: u8,
    changed_ms: u64,
}

impl Pace {
    pub(super) fn new(percent: u8, changed_ms: u64) -> Self {
        Self { percent, changed_ms }
    }

    /// Chooses the pace of a run that had `current`; `tail_percent` is the worst
    /// tail on the worker in percent of its goal, none if nothing serves there.
    pub(super) fn next(
        current: Option<Self>,
        now_ms: u64,
        tail_percent: Option<u64>,
    ) -> Option<Self> {
        let changed = |percent| Some(Self::new(percent, now_ms));
        let Some(tail_percent) = tail_percent else {
            // A run that was never slowed down has the full pace.
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
    /// Sets the pace of leftover tasks on a worker after its list.
    pub(super) fn pace_leftover(&mut self, now_ms: u64, key: WorkerKey, report: &PollReport) {
        let Some(worker) = self.workers.get(key) else { return };
        let leftover: Vec<(TaskRef, _)> = (worker.runs.iter())
            .filter(|(task, _)| self.ledger.spec(**task).is_some_and(|spec| spec.uses_leftover))
            .map(|(&task, &(number, _))| (task, number))
            .collect();
        let tails = report.running.iter().filter_map(|running| {
            let spec = self.ledger.spec(self.ledger.resolve(running.task)?)?;
            let goal_ms = u64::from(spec.tail_goal_ms?).max(1);
            Some(u64::from(running.gauge) * 100 / goal_ms)
        });
        let tail_percent = tails.max();
        let contact = contact(key, worker, self.control.term);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.is_shared = tail_percent.is_some() && !leftover.is_empty();
        }
        for (task, number) in leftover {
            let Some(address) = self.ledger.address(task) else { continue };
            let run = self.ledger.task_mut(task).and_then(|task| task.run_mut(key, number));
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
                    "pace of a leftover task changed");
                let target = OrderTarget { worker: key, task: address, run: number };
                let (contact, order) = (contact.clone(), Order::Pace(pace.percent));
                self.actions.push(PoolAction::Order { contact, target, order });
            }
        }
    }
}
