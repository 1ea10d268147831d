//! Events and actions of the seat engine.

use serde::{Deserialize, Serialize};

use crate::{
    protocol::store::{StoreError, StoreReply, StoreRequest},
    state::ids::{CallId, DataCentreId, EntryId, Epoch, LeaseId, Revision, Term},
};

/// Heartbeat, sent once a second to the entry hosts of the data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// IP number and port of the sender's peer listener.
    pub peer_address: Box<str>,
    /// Seat of the sender, if it holds one.
    pub seat: Option<(u16, Term)>,
    /// Whether the sender reached the store within the last lease time.
    pub reaches_store: bool,
    /// Epoch and revision that the sender has in force.
    pub in_force: (Epoch, Revision),
    /// Highest version of host records that the sender has seen.
    pub fleet_version: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
}

/// Messages between seat engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SeatsMessage {
    /// Periodic sign of life.
    Heartbeat(Heartbeat),
    /// Asks a peer that reaches the store to renew this lease. The asker's
    /// monotonic time in milliseconds comes back with the answer, so that an
    /// answer from before a pause confirms nothing after it.
    RenewFor { lease: LeaseId, asked_at_ms: u64 },
    /// The lease was renewed on behalf of the receiver.
    Renewed { lease: LeaseId, asked_at_ms: u64 },
    /// Asks a peer, while neither reaches the store, whether it knows of a
    /// later holder of the sender's seat.
    Confirm { index: u16, term: Term, asked_at_ms: u64 },
    /// The sender knows of no later holder of the receiver's seat.
    Confirmed { index: u16, term: Term, asked_at_ms: u64 },
    /// The receiver's seat has a later holder with this term.
    Superseded { index: u16, term: Term },
    /// Gateways of other data centres, from the gateway of the receiver's data
    /// centre; or the sender's own gateway, to a gateway that addressed
    /// another entry host.
    Gateways { gateways: Vec<EntryAddress> },
}

/// An entry host known from the seat records or from settings.
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
    /// The entry host.
    pub entry: EntryId,
    /// Index of its seat, if it holds one.
    pub seat: Option<u16>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum SeatsEvent {
    /// The number of seats of this data centre is known or has changed.
    SeatsConfigured { seats: u16 },
    /// A peer's message arrived.
    Received { from: EntryId, message: SeatsMessage },
    /// The connection to a peer was refused: its process is gone.
    PeerRefused { peer: EntryId },
    /// A call to the store ended.
    StoreReplied { call: CallId, result: Result<StoreReply, StoreError> },
    /// What heartbeats report of this entry host.
    StateChanged { in_force: (Epoch, Revision), fleet_version: u64 },
    /// The entry host stops: the seat is released after `Release`.
    Stopping,
    /// Nothing is in flight any more: the seat record is removed.
    Release,
    /// Time passed.
    Tick,
}

/// What the owner of the engine does.
#[derive(Clone, Debug, PartialEq)]
pub enum SeatsAction {
    /// This entry host holds the seat from now on.
    SeatHeld { index: u16, term: Term },
    /// This entry host must start nothing on its seat from now on.
    SeatSuspended,
    /// The seat is confirmed again after a suspension.
    SeatResumed { index: u16, term: Term },
    /// The seat is lost to another holder.
    SeatLost,
    /// No entry host of the data centre reaches the store, or one does again.
    DetachedChanged { detached: bool },
    /// The live peers of the data centre changed.
    PeersChanged { peers: Vec<LivePeer> },
    /// Known entry hosts, with addresses. The transport keeps connections to
    /// those of its own data centre and to gateways, and connects to others
    /// when something is sent to them.
    AddressesChanged { entries: Vec<EntryAddress> },
    /// The gateways of other data centres that are heard from changed.
    GatewaysChanged { gateways: Vec<(DataCentreId, EntryId)> },
    /// The last holders of a data centre's seats by index; none for a seat
    /// that was never held or was released. A holder stays listed after its
    /// death until its seat is taken over.
    HoldersChanged { data_centre: DataCentreId, holders: Vec<Option<EntryId>> },
    /// A peer has a newer document or newer host records.
    PeerIsAhead { peer: EntryId, in_force: (Epoch, Revision), fleet_version: u64 },
    /// Sends a message to a peer.
    Send { to: EntryId, message: SeatsMessage },
    /// Calls the store.
    Store { call: CallId, request: StoreRequest },
    /// The seat record was removed: the process may exit.
    Released,
}
