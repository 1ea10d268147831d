//! Records of requests that targets ran.

use std::collections::HashMap;

use tamarackproxy::state::ids::{HostId, ServiceId};

/// Why a run ended before its response was ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The host had a planned reboot.
    PlannedStop,
    /// The host failed.
    Died,
    /// The client closed the connection.
    ClientGone,
}

/// One run of a request on one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Service of the instance.
    pub service: ServiceId,
    /// Host of the instance.
    pub host: HostId,
    /// Caller as named by the entry host.
    pub caller: Box<str>,
    /// Number of the request, the same in all attempts.
    pub request: u64,
    /// Number of the caller's attempt, if the entry host forwarded the header.
    pub attempt: Option<u64>,
    /// Idempotency key.
    pub key: Option<Box<str>>,
    /// Whether the request is repeatable.
    pub repeatable: bool,
    /// Start, in milliseconds.
    pub started_ms: u64,
    /// End, in milliseconds; `None` while it runs.
    pub ended_ms: Option<u64>,
    /// Why it was interrupted, if it was.
    pub cut: Option<Interruption>,
}

/// Records of all targets of a process.
#[derive(Clone, Debug, Default)]
pub struct TargetRecords {
    /// All runs, ordered by start.
    pub runs: Vec<RunRecord>,
    /// Requests rejected because all slots were in use.
    pub slot_overruns: u64,
    /// Connections closed because of the connection limit.
    pub connection_overruns: u64,
    /// Requests rejected by an injected fault.
    pub refused: u64,
    /// Signals of hosts that they are leaving.
    pub leaving_signals: Vec<LeavingSignal>,
    pub(super) running: HashMap<(ServiceId, HostId), Vec<usize>>,
}

/// An interval in which the responses of a host said that it was leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingSignal {
    pub host: HostId,
    /// Time of the first such response, in milliseconds.
    pub from_ms: u64,
    /// Time at which the responses stopped saying so, in milliseconds.
    pub to_ms: Option<u64>,
}

impl TargetRecords {
    /// Returns the number of requests that an instance is running.
    pub fn running(&self, service: &ServiceId, host: &HostId) -> usize {
        self.running.get(&(service.clone(), host.clone())).map_or(0, Vec::len)
    }

    pub(super) fn start(&mut self, run: RunRecord) -> usize {
        let index = self.runs.len();
        self.running.entry((run.service.clone(), run.host.clone())).or_default().push(index);
        self.runs.push(run);
        index
    }

    /// Ends a run unless it has already ended.
    pub(super) fn end(&mut self, index: usize, now_ms: u64, cut: Option<Interruption>) {
        let run = &mut self.runs[index];
        if run.ended_ms.is_some() {
            return;
        }
        run.ended_ms = Some(now_ms);
        run.cut = cut;
        if let Some(running) = self.running.get_mut(&(run.service.clone(), run.host.clone())) {
            running.retain(|other| *other != index);
        }
    }

    /// Interrupts all runs of a host and returns their number.
    pub(super) fn interrupt_host(
        &mut self,
        host: &HostId,
        now_ms: u64,
        interruption: Interruption,
    ) -> usize {
        let of_host = self.running.iter().filter(|((_, running), _)| running == host);
        let indices: Vec<usize> = of_host.flat_map(|(_, indices)| indices.clone()).collect();
        for index in &indices {
            self.end(*index, now_ms, Some(interruption));
        }
        indices.len()
    }

    pub(super) fn record_leaving_signal(&mut self, host: &HostId, now_ms: u64) {
        let known = |signal: &LeavingSignal| signal.host == *host && signal.to_ms.is_none();
        if !self.leaving_signals.iter().any(known) {
            let signal = LeavingSignal { host: host.clone(), from_ms: now_ms, to_ms: None };
            self.leaving_signals.push(signal);
        }
    }

    pub(super) fn end_leaving_signals(&mut self, host: &HostId, now_ms: u64) {
        let open = |signal: &&mut LeavingSignal| signal.host == *host && signal.to_ms.is_none();
        for signal in self.leaving_signals.iter_mut().filter(open) {
            signal.to_ms = Some(now_ms);
        }
    }
}
