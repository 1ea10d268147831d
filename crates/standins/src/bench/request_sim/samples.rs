//! Sampling of slot utilisation.

use std::{collections::HashMap, hash::Hash, ops::Range};

use tamarackproxy::{coordination::requests::ServiceLoad, state::ids::ServiceId};

use super::{
    SLOTS,
    sim::{RequestSim, service_id},
};

/// Slot utilisation, sampled at regular intervals; times in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotUse {
    /// Maximum number of concurrent attempts at one target.
    pub most_at_once: u16,
    /// Samples of a service and data centre in which requests waited.
    pub waiting_samples: u64,
    /// Sum of the slots in use in these samples.
    pub used: u64,
    /// Sum of all slots in these samples.
    pub slots: u64,
    /// Messages that entry hosts sent to peers in their data centre.
    pub messages: u64,
    /// Longest uninterrupted time for which requests waited on one entry host while
    /// an entry host that holds a seat had an idle slot for them.
    pub longest_idle_us: u64,
}

/// Updates the time since which a condition has held.
fn update_since<K>(times: &mut HashMap<K, u64>, key: K, holds: bool, now_us: u64)
where
    K: Eq + Hash,
{
    if holds {
        times.entry(key).or_insert(now_us);
    } else {
        times.remove(&key);
    }
}

impl RequestSim<'_> {
    /// Records the slots in use where requests wait, and for how long requests have
    /// waited although a slot was idle.
    pub(super) fn sample(&mut self) {
        let all: Vec<Vec<ServiceLoad>> = self
            .entries
            .iter()
            .map(|entry| match entry.alive && entry.held {
                true => entry.engine.loads(),
                false => Vec::new(),
            })
            .collect();
        for data_centre in 0..self.deployment.data_centres {
            let first = data_centre * self.deployment.entries;
            let members = first..first + self.deployment.entries;
            for service in 0..self.deployment.instances.len() {
                let id = service_id(service);
                let find = |index: usize| all[index].iter().find(|load| load.service == id);
                let waits = |index: usize| find(index).is_some_and(|load| load.queued > 0);
                for index in members.clone() {
                    let idle = find(index).is_some_and(|load| load.idle_slots > 0);
                    update_since(&mut self.idle_since_us, (index, service), idle, self.now_us);
                    update_since(
                        &mut self.waiting_since_us,
                        (index, service),
                        waits(index),
                        self.now_us,
                    );
                }
                self.record_idle_while_waiting(members.clone(), service);
                if members.clone().any(waits) {
                    self.sample_use(data_centre, &id);
                }
            }
        }
    }

    pub(super) fn record_idle_while_waiting(&mut self, members: Range<usize>, service: usize) {
        let earliest = |times: &HashMap<(usize, usize), u64>| {
            members.clone().filter_map(|index| times.get(&(index, service)).copied()).min()
        };
        if let (Some(idle), Some(waits)) =
            (earliest(&self.idle_since_us), earliest(&self.waiting_since_us))
        {
            let longest = &mut self.slot_use.longest_idle_us;
            *longest = (*longest).max(self.now_us - idle.max(waits));
        }
    }

    pub(super) fn sample_use(&mut self, data_centre: usize, service: &ServiceId) {
        let prefix = format!("dc{data_centre}-");
        let targets = self.targets.iter().filter(|target| {
            target.id.service == *service && target.id.host.as_str().starts_with(&prefix)
        });
        self.slot_use.waiting_samples += 1;
        for target in targets {
            self.slot_use.used += u64::from(target.running);
            self.slot_use.slots += u64::from(SLOTS);
        }
    }
}
