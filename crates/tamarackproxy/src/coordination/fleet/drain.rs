//! Drain acknowledgements, reboots and health checks of individual hosts.

use std::collections::BTreeMap;

use super::{FleetAction, FleetMessage, FleetReport, calls::HostChange, engine::FleetEngine};
use crate::{
    protocol::platform::ListedState,
    state::{
        clock::ClockReading,
        ids::{DataCentreId, EntryId, HostId},
        records::{HostPhase, HostRecord},
    },
};

/// Interval between drain queries to a seat that has not acknowledged, in
/// milliseconds.
const DRAIN_QUERY_MS: u64 = 500;
/// Interval between reboot calls until the platform accepts one, in
/// milliseconds.
const REBOOT_RETRY_MS: u64 = 5_000;
/// Time from an accepted reboot to the first health check, in milliseconds,
/// because the host may still answer while it shuts down.
const REBOOT_SETTLE_MS: u64 = 2_000;
/// Interval between health checks of a rebooted or suspected host, in
/// milliseconds.
const HEALTH_CHECK_MS: u64 = 1_000;
/// Interval between health checks of a failed host, in milliseconds.
const FAILED_CHECK_MS: u64 = 10_000;
/// Consecutive healthy results after which a host counts as returned; a single
/// one may be the late result of a check made before the reboot.
const HEALTHY_CHECKS: u32 = 2;
/// Consecutive unhealthy results after which an active host counts as failed.
const UNHEALTHY_CHECKS: u32 = 3;
/// Time after a host became active during which its state in the platform's
/// list is ignored, because the list lags, in milliseconds.
const LIST_LAG_MS: u64 = 60_000;
/// Time since the last answer from a data centre's seats after which it counts
/// as unreachable, in milliseconds.
const CONTACT_TIMEOUT_MS: u64 = 15_000;
/// Interval between probes of an unreachable data centre, in milliseconds.
const PROBE_MS: u64 = 2_000;

/// Last contact with the seats of a data centre.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    answered_ms: Option<u64>,
    probed_ms: Option<u64>,
}

/// Progress of a host's drain, reboot or return, for one version of its
/// record.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    version: u64,
    /// Latest version and number of requests in flight reported by each seat
    /// holder.
    statuses: BTreeMap<EntryId, (u64, u32)>,
    next_ms: u64,
    jobs_stopped: bool,
    reboot_accepted: bool,
    checking: bool,
    consecutive_healthy: u32,
}

/// Health checks of a suspected host that has not failed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    consecutive_unhealthy: u32,
    next_check_ms: u64,
}

/// State of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Drain {
    /// Every seat has acknowledged with no requests in flight, and the jobs
    /// have stopped.
    Complete,
    /// This many seats have not acknowledged; 0 if only jobs remain to be
    /// stopped.
    Pending { seats: u32 },
}

impl FleetEngine {
    pub(super) fn on_drain_status(
        &mut self,
        now: ClockReading,
        from: EntryId,
        host: &HostId,
        version: u64,
        in_flight: u32,
    ) {
        let Some(view) = self.view.host(host) else {
            return;
        };
        let (pool, data_centre) = (view.record.pool.clone(), view.record.data_centre.clone());
        let holds_seat = self
            .seats
            .get(&data_centre)
            .is_some_and(|holders| holders.iter().flatten().any(|holder| *holder == from));
        if !holds_seat {
            return;
        }
        self.contacts.entry(data_centre).or_default().answered_ms = Some(now.monotonic_ms);
        if let Some(progress) = self.progress.get_mut(host) {
            progress.statuses.insert(from, (version, in_flight));
        }
        self.wake_host(&pool, host, 0);
    }

    pub(super) fn on_health(&mut self, now: ClockReading, host: &HostId, healthy: bool) {
        let Some(view) = self.view.host(host) else {
            return;
        };
        let (pool, phase) = (view.record.pool.clone(), view.record.phase);
        match phase {
            HostPhase::Active | HostPhase::Draining | HostPhase::Moving => {
                let listed = !matches!(self.view.listed_state(host), Some(None));
                if healthy && listed {
                    self.health.remove(host);
                } else if healthy {
                    let next_check_ms = now.monotonic_ms + FAILED_CHECK_MS;
                    self.health
                        .insert(host.clone(), Health { consecutive_unhealthy: 0, next_check_ms });
                } else {
                    let health = self.health.entry(host.clone()).or_default();
                    health.consecutive_unhealthy += 1;
                    health.next_check_ms = now.monotonic_ms + HEALTH_CHECK_MS;
                }
            }
            HostPhase::Rebooting | HostPhase::Returning | HostPhase::Failed => {
                if let Some(progress) = self.progress.get_mut(host)
                    && std::mem::take(&mut progress.checking)
                {
                    progress.consecutive_healthy =
                        if healthy { progress.consecutive_healthy + 1 } else { 0 };
                    if progress.consecutive_healthy > 0 {
                        progress.next_ms = now.monotonic_ms + HEALTH_CHECK_MS;
                    }
                }
            }
        }
        self.wake_host(&pool, host, 0);
    }

