//! State of the platform, independent of sockets: hosts, their conditions and the
//! lagging host list.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use tamarackproxy::{
    protocol::platform::{HostList, ListedHost, ListedState},
    state::ids::HostId,
};

use super::workers::WorkersState;
use crate::target::{Interruption, TargetHost};

/// Number of snapshots of the list that are kept; older ones are beyond any lag.
const LIST_SNAPSHOTS: usize = 4_096;

/// Condition of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The host is running.
    Up,
    /// The host is rebooting until this time, in milliseconds.
    Rebooting { until_ms: u64 },
    /// The host has failed and does not come back by itself.
    Dead,
}

/// An event of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEvent {
    pub host: HostId,
    /// Time, in milliseconds.
    pub at_ms: u64,
    /// Kind of the event.
    pub kind: HostEventKind,
}

/// Kind of a host event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostEventKind {
    /// A requested reboot began and interrupted requests and tasks.
    Rebooted {
        /// Interrupted requests.
        in_flight: usize,
        /// Interrupted tasks.
        tasks: usize,
    },
    /// The host came back from a reboot or a failure.
    CameBack,
    /// The host failed.
    Died,
    /// From `visible_ms` on the list says that the host is leaving.
    Leaving { visible_ms: u64 },
    /// The announcement was withdrawn: the list says again that the host is live.
    Stays,
}

/// Result of a reboot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RebootAnswer {
    /// The reboot begins, or began earlier under the same key.
    Accepted,
    /// No host has this name.
    UnknownHost,
    /// The host is not running, or is rebooting under another key.
    NotRunning,
}

struct PlatformHost {
    listed: ListedHost,
    condition: Condition,
    target: Option<Arc<TargetHost>>,
}

/// The platform without sockets; each call receives the current time.
pub struct PlatformState {
    hosts: BTreeMap<HostId, PlatformHost>,
    lists: Vec<(u64, HostList)>,
    operations: HashMap<Box<str>, HostId>,
    events: Vec<HostEvent>,
    /// Lag of the host list, in milliseconds.
    pub list_lag_ms: u64,
    /// Duration of a reboot, in milliseconds.
    pub reboot_ms: u64,
    /// Number of reads of the host list.
    pub list_calls: u64,
    /// Tasks of all workers.
    pub workers: WorkersState,
}

impl PlatformState {
    /// Creates a platform with live hosts, each with the instances that a reboot of
    /// the host stops.
    pub fn new<H>(hosts: H, list_lag_ms: u64, reboot_ms: u64) -> Self
    where
        H: IntoIterator<Item = (ListedHost, Option<Arc<TargetHost>>)>,
    {
        let hosts = hosts.into_iter().map(|(listed, target)| {
            (listed.host.clone(), PlatformHost { listed, condition: Condition::Up, target })
        });
        let mut state = Self {
            hosts: hosts.collect(),
            lists: Vec::new(),
            operations: HashMap::new(),
            events: Vec::new(),
            list_lag_ms,
            reboot_ms,
            list_calls: 0,
            workers: WorkersState::default(),
        };
        state.record_list(0);
        state
    }

    /// Returns the events so far, oldest first.
    pub fn events(&self) -> &[HostEvent] {
        &self.events
    }

    /// Returns the condition of a host.
    pub fn condition(&self, host: &HostId) -> Option<Condition> {
        self.hosts.get(host).map(|host| host.condition)
    }

    /// Returns the list as it was `list_lag_ms` ago.
    pub fn list(&mut self, now_ms: u64) -> HostList {
        self.list_calls += 1;
        let seen_ms = now_ms.saturating_sub(self.list_lag_ms);
        let seen = self.lists.iter().rev().find(|(at_ms, _)| *at_ms <= seen_ms);
        seen.or(self.lists.first()).map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Begins a reboot; a retry under the same key has no further effect.
    pub fn reboot(&mut self, now_ms: u64, host: &HostId, key: &str) -> RebootAnswer {
        let until_ms = now_ms + self.reboot_ms;
        let Some(found) = self.hosts.get_mut(host) else { return RebootAnswer::UnknownHost };
        if self.operations.get(key) == Some(host) {
            return RebootAnswer::Accepted;
        }
        if found.condition != Condition::Up {
            return RebootAnswer::NotRunning;
        }
        found.condition = Condition::Rebooting { until_ms };
        let in_flight =
            found.target.as_ref().map_or(0, |target| target.stop(Interruption::PlannedStop));
        self.operations.insert(key.into(), host.clone());
        let tasks = self.workers.stop_host(now_ms, host);
        self.record(now_ms, host, HostEventKind::Rebooted { in_flight, tasks });
        RebootAnswer::Accepted
    }

    /// Completes the reboots that are due.
    pub fn advance(&mut self, now_ms: u64) {
        let ended = |host: &PlatformHost| matches!(host.condition, Condition::Rebooting { until_ms } if until_ms <= now_ms);
        let back = self.hosts.iter().filter(|(_, host)| ended(host));
        let back: Vec<HostId> = back.map(|(name, _)| name.clone()).collect();
        for host in back {
            self.revive(now_ms, &host);
        }
    }

    /// Makes a host fail.
    pub fn kill(&mut self, now_ms: u64, host: &HostId) {
        let Some(found) = self.hosts.get_mut(host) else { return };
        found.condition = Condition::Dead;
        if let Some(target) = &found.target {
            target.stop(Interruption::Died);
        }
        self.workers.stop_host(now_ms, host);
        self.record(now_ms, host, HostEventKind::Died);
    }

    /// Makes a rebooting or failed host run again.
    pub fn revive(&mut self, now_ms: u64, host: &HostId) {
        let Some(found) = self.hosts.get_mut(host) else { return };
        found.condition = Condition::Up;
        if let Some(target) = &found.target {
            target.come_back();
        }
        self.record(now_ms, host, HostEventKind::CameBack);
    }

    /// Announces that a host is leaving, or withdraws the announcement.
    pub fn announce(&mut self, now_ms: u64, host: &HostId, state: ListedState) {
        let Some(found) = self.hosts.get_mut(host) else { return };
        found.listed.state = state;
        let kind = match state {
            ListedState::Leaving => {
                HostEventKind::Leaving { visible_ms: now_ms + self.list_lag_ms }
            }
            ListedState::Live => HostEventKind::Stays,
        };
        self.record(now_ms, host, kind);
        self.record_list(now_ms);
    }

    fn record(&mut self, at_ms: u64, host: &HostId, kind: HostEventKind) {
        self.events.push(HostEvent { host: host.clone(), at_ms, kind });
    }

    fn record_list(&mut self, now_ms: u64) {
        if self.lists.len() == LIST_SNAPSHOTS {
            self.lists.remove(0);
        }
        let hosts = self.hosts.values().map(|host| host.listed.clone()).collect();
        self.lists.push((now_ms, HostList { hosts }));
    }
}
