//! Summary of a pool's waiting jobs and resource demand, for callers and for
//! the balancing of hosts between pools.

use tamarackproxy::state::ids::{QueueId, WorkerId};

use super::{
    engine::PoolEngine,
    job_table::Job,
    placement::REACHABLE_MS,
    workers::{Presence, Worker},
};
use crate::state::{Demand, Registration, Summary};

/// Unit to which reported demand is rounded up, in thousandths of a core and in
/// core-milliseconds.
const ROUNDING: u64 = 16_000;

impl PoolEngine {
    /// Returns the expected work of a job's unstarted tasks, without
    /// long-running ones, in core-milliseconds.
    pub(super) fn batch_work_core_ms(&self, job: &Job) -> f64 {
        let steps = job.spec.steps.iter().enumerate().filter(|(_, spec)| !spec.is_lasting);
        let work = steps.map(|(index, spec)| {
            let occurrence = job.occurrences.values().next_back();
            let state = occurrence.and_then(|occurrence| occurrence.steps.get(index));
            let open = state.map_or(spec.tasks as usize, |step| {
                step.tasks.iter().filter(|task| !task.is_done && task.runs.is_empty()).count()
            });
            let cores = spec.allocation().cpu_millicores as f64 / 1_000.0;
            let expected_ms = self.durations.expected_ms(&job.queue, spec.estimate_ms);
            open as f64 * cores * expected_ms as f64
        });
        work.sum()
    }

    /// Returns the pool's demand, by which hosts are moved between pools.
    /// Figures are rounded, so that small changes cost no write.
    fn demand(&self, now_ms: u64) -> Demand {
        let is_reachable = |worker: &Worker| worker.is_reachable(now_ms, REACHABLE_MS);
        let round = |value: u64, unit: u64| value.div_ceil(unit) * unit;
        let live = || self.job_table.iter().filter(|(_, job)| job.outcome.is_none());
        let backlog_core_ms: f64 = live().map(|(_, job)| self.batch_work_core_ms(job)).sum();
        let lasting = live().flat_map(|(_, job)| &job.spec.steps).filter(|step| step.is_lasting);
        let lasting: u64 =
            lasting.map(|step| u64::from(step.tasks) * step.allocation().cpu_millicores).sum();
        let is_idle = |worker: &&Worker| {
            worker.is_empty()
                && is_reachable(worker)
                && worker.presence == Presence::Registered(Registration::Ready)
                && !worker.is_vacating
        };
        let idle = self.workers.iter().map(|(_, worker)| worker).filter(is_idle);
        let mut idle: Vec<WorkerId> = idle.map(|worker| worker.entry.worker.clone()).collect();
        idle.sort();
        Demand {
            arriving_millicores: round(self.arrivals.millicores(now_ms), ROUNDING),
            backlog_core_ms: round(backlog_core_ms as u64, ROUNDING),
            lasting_millicores: round(lasting, ROUNDING),
            idle,
        }
    }

    pub(super) fn summarize(&mut self, now_ms: u64) {
        if !self.writer.takes_summary(now_ms) {
            return;
        }
        let mut waiting: Vec<(QueueId, u64)> = Vec::new();
        for (_, job) in self.job_table.iter() {
            if job.has_started || job.outcome.is_some() || job.is_scheduled() {
                continue;
            }
            match waiting.iter_mut().find(|(queue, _)| *queue == job.queue) {
                Some((_, count)) => *count += 1,
                None => waiting.push((job.queue.clone(), 1)),
            }
        }
        waiting.sort();
        let demand = self.demand(now_ms);
        self.writer.set_summary(Summary { waiting, demand });
    }
}