    pub(super) fn on_jobs_stopped(&mut self, host: &HostId, version: u64) {
        let Some(view) = self.view.host(host) else {
            return;
        };
        let pool = view.record.pool.clone();
        if let Some(progress) = self.progress.get_mut(host)
            && progress.version == version
        {
            progress.jobs_stopped = true;
        }
        self.wake_host(&pool, host, 0);
    }

    pub(super) fn on_reboot(&mut self, host: &HostId, accepted: bool) {
        let Some(view) = self.view.host(host) else {
            return;
        };
        let (pool, phase) = (view.record.pool.clone(), view.record.phase);
        if let (HostPhase::Rebooting, true, Some(progress)) =
            (phase, accepted, self.progress.get_mut(host))
        {
            progress.reboot_accepted = true;
        }
        self.wake_host(&pool, host, 0);
    }

    /// Returns the progress for this version of the host's record, starting
    /// from scratch if the version changed.
    fn progress_of(&mut self, host: &HostId, version: u64) -> &mut Progress {
        let progress = self.progress.entry(host.clone()).or_default();
        if progress.version != version {
            *progress = Progress { version, ..Progress::default() };
        }
        progress
    }

    /// Returns whether the seats of the data centre have answered recently; if
    /// all seats are vacant, there is no answer to wait for.
    pub(super) fn is_reachable(&self, now: ClockReading, data_centre: &DataCentreId) -> bool {
        let vacant = self
            .seats
            .get(data_centre)
            .is_some_and(|holders| holders.iter().all(|holder| holder.is_none()));
        let answered = self.contacts.get(data_centre).and_then(|contact| contact.answered_ms);
        vacant || answered.is_some_and(|answered| now.monotonic_ms < answered + CONTACT_TIMEOUT_MS)
    }

    /// Probes the seats of a data centre with a drain query for a host that is
    /// not draining; returns when to probe again.
    pub(super) fn probe(
        &mut self,
        now: ClockReading,
        record: &HostRecord,
        version: u64,
        actions: &mut Vec<FleetAction>,
    ) -> u64 {
        let contact = self.contacts.entry(record.data_centre.clone()).or_default();
        let due_ms = contact.probed_ms.map_or(0, |probed| probed + PROBE_MS);
        if now.monotonic_ms < due_ms {
            return due_ms;
        }
        contact.probed_ms = Some(now.monotonic_ms);
        for to in self.seats.get(&record.data_centre).into_iter().flatten().flatten() {
            let host = record.host.clone();
            let message = FleetMessage::DrainQuery { host, version, drains: false };
            actions.push(FleetAction::Send { to: to.clone(), message });
        }
        now.monotonic_ms + PROBE_MS
    }

    /// Collects drain acknowledgements from every seat of the host's data
    /// centre and stops the host's jobs.
    pub(super) fn drain(
        &mut self,
        now: ClockReading,
        record: &HostRecord,
        version: u64,
        actions: &mut Vec<FleetAction>,
    ) -> Drain {
        let Some(holders) = self.seats.get(&record.data_centre).cloned() else {
            return Drain::Pending { seats: 1 };
        };
        let stops_jobs = self.stops_jobs;
        let progress = self.progress_of(&record.host, version);
        let waiting: Vec<EntryId> = holders
            .into_iter()
            .flatten()
            .filter(|holder| {
                !matches!(progress.statuses.get(holder), Some(&(seen, 0)) if seen >= version)
            })
            .collect();
        if waiting.is_empty() && (progress.jobs_stopped || !stops_jobs) {
            return Drain::Complete;
        }
        if now.monotonic_ms >= progress.next_ms {
            progress.next_ms = now.monotonic_ms + DRAIN_QUERY_MS;
            if stops_jobs && !progress.jobs_stopped {
                actions.push(FleetAction::StopJobs { host: record.host.clone(), version });
            }
            for to in &waiting {
                let host = record.host.clone();
                let message = FleetMessage::DrainQuery { host, version, drains: true };
                actions.push(FleetAction::Send { to: to.clone(), message });
            }
        }
        let next_ms = progress.next_ms;
        self.wake_host(&record.pool, &record.host, next_ms);
        Drain::Pending { seats: waiting.len() as u32 }
    }

