//! Orders to workers, their replies, and the actions of a pool's engine.

use std::{net::SocketAddr, rc::Rc};

use strum::{Display, EnumString};
use tamarackproxy::state::ids::{Term, WorkerId};

use super::writer::PoolWrite;
use crate::state::{JobSpec, RunNumber, TaskAddress};

slotmap::new_key_type! {
    /// A worker that an engine knows.
    pub struct WorkerKey;
    /// A job that an engine knows.
    pub struct JobKey;
}

/// Where orders for a worker go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerContact {
    /// The engine's key of the worker.
    pub key: WorkerKey,
    /// Name of the life that the orders are for.
    pub worker: WorkerId,
    /// Where the worker takes orders.
    pub address: SocketAddr,
    /// Term that the orders carry.
    pub term: Term,
}

/// The run that an order concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OrderTarget {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskAddress,
    /// Number of the run.
    pub run: RunNumber,
}

/// What a worker is told about a run.
#[derive(Clone, Debug)]
pub enum Order {
    /// Start it.
    Start(StartOrder),
    /// Stop it; a run that has not arrived yet is refused later.
    Stop,
    /// Let it work at this share, in percent.
    Pace(u8),
}

/// What a start needs.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The job.
    pub job: Rc<JobSpec>,
    /// Time on the worker's clock after which the start is refused, in
    /// milliseconds.
    pub valid_until_ms: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Box<str>,
    /// Permission of the queue's policy; empty if none is needed.
    pub ticket: Box<str>,
}

/// Explicit refusals of an order; nothing was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The worker has seen a higher term.
    OldTerm,
    /// The run is not above one that ended or was stopped there.
    OldRun,
    /// The order's time limit has passed.
    Late,
    /// The worker has no room.
    NoRoom,
    /// The permission is missing or too old.
    NoTicket,
    /// The worker cannot read the order.
    Malformed,
    /// The worker says that it is not healthy or is overloaded.
    Unhealthy,
    /// Another life of a worker answers at the address.
    OtherLife,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// Carried out, or had been before.
    Accepted,
    /// Refused; nothing was done.
    Refused(Refusal),
    /// No byte left this process.
    NotSent,
    /// No reply; the order may be carried out later.
    Unknown,
}

/// Extends a worker's lease and asks for its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Ends up to this number are stored.
    pub acknowledged: u64,
    /// End of the lease on the worker's clock, in milliseconds; none before
    /// the clock is known.
    pub lease_until_ms: Option<u64>,
    /// Time that the worker may wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// What a worker lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollReport {
    /// Start of the worker's life, in milliseconds since 1970.
    pub born_unix_ms: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs at work.
    pub running: Vec<RunningTask>,
    /// Ends that were not acknowledged.
    pub ended: Vec<EndedTask>,
}

/// One run at work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskAddress,
    /// Number of the run.
    pub run: RunNumber,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
    /// Share of the work that is done, in percent; 100 for a lasting task at
    /// work.
    pub percent: u8,
    /// Tail of the response times in milliseconds for a task that serves
    /// users, else processors in use in thousandths of a core.
    pub gauge: u32,
}

/// One end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Number of the end in the worker's life.
    pub number: u64,
    /// The task.
    pub task: TaskAddress,
    /// Number of the run.
    pub run: RunNumber,
    /// How it ended.
    pub how: EndKind,
    /// Checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The run failed by itself or by the worker.
    Failed,
    /// An order stopped it.
    Stopped,
    /// The lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// Reasons why a look has no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PollFailure {
    /// The worker has seen a higher term.
    OldTerm,
    /// Another life of a worker answers at the address.
    OtherLife,
    /// The worker refused to answer.
    Refused,
    /// No reply.
    Unreachable,
}

/// Asks the policy service which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceQuestion {
    /// First task of the step.
    pub step: TaskAddress,
    /// Workers to judge.
    pub workers: Vec<WorkerId>,
}

/// What the owner of an engine does next.
#[derive(Clone, Debug)]
pub enum PoolAction {
    /// Send an order and pass its result to the engine.
    Order {
        /// Where it goes.
        contact: WorkerContact,
        /// The run.
        target: OrderTarget,
        /// What to do with it.
        order: Order,
    },
    /// Ask a worker for its runs and pass the result to the engine.
    Poll {
        /// Where it goes.
        contact: WorkerContact,
        /// What to ask.
        request: PollRequest,
    },
    /// Ask the policy service and pass the answer to the engine.
    Advise(AdviceQuestion),
    /// Write to the store and pass the result to the engine.
    Write(PoolWrite),
    /// Nothing runs on the worker, and nothing will be started there.
    Vacated(WorkerId),
    /// A higher term was seen; the tenure is over.
    Fenced,
}
