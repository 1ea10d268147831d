//! Tests of the limits of calls to a worker.

use std::rc::Rc;

use tamarackproxy::state::ids::{Term, WorkerId};
use tokio::task::spawn_local;

use super::{CONCURRENT_ORDERS_MAX, ORDER_AGE_MAX_MS, WorkerCalls};
use crate::{
    coordination::pool::{Order, OrderReply, OrderTarget, StartOrder, WorkerContact, WorkerKey},
    node::{
        clock,
        fake::{Workers, block_on},
    },
    state::{JobNumber, JobSpec, RunNumber, TaskAddress},
};

/// Guards against a start that waits behind unanswered orders and begins a run
/// after the engine has learned that the task is done.
#[test]
fn order_that_has_waited_too_long_is_not_sent() {
    let job = Rc::new(JobSpec { payload: "text".into(), steps: Vec::new(), schedule: None });
    let start = StartOrder { job, valid_until_ms: 2_000, checkpoint: "".into(), ticket: "".into() };
    let start = Order::Start(start);
    let task = TaskAddress { job: JobNumber(1), occurrence: 0, step: 0, index: 0 };
    let target = OrderTarget { worker: WorkerKey::default(), task, run: RunNumber(1) };
    let address = "127.0.0.1:9".parse().expect("an address");
    let worker = WorkerId::new("w");
    let contact = WorkerContact { key: WorkerKey::default(), worker, address, term: Term(1) };
    let platform = Workers { order_ms: ORDER_AGE_MAX_MS + 50, ..Workers::default() };
    let payloads = Rc::clone(&platform.payloads);
    let replies = block_on(async move {
        let calls = Rc::new((WorkerCalls::default(), platform));
        let requested_ms = clock::read().monotonic_ms;
        let mut orders = Vec::new();
        for _ in 0..CONCURRENT_ORDERS_MAX + 2 {
            let (calls, contact, start) = (Rc::clone(&calls), contact.clone(), start.clone());
            orders.push(spawn_local(async move {
                calls.0.order(&calls.1, requested_ms, &contact, &target, &start).await
            }));
        }
        let mut replies = Vec::new();
        for order in orders {
            replies.push(order.await.expect("the order ends"));
        }
        replies
    });
    let (sent, waited) = replies.split_at(CONCURRENT_ORDERS_MAX);
    assert!(sent.iter().all(|outcome| outcome.reply == OrderReply::Accepted), "{sent:?}");
    assert!(waited.iter().all(|outcome| outcome.reply == OrderReply::NotSent), "{waited:?}");
    assert_eq!(payloads.borrow().len(), CONCURRENT_ORDERS_MAX);
}
