//! Faults that are injected when a step is reached.

use strum::{Display, EnumIter, EnumString};

/// A fault. It affects the entry host, target or data centre that takes part in
/// the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The store and the platform refuse connections for 15 s.
    PlatformDown,
    /// The store takes longer than its clients wait, for 10 s.
    StoreSlow,
    /// The replies to half of the writes that took effect are lost for 10 s.
    RepliesLost,
    /// The entry host crashes and restarts after 3 s without any state.
    EntryKilled,
    /// The entry host is paused for 20 s, longer than its leases.
    EntryPaused,
    /// The data centre is partitioned from the other data centres, the store and
    /// the platform for 20 s.
    DataCentreCut,
    /// The data centre is partitioned from the store and the platform for 20 s.
    PlatformCut,
    /// Half of the control messages between entry hosts are lost for 10 s.
    MessagesLost,
    /// The target's host fails and comes back after 15 s.
    TargetDied,
    /// All hosts of the target's rack fail and come back after 15 s.
    RackFailed,
    /// The target's host answers every request with an error for 10 s.
    TargetFailing,
    /// The connections of the target's host break before the response for 10 s.
    ResponsesCut,
    /// The platform's list says that the target's host is leaving, for 10 s.
    HostListedLeaving,
    /// The responses of the target's host say that it is leaving, for 10 s.
    TargetLeaving,
    /// Callers retry every open charge through all entry hosts at once.
    RepeatsRace,
    /// Operators concurrently put the same section and another one.
    OperatorsRace,
    /// Bulk requests arrive at forty times the usual rate, more than the pool can
    /// serve, for 5 s.
    BulkFlood,
    /// Urgent requests arrive at forty times the usual rate, more than the pool
    /// can serve, for 5 s.
    UrgentFlood,
    /// All callers with open requests disconnect.
    CancellationWave,
}
