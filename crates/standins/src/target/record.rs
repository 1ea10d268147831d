//! What the targets saw.

use std::collections::HashMap;

use tamarackproxy::state::ids::{HostId, ServiceId};

/// Why a run ended before its response was ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// The host was rebooted by plan.
    PlannedStop,
    /// The host died.
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
    /// Caller, as the entry host names it.
    pub caller: Box<str>,
    /// Number of the request, the same in all attempts.
    pub request: u64,
    /// Number of the caller's attempt, if it was passed on.
    pub attempt: Option<u64>,
    /// Idempotency key.
    pub key: Option<Box<str>>,
    /// Whether the method may be repeated.
    pub repeatable: bool,
    /// Start, in milliseconds.
    pub started_ms: u64,
    /// End, in milliseconds; none while it runs.
    pub ended_ms: Option<u64>,
    /// Why it ended early, if it did.
    pub cut: Option<Cut>,
}

/// Records of all targets of a process.
#[derive(Clone, Debug, Default)]
pub struct TargetRecords {
    /// All runs, in the order of their starts.
    pub runs: Vec<RunRecord>,
    /// Requests refused because all slots were taken.
    pub slot_overruns: u64,
    /// Connections closed because too many were open.
    pub connection_overruns: u64,
    /// Requests refused by injection.
    pub refused: u64,
    /// First time, in milliseconds, at which a host's responses said that it
    /// leaves, with the time at which they stopped to say so.
    pub leaving_signals: Vec<LeavingSign>,
    pub(super) running: HashMap<(ServiceId, HostId), Vec<usize>>,
}

/// Responses of a host said that it leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingSign {
    /// The host.
    pub host: HostId,
    /// Time of the first such response, in milliseconds.
    pub from_ms: u64,
    /// End of the sign, in milliseconds.
    pub to_ms: Option<u64>,
}

impl TargetRecords {
    /// Returns the number of requests that run on an instance now.
    pub fn running(&self, service: &ServiceId, host: &HostId) -> usize {
        self.running.get(&(service.clone(), host.clone())).map_or(0, Vec::len)
    }

    pub(super) fn start(&mut self, run: RunRecord) -> usize {
        let index = self.runs.len();
        self.running.entry((run.service.clone(), run.host.clone())).or_default().push(index);
        self.runs.push(run);
        index
    }

    /// Ends a run unless it has ended.
    pub(super) fn end(&mut self, index: usize, now_ms: u64, cut: Option<Cut>) {
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

    /// Ends all runs of a host and returns their number.
    pub(super) fn cut_host(&mut self, host: &HostId, now_ms: u64, cut: Cut) -> usize {
        let of_host = self.running.iter().filter(|((_, running), _)| running == host);
        let indices: Vec<usize> = of_host.flat_map(|(_, indices)| indices.clone()).collect();
        for index in &indices {
            self.end(*index, now_ms, Some(cut));
        }
        indices.len()
    }

    pub(super) fn sign_leaving(&mut self, host: &HostId, now_ms: u64) {
        let known = |sign: &LeavingSign| sign.host == *host && sign.to_ms.is_none();
        if !self.leaving_signals.iter().any(known) {
            let sign = LeavingSign { host: host.clone(), from_ms: now_ms, to_ms: None };
            self.leaving_signals.push(sign);
        }
    }

    pub(super) fn end_leaving(&mut self, host: &HostId, now_ms: u64) {
        let open = |sign: &&mut LeavingSign| sign.host == *host && sign.to_ms.is_none();
        for sign in self.leaving_signals.iter_mut().filter(open) {
            sign.to_ms = Some(now_ms);
        }
    }
}
