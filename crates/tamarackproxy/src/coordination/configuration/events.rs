//! Events and actions of the configuration engine.

use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{
    protocol::store::{StoreError, StoreReply, StoreRequest, WatchEvent},
    state::{
        document::{Document, SectionName},
        ids::{CallId, DataCentreId, EntryId, Epoch, HostId, Revision, TeamId},
        records::HostRecord,
    },
};

/// Position of a document. An admin starts a new epoch after the store was
/// restored from a backup.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Position {
    /// Epoch; compared first.
    pub epoch: Epoch,
    /// Revision; increases across epochs.
    pub revision: Revision,
}

/// New text of one section, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionEdit {
    /// The section.
    pub section: SectionName,
    /// Body in INI syntax without the header; `None` removes the section.
    pub text: Option<Box<str>>,
    /// Revision in which the author read the section.
    pub base: Revision,
}

/// Identifies an operator's put, revert or wait within one entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OperatorCall(pub u64);

/// Messages between configuration engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// Asks for state newer than the sender's. The answer is a `Delta`, which is
    /// empty if the receiver has nothing newer, or a `Whole`, plus `Hosts` if
    /// the receiver has newer host records.
    Pull { position: Position, fleet_version: u64 },
    /// Sections that changed from `base` to `position`.
    Delta { base: Position, position: Position, edits: Vec<SectionEdit> },
    /// The full document text, sent only if no delta starts at the receiver's
    /// position or the delta would not be smaller.
    Whole { position: Position, text: Box<str> },
    /// Host records that changed after `base`, up to `fleet_version`.
    Hosts {
        /// Epoch of the sender's document. Versions of different epochs do not
        /// compare, because a restored store continues from its backup's
        /// version.
        epoch: Epoch,
        /// Version that the receiver must already have.
        base: u64,
        /// Version that the receiver has afterwards.
        fleet_version: u64,
        /// Records with their versions.
        records: Vec<(u64, HostRecord)>,
        /// Hosts whose records were removed, with the versions of the removals.
        removed: Vec<(u64, HostId)>,
        /// Set if the message is part of a full listing, in order of versions.
        whole: Option<WholePart>,
    },
}

/// Place of a message in the sequence of a full listing of host records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WholePart {
    /// Whether it is the first part. Records that no part contains are removed
    /// after the last one.
    pub first: bool,
    /// Whether it is the last part.
    pub last: bool,
}

/// Why a put was not accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum PutError {
    /// team {team} may not change section [{section}]; its owner is {owner}
    NotOwner { team: TeamId, section: SectionName, owner: Box<str> },
    /// section [{section}] was changed in revision {changed}, after the base revision {base}; read it again and repeat the edit
    Stale { section: SectionName, base: Revision, changed: Revision },
    /// the document would be invalid: {0}
    Invalid(Box<str>),
    /// the document would be larger than {0} bytes; remove sections that are no longer used
    TooLarge(usize),
    /// the store is unavailable and nothing was changed; repeat the put
    Unavailable,
    /// the store did not confirm the change; read the history before repeating the put
    Unknown,
    /// the store shows older state than the one in force, as after a restore; an admin must raise the epoch
    StoreRestored,
    /// too many puts are queued; repeat the put later
    Busy,
    /// the history does not contain the texts that revision {0} replaced; put the sections with the desired text instead
    NoHistory(Revision),
}

impl std::error::Error for PutError {}

/// Inputs of the configuration engine.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationEvent {
    /// An authenticated team puts sections. `raise_epoch` starts a new epoch,
    /// which accepts the state of a restored store.
    Put { call: OperatorCall, team: TeamId, edits: Vec<SectionEdit>, raise_epoch: bool },
    /// An authenticated team restores the sections that a revision changed, as
    /// a new revision; fails if one of them was changed since.
    Revert { call: OperatorCall, team: TeamId, revision: Revision },
    /// A reader waits until this revision is in force on this entry host, at
    /// most until the monotonic time `until_ms`.
    WaitFor { call: OperatorCall, revision: Revision, until_ms: u64 },
    /// Live entry hosts of this data centre, and one gateway of each other data
    /// centre.
    PeersChanged { peers: Vec<EntryId>, gateways: Vec<(DataCentreId, EntryId)> },
    /// A heartbeat shows that a peer has newer state.
    PeerIsAhead { peer: EntryId, position: Position, fleet_version: u64 },
    /// A peer's message arrived.
    Received { from: EntryId, message: ConfigurationMessage },
    /// A call to the store ended.
    StoreReplied { call: CallId, result: Result<StoreReply, StoreError> },
    /// A watch of this entry host reports a change. `Interrupted` ends the
    /// watch, and the engine starts another.
    Watched { prefix: Box<str>, event: WatchEvent },
    /// The entry host stops: the lease for the watches is released.
    Stopping,
    /// Time passed.
    Tick,
}

/// Effects that the owner of the engine carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationAction {
    /// This document is in force from now on.
    InForce { position: Position, document: Arc<Document>, text: Arc<str> },
    /// The host records changed; carries all known records.
    FleetChanged { fleet_version: u64, records: Arc<Vec<(u64, HostRecord)>> },
    /// Whether the entry host has the newest reachable state, so that it may
    /// report itself ready.
    Ready { ready: bool },
    /// The store shows older state than the one in force.
    StoreRestored { in_force: Position, found: Position },
    /// A revision cannot be parsed by this version of the software and is not
    /// applied.
    Unusable { position: Position, message: Box<str> },
    /// A put or revert ended.
    PutEnded { call: OperatorCall, result: Result<Position, PutError> },
    /// The wait of a reader ended; `reached` is false if it timed out or too many
    /// readers wait.
    WaitEnded { call: OperatorCall, reached: bool },
    /// Starts a watch on a prefix, in place of an earlier one; `from_version` is
    /// the first version that it reports.
    Watch { prefix: Box<str>, from_version: u64 },
    /// Ends the watch on a prefix.
    Unwatch { prefix: Box<str> },
    /// Sends a message to a peer.
    Send { to: EntryId, message: ConfigurationMessage },
    /// Calls the store.
    Store { call: CallId, request: StoreRequest },
}
