//! Orders to workers, their replies, and the actions that a pool's engine
//! requests.

use std::{net::SocketAddr, rc::Rc};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use tamarackproxy::state::ids::{Term, WorkerId};

use super::writer::PoolWrite;
use crate::state::{JobSpec, RunNumber, TaskAddress};

slotmap::new_key_type! {
    /// Key of a worker within an engine.
    pub struct WorkerKey;
    /// Key of a job within an engine.
    pub struct JobKey;
}

/// Destination of orders to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerContact {
    /// Key of the worker in the engine.
    pub key: WorkerKey,
    /// Name of the worker incarnation that the orders are for.
    pub worker: WorkerId,
    /// Address at which the worker accepts orders.
    pub address: SocketAddr,
    /// Term that the orders carry.
    pub term: Term,
}

/// The run that an order concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OrderTarget {
    pub worker: WorkerKey,
    pub task: TaskAddress,
    /// Number of the run.
    pub run: RunNumber,
}

/// Order about one run.
#[derive(Clone, Debug)]
pub enum Order {
    Start(StartOrder),
    /// Stop it; a start of this run that arrives later is refused.
    Stop,
    /// Limit it to this share of its full speed, in percent.
    Pace(u8),
}

/// Contents of a start order.
#[derive(Clone, Debug)]
pub struct StartOrder {
    pub job: Rc<JobSpec>,
    /// Time on the worker's clock after which the start is refused, in
    /// milliseconds.
    pub valid_until_ms: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Box<str>,
    /// Permission from the queue's policy service; empty if none is needed.
    pub ticket: Box<str>,
}

/// Reasons why a worker refused an order; a refused order had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The worker has seen a higher term.
    OldTerm,
    /// The run number is not above that of a run that ended or was stopped
    /// there.
    OldRun,
    /// The order's time limit has passed.
    Late,
    /// The worker has not enough free capacity.
    NoRoom,
    /// The permission is missing or has expired.
    NoTicket,
    /// The worker cannot read the order.
    Malformed,
    /// The worker reports that it is unhealthy or overloaded.
    Unhealthy,
    /// Another incarnation of the worker answers at the address.
    OtherLife,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// Carried out, or had been before.
    Accepted,
    /// Refused; nothing was done.
    Refused(Refusal),
    /// The order was not sent; no byte left this process.
    NotSent,
    /// No reply; the order may be carried out later.
    Unknown,
}

/// Result of an order, with what the reply tells of the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderOutcome {
    pub reply: OrderReply,
    /// The worker's clock when it replied, in milliseconds; none if the reply does
    /// not state it.
    pub clock_ms: Option<u64>,
}

impl From<OrderReply> for OrderOutcome {
    fn from(reply: OrderReply) -> Self {
        Self { reply, clock_ms: None }
    }
}

/// Poll of a worker: extends its lease and asks for its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Ended runs up to this number are stored; the worker may forget them.
    pub acknowledged: u64,
    /// End of the lease on the worker's clock, in milliseconds; none until that
    /// clock is known.
    pub lease_until_ms: Option<u64>,
    /// Time that the worker may hold the poll until a run ends, in
    /// milliseconds.
    pub wait_ms: u64,
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollReport {
    /// Start of this worker incarnation, in milliseconds since 1970.
    pub born_unix_ms: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<RunningTask>,
    /// Ended runs that were not acknowledged yet.
    pub ended: Vec<EndedTask>,
}

/// One run in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    pub task: TaskAddress,
    /// Number of the run.
    pub run: RunNumber,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
    /// Progress in percent; 100 for a long-running task that is up.
    pub percent: u8,
    /// For a task that serves users, the tail latency in milliseconds;
    /// otherwise the processor usage in thousandths of a core.
    pub gauge: u32,
}

/// One ended run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// Sequence number of the end within the worker incarnation.
    pub number: u64,
    pub task: TaskAddress,
    /// Number of the run.
    pub run: RunNumber,
    /// How it ended.
    pub how: EndKind,
    /// Checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The task failed, or the worker failed to run it.
    Failed,
    /// An order stopped it.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended, which ended the run as well.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// Reasons why a poll returned no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum PollFailure {
    /// The worker has seen a higher term.
    OldTerm,
    /// Another incarnation of the worker answers at the address.
    OtherLife,
    /// The worker refused to answer.
    Refused,
    /// No reply.
    Unreachable,
}

/// Query to the policy service: which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceQuestion {
    /// First task of the step.
    pub step: TaskAddress,
    /// Workers to decide on.
    pub workers: Vec<WorkerId>,
}

/// Action that the owner of an engine must carry out.
#[derive(Clone, Debug)]
pub enum PoolAction {
    /// Send an order and pass its result to the engine.
    Order {
        /// Where it goes.
        contact: WorkerContact,
        /// The run.
        target: OrderTarget,
        order: Order,
    },
    /// Poll a worker and pass the result to the engine.
    Poll {
        /// Where it goes.
        contact: WorkerContact,
        /// The poll.
        request: PollRequest,
    },
    /// Query the policy service and pass the answer to the engine.
    Advise(AdviceQuestion),
    /// Write to the store and pass the result to the engine.
    Write(PoolWrite),
    /// Nothing runs on the worker, and nothing will be started there.
    Vacated(WorkerId),
    /// A higher term was seen; control is lost.
    Fenced,
}
