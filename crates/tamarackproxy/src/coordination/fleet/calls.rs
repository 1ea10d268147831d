//! Calls to the store that wait for their replies.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    coordination::{
        fleet::{budget::BudgetChange, wave::WavePoolChange},
        record::{RecordUpdate, Stored, UpdateFailure, UpdateStep},
    },
    protocol::store::StoreRequest,
    state::{
        clock::ClockReading,
        ids::{CallId, HostId, PoolId, RecordVersion, ServiceId, Term, WaveId},
        records::{
            BudgetRecord, HostPhase, HostRecord, RecentOperations, WavePoolRecord, WaveRecord,
        },
    },
};

use super::{FleetAction, engine::FleetEngine};

/// Calls to the store that one engine has outstanding at most; further writes
/// wait for the next reply.
pub(super) const CALLS_MAX: usize = 64;

/// Update of a record of type `R`.
pub(super) type Update<R> = RecordUpdate<R, fn(&R) -> RecentOperations>;

/// A write of one record by the controller of a pool.
#[derive(Clone, Debug)]
pub(super) struct Write<R, C> {
    pub update: Update<R>,
    pub key: Box<str>,
    pub pool: PoolId,
    pub term: Term,
    pub change: C,
}

/// A change of one host record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum HostChange {
    /// Creates the record.
    Adopt(Box<HostRecord>),
    /// Goes from one phase to another.
    Phase { from: HostPhase, to: HostPhase, next_pool: Option<PoolId> },
    /// Names the new pool of a host that has drained.
    Transfer,
    /// Raises the term, so that a delayed write of a predecessor fails.
    Fence,
    /// Takes the address and rack from the platform's list.
    Relocate,
}

/// A call to the store and what follows its reply.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Control { pool: PoolId, sent_ms: u64 },
    Host { host: HostId, write: Box<Write<HostRecord, HostChange>> },
    Budget { service: ServiceId, write: Box<Write<BudgetRecord, Vec<BudgetChange>>> },
    Wave { wave: WaveId, write: Box<Write<WaveRecord, ()>> },
    WavePool { wave: WaveId, write: Box<Write<WavePoolRecord, Vec<WavePoolChange>>> },
    Ignored,
}

/// Outstanding calls; at most one write for each key.
#[derive(Clone, Debug, Default)]
pub(super) struct Calls {
    waiting: BTreeMap<CallId, Call>,
    busy_keys: BTreeSet<Box<str>>,
    next: CallId,
}

impl Calls {
    /// Keeps a call and returns its id.
    pub fn push(&mut self, call: Call) -> CallId {
        let id = self.next;
        self.next = id.next();
        self.waiting.insert(id, call);
        id
    }

    /// Removes a call whose reply arrived.
    pub fn take(&mut self, id: CallId) -> Option<Call> {
        self.waiting.remove(&id)
    }

    /// Reserves a key for one write; fails while another write of the key is
    /// outstanding or too many calls are.
    pub fn claim_key(&mut self, key: &str) -> bool {
        self.waiting.len() < CALLS_MAX && self.busy_keys.insert(key.into())
    }

    /// Tells whether a write of the key is outstanding.
    pub fn is_busy(&self, key: &str) -> bool {
        self.busy_keys.contains(key)
    }

    /// Allows the next write of a key.
    pub fn release_key(&mut self, key: &str) {
        self.busy_keys.remove(key);
    }
}

/// Keys of the records.
pub(super) fn host_key(host: &HostId) -> Box<str> {
    format!("host/{host}").into()
}

pub(super) fn budget_key(service: &ServiceId) -> Box<str> {
    format!("budget/{service}").into()
}

pub(super) fn wave_key(wave: &WaveId) -> Box<str> {
    format!("wave/{wave}").into()
}

pub(super) fn wave_pool_key(wave: &WaveId, pool: &PoolId) -> Box<str> {
    format!("wave/{wave}/{pool}").into()
}

/// Decides on the present state of a record; none drops the write.
type Decide<R, C> =
    fn(&mut FleetEngine, ClockReading, &Write<R, C>, Option<Stored<R>>) -> Option<R>;

