//! Service instances in virtual time.

use std::collections::{BTreeSet, HashMap};

use tamarackproxy::state::ids::{HostId, RequestId, ServiceId, TargetId};

use crate::target::{Cut, LeavingSign, RunRecord, SLOTS};

/// Dispatch attempt of an entry host that a run belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptId {
    pub(super) node: usize,
    pub(super) incarnation: u32,
    pub(super) request: RequestId,
    pub(super) attempt: u32,
}

/// Runs on all targets, and injected faults of hosts.
#[derive(Default)]
pub(super) struct Targets {
    pub(super) runs: Vec<RunRecord>,
    pub(super) attempts: Vec<AttemptId>,
    pub(super) slot_overruns: u64,
    pub(super) leaving_signals: Vec<LeavingSign>,
    running: HashMap<(ServiceId, HostId), BTreeSet<usize>>,
    by_attempt: HashMap<AttemptId, usize>,
    /// Hosts that fail every request.
    pub(super) failing: BTreeSet<HostId>,
    /// Hosts whose responses say that they are leaving.
    pub(super) leaving: BTreeSet<HostId>,
    /// Hosts whose connections break before the response.
    pub(super) truncating: BTreeSet<HostId>,
}

impl Targets {
    /// Starts a run and returns its index; counts an overrun and returns `None` if
    /// all slots are taken.
    pub(super) fn start(
        &mut self,
        target: &TargetId,
        run: RunRecord,
        attempt: AttemptId,
    ) -> Option<usize> {
        let running =
            self.running.entry((target.service.clone(), target.host.clone())).or_default();
        if running.len() >= SLOTS {
            self.slot_overruns += 1;
            return None;
        }
        let index = self.runs.len();
        running.insert(index);
        self.runs.push(run);
        self.attempts.push(attempt);
        self.by_attempt.insert(attempt, index);
        Some(index)
    }

    /// Ends a run and returns whether it was still running.
    pub(super) fn end(&mut self, index: usize, now_ms: u64, cut: Option<Cut>) -> bool {
        let run = &mut self.runs[index];
        if run.ended_ms.is_some() {
            return false;
        }
        run.ended_ms = Some(now_ms);
        run.cut = cut;
        let key = (run.service.clone(), run.host.clone());
        if let Some(running) = self.running.get_mut(&key) {
            running.remove(&index);
        }
        true
    }

    /// Returns whether a response of the host says that it is leaving, and records
    /// the first one, as entry hosts cannot know it earlier.
    pub(super) fn signals_leaving(&mut self, host: &HostId, now_ms: u64) -> bool {
        let is_leaving = self.leaving.contains(host);
        let is_open = |sign: &LeavingSign| sign.host == *host && sign.to_ms.is_none();
        if is_leaving && !self.leaving_signals.iter().any(is_open) {
            let sign = LeavingSign { host: host.clone(), from_ms: now_ms, to_ms: None };
            self.leaving_signals.push(sign);
        }
        is_leaving
    }

    /// Ends the leaving signals of a host that stays or reboots.
    pub(super) fn end_leaving_signals(&mut self, host: &HostId, now_ms: u64) {
        let signs = self.leaving_signals.iter_mut().filter(|sign| sign.host == *host);
        signs.for_each(|sign| {
            sign.to_ms.get_or_insert(now_ms);
        });
    }

    /// Ends the run of an attempt whose connection was closed.
    pub(super) fn on_client_disconnect(&mut self, attempt: &AttemptId, now_ms: u64) {
        if let Some(&run) = self.by_attempt.get(attempt) {
            self.end(run, now_ms, Some(Cut::ClientGone));
        }
    }

    /// Ends the runs whose client was an entry host process that has crashed.
    pub(super) fn on_process_exit(&mut self, node: usize, incarnation: u32, now_ms: u64) {
        let of_process = |id: &&AttemptId| id.node == node && id.incarnation == incarnation;
        let gone: Vec<AttemptId> = self.by_attempt.keys().filter(of_process).copied().collect();
        gone.iter().for_each(|attempt| self.on_client_disconnect(attempt, now_ms));
    }

    /// Interrupts all runs of a host and returns their indices.
    pub(super) fn interrupt_host(&mut self, host: &HostId, now_ms: u64, cut: Cut) -> Vec<usize> {
        let of_host = self.running.iter().filter(|((_, running), _)| running == host);
        let indices: Vec<usize> = of_host.flat_map(|(_, indices)| indices.clone()).collect();
        for &index in &indices {
            self.end(index, now_ms, Some(cut));
        }
        indices
    }
}
