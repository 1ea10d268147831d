//! Effects of the engines' actions on the store, the seats and the hosts.

use rand::Rng;
use tamarackproxy::{
    coordination::fleet::{FleetEvent, FleetMessage},
    protocol::store::{StoreError, StoreReply, StoreRequest},
    state::{
        ids::{CallId, HostId, OperationId},
        records::{BudgetRecord, HostRecord},
    },
};

use super::{Acknowledgement, DELAY_MS, FleetSimulation, ScheduledEvent, WriteFault};

impl FleetSimulation {
    pub(super) fn on_call(&mut self, node: usize, call: CallId, request: &StoreRequest) {
        if let (Some((number, WriteFault::DelayWrite(delay_ms))), true) =
            (self.write_fault, is_write(request))
            && number == self.checks.writes + 1
        {
            self.write_fault = None;
            self.pause(node, delay_ms);
            let request = Box::new(request.clone());
            self.schedule(self.now_ms + delay_ms, ScheduledEvent::Call { node, call, request });
            return;
        }
        let down = self.now_ms < self.store_down_until_ms
            || self.is_partitioned(&self.nodes[node].data_centre);
        let result = if down { Err(StoreError::NotSent) } else { self.execute(node, request) };
        let event = FleetEvent::StoreReplied { call, result };
        let at_ms = self.now_ms + DELAY_MS;
        self.schedule(at_ms, ScheduledEvent::Deliver { node, event: Box::new(event) });
    }

    pub(super) fn execute(
        &mut self,
        node: usize,
        request: &StoreRequest,
    ) -> Result<StoreReply, StoreError> {
        let reply = self.store.call(self.now_ms, request);
        let (StoreRequest::CompareAndSwap { key, .. }, StoreReply::Swapped(version)) =
            (request, &reply)
        else {
            return Ok(reply);
        };
        if key.starts_with("control") {
            return Ok(reply);
        }
        self.on_write(key, version.0);
        self.checks.writes += 1;
        if let Some((_, hosts)) =
            self.visible_failure.take_if(|(number, _)| *number == self.checks.writes)
        {
            hosts.iter().for_each(|host| self.fail_host_visibly(host));
        }
        match self.write_fault {
            Some((number, fault)) if number == self.checks.writes => {
                self.inject(node, fault);
                if matches!(fault, WriteFault::LoseReply | WriteFault::StoreDown(_)) {
                    return Err(StoreError::Unknown);
                }
            }
            _ => {}
        }
        Ok(reply)
    }

    pub(super) fn inject(&mut self, node: usize, fault: WriteFault) {
        match fault {
            WriteFault::LoseReply | WriteFault::DelayWrite(_) => {}
            WriteFault::KillWriter => self.kill(node),
            WriteFault::PauseWriter(duration_ms) => self.pause(node, duration_ms),
            WriteFault::StoreDown(duration_ms) => self.store_down(duration_ms),
        }
    }

    pub(super) fn on_write(&mut self, key: &str, version: u64) {
        if key.starts_with("budget/") {
            if let Some(record) = self.store.record::<BudgetRecord>(key) {
                self.checks.on_budget(&record);
            }
        } else if key.starts_with("host/")
            && let Some(record) = self.store.record::<HostRecord>(key)
        {
            self.on_host_written(version, record);
        }
    }

    pub(super) fn on_host_written(&mut self, version: u64, record: HostRecord) {
        let before = self.records.insert(record.host.clone(), record.clone());
        self.versions.insert(record.host.clone(), version);
        self.checks.on_host(&self.store, &self.records, &self.document, before.as_ref(), &record);
        if let Some(before) = before
            && before.pool != record.pool
        {
            self.checks.transfers += 1;
            self.check_unused(&record.host, "changes pool");
        }
        let at_ms = self.now_ms + DELAY_MS;
        for node in 0..self.nodes.len() {
            let is_unreachable = self.is_partitioned(&self.nodes[node].data_centre);
            if self.nodes[node].alive && !is_unreachable {
                self.observe_record(node, version, &record);
                if node < self.candidates {
                    let record = Box::new(record.clone());
                    let event = FleetEvent::HostRecordChanged { version, record };
                    self.schedule(at_ms, ScheduledEvent::Deliver { node, event: Box::new(event) });
                }
            }
        }
    }

