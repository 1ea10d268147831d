//! Messages between a controller and its relays.

use std::{net::SocketAddr, rc::Rc};

use serde::{Deserialize, Serialize};
use tamarackproxy::state::ids::{Term, WorkerId};

use crate::{
    coordination::pool::{
        Order, OrderOutcome, OrderTarget, PollFailure, PollReport, PollRequest, StartOrder,
        WorkerContact, WorkerKey,
    },
    state::{JobNumber, JobSpec, RunNumber, TaskAddress},
};

/// Path of the stream between a controller and a relay.
pub(super) const PATH: &str = "/relay";
/// Largest batch of calls or replies, in bytes: the payloads of some thousand
/// starts.
pub(super) const BATCH_MAX_BYTES: usize = 8 << 20;
/// Window of a stream and its connection, in bytes: a batch of a surge fits.
pub(super) const WINDOW_BYTES: u32 = 1 << 20;

/// Number of a call on its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct CallNumber(pub(super) u64);

/// Receiver of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Receiver {
    worker: WorkerId,
    address: SocketAddr,
    term: Term,
}

impl Receiver {
    pub(super) fn new(contact: &WorkerContact) -> Self {
        Self { worker: contact.worker.clone(), address: contact.address, term: contact.term }
    }

    /// Returns the contact; its key means nothing outside the controller.
    pub(super) fn contact(self) -> WorkerContact {
        let Self { worker, address, term } = self;
        WorkerContact { key: WorkerKey::default(), worker, address, term }
    }
}

/// An order without the job's payload, which the relay keeps.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum OrderMessage {
    Start { valid_until_ms: u64, checkpoint: Box<str>, ticket: Box<str> },
    Stop,
    Pace(u8),
}

impl OrderMessage {
    pub(super) fn new(order: &Order) -> Self {
        match order {
            Order::Start(start) => Self::Start {
                valid_until_ms: start.valid_until_ms,
                checkpoint: start.checkpoint.clone(),
                ticket: start.ticket.clone(),
            },
            Order::Stop => Self::Stop,
            Order::Pace(percent) => Self::Pace(*percent),
        }
    }

    /// Returns the order; none if it starts a run of a job whose payload is
    /// unknown.
    pub(super) fn order(self, payload: Option<&Rc<JobSpec>>) -> Option<Order> {
        Some(match self {
            Self::Start { valid_until_ms, checkpoint, ticket } => {
                let job = Rc::clone(payload?);
                Order::Start(StartOrder { job, valid_until_ms, checkpoint, ticket })
            }
            Self::Stop => Order::Stop,
            Self::Pace(percent) => Order::Pace(percent),
        })
    }
}

/// Message of a controller to a relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RelayCall {
    /// Keep the payload of a job for its starts.
    Payload {
        job: JobNumber,
        payload: Box<str>,
    },
    /// Forget all payloads.
    ForgetPayloads,
    Order {
        call: CallNumber,
        receiver: Receiver,
        task: TaskAddress,
        run: RunNumber,
        order: OrderMessage,
    },
    Poll {
        call: CallNumber,
        receiver: Receiver,
        request: PollRequest,
    },
}

/// Message of a relay to a controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RelayReply {
    Order { call: CallNumber, outcome: OrderOutcome },
    Poll { call: CallNumber, result: Result<PollReport, PollFailure> },
}

/// Returns the target of an order; its key means nothing outside the controller.
pub(super) fn target(task: TaskAddress, run: RunNumber) -> OrderTarget {
    OrderTarget { worker: WorkerKey::default(), task, run }
}
