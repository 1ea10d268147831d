//! Changes of targets, seats and slot shares, and hosts that are leaving.

use super::{
    RequestEngine, RequestsAction, RequestsMessage, SeatShare, TargetState,
    health::TargetHealth,
    keys::{ServiceKey, TargetKey},
    slots::{ATTEMPT_GRACE_MS, ATTEMPT_MAX_MS, TargetSlots, base_slots},
    state::{BaseShare, Target},
    timers::Timer,
};
use crate::state::ids::{EntryId, HostId, TargetId};

/// Time within which a change of the number of seats reaches every entry host of
/// the data centre, in milliseconds (promise P8).
const CONFIGURATION_PROPAGATION_MS: u64 = 6_000;
/// How long slots gained by a change of the number of seats are held back, in
/// milliseconds: until the change reaches their former owner, it may still start
/// attempts on them. Includes 10% for clock drift.
const GAINED_SLOTS_HOLD_MS: u64 =
    CONFIGURATION_PROPAGATION_MS + (ATTEMPT_MAX_MS + ATTEMPT_GRACE_MS) * 11 / 10;

impl RequestEngine {
    pub(super) fn targets_changed(&mut self, states: Vec<TargetState>) {
        for service in self.services.values_mut() {
            service.targets.clear();
        }
        for target in self.targets.values_mut() {
            target.listed = false;
        }
        let mut leaving = Vec::new();
        for state in states {
            if state.data_centre != self.data_centre {
                continue;
            }
            let key = self.target_key(&state.target);
            let target = &mut self.targets[key];
            if state.accepts_work && !target.accepts_work {
                target.health.clear_leaving();
            }
            if target.accepts_work && !state.accepts_work {
                leaving.push(state.target.host.clone());
            }
            target.listed = true;
            target.accepts_work = state.accepts_work;
            let service = target.service;
            self.services[service].targets.push(key);
        }
        self.forget_unlisted();
        self.refresh_bases();
        for host in leaving {
            self.host_leaving(&host, true);
        }
        self.dispatch_all_waiting();
    }

    fn target_key(&mut self, id: &TargetId) -> TargetKey {
        if let Some(&key) = self.target_keys.get(id) {
            return key;
        }
        let service = self.service_key(&id.service);
        let key = self.targets.insert(Target {
            id: id.clone(),
            service,
            slots: TargetSlots::default(),
            share: BaseShare::default(),
            health: TargetHealth::new(),
            listed: false,
            accepts_work: false,
        });
        self.target_keys.insert(id.clone(), key);
        self.host_targets.entry(id.host.clone()).or_default().push(key);
        key
    }

    /// Removes unlisted targets that have no slots in use, lent or borrowed.
    fn forget_unlisted(&mut self) {
        let unused = |target: &Target| {
            !target.listed
                && target.slots.in_flight == 0
                && target.slots.lent == 0
                && target.slots.loans.is_empty()
        };
        let keys: Vec<TargetKey> = self
            .targets
            .iter_mut()
            .filter_map(|(key, target)| {
                target.accepts_work &= target.listed;
                unused(target).then_some(key)
            })
            .collect();
        for key in keys {
            let Some(target) = self.targets.remove(key) else { continue };
            self.target_keys.remove(&target.id);
            if let Some(list) = self.host_targets.get_mut(&target.id.host) {
                list.retain(|other| *other != key);
                if list.is_empty() {
                    self.host_targets.remove(&target.id.host);
                }
            }
        }
    }

    pub(super) fn seat_changed(&mut self, seat: Option<SeatShare>) {
        if let Some(seat) = seat {
            self.seats_configured(seat.seats);
        }
        self.seat = seat;
        self.refresh_bases();
        self.dispatch_all_waiting();
    }

    pub(super) fn seats_configured(&mut self, seats: u16) {
        if self.seats.is_some_and(|known| known != seats) {
            self.hold_gained_until_ms = self.now_ms + GAINED_SLOTS_HOLD_MS;
            self.timers.add(self.hold_gained_until_ms, Timer::GainedSlotsUsable);
        }
        self.seats = Some(seats);
    }

    /// Updates the own share of every target, recomputing it only where its inputs
    /// have changed.
    pub(super) fn refresh_bases(&mut self) {
        let hold_gained = self.now_ms < self.hold_gained_until_ms;
        for target in self.targets.values_mut() {
            let limits = self.services[target.service].limits.as_ref();
            let basis = limits.zip(self.seat).map(|(l, seat)| (l.slots, l.connections, seat));
            if target.share.basis != basis {
                let slots = limits.zip(self.seat).map(|(l, seat)| base_slots(l, &target.id, seat));
                target.share = BaseShare { basis, slots: slots.unwrap_or(0) };
            }
            target.slots.set_base(target.share.slots, hold_gained);
        }
        for service in self.services.values_mut() {
            service.capacity.counted_at_ms = None;
        }
    }

    pub(super) fn gained_slots_usable(&mut self) {
        if self.now_ms >= self.hold_gained_until_ms {
            self.refresh_bases();
            self.dispatch_all_waiting();
        }
    }

    /// Sends the leaving hosts to new peers: a restarted peer has missed the earlier
    /// announcements.
    pub(super) fn announce_leaving_hosts(&mut self, peers: &[EntryId]) {
        let known = &self.peers;
        let new = peers.iter().filter(|peer| **peer != self.entry && !known.contains(peer));
        let new: Vec<EntryId> = new.cloned().collect();
        if new.is_empty() {
            return;
        }
        let leaves = |key: &TargetKey| {
            self.targets.get(*key).is_some_and(|target| target.health.is_leaving(self.now_ms))
        };
        let hosts = self.host_targets.iter().filter(|(_, keys)| keys.iter().any(leaves));
        let mut hosts: Vec<HostId> = hosts.map(|(host, _)| host.clone()).collect();
        hosts.sort_unstable();
        for to in new {
            let messages = hosts.iter().map(|host| RequestsAction::Send {
                to: to.clone(),
                message: RequestsMessage::Leaving { host: host.clone() },
            });
            self.actions.extend(messages);
        }
    }

    /// Stops new work on all targets of a leaving host. With `notify_peers`, the
    /// first signal is passed on to the peers.
    pub(super) fn host_leaving(&mut self, host: &HostId, notify_peers: bool) {
        let Some(keys) = self.host_targets.get(host) else { return };
        let mut first = false;
        for &key in keys {
            if let Some(target) = self.targets.get_mut(key) {
                first |= target.health.mark_leaving(self.now_ms);
            }
        }
        if first && notify_peers {
            for peer in self.peers.clone() {
                self.send(&peer, RequestsMessage::Leaving { host: host.clone() });
            }
        }
    }

    /// Dispatches waiting requests of all services, after a change that may free
    /// slots.
    pub(super) fn dispatch_all_waiting(&mut self) {
        let waiting: Vec<ServiceKey> = self
            .services
            .iter()
            .filter(|(_, service)| !service.queue.is_empty())
            .map(|(key, _)| key)
            .collect();
        for service in waiting {
            self.dispatch_waiting(service);
        }
    }
}
