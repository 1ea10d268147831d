//! Distribution between entry hosts: pushes of changes, and pulls of missing
//! state.

use super::ConfigurationEngine;
use crate::{
    coordination::configuration::{
        ConfigurationAction, ConfigurationMessage, Position, WholePart, in_force::Applied,
    },
    state::{
        clock::ClockReading,
        ids::{EntryId, Epoch, HostId},
        records::{HeadRecord, HostRecord},
    },
};

/// Time after which an unanswered pull is repeated, in milliseconds. Answers
/// arrive within milliseconds unless they are lost. With growing intervals, an
/// entry host that lost 30% of its messages lagged by more than 5 s.
const PULL_TIMEOUT_MS: u64 = 300;
/// Maximum number of attempts of one pull; a later heartbeat starts another.
const PULL_ATTEMPTS: u32 = 3;
/// Time for which changes of host records are batched before they are pushed
/// and reported, in milliseconds.
const HOSTS_BATCH_MS: u64 = 50;

/// A pull that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct Pull {
    to: EntryId,
    attempts: u32,
    retry_ms: u64,
}

impl Pull {
    pub(super) fn retry_ms(&self) -> u64 {
        self.retry_ms
    }
}

impl ConfigurationEngine {
    /// Applies the head of the store, or reports that the store was restored.
    pub(super) fn apply_head(
        &mut self,
        now: ClockReading,
        head: &HeadRecord,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let found = head.position();
        if found < self.position() {
            self.report_restored(found, actions);
            return;
        }
        self.reported_restored = None;
        let applied = self.in_force.apply_whole(found, &head.text);
        self.on_applied(now, None, found, applied, actions);
    }

    pub(super) fn report_restored(
        &mut self,
        found: Position,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        self.clear_copied();
        if self.reported_restored.replace(found) != Some(found) {
            let in_force = self.position();
            actions.push(ConfigurationAction::StoreRestored { in_force, found });
        }
    }

    /// Returns whether the store shows older state than the one in force.
    pub(super) fn is_restored(&self) -> bool {
        self.reported_restored.is_some()
    }

    /// Handles the result of applying a position from the store or a peer.
    fn on_applied(
        &mut self,
        now: ClockReading,
        from: Option<&EntryId>,
        position: Position,
        applied: Applied,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        match applied {
            Applied::Newer => self.on_newer(now.monotonic_ms, from, actions),
            Applied::NotNewer => {}
            Applied::OtherBase => {
                if let Some(from) = from {
                    self.send_pull(now.monotonic_ms, from.clone(), actions);
                }
            }
            Applied::Unusable(errors) => {
                let message = errors.to_string().into();
                actions.push(ConfigurationAction::Unusable { position, message });
            }
        }
    }

    fn on_newer(
        &mut self,
        now_ms: u64,
        from: Option<&EntryId>,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let position = self.position();
        let previous = self.in_force.previous();
        self.reported_restored = None;
        if previous.epoch != position.epoch && previous != Position::default() {
            self.hosts.start_epoch();
            self.restart_watching(now_ms);
        }
        if let Some(document) = self.in_force.document() {
            let (document, text) = (document.clone(), self.in_force.full_text().clone());
            actions.push(ConfigurationAction::InForce { position, document, text });
        }
        // Only deltas are pushed; an entry host that needs the full text pulls
        // it.
        let message = self.in_force.message_from(previous);
        if matches!(message, ConfigurationMessage::Delta { .. }) {
            self.push(from, &message, actions);
        }
    }

    /// Sends a message to the data centre's peers, unless it came from one of
    /// them.
    fn push(
        &self,
        from: Option<&EntryId>,
        message: &ConfigurationMessage,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        if from.is_some_and(|from| self.peers.contains(from)) {
            return;
        }
        let send =
            |to: &EntryId| ConfigurationAction::Send { to: to.clone(), message: message.clone() };
        actions.extend(self.peers.iter().map(send));
    }

    pub(super) fn on_peer_ahead(
        &mut self,
        now_ms: u64,
        peer: EntryId,
        position: Position,
        fleet_version: u64,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        self.start.highest_seen = self.start.highest_seen.max(position);
        let is_ahead = position > self.position()
            || position.epoch == self.position().epoch && fleet_version > self.hosts.version();
        if is_ahead {
            self.send_pull(now_ms, peer, actions);
        }
    }

    /// Pulls newer state from one peer, unless another pull is outstanding.
    pub(super) fn send_pull(
        &mut self,
        now_ms: u64,
        to: EntryId,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        if self.pull.as_ref().is_some_and(|pull| now_ms < pull.retry_ms) {
            return;
        }
        self.pull_from(now_ms, to, 1, actions);
    }

    /// Repeats a pull that has timed out.
    pub(super) fn repeat_pull(&mut self, now_ms: u64, actions: &mut Vec<ConfigurationAction>) {
        if let Some(Pull { to, attempts, .. }) = self.pull.take_if(|pull| now_ms >= pull.retry_ms)
            && attempts < PULL_ATTEMPTS
        {
            self.pull_from(now_ms, to, attempts + 1, actions);
        }
    }

