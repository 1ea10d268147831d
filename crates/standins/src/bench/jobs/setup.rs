//! Workers, teams and jobs of one run.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tamarackproxy::{
    coordination::jobs::{JobSpec, ListedWorker, Resources, TeamQuota},
    state::{
        document::Urgency,
        ids::{DataCentreId, HostId, JobId, RackId, TeamId},
    },
};

const GIB: u64 = 1 << 30;
/// Number of applications; each belongs to one team.
const APPLICATIONS: u32 = 660;

/// Size, load and faults of one run.
#[derive(Clone, Debug)]
pub struct JobsSetup {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of workers.
    pub workers: u32,
    /// Number of accelerators of all workers.
    pub accelerators: u32,
    /// Number of teams.
    pub teams: u32,
    /// Duration of the run in virtual time, in milliseconds.
    pub duration_ms: u64,
    /// Share of workers that fail all their tasks.
    pub failing_workers_share: f64,
    /// Share of workers that are unreachable once.
    pub cut_off_share: f64,
}

/// Actual behaviour of a job, which the scheduler does not know.
#[derive(Clone, Debug)]
pub(super) struct JobBehaviour {
    pub run_ms: u64,
    pub used: Resources,
    pub fails: bool,
}

impl JobsSetup {
    pub(super) fn worker_size(&self, number: u32) -> Resources {
        // The first workers have eight accelerators each.
        let accelerators = self.accelerators.saturating_sub(number * 8).min(8);
        Resources::new(64_000, 256 * GIB, accelerators)
    }

    pub(super) fn listed_workers(&self) -> Vec<ListedWorker> {
        let listed = |number: u32| ListedWorker {
            host: HostId::new(format!("w{number}")),
            data_centre: DataCentreId::new(format!("dc{}", number / 4 % 4)),
            rack: RackId::new(format!("r{}", number / 16)),
            total: self.worker_size(number),
            accepts_tasks: true,
        };
        (0..self.workers).map(listed).collect()
    }

    pub(super) fn quotas(&self) -> Vec<TeamQuota> {
        // Three times the fair share, but at least two workers: the quotas together
        // exceed the pool, as is usual where teams surge at different times.
        let share = |whole: u64, least: u64| (whole * 3 / u64::from(self.teams)).max(least);
        let workers = u64::from(self.workers);
        let quota = Resources {
            cpu_millicores: share(workers * 64_000, 128_000),
            memory_bytes: share(workers * 256 * GIB, 512 * GIB),
            accelerators: share(self.accelerators.into(), 8) as u32,
        };
        (0..self.teams).map(|number| TeamQuota { team: team(number), quota }).collect()
    }

    /// Returns the submissions per second that keep the pool full: all cores divided
    /// by the mean size (18 cores) and the mean run time (120 s) of a job.
    pub(super) fn jobs_per_second(&self) -> f64 {
        f64::from(self.workers) * 64.0 / 18.0 / 120.0
    }

    /// Returns the urgent submissions per second: they use 2% of all cores at 4 cores
    /// and 15 s per job.
    pub(super) fn urgent_per_second(&self) -> f64 {
        f64::from(self.workers) * 64.0 * 0.02 / 4.0 / 15.0
    }

    pub(super) fn random_job(
        &self,
        rng: &mut ChaCha8Rng,
        number: u64,
        urgency: Urgency,
    ) -> (JobSpec, JobBehaviour) {
        let application = rng.random_range(0..APPLICATIONS);
        let urgent = urgency == Urgency::Urgent;
        let cores = if urgent { 4 } else { rng.random_range(8..=28) };
        let accelerators = if rng.random_bool(0.05) { rng.random_range(1..=4) } else { 0 };
        let accelerators = if urgent { 0 } else { accelerators.min(self.accelerators) };
        // One job in 200 declares more than any worker has.
        let impossible = rng.random_bool(0.005);
        let declared = Resources::new(
            if impossible { 9_000_000 } else { cores * 1_000 },
            cores * 4 * GIB,
            accelerators,
        );
        // The resources used are 0.3 to 1.6 times the declared ones, depending on the
        // application.
        let factor = 30 + u64::from(application) * 130 / u64::from(APPLICATIONS);
        let used =
            Resources::new(cores * 10 * factor, cores * 4 * GIB / 100 * factor, accelerators);
        let mean_ms = if urgent { 15_000.0 } else { 120_000.0 };
        let run_ms = (mean_ms * (0.3 + 1.4 * rng.random::<f64>())) as u64;
        // All jobs of three applications fail, and one job in 100 of the others.
        let fails = application < 3 || rng.random_bool(0.01);
        let repeatable = rng.random_bool(0.85);
        let spec = JobSpec {
            job: JobId::new(format!("j{number}")),
            team: team(application % self.teams),
            application: format!("app{application}").into(),
            declared,
            expected_run_ms: run_ms,
            urgency,
            repeatable,
            checkpoints: rng.random_bool(0.5),
            due_unix_ms: None,
        };
        (spec, JobBehaviour { run_ms, used, fails })
    }
}

fn team(number: u32) -> TeamId {
    TeamId::new(format!("t{number}"))
}
