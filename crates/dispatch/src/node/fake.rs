//! Fakes for tests: a platform whose store and host service do not answer, and a
//! store of one control lease.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Response};
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
            AdviceQuestion, Order, OrderReply, OrderTarget, PollFailure, PollReport, PollRequest,
            WorkerContact,
        },
        upkeep::{HostOrderReply, HostView},
    },
    settings::DispatchSettings,
    state::{KeyDigest, QueueSettings, ServingDocument, WaveNumber, WaveState, WorkerEntry},
};

/// Platform that records orders and transactions; only workers answer.
#[derive(Default)]
pub(super) struct Workers {
    /// Payloads of the starts, oldest first.
    pub(super) payloads: Rc<RefCell<Vec<Box<str>>>>,
    /// Transactions, oldest first; none of them has a reply in time.
    pub(super) transactions: Rc<RefCell<Vec<Transaction>>>,
    /// Listed prefixes, oldest first; none of them has a reply.
    pub(super) lists: Rc<RefCell<Vec<Box<str>>>>,
    /// Time that workers take to answer an order, in milliseconds.
    pub(super) order_ms: u64,
}

impl Platform for Workers {
    async fn store(&self, _: &StoreRequest) -> Result<StoreReply, StoreError> {
        Err(StoreError::NotSent)
    }

    async fn transact(&self, transaction: &Transaction) -> Result<TransactionReply, StoreError> {
        self.transactions.borrow_mut().push(transaction.clone());
        Err(StoreError::Unknown)
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.lists.borrow_mut().push(prefix.into());
        Err(StoreError::NotSent)
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

    async fn send_order(&self, _: &WorkerContact, _: &OrderTarget, order: &Order) -> OrderReply {
        if let Order::Start(start) = order {
            self.payloads.borrow_mut().push(start.job.payload.clone());
        }
        if self.order_ms > 0 {
            sleep(Duration::from_millis(self.order_ms)).await;
        }
        OrderReply::Accepted
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

    fn caller_key(&self, _: &HeaderMap) -> Option<KeyDigest> {
        None
    }

    fn decode_request(
        &self,
        _: &ServingDocument,
        _: &QueueSettings,
        _: RequestHead<'_>,
        _: &[u8],
    ) -> Result<CallerRequest, RequestError> {
        unreachable!("the test sends no requests of callers")
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
    let settings = DispatchSettings::parse(SETTINGS).expect("the settings are valid");
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