impl FleetEngine {
    /// Starts a write of a record, from the known version if there is one.
    pub(super) fn begin<R, C>(
        &mut self,
        now: ClockReading,
        mut write: Write<R, C>,
        known: Option<Stored<R>>,
        decide: Decide<R, C>,
        wrap: impl Fn(Box<Write<R, C>>) -> Call,
        actions: &mut Vec<FleetAction>,
    ) where
        R: Clone + serde::Serialize + serde::de::DeserializeOwned,
    {
        if !self.calls.claim_key(&write.key) {
            return;
        }
        let step = match known {
            Some(stored) => {
                write.update.start_from(stored.version);
                UpdateStep::Decide(Some(stored))
            }
            None => write.update.start(),
        };
        self.advance(now, write, step, decide, wrap, actions);
    }

    /// Starts the creation of a record that is believed not to exist.
    pub(super) fn begin_creation<R, C>(
        &mut self,
        now: ClockReading,
        mut write: Write<R, C>,
        decide: Decide<R, C>,
        wrap: impl Fn(Box<Write<R, C>>) -> Call,
        actions: &mut Vec<FleetAction>,
    ) where
        R: Clone + serde::Serialize + serde::de::DeserializeOwned,
    {
        if self.calls.claim_key(&write.key) {
            write.update.start_from(RecordVersion(0));
            self.advance(now, write, UpdateStep::Decide(None), decide, wrap, actions);
        }
    }

    /// Follows an update until it waits for the store or ends; returns the
    /// record if the write took effect.
    pub(super) fn advance<R, C>(
        &mut self,
        now: ClockReading,
        mut write: Write<R, C>,
        step: UpdateStep<R>,
        decide: Decide<R, C>,
        wrap: impl Fn(Box<Write<R, C>>) -> Call,
        actions: &mut Vec<FleetAction>,
    ) -> Option<Stored<R>>
    where
        R: Clone + serde::Serialize + serde::de::DeserializeOwned,
    {
        let step = match step {
            UpdateStep::Decide(stored) => match decide(self, now, &write, stored) {
                Some(record) => write.update.write(record),
                None => {
                    self.calls.release_key(&write.key);
                    return None;
                }
            },
            step => step,
        };
        match step {
            UpdateStep::Send(request) => {
                self.count_call(&request);
                let call = self.calls.push(wrap(Box::new(write)));
                actions.push(FleetAction::Store { call, request });
                None
            }
            UpdateStep::Done(stored) => {
                self.backoff.reset();
                self.calls.release_key(&write.key);
                Some(stored)
            }
            UpdateStep::Failed(failure) => {
                self.calls.release_key(&write.key);
                self.on_failure(now, &write.key, &failure);
                None
            }
            UpdateStep::Decide(_) => None,
        }
    }

    fn on_failure(&mut self, now: ClockReading, key: &str, failure: &UpdateFailure) {
        match failure {
            UpdateFailure::Corrupt { key, message } => log::error!(
                "record {key} cannot be decoded: {message}; restore it from its history"
            ),
            // The known record may be older than the one in the store, so it
            // is read again before the next decision.
            UpdateFailure::Unknown => self.forget_record(key),
            UpdateFailure::Unavailable => {}
        }
        let delay_ms = self.backoff.fail(now.monotonic_ms, &mut self.rng);
        log::debug!("a store update failed ({failure}); the next one starts in {delay_ms} ms");
    }

    fn forget_record(&mut self, key: &str) {
        if let Some(service) = key.strip_prefix("budget/") {
            self.budgets.remove(service);
        } else if key.starts_with("wave/") {
            self.wave_pools.retain(|(wave, pool), _| &*wave_pool_key(wave, pool) != key);
        }
    }

    fn count_call(&mut self, request: &StoreRequest) {
        match request {
            StoreRequest::CompareAndSwap { .. } | StoreRequest::CompareAndDelete { .. } => {
                self.counts.store_writes += 1;
            }
            _ => self.counts.store_reads += 1,
        }
    }
}
