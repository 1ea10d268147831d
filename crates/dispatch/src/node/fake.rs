//! Fakes for tests: a platform whose host service does not answer and whose store
//! answers on demand, and a store of one control lease.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use hashbrown::HashMap;
use http::{HeaderMap, Method, Response, header};
use tamarackproxy::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::ids::{HostId, LeaseId, PoolId, RecordVersion, WorkerId},
};
use tokio::{task::LocalSet, time::sleep};

use super::{
    callers::{CallerRequest, CallerResponse, RequestError},
    platform::{
        Changes, ChangesError, HostOrder, Listing, OperatorRecord, Platform, RequestHead,
        Transaction, TransactionReply,
    },
    shared::Shared,
};
use crate::{
    coordination::{
        pool::{
            AdviceQuestion, Order, OrderOutcome, OrderReply, OrderTarget, PollFailure, PollReport,
            PollRequest, WorkerContact,
        },
        upkeep::{HostOrderReply, HostView},
    },
    settings::DispatchSettings,
    state::{
        CallerKey, JobSpec, KeyDigest, KeyHasher, QueueSettings, ServingDocument, WaveNumber,
        WaveState, WorkerEntry,
    },
};

/// How a process reaches the fake store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Reach {
    /// Reads are not sent, and writes have no effect and no reply.
    #[default]
    Cut,
    /// No call can be sent.
    Disconnected,
    /// Calls never return.
    Silent,
    /// The store refuses every call.
    Throttled,
    /// Writes take effect, but their replies are lost.
    RepliesLost,
    /// Calls are answered.
    Up,
}

/// Values of a fake store that several processes share.
pub(super) type StoredValues = Rc<RefCell<HashMap<Box<str>, KeyValue>>>;

/// Platform that records orders and transactions; unless `reach` says
/// otherwise, only workers answer.
#[derive(Default)]
pub(super) struct Workers {
    /// How the process reaches the store.
    pub(super) reach: Rc<Cell<Reach>>,
    /// Values of the store.
    pub(super) stored: StoredValues,
    /// Hashes callers' keys, which are the values of the Authorization header.
    pub(super) key_hasher: KeyHasher,
    /// Payloads of the starts, oldest first.
    pub(super) payloads: Rc<RefCell<Vec<Box<str>>>>,
    /// Transactions, oldest first; none of them has a reply in time.
    pub(super) transactions: Rc<RefCell<Vec<Transaction>>>,
    /// Keys that were read, oldest first.
    pub(super) reads: Rc<RefCell<Vec<Box<str>>>>,
    /// Listed prefixes, oldest first; none of them has a reply.
    pub(super) lists: Rc<RefCell<Vec<Box<str>>>>,
    /// Time that workers take to answer an order, in milliseconds.
    pub(super) order_ms: u64,
}

impl Workers {
    /// Returns `cut` or another error if calls have no effect at present.
    async fn reach_for(&self, cut: StoreError) -> Result<(), StoreError> {
        match self.reach.get() {
            Reach::Cut => Err(cut),
            Reach::Disconnected => Err(StoreError::NotSent),
            Reach::Silent => std::future::pending().await,
            Reach::Throttled => Err(StoreError::Throttled),
            Reach::RepliesLost | Reach::Up => Ok(()),
        }
    }

    /// Executes a transaction, for example one that had no effect when it was sent.
    pub(super) fn apply(stored: &StoredValues, transaction: &Transaction) -> TransactionReply {
        let mut stored = stored.borrow_mut();
        let version = |stored: &HashMap<Box<str>, KeyValue>, key: &str| {
            stored.get(key).map_or(RecordVersion(0), |item| item.version)
        };
        if transaction.expected.iter().any(|(key, expected)| version(&stored, key) != *expected) {
            let keys = transaction.expected.iter();
            let found = keys.filter_map(|(key, _)| stored.get(key).cloned()).collect();
            return TransactionReply::Conflict(found);
        }
        let latest = stored.values().map(|item| item.version.0).max().unwrap_or_default();
        let version = RecordVersion(latest + 1);
        for (key, value) in &transaction.put {
            let item = KeyValue { key: key.clone(), value: value.clone(), version };
            stored.insert(key.clone(), item);
        }
        stored.retain(|key, _| !transaction.remove.contains(key));
        TransactionReply::Written(version)
    }
}

