//! The parts of the operator's configuration that the dispatcher uses.

use serde::{Deserialize, Serialize};
use tamarackproxy::state::ids::{PoolId, QueueId, RecordVersion};

use super::account::Accounts;

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest body, in bytes.
    pub body_max_bytes: usize,
    /// Largest request head (request line and headers), in bytes.
    pub head_max_bytes: usize,
    /// Time within which a request head must arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // These limits apply until the first configuration has been read.
        Self {
            body_max_bytes: 256 << 10,
            head_max_bytes: 16 << 10,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Settings of one job queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Name.
    pub queue: QueueId,
    /// Host name that callers address.
    pub authority: Box<str>,
    /// Path prefix that callers address; the longest match wins.
    pub path_prefix: Box<str>,
    /// Pool whose workers run the queue's tasks.
    pub pool: PoolId,
    /// Priority among the queues of the pool; 0 is the highest.
    pub priority: u32,
    /// Failed runs of a task after which its job fails.
    pub attempts_max: u32,
    /// Time that callers expect a job to take, as a multiple of its critical
    /// path.
    pub stretch: f64,
    /// Time on top of that multiple, in milliseconds.
    pub objective_ms: u64,
    /// Settings of the policy service that selects the permitted workers; none
    /// if every worker is permitted.
    pub advice: Option<AdviceSettings>,
    /// Callers need no key.
    pub is_public: bool,
}

/// Duration of queries to the policy service, and validity of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceSettings {
    /// Time that a query takes, in milliseconds.
    pub question_ms: u64,
    /// Additional time for each worker named in a query, in milliseconds.
    pub per_worker_ms: u64,
    /// Time for which an answer is valid, in milliseconds.
    pub valid_ms: u64,
}

/// Settings of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Name.
    pub pool: PoolId,
    /// The hosts of the pool are switched off.
    pub is_standby: bool,
}

/// The configuration that is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingDocument {
    /// Revision number given by the operator; it increases in uneven steps.
    pub revision: u64,
    /// Version of the document's key in the store.
    pub record: RecordVersion,
    pub queues: Vec<QueueSettings>,
    pub pools: Vec<PoolSettings>,
    /// Client accounts; none if the deployment has no accounts, so that requests
    /// need no key.
    pub accounts: Option<Accounts>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl ServingDocument {
    /// Finds the queue that a request addresses; returns it with the rest of
    /// the path.
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
