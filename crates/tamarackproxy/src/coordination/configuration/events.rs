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

/// Position of a document: a restored store starts a new epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Position {
    /// Epoch; compared first.
    pub epoch: Epoch,
    /// Revision within the epoch.
    pub revision: Revision,
}

/// New text of one section, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionEdit {
    /// The section.
    pub section: SectionName,
    /// Body in INI without the header; none removes the section.
    pub text: Option<Box<str>>,
    /// Revision in which the author read the section.
    pub base: Revision,
}

/// Identifies a put or read within one entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OperatorCall(pub u64);

/// Messages between configuration engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// Asks for what is newer than the sender's state. The answer is a `Delta`,
    /// which is empty where the receiver has nothing newer, or a `Whole`, and
    /// `Hosts` if the receiver has newer host records.
    Pull { position: Position, fleet_version: u64 },
    /// Sections that changed from `base` to `position`.
    Delta { base: Position, position: Position, edits: Vec<SectionEdit> },
    /// The whole text, sent only where no delta reaches the receiver's state.
    Whole { position: Position, text: Box<str> },
    /// Host records that changed after `base`, up to `fleet_version`.
    Hosts {
        /// Epoch of the sender's document; versions of different epochs do not
        /// compare, because a restored store counts on from its backup.
        epoch: Epoch,
        /// Version that the receiver must have reached.
        base: u64,
        /// Version that the receiver has reached afterwards.
        fleet_version: u64,
        /// Records with their versions.
        records: Vec<(u64, HostRecord)>,
        /// Hosts whose records were removed, with the versions of the removal.
        removed: Vec<(u64, HostId)>,
        /// Whether this is a part of all records, in the order of versions.
        whole: Option<WholePart>,
    },
}

/// Place of a message in a sequence that carries all host records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WholePart {
    /// Whether it is the first; records that no part names are removed.
    pub first: bool,
    /// Whether it is the last.
    pub last: bool,
}

/// Why a put was not accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum PutError {
    /// team {team} may not change section [{section}]; its owner is {owner}
    NotOwner { team: TeamId, section: SectionName, owner: Box<str> },
    /// section [{section}] was changed in revision {changed} after the base {base}; read it again and repeat the edit
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
    /// too many puts wait; repeat the put later
    Busy,
    /// the history holds no former text of revision {0}; put the sections with the text that you want
    NoHistory(Revision),
}

impl std::error::Error for PutError {}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationEvent {
    /// An authenticated team puts sections; `raise_epoch` accepts the store's
    /// restored state as the base of a new epoch.
    Put { call: OperatorCall, team: TeamId, edits: Vec<SectionEdit>, raise_epoch: bool },
    /// An authenticated team puts back the sections that a revision changed, as
    /// a new revision; fails if one of them was changed since.
    Revert { call: OperatorCall, team: TeamId, revision: Revision },
    /// A reader waits until this revision is in force here.
    WaitFor { call: OperatorCall, revision: Revision, until_ms: u64 },
    /// Live entry hosts of the data centre, and a gateway of each other one.
    PeersChanged { peers: Vec<EntryId>, gateways: Vec<(DataCentreId, EntryId)> },
    /// A heartbeat shows that a peer has newer state.
    PeerIsAhead { peer: EntryId, position: Position, fleet_version: u64 },
    /// A peer's message arrived.
    Received { from: EntryId, message: ConfigurationMessage },
    /// A call to the store ended.
    StoreReplied { call: CallId, result: Result<StoreReply, StoreError> },
    /// A watch that this entry host holds reports a change. After
    /// `Interrupted` the watch is over and the engine starts another.
    Watched { prefix: Box<str>, event: WatchEvent },
    /// The entry host stops: the control lease of the watch is released.
    Stopping,
    /// Time passed.
    Tick,
}

/// What the owner of the engine does.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationAction {
    /// This document is in force from now on.
    InForce { position: Position, document: Arc<Document>, text: Arc<str> },
    /// The host records changed; lists all known ones.
    FleetChanged { fleet_version: u64, records: Arc<Vec<(u64, HostRecord)>> },
    /// Whether this entry host may report itself ready.
    Ready { ready: bool },
    /// The store shows older state than the one in force.
    StoreRestored { in_force: Position, found: Position },
    /// A revision in the store cannot be read by this version and is not used.
    Unusable { position: Position, message: Box<str> },
    /// A put or revert ended.
    PutEnded { call: OperatorCall, result: Result<Position, PutError> },
    /// A waiting reader may read, or its time ran out.
    WaitEnded { call: OperatorCall, reached: bool },
    /// Starts a watch on a prefix from a version, which is the first that it
    /// reports; replaces an earlier watch on the prefix.
    Watch { prefix: Box<str>, from_version: u64 },
    /// Ends the watch on a prefix.
    Unwatch { prefix: Box<str> },
    /// Sends a message to a peer.
    Send { to: EntryId, message: ConfigurationMessage },
    /// Calls the store.
    Store { call: CallId, request: StoreRequest },
}
