//! Watches of the store, held by one entry host (the watcher) per data centre.

use rand::Rng;

use super::ConfigurationEngine;
use crate::{
    coordination::{
        configuration::{ConfigurationAction, HEAD_KEY, HOST_PREFIX, Position},
        control::{Backoff, ControlLease},
    },
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest, WatchEvent},
    state::{
        clock::ClockReading,
        ids::{CallId, DataCentreId, EntryId},
        records::{HeadRecord, HostRecord},
    },
};

/// Time from the start to the first attempt to become the watcher, in
/// milliseconds, so that heartbeats show first which peers are alive.
const FIRST_ATTEMPT_MS: u64 = 1_200;
/// Jitter of the first attempt, in milliseconds.
const FIRST_ATTEMPT_JITTER_MS: u64 = 600;
/// Interval between attempts of the first-ranked entry host, in milliseconds.
const RETRY_MS: u64 = 3_000;
/// Interval between attempts of the other entry hosts, multiplied by their rank,
/// in milliseconds; they take over if higher-ranked ones cannot reach the store.
const STANDBY_RETRY_MS: u64 = 15_000;
/// Maximum number of host records in one page of the listing.
const PAGE_LIMIT: u32 = 500;
/// Maximum delay before the state is read again after an interrupted watch, in
/// milliseconds; spreads the calls of the data centres after an outage.
const INTERRUPTED_JITTER_MS: u64 = 500;
/// Upper limit of the first delay after a failed read, in milliseconds.
const BACKOFF_MIN_MS: u64 = 500;
/// Upper limit of the delay after repeated failures, in milliseconds. With a
/// call timeout of 1 s, three attempts fit into the 6 s after an outage; the
/// load is small, because there is only one watcher per data centre.
const BACKOFF_MAX_MS: u64 = 1_000;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    ReadingHead,
    Listing { watch_from: u64, is_first_page: bool, before: u64 },
    Watching,
}

/// State of this entry host as the watcher, or candidate for it.
#[derive(Clone, Debug)]
pub(super) struct Watcher {
    lease: ControlLease,
    pub(super) lease_call: Option<CallId>,
    first_attempt_ms: Option<u64>,
    active: bool,
    stage: Stage,
    pub(super) call: Option<CallId>,
    retry_ms: Option<u64>,
    backoff: Backoff,
    stopped: bool,
}

impl Watcher {
    pub(super) fn new(entry: &EntryId, data_centre: &DataCentreId) -> Self {
        Self {
            lease: ControlLease::new(format!("watch/{data_centre}"), entry.clone()),
            lease_call: None,
            first_attempt_ms: None,
            active: false,
            stage: Stage::Idle,
            call: None,
            retry_ms: None,
            backoff: Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS),
            stopped: false,
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.active
    }

    pub(super) fn is_listing(&self) -> bool {
        matches!(self.stage, Stage::Listing { .. })
    }

    pub(super) fn next_tick_ms(&self) -> Option<u64> {
        if self.stopped {
            return None;
        }
        let first_ms = self.first_attempt_ms?;
        let lease_ms = self.lease.next_tick_ms().map(|lease_ms| lease_ms.max(first_ms));
        lease_ms.into_iter().chain(self.retry_ms).min()
    }
}

impl ConfigurationEngine {
    pub(super) fn schedule_watcher(&mut self, now_ms: u64) {
        let jitter_ms = self.rng.random_range(0..=FIRST_ATTEMPT_JITTER_MS);
        self.watcher.first_attempt_ms = Some(now_ms + FIRST_ATTEMPT_MS + jitter_ms);
    }

    /// Acquires or renews the lease, and starts or ends the watches with it.
    pub(super) fn advance_watcher(
        &mut self,
        now: ClockReading,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let now_ms = now.monotonic_ms;
        let due = self.watcher.first_attempt_ms.is_some_and(|first_ms| now_ms >= first_ms);
        if !due || self.watcher.stopped {
            return;
        }
        let rank = self.peers.iter().filter(|peer| **peer < self.entry).count() as u64;
        let retry_ms = if rank == 0 { RETRY_MS } else { STANDBY_RETRY_MS * rank };
        self.watcher.lease.set_retry_ms(retry_ms);
        if let Some(request) = self.watcher.lease.tick(now) {
            self.watcher.lease_call = Some(self.call_store(request, actions));
        }
        self.update_watching(now_ms, rank, actions);
        if self.watcher.retry_ms.take_if(|retry_ms| now_ms >= *retry_ms).is_some() {
            self.read_head(actions);
        }
    }

