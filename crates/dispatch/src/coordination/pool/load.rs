//! Description of an overloaded pool's waiting work, by which processes bound
//! the wait of new jobs.
//!
//! Load pattern: a queue surges to several times what its pool can hold for
//! seconds. Waiting jobs are summed up by what decides their order, so that
//! thousands of them take a few kilobytes, and nothing is published while the
//! pool has room.

use std::collections::BTreeMap;

use hashbrown::HashSet;
use tamarackproxy::coordination::jobs::Resources;

use super::{
    engine::PoolEngine,
    job_table::Job,
    placement::{is_plain, takes_work},
    profile::is_limited_by_processors,
    task::TaskRef,
    workers::{Presence, Worker},
};
use crate::state::{Overload, PoolLoad, Registration, StepSpec, WaitingWork};

/// Unit to which published processors are rounded up, in thousandths of a core,
/// so that small changes cost no write.
const MILLICORES_UNIT: u64 = 1_000;
/// Unit to which times are rounded down, in milliseconds: about the interval
/// between summaries.
const SLACK_UNIT_MS: u64 = 250;
/// Unit to which the work of a group is rounded down, in core-milliseconds: one
/// usual task.
const WORK_UNIT_CORE_MS: u64 = 500;
/// Waiting work from which on a pool counts as overloaded, as the time that its
/// capacity needs for it, in milliseconds. Below it no wait is long enough to
/// matter: callers expect a job to take half a second more than its tasks.
const OVERLOAD_MS: u64 = 500;
/// Most groups of waiting work in one summary, about 6 kB; those with the least
/// work are left out.
const GROUPS_MAX: usize = 128;

/// What the jobs of a group have in common: everything but the work.
type Group = WaitingWork;

impl PoolEngine {
    /// Describes the pool's capacity and, if it is overloaded, its waiting work.
    pub(super) fn load(&self, now_ms: u64) -> PoolLoad {
        let (mut capacity, mut joining) = (0, 0);
        for (_, worker) in self.workers.iter() {
            let own = worker.entry.capacity.cpu_millicores;
            if takes_work(worker, now_ms) {
                capacity += own.saturating_sub(self.lasting_millicores_on(worker));
            } else if worker.is_confirmed()
                && worker.presence == Presence::Registered(Registration::Ready)
            {
                joining += own;
            }
        }
        PoolLoad {
            capacity_millicores: capacity.next_multiple_of(MILLICORES_UNIT),
            joining_millicores: joining.next_multiple_of(MILLICORES_UNIT),
            overload: self.overload(now_ms, capacity),
        }
    }

    /// Returns the processors that long-running tasks take of a worker, in
    /// thousandths of a core.
    fn lasting_millicores_on(&self, worker: &Worker) -> u64 {
        let lasting = worker
            .runs
            .iter()
            .filter(|&(&task, _)| self.job_table.spec(task).is_some_and(|spec| spec.is_lasting));
        lasting.map(|(_, (_, allocation))| allocation.cpu_millicores).sum()
    }

    fn overload(&self, now_ms: u64, capacity_millicores: u64) -> Option<Overload> {
        let largest_worker = self.largest_worker();
        let waiting = self.waiting_groups(now_ms, &largest_worker);
        let core_ms: u64 = waiting.iter().map(|group| group.core_ms).sum();
        if core_ms < capacity_millicores * OVERLOAD_MS / 1_000 {
            return None;
        }
        let live = self.job_table.iter().filter(|(_, job)| job.outcome.is_none());
        let accounts: HashSet<_> = live.filter_map(|(_, job)| job.account.as_ref()).collect();
        let mut accounts: Vec<_> = accounts.into_iter().cloned().collect();
        accounts.sort_unstable();
        let free = self.largest_free_capacity(now_ms).cpu_millicores;
        Some(Overload {
            clock_s: now_ms / 1_000,
            ended_millicores: self.ended.millicores(now_ms).next_multiple_of(MILLICORES_UNIT),
            free_millicores: free.next_multiple_of(MILLICORES_UNIT),
            largest_worker,
            queues: self.durations.means(),
            accounts,
            waiting,
        })
    }