    /// Applies a record that a seat has received: the seat stops using a host
    /// that left `active`.
    pub(super) fn observe_record(&mut self, node: usize, version: u64, record: &HostRecord) {
        let (shortest, longest) = self.timing.drain_ms;
        let state = &mut self.nodes[node];
        state.seen_version = state.seen_version.max(version);
        if record.data_centre != state.data_centre {
            return;
        }
        if record.phase.accepts_work() {
            state.leaving.remove(&record.host);
            return;
        }
        let drained_ms = self.now_ms + self.rng.random_range(shortest..=longest);
        let known = state.leaving.entry(record.host.clone()).or_insert((version, drained_ms));
        known.0 = version;
    }

    pub(super) fn on_query(&mut self, node: usize, from: usize, host: HostId, version: u64) {
        let (own, other) = (&self.nodes[node].data_centre, &self.nodes[from].data_centre);
        let is_unreachable =
            own != other && (self.is_partitioned(own) || self.is_partitioned(other));
        let state = &self.nodes[node];
        let delay_ms = match state.acknowledgement {
            Acknowledgement::Prompt => 0,
            Acknowledgement::Late(delay_ms) => delay_ms,
            Acknowledgement::Never => return,
        };
        if is_unreachable || !state.alive || state.seen_version < version {
            return;
        }
        let drained_ms = state.leaving.get(&host).map_or(0, |&(_, drained_ms)| drained_ms);
        let in_flight = u32::from(self.now_ms < drained_ms + delay_ms);
        let message = FleetMessage::DrainStatus { host, version: state.seen_version, in_flight };
        let event = FleetEvent::Received { from: state.entry.clone(), message };
        let at_ms = self.now_ms + DELAY_MS;
        self.schedule(at_ms, ScheduledEvent::Deliver { node: from, event: Box::new(event) });
    }

    pub(super) fn on_reboot(&mut self, node: usize, host: HostId, operation: OperationId) {
        let accepted = !self.is_partitioned(&self.nodes[node].data_centre);
        if accepted {
            let new = self
                .hosts
                .get_mut(&host)
                .is_some_and(|simulated| simulated.operations.insert(operation));
            if new {
                self.check_unused(&host, "reboots");
                *self.checks.reboots.entry(host.clone()).or_default() += 1;
                let (shortest, longest) = self.timing.reboot_ms;
                let at_ms = self.now_ms + self.rng.random_range(shortest..=longest);
                if let Some(simulated) = self.hosts.get_mut(&host) {
                    simulated.up = false;
                }
                self.schedule(at_ms, ScheduledEvent::Returned { host: host.clone() });
            }
        }
        self.handle(node, FleetEvent::RebootAccepted { host, accepted });
    }

    /// Records a violation if a seat of the host's data centre still uses the
    /// host.
    pub(super) fn check_unused(&mut self, host: &HostId, what: &str) {
        let Some(simulated) = self.hosts.get(host) else {
            return;
        };
        for node in &self.nodes {
            if node.data_centre != simulated.listed_host.data_centre || !node.alive {
                continue;
            }
            let unused =
                node.leaving.get(host).is_some_and(|&(_, drained_ms)| drained_ms <= self.now_ms);
            if !unused {
                self.checks.interrupted.push(format!(
                    "{host} {what} at {} ms while {} uses it",
                    self.now_ms, node.entry
                ));
            }
        }
    }
}

/// Returns whether a call writes a host, budget or wave record.
fn is_write(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::CompareAndSwap { key, .. } if !key.starts_with("control"))
}