    fn update_watching(&mut self, now_ms: u64, rank: u64, actions: &mut Vec<ConfigurationAction>) {
        // A lease that may have expired during an outage counts as held until
        // another holder is seen: a watch writes nothing, so two watchers do no
        // harm, and changes must not be delayed.
        let holds = self.watcher.lease.lease().is_some() || self.replaces_dead_watcher(rank);
        if holds && !self.watcher.active {
            self.watcher.active = true;
            self.watcher.retry_ms = Some(now_ms);
        } else if !holds && self.watcher.active {
            self.end_watches(actions);
        }
    }

    /// Returns whether to watch before the lease of a dead watcher expires: a
    /// duplicate watch for a few seconds costs less than a delayed revision.
    fn replaces_dead_watcher(&self, rank: u64) -> bool {
        let is_gone =
            |holder: &EntryId| *holder == self.entry || rank == 0 && !self.peers.contains(holder);
        self.watcher.lease.other_holder().is_some_and(is_gone)
    }

    pub(super) fn on_lease_reply(
        &mut self,
        now: ClockReading,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        self.watcher.lease_call = None;
        if let Some(request) = self.watcher.lease.on_store_reply(now, result) {
            self.watcher.lease_call = Some(self.call_store(request, actions));
        }
    }

    /// Releases the lease when the process stops.
    pub(super) fn stop_watching(&mut self, actions: &mut Vec<ConfigurationAction>) {
        if let Some(request) = self.watcher.lease.release() {
            self.watcher.lease_call = Some(self.call_store(request, actions));
        }
        self.end_watches(actions);
        self.watcher.stopped = true;
    }

    fn end_watches(&mut self, actions: &mut Vec<ConfigurationAction>) {
        if std::mem::replace(&mut self.watcher.active, false) {
            actions.push(ConfigurationAction::Unwatch { prefix: HEAD_KEY.into() });
            actions.push(ConfigurationAction::Unwatch { prefix: HOST_PREFIX.into() });
        }
        self.watcher.stage = Stage::Idle;
        self.watcher.call = None;
        self.watcher.retry_ms = None;
    }

    /// Schedules a full read and new watches, after an interruption or in a new
    /// epoch.
    pub(super) fn restart_watching(&mut self, now_ms: u64) {
        if self.watcher.active {
            self.watcher.stage = Stage::Idle;
            self.watcher.call = None;
            self.watcher.retry_ms = Some(now_ms);
        }
    }

    fn read_head(&mut self, actions: &mut Vec<ConfigurationAction>) {
        self.watcher.stage = Stage::ReadingHead;
        let request = StoreRequest::Get { key: HEAD_KEY.into() };
        self.watcher.call = Some(self.call_store(request, actions));
    }

    pub(super) fn on_watcher_reply(
        &mut self,
        now: ClockReading,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        self.watcher.call = None;
        match (self.watcher.stage.clone(), result) {
            (Stage::ReadingHead, Ok(StoreReply::Value(value))) => {
                self.watcher.backoff.reset();
                self.on_head_read(now, value, actions);
            }
            (
                Stage::Listing { watch_from, is_first_page, before },
                Ok(StoreReply::Values { items, more }),
            ) => {
                let first = items.iter().map(|item| item.version.0).max().unwrap_or(0);
                // The watch covers all changes made after the first page was
                // read.
                let watch_from = if is_first_page { watch_from.max(first + 1) } else { watch_from };
                let stage = Stage::Listing { watch_from, is_first_page: false, before };
                self.on_page(now.monotonic_ms, stage, &items, more, actions);
            }
            _ => {
                let delay_ms = self.watcher.backoff.next_delay_ms(&mut self.rng);
                self.watcher.stage = Stage::Idle;
                self.watcher.retry_ms = Some(now.monotonic_ms + delay_ms);
            }
        }
    }

