//! State shared by the tasks of one process.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use hashbrown::{HashMap, HashSet};
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest, WatchEvent},
    state::ids::{PoolId, RecordVersion, RequestId, WorkerId},
};
use tokio::sync::{Notify, oneshot, watch};

use super::{
    backlog::Backlog,
    calls::WorkerCalls,
    clock,
    control::Holders,
    follow::PrefixUpdate,
    forward::Forwarder,
    platform::{
        Changes, ChangesError, Listing, OperatorRecord, Platform, Transaction, TransactionReply,
    },
    queues::KnownQueues,
};
use crate::{
    coordination::{
        access::ConfigurationAge,
        pool::PoolEngine,
        request_memory::RequestMemory,
        submission::{SubmissionAnswer, Submissions},
        withdrawals::WithdrawalBudget,
    },
    settings::DispatchSettings,
    state::{ServingDocument, WaveNumber, WaveRequest, WorkerEntry},
};

/// Time without a reply after which the store counts as unreachable and the
/// process as not ready, in milliseconds: half a second after the end of a long
/// poll. The load balancer needs two more seconds to take a data centre that is
/// cut off out of rotation, and callers give up after three.
const STORE_UNREACHABLE_MS: u64 = 1_500;

/// Counts an open request until it is dropped, so that a graceful stop waits for
/// it.
pub(super) struct OpenRequest<'a>(&'a Cell<usize>);

