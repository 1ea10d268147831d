//! Command line of the demo.

use gumdrop::Options;
use strum::{Display, EnumString, VariantNames};

/// A deployment whose document is in `examples`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// Agaseke Press Collective, four data centres.
    #[default]
    Kigali,
    /// Kielce Hinge Forge, three data centres.
    Kielce,
}

/// A fault that begins and ends within the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The store and the platform's interface refuse all connections.
    PlatformDown,
    /// A fifth of the store's effective writes get no reply.
    LostReplies,
    /// One entry host is killed without clean-up and started again.
    EntryKilled,
    /// One data centre is partitioned from the others, the store and the platform;
    /// data in transit is held back until the fault ends.
    DataCentreCut,
    /// As `DataCentreCut`, but connections are closed.
    DataCentreReset,
    /// One host answers every request with an error at once.
    FailingWorker,
    /// An urgent caller sends far more requests than one service can run.
    UrgentFlood,
    /// The hosts of one rack crash and come back.
    RackLost,
    /// The platform announces that one host is leaving, then revokes it.
    HostLeaving,
    /// The targets of one host signal that they are leaving, then stop doing so.
    TargetLeaving,
}

/// Options of `tamarack-demo`.
#[derive(Clone, Debug, Options)]
pub struct DemoOptions {
    /// print this help
    pub help: bool,
    /// deployment to run: kigali or kielce
    #[options(no_short, default = "kigali")]
    pub deployment: Deployment,
    /// time for which callers send requests, in seconds
    #[options(no_short, default = "20")]
    pub seconds: u64,
    /// seed of all random choices of the stand-ins
    #[options(no_short, default = "1")]
    pub seed: u64,
    /// stay up after the run until interrupted
    #[options(no_short)]
    pub keep: bool,
    /// fault to inject: platform-down, lost-replies, entry-killed,
    /// data-centre-cut, data-centre-reset, failing-worker, urgent-flood,
    /// rack-lost, host-leaving, target-leaving
    #[options(no_short, meta = "NAME")]
    pub fault: Option<Fault>,
    /// second octet of all addresses; by default from the process id
    #[options(no_short, meta = "OCTET")]
    pub network: Option<u8>,
    /// level of the entry hosts' logs on standard error
    #[options(no_short, meta = "LEVEL", default = "off")]
    pub log: String,
}
