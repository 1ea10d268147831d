//! Events and actions of the seat engine.

use serde::{Deserialize, Serialize};

use crate::{
    protocol::store::{StoreError, StoreReply, StoreRequest},
    state::ids::{CallId, DataCentreId, EntryId, Epoch, LeaseId, Revision, Term},
};

/// State that an entry host sends once a second to the entry hosts of its data
/// centre; gateways also send it to the gateways of other data centres.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// IP number and port of the sender's peer listener.
    pub peer_address: Box<str>,
    /// Index and term of the sender's seat, if it holds one.
    pub seat: Option<(u16, Term)>,
    /// Whether the sender reached the store within the last lease duration.
    pub reaches_store: bool,
    /// Epoch and revision of the document that the sender has in force.
    pub in_force: (Epoch, Revision),
    /// Highest version of the host records that the sender has seen.
    pub fleet_version: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
}

/// Messages between seat engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SeatsMessage {
    /// Periodic heartbeat.
    Heartbeat(Heartbeat),
    /// Asks a peer that reaches the store to renew the sender's lease. The
    /// answer returns the sender's monotonic time in milliseconds, so that an
    /// answer to a question from before a pause confirms nothing after it.
    RenewFor { lease: LeaseId, asked_at_ms: u64 },
    /// The sender renewed the receiver's lease.
    Renewed { lease: LeaseId, asked_at_ms: u64 },
    /// Asks a peer, while the store is unreachable for both, whether it knows
    /// of a later holder of the sender's seat.
    Confirm { index: u16, term: Term, asked_at_ms: u64 },
    /// The sender knows of no later holder of the receiver's seat.
    Confirmed { index: u16, term: Term, asked_at_ms: u64 },
    /// The receiver's seat has a later holder with this term.
    Superseded { index: u16, term: Term },
    /// Gateways of other data centres, sent by the gateway of the receiver's
    /// data centre; or the gateway of the sender's data centre, sent to a
    /// remote gateway that addressed an entry host which is not the gateway.
    Gateways { gateways: Vec<EntryAddress> },
}

/// Name and address of an entry host, from seat records, heartbeats or
/// settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Name of the entry host.
    pub entry: EntryId,
    /// Data centre of the entry host.
    pub data_centre: DataCentreId,
    /// IP number and port of its peer listener.
    pub peer_address: Box<str>,
}

/// A live entry host of the same data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LivePeer {
    /// Name of the entry host.
    pub entry: EntryId,
    /// Index of its seat, if it holds one.
    pub seat: Option<u16>,
}

/// Inputs of the seat engine.
#[derive(Clone, Debug, PartialEq)]
pub enum SeatsEvent {
    /// The number of seats of this data centre is known or has changed.
    SeatsConfigured { seats: u16 },
    /// A peer's message arrived.
    Received { from: EntryId, message: SeatsMessage },
    /// The connection to a peer was refused, so its process is gone.
    PeerRefused { peer: EntryId },
    /// A call to the store returned or timed out.
    StoreReplied { call: CallId, result: Result<StoreReply, StoreError> },
    /// The versions that heartbeats report for this entry host changed.
    StateChanged { in_force: (Epoch, Revision), fleet_version: u64 },
    /// The entry host is stopping; the seat is kept until `Release`.
    Stopping,
    /// Nothing is in flight any more, so the seat can be released.
    Release,
    /// A timer may be due.
    Tick,
}

/// Actions that the owner of the engine carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum SeatsAction {
    /// This entry host has acquired the seat.
    SeatHeld { index: u16, term: Term },
    /// This entry host must start nothing under its seat until `SeatResumed`.
    SeatSuspended,
    /// The seat was confirmed after a suspension.
    SeatResumed { index: u16, term: Term },
    /// The seat was lost to another holder, or given up because the number of
    /// seats was reduced.
    SeatLost,
    /// The data centre became detached, that is, none of its entry hosts
    /// reaches the store; or one reaches it again.
    DetachedChanged { detached: bool },
    /// The set of live peers in the data centre changed.
    PeersChanged { peers: Vec<LivePeer> },
    /// The known entry hosts or their addresses changed. The transport keeps
    /// connections to those of its own data centre and to gateways, and
    /// connects to others on demand.
    AddressesChanged { entries: Vec<EntryAddress> },
    /// The live gateways of other data centres changed.
    GatewaysChanged { gateways: Vec<(DataCentreId, EntryId)> },
    /// The last holders of a data centre's seats by index changed; `None` is a
    /// seat that was never held or was released. A dead holder stays listed
    /// until its seat is taken over.
    HoldersChanged { data_centre: DataCentreId, holders: Vec<Option<EntryId>> },
    /// A peer has a newer document or newer host records than this entry host.
    PeerIsAhead { peer: EntryId, in_force: (Epoch, Revision), fleet_version: u64 },
    /// Sends a message to a peer.
    Send { to: EntryId, message: SeatsMessage },
    /// Calls the store.
    Store { call: CallId, request: StoreRequest },
    /// The release of the seat has ended, successfully or not; the process may
    /// exit.
    Released,
}
