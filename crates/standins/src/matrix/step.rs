//! Long-lived actions and their steps.

use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

/// A long-lived action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// A repeatable request.
    Request,
    /// A non-repeatable request with an idempotency key.
    Charge,
    /// The graceful stop of an entry host.
    EntryStop,
    /// A put of the document.
    Put,
    /// The maintenance of a host.
    Maintenance,
    /// A partition of a data centre and its end.
    Cut,
}

/// A step of an action, at which faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Step {
    /// The request reaches an entry host.
    RequestArrived,
    /// The request is dispatched to a target.
    RequestDispatched,
    /// The target runs the request.
    RequestRunning,
    /// The response reaches the entry host.
    RequestAnswered,
    /// The charge reaches an entry host.
    ChargeArrived,
    /// The charge is forwarded to its home entry host.
    ChargeForwarded,
    /// The home sends the write of the claim.
    ChargeClaiming,
    /// The claim is in the store.
    ChargeClaimed,
    /// The charge is dispatched to a target.
    ChargeDispatched,
    /// The target runs the charge.
    ChargeRunning,
    /// The response reaches the home.
    ChargeAnswered,
    /// The stop begins.
    StopBegun,
    /// The seat is being released.
    StopReleasing,
    /// The put reaches an entry host.
    PutReceived,
    /// The write of the new head is sent.
    PutWriting,
    /// The new head is in the store.
    PutWritten,
    /// The change is sent to a peer.
    PutPushed,
    /// The budget holds a reservation.
    HostReserved,
    /// The host's record says that it is draining.
    HostDraining,
    /// An entry host confirms the drain.
    HostDrained,
    /// The platform reboots the host.
    HostRebooting,
    /// The host is up again.
    HostBack,
    /// The host's record says that it is active again.
    HostActive,
    /// The data centre is partitioned.
    CutBegun,
    /// The partition ends.
    CutHealed,
}

impl Step {
    /// Returns the action that the step belongs to.
    pub const fn action(self) -> Action {
        match self {
            Step::RequestArrived
            | Step::RequestDispatched
            | Step::RequestRunning
            | Step::RequestAnswered => Action::Request,
            Step::ChargeArrived
            | Step::ChargeForwarded
            | Step::ChargeClaiming
            | Step::ChargeClaimed
            | Step::ChargeDispatched
            | Step::ChargeRunning
            | Step::ChargeAnswered => Action::Charge,
            Step::StopBegun | Step::StopReleasing => Action::EntryStop,
            Step::PutReceived | Step::PutWriting | Step::PutWritten | Step::PutPushed => {
                Action::Put
            }
            Step::HostReserved
            | Step::HostDraining
            | Step::HostDrained
            | Step::HostRebooting
            | Step::HostBack
            | Step::HostActive => Action::Maintenance,
            Step::CutBegun | Step::CutHealed => Action::Cut,
        }
    }
}

impl Action {
    /// Returns the steps of the action, in order.
    pub fn steps(self) -> impl Iterator<Item = Step> {
        Step::iter().filter(move |step| step.action() == self)
    }
}
