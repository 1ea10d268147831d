//! Tests of links to relays, over loopback connections.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http::{HeaderMap, Response};
use tamarackproxy::{
    coordination::jobs::Resources,
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::ids::{HostId, PoolId, RecordVersion, Term, WorkerId},
};
use tokio::{sync::mpsc, task::LocalSet};

use super::{
    super::{
        callers::{CallerRequest, CallerResponse, RequestError},
        platform::{
            Changes, ChangesError, HostOrder, Listing, OperatorRecord, Platform, RequestHead,
            Transaction, TransactionReply,
        },
        shared::Shared,
    },
    CallEnd, CallOutcome, RelayLink, listen,
};
use crate::{
    coordination::{
        pool::{
            AdviceQuestion, Order, OrderReply, OrderTarget, PollFailure, PollReport, PollRequest,
            StartOrder, WorkerContact, WorkerKey,
        },
        upkeep::{HostOrderReply, HostView},
    },
    settings::DispatchSettings,
    state::{
        JobNumber, JobSpec, RunNumber, ServingDocument, StepSpec, TaskAddress, WaveNumber,
        WaveState, WorkerEntry,
    },
};

/// Platform that records orders; only workers answer.
#[derive(Default)]
struct Workers {
    payloads: Rc<RefCell<Vec<Box<str>>>>,
}

impl Platform for Workers {
    async fn store(&self, _: &StoreRequest) -> Result<StoreReply, StoreError> {
        Err(StoreError::NotSent)
    }

    async fn transact(&self, _: &Transaction) -> Result<TransactionReply, StoreError> {
        Err(StoreError::NotSent)
    }

    async fn list(&self, _: &str) -> Result<Listing, StoreError> {
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

    fn decode_request(
        &self,
        _: &ServingDocument,
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

type Outcomes = mpsc::UnboundedReceiver<(CallOutcome, CallEnd)>;

fn open(address: SocketAddr) -> (RelayLink, Outcomes) {
    let (sender, outcomes) = mpsc::unbounded_channel();
    let link = RelayLink::open(address, move |outcome, end| drop(sender.send((outcome, end))));
    (link, outcomes)
}

fn contact() -> WorkerContact {
    let address = "127.0.0.1:9".parse().expect("an address");
    WorkerContact { key: WorkerKey::default(), worker: WorkerId::new("w"), address, term: Term(1) }
}

fn target(index: u32) -> OrderTarget {
    let task = TaskAddress { job: JobNumber(1), occurrence: 0, step: 0, index };
    OrderTarget { worker: WorkerKey::default(), task, run: RunNumber(1) }
}

fn start() -> Order {
    let need = Resources::new(1_000, 1 << 20, 0);
    let steps = vec![StepSpec { tasks: 2, need, ..StepSpec::default() }];
    let job = Rc::new(JobSpec { payload: "text".into(), steps, schedule: None });
    Order::Start(StartOrder { job, valid_until_ms: 1, checkpoint: "".into(), ticket: "".into() })
}

fn poll(acknowledged: u64) -> PollRequest {
    PollRequest { acknowledged, lease_until_ms: None, wait_ms: 0 }
}

fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), future)
}

/// Guards against calls that reach no worker or whose replies are mixed up, and
/// against starts without the payload that was sent once.
#[test]
fn relay_carries_orders_and_polls() {
    block_on(async {
        let platform = Workers::default();
        let payloads = Rc::clone(&platform.payloads);
        let settings = DispatchSettings::parse(SETTINGS).expect("the settings are valid");
        let shared = Rc::new(Shared::new(platform, settings));
        let any = "127.0.0.1:0".parse().expect("an address");
        let address = listen(shared, any).await.expect("a free port");
        let (link, mut outcomes) = open(address);
        while !link.is_up() {
            tokio::task::yield_now().await;
        }
        link.order(&contact(), target(0), &start());
        link.order(&contact(), target(1), &start());
        link.poll(&contact(), poll(7));
        let mut started = 0;
        for _ in 0..3 {
            match outcomes.recv().await.expect("an outcome") {
                (CallOutcome::Started(_, OrderReply::Accepted), CallEnd::Replied) => started += 1,
                (CallOutcome::Polled(_, Ok(report)), CallEnd::Replied) => {
                    assert_eq!(report.clock_ms, 7);
                }
                other => panic!("unexpected outcome {other:?}"),
            }
        }
        assert_eq!(started, 2);
        assert_eq!(*payloads.borrow(), ["text".into(), "text".into()]);
    });
}

/// Guards against calls that never end because their link was closed: the
/// engine would never poll those workers again.
#[test]
fn calls_of_a_closed_link_are_lost() {
    block_on(async {
        let nobody = "127.0.0.1:1".parse().expect("an address");
        let (link, mut outcomes) = open(nobody);
        link.order(&contact(), target(0), &start());
        link.poll(&contact(), poll(0));
        drop(link);
        let mut lost = 0;
        while let Some((outcome, end)) = outcomes.recv().await {
            assert_eq!(end, CallEnd::Lost, "{outcome:?}");
            lost += 1;
        }
        assert_eq!(lost, 2);
    });
}

/// Guards against a malformed message that ends the process or its other links.
#[test]
fn malformed_message_ends_only_its_connection() {
    block_on(async {
        use tokio::io::AsyncWriteExt;
        let settings = DispatchSettings::parse(SETTINGS).expect("the settings are valid");
        let shared = Rc::new(Shared::new(Workers::default(), settings));
        let any = "127.0.0.1:0".parse().expect("an address");
        let address = listen(shared, any).await.expect("a free port");
        let mut garbage = tokio::net::TcpStream::connect(address).await.expect("a connection");
        garbage.write_all(&[0xff; 4_096]).await.expect("bytes are sent");
        let (link, mut outcomes) = open(address);
        while !link.is_up() {
            tokio::task::yield_now().await;
        }
        link.poll(&contact(), poll(3));
        let outcome = outcomes.recv().await.expect("an outcome");
        assert!(matches!(outcome, (CallOutcome::Polled(_, Ok(_)), CallEnd::Replied)));
    });
}