    fn pull_from(
        &mut self,
        now_ms: u64,
        to: EntryId,
        attempts: u32,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let retry_ms = now_ms + PULL_TIMEOUT_MS;
        self.pull = Some(Pull { to: to.clone(), attempts, retry_ms });
        let (position, fleet_version) = (self.position(), self.hosts.version());
        let message = ConfigurationMessage::Pull { position, fleet_version };
        actions.push(ConfigurationAction::Send { to, message });
    }

    pub(super) fn on_message(
        &mut self,
        now: ClockReading,
        from: EntryId,
        message: ConfigurationMessage,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        match message {
            ConfigurationMessage::Pull { position, fleet_version } => {
                self.answer_pull(from, position, fleet_version, actions);
            }
            ConfigurationMessage::Delta { base, position, edits } => {
                self.on_answer(&from);
                let applied = self.in_force.apply_delta(base, position, &edits);
                self.on_applied(now, Some(&from), position, applied, actions);
            }
            ConfigurationMessage::Whole { position, text } => {
                self.on_answer(&from);
                let applied = self.in_force.apply_whole(position, &text);
                self.on_applied(now, Some(&from), position, applied, actions);
            }
            ConfigurationMessage::Hosts { epoch, base, fleet_version, records, removed, whole } => {
                let known = if whole.is_some_and(|part| part.first) { 0 } else { base };
                if !self.can_apply_hosts(now.monotonic_ms, &from, epoch, known, actions) {
                    return;
                }
                let before = self.hosts.version();
                self.begin_part(&from, whole);
                let changed = self.apply_host_changes(records, removed);
                self.hosts.advance_version(fleet_version);
                let removed_unlisted = self.end_part(&from, whole, fleet_version);
                if changed || removed_unlisted || before != self.hosts.version() {
                    let is_own = self.peers.contains(&from);
                    self.schedule_host_report(now.monotonic_ms, before, !is_own);
                }
            }
        }
    }

    fn on_answer(&mut self, from: &EntryId) {
        self.pull.take_if(|pull| pull.to == *from);
        self.start.has_answer = true;
    }

    fn answer_pull(
        &self,
        to: EntryId,
        position: Position,
        fleet_version: u64,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let own = self.position();
        let mut messages = vec![self.in_force.message_from(position)];
        if own.epoch >= position.epoch {
            let from = if own.epoch == position.epoch { fleet_version } else { 0 };
            messages.extend(self.hosts.messages_from(own.epoch, from));
        }
        let send = |message| ConfigurationAction::Send { to: to.clone(), message };
        actions.extend(messages.into_iter().map(send));
    }

    /// Returns whether a peer's host records can be applied to the known ones;
    /// starts a pull if records in between are missing.
    fn can_apply_hosts(
        &mut self,
        now_ms: u64,
        from: &EntryId,
        epoch: Epoch,
        base: u64,
        actions: &mut Vec<ConfigurationAction>,
    ) -> bool {
        let own = self.in_force.epoch();
        if epoch > own || epoch == own && base > self.hosts.version() {
            self.send_pull(now_ms, from.clone(), actions);
            return false;
        }
        epoch == own
    }

    fn begin_part(&mut self, from: &EntryId, whole: Option<WholePart>) {
        // A full listing of the store that is in progress takes precedence.
        if whole.is_some_and(|part| part.first) && !self.watcher.is_listing() {
            self.full_listing_from = Some(from.clone());
            self.hosts.begin_full_listing();
        }
    }

    fn end_part(&mut self, from: &EntryId, whole: Option<WholePart>, fleet_version: u64) -> bool {
        let ends =
            whole.is_some_and(|part| part.last) && self.full_listing_from.as_ref() == Some(from);
        if ends {
            self.full_listing_from = None;
        }
        ends && self.hosts.end_full_listing(fleet_version)
    }

    fn apply_host_changes(
        &mut self,
        records: Vec<(u64, HostRecord)>,
        removed: Vec<(u64, HostId)>,
    ) -> bool {
        let mut changed = false;
        for (version, record) in records {
            changed |= self.hosts.put(version, record);
        }
        for (version, host) in removed {
            changed |= self.hosts.remove(version, host);
        }
        changed
    }

    /// Schedules the report of changed host records, which were complete up to
    /// version `before`, and their push to peers if `push` is set.
    pub(super) fn schedule_host_report(&mut self, now_ms: u64, before: u64, push: bool) {
        self.hosts_due_ms.get_or_insert(now_ms + HOSTS_BATCH_MS);
        if push {
            self.push_hosts_from.get_or_insert(before);
        }
    }

    /// Pushes and reports batched changes of host records.
    pub(super) fn report_hosts(&mut self, now_ms: u64, actions: &mut Vec<ConfigurationAction>) {
        if self.hosts_due_ms.take_if(|due_ms| now_ms >= *due_ms).is_none() {
            return;
        }
        let fleet_version = self.hosts.version();
        let records = self.hosts.all();
        actions.push(ConfigurationAction::FleetChanged { fleet_version, records });
        // A full listing is not pushed; entry hosts that need it pull it.
        if let Some(from) = self.push_hosts_from.take().filter(|from| *from > 0) {
            for message in self.hosts.messages_from(self.in_force.epoch(), from) {
                self.push(None, &message, actions);
            }
        }
    }
}
