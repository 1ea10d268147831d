//! Read access to the engine for status, metrics and explanations.

use std::mem::{Discriminant, discriminant};

use serde::{Serialize, Serializer};

use super::{RequestEngine, ServiceLoad, keys::TargetKey, state::Stage};
use crate::{
    protocol::caller::Refusal,
    state::{
        document::Urgency,
        ids::{CallerId, DataCentreId, HostId, RequestId, ServiceId, TargetId},
    },
};

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestCounters {
    /// Requests that were admitted.
    pub admitted: u64,
    /// Attempts sent to targets.
    pub dispatched: u64,
    /// Requests that were forwarded.
    pub forwarded: u64,
    /// Attempts or forwards beyond the first of a request.
    pub retries: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Ejections of targets.
    pub ejections: u64,
    /// Requests that ended as not run, by the name of the refusal.
    pub refused: RefusalCounts,
    /// Requests that ended with an unknown outcome, by cause.
    pub unknown: RefusalCounts,
}

/// Counts by kind of refusal. A list searched by discriminant, which is cheap when
/// refusals come in floods, since there are few kinds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusalCounts(Vec<(Discriminant<Refusal>, &'static str, u64)>);

impl RefusalCounts {
    fn add(&mut self, refusal: &Refusal) {
        let kind = discriminant(refusal);
        match self.0.iter_mut().find(|(other, ..)| *other == kind) {
            Some((.., count)) => *count += 1,
            None => self.0.push((kind, refusal.into(), 1)),
        }
    }

    /// Returns the names of the refusals with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.0.iter().map(|&(_, name, count)| (name, count))
    }
}

impl Serialize for RefusalCounts {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_map(self.iter())
    }
}

impl RequestCounters {
    pub(super) fn count_refusal(&mut self, refusal: &Refusal) {
        self.refused.add(refusal);
    }

    pub(super) fn count_unknown(&mut self, refusal: &Refusal) {
        self.unknown.add(refusal);
    }
}

/// State of a request that has not ended, and its reasons.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Explanation {
    /// The request waits for a slot.
    Waiting {
        /// Service that it calls.
        service: ServiceId,
        caller: CallerId,
        /// Its urgency class.
        urgency: Urgency,
        /// Time since its arrival, in milliseconds.
        waited_ms: u64,
        /// Time left until its deadline, in milliseconds.
        remaining_ms: u64,
        /// Waiting requests of the same class.
        class_waiting: u32,
        /// Waiting requests of the same caller and class.
        caller_waiting: u32,
        /// Slots that this entry host may use, all in use or unsuitable.
        usable_slots: u32,
        /// Targets that accept no new work: leaving, ejected or not active.
        unusable_targets: u32,
    },
    /// An attempt at a target is in flight.
    Running {
        target: TargetId,
        /// Zero-based number of the attempt.
        attempt: u32,
        /// Time since the attempt was sent, in milliseconds.
        running_ms: u64,
    },
    /// The request was forwarded to another data centre.
    Forwarded { data_centre: DataCentreId },
}

impl RequestEngine {
    /// Returns the load of every service on this entry host, in time linear in the
    /// targets of the data centre.
    pub fn loads(&self) -> Vec<ServiceLoad> {
        self.services
            .values()
            .filter(|service| service.limits.is_some())
            .map(|service| ServiceLoad {
                service: service.id.clone(),
                idle_slots: service.targets.iter().map(|&target| self.idle_slots(target)).sum(),
                queued: service.queue.len(),
                in_flight: service.in_flight,
                service_ms: service.service_time.mean_ms().unwrap_or(0.0).round() as u32,
            })
            .collect()
    }

    fn idle_slots(&self, key: TargetKey) -> u32 {
        let target = &self.targets[key];
        if self.seat.is_none() || self.stopping || !target.takes_work(self.now_ms) {
            return 0;
        }
        let available = target.slots.available(&self.received_loans);
        let limit = target.health.concurrency(available).min(available);
        u32::from(limit.saturating_sub(target.slots.in_flight))
    }

    /// Returns the slots that this entry host has in use on a host: unfinished
    /// attempts, including those of ended requests, and slots lent to peers.
    pub fn in_flight_on(&self, host: &HostId) -> u32 {
        let keys = self.host_targets.get(host).into_iter().flatten();
        keys.filter_map(|&key| self.targets.get(key))
            .map(|target| u32::from(target.slots.in_flight) + u32::from(target.slots.lent))
            .sum()
    }

    /// Returns the number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Explains the state of a request, or returns `None` if it has ended.
    pub fn explain(&self, request: RequestId) -> Option<Explanation> {
        let request = &self.requests[*self.request_keys.get(&request)?];
        Some(match &request.stage {
            Stage::Running(key) => {
                let attempt = self.attempts.get(*key)?;
                Explanation::Running {
                    target: self.targets.get(attempt.target)?.id.clone(),
                    attempt: attempt.number,
                    running_ms: self.now_ms.saturating_sub(attempt.started_ms),
                }
            }
            Stage::Forwarded(data_centre) => {
                Explanation::Forwarded { data_centre: data_centre.clone() }
            }
            Stage::Waiting(_) => {
                let service = &self.services[request.service];
                let usable = |key: &&TargetKey| self.targets[**key].takes_work(self.now_ms);
                let usable_targets = service.targets.iter().filter(usable).count();
                let slots = service.targets.iter().filter(usable);
                Explanation::Waiting {
                    service: service.id.clone(),
                    caller: request.meta.caller.clone(),
                    urgency: request.meta.urgency,
                    waited_ms: self.now_ms.saturating_sub(request.arrived_ms),
                    remaining_ms: request.meta.deadline_at_ms.saturating_sub(self.now_ms),
                    class_waiting: service.queue.class_len(request.class),
                    caller_waiting: service.queue.flow_len(request.class, request.caller),
                    usable_slots: slots
                        .map(|&key| {
                            u32::from(self.targets[key].slots.available(&self.received_loans))
                        })
                        .sum(),
                    unusable_targets: (service.targets.len() - usable_targets) as u32,
                }
            }
        })
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> &RequestCounters {
        &self.counters
    }
}
