//! Control of one pool: which task runs where.
//!
//! [`PoolEngine`] connects parts that keep their own invariants: the
//! `ledger` of jobs and tasks, what is known of each worker (`workers`),
//! the order of waiting work (`order`), the choice of a place
//! (`placement`), expected durations (`durations`) and what must be
//! written to the store (`writer`).

mod advice;
mod demand;
mod durations;
mod engine;
mod events;
mod health;
mod ledger;
mod looks;
mod order;
mod pacing;
mod placement;
mod recovery;
mod registry;
mod starts;
mod stops;
mod task;
mod workers;
mod writer;

pub use self::{
    engine::{PoolControl, PoolEngine, PoolTiming, QueuePolicy},
    events::{
        AdviceQuestion, EndKind, EndedTask, JobKey, Order, OrderReply, OrderTarget, PollFailure,
        PollReport, PollRequest, PoolAction, Refusal, RunningTask, StartOrder, WorkerContact,
        WorkerKey,
    },
    recovery::{Recovered, StoredJob},
    writer::{PoolWrite, WriteResult},
};

#[cfg(test)]
mod tests;