impl Platform for Workers {
    async fn store(&self, request: &StoreRequest) -> Result<StoreReply, StoreError> {
        self.reach_for(StoreError::NotSent).await?;
        let StoreRequest::Get { key } = request else { return Err(StoreError::NotSent) };
        self.reads.borrow_mut().push(key.clone());
        Ok(StoreReply::Value(self.stored.borrow().get(key).cloned()))
    }

    async fn transact(&self, transaction: &Transaction) -> Result<TransactionReply, StoreError> {
        self.transactions.borrow_mut().push(transaction.clone());
        self.reach_for(StoreError::Unknown).await?;
        let reply = Self::apply(&self.stored, transaction);
        if self.reach.get() == Reach::RepliesLost { Err(StoreError::Unknown) } else { Ok(reply) }
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.lists.borrow_mut().push(prefix.into());
        self.reach_for(StoreError::NotSent).await?;
        let stored = self.stored.borrow();
        let items = stored.values().filter(|item| item.key.starts_with(prefix));
        Ok(Listing { items: items.cloned().collect(), as_of: RecordVersion(0) })
    }

    async fn changes(&self, _: &str, _: RecordVersion, _: u64) -> Result<Changes, ChangesError> {
        Err(ChangesError::Store(StoreError::NotSent))
    }

    fn operator_prefix(&self) -> &'static str {
        "operator/"
    }

    fn decode_operator_record(&self, _: &KeyValue) -> Option<OperatorRecord> {
        None
    }

    fn encode_wave_state(&self, _: WaveNumber, _: WaveState) -> (Box<str>, Bytes) {
        ("wave".into(), Bytes::new())
    }

    fn registry_prefix(&self) -> &'static str {
        "registry/"
    }

    fn decode_worker_entry(&self, _: &KeyValue) -> Option<WorkerEntry> {
        None
    }

    async fn send_order(&self, _: &WorkerContact, _: &OrderTarget, order: &Order) -> OrderOutcome {
        if let Order::Start(start) = order {
            self.payloads.borrow_mut().push(start.job.payload.clone());
        }
        if self.order_ms > 0 {
            sleep(Duration::from_millis(self.order_ms)).await;
        }
        OrderReply::Accepted.into()
    }

    async fn poll_worker(
        &self,
        _: &WorkerContact,
        request: &PollRequest,
    ) -> Result<PollReport, PollFailure> {
        Ok(PollReport { clock_ms: request.acknowledged, ..PollReport::default() })
    }

    async fn query_policy(&self, _: &AdviceQuestion) -> Option<Vec<(WorkerId, Box<str>)>> {
        None
    }

    async fn list_hosts(&self) -> Option<Vec<HostView>> {
        None
    }

    async fn start_maintenance(
        &self,
        _: &HostOrder<'_>,
        _: &HostId,
        _: WaveNumber,
    ) -> HostOrderReply {
        HostOrderReply::Refused
    }

    async fn move_host(&self, _: &HostOrder<'_>, _: &HostId, _: &PoolId) -> HostOrderReply {
        HostOrderReply::Refused
    }

    fn caller_key(&self, headers: &HeaderMap) -> Option<CallerKey> {
        headers.get(header::AUTHORIZATION)?.to_str().ok().map(CallerKey::new)
    }

    fn key_digest(&self, key: &CallerKey) -> KeyDigest {
        self.key_hasher.digest(key.secret())
    }

    fn decode_request(
        &self,
        _: &ServingDocument,
        queue: &QueueSettings,
        head: RequestHead<'_>,
        _: &[u8],
    ) -> Result<CallerRequest, RequestError> {
        let queue = queue.clone();
        if head.path.is_empty() {
            return Ok(CallerRequest::CountWaiting { queue });
        }
        let job = head.path.parse().map_err(|_| RequestError::JobNumber)?;
        match *head.method {
            Method::POST => {
                let spec = JobSpec { payload: "".into(), steps: Vec::new(), schedule: None };
                Ok(CallerRequest::Submit { queue, job, spec })
            }
            Method::DELETE => Ok(CallerRequest::Cancel { queue, job }),
            _ => Ok(CallerRequest::State { queue, job }),
        }
    }

    fn timeout_ms(&self, _: &HeaderMap) -> Option<u64> {
        None
    }

    fn request_id<'a>(&self, _: &'a HeaderMap) -> Option<&'a str> {
        None
    }

    fn is_readiness_path(&self, _: &str) -> bool {
        false
    }

    fn encode_response(&self, _: &CallerResponse) -> Response<Bytes> {
        Response::new(Bytes::new())
    }
}

