//! Calls to the store, and its watches.

use tamarackproxy::{
    node::core::{Engine, Input},
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest, WatchEvent},
    state::ids::{CallId, RecordVersion},
};

use crate::matrix::step::Step;

use super::{Event, PLATFORM_MS, STORE_TIMEOUT_MS, Simulation};

impl Simulation {
    pub(in crate::matrix) fn reaches_platform(&self, node: usize) -> bool {
        let data_centre = self.data_centre_of(node);
        !(self.partitioned.contains(data_centre) || self.platform_partitioned.contains(data_centre))
    }

    pub(in crate::matrix) fn call_store(
        &mut self,
        node: usize,
        incarnation: u32,
        engine: Engine,
        call: CallId,
        request: StoreRequest,
    ) {
        if let StoreRequest::CompareAndSwap { key, .. } = &request {
            let step = match (engine, &**key) {
                (Engine::Once, key) if key.starts_with("once/") => Some(Step::ChargeClaiming),
                (Engine::Configuration, "document/head") => Some(Step::PutWriting),
                _ => None,
            };
            self.reached_steps.extend(step.map(|step| (step, Some(node), None)));
        }
        let lost = |error| Input::StoreReplied { engine, call, result: Err(error) };
        if !self.reaches_platform(node) {
            return self.schedule(node, STORE_TIMEOUT_MS, lost(StoreError::NotSent));
        }
        if self.platform_down {
            return self.schedule(node, PLATFORM_MS, lost(StoreError::NotSent));
        }
        let delay_ms = PLATFORM_MS + self.store.faults.delay_ms;
        if delay_ms >= STORE_TIMEOUT_MS {
            self.schedule(node, STORE_TIMEOUT_MS, lost(StoreError::Unknown));
        }
        let event = Event::StoreCall { node, incarnation, engine, call, request };
        self.queue.push_in(delay_ms, event);
    }

    pub(in crate::matrix) fn store_call(
        &mut self,
        node: usize,
        incarnation: u32,
        engine: Engine,
        call: CallId,
        request: &StoreRequest,
    ) {
        let result = self.store.call(self.queue.now_ms(), request);
        if let (StoreRequest::CompareAndSwap { key, .. }, Ok(StoreReply::Swapped(_))) =
            (request, &result)
        {
            self.record_write_step(node, key);
        }
        let is_late = self.store.faults.delay_ms + PLATFORM_MS >= STORE_TIMEOUT_MS;
        if self.nodes[node].incarnation == incarnation && !is_late {
            let reached = self.reaches_platform(node);
            let result = if reached { result } else { Err(StoreError::Unknown) };
            let delay_ms = if reached { PLATFORM_MS } else { STORE_TIMEOUT_MS };
            self.schedule(node, delay_ms, Input::StoreReplied { engine, call, result });
        }
        self.push_watches();
    }

    pub(in crate::matrix) fn record_write_step(&mut self, node: usize, key: &str) {
        if key.starts_with("once/") {
            self.reached_steps.push((Step::ChargeClaimed, Some(node), None));
        } else if key == "document/head" {
            self.reached_steps.push((Step::PutWritten, Some(node), None));
        } else if key.starts_with("budget/") {
            self.reached_steps.push((Step::HostReserved, Some(node), None));
        } else if let Some(host) = key.strip_prefix("host/") {
            let record = self.store.get(key.as_bytes());
            let record = record.map(|stored| stored.value.clone()).unwrap_or_default();
            let record: serde_json::Value = serde_json::from_slice(&record).unwrap_or_default();
            let was_rebooted = self.platform.events().iter().any(|e| e.host.as_str() == host);
            let step = match record["phase"].as_str() {
                Some("draining") => Some(Step::HostDraining),
                Some("active") if was_rebooted => Some(Step::HostActive),
                _ => None,
            };
            let host = host.parse().ok();
            self.reached_steps.extend(step.map(|step| (step, Some(node), host)));
        }
    }

    /// Delivers new changes of the store to its watchers, or interrupts the watches
    /// of entry hosts that cannot reach it.
    pub(in crate::matrix) fn push_watches(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].core.is_none() {
                continue;
            }
            let is_up = !self.platform_down && self.reaches_platform(index);
            let watches = self.nodes[index].watches.clone();
            for (prefix, (generation, from)) in watches {
                if !is_up {
                    self.nodes[index].watches.remove(&prefix);
                    let event = WatchEvent::Interrupted;
                    let input = Input::Watched { prefix, generation, event };
                    self.schedule(index, PLATFORM_MS, input);
                    continue;
                }
                let changes = self.store.changes_from(from).unwrap_or_default();
                let Some(last) = changes.last().map(|change| change.revision) else { continue };
                self.nodes[index].watches.insert(prefix.clone(), (generation, last + 1));
                let of_prefix =
                    changes.into_iter().filter(|change| change.key.starts_with(prefix.as_bytes()));
                for change in of_prefix.collect::<Vec<_>>() {
                    let key: Box<str> = String::from_utf8_lossy(&change.key).into();
                    let version = RecordVersion(change.revision);
                    let event = match change.stored {
                        Some(stored) => {
                            WatchEvent::Put(KeyValue { key, value: stored.value, version })
                        }
                        None => WatchEvent::Deleted { key, version },
                    };
                    let prefix = prefix.clone();
                    let input = Input::Watched { prefix, generation, event };
                    self.schedule(index, PLATFORM_MS, input);
                }
            }
        }
    }
}
