//! Faults that are injected at a step.

use strum::{Display, EnumIter, EnumString};

/// A fault; where it needs a victim, it is the entry host, target or data
/// centre that takes part in the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The store and the platform refuse connections for 15 s.
    PlatformDown,
    /// The store takes longer than its clients wait, for 10 s.
    StoreSlow,
    /// Half of the effective writes lose their replies for 10 s.
    RepliesLost,
    /// The entry host dies and is replaced after 3 s with nothing.
    EntryKilled,
    /// The entry host is paused for 20 s, longer than its leases.
    EntryPaused,
    /// The data centre is cut off from everything for 20 s.
    DataCentreCut,
    /// The data centre is cut off from store and platform for 20 s.
    PlatformCut,
    /// Half of the control messages between entry hosts are lost for 10 s.
    MessagesLost,
    /// The target's host dies and comes back after 15 s.
    TargetDied,
    /// All hosts of the target's rack die and come back after 15 s.
    RackFailed,
    /// The target's host fails every request for 10 s.
    TargetFailing,
    /// Responses of the target's host break off for 10 s.
    ResponsesCut,
    /// The platform's list says that the target's host leaves, for 10 s.
    HostListedLeaving,
    /// The responses of the target's host say that it leaves, for 10 s.
    TargetLeaving,
    /// Callers repeat every charge of this moment through other entry hosts.
    RepeatsRace,
    /// Two operators put the same and other sections.
    OperatorsRace,
    /// Bulk work arrives at forty times its rate, more than the pool can do, for
    /// 5 s.
    BulkFlood,
    /// Urgent work arrives at forty times its rate, more than the pool can do,
    /// for 5 s.
    UrgentFlood,
    /// All callers with open requests go away.
    CancellationWave,
}
