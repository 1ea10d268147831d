//! Tests of links to relays, over loopback connections.

use std::{net::SocketAddr, rc::Rc};

use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{Term, WorkerId},
};
use tokio::sync::mpsc;

use super::{
    super::fake::{Workers, block_on, shared},
    CallEnd, CallOutcome, RelayLink, listen,
};
use crate::{
    coordination::pool::{
        Order, OrderReply, OrderTarget, PollRequest, StartOrder, WorkerContact, WorkerKey,
    },
    state::{JobNumber, JobSpec, RunNumber, StepSpec, TaskAddress},
};

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

/// Guards against calls that reach no worker or whose replies are mixed up, and
/// against starts without the payload that was sent once.
#[test]
fn relay_carries_orders_and_polls() {
    block_on(async {
        let platform = Workers::default();
        let payloads = Rc::clone(&platform.payloads);
        let shared = shared(platform);
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
                (CallOutcome::Started(_, outcome), CallEnd::Replied)
                    if outcome.reply == OrderReply::Accepted =>
                {
                    started += 1;
                }
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
        let shared = shared(Workers::default());
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
