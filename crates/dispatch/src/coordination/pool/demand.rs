//! Summary of a pool's waiting jobs and resource demand, for callers and for
//! the balancing of hosts between pools.

use tamarackproxy::state::ids::{QueueId, WorkerId};

use super::{
    engine::PoolEngine,
    job_table::Job,
    occurrences::Occurrence,
    placement::REACHABLE_MS,
    workers::{Presence, Worker},
};
use crate::state::{Demand, Registration, Summary};

/// Unit to which reported demand is rounded up, in thousandths of a core and in
/// core-milliseconds.
const ROUNDING: u64 = 16_000;
/// Most workers that a report names as ending their runs by themselves.
const ENDING_MAX: usize = 48;

impl PoolEngine {
    /// Returns the expected work of the unstarted tasks of an occurrence, or of one
    /// that is not open yet, without long-running ones, in core-milliseconds.
    pub(super) fn batch_work_core_ms(&self, job: &Job, occurrence: Option<&Occurrence>) -> f64 {
        let steps = job.spec.steps.iter().enumerate().filter(|(_, spec)| !spec.is_lasting);
        let work = steps.map(|(index, spec)| {
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

    /// Returns the processors that a job's long-running tasks need, in
    /// thousandths of a core, without waiting ones that a limit blocks.
    fn lasting_millicores(&self, job: &Job) -> u64 {
        let is_limit_reached = self.is_limit_reached(job);
        let steps = job.occurrences.iter().flat_map(|(_, state)| state.steps.iter());
        let specs = job.spec.steps.iter().cycle();
        let lasting = steps.zip(specs).filter(|(_, spec)| spec.is_lasting);
        let millicores = lasting.map(|(step, spec)| {
            let tasks = if is_limit_reached {
                step.tasks.iter().filter(|task| !task.runs.is_empty()).count() as u64
            } else {
                u64::from(spec.tasks)
            };
            tasks * spec.allocation().cpu_millicores
        });
        millicores.sum()
    }

    /// Returns the pool's demand, by which hosts are moved between pools.
    /// Figures are rounded, so that small changes cost no write.
    pub(super) fn demand(&self, now_ms: u64) -> Demand {
        let is_reachable = |worker: &Worker| worker.is_reachable(now_ms, REACHABLE_MS);
        let round = |value: u64, unit: u64| value.div_ceil(unit) * unit;
        let live = || self.job_table.iter().filter(|(_, job)| job.outcome.is_none());
        let (mut backlog_core_ms, mut overdue_core_ms) = (0.0, 0.0);
        for (_, job) in live().filter(|(_, job)| !self.is_limit_reached(job)) {
            for (number, occurrence) in job.occurrences.iter() {
                let is_overdue = self.rank_inputs(job, number, now_ms).is_overdue();
                let sum = if is_overdue { &mut overdue_core_ms } else { &mut backlog_core_ms };
                *sum += self.batch_work_core_ms(job, Some(occurrence));
            }
        }
        let lasting: u64 = live().map(|(_, job)| self.lasting_millicores(job)).sum();
        let is_idle = |worker: &&Worker| {
            worker.is_empty()
                && is_reachable(worker)
                && worker.presence == Presence::Registered(Registration::Ready)
                && !worker.is_vacating
        };
        let idle = self.workers.iter().map(|(_, worker)| worker).filter(is_idle);
        let mut idle: Vec<WorkerId> = idle.map(|worker| worker.entry.worker.clone()).collect();
        idle.sort();
        let ending = self.workers.iter().map(|(_, worker)| worker).filter(|worker| {
            !worker.is_empty()
                && is_reachable(worker)
                && worker.presence == Presence::Registered(Registration::Ready)
                && !worker.is_vacating
                && worker
                    .runs
                    .keys()
                    .all(|&run| self.job_table.spec(run).is_some_and(|spec| !spec.is_lasting))
        });
        let mut ending: Vec<_> =
            ending.map(|worker| (worker.runs.len(), &worker.entry.worker)).collect();
        ending.sort_unstable();
        let ending = ending.into_iter().take(ENDING_MAX).map(|(_, name)| name.clone());
        Demand {
            arriving_millicores: round(self.arrivals.millicores(now_ms), ROUNDING),
            backlog_core_ms: round(backlog_core_ms as u64, ROUNDING),
            overdue_core_ms: round(overdue_core_ms as u64, ROUNDING),
            lasting_millicores: round(lasting, ROUNDING),
            idle,
            ending: ending.collect(),
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
        let load = self.load(now_ms);
        self.writer.set_summary(Summary { waiting, demand, load });
    }
}
