//! Typed model of a valid document.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

use crate::state::{
    ids::{CallerId, DataCentreId, PoolId, RegionId, ServiceId, TeamId, WaveId},
    units::{DurationMs, RatePerSecond, Share},
};

/// How soon a request or a job should start.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Urgency {
    /// Starts before everything else; RFC 9218 urgency 0 and 1.
    Urgent,
    /// The default; RFC 9218 urgency 2 to 4.
    #[default]
    Normal,
    /// Starts when there is spare capacity; RFC 9218 urgency 5 to 7.
    Bulk,
}

/// Kind of a document section, the first word of its header.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum SectionKind {
    /// `[document]`: settings of the whole deployment.
    Document,
    /// `[team NAME]`
    Team,
    /// `[data-centre NAME]`
    DataCentre,
    /// `[pool NAME]`
    Pool,
    /// `[service NAME]`
    Service,
    /// `[budget SERVICE]`
    Budget,
    /// `[caller NAME]`
    Caller,
    /// `[wave NAME]`
    Wave,
}

/// Header of a section: its kind and name, such as `service booking`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SectionName {
    pub kind: SectionKind,
    /// Name within the kind; empty for `[document]`.
    pub name: Box<str>,
}

impl fmt::Display for SectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.name.is_empty() {
            write!(f, "{}", self.kind)
        } else {
            write!(f, "{} {}", self.kind, self.name)
        }
    }
}

/// What a team may change.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum TeamRole {
    /// May change sections that name it as owner.
    #[default]
    Member,
    /// May change every section, including `[document]`, teams and data centres.
    Admin,
}

/// Correlated failure that must remain tolerable during a planned stop.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FailureReserve {
    /// No further failure; only the planned stop itself is counted.
    None,
    /// The loss of the service's largest remaining rack.
    #[default]
    Rack,
}

/// Whether non-repeatable requests of a service need an `Idempotency-Key`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum KeyRule {
    /// Requests without a key are refused.
    #[default]
    Required,
    /// Requests without a key run at most once each time that the caller sends
    /// them and are never retried.
    Optional,
    /// All requests of the service are repeatable and keys are ignored.
    Repeatable,
}

/// `[team NAME]`: a team of operators that owns sections, jobs and quotas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamSection {
    /// Digests (SHA-256, lower-case hexadecimal) of the team's bearer tokens.
    pub token_sha256: Vec<Box<str>>,
    /// What the team may change.
    pub role: TeamRole,
    /// CPU quota for jobs, in thousandths of a core; 0 forbids jobs.
    pub quota_cpu_millicores: u64,
    /// Memory quota for jobs, in bytes.
    pub quota_memory_bytes: u64,
    /// Accelerator quota for jobs.
    pub quota_accelerators: u32,
}

/// `[data-centre NAME]`: a failure domain with its own entry hosts and targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DataCentreSection {
    /// Region that the data centre belongs to.
    pub region: RegionId,
    /// Number of seats, that is, of entry hosts that serve requests at once.
    pub seats: u16,
}

/// `[pool NAME]`: hosts that run the same services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolSection {
    /// Team that may change the section.
    pub owner: TeamId,
    /// Regular number of hosts of the pool in each data centre.
    pub size: BTreeMap<DataCentreId, u32>,
    /// Number of hosts in all data centres below which the pool lends none.
    pub minimum: u32,
    /// Number of hosts in all data centres above which the pool borrows none.
    pub maximum: u32,
    /// Whether the pool lends hosts to pools with a surge of load.
    pub spare: bool,
    /// Number of racks whose loss the pool's buffer of hosts covers.
    pub buffer_racks: u32,
}

/// `[service NAME]`: a service that callers send requests to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSection {
    /// Team that may change the section.
    pub owner: TeamId,
    /// Pool whose hosts run the instances.
    pub pool: PoolId,
    /// TCP port of the instances.
    pub port: u16,
    /// Requests that one instance runs at once.
    pub slots: u16,
    /// TCP connections that one instance accepts.
    pub connections: u16,
    /// Deadline of requests that state none.
    pub deadline: DurationMs,
    /// Whether non-repeatable requests need a key.
    pub idempotency_key: KeyRule,
    /// Objective for the share of good requests.
    pub objective: Share,
    /// Window over which the objective is evaluated.
    pub objective_window: DurationMs,
    /// Latency above which a response counts as bad for the objective.
    pub objective_latency: DurationMs,
    /// Requests that may wait in the service's queue on one entry host.
    pub queue_limit: u32,
}

/// `[budget SERVICE]`: how much of a service may be unavailable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetSection {
    /// Team that may change the section.
    pub owner: TeamId,
    /// Instances that must stay available despite planned stops and failures.
    pub min_available: u32,
    /// Instances that planned operations may stop at once.
    pub max_stopped: u32,
    /// Correlated failure that must remain tolerable during a planned stop.
    pub failure_reserve: FailureReserve,
}

/// `[caller NAME]`: a person or application within the shared account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerSection {
    /// Team that may change the section.
    pub owner: TeamId,
    /// Digests (SHA-256, lower-case hexadecimal) of the caller's bearer tokens.
    pub token_sha256: Vec<Box<str>>,
    /// Weight of the caller in fair queueing.
    pub weight: u32,
    /// Data centre that stores the caller's idempotency keys.
    pub home: Option<DataCentreId>,
    /// Most urgent class that the caller may use.
    pub most_urgent: Urgency,
    /// Request rate above which requests are refused; `None` for no limit.
    pub rate_limit: Option<RatePerSecond>,
    /// Services that the caller may call; empty allows all.
    pub services: Vec<ServiceId>,
}

/// `[wave NAME]`: a maintenance wave that reboots the hosts of pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaveSection {
    /// Team that may change the section.
    pub owner: TeamId,
    /// Pools whose hosts are maintained.
    pub pools: Vec<PoolId>,
    /// Whether the wave is paused by its owner.
    pub paused: bool,
    /// Hosts that may be stopped at once in all pools of the wave.
    pub max_parallel: u32,
    /// Time after the reboot within which a host must be healthy.
    pub return_deadline: DurationMs,
    /// Time after which the wave reports a drain that has not finished.
    pub drain_deadline: DurationMs,
    /// Number of failed hosts at which the wave pauses automatically.
    pub pause_after_failures: u32,
}

/// A validated document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    pub deployment: Box<str>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, TeamSection>,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentreId, DataCentreSection>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, PoolSection>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceSection>,
    /// Availability budgets by service.
    pub budgets: BTreeMap<ServiceId, BudgetSection>,
    /// Callers by name.
    pub callers: BTreeMap<CallerId, CallerSection>,
    /// Maintenance waves by name.
    pub waves: BTreeMap<WaveId, WaveSection>,
}