    /// Returns the largest amount of each resource on any worker.
    fn largest_worker(&self) -> Resources {
        let confirmed = self.workers.iter().filter(|(_, worker)| worker.is_confirmed());
        confirmed.map(|(_, worker)| worker.entry.capacity).fold(
            Resources::default(),
            |largest, own| Resources {
                cpu_millicores: largest.cpu_millicores.max(own.cpu_millicores),
                memory_bytes: largest.memory_bytes.max(own.memory_bytes),
                accelerators: largest.accelerators.max(own.accelerators),
            },
        )
    }

    /// Sums up the waiting work that can still be useful, the largest groups
    /// first.
    fn waiting_groups(&self, now_ms: u64, largest_worker: &Resources) -> Vec<WaitingWork> {
        let mut groups: BTreeMap<Group, f64> = BTreeMap::new();
        for at in self.job_table.unstarted() {
            let Some(job) = self.job_table.job(at.job) else { continue };
            let Some(spec) = self.job_table.spec(at) else { continue };
            // Work that only some workers may run, or that waits for all of its
            // members, does not certainly go before a new job.
            if !self.is_startable(job)
                || spec.is_lasting
                || !self.goes_anywhere(job, spec, largest_worker)
            {
                continue;
            }
            let core_ms = self.waiting_core_ms(now_ms, job, at, spec);
            if let Some(group) =
                self.group(now_ms, job, at.occurrence, spec).filter(|_| core_ms > 0.0)
            {
                *groups.entry(group).or_default() += core_ms;
            }
        }
        let rounded = |core_ms: f64| core_ms as u64 / WORK_UNIT_CORE_MS * WORK_UNIT_CORE_MS;
        let mut waiting: Vec<_> = (groups.into_iter())
            .map(|(group, core_ms)| WaitingWork { core_ms: rounded(core_ms), ..group })
            .filter(|group| group.core_ms > 0)
            .collect();
        waiting.sort_by_key(|group| std::cmp::Reverse(group.core_ms));
        waiting.truncate(GROUPS_MAX);
        waiting.sort_unstable();
        waiting
    }

    /// Returns whether the tasks of a step of a job may run on any worker and are
    /// limited by processors alone.
    fn goes_anywhere(&self, job: &Job, spec: &StepSpec, largest_worker: &Resources) -> bool {
        is_plain(spec)
            && self.policy(&job.queue).advice.is_none()
            && is_limited_by_processors(&spec.allocation(), largest_worker)
    }

    fn waiting_core_ms(&self, now_ms: u64, job: &Job, at: TaskRef, spec: &StepSpec) -> f64 {
        let Some(step) = self.job_table.step(at) else { return 0.0 };
        let tasks = step.tasks.iter().filter(|task| task.waits(now_ms)).count();
        let expected_ms = self.durations.expected_ms(&job.queue, spec.estimate_ms);
        let cores = spec.allocation().cpu_millicores as f64 / 1_000.0;
        tasks as f64 * cores * expected_ms as f64
    }

    /// Returns the group of a job's waiting tasks; none if they are overdue.
    fn group(&self, now_ms: u64, job: &Job, occurrence: u32, spec: &StepSpec) -> Option<Group> {
        let inputs = self.rank_inputs(job, occurrence, now_ms);
        let (timely_ms, useful_ms) = inputs.slack_ms();
        let rounded = |slack_ms: u64| slack_ms / SLACK_UNIT_MS * SLACK_UNIT_MS;
        (!inputs.is_overdue()).then(|| Group {
            account: job.account.clone(),
            priority: inputs.priority,
            cost_core_ms: cost_limit_core_ms(inputs.cost_core_ms()),
            task_millicores: spec.allocation().cpu_millicores.next_multiple_of(MILLICORES_UNIT),
            timely_ms: rounded(timely_ms),
            useful_ms: rounded(useful_ms),
            core_ms: 0,
        })
    }
}

/// Rounds a cost up to the limit of its range; there are two ranges for each
/// factor of two.
fn cost_limit_core_ms(cost_core_ms: u64) -> u64 {
    let power = cost_core_ms.max(4).next_power_of_two();
    let middle = power / 4 * 3;
    if cost_core_ms <= middle { middle } else { power }
}
