//! Hosts, their conditions and the lagging list, without sockets.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use tamarackproxy::{
    protocol::platform::{HostList, ListedHost, ListedState},
    state::ids::HostId,
};

use super::workers::WorkersState;
use crate::target::{Cut, TargetHost};

/// Snapshots of the list that are kept; older ones are past any lag.
const LIST_SNAPSHOTS: usize = 4_096;

/// Whether a host runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It runs.
    Up,
    /// It comes back from a reboot at this time, in milliseconds.
    Rebooting { until_ms: u64 },
    /// It failed and does not come back by itself.
    Dead,
}

/// Something that happened to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEvent {
    /// The host.
    pub host: HostId,
    /// Time, in milliseconds.
    pub at_ms: u64,
    /// What happened.
    pub kind: HostEventKind,
}

/// What happened to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostEventKind {
    /// A reboot was asked for and began; it cut what ran.
    Rebooted {
        /// Requests that were cut.
        in_flight: usize,
        /// Tasks that were cut.
        tasks: usize,
    },
    /// The host came back from a reboot or a failure.
    CameBack,
    /// The host failed without a plan.
    Died,
    /// The list says from `visible_ms` on that the host leaves.
    Leaving { visible_ms: u64 },
    /// The list says again that the host is live.
    Stays,
}

/// Answer to a call for a reboot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RebootAnswer {
    /// The reboot began now, or began before under the same key.
    Accepted,
    /// No host has this name.
    UnknownHost,
    /// The host does not run or reboots under another key.
    NotRunning,
}

struct PlatformHost {
    listed: ListedHost,
    condition: Condition,
    target: Option<Arc<TargetHost>>,
}

/// The platform without sockets; time is passed in.
pub struct PlatformState {
    hosts: BTreeMap<HostId, PlatformHost>,
    lists: Vec<(u64, HostList)>,
    operations: HashMap<Box<str>, HostId>,
    events: Vec<HostEvent>,
    /// Age of the list that is served, in milliseconds.
    pub list_lag_ms: u64,
    /// Time from the call for a reboot until the host answers again, in
    /// milliseconds.
    pub reboot_ms: u64,
    /// Calls to the list.
    pub list_calls: u64,
    /// Tasks of all workers.
    pub workers: WorkersState,
}

impl PlatformState {
    /// Starts with live hosts, each with the instances that a reboot stops.
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

    /// Returns what happened so far.
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

    /// Begins a reboot; a repeat under the same key has no further effect.
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
        let in_flight = found.target.as_ref().map_or(0, |target| target.stop(Cut::PlannedStop));
        self.operations.insert(key.into(), host.clone());
        let tasks = self.workers.stop_host(now_ms, host);
        self.record(now_ms, host, HostEventKind::Rebooted { in_flight, tasks });
        RebootAnswer::Accepted
    }

    /// Brings back the hosts whose reboots have ended.
    pub fn advance(&mut self, now_ms: u64) {
        let ended = |host: &PlatformHost| matches!(host.condition, Condition::Rebooting { until_ms } if until_ms <= now_ms);
        let back = self.hosts.iter().filter(|(_, host)| ended(host));
        let back: Vec<HostId> = back.map(|(name, _)| name.clone()).collect();
        for host in back {
            self.revive(now_ms, &host);
        }
    }

    /// Lets a host fail without a plan.
    pub fn kill(&mut self, now_ms: u64, host: &HostId) {
        let Some(found) = self.hosts.get_mut(host) else { return };
        found.condition = Condition::Dead;
        if let Some(target) = &found.target {
            target.stop(Cut::Died);
        }
        self.workers.stop_host(now_ms, host);
        self.record(now_ms, host, HostEventKind::Died);
    }

    /// Brings a host back.
    pub fn revive(&mut self, now_ms: u64, host: &HostId) {
        let Some(found) = self.hosts.get_mut(host) else { return };
        found.condition = Condition::Up;
        if let Some(target) = &found.target {
            target.come_back();
        }
        self.record(now_ms, host, HostEventKind::CameBack);
    }

    /// Announces that a host leaves, or withdraws the announcement.
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