const SETTINGS: &str = "[entry]\nname = a-1\ndata_centre = a\n[listen]\ncallers = 127.0.0.1:1\n\
    ready = 127.0.0.1:2\nmetrics = 127.0.0.1:3\n[platform]\nstore = 127.0.0.1:4\n\
    hosts = 127.0.0.1:5\n";

/// Time to live of a lease, in milliseconds.
pub(crate) const LEASE_TTL_MS: u64 = 3_000;

/// Store of one scope's control lease, which ends at its time.
#[derive(Default)]
pub(crate) struct LeaseStore {
    holder: Option<KeyValue>,
    term: Option<KeyValue>,
    lease_until_ms: u64,
    version: u64,
}

impl LeaseStore {
    /// Executes a request at `now_ms`.
    pub(crate) fn call(&mut self, now_ms: u64, request: &StoreRequest) -> StoreReply {
        if now_ms >= self.lease_until_ms {
            self.holder = None;
        }
        match request {
            StoreRequest::GrantLease { ttl_ms } => {
                StoreReply::Lease { lease: LeaseId(1), ttl_ms: *ttl_ms }
            }
            StoreRequest::KeepAlive { .. } => {
                if self.holder.is_none() {
                    return StoreReply::LeaseLost;
                }
                self.lease_until_ms = now_ms + LEASE_TTL_MS;
                StoreReply::Lease { lease: LeaseId(1), ttl_ms: LEASE_TTL_MS }
            }
            StoreRequest::Get { key } if key.starts_with("control-term/") => {
                StoreReply::Value(self.term.clone())
            }
            StoreRequest::Get { .. } => StoreReply::Value(self.holder.clone()),
            StoreRequest::CompareAndSwap { key, value, expected, .. } => {
                let is_term = key.starts_with("control-term/");
                let slot = if is_term { &mut self.term } else { &mut self.holder };
                let found = slot.as_ref().map_or(RecordVersion(0), |item| item.version);
                if found != *expected {
                    return StoreReply::Conflict(slot.clone());
                }
                self.version += 1;
                let version = RecordVersion(self.version);
                *slot = Some(KeyValue { key: key.clone(), value: value.clone(), version });
                if !is_term {
                    self.lease_until_ms = now_ms + LEASE_TTL_MS;
                }
                StoreReply::Swapped(version)
            }
            other => panic!("unexpected request {other:?}"),
        }
    }
}

/// Returns the shared state of a process on this platform.
pub(super) fn shared(platform: Workers) -> Rc<Shared<Workers>> {
    shared_with(platform, |_| {})
}

/// Returns the shared state of a process with changed settings.
pub(super) fn shared_with<F>(platform: Workers, change: F) -> Rc<Shared<Workers>>
where
    F: FnOnce(&mut DispatchSettings),
{
    let mut settings = DispatchSettings::parse(SETTINGS).expect("the settings are valid");
    change(&mut settings);
    Rc::new(Shared::new(platform, settings))
}

/// Runs a future and its local tasks to completion.
pub(super) fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), future)
}
