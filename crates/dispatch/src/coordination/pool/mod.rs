//! Scheduler of one pool: decides which task runs on which worker.
//!
//! [`PoolEngine`] connects parts that keep their own invariants: the table of
//! jobs and tasks (`job_table`), the occurrences of each job (`occurrences`), the use by client accounts (`accounts`) and
//! their entitlements (`fair_share`), the state of each worker (`workers`), the
//! priority order of waiting work (`order`), worker selection (`placement`),
//! expected durations (`durations`), the published load (`load`, `profile`),
//! tasks under which workers crashed (`crashes`), workers that restart under their
//! names (`restarts`), workers that have to become empty (`vacating`), kinds of tasks that slow each other down (`interference`)
//! and pending writes to the store (`writer`).

mod accounts;
mod advice;
mod copies;
mod crashes;
mod demand;
mod durations;
mod engine;
mod events;
mod fair_share;
mod health;
mod interference;
mod job_table;
mod lease;
mod limits;
mod load;
mod looks;
mod occurrences;
mod order;
mod pacing;
mod placement;
mod profile;
mod recovery;
mod registry;
mod restarts;
mod starts;
mod stops;
mod task;
mod trail;
mod vacating;
mod workers;
mod writer;

pub use self::{
    engine::{JobView, PoolControl, PoolEngine, PoolTiming, QueuePolicy},
    events::{
        AdviceQuestion, EndKind, EndedTask, JobKey, Order, OrderOutcome, OrderReply, OrderTarget,
        PollFailure, PollReport, PollRequest, PoolAction, Refusal, RunningTask, StartOrder,
        WorkerContact, WorkerKey,
    },
    fair_share::AccountStatus,
    interference::InterferingPair,
    recovery::{Recovered, StoredJob},
    writer::{PoolWrite, WriteResult},
};

pub(crate) use self::profile::{JobProfile, is_limited_by_processors};

#[cfg(test)]
mod tests;
