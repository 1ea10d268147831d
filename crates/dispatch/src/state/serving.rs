//! The operator's configuration as far as the dispatcher serves it.

use tamarackproxy::state::ids::{PoolId, QueueId, RecordVersion};

/// Bounds of what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest body, in bytes.
    pub body_max_bytes: usize,
    /// Largest request head, in bytes.
    pub head_max_bytes: usize,
    /// Time that a request head may take, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // Used until the first configuration has been read.
        Self {
            body_max_bytes: 256 << 10,
            head_max_bytes: 16 << 10,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Name.
    pub queue: QueueId,
    /// Host name in callers' requests.
    pub authority: Box<str>,
    /// Path prefix in callers' requests; the longest match wins.
    pub path_prefix: Box<str>,
    /// Pool whose workers run the tasks.
    pub pool: PoolId,
    /// Rank among the queues of a pool; 0 goes first.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub attempts_max: u32,
    /// Multiple of a job's longest chain that its callers expect it to take.
    pub stretch: f64,
    /// Time on top of that multiple, in milliseconds.
    pub objective_ms: u64,
    /// The queue's policy allows only some workers; a service names them.
    pub advice: Option<AdviceSettings>,
}

/// How long the policy service takes, and how long its answers hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdviceSettings {
    /// Time for one question, in milliseconds.
    pub question_ms: u64,
    /// Time for each worker named in a question, in milliseconds.
    pub per_worker_ms: u64,
    /// Time for which an answer holds, in milliseconds.
    pub valid_ms: u64,
}

/// One pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Name.
    pub pool: PoolId,
    /// The pool's hosts are off.
    pub is_standby: bool,
}

/// The configuration that is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingDocument {
    /// Number that the operator gave it; grows in uneven steps.
    pub revision: u64,
    /// Version of its key in the store.
    pub record: RecordVersion,
    /// Queues.
    pub queues: Vec<QueueSettings>,
    /// Pools.
    pub pools: Vec<PoolSettings>,
    /// Bounds for callers.
    pub limits: CallerLimits,
}

impl ServingDocument {
    /// Finds the queue of a request, with the rest of its path.
    pub fn route<'a>(
        &'a self,
        authority: &str,
        path: &'a str,
    ) -> Option<(&'a QueueSettings, &'a str)> {
        let matching = self.queues.iter().filter(|queue| {
            queue.authority.eq_ignore_ascii_case(authority) && path.starts_with(&*queue.path_prefix)
        });
        let queue = matching.max_by_key(|queue| queue.path_prefix.len())?;
        Some((queue, &path[queue.path_prefix.len()..]))
    }

    /// Finds a queue by name.
    pub fn queue(&self, name: &QueueId) -> Option<&QueueSettings> {
        self.queues.iter().find(|queue| queue.queue == *name)
    }

    /// Lists the pools that run tasks.
    pub fn working_pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.iter().filter(|pool| !pool.is_standby).map(|pool| &pool.pool)
    }
}