impl<'a> OpenRequest<'a> {
    pub(super) fn new(open: &'a Cell<usize>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Shared state of one process.
pub(super) struct Shared<P> {
    pub(super) platform: P,
    pub(super) settings: DispatchSettings,
    pub(super) worker_calls: WorkerCalls,
    /// The configuration in force; none until one has been read.
    pub(super) document: watch::Sender<Option<Rc<ServingDocument>>>,
    /// Maintenance waves requested by the operator.
    pub(super) waves: RefCell<HashMap<WaveNumber, WaveRequest>>,
    pub(super) waves_changed: Notify,
    /// Registered workers.
    pub(super) registry: watch::Sender<HashMap<WorkerId, WorkerEntry>>,
    /// Workers to vacate, with the versions of the requests.
    pub(super) vacate: watch::Sender<HashMap<WorkerId, RecordVersion>>,
    /// Workers that are confirmed as vacated.
    pub(super) vacated: watch::Sender<HashSet<WorkerId>>,
    /// The requests to vacate workers and their confirmations have been read since
    /// this process holds a scope.
    fleet_is_known: watch::Sender<bool>,
    /// Last known holders of scopes.
    pub(super) holders: watch::Sender<Rc<Holders>>,
    /// Scopes that this process holds.
    pub(super) held: watch::Sender<Vec<Box<str>>>,
    /// Scopes that this process is trying to acquire.
    pub(super) attempted: RefCell<HashSet<Box<str>>>,
    /// Engines of the pools that this process controls.
    pub(super) engines: RefCell<HashMap<PoolId, Rc<RefCell<PoolEngine>>>>,
    pub(super) submissions: RefCell<Submissions>,
    /// Writes of the records of withdrawn jobs.
    pub(super) withdrawals: RefCell<Submissions>,
    pub(super) withdrawal_budget: RefCell<WithdrawalBudget>,
    pub(super) queues: KnownQueues,
    pub(super) backlog: Backlog,
    pub(super) submission_replies: RefCell<HashMap<RequestId, oneshot::Sender<SubmissionAnswer>>>,
    pub(super) stopping: watch::Sender<bool>,
    /// When the last successful read of the operator's records was sent, in
    /// milliseconds on the local clock.
    configuration_confirmed_ms: Cell<u64>,
    /// Time of the last reply of the store, in milliseconds on the local clock.
    store_reply_ms: Cell<u64>,
    /// Whether the store was last logged as unreachable.
    store_is_unreachable: Cell<bool>,
    /// The last call to the store could not be sent.
    store_is_disconnected: Cell<bool>,
    next_request: Cell<u64>,
    pub(super) requests_open: Cell<usize>,
    /// Memory that the bodies of requests hold.
    pub(super) request_memory: RequestMemory,
    /// Forwards requests to other processes.
    pub(super) forwarder: Forwarder,
}

impl<P> Shared<P>
where
    P: Platform,
{
    pub(super) fn new(platform: P, settings: DispatchSettings) -> Self {
        let request_memory = RequestMemory::new(settings.request_memory);
        let forwarder = Forwarder::new(settings.data_centre.clone());
        Self {
            platform,
            settings,
            worker_calls: WorkerCalls::default(),
            document: watch::Sender::new(None),
            waves: RefCell::default(),
            waves_changed: Notify::new(),
            registry: watch::Sender::default(),
            vacate: watch::Sender::default(),
            vacated: watch::Sender::default(),
            fleet_is_known: watch::Sender::new(false),
            holders: watch::Sender::new(Rc::default()),
            held: watch::Sender::new(Vec::new()),
            attempted: RefCell::default(),
            engines: RefCell::default(),
            submissions: RefCell::default(),
            withdrawals: RefCell::default(),
            withdrawal_budget: RefCell::default(),
            queues: KnownQueues::default(),
            backlog: Backlog::default(),
            submission_replies: RefCell::default(),
            stopping: watch::Sender::new(false),
            configuration_confirmed_ms: Cell::new(0),
            store_reply_ms: Cell::new(0),
            store_is_unreachable: Cell::new(true),
            store_is_disconnected: Cell::new(false),
            next_request: Cell::new(0),
            requests_open: Cell::new(0),
            request_memory,
            forwarder,
        }
    }

    pub(super) fn next_request(&self) -> RequestId {
        let number = self.next_request.get() + 1;
        self.next_request.set(number);
        RequestId(number)
    }

    pub(super) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    pub(super) fn document(&self) -> Option<Rc<ServingDocument>> {
        self.document.borrow().clone()
    }

    /// Returns whether the store has replied within [`STORE_UNREACHABLE_MS`].
    pub(super) fn store_is_reachable(&self) -> bool {
        clock::read().monotonic_ms < self.store_reply_ms.get() + STORE_UNREACHABLE_MS
    }

    /// Returns whether the last call to the store could not even be sent.
    pub(super) fn store_is_disconnected(&self) -> bool {
        self.store_is_disconnected.get()
    }

    /// Records that a prefix was read successfully by a call sent at `sent_ms`.
    pub(super) fn confirm_prefix(&self, prefix: &str, sent_ms: u64) {
        if prefix == self.platform.operator_prefix() {
            self.configuration_confirmed_ms.set(sent_ms);
        }
    }

    /// Returns how old the configuration may be.
    pub(super) fn configuration_age(&self) -> ConfigurationAge {
        ConfigurationAge {
            now_ms: clock::read().monotonic_ms,
            confirmed_ms: self.configuration_confirmed_ms.get(),
            revocation_ms: self.settings.key_revocation_ms,
        }
    }

    /// Returns whether the process can serve new requests.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.document.borrow().is_some() && self.store_is_reachable()
    }

    /// Counts a call to the store, and logs when the store becomes reachable or
    /// unreachable.
    fn record_result<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        metrics::counter!("store_calls").increment(1);
        self.store_is_disconnected.set(matches!(result, Err(StoreError::NotSent)));
        match &result {
            Ok(_) => {
                self.store_reply_ms.set(clock::read().monotonic_ms);
                if self.store_is_unreachable.replace(false) {
                    log::info!(dependency = "store"; "dependency answers");
                }
            }
            Err(error) => {
                metrics::counter!("store_call_failures").increment(1);
                if !self.store_is_reachable() && !self.store_is_unreachable.replace(true) {
                    log::warn!(dependency = "store", error:display = error;
                        "dependency does not answer");
                }
            }
        }
        result
    }

    pub(super) async fn store(&self, request: &StoreRequest) -> Result<StoreReply, StoreError> {
        self.record_result(self.platform.store(request).await)
    }

    pub(super) async fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionReply, StoreError> {
        self.record_result(self.platform.transact(transaction).await)
    }