    fn on_head_read(
        &mut self,
        now: ClockReading,
        value: Option<KeyValue>,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let watch_from = value.as_ref().map_or(1, |value| value.version.0 + 1);
        let epoch = self.in_force.epoch();
        self.apply_head_value(now, value.as_ref(), actions);
        if self.in_force.epoch() != epoch && self.watcher.retry_ms.is_some() {
            return;
        }
        let prefix = HEAD_KEY.into();
        actions.push(ConfigurationAction::Watch { prefix, from_version: watch_from });
        if self.is_restored() {
            // Older host records are not applied either; the watch on the head
            // reports when an admin has raised the epoch.
            self.watcher.stage = Stage::Watching;
            return;
        }
        self.full_listing_from = None;
        self.hosts.begin_full_listing();
        let before = self.hosts.version();
        self.watcher.stage = Stage::Listing { watch_from, is_first_page: true, before };
        self.list_hosts(None, actions);
    }

    fn apply_head_value(
        &mut self,
        now: ClockReading,
        value: Option<&KeyValue>,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let Some(value) = value else {
            if self.position() != Position::default() {
                self.report_restored(Position::default(), actions);
            }
            return;
        };
        match serde_json::from_slice::<HeadRecord>(&value.value) {
            Ok(head) => self.apply_head(now, &head, actions),
            Err(error) => {
                let (position, message) = (Position::default(), error.to_string().into());
                actions.push(ConfigurationAction::Unusable { position, message });
            }
        }
    }

    fn list_hosts(&mut self, after: Option<Box<str>>, actions: &mut Vec<ConfigurationAction>) {
        let prefix = HOST_PREFIX.into();
        let request = StoreRequest::List { prefix, after, limit: PAGE_LIMIT };
        self.watcher.call = Some(self.call_store(request, actions));
    }

    fn on_page(
        &mut self,
        now_ms: u64,
        stage: Stage,
        items: &[KeyValue],
        more: bool,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        for item in items {
            if let Ok(record) = serde_json::from_slice::<HostRecord>(&item.value) {
                self.hosts.put(item.version.0, record);
            }
        }
        let last = items.last().filter(|_| more).map(|last| last.key.clone());
        self.watcher.stage = stage;
        if last.is_some() {
            self.list_hosts(last, actions);
            return;
        }
        let Stage::Listing { watch_from, before, .. } = self.watcher.stage else { return };
        self.hosts.end_full_listing(u64::MAX);
        // At least 1, because version 0 means that nothing was listed yet and
        // the fleet may be empty.
        self.hosts.advance_version(self.hosts.highest_record().max(1));
        self.schedule_host_report(now_ms, before, true);
        self.watcher.stage = Stage::Watching;
        let prefix = HOST_PREFIX.into();
        actions.push(ConfigurationAction::Watch { prefix, from_version: watch_from });
    }

    pub(super) fn on_watched(
        &mut self,
        now: ClockReading,
        prefix: &str,
        event: WatchEvent,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        if !self.watcher.active {
            return;
        }
        match event {
            WatchEvent::Interrupted => {
                let jitter_ms = self.rng.random_range(0..=INTERRUPTED_JITTER_MS);
                self.restart_watching(now.monotonic_ms + jitter_ms);
            }
            WatchEvent::Put(value) if prefix == HEAD_KEY => {
                self.apply_head_value(now, Some(&value), actions);
            }
            WatchEvent::Deleted { .. } if prefix == HEAD_KEY => {
                self.apply_head_value(now, None, actions);
            }
            WatchEvent::Put(value) => {
                if let Ok(record) = serde_json::from_slice::<HostRecord>(&value.value) {
                    let before = self.hosts.version();
                    if self.hosts.put(value.version.0, record) {
                        self.hosts.advance_version(value.version.0);
                        self.schedule_host_report(now.monotonic_ms, before, true);
                    }
                }
            }
            WatchEvent::Deleted { key, version } => {
                let host = key.strip_prefix(HOST_PREFIX).and_then(|host| host.parse().ok());
                let before = self.hosts.version();
                if host.is_some_and(|host| self.hosts.remove(version.0, host)) {
                    self.hosts.advance_version(version.0);
                    self.schedule_host_report(now.monotonic_ms, before, true);
                }
            }
        }
    }
}
