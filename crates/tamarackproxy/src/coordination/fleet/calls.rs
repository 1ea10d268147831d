//! Outstanding calls to the store and the updates that they belong to.

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

/// Maximum number of outstanding store calls of one engine; further writes
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
    /// Changes the phase, provided that the record is still in `from`.
    Phase { from: HostPhase, to: HostPhase, next_pool: Option<PoolId> },
    /// Assigns a drained host to its new pool.
    Transfer,
    /// Raises the term, so that a delayed write of the previous controller
    /// fails.
    Fence,
    /// Copies address, rack and data centre from the platform's list.
    Relocate,
}

/// An outstanding store call and the update that its reply continues.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Control { pool: PoolId, sent_ms: u64 },
    Host { host: HostId, write: Box<Write<HostRecord, HostChange>> },
    Budget { service: ServiceId, write: Box<Write<BudgetRecord, Vec<BudgetChange>>> },
    Wave { wave: WaveId, write: Box<Write<WaveRecord, ()>> },
    WavePool { wave: WaveId, write: Box<Write<WavePoolRecord, Vec<WavePoolChange>>> },
    Ignored,
}

/// Outstanding calls, with at most one write per key.
#[derive(Clone, Debug, Default)]
pub(super) struct Calls {
    outstanding: BTreeMap<CallId, Call>,
    busy_keys: BTreeSet<Box<str>>,
    next_id: CallId,
}

impl Calls {
    /// Registers a call and returns its id.
    pub fn push(&mut self, call: Call) -> CallId {
        let id = self.next_id;
        self.next_id = id.next();
        self.outstanding.insert(id, call);
        id
    }

    /// Removes and returns a call whose reply arrived.
    pub fn take(&mut self, id: CallId) -> Option<Call> {
        self.outstanding.remove(&id)
    }

    /// Reserves a key for one write. Returns false if a write of the key or
    /// [`CALLS_MAX`] calls are outstanding.
    pub fn claim_key(&mut self, key: &str) -> bool {
        self.outstanding.len() < CALLS_MAX && self.busy_keys.insert(key.into())
    }

    /// Returns whether a write of the key is outstanding.
    pub fn is_busy(&self, key: &str) -> bool {
        self.busy_keys.contains(key)
    }

    /// Releases a key for the next write.
    pub fn release_key(&mut self, key: &str) {
        self.busy_keys.remove(key);
    }
}

/// Returns the store key of a host record.
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

/// Computes the record to write from the current one; `None` drops the write.
type Decide<R, C> =
    fn(&mut FleetEngine, ClockReading, &Write<R, C>, Option<Stored<R>>) -> Option<R>;

impl FleetEngine {
    /// Starts a write of a record, based on the known version if there is one.
    pub(super) fn start_write<R, C>(
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
        self.advance_write(now, write, step, decide, wrap, actions);
    }

    /// Starts the creation of a record that is believed not to exist.
    pub(super) fn start_creation<R, C>(
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
            self.advance_write(now, write, UpdateStep::Decide(None), decide, wrap, actions);
        }
    }

    /// Advances an update until it sends a store call or ends; returns the
    /// record if the write took effect.
    pub(super) fn advance_write<R, C>(
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
            // The cached record may be older than the one in the store, so it
            // is read again before the next decision.
            UpdateFailure::Unknown => self.forget_record(key),
            UpdateFailure::Unavailable => {}
        }
        let delay_ms = self.backoff.fail(now.monotonic_ms, &mut self.rng);
        log::debug!("store update failed: {failure}; backing off for {delay_ms} ms");
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
