//! The configuration engine: state, events and timers.

mod distribution;
mod puts;
mod start;
mod watch;

use std::collections::VecDeque;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::{distribution::Pull, puts::Puts, start::Start, watch::Watcher};
use super::{
    ConfigurationAction, ConfigurationEvent, OperatorCall, Position, hosts::HostTable,
    in_force::InForce,
};
use crate::{
    protocol::store::{StoreError, StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        ids::{CallId, DataCentreId, EntryId, Revision},
    },
};

/// Maximum number of readers waiting for a revision; further ones are rejected.
const WAITS_MAX: usize = 1_024;

#[derive(Clone, Debug)]
struct RevisionWait {
    call: OperatorCall,
    revision: Revision,
    until_ms: u64,
}

/// Holds the document and the host records, and keeps them up to date.
///
/// See section 3.3 of the design page. Only positions above the one in force
/// are ever applied.
#[derive(Clone, Debug)]
pub struct ConfigurationEngine {
    entry: EntryId,
    in_force: InForce,
    hosts: HostTable,
    peers: Vec<EntryId>,
    gateways: Vec<(DataCentreId, EntryId)>,
    rng: ChaCha8Rng,
    next_call: CallId,
    puts: Puts,
    watcher: Watcher,
    start: Start,
    pull: Option<Pull>,
    /// Peer whose full listing of host records is being received.
    full_listing_from: Option<EntryId>,
    /// Version from which changed host records are pushed to the data centre's
    /// peers, if a push is pending.
    push_hosts_from: Option<u64>,
    /// Monotonic time at which changed host records are reported, in
    /// milliseconds.
    hosts_due_ms: Option<u64>,
    waits: VecDeque<RevisionWait>,
    reported_restored: Option<Position>,
}

impl ConfigurationEngine {
    /// Creates the engine of one entry host. `seed` must differ between
    /// processes, because operation ids are derived from it.
    pub fn new(entry: EntryId, data_centre: DataCentreId, seed: u64) -> Self {
        Self {
            watcher: Watcher::new(&entry, &data_centre),
            entry,
            in_force: InForce::default(),
            hosts: HostTable::default(),
            peers: Vec::new(),
            gateways: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_call: CallId(1),
            puts: Puts::default(),
            start: Start::default(),
            pull: None,
            full_listing_from: None,
            push_hosts_from: None,
            hosts_due_ms: None,
            waits: VecDeque::new(),
            reported_restored: None,
        }
    }

    /// Returns the position in force on this entry host.
    pub fn position(&self) -> Position {
        self.in_force.position()
    }

    /// Returns the version up to which the host records are complete.
    pub fn fleet_version(&self) -> u64 {
        self.hosts.version()
    }

    /// Returns whether this entry host watches the store for its data centre.
    pub fn is_watcher(&self) -> bool {
        self.watcher.is_active()
    }

    /// Returns whether this entry host may report itself ready.
    pub fn is_ready(&self) -> bool {
        self.start.is_ready()
    }

    /// Returns the monotonic time at which [`ConfigurationEvent::Tick`] is next
    /// needed, in milliseconds.
    pub fn next_tick_ms(&self) -> Option<u64> {
        let waits = self.waits.iter().map(|wait| wait.until_ms).min();
        [self.puts.next_tick_ms(), self.watcher.next_tick_ms(), self.start.next_tick_ms()]
            .into_iter()
            .chain([waits, self.hosts_due_ms, self.pull.as_ref().map(Pull::retry_ms)])
            .flatten()
            .min()
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(
        &mut self,
        now: ClockReading,
        event: ConfigurationEvent,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        self.begin_start(now.monotonic_ms);
        match event {
            ConfigurationEvent::Put { call, team, edits, raise_epoch } => {
                self.accept_put(now, call, team, edits, raise_epoch, actions);
            }
            ConfigurationEvent::Revert { call, team, revision } => {
                self.accept_revert(now, call, team, revision, actions);
            }
            ConfigurationEvent::WaitFor { call, revision, until_ms } => {
                self.accept_wait(RevisionWait { call, revision, until_ms }, actions);
            }
            ConfigurationEvent::PeersChanged { peers, gateways } => {
                self.peers = peers;
                self.peers.retain(|peer| *peer != self.entry);
                self.gateways = gateways;
            }
            ConfigurationEvent::PeerIsAhead { peer, position, fleet_version } => {
                self.on_peer_ahead(now.monotonic_ms, peer, position, fleet_version, actions);
            }
            ConfigurationEvent::Received { from, message } => {
                self.on_message(now, from, message, actions);
            }
            ConfigurationEvent::StoreReplied { call, result } => {
                self.on_store_reply(now, call, result, actions);
            }
            ConfigurationEvent::Watched { prefix, event } => {
                self.on_watched(now, &prefix, event, actions);
            }
            ConfigurationEvent::Stopping => self.stop_watching(actions),
            ConfigurationEvent::Tick => {}
        }
        self.advance(now, actions);
    }

    fn advance(&mut self, now: ClockReading, actions: &mut Vec<ConfigurationAction>) {
        let now_ms = now.monotonic_ms;
        self.repeat_pull(now_ms, actions);
        self.advance_puts(now, actions);
        self.advance_watcher(now, actions);
        self.report_hosts(now_ms, actions);
        self.end_waits(now_ms, actions);
        self.advance_start(now_ms, actions);
    }

    fn call_store(
        &mut self,
        request: StoreRequest,
        actions: &mut Vec<ConfigurationAction>,
    ) -> CallId {
        let call = self.next_call;
        self.next_call = call.next();
        actions.push(ConfigurationAction::Store { call, request });
        call
    }

    fn on_store_reply(
        &mut self,
        now: ClockReading,
        call: CallId,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let call = Some(call);
        if self.puts.call == call {
            self.on_put_reply(now, result, actions);
        } else if self.puts.copy_call == call {
            self.on_history_copied(now.monotonic_ms, result);
        } else if self.watcher.lease_call == call {
            self.on_lease_reply(now, result, actions);
        } else if self.watcher.call == call {
            self.on_watcher_reply(now, result, actions);
        } else if self.start.call == call {
            self.on_start_reply(now, result, actions);
        }
    }

    fn accept_wait(&mut self, wait: RevisionWait, actions: &mut Vec<ConfigurationAction>) {
        if self.waits.len() < WAITS_MAX {
            self.waits.push_back(wait);
        } else {
            let call = wait.call;
            actions.push(ConfigurationAction::WaitEnded { call, reached: false });
        }
    }

    fn end_waits(&mut self, now_ms: u64, actions: &mut Vec<ConfigurationAction>) {
        let revision = self.position().revision;
        self.waits.retain(|wait| {
            let reached = revision >= wait.revision;
            let ended = reached || now_ms >= wait.until_ms;
            if ended {
                actions.push(ConfigurationAction::WaitEnded { call: wait.call, reached });
            }
            !ended
        });
    }
}