    pub(super) async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.record_result(self.platform.list(prefix).await)
    }

    pub(super) async fn read(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        match self.store(&StoreRequest::Get { key: key.into() }).await? {
            StoreReply::Value(value) => Ok(value),
            other => Err(StoreError::Malformed(format!("unexpected reply {other:?}").into())),
        }
    }

    pub(super) async fn changes(
        &self,
        prefix: &str,
        after: RecordVersion,
        wait_ms: u64,
    ) -> Result<Changes, ChangesError> {
        let result = self.platform.changes(prefix, after, wait_ms).await;
        match result {
            Ok(changes) => Ok(self.record_result(Ok(changes)).map_err(ChangesError::Store)?),
            Err(ChangesError::Compacted) => Err(ChangesError::Compacted),
            Err(ChangesError::Store(error)) => {
                self.record_result(Err(error)).map_err(ChangesError::Store)
            }
        }
    }

    /// Marks the requests to vacate workers and their confirmations as read.
    pub(super) fn mark_fleet_known(&self) {
        self.fleet_is_known.send_replace(true);
    }

    /// Forgets the requests to vacate workers and their confirmations, which this
    /// process no longer follows.
    pub(super) fn forget_fleet(&self) {
        self.fleet_is_known.send_replace(false);
        self.vacate.send_modify(HashMap::clear);
        self.vacated.send_modify(HashSet::clear);
    }

    /// Waits until the requests to vacate workers and their confirmations have
    /// been read.
    pub(super) async fn fleet_known(&self) {
        // Fails only if the sender is gone, which this borrows.
        let _ = self.fleet_is_known.subscribe().wait_for(|is_known| *is_known).await;
    }

    /// Applies changes of the operator's records.
    pub(super) fn on_operator(&self, update: PrefixUpdate) {
        match update {
            PrefixUpdate::Listed(items) => {
                self.waves.borrow_mut().clear();
                items.iter().for_each(|item| self.on_operator_item(item));
                self.waves_changed.notify_waiters();
            }
            PrefixUpdate::Changed(WatchEvent::Put(item)) => self.on_operator_item(&item),
            PrefixUpdate::Changed(WatchEvent::Deleted { .. } | WatchEvent::Interrupted) => {}
        }
    }

    fn on_operator_item(&self, item: &KeyValue) {
        match self.platform.decode_operator_record(item) {
            Some(OperatorRecord::Document(document)) => self.on_document(document),
            Some(OperatorRecord::Wave(wave)) => {
                self.waves.borrow_mut().insert(wave.wave, wave);
                self.waves_changed.notify_waiters();
            }
            None => {}
        }
    }

    /// Puts a configuration in force unless the current one is as new or newer.
    fn on_document(&self, document: ServingDocument) {
        let is_newer =
            self.document.borrow().as_ref().is_none_or(|current| document.record > current.record);
        if is_newer {
            log::info!(revision = document.revision, record = document.record.0,
                queues = document.queues.len(), pools = document.pools.len();
                "configuration is in force");
            self.queues.on_configuration(clock::read().monotonic_ms);
            self.document.send_replace(Some(Rc::new(document)));
        }
    }

    /// Applies changes of the worker registry. Entries are renewed continually;
    /// receivers are notified only when the content of an entry changes.
    pub(super) fn on_registry(&self, update: PrefixUpdate) {
        let platform = &self.platform;
        self.registry.send_if_modified(|workers| match update {
            PrefixUpdate::Listed(items) => {
                let entries = items.iter().filter_map(|item| platform.decode_worker_entry(item));
                *workers = entries.map(|entry| (entry.worker.clone(), entry)).collect();
                true
            }
            PrefixUpdate::Changed(WatchEvent::Put(item)) => {
                match platform.decode_worker_entry(&item) {
                    Some(entry) if workers.get(&entry.worker) == Some(&entry) => false,
                    Some(entry) => {
                        workers.insert(entry.worker.clone(), entry);
                        true
                    }
                    None => self.remove_worker(workers, &item.key),
                }
            }
            PrefixUpdate::Changed(WatchEvent::Deleted { key, .. }) => {
                self.remove_worker(workers, &key)
            }
            PrefixUpdate::Changed(WatchEvent::Interrupted) => false,
        });
    }

    /// Removes the worker of a key; returns whether it was known.
    fn remove_worker(&self, workers: &mut HashMap<WorkerId, WorkerEntry>, key: &str) -> bool {
        let name = key.strip_prefix(self.platform.registry_prefix());
        let worker = name.and_then(|name| name.parse::<WorkerId>().ok());
        worker.is_some_and(|worker| workers.remove(&worker).is_some())
    }
}
