//! Records of queues: where their jobs are, whatever configuration is in force.

use serde::{Deserialize, Serialize};
use tamarackproxy::state::ids::{PoolId, QueueId, RecordVersion};

use super::serving::{AdviceSettings, QueueSettings};

/// Value of `queues/<queue>`. The configuration in force names one pool of a queue
/// only, while the jobs that were accepted under earlier ones stay where they are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueRecord {
    /// Every pool that may have jobs of the queue.
    pub pools: Vec<PoolId>,
    /// Version of the configuration that the policy is taken from.
    pub configuration: RecordVersion,
    /// Policy of the queue, for jobs that outlast it.
    pub policy: StoredPolicy,
}

/// Scheduling policy of a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredPolicy {
    /// Priority among the queues of a pool; 0 is the highest.
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
}

impl From<&QueueSettings> for StoredPolicy {
    fn from(queue: &QueueSettings) -> Self {
        Self {
            priority: queue.priority,
            attempts_max: queue.attempts_max,
            stretch: queue.stretch,
            objective_ms: queue.objective_ms,
            advice: queue.advice,
        }
    }
}

impl QueueRecord {
    /// Returns the store key of a queue's record.
    pub fn key(queue: &QueueId) -> Box<str> {
        format!("queues/{queue}").into()
    }

    /// Creates the record of a queue whose jobs may be in `former` pools, besides
    /// the pool that the configuration of version `configuration` names.
    pub fn new<I>(queue: &QueueSettings, configuration: RecordVersion, former: I) -> Self
    where
        I: IntoIterator<Item = PoolId>,
    {
        let mut pools = vec![queue.pool.clone()];
        pools.extend(former.into_iter().filter(|pool| *pool != queue.pool));
        Self { pools, configuration, policy: queue.into() }
    }

    /// Returns the record with which jobs may be accepted under a configuration;
    /// none if that is this one. A policy that decides on a job's outcome is
    /// replaced by that of a newer configuration only.
    pub fn updated(&self, queue: &QueueSettings, configuration: RecordVersion) -> Option<Self> {
        let is_new_pool = !self.pools.contains(&queue.pool);
        let is_new_policy = configuration > self.configuration
            && (self.policy.attempts_max, self.policy.advice) != (queue.attempts_max, queue.advice);
        if !is_new_pool && !is_new_policy {
            return None;
        }
        let mut record = self.clone();
        if is_new_pool {
            record.pools.push(queue.pool.clone());
        }
        if configuration > self.configuration {
            (record.configuration, record.policy) = (configuration, queue.into());
        }
        Some(record)
    }
}