    /// Requests the reboot until the platform accepts it.
    pub(super) fn reboot(
        &mut self,
        now: ClockReading,
        record: &HostRecord,
        version: u64,
        operation: crate::state::ids::OperationId,
        actions: &mut Vec<FleetAction>,
    ) -> Option<HostChange> {
        let progress = self.progress_of(&record.host, version);
        if progress.reboot_accepted {
            return Some(phase_change(HostPhase::Rebooting, HostPhase::Returning));
        }
        if now.monotonic_ms >= progress.next_ms {
            progress.next_ms = now.monotonic_ms + REBOOT_RETRY_MS;
            actions.push(FleetAction::Reboot { host: record.host.clone(), operation });
        }
        let next_ms = progress.next_ms;
        self.wake_host(&record.pool, &record.host, next_ms);
        None
    }

    /// Checks the health of a rebooted or failed host; returns whether it is
    /// healthy.
    pub(super) fn check_return(
        &mut self,
        now: ClockReading,
        record: &HostRecord,
        version: u64,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        let is_rebooted = record.phase == HostPhase::Returning;
        let interval_ms = if is_rebooted { HEALTH_CHECK_MS } else { FAILED_CHECK_MS };
        let first = self.progress.get(&record.host).is_none_or(|known| known.version != version);
        let progress = self.progress_of(&record.host, version);
        if first && is_rebooted {
            progress.next_ms = now.monotonic_ms + REBOOT_SETTLE_MS;
        }
        if progress.consecutive_healthy >= HEALTHY_CHECKS {
            return true;
        }
        if now.monotonic_ms >= progress.next_ms {
            progress.next_ms = now.monotonic_ms + interval_ms;
            progress.checking = true;
            actions.push(FleetAction::CheckHealth { host: record.host.clone() });
        }
        let next_ms = progress.next_ms;
        self.wake_host(&record.pool, &record.host, next_ms);
        false
    }

    /// Returns whether a host that should be running has been lost, according
    /// to the platform's list or to health checks. While the data centre is
    /// unreachable, failed health checks are no evidence that the host failed.
    pub(super) fn is_lost(
        &mut self,
        now: ClockReading,
        record: &HostRecord,
        version: u64,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        let list_is_current = record.phase != HostPhase::Active
            || now.unix_ms >= record.phase_since_unix_ms + LIST_LAG_MS;
        match self.view.listed_state(&record.host) {
            Some(Some(ListedState::Leaving)) if list_is_current => return true,
            Some(None) if list_is_current => {
                self.health.entry(record.host.clone()).or_default();
            }
            _ => {}
        }
        let Some(health) = self.health.get(&record.host).copied() else {
            return false;
        };
        if !self.is_reachable(now, &record.data_centre) {
            let next_ms = self.probe(now, record, version, actions);
            self.wake_host(&record.pool, &record.host, next_ms);
            return false;
        }
        if health.consecutive_unhealthy >= UNHEALTHY_CHECKS {
            return true;
        }
        let mut next_ms = health.next_check_ms;
        if now.monotonic_ms >= next_ms {
            next_ms = now.monotonic_ms + HEALTH_CHECK_MS;
            if let Some(health) = self.health.get_mut(&record.host) {
                health.next_check_ms = next_ms;
            }
            actions.push(FleetAction::CheckHealth { host: record.host.clone() });
        }
        self.wake_host(&record.pool, &record.host, next_ms);
        false
    }

    /// Returns whether a host may be lost, so that [`FleetEngine::is_lost`]
    /// must be called.
    pub(super) fn is_suspect(&self, host: &HostId) -> bool {
        self.health.contains_key(host)
            || matches!(self.view.listed_state(host), Some(None | Some(ListedState::Leaving)))
    }

    /// Discards the progress of a host that is active again.
    pub(super) fn forget_progress(&mut self, host: &HostId) {
        self.progress.remove(host);
    }

    /// Reports that a drain has exceeded its deadline.
    pub(super) fn report_drain(
        &mut self,
        record: &HostRecord,
        seats: u32,
        actions: &mut Vec<FleetAction>,
    ) {
        let report = FleetReport::DrainWaits { host: record.host.clone(), waiting_for: seats };
        self.report(format!("drain/{}", record.host), report, actions);
    }
}

/// Creates the change from one phase to another.
pub(super) fn phase_change(from: HostPhase, to: HostPhase) -> HostChange {
    HostChange::Phase { from, to, next_pool: None }
}
