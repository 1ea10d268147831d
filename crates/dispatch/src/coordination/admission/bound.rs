//! Lower bound of the time at which a new job can start.
//!
//! Load pattern: in a surge, waiting jobs pass from one band of the order to the
//! next. A new job that can still meet its objective passes those that cannot,
//! so work goes before it only as long as it is in no later band than the job.

use crate::state::WaitingWork;

/// Work that goes before a new job while its band allows that.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    timely_ms: f64,
    useful_ms: f64,
    core_ms: f64,
}

/// A new job, and the pool that serves the work before it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Contest {
    /// Expected work that the pool completes per time, in cores.
    pub(super) cores: f64,
    /// Priority of the new job's queue.
    pub(super) priority: u32,
    /// Work of the new job per unit of value, in core-milliseconds.
    pub(super) cost_core_ms: u64,
    /// Processors of its largest task, in thousandths of a core. Larger tasks do
    /// not certainly go before it, since its tasks fit into smaller gaps.
    pub(super) task_millicores: u64,
    /// When the new job arrives, in milliseconds from the writing of the
    /// summary.
    pub(super) arrives_ms: u64,
    /// Time after its arrival until which it can meet its objective, in
    /// milliseconds.
    pub(super) timely_ms: u64,
}

impl Contest {
    fn goes_before(&self, work: &WaitingWork) -> bool {
        (work.priority, work.cost_core_ms) <= (self.priority, self.cost_core_ms)
            && work.task_millicores <= self.task_millicores
    }

    /// Returns the earliest time at which the job can start, in milliseconds from
    /// the writing of the summary.
    ///
    /// The pool is followed as if it did nothing but the work that goes before
    /// the job, in its order and without pauses.
    pub(super) fn start_ms<'a, I>(&self, waiting: I) -> f64
    where
        I: IntoIterator<Item = &'a WaitingWork>,
    {
        let mut before: Vec<_> =
            waiting.into_iter().filter(|work| self.goes_before(work)).collect();
        before.sort_unstable_by_key(|work| (work.priority, work.cost_core_ms));
        let mut ahead: Vec<Ahead> = (before.into_iter())
            .map(|work| Ahead {
                timely_ms: work.timely_ms as f64,
                useful_ms: work.useful_ms as f64,
                core_ms: work.core_ms as f64,
            })
            .collect();
        let arrives_ms = self.arrives_ms as f64;
        let timely_until_ms = arrives_ms + self.timely_ms as f64;
        // While the job can meet its objective, only work that can do so too
        // goes before it.
        let mut now_ms = 0.0;
        for work in &mut ahead {
            now_ms = self.serve(work, now_ms, work.timely_ms.min(timely_until_ms));
        }
        if now_ms < timely_until_ms {
            return now_ms.max(arrives_ms);
        }
        for work in &mut ahead {
            now_ms = self.serve(work, now_ms, work.useful_ms);
        }
        now_ms
    }

    /// Serves work until it is done or `until_ms`; returns the time after that.
    fn serve(&self, work: &mut Ahead, now_ms: f64, until_ms: f64) -> f64 {
        let served_ms = (work.core_ms / self.cores).min(until_ms - now_ms).max(0.0);
        work.core_ms -= served_ms * self.cores;
        now_ms + served_ms
    }
}
